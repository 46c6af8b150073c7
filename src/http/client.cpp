#include "http/client.h"

#include <algorithm>
#include <array>
#include <chrono>

namespace snowshore::http {

namespace {

using Clock = std::chrono::steady_clock;
constexpr double kForever = 1e9;
constexpr auto kStoodStill = std::chrono::milliseconds(50), kOnceMore = std::chrono::milliseconds(2);

Clock::duration span(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(std::clamp(seconds, 0.0, kForever)));
}

} // namespace

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  enum class State { connecting, asking, late, streaming, idle, closed };

  ClientConnection(Client &client, const Endpoint &where)
      : server(where), client_(client), socket_(client.io_), timer_(client.io_),
        reader_(MessageReader::Kind::response, client.limits_.read) {}

  const Endpoint server;
  State state() const { return state_; }
  // Idle, and not past its time: a process that stood still finds timers that are due and did not run yet.
  bool fresh() const { return state_ == State::idle && timer_.expiry() > Clock::now(); }

  void begin(Client::RequestId id, const Request &request, double time_out, Client::ResultCallback done,
             Client::LateCallback late) {
    id_ = id, done_ = std::move(done), late_ = std::move(late);
    began_ = Clock::now();
    waited_once_more_ = false;
    give_up_at_ = began_ + span(time_out);
    out_ = write_request(request, server.address().to_string() + ":" + std::to_string(server.port()));
    if (state_ == State::idle) {
      become(State::asking);
      return write();
    }
    arm(std::min(span(client_.limits_.connect_time), span(time_out)));
    socket_.async_connect(server, [self = shared_from_this()](asio::error_code error) {
      if (self->state_ != State::connecting) return;
      if (error) return self->end(EndReason::unreachable);
      asio::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->become(State::asking);
      self->write();
      self->read();
    });
  }

  void as_stream(std::function<void(const Response &)> head, std::function<void(std::string_view)> data) {
    reader_.on_headers = [this, head] {
      become(State::streaming);
      timer_.cancel();
      head(reader_.response);
    };
    reader_.on_body = std::move(data);
  }

  void close() {
    if (state_ == State::closed) return;
    auto self = shared_from_this();
    become(State::closed);
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    client_.closed(*this);
  }

  void drop() { // cancelled: nobody waits any more
    done_ = nullptr, late_ = nullptr;
    close();
  }

  void orphan() { // the client goes away
    done_ = nullptr, late_ = nullptr;
    become(State::closed);
    asio::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void become(State next) { state_ = next; } // the one place where a connection's state changes

  void arm(Clock::duration wait) {
    timer_.expires_after(wait);
    timer_.async_wait([self = shared_from_this()](asio::error_code error) {
      if (!error && self->state_ != State::closed && self->timer_.expiry() <= Clock::now()) self->time_up();
    });
  }

  void time_up() {
    // Guards a process that stood still: answers that lie in the socket are read before a time-out is
    // believed.
    if (!waited_once_more_ && state_ != State::idle && Clock::now() - timer_.expiry() > kStoodStill) {
      waited_once_more_ = true;
      return arm(kOnceMore);
    }
    switch (state_) {
    case State::connecting:
      return end(EndReason::unreachable);
    case State::asking: { // the answer may still come: it is waited for, apart
      if (!late_) return end(EndReason::timed_out);
      become(State::late);
      client_.in_hand_.erase(id_);
      arm(span(client_.limits_.late_time));
      Result result;
      result.end_reason = EndReason::timed_out;
      return tell(std::move(result));
    }
    case State::late:
      ++client_.counters_.late_given_up;
      [[fallthrough]];
    default:
      close();
    }
  }

  void write() {
    arm(give_up_at_ - Clock::now());
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](asio::error_code, std::size_t) {
                        // An error shows in the read that is pending.
                      });
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t n) {
                              if (self->state_ == State::closed) return;
                              if (error) return self->peer_closed();
                              self->take({self->chunk_.data(), n});
                              if (self->state_ != State::closed) self->read();
                            });
  }

  void peer_closed() {
    if (state_ == State::idle) return close();
    auto progress = reader_.end_of_input();
    if (progress == MessageReader::Progress::complete) return answered();
    end(EndReason::reset);
  }

  void take(std::string_view bytes) {
    if (state_ == State::idle) return close(); // an answer to no request
    std::size_t taken = 0;
    auto progress = reader_.feed(bytes, taken);
    if (state_ == State::closed || progress == MessageReader::Progress::needs_more) return;
    if (progress == MessageReader::Progress::failed) return end(EndReason::malformed);
    bool more = taken < bytes.size(); // bytes beyond the one answer: this connection is not to be trusted
    answered(more);
  }

  void answered(bool spoilt = false) {
    Response response = std::move(reader_.response);
    bool keep = reader_.keep_alive() && !spoilt && state_ != State::streaming;
    reader_.start_next();
    State before = state_;
    auto self = shared_from_this();
    client_.in_hand_.erase(id_);
    if (keep) {
      become(State::idle);
      arm(span(client_.limits_.idle_time));
    } else {
      close();
    }
    if (before == State::late) {
      ++client_.counters_.late;
      if (auto late = std::exchange(late_, nullptr)) late(response);
      return;
    }
    Result result;
    result.end_reason = EndReason::answered;
    result.response = std::move(response);
    tell(std::move(result));
  }

  void end(EndReason ending) {
    bool owed = state_ != State::late;
    close();
    if (!owed) return;
    Result result;
    result.end_reason = ending;
    tell(std::move(result));
  }

  void tell(Result result) {
    result.duration = std::chrono::duration<double>(Clock::now() - began_).count();
    if (auto done = std::exchange(done_, nullptr)) done(result);
  }

  friend class Client;
  Client &client_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  MessageReader reader_;
  State state_ = State::connecting;
  bool waited_once_more_ = false;
  Client::RequestId id_ = 0;
  Client::ResultCallback done_;
  Client::LateCallback late_;
  Clock::time_point began_, give_up_at_;
  std::string out_;
  std::array<char, 4096> chunk_;
};

