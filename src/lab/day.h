// A day: what is asked of the fronts, what goes wrong and when, as a typed record. Days lie under days/.
#pragma once
#include "records/records.h"
#include "site/front_record.h"

#include <string>
#include <vector>

namespace snowshore::lab {

enum class FaultKind {
  hang,        // servers stand still: set-ups and probes are read, none is answered, plays get nothing
  crash,       // processes die (resets) and come back cold under the same address
  vanish,      // silent: nothing is answered nor reset, then back cold with another start time
  slow,        // links give less
  neighbour,   // another program takes a share of the link, on and off
  lost_silent, // answers to set-ups are lost; the play has started
  lost_reset,  // likewise, with the connection reset
  late,        // answers to set-ups come after their time-out
  nonsense,    // answers to set-ups are no HTTP
  streams_cut, // report streams break and ends are missed meanwhile
  drain,       // waves: leaving, then gone, replaced by new ids where replace is set
  list_late,   // the list comes later
  list_down,   // and not at all
  list_whole,  // the list is replaced whole in the middle of a burst
  reports_late,
  front_kill,     // killed outright and started again
  front_stall,    // stopped and continued, again and again
  crowd,          // for some titles
  leavers,        // players that leave before their answer
  silent_players, // connections that send nothing
  slow_players    // requests that come a byte at a time
};

struct Fault {
  FaultKind kind{};
  double at = 0, lasts = 0; // seconds from the day's start
  double part = 0;          // of the servers, or of what the kind names
  double size = 0;  // the kind's own measure: times slower, share taken, seconds late, waves, requests ...
  double every = 0; // on and off, or between waves or stalls
  int front = 0;
  bool replace = false;
};

struct Day {
  std::string name;
  double seconds = 0;
  int fronts = 0, servers = 0, cells = 0, racks = 0, titles = 0;
  double plays_a_second = 0, popularity = 0, lengths = 0; // mean length of a play
  double comes_again = 0, pause = 0;                      // share of those declined or broken; mean pause
  double low_players = 0;                                 // share that cannot use the upper rungs
  double set_up_time = 0, places = 0, weight = 0, link_spread = 0, rate_spread = 0;
  double note_every = 0, note_delay = 0, list_delay = 0, full_from = 0;
  std::vector<double> product_shares;
  std::vector<Fault> faults;
  records::Record site;    // for the fronts' records
  site::FrontConfig terms; // the same, read
};

// Throws records::RecordError. Counts of 0 keep the record's.
Day read_day(const records::Source &file, int fronts = 0, int servers = 0);
std::string front_record(const Day &day, int index, const std::string &folder); // one front's record file

} // namespace snowshore::lab
