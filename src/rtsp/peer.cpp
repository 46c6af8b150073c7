// Connection pool, set-ups, releases and probes of one media server.
#include "rtsp/peer.h"
#include "rtsp/piece_pauses.h"
#include "settings/hex_id.h"
#include "settings/platform_protocol.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace snowshore::rtsp {

using telemetry::steady_seconds;
using telemetry::to_timer_duration;

namespace {

// Seconds that a retired connection is kept, since a late answer on it must still be released.
constexpr double kRetiredLifetime = 1;

using settings::format_hex16;
using settings::kReleaseTimeLimit;

std::optional<std::uint64_t> session_of(const Message &message) {
  auto text = message.find_header("Session");
  return text ? settings::parse_hex16(*text) : std::nullopt;
}

// `cseq` is fixed for each method, so that a response is recognized by it: 1 SETUP, 2 TEARDOWN, 3 OPTIONS,
// 4 SET_PARAMETER.
Message request(const char *method, std::string uri, const char *cseq, std::uint64_t session) {
  Message message;
  message.method = method;
  message.uri = std::move(uri);
  message.add_header("CSeq", cseq);
  message.add_header("Session", format_hex16(session));
  return message;
}

constexpr const char *kSessionUri = "rtsp://media/session";
// Seconds that a half-closed connection waits for the server to close its side, within the protocol's second
// for passing on a release.
constexpr double kHalfClosedLifetime = 0.5;
// Seconds. A release whose connection ends within this time after it was written may not have been received.
constexpr double kDeliveryUncertain = 1;
constexpr std::size_t kMaxReleases = 1024;

} // namespace

struct Peer::Connection {
  asio::ip::tcp::socket socket;
  // connect_timer: ends the wait for the connection to be established, or for the end of a half-closed one.
  // settle_timer: delivers a message that arrived in pieces.
  asio::steady_timer connect_timer, settle_timer;
  State state = State::connecting;
  MessageReader reader;
  PiecePauses pauses;
  // Messages that wait to be written, with their sessions.
  std::vector<std::pair<std::uint64_t, std::string>> waiting;
  // The size of the waiting messages in bytes.
  std::size_t unsent = 0;
  // The bytes of the write in progress.
  std::string sending;
  // Sessions of the outstanding set-ups.
  std::vector<std::uint64_t> set_ups;
  // A retired connection is not chosen for new messages.
  bool retired = false;
  // Steady-clock seconds. partial_since: since when an incomplete message is buffered; negative when none is.
  double opened_at = 0, used_at = 0, received_at = 0, partial_since = -1, retired_at = 0;
  std::array<char, 4096> buffer;
  explicit Connection(asio::io_context &io) : socket(io), connect_timer(io), settle_timer(io) {}
  bool is_receiving() const { return state == State::open || state == State::half_closed; }
  bool has_unread_data() {
    asio::error_code failed;
    return socket.available(failed) > 0;
  }
};

Peer::Peer(asio::io_context &io, asio::ip::tcp::endpoint at, const Timeouts &timeouts, const Limits &limits,
           PeerCounters &counters, std::uint64_t seed, Events events)
    : io_(io), at_(std::move(at)), timeouts_(timeouts), limits_(limits), counters_(counters),
      next_probe_session_(seed | 1), events_(std::move(events)), probe_timer_(io) {}

Peer::~Peer() { shut_down(); }

void Peer::shut_down() {
  alive_.reset();
  counters_.connections -= connections_.size();
  counters_.half_closed -= half_closed_.size();
  connections_.splice(connections_.end(), half_closed_);
  for (auto &connection : connections_) close_socket(*connection);
  connections_.clear();
  pending_set_ups_.clear();
}

void Peer::close_all() {
  std::weak_ptr<bool> alive = alive_;
  for (auto &connection : std::vector(connections_.begin(), connections_.end())) {
    close(connection, EndReason::closed);
    if (alive.expired()) return;
  }
}

