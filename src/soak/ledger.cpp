#include "soak/ledger.h"
#include "soak/wire.h"

#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace snowshore::soak {

namespace {

// Figures of the platform's pages, in seconds unless said otherwise.
constexpr double kSlack = 0.05;         // every time limit is so much longer
constexpr double kLateAnswer = 0.5;     // an answer so late only earns nothing
constexpr double kReleaseWithin = 1;    // after the server's release
constexpr double kEndWithin = 8;        // after the end of a session whose release could not be sent
constexpr double kHandOverCounts = 0.2; // what is handed over counts so much later
constexpr double kGone = 0.1;           // an attempt begins at most so long after its client left
constexpr double kGoneWaited = 0.3;     // likewise, of one that waited
constexpr double kGoneShare = 0.25;     // of those who left: at most so many of the latter kind
constexpr double kReadyWithin = 10;
constexpr double kReadyShare = 0.1;     // of restarts: at most so many are ready later
constexpr double kToldByNewCall = 6;    // after a failed, refused or given-up call to discovery
constexpr double kToldAfterSilence = 4; // after open calls fell silent
constexpr double kToldShare = 2.0 / 3;  // a fall counts where more of its arrivals came from the told

constexpr const char *kRuleNames[] = {"lost",  "duplicate", "unsafe_repeat", "drain", "cold",
                                      "floor", "seats",     "budget",        "gone",  "release",
                                      "ready", "crash",     "owed_at_exit",  "limit", "denied"};
static_assert(std::size(kRuleNames) == kRules);

std::string text_of(const char *format, auto... values) {
  char line[300];
  std::snprintf(line, sizeof line, format, values...);
  return line;
}

} // namespace

bool breaks(const Scenario &scenario, Rule rule) { return scenario.breaks == name_of(rule); }

const char *name_of(Rule rule) { return kRuleNames[static_cast<int>(rule)]; }

Ledger::Ledger(const Scenario &scenario, double start)
    : scenario_(scenario), start_(start),
      processes_(static_cast<std::size_t>(scenario.deployment.front_ends)), made_(1, start) {}

Ledger::Session *Ledger::find(std::uint64_t session) {
  auto it = sessions_.find(session);
  return it == sessions_.end() ? nullptr : &it->second;
}

Ledger::Process &Ledger::process(int front) { return processes_[static_cast<std::size_t>(front)]; }

void Ledger::note(std::uint64_t session, std::string text) {
  if (Session *its = find(session)) its->notes.push_back({now(), std::move(text)});
}

void Ledger::violate(Rule rule, std::uint64_t session, std::string what) {
  violations_.push_back({rule, now() - start_, session, what});
  note(session, "VIOLATION " + std::string(name_of(rule)) + ": " + what);
}

// ---- Clients.

void Ledger::asked(std::uint64_t session, int front, int service_class, std::uint64_t title, double time,
                   int top) {
  ++counts_.asked;
  Session &its = sessions_[session];
  its.front = front, its.life = process(front).life, its.service_class = service_class, its.title = title;
  its.time = time, its.top = breaks(scenario_, Rule::floor) ? 0 : top;
  process(front).asks.push_back(now());
  note(session, text_of("client asks front end %d, class %s, %.0f ms", front,
                        scenario_.deployment.classes[static_cast<std::size_t>(service_class)].name.c_str(),
                        time * 1e3));
}

void Ledger::request_written(std::uint64_t session) {
  Session *its = find(session);
  if (!its) return;
  its->written_at = now();
  note(session, "request written");
}

void Ledger::client_left(std::uint64_t session, const char *how) {
  Session *its = find(session);
  if (!its || its->answer != Answer::none) return;
  ++counts_.left;
  its->left_at = now();
  note(session, text_of("client gives up (%s)", how));
}

bool Ledger::waits(std::uint64_t session) const {
  auto it = sessions_.find(session);
  return it != sessions_.end() && it->second.answer == Answer::none && it->second.left_at < 0 &&
         !it->second.excused;
}

void Ledger::excuse(std::uint64_t session, const char *why) {
  Session *its = find(session);
  if (!its || its->answer != Answer::none || its->excused) return;
  ++counts_.excused;
  its->excused = true;
  note(session, text_of("not owed an answer any more: %s", why));
}

void Ledger::connection_ended_under(std::uint64_t session) {
  if (!waits(session)) return;
  violate(Rule::lost, session, "its connection ended with no answer");
  find(session)->excused = true; // said once
}

void Ledger::client_connection_closed(std::uint64_t session) {
  if (Session *its = find(session)) its->client_connected = false;
}

