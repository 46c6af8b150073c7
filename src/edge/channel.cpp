#include "edge/channel.h"
#include "hints/hints.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

constexpr double kFirstPause = 0.05, kLongestPause = 1; // between attempts to open a report stream, doubling
constexpr double kEndTime = 2; // an end or a rung that is not confirmed by then is told anew

} // namespace

Channel::Channel(asio::io_context &io, http::Client &client, int server, http::Endpoint address,
                 const Identity &identity, const ReportTimes &times, std::uint64_t seed,
                 std::function<double()> now, const Events &events)
    : io_(io), client_(client), server_(server), address_(std::move(address)), identity_(identity),
      times_(times), pauses_(kFirstPause, kLongestPause, seed), now_(std::move(now)), events_(events),
      reopen_timer_(io), watch_timer_(io) {}

Channel::~Channel() {
  stop_following();
  client_.close_idle_connections(address_);
}

void Channel::set_address(const http::Endpoint &address) {
  if (address == address_) return;
  client_.close_idle_connections(address_);
  address_ = address;
  if (stream_ == Stream::closed) return;
  stop_following();
  follow();
}

http::Client::RequestId Channel::set_up(const serverwire::SetUpRequest &set_up, double time_out,
                                        std::function<void(const SetUpResult &)> done) {
  auto alive = std::weak_ptr<bool>(alive_);
  auto answered = [this, alive, play = set_up.play, allocation = set_up.allocation,
                   done = std::move(done)](const http::Result &result) {
    if (alive.expired()) return;
    SetUpResult out;
    out.duration = result.duration;
    switch (result.end_reason) {
    case http::EndReason::unreachable:
    case http::EndReason::no_capacity:
      out.outcome = Outcome::unreachable;
      break;
    case http::EndReason::timed_out:
      out.outcome = Outcome::timed_out;
      break;
    case http::EndReason::reset:
      out.outcome = Outcome::reset;
      break;
    case http::EndReason::malformed:
      out.outcome = Outcome::error;
      if (events_.malformed) events_.malformed(server_);
      break;
    case http::EndReason::answered:
      out.load = load_of(result.response);
      out.started = result.response.status == 201;
      out.outcome = out.started                     ? Outcome::done
                    : result.response.status == 503 ? Outcome::busy
                                                    : Outcome::error;
    }
    // It may run at the server though nobody here waits for it: the server is told to end it.
    bool never_ran = out.outcome == Outcome::busy || out.outcome == Outcome::unreachable;
    if (!out.started && !never_ran) end(play, allocation, "withdrawn");
    done(out);
  };
  auto late = [this, alive, play = set_up.play,
               allocation = set_up.allocation](const http::Response &response) {
    if (alive.expired()) return;
    if (events_.late) events_.late(server_);
    if (response.status == 201) end(play, allocation, "withdrawn"); // it started after all, for nobody
  };
  follow();
  return client_.send(address_, serverwire::write_set_up(set_up), time_out, std::move(answered),
                      std::move(late));
}

void Channel::set_rung(const std::string &play, int rung) {
  client_.send(address_, serverwire::write_set_rung(play, rung, ++step_), kEndTime, nullptr);
}

// Told up to three times: an end that is lost leaves a play on the server that nobody watches.
void Channel::end(const std::string &play, int allocation, std::string_view reason, int tries) {
  client_.send(address_, serverwire::write_end(play, allocation, reason), kEndTime,
               [this, alive = std::weak_ptr<bool>(alive_), play, allocation, reason = std::string(reason),
                tries](const http::Result &result) {
                 if (alive.expired() || result.end_reason == http::EndReason::answered || tries <= 1) return;
                 end(play, allocation, reason, tries - 1);
               });
}

void Channel::probe(std::function<void(Outcome, const LoadReport &)> done) {
  auto alive = std::weak_ptr<bool>(alive_);
  client_.send(address_, serverwire::write_probe(), times_.probe_time,
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
                 if (result.end_reason == http::EndReason::no_capacity)
                   outcome = Outcome::busy; // says nothing of the server
                 done(outcome, outcome == Outcome::done ? load_of(result.response) : LoadReport{});
               });
}

