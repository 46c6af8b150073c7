// Requests to one media server, and the report stream with its reopening and its watch for silence.
#include "edge/channel.h"
#include "hints/hints.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

// Seconds between attempts to open the report stream; the delay doubles.
constexpr double kFirstReopenDelay = 0.05, kMaxReopenDelay = 1;
// Seconds for which an end or a change of rung waits for its answer; an end is then sent again.
constexpr double kCommandTimeout = 2;

} // namespace

Channel::Channel(asio::io_context &io, http::Client &client, int server, http::Endpoint address,
                 const FrontIdentity &identity, const ReportTimeouts &timeouts, std::uint64_t seed,
                 std::function<double()> now, const Events &events)
    : io_(io), client_(client), server_(server), address_(std::move(address)), identity_(identity),
      timeouts_(timeouts), backoff_(kFirstReopenDelay, kMaxReopenDelay, seed), now_(std::move(now)),
      events_(events), reopen_timer_(io), silence_timer_(io) {}

Channel::~Channel() {
  close_report_stream();
  client_.close_idle_connections(address_);
}

void Channel::set_address(const http::Endpoint &address) {
  if (address == address_) return;
  client_.close_idle_connections(address_);
  address_ = address;
  if (stream_state_ == StreamState::closed) return;
  close_report_stream();
  open_report_stream();
}

http::Client::RequestId Channel::send_set_up(const serverwire::SetUpRequest &set_up, double timeout,
                                             std::function<void(const SetUpResult &)> done) {
  auto alive = std::weak_ptr<bool>(alive_);
  auto answered = [this, alive, play = set_up.play, allocation = set_up.allocation,
                   done = std::move(done)](const http::Result &result) {
    if (alive.expired()) return;
    SetUpResult set_up_result;
    set_up_result.duration = result.duration;
    switch (result.end_reason) {
    case http::EndReason::unreachable:
    case http::EndReason::no_capacity:
      set_up_result.outcome = Outcome::unreachable;
      break;
    case http::EndReason::timed_out:
      set_up_result.outcome = Outcome::timed_out;
      break;
    case http::EndReason::reset:
      set_up_result.outcome = Outcome::reset;
      break;
    case http::EndReason::malformed:
      set_up_result.outcome = Outcome::error;
      if (events_.malformed) events_.malformed(server_);
      break;
    case http::EndReason::answered:
      set_up_result.load = load_of(result.response);
      set_up_result.started = result.response.status == 201;
      set_up_result.outcome = set_up_result.started           ? Outcome::done
                              : result.response.status == 503 ? Outcome::busy
                                                              : Outcome::error;
    }
    // Without a clear answer the play may run on the server, although the core does not wait for it any more.
    // The server is told to end it.
    bool never_ran = set_up_result.outcome == Outcome::busy || set_up_result.outcome == Outcome::unreachable;
    if (!set_up_result.started && !never_ran) send_end(play, allocation, "withdrawn");
    done(set_up_result);
  };
  auto late_answer = [this, alive, play = set_up.play,
                      allocation = set_up.allocation](const http::Response &response) {
    if (alive.expired()) return;
    if (events_.late_answer) events_.late_answer(server_);
    // The play started after its time-out, and no player waits for it.
    if (response.status == 201) send_end(play, allocation, "withdrawn");
  };
  open_report_stream();
  return client_.send(address_, serverwire::write_set_up(set_up), timeout, std::move(answered),
                      std::move(late_answer));
}

void Channel::send_rung(const std::string &play, int rung) {
  client_.send(address_, serverwire::write_set_rung(play, rung, ++rung_sequence_), kCommandTimeout, nullptr);
}

// Sent up to three times, since a lost end leaves a play running on the server without a player.
void Channel::send_end(const std::string &play, int allocation, std::string_view reason, int attempts_left) {
  client_.send(address_, serverwire::write_end(play, allocation, reason), kCommandTimeout,
               [this, alive = std::weak_ptr<bool>(alive_), play, allocation, reason = std::string(reason),
                attempts_left](const http::Result &result) {
                 if (alive.expired() || result.end_reason == http::EndReason::answered || attempts_left <= 1)
                   return;
                 send_end(play, allocation, reason, attempts_left - 1);
               });
}

