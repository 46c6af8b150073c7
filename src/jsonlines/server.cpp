// Connection handling of the viewers' line server.
#include "jsonlines/server.h"
#include "telemetry/loop_clock.h"

#include <poll.h>

#include <algorithm>
#include <chrono>

namespace snowshore::jsonlines {

using telemetry::steady_seconds;

namespace {

// Delay before accepting resumes when no descriptor or no connection slot is free.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr auto kTimeoutCheckInterval = std::chrono::milliseconds(100);
constexpr std::size_t kAcceptsPerTurn = 32;
// So many connections with more lines than a turn halve the turns.
constexpr std::size_t kFullTurns = 4;
// Seconds. A connection that was heard from more recently is not closed to make room, since another request
// may already be on its way and would be lost.
constexpr double kRecentlyActive = 0.05;

// Returns whether the other side has closed or reset the connection, also where bytes are still unread.
bool has_hung_up(asio::ip::tcp::socket &socket) {
  pollfd poll_entry{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

struct Server::Connection {
  ConnectionId id = 0;
  asio::ip::tcp::socket socket;
  State state = State::awaiting_first_line;
  LineReader lines;
  // Bytes that were read but exceeded the connection's turn.
  std::string deferred_input;
  // sending: the bytes of the write in progress. unsent: the bytes that wait for it.
  std::string unsent, sending;
  // The part of Server::buffered_bytes_.
  std::size_t buffered = 0;
  int open_requests = 0;
  // close_when_idle: the connection is closed when no request is open on it.
  // peer_closed: the viewer has closed its side, though not all of its bytes may have been read.
  // write_failed: nothing can be sent any more; what was received is still handled.
  // requested: a viewer has made a request on it.
  bool trusted = false, requested = false, close_when_idle = false, peer_closed = false, write_failed = false;
  // Steady-clock seconds. awaiting_since: since when a complete line is awaited; negative when none is.
  double awaiting_since = 0, received_at = 0;
  explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
  std::size_t held_bytes() const {
    return lines.partial_bytes() + deferred_input.size() + unsent.size() + sending.size();
  }
};

Server::Server(asio::io_context &io, const asio::ip::tcp::endpoint &at, Limits limits, Events events)
    : io_(io), limits_(limits), events_(std::move(events)), acceptor_(io), accept_timer_(io),
      timeout_timer_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
  accept();
  check_timeouts();
}

Server::~Server() { stop(); }

void Server::stop() {
  accepting_ = false;
  asio::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  timeout_timer_.cancel();
  auto connections = std::move(connections_);
  connections_.clear();
  buffered_bytes_ = 0;
  for (auto &[id, connection] : connections) {
    set_state(*connection, State::closed);
    connection->socket.close(ignored);
  }
}

// A connection that the operating system has queued may already carry a complete request, so the listener is
// closed only once the queue is empty.
void Server::stop_accepting() {
  if (!accepting_ || draining_backlog_) return;
  draining_backlog_ = true;
  asio::error_code ignored;
  acceptor_.cancel(ignored);
  accept_waiting();
}

bool Server::is_drained() {
  return !acceptor_.is_open() && std::ranges::none_of(connections_, [](const auto &entry) {
    Connection &connection = *entry.second;
    return has_unread_data(connection) || !connection.unsent.empty() || !connection.sending.empty() ||
           (connection.state != State::closing && connection.lines.has_partial_line());
  });
}

std::size_t Server::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto &[id, connection] : connections_)
    sum += connection->unsent.size() + connection->sending.size();
  return sum;
}

// The sockets are not closed: closing a socket with unread input sends a reset, which may discard an answer
// that the viewer has not read yet.
void Server::finish_sending() {
  asio::error_code ignored;
  for (auto &[id, connection] : connections_) {
    set_state(*connection, State::closing);
    connection->socket.shutdown(asio::socket_base::shutdown_send, ignored);
  }
}

bool Server::has_unread_data(Connection &connection) {
  asio::error_code failed;
  return connection.state != State::closing &&
         (!connection.deferred_input.empty() || connection.socket.available(failed) > 0);
}

void Server::set_state(Connection &connection, State next) { connection.state = next; }

// Waits for incoming connections. They are accepted in bounded batches, so that a burst of new connections
// does not delay the established ones.
void Server::accept() {
  if (!accepting_) return;
  if (draining_backlog_) return accept_waiting();
  acceptor_.async_wait(asio::socket_base::wait_read,
                       [this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
                         if (alive.expired() || !accepting_ || draining_backlog_) return;
                         if (error) return accept_later();
                         accept_waiting();
                       });
}

void Server::accept_waiting() {
  for (std::size_t i = 0; i < kAcceptsPerTurn; ++i) {
    if (connections_.size() >= limits_.connections && !make_room()) {
      ++counters_.accept_pauses;
      return accept_later();
    }
    asio::error_code failed;
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, failed);
    if (failed == asio::error::would_block || failed == asio::error::try_again) {
      if (!draining_backlog_) break;
      accepting_ = false;
      acceptor_.close(failed);
      return;
    }
    if (failed == asio::error::connection_aborted) continue;
    // Usually out of descriptors; established connections are still served.
    if (failed) {
      ++counters_.accept_faults;
      make_room();
      return accept_later();
    }
    add_connection(std::move(socket));
  }
  if (!draining_backlog_) return accept();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) accept();
  });
}

