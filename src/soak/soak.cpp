#include "soak/soak.h"
#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace snowshore::soak {

namespace {

// Traffic begins when all front ends are ready, or after this many seconds.
constexpr double kStartupTimeout = 15;
constexpr double kPollInterval = 0.01, kThrottleInterval = 0.001, kUsageSampleInterval = 1; // seconds
// Seconds after the last request by which everything owed is due, unless a deadline is longer.
constexpr double kSettleTime = 9;
// Servers at another's address close connections at this interval, each with this probability, until this
// many seconds after the last of them has started.
constexpr double kTakeoverCloseInterval = 0.5, kTakeoverCloseShare = 0.2, kTakeoverCloseTime = 8;
// Seconds for which a zone is lost, by which the list may be late to tell of its servers' start, and for
// which its front ends are away at most; the share of the servers that are lost where there are no zones.
constexpr double kZoneLostFor = 5, kLossToldWithin = 2.5, kLongestFrontAbsence = 10,
                 kLostShareWithoutZones = 0.3;
constexpr std::size_t kMaxTimelines = 3; // The timelines that a result holds at most.
constexpr int kMaxIdleConnections = 300; // The silent connections that are opened to one front end at most.

// Injects the faults of a scenario. The function that starts a fault also schedules its end.
class FaultInjector {
 public:
  FaultInjector(Fleet &fleet, const Scenario &scenario) : fleet_(fleet), scenario_(scenario) {}
  void inject(const Fault &fault);

 private:
  std::vector<int> random_servers(double share);
  std::vector<int> random_fronts(double share);
  // Calls `call` at once and then at the interval, for `duration` seconds.
  void repeat_every(double interval, double duration, std::function<void()> call);
  // Calls set(server, true) for random servers, and set(server, false) when the fault ends.
  template <class F> void toggle_on_servers(const Fault &fault, F set) {
    auto servers = random_servers(fault.share);
    for (int s : servers) set(fleet_.server(s), true);
    fleet_.run_after(fault.duration, [this, servers, set] {
      for (int s : servers) set(fleet_.server(s), false);
    });
  }
  // Calls set(discovery, true), and set(discovery, false) when the fault ends. Does nothing while another
  // fault
  // of discovery is active.
  template <class F> void toggle_on_discovery(const Fault &fault, F set) {
    if (discovery_fault_active_) return;
    discovery_fault_active_ = true;
    set(fleet_.discovery(), true);
    fleet_.run_after(fault.duration, [this, set] {
      set(fleet_.discovery(), false);
      discovery_fault_active_ = false;
    });
  }
  void terminate_in_series(const Fault &fault);
  void reload_series(const Fault &fault);
  void replace_servers(const Fault &fault);
  void drain_and_return(const Fault &fault);
  void churn_list(const Fault &fault);
  void crash_servers(const Fault &fault);
  void silence_servers(const Fault &fault);
  void isolate_front(const Fault &fault);
  void delay_connections(const Fault &fault);
  void take_over_addresses(const Fault &fault);
  void lose_zone(const Fault &fault);

