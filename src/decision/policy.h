// The decision module's interface: plain types in, calls for what happens, abstract answers out.
// One Front decides for one front end. The caller sets the clock, then makes one call for each thing that
// happened, in order; the module answers through Answers during the call. Ids are small indices, given at the
// door; a play's index may be given again once the module has forgotten it. Times are seconds.
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

using Given = std::map<std::string, std::string, std::less<>>; // the settings: names to values

enum class Standing { active, leaving, left };
enum class ListKind { changes, full, held, unavailable };
enum class Outcome { done, error, busy, timed_out, unreachable, reset, recalled, skipped };

struct ServerEntry {
  int server = 0;
  std::uint64_t number = 0; // the same at every front; only ever hashed
  int hall = -1;
  int kind = -1;
  int cell = 0;
  Standing standing = Standing::active;
  double weight = 1;
  double started = 0; // 0: long ago
};

struct LoadReport {
  std::optional<double> streams;    // plays that it runs or sets up
  std::optional<double> link_share; // share of its link that is asked for, 1 at most
  std::optional<double> link;       // asked of its link over what the link gives
  std::optional<double> uplink;     // the same of its rack's uplink
};

struct PlayTerms {
  int product = 0;
  int customer = -1;
  std::uint64_t viewer = 0; // the same when the viewer comes again
  int title = 0;
  std::optional<double> time_left;   // until the viewer gives up
  std::optional<double> length_hint; // how long it may last
  int first_cell = 0;
  int cells = 0;
  int best_rung = 0; // the viewer's top
  bool moved = false;
  bool again = false;
};

enum class NoteKind { share_delivered, rung, link_asked, uplink_asked };

class Answers {
 public:
  virtual ~Answers() = default;
  virtual void set_rung(int play, int rung) = 0;
  virtual void allocate(int play, int server, double time_out) = 0;
  virtual void decline(int play, double retry_after) = 0;
  virtual void fail(int play) = 0;
  virtual void move(int play) = 0;
  virtual void recall(int play, int allocation) = 0;
  virtual void forget(int play) = 0;          // the index may be given again
  virtual void forget_server(int server) = 0; // likewise
  virtual void probe(int server) = 0;
  virtual void follow_list() = 0;
  virtual void set_timer(double wait, int label) = 0;
  virtual void log(const std::string &text) = 0;
};

// How many servers the module has looked at so far, by reason: cost that must not grow with the list.
struct DecisionWork {
  std::uint64_t for_lists = 0, for_placements = 0, for_reviews = 0;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void clock(double now) = 0;
  virtual void list_changed(ListKind kind, std::span<const ServerEntry> entries) = 0;
  virtual void play_asked(int play, const PlayTerms &terms) = 0;
  virtual void play_handed_over(int play, int server, const PlayTerms &terms) = 0;
  virtual void play_starts(int play, int allocation, double delay) = 0;
  virtual void allocation_ended(int play, int allocation, Outcome outcome, bool concluded,
                                const LoadReport &report) = 0;
  virtual void note_on_play(int play, NoteKind kind, double value) = 0;
  virtual void viewer_left(int play) = 0;
  virtual void probe_answered(int server, Outcome outcome, const LoadReport &report) = 0;
  virtual void timer(int label) = 0;

  // Other values for what was given at the start, in force from the next call on; plays in hand keep the time
  // limits they came with, and nothing that was learnt is lost. Rungs and products must be as many and cells,
  // racks, load fields and the span of further allocations the same; a limit must not be under what is in
  // use.
  virtual void given_changed(const Given &given) = 0;

  // The front end ends then: no play, in hand or still to come, may go on past that moment.
  virtual void closes_at(double) {}

  virtual ServerView view_of(int server) const = 0; // for operators; decides nothing
  virtual DecisionWork work() const { return {}; }  // likewise
};

std::unique_ptr<Front> make_front(const Given &given, std::uint64_t seed, double now, Answers &answers);

} // namespace snowshore
