#include "discovery/client.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>

namespace snowshore::discovery {

using telemetry::steady_seconds;
using telemetry::to_timer_duration;

namespace {

// All times are seconds. The channel sends a heartbeat every second. Two missing ones mean that it is stuck,
// which is found well within 4 s, the time after which an event counts as delivered.
constexpr double kSilenceTimeout = 2.2;
// A connection that has brought nothing yet is waited for at least so long, beside others. The time doubles
// with each that is given up, up to the longest, so that a channel that needs long for its first answer is
// heard.
constexpr double kFirstPatience = 8, kLongestPatience = 64;
// A connection may take a second to be established.
constexpr double kConnectTimeout = 1.5;
// A connection is due within 2 s after a break; these delays leave time for several attempts.
constexpr double kFirstReconnectDelay = 0.05, kMaxReconnectDelay = 0.4;
constexpr double kCheckInterval = 0.1;

} // namespace

Client::Client(asio::io_context &io, asio::ip::tcp::endpoint endpoint, NameTables names, List known,
               std::uint64_t seed, telemetry::Log &log)
    : io_(io), endpoint_(std::move(endpoint)), names_(std::move(names)), list_(std::move(known)), log_(log),
      backoff_(kFirstReconnectDelay, kMaxReconnectDelay, seed), reader_(names_), reconnect_timer_(io),
      check_timer_(io), patience_(kFirstPatience) {}

Client::~Client() {
  set_state(State::closed);
  close(current_);
  close(overdue_);
}

// All changes of the state go through this function.
void Client::set_state(State next) { state_ = next; }

double Client::silence() const { return steady_seconds() - data_received_at_; }

void Client::start(Events events) {
  events_ = std::move(events);
  data_received_at_ = steady_seconds();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    events_.list(list_.release());
    connect();
    check_timeouts();
  });
}

void Client::request_list() {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && state_ != State::idle) connect();
  });
}

void Client::set_paused(bool paused) {
  if (std::exchange(paused_, paused) == paused || paused || state_ != State::connected) return;
  // What arrived meanwhile is unread, so that the silence counts from now on.
  data_received_at_ = steady_seconds();
  if (!reading_) read(current_);
}

void Client::set_endpoint(const asio::ip::tcp::endpoint &endpoint) {
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  backoff_.reset();
  close(overdue_);
  patience_ = kFirstPatience;
  if (state_ != State::idle) connect();
}

void Client::close(ConnectionRef &connection) {
  if (!connection) return;
  asio::error_code ignored;
  connection->socket.close(ignored);
  connection = nullptr;
}

void Client::connect() {
  ++connection_serial_;
  ++counters_.connects;
  reading_ = false;
  close(current_);
  current_ = std::make_shared<Connection>(io_);
  reconnect_timer_.cancel();
  reader_.clear();
  gap_ = false;
  set_state(State::connecting);
  connect_started_at_ = steady_seconds();
  current_->socket.async_connect(
      endpoint_, [this, connection = current_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (alive.expired() || !is_in_use(connection)) return;
        if (!error) return established(connection);
        ++counters_.refused;
        reconnect_later();
      });
}

void Client::established(const ConnectionRef &connection) {
  set_state(State::connected);
  data_received_at_ = connection->connected_at = steady_seconds();
  for (std::size_t i = 0; i < 8; ++i)
    connection->resume_number[i] = static_cast<unsigned char>(list_.number() >> (56 - 8 * i));
  asio::async_write(
      connection->socket, asio::buffer(connection->resume_number),
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t) {
        if (!alive.expired() && is_in_use(connection) && error) connection_failed(connection, "write");
      });
  read(connection);
}

void Client::read(const ConnectionRef &connection) {
  if (connection == current_) {
    reading_ = !paused_;
    if (paused_) return;
  }
  connection->socket.async_read_some(
      asio::buffer(connection->buffer),
      [this, connection, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t size) {
        if (alive.expired() || !is_in_use(connection)) return;
        if (error) return connection_failed(connection, "closed");
        if (!connection->is_served) served(connection);
        data_received(connection, size);
      });
}

