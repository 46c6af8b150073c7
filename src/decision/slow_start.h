// Slow start: decides whether this front end may set up a play on a server that may be cold, that is, has
// started lately. All front ends together must not overload such a server, and they share nothing but the
// settings and the wall-clock time. Times are seconds.
#pragma once
#include <algorithm>
#include <cmath>

namespace snowshore {

struct SlowStartSettings {
  // A cold server can take its budget of set-ups once in each window.
  double window = 1;
  // Number of front ends that share the budget.
  double fronts = 1;
  // Index of this front end among them.
  int front_index = 0;
  // Set-ups in one window; the budget of a server is this times its capacity over the warm-up time.
  double set_up_budget = 0;
  // Seconds that a server stays cold after its start.
  double warm_up = 0;
};

// The state of one server that may be cold.
struct SlowStartState {
  // Plays that the server has room for.
  double capacity = 0;
  // The server's start was announced, or this front end saw it fail. Otherwise it is only possible that the
  // server is cold.
  bool known_cold = false;
  // The first set-up since the server's start has not ended yet.
  bool first_set_up_pending = false;
  // Seconds since this front end last sent a set-up to the server, or since this front end started.
  double idle_time = 0;
};

// Each front end uses its equal part of the budget in evenly spaced set-ups. Where that part is less than one
// set-up per window, front ends take turns by the clock, with a pause of one window between turns. While the
// first set-up after a server's start is pending, no other one is allowed.
inline bool slow_start_allows(const SlowStartSettings &settings, const SlowStartState &server, double now) {
  double budget = settings.set_up_budget * server.capacity / settings.warm_up;
  if (server.known_cold && server.first_set_up_pending) return false;
  if (budget >= settings.fronts)
    return server.idle_time >= settings.window / std::floor(budget / settings.fronts);
  if (budget < 1) return false;
  if (!server.known_cold) return server.idle_time >= settings.window * settings.fronts / budget;
  int turns = static_cast<int>(std::ceil(settings.fronts / std::floor(budget)));
  double turn_number = std::floor(now / (2 * settings.window));
  bool own_turn = std::fmod(turn_number, turns) == settings.front_index % turns;
  return own_turn && now - turn_number * 2 * settings.window < settings.window &&
         server.idle_time >= settings.window;
}

} // namespace snowshore
