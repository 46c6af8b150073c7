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

using telemetry::span;

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
                       {{"outcome", outcome}, {"cause", name_of(static_cast<Cause>(c))}});
    }
    for (std::size_t o = 0; o < by_allocation.size(); ++o)
      by_allocation[o] = &m.counter("snowshore_allocations_total", "Allocations ended or started, by outcome",
                                    {{"outcome", std::string(given::kOutcomeNames[o])}});
  }
  static constexpr const char *kOutcomes[] = {"plays", "declined", "failed", "left"};
  // Looked up once at start: the registry walks its families at each look.
  std::map<std::pair<std::string_view, std::size_t>, prometheus::Counter *> by_outcome;
  std::array<prometheus::Counter *, std::size(given::kOutcomeNames)> by_allocation{};
  prometheus::Counter &plays(const char *outcome, Cause cause) {
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
  prometheus::Histogram &decision =
      m.histogram("snowshore_decision_seconds", "Time of one call on the module", telemetry::time_bounds());
  prometheus::Histogram &added = m.histogram(
      "snowshore_added_seconds", "The front's own time in a play's answer: without waiting for servers",
      telemetry::time_bounds());
  prometheus::Histogram &answer = m.histogram(
      "snowshore_answer_seconds", "From a play's request to its answer", telemetry::time_bounds());
  prometheus::Gauge &list_age = m.gauge("snowshore_list_age_seconds", "Since the list was last taken");
  prometheus::Gauge &list_version = m.gauge("snowshore_list_version", "Of the list in force");
  prometheus::Gauge &timers = m.gauge("snowshore_timers", "Timers that the module waits for");
};

Core::Core(asio::io_context &io, CoreTerms terms, telemetry::Log &log, std::unique_ptr<ListSource> source,
           PlayersDoor &players, ServersDoor &servers, MakeFront make)
    : io_(io), terms_(std::move(terms)), log_(log), players_(players), servers_door_(servers),
      counters_(std::make_unique<Counters>(metrics_)), send_guard_(log, 0), timer_(io), guard_timer_(io),
      close_timer_(io), source_(std::move(source)), make_(std::move(make)) {
  std::random_device device;
  seed_ = terms_.seed ? terms_.seed : (std::uint64_t{device()} << 32 | device());
  for (const std::string &hall : terms_.halls) halls_.index_of(hall);
  send_guard_.set_drain_grace(drain_grace());
}

Core::~Core() = default;

double Core::drain_grace() const { return GivenReader(terms_.given).number(given::kDrainGrace, 0); }

void Core::start(std::function<void(Catalogue)> on_catalogue) {
  make_module();
  ListSource::Events events;
  events.list = [this](ServerList list) { on_list(std::move(list), true); };
  events.changes = [this](ServerList list) { on_list(std::move(list), false); };
  events.catalogue = std::move(on_catalogue);
  events.unavailable = [this](const std::string &why) {
    counters_->list_faults.Increment();
    log_.warning("list_unavailable", {{"cause", why}});
    decide([&] { front_->list_changed(ListKind::unavailable, {}); });
  };
  source_->start(std::move(events));
  guard();
}

void Core::note_decision(double seconds) {
  counters_->decision.Observe(seconds);
  note_load(seconds);
}

void Core::note_load(double seconds) {
  ++load_.calls;
  load_.long_calls += seconds > kLongCall;
  load_.longest = std::max(load_.longest, seconds);
}

void Core::count_ended(const char *why) { counters_->ended(why).Increment(); }

// The module, at the start and where the shape of what it knows has changed and nothing is in hand.
void Core::make_module() {
  timers_ = {};
  kinds_ = {};
  for (const std::string &kind : terms_.kinds) kinds_.index_of(kind);
  front_ = make_(terms_.given, seed_, clock_.now(), *this);
  module_has_list_ = false;
  if (!has_list_) return;
  std::vector<ServerEntry> entries; // what is known of servers stays
  for (const ListedServer &one : servers_.list().servers) entries.push_back(entry_of(servers_.find(one.id)));
  module_has_list_ = true;
  decide([&] { front_->list_changed(ListKind::held, entries); });
}

void Core::change(CoreTerms terms) {
  terms_ = std::move(terms);
  send_guard_.set_drain_grace(drain_grace());
  decide([&] { front_->given_changed(terms_.given); });
}

void Core::renew(CoreTerms terms) {
  terms_ = std::move(terms);
  make_module();
}

ServerView Core::view_of(int server) {
  ServerView view;
  decide([&] { view = front_->view_of(server); });
  return view;
}