void Server::accept_later() {
  accept_timer_.expires_after(kAcceptRetryDelay);
  accept_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) accept();
  });
}

void Server::add_connection(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto connection = std::make_shared<Connection>(std::move(socket));
  connection->id = next_id_++;
  connection->awaiting_since = connection->received_at = steady_seconds();
  connections_[connection->id] = connection;
  read(connection);
}

// Closes a connection to admit a new one; returns whether it did. Only connections without open requests
// qualify: untrusted ones go before trusted ones, then those heard from least recently. A connection that was
// heard from just now or has unread data is kept, since a request may be on its way. One with unsent data is
// kept for first_line_timeout after it was last heard from, since its viewer may be about to read. A trusted
// connection is not closed while other connections have yet to send their first line, since those may soon be
// closed instead.
bool Server::make_room() {
  Connection *candidate = nullptr;
  bool awaiting_any = false;
  double now = steady_seconds();
  for (auto &[id, connection] : connections_) {
    bool unsent = !connection->unsent.empty() || !connection->sending.empty();
    awaiting_any = awaiting_any || connection->state == State::awaiting_first_line;
    if (connection->open_requests > 0 ||
        connection->received_at > now - (unsent ? limits_.first_line_timeout : kRecentlyActive) ||
        has_unread_data(*connection))
      continue;
    if (!candidate || std::pair(connection->trusted, connection->received_at) <
                          std::pair(candidate->trusted, candidate->received_at))
      candidate = connection.get();
  }
  if (!candidate || (candidate->trusted && awaiting_any)) return false;
  ++counters_.room_cut;
  close(*candidate, "room");
  return true;
}

void Server::read(const std::shared_ptr<Connection> &connection) {
  connection->socket.async_wait(
      asio::socket_base::wait_read,
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (alive.expired() || connection->state == State::closed) return;
        if (error) return close(*connection, "wait");
        asio::error_code failed;
        std::size_t size = connection->socket.read_some(asio::buffer(buffer_), failed);
        if (failed == asio::error::would_block || failed == asio::error::try_again) return read(connection);
        if (failed) return close(*connection, failed == asio::error::eof ? "closed" : "reset");
        handle_input(connection, std::string_view(buffer_.data(), size));
      });
}

std::size_t Server::lines_per_turn() const {
  return std::max<std::size_t>(1, limits_.lines_per_turn * kFullTurns / (kFullTurns + deferred_connections_));
}

