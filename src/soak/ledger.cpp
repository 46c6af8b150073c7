#include "soak/ledger.h"
#include "soak/faulty_stream.h"

#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace snowshore::soak {

namespace {

// Limits from the platform's pages, in seconds unless said otherwise.
constexpr double kSlack = 0.05; // added to every time limit
// An answer that comes up to this long after the request's time limit earns nothing but is not lost.
constexpr double kAnswerGrace = 0.5;
// A server's release has to reach the client within this time.
constexpr double kReleaseForwardingTime = 1;
// The end of a session whose release could not be sent has to reach the client within this time.
constexpr double kUnannouncedEndTime = 8;
// A session that is handed over counts for the front end from this long after it was written.
constexpr double kHandOverDelay = 0.2;
// An attempt may begin up to this long after its client gave up, and up to the second limit if it waited for
// a connection.
constexpr double kGaveUpGrace = 0.1;
constexpr double kGaveUpGraceNewConnection = 0.3;
// The highest number of attempts that begin after the first limit, as a share of the clients that gave up.
constexpr double kMaxLateAttemptShare = 0.25;
constexpr double kRestartReadyTime = 10;
// The highest share of restarts that are ready later than that.
constexpr double kMaxLateRestartShare = 0.1;
// A front end counts as knowing a change this long after a connection to discovery that failed, was refused
// or was given up, and this long after open subscriptions fell silent.
constexpr double kKnownAfterNewConnection = 6;
constexpr double kKnownAfterSilence = 4;
// An overload breaks the rule if more than this share of the set-ups came from front ends that knew of the
// server's start.
constexpr double kInformedShare = 2.0 / 3;

constexpr const char *kRuleNames[] = {"lost",  "duplicate", "unsafe_repeat", "drain", "cold",
                                      "floor", "seats",     "budget",        "gone",  "release",
                                      "ready", "crash",     "owed_at_exit",  "limit", "denied"};
static_assert(std::size(kRuleNames) == kRuleCount);

std::string format_text(const char *format, auto... values) {
  char line[300];
  std::snprintf(line, sizeof line, format, values...);
  return line;
}

} // namespace

bool breaks_on_purpose(const Scenario &scenario, Rule rule) { return scenario.broken_rule == name_of(rule); }

const char *name_of(Rule rule) { return kRuleNames[static_cast<int>(rule)]; }

Ledger::Ledger(const Scenario &scenario, double start)
    : scenario_(scenario), start_time_(start),
      processes_(static_cast<std::size_t>(scenario.deployment.front_ends)), change_made_at_(1, start) {}

Ledger::Session *Ledger::find(std::uint64_t session) {
  auto it = sessions_.find(session);
  return it == sessions_.end() ? nullptr : &it->second;
}

Ledger::Process &Ledger::process_of(int front) { return processes_[static_cast<std::size_t>(front)]; }

void Ledger::add_note(std::uint64_t session, std::string text) {
  if (Session *record = find(session)) record->notes.push_back({now(), std::move(text)});
}

void Ledger::violate(Rule rule, std::uint64_t session, std::string message) {
  violations_.push_back({rule, now() - start_time_, session, message});
  add_note(session, "VIOLATION " + std::string(name_of(rule)) + ": " + message);
}

// ---- Events that clients observe.

void Ledger::request_issued(std::uint64_t session, int front, int service_class, std::uint64_t title,
                            double time_limit, int top_rung) {
  ++counts_.requests;
  Session &record = sessions_[session];
  record.front = front;
  record.generation = process_of(front).generation;
  record.service_class = service_class;
  record.title = title;
  record.time_limit = time_limit;
  record.top_rung = breaks_on_purpose(scenario_, Rule::floor) ? 0 : top_rung;
  process_of(front).request_times.push_back(now());
  add_note(session,
           format_text("client asks front end %d, class %s, %.0f ms", front,
                       scenario_.deployment.classes[static_cast<std::size_t>(service_class)].name.c_str(),
                       time_limit * 1e3));
}

void Ledger::request_written(std::uint64_t session) {
  Session *record = find(session);
  if (!record) return;
  record->written_at = now();
  add_note(session, "request written");
}

void Ledger::client_gave_up(std::uint64_t session, const char *how) {
  Session *record = find(session);
  if (!record || record->answer != Answer::none) return;
  ++counts_.given_up;
  record->gave_up_at = now();
  add_note(session, format_text("client gives up (%s)", how));
}

