#include "platform/front.h"
#include "decision/names.h"
#include "telemetry/loop_clock.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace snowshore::platform {

using telemetry::to_timer_duration;

namespace {

constexpr double kLookEvery = 0.02;
constexpr double kCrossing = 0.05; // a set-up that crosses a close by so much is sent once more
constexpr double kReportEvery = 5;

std::size_t resident_kb() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

double cpu_seconds() {
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  auto seconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(use.ru_utime) + seconds(use.ru_stime);
}

} // namespace

PlatformFront::PlatformFront(asio::io_context &io, NodeConfig boot, telemetry::Log &log)
    : io_(io), boot_(std::move(boot)), log_(log), viewers_(io, boot_, log),
      servers_(io, boot_, log, viewers_),
      channel_(new feed::Client(io, boot_.channel, boot_.places, std::exchange(boot_.initial_list, {}),
                                boot_.seed, log)),
      core_(io, boot_.core, log, std::unique_ptr<edge::ListSource>(channel_), viewers_, servers_),
      drain_timer_(io), report_timer_(io) {
  viewers_.set_core(core_);
  servers_.set_core(core_);
  viewers_.listen();
  core_.start();
  servers_.start_liveness_checks();
  report();
}

PlatformFront::~PlatformFront() { viewers_.stop(); }

std::optional<std::string> PlatformFront::change(NodeConfig next) {
  if (auto why = reload_refusal(boot_, next)) return why;
  bool given = next.core.decision_settings != boot_.core.decision_settings;
  // What stands from the start: the seed, and the list in hand, which the channel follows.
  next.seed = boot_.seed, next.core.seed = boot_.core.seed, next.initial_list = {};
  boot_ = std::move(next);
  viewers_.reload();
  servers_.reload();
  channel_->move_to(boot_.channel);
  if (given) core_.apply_settings(boot_.core);
  return std::nullopt;
}

void PlatformFront::drain(std::function<void()> done) {
  drained_ = std::move(done);
  drain_began_ = telemetry::steady_seconds();
  budget_ = drain_budget(boot_.longest_time_limit);
  viewers_.drain();
  servers_.drain();
  core_.shut_down_by(core_.clock().read_now() + budget_.answer_until);
  drain_timer_.expires_after(to_timer_duration(budget_.accept_until));
  drain_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    viewers_.stop_accepting();
    look_drained(drain_began_ + budget_.flush_until);
  });
}

// Until nothing is owed to anybody; at most for as long as the budget allows.
void PlatformFront::look_drained(double until) {
  drain_timer_.expires_after(to_timer_duration(kLookEvery));
  drain_timer_.async_wait([this, until](asio::error_code error) {
    if (error) return;
    bool owed = core_.unanswered_plays() > 0 || !viewers_.is_idle() || viewers_.has_unsent_ends() ||
                servers_.has_unsent_releases();
    double now = telemetry::steady_seconds();
    if (owed && now < until) return look_drained(until);
    if (!core_.send_guard().may_exit(owed, now, until)) return look_drained(until);
    if (owed)
      log_.warning("drain_cut", {{"in_hand", core_.unanswered_plays()},
                                 {"unsent", viewers_.unsent_bytes()},
                                 {"after", telemetry::steady_seconds() - drain_began_}});
    finish();
  });
}

// Viewers see the end of what is sent before their connections go; a set-up that crosses it is theirs to
// repeat.
void PlatformFront::finish() {
  viewers_.finish();
  drain_timer_.expires_after(to_timer_duration(kCrossing));
  drain_timer_.async_wait([this](asio::error_code error) {
    if (!error && drained_) std::exchange(drained_, nullptr)();
  });
}

PlatformFront::Work PlatformFront::work() {
  ServerScanCounts decision = core_.server_scan_counts();
  Work out;
  out.for_lists = core_.list_entries_scanned() + decision.for_lists;
  out.for_placements = decision.for_placements;
  out.idle =
      decision.for_reviews + servers_.peer_counters().maintenance_runs + servers_.counters().servers_scanned;
  return out;
}

