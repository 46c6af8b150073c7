#include "soak/scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace snowshore::soak {

namespace {

// The protocol page counts the longest deadline as at most 3 s, and lets SIGKILL follow SIGTERM no sooner
// than 0.7 s after that deadline.
constexpr double kMaxCountedDeadline = 3;
constexpr double kKillDelay = 0.7;
// The share of scenarios that contain a fault kind of the second stream.
constexpr double kSecondStreamShare = 0.5;
// The share of scenarios whose servers send the note of the rung after a hand-over.
constexpr double kRungNotesShare = 0.5;
// Seconds at the start and at the end of the traffic in which no fault begins.
constexpr double kFaultFreeStart = 3;
constexpr double kFaultFreeEnd = 4;
// Seconds from the loss of a zone until its front ends are back and what was handed over to them is released.
constexpr double kZoneLossTime = 14;

constexpr const char *kFaultNames[] = {"term_series",      "kill",
                                       "reload_series",    "discovery_down",
                                       "discovery_silent", "discovery_mute",
                                       "discovery_late",   "discovery_half",
                                       "servers_hang",     "servers_crash",
                                       "servers_vanish",   "servers_replaced",
                                       "drain_and_return", "zone_cut",
                                       "front_cut",        "resets",
                                       "list_churn",       "late_connections",
                                       "single_bytes",     "slow_answers",
                                       "spoilt_answers",   "idle_clients",
                                       "bad_clients",      "address_takeover",
                                       "zone_loss"};
static_assert(std::size(kFaultNames) == kFaultKindCount);

std::vector<ServiceClass> draw_classes(SeededRng &rng, double deadline) {
  constexpr double kDeadlines[] = {0.3, 0.4, 0.8, 1.2, 3, 4, 10};
  std::vector<ServiceClass> out;
  int count = rng.uniform_int(1, 3);
  for (int c = 0; c < count; ++c) {
    ServiceClass service_class;
    service_class.name = c == 0 ? "live" : c == 1 ? "paid" : "back ground";
    service_class.effect = c == 1 ? (rng.bernoulli(0.5) ? "keyed" : "unsafe") : "safe";
    service_class.deadline = deadline > 0 ? deadline : kDeadlines[rng.uniform_int(0, 6)];
    service_class.on_time = service_class.deadline * rng.uniform(0.4, 0.9);
    service_class.floor = rng.uniform_int(0, 1);
    service_class.top = 3;
    service_class.seats = c == 2 && rng.bernoulli(0.5) ? rng.uniform_int(2, 6) : 0;
    out.push_back(service_class);
  }
  return out;
}

Deployment draw_deployment(SeededRng &rng, const ScenarioOverrides &overrides) {
  constexpr int kServers[] = {20, 40, 60, 120, 200, 400, 800};
  Deployment out;
  out.front_ends = overrides.front_ends > 0 ? overrides.front_ends : rng.uniform_int(10, 16);
  out.servers = overrides.servers > 0 ? overrides.servers : kServers[rng.uniform_int(0, 6)];
  out.cells = std::max(1, out.servers / rng.uniform_int(3, 5));
  out.racks = std::max(1, out.servers / 9);
  out.zones = rng.uniform_int(1, 2);
  constexpr double kShares[] = {1, 0.5, 0.25};
  out.core_share = kShares[rng.uniform_int(0, 2)];
  if (overrides.core_share > 0) out.core_share = overrides.core_share;
  out.memory_mb = rng.uniform_int(48, 128);
  constexpr int kSockets[] = {128, 256, 512};
  out.sockets = kSockets[rng.uniform_int(0, 2)];
  if (overrides.sockets > 0) out.sockets = overrides.sockets;
  out.multiplex = rng.uniform_int(4, 32);
  out.max_attempts = rng.uniform_int(2, 3);
  out.probes_enabled = rng.bernoulli(0.7);
  out.idle_timeout = rng.uniform(4, 30);
  out.warm_up_time = rng.uniform(5, 10);
  out.note_interval = rng.uniform(1, 4);
  out.retry_ratio = rng.uniform(0.1, 0.3);
  out.retry_allowance = rng.uniform_int(2, 8);
  out.classes = draw_classes(rng, overrides.deadline);
  return out;
}

Traffic draw_traffic(SeededRng &rng, const ScenarioOverrides &overrides, double traffic_duration) {
  Traffic out;
  out.request_rate = overrides.request_rate > 0 ? overrides.request_rate : rng.uniform(2, 10);
  out.mean_session_length = rng.uniform(2, 12);
  if (overrides.mean_session_length > 0) out.mean_session_length = overrides.mean_session_length;
  out.mean_set_up_time = rng.uniform(0.03, 0.12);
  if (rng.bernoulli(0.3)) {
    out.crowd_start = rng.uniform(kFaultFreeStart, traffic_duration - kFaultFreeEnd);
    out.crowd_duration = rng.uniform(1, 3);
    out.crowd_factor = rng.uniform(3, 8);
  }
  return out;
}

Fault draw_fault(SeededRng &rng, FaultKind kind, double traffic_duration) {
  Fault out;
  out.kind = kind;
  out.start = rng.uniform(kFaultFreeStart, std::max(kFaultFreeStart + 1, traffic_duration - kFaultFreeEnd));
  out.duration = rng.uniform(1, 7);
  out.share = rng.uniform(0.05, 0.4);
  if (kind == FaultKind::term_series) out.share = rng.uniform(0.3, 0.9);
  if (kind == FaultKind::servers_replaced) out.share = rng.uniform(0.2, 0.6);
  if (kind == FaultKind::discovery_down) out.duration = rng.uniform(2, 9);
  if (kind == FaultKind::zone_loss) {
    out.start = rng.uniform(kFaultFreeStart, std::max(kFaultFreeStart + 1, traffic_duration - kZoneLossTime));
    out.share = rng.uniform(0.3, 0.8);
  }
  return out;
}

void draw_second_stream(std::uint64_t seed, Scenario &scenario) {
  SeededRng rng(seed * 0xc2b2ae3d27d4eb4fULL + 2);
  for (int k = kFirstStreamKinds; k < kFaultKindCount; ++k) {
    if (!rng.bernoulli(kSecondStreamShare)) continue;
    int times = rng.uniform_int(1, 2);
    for (int t = 0; t < times; ++t)
      scenario.faults.push_back(draw_fault(rng, static_cast<FaultKind>(k), scenario.traffic_duration));
  }
}

bool draw_rung_notes(std::uint64_t seed) {
  return SeededRng(seed * 0xd6e8feb86659fd93ULL + 3).bernoulli(kRungNotesShare);
}

} // namespace

