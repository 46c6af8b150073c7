// The oracle of the soak. It records what clients, servers and discovery observe, as it happens, and judges
// the rules of the platform's pages by these records alone; it uses no code of the front end. Times are
// seconds of the steady clock (now() in faulty_stream.h). A negative time means that the event has not
// happened.
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
  lost,          // A request got no answer, or a late, second or wrong one.
  duplicate,     // Two attempts for one request were open at a time.
  unsafe_repeat, // A request was sent again, or refused as repeatable, though an attempt may have run.
  drain,         // A set-up reached a draining or removed server after the grace period.
  cold,          // Set-ups overloaded a server that was still warming up.
  floor,         // The rung was below the lowest of the class or above the highest that was asked for.
  seats,         // A title had more sessions than the class has seats.
  budget,        // Retries exceeded the retry budget.
  gone,          // An attempt began after its client had given up.
  release,       // The end of an active session was not passed on in time.
  ready,         // A front end was not ready in time after a restart.
  crash,         // A front end exited by itself, by a signal, or with an exit code other than 0.
  owed_at_exit,  // A front end was still running, or owed answers, at the earliest SIGKILL.
  limit,         // Descriptors or memory exceeded the limit.
  denied,        // The front end's own send guard had to stop a message.
};
inline constexpr int kRuleCount = static_cast<int>(Rule::denied) + 1;
const char *name_of(Rule rule);
// Returns whether the scenario breaks this rule on purpose.
bool breaks_on_purpose(const Scenario &scenario, Rule rule);

enum class Answer { none, active, refused, failed };

struct Violation {
  Rule rule;
  double time;           // seconds since the start of the run
  std::uint64_t session; // 0 if the violation concerns no single session
  std::string message;
};

class Ledger {
 public:
  // `start` is the start of the run; times in the output are relative to it.
  explicit Ledger(const Scenario &scenario, double start);

  // ---- Events that clients observe.
  // `time_limit` is in seconds, `top_rung` the highest rung that the client accepts.
  void request_issued(std::uint64_t session, int front, int service_class, std::uint64_t title,
                      double time_limit, int top_rung);
  // The last byte of the request was written.
  void request_written(std::uint64_t session);
  void client_gave_up(std::uint64_t session, const char *how);
  void answer_received(std::uint64_t session, Answer answer, const std::string &description, int cause);
  // The client got a release or a move after the answer.
  void end_reported(std::uint64_t session, int cause);
  // The client released its active session.
  void client_ended_session(std::uint64_t session);
  // The client handed its session over to a front end that restarted.
  void session_handed_over(std::uint64_t session);
  // From now on the request is owed no answer.
  void waive_answer(std::uint64_t session, const char *why);
  void connection_lost_while_waiting(std::uint64_t session);
  // The connection on which the session was set up has been closed.
  void client_connection_closed(std::uint64_t session);
  // Returns whether the request has no answer yet, was not given up and is still owed one.
  bool awaits_answer(std::uint64_t session) const;

  // ---- Events that servers observe.
  // `connection_since` is when the connection that carries the set-up was accepted.
  void attempt_arrived(std::uint64_t session, int server, int rung, int front, double connection_since);
  // `never_ran` is true if the server refused the set-up, so that a repeat is harmless.
  void attempt_ended(std::uint64_t session, int server, bool never_ran, const char *how);
  void session_active(std::uint64_t session, int server, std::uint32_t id, const std::string &description);
  void session_ended(std::uint64_t session, int server, const char *how);
  void server_release_written(std::uint64_t session, int server);
  void front_release_received(std::uint64_t session, int server);

  // ---- Events of discovery. Changes of the list are numbered from 1.
  void server_started(int server, int first_change, bool cold);
  // The server is draining or removed as of this change.
  void server_leaving(int server, int change);
  void server_reactivated(int server);
  // Another server's process has started at the server's address; the list has not told of it yet.
  void server_replaced(int server);
  // The change tells of that process, or of the end of the one before.
  void replacement_told(int server, int change);
  void replaced_server_told(int server, int change);
  void list_change_made(int change);
  // The change was written whole to the front end. Those in the file that a process starts with count as
  // delivered at its start.
  void list_change_delivered(int front, int change);
  // Whether a new connection from the front end to discovery would work.
  void discovery_reachable(int front, bool reachable);
  // Open subscriptions stall while new ones would be answered.
  void discovery_silent(int front, bool silent);

