#include "platform/front.h"
#include "decision/setting_names.h"
#include "telemetry/loop_clock.h"

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace snowshore::platform {

using telemetry::to_timer_duration;

namespace {

constexpr double kDrainCheckInterval = 0.02;
// Time between the end of sending and the exit; a viewer whose set-up arrives meanwhile sends it once more.
constexpr double kFinishDelay = 0.05;
constexpr double kSummaryInterval = 5;

std::size_t resident_kb() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0, resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

double cpu_seconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  auto seconds = [](const timeval &t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace

PlatformFront::PlatformFront(asio::io_context &io, NodeConfig config, telemetry::Log &log)
    : io_(io), config_(std::move(config)), log_(log), viewers_(io, config_, log),
      servers_(io, config_, log, viewers_),
      channel_(new discovery::Client(io, config_.channel, config_.places,
                                     std::exchange(config_.initial_list, {}), config_.seed, log)),
      core_(io, config_.core, log, std::unique_ptr<edge::ListSource>(channel_), viewers_, servers_),
      drain_timer_(io), summary_timer_(io) {
  viewers_.set_core(core_);
  servers_.set_core(core_);
  viewers_.listen();
  core_.start();
  servers_.start_liveness_checks();
  schedule_summary();
}

PlatformFront::~PlatformFront() { viewers_.stop(); }

std::optional<std::string> PlatformFront::reload(NodeConfig next) {
  if (auto refusal = reload_refusal(config_, next)) return refusal;
  bool settings_changed = next.core.decision_settings != config_.core.decision_settings;
  // The seed and the server list stay: the seed is fixed at the start, and the channel updates the list.
  next.seed = config_.seed;
  next.core.seed = config_.core.seed;
  next.initial_list = {};
  config_ = std::move(next);
  viewers_.reload();
  servers_.reload();
  channel_->set_endpoint(config_.channel);
  if (settings_changed) core_.apply_settings(config_.core);
  return std::nullopt;
}

void PlatformFront::drain(std::function<void()> done) {
  on_drained_ = std::move(done);
  drain_started_at_ = telemetry::steady_seconds();
  budget_ = drain_budget(config_.longest_time_limit);
  viewers_.drain();
  servers_.drain();
  core_.shut_down_by(core_.clock().read_now() + budget_.answer_until);
  drain_timer_.expires_after(to_timer_duration(budget_.accept_until));
  drain_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    viewers_.stop_accepting();
    wait_until_drained(drain_started_at_ + budget_.flush_until);
  });
}

void PlatformFront::wait_until_drained(double until) {
  drain_timer_.expires_after(to_timer_duration(kDrainCheckInterval));
  drain_timer_.async_wait([this, until](asio::error_code error) {
    if (error) return;
    bool pending = core_.unanswered_plays() > 0 || !viewers_.is_idle() || viewers_.has_unsent_ends() ||
                   servers_.has_unsent_releases();
    double now = telemetry::steady_seconds();
    if (pending && now < until) return wait_until_drained(until);
    if (!core_.send_guard().may_exit(pending, now, until)) return wait_until_drained(until);
    if (pending)
      log_.warning("drain_cut", {{"in_hand", core_.unanswered_plays()},
                                 {"unsent", viewers_.unsent_bytes()},
                                 {"after", telemetry::steady_seconds() - drain_started_at_}});
    finish_drain();
  });
}

// Ends the sending direction of the viewers' connections first, so that viewers read all answers before the
// connections are closed. A set-up that arrives after that is not answered; its viewer repeats it.
void PlatformFront::finish_drain() {
  servers_.stop_receiving();
  viewers_.finish();
  drain_timer_.expires_after(to_timer_duration(kFinishDelay));
  drain_timer_.async_wait([this](asio::error_code error) {
    if (!error && on_drained_) std::exchange(on_drained_, nullptr)();
  });
}

PlatformFront::ServerScans PlatformFront::server_scans() {
  ServerScanCounts decision = core_.server_scan_counts();
  ServerScans out;
  out.for_lists = core_.list_entries_scanned() + decision.for_lists;
  out.for_placements = decision.for_placements;
  out.idle =
      decision.for_reviews + servers_.peer_counters().maintenance_runs + servers_.counters().servers_scanned;
  return out;
}

// Logs periodically what the decision engine believes next to what the connections carried.
void PlatformFront::schedule_summary() {
  summary_timer_.expires_after(to_timer_duration(kSummaryInterval));
  summary_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    servers_.log_server_statistics();
    const auto &viewer_counts = viewers_.counters();
    const auto &line_counts = viewers_.line_counters();
    const auto &server_counts = servers_.counters();
    const auto &peer_counts = servers_.peer_counters();
    const auto &channel_counts = channel_->counters();
    ServerScans scans = server_scans();
    edge::Core::CallDurations durations = core_.take_call_durations();
    nlohmann::json answers, outcomes, disconnects;
    for (const auto &[name, count] : core_.answer_counts()) answers[name] = count;
    for (std::size_t outcome = 0; outcome < server_counts.outcomes.size(); ++outcome)
      outcomes[std::string(setting_names::kOutcomeNames[outcome])] = server_counts.outcomes[outcome];
    for (std::size_t reason = 0; reason < server_counts.disconnects.size(); ++reason)
      disconnects[rtsp::kEndReasonNames[reason]] = server_counts.disconnects[reason];
    log_.info("summary",
              {{"resident_kb", resident_kb()},
               {"cpu", cpu_seconds()},
               {"connections", {{"viewers", viewers_.connections()}, {"servers", servers_.connections()}}},
               {"shares",
                {{"viewers", config_.resource_limits.viewer_descriptors},
                 {"servers", config_.resource_limits.server_descriptors}}},
               {"load",
                {{"calls", durations.calls}, {"long", durations.long_calls}, {"longest", durations.longest}}},
               {"servers_visited",
                {{"lists", scans.for_lists}, {"placements", scans.for_placements}, {"idle", scans.idle}}},
               {"denied", core_.send_guard().denied()},
               {"in_hand", core_.unanswered_plays()},
               {"unsent", viewers_.unsent_bytes()},
               {"playing", core_.plays().count(edge::PlayState::playing)},
               {"answers", answers},
               {"outcomes", outcomes},
               {"downs", disconnects},
               {"viewers",
                {{"set_ups", viewer_counts.set_ups},
                 {"handed_over", viewer_counts.handed_over},
                 {"left", viewer_counts.left},
                 {"left_unread", viewer_counts.left_unread},
                 {"released", viewer_counts.released},
                 {"refused_bad", viewer_counts.refused_bad},
                 {"unreadable", viewer_counts.unreadable},
                 {"strangers", viewer_counts.unknown_plays},
                 {"no_room", viewer_counts.no_room},
                 {"announced_later", viewer_counts.announced_later},
                 {"announcements_dropped", viewer_counts.announcements_dropped},
                 {"announced_again", viewer_counts.announced_again},
                 {"moved_over", viewer_counts.moved_over},
                 {"early_finishes", viewer_counts.early_finishes},
                 {"used_ids", viewer_counts.used_ids},
                 {"tests", viewer_counts.tests},
                 {"accepted", line_counts.accepted},
                 {"silent_cut", line_counts.silent_cut},
                 {"room_cut", line_counts.room_cut},
                 {"unread_cut", line_counts.unread_cut},
                 {"buffer_cut", line_counts.buffer_cut},
                 {"overlong", line_counts.overlong},
                 {"accept_faults", line_counts.accept_faults},
                 {"accept_pauses", line_counts.accept_pauses},
                 {"lines", line_counts.lines_received}}},
               {"servers",
                {{"listed", servers_.listed_count()},
                 {"with_sessions", core_.plays().servers_with_plays().size()},
                 {"spoken_to", servers_.peer_count()},
                 {"connects", peer_counts.connects},
                 {"set_ups", peer_counts.set_ups},
                 {"answers", peer_counts.answers},
                 {"given_up", peer_counts.given_up},
                 {"late", peer_counts.late},
                 {"strangers", peer_counts.unexpected_answers},
                 {"no_room", peer_counts.no_room},
                 {"ended_done", server_counts.ended_done},
                 {"ended_reset", server_counts.ended_reset},
                 {"ended_left", server_counts.ended_left},
                 {"notes", server_counts.feedback_messages},
                 {"malformed", server_counts.malformed},
                 {"descriptions_rejected", server_counts.descriptions_rejected},
                 {"lost_silent", server_counts.lost_silent},
                 {"lost_restarted", server_counts.lost_restarted},
                 {"lost_gone", server_counts.lost_gone},
                 {"lost_replaced", server_counts.lost_replaced},
                 {"handovers_confirmed", server_counts.handovers_confirmed},
                 {"handovers_rung_noted", server_counts.handovers_rung_noted},
                 {"handovers_presumed", server_counts.handovers_presumed},
                 {"handovers_ended", server_counts.handovers_ended},
                 {"early_ends", server_counts.early_releases},
                 {"unknown_sessions", server_counts.unknown_sessions},
                 {"unapplied_elsewhere", server_counts.unapplied_elsewhere},
                 {"unapplied_not_running", server_counts.unapplied_not_running},
                 {"made_room", server_counts.closed_for_budget},
                 {"made_room_at_once", peer_counts.half_closes_skipped},
                 {"recalled_unsent", peer_counts.recalled_unsent},
                 {"releases_again", peer_counts.releases_again},
                 {"releases_dropped", peer_counts.releases_dropped}}},
               {"channel",
                {{"number", core_.list_version()},
                 {"connects", channel_counts.connects},
                 {"breaks", channel_counts.breaks},
                 {"silences", channel_counts.silences},
                 {"refused", channel_counts.refused},
                 {"unreadable", channel_counts.unreadable},
                 {"events", channel_counts.events},
                 {"repeated", channel_counts.repeated},
                 {"gaps", channel_counts.gaps},
                 {"passed_over", channel_counts.skipped_records},
                 {"silent_for", channel_->silence()}}}});
    schedule_summary();
  });
}

} // namespace snowshore::platform