// ---- Players.

PlayRef Core::take(std::uint64_t id, const std::string &title) {
  int index = plays_.take(id);
  HeldPlay &play = plays_.at(index);
  play.serial = next_serial_++;
  play.title = titles_.index_of(title);
  titles_.hold(index, play.title);
  play.asked_at = clock_.now();
  counters_->taken.Increment();
  return {index, play.serial};
}

void Core::ask(int index, PlayTerms terms, double spent) {
  HeldPlay &play = plays_.at(index);
  play.product = terms.product;
  terms.title = play.title;
  play.limit_at = play.asked_at + terms.time_left.value_or(
                                      terms_.products[static_cast<std::size_t>(terms.product)].time_limit);
  limits_.push({play.limit_at + terms_.answer_slack / 2, {index, play.serial}});
  play.resumed_at = clock_.exact() - spent;
  decide([&] { front_->play_asked(index, terms); });
}

std::optional<PlayRef> Core::hand_over(std::uint64_t id, const std::string &title, const std::string &server,
                                       PlayTerms terms) {
  int at = servers_.find(server);
  if (at < 0) return std::nullopt;
  PlayRef ref = take(id, title);
  HeldPlay &play = plays_.at(ref.index);
  play.product = terms.product;
  play.server = at;
  play.allocation = 0;
  play.started_at = clock_.now();
  plays_.become(ref.index, PlayState::playing);
  terms.title = play.title;
  decide([&] { front_->play_handed_over(ref.index, at, terms); });
  servers_door_.handed_over(ref.index);
  return ref;
}

// The player left before its answer.
void Core::player_left(int index) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::asked && play.state != PlayState::allocating) return;
  counters_->plays(play.cause == Cause::overdue ? "failed" : "left", play.cause).Increment();
  if (log_.writes(telemetry::Level::info))
    log_.info("left", {{"session", given::write_hex16(play.id)},
                       {"state", name_of(play.state)},
                       {"after", clock_.exact() - play.asked_at}});
  if (play.state == PlayState::asked) {
    decide([&] { front_->viewer_left(index); }); // the module forgets it
    return;
  }
  int allocation = play.allocation;
  servers_door_.withdraw(index, "left");
  send_guard_.attempt_over(play.id);
  plays_.become(index, PlayState::leaving);
  decide([&] {
    front_->viewer_left(index);
    front_->allocation_ended(index, allocation, Outcome::recalled, true, {});
  });
}

void Core::released(int index) {
  if (plays_.at(index).state != PlayState::playing || !send_guard_.may_release(plays_.at(index))) return;
  servers_door_.end(index, "left");
  count_ended("left");
  play_over(index, Outcome::recalled);
}

// After the answer has gone out: a server may end a play in the moment in which it starts, and nothing that
// is only written down may hold up what its player is told.
void Core::settle(int index, const char *outcome) {
  HeldPlay &play = plays_.at(index);
  double now = clock_.exact();
  play.added += now - play.resumed_at;
  counters_->plays(outcome, play.cause).Increment();
  counters_->answer.Observe(now - play.asked_at);
  counters_->added.Observe(play.added);
  if (log_.writes(telemetry::Level::info))
    log_.info(outcome, {{"session", given::write_hex16(play.id)},
                        {"title", titles_.id(play.title)},
                        {"product", terms_.products[static_cast<std::size_t>(play.product)].name},
                        {"server", play.server >= 0 ? servers_.id(play.server) : ""},
                        {"rung", play.rung},
                        {"allocations", play.allocation + 1},
                        {"cause", name_of(play.cause)},
                        {"took", now - play.asked_at}});
}

bool Core::may_answer(int index) {
  bool may = send_guard_.may_answer(plays_.at(index));
  plays_.at(index).answered = true;
  return may;
}

void Core::decline(int index, double retry_after) {
  HeldPlay &play = plays_.at(index);
  if (play.allocation < 0) play.cause = Cause::no_rung;
  if (may_answer(index)) players_.decline(index, retry_after);
  settle(index, "declined");
  plays_.become(index, PlayState::answered);
}

void Core::fail(int index) {
  if (may_answer(index)) players_.fail(index);
  settle(index, "failed");
  plays_.become(index, PlayState::answered);
}

// The play ends and its player is told to come again; it comes as a new request marked as moved.
void Core::move(int index) {
  if (plays_.at(index).state != PlayState::playing) return;
  players_.move(index);
  servers_door_.end(index, "moved");
  asio::post(io_, [this, ref = ref(index)] {
    if (holds(ref)) play_over(ref.index, Outcome::recalled);
  });
}