// What the front believes beside what its sockets carried, at an interval.
void PlatformFront::report() {
  report_timer_.expires_after(to_timer_duration(kReportEvery));
  report_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    servers_.log_server_statistics();
    const auto &v = viewers_.counters();
    const auto &l = viewers_.line_counters();
    const auto &s = servers_.counters();
    const auto &p = servers_.peer_counters();
    const auto &c = channel_->counters();
    Work w = work();
    edge::Core::CallDurations load = core_.take_call_durations();
    nlohmann::json answers, outcomes, downs;
    for (const auto &[name, count] : core_.answer_counts()) answers[name] = count;
    for (std::size_t o = 0; o < s.outcomes.size(); ++o)
      outcomes[std::string(given::kOutcomeNames[o])] = s.outcomes[o];
    for (std::size_t d = 0; d < s.disconnects.size(); ++d) downs[rtsp::kEndReasonNames[d]] = s.disconnects[d];
    log_.info(
        "summary",
        {{"resident_kb", resident_kb()},
         {"cpu", cpu_seconds()},
         {"connections", {{"viewers", viewers_.connections()}, {"servers", servers_.connections()}}},
         {"shares",
          {{"viewers", boot_.resource_limits.viewer_descriptors},
           {"servers", boot_.resource_limits.server_descriptors}}},
         {"load", {{"calls", load.calls}, {"long", load.long_calls}, {"longest", load.longest}}},
         {"servers_visited", {{"lists", w.for_lists}, {"placements", w.for_placements}, {"idle", w.idle}}},
         {"denied", core_.send_guard().denied()},
         {"in_hand", core_.unanswered_plays()},
         {"unsent", viewers_.unsent_bytes()},
         {"playing", core_.plays().count(edge::PlayState::playing)},
         {"answers", answers},
         {"outcomes", outcomes},
         {"downs", downs},
         {"viewers",
          {{"set_ups", v.set_ups},
           {"handed_over", v.handed_over},
           {"left", v.left},
           {"released", v.released},
           {"refused_bad", v.refused_bad},
           {"unreadable", v.unreadable},
           {"strangers", v.unknown_plays},
           {"no_room", v.no_room},
           {"announced_later", v.announced_later},
           {"announced_again", v.announced_again},
           {"moved_over", v.moved_over},
           {"tests", v.tests},
           {"accepted", l.accepted},
           {"silent_cut", l.silent_cut},
           {"room_cut", l.room_cut},
           {"unread_cut", l.unread_cut},
           {"overlong", l.overlong},
           {"accept_faults", l.accept_faults},
           {"accept_pauses", l.accept_pauses},
           {"lines", l.lines_received}}},
         {"servers",
          {{"listed", servers_.listed_count()},
           {"with_sessions", core_.plays().servers_with_plays().size()},
           {"spoken_to", servers_.peer_count()},
           {"connects", p.connects},
           {"set_ups", p.set_ups},
           {"answers", p.answers},
           {"given_up", p.given_up},
           {"late", p.late},
           {"strangers", p.unexpected_answers},
           {"no_room", p.no_room},
           {"ended_done", s.ended_done},
           {"ended_reset", s.ended_reset},
           {"ended_left", s.ended_left},
           {"notes", s.feedback_messages},
           {"malformed", s.malformed},
           {"lost_silent", s.lost_silent},
           {"lost_restarted", s.lost_restarted},
           {"lost_gone", s.lost_gone},
           {"early_ends", s.early_releases},
           {"made_room", s.closed_for_budget},
           {"recalled_unsent", p.recalled_unsent},
           {"releases_again", p.releases_again},
           {"releases_dropped", p.releases_dropped}}},
         {"channel",
          {{"number", core_.list_version()},
           {"connects", c.connects},
           {"breaks", c.breaks},
           {"silences", c.silences},
           {"refused", c.refused},
           {"unreadable", c.unreadable},
           {"events", c.events},
           {"repeated", c.repeated},
           {"gaps", c.gaps},
           {"passed_over", c.passed_over},
           {"silent_for", channel_->silent_for()}}}});
    report();
  });
}

} // namespace snowshore::platform
