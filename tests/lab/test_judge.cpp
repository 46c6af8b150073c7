// Tests the judge on traces that are written by hand, and the errors of a day's record. The traces of most
// cases violate exactly one rule: a judge that misses a violation, or finds one that is not there, makes the
// days' results worthless.
#include "lab/judge.h"

#include <catch2/catch.hpp>

using namespace snowshore::lab;

namespace {

// The traces of a day, to which each case adds events. Without events no rule is violated.
struct DayTrace {
  Day day = read_day({"day.cue", "name: \"judged\""});
  Traces traces;
  DayTrace() { traces.fleet.push_back({{"is", "day_start"}, {"t", 0}}); }
  void add_request(int n, double t, const std::string &product = "clip", const std::string &front = "f0") {
    traces.players.push_back({{"is", "ask"},
                              {"t", t},
                              {"ask", n},
                              {"player", n},
                              {"front", front},
                              {"product", product},
                              {"limit", 3}});
  }
  void add_player_answer(int n, double t, int status, const std::string &play) {
    Json line = {{"is", "answer"}, {"t", t}, {"ask", n}, {"status", status}, {"play", play}};
    if (status == 503) line["retry_after"] = "1";
    traces.players.push_back(line);
  }
  void add_set_up(double t, const std::string &play, const std::string &server, int number = 0,
                  double expires = 0.5, const std::string &product = "clip", int rung = 1,
                  const std::string &front = "f0") {
    traces.servers.push_back({{"is", "set_up"},
                              {"t", t},
                              {"server", server},
                              {"play", play},
                              {"title", "t1"},
                              {"product", product},
                              {"rung", rung},
                              {"number", number},
                              {"front", front},
                              {"boot", "b"},
                              {"expires_in", expires}});
  }
  void add_server_answer(double t, const std::string &play, const std::string &server, int status,
                         int number = 0) {
    traces.servers.push_back({{"is", "answer"},
                              {"t", t},
                              {"server", server},
                              {"play", play},
                              {"number", number},
                              {"status", status}});
  }
  void add_end(double t, const std::string &play, const std::string &server) {
    traces.servers.push_back(
        {{"is", "end"}, {"t", t}, {"server", server}, {"play", play}, {"reason", "done"}});
  }
  // Adds the events of a play that starts and ends without incident.
  void add_play(int n, double t, const std::string &product = "clip", int rung = 1) {
    std::string play = "p" + std::to_string(n);
    add_request(n, t, product);
    add_set_up(t + 0.01, play, "s1", 0, 0.5, product, rung);
    add_server_answer(t + 0.05, play, "s1", 201);
    add_player_answer(n, t + 0.06, 307, play);
    add_end(t + 2, play, "s1");
  }
  void add_fleet_event(const char *is, double t, Json more = {}) {
    more["is"] = is, more["t"] = t, more["front"] = "f0";
    traces.fleet.push_back(more);
  }
};

} // namespace

