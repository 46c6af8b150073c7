// The core: engine calls with their clock and timers, the life of a play, time limits and list updates.
#include "edge/core.h"
#include "decision/handover_age.h"
#include "decision/setting_names.h"
#include "decision/settings_reader.h"
#include "settings/hex_id.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

// Seconds between two checks for plays whose time limit has passed.
constexpr double kDeadlineCheckInterval = 0.01;
// Seconds; longer calls are counted in CallDurations::long_calls.
constexpr double kLongCall = 0.005;
// Servers of a list update that are applied before the executor runs other handlers.
constexpr std::size_t kServersPerSlice = 128;
// Servers whose updates may wait before the list source is paused.
constexpr std::size_t kMaxQueuedServers = 4096;

} // namespace

std::uint64_t hash53(const std::string &text) { return XXH64(text.data(), text.size(), 0) >> 11; }

// The core's metrics.
struct Core::Counters {
  telemetry::Metrics &registry;
  explicit Counters(telemetry::Metrics &metrics) : registry(metrics) {
    for (std::size_t cause = 0; cause < kCauses; ++cause) {
      for (const char *outcome : kOutcomes)
        by_outcome[std::pair(std::string_view(outcome), cause)] =
            &registry.counter("snowshore_plays_total", "Plays answered, by outcome and cause",
                              {{"outcome", outcome}, {"cause", name_of(static_cast<FailureCause>(cause))}});
    }
    for (std::size_t outcome = 0; outcome < by_allocation.size(); ++outcome)
      by_allocation[outcome] =
          &registry.counter("snowshore_allocations_total", "Allocations ended or started, by outcome",
                            {{"outcome", std::string(setting_names::kOutcomeNames[outcome])}});
  }
  static constexpr const char *kOutcomes[] = {"plays", "declined", "failed", "left"};
  // Looked up once at the start, since each look-up in the registry searches all metric families.
  std::map<std::pair<std::string_view, std::size_t>, prometheus::Counter *> by_outcome;
  std::array<prometheus::Counter *, std::size(setting_names::kOutcomeNames)> by_allocation{};
  prometheus::Counter &plays(const char *outcome, FailureCause cause) {
    return *by_outcome.at({outcome, static_cast<std::size_t>(cause)});
  }
  prometheus::Counter &allocations(Outcome outcome) {
    return *by_allocation[static_cast<std::size_t>(outcome)];
  }
  prometheus::Counter &ended(const char *reason) {
    return registry.counter("snowshore_plays_ended_total", "Running plays that ended", {{"why", reason}});
  }
  prometheus::Counter &accepted =
      registry.counter("snowshore_plays_taken_total", "Requests accepted as plays");
  prometheus::Counter &lost_servers = registry.counter(
      "snowshore_lost_servers_total", "Times that a server's report stream was declared lost");
  prometheus::Counter &list_changes =
      registry.counter("snowshore_list_changes_total", "Server lists and changes applied");
  prometheus::Counter &list_faults = registry.counter(
      "snowshore_list_faults_total", "Server lists or catalogues that could not be read or were rejected");
  prometheus::Counter &probes = registry.counter("snowshore_probes_total", "Probes sent to servers");
  prometheus::Counter &rung_changes =
      registry.counter("snowshore_rung_steps_total", "Changes of rung sent for running plays");
  prometheus::Counter &deadline_passed =
      registry.counter("snowshore_overdue_total",
                       "Plays that the front's own timer answered after their time limit; any is a defect");
  prometheus::Histogram &decision =
      registry.histogram("snowshore_decision_seconds", "Duration of one call of the decision engine",
                         telemetry::duration_buckets());
  prometheus::Histogram &processing =
      registry.histogram("snowshore_added_seconds",
                         "Time that the front itself spends on a play's answer, without waiting for servers",
                         telemetry::duration_buckets());
  prometheus::Histogram &answer = registry.histogram(
      "snowshore_answer_seconds", "Time from a play's request to its answer", telemetry::duration_buckets());
  prometheus::Gauge &list_age =
      registry.gauge("snowshore_list_age_seconds", "Time since the last list update");
  prometheus::Gauge &list_version = registry.gauge("snowshore_list_version", "Version of the current list");
  prometheus::Gauge &timers = registry.gauge("snowshore_timers", "Pending timers of the decision engine");
};