void Client::served(const ConnectionRef &connection) {
  connection->is_served = true;
  patience_ = kFirstPatience;
  if (connection == current_) return close(overdue_);
  ++connection_serial_;
  reconnect_timer_.cancel();
  close(current_);
  current_ = std::exchange(overdue_, nullptr);
  reader_.clear();
  gap_ = false;
  set_state(State::connected);
}

void Client::data_received(const ConnectionRef &connection, std::size_t size) {
  data_received_at_ = steady_seconds();
  changed_ = false;
  bool readable = reader_.feed(std::string_view(connection->buffer.data(), size),
                               [&](const Event &event) { apply_event(event); });
  if (std::exchange(changed_, false)) {
    backoff_.reset();
    std::weak_ptr<bool> alive = alive_;
    publish();
    if (alive.expired() || !is_in_use(connection)) return;
  }
  if (!readable) {
    ++counters_.unreadable;
    log_.warning("channel_unreadable", {{"cause", reader_.error()}});
    return disconnected("unreadable");
  }
  if (gap_) return disconnected("gap");
  backoff_.reset();
  read(connection);
}

void Client::connection_failed(const ConnectionRef &connection, const char *why) {
  if (connection == current_) return disconnected(why);
  close(overdue_);
}

void Client::wait_beside() {
  ++counters_.silences;
  if (overdue_ && steady_seconds() - overdue_->connected_at > patience_) {
    patience_ = std::min(2 * patience_, kLongestPatience);
    close(overdue_);
  }
  if (!overdue_) overdue_ = std::exchange(current_, nullptr);
  disconnected("silent");
}

void Client::apply_event(const Event &event) {
  // The channel sends the events after a gap again on the next connection.
  if (gap_) return;
  switch (list_.apply(event)) {
  case List::Result::applied:
    ++counters_.events;
    changed_ = true;
    if (event.is_full_list) {
      changed_servers_.clear();
      is_full_list_ = true;
    }
    changed_servers_.insert(changed_servers_.end(), event.servers.begin(), event.servers.end());
    counters_.skipped_records += event.skipped_records.size();
    for (const std::string &record : event.skipped_records)
      log_.warning("channel_record_passed_over", {{"record", record}});
    return;
  case List::Result::duplicate:
    ++counters_.repeated;
    return;
  case List::Result::gap:
    ++counters_.gaps;
    gap_ = true;
    return;
  case List::Result::unchanged:
    return;
  }
}

void Client::publish() {
  edge::ServerList update{list_.number(), std::exchange(changed_servers_, {})};
  (std::exchange(is_full_list_, false) ? events_.list : events_.changes)(std::move(update));
}

void Client::disconnected(const char *why) {
  ++counters_.breaks;
  log_.info("channel_broken", {{"cause", why}, {"number", list_.number()}});
  reconnect_later();
}

void Client::reconnect_later() {
  ++connection_serial_;
  close(current_);
  set_state(State::waiting_to_reconnect);
  reconnect_timer_.expires_after(to_timer_duration(backoff_.next_delay()));
  reconnect_timer_.async_wait(
      [this, serial = connection_serial_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (!error && !alive.expired() && serial == connection_serial_) connect();
      });
}

void Client::check_timeouts() {
  check_timer_.expires_after(to_timer_duration(kCheckInterval));
  check_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    if (state_ == State::connected && !paused_ && steady_seconds() - data_received_at_ > kSilenceTimeout) {
      if (!current_->is_served) {
        wait_beside();
      } else {
        ++counters_.silences;
        disconnected("silent");
      }
    } else if (state_ == State::connecting && steady_seconds() - connect_started_at_ > kConnectTimeout) {
      ++counters_.refused;
      reconnect_later();
    }
    check_timeouts();
  });
}

} // namespace snowshore::discovery
