// Connections of the HTTP client.
#include "http/client.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace snowshore::http {

namespace {

using Clock = std::chrono::steady_clock;
// Upper bound of a time span in seconds, which keeps its conversion from overflowing.
constexpr double kMaxSeconds = 1e9;
// A timer that fires later than kStalledBy shows that the process was stalled. The time-out is then postponed
// once by kStallGrace, so that a response that is already in the socket is read first.
constexpr auto kStalledBy = std::chrono::milliseconds(50), kStallGrace = std::chrono::milliseconds(2);

Clock::duration span(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, kMaxSeconds)));
}

} // namespace

// One connection to a server, with the request that it carries.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // awaiting_late: the request has timed out and its late response is awaited.
  enum class State { connecting, awaiting_response, awaiting_late, streaming, idle, closed };

  ClientConnection(Client &client, const Endpoint &where)
      : server(where), client_(client), socket_(client.io_), timer_(client.io_),
        reader_(MessageReader::Kind::response, client.limits_.read) {}

  const Endpoint server;
  State state() const { return state_; }
  // Returns whether the connection is idle and its idle time has not passed. The expiry is compared here
  // because after a stall of the process the timer may be due without having run.
  bool is_reusable() const { return state_ == State::idle && timer_.expiry() > Clock::now(); }

  void begin(Client::RequestId id, const Request &request, double timeout, Client::ResultCallback done,
             Client::LateCallback late) {
    id_ = id;
    done_ = std::move(done);
    late_ = std::move(late);
    started_at_ = Clock::now();
    grace_used_ = false;
    deadline_ = started_at_ + span(timeout);
    out_ = write_request(request, server.address().to_string() + ":" + std::to_string(server.port()));
    if (state_ == State::idle) {
      set_state(State::awaiting_response);
      return write();
    }
    start_timer(std::min(span(client_.limits_.connect_time), span(timeout)));
    socket_.async_connect(server, [self = shared_from_this()](asio::error_code error) {
      if (self->state_ != State::connecting) return;
      if (error) return self->fail(EndReason::unreachable);
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->set_state(State::awaiting_response);
      self->write();
      self->read();
    });
  }

  // Prepares the connection for a streamed response; called before begin().
  void set_stream_callbacks(std::function<void(const Response &)> head,
                            std::function<void(std::string_view)> data) {
    reader_.on_headers = [this, head] {
      set_state(State::streaming);
      timer_.cancel();
      head(reader_.response);
    };
    reader_.on_body = std::move(data);
  }

  void close() {
    if (state_ == State::closed) return;
    auto self = shared_from_this();
    set_state(State::closed);
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    client_.on_closed(*this);
  }

  // Closes the connection of a cancelled request without calling its callbacks.
  void cancel() {
    done_ = nullptr;
    late_ = nullptr;
    close();
  }

  // Closes the connection when the client is destroyed, without calling the client or any callback.
  void detach() {
    done_ = nullptr;
    late_ = nullptr;
    set_state(State::closed);
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void set_state(State next) { state_ = next; }

  void start_timer(Clock::duration wait) {
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
      if (!error && self->state_ != State::closed && self->timer_.expiry() <= Clock::now()) self->on_timer();
    });
  }

  void on_timer() {
    // After a stall of the process, responses that are already in the socket are read before a time-out is
    // reported.
    if (!grace_used_ && state_ != State::idle && Clock::now() - timer_.expiry() > kStalledBy) {
      grace_used_ = true;
      return start_timer(kStallGrace);
    }
    switch (state_) {
    case State::connecting:
      return fail(EndReason::unreachable);
    case State::awaiting_response: {
      if (!late_) return fail(EndReason::timed_out);
      // The late response is awaited on this connection.
      set_state(State::awaiting_late);
      client_.pending_requests_.erase(id_);
      start_timer(span(client_.limits_.late_time));
      Result result;
      result.end_reason = EndReason::timed_out;
      return report(std::move(result));
    }
    case State::awaiting_late:
      ++client_.counters_.late_given_up;
      [[fallthrough]];
    default:
      close();
    }
  }

  void write() {
    start_timer(deadline_ - Clock::now());
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code, std::size_t) {
                        // The pending read reports an error.
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t n) {
                              if (self->state_ == State::closed) return;
                              if (error) return self->on_peer_closed();
                              self->handle_input({self->chunk_.data(), n});
                              if (self->state_ != State::closed) self->read();
                            });
  }

  void on_peer_closed() {
    if (state_ == State::idle) return close();
    auto progress = reader_.end_of_input();
    if (progress == MessageReader::Progress::complete) return on_response();
    fail(EndReason::reset);
  }

  void handle_input(std::string_view bytes) {
    // A response without a request.
    if (state_ == State::idle) return close();
    std::size_t consumed = 0;
    auto progress = reader_.feed(bytes, consumed);
    if (state_ == State::closed || progress == MessageReader::Progress::needs_more) return;
    if (progress == MessageReader::Progress::failed) return fail(EndReason::malformed);
    // Bytes after the response belong to no request, so the connection is not reused.
    bool has_excess = consumed < bytes.size();
    on_response(has_excess);
  }

  void on_response(bool has_excess = false) {
    Response response = std::move(reader_.response);
    bool keep = reader_.keep_alive() && !has_excess && state_ != State::streaming;
    reader_.start_next();
    State before = state_;
    auto self = shared_from_this();
    client_.pending_requests_.erase(id_);
    if (keep) {
      set_state(State::idle);
      start_timer(span(client_.limits_.idle_time));
    } else {
      close();
    }
    if (before == State::awaiting_late) {
      ++client_.counters_.late;
      if (auto late = std::exchange(late_, nullptr)) late(response);
      return;
    }
    Result result;
    result.end_reason = EndReason::answered;
    result.response = std::move(response);
    report(std::move(result));
  }

  // Closes the connection and reports the result, unless the time-out was already reported.
  void fail(EndReason reason) {
    bool unreported = state_ != State::awaiting_late;
    close();
    if (!unreported) return;
    Result result;
    result.end_reason = reason;
    report(std::move(result));
  }

  void report(Result result) {
    result.duration = std::chrono::duration<double>(Clock::now() - started_at_).count();
    if (auto done = std::exchange(done_, nullptr)) done(result);
  }

  friend class Client;
  Client &client_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  MessageReader reader_;
  State state_ = State::connecting;
  bool grace_used_ = false;
  Client::RequestId id_ = 0;
  Client::ResultCallback done_;
  Client::LateCallback late_;
  Clock::time_point started_at_, deadline_;
  // The request as it is written.
  std::string out_;
  std::array<char, 4096> chunk_;
};