Core::Core(asio::io_context &io, CoreSettings settings, telemetry::Log &log,
           std::unique_ptr<ListSource> list_source, PlayerGateway &player_gateway,
           ServerGateway &server_gateway, DecisionEngineFactory engine_factory)
    : io_(io), settings_(std::move(settings)), log_(log), player_gateway_(player_gateway),
      server_gateway_(server_gateway), counters_(std::make_unique<Counters>(metrics_)), send_guard_(log, 0),
      engine_timer_(io), deadline_timer_(io), catch_up_timer_(io), shutdown_timer_(io),
      list_source_(std::move(list_source)), engine_factory_(std::move(engine_factory)) {
  std::random_device device;
  seed_ = settings_.seed ? settings_.seed : (std::uint64_t{device()} << 32 | device());
  for (const std::string &hall : settings_.halls) halls_.index_of(hall);
  send_guard_.set_drain_grace(drain_grace());
}

Core::~Core() = default;

double Core::drain_grace() const {
  return SettingsReader(settings_.decision_settings).number(setting_names::kDrainGrace, 0);
}

void Core::start(std::function<void(Catalogue)> on_catalogue) {
  make_engine();
  ListSource::Events events;
  events.list = [this](ServerList list) { queue_update(std::move(list), true); };
  events.changes = [this](ServerList list) { queue_update(std::move(list), false); };
  events.catalogue = std::move(on_catalogue);
  events.unavailable = [this](const std::string &reason) {
    counters_->list_faults.Increment();
    log_.warning("list_unavailable", {{"cause", reason}});
    call_engine([&] { engine_->server_list_updated(ListUpdateKind::unavailable, {}); });
  };
  list_source_->start(std::move(events));
  check_deadlines();
}

void Core::record_call_duration(double seconds) {
  counters_->decision.Observe(seconds);
  record_busy_time(seconds);
}

void Core::record_busy_time(double seconds) {
  ++call_durations_.calls;
  call_durations_.long_calls += seconds > kLongCall;
  call_durations_.longest = std::max(call_durations_.longest, seconds);
}

void Core::count_ended_play(const char *reason) { counters_->ended(reason).Increment(); }

// Called at the start, and by restart_engine() while the table holds no play.
void Core::make_engine() {
  timers_ = {};
  kinds_ = {};
  for (const std::string &kind : settings_.kinds) kinds_.index_of(kind);
  engine_ = engine_factory_(settings_.decision_settings, seed_, clock_.now(), *this);
  engine_has_list_ = false;
  if (!has_list_) return;
  // The new engine gets all servers that the registry knows.
  std::vector<ServerEntry> entries;
  for (const ListedServer &listed : servers_.list().servers)
    entries.push_back(entry_of(servers_.find(listed.id)));
  engine_has_list_ = true;
  call_engine([&] { engine_->server_list_updated(ListUpdateKind::initial, entries); });
}

void Core::apply_settings(CoreSettings settings) {
  settings_ = std::move(settings);
  send_guard_.set_drain_grace(drain_grace());
  call_engine([&] { engine_->settings_changed(settings_.decision_settings); });
}

void Core::restart_engine(CoreSettings settings) {
  settings_ = std::move(settings);
  make_engine();
}

ServerView Core::server_view(int server) {
  ServerView view;
  call_engine([&] { view = engine_->server_view(server); });
  return view;
}

// ---- Players.

PlayRef Core::add_play(std::uint64_t id, const std::string &title) {
  int index = plays_.add(id);
  PlayRecord &play = plays_.at(index);
  play.serial = next_serial_++;
  play.title = titles_.index_of(title);
  titles_.add_holder(index, play.title);
  play.requested_at = clock_.now();
  counters_->accepted.Increment();
  return {index, play.serial};
}

