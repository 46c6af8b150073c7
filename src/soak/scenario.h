// The scenario of one soak run, drawn from its seed: the deployment, the traffic, and faults that overlap in
// time. Times are seconds since the start of the traffic unless said otherwise; shares are fractions of one.
#pragma once
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace snowshore::soak {

// A pseudo-random generator whose sequence depends on the seed alone and is the same on every machine.
class SeededRng {
 public:
  explicit SeededRng(std::uint64_t seed) : engine_(seed) {}
  double uniform(double low, double high) {
    return low + (high - low) * static_cast<double>(engine_() >> 11) / 9007199254740992.0;
  }
  // Returns true with the given probability.
  bool bernoulli(double probability) { return uniform(0, 1) < probability; }
  // Returns an integer from low to high, both included.
  int uniform_int(int low, int high) {
    return low + static_cast<int>(engine_() % static_cast<std::uint64_t>(high - low + 1));
  }
  double exponential(double mean);
  std::uint64_t next_u64() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

struct ServiceClass {
  // `effect` is "safe", "keyed" or "unsafe": whether a request may be sent again after an attempt that may
  // have run.
  std::string name, effect;
  double on_time = 0.6, deadline = 1.2; // seconds after the request
  // The rungs that a session may get, and the sessions that a title may have at one front end; 0 seats means
  // no limit.
  int floor = 0, top = 3, seats = 0;
  bool safe_to_repeat() const { return effect == "safe"; }
};

// What is deployed, and the settings that the front ends are given.
struct Deployment {
  int front_ends = 10, servers = 60, cells = 15, racks = 6, zones = 1;
  double core_share = 1; // The share of one core that each front end gets; 1 means no throttling.
  // Limits of each front end (memory_mb in MB, sockets in descriptors), requests at a time on a connection,
  // and attempts per request.
  int memory_mb = 64, sockets = 256, multiplex = 32, max_attempts = 3;
  bool probes_enabled = true;
  double connect_timeout = 0.25, idle_timeout = 30; // seconds
  // A server that holds sessions of a front end sends it one note per interval, in seconds.
  double note_interval = 1;
  // Servers send the note of the rung on a session that is handed over.
  bool rung_notes = false;
  // Seconds in which set-ups may still reach a server after the front end learned that it leaves, and the
  // sessions that one server holds.
  double drain_grace = 1, slots_per_server = 40;
  // A server that has just started bears cold_capacity_share of its load, rising to all of it within
  // warm_up_time. It counts as overloaded when set-ups exceed overload_multiple times that load over
  // overload_window seconds.
  double warm_up_time = 8, cold_capacity_share = 0.5, overload_multiple = 2.5, overload_window = 2;
  // The retry budget: retry_allowance plus retry_ratio retries per request, over retry_window seconds.
  double retry_ratio = 0.2, retry_allowance = 4, retry_window = 5;
  std::vector<ServiceClass> classes;
  double longest_deadline() const;
  // Seconds from SIGTERM to the earliest SIGKILL.
  double earliest_kill_delay() const;
};

struct Traffic {
  double request_rate = 6;        // requests per second at each front end
  double mean_session_length = 6; // seconds
  double mean_set_up_time = 0.08; // seconds until a server answers
  // The shares of clients that give up before the answer, that release their session, and that ask again
  // after a refusal.
  double early_leave_share = 0.08, client_release_share = 0.3, retry_share = 0.5;
  // A flash crowd: from crowd_start (none if negative) the request rate is crowd_factor times as high for
  // crowd_duration seconds.
  double crowd_start = -1, crowd_duration = 0, crowd_factor = 1;
};

enum class FaultKind {
  // Front ends get SIGTERM one after another, SIGKILL at the earliest moment, and restart soon.
  term_series,
  kill,             // Several front ends get SIGKILL at once.
  reload_series,    // Front ends get SIGHUPs in quick succession while discovery moves to another address.
  discovery_down,   // Discovery refuses connections and resets the open ones.
  discovery_silent, // Open subscriptions stall, new ones work.
  discovery_mute,   // Discovery accepts connections and sends nothing.
  discovery_late,   // New connections to discovery are established late.
  discovery_half,   // Discovery sends half a frame and closes the connection.
  servers_hang,     // Servers accept requests and never answer.
  // Servers reset their connections and return after a while as new processes at the same address.
  servers_crash,
  servers_vanish,   // Servers fall silent for good and leave the list later.
  servers_replaced, // Servers are drained and removed one after another, and others start in their place.
  drain_and_return, // Servers are drained and become active again shortly after.
  zone_cut,         // Some of the servers are unreachable for a while.
  front_cut,        // One front end reaches no server and no discovery.
  resets,           // Connections to servers are reset when new, when idle and under requests.
  list_churn,       // The list of servers gets many single changes per second.
  late_connections, // Connections to servers are established late or never.
  single_bytes,     // Messages of servers arrive in pieces of one byte.
  slow_answers,     // Servers delay their answers.
  spoilt_answers,   // Answers of servers are cut short, unreadable, late or sent twice.
  idle_clients,     // Clients open many connections and send nothing on them.
  bad_clients,      // Clients send lines that can't be parsed.
  // Servers end, and other servers' processes listen at their addresses at once or soon; the list tells of
  // the end and of the start up to 2.5 s later, in any order. The new servers close connections now and then.
  address_takeover,
  // The servers of a zone and some front ends end at once; the servers return 5 s later as new processes at
  // their
  // addresses, of which the list tells up to 2.5 s later, and the front ends before, with or after them.
  zone_loss,
};
inline constexpr int kFaultKindCount = static_cast<int>(FaultKind::zone_loss) + 1;
// The kinds up to bad_clients are drawn from one stream of chance and the later ones from another, so that a
// seed's earlier faults stay what they were.
inline constexpr int kFirstStreamKinds = static_cast<int>(FaultKind::bad_clients) + 1;
const char *name_of(FaultKind kind);

struct Fault {
  FaultKind kind = FaultKind::kill;
  double start = 0, duration = 1; // seconds
  double share = 0.2;             // of the servers or front ends that the fault applies to
};

struct Scenario {
  std::uint64_t seed = 1;
  // Seconds of traffic. The run goes on after it until every answer and release that is owed has come due.
  double traffic_duration = 20;
  Deployment deployment;
  Traffic traffic;
  std::vector<Fault> faults; // sorted by start
  // The name of a rule that the run breaks on purpose, to show that the ledger reports it: stand-ins withhold
  // something from the front end, or it gets other settings than it is judged by. Empty: none.
  std::string broken_rule;
};

// Values that the caller sets in place of drawn ones; 0 or empty means that the value is drawn.
struct ScenarioOverrides {
  int front_ends = 0, servers = 0, sockets = 0;
  double traffic_duration = 0, core_share = 0, deadline = 0, request_rate = 0, mean_session_length = 0;
  std::vector<FaultKind> only_faults; // one fault of each listed kind and no others
  bool first_stream_only = false;     // no faults of the kinds after kFirstStreamKinds
  bool no_faults = false;             // no faults and no flash crowd
};

Scenario draw_scenario(std::uint64_t seed, const ScenarioOverrides &overrides);
// Returns one line with the deployment, the service classes and the faults.
std::string describe(const Scenario &scenario);

} // namespace snowshore::soak