bool Ledger::awaits_answer(std::uint64_t session) const {
  auto it = sessions_.find(session);
  return it != sessions_.end() && it->second.answer == Answer::none && it->second.gave_up_at < 0 &&
         !it->second.answer_waived;
}

void Ledger::waive_answer(std::uint64_t session, const char *why) {
  Session *record = find(session);
  if (!record || record->answer != Answer::none || record->answer_waived) return;
  ++counts_.waived;
  record->answer_waived = true;
  add_note(session, format_text("not owed an answer any more: %s", why));
}

void Ledger::connection_lost_while_waiting(std::uint64_t session) {
  if (!awaits_answer(session)) return;
  violate(Rule::lost, session, "its connection ended with no answer");
  // Keeps finish() from reporting the same request again.
  find(session)->answer_waived = true;
}

void Ledger::client_connection_closed(std::uint64_t session) {
  if (Session *record = find(session)) record->client_connected = false;
}

void Ledger::answer_received(std::uint64_t session, Answer answer, const std::string &description,
                             int cause) {
  Session *record = find(session);
  if (!record) return violate(Rule::lost, 0, "an answer under an id that no client used");
  add_note(session, format_text("client has its answer: %s, cause %d",
                                answer == Answer::active    ? "active"
                                : answer == Answer::refused ? "refused"
                                                            : "failed",
                                cause));
  if (record->answer != Answer::none) return violate(Rule::lost, session, "a second answer");
  record->answer = answer;
  record->answered_at = now();
  ++(answer == Answer::active    ? counts_.active
     : answer == Answer::refused ? counts_.refused
                                 : counts_.failed);
  if (record->gave_up_at >= 0) return;
  if (record->written_at >= 0 && now() - record->written_at > record->time_limit + kAnswerGrace + kSlack)
    violate(Rule::lost, session,
            format_text("answered %.3f s after it asked, its time was %.3f s", now() - record->written_at,
                        record->time_limit));
  if (answer == Answer::active &&
      std::ranges::find(record->descriptions, description) == record->descriptions.end())
    violate(Rule::lost, session, "answered with a description that no server gave for it");
  const ServiceClass &service_class =
      scenario_.deployment.classes[static_cast<std::size_t>(record->service_class)];
  bool ran =
      std::ranges::any_of(record->attempts, [](const Attempt &attempt) { return attempt.may_have_run; });
  if (answer == Answer::refused && ran && !service_class.safe_to_repeat())
    violate(Rule::unsafe_repeat, session, "refused as harmless to repeat, though an attempt may have run");
}

void Ledger::end_reported(std::uint64_t session, int cause) {
  Session *record = find(session);
  if (!record) return;
  add_note(session, format_text("client is told that its session is over, cause %d", cause));
  if (record->end_reported_at < 0) {
    counts_.handed_over_ended_early +=
        record->handed_over_at >= 0 && record->ended_at < 0 && record->client_ended_at < 0;
    record->end_reported_at = now();
    ++counts_.ends_reported;
  }
}

void Ledger::client_ended_session(std::uint64_t session) {
  if (Session *record = find(session)) record->client_ended_at = now();
  add_note(session, "client ends its session");
}

void Ledger::session_handed_over(std::uint64_t session) {
  Session *record = find(session);
  if (!record) return;
  ++counts_.handed_over;
  record->handed_over_at = now();
  record->generation = process_of(record->front).generation;
  record->server_release_at = -1;
  record->client_connected = true;
  add_note(session, "handed over to the front end that came back");
}

// ---- Events that servers observe.

void Ledger::attempt_arrived(std::uint64_t session, int server, int rung, int front,
                             double connection_since) {
  ++counts_.attempts;
  Session *record = find(session);
  if (!record) return violate(Rule::lost, 0, "a set-up that no client sent");
  add_note(session, format_text("server %d has a set-up from front end %d, rung %d", server, front, rung));
  // A set-up of a process that has ended was still in transit and is not judged.
  if (record->generation != process_of(front).generation) return;
  for (std::size_t a = 0; a < record->attempts.size(); ++a) {
    if (record->attempts[a].ended < 0) duplicate_checks_.push_back({now() + kSlack, session, a});
  }
  if (!record->attempts.empty()) {
    check_retry(session, *record);
    check_budget(session, front);
  }
  check_after_giving_up(session, *record, connection_since);
  check_drain(session, server, front);
  check_cold(session, server, front);
  const ServiceClass &service_class =
      scenario_.deployment.classes[static_cast<std::size_t>(record->service_class)];
  if (rung < service_class.floor || rung > record->top_rung)
    violate(Rule::floor, session, format_text("rung %d is not allowed", rung));
  check_seats(session, *record);
  record->attempts.push_back({server, now(), -1, true});
}