LoadReport Channel::load_of(const http::Response &response) {
  auto text = response.headers.find("CMSD-Dynamic");
  if (!text) return {};
  hints::CmsdLoad load = hints::parse_cmsd(*text);
  if (load.malformed && events_.malformed) events_.malformed(server_);
  return load;
}

// ---- The report stream.

void Channel::become(Stream next) { stream_ = next; } // the one place where the stream's state changes

void Channel::follow() {
  if (stream_ != Stream::closed) return;
  last_heard_ = now_();
  pauses_.reset();
  told_lost_ = false;
  watched_at_ = now_();
  open_stream();
  watch();
}

void Channel::stop_following() {
  become(Stream::closed);
  reopen_timer_.cancel();
  watch_timer_.cancel();
  if (stream_id_) client_.cancel(stream_id_);
  stream_id_ = 0;
}

void Channel::open_stream() {
  become(Stream::opening);
  lines_.clear();
  asked_at_ = now_();
  auto alive = std::weak_ptr<bool>(alive_);
  stream_id_ = client_.stream(
      address_, serverwire::write_report_request(identity_.front, identity_.boot), times_.silence,
      [](const http::Response &) {},
      [this, alive](std::string_view data) {
        if (alive.expired() || stream_ == Stream::closed) return;
        lines_.feed(data, [&](std::string_view text) {
          if (!alive.expired()) line(text);
        });
      },
      [this, alive](const http::Result &result) {
        if (!alive.expired()) stream_ended(result.end_reason);
      });
}

void Channel::line(std::string_view text) {
  auto report = serverwire::parse_report(text);
  if (!report) {
    if (events_.malformed) events_.malformed(server_);
    return;
  }
  last_heard_ = now_();
  told_lost_ = false;
  if (report->kind == serverwire::Report::Kind::hello) {
    become(Stream::open);
    pauses_.reset();
    bool restarted = started_ > 0 && report->started_at != started_;
    started_ = report->started_at;
    return events_.hello(server_, *report, asked_at_, restarted);
  }
  if (report->kind != serverwire::Report::Kind::heartbeat) events_.report(server_, *report);
}

void Channel::stream_ended(http::EndReason ending) {
  stream_id_ = 0;
  if (stream_ == Stream::closed) return;
  // Refused on the very address where it served: its process is gone, and its plays with it.
  bool gone = ending == http::EndReason::unreachable && now_() - last_heard_ < times_.lost_after &&
              pauses_.failures() > 0;
  reopen_later();
  if (gone && !told_lost_) {
    told_lost_ = true;
    events_.lost(server_, "refused");
  }
}

void Channel::reopen_later() {
  become(Stream::waiting);
  reopen_timer_.expires_after(to_timer_duration(pauses_.next()));
  reopen_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired() && stream_ == Stream::waiting) open_stream();
  });
}

// A stream that says nothing is no better than none: it is opened anew, and after lost_after its plays have
// ended.
void Channel::watch() {
  watch_timer_.expires_after(to_timer_duration(std::max(0.05, times_.silence / 4)));
  watch_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired() || stream_ == Stream::closed) return;
    // A front that stood still itself has not listened: what servers said meanwhile is read first.
    if (now_() - watched_at_ > std::max(0.5, times_.silence / 2)) last_heard_ = std::max(last_heard_, now_());
    watched_at_ = now_();
    double silent = now_() - last_heard_;
    if (stream_ == Stream::open && silent > times_.silence) {
      if (stream_id_) client_.cancel(stream_id_);
      stream_id_ = 0;
      reopen_later();
    }
    if (silent > times_.lost_after && !told_lost_) {
      told_lost_ = true;
      events_.lost(server_, "silent");
    }
    watch();
  });
}

} // namespace snowshore::edge
