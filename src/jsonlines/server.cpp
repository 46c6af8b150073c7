#include "jsonlines/server.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>

namespace snowshore::jsonlines {

using telemetry::steady_seconds;

namespace {

constexpr auto kAcceptPause = std::chrono::milliseconds(20); // without a free descriptor or connection
constexpr auto kLookEvery = std::chrono::milliseconds(100);
constexpr std::size_t kAcceptsATurn = 32;
constexpr double kSettled = 0.05; // within so long a request may cross the close of its connection

} // namespace

struct Server::Connection {
  ConnectionId id = 0;
  asio::ip::tcp::socket socket;
  State state = State::silent;
  LineReader lines;
  std::string rest; // read, not yet its turn
  std::string unsent, sending;
  int held = 0;
  bool vouched = false, closes = false; // closes: when no request is open on it
  double waits_since = 0, heard_at = 0; // since when something whole is due from it (below 0: nothing is)
  explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}
};

Server::Server(asio::io_context &io, const asio::ip::tcp::endpoint &at, Limits limits, Events events)
    : io_(io), limits_(limits), events_(std::move(events)), acceptor_(io), accept_timer_(io),
      look_timer_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
  accept();
  look();
}

Server::~Server() { stop(); }

void Server::stop() {
  accepting_ = false;
  asio::error_code ignored;
  acceptor_.close(ignored);
  accept_timer_.cancel();
  look_timer_.cancel();
  auto all = std::move(all_);
  all_.clear();
  for (auto &[id, one] : all) {
    become(*one, State::closed);
    one->socket.close(ignored);
  }
}

// A connection that the system has accepted may hold a whole request: the listener closes once none waits.
void Server::stop_accepting() {
  if (!accepting_ || last_accepts_) return;
  last_accepts_ = true;
  asio::error_code ignored;
  acceptor_.cancel(ignored);
  accept_waiting();
}

bool Server::is_drained() {
  return !acceptor_.is_open() && std::ranges::none_of(all_, [](const auto &entry) {
    Connection &one = *entry.second;
    return unread(one) || !one.unsent.empty() || !one.sending.empty() ||
           (one.state != State::closing && one.lines.has_partial_line());
  });
}

std::size_t Server::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto &[id, one] : all_) sum += one->unsent.size() + one->sending.size();
  return sum;
}

// A socket closed with bytes unread is reset, which may take an answer with it that the viewer has not read.
void Server::finish_sending() {
  asio::error_code ignored;
  for (auto &[id, one] : all_) {
    become(*one, State::closing);
    one->socket.shutdown(asio::socket_base::shutdown_send, ignored);
  }
}

bool Server::unread(Connection &one) {
  asio::error_code failed;
  return one.state != State::closing && (!one.rest.empty() || one.socket.available(failed) > 0);
}

void Server::become(Connection &one, State next) { one.state = next; } // the one place where it changes

// Accepts all that wait, in bounded turns, so that a crowd does not hold up the others.
void Server::accept() {
  if (!accepting_) return;
  if (last_accepts_) return accept_waiting();
  acceptor_.async_wait(asio::socket_base::wait_read,
                       [this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
                         if (alive.expired() || !accepting_ || last_accepts_) return;
                         if (error) return accept_later();
                         accept_waiting();
                       });
}

void Server::accept_waiting() {
  for (std::size_t i = 0; i < kAcceptsATurn; ++i) {
    if (all_.size() >= limits_.connections && !make_room()) {
      ++counters_.accept_pauses;
      return accept_later();
    }
    asio::error_code failed;
    asio::ip::tcp::socket socket(io_);
    acceptor_.accept(socket, failed);
    if (failed == asio::error::would_block || failed == asio::error::try_again) {
      if (!last_accepts_) break;
      accepting_ = false;
      acceptor_.close(failed);
      return;
    }
    if (failed == asio::error::connection_aborted) continue;
    if (failed) { // out of descriptors, mostly: those in use go on
      ++counters_.accept_faults;
      make_room();
      return accept_later();
    }
    adopt(std::move(socket));
  }
  if (!last_accepts_) return accept();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) accept();
  });
}

void Server::accept_later() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) accept();
  });
}

void Server::adopt(asio::ip::tcp::socket socket) {
  ++counters_.accepted;
  asio::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto one = std::make_shared<Connection>(std::move(socket));
  one->id = next_++;
  one->waits_since = one->heard_at = steady_seconds();
  all_[one->id] = one;
  read(one);
}

// Closes the one that is owed least: without an open request, never vouched for before vouched, longest
// unheard first. One that was heard of just now, or has said what was not read yet, is let be: a request may
// be on its way on it; one with an unsent answer is too, as long as it may be about to read that.
bool Server::make_room() {
  Connection *least = nullptr;
  bool newcomers = false; // that may go in a moment
  double now = steady_seconds();
  for (auto &[id, one] : all_) {
    bool unsent = !one->unsent.empty() || !one->sending.empty();
    newcomers = newcomers || one->state == State::silent;
    if (one->held > 0 || one->heard_at > now - (unsent ? limits_.first_line_timeout : kSettled) ||
        unread(*one))
      continue;
    if (!least || std::pair(one->vouched, one->heard_at) < std::pair(least->vouched, least->heard_at))
      least = one.get();
  }
  if (!least || (least->vouched && newcomers)) return false;
  ++counters_.room_cut;
  end(*least, "room");
  return true;
}

