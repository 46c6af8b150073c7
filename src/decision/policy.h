// The interface of the decision engine: plain types in, abstract decisions out, without I/O.
// One DecisionEngine decides for one front end. The caller sets the time, then makes one call for each event,
// in the order in which the events happened; the engine calls DecisionHandler back during that call. Plays,
// servers, titles and customers are small indices that the caller assigns; an index may be reused once the
// engine has released it. All times and durations are seconds. Nothing here is thread-safe: all calls come
// on one executor.
#pragma once
#include "decision/server_view.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace snowshore {

// The engine's settings: values by name. setting_names.h declares the names.
using DecisionSettings = std::map<std::string, std::string, std::less<>>;

// A server's membership: `leaving` servers get no new plays, `left` servers are out of service for good.
enum class ServerStatus { active, leaving, left };

// What a call of server_list_updated() carries: only the servers that changed, the whole list as discovery
// has just sent it, the whole list that the caller already had when the engine was made, or no list because
// discovery cannot be reached.
enum class ListUpdateKind { changes, full, initial, unavailable };

// How an allocation, a probe or a play ended.
enum class Outcome { done, error, busy, timed_out, unreachable, reset, recalled, skipped };

// One server of a list update.
struct ServerEntry {
  int server = 0;
  // The same at every front end. It is only used as input to hashes.
  std::uint64_t stable_id = 0;
  int hall = -1;
  int kind = -1;
  int cell = 0;
  ServerStatus status = ServerStatus::active;
  double weight = 1;
  // Time of the server's start; 0 where it started long ago.
  double started_at = 0;
};

// The load that a server reports of itself; each part is absent where the server does not send it.
struct LoadReport {
  // Plays that the server runs or sets up.
  std::optional<double> streams;
  // Share of the server's link that is demanded, at most 1.
  std::optional<double> link_share;
  // Rate demanded of the server's link divided by the link's capacity; above 1 where the link is overrun.
  std::optional<double> link_demand;
  // The same of the uplink of the server's rack.
  std::optional<double> uplink_demand;
};

// What a request for a play, or the handover of one, says about it.
struct PlayRequest {
  int product = 0;
  int customer = -1;
  // The same whenever this viewer comes again.
  std::uint64_t viewer = 0;
  int title = 0;
  // Seconds until the viewer gives up.
  std::optional<double> time_left;
  // Seconds since the front end may have taken the request; it is read later where the process did not run.
  double taken_ago = 0;
  // Seconds that the play may last.
  std::optional<double> duration_hint;
  // The title lies in this many cells, from first_cell on.
  int first_cell = 0;
  int cell_count = 0;
  // The highest rung that the viewer can show.
  int max_rung = 0;
  // The viewer comes because a front end moved its play.
  bool is_moved = false;
  // The viewer comes again after an earlier request.
  bool is_repeated = false;
};

// What a server's feedback on a running play measures: the share of the play's rate that is delivered, the
// rung that is sent, or the demand on the server's link or its rack's uplink (see LoadReport).
enum class FeedbackKind { share_delivered, rung, link_demand, uplink_demand };

// Receives the decisions of a DecisionEngine. The engine calls it only during a call of its own.
class DecisionHandler {
 public:
  virtual ~DecisionHandler() = default;
  // The rung of a play: the one to allocate next, or the one that a running play changes to.
  virtual void set_rung(int play, int rung) = 0;
  // Starts an allocation of the play on the server; it times out after `timeout` seconds.
  virtual void start_allocation(int play, int server, double timeout) = 0;
  // Refuses the play; its viewer may come again after `retry_after` seconds.
  virtual void decline_play(int play, double retry_after) = 0;
  virtual void fail_play(int play) = 0;
  // Ends a running play and asks its viewer to come again.
  virtual void move_play(int play) = 0;
  // Withdraws an allocation that has not ended.
  virtual void recall_allocation(int play, int allocation) = 0;
  // The engine holds nothing of the play any more: its index may be reused.
  virtual void forget_play(int play) = 0;
  // The engine holds nothing of the server any more: its index may be reused.
  virtual void forget_server(int server) = 0;
  virtual void probe_server(int server) = 0;
  // Asks for the whole server list; it comes by server_list_updated().
  virtual void request_server_list() = 0;
  // Calls timer_expired(label) after `wait` seconds.
  virtual void set_timer(double wait, int label) = 0;
  virtual void log_message(const std::string &text) = 0;
};

// How many servers the engine has looked at so far, by reason. This cost must not grow with the list.
struct ServerScanCounts {
  std::uint64_t for_lists = 0, for_placements = 0, for_reviews = 0;
};

// Places and shapes the plays of one front end.
class DecisionEngine {
 public:
  virtual ~DecisionEngine() = default;
  // The current time; called before each of the other calls.
  virtual void set_time(double now) = 0;
  virtual void server_list_updated(ListUpdateKind kind, std::span<const ServerEntry> entries) = 0;
  virtual void play_requested(int play, const PlayRequest &request) = 0;
  // The play already runs on the server: another front end, or an earlier run of this one, set it up.
  virtual void play_handed_over(int play, int server, const PlayRequest &request) = 0;
  // The allocation delivered its first frame `delay` seconds after it was started.
  virtual void play_started(int play, int allocation, double delay) = 0;
  // concluded: the play itself is over and no further allocation may follow.
  virtual void allocation_ended(int play, int allocation, Outcome outcome, bool concluded,
                                const LoadReport &report) = 0;
  virtual void feedback_received(int play, FeedbackKind kind, double value) = 0;
  // The viewer left before its play was answered.
  virtual void viewer_left(int play) = 0;
  virtual void probe_answered(int server, Outcome outcome, const LoadReport &report) = 0;
  virtual void timer_expired(int label) = 0;

  // Replaces the settings that the engine was made with, from the next call on. Plays in progress keep their
  // time limits, and the engine keeps what it has learnt of the servers. The number of rungs, products, cells
  // and racks, the load fields and the retry window must stay the same, and no limit may be below the amount
  // in use.
  virtual void settings_changed(const DecisionSettings &settings) = 0;

  // The front end shuts down at this time: no play, present or future, may continue past it.
  virtual void set_shutdown_time(double) {}

  // What the engine holds of a server, for operators; no decision depends on this call.
  virtual ServerView server_view(int server) const = 0;
  // For operators likewise.
  virtual ServerScanCounts server_scan_counts() const { return {}; }
};

// Makes the engine that bounds link overruns (overrun_bound.h). `handler` must outlive it.
std::unique_ptr<DecisionEngine> make_decision_engine(const DecisionSettings &settings, std::uint64_t seed,
                                                     double now, DecisionHandler &handler);

} // namespace snowshore