void Ledger::answered(std::uint64_t session, Answer answer, const std::string &description, int cause) {
  Session *its = find(session);
  if (!its) return violate(Rule::lost, 0, "an answer under an id that no client used");
  note(session, text_of("client has its answer: %s, cause %d",
                        answer == Answer::active    ? "active"
                        : answer == Answer::refused ? "refused"
                                                    : "failed",
                        cause));
  if (its->answer != Answer::none) return violate(Rule::lost, session, "a second answer");
  its->answer = answer;
  its->answered_at = now();
  ++(answer == Answer::active    ? counts_.active
     : answer == Answer::refused ? counts_.refused
                                 : counts_.failed);
  if (its->left_at >= 0) return;
  if (its->written_at >= 0 && now() - its->written_at > its->time + kLateAnswer + kSlack)
    violate(
        Rule::lost, session,
        text_of("answered %.3f s after it asked, its time was %.3f s", now() - its->written_at, its->time));
  if (answer == Answer::active &&
      std::ranges::find(its->descriptions, description) == its->descriptions.end())
    violate(Rule::lost, session, "answered with a description that no server gave for it");
  const ServiceClass &terms = scenario_.deployment.classes[static_cast<std::size_t>(its->service_class)];
  bool ran = std::ranges::any_of(its->attempts, [](const Attempt &one) { return one.may_have_run; });
  if (answer == Answer::refused && ran && !terms.may_repeat())
    violate(Rule::unsafe_repeat, session, "refused as harmless to repeat, though an attempt may have run");
}

void Ledger::told_over(std::uint64_t session, int cause) {
  Session *its = find(session);
  if (!its) return;
  note(session, text_of("client is told that its session is over, cause %d", cause));
  if (its->told_over_at < 0) its->told_over_at = now(), ++counts_.over;
}

void Ledger::client_ends(std::uint64_t session) {
  if (Session *its = find(session)) its->client_ends_at = now();
  note(session, "client ends its session");
}

void Ledger::handed_over(std::uint64_t session) {
  Session *its = find(session);
  if (!its) return;
  ++counts_.handed_over;
  its->handed_at = now(), its->life = process(its->front).life, its->release_at = -1,
  its->client_connected = true;
  note(session, "handed over to the front end that came back");
}

// ---- Servers.

void Ledger::attempt_arrived(std::uint64_t session, int server, int rung, int front,
                             double connection_since) {
  ++counts_.attempts;
  Session *its = find(session);
  if (!its) return violate(Rule::lost, 0, "a set-up that no client sent");
  note(session, text_of("server %d has a set-up from front end %d, rung %d", server, front, rung));
  if (its->life != process(front).life) return; // of a life that has ended: it was on its way
  for (std::size_t a = 0; a < its->attempts.size(); ++a) {
    if (its->attempts[a].ended < 0) checks_.push_back({now() + kSlack, session, a});
  }
  if (!its->attempts.empty()) {
    check_repeat(session, *its);
    check_budget(session, front);
  }
  check_after_leaving(session, *its, connection_since);
  check_drain(session, server, front);
  check_cold(session, server, front);
  const ServiceClass &terms = scenario_.deployment.classes[static_cast<std::size_t>(its->service_class)];
  if (rung < terms.floor || rung > its->top)
    violate(Rule::floor, session, text_of("rung %d is not allowed", rung));
  check_seats(session, *its);
  its->attempts.push_back({server, now(), -1, true});
}

void Ledger::attempt_ended(std::uint64_t session, int server, bool never_ran, const char *how) {
  Session *its = find(session);
  if (!its) return;
  if (breaks(scenario_, Rule::duplicate) && std::string_view(how) == "given up") return; // as if never told
  note(session, text_of("server %d: the set-up ends (%s)", server, how));
  for (Attempt &one : its->attempts) {
    if (one.server == server && one.ended < 0) one.ended = now(), one.may_have_run = !never_ran;
  }
}

void Ledger::session_active(std::uint64_t session, int server, std::uint32_t id,
                            const std::string &description) {
  Session *its = find(session);
  if (!its) return;
  its->server = server, its->server_id = id, its->active_at = now(), its->over_at = -1;
  its->descriptions.push_back(description);
}

void Ledger::session_over(std::uint64_t session, int server, const char *how) {
  Session *its = find(session);
  if (!its || its->server != server || its->over_at >= 0) return;
  its->over_at = now();
  note(session, text_of("server %d: the session is over (%s)", server, how));
}

