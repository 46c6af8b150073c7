// Connections of the HTTP server.
#include "http/server.h"

#include <array>
#include <chrono>

namespace snowshore::http {

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(100);
// Seconds without input after which a connection may be closed to make room: one that has sent nothing yet,
// and one that has.
constexpr double kUnusedIdle = 0.1, kUsedIdle = 1;
// Delay before room is looked for again at the limit on connections.
constexpr auto kFullPause = std::chrono::milliseconds(10);
// Delay after a failed accept, which is usually for want of descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

double seconds_since(Clock::time_point then) {
  return std::chrono::duration<double>(Clock::now() - then).count();
}

} // namespace

// One connection, with the exchange of the request that is being handled.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  // handling: the handler has the request. writing: the response is complete and being sent.
  enum class State { reading, handling, streaming, writing, closed };

  ServerConnection(Server &server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)),
        reader_(MessageReader::Kind::request, server.limits_.read) {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto remote = socket_.remote_endpoint(ignored);
    if (!ignored) peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
  }

  void start() { read(); }
  // The position in the server's list.
  std::list<std::shared_ptr<ServerConnection>>::iterator position;

  State state() const { return state_; }
  bool idle() const { return state_ == State::reading && !reader_.has_begun(); }
  // Returns whether a request was read from the connection.
  bool used() const { return used_; }
  bool has_unread() const {
    asio::error_code error;
    return socket_.available(error) > 0;
  }
  Clock::time_point state_since() const { return state_since_; }

  // Closes the connection if it has exceeded a time limit.
  void enforce_time_limits() {
    const ServerLimits &limits = server_.limits_;
    if (state_ == State::reading) {
      bool waits_for_next = used_ && !reader_.has_begun();
      if (seconds_since(state_since_) <= (waits_for_next ? limits.idle_time : limits.header_time)) return;
      ++(waits_for_next ? server_.counters_.idle_cut : server_.counters_.slow_cut);
      if (reader_.has_begun()) return refuse(408, "the request took too long");
      close();
    } else if (writing_now_ && seconds_since(write_began_) > limits.write_time) {
      ++server_.counters_.slow_cut;
      close(true);
    }
  }

  void respond(const Response &response) {
    if (state_ != State::handling) return;
    bool keep = keep_alive_ && !server_.draining_;
    close_after_ = !keep;
    out_ += write_response(response, keep);
    set_state(State::writing);
    flush();
  }

  void open_stream(const Response &head) {
    if (state_ != State::handling) return;
    // The connection is not reused after a stream.
    close_after_ = true;
    out_ += write_stream_head(head);
    set_state(State::streaming);
    flush();
  }

  bool write(std::string_view chunk) {
    if (state_ != State::streaming) return false;
    if (out_.size() + chunk.size() > server_.limits_.unsent_stream_bytes) {
      ++server_.counters_.stream_cut;
      close(true);
      return false;
    }
    if (!chunk.empty()) out_ += write_chunk(chunk);
    flush();
    return true;
  }

  void end_stream() {
    if (state_ != State::streaming) return;
    out_ += write_chunk({});
    set_state(State::writing);
    flush();
  }

  void close(bool by_reset = false) {
    if (state_ == State::closed) return;
    auto self = shared_from_this();
    bool incomplete = state_ == State::handling || state_ == State::streaming;
    set_state(State::closed);
    asio::error_code ignored;
    if (by_reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    if (!by_reset) socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    auto exchange = std::move(exchange_);
    server_.on_closed(position);
    if (incomplete && exchange && exchange->on_disconnect) {
      auto callback = std::move(exchange->on_disconnect);
      callback();
    }
  }

 private:
  void set_state(State next) {
    state_ = next;
    state_since_ = Clock::now();
  }

  void read() {
    if (reading_now_ || state_ == State::closed || input_.size() > server_.limits_.pipelined_bytes) return;
    reading_now_ = true;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t n) {
                              self->reading_now_ = false;
                              if (self->state_ == State::closed) return;
                              if (error) {
                                if (self->state_ == State::handling)
                                  ++self->server_.counters_.disconnected_early;
                                // The complete response is still sent to a peer that has only shut down
                                // its sending side.
                                if (self->state_ == State::writing && error == asio::error::eof) return;
                                return self->close();
                              }
                              self->input_.append(self->chunk_.data(), n);
                              self->handle_input();
                              self->read();
                            });
  }

  // Reads requests from the buffered input and passes each to the handler, as long as no request is being
  // handled.
  void handle_input() {
    while (state_ == State::reading && !input_.empty()) {
      bool had_begun = reader_.has_begun();
      std::size_t consumed = 0;
      auto progress = reader_.feed(input_, consumed);
      input_.erase(0, consumed);
      if (!had_begun && reader_.has_begun()) state_since_ = Clock::now();
      if (progress == MessageReader::Progress::needs_more) return;
      if (progress == MessageReader::Progress::failed) {
        ++server_.counters_.malformed;
        return refuse(reader_.failure_status(), reader_.failure_reason());
      }
      ++server_.counters_.requests;
      used_ = true;
      keep_alive_ = reader_.keep_alive();
      exchange_ = std::make_shared<Exchange>();
      exchange_->connection_ = weak_from_this();
      exchange_->peer_address = peer_;
      Request request = std::move(reader_.request);
      reader_.start_next();
      set_state(State::handling);
      auto exchange = exchange_;
      server_.handler_(request, exchange);
    }
  }

  // Responds with an error and closes the connection after it.
  void refuse(int status, const std::string &reason) {
    Response response;
    response.status = status;
    response.body = reason + "\n";
    keep_alive_ = false;
    set_state(State::handling);
    respond(response);
  }

  void flush() {
    if (writing_now_ || out_.empty() || state_ == State::closed) return;
    writing_now_ = true;
    write_began_ = Clock::now();
    sending_.swap(out_);
    out_.clear();
    asio::async_write(socket_, asio::buffer(sending_),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                        self->writing_now_ = false;
                        self->sending_.clear();
                        if (self->state_ == State::closed) return;
                        if (error) return self->close();
                        if (!self->out_.empty()) return self->flush();
                        if (self->state_ != State::writing) return;
                        self->exchange_.reset();
                        if (self->close_after_) return self->close();
                        self->set_state(State::reading);
                        self->handle_input();
                        self->read();
                      });
  }

  Server &server_;
  asio::ip::tcp::socket socket_;
  MessageReader reader_;
  State state_ = State::reading;
  Clock::time_point state_since_ = Clock::now(), write_began_ = state_since_;
  bool reading_now_ = false, writing_now_ = false, close_after_ = false, keep_alive_ = true, used_ = false;
  std::array<char, 4096> chunk_;
  // input_: bytes not yet read as a request. out_: bytes that wait for the write in progress, whose bytes are
  // in sending_.
  std::string input_, out_, sending_, peer_;
  std::shared_ptr<Exchange> exchange_;
};