void Core::submit_play(int index, PlayRequest request, double reading_time) {
  PlayRecord &play = plays_.at(index);
  play.product = request.product;
  request.title = play.title;
  play.deadline =
      play.requested_at +
      request.time_left.value_or(settings_.products[static_cast<std::size_t>(request.product)].time_limit);
  deadlines_.push({play.deadline + settings_.answer_slack / 2, {index, play.serial}});
  play.processing_since = clock_.read_now() - reading_time;
  if (!is_catching_up()) return pass_to_engine(play_ref(index), request, 0);
  // It may have arrived as early as the pause began.
  play.is_withheld = true;
  call_when_caught_up([this, ref = play_ref(index), request, taken_ago = pauses_.length()] {
    pass_to_engine(ref, request, taken_ago);
  });
}

void Core::pass_to_engine(const PlayRef &ref, PlayRequest request, double taken_ago) {
  if (!is_current(ref)) return;
  PlayRecord &play = plays_.at(ref.index);
  play.is_withheld = false;
  request.taken_ago = taken_ago;
  play.deadline -= taken_ago;
  if (taken_ago > 0 && play.deadline <= clock_.read_now()) {
    decline_play(ref.index,
                 SettingsReader(settings_.decision_settings).number(setting_names::kLongestRetryAfter, 0));
    return forget_play(ref.index);
  }
  if (taken_ago > 0) request.time_left = play.deadline - clock_.read_now();
  call_engine([&] { engine_->play_requested(ref.index, request); });
}

void Core::call_when_caught_up(std::function<void()> call) {
  withheld_calls_.push_back(std::move(call));
  if (withheld_calls_.size() > 1) return;
  log_.warning("pause", {{"length", pauses_.length()}});
  run_withheld_calls();
}

void Core::run_withheld_calls() {
  catch_up_timer_.expires_after(to_timer_duration(pauses_.caught_up_at() - clock_.read_now()));
  catch_up_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    // Another pause may have followed.
    if (is_catching_up()) return run_withheld_calls();
    auto calls = std::exchange(withheld_calls_, {});
    for (auto &call : calls) call();
  });
}

std::optional<PlayRef> Core::accept_handover(std::uint64_t id, const std::string &title,
                                             const std::string &server, PlayRequest request,
                                             std::optional<double> first_test_at) {
  int server_index = servers_.find(server);
  if (server_index < 0) return std::nullopt;
  PlayRef ref = add_play(id, title);
  PlayRecord &play = plays_.at(ref.index);
  play.product = request.product;
  play.server = server_index;
  play.allocation = 0;
  play.started_at = play.held_at = latest_set_up_time(clock_.now(), started_at_, first_test_at);
  play.handover.state = HandoverState::unconfirmed;
  play.handover.at = clock_.now();
  plays_.set_state(ref.index, PlayState::playing);
  request.title = play.title;
  call_engine([&] { engine_->play_handed_over(ref.index, server_index, request); });
  server_gateway_.play_handed_over(ref.index);
  if (servers_.at(server_index).started_at > play.started_at) end_stale_handover(ref);
  return ref;
}

// The server has started since the play was set up. The end is posted, since the gateway has yet to learn of
// the play.
void Core::end_stale_handover(const PlayRef &ref) {
  asio::post(io_, [this, ref, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || !is_current(ref)) return;
    count_ended_play("server_lost");
    play_ended(ref.index, Outcome::reset);
  });
}