void Peer::set_state(Connection &connection, State next) { connection.state = next; }

void Peer::close_socket(Connection &connection) {
  set_state(connection, State::closed);
  connection.connect_timer.cancel();
  connection.settle_timer.cancel();
  asio::error_code ignored;
  connection.socket.close(ignored);
}

std::size_t Peer::open_connections() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      connections_, [](const auto &connection) { return connection->state == State::open; }));
}

std::optional<double> Peer::oldest_connection_age() const {
  std::optional<double> opened_at;
  for (const auto &connection : connections_) {
    if (connection->state == State::open)
      opened_at = std::min(opened_at.value_or(connection->opened_at), connection->opened_at);
  }
  return opened_at ? std::optional(steady_seconds() - *opened_at) : std::nullopt;
}

std::size_t Peer::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto &connection : connections_) sum += connection->unsent;
  return sum;
}

// Returns the connection with the fewest outstanding set-ups; established connections are preferred. A set-up
// opens another connection when every connection has set-ups and the limit permits it. Returns nullptr when
// no connection can be used or opened.
std::shared_ptr<Peer::Connection> Peer::choose_connection(bool for_set_up) {
  std::shared_ptr<Connection> best;
  auto rank = [](const Connection &connection) {
    return connection.set_ups.size() * 2 + (connection.state == State::connecting);
  };
  for (auto &connection : connections_) {
    if (connection->state == State::closed || connection->retired) continue;
    if (for_set_up && connection->set_ups.size() >= limits_.set_ups_per_connection) continue;
    // The server may be closing a connection that has been idle for nearly its timeout.
    if (connection->state == State::open && connection->set_ups.empty() &&
        steady_seconds() - connection->used_at > timeouts_.idle * 0.8)
      continue;
    if (!best || rank(*connection) < rank(*best)) best = connection;
  }
  std::size_t live = static_cast<std::size_t>(
      std::ranges::count_if(connections_, [](const auto &connection) { return !connection->retired; }));
  if (best && (!for_set_up || best->set_ups.empty() || live >= limits_.connections)) return best;
  if (!best && live >= limits_.connections) return nullptr;
  auto added = connect();
  return added ? added : best;
}

std::shared_ptr<Peer::Connection> Peer::connect() {
  if (!events_.may_connect()) return nullptr;
  auto connection = std::make_shared<Connection>(io_);
  connections_.push_back(connection);
  ++counters_.connects, ++counters_.connections;
  connection->used_at = steady_seconds();
  std::weak_ptr<bool> alive = alive_;
  connection->connect_timer.expires_after(to_timer_duration(timeouts_.connect));
  connection->connect_timer.async_wait([this, connection, alive](asio::error_code error) {
    if (!error && !alive.expired() && connection->state == State::connecting)
      close(connection, EndReason::connect_failed);
  });
  connection->socket.async_connect(at_, [this, connection, alive](asio::error_code error) {
    if (alive.expired() || connection->state != State::connecting) return;
    connection->connect_timer.cancel();
    if (error)
      return close(connection, error == asio::error::connection_refused ? EndReason::connection_refused
                                                                        : EndReason::connect_failed);
    asio::error_code ignored;
    connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    set_state(*connection, State::open);
    connection->opened_at = connection->used_at = steady_seconds();
    if (!connection->waiting.empty()) write(connection);
    read(connection);
    send_releases();
    events_.on_connected();
  });
  return connection;
}

void Peer::send(const std::shared_ptr<Connection> &connection, std::uint64_t session, std::string text) {
  if (connection->state == State::half_closed) return;
  connection->used_at = steady_seconds();
  connection->unsent += text.size();
  connection->waiting.emplace_back(session, std::move(text));
  if (connection->state != State::open) return;
  if (connection->sending.empty()) write(connection);
  // The server does not read.
  if (connection->unsent > limits_.unsent_bytes)
    asio::post(io_, [this, connection, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) close(connection, EndReason::reset);
    });
}