void Channel::send_probe(std::function<void(Outcome, const LoadReport &)> done) {
  auto alive = std::weak_ptr<bool>(alive_);
  client_.send(address_, serverwire::write_probe(), timeouts_.probe_timeout,
               [this, alive, done = std::move(done)](const http::Result &result) {
                 if (alive.expired()) return;
                 Outcome outcome = Outcome::error;
                 if (result.end_reason == http::EndReason::answered)
                   outcome = result.response.status == 200   ? Outcome::done
                             : result.response.status == 503 ? Outcome::busy
                                                             : Outcome::error;
                 if (result.end_reason == http::EndReason::timed_out) outcome = Outcome::timed_out;
                 if (result.end_reason == http::EndReason::reset) outcome = Outcome::reset;
                 if (result.end_reason == http::EndReason::unreachable) outcome = Outcome::unreachable;
                 // The front's own limit of connections, which says nothing about the server.
                 if (result.end_reason == http::EndReason::no_capacity) outcome = Outcome::busy;
                 done(outcome, outcome == Outcome::done ? load_of(result.response) : LoadReport{});
               });
}

LoadReport Channel::load_of(const http::Response &response) {
  auto header = response.headers.find("CMSD-Dynamic");
  if (!header) return {};
  hints::CmsdLoad load = hints::parse_cmsd(*header);
  if (load.malformed && events_.malformed) events_.malformed(server_);
  return load;
}

// ---- The report stream.

void Channel::set_stream_state(StreamState next) { stream_state_ = next; }

void Channel::open_report_stream() {
  if (stream_state_ != StreamState::closed) return;
  last_line_at_ = now_();
  backoff_.reset();
  loss_reported_ = false;
  last_check_at_ = now_();
  request_report_stream();
  check_silence();
}

void Channel::close_report_stream() {
  set_stream_state(StreamState::closed);
  reopen_timer_.cancel();
  silence_timer_.cancel();
  if (stream_request_) client_.cancel(stream_request_);
  stream_request_ = 0;
}

void Channel::request_report_stream() {
  set_stream_state(StreamState::opening);
  line_splitter_.clear();
  requested_at_ = now_();
  auto alive = std::weak_ptr<bool>(alive_);
  stream_request_ = client_.stream(
      address_, serverwire::write_report_request(identity_.front_name, identity_.boot_id),
      timeouts_.max_silence, [](const http::Response &) {},
      [this, alive](std::string_view data) {
        if (alive.expired() || stream_state_ == StreamState::closed) return;
        line_splitter_.feed(data, [&](std::string_view line) {
          if (!alive.expired()) on_line(line);
        });
      },
      [this, alive](const http::Result &result) {
        if (!alive.expired()) stream_ended(result.end_reason);
      });
}

void Channel::on_line(std::string_view line) {
  auto report = serverwire::parse_report(line);
  if (!report) {
    if (events_.malformed) events_.malformed(server_);
    return;
  }
  last_line_at_ = now_();
  loss_reported_ = false;
  if (report->kind == serverwire::Report::Kind::hello) {
    set_stream_state(StreamState::open);
    backoff_.reset();
    bool restarted = server_started_at_ > 0 && report->started_at != server_started_at_;
    server_started_at_ = report->started_at;
    return events_.hello(server_, *report, requested_at_, restarted);
  }
  if (report->kind != serverwire::Report::Kind::heartbeat) events_.report(server_, *report);
}

void Channel::stream_ended(http::EndReason reason) {
  stream_request_ = 0;
  if (stream_state_ == StreamState::closed) return;
  // A reopening is refused at the address that served a short time ago: the server's process has ended, and
  // its plays with it.
  bool is_refused = reason == http::EndReason::unreachable && now_() - last_line_at_ < timeouts_.lost_after &&
                    backoff_.failures() > 0;
  schedule_reopen();
  if (is_refused && !loss_reported_) {
    loss_reported_ = true;
    events_.lost(server_, "refused");
  }
}

void Channel::schedule_reopen() {
  set_stream_state(StreamState::reopening);
  reopen_timer_.expires_after(to_timer_duration(backoff_.next_delay()));
  reopen_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired() && stream_state_ == StreamState::reopening) request_report_stream();
  });
}

// A stream that stays silent for max_silence is reopened; after lost_after the server is lost.
void Channel::check_silence() {
  silence_timer_.expires_after(to_timer_duration(std::max(0.05, timeouts_.max_silence / 4)));
  silence_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired() || stream_state_ == StreamState::closed) return;
    // If this process itself was suspended or blocked, the servers' lines of that time are still unread. The
    // silence is counted anew, so that they are read first.
    if (now_() - last_check_at_ > std::max(0.5, timeouts_.max_silence / 2))
      last_line_at_ = std::max(last_line_at_, now_());
    last_check_at_ = now_();
    double silent_for = now_() - last_line_at_;
    if (stream_state_ == StreamState::open && silent_for > timeouts_.max_silence) {
      if (stream_request_) client_.cancel(stream_request_);
      stream_request_ = 0;
      schedule_reopen();
    }
    if (silent_for > timeouts_.lost_after && !loss_reported_) {
      loss_reported_ = true;
      events_.lost(server_, "silent");
    }
    check_silence();
  });
}

} // namespace snowshore::edge