  Fleet &fleet_;
  const Scenario &scenario_;
  bool discovery_fault_active_ = false;
};

std::vector<int> random_subset(SeededRng &rng, int count, double share) {
  std::vector<int> all(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) all[static_cast<std::size_t>(i)] = i;
  for (int i = count - 1; i > 0; --i)
    std::swap(all[static_cast<std::size_t>(i)], all[static_cast<std::size_t>(rng.uniform_int(0, i))]);
  all.resize(std::max<std::size_t>(1, static_cast<std::size_t>(share * count)));
  return all;
}

std::vector<int> FaultInjector::random_servers(double share) {
  return random_subset(fleet_.rng(), fleet_.server_count(), share);
}
std::vector<int> FaultInjector::random_fronts(double share) {
  return random_subset(fleet_.rng(), fleet_.front_count(), share);
}

void FaultInjector::repeat_every(double interval, double duration, std::function<void()> call) {
  call();
  if (duration > interval)
    fleet_.run_after(interval,
                     [this, interval, duration, call] { repeat_every(interval, duration - interval, call); });
}

void FaultInjector::terminate_in_series(const Fault &fault) {
  double at = 0;
  for (int f : random_fronts(fault.share)) {
    fleet_.run_after(at, [this, f] { fleet_.terminate(f, true); });
    at += fleet_.rng().uniform(0.05, 0.6);
  }
}

void FaultInjector::reload_series(const Fault &) {
  if (discovery_fault_active_) return;
  fleet_.move_discovery();
  for (int f : random_fronts(0.7)) {
    int times = fleet_.rng().uniform_int(1, 4);
    for (int i = 0; i < times; ++i)
      fleet_.run_after(fleet_.rng().uniform(0, 0.6), [this, f] { fleet_.reload(f); });
  }
}

void FaultInjector::replace_servers(const Fault &fault) {
  auto servers = random_servers(fault.share);
  double step = fault.duration / static_cast<double>(servers.size()), at = 0;
  for (int s : servers) {
    double drains = fleet_.rng().uniform(0.5, 3), back = fleet_.rng().uniform(0, 1);
    fleet_.run_after(at, [this, s] {
      if (fleet_.server(s).is_running()) fleet_.change_server_state(s, ServerState::leaving);
    });
    fleet_.run_after(at + drains, [this, s, back] { fleet_.restart_server(s, back, true); });
    at += step;
  }
}

void FaultInjector::drain_and_return(const Fault &fault) {
  for (int s : random_servers(fault.share)) {
    fleet_.change_server_state(s, ServerState::leaving);
    fleet_.run_after(fleet_.rng().uniform(0.05, 3), [this, s] {
      if (fleet_.server(s).is_running()) fleet_.change_server_state(s, ServerState::active);
    });
  }
}

void FaultInjector::churn_list(const Fault &fault) {
  repeat_every(0.05, fault.duration, [this] {
    int s = fleet_.rng().uniform_int(0, fleet_.server_count() - 1);
    if (fleet_.server(s).is_running()) fleet_.repeat_list_entry(s);
  });
}

void FaultInjector::crash_servers(const Fault &fault) {
  for (int s : random_servers(fault.share)) {
    fleet_.run_after(fleet_.rng().uniform(0, 1),
                     [this, s] { fleet_.restart_server(s, fleet_.rng().uniform(0.1, 3), false); });
  }
}

void FaultInjector::silence_servers(const Fault &fault) {
  for (int s : random_servers(std::min(fault.share, 0.15))) {
    if (!fleet_.server(s).is_running()) continue;
    fleet_.server(s).go_silent();
    fleet_.run_after(fleet_.rng().uniform(2, 5),
                     [this, s] { fleet_.change_server_state(s, ServerState::left); });
  }
}

void FaultInjector::isolate_front(const Fault &fault) {
  int front = fleet_.rng().uniform_int(0, fleet_.front_count() - 1);
  fleet_.set_isolated(front, true);
  fleet_.run_after(fault.duration, [this, front] { fleet_.set_isolated(front, false); });
}

void FaultInjector::delay_connections(const Fault &fault) {
  auto servers = random_servers(fault.share);
  repeat_every(0.4, fault.duration, [this, servers] {
    for (int s : servers) {
      if (!fleet_.server(s).is_running()) continue;
      fleet_.server(s).set_connects_stalled(true);
      fleet_.run_after(fleet_.rng().uniform(0.05, 0.35), [this, s] {
        if (fleet_.server(s).is_running()) fleet_.server(s).set_connects_stalled(false);
      });
    }
  });
}

void FaultInjector::take_over_addresses(const Fault &fault) {
  auto servers = random_servers(fault.share);
  for (int s : servers)
    fleet_.run_after(fleet_.rng().uniform(0, fault.duration), [this, s] { fleet_.take_over_address(s); });
  repeat_every(kTakeoverCloseInterval, fault.duration + kTakeoverCloseTime, [this, servers] {
    for (int s : servers) {
      if (fleet_.server(s).is_running()) fleet_.server(s).close_connections(kTakeoverCloseShare);
    }
  });
}

void FaultInjector::lose_zone(const Fault &fault) {
  SeededRng &rng = fleet_.rng();
  const Deployment &deployment = scenario_.deployment;
  std::vector<int> servers = random_servers(kLostShareWithoutZones);
  if (deployment.zones > 1) {
    servers.clear();
    for (int s = 0; s < deployment.servers; s += deployment.zones) servers.push_back(s);
  }
  for (int s : servers) fleet_.lose_server(s, kZoneLostFor, rng.uniform(0, kLossToldWithin));
  for (int f : random_fronts(fault.share)) fleet_.kill(f, rng.uniform(0.2, kLongestFrontAbsence));
}

void FaultInjector::inject(const Fault &fault) {
  SeededRng &rng = fleet_.rng();
  switch (fault.kind) {
  case FaultKind::term_series:
    return terminate_in_series(fault);
  case FaultKind::kill:
    for (int f : random_fronts(fault.share)) fleet_.kill(f, rng.uniform(0.1, 1));
    return;
  case FaultKind::reload_series:
    return reload_series(fault);
  case FaultKind::discovery_down:
    return toggle_on_discovery(fault, [](Discovery &discovery, bool on) { discovery.set_down(on); });
  case FaultKind::discovery_silent:
    return toggle_on_discovery(fault, [](Discovery &discovery, bool on) { discovery.set_silent(on); });
  case FaultKind::discovery_mute:
    return toggle_on_discovery(fault, [](Discovery &discovery, bool on) { discovery.set_mute(on); });
  case FaultKind::discovery_late:
    return toggle_on_discovery(fault, [](Discovery &discovery, bool on) { discovery.set_late(on); });
  case FaultKind::discovery_half:
    return fleet_.discovery().send_half_frames();
  case FaultKind::servers_hang:
    return toggle_on_servers(fault, [](StandInServer &server, bool on) { server.behaviour.hangs = on; });
  case FaultKind::servers_crash:
    return crash_servers(fault);
  case FaultKind::servers_vanish:
    return silence_servers(fault);
  case FaultKind::servers_replaced:
    return replace_servers(fault);
  case FaultKind::drain_and_return:
    return drain_and_return(fault);
  case FaultKind::zone_cut:
    return toggle_on_servers(fault, [](StandInServer &server, bool on) { server.set_stalled(on); });
  case FaultKind::front_cut:
    return isolate_front(fault);
  case FaultKind::resets:
    toggle_on_servers(fault,
                      [](StandInServer &server, bool on) { server.behaviour.reset_share = on ? 0.1 : 0; });
    return repeat_every(0.2, fault.duration, [this, fault] {
      for (int s : random_servers(fault.share / 2)) fleet_.server(s).reset_connections(0.4);
    });
  case FaultKind::list_churn:
    return churn_list(fault);
  case FaultKind::late_connections:
    return delay_connections(fault);
  case FaultKind::single_bytes:
    return toggle_on_servers(fault, [](StandInServer &server, bool on) { server.set_single_bytes(on); });
  case FaultKind::slow_answers:
    return toggle_on_servers(fault, [delay = rng.uniform(0.05, 0.6)](StandInServer &server, bool on) {
      server.behaviour.extra_delay = on ? delay : 0;
    });
  case FaultKind::spoilt_answers:
    return toggle_on_servers(fault, [](StandInServer &server, bool on) {
      server.behaviour.corrupt_share = on ? 0.1 : 0;
      server.behaviour.late_share = on ? 0.1 : 0;
      server.behaviour.duplicate_share = on ? 0.1 : 0;
    });
  case FaultKind::idle_clients:
    for (int f : random_fronts(0.5))
      fleet_.clients(f).open_idle_connections(std::min(kMaxIdleConnections, scenario_.deployment.sockets));
    return;
  case FaultKind::bad_clients:
    return repeat_every(0.5, fault.duration, [this] {
      for (int f : random_fronts(0.5)) fleet_.clients(f).send_malformed(10);
    });
  case FaultKind::address_takeover:
    return take_over_addresses(fault);
  case FaultKind::zone_loss:
    return lose_zone(fault);
  }
}

// Runs the event loop and the periodic calls of the fleet.
class RunLoop {
 public:
  RunLoop(asio::io_context &io, Fleet &fleet, bool throttles)
      : io_(io), fleet_(fleet), poll_timer_(io), throttle_timer_(io), sample_timer_(io),
        throttles_(throttles) {
    poll();
    sample_usage();
    if (throttles_) throttle();
  }
  // Runs the loop until the condition holds or the time is reached.
  void run_until(const std::function<bool()> &condition, double time) {
    while (!condition() && now() < time) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(2));
    }
  }
  // Returns by how many seconds a poll was late at most.
  double max_delay() const { return max_delay_; }

 private:
  static std::chrono::microseconds to_microseconds(double seconds) {
    return std::chrono::microseconds(static_cast<long>(seconds * 1e6));
  }
  void poll() {
    double due = now() + kPollInterval;
    poll_timer_.expires_after(to_microseconds(kPollInterval));
    poll_timer_.async_wait([this, due](asio::error_code error) {
      if (error) return;
      max_delay_ = std::max(max_delay_, now() - due);
      fleet_.poll();
      poll();
    });
  }
  void throttle() {
    throttle_timer_.expires_after(to_microseconds(kThrottleInterval));
    throttle_timer_.async_wait([this](asio::error_code error) {
      if (error) return;
      fleet_.throttle();
      throttle();
    });
  }
  void sample_usage() {
    sample_timer_.expires_after(to_microseconds(kUsageSampleInterval));
    sample_timer_.async_wait([this](asio::error_code error) {
      if (error) return;
      fleet_.sample_usage();
      sample_usage();
    });
  }

  asio::io_context &io_;
  Fleet &fleet_;
  asio::steady_timer poll_timer_, throttle_timer_, sample_timer_;
  double max_delay_ = 0;
  bool throttles_;
};