  // ---- Events of front-end processes.
  void front_started(int front);
  void front_ready(int front);
  void front_sigterm_sent(int front);
  // SIGKILL was sent without SIGTERM.
  void front_killed(int front);
  // `planned` is true after SIGTERM, `killed_late` if the process had to be killed; `status` is that of
  // wait(2).
  void front_exited(int front, bool planned, bool killed_late, int status);
  // `line` is the line of the front end's log that reports the denial.
  void guard_denial_logged(int front, const std::string &line);
  void check_usage(int front, double resident_mb, int descriptors);

  // Returns the list id of the server at which the session is or was active, as it was then; 0 if none.
  std::uint32_t server_id_of(std::uint64_t session) const;

  // Returns the server at which the session is or was active; negative if none.
  int server_of(std::uint64_t session) const;

  // Runs the checks that have come due by `time`.
  void run_due_checks(double time);
  // Judges at the end of the run everything that is still owed. Calls after the first have no effect.
  void finish();
  const std::vector<Violation> &violations() const { return violations_; }
  // Returns the session's recorded events, one per line; empty if the session is unknown.
  std::string timeline(std::uint64_t session) const;
  // Returns the counts as one line.
  std::string summary() const;
  struct Counts {
    std::uint64_t requests = 0, active = 0, refused = 0, failed = 0, given_up = 0, waived = 0, attempts = 0,
                  ends_reported = 0, handed_over = 0, handed_over_ended_early = 0, restarts = 0,
                  late_restarts = 0, attempts_after_giving_up = 0;
  };
  const Counts &counts() const { return counts_; }
  // Adds a line to the session's timeline.
  void add_note(std::uint64_t session, std::string text);

 private:
  struct Attempt { // a set-up at a server
    int server = -1;
    double arrived = 0, ended = -1;
    bool may_have_run = true;
  };
  struct Note {
    double time;
    std::string text;
  };
  struct Session {
    // `generation` is the start of the front end's process that the session belongs to.
    int front = 0, generation = 0, service_class = 0, top_rung = 3;
    std::uint64_t title = 0;
    double time_limit = 0, written_at = -1, gave_up_at = -1, answered_at = -1;
    Answer answer = Answer::none;
    bool answer_waived = false, client_connected = true;
    std::vector<Attempt> attempts;
    int server = -1; // where the session is or was active
    std::uint32_t server_id = 0;
    double active_at = -1, ended_at = -1, server_release_at = -1, end_reported_at = -1, client_ended_at = -1,
           handed_over_at = -1;
    bool released_by_front = false, lost_with_front = false;
    std::vector<std::string> descriptions; // those that servers gave for it
    std::vector<Note> notes;
  };
  struct Process {      // of a front end
    int generation = 0; // number of starts
    bool running = false;
    double started_at = 0, ready_at = -1, sigterm_at = -1, exited_at = -1;
    // Since when new connections to discovery work (infinite while they don't), and since when open
    // subscriptions are silent.
    double discovery_reachable_since = 0, discovery_silent_since = -1;
    std::vector<double> change_delivered_at; // indexed by change
    std::deque<double> request_times, retry_times;
  };
  struct Server {
    double cold_since = -1; // when the server started to warm up
    // The change that tells of the server's start, of its leaving, and of the end of the server that had its
    // address before; 0 where none has.
    int start_change = 0, leave_change = 0, predecessor_gone_change = 0;
    bool overload_judged = false;
    // Times of set-ups, and whether their sender knew of the server's start.
    std::deque<std::pair<double, bool>> arrivals;
  };
  // Whether the attempt, still open when another one arrived, ends by `due`.
  struct DuplicateCheck {
    double due;
    std::uint64_t session;
    std::size_t attempt;
  };

  Session *find(std::uint64_t session);
  void violate(Rule rule, std::uint64_t session, std::string message);
  double change_known_at(int front, int change) const;
  // Whether the change was written to the front end.
  bool was_delivered(int front, int change) const;
  void check_drain(std::uint64_t session, int server, int front);
  void check_cold(std::uint64_t session, int server, int front);
  void check_budget(std::uint64_t session, int front);
  void check_seats(std::uint64_t session, const Session &record);
  void check_after_giving_up(std::uint64_t session, const Session &record, double connection_since);
  void check_retry(std::uint64_t session, const Session &record);
  void judge_answer(std::uint64_t session, Session &record);
  void judge_release(std::uint64_t session, Session &record);
  Process &process_of(int front);

  const Scenario &scenario_;
  double start_time_;
  std::unordered_map<std::uint64_t, Session> sessions_;
  std::vector<Process> processes_;
  std::vector<Server> servers_;
  std::vector<double> change_made_at_; // indexed by change
  std::deque<DuplicateCheck> duplicate_checks_;
  std::vector<Violation> violations_;
  Counts counts_;
  bool finished_ = false;
};

} // namespace snowshore::soak