void Peer::write(const std::shared_ptr<Connection> &connection) {
  for (auto &[session, text] : std::exchange(connection->waiting, {})) connection->sending += text;
  connection->unsent = 0;
  asio::async_write(
      connection->socket, asio::buffer(connection->sending),
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t) {
        if (alive.expired() || connection->state != State::open) return;
        connection->sending.clear();
        if (error) return close(connection, EndReason::reset);
        if (!connection->waiting.empty()) write(connection);
      });
}

void Peer::read(const std::shared_ptr<Connection> &connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->buffer),
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t size) {
        if (alive.expired() || !connection->is_receiving() || !receiving_) return;
        if (error) {
          // Nothing can follow what was read.
          deliver_last(connection);
          if (alive.expired()) return;
          return close(connection, error == asio::error::eof ? EndReason::closed : EndReason::reset);
        }
        handle_input(connection, std::string_view(connection->buffer.data(), size));
        if (!alive.expired() && connection->is_receiving()) read(connection);
      });
}

void Peer::handle_input(const std::shared_ptr<Connection> &connection, std::string_view bytes) {
  std::weak_ptr<bool> alive = alive_;
  double now = steady_seconds();
  connection->used_at = connection->received_at = now;
  connection->pauses.piece_received(now, connection->reader.has_partial_message() ||
                                             connection->reader.ends_with_message());
  events_.on_data(now - connection->opened_at);
  bool readable = connection->reader.feed(bytes, [&](const Message &message) {
    if (!alive.expired() && connection->is_receiving()) handle_message(connection, message);
  });
  if (alive.expired() || !connection->is_receiving()) return;
  if (!readable) return close(connection, EndReason::unreadable);
  if (!connection->reader.has_partial_message())
    connection->partial_since = -1;
  else if (connection->partial_since < 0)
    connection->partial_since = now;
  if (connection->reader.ends_with_message()) settle(connection, bytes.size());
}

// Delivers the message that the received bytes end with, once no more of its bytes are to be expected.
void Peer::settle(const std::shared_ptr<Connection> &connection, std::size_t last_read) {
  bool has_more = last_read == connection->buffer.size() && connection->has_unread_data();
  double wait = connection->pauses.settle_time();
  if (!has_more && wait == 0) return deliver_last(connection);
  connection->settle_timer.expires_after(to_timer_duration(wait));
  connection->settle_timer.async_wait(
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (error || alive.expired() || !connection->is_receiving() || !receiving_) return;
        // What has arrived meanwhile is read first.
        if (!connection->has_unread_data()) deliver_last(connection);
      });
}

void Peer::deliver_last(const std::shared_ptr<Connection> &connection) {
  connection->reader.deliver_last([&](const Message &message) { handle_message(connection, message); });
}

void Peer::handle_message(const std::shared_ptr<Connection> &connection, const Message &message) {
  auto session = session_of(message);
  // Every message of this protocol has a session.
  if (!session) return close(connection, EndReason::unreadable);
  if (message.status == 0) {
    if (message.method == "TEARDOWN") {
      Message response;
      response.status = 200;
      if (auto number = message.find_header("CSeq")) response.add_header("CSeq", *number);
      response.add_header("Session", format_hex16(*session));
      send(connection, *session, rtsp::write_message(response));
      if (release_received(*session, message)) return;
    }
    return events_.on_request(*session, message);
  }
  // A provisional response.
  if (message.status < 200) return;
  auto number = message.find_header("CSeq");
  if (probe_session_ == *session && number == "3") {
    probe_session_ = 0;
    probe_timer_.cancel();
    return events_.on_probe_ended(EndReason::answered, &message);
  }
  // The response to a release.
  if (number == "2") std::erase_if(releases_, [&](const Release &one) { return one.session == *session; });
  // Responses to releases and rung changes need no further handling.
  if (number != "1") return;
  auto it = pending_set_ups_.find(*session);
  if (it != pending_set_ups_.end()) {
    // The set-up was sent on another connection.
    if (it->second.connection.lock() != connection) return;
    ++counters_.answers;
    return finish_set_up(*session, EndReason::answered, &message);
  }
  if (message.status != 200) return;
  if (std::ranges::find(given_up_, *session) == given_up_.end() || events_.has_session(*session)) {
    ++counters_.unexpected_answers;
    return;
  }
  ++counters_.late;
  release(*session, settings::kCauseEnded);
}

