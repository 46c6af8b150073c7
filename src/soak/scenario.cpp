#include "soak/scenario.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace snowshore::soak {

namespace {

constexpr double kCountedDeadline =
    3;                             // the longest deadline counts as this where it is longer (protocol page)
constexpr double kKillAfter = 0.7; // and SIGKILL comes no sooner than so long after it (likewise)
constexpr double kFirstFault = 3;  // seconds of traffic without faults
constexpr double kLastFault = 4;   // no fault begins in the last seconds

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
                                       "bad_clients"};
static_assert(std::size(kFaultNames) == kFaultKinds);

std::vector<ServiceClass> draw_classes(Chance &chance, double deadline) {
  constexpr double kDeadlines[] = {0.3, 0.4, 0.8, 1.2, 3, 4, 10};
  std::vector<ServiceClass> out;
  int count = chance.whole(1, 3);
  for (int c = 0; c < count; ++c) {
    ServiceClass one;
    one.name = c == 0 ? "live" : c == 1 ? "paid" : "back ground";
    one.effect = c == 1 ? (chance.happens(0.5) ? "keyed" : "unsafe") : "safe";
    one.deadline = deadline > 0 ? deadline : kDeadlines[chance.whole(0, 6)];
    one.on_time = one.deadline * chance.between(0.4, 0.9);
    one.floor = chance.whole(0, 1);
    one.top = 3;
    one.seats = c == 2 && chance.happens(0.5) ? chance.whole(2, 6) : 0;
    out.push_back(one);
  }
  return out;
}

Deployment draw_deployment(Chance &chance, const Choices &choices) {
  constexpr int kServers[] = {20, 40, 60, 120, 200, 400, 800};
  Deployment out;
  out.front_ends = choices.front_ends > 0 ? choices.front_ends : chance.whole(10, 16);
  out.servers = choices.servers > 0 ? choices.servers : kServers[chance.whole(0, 6)];
  out.cells = std::max(1, out.servers / chance.whole(3, 5));
  out.racks = std::max(1, out.servers / 9);
  out.zones = chance.whole(1, 2);
  constexpr double kShares[] = {1, 0.5, 0.25};
  out.core_share = kShares[chance.whole(0, 2)];
  if (choices.core_share > 0) out.core_share = choices.core_share;
  out.memory_mb = chance.whole(48, 128);
  constexpr int kSockets[] = {128, 256, 512};
  out.sockets = kSockets[chance.whole(0, 2)];
  if (choices.sockets > 0) out.sockets = choices.sockets;
  out.multiplex = chance.whole(4, 32);
  out.attempts = chance.whole(2, 3);
  out.probes = chance.happens(0.7);
  out.idle_close = chance.between(4, 30);
  out.warm_up = chance.between(5, 10);
  out.notes_every = chance.between(1, 4);
  out.retry_share = chance.between(0.1, 0.3);
  out.retry_free = chance.whole(2, 8);
  out.classes = draw_classes(chance, choices.deadline);
  return out;
}

Traffic draw_traffic(Chance &chance, const Choices &choices, double lasts) {
  Traffic out;
  out.rate = choices.rate > 0 ? choices.rate : chance.between(2, 10);
  out.session = chance.between(2, 12);
  if (choices.session > 0) out.session = choices.session;
  out.set_up = chance.between(0.03, 0.12);
  if (chance.happens(0.3)) {
    out.crowd_at = chance.between(kFirstFault, lasts - kLastFault);
    out.crowd_lasts = chance.between(1, 3);
    out.crowd_factor = chance.between(3, 8);
  }
  return out;
}

Fault draw_fault(Chance &chance, FaultKind kind, double lasts) {
  Fault out;
  out.kind = kind;
  out.at = chance.between(kFirstFault, std::max(kFirstFault + 1, lasts - kLastFault));
  out.lasts = chance.between(1, 7);
  out.part = chance.between(0.05, 0.4);
  if (kind == FaultKind::term_series) out.part = chance.between(0.3, 0.9);
  if (kind == FaultKind::servers_replaced) out.part = chance.between(0.2, 0.6);
  if (kind == FaultKind::discovery_down) out.lasts = chance.between(2, 9);
  return out;
}

} // namespace

double Chance::exponential(double mean) { return -mean * std::log(1 - between(0, 1)); }

double Deployment::longest_deadline() const {
  double longest = 0;
  for (const ServiceClass &one : classes) longest = std::max(longest, one.deadline);
  return longest;
}

double Deployment::earliest_kill() const {
  return std::min(longest_deadline(), kCountedDeadline) + kKillAfter;
}

const char *name_of(FaultKind kind) { return kFaultNames[static_cast<int>(kind)]; }

Scenario draw(std::uint64_t seed, const Choices &choices) {
  Chance chance(seed * 0x9e3779b97f4a7c15ULL + 1);
  Scenario out;
  out.seed = seed;
  out.lasts = choices.lasts > 0 ? choices.lasts : chance.between(16, 24);
  out.deployment = draw_deployment(chance, choices);
  out.traffic = draw_traffic(chance, choices, out.lasts);
  if (choices.no_faults) {
    out.traffic.crowd_at = -1;
    return out;
  }
  if (!choices.only.empty()) {
    for (FaultKind kind : choices.only) out.faults.push_back(draw_fault(chance, kind, out.lasts));
  } else {
    int count = chance.whole(4, 9);
    for (int f = 0; f < count; ++f)
      out.faults.push_back(
          draw_fault(chance, static_cast<FaultKind>(chance.whole(0, kFaultKinds - 1)), out.lasts));
  }
  std::ranges::sort(out.faults, {}, &Fault::at);
  return out;
}

std::string describe(const Scenario &scenario) {
  const Deployment &d = scenario.deployment;
  char line[400];
  std::snprintf(
      line, sizeof line,
      "seed %llu: %d front ends, %d servers, core share %.2f, %d sockets, %.1f requests/s each, %.0f s",
      static_cast<unsigned long long>(scenario.seed), d.front_ends, d.servers, d.core_share, d.sockets,
      scenario.traffic.rate, scenario.lasts);
  std::string out = line;
  out += "; classes";
  for (const ServiceClass &one : d.classes) {
    std::snprintf(line, sizeof line, " %s/%s/%.1f s", one.name.c_str(), one.effect.c_str(), one.deadline);
    out += line;
  }
  out += "; faults";
  for (const Fault &fault : scenario.faults) {
    std::snprintf(line, sizeof line, " %s@%.1f+%.1f", name_of(fault.kind), fault.at, fault.lasts);
    out += line;
  }
  if (scenario.traffic.crowd_at >= 0) {
    std::snprintf(line, sizeof line, " crowd@%.1f+%.1fx%.0f", scenario.traffic.crowd_at,
                  scenario.traffic.crowd_lasts, scenario.traffic.crowd_factor);
    out += line;
  }
  return out;
}

} // namespace snowshore::soak
