#include "edge/core.h"
#include "decision/given_reader.h"
#include "decision/names.h"
#include "given/hex_id.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

constexpr double kGuardEvery = 0.01;
constexpr double kLongCall = 0.005;        // seconds
constexpr std::size_t kServersATurn = 128; // of a list, applied before the loop goes on

} // namespace

std::uint64_t hash53(const std::string &text) { return XXH64(text.data(), text.size(), 0) >> 11; }

struct Core::Counters {
  telemetry::Metrics &m;
  explicit Counters(telemetry::Metrics &metrics) : m(metrics) {
    for (std::size_t c = 0; c < kCauses; ++c) {
      for (const char *outcome : kOutcomes)
        by_outcome[std::pair(std::string_view(outcome), c)] =
            &m.counter("snowshore_plays_total", "Plays answered, by outcome and cause",
                       {{"outcome", outcome}, {"cause", name_of(static_cast<FailureCause>(c))}});
    }
    for (std::size_t o = 0; o < by_allocation.size(); ++o)
      by_allocation[o] = &m.counter("snowshore_allocations_total", "Allocations ended or started, by outcome",
                                    {{"outcome", std::string(given::kOutcomeNames[o])}});
  }
  static constexpr const char *kOutcomes[] = {"plays", "declined", "failed", "left"};
  // Looked up once at start: the registry walks its families at each look.
  std::map<std::pair<std::string_view, std::size_t>, prometheus::Counter *> by_outcome;
  std::array<prometheus::Counter *, std::size(given::kOutcomeNames)> by_allocation{};
  prometheus::Counter &plays(const char *outcome, FailureCause cause) {
    return *by_outcome.at({outcome, static_cast<std::size_t>(cause)});
  }
  prometheus::Counter &allocations(Outcome outcome) {
    return *by_allocation[static_cast<std::size_t>(outcome)];
  }
  prometheus::Counter &ended(const char *why) {
    return m.counter("snowshore_plays_ended_total", "Plays under way that ended", {{"why", why}});
  }
  prometheus::Counter &taken = m.counter("snowshore_plays_taken_total", "Requests taken as plays");
  prometheus::Counter &lost_servers =
      m.counter("snowshore_lost_servers_total", "Times that a server's report stream was given up");
  prometheus::Counter &list_changes = m.counter("snowshore_list_changes_total", "Lists taken");
  prometheus::Counter &list_faults =
      m.counter("snowshore_list_faults_total", "Lists or catalogues that could not be had or were refused");
  prometheus::Counter &probes = m.counter("snowshore_probes_total", "Probes sent");
  prometheus::Counter &steps =
      m.counter("snowshore_rung_steps_total", "Changes of rung sent for plays under way");
  prometheus::Counter &overdue =
      m.counter("snowshore_overdue_total", "Plays that the front's guard had to answer; not 0 is a defect");
  prometheus::Histogram &decision = m.histogram(
      "snowshore_decision_seconds", "Time of one call on the module", telemetry::duration_buckets());
  prometheus::Histogram &added = m.histogram(
      "snowshore_added_seconds", "The front's own time in a play's answer: without waiting for servers",
      telemetry::duration_buckets());
  prometheus::Histogram &answer = m.histogram(
      "snowshore_answer_seconds", "From a play's request to its answer", telemetry::duration_buckets());
  prometheus::Gauge &list_age = m.gauge("snowshore_list_age_seconds", "Since the list was last taken");
  prometheus::Gauge &list_version = m.gauge("snowshore_list_version", "Of the list in force");
  prometheus::Gauge &timers = m.gauge("snowshore_timers", "Timers that the module waits for");
};

Core::Core(asio::io_context &io, CoreSettings terms, telemetry::Log &log, std::unique_ptr<ListSource> source,
           PlayerGateway &players, ServerGateway &servers, DecisionEngineFactory make)
    : io_(io), settings_(std::move(terms)), log_(log), player_gateway_(players), server_gateway_(servers),
      counters_(std::make_unique<Counters>(metrics_)), send_guard_(log, 0), timer_(io), deadline_timer_(io),
      shutdown_timer_(io), source_(std::move(source)), engine_factory_(std::move(make)) {
  std::random_device device;
  seed_ = settings_.seed ? settings_.seed : (std::uint64_t{device()} << 32 | device());
  for (const std::string &hall : settings_.halls) halls_.index_of(hall);
  send_guard_.set_drain_grace(drain_grace());
}