void Peer::finish_set_up(std::uint64_t session, EndReason reason, const Message *message) {
  auto it = pending_set_ups_.find(session);
  if (it == pending_set_ups_.end()) return;
  double took = steady_seconds() - it->second.sent_at;
  if (auto connection = it->second.connection.lock()) std::erase(connection->set_ups, session);
  pending_set_ups_.erase(it);
  events_.on_set_up_ended(session, reason, message, took);
}

void Peer::set_up(const SetUpRequest &set_up) {
  ++counters_.set_ups;
  auto fail = [&](EndReason reason) {
    asio::post(io_, [this, reason, session = set_up.session, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) events_.on_set_up_ended(session, reason, nullptr, 0);
    });
  };
  auto connection = choose_connection(true);
  if (!connection) {
    ++counters_.no_room;
    return fail(EndReason::no_capacity);
  }
  Message message = request("SETUP", "rtsp://media/" + std::string(set_up.title), "1", set_up.session);
  message.add_header("X-Tier", set_up.tier);
  message.add_header("X-Deadline", std::to_string(static_cast<long long>(set_up.timeout * 1000)));
  message.add_header("P-Level", std::to_string(set_up.rung));
  message.body = set_up.description;
  PendingSetUp &pending = pending_set_ups_[set_up.session];
  pending.connection = connection;
  pending.sent_at = steady_seconds();
  pending.number = ++set_up_count_;
  connection->set_ups.push_back(set_up.session);
  pending.timer = std::make_unique<asio::steady_timer>(io_, to_timer_duration(set_up.timeout));
  pending.timer->async_wait([this, session = set_up.session, number = pending.number,
                             alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    auto it = pending_set_ups_.find(session);
    if (it == pending_set_ups_.end() || it->second.number != number) return;
    auto silent = it->second.connection.lock();
    double sent = it->second.sent_at;
    bool may_have_run = cancel_set_up(session);
    // A connection that has received nothing since the set-up was sent may be dead.
    if (may_have_run && silent && silent->received_at <= sent) retire(silent);
    events_.on_set_up_ended(session, may_have_run ? EndReason::timed_out : EndReason::connect_failed, nullptr,
                            steady_seconds() - sent);
  });
  send(connection, set_up.session, rtsp::write_message(message));
}

// Returns true when the set-up may have reached the server.
bool Peer::cancel_set_up(std::uint64_t session) {
  auto it = pending_set_ups_.find(session);
  if (it == pending_set_ups_.end()) return false;
  ++counters_.given_up;
  given_up_[given_up_at_++ % given_up_.size()] = session;
  auto connection = it->second.connection.lock();
  pending_set_ups_.erase(it);
  if (!connection || connection->state == State::closed) return true;
  std::erase(connection->set_ups, session);
  // The message is still waiting when the connection is not established or the server does not read.
  if (std::erase_if(connection->waiting, [&](const auto &one) {
        bool matches = one.first == session;
        if (matches) connection->unsent -= one.second.size();
        return matches;
      }) > 0) {
    ++counters_.recalled_unsent;
    return false;
  }
  send(connection, session, rtsp::write_message(request("TEARDOWN", kSessionUri, "2", session)));
  return true;
}

