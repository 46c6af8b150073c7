// The oracle of the soak: what clients, servers and discovery saw, written down as it happens, and the rules
// of the platform's pages judged on that alone. It knows nothing of the front end's code. Times are seconds
// of one clock.
#pragma once
#include "soak/scenario.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace snowshore::soak {

enum class Rule {
  lost,          // no answer, a late, second or wrong one
  duplicate,     // two attempts out at a time
  unsafe_repeat, // sent again or refused though an attempt may have run
  drain,         // sent to a draining or removed server past the grace
  cold,          // a cold server pushed over
  floor,         // under the class's lowest rung
  seats,         // over the class's seats for a title
  budget,        // retries over the budget
  gone,          // an attempt begun after its client had left
  release,       // the end of an active session not passed on in time
  ready,         // a restart not ready in time
  crash,         // a front end ended by itself, or by a signal, or with an exit code other than 0
  owed_at_exit,  // still there, or answers owed, at the earliest kill
  limit,         // descriptors or memory over the limit
  denied,        // the front end's own guard had to stop something
};
inline constexpr int kRules = static_cast<int>(Rule::denied) + 1;
const char *name_of(Rule rule);
bool breaks(const Scenario &scenario, Rule rule); // on purpose

enum class Answer { none, active, refused, failed };

struct Violation {
  Rule rule;
  double at;
  std::uint64_t session; // 0: not of one
  std::string what;
};

class Ledger {
 public:
  explicit Ledger(const Scenario &scenario, double start);

  // ---- Clients.
  void asked(std::uint64_t session, int front, int service_class, std::uint64_t title, double time, int top);
  void request_written(std::uint64_t session); // its last byte
  void client_left(std::uint64_t session, const char *how);
  void answered(std::uint64_t session, Answer answer, const std::string &description, int cause);
  void told_over(std::uint64_t session, int cause); // a release or a move after the answer
  void client_ends(std::uint64_t session);          // the client releases its active session
  void handed_over(std::uint64_t session);          // to a front end that came back
  void excuse(std::uint64_t session, const char *why);
  void connection_ended_under(std::uint64_t session);
  void client_connection_closed(std::uint64_t session); // the one that its session was set up on
  bool waits(std::uint64_t session) const;              // asked, with no answer, not given up

  // ---- Servers.
  void attempt_arrived(std::uint64_t session, int server, int rung, int front, double connection_since);
  void attempt_ended(std::uint64_t session, int server, bool never_ran, const char *how);
  void session_active(std::uint64_t session, int server, std::uint32_t id, const std::string &description);
  void session_over(std::uint64_t session, int server, const char *how);
  void release_written(std::uint64_t session, int server);
  void front_released(std::uint64_t session, int server);

  // ---- Discovery.
  void server_started(int server, int first_change, bool cold);
  void server_leaves(int server, int change); // draining or removed, by this change of the list
  void server_returns(int server);
  void change_made(int change);            // of the list, numbered from 1
  void change_told(int front, int change); // written whole to the front end, or in the file it starts with
  void discovery_reachable(int front, bool reachable); // by a new call
  void discovery_silent(int front, bool silent);       // open calls stall, new ones would be answered

  // ---- Processes.
  void front_started(int front);
  void front_ready(int front);
  void front_terminates(int front); // SIGTERM was sent
  void front_killed(int front);     // SIGKILL without SIGTERM
  void front_gone(int front, bool planned, bool killed_late, int status);
  void front_denied(int front, const std::string &line); // of its log
  void front_uses(int front, double resident_mb, int descriptors);

  // The id in the list of the server at which it is or was active, as it was then; 0: nowhere.
  std::uint32_t server_id_of(std::uint64_t session) const;

  void look(double at); // checks that have come due
  void close();         // the end of the run: everything owed is judged
  const std::vector<Violation> &violations() const { return violations_; }
  std::string timeline(std::uint64_t session) const;
  std::string summary() const;
  struct Counts {
    std::uint64_t asked = 0, active = 0, refused = 0, failed = 0, left = 0, excused = 0, attempts = 0,
                  over = 0, handed_over = 0, restarts = 0, ready_late = 0, begun_after_leaving = 0;
  };
  const Counts &counts() const { return counts_; }
  void note(std::uint64_t session, std::string text);

 private:
  struct Attempt {
    int server = -1;
    double arrived = 0, ended = -1;
    bool may_have_run = true;
  };
  struct Note {
    double at;
    std::string text;
  };
  struct Session {
    int front = 0, life = 0, service_class = 0, top = 3;
    std::uint64_t title = 0;
    double time = 0, written_at = -1, left_at = -1, answered_at = -1;
    Answer answer = Answer::none;
    bool excused = false, client_connected = true;
    std::vector<Attempt> attempts;
    int server = -1; // where it is or was active
    std::uint32_t server_id = 0;
    double active_at = -1, over_at = -1, release_at = -1, told_over_at = -1, client_ends_at = -1,
           handed_at = -1;
    bool released_by_front = false, is_lost_with_front = false;
    std::vector<std::string> descriptions; // that servers gave for it
    std::vector<Note> notes;
  };
  struct Process {
    int life = 0;
    bool alive = false;
    double started_at = 0, ready_at = -1, term_at = -1, died_at = -1;
    double reachable_from = 0, silent_from = -1; // discovery, by a new call; its open calls
    std::vector<double> told;                    // by change: when it was told, below 0: not yet
    std::deque<double> asks, repeats;
  };
  struct Server {
    double boot = -1; // since when it warms up; below 0: warm
    int start_change = 0, leaves_change = 0;
    bool fallen = false;
    std::deque<std::pair<double, bool>> arrivals; // and whether the sender had been told of the start
  };
  struct Check {
    double at;
    std::uint64_t session;
    std::size_t attempt;
  };

  Session *find(std::uint64_t session);
  void violate(Rule rule, std::uint64_t session, std::string what);
  double told_at(int front, int change) const;
  void check_drain(std::uint64_t session, int server, int front);
  void check_cold(std::uint64_t session, int server, int front);
  void check_budget(std::uint64_t session, int front);
  void check_seats(std::uint64_t session, const Session &its);
  void check_after_leaving(std::uint64_t session, const Session &its, double connection_since);
  void check_repeat(std::uint64_t session, const Session &its);
  void judge_answer(std::uint64_t session, Session &its);
  void judge_release(std::uint64_t session, Session &its);
  Process &process(int front);

  const Scenario &scenario_;
  double start_;
  std::unordered_map<std::uint64_t, Session> sessions_;
  std::vector<Process> processes_;
  std::vector<Server> servers_;
  std::vector<double> made_; // by change: when it was made
  std::deque<Check> checks_;
  std::vector<Violation> violations_;
  Counts counts_;
  bool closed_ = false;
};

} // namespace snowshore::soak