Core::~Core() = default;

double Core::drain_grace() const {
  return SettingsReader(settings_.decision_settings).number(given::kDrainGrace, 0);
}

void Core::start(std::function<void(Catalogue)> on_catalogue) {
  make_engine();
  ListSource::Events events;
  events.list = [this](ServerList list) { on_list(std::move(list), true); };
  events.changes = [this](ServerList list) { on_list(std::move(list), false); };
  events.catalogue = std::move(on_catalogue);
  events.unavailable = [this](const std::string &why) {
    counters_->list_faults.Increment();
    log_.warning("list_unavailable", {{"cause", why}});
    call_engine([&] { engine_->server_list_updated(ListUpdateKind::unavailable, {}); });
  };
  source_->start(std::move(events));
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

void Core::count_ended_play(const char *why) { counters_->ended(why).Increment(); }

// The module, at the start and where the shape of what it knows has changed and nothing is in hand.
void Core::make_engine() {
  timers_ = {};
  kinds_ = {};
  for (const std::string &kind : settings_.kinds) kinds_.index_of(kind);
  engine_ = engine_factory_(settings_.decision_settings, seed_, clock_.now(), *this);
  engine_has_list_ = false;
  if (!has_list_) return;
  std::vector<ServerEntry> entries; // what is known of servers stays
  for (const ListedServer &one : servers_.list().servers) entries.push_back(entry_of(servers_.find(one.id)));
  engine_has_list_ = true;
  call_engine([&] { engine_->server_list_updated(ListUpdateKind::initial, entries); });
}

void Core::apply_settings(CoreSettings terms) {
  settings_ = std::move(terms);
  send_guard_.set_drain_grace(drain_grace());
  call_engine([&] { engine_->settings_changed(settings_.decision_settings); });
}

void Core::restart_engine(CoreSettings terms) {
  settings_ = std::move(terms);
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
  counters_->taken.Increment();
  return {index, play.serial};
}

void Core::submit_play(int index, PlayRequest terms, double spent) {
  PlayRecord &play = plays_.at(index);
  play.product = terms.product;
  terms.title = play.title;
  play.deadline =
      play.requested_at +
      terms.time_left.value_or(settings_.products[static_cast<std::size_t>(terms.product)].time_limit);
  deadlines_.push({play.deadline + settings_.answer_slack / 2, {index, play.serial}});
  play.processing_since = clock_.read_now() - spent;
  call_engine([&] { engine_->play_requested(index, terms); });
}

std::optional<PlayRef> Core::accept_handover(std::uint64_t id, const std::string &title,
                                             const std::string &server, PlayRequest terms) {
  int at = servers_.find(server);
  if (at < 0) return std::nullopt;
  PlayRef ref = add_play(id, title);
  PlayRecord &play = plays_.at(ref.index);
  play.product = terms.product;
  play.server = at;
  play.allocation = 0;
  play.started_at = clock_.now();
  plays_.set_state(ref.index, PlayState::playing);
  terms.title = play.title;
  call_engine([&] { engine_->play_handed_over(ref.index, at, terms); });
  server_gateway_.play_handed_over(ref.index);
  return ref;
}

// The player left before its answer.
void Core::player_left(int index) {
  PlayRecord &play = plays_.at(index);
  if (play.state != PlayState::requested && play.state != PlayState::allocating) return;
  counters_->plays(play.cause == FailureCause::deadline_passed ? "failed" : "left", play.cause).Increment();
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info("left", {{"session", given::format_hex16(play.id)},
                       {"state", name_of(play.state)},
                       {"after", clock_.read_now() - play.requested_at}});
  if (play.state == PlayState::requested) {
    call_engine([&] { engine_->viewer_left(index); }); // the module forgets it
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

// After the answer has gone out: a server may end a play in the moment in which it starts, and nothing that
// is only written down may hold up what its player is told.
void Core::record_answer(int index, const char *outcome) {
  PlayRecord &play = plays_.at(index);
  double now = clock_.read_now();
  play.processing_time += now - play.processing_since;
  counters_->plays(outcome, play.cause).Increment();
  counters_->answer.Observe(now - play.requested_at);
  counters_->added.Observe(play.processing_time);
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info(outcome, {{"session", given::format_hex16(play.id)},
                        {"title", titles_.id(play.title)},
                        {"product", settings_.products[static_cast<std::size_t>(play.product)].name},
                        {"server", play.server >= 0 ? servers_.id(play.server) : ""},
                        {"rung", play.rung},
                        {"allocations", play.allocation + 1},
                        {"cause", name_of(play.cause)},
                        {"took", now - play.requested_at}});
}

bool Core::may_answer(int index) {
  bool may = send_guard_.may_answer(plays_.at(index));
  plays_.at(index).answered = true;
  return may;
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

// The play ends and its player is told to come again; it comes as a new request marked as moved.
void Core::move_play(int index) {
  if (plays_.at(index).state != PlayState::playing) return;
  player_gateway_.send_move(index);
  server_gateway_.end_play(index, "moved");
  asio::post(io_, [this, ref = play_ref(index)] {
    if (is_current(ref)) play_ended(ref.index, Outcome::recalled);
  });
}

void Core::shut_down_by(double moment) {
  shutdown_at_ = moment;
  send_guard_.set_shutdown_time(moment);
  call_engine([&] { engine_->set_shutdown_time(moment); });
  shutdown_timer_.expires_after(to_timer_duration(moment - clock_.read_now()));
  shutdown_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) give_up_all();
  });
}

// What is still out is withdrawn and may have run; the module says what its player is told.
void Core::give_up_all() {
  std::vector<int> out;
  plays_.for_each([&](int index) {
    if (plays_.at(index).state == PlayState::allocating) out.push_back(index);
  });
  for (int index : out) {
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
  if (play.state != PlayState::playing) return; // it goes with the set-up
  counters_->steps.Increment();
  server_gateway_.change_rung(index, rung);
}

void Core::start_allocation(int index, int server, double time_out) {
  PlayRecord &play = plays_.at(index);
  last_allocation_at_ = clock_.now();
  play.server = server;
  Allocation allocation{server, ++play.allocation, play.rung, 0};
  double left = std::max(0.0, std::min(play.deadline, shutdown_at_) - clock_.read_now());
  allocation.timeout = time_out > 0 ? std::min(time_out, left) : 0;
  plays_.set_state(index, PlayState::allocating);
  if (!send_guard_.may_attempt(play, server, clock_.read_now())) {
    asio::post(io_, [this, ref = play_ref(index), number = allocation.number] {
      SetUpResult never_sent;
      never_sent.outcome = Outcome::skipped;
      set_up_ended(ref, number, never_sent);
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
  send_guard_.attempt_finished(play.id);
  play.processing_since = clock_.read_now();
  counters_->allocations(result.outcome).Increment();
  if (!result.started) {
    play.cause = cause_of(result.outcome);
    if (log_.is_enabled(telemetry::LogLevel::info))
      log_.info("attempt_ended", {{"session", given::format_hex16(play.id)},
                                  {"server", servers_.id(play.server)},
                                  {"number", allocation},
                                  {"outcome", given::name_of(result.outcome)},
                                  {"took", result.duration}});
    plays_.set_state(index, PlayState::requested);
    call_engine([&] { engine_->allocation_ended(index, allocation, result.outcome, false, result.load); });
    return;
  }
  plays_.set_state(index, PlayState::playing);
  play.started_at = clock_.now();
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
  call_engine([&] { engine_->allocation_ended(index, allocation, outcome, true, report); });
}

void Core::server_lost(int server, const char *why, double before) {
  counters_->lost_servers.Increment();
  log_.warning("server_lost", {{"server", servers_.id(server)}, {"cause", why}});
  auto there = plays_.playing_at(server);
  for (int index : std::vector(there.begin(), there.end())) { // a copy: they end one by one
    if (plays_.at(index).started_at >= before) continue;
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

// ---- Timers of the module: one of the loop's, for the earliest.

void Core::set_timer(double wait, int label) {
  timers_.push({clock_.now() + wait, label});
  arm_timer();
}

void Core::arm_timer() {
  if (timers_.empty()) return;
  timer_.expires_after(to_timer_duration(std::max(0.0, timers_.top().at - clock_.read_now())));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) on_timer();
  });
}

void Core::on_timer() {
  double now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now + 1e-4) {
    int label = timers_.top().label;
    timers_.pop();
    call_engine([&] { engine_->timer_expired(label); });
  }
  arm_timer();
}

// Rule 1's last guard: the module answers in time by itself; should it ever not, the player still gets its
// one answer.
void Core::check_deadlines() {
  deadline_timer_.expires_after(to_timer_duration(kGuardEvery));
  deadline_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = clock_.now();
    while (!deadlines_.empty() && deadlines_.top().at <= now) {
      PlayRef ref = deadlines_.top().ref;
      deadlines_.pop();
      if (!is_current(ref)) continue;
      PlayRecord &play = plays_.at(ref.index);
      if (play.state != PlayState::requested && play.state != PlayState::allocating) continue;
      counters_->overdue.Increment();
      play.cause = FailureCause::deadline_passed;
      log_.error("overdue", {{"serial", play.serial}, {"state", name_of(play.state)}});
      if (may_answer(ref.index)) player_gateway_.send_failure(ref.index);
      player_left(ref.index);
    }
    check_deadlines();
  });
}

// ---- The list.

void Core::on_list(ServerList list, bool whole) {
  updates_.push_back({std::move(list), whole});
  if (!applying_) apply_updates();
}

// A slice now and the next in a later turn, so that a long list does not hold up what is to be answered.
void Core::apply_updates() {
  applying_ = true;
  std::size_t left = kServersATurn;
  while (!updates_.empty()) {
    ListUpdate &update = updates_.front();
    std::size_t size = std::min(update.list.servers.size() - update.next, kServersATurn);
    if (size > left) break;
    left -= size;
    if (apply_slice(update)) updates_.pop_front();
  }
  if (updates_.empty()) {
    applying_ = false;
    return;
  }
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) apply_updates();
  });
}