// A server whose answer was given up may hold the session as well, and releases it: that says nothing of the
// active one.
void Ledger::release_written(std::uint64_t session, int server) {
  Session *its = find(session);
  if (!its || its->server != server) return;
  if (its->release_at < 0) its->release_at = now();
  note(session, "server has written its release");
}

void Ledger::front_released(std::uint64_t session, int server) {
  Session *its = find(session);
  if (!its) return;
  note(session, text_of("server %d has the front end's release", server));
  if (its->server == server)
    its->released_by_front = true, its->over_at = its->over_at < 0 ? now() : its->over_at;
}

// ---- Discovery.

void Ledger::server_started(int server, int first_change, bool cold) {
  if (static_cast<std::size_t>(server) >= servers_.size())
    servers_.resize(static_cast<std::size_t>(server) + 1);
  Server &its = servers_[static_cast<std::size_t>(server)];
  its = {};
  its.boot = cold ? now() : -1;
  its.start_change = first_change;
}

void Ledger::server_leaves(int server, int change) {
  Server &its = servers_[static_cast<std::size_t>(server)];
  if (its.leaves_change == 0) its.leaves_change = change;
}

void Ledger::server_returns(int server) { servers_[static_cast<std::size_t>(server)].leaves_change = 0; }

void Ledger::change_made(int change) {
  made_.resize(static_cast<std::size_t>(change) + 1, now());
  made_.back() = now();
}

void Ledger::change_told(int front, int change) {
  std::vector<double> &told = process(front).told;
  if (told.size() <= static_cast<std::size_t>(change)) told.resize(static_cast<std::size_t>(change) + 1, -1);
  for (std::size_t c = told.size(); c-- > 0 && told[c] < 0;) told[c] = now();
}

void Ledger::discovery_reachable(int front, bool reachable) {
  process(front).reachable_from = reachable ? now() : INFINITY;
}

void Ledger::discovery_silent(int front, bool silent) { process(front).silent_from = silent ? now() : -1; }

// When a change counts as told: once it was written to the front end, or by the bound for calls that fail.
double Ledger::told_at(int front, int change) const {
  const Process &its = processes_[static_cast<std::size_t>(front)];
  double written =
      static_cast<std::size_t>(change) < its.told.size() ? its.told[static_cast<std::size_t>(change)] : -1;
  double from = std::max(made_[static_cast<std::size_t>(change)], its.started_at);
  double bound = std::max(from, its.reachable_from) + kToldByNewCall;
  if (its.silent_from >= 0 && its.reachable_from <= from)
    bound = std::min(bound, std::max(from, its.silent_from) + kToldAfterSilence);
  return written >= 0 ? std::min(written, bound) : bound;
}

// ---- Checks of one attempt.

void Ledger::check_repeat(std::uint64_t session, const Session &its) {
  const ServiceClass &terms = scenario_.deployment.classes[static_cast<std::size_t>(its.service_class)];
  bool ran = std::ranges::any_of(its.attempts, [](const Attempt &one) { return one.may_have_run; });
  if (ran && !terms.may_repeat())
    violate(Rule::unsafe_repeat, session, "sent again though an attempt may have run");
  if (static_cast<int>(its.attempts.size()) >= scenario_.deployment.attempts)
    violate(Rule::budget, session, "more attempts than one request may have");
}

void Ledger::check_budget(std::uint64_t session, int front) {
  const Deployment &d = scenario_.deployment;
  Process &its = process(front);
  double at = now();
  its.repeats.push_back(at);
  while (!its.repeats.empty() && its.repeats.front() <= at - d.retry_span + 2 * kSlack)
    its.repeats.pop_front();
  while (!its.asks.empty() && its.asks.front() < at - d.retry_span - 2 * kSlack) its.asks.pop_front();
  double allowed = d.retry_free + d.retry_share * static_cast<double>(its.asks.size());
  if (static_cast<double>(its.repeats.size()) > allowed)
    violate(Rule::budget, session,
            text_of("%zu retries within the span, %.1f are allowed", its.repeats.size(), allowed));
}

void Ledger::check_after_leaving(std::uint64_t session, const Session &its, double connection_since) {
  if (its.left_at < 0) return;
  double after = now() - its.left_at;
  bool waited = connection_since > its.left_at; // for a connection to come up
  if (after <= kGone + kSlack) return;
  ++counts_.begun_after_leaving;
  if (!waited || after > kGoneWaited + kSlack)
    violate(Rule::gone, session,
            text_of("an attempt %.3f s after its client left%s", after, waited ? ", it waited" : ""));
}

