#include "http/server.h"

#include <array>
#include <chrono>

namespace snowshore::http {

namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kSweepEvery = std::chrono::milliseconds(100);
constexpr double kNeverAsked = 0.1,
                 kUsedIdle = 1; // silent for so long, a connection may be closed for another
constexpr auto kFullPause = std::chrono::milliseconds(10);   // until room is looked for again
constexpr auto kAcceptPause = std::chrono::milliseconds(50); // after a failed accept (out of descriptors)

double since(Clock::time_point then) { return std::chrono::duration<double>(Clock::now() - then).count(); }

} // namespace

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  enum class State { reading, in_hand, streaming, writing, closed };

  ServerConnection(Server &server, asio::ip::tcp::socket socket)
      : server_(server), socket_(std::move(socket)),
        reader_(MessageReader::Kind::request, server.limits_.read) {
    asio::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto remote = socket_.remote_endpoint(ignored);
    if (!ignored) peer_ = remote.address().to_string() + ":" + std::to_string(remote.port());
  }

  void start() { read(); }
  std::list<std::shared_ptr<ServerConnection>>::iterator place;

  State state() const { return state_; }
  bool idle() const { return state_ == State::reading && !reader_.has_begun(); }
  bool used() const { return used_; }
  bool has_unread() const {
    asio::error_code error;
    return socket_.available(error) > 0;
  }
  Clock::time_point changed() const { return changed_; }

  // What has lasted too long is cut; called by the server's sweep.
  void check_times() {
    const ServerLimits &limits = server_.limits_;
    if (state_ == State::reading) {
      bool waits_for_next = used_ && !reader_.has_begun();
      if (since(changed_) <= (waits_for_next ? limits.idle_time : limits.header_time)) return;
      ++(waits_for_next ? server_.counters_.idle_cut : server_.counters_.slow_cut);
      if (reader_.has_begun()) return refuse(408, "the request took too long");
      close();
    } else if (writing_now_ && since(write_began_) > limits.write_time) {
      ++server_.counters_.slow_cut;
      close(true);
    }
  }

  void answer(const Response &response) {
    if (state_ != State::in_hand) return;
    bool keep = keep_alive_ && !server_.draining_;
    close_after_ = !keep;
    out_ += write_response(response, keep);
    become(State::writing);
    flush();
  }

  void open_stream(const Response &head) {
    if (state_ != State::in_hand) return;
    close_after_ = true; // a stream's connection ends with it
    out_ += write_stream_head(head);
    become(State::streaming);
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
    become(State::writing);
    flush();
  }

  void close(bool by_reset = false) {
    if (state_ == State::closed) return;
    auto self = shared_from_this();
    bool owed = state_ == State::in_hand || state_ == State::streaming;
    become(State::closed);
    asio::error_code ignored;
    if (by_reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    if (!by_reset) socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    auto exchange = std::move(exchange_);
    server_.gone(place);
    if (owed && exchange && exchange->on_disconnect) {
      auto told = std::move(exchange->on_disconnect);
      told();
    }
  }

 private:
  void become(State next) { // the one place where a connection's state changes
    state_ = next;
    changed_ = Clock::now();
  }

  void read() {
    if (reading_now_ || state_ == State::closed || waiting_.size() > server_.limits_.pipelined_bytes) return;
    reading_now_ = true;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](asio::error_code error, std::size_t n) {
                              self->reading_now_ = false;
                              if (self->state_ == State::closed) return;
                              if (error) {
                                if (self->state_ == State::in_hand)
                                  ++self->server_.counters_.disconnected_early;
                                if (self->state_ == State::writing && error == asio::error::eof)
                                  return; // its last answer still goes out
                                return self->close();
                              }
                              self->waiting_.append(self->chunk_.data(), n);
                              self->take();
                              self->read();
                            });
  }

  void take() {
    while (state_ == State::reading && !waiting_.empty()) {
      bool had_begun = reader_.has_begun();
      std::size_t taken = 0;
      auto progress = reader_.feed(waiting_, taken);
      waiting_.erase(0, taken);
      if (!had_begun && reader_.has_begun()) changed_ = Clock::now();
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
      become(State::in_hand);
      auto exchange = exchange_;
      server_.handler_(request, exchange);
    }
  }

  void refuse(int status, const std::string &why) {
    Response response;
    response.status = status;
    response.body = why + "\n";
    keep_alive_ = false;
    become(State::in_hand);
    answer(response);
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
                        self->become(State::reading);
                        self->take();
                        self->read();
                      });
  }

  Server &server_;
  asio::ip::tcp::socket socket_;
  MessageReader reader_;
  State state_ = State::reading;
  Clock::time_point changed_ = Clock::now(), write_began_ = changed_;
  bool reading_now_ = false, writing_now_ = false, close_after_ = false, keep_alive_ = true, used_ = false;
  std::array<char, 4096> chunk_;
  std::string waiting_, out_, sending_, peer_;
  std::shared_ptr<Exchange> exchange_;
};

