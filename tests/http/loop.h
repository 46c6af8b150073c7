// What the socket tests share: a loop run until something holds, and a raw peer that says what it likes.
#pragma once
#include "http/server.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace snowshore::testing {

using http::loopback;

inline bool run_until(asio::io_context &io, const std::function<bool()> &holds, double seconds = 5) {
  auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!holds() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(2));
  }
  return holds();
}

inline void run_for(asio::io_context &io, double seconds) {
  run_until(
      io, [] { return false; }, seconds);
}

struct RawPeer { // a client's socket that the test writes to byte by byte
  asio::io_context &io;
  asio::ip::tcp::socket socket;
  std::string heard;
  bool closed = false;
  RawPeer(asio::io_context &context, const asio::ip::tcp::endpoint &to) : io(context), socket(context) {
    socket.connect(to);
    listen();
  }
  void say(const std::string &text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  void listen() {
    socket.async_read_some(asio::buffer(buffer), [this](asio::error_code error, std::size_t n) {
      heard.append(buffer, n);
      if (error) {
        closed = true;
      } else {
        listen();
      }
    });
  }
  std::size_t count(const std::string &part) const {
    std::size_t n = 0;
    for (std::size_t at = heard.find(part); at != std::string::npos; at = heard.find(part, at + 1)) ++n;
    return n;
  }
  char buffer[4096];
};

struct RawServer { // accepts, and hands what each connection says to the test
  asio::ip::tcp::acceptor acceptor;
  struct Link {
    asio::ip::tcp::socket socket;
    std::string heard;
    char buffer[4096];
    bool closed = false;
  };
  std::vector<std::shared_ptr<Link>> links;
  std::function<void(Link &)> on_data;
  explicit RawServer(asio::io_context &io) : acceptor(io, loopback()) { accept(); }
  void accept() {
    acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (error) return;
      links.push_back(std::make_shared<Link>(Link{std::move(socket), {}, {}}));
      read(links.back());
      accept();
    });
  }
  void read(std::shared_ptr<Link> link) {
    link->socket.async_read_some(asio::buffer(link->buffer),
                                 [this, link](asio::error_code error, std::size_t n) {
                                   link->heard.append(link->buffer, n);
                                   link->closed = static_cast<bool>(error);
                                   if (error) return;
                                   if (on_data) on_data(*link);
                                   read(link);
                                 });
  }
  static void say(Link &link, const std::string &text) {
    asio::error_code ignored;
    asio::write(link.socket, asio::buffer(text), ignored);
  }
};

} // namespace snowshore::testing
