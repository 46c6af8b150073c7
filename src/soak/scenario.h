// What one run of the soak plays, drawn from its seed: the deployment, the traffic, and faults that overlap
// in time. Times are seconds since the start of the run; shares are parts of one.
#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace snowshore::soak {

// A seeded source of chance whose draws are the same on every machine.
class Chance {
 public:
  explicit Chance(std::uint64_t seed) : engine_(seed) {}
  double between(double low, double high) {
    return low + (high - low) * static_cast<double>(engine_() >> 11) / 9007199254740992.0;
  }
  bool happens(double share) { return between(0, 1) < share; }
  int whole(int low, int high) { // both ends included
    return low + static_cast<int>(engine_() % static_cast<std::uint64_t>(high - low + 1));
  }
  double exponential(double mean);
  std::uint64_t word() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

struct ServiceClass {
  std::string name, effect; // effect: "safe", "keyed" or "unsafe"
  double on_time = 0.6, deadline = 1.2;
  int floor = 0, top = 3, seats = 0; // seats: 0, without limit
  bool may_repeat() const { return effect == "safe"; }
};

struct Deployment {
  int front_ends = 10, servers = 60, cells = 15, racks = 6, zones = 1;
  double core_share = 1; // of one core, for each front end; 1: not throttled
  int memory_mb = 64, sockets = 256, multiplex = 32, attempts = 3;
  bool probes = true;
  double connect_timeout = 0.25, idle_close = 30;
  double notes_every = 1; // a server with sessions of a front end sends it one note so often
  double drain_grace = 1, places = 40;
  double warm_up = 8, cold_share = 0.5, fall_multiple = 2.5, fall_span = 2;
  double retry_share = 0.2, retry_free = 4, retry_span = 5;
  std::vector<ServiceClass> classes;
  double longest_deadline() const;
  double earliest_kill() const; // after SIGTERM
};

struct Traffic {
  double rate = 6;      // requests a second at each front end
  double session = 6;   // mean length of a session
  double set_up = 0.08; // mean time of a server's answer
  double early_leavers = 0.08, releases = 0.3, retries = 0.5;
  double crowd_at = -1, crowd_lasts = 0, crowd_factor = 1;
};

enum class FaultKind {
  term_series,      // SIGTERM one front end after another, SIGKILL at the earliest moment, back soon
  kill,             // SIGKILL of several at once
  reload_series,    // SIGHUPs in quick succession, discovery moves
  discovery_down,   // refuses, open calls are reset
  discovery_silent, // open calls stall, new ones work
  discovery_mute,   // accepts and says nothing
  discovery_late,   // new calls come up late
  discovery_half,   // half a frame, then the end of the call
  servers_hang,     // accept and never answer
  servers_crash,    // connections are reset, back after a while as new, at the same address
  servers_vanish,   // fall silent for good, then leave the list
  servers_replaced, // drained and removed one after another, others come
  drain_and_return, // drained close to their return
  zone_cut,         // a part of the servers falls silent for a while
  front_cut,        // one front end reaches no server and no discovery
  resets,           // connections to servers are reset: new, idle, under requests
  list_churn,       // many single changes of the list a second
  late_connections, // connections to servers come up late or never
  single_bytes,     // messages in pieces of one byte
  slow_answers,     // answers are held back
  spoilt_answers,   // answers cut short, unreadable or followed by a second
  idle_clients,     // many connections that say nothing
  bad_clients,      // lines that can't be read
};
inline constexpr int kFaultKinds = static_cast<int>(FaultKind::bad_clients) + 1;
const char *name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kill;
  double at = 0, lasts = 1;
  double part = 0.2; // of what it hits
};

struct Scenario {
  std::uint64_t seed = 1;
  double lasts = 20; // of traffic; the run goes on until all that is owed is due
  Deployment deployment;
  Traffic traffic;
  std::vector<Fault> faults; // by time
  // A rule that the run breaks on purpose, to show that it is found: stand-ins keep something from the front
  // end, or it is given other settings than it is judged by. Empty: none.
  std::string breaks;
};

// What a caller fixes; 0 or empty: drawn.
struct Choices {
  int front_ends = 0, servers = 0, sockets = 0;
  double lasts = 0, core_share = 0, deadline = 0, rate = 0, session = 0;
  std::vector<FaultKind> only; // these faults and no others
  bool no_faults = false;
};

Scenario draw(std::uint64_t seed, const Choices &choices);
std::string describe(const Scenario &scenario);

} // namespace snowshore::soak