void Ledger::attempt_ended(std::uint64_t session, int server, bool never_ran, const char *how) {
  Session *record = find(session);
  if (!record) return;
  // Breaks the rule on purpose: the record of the end is withheld.
  if (breaks_on_purpose(scenario_, Rule::duplicate) && std::string_view(how) == "given up") return;
  add_note(session, format_text("server %d: the set-up ends (%s)", server, how));
  for (Attempt &attempt : record->attempts) {
    if (attempt.server == server && attempt.ended < 0) {
      attempt.ended = now();
      attempt.may_have_run = !never_ran;
    }
  }
}

void Ledger::session_active(std::uint64_t session, int server, std::uint32_t id,
                            const std::string &description) {
  Session *record = find(session);
  if (!record) return;
  record->server = server;
  record->server_id = id;
  record->active_at = now();
  record->ended_at = -1;
  record->descriptions.push_back(description);
}

void Ledger::session_ended(std::uint64_t session, int server, const char *how) {
  Session *record = find(session);
  if (!record || record->server != server || record->ended_at >= 0) return;
  record->ended_at = now();
  add_note(session, format_text("server %d: the session is over (%s)", server, how));
}

// A server whose attempt was given up may hold the session too and release it. Such a release says nothing
// about the active session and is ignored.
void Ledger::server_release_written(std::uint64_t session, int server) {
  Session *record = find(session);
  if (!record || record->server != server) return;
  if (record->server_release_at < 0) record->server_release_at = now();
  add_note(session, "server has written its release");
}

void Ledger::front_release_received(std::uint64_t session, int server) {
  Session *record = find(session);
  if (!record) return;
  add_note(session, format_text("server %d has the front end's release", server));
  if (record->server == server) {
    record->released_by_front = true;
    record->ended_at = record->ended_at < 0 ? now() : record->ended_at;
  }
}

// ---- Events of discovery.

void Ledger::server_started(int server, int first_change, bool cold) {
  if (static_cast<std::size_t>(server) >= servers_.size())
    servers_.resize(static_cast<std::size_t>(server) + 1);
  Server &record = servers_[static_cast<std::size_t>(server)];
  record = {};
  record.cold_since = cold ? now() : -1;
  record.start_change = first_change;
}

void Ledger::server_replaced(int server) {
  Server &record = servers_[static_cast<std::size_t>(server)];
  record = {};
  record.cold_since = now();
}

void Ledger::replacement_told(int server, int change) {
  servers_[static_cast<std::size_t>(server)].start_change = change;
}

void Ledger::replaced_server_told(int server, int change) {
  servers_[static_cast<std::size_t>(server)].predecessor_gone_change = change;
}

void Ledger::server_leaving(int server, int change) {
  Server &record = servers_[static_cast<std::size_t>(server)];
  if (record.leave_change == 0) record.leave_change = change;
}

void Ledger::server_reactivated(int server) { servers_[static_cast<std::size_t>(server)].leave_change = 0; }

void Ledger::list_change_made(int change) {
  change_made_at_.resize(static_cast<std::size_t>(change) + 1, now());
  change_made_at_.back() = now();
}

void Ledger::list_change_delivered(int front, int change) {
  std::vector<double> &delivered = process_of(front).change_delivered_at;
  if (delivered.size() <= static_cast<std::size_t>(change))
    delivered.resize(static_cast<std::size_t>(change) + 1, -1);
  for (std::size_t c = delivered.size(); c-- > 0 && delivered[c] < 0;) delivered[c] = now();
}

void Ledger::discovery_reachable(int front, bool reachable) {
  process_of(front).discovery_reachable_since = reachable ? now() : INFINITY;
}

void Ledger::discovery_silent(int front, bool silent) {
  process_of(front).discovery_silent_since = silent ? now() : -1;
}

