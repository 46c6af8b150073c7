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
// A connection may take a second to be established.
constexpr double kConnectTimeout = 1.5;
// A connection is due within 2 s after a break; these delays leave time for several attempts.
constexpr double kFirstReconnectDelay = 0.05, kMaxReconnectDelay = 0.4;
constexpr double kCheckInterval = 0.1;

} // namespace

Client::Client(asio::io_context &io, asio::ip::tcp::endpoint endpoint, NameTables names, List known,
               std::uint64_t seed, telemetry::Log &log)
    : io_(io), endpoint_(std::move(endpoint)), names_(std::move(names)), list_(std::move(known)), log_(log),
      backoff_(kFirstReconnectDelay, kMaxReconnectDelay, seed), reader_(names_), socket_(io),
      reconnect_timer_(io), check_timer_(io) {}

Client::~Client() { set_state(State::closed); }

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
  if (!reading_) read();
}

void Client::set_endpoint(const asio::ip::tcp::endpoint &endpoint) {
  if (endpoint == endpoint_) return;
  endpoint_ = endpoint;
  backoff_.reset();
  if (state_ != State::idle) connect();
}

void Client::connect() {
  ++connection_serial_;
  ++counters_.connects;
  reading_ = false;
  asio::error_code ignored;
  socket_.close(ignored);
  socket_ = asio::ip::tcp::socket(io_);
  reconnect_timer_.cancel();
  reader_.clear();
  gap_ = false;
  set_state(State::connecting);
  connect_started_at_ = steady_seconds();
  socket_.async_connect(endpoint_, [this, serial = connection_serial_,
                                    alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (alive.expired() || serial != connection_serial_) return;
    if (error) {
      ++counters_.refused;
      return reconnect_later();
    }
    set_state(State::connected);
    data_received_at_ = steady_seconds();
    for (std::size_t i = 0; i < 8; ++i)
      resume_number_[i] = static_cast<unsigned char>(list_.number() >> (56 - 8 * i));
    asio::async_write(socket_, asio::buffer(resume_number_),
                      [this, serial, alive](asio::error_code write_error, std::size_t) {
                        if (!alive.expired() && serial == connection_serial_ && write_error)
                          disconnected("write");
                      });
    read();
  });
}

void Client::read() {
  reading_ = !paused_;
  if (paused_) return;
  socket_.async_read_some(asio::buffer(buffer_),
                          [this, serial = connection_serial_,
                           alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t size) {
                            if (alive.expired() || serial != connection_serial_) return;
                            if (error) return disconnected("closed");
                            data_received_at_ = steady_seconds();
                            changed_ = false;
                            bool readable = reader_.feed(std::string_view(buffer_.data(), size),
                                                         [&](const Event &event) { apply_event(event); });
                            if (std::exchange(changed_, false)) {
                              backoff_.reset();
                              publish();
                              if (alive.expired() || serial != connection_serial_) return;
                            }
                            if (!readable) {
                              ++counters_.unreadable;
                              log_.warning("channel_unreadable", {{"cause", reader_.error()}});
                              return disconnected("unreadable");
                            }
                            if (gap_) return disconnected("gap");
                            backoff_.reset();
                            read();
                          });
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
  asio::error_code ignored;
  socket_.close(ignored);
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
      ++counters_.silences;
      disconnected("silent");
    } else if (state_ == State::connecting && steady_seconds() - connect_started_at_ > kConnectTimeout) {
      ++counters_.refused;
      reconnect_later();
    }
    check_timeouts();
  });
}

} // namespace snowshore::discovery