bool Peer::release_received(std::uint64_t session, const Message &release) {
  if (!pending_set_ups_.contains(session)) return false;
  finish_set_up(session, EndReason::answered, &release);
  return true;
}

void Peer::close_connecting() {
  std::weak_ptr<bool> alive = alive_;
  for (auto &connection : std::vector(connections_.begin(), connections_.end())) {
    if (connection->state == State::connecting) close(connection, EndReason::no_capacity);
    if (alive.expired()) return;
  }
}

void Peer::release(std::uint64_t session, int cause) {
  double now = steady_seconds();
  while (!releases_.empty() &&
         (releases_.front().requested_at < now - kReleaseTimeLimit || releases_.size() >= kMaxReleases)) {
    counters_.releases_dropped += releases_.front().connection.expired();
    releases_.pop_front();
  }
  releases_.push_back({session, cause, now, 0, {}});
  send_releases();
}

// Sends the releases that were not sent yet or whose connection has ended since. Called again by maintain()
// until all are delivered or have expired.
void Peer::send_releases() {
  double now = steady_seconds();
  std::erase_if(releases_, [&](const Release &one) {
    auto connection = one.connection.lock();
    return (connection && connection->state == State::open && connection->sending.empty() &&
            connection->waiting.empty() && one.sent_at < now - kDeliveryUncertain) ||
           one.requested_at < now - kReleaseTimeLimit;
  });
  for (std::size_t i = 0; i < releases_.size(); ++i) {
    auto before = releases_[i].connection.lock();
    if (before && before->state != State::closed) continue;
    // Limits how often a release asks for a connection.
    if (releases_[i].sent_at > now - kDeliveryUncertain) continue;
    auto connection = choose_connection(false);
    if (!connection) return;
    Release &one = releases_[i];
    counters_.releases_again += one.sent_at > 0;
    one.connection = connection, one.sent_at = now;
    Message message = request("TEARDOWN", kSessionUri, "2", one.session);
    message.add_header("Reason", "cause=" + std::to_string(one.cause));
    send(connection, one.session, rtsp::write_message(message));
  }
}

bool Peer::has_unwritten_releases() const {
  return std::ranges::any_of(releases_, [](const Release &one) {
    auto connection = one.connection.lock();
    return !connection || connection->state != State::open || !connection->sending.empty() ||
           !connection->waiting.empty();
  });
}

void Peer::set_rung(std::uint64_t session, int rung) {
  Message message = request("SET_PARAMETER", kSessionUri, "4", session);
  message.add_header("P-Level", std::to_string(rung));
  if (auto connection = choose_connection(false)) send(connection, session, rtsp::write_message(message));
}

void Peer::probe() {
  auto fail = [&](EndReason reason) {
    asio::post(io_, [this, reason, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) events_.on_probe_ended(reason, nullptr);
    });
  };
  // One probe at a time; the result of the outstanding probe covers this call.
  if (probe_session_) return;
  auto connection = choose_connection(false);
  if (!connection) return fail(EndReason::no_capacity);
  probe_session_ = next_probe_session_ += 2;
  probe_timer_.expires_after(to_timer_duration(timeouts_.probe));
  probe_timer_.async_wait(
      [this, session = probe_session_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (error || alive.expired() || probe_session_ != session) return;
        probe_session_ = 0;
        events_.on_probe_ended(EndReason::timed_out, nullptr);
      });
  send(connection, probe_session_,
       rtsp::write_message(request("OPTIONS", "rtsp://media/load", "3", probe_session_)));
}

void Peer::try_connect() {
  if (std::ranges::none_of(connections_,
                           [](const auto &connection) { return connection->state == State::connecting; }))
    connect();
}

std::shared_ptr<Peer::Connection> Peer::oldest_idle() const {
  std::shared_ptr<Connection> oldest;
  for (const auto &connection : connections_) {
    bool idle = connection->state == State::open && connection->set_ups.empty();
    // What the server has sent must be handled first.
    if (idle && (connection->reader.ends_with_message() || connection->has_unread_data())) continue;
    if (idle && (!oldest || connection->opened_at < oldest->opened_at)) oldest = connection;
  }
  return oldest;
}

