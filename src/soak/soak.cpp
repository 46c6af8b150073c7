#include "soak/soak.h"
#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace snowshore::soak {

namespace {

constexpr double kReadyWithin = 15; // before traffic begins all front ends are ready, or so long has passed
constexpr double kLookEvery = 0.01, kThrottleEvery = 0.001, kMeasureEvery = 1; // seconds
constexpr double kOwedWithin = 9;     // after the last request everything is due, deadlines apart
constexpr std::size_t kTimelines = 3; // printed for the first violations
constexpr int kMostIdle = 300;        // silent connections opened towards one front end

// Carries the faults of a scenario out. Each fault is one function; what it begins it ends by itself.
class Faults {
 public:
  Faults(Fleet &fleet, const Scenario &scenario) : fleet_(fleet), scenario_(scenario) {}
  void begin(const Fault &fault);

 private:
  std::vector<int> some_servers(double part);
  std::vector<int> some_fronts(double part);
  void every(double seconds, double lasts, std::function<void()> call);
  template <class F> void with_servers(const Fault &fault, F set) { // set(server, on)
    auto servers = some_servers(fault.share);
    for (int s : servers) set(fleet_.server(s), true);
    fleet_.later(fault.duration, [this, servers, set] {
      for (int s : servers) set(fleet_.server(s), false);
    });
  }
  template <class F> void with_discovery(const Fault &fault, F set) { // set(discovery, on)
    if (discovery_in_trouble_) return;
    discovery_in_trouble_ = true;
    set(fleet_.discovery(), true);
    fleet_.later(fault.duration, [this, set] {
      set(fleet_.discovery(), false);
      discovery_in_trouble_ = false;
    });
  }
  void term_series(const Fault &fault);
  void reload_series(const Fault &fault);
  void replace_servers(const Fault &fault);
  void drain_and_return(const Fault &fault);
  void churn(const Fault &fault);
  void crash_servers(const Fault &fault);
  void vanish_servers(const Fault &fault);
  void cut_front(const Fault &fault);
  void late_connections(const Fault &fault);