void Core::player_left(int index) {
  PlayRecord &play = plays_.at(index);
  if (play.state != PlayState::requested && play.state != PlayState::allocating) return;
  counters_->plays(play.cause == FailureCause::deadline_passed ? "failed" : "left", play.cause).Increment();
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info("left", {{"session", settings::format_hex16(play.id)},
                       {"state", name_of(play.state)},
                       {"after", clock_.read_now() - play.requested_at}});
  if (play.is_withheld) return forget_play(index);
  if (play.state == PlayState::requested) {
    // The engine calls forget_play() for it.
    call_engine([&] { engine_->viewer_left(index); });
    return;
  }
  int allocation = play.allocation;
  server_gateway_.cancel_set_up(index, "left");
  send_guard_.attempt_finished(play.id);
  plays_.set_state(index, PlayState::abandoned);
  call_engine([&] {
    engine_->viewer_left(index);
    engine_->allocation_ended(index, allocation, Outcome::recalled, true, {});
  });
}

void Core::play_released(int index) {
  if (plays_.at(index).state != PlayState::playing || !send_guard_.may_release(plays_.at(index))) return;
  server_gateway_.end_play(index, "left");
  count_ended_play("left");
  play_ended(index, Outcome::recalled);
}

// Called after the answer was sent, so that log and metrics do not delay it: a server may end a play right
// after its start.
void Core::record_answer(int index, const char *outcome) {
  PlayRecord &play = plays_.at(index);
  double now = clock_.read_now();
  play.processing_time += now - play.processing_since;
  counters_->plays(outcome, play.cause).Increment();
  counters_->answer.Observe(now - play.requested_at);
  counters_->processing.Observe(play.processing_time);
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info(outcome, {{"session", settings::format_hex16(play.id)},
                        {"title", titles_.id(play.title)},
                        {"product", settings_.products[static_cast<std::size_t>(play.product)].name},
                        {"server", play.server >= 0 ? servers_.id(play.server) : ""},
                        {"rung", play.rung},
                        {"allocations", play.allocation + 1},
                        {"cause", name_of(play.cause)},
                        {"took", now - play.requested_at}});
}

bool Core::may_answer(int index) {
  bool is_allowed = send_guard_.may_answer(plays_.at(index));
  plays_.at(index).answered = true;
  return is_allowed;
}

void Core::decline_play(int index, double retry_after) {
  PlayRecord &play = plays_.at(index);
  if (play.allocation < 0) play.cause = FailureCause::no_rung;
  if (may_answer(index)) player_gateway_.send_decline(index, retry_after);
  record_answer(index, "declined");
  plays_.set_state(index, PlayState::answered);
}

void Core::fail_play(int index) {
  if (may_answer(index)) player_gateway_.send_failure(index);
  record_answer(index, "failed");
  plays_.set_state(index, PlayState::answered);
}

// Ends the play and asks its player to request it again; the new request is marked as moved.
void Core::move_play(int index) {
  if (plays_.at(index).state != PlayState::playing) return;
  player_gateway_.send_move(index);
  server_gateway_.end_play(index, "moved");
  asio::post(io_, [this, ref = play_ref(index)] {
    if (is_current(ref)) play_ended(ref.index, Outcome::recalled);
  });
}

void Core::shut_down_by(double deadline) {
  shutdown_at_ = deadline;
  send_guard_.set_shutdown_time(deadline);
  call_engine([&] { engine_->set_shutdown_time(deadline); });
  shutdown_timer_.expires_after(to_timer_duration(deadline - clock_.read_now()));
  shutdown_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) cancel_pending_set_ups();
  });
}

// Each set-up counts as timed out, since its play may have started on the server. The engine then decides on
// the answer to the player.
void Core::cancel_pending_set_ups() {
  std::vector<int> pending;
  plays_.for_each([&](int index) {
    if (plays_.at(index).state == PlayState::allocating) pending.push_back(index);
  });
  for (int index : pending) {
    server_gateway_.cancel_set_up(index, "draining");
    SetUpResult result;
    result.outcome = Outcome::timed_out;
    set_up_ended(play_ref(index), plays_.at(index).allocation, result);
  }
}

// ---- Allocations.

void Core::set_rung(int index, int rung) {
  PlayRecord &play = plays_.at(index);
  play.rung = rung;
  // Before the play runs, the rung is sent with the set-up.
  if (play.state != PlayState::playing) return;
  counters_->rung_changes.Increment();
  server_gateway_.change_rung(index, rung);
}

