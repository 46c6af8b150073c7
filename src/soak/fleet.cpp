#include "soak/fleet.h"
#include "soak/ids.h"
#include "soak/timer.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace snowshore::soak {

namespace {

// Seconds after a start in which a front end gets no SIGHUP.
constexpr double kReloadDelayAfterReady = 1;
constexpr int kPollsPerSlowPoll = 10;
// Seconds by which the list may be late to tell of a server's end or start.
constexpr double kTakeoverToldWithin = 2.5;
// Seconds after the end of a process in which another one may take its address, and the share of cases in
// which it does so at once.
constexpr double kTakeoverGap = 0.3, kTakeoverAtOnceShare = 0.5;
// The share of cases in which one change of the list tells of both.
constexpr double kToldTogetherShare = 0.3;

asio::ip::tcp::endpoint free_port(asio::io_context &io, asio::ip::address_v4 address) {
  asio::ip::tcp::acceptor probe(io, {address, 0});
  return probe.local_endpoint();
}

} // namespace

Fleet::Fleet(asio::io_context &io, const Scenario &scenario, Ledger &ledger,
             FrontLaunchOptions launch_options, double start)
    : io_(io), scenario_(scenario), ledger_(ledger), launch_options_(std::move(launch_options)),
      rng_(scenario.seed * 7 + 3),
      blackhole_(io, asio::ip::address_v4(kUnreachableAddress), [](asio::ip::tcp::socket) {}),
      discovery_(io, scenario, ledger, start),
      front_states_(static_cast<std::size_t>(scenario.deployment.front_ends)),
      next_server_id_(static_cast<std::uint32_t>(scenario.deployment.servers) + 1) {
  const Deployment &d = scenario.deployment;
  blackhole_.listen();
  blackhole_.set_stalled(true);
  launch_options_.blackhole_address =
      blackhole_.endpoint().address().to_string() + ":" + std::to_string(blackhole_.endpoint().port());
  std::vector<ListEntry> entries;
  for (int s = 0; s < d.servers; ++s) {
    servers_.push_back(std::make_unique<StandInServer>(io, scenario, ledger, s, rng_.next_u64()));
    servers_.back()->start(false);
    entries.push_back(list_entry(s));
  }
  int change = discovery_.apply_change(entries);
  for (int s = 0; s < d.servers; ++s) ledger_.server_started(s, change, false);
  for (int f = 0; f < d.front_ends; ++f) {
    auto listen = free_port(io, asio::ip::address_v4(kFirstFrontAddress + static_cast<std::uint32_t>(f)));
    fronts_.push_back(std::make_unique<FrontProcess>(scenario, launch_options_, f, listen));
    clients_.push_back(std::make_unique<Clients>(io, scenario, ledger, f, listen, rng_.next_u64()));
    clients_.back()->server_name_of = [this](std::uint64_t session) {
      std::uint32_t id = ledger_.server_id_of(session);
      return id == 0 ? std::string() : server_name(id);
    };
    clients_.back()->on_handed_over = [this](std::uint64_t session) {
      int s = ledger_.server_of(session);
      if (scenario_.deployment.rung_notes && s >= 0) server(s).send_rung_note(session);
    };
  }
}

Fleet::~Fleet() = default;

ListEntry Fleet::list_entry(int index) const {
  const StandInServer &server = *servers_[static_cast<std::size_t>(index)];
  ListEntry out;
  out.id = server.id();
  out.endpoint = server.endpoint();
  out.start_time_ms = server.start_time_ms();
  out.cell = index % scenario_.deployment.cells;
  out.zone = index % scenario_.deployment.zones;
  return out;
}

void Fleet::run_after(double seconds, std::function<void()> call) {
  soak::run_after(io_, seconds, std::move(call));
}

void Fleet::start_all() {
  for (int f = 0; f < front_count(); ++f) start_front(f);
}

void Fleet::start_front(int front) {
  auto index = static_cast<std::size_t>(front);
  FrontState &state = front_states_[index];
  FrontState next;
  next.earlier_cpu_seconds = state.earlier_cpu_seconds;
  next.peak_mb = state.peak_mb;
  next.descriptors = state.descriptors;
  state = next;
  fronts_[index]->write_config(discovery_, rng_.next_u64());
  ledger_.front_started(front);
  fronts_[index]->start();
  clients_[index]->start_health_check([this, front] {
    FrontState &ready_state = front_states_[static_cast<std::size_t>(front)];
    ready_state.ready = true;
    ready_state.ready_at = now();
    ledger_.front_ready(front);
    clients(front).on_front_ready();
    clients(front).set_in_rotation(true);
  });
}

bool Fleet::all_ready() const { return std::ranges::all_of(front_states_, &FrontState::ready); }

void Fleet::start_traffic() {
  traffic_running_ = true;
  for (auto &clients : clients_) clients->start();
}