void Server::handle_input(const std::shared_ptr<Connection> &connection, std::string_view bytes) {
  if (connection->state == State::closing) return read(connection); // further input is discarded
  std::size_t lines_left = lines_per_turn(), consumed = 0;
  bool read_all = connection->lines.feed(bytes, [&](std::string_view line) {
    // `line` may point into the reader instead of `bytes`, so the consumed length is found by searching
    // `bytes` for line ends.
    consumed = bytes.find('\n', consumed) + 1;
    ++counters_.lines_received;
    connection->received_at = steady_seconds();
    if (connection->state == State::awaiting_first_line) set_state(*connection, State::active);
    connection->awaiting_since = -1;
    events_.on_line(connection->id, line);
    return connection->state == State::active && --lines_left > 0;
  });
  if (connection->state == State::closed) return;
  if (!read_all) {
    ++counters_.overlong;
    return close(*connection, "overlong");
  }
  if (connection->state == State::closing) return read(connection);
  // The turn is used up: the rest waits until the other connections have been served.
  if (lines_left == 0 && consumed < bytes.size()) {
    connection->deferred_input.assign(bytes.substr(consumed));
    count_buffered(*connection);
    ++deferred_connections_;
    asio::post(io_, [this, connection, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired()) return;
      --deferred_connections_;
      if (connection->state == State::closed) return;
      std::string deferred = std::exchange(connection->deferred_input, {});
      connection->peer_closed = connection->peer_closed || has_hung_up(connection->socket);
      handle_input(connection, deferred);
    });
    return;
  }
  if (connection->awaiting_since < 0 && connection->lines.has_partial_line())
    connection->awaiting_since = steady_seconds();
  count_buffered(*connection);
  read(connection);
}

bool Server::send(ConnectionId id, std::string line) {
  auto it = connections_.find(id);
  if (it == connections_.end() || it->second->write_failed) return false;
  auto connection = it->second;
  ++counters_.lines_sent;
  connection->unsent += line;
  if (connection->unsent.size() + connection->sending.size() > limits_.unsent_bytes) {
    ++counters_.unread_cut;
    asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) close_now(id);
    });
    return false;
  }
  if (connection->sending.empty()) write(connection);
  count_buffered(*connection);
  return true;
}

void Server::count_buffered(Connection &connection) {
  if (connection.state == State::closed) return;
  std::size_t held = connection.held_bytes();
  buffered_bytes_ += held - std::exchange(connection.buffered, held);
  if (buffered_bytes_ <= limits_.buffered_bytes || std::exchange(freeing_, true)) return;
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) free_buffers();
  });
}

void Server::free_buffers() {
  freeing_ = false;
  while (buffered_bytes_ > limits_.buffered_bytes) {
    auto largest =
        std::ranges::max_element(connections_, {}, [](const auto &entry) { return entry.second->buffered; });
    ++counters_.buffer_cut;
    close_now(largest->first);
  }
}

void Server::write(const std::shared_ptr<Connection> &connection) {
  connection->sending = std::exchange(connection->unsent, {});
  asio::async_write(
      connection->socket, asio::buffer(connection->sending),
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t) {
        if (alive.expired() || connection->state == State::closed) return;
        connection->sending.clear();
        count_buffered(*connection);
        if (error) {
          // What the viewer sent before is handled first; reading then ends the connection.
          connection->peer_closed = connection->write_failed = true;
          connection->unsent.clear();
          count_buffered(*connection);
          return;
        }
        if (!connection->unsent.empty()) return write(connection);
        if (connection->state == State::closing) close(*connection, "refused");
      });
}

void Server::add_open_requests(ConnectionId id, int by) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->open_requests += by;
  if (it->second->close_when_idle && it->second->open_requests == 0) close_after_open_requests(id);
}

// The close is posted because the answer to the last request may be sent right after its count is
// decremented.
void Server::close_after_open_requests(ConnectionId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  it->second->close_when_idle = true;
  asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && open_requests(id) == 0) close_after_sending(id);
  });
}

bool Server::is_closing(ConnectionId id) const {
  auto it = connections_.find(id);
  return it != connections_.end() && (it->second->close_when_idle || it->second->state == State::closing);
}

bool Server::is_peer_closed(ConnectionId id) const {
  auto it = connections_.find(id);
  return it != connections_.end() && it->second->peer_closed;
}