  Fleet &fleet_;
  const Scenario &scenario_;
  bool discovery_in_trouble_ = false;
};

std::vector<int> some(SeededRng &rng, int count, double part) {
  std::vector<int> all(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) all[static_cast<std::size_t>(i)] = i;
  for (int i = count - 1; i > 0; --i)
    std::swap(all[static_cast<std::size_t>(i)], all[static_cast<std::size_t>(rng.uniform_int(0, i))]);
  all.resize(std::max<std::size_t>(1, static_cast<std::size_t>(part * count)));
  return all;
}

std::vector<int> Faults::some_servers(double part) { return some(fleet_.rng(), fleet_.servers(), part); }
std::vector<int> Faults::some_fronts(double part) { return some(fleet_.rng(), fleet_.fronts(), part); }

void Faults::every(double seconds, double lasts, std::function<void()> call) {
  call();
  if (lasts > seconds)
    fleet_.later(seconds, [this, seconds, lasts, call] { every(seconds, lasts - seconds, call); });
}

void Faults::term_series(const Fault &fault) {
  double at = 0;
  for (int f : some_fronts(fault.share)) {
    fleet_.later(at, [this, f] { fleet_.terminate(f, true); });
    at += fleet_.rng().uniform(0.05, 0.6);
  }
}

void Faults::reload_series(const Fault &) {
  if (discovery_in_trouble_) return;
  fleet_.move_discovery();
  for (int f : some_fronts(0.7)) {
    int times = fleet_.rng().uniform_int(1, 4);
    for (int i = 0; i < times; ++i)
      fleet_.later(fleet_.rng().uniform(0, 0.6), [this, f] { fleet_.reload(f); });
  }
}

void Faults::replace_servers(const Fault &fault) {
  auto servers = some_servers(fault.share);
  double step = fault.duration / static_cast<double>(servers.size()), at = 0;
  for (int s : servers) {
    double drains = fleet_.rng().uniform(0.5, 3), back = fleet_.rng().uniform(0, 1);
    fleet_.later(at, [this, s] {
      if (fleet_.server(s).runs()) fleet_.announce(s, ServerState::leaving);
    });
    fleet_.later(at + drains, [this, s, back] { fleet_.restart_server(s, back, true); });
    at += step;
  }
}

void Faults::drain_and_return(const Fault &fault) {
  for (int s : some_servers(fault.share)) {
    fleet_.announce(s, ServerState::leaving);
    fleet_.later(fleet_.rng().uniform(0.05, 3), [this, s] {
      if (fleet_.server(s).runs()) fleet_.announce(s, ServerState::active);
    });
  }
}

void Faults::churn(const Fault &fault) {
  every(0.05, fault.duration, [this] {
    int s = fleet_.rng().uniform_int(0, fleet_.servers() - 1);
    if (fleet_.server(s).runs()) fleet_.repeat(s);
  });
}

void Faults::crash_servers(const Fault &fault) {
  for (int s : some_servers(fault.share)) {
    fleet_.later(fleet_.rng().uniform(0, 1),
                 [this, s] { fleet_.restart_server(s, fleet_.rng().uniform(0.1, 3), false); });
  }
}

void Faults::vanish_servers(const Fault &fault) {
  for (int s : some_servers(std::min(fault.share, 0.15))) {
    if (!fleet_.server(s).runs()) continue;
    fleet_.server(s).vanish();
    fleet_.later(fleet_.rng().uniform(2, 5), [this, s] { fleet_.announce(s, ServerState::left); });
  }
}

void Faults::cut_front(const Fault &fault) {
  int front = fleet_.rng().uniform_int(0, fleet_.fronts() - 1);
  fleet_.cut(front, true);
  fleet_.later(fault.duration, [this, front] { fleet_.cut(front, false); });
}

void Faults::late_connections(const Fault &fault) {
  auto servers = some_servers(fault.share);
  every(0.4, fault.duration, [this, servers] {
    for (int s : servers) {
      if (!fleet_.server(s).runs()) continue;
      fleet_.server(s).late_connections(true);
      fleet_.later(fleet_.rng().uniform(0.05, 0.35), [this, s] {
        if (fleet_.server(s).runs()) fleet_.server(s).late_connections(false);
      });
    }
  });
}

void Faults::begin(const Fault &fault) {
  SeededRng &rng = fleet_.rng();
  switch (fault.kind) {
  case FaultKind::term_series:
    return term_series(fault);
  case FaultKind::kill:
    for (int f : some_fronts(fault.share)) fleet_.kill(f, rng.uniform(0.1, 1));
    return;
  case FaultKind::reload_series:
    return reload_series(fault);
  case FaultKind::discovery_down:
    return with_discovery(fault, [](Discovery &one, bool on) { one.down(on); });
  case FaultKind::discovery_silent:
    return with_discovery(fault, [](Discovery &one, bool on) { one.silent(on); });
  case FaultKind::discovery_mute:
    return with_discovery(fault, [](Discovery &one, bool on) { one.mute(on); });
  case FaultKind::discovery_late:
    return with_discovery(fault, [](Discovery &one, bool on) { one.late(on); });
  case FaultKind::discovery_half:
    return fleet_.discovery().half();
  case FaultKind::servers_hang:
    return with_servers(fault, [](StandInServer &one, bool on) { one.behaviour.hangs = on; });
  case FaultKind::servers_crash:
    return crash_servers(fault);
  case FaultKind::servers_vanish:
    return vanish_servers(fault);
  case FaultKind::servers_replaced:
    return replace_servers(fault);
  case FaultKind::drain_and_return:
    return drain_and_return(fault);
  case FaultKind::zone_cut:
    return with_servers(fault, [](StandInServer &one, bool on) { one.hold(on); });
  case FaultKind::front_cut:
    return cut_front(fault);
  case FaultKind::resets:
    with_servers(fault, [](StandInServer &one, bool on) { one.behaviour.reset_under = on ? 0.1 : 0; });
    return every(0.2, fault.duration, [this, fault] {
      for (int s : some_servers(fault.share / 2)) fleet_.server(s).reset_connections(0.4);
    });
  case FaultKind::list_churn:
    return churn(fault);
  case FaultKind::late_connections:
    return late_connections(fault);
  case FaultKind::single_bytes:
    return with_servers(fault, [](StandInServer &one, bool on) { one.single_bytes(on); });
  case FaultKind::slow_answers:
    return with_servers(fault, [delay = rng.uniform(0.05, 0.6)](StandInServer &one, bool on) {
      one.behaviour.extra_delay = on ? delay : 0;
    });
  case FaultKind::spoilt_answers:
    return with_servers(fault, [](StandInServer &one, bool on) {
      one.behaviour.spoilt = on ? 0.1 : 0;
      one.behaviour.late = on ? 0.1 : 0;
      one.behaviour.doubled = on ? 0.1 : 0;
    });
  case FaultKind::idle_clients:
    for (int f : some_fronts(0.5))
      fleet_.clients(f).open_idle(std::min(kMostIdle, scenario_.deployment.sockets));
    return;
  case FaultKind::bad_clients:
    return every(0.5, fault.duration, [this] {
      for (int f : some_fronts(0.5)) fleet_.clients(f).misbehave(10);
    });
  }
}

// The run's own loop, with the looks of the fleet.
class Loop {
 public:
  Loop(asio::io_context &io, Fleet &fleet, bool throttles)
      : io_(io), fleet_(fleet), look_(io), throttle_(io), measure_(io), throttles_(throttles) {
    look();
    measure();
    if (throttles_) throttle();
  }
  void until(const std::function<bool()> &holds, double at) {
    while (!holds() && now() < at) {
      io_.restart();
      io_.run_for(std::chrono::milliseconds(2));
    }
  }
  double late_by() const { return late_by_; }