void Exchange::respond(const Response &response) {
  if (begun_) return;
  begun_ = ended_ = true;
  on_disconnect = nullptr;
  if (auto c = connection_.lock()) c->respond(response);
}

void Exchange::open_stream(const Response &head) {
  if (begun_) return;
  begun_ = true;
  if (auto c = connection_.lock()) c->open_stream(head);
}

bool Exchange::write(std::string_view chunk) {
  auto c = connection_.lock();
  return begun_ && !ended_ && c && c->write(chunk);
}

void Exchange::end_stream() {
  if (!begun_ || ended_) return;
  ended_ = true;
  on_disconnect = nullptr;
  if (auto c = connection_.lock()) c->end_stream();
}

void Exchange::reset_connection() {
  on_disconnect = nullptr;
  begun_ = ended_ = true;
  if (auto c = connection_.lock()) c->close(true);
}

bool Exchange::is_open() const {
  auto c = connection_.lock();
  return !ended_ && c && c->state() != ServerConnection::State::closed;
}

Server::Server(asio::io_context &io, const Endpoint &where, const ServerLimits &limits, Handler handler)
    : io_(io), acceptor_(io), timeout_timer_(io), accept_timer_(io), limits_(limits),
      handler_(std::move(handler)) {
  asio::error_code error;
  acceptor_.open(where.protocol(), error);
  if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor_.bind(where, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    throw std::system_error(error.value(), std::system_category(),
                            "cannot listen on " + where.address().to_string() + ":" +
                                std::to_string(where.port()));
  local_endpoint_ = acceptor_.local_endpoint();
  accept();
  check_timeouts();
}

Server::~Server() { stop(); }

void Server::accept() {
  // At the limit no connection is refused: new ones wait in the listen queue until there is room.
  if (connections_.size() >= limits_.connections && !make_room()) {
    ++counters_.accept_pauses;
    return accept_later(kFullPause);
  }
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, asio::ip::tcp::socket socket) {
        if (alive.expired() || stopped_ || draining_) return;
        // Usually out of descriptors: open connections are still served and accepting resumes by itself.
        if (error) {
          ++counters_.accept_faults;
          make_room();
          return accept_later(kAcceptRetryDelay);
        }
        ++counters_.accepted;
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        connections_.push_back(connection);
        connection->position = std::prev(connections_.end());
        connection->start();
        accept();
      });
}

void Server::accept_later(std::chrono::milliseconds pause) {
  accept_timer_.expires_after(pause);
  accept_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!alive.expired() && !error && !stopped_ && !draining_) accept();
  });
}

// Closes a connection that sends nothing in favor of a new one and returns whether it did. Connections that
// never sent a request go first, then those silent for the longest time. A connection whose request is unread
// in its socket is kept.
bool Server::make_room() {
  std::shared_ptr<ServerConnection> candidate;
  for (const auto &connection : connections_) {
    if (connection->state() != ServerConnection::State::reading) continue;
    if (seconds_since(connection->state_since()) <
        (connection->idle() && !connection->used() ? kUnusedIdle : kUsedIdle))
      continue;
    bool preferred =
        !candidate || (candidate->used() && !connection->used()) ||
        (candidate->used() == connection->used() && connection->state_since() < candidate->state_since());
    if (preferred && !connection->has_unread()) candidate = connection;
  }
  if (!candidate) return false;
  ++counters_.idle_cut;
  candidate->close();
  return true;
}

void Server::check_timeouts() {
  timeout_timer_.expires_after(kTimeoutCheckInterval);
  timeout_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired() || stopped_) return;
    for (auto it = connections_.begin(); it != connections_.end();) {
      auto connection = *it++;
      connection->enforce_time_limits();
    }
    check_timeouts();
  });
}

void Server::on_closed(std::list<std::shared_ptr<ServerConnection>>::iterator where) {
  connections_.erase(where);
  if (!draining_ || !connections_.empty() || !drain_done_) return;
  auto done = std::move(drain_done_);
  drain_done_ = nullptr;
  asio::post(io_, std::move(done));
}

void Server::drain(std::function<void()> done) {
  draining_ = true;
  drain_done_ = std::move(done);
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto connection = *it++;
    if (connection->idle()) connection->close();
  }
  if (connections_.empty() && drain_done_) asio::post(io_, std::exchange(drain_done_, nullptr));
}

void Server::stop(bool by_reset) {
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  timeout_timer_.cancel();
  accept_timer_.cancel();
  while (!connections_.empty()) {
    auto connection = connections_.front();
    connection->close(by_reset);
  }
}

} // namespace snowshore::http
