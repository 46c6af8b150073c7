// An HTTP/1.1 server on one executor: no threads, no locks; all calls and callbacks are made on the
// io_context's thread. One object is one connection; requests of a connection are handled one at a time, in
// order, what is pipelined behind waits unread beyond a bound. Times are seconds.
#pragma once
#include "http/message.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace snowshore::http {

using Endpoint = asio::ip::tcp::endpoint;

// Port 0: the system's choice.
inline Endpoint loopback(unsigned short port = 0) { return {asio::ip::address_v4::loopback(), port}; }

struct ServerLimits {
  ReadLimits read;
  std::size_t connections = 4096;
  std::size_t pipelined_bytes = 64 << 10;    // pipelined behind a request in hand
  std::size_t unsent_stream_bytes = 1 << 20; // written to a stream and not yet taken by its reader
  double header_time = 5; // from a request's first byte, or a connection's start, to its last
  double idle_time = 30;  // a kept connection without a request
  double write_time = 10; // an answer that its reader does not take
};

struct ServerCounters {
  std::uint64_t accepted = 0, requests = 0, malformed = 0, slow_cut = 0, idle_cut = 0, accept_pauses = 0,
                accept_faults = 0, disconnected_early = 0, stream_cut = 0;
};

class ServerConnection;

// One request's answer. Exactly one of respond() or open_stream() is called, once; later calls do nothing.
class Exchange {
 public:
  void respond(const Response &response);
  void open_stream(const Response &head);
  bool write(std::string_view chunk); // false when the reader is gone or was cut for not reading
  void end_stream();
  void reset_connection(); // closes the connection without an answer, by a reset
  bool is_open() const;
  // Called at most once, when the peer closed or was cut before the answer (or the stream) was complete.
  std::function<void()> on_disconnect;
  std::string peer_address;

 private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  bool begun_ = false, ended_ = false;
};

class Server {
 public:
  using Handler = std::function<void(const Request &, const std::shared_ptr<Exchange> &)>;

  // Listens at once; throws std::system_error naming the endpoint when it cannot. Port 0: the system's
  // choice.
  Server(asio::io_context &io, const Endpoint &where, const ServerLimits &limits, Handler handler);
  ~Server();
  Endpoint local_endpoint() const { return local_; }
  const ServerCounters &counters() const { return counters_; }
  std::size_t connections() const { return connections_.size(); }
  void set_limits(const ServerLimits &limits) { limits_ = limits; }
  // No new connections; idle ones are closed, those with a request in hand after its answer. done when none
  // is left.
  void drain(std::function<void()> done);
  void stop(bool by_reset = false); // closes the listener and all connections now

 private:
  friend class ServerConnection;
  void accept();
  void sweep();
  bool make_room();
  void accept_later(std::chrono::milliseconds pause);
  void gone(std::list<std::shared_ptr<ServerConnection>>::iterator where);

  asio::io_context &io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_, accept_timer_;
  Endpoint local_;
  ServerLimits limits_;
  Handler handler_;
  ServerCounters counters_;
  std::list<std::shared_ptr<ServerConnection>> connections_;
  std::function<void()> drained_;
  bool draining_ = false, stopped_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::http