void Core::close_by(double moment) {
  closes_at_ = moment;
  send_guard_.closes_at(moment);
  decide([&] { front_->closes_at(moment); });
  close_timer_.expires_after(span(moment - clock_.exact()));
  close_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) give_up_all();
  });
}

// What is still out is withdrawn and may have run; the module says what its player is told.
void Core::give_up_all() {
  std::vector<int> out;
  plays_.each([&](int index) {
    if (plays_.at(index).state == PlayState::allocating) out.push_back(index);
  });
  for (int index : out) {
    servers_door_.withdraw(index, "draining");
    SetUpResult result;
    result.outcome = Outcome::timed_out;
    set_up_ended(ref(index), plays_.at(index).allocation, result);
  }
}

// ---- Allocations.

void Core::set_rung(int index, int rung) {
  HeldPlay &play = plays_.at(index);
  play.rung = rung;
  if (play.state != PlayState::playing) return; // it goes with the set-up
  counters_->steps.Increment();
  servers_door_.step(index, rung);
}

void Core::allocate(int index, int server, double time_out) {
  HeldPlay &play = plays_.at(index);
  last_allocation_ = clock_.now();
  play.server = server;
  Allocation allocation{server, ++play.allocation, play.rung, 0};
  double left = std::max(0.0, std::min(play.limit_at, closes_at_) - clock_.exact());
  allocation.time_out = time_out > 0 ? std::min(time_out, left) : 0;
  plays_.become(index, PlayState::allocating);
  if (!send_guard_.may_attempt(play, server, clock_.exact())) {
    asio::post(io_, [this, ref = ref(index), number = allocation.number] {
      SetUpResult never_sent;
      never_sent.outcome = Outcome::skipped;
      set_up_ended(ref, number, never_sent);
    });
    return;
  }
  send_guard_.attempt_out(play.id, server);
  servers_door_.set_up(index, allocation);
  play.added += clock_.exact() - play.resumed_at;
}

void Core::set_up_ended(const PlayRef &ref, int allocation, const SetUpResult &result) {
  if (!holds(ref)) return;
  int index = ref.index;
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  send_guard_.attempt_over(play.id);
  play.resumed_at = clock_.exact();
  counters_->allocations(result.outcome).Increment();
  if (!result.started) {
    play.cause = cause_of(result.outcome);
    if (log_.writes(telemetry::Level::info))
      log_.info("attempt_ended", {{"session", given::write_hex16(play.id)},
                                  {"server", servers_.id(play.server)},
                                  {"number", allocation},
                                  {"outcome", given::name_of(result.outcome)},
                                  {"took", result.took}});
    plays_.become(index, PlayState::asked);
    decide([&] { front_->allocation_ended(index, allocation, result.outcome, false, result.load); });
    return;
  }
  plays_.become(index, PlayState::playing);
  play.started_at = clock_.now();
  play.cause = Cause::none;
  if (may_answer(index)) players_.answer(index, result);
  settle(index, "plays");
  decide([&] { front_->play_starts(index, allocation, result.took); });
  if (terms_.load_in_answers && result.load.link) note(index, NoteKind::link_asked, *result.load.link);
  if (terms_.load_in_answers && result.load.uplink) note(index, NoteKind::uplink_asked, *result.load.uplink);
}

void Core::recall(int index, int allocation) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  servers_door_.withdraw(index, "withdrawn");
  asio::post(io_, [this, ref = ref(index), allocation] {
    SetUpResult result;
    result.outcome = Outcome::recalled;
    set_up_ended(ref, allocation, result);
  });
}

void Core::note(int index, NoteKind kind, double value) {
  if (plays_.at(index).state != PlayState::playing) return;
  if (kind == NoteKind::rung) plays_.at(index).rung = static_cast<int>(value);
  decide([&] { front_->note_on_play(index, kind, value); });
}

void Core::play_over(int index, Outcome outcome, const LoadReport &report) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::playing) return;
  int allocation = play.allocation;
  players_.ended(index, outcome);
  decide([&] { front_->allocation_ended(index, allocation, outcome, true, report); });
}

void Core::server_lost(int server, const char *why, double before) {
  counters_->lost_servers.Increment();
  log_.warning("server_lost", {{"server", servers_.id(server)}, {"cause", why}});
  auto there = plays_.playing_at(server);
  for (int index : std::vector(there.begin(), there.end())) { // a copy: they end one by one
    if (plays_.at(index).started_at >= before) continue;
    count_ended("server_lost");
    play_over(index, Outcome::reset);
  }
}