void Server::read(const std::shared_ptr<Connection> &one) {
  one->socket.async_wait(asio::socket_base::wait_read,
                         [this, one, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
                           if (alive.expired() || one->state == State::closed) return;
                           if (error) return end(*one, "wait");
                           asio::error_code failed;
                           std::size_t size = one->socket.read_some(asio::buffer(buffer_), failed);
                           if (failed == asio::error::would_block || failed == asio::error::try_again)
                             return read(one);
                           if (failed) return end(*one, failed == asio::error::eof ? "closed" : "reset");
                           turn(one, std::string_view(buffer_.data(), size));
                         });
}

void Server::turn(const std::shared_ptr<Connection> &one, std::string_view bytes) {
  if (one->state == State::closing) return read(one); // what it still says is not read any more
  std::size_t left = limits_.lines_per_turn, used = 0;
  bool read_all = one->lines.feed(bytes, [&](std::string_view line) {
    // line may lie in the reader, not in bytes: what is used is counted from the bytes' line ends
    used = bytes.find('\n', used) + 1;
    ++counters_.lines_received;
    one->heard_at = steady_seconds();
    if (one->state == State::silent) become(*one, State::talking);
    one->waits_since = -1;
    events_.on_line(one->id, line);
    return one->state == State::talking && --left > 0;
  });
  if (one->state == State::closed) return;
  if (!read_all) {
    ++counters_.overlong;
    return end(*one, "overlong");
  }
  if (one->state == State::closing) return read(one);
  if (left == 0 && used < bytes.size()) { // the others' turn
    one->rest.assign(bytes.substr(used));
    asio::post(io_, [this, one, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired() || one->state == State::closed) return;
      std::string rest = std::exchange(one->rest, {});
      turn(one, rest);
    });
    return;
  }
  if (one->waits_since < 0 && one->lines.has_partial_line()) one->waits_since = steady_seconds();
  read(one);
}

bool Server::send(ConnectionId id, std::string line) {
  auto it = all_.find(id);
  if (it == all_.end()) return false;
  auto one = it->second;
  ++counters_.lines_sent;
  one->unsent += line;
  if (one->unsent.size() + one->sending.size() > limits_.unsent_bytes) {
    ++counters_.unread_cut;
    asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) close_now(id);
    });
    return false;
  }
  if (one->sending.empty()) write(one);
  return true;
}

void Server::write(const std::shared_ptr<Connection> &one) {
  one->sending = std::exchange(one->unsent, {});
  asio::async_write(one->socket, asio::buffer(one->sending),
                    [this, one, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t) {
                      if (alive.expired() || one->state == State::closed) return;
                      if (error) return end(*one, "write");
                      one->sending.clear();
                      if (!one->unsent.empty()) return write(one);
                      if (one->state == State::closing) end(*one, "refused");
                    });
}

void Server::add_open_requests(ConnectionId id, int by) {
  auto it = all_.find(id);
  if (it == all_.end()) return;
  it->second->held += by;
  if (it->second->closes && it->second->held == 0) close_after_open_requests(id);
}

// Posted: the answer to the last request may come right after it was let go.
void Server::close_after_open_requests(ConnectionId id) {
  auto it = all_.find(id);
  if (it == all_.end()) return;
  it->second->closes = true;
  asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && open_requests(id) == 0) close_after_sending(id);
  });
}

bool Server::is_closing(ConnectionId id) const {
  auto it = all_.find(id);
  return it != all_.end() && (it->second->closes || it->second->state == State::closing);
}

int Server::open_requests(ConnectionId id) const {
  auto it = all_.find(id);
  return it == all_.end() ? 0 : it->second->held;
}

void Server::mark_trusted(ConnectionId id) {
  if (auto it = all_.find(id); it != all_.end()) it->second->vouched = true, vouched_ = id;
}

std::optional<Server::ConnectionId> Server::latest_trusted() const {
  if (all_.contains(vouched_)) return vouched_;
  const Connection *best = nullptr;
  for (const auto &[id, one] : all_) {
    if (one->vouched && one->state == State::talking && (!best || one->heard_at > best->heard_at))
      best = one.get();
  }
  return best ? std::optional(best->id) : std::nullopt;
}

bool Server::is_trusted(ConnectionId id) const {
  auto it = all_.find(id);
  return it != all_.end() && it->second->vouched;
}

void Server::close_after_sending(ConnectionId id) {
  auto it = all_.find(id);
  if (it == all_.end() || it->second->state == State::closed) return;
  auto one = it->second;
  become(*one, State::closing);
  one->waits_since = steady_seconds();
  if (one->sending.empty()) close_after_turn(id);
}

void Server::close_after_turn(ConnectionId id) {
  auto it = all_.find(id);
  if (it == all_.end()) return;
  become(*it->second, State::closing);
  asio::post(io_, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) close_now(id);
  });
}

void Server::close_now(ConnectionId id) {
  if (auto it = all_.find(id); it != all_.end()) end(*it->second, "cut");
}

void Server::end(Connection &one, const char *why) {
  if (one.state == State::closed) return;
  become(one, State::closed);
  asio::error_code ignored;
  one.socket.close(ignored);
  ConnectionId id = one.id;
  auto kept = all_.extract(id);
  events_.on_closed(id, why);
}

// Who connects and says nothing whole in time, or half a line, is closed; who stands idle after that is not.
void Server::look() {
  look_timer_.expires_after(kLookEvery);
  look_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double due = steady_seconds() - limits_.first_line_timeout;
    std::vector<ConnectionId> silent;
    for (auto &[id, one] : all_) {
      if (one->waits_since >= 0 && one->waits_since < due && one->held == 0 && !unread(*one))
        silent.push_back(id); // what is unread was said while the front stood still
    }
    for (ConnectionId id : silent) {
      ++counters_.silent_cut;
      close_now(id);
    }
    look();
  });
}

} // namespace snowshore::jsonlines
