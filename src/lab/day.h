// Declares the laboratory's test day: the fleet and the load that are offered to the front ends, and the
// faults that are injected at given times. The day files lie under days/.
#pragma once
#include "config/front_config.h"
#include "records/records.h"

#include <string>
#include <vector>

namespace snowshore::lab {

// The kinds of faults. Their numeric values are written to the fleet trace.
enum class FaultKind {
  // The servers read set-ups and probes but answer none, and their plays receive no data.
  hang,
  // The server processes die with connection resets and come back cold under the same address.
  crash,
  // The servers neither answer nor reset anything; later they come back cold with another start time.
  vanish,
  // The servers' links deliver less.
  slow_link,
  // Another program takes a share of the servers' links, alternately on and off.
  competing_traffic,
  // Answers to set-ups are never sent, although the plays have started.
  answer_dropped,
  // Answers to set-ups are replaced by a connection reset, although the plays have started.
  answer_reset,
  // Answers to set-ups are sent after the set-ups' time-out.
  answer_delayed,
  // Answers to set-ups have an unexpected status, a malformed load header and a body of another type.
  answer_malformed,
  // The report streams break, so that the front ends miss the plays that end meanwhile.
  report_streams_cut,
  // Servers drain in waves: each is listed as leaving, then as left, and a server with a new id takes its
  // place if
  // Fault::add_replacement is set.
  drain,
  // Updates of the server list reach the front ends later than usual.
  list_delayed,
  // The server list is unavailable.
  list_unavailable,
  // The server list is written again as a whole under a new version, without the usual delay.
  list_rewritten,
  // The servers' reports reach the front ends later than usual.
  reports_delayed,
  // A front end is killed with SIGKILL and started again.
  front_kill,
  // A front end is stopped and continued repeatedly.
  front_stall,
  // Additional viewers ask for a few titles.
  crowd,
  // A share of the players closes its connection before the answer.
  early_leavers,
  // Connections to a front end are opened on which nothing is sent.
  silent_players,
  // Connections to a front end are opened on which a request arrives one byte at a time.
  slow_players
};

// One fault of a day. Times are in seconds.
struct Fault {
  FaultKind kind{};
  // The start, counted from the start of the day, and the duration.
  double start_time = 0, duration = 0;
  // The share of the servers that are affected; for early_leavers, of the players. For crowd, a tenth of the
  // number of titles.
  double share = 0;
  // The strength in the kind's own unit: a factor, a share, a delay or stall in seconds, a number of waves or
  // of connections.
  double magnitude = 0;
  // The interval between on and off, between waves or between stalls.
  double interval = 0;
  // The index of the front end that is affected, modulo the number of front ends for kills and stalls.
  int front = 0;
  bool add_replacement = false;
};

// A test day as read from its record. Times are in seconds, rates in bytes per second.
struct Day {
  std::string name;
  // The duration of the day.
  double seconds = 0;
  int fronts = 0, servers = 0, cells = 0, racks = 0, titles = 0;
  // The rate of new viewers, the exponent of the titles' popularity by rank, and the mean length of a play.
  double plays_per_second = 0, popularity = 0, mean_play_length = 0;
  // The share of the viewers that ask again after a decline or a broken play, and the mean pause before that.
  double retry_share = 0, retry_pause = 0;
  // The share of the players that cannot use the upper rungs.
  double low_bitrate_share = 0;
  // A server's mean set-up time, its capacity in plays and its weight, and the relative spread of the
  // servers' links and of the plays' rates around their nominal values.
  double set_up_time = 0, capacity = 0, weight = 0, link_spread = 0, rate_spread = 0;
  // The interval and the delay of load reports, the delay of list updates, and the link use from which on a
  // server declines set-ups (0: it never does because of its link).
  double report_interval = 0, report_delay = 0, list_delay = 0, full_from = 0;
  // The share of the plays that ask for each product, by the product's index.
  std::vector<double> product_shares;
  std::vector<Fault> faults;
  // The record's part from which the front ends' records are written.
  records::Record site;
  // The configuration that the front ends read from those records.
  config::FrontConfig front_config;
};

// Reads a day's record. Positive values of `fronts` and `servers` replace those of the record; the load, the
// cells, the racks and the titles scale with the number of servers. Throws records::RecordError.
Day read_day(const records::Source &file, int fronts = 0, int servers = 0);

// Returns the text of the configuration record of front end `index`, which keeps its files in `folder`.
std::string render_front_record(const Day &day, int index, const std::string &folder);

} // namespace snowshore::lab