void Ledger::check_drain(std::uint64_t session, int server, int front) {
  const Server &its = servers_[static_cast<std::size_t>(server)];
  if (its.leaves_change == 0) return;
  double told = told_at(front, its.leaves_change);
  double after = now() - told;
  if (after > scenario_.deployment.drain_grace + kSlack)
    violate(Rule::drain, session,
            text_of("set up at server %d %.3f s after front end %d was told that it leaves (change %d)",
                    server, after, front, its.leaves_change));
}

void Ledger::check_cold(std::uint64_t session, int server, int front) {
  const Deployment &d = scenario_.deployment;
  Server &its = servers_[static_cast<std::size_t>(server)];
  double at = now();
  if (its.boot < 0 || at - its.boot > d.warm_up) return;
  its.arrivals.emplace_back(at, told_at(front, its.start_change) <= at);
  while (its.arrivals.front().first <= at - d.fall_span) its.arrivals.pop_front();
  double share = d.cold_share + (1 - d.cold_share) * (at - its.boot) / d.warm_up;
  double budget = d.fall_multiple * share * d.fall_span * d.places / d.warm_up;
  double bears = budget + 2 * std::sqrt(budget) + 2;
  double arrived = static_cast<double>(its.arrivals.size());
  if (its.fallen || arrived <= bears) return;
  its.fallen = true;
  auto told = std::ranges::count_if(its.arrivals, [](const auto &one) { return one.second; });
  if (static_cast<double>(told) > kToldShare * arrived)
    violate(Rule::cold, session,
            text_of("server %d falls under %.0f set-ups, %.1f are borne, %ld from front ends that were told",
                    server, arrived, bears, static_cast<long>(told)));
}

void Ledger::check_seats(std::uint64_t session, const Session &its) {
  int seats = breaks(scenario_, Rule::seats)
                  ? 1
                  : scenario_.deployment.classes[static_cast<std::size_t>(its.service_class)].seats;
  if (seats <= 0) return;
  int used = 0;
  for (const auto &[id, other] : sessions_) {
    if (id == session || other.front != its.front || other.life != its.life || other.title != its.title ||
        other.service_class != its.service_class)
      continue;
    bool out = !other.attempts.empty() && other.attempts.back().ended < 0 && other.left_at < 0;
    bool active = other.answer == Answer::active && other.over_at < 0 && other.client_ends_at < 0 &&
                  other.told_over_at < 0;
    used += out || active;
  }
  if (used >= seats)
    violate(Rule::seats, session, text_of("%d sessions of the title already, %d seats", used, seats));
}

void Ledger::look(double at) {
  while (!checks_.empty() && checks_.front().at <= at) {
    Check check = checks_.front();
    checks_.pop_front();
    Session *its = find(check.session);
    const Attempt &one = its->attempts[check.attempt];
    bool in_time = one.ended >= 0 && one.ended <= check.at;
    if (!in_time)
      violate(Rule::duplicate, check.session,
              text_of("another attempt while the one at server %d was out", one.server));
  }
}

std::uint32_t Ledger::server_id_of(std::uint64_t session) const {
  auto it = sessions_.find(session);
  return it == sessions_.end() ? 0 : it->second.server_id;
}

// ---- Processes.

void Ledger::front_started(int front) {
  Process &its = process(front);
  ++its.life;
  its.alive = true;
  its.started_at = now(), its.ready_at = its.term_at = its.died_at = -1;
  its.told.assign(made_.size(), now());
  its.asks.clear(), its.repeats.clear();
  if (its.life > 1) ++counts_.restarts;
}

void Ledger::front_ready(int front) {
  Process &its = process(front);
  if (its.ready_at >= 0) return;
  its.ready_at = now();
  if (its.life > 1 && now() - its.started_at > kReadyWithin) ++counts_.ready_late;
}

void Ledger::front_terminates(int front) { process(front).term_at = now(); }

void Ledger::front_killed(int front) {
  Process &its = process(front);
  its.alive = false, its.died_at = now();
  for (auto &[id, session] : sessions_) {
    if (session.front != front || session.life != its.life) continue;
    excuse(id, "its front end was killed");
  }
}

void Ledger::front_gone(int front, bool planned, bool killed_late, int status) {
  Process &its = process(front);
  its.alive = false, its.died_at = now();
  if (killed_late)
    violate(Rule::owed_at_exit, 0, text_of("front end %d was still there at the earliest kill", front));
  bool clean = killed_late || (planned && WIFEXITED(status) && WEXITSTATUS(status) == 0);
  if (!clean)
    violate(
        Rule::crash, 0,
        text_of("front end %d ended %s, status %d", front, planned ? "after SIGTERM" : "by itself", status));
}

