#include "feed/client.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>

namespace snowshore::feed {

using telemetry::steady_seconds;
using telemetry::to_timer_duration;

namespace {

// The channel sends an empty frame every second: two missing are a halt, found well within the 4 s after
// which what it would have told counts as told.
constexpr double kSilence = 2.2;
constexpr double kConnectTime = 1.5;                      // connections may come up a second late
constexpr double kFirstPause = 0.05, kLongestPause = 0.4; // within the 2 s after a break, with tries to spare
constexpr double kWatchEvery = 0.1;

} // namespace

Client::Client(asio::io_context &io, asio::ip::tcp::endpoint at, Places places, List known,
               std::uint64_t seed, telemetry::Log &log)
    : io_(io), at_(std::move(at)), places_(std::move(places)), list_(std::move(known)), log_(log),
      pauses_(kFirstPause, kLongestPause, seed), reader_(places_), socket_(io), pause_timer_(io),
      watch_timer_(io) {}

Client::~Client() { become(State::closed); }

void Client::become(State next) { state_ = next; } // the one place where it changes

double Client::silent_for() const { return steady_seconds() - heard_at_; }

void Client::start(Events events) {
  events_ = std::move(events);
  heard_at_ = steady_seconds();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired()) return;
    events_.list(list_.release());
    connect();
    watch();
  });
}

void Client::request_list() {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && state_ != State::idle) connect();
  });
}

void Client::move_to(const asio::ip::tcp::endpoint &at) {
  if (at == at_) return;
  at_ = at;
  pauses_.reset();
  if (state_ != State::idle) connect();
}

void Client::connect() {
  ++turn_;
  ++counters_.connects;
  asio::error_code ignored;
  socket_.close(ignored);
  socket_ = asio::ip::tcp::socket(io_);
  pause_timer_.cancel();
  reader_.clear();
  gap_ = false;
  become(State::connecting);
  connecting_at_ = steady_seconds();
  socket_.async_connect(at_,
                        [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
                          if (alive.expired() || turn != turn_) return;
                          if (error) {
                            ++counters_.refused;
                            return pause();
                          }
                          become(State::following);
                          heard_at_ = steady_seconds();
                          for (std::size_t i = 0; i < 8; ++i)
                            hello_[i] = static_cast<unsigned char>(list_.number() >> (56 - 8 * i));
                          asio::async_write(socket_, asio::buffer(hello_),
                                            [this, turn, alive](asio::error_code failed, std::size_t) {
                                              if (!alive.expired() && turn == turn_ && failed)
                                                broken("write");
                                            });
                          read();
                        });
}

void Client::read() {
  socket_.async_read_some(asio::buffer(buffer_), [this, turn = turn_, alive = std::weak_ptr<bool>(alive_)](
                                                     asio::error_code error, std::size_t size) {
    if (alive.expired() || turn != turn_) return;
    if (error) return broken("closed");
    heard_at_ = steady_seconds();
    changed_ = false;
    bool readable =
        reader_.take(std::string_view(buffer_.data(), size), [&](const Event &event) { apply(event); });
    if (std::exchange(changed_, false)) {
      pauses_.reset();
      publish();
      if (alive.expired() || turn != turn_) return;
    }
    if (!readable) {
      ++counters_.unreadable;
      log_.warning("channel_unreadable", {{"cause", reader_.why()}});
      return broken("unreadable");
    }
    if (gap_) return broken("gap");
    pauses_.reset();
    read();
  });
}

void Client::apply(const Event &event) {
  if (gap_) return; // what follows a gap comes again
  switch (list_.take(event)) {
  case List::Taken::applied:
    ++counters_.events;
    changed_ = true;
    if (event.whole) changed_servers_.clear(), whole_ = true;
    changed_servers_.insert(changed_servers_.end(), event.servers.begin(), event.servers.end());
    counters_.passed_over += event.passed_over.size();
    for (const std::string &one : event.passed_over)
      log_.warning("channel_record_passed_over", {{"record", one}});
    return;
  case List::Taken::old:
    ++counters_.repeated;
    return;
  case List::Taken::gap:
    ++counters_.gaps;
    gap_ = true;
    return;
  case List::Taken::nothing:
    return;
  }
}

// What the events of one piece say, in one call; a whole list takes the place of all before it.
void Client::publish() {
  edge::ServerList said{list_.number(), std::exchange(changed_servers_, {})};
  (std::exchange(whole_, false) ? events_.list : events_.changes)(std::move(said));
}

void Client::broken(const char *why) {
  ++counters_.breaks;
  log_.info("channel_broken", {{"cause", why}, {"number", list_.number()}});
  pause();
}

void Client::pause() {
  ++turn_;
  asio::error_code ignored;
  socket_.close(ignored);
  become(State::pausing);
  pause_timer_.expires_after(to_timer_duration(pauses_.next_delay()));
  pause_timer_.async_wait([this, turn = turn_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired() && turn == turn_) connect();
  });
}

void Client::watch() {
  watch_timer_.expires_after(to_timer_duration(kWatchEvery));
  watch_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    if (state_ == State::following && steady_seconds() - heard_at_ > kSilence) {
      ++counters_.silences;
      broken("silent");
    } else if (state_ == State::connecting && steady_seconds() - connecting_at_ > kConnectTime) {
      ++counters_.refused;
      pause();
    }
    watch();
  });
}

} // namespace snowshore::feed