void Fleet::stop_traffic() {
  traffic_running_ = false;
  for (auto &clients : clients_) clients->stop();
}

void Fleet::terminate(int front, bool restarts) {
  auto index = static_cast<std::size_t>(front);
  FrontState &state = front_states_[index];
  if (!fronts_[index]->is_running() || !state.ready || state.terminating) return;
  state.terminating = true;
  state.restarts = restarts;
  state.kill_at = now() + scenario_.deployment.earliest_kill_delay();
  ledger_.front_sigterm_sent(front);
  if (!breaks_on_purpose(scenario_, Rule::owed_at_exit)) fronts_[index]->send_signal(SIGTERM);
  run_after(rng_.uniform(0.2, 0.4), [this, front] {
    if (front_states_[static_cast<std::size_t>(front)].terminating) clients(front).set_in_rotation(false);
  });
}

void Fleet::kill(int front, double restart_delay) {
  auto index = static_cast<std::size_t>(front);
  if (!fronts_[index]->is_running() || front_states_[index].terminating) return;
  front_states_[index].restarts = true;
  front_states_[index].restart_at = now() + restart_delay;
  // Breaks the rule on purpose: the kill is not recorded, so that it looks like a crash.
  if (breaks_on_purpose(scenario_, Rule::crash)) return fronts_[index]->send_signal(SIGKILL);
  front_states_[index].killed = true;
  clients(front).on_front_killed();
  ledger_.front_killed(front);
  fronts_[index]->send_signal(SIGKILL);
}

void Fleet::reload(int front) {
  auto index = static_cast<std::size_t>(front);
  if (!fronts_[index]->is_running() || !front_states_[index].ready) return;
  fronts_[index]->send_signal(SIGHUP);
  ledger_.discovery_reachable(front, true);
}

void Fleet::move_discovery() {
  discovery_.move();
  for (int f = 0; f < front_count(); ++f) {
    auto index = static_cast<std::size_t>(f);
    fronts_[index]->write_config(discovery_, rng_.next_u64());
    front_states_[index].needs_reload = true;
    ledger_.discovery_reachable(f, false);
  }
}

void Fleet::set_isolated(int front, bool isolated) {
  fronts_[static_cast<std::size_t>(front)]->set_isolation(isolated, isolated);
  discovery_.set_front_stalled(front, isolated);
  for (auto &server : servers_) server->set_front_stalled(front, isolated);
}

void Fleet::on_front_exit(int front, int status) {
  auto index = static_cast<std::size_t>(front);
  FrontState &state = front_states_[index];
  if (!state.killed) ledger_.front_exited(front, state.terminating, false, status);
  clients(front).on_front_exited();
  const FrontUsage &used = fronts_[index]->exit_usage();
  state.earlier_cpu_seconds += used.cpu_seconds;
  state.peak_mb = std::max(state.peak_mb, used.peak_mb);
  state.ready = false;
  state.kill_at = -1;
  if (state.restarts && state.restart_at < 0) state.restart_at = now() + rng_.uniform(0.1, 0.6);
}

void Fleet::poll() {
  for (int f = 0; f < front_count(); ++f) {
    auto index = static_cast<std::size_t>(f);
    FrontState &state = front_states_[index];
    int status = 0;
    if (fronts_[index]->poll_exit(status)) on_front_exit(f, status);
    if (fronts_[index]->is_running() && state.kill_at >= 0 && now() >= state.kill_at) {
      state.kill_at = -1;
      state.killed = true;
      ledger_.front_exited(f, true, true, 0);
      clients(f).on_front_killed();
      fronts_[index]->send_signal(SIGKILL);
    }
    if (!fronts_[index]->is_running() && state.restart_at >= 0 && state.restarts && now() >= state.restart_at)
      start_front(f);
    if (state.needs_reload && state.ready && now() - state.ready_at > kReloadDelayAfterReady) {
      state.needs_reload = false;
      reload(f);
    }
  }
  ledger_.run_due_checks(now());
  if (++polls_ % kPollsPerSlowPoll != 0) return;
  discovery_.poll();
  for (auto &server : servers_) server->poll();
  for (auto &clients : clients_) clients->poll();
}

void Fleet::throttle() {
  double time = now();
  for (auto &front : fronts_) front->throttle(time);
}

bool Fleet::any_front_running() const {
  return std::ranges::any_of(fronts_, [](const auto &front) { return front->is_running(); });
}

void Fleet::change_server_state(int index, ServerState state) {
  if (being_replaced_.contains(index)) return;
  ListEntry entry = list_entry(index);
  entry.state = state;
  int number = discovery_.apply_change({entry});
  if (state == ServerState::active)
    ledger_.server_reactivated(index);
  else
    ledger_.server_leaving(index, number);
}