void Core::start_allocation(int index, int server, double timeout) {
  PlayRecord &play = plays_.at(index);
  last_allocation_at_ = clock_.now();
  play.server = server;
  Allocation allocation{server, ++play.allocation, play.rung, 0};
  double left = std::max(0.0, std::min(play.deadline, shutdown_at_) - clock_.read_now());
  allocation.timeout = timeout > 0 ? std::min(timeout, left) : 0;
  plays_.set_state(index, PlayState::allocating);
  if (!send_guard_.may_attempt(play, server, clock_.read_now())) {
    asio::post(io_, [this, ref = play_ref(index), number = allocation.number] {
      SetUpResult not_sent;
      not_sent.outcome = Outcome::skipped;
      set_up_ended(ref, number, not_sent);
    });
    return;
  }
  send_guard_.attempt_started(play.id, server);
  server_gateway_.start_set_up(index, allocation);
  play.processing_time += clock_.read_now() - play.processing_since;
}

void Core::set_up_ended(const PlayRef &ref, int allocation, const SetUpResult &result) {
  if (!is_current(ref)) return;
  int index = ref.index;
  PlayRecord &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  // The engine may try another server.
  if (!result.started && is_catching_up())
    return call_when_caught_up([this, ref, allocation, result] { set_up_ended(ref, allocation, result); });
  send_guard_.attempt_finished(play.id);
  play.processing_since = clock_.read_now();
  counters_->allocations(result.outcome).Increment();
  if (!result.started) {
    play.cause = cause_of(result.outcome);
    if (log_.is_enabled(telemetry::LogLevel::info))
      log_.info("attempt_ended", {{"session", settings::format_hex16(play.id)},
                                  {"server", servers_.id(play.server)},
                                  {"number", allocation},
                                  {"outcome", setting_names::name_of(result.outcome)},
                                  {"took", result.duration}});
    plays_.set_state(index, PlayState::requested);
    call_engine([&] { engine_->allocation_ended(index, allocation, result.outcome, false, result.load); });
    return;
  }
  plays_.set_state(index, PlayState::playing);
  play.started_at = clock_.now();
  play.held_at = clock_.read_now();
  play.cause = FailureCause::none;
  if (may_answer(index)) player_gateway_.send_set_up_result(index, result);
  record_answer(index, "plays");
  call_engine([&] { engine_->play_started(index, allocation, result.duration); });
  if (settings_.load_in_answers && result.load.link_demand)
    record_feedback(index, FeedbackKind::link_demand, *result.load.link_demand);
  if (settings_.load_in_answers && result.load.uplink_demand)
    record_feedback(index, FeedbackKind::uplink_demand, *result.load.uplink_demand);
}

void Core::recall_allocation(int index, int allocation) {
  PlayRecord &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  server_gateway_.cancel_set_up(index, "withdrawn");
  asio::post(io_, [this, ref = play_ref(index), allocation] {
    SetUpResult result;
    result.outcome = Outcome::recalled;
    set_up_ended(ref, allocation, result);
  });
}

void Core::record_feedback(int index, FeedbackKind kind, double value) {
  if (plays_.at(index).state != PlayState::playing) return;
  if (kind == FeedbackKind::rung) plays_.at(index).rung = static_cast<int>(value);
  call_engine([&] { engine_->feedback_received(index, kind, value); });
}

void Core::play_ended(int index, Outcome outcome, const LoadReport &report) {
  PlayRecord &play = plays_.at(index);
  if (play.state != PlayState::playing) return;
  int allocation = play.allocation;
  player_gateway_.send_end(index, outcome);
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info("session_ended", {{"session", settings::format_hex16(play.id)},
                                {"server", servers_.id(play.server)},
                                {"outcome", setting_names::name_of(outcome)},
                                {"after", clock_.now() - play.started_at}});
  call_engine([&] { engine_->allocation_ended(index, allocation, outcome, true, report); });
}