void Core::forget(int index) {
  players_.forget_play(index);
  titles_.let_go(index);
  plays_.become(index, PlayState::vacant);
}

void Core::forget_server(int server) {
  if (server < 0) return;
  log_.info("server_forgotten", {{"server", servers_.id(server)}});
  servers_door_.forget_server(server);
  send_guard_.server_forgotten(server);
  servers_.forget(server);
}

void Core::probe(int server) {
  counters_->probes.Increment();
  servers_door_.probe(server);
}

void Core::probe_answered(int server, Outcome outcome, const LoadReport &report) {
  decide([&] { front_->probe_answered(server, outcome, report); });
}

// ---- Timers of the module: one of the loop's, for the earliest.

void Core::set_timer(double wait, int label) {
  timers_.push({clock_.now() + wait, label});
  arm();
}

void Core::arm() {
  if (timers_.empty()) return;
  timer_.expires_after(span(std::max(0.0, timers_.top().at - clock_.exact())));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) on_timer();
  });
}

void Core::on_timer() {
  double now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now + 1e-4) {
    int label = timers_.top().label;
    timers_.pop();
    decide([&] { front_->timer(label); });
  }
  arm();
}

// Rule 1's last guard: the module answers in time by itself; should it ever not, the player still gets its
// one answer.
void Core::guard() {
  guard_timer_.expires_after(span(kGuardEvery));
  guard_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = clock_.now();
    while (!limits_.empty() && limits_.top().at <= now) {
      PlayRef ref = limits_.top().ref;
      limits_.pop();
      if (!holds(ref)) continue;
      HeldPlay &play = plays_.at(ref.index);
      if (play.state != PlayState::asked && play.state != PlayState::allocating) continue;
      counters_->overdue.Increment();
      play.cause = Cause::overdue;
      log_.error("overdue", {{"serial", play.serial}, {"state", name_of(play.state)}});
      if (may_answer(ref.index)) players_.fail(ref.index);
      player_left(ref.index);
    }
    guard();
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
    std::size_t size = std::min(update.said.servers.size() - update.next, kServersATurn);
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
  double from = telemetry::steady_now();
  if (update.whole && update.next == 0) servers_.begin_whole();
  std::vector<ServerEntry> entries;
  auto tell = [&](int server) {
    send_guard_.server_told(server, servers_.at(server).standing, clock_.now());
    servers_door_.listed(server, servers_.at(server));
    entries.push_back(entry_of(server));
  };
  const std::vector<ListedServer> &said = update.said.servers;
  std::size_t end = std::min(said.size(), update.next + kServersATurn);
  for (; update.next < end; ++update.next) tell(servers_.apply(said[update.next]));
  bool done = update.next == said.size();
  if (done && update.whole) { // what the whole list no longer names has left
    for (int server : servers_.finish_whole()) tell(server);
  }
  ListKind kind = std::exchange(module_has_list_, true) ? ListKind::changes : ListKind::held;
  decide([&] { front_->list_changed(kind, entries); });
  double took = telemetry::steady_now() - from;
  update.took += took;
  note_load(took);
  if (done) list_in_force(update);
  return done;
}

ServerEntry Core::entry_of(int server) {
  const ListedServer &one = servers_.at(server);
  ServerEntry entry;
  entry.server = server;
  entry.number = one.number.value_or(hash53(one.id));
  entry.hall = halls_.index_of(one.hall);
  entry.kind = kinds_.find(one.kind);
  if (entry.kind < 0) log_.warning("unknown_kind", {{"server", one.id}, {"kind", one.kind}});
  entry.cell = one.cell;
  entry.standing = one.standing;
  entry.weight = one.weight;
  entry.started = std::min(one.started, clock_.now());
  return entry;
}

void Core::list_in_force(const ListUpdate &update) {
  if (update.said.version < list_version_)
    log_.warning("list_older", {{"version", update.said.version}, {"before", list_version_}});
  list_version_ = update.said.version;
  list_at_ = clock_.now();
  has_list_ = true;
  counters_->list_changes.Increment();
  log_.info("list", {{"version", list_version_},
                     {"whole", update.whole},
                     {"servers", update.said.servers.size()},
                     {"took", update.took}});
}

// ---- What operators see.

std::vector<std::pair<std::string, std::uint64_t>> Core::answers_so_far() {
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
  return metrics_.text();
}

} // namespace snowshore::edge