bool Core::apply_slice(ListUpdate &update) {
  double from = telemetry::steady_seconds();
  if (update.is_full && update.next == 0) servers_.begin_full_list();
  std::vector<ServerEntry> entries;
  auto tell = [&](int server) {
    send_guard_.set_server_status(server, servers_.at(server).status, clock_.now());
    server_gateway_.update_server(server, servers_.at(server));
    entries.push_back(entry_of(server));
  };
  const std::vector<ListedServer> &said = update.list.servers;
  std::size_t end = std::min(said.size(), update.next + kServersATurn);
  for (; update.next < end; ++update.next) tell(servers_.apply(said[update.next]));
  bool done = update.next == said.size();
  if (done && update.is_full) { // what the whole list no longer names has left
    for (int server : servers_.finish_full_list()) tell(server);
  }
  ListUpdateKind kind =
      std::exchange(engine_has_list_, true) ? ListUpdateKind::changes : ListUpdateKind::initial;
  call_engine([&] { engine_->server_list_updated(kind, entries); });
  double took = telemetry::steady_seconds() - from;
  update.duration += took;
  record_busy_time(took);
  if (done) finish_update(update);
  return done;
}

ServerEntry Core::entry_of(int server) {
  const ListedServer &one = servers_.at(server);
  ServerEntry entry;
  entry.server = server;
  entry.stable_id = one.stable_id.value_or(hash53(one.id));
  entry.hall = halls_.index_of(one.hall);
  entry.kind = kinds_.find(one.kind);
  if (entry.kind < 0) log_.warning("unknown_kind", {{"server", one.id}, {"kind", one.kind}});
  entry.cell = one.cell;
  entry.status = one.status;
  entry.weight = one.weight;
  entry.started_at = std::min(one.started_at, clock_.now());
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

// ---- What operators see.

std::vector<std::pair<std::string, std::uint64_t>> Core::answer_counts() {
  std::map<std::string, std::uint64_t> sums;
  for (const auto &[key, counter] : counters_->by_outcome)
    sums[std::string(key.first)] += static_cast<std::uint64_t>(counter->Value());
  return {sums.begin(), sums.end()};
}

std::string Core::metrics_text() {
  for (std::size_t s = 1; s < kPlayStates; ++s)
    metrics_
        .gauge("snowshore_plays_open", "Plays in hand, by state",
               {{"state", name_of(static_cast<PlayState>(s))}})
        .Set(static_cast<double>(plays_.count(static_cast<PlayState>(s))));
  counters_->list_age.Set(list_age());
  counters_->list_version.Set(static_cast<double>(list_version_));
  counters_->timers.Set(static_cast<double>(timers_.size()));
  return metrics_.render_text();
}

} // namespace snowshore::edge
