// HTTP/1.1 requests to many servers over kept connections, on one executor. One connection carries one
// request at a time. A request that times out leaves its connection waiting for the late answer, which is
// told apart and never taken for another request's. Nothing is sent twice. Callbacks are never made during
// send(). Times are seconds.
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
  std::size_t connections_per_server = 64, total_connections = 4096; // connections
  double connect_time = 0.25;
  double late_time = 5; // how long a timed-out request's answer is waited for
  double idle_time = 30;
};

enum class EndReason {
  answered,
  unreachable, // no connection: the request was never sent
  no_capacity, // a limit of this client: never sent
  timed_out,   // no whole answer in time; it may have run
  reset,       // the connection ended after the request was sent; it may have run
  malformed    // what came back is no HTTP; it may have run
};

struct Result {
  EndReason end_reason = EndReason::unreachable;
  Response response;
  double duration = 0;
};

struct ClientCounters {
  std::uint64_t opened = 0, reused = 0, late = 0, late_given_up = 0, no_room = 0;
};

class ClientConnection;

class Client {
 public:
  using RequestId = std::uint64_t;
  using ResultCallback = std::function<void(const Result &)>;
  using LateCallback = std::function<void(const Response &)>; // the answer that came after the time-out

  Client(asio::io_context &io, const ClientLimits &limits) : io_(io), limits_(limits) {}
  ~Client();

  RequestId send(const Endpoint &to, const Request &request, double time_out, ResultCallback done,
                 LateCallback late = nullptr);
  // A kept stream on a connection of its own: head once, then data as it comes, then done.
  RequestId stream(const Endpoint &to, const Request &request, double head_time,
                   std::function<void(const Response &)> head, std::function<void(std::string_view)> data,
                   ResultCallback done);
  // Done is not called any more and the request's connection is closed. False when it had ended.
  bool cancel(RequestId id);
  void close_idle_connections(const Endpoint &to); // its idle connections are closed
  std::size_t connections() const { return in_all_; }
  const ClientCounters &counters() const { return counters_; }
  void set_limits(const ClientLimits &limits) { limits_ = limits; }

 private:
  friend class ClientConnection;
  std::shared_ptr<ClientConnection> connection_to(const Endpoint &to, bool fresh);
  RequestId no_room(RequestId id, ResultCallback done);
  void closed(ClientConnection &connection);

  asio::io_context &io_;
  ClientLimits limits_;
  ClientCounters counters_;
  std::map<Endpoint, std::vector<std::shared_ptr<ClientConnection>>> servers_;
  std::unordered_map<RequestId, std::weak_ptr<ClientConnection>> in_hand_;
  std::size_t in_all_ = 0;
  RequestId next_ = 1;
};

} // namespace snowshore::http