std::optional<double> Peer::oldest_idle_since() const {
  auto connection = oldest_idle();
  return connection ? std::optional(connection->opened_at) : std::nullopt;
}

void Peer::close_oldest_idle(bool has_sessions) {
  auto connection = oldest_idle();
  if (!connection) return;
  if (has_sessions && counters_.half_closed < limits_.half_closed) return half_close(connection);
  counters_.half_closes_skipped += has_sessions;
  close(connection, EndReason::no_capacity);
}

// A release that crosses the close is received; with the socket closed, the system would discard it.
void Peer::half_close(const std::shared_ptr<Connection> &connection) {
  set_state(*connection, State::half_closed);
  connections_.remove(connection);
  half_closed_.push_back(connection);
  --counters_.connections, ++counters_.half_closed;
  asio::error_code ignored;
  connection->socket.shutdown(asio::socket_base::shutdown_send, ignored);
  wait_for_server_end(connection);
  events_.on_disconnected(EndReason::no_capacity, open_connections() == 0);
}

void Peer::wait_for_server_end(const std::shared_ptr<Connection> &connection) {
  connection->connect_timer.expires_after(to_timer_duration(kHalfClosedLifetime));
  connection->connect_timer.async_wait(
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (error || alive.expired() || connection->state != State::half_closed || !receiving_) return;
        // Data that arrived in time is unread if this process did not run meanwhile.
        if (connection->has_unread_data()) return wait_for_server_end(connection);
        deliver_last(connection);
        if (!alive.expired()) finish_half_closed(connection);
      });
}

void Peer::finish_half_closed(const std::shared_ptr<Connection> &connection) {
  if (connection->state != State::half_closed) return;
  close_socket(*connection);
  half_closed_.remove(connection);
  --counters_.half_closed;
}

// Stops using the connection. maintain() closes it kRetiredLifetime seconds later, once its set-ups have
// ended.
void Peer::retire(const std::shared_ptr<Connection> &connection) {
  connection->retired = true;
  connection->retired_at = steady_seconds();
}

void Peer::close(const std::shared_ptr<Connection> &connection, EndReason reason) {
  if (connection->state == State::half_closed) return finish_half_closed(connection);
  if (connection->state == State::closed) return;
  close_socket(*connection);
  connections_.remove(connection);
  --counters_.connections;
  std::weak_ptr<bool> alive = alive_;
  auto set_ups = std::exchange(connection->set_ups, {});
  for (std::uint64_t session : set_ups) {
    finish_set_up(session, reason, nullptr);
    if (alive.expired()) return;
  }
  events_.on_disconnected(reason, open_connections() == 0);
}

// Closes connections with an incomplete message, retired connections and idle connections, the last before
// the server closes them. Then repeats releases.
void Peer::maintain() {
  ++counters_.maintenance_runs;
  std::weak_ptr<bool> alive = alive_;
  double now = steady_seconds();
  for (auto &connection : std::vector(connections_.begin(), connections_.end())) {
    bool unused = connection->set_ups.empty() && !connection->reader.ends_with_message();
    bool idle = connection->state == State::open && unused;
    double message_timeout = connection->set_ups.empty() ? timeouts_.idle_message : timeouts_.message;
    if (connection->state == State::open && connection->partial_since >= 0 &&
        now - connection->partial_since > message_timeout)
      close(connection, EndReason::unreadable);
    else if (connection->retired && unused && now - connection->retired_at > kRetiredLifetime)
      close(connection, EndReason::closed);
    else if (idle && now - connection->used_at > timeouts_.idle * 0.9)
      close(connection, EndReason::closed);
    if (alive.expired()) return;
  }
  send_releases();
}

} // namespace snowshore::rtsp
