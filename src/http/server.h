// HTTP/1.1 server on one executor: every call and callback is made on the thread that runs the io_context,
// and nothing is locked. The requests of a connection are handled one at a time and in order; pipelined
// requests are read ahead only up to a limit. Times are in seconds.
#pragma once
#include "http/message.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace snowshore::http {

using Endpoint = asio::ip::tcp::endpoint;

// For port 0 the operating system chooses the port.
inline Endpoint loopback(unsigned short port = 0) { return {asio::ip::address_v4::loopback(), port}; }

struct ServerLimits {
  ReadLimits read;
  std::size_t connections = 4096;
  // Bytes of pipelined requests that are read while a request is being handled.
  std::size_t pipelined_bytes = 64 << 10;
  // Bytes written to a stream that its reader has not yet accepted.
  std::size_t unsent_stream_bytes = 1 << 20;
  // From the first byte of a request, or from the start of a connection, to the request's last byte.
  double header_time = 5;
  // How long a persistent connection may wait for its next request.
  double idle_time = 30;
  // How long a peer may take to accept the bytes of one write.
  double write_time = 10;
};

struct ServerCounters {
  std::uint64_t accepted = 0, requests = 0, malformed = 0;
  // Connections closed for header_time or write_time, and those closed for idle_time or to make room.
  std::uint64_t slow_cut = 0, idle_cut = 0;
  // Times that accepting waited because no connection could be closed.
  std::uint64_t accept_pauses = 0;
  std::uint64_t accept_faults = 0;
  // Connections whose peer closed while its request was being handled.
  std::uint64_t disconnected_early = 0;
  // Streams closed for unsent_stream_bytes.
  std::uint64_t stream_cut = 0;
};

class ServerConnection;

// The response to one request. The handler calls either respond() or open_stream(), once; further calls have
// no effect. It may do so after it has returned.
class Exchange {
 public:
  void respond(const Response &response);
  void open_stream(const Response &head);
  // Returns false when the stream is not open, including when it was closed because its reader does not read.
  bool write(std::string_view chunk);
  void end_stream();
  // Resets the connection without a response; on_disconnect is not called.
  void reset_connection();
  // Returns whether the response is incomplete and the connection is open.
  bool is_open() const;
  // Called at most once, when the connection is closed before the response or the stream is complete.
  std::function<void()> on_disconnect;
  // The peer as "address:port".
  std::string peer_address;

 private:
  friend class ServerConnection;
  std::weak_ptr<ServerConnection> connection_;
  bool begun_ = false, ended_ = false;
};

class Server {
 public:
  using Handler = std::function<void(const Request &, const std::shared_ptr<Exchange> &)>;

  // Starts to listen; throws std::system_error that names the endpoint when that fails. For port 0 the
  // operating system chooses the port.
  Server(asio::io_context &io, const Endpoint &where, const ServerLimits &limits, Handler handler);
  ~Server();
  Endpoint local_endpoint() const { return local_endpoint_; }
  const ServerCounters &counters() const { return counters_; }
  std::size_t connections() const { return connections_.size(); }
  void set_limits(const ServerLimits &limits) { limits_ = limits; }
  // Stops accepting, closes idle connections and closes each other one after its response. Calls `done` once
  // no connection is left.
  void drain(std::function<void()> done);
  // Closes the listener and all connections, by a reset if so asked.
  void stop(bool by_reset = false);

 private:
  friend class ServerConnection;
  void accept();
  // Checks the time limits of all connections, periodically.
  void check_timeouts();
  bool make_room();
  void accept_later(std::chrono::milliseconds pause);
  void on_closed(std::list<std::shared_ptr<ServerConnection>>::iterator where);

  asio::io_context &io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer timeout_timer_, accept_timer_;
  Endpoint local_endpoint_;
  ServerLimits limits_;
  Handler handler_;
  ServerCounters counters_;
  std::list<std::shared_ptr<ServerConnection>> connections_;
  std::function<void()> drain_done_;
  bool draining_ = false, stopped_ = false;
  // Callbacks hold a weak reference to detect that the server was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::http
