// HTTP/1.1 client for many servers over persistent connections, on one executor. A connection carries one
// request at a time. When a request times out, its connection stays open to receive the late response, which
// is reported separately and never taken for the response to another request. Requests are never retried.
// No callback is called during send() or stream(). Times are in seconds.
#pragma once
#include "http/message.h"

#include <asio.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace snowshore::http {

using Endpoint = asio::ip::tcp::endpoint;

struct ClientLimits {
  ReadLimits read;
  std::size_t connections_per_server = 64, total_connections = 4096;
  double connect_time = 0.25;
  // How long the late response to a timed-out request is awaited.
  double late_time = 5;
  double idle_time = 30;
};

// How a request ended, with what is known about whether the server processed it.
enum class EndReason {
  answered,
  // No connection was established, so the request was not sent.
  unreachable,
  // A limit of this client prevented the request from being sent.
  no_capacity,
  // No complete response in time; the request may have been processed.
  timed_out,
  // The connection ended after the request was sent; the request may have been processed.
  reset,
  // The response is not valid HTTP; the request may have been processed.
  malformed
};

struct Result {
  EndReason end_reason = EndReason::unreachable;
  // Set when end_reason is `answered`.
  Response response;
  double duration = 0;
};

struct ClientCounters {
  // Connections that were opened, and requests that reused an idle one.
  std::uint64_t opened = 0, reused = 0;
  // Late responses that arrived, and those that did not arrive within late_time.
  std::uint64_t late = 0, late_given_up = 0;
  // Requests that were not sent because of a limit on connections.
  std::uint64_t no_room = 0;
};

class ClientConnection;

class Client {
 public:
  using RequestId = std::uint64_t;
  using ResultCallback = std::function<void(const Result &)>;
  // Receives a response that arrived after its request had timed out.
  using LateCallback = std::function<void(const Response &)>;

  Client(asio::io_context &io, const ClientLimits &limits) : io_(io), limits_(limits) {}
  ~Client();

  // Calls `done` exactly once, unless the request is cancelled or the client is destroyed.
  RequestId send(const Endpoint &to, const Request &request, double timeout, ResultCallback done,
                 LateCallback late = nullptr);
  // Reads a streamed response on a connection of its own: calls `head` when the headers have arrived, which
  // must be within `head_time`, then `data` with each piece of the body, and `done` at the end.
  RequestId stream(const Endpoint &to, const Request &request, double head_time,
                   std::function<void(const Response &)> head, std::function<void(std::string_view)> data,
                   ResultCallback done);
  // Closes the connection of the request without calling its callbacks. Returns false when the request had
  // already ended.
  bool cancel(RequestId id);
  // Closes the idle connections to one server.
  void close_idle_connections(const Endpoint &to);
  std::size_t connections() const { return connection_count_; }
  const ClientCounters &counters() const { return counters_; }
  void set_limits(const ClientLimits &limits) { limits_ = limits; }

 private:
  friend class ClientConnection;
  // Returns an idle or a new connection, or nullptr when a limit is reached.
  std::shared_ptr<ClientConnection> connection_to(const Endpoint &to, bool open_new);
  RequestId fail_without_capacity(RequestId id, ResultCallback done);
  void on_closed(ClientConnection &connection);

  asio::io_context &io_;
  ClientLimits limits_;
  ClientCounters counters_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> servers_;
  std::unordered_map<RequestId, std::weak_ptr<ClientConnection>> pending_requests_;
  std::size_t connection_count_ = 0;
  RequestId next_id_ = 1;
};

} // namespace snowshore::http