 private:
  static std::chrono::microseconds micro(double seconds) {
    return std::chrono::microseconds(static_cast<long>(seconds * 1e6));
  }
  void look() {
    double due = now() + kLookEvery;
    look_.expires_after(micro(kLookEvery));
    look_.async_wait([this, due](asio::error_code error) {
      if (error) return;
      late_by_ = std::max(late_by_, now() - due);
      fleet_.look();
      look();
    });
  }
  void throttle() {
    throttle_.expires_after(micro(kThrottleEvery));
    throttle_.async_wait([this](asio::error_code error) {
      if (error) return;
      fleet_.throttle();
      throttle();
    });
  }
  void measure() {
    measure_.expires_after(micro(kMeasureEvery));
    measure_.async_wait([this](asio::error_code error) {
      if (error) return;
      fleet_.measure();
      measure();
    });
  }

  asio::io_context &io_;
  Fleet &fleet_;
  asio::steady_timer look_, throttle_, measure_;
  double late_by_ = 0;
  bool throttles_;
};

MeanUsage mean_usage(const Fleet &fleet) {
  MeanUsage out;
  int fronts = fleet.fronts();
  for (int f = 0; f < fronts; ++f) {
    Fleet::Usage used = fleet.usage_of(f);
    out.cpu += used.cpu / fronts;
    out.peak_mb += used.peak_mb / fronts;
    out.descriptors += static_cast<double>(used.descriptors) / fronts;
  }
  out.connections = static_cast<double>(fleet.connections()) / fronts;
  out.list_kb = static_cast<double>(fleet.list_bytes()) / 1024 / fronts;
  return out;
}

} // namespace

RunResult run(const Scenario &scenario, const RunOptions &options) {
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  std::signal(SIGPIPE, SIG_IGN);
  double start = now();
  asio::io_context io(1);
  Ledger ledger(scenario, start);
  Fleet fleet(io, scenario, ledger, {options.program, options.shim, options.folder, ""}, start);
  Loop loop(io, fleet, scenario.deployment.core_share < 1);
  fleet.start_all();
  loop.until([&] { return fleet.all_ready(); }, now() + kReadyWithin);
  fleet.start_traffic();
  Faults faults(fleet, scenario);
  for (const Fault &fault : scenario.faults) fleet.later(fault.start, [&faults, fault] { faults.begin(fault); });
  if (scenario.traffic.crowd_start >= 0) {
    auto crowd = [&fleet](double factor) {
      for (int f = 0; f < fleet.fronts(); ++f) fleet.clients(f).crowd(factor);
    };
    fleet.later(scenario.traffic.crowd_start, [&scenario, crowd] { crowd(scenario.traffic.crowd_factor); });
    fleet.later(scenario.traffic.crowd_start + scenario.traffic.crowd_duration, [crowd] { crowd(1); });
  }
  auto never = [] { return false; };
  loop.until(never, now() + scenario.traffic_duration);
  fleet.stop_traffic();
  loop.until(never, now() + std::max(kOwedWithin, scenario.deployment.longest_deadline() + 0.7));
  RunResult out;
  out.usage = mean_usage(fleet);
  ledger.finish();
  for (int f = 0; f < fleet.fronts(); ++f) fleet.terminate(f, false);
  loop.until([&] { return !fleet.any_runs(); }, now() + scenario.deployment.earliest_kill_delay() + 1);
  fleet.read_logs();
  out.violations = ledger.violations();
  out.counts = ledger.counts();
  out.summary = ledger.summary();
  std::size_t shown = 0;
  for (const Violation &one : out.violations) {
    if (one.session != 0 && shown++ < kTimelines) out.timelines += ledger.timeline(one.session);
  }
  out.late_by = loop.late_by();
  return out;
}

} // namespace snowshore::soak