void Fleet::repeat_list_entry(int index) {
  auto listed = discovery_.list().find(server(index).id());
  if (listed != discovery_.list().end()) discovery_.apply_change({ListEntry(listed->second)});
}

// The server ends at once. It is cold when it starts again.
void Fleet::restart_server(int index, double restart_delay, bool new_id) {
  StandInServer &crashed = server(index);
  if (!crashed.is_running() || being_replaced_.contains(index)) return;
  crashed.crash();
  if (new_id) change_server_state(index, ServerState::left);
  run_after(restart_delay, [this, index, new_id] {
    StandInServer &restarted = server(index);
    if (new_id) restarted.set_id(next_server_id_++);
    restarted.start(true);
    ListEntry entry = list_entry(index);
    int number = discovery_.last_change() + 1;
    ledger_.server_started(index, number, true);
    discovery_.apply_change({entry});
  });
}

void Fleet::lose_server(int index, double lost_for, double told_delay) {
  StandInServer &lost = server(index);
  if (!lost.is_running() || !being_replaced_.insert(index).second) return;
  lost.crash();
  run_after(lost_for, [this, index, told_delay] {
    server(index).start(true);
    ledger_.server_replaced(index);
    run_after(told_delay, [this, index] {
      ledger_.replacement_told(index, discovery_.last_change() + 1);
      discovery_.apply_change({list_entry(index)});
      being_replaced_.erase(index);
    });
  });
}

void Fleet::take_over_address(int index) {
  StandInServer &ended = server(index);
  auto listed = discovery_.list().find(ended.id());
  if (!ended.is_running() || listed == discovery_.list().end() || !being_replaced_.insert(index).second)
    return;
  ListEntry gone = listed->second;
  gone.state = ServerState::left;
  ended.crash();
  run_after(rng_.bernoulli(kTakeoverAtOnceShare) ? 0 : rng_.uniform(0, kTakeoverGap), [this, index, gone] {
    server(index).set_id(next_server_id_++);
    server(index).start(true);
    ledger_.server_replaced(index);
    double end_told = rng_.uniform(0, kTakeoverToldWithin), start_told = rng_.uniform(0, kTakeoverToldWithin);
    if (rng_.bernoulli(kToldTogetherShare)) end_told = start_told;
    run_after(std::min(end_told, start_told),
              [this, index, gone, together = end_told == start_told, end_first = end_told < start_told] {
                tell_takeover(index, together || end_first, together || !end_first, gone);
              });
    if (end_told == start_told) return;
    run_after(std::max(end_told, start_told), [this, index, gone, end_first = end_told < start_told] {
      tell_takeover(index, !end_first, end_first, gone);
    });
  });
}

void Fleet::tell_takeover(int index, bool of_end, bool of_start, const ListEntry &gone) {
  std::vector<ListEntry> entries;
  int number = discovery_.last_change() + 1;
  if (of_start) {
    entries.push_back(list_entry(index));
    ledger_.replacement_told(index, number);
  }
  if (of_end) {
    entries.push_back(gone);
    ledger_.replaced_server_told(index, number);
  }
  discovery_.apply_change(entries);
  if (discovery_.list().contains(server(index).id()) && !discovery_.list().contains(gone.id))
    being_replaced_.erase(index);
}

void Fleet::check_logs() {
  for (int f = 0; f < front_count(); ++f) {
    std::ifstream in(fronts_[static_cast<std::size_t>(f)]->log_path());
    if (breaks_on_purpose(scenario_, Rule::denied)) ledger_.guard_denial_logged(f, "on purpose");
    for (std::string line; std::getline(in, line);) {
      if (line.find("\"event\":\"denied\"") != std::string::npos) ledger_.guard_denial_logged(f, line);
    }
  }
}

void Fleet::sample_usage() {
  for (int f = 0; f < front_count(); ++f) {
    auto index = static_cast<std::size_t>(f);
    if (!fronts_[index]->is_running()) continue;
    FrontUsage used = fronts_[index]->usage();
    front_states_[index].descriptors = std::max(front_states_[index].descriptors, used.descriptors);
    front_states_[index].peak_mb = std::max(front_states_[index].peak_mb, used.peak_mb);
    if (used.descriptors > 0) ledger_.check_usage(f, used.resident_mb, used.descriptors);
  }
}

Fleet::Usage Fleet::usage_of(int front) const {
  auto index = static_cast<std::size_t>(front);
  FrontUsage used = fronts_[index]->usage();
  return {front_states_[index].earlier_cpu_seconds + used.cpu_seconds, front_states_[index].peak_mb,
          front_states_[index].descriptors};
}

std::uint64_t Fleet::accepted_connections() const {
  std::uint64_t sum = 0;
  for (const auto &server : servers_) sum += server->accepted_connections();
  return sum;
}

} // namespace snowshore::soak