int Server::open_requests(ConnectionId id) const {
  auto it = connections_.find(id);
  return it == connections_.end() ? 0 : it->second->open_requests;
}

void Server::mark_trusted(ConnectionId id) {
  if (auto it = connections_.find(id); it != connections_.end())
    it->second->trusted = true, latest_trusted_ = id;
}

template <class Condition>
std::optional<Server::ConnectionId> Server::latest_heard(Condition qualifies) const {
  const Connection *best = nullptr;
  for (const auto &[id, connection] : connections_) {
    if (qualifies(*connection) && connection->state == State::active && !connection->write_failed &&
        (!best || connection->received_at > best->received_at))
      best = connection.get();
  }
  return best ? std::optional(best->id) : std::nullopt;
}

std::optional<Server::ConnectionId> Server::latest_trusted() const {
  if (auto latest = connections_.find(latest_trusted_);
      latest != connections_.end() && !latest->second->write_failed)
    return latest_trusted_;
  return latest_heard([](const Connection &connection) { return connection.trusted; });
}

void Server::mark_requested(ConnectionId id) {
  if (auto it = connections_.find(id); it != connections_.end()) it->second->requested = true;
}

std::optional<Server::ConnectionId> Server::connection_for_end(std::size_t bytes) const {
  if (auto trusted = latest_trusted(); trusted && has_room_for_end(*trusted, bytes)) return trusted;
  auto with_room = [&](bool Connection::*quality) {
    return latest_heard([&](const Connection &connection) {
      return connection.*quality && has_room_for_end(connection.id, bytes);
    });
  };
  auto trusted = with_room(&Connection::trusted);
  return trusted ? trusted : with_room(&Connection::requested);
}

bool Server::has_room_for_end(ConnectionId id, std::size_t bytes) const {
  auto it = connections_.find(id);
  if (it == connections_.end()) return false;
  return it->second->unsent.size() + it->second->sending.size() + bytes <= limits_.unsent_bytes / 2;
}

bool Server::is_trusted(ConnectionId id) const {
  auto it = connections_.find(id);
  return it != connections_.end() && it->second->trusted;
}

void Server::close_after_sending(ConnectionId id) {
  auto it = connections_.find(id);
  if (it == connections_.end() || it->second->state == State::closed) return;
  auto connection = it->second;
  set_state(*connection, State::closing);
  connection->awaiting_since = steady_seconds();
  if (connection->sending.empty()) close_after_turn(id);
}

void Server::close_after_turn(ConnectionId id) {
  auto it = connections_.find(id);
  if (it == connections_.end()) return;
  set_state(*it->second, State::closing);
  asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) close_now(id);
  });
}

void Server::close_now(ConnectionId id) {
  if (auto it = connections_.find(id); it != connections_.end()) close(*it->second, "cut");
}

void Server::close(Connection &connection, const char *why) {
  if (connection.state == State::closed) return;
  set_state(connection, State::closed);
  buffered_bytes_ -= std::exchange(connection.buffered, 0);
  asio::error_code ignored;
  connection.socket.close(ignored);
  ConnectionId id = connection.id;
  // Keeps the connection alive during the call.
  auto kept = connections_.extract(id);
  events_.on_closed(id, why);
}

// Closes connections that sent no complete line in time after connecting or have left a line incomplete. A
// connection that is idle between lines is kept.
void Server::check_timeouts() {
  timeout_timer_.expires_after(kTimeoutCheckInterval);
  timeout_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double due = steady_seconds() - limits_.first_line_timeout;
    std::vector<ConnectionId> silent;
    for (auto &[id, connection] : connections_) {
      // Unread data arrived in time if the front itself was stalled.
      if (connection->awaiting_since >= 0 && connection->awaiting_since < due &&
          connection->open_requests == 0 && !has_unread_data(*connection))
        silent.push_back(id);
    }
    for (ConnectionId id : silent) {
      ++counters_.silent_cut;
      close_now(id);
    }
    check_timeouts();
  });
}

} // namespace snowshore::jsonlines
