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

struct RawClient { // a client's socket that the test writes to byte by byte
  asio::io_context &io;
  asio::ip::tcp::socket socket;
  std::string received;
  bool closed = false;
  RawClient(asio::io_context &context, const asio::ip::tcp::endpoint &to) : io(context), socket(context) {
    socket.connect(to);
    read();
  }
  void send(const std::string &text) {
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer), [this](asio::error_code error, std::size_t n) {
      received.append(buffer, n);
      if (error) {
        closed = true;
      } else {
        read();
      }
    });
  }
  std::size_t count(const std::string &part) const {
    std::size_t n = 0;
    for (std::size_t at = received.find(part); at != std::string::npos; at = received.find(part, at + 1)) ++n;
    return n;
  }
  char buffer[4096];
};

struct RawServer { // accepts, and hands what each connection says to the test
  asio::ip::tcp::acceptor acceptor;
  struct Connection {
    asio::ip::tcp::socket socket;
    std::string received;
    char buffer[4096];
    bool closed = false;
  };
  std::vector<std::shared_ptr<Connection>> connections;
  std::function<void(Connection &)> on_data;
  explicit RawServer(asio::io_context &io) : acceptor(io, loopback()) { accept(); }
  void accept() {
    acceptor.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
      if (error) return;
      connections.push_back(std::make_shared<Connection>(Connection{std::move(socket), {}, {}}));
      read(connections.back());
      accept();
    });
  }
  void read(std::shared_ptr<Connection> link) {
    link->socket.async_read_some(asio::buffer(link->buffer),
                                 [this, link](asio::error_code error, std::size_t n) {
                                   link->received.append(link->buffer, n);
                                   link->closed = static_cast<bool>(error);
                                   if (error) return;
                                   if (on_data) on_data(*link);
                                   read(link);
                                 });
  }
  static void send(Connection &link, const std::string &text) {
    asio::error_code ignored;
    asio::write(link.socket, asio::buffer(text), ignored);
  }
};

} // namespace snowshore::testing