void Exchange::respond(const Response &response) {
  if (begun_) return;
  begun_ = ended_ = true;
  on_disconnect = nullptr;
  if (auto c = connection_.lock()) c->answer(response);
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
    : io_(io), acceptor_(io), sweep_timer_(io), accept_timer_(io), limits_(limits),
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
  local_ = acceptor_.local_endpoint();
  accept();
  sweep();
}

Server::~Server() { stop(); }

void Server::accept() {
  // At the limit nobody is turned away: those who come wait in the listen queue until there is room.
  if (connections_.size() >= limits_.connections && !make_room()) {
    ++counters_.accept_pauses;
    return accept_later(kFullPause);
  }
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, asio::ip::tcp::socket socket) {
        if (alive.expired() || stopped_ || draining_) return;
        if (error) { // out of descriptors, mostly: those that are open go on, and accepting resumes by itself
          ++counters_.accept_faults;
          make_room();
          return accept_later(kAcceptPause);
        }
        ++counters_.accepted;
        auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        connections_.push_back(connection);
        connection->place = std::prev(connections_.end());
        connection->start();
        accept();
      });
}

void Server::accept_later(std::chrono::milliseconds pause) {
  accept_timer_.expires_after(pause);
  accept_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code stopped) {
    if (!alive.expired() && !stopped && !stopped_ && !draining_) accept();
  });
}

// Guards those who ask against those who only hold a connection: the longest silent one goes, first of those
// that never asked for anything. One whose request lies unread in its socket is not silent.
bool Server::make_room() {
  std::shared_ptr<ServerConnection> longest;
  for (const auto &connection : connections_) {
    if (connection->state() != ServerConnection::State::reading) continue;
    if (since(connection->changed()) < (connection->idle() && !connection->used() ? kNeverAsked : kUsedIdle))
      continue;
    bool first = !longest || (longest->used() && !connection->used()) ||
                 (longest->used() == connection->used() && connection->changed() < longest->changed());
    if (first && !connection->has_unread()) longest = connection;
  }
  if (!longest) return false;
  ++counters_.idle_cut;
  longest->close();
  return true;
}

void Server::sweep() {
  sweep_timer_.expires_after(kSweepEvery);
  sweep_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired() || stopped_) return;
    for (auto it = connections_.begin(); it != connections_.end();) {
      auto connection = *it++;
      connection->check_times();
    }
    sweep();
  });
}

void Server::gone(std::list<std::shared_ptr<ServerConnection>>::iterator where) {
  connections_.erase(where);
  if (!draining_ || !connections_.empty() || !drained_) return;
  auto done = std::move(drained_);
  drained_ = nullptr;
  asio::post(io_, std::move(done));
}

void Server::drain(std::function<void()> done) {
  draining_ = true;
  drained_ = std::move(done);
  asio::error_code ignored;
  acceptor_.close(ignored);
  for (auto it = connections_.begin(); it != connections_.end();) {
    auto connection = *it++;
    if (connection->idle()) connection->close();
  }
  if (connections_.empty() && drained_) asio::post(io_, std::exchange(drained_, nullptr));
}

void Server::stop(bool by_reset) {
  stopped_ = true;
  asio::error_code ignored;
  acceptor_.close(ignored);
  sweep_timer_.cancel();
  accept_timer_.cancel();
  while (!connections_.empty()) {
    auto connection = connections_.front();
    connection->close(by_reset);
  }
}

} // namespace snowshore::http