// Returns the time from which the front end counts as knowing the change: when the change was written to it,
// or, where discovery failed, the time by which it has to have connected anew, whichever is earlier.
double Ledger::change_known_at(int front, int change) const {
  const Process &record = processes_[static_cast<std::size_t>(front)];
  if (change == 0) return INFINITY;
  double written =
      was_delivered(front, change) ? record.change_delivered_at[static_cast<std::size_t>(change)] : -1;
  double from = std::max(change_made_at_[static_cast<std::size_t>(change)], record.started_at);
  double bound = std::max(from, record.discovery_reachable_since) + kKnownAfterNewConnection;
  if (record.discovery_silent_since >= 0 && record.discovery_reachable_since <= from)
    bound = std::min(bound, std::max(from, record.discovery_silent_since) + kKnownAfterSilence);
  return written >= 0 ? std::min(written, bound) : bound;
}

bool Ledger::was_delivered(int front, int change) const {
  const std::vector<double> &delivered = processes_[static_cast<std::size_t>(front)].change_delivered_at;
  return change > 0 && static_cast<std::size_t>(change) < delivered.size() &&
         delivered[static_cast<std::size_t>(change)] >= 0;
}

// ---- Checks of one attempt.

void Ledger::check_retry(std::uint64_t session, const Session &record) {
  const ServiceClass &service_class =
      scenario_.deployment.classes[static_cast<std::size_t>(record.service_class)];
  bool ran =
      std::ranges::any_of(record.attempts, [](const Attempt &attempt) { return attempt.may_have_run; });
  if (ran && !service_class.safe_to_repeat())
    violate(Rule::unsafe_repeat, session, "sent again though an attempt may have run");
  if (static_cast<int>(record.attempts.size()) >= scenario_.deployment.max_attempts)
    violate(Rule::budget, session, "more attempts than one request may have");
}

void Ledger::check_budget(std::uint64_t session, int front) {
  const Deployment &d = scenario_.deployment;
  Process &record = process_of(front);
  double time = now();
  record.retry_times.push_back(time);
  while (!record.retry_times.empty() && record.retry_times.front() <= time - d.retry_window + 2 * kSlack)
    record.retry_times.pop_front();
  while (!record.request_times.empty() && record.request_times.front() < time - d.retry_window - 2 * kSlack)
    record.request_times.pop_front();
  double allowed = d.retry_allowance + d.retry_ratio * static_cast<double>(record.request_times.size());
  if (static_cast<double>(record.retry_times.size()) > allowed)
    violate(Rule::budget, session,
            format_text("%zu retries within the span, %.1f are allowed", record.retry_times.size(), allowed));
}

void Ledger::check_after_giving_up(std::uint64_t session, const Session &record, double connection_since) {
  if (record.gave_up_at < 0) return;
  double after = now() - record.gave_up_at;
  // Whether the attempt had to wait for a new connection.
  bool waited = connection_since > record.gave_up_at;
  if (after <= kGaveUpGrace + kSlack) return;
  ++counts_.attempts_after_giving_up;
  if (!waited || after > kGaveUpGraceNewConnection + kSlack)
    violate(Rule::gone, session,
            format_text("an attempt %.3f s after its client left%s", after, waited ? ", it waited" : ""));
}

void Ledger::check_drain(std::uint64_t session, int server, int front) {
  const Server &record = servers_[static_cast<std::size_t>(server)];
  // Until the front end was told of the server's start, it means the one that had the address before.
  bool means_predecessor = record.predecessor_gone_change > 0 && !was_delivered(front, record.start_change);
  int leave_change = means_predecessor ? record.predecessor_gone_change : record.leave_change;
  if (leave_change == 0) return;
  double known_at = change_known_at(front, leave_change);
  double after = now() - known_at;
  if (after > scenario_.deployment.drain_grace + kSlack)
    violate(Rule::drain, session,
            format_text("set up at server %d %.3f s after front end %d was told that it leaves (change %d)",
                        server, after, front, leave_change));
}

void Ledger::check_cold(std::uint64_t session, int server, int front) {
  const Deployment &d = scenario_.deployment;
  Server &record = servers_[static_cast<std::size_t>(server)];
  double time = now();
  if (record.cold_since < 0 || time - record.cold_since > d.warm_up_time) return;
  record.arrivals.emplace_back(time, change_known_at(front, record.start_change) <= time);
  while (record.arrivals.front().first <= time - d.overload_window) record.arrivals.pop_front();
  double share =
      d.cold_capacity_share + (1 - d.cold_capacity_share) * (time - record.cold_since) / d.warm_up_time;
  double expected = d.overload_multiple * share * d.overload_window * d.slots_per_server / d.warm_up_time;
  double tolerated = expected + 2 * std::sqrt(expected) + 2;
  double arrived = static_cast<double>(record.arrivals.size());
  if (record.overload_judged || arrived <= tolerated) return;
  record.overload_judged = true;
  auto informed = std::ranges::count_if(record.arrivals, [](const auto &arrival) { return arrival.second; });
  if (static_cast<double>(informed) > kInformedShare * arrived)
    violate(
        Rule::cold, session,
        format_text("server %d falls under %.0f set-ups, %.1f are borne, %ld from front ends that were told",
                    server, arrived, tolerated, static_cast<long>(informed)));
}