void Core::server_lost(int server, const char *reason) {
  auto on_server = plays_.playing_at(server);
  // A copy, since each ended play is removed from the table's own list.
  server_lost(server, reason, std::vector(on_server.begin(), on_server.end()));
}

void Core::server_lost(int server, const char *reason, const std::vector<int> &plays) {
  counters_->lost_servers.Increment();
  log_.warning("server_lost", {{"server", servers_.id(server)}, {"cause", reason}, {"plays", plays.size()}});
  for (int index : plays) {
    count_ended_play("server_lost");
    play_ended(index, Outcome::reset);
  }
}

void Core::forget_play(int index) {
  player_gateway_.forget_play(index);
  titles_.release_holder(index);
  plays_.set_state(index, PlayState::unused);
}

void Core::forget_server(int server) {
  if (server < 0) return;
  log_.info("server_forgotten", {{"server", servers_.id(server)}});
  server_gateway_.forget_server(server);
  send_guard_.remove_server(server);
  servers_.forget(server);
}

void Core::probe_server(int server) {
  counters_->probes.Increment();
  server_gateway_.probe_server(server);
}

void Core::probe_answered(int server, Outcome outcome, const LoadReport &report) {
  call_engine([&] { engine_->probe_answered(server, outcome, report); });
}

// ---- Timers of the engine. One asio timer runs for the earliest of them.

void Core::set_timer(double wait, int label) {
  timers_.push({clock_.now() + wait, label});
  arm_engine_timer();
}

void Core::arm_engine_timer() {
  if (timers_.empty()) return;
  engine_timer_.expires_after(to_timer_duration(std::max(0.0, timers_.top().at - clock_.read_now())));
  engine_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) on_engine_timer();
  });
}

void Core::on_engine_timer() {
  if (is_catching_up()) return call_when_caught_up([this] { on_engine_timer(); });
  double now = clock_.now();
  // A timer that is due within 0.1 ms is passed on at once.
  while (!timers_.empty() && timers_.top().at <= now + 1e-4) {
    int label = timers_.top().label;
    timers_.pop();
    call_engine([&] { engine_->timer_expired(label); });
  }
  arm_engine_timer();
}

// The engine answers each play within its time limit. Should it fail to, the player still gets its one answer
// from here (rule 1).
void Core::check_deadlines() {
  deadline_timer_.expires_after(to_timer_duration(kDeadlineCheckInterval));
  deadline_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = clock_.now();
    pauses_.beat(clock_.read_now());
    while (!deadlines_.empty() && deadlines_.top().at <= now) {
      PlayRef ref = deadlines_.top().ref;
      deadlines_.pop();
      if (!is_current(ref)) continue;
      PlayRecord &play = plays_.at(ref.index);
      if (play.state != PlayState::requested && play.state != PlayState::allocating) continue;
      counters_->deadline_passed.Increment();
      play.cause = FailureCause::deadline_passed;
      log_.error("overdue", {{"serial", play.serial}, {"state", name_of(play.state)}});
      if (may_answer(ref.index)) player_gateway_.send_failure(ref.index);
      player_left(ref.index);
    }
    check_deadlines();
  });
}

// ---- The server list.

void Core::queue_update(ServerList list, bool is_full) {
  queued_servers_ += list.servers.size();
  updates_.push_back({std::move(list), is_full});
  if (!applying_) apply_updates();
  control_list_source();
}

void Core::control_list_source() {
  if (queued_servers_ > kMaxQueuedServers) list_source_->set_paused(true);
  if (updates_.empty()) list_source_->set_paused(false);
}

// A long list is applied in slices, each in a handler of its own, so that it does not delay answers.
void Core::apply_updates() {
  applying_ = true;
  std::size_t left = kServersPerSlice;
  while (!updates_.empty()) {
    ListUpdate &update = updates_.front();
    std::size_t size = std::min(update.list.servers.size() - update.next, kServersPerSlice);
    if (size > left) break;
    left -= size;
    if (apply_slice(update)) updates_.pop_front();
  }
  if (updates_.empty()) {
    applying_ = false;
    return control_list_source();
  }
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) apply_updates();
  });
}