MeanUsage mean_usage(const Fleet &fleet) {
  MeanUsage out;
  int fronts = fleet.front_count();
  for (int f = 0; f < fronts; ++f) {
    Fleet::Usage used = fleet.usage_of(f);
    out.cpu_seconds += used.cpu_seconds / fronts;
    out.peak_mb += used.peak_mb / fronts;
    out.descriptors += static_cast<double>(used.descriptors) / fronts;
  }
  out.connections = static_cast<double>(fleet.accepted_connections()) / fronts;
  out.list_kb = static_cast<double>(fleet.list_bytes_sent()) / 1024 / fronts;
  return out;
}

} // namespace

RunResult run_scenario(const Scenario &scenario, const RunOptions &options) {
  std::filesystem::remove_all(options.output_folder);
  std::filesystem::create_directories(options.output_folder);
  std::signal(SIGPIPE, SIG_IGN);
  double start = now();
  asio::io_context io(1);
  Ledger ledger(scenario, start);
  Fleet fleet(io, scenario, ledger, {options.program, options.shim, options.output_folder, ""}, start);
  RunLoop loop(io, fleet, scenario.deployment.core_share < 1);
  fleet.start_all();
  loop.run_until([&] { return fleet.all_ready(); }, now() + kStartupTimeout);
  fleet.start_traffic();
  FaultInjector injector(fleet, scenario);
  for (const Fault &fault : scenario.faults)
    fleet.run_after(fault.start, [&injector, fault] { injector.inject(fault); });
  if (scenario.traffic.crowd_start >= 0) {
    auto set_crowd_factor = [&fleet](double factor) {
      for (int f = 0; f < fleet.front_count(); ++f) fleet.clients(f).set_rate_factor(factor);
    };
    fleet.run_after(scenario.traffic.crowd_start,
                    [&scenario, set_crowd_factor] { set_crowd_factor(scenario.traffic.crowd_factor); });
    fleet.run_after(scenario.traffic.crowd_start + scenario.traffic.crowd_duration,
                    [set_crowd_factor] { set_crowd_factor(1); });
  }
  auto never = [] { return false; };
  loop.run_until(never, now() + scenario.traffic_duration);
  fleet.stop_traffic();
  loop.run_until(never, now() + std::max(kSettleTime, scenario.deployment.longest_deadline() + 0.7));
  RunResult out;
  out.usage = mean_usage(fleet);
  ledger.finish();
  for (int f = 0; f < fleet.front_count(); ++f) fleet.terminate(f, false);
  loop.run_until([&] { return !fleet.any_front_running(); },
                 now() + scenario.deployment.earliest_kill_delay() + 1);
  fleet.check_logs();
  out.violations = ledger.violations();
  out.counts = ledger.counts();
  out.summary = ledger.summary();
  std::size_t shown = 0;
  for (const Violation &violation : out.violations) {
    if (violation.session != 0 && shown++ < kMaxTimelines)
      out.timelines += ledger.timeline(violation.session);
  }
  out.max_loop_delay = loop.max_delay();
  return out;
}

} // namespace snowshore::soak