void Ledger::check_seats(std::uint64_t session, const Session &record) {
  int seats = breaks_on_purpose(scenario_, Rule::seats)
                  ? 1
                  : scenario_.deployment.classes[static_cast<std::size_t>(record.service_class)].seats;
  if (seats <= 0) return;
  int used = 0;
  for (const auto &[id, other] : sessions_) {
    if (id == session || other.front != record.front || other.generation != record.generation ||
        other.title != record.title || other.service_class != record.service_class)
      continue;
    bool open = !other.attempts.empty() && other.attempts.back().ended < 0 && other.gave_up_at < 0;
    bool active = other.answer == Answer::active && other.ended_at < 0 && other.client_ended_at < 0 &&
                  other.end_reported_at < 0;
    used += open || active;
  }
  if (used >= seats)
    violate(Rule::seats, session, format_text("%d sessions of the title already, %d seats", used, seats));
}

void Ledger::run_due_checks(double time) {
  while (!duplicate_checks_.empty() && duplicate_checks_.front().due <= time) {
    DuplicateCheck check = duplicate_checks_.front();
    duplicate_checks_.pop_front();
    Session *record = find(check.session);
    const Attempt &attempt = record->attempts[check.attempt];
    bool in_time = attempt.ended >= 0 && attempt.ended <= check.due;
    if (!in_time)
      violate(Rule::duplicate, check.session,
              format_text("another attempt while the one at server %d was open", attempt.server));
  }
}

int Ledger::server_of(std::uint64_t session) const {
  auto it = sessions_.find(session);
  return it == sessions_.end() ? -1 : it->second.server;
}

std::uint32_t Ledger::server_id_of(std::uint64_t session) const {
  auto it = sessions_.find(session);
  return it == sessions_.end() ? 0 : it->second.server_id;
}

// ---- Events of front-end processes.

void Ledger::front_started(int front) {
  Process &record = process_of(front);
  ++record.generation;
  record.running = true;
  record.started_at = now();
  record.ready_at = record.sigterm_at = record.exited_at = -1;
  record.change_delivered_at.assign(change_made_at_.size(), now());
  record.request_times.clear(), record.retry_times.clear();
  if (record.generation > 1) ++counts_.restarts;
}

void Ledger::front_ready(int front) {
  Process &record = process_of(front);
  if (record.ready_at >= 0) return;
  record.ready_at = now();
  if (record.generation > 1 && now() - record.started_at > kRestartReadyTime) ++counts_.late_restarts;
}

void Ledger::front_sigterm_sent(int front) { process_of(front).sigterm_at = now(); }

void Ledger::front_killed(int front) {
  Process &record = process_of(front);
  record.running = false;
  record.exited_at = now();
  for (auto &[id, session] : sessions_) {
    if (session.front != front || session.generation != record.generation) continue;
    waive_answer(id, "its front end was killed");
  }
}

void Ledger::front_exited(int front, bool planned, bool killed_late, int status) {
  Process &record = process_of(front);
  record.running = false;
  record.exited_at = now();
  if (killed_late)
    violate(Rule::owed_at_exit, 0, format_text("front end %d was still there at the earliest kill", front));
  bool clean = killed_late || (planned && WIFEXITED(status) && WEXITSTATUS(status) == 0);
  if (!clean)
    violate(Rule::crash, 0,
            format_text("front end %d ended %s, status %d", front, planned ? "after SIGTERM" : "by itself",
                        status));
}

void Ledger::check_usage(int front, double resident_mb, int descriptors) {
  const Deployment &d = scenario_.deployment;
  if (breaks_on_purpose(scenario_, Rule::limit)) descriptors += d.sockets;
  if (resident_mb > d.memory_mb)
    violate(Rule::limit, 0, format_text("front end %d holds %.1f MB", front, resident_mb));
  if (descriptors > d.sockets)
    violate(Rule::limit, 0, format_text("front end %d holds %d descriptors", front, descriptors));
}