bool Core::apply_slice(ListUpdate &update) {
  double start = telemetry::steady_seconds();
  if (update.next == 0) servers_.begin_update();
  if (update.is_full && update.next == 0) servers_.begin_full_list();
  std::vector<ServerEntry> entries;
  auto update_server = [&](int server) {
    if (servers_.is_displaced(server))
      log_.info("address_taken", {{"server", servers_.id(server)},
                                  {"by", servers_.id(servers_.find_at(servers_.at(server).address))}});
    send_guard_.set_server_status(server, servers_.at(server).status, clock_.now());
    server_gateway_.update_server(server, servers_.at(server));
    entries.push_back(entry_of(server));
  };
  const std::vector<ListedServer> &listed_servers = update.list.servers;
  std::size_t end = std::min(listed_servers.size(), update.next + kServersPerSlice);
  queued_servers_ -= end - update.next;
  for (; update.next < end; ++update.next) {
    update_server(servers_.apply(listed_servers[update.next]));
    for (int server : servers_.address_changes()) update_server(server);
  }
  bool done = update.next == listed_servers.size();
  // Servers that the whole list no longer names have left.
  if (done && update.is_full) {
    for (int server : servers_.finish_full_list()) update_server(server);
    for (int server : servers_.address_changes()) update_server(server);
  }
  ListUpdateKind kind =
      std::exchange(engine_has_list_, true) ? ListUpdateKind::changes : ListUpdateKind::initial;
  call_engine([&] { engine_->server_list_updated(kind, entries); });
  double duration = telemetry::steady_seconds() - start;
  update.duration += duration;
  record_busy_time(duration);
  if (done) finish_update(update);
  return done;
}

ServerEntry Core::entry_of(int server) {
  const ListedServer &listed = servers_.at(server);
  ServerEntry entry;
  entry.server = server;
  entry.stable_id = listed.stable_id.value_or(hash53(listed.id));
  entry.hall = halls_.index_of(listed.hall);
  entry.kind = kinds_.find(listed.kind);
  if (entry.kind < 0) log_.warning("unknown_kind", {{"server", listed.id}, {"kind", listed.kind}});
  entry.cell = listed.cell;
  entry.status = listed.status;
  entry.weight = listed.weight;
  entry.started_at = std::min(listed.started_at, clock_.now());
  return entry;
}

void Core::finish_update(const ListUpdate &update) {
  if (update.list.version < list_version_)
    log_.warning("list_older", {{"version", update.list.version}, {"before", list_version_}});
  list_version_ = update.list.version;
  list_at_ = clock_.now();
  has_list_ = true;
  counters_->list_changes.Increment();
  log_.info("list", {{"version", list_version_},
                     {"whole", update.is_full},
                     {"servers", update.list.servers.size()},
                     {"took", update.duration}});
}

// ---- State, for operators.

std::vector<std::pair<std::string, std::uint64_t>> Core::answer_counts() {
  std::map<std::string, std::uint64_t> counts;
  for (const auto &[key, counter] : counters_->by_outcome)
    counts[std::string(key.first)] += static_cast<std::uint64_t>(counter->Value());
  return {counts.begin(), counts.end()};
}

std::string Core::metrics_text() {
  // From 1: state 0 is that of unused rows.
  for (std::size_t state = 1; state < kPlayStates; ++state)
    metrics_
        .gauge("snowshore_plays_open", "Plays in the table, by state",
               {{"state", name_of(static_cast<PlayState>(state))}})
        .Set(static_cast<double>(plays_.count(static_cast<PlayState>(state))));
  counters_->list_age.Set(list_age());
  counters_->list_version.Set(static_cast<double>(list_version_));
  counters_->timers.Set(static_cast<double>(timers_.size()));
  return metrics_.render_text();
}

} // namespace snowshore::edge