double SeededRng::exponential(double mean) { return -mean * std::log(1 - uniform(0, 1)); }

double Deployment::longest_deadline() const {
  double longest = 0;
  for (const ServiceClass &service_class : classes) longest = std::max(longest, service_class.deadline);
  return longest;
}

double Deployment::earliest_kill_delay() const {
  return std::min(longest_deadline(), kMaxCountedDeadline) + kKillDelay;
}

const char *name_of(FaultKind kind) { return kFaultNames[static_cast<int>(kind)]; }

Scenario draw_scenario(std::uint64_t seed, const ScenarioOverrides &overrides) {
  SeededRng rng(seed * 0x9e3779b97f4a7c15ULL + 1);
  Scenario out;
  out.seed = seed;
  out.traffic_duration = overrides.traffic_duration > 0 ? overrides.traffic_duration : rng.uniform(16, 24);
  out.deployment = draw_deployment(rng, overrides);
  out.traffic = draw_traffic(rng, overrides, out.traffic_duration);
  if (!overrides.first_stream_only) out.deployment.rung_notes = draw_rung_notes(seed);
  if (overrides.no_faults) {
    out.traffic.crowd_start = -1;
    return out;
  }
  if (!overrides.only_faults.empty()) {
    for (FaultKind kind : overrides.only_faults)
      out.faults.push_back(draw_fault(rng, kind, out.traffic_duration));
  } else {
    int count = rng.uniform_int(4, 9);
    for (int f = 0; f < count; ++f)
      out.faults.push_back(draw_fault(rng, static_cast<FaultKind>(rng.uniform_int(0, kFirstStreamKinds - 1)),
                                      out.traffic_duration));
    if (!overrides.first_stream_only) draw_second_stream(seed, out);
  }
  std::ranges::sort(out.faults, {}, &Fault::start);
  return out;
}

std::string describe(const Scenario &scenario) {
  const Deployment &d = scenario.deployment;
  char line[400];
  std::snprintf(
      line, sizeof line,
      "seed %llu: %d front ends, %d servers, core share %.2f, %d sockets, %.1f requests/s each, %.0f s",
      static_cast<unsigned long long>(scenario.seed), d.front_ends, d.servers, d.core_share, d.sockets,
      scenario.traffic.request_rate, scenario.traffic_duration);
  std::string out = line;
  out += "; classes";
  for (const ServiceClass &service_class : d.classes) {
    std::snprintf(line, sizeof line, " %s/%s/%.1f s", service_class.name.c_str(),
                  service_class.effect.c_str(), service_class.deadline);
    out += line;
  }
  out += d.rung_notes ? "; rung notes; faults" : "; faults";
  for (const Fault &fault : scenario.faults) {
    std::snprintf(line, sizeof line, " %s@%.1f+%.1f", name_of(fault.kind), fault.start, fault.duration);
    out += line;
  }
  if (scenario.traffic.crowd_start >= 0) {
    std::snprintf(line, sizeof line, " crowd@%.1f+%.1fx%.0f", scenario.traffic.crowd_start,
                  scenario.traffic.crowd_duration, scenario.traffic.crowd_factor);
    out += line;
  }
  return out;
}

} // namespace snowshore::soak