Client::~Client() {
  for (auto &[to, connections] : servers_) {
    for (auto &connection : connections) connection->orphan();
  }
}

std::shared_ptr<ClientConnection> Client::connection_to(const Endpoint &to, bool fresh) {
  auto &connections = servers_[to];
  if (!fresh) {
    for (auto it = connections.rbegin(); it != connections.rend(); ++it) {
      if ((*it)->fresh()) {
        ++counters_.reused;
        return *it;
      }
    }
  }
  if (connections.size() >= limits_.connections_per_server || in_all_ >= limits_.total_connections) {
    if (connections.empty()) servers_.erase(to);
    ++counters_.no_room;
    return nullptr;
  }
  ++counters_.opened;
  ++in_all_;
  connections.push_back(std::make_shared<ClientConnection>(*this, to));
  return connections.back();
}

Client::RequestId Client::no_room(RequestId id, ResultCallback done) {
  asio::post(io_, [done = std::move(done)] {
    Result result;
    result.end_reason = EndReason::no_capacity;
    if (done) done(result);
  });
  return id;
}

Client::RequestId Client::send(const Endpoint &to, const Request &request, double time_out,
                               ResultCallback done, LateCallback late) {
  RequestId id = next_++;
  auto connection = connection_to(to, false);
  if (!connection) return no_room(id, std::move(done));
  in_hand_[id] = connection;
  connection->begin(id, request, time_out, std::move(done), std::move(late));
  return id;
}

Client::RequestId Client::stream(const Endpoint &to, const Request &request, double head_time,
                                 std::function<void(const Response &)> head,
                                 std::function<void(std::string_view)> data, ResultCallback done) {
  RequestId id = next_++;
  auto connection = connection_to(to, true);
  if (!connection) return no_room(id, std::move(done));
  in_hand_[id] = connection;
  connection->as_stream(std::move(head), std::move(data));
  connection->begin(id, request, head_time, std::move(done), nullptr);
  return id;
}

bool Client::cancel(RequestId id) {
  auto it = in_hand_.find(id);
  if (it == in_hand_.end()) return false;
  auto connection = it->second.lock();
  in_hand_.erase(it);
  if (connection) connection->drop();
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

void Client::closed(ClientConnection &connection) {
  --in_all_;
  in_hand_.erase(connection.id_);
  auto it = servers_.find(connection.server);
  if (it == servers_.end()) return;
  std::erase_if(it->second, [&](const auto &one) { return one.get() == &connection; });
  if (it->second.empty()) servers_.erase(it);
}

} // namespace snowshore::http