void Ledger::guard_denial_logged(int front, const std::string &line) {
  violate(Rule::denied, 0, format_text("front end %d: ", front) + line);
}

// ---- Checks at the end of the run.

void Ledger::judge_answer(std::uint64_t session, Session &record) {
  if (record.answer != Answer::none || record.gave_up_at >= 0 || record.answer_waived ||
      record.written_at < 0)
    return;
  if (now() - record.written_at > record.time_limit + kAnswerGrace + kSlack)
    violate(Rule::lost, session, "no answer at all");
}

// The end of an active session has to be passed on to its client, and a release by the client to the server.
void Ledger::judge_release(std::uint64_t session, Session &record) {
  if (record.answer != Answer::active || record.gave_up_at >= 0) return;
  const Process &front = process_of(record.front);
  // The session was not handed over after a restart.
  if (record.generation != front.generation || !front.running) return;
  bool client_informed = record.client_ended_at >= 0 || record.end_reported_at >= 0;
  double handed_over = record.handed_over_at >= 0 ? record.handed_over_at + kHandOverDelay : -1;
  if (record.ended_at >= 0 && record.client_ended_at < 0 && !record.released_by_front) {
    double due = std::max(record.ended_at, handed_over) + kUnannouncedEndTime + kSlack;
    if (record.server_release_at >= 0 && record.client_connected)
      due = std::min(due, std::max(record.server_release_at, handed_over) + kReleaseForwardingTime + kSlack);
    double reported = record.end_reported_at >= 0 ? record.end_reported_at : now();
    if (reported > due)
      violate(Rule::release, session,
              format_text("its end came %.2f s late to its client%s", reported - due,
                          record.end_reported_at < 0 ? ", or never" : ""));
  }
  if (record.ended_at < 0 && record.client_ended_at >= 0 && client_informed &&
      now() > std::max(record.client_ended_at, handed_over) + kUnannouncedEndTime + kSlack)
    violate(Rule::release, session,
            format_text("its client ended it, server %d still holds it", record.server));
}

void Ledger::finish() {
  if (finished_) return;
  finished_ = true;
  run_due_checks(now() + 1);
  for (auto &[id, record] : sessions_) {
    judge_answer(id, record);
    judge_release(id, record);
  }
  if (static_cast<double>(counts_.attempts_after_giving_up) >
      kMaxLateAttemptShare * static_cast<double>(counts_.given_up))
    violate(Rule::gone, 0,
            format_text("%llu attempts began late after %llu clients had left",
                        static_cast<unsigned long long>(counts_.attempts_after_giving_up),
                        static_cast<unsigned long long>(counts_.given_up)));
  for (const Process &record : processes_) {
    if (record.running && record.ready_at < 0 && record.generation > 1 &&
        now() - record.started_at > kRestartReadyTime)
      ++counts_.late_restarts;
  }
  if (static_cast<double>(counts_.late_restarts) >
      kMaxLateRestartShare * static_cast<double>(std::max<std::uint64_t>(counts_.restarts, 1)))
    violate(Rule::ready, 0,
            format_text("%llu of %llu restarts were ready late",
                        static_cast<unsigned long long>(counts_.late_restarts),
                        static_cast<unsigned long long>(counts_.restarts)));
}

std::string Ledger::timeline(std::uint64_t session) const {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return "";
  std::string out = format_text("  session %016llx:\n", static_cast<unsigned long long>(session));
  for (const Note &note : it->second.notes)
    out += format_text("    %9.4f  ", note.time - start_time_) + note.text + "\n";
  return out;
}

std::string Ledger::summary() const {
  return format_text(
      "%llu asked: %llu active, %llu refused, %llu failed, %llu left, %llu not owed; %llu attempts, %llu "
      "ends told, "
      "%llu handed over (%llu ended early), %llu restarts",
      static_cast<unsigned long long>(counts_.requests), static_cast<unsigned long long>(counts_.active),
      static_cast<unsigned long long>(counts_.refused), static_cast<unsigned long long>(counts_.failed),
      static_cast<unsigned long long>(counts_.given_up), static_cast<unsigned long long>(counts_.waived),
      static_cast<unsigned long long>(counts_.attempts),
      static_cast<unsigned long long>(counts_.ends_reported),
      static_cast<unsigned long long>(counts_.handed_over),
      static_cast<unsigned long long>(counts_.handed_over_ended_early),
      static_cast<unsigned long long>(counts_.restarts));
}

} // namespace snowshore::soak
