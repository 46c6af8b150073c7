// Slow start: whether this front end may set up on a server that may be cold. All front ends together must
// not push it over, and they share nothing but the settings and the clock. Times are seconds.
#pragma once
#include <algorithm>
#include <cmath>

namespace snowshore {

struct SlowStartTerms {
  double span = 1;     // in which a cold server bears its budget
  double fronts = 1;   // front ends that share it
  int front_index = 0; // of this one among them
  double bears = 0;    // set-ups in a span, over a whole warm-up's places: see budget below
  double warm_up = 0;  // seconds
};

struct SlowStartState { // of one server that may be cold
  double places = 0;
  bool known_cold =
      false; // its start was told, or it failed in this front end's sight; else it only may be cold
  bool first_is_out = false; // the first set-up since its start has no end yet
  double quiet = 0;          // since this front end last sent there, at the latest since it started itself
};

// A front end keeps to its part of the least budget, evenly spaced; where that is under one set-up a span,
// front ends take turns by the clock, with a span's pause between turns. The first set-up after a start goes
// alone.
inline bool slow_start_allows(const SlowStartTerms &terms, const SlowStartState &server, double now) {
  double budget = terms.bears * server.places / terms.warm_up;
  if (server.known_cold && server.first_is_out) return false;
  if (budget >= terms.fronts) return server.quiet >= terms.span / std::floor(budget / terms.fronts);
  if (budget < 1) return false;
  if (!server.known_cold) return server.quiet >= terms.span * terms.fronts / budget;
  int turns = static_cast<int>(std::ceil(terms.fronts / std::floor(budget)));
  double beat = std::floor(now / (2 * terms.span));
  bool own_turn = std::fmod(beat, turns) == terms.front_index % turns;
  return own_turn && now - beat * 2 * terms.span < terms.span && server.quiet >= terms.span;
}

} // namespace snowshore