TEST_CASE("the judge reports the rule that a trace violates, and no other") {
  struct Row {
    const char *what;
    // The rule that is violated; 0: none; 7: players and servers disagree.
    int rule;
    std::function<void(DayTrace &)> write;
  };
  for (const Row &row : std::vector<Row>{
           {"a play without incident", 0, [](DayTrace &trace) { trace.add_play(1, 1); }},
           {"no answer", 1, [](DayTrace &trace) { trace.add_request(1, 1); }},
           {"two answers", 1,
            [](DayTrace &trace) { trace.add_play(1, 1), trace.add_player_answer(1, 1.5, 503, "p1"); }},
           {"a late answer", 1,
            [](DayTrace &trace) { trace.add_request(1, 1), trace.add_player_answer(1, 4.5, 503, "p"); }},
           {"a late answer of a front end that was stopped", 0,
            [](DayTrace &trace) {
              trace.add_fleet_event("front_stall", 2), trace.add_fleet_event("front_go_on", 4.4),
                  trace.add_request(1, 1), trace.add_player_answer(1, 4.5, 503, "p");
            }},
           {"a late answer of a front end that was continued in time", 1,
            [](DayTrace &trace) {
              trace.add_fleet_event("front_stall", 2), trace.add_fleet_event("front_go_on", 3.5),
                  trace.add_request(1, 1), trace.add_player_answer(1, 4.5, 503, "p");
            }},
           {"a connection reset without an answer", 1,
            [](DayTrace &trace) {
              trace.add_request(1, 1);
              trace.traces.players.push_back(
                  {{"is", "no_answer"}, {"t", 1.2}, {"ask", 1}, {"front", "f0"}, {"ending", "reset"}});
            }},
           {"a connection reset because the front end was killed", 0,
            [](DayTrace &trace) {
              trace.add_request(1, 1), trace.add_fleet_event("front_kill", 1.19);
              trace.traces.players.push_back(
                  {{"is", "no_answer"}, {"t", 1.2}, {"ask", 1}, {"front", "f0"}, {"ending", "reset"}});
            }},
           {"a decline without a retry-after", 1,
            [](DayTrace &trace) {
              trace.add_request(1, 1);
              trace.traces.players.push_back(
                  {{"is", "answer"}, {"t", 1.1}, {"ask", 1}, {"status", 503}, {"play", "p"}});
            }},
           {"two outstanding allocations", 2,
            [](DayTrace &trace) { trace.add_set_up(1, "p", "s1"), trace.add_set_up(1.2, "p", "s2", 1); }},
           {"an allocation for a play that runs", 2,
            [](DayTrace &trace) {
              trace.add_play(1, 1), trace.add_set_up(2, "p1", "s2", 1),
                  trace.add_server_answer(2.1, "p1", "s2", 503, 1);
            }},
           {"the next allocation after a time-out", 0,
            [](DayTrace &trace) {
              trace.add_set_up(1, "p", "s1"), trace.add_set_up(1.5, "p", "s2", 1),
                  trace.add_server_answer(1.6, "p", "s2", 503, 1);
            }},
           {"the next allocation after a decline", 0,
            [](DayTrace &trace) {
              trace.add_set_up(1, "p", "s1"), trace.add_server_answer(1.01, "p", "s1", 503),
                  trace.add_set_up(1.02, "p", "s2", 1);
            }},
           {"an unsafe set-up that is repeated after a time-out", 2,
            [](DayTrace &trace) {
              trace.add_set_up(1, "p", "s1", 0, 0.5, "paid"),
                  trace.add_set_up(1.6, "p", "s2", 1, 0.5, "paid");
            }},
           {"a decline after an unsafe set-up that may have started the play", 2,
            [](DayTrace &trace) {
              trace.add_request(1, 1, "paid"), trace.add_set_up(1.01, "p", "s1", 0, 0.5, "paid"),
                  trace.add_player_answer(1, 1.6, 503, "p");
            }},
           {"a decline after an unsafe set-up that was declined", 0,
            [](DayTrace &trace) {
              trace.add_request(1, 1, "paid"), trace.add_set_up(1.01, "p", "s1", 0, 0.5, "paid"),
                  trace.add_server_answer(1.02, "p", "s1", 503);
              trace.add_player_answer(1, 1.6, 503, "p");
            }},
           {"a set-up at a draining server after the grace time", 3,
            [](DayTrace &trace) {
              trace.add_fleet_event("list", 1, {{"not_active", {"s1"}}}), trace.add_set_up(1.7, "p", "s1");
            }},
           {"a set-up at a draining server within the grace time", 0,
            [](DayTrace &trace) {
              trace.add_fleet_event("list", 1, {{"not_active", {"s1"}}}), trace.add_set_up(1.4, "p", "s1");
            }},
           {"a set-up after the server became active again", 0,
            [](DayTrace &trace) {
              trace.add_fleet_event("list", 1, {{"not_active", {"s1"}}}),
                  trace.add_fleet_event("list", 1.3, {{"not_active", Json::array()}});
              trace.add_set_up(3, "p", "s1");
            }},
           {"a set-up by a front end that was stopped when its list changed", 0,
            [](DayTrace &trace) {
              trace.add_fleet_event("list", 1, {{"not_active", {"s1"}}}),
                  trace.add_fleet_event("front_stall", 0.9), trace.add_fleet_event("front_go_on", 3);
              trace.add_set_up(3.2, "p", "s1");
            }},
           {"too many set-ups at a cold server", 4,
            [](DayTrace &trace) {
              trace.traces.servers.push_back({{"is", "start"}, {"t", 1}, {"server", "s1"}, {"cold", true}});
              for (int i = 0; i < 12; ++i)
                trace.add_set_up(1.1 + 0.02 * i, "p" + std::to_string(i), "s1", 0, 0.5, "clip", 1,
                                 i % 2 ? "f0" : "f1");
            }},
           {"set-ups at a cold server within its limit", 0,
            [](DayTrace &trace) {
              trace.traces.servers.push_back({{"is", "start"}, {"t", 1}, {"server", "s1"}, {"cold", true}});
              for (int i = 0; i < 12; ++i) trace.add_set_up(1.1 + 0.2 * i, "p" + std::to_string(i), "s1");
            }},
           {"a server that failed under its set-ups", 4,
            [](DayTrace &trace) {
              trace.traces.servers.push_back({{"is", "fell"}, {"t", 1}, {"server", "s1"}});
            }},
           {"a play on a rung under the floor", 5, [](DayTrace &trace) { trace.add_play(1, 1, "live", 0); }},
           {"a change to a rung under the floor", 5,
            [](DayTrace &trace) {
              trace.add_play(1, 1, "live");
              trace.traces.servers.push_back(
                  {{"is", "rung"}, {"t", 1.5}, {"server", "s1"}, {"play", "p1"}, {"rung", 0}});
            }},
           {"more plays than seats", 5,
            [](DayTrace &trace) {
              for (int i = 0; i < 7; ++i) trace.add_play(i, 1 + 0.01 * i, "live");
            }},
           {"more plays than seats in all, but not at a time", 0,
            [](DayTrace &trace) {
              for (int i = 0; i < 12; ++i) trace.add_play(i, 1 + 0.5 * i, "live");
            }},
           {"further allocations over the budget", 6,
            [](DayTrace &trace) {
              for (int i = 0; i < 4; ++i)
                trace.add_set_up(1 + 0.1 * i, "p" + std::to_string(i), "s1", 1, 0.05);
            }},
           {"further allocations within the budget", 0,
            [](DayTrace &trace) {
              for (int i = 0; i < 10; ++i) trace.add_play(100 + i, 0.5);
              for (int i = 0; i < 4; ++i)
                trace.add_set_up(1 + 0.1 * i, "p" + std::to_string(i), "s1", 1, 0.05);
            }},
           {"a play that no server started", 7,
            [](DayTrace &trace) { trace.add_request(1, 1), trace.add_player_answer(1, 1.1, 307, "p"); }},
       }) {
    CAPTURE(row.what);
    DayTrace trace;
    row.write(trace);
    Verdict verdict = judge(trace.day, trace.traces);
    CAPTURE(format_report(verdict));
    for (int rule = 1; rule <= 6; ++rule) {
      CAPTURE(rule);
      CHECK(verdict.violations[static_cast<std::size_t>(rule - 1)].empty() == (rule != row.rule));
    }
    CHECK(verdict.disagreements.empty() == (row.rule != 7));
    CHECK(verdict.clean() == (row.rule == 0));
  }
}

TEST_CASE("errors in a day's record are reported with their positions") {
  auto error_of = [](const std::string &text) {
    try {
      read_day({"day.cue", text});
    } catch (const snowshore::records::RecordError &error) {
      return std::string(error.what());
    }
    return std::string();
  };
  CHECK(error_of("name: \"x\", faults: [{kind: \"hnag\", at: \"1s\"}]").find("faults[0].kind: expected") !=
        std::string::npos);
  CHECK(error_of("name: \"x\", seconds: 5").find("day.cue:1:21: seconds") != std::string::npos);
  CHECK(
      error_of("name: \"x\", site: products: [{name: \"p\", first_frame_target: \"1s\", time_limit: \"1s\", "
               "top: 9}]")
          .find("products[0].top") != std::string::npos);
  Day day = read_day({"day.cue", "name: \"x\""}, 3, 20);
  CHECK(day.servers == 20);
  CHECK(day.plays_per_second == Approx(36));
}