void Ledger::front_uses(int front, double resident_mb, int descriptors) {
  const Deployment &d = scenario_.deployment;
  if (breaks(scenario_, Rule::limit)) descriptors += d.sockets;
  if (resident_mb > d.memory_mb)
    violate(Rule::limit, 0, text_of("front end %d holds %.1f MB", front, resident_mb));
  if (descriptors > d.sockets)
    violate(Rule::limit, 0, text_of("front end %d holds %d descriptors", front, descriptors));
}

void Ledger::front_denied(int front, const std::string &line) {
  violate(Rule::denied, 0, text_of("front end %d: ", front) + line);
}

// ---- The end of the run.

void Ledger::judge_answer(std::uint64_t session, Session &its) {
  if (its.answer != Answer::none || its.left_at >= 0 || its.excused || its.written_at < 0) return;
  if (now() - its.written_at > its.time + kLateAnswer + kSlack)
    violate(Rule::lost, session, "no answer at all");
}

// An active session that came to its end has to be released towards its client, and one that its client ended
// towards its server.
void Ledger::judge_release(std::uint64_t session, Session &its) {
  if (its.answer != Answer::active || its.left_at >= 0) return;
  const Process &front = process(its.front);
  if (its.life != front.life || !front.alive) return; // never handed over again
  bool client_done = its.client_ends_at >= 0 || its.told_over_at >= 0;
  double handed = its.handed_at >= 0 ? its.handed_at + kHandOverCounts : -1;
  if (its.over_at >= 0 && its.client_ends_at < 0 && !its.released_by_front) {
    double due = std::max(its.over_at, handed) + kEndWithin + kSlack;
    if (its.release_at >= 0 && its.client_connected)
      due = std::min(due, std::max(its.release_at, handed) + kReleaseWithin + kSlack);
    double told = its.told_over_at >= 0 ? its.told_over_at : now();
    if (told > due)
      violate(Rule::release, session,
              text_of("its end came %.2f s late to its client%s", told - due,
                      its.told_over_at < 0 ? ", or never" : ""));
  }
  if (its.over_at < 0 && its.client_ends_at >= 0 && client_done &&
      now() > std::max(its.client_ends_at, handed) + kEndWithin + kSlack)
    violate(Rule::release, session, text_of("its client ended it, server %d still holds it", its.server));
}

void Ledger::close() {
  if (closed_) return;
  closed_ = true;
  look(now() + 1);
  for (auto &[id, its] : sessions_) {
    judge_answer(id, its);
    judge_release(id, its);
  }
  if (static_cast<double>(counts_.begun_after_leaving) > kGoneShare * static_cast<double>(counts_.left))
    violate(Rule::gone, 0,
            text_of("%llu attempts began late after %llu clients had left",
                    static_cast<unsigned long long>(counts_.begun_after_leaving),
                    static_cast<unsigned long long>(counts_.left)));
  for (const Process &its : processes_) {
    if (its.alive && its.ready_at < 0 && its.life > 1 && now() - its.started_at > kReadyWithin)
      ++counts_.ready_late;
  }
  if (static_cast<double>(counts_.ready_late) >
      kReadyShare * static_cast<double>(std::max<std::uint64_t>(counts_.restarts, 1)))
    violate(Rule::ready, 0,
            text_of("%llu of %llu restarts were ready late",
                    static_cast<unsigned long long>(counts_.ready_late),
                    static_cast<unsigned long long>(counts_.restarts)));
}

std::string Ledger::timeline(std::uint64_t session) const {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return "";
  std::string out = text_of("  session %016llx:\n", static_cast<unsigned long long>(session));
  for (const Note &one : it->second.notes) out += text_of("    %9.4f  ", one.at - start_) + one.text + "\n";
  return out;
}

std::string Ledger::summary() const {
  return text_of(
      "%llu asked: %llu active, %llu refused, %llu failed, %llu left, %llu not owed; %llu attempts, %llu "
      "ends told, "
      "%llu handed over, %llu restarts",
      static_cast<unsigned long long>(counts_.asked), static_cast<unsigned long long>(counts_.active),
      static_cast<unsigned long long>(counts_.refused), static_cast<unsigned long long>(counts_.failed),
      static_cast<unsigned long long>(counts_.left), static_cast<unsigned long long>(counts_.excused),
      static_cast<unsigned long long>(counts_.attempts), static_cast<unsigned long long>(counts_.over),
      static_cast<unsigned long long>(counts_.handed_over),
      static_cast<unsigned long long>(counts_.restarts));
}

} // namespace snowshore::soak
