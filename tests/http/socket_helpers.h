// Helpers of tests that use sockets: running an io_context until a condition holds, a client that sends raw
// bytes, and a server that lets the test send raw bytes on each of its connections.
#pragma once
#include "http/server.h"

#include <asio.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace snowshore::testing {

using http::loopback;

// Runs the context until the condition holds or the time in seconds is over; returns whether the condition
// holds.
inline bool run_until(asio::io_context &io, const std::function<bool()> &condition, double seconds = 5) {
  auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!condition() && std::chrono::steady_clock::now() < end) {
    io.restart();
    io.run_for(std::chrono::milliseconds(2));
  }
  return condition();
}

inline void run_for(asio::io_context &io, double seconds) {
  run_until(
      io, [] { return false; }, seconds);
}

// A client connection on which the test sends any bytes; it collects what it receives.
struct RawClient {
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
  // Returns the number of times that `part` occurs in the received bytes.
  std::size_t count(const std::string &part) const {
    std::size_t n = 0;
    for (std::size_t at = received.find(part); at != std::string::npos; at = received.find(part, at + 1)) ++n;
    return n;
  }
  char buffer[4096];
};

// Accepts connections and passes what each receives to the test.
struct RawServer {
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
  void read(std::shared_ptr<Connection> connection) {
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [this, connection](asio::error_code error, std::size_t n) {
                                         connection->received.append(connection->buffer, n);
                                         connection->closed = static_cast<bool>(error);
                                         if (error) return;
                                         if (on_data) on_data(*connection);
                                         read(connection);
                                       });
  }
  static void send(Connection &connection, const std::string &text) {
    asio::error_code ignored;
    asio::write(connection.socket, asio::buffer(text), ignored);
  }
};

} // namespace snowshore::testing