Client::~Client() {
  for (auto &[to, connections] : servers_) {
    for (auto &connection : connections) connection->detach();
  }
}

std::shared_ptr<ClientConnection> Client::connection_to(const Endpoint &to, bool open_new) {
  auto &connections = servers_[to];
  if (!open_new) {
    for (auto it = connections.rbegin(); it != connections.rend(); ++it) {
      if ((*it)->is_reusable()) {
        ++counters_.reused;
        return *it;
      }
    }
  }
  if (connections.size() >= limits_.connections_per_server ||
      connection_count_ >= limits_.total_connections) {
    if (connections.empty()) servers_.erase(to);
    ++counters_.no_room;
    return nullptr;
  }
  ++counters_.opened;
  ++connection_count_;
  connections.push_back(std::make_shared<ClientConnection>(*this, to));
  return connections.back();
}

Client::RequestId Client::fail_without_capacity(RequestId id, ResultCallback done) {
  asio::post(io_, [done = std::move(done)] {
    Result result;
    result.end_reason = EndReason::no_capacity;
    if (done) done(result);
  });
  return id;
}

Client::RequestId Client::send(const Endpoint &to, const Request &request, double timeout,
                               ResultCallback done, LateCallback late) {
  RequestId id = next_id_++;
  auto connection = connection_to(to, false);
  if (!connection) return fail_without_capacity(id, std::move(done));
  pending_requests_[id] = connection;
  connection->begin(id, request, timeout, std::move(done), std::move(late));
  return id;
}

Client::RequestId Client::stream(const Endpoint &to, const Request &request, double head_time,
                                 std::function<void(const Response &)> head,
                                 std::function<void(std::string_view)> data, ResultCallback done) {
  RequestId id = next_id_++;
  auto connection = connection_to(to, true);
  if (!connection) return fail_without_capacity(id, std::move(done));
  pending_requests_[id] = connection;
  connection->set_stream_callbacks(std::move(head), std::move(data));
  connection->begin(id, request, head_time, std::move(done), nullptr);
  return id;
}

bool Client::cancel(RequestId id) {
  auto it = pending_requests_.find(id);
  if (it == pending_requests_.end()) return false;
  auto connection = it->second.lock();
  pending_requests_.erase(it);
  if (connection) connection->cancel();
  return connection != nullptr;
}

void Client::close_idle_connections(const Endpoint &to) {
  auto it = servers_.find(to);
  if (it == servers_.end()) return;
  auto connections = it->second;
  for (auto &connection : connections) {
    if (connection->state() == ClientConnection::State::idle) connection->close();
  }
}

void Client::on_closed(ClientConnection &connection) {
  --connection_count_;
  pending_requests_.erase(connection.id_);
  auto it = servers_.find(connection.server);
  if (it == servers_.end()) return;
  std::erase_if(it->second, [&](const auto &one) { return one.get() == &connection; });
  if (it->second.empty()) servers_.erase(it);
}

} // namespace snowshore::http
