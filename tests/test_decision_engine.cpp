// The decision engine: the choice of server and rung, declines, retries, avoidance, slow start, steps of
// running plays, and changes of settings.
#include "engine_fixture.h"

#include <catch2/catch.hpp>

#include <random>
#include <utility>

using namespace snowshore;
using namespace snowshore::testing;

TEST_CASE(
    "an idle server gets the highest rung that viewer, product and link allow, and the rung is sent first") {
  struct Row {
    int viewer_top;
    const char *tops;
    const char *link;
    int rung;
  };
  for (Row row : {Row{3, "3,3", "1000", 3}, Row{2, "3,3", "1000", 2}, Row{3, "1,3", "1000", 1},
                  Row{3, "3,3", "150", 1}, Row{0, "3,3", "1000", 0}}) {
    EngineFixture fixture(DecisionSettings{{"product_tops", row.tops}, {"link_per_weight", row.link}});
    PlayRequest request = EngineFixture::make_request(0);
    request.max_rung = row.viewer_top;
    fixture.submit(request);
    REQUIRE(fixture.decisions.lines.size() == 2);
    CHECK(fixture.decisions.lines[0].starts_with("rung"));
    CHECK(fixture.decisions.lines[1].starts_with("allocate"));
    CHECK(fixture.decisions.last_rung == row.rung);
  }
}

TEST_CASE(
    "a full link gets no plays, by reported or by counted demand; with all links full a play is declined at "
    "once") {
  EngineFixture fixture;
  for (int s = 0; s < 3; ++s) {
    int play = fixture.request_play();
    CHECK(fixture.decisions.last_server >= 0);
    fixture.engine->play_started(play, 0, 0.1);
    fixture.report_link_demand(play, 0.99);
  }
  fixture.decisions.lines.clear();
  fixture.request_play();
  CHECK(fixture.decisions.count("decline") == 1);
  CHECK(fixture.decisions.count("forget") == 1);
  CHECK(fixture.decisions.last_retry_after > 0);
  CHECK(fixture.decisions.last_retry_after <= 1);
  fixture.decisions.lines.clear();
  EngineFixture counted;
  // Without any report, the links are filled by own set-ups.
  for (int i = 0; i < 100; ++i) counted.request_play();
  CHECK(counted.decisions.count("decline") > 0);
  CHECK(counted.decisions.count("allocate") >= 12);
}

TEST_CASE("the server with the most room is chosen among those that hold the title; the shared hash resolves "
          "ties") {
  EngineFixture fixture;
  int first = fixture.request_play();
  int taken = fixture.decisions.last_server;
  EngineFixture other;
  other.request_play();
  // With equal room every front end chooses by the same hash.
  CHECK(other.decisions.last_server == taken);
  fixture.engine->play_started(first, 0, 0.1);
  fixture.request_play();
  CHECK(fixture.decisions.last_server != taken);
  for (int cell = 0; cell < 3; ++cell) {
    PlayRequest request = EngineFixture::make_request(0);
    request.first_cell = cell;
    request.cell_count = 1;
    fixture.submit(request);
    CHECK(fixture.decisions.last_server == cell);
  }
}

TEST_CASE("no rung below the floor, no play where no rung fits, no more plays of a title than seats") {
  // On a link of 400 kB per second only the lowest rung would pass the test.
  EngineFixture floor(DecisionSettings{{"link_per_weight", "100"}});
  floor.request_play(0);
  CHECK(floor.decisions.last_rung == 1);
  EngineFixture low;
  PlayRequest request = EngineFixture::make_request(1);
  // The product's floor is 1.
  request.max_rung = 0;
  low.submit(request);
  CHECK(low.decisions.count("decline") == 1);
  EngineFixture seats(DecisionSettings{{"product_seats", "0,2"}});
  int play = seats.request_play(1);
  seats.request_play(1);
  seats.request_play(1);
  CHECK(seats.decisions.count("decline") == 1);
  // Another title has its own seats.
  seats.request_play(1, 5);
  CHECK(seats.decisions.count("allocate") == 3);
  seats.engine->allocation_ended(play, 0, Outcome::done, true, {});
  seats.request_play(1);
  CHECK(seats.decisions.count("allocate") == 4);
  EngineFixture full(DecisionSettings{{"product_seats", "0,1"}});
  full.engine->play_handed_over(full.next_play++, 0, EngineFixture::make_request(1));
  full.request_play(1);
  CHECK(full.decisions.count("decline") == 1);
}

TEST_CASE("each outcome of the first allocation leads to another allocation or to a failure, and never to a "
          "decline") {
  struct Row {
    Outcome outcome;
    const char *set_up;
    const char *answer;
  };
  for (Row row : {Row{Outcome::timed_out, "safe", "allocate"}, Row{Outcome::reset, "safe", "allocate"},
                  Row{Outcome::busy, "unsafe", "allocate"}, Row{Outcome::unreachable, "unsafe", "allocate"},
                  Row{Outcome::skipped, "keyed", "allocate"}, Row{Outcome::timed_out, "unsafe", "fail"},
                  Row{Outcome::error, "unsafe", "fail"}, Row{Outcome::reset, "keyed", "fail"},
                  Row{Outcome::recalled, "keyed", "fail"}}) {
    EngineFixture fixture(DecisionSettings{{"product.0.set_up", row.set_up}});
    int play = fixture.request_play();
    int first = fixture.decisions.last_server;
    fixture.decisions.lines.clear();
    fixture.set_time(100.3);
    fixture.engine->allocation_ended(play, 0, row.outcome, false, {});
    CHECK(fixture.decisions.count(row.answer) == 1);
    CHECK(fixture.decisions.count("decline") == 0);
    if (std::string(row.answer) == "allocate") CHECK(fixture.decisions.last_server != first);
  }
}

TEST_CASE(
    "a play is declined at its time limit or after its last allocation; a viewer who left gets no answer") {
  EngineFixture spent(DecisionSettings{{"allocations_per_play", "2"}});
  int play = spent.request_play();
  // The time limit leaves room for another allocation before the first-frame target.
  CHECK(spent.decisions.last_timeout <= 0.5);
  spent.engine->allocation_ended(play, 0, Outcome::timed_out, false, {});
  spent.engine->allocation_ended(play, 1, Outcome::timed_out, false, {});
  CHECK(spent.decisions.count("allocate") == 2);
  CHECK(spent.decisions.count("decline") == 1);
  EngineFixture late;
  play = late.request_play();
  late.set_time(104);
  late.engine->allocation_ended(play, 0, Outcome::timed_out, false, {});
  CHECK(late.decisions.count("decline") == 1);
  EngineFixture left;
  play = left.request_play();
  left.decisions.lines.clear();
  left.engine->viewer_left(play);
  CHECK(left.decisions.lines.empty());
  left.engine->allocation_ended(play, 0, Outcome::timed_out, false, {});
  REQUIRE(left.decisions.lines.size() == 1);
  CHECK(left.decisions.lines[0].starts_with("forget"));
}

TEST_CASE("a server that is leaving, has left or is missing from a full list gets no plays") {
  struct Row {
    ListUpdateKind kind;
    ServerStatus status;
    bool gets_plays;
  };
  for (Row row : {Row{ListUpdateKind::changes, ServerStatus::leaving, false},
                  Row{ListUpdateKind::changes, ServerStatus::left, false},
                  Row{ListUpdateKind::changes, ServerStatus::active, true}}) {
    EngineFixture fixture(DecisionSettings{}, 1);
    fixture.entries[0].status = row.status;
    fixture.engine->server_list_updated(row.kind, fixture.entries);
    fixture.request_play();
    CHECK(fixture.decisions.count("allocate") == (row.gets_plays ? 1 : 0));
  }
  EngineFixture fixture(DecisionSettings{}, 2);
  // Without discovery the current list stays in force.
  fixture.engine->server_list_updated(ListUpdateKind::unavailable, {});
  fixture.request_play();
  CHECK(fixture.decisions.count("allocate") == 1);
  fixture.engine->server_list_updated(ListUpdateKind::full, std::span(fixture.entries).first(1));
  for (int i = 0; i < 4; ++i) {
    fixture.request_play();
    CHECK(fixture.decisions.last_server == 0);
  }
}

TEST_CASE("hundreds of servers that are replaced at once are forgotten, those with running plays after the "
          "plays end") {
  EngineFixture fixture(DecisionSettings{{"cells", "300"}, {"link_per_weight", "1000000"}}, 300);
  PlayRequest request = EngineFixture::make_request(0);
  request.first_cell = 7;
  request.cell_count = 1;
  int play = fixture.submit(request);
  fixture.engine->play_started(play, 0, 0.1);
  std::vector<ServerEntry> others = fixture.entries;
  for (ServerEntry &entry : others) {
    entry.server += 300;
    entry.stable_id += 5000;
  }
  fixture.set_time(110);
  fixture.engine->server_list_updated(ListUpdateKind::full, others);
  fixture.set_time(141);
  fixture.engine->timer_expired(fixture.decisions.last_timer_label);
  CHECK(fixture.decisions.count("server forgotten") == 299);
  // The prefix matches the servers 70 to 79; server 7 is not forgotten.
  CHECK(fixture.decisions.count("server forgotten 7") == 11 - 1);
  fixture.engine->allocation_ended(play, 0, Outcome::done, true, {});
  fixture.engine->timer_expired(fixture.decisions.last_timer_label);
  CHECK(fixture.decisions.count("server forgotten") == 300);
  fixture.submit(request);
  CHECK(fixture.decisions.last_server == 307);
}

TEST_CASE("a cold server gets no more set-ups than its budget from all front ends together") {
  struct Row {
    int fronts;
    const char *multiple;
  };
  for (Row row : {Row{1, "2"}, Row{2, "2"}, Row{4, "2"}, Row{4, "1"}, Row{7, "2.5"}}) {
    // Room for 24 plays, 12 s of warm-up and a share of 0.5 allow one set-up per second, so that a window of
    // 2 s allows 2 times the multiple.
    std::vector<std::unique_ptr<EngineFixture>> fronts;
    for (int f = 0; f < row.fronts; ++f) {
      DecisionSettings settings{{"fronts", std::to_string(row.fronts)},
                                {"front_index", std::to_string(f)},
                                {"fall_multiple", row.multiple},
                                {"link_per_weight", "1000000"}};
      fronts.push_back(std::make_unique<EngineFixture>(settings, 1));
      fronts.back()->entries[0].started_at = 100;
      fronts.back()->engine->server_list_updated(ListUpdateKind::changes, fronts.back()->entries);
    }
    std::vector<double> sent;
    for (double t = 100; t < 112; t += 0.05) {
      for (auto &fixture : fronts) {
        int before = fixture->decisions.count("allocate");
        fixture->set_time(t);
        fixture->request_play();
        if (fixture->decisions.count("allocate") > before) sent.push_back(t);
      }
    }
    CHECK(!sent.empty());
    for (double from : sent) {
      auto in_span = [&](double t) { return t >= from && t < from + 2; };
      CHECK(std::count_if(sent.begin(), sent.end(), in_span) <= 2 * std::stod(row.multiple));
    }
  }
}

TEST_CASE("a server may be cold after a reset, and after a restart of this front end") {
  EngineFixture fixture(DecisionSettings{{"link_per_weight", "1000000"}}, 1);
  int play = fixture.request_play();
  fixture.engine->allocation_ended(play, 0, Outcome::reset, false, {});
  fixture.decisions.lines.clear();
  fixture.set_time(103);
  for (int i = 0; i < 20; ++i) fixture.request_play();
  CHECK(fixture.decisions.count("allocate") <= 1);
  DecisionRecorder decisions;
  DecisionSettings settings = default_settings();
  settings["fronts"] = "4";
  settings["link_per_weight"] = "500";
  // No play is handed over, so that the engine knows nothing of earlier starts.
  auto restarted = make_decision_engine(settings, 7, 100, decisions);
  restarted->set_time(100);
  restarted->server_list_updated(ListUpdateKind::initial, EngineFixture().entries);
  play = 0;
  for (; play < 20; ++play) restarted->play_requested(play, EngineFixture::make_request(0));
  // Each server gets one play, at a lower rung, since a link without a report is not taken for idle.
  CHECK(decisions.count("allocate") == 3);
  CHECK(decisions.last_rung < 3);
  restarted->play_started(0, 0, 0.1);
  // Plays of other front ends demand so much of the server that it cannot have just started.
  restarted->feedback_received(0, FeedbackKind::link_demand, 0.6);
  for (; play < 25; ++play) restarted->play_requested(play, EngineFixture::make_request(0));
  CHECK(decisions.count("allocate") > 3);
}

TEST_CASE("retries stay within their budget in every window") {
  EngineFixture fixture(DecisionSettings{{"further_span", "5"},
                                         {"further_free", "2"},
                                         {"further_share", "0.1"},
                                         {"link_per_weight", "1000000"}},
                        3);
  int retries = 0;
  for (int i = 0; i < 20; ++i) {
    int play = fixture.request_play();
    int before = fixture.decisions.count("allocate");
    fixture.engine->allocation_ended(play, 0, Outcome::skipped, false, {});
    if (fixture.decisions.count("allocate") == before) continue;
    ++retries;
    CHECK(retries <= 2 + 0.1 * (i + 1));
  }
  CHECK(retries == 4);
}

TEST_CASE("a server that failed is avoided for a while, and then gets one play at a time") {
  EngineFixture fixture(DecisionSettings{{"warm_up", "0"}}, 2);
  PlayRequest request = EngineFixture::make_request(0);
  request.cell_count = 1;
  int play = fixture.submit(request);
  fixture.set_time(100.4);
  fixture.engine->allocation_ended(play, 0, Outcome::timed_out, false, {});
  CHECK(fixture.decisions.count("decline") == 1);
  fixture.submit(request);
  CHECK(fixture.decisions.count("decline") == 2);
  fixture.set_time(102);
  play = fixture.submit(request);
  fixture.submit(request);
  CHECK(fixture.decisions.count("allocate") == 2);
  fixture.engine->play_started(play, 0, 0.1);
  fixture.submit(request);
  CHECK(fixture.decisions.count("allocate") == 3);
}

TEST_CASE("running plays step down on an overrun link and up on an idle one") {
  EngineFixture fixture(DecisionSettings{{"warm_up", "0"}}, 1);
  std::vector<int> plays;
  for (int i = 0; i < 4; ++i) {
    plays.push_back(fixture.request_play());
    fixture.engine->play_started(plays.back(), 0, 0.1);
  }
  fixture.decisions.lines.clear();
  fixture.set_time(110);
  fixture.report_link_demand(plays[0], 1.5);
  fixture.engine->timer_expired(fixture.decisions.last_timer_label);
  CHECK(fixture.decisions.count("rung") >= 1);
  fixture.decisions.lines.clear();
  fixture.set_time(180);
  for (int i : {2, 3})
    fixture.engine->allocation_ended(plays[static_cast<std::size_t>(i)], 0, Outcome::done, true, {});
  fixture.report_link_demand(plays[0], 0.1);
  fixture.engine->timer_expired(fixture.decisions.last_timer_label);
  CHECK(fixture.decisions.count("rung") == 1);
}

TEST_CASE(
    "where weights have no meaning, the kind with room for more plays is assumed to have the larger link") {
  for (const char *meaning : {"none", "rough"}) {
    EngineFixture fixture(DecisionSettings{{"weight_meaning", meaning}, {"kind_places", "20,60"}}, 2);
    for (ServerEntry &entry : fixture.entries) {
      entry.weight = 1;
      entry.kind = entry.server;
    }
    fixture.engine->server_list_updated(ListUpdateKind::full, fixture.entries);
    int larger = 0;
    for (int i = 0; i < 3; ++i) {
      fixture.request_play();
      larger += fixture.decisions.last_server == 1;
    }
    CHECK((larger == 3) == (std::string(meaning) == "none"));
  }
}

TEST_CASE("feedback on a short delivery outweighs a later report of a link with room") {
  EngineFixture fixture(DecisionSettings{{"load_fields", "link_share"}}, 1);
  int play = fixture.request_play();
  fixture.engine->play_started(play, 0, 0.1);
  fixture.decisions.lines.clear();
  fixture.set_time(103);
  fixture.engine->feedback_received(play, FeedbackKind::share_delivered, 0.7);
  LoadReport half;
  half.link_share = 0.4;
  fixture.engine->probe_answered(0, Outcome::done, half);
  fixture.request_play();
  CHECK(fixture.decisions.count("decline") == 1);
  // The shortage is remembered, whatever reports say.
  fixture.set_time(104.5);
  fixture.engine->probe_answered(0, Outcome::done, half);
  fixture.request_play();
  CHECK(fixture.decisions.count("decline") == 2);
  // After that time the shortage is forgotten.
  fixture.set_time(125);
  fixture.engine->probe_answered(0, Outcome::done, half);
  fixture.request_play();
  CHECK(fixture.decisions.count("allocate") == 1);
}

TEST_CASE("a failure of most servers makes none of them avoided; a probe answered with busy is no failure") {
  struct Row {
    Outcome outcome;
    // The number of servers, of three, whose probe has this outcome.
    int affected;
    int allocated;
  };
  for (Row row : {Row{Outcome::timed_out, 1, 0}, Row{Outcome::busy, 1, 1}, Row{Outcome::timed_out, 3, 1}}) {
    EngineFixture fixture;
    for (int s = 0; s < row.affected; ++s) fixture.engine->probe_answered(s, row.outcome, {});
    PlayRequest request = EngineFixture::make_request(0);
    // Only the first server holds the title.
    request.cell_count = 1;
    fixture.submit(request);
    CHECK(fixture.decisions.count("allocate") == row.allocated);
  }
}

TEST_CASE(
    "on a reported uplink, own set-ups count for those of others only as far as they are more than chance") {
  struct Row {
    const char *fronts;
    // Own set-ups in the 2 s after the measurement that was reported.
    int set_ups;
    // Other front ends are assumed to add as many.
    bool others;
  };
  for (Row row : {Row{"1", 40, false}, Row{"4", 40, true}, Row{"250", 1, false}}) {
    EngineFixture fixture(DecisionSettings{{"load_fields", "link,uplink"},
                                           {"fronts", row.fronts},
                                           {"racks", "9"},
                                           {"rack_uplink", "9000"},
                                           {"link_per_weight", "100000"}},
                          1);
    int play = fixture.request_play();
    fixture.engine->play_started(play, 0, 0.1);
    fixture.set_time(102);
    fixture.engine->feedback_received(play, FeedbackKind::uplink_demand, 0.3);
    fixture.report_link_demand(play, 0.1);
    fixture.set_time(103);
    fixture.decisions.lines.clear();
    for (int i = 0; i < row.set_ups; ++i) fixture.request_play();
    fixture.engine->timer_expired(fixture.decisions.last_timer_label);
    CHECK((fixture.decisions.count("decline") > 0 || fixture.decisions.last_rung < 3) ==
          (row.others || row.set_ups > 1));
    // One set-up of this front end causes no step down for possible set-ups of others.
    if (row.set_ups == 1) CHECK(fixture.decisions.count("rung") == 1);
    if (row.others) CHECK(fixture.decisions.count("allocate") < 16);
  }
}

TEST_CASE("a product or rung that gains less importance for its rate gets a stricter test") {
  for (const char *importance : {"1", "3"}) {
    EngineFixture fixture(DecisionSettings{{"product.1.importance", importance}}, 1);
    int play = fixture.request_play(1);
    fixture.engine->play_started(play, 0, 0.1);
    fixture.report_link_demand(play, 0.55);
    fixture.request_play(0);
    int less = fixture.decisions.last_rung;
    fixture.request_play(1);
    CHECK((fixture.decisions.last_rung > less) == (std::string(importance) == "3"));
  }
}

TEST_CASE(
    "a link without a report is assumed as busy as recently reported ones, for any number of front ends") {
  for (const char *fronts : {"2", "250"}) {
    int rung[2];
    for (int busy : {0, 1}) {
      EngineFixture fixture(DecisionSettings{{"fronts", fronts}, {"link_per_weight", "800"}}, 8);
      int play = 0;
      for (int cell = 0; cell < 7; ++cell) {
        PlayRequest request = EngineFixture::make_request(0);
        request.first_cell = cell;
        request.cell_count = 1;
        request.max_rung = 0;
        play = fixture.submit(request);
        fixture.engine->play_started(play, 0, 0.1);
        fixture.report_link_demand(play, busy ? 0.95 : 0.1);
      }
      PlayRequest request = EngineFixture::make_request(0);
      // No report was received of this server.
      request.first_cell = 7;
      request.cell_count = 1;
      fixture.submit(request);
      rung[busy] = fixture.decisions.last_rung;
    }
    CHECK(rung[1] < rung[0]);
  }
}

TEST_CASE("where probes return load, servers without a report are probed before a first placement, not a "
          "repeated one") {
  for (bool is_repeated : {false, true}) {
    EngineFixture fixture(DecisionSettings{{"may_probe", "true"}});
    PlayRequest request = EngineFixture::make_request(0);
    request.is_repeated = is_repeated;
    fixture.submit(request);
    CHECK(fixture.decisions.count("probe") == (is_repeated ? 0 : 2));
    CHECK(fixture.decisions.count("allocate") == (is_repeated ? 1 : 0));
    if (is_repeated) continue;
    int least = -1;
    for (int s = 0; s < 3; ++s) {
      LoadReport report;
      report.link_share = fixture.decisions.count("probe " + std::to_string(s)) == 0 ? 0.9
                          : least < 0                                                ? 0.1
                                                                                     : 0.5;
      if (*report.link_share == 0.1) least = s;
      fixture.engine->probe_answered(s, Outcome::done, report);
    }
    fixture.set_time(100.02);
    fixture.engine->timer_expired(fixture.decisions.last_timer_label);
    CHECK(fixture.decisions.count("allocate") == 1);
    CHECK(fixture.decisions.last_server == least);
  }
}

TEST_CASE("a surge of requests counts as a surge at every front end; a steady rate does not") {
  int rung[2];
  for (int is_surge : {0, 1}) {
    EngineFixture fixture(DecisionSettings{{"fronts", "200"}, {"cells", "40"}}, 40);
    PlayRequest request = EngineFixture::make_request(0);
    request.cell_count = 1;
    int play = fixture.submit(request);
    fixture.engine->play_started(play, 0, 0.1);
    PlayRequest elsewhere = request;
    elsewhere.first_cell = 20;
    elsewhere.cell_count = 20;
    // The same number of requests comes in 20 s or in half a second.
    for (int i = 0; i < 10; ++i) {
      fixture.set_time(is_surge ? 121 + 0.05 * i : 102 + 2 * i);
      fixture.submit(elsewhere);
    }
    fixture.set_time(121.6);
    fixture.report_link_demand(play, 0.2);
    fixture.set_time(123);
    fixture.submit(request);
    rung[is_surge] = fixture.decisions.last_rung;
  }
  CHECK(rung[1] < rung[0]);
}

TEST_CASE("hundreds of front ends step on the same report neither too many plays nor none") {
  struct Row {
    double demand;
    // Bounds of the number of front ends that step. Each of 200 has a play at the second rung, on a link for
    // 100 such plays.
    int min_steps, max_steps;
  };
  for (Row row : {Row{0.4, 40, 200}, Row{0.8, 0, 90}, Row{1.2, 5, 150}}) {
    int stepped = 0;
    // Every fifth front end is simulated.
    for (int f = 0; f < 40; ++f) {
      DecisionRecorder decisions;
      DecisionSettings settings = default_settings();
      settings["fronts"] = "200";
      settings["link_per_weight"] = "5000";
      auto front = make_decision_engine(settings, static_cast<std::uint64_t>(f) * 7919 + 1, 100, decisions);
      front->set_time(100);
      std::vector<ServerEntry> entries{{0, 1000, 0, 0, 0, ServerStatus::active, 4, 0}};
      front->server_list_updated(ListUpdateKind::initial, entries);
      front->play_handed_over(0, 0, EngineFixture::make_request(0));
      front->feedback_received(0, FeedbackKind::rung, 1);
      front->set_time(110);
      front->feedback_received(0, FeedbackKind::link_demand, row.demand);
      front->timer_expired(decisions.last_timer_label);
      stepped += decisions.count("rung");
    }
    CHECK(stepped * 5 >= row.min_steps);
    CHECK(stepped * 5 <= row.max_steps);
  }
}

TEST_CASE("a report of an uplink of unknown capacity steps no play down") {
  EngineFixture fixture(DecisionSettings{{"rack_uplink", "0"}, {"load_fields", "link,uplink"}});
  int play = fixture.request_play();
  fixture.engine->play_started(play, 0, 0.1);
  fixture.set_time(101);
  fixture.report_link_demand(play, 0.1);
  fixture.engine->feedback_received(play, FeedbackKind::uplink_demand, 0.1);
  fixture.decisions.lines.clear();
  for (int i = 1; i < 20; ++i) {
    fixture.set_time(101 + 0.5 * i);
    fixture.engine->timer_expired(fixture.decisions.last_timer_label);
  }
  CHECK(fixture.decisions.count("rung") == 0);
}

namespace {

// Replays events that need no decision, then changes the settings, then replays a surge of requests on
// servers of which one fails often. Returns the decisions during the surge.
std::string replay_surge(const DecisionSettings &from, const DecisionSettings &to) {
  EngineFixture fixture(from, 3);
  double now = 101;
  struct RunningPlay {
    int play, allocation;
  };
  std::vector<RunningPlay> playing;
  // Plays that the engine takes over, their rungs, and the reported demands of their links.
  for (int i = 0; i < 9; ++i) {
    fixture.set_time(now += 0.5);
    int play = fixture.next_play++;
    fixture.engine->play_handed_over(play, i % 3, EngineFixture::make_request(i % 2, i % 4));
    fixture.engine->feedback_received(play, FeedbackKind::rung, 1 + i % 2);
    fixture.engine->feedback_received(play, FeedbackKind::link_demand, 0.3 + 0.05 * i);
    playing.push_back({play, 0});
  }
  fixture.entries[2].started_at = now;
  fixture.engine->server_list_updated(ListUpdateKind::full, fixture.entries);
  if (to != from) {
    DecisionSettings changed = default_settings();
    for (const auto &[name, value] : to) changed[name] = value;
    fixture.engine->settings_changed(changed);
  }
  std::string answers;
  auto take_answers = [&] {
    for (const std::string &line : std::exchange(fixture.decisions.lines, {})) answers += line + "\n";
    answers += std::to_string(fixture.decisions.last_server) + " " +
               std::to_string(fixture.decisions.last_retry_after) + "\n";
  };
  std::minstd_rand random(5);
  for (int i = 0; i < 300; ++i) {
    fixture.set_time(now += 0.03);
    int product = static_cast<int>(random() % 2), title = static_cast<int>(random() % 3);
    int play = fixture.submit(EngineFixture::make_request(product, title));
    std::string allocate_line = "allocate " + std::to_string(play);
    for (int allocation = 0;
         !fixture.decisions.lines.empty() && fixture.decisions.lines.back() == allocate_line; ++allocation) {
      bool fails = fixture.decisions.last_server == 1 && random() % 2 == 0;
      take_answers();
      fixture.set_time(now += 0.1);
      if (fails) {
        fixture.engine->allocation_ended(play, allocation, random() % 2 ? Outcome::busy : Outcome::timed_out,
                                         false, {});
      } else {
        fixture.engine->play_started(play, allocation, 0.1);
        fixture.engine->feedback_received(play, FeedbackKind::link_demand, 0.5 + 0.001 * i);
        playing.push_back({play, allocation});
      }
    }
    if (playing.size() > 30) {
      fixture.engine->allocation_ended(playing[0].play, playing[0].allocation, Outcome::done, true, {});
      playing.erase(playing.begin());
    }
    if (i % 8 == 0) fixture.engine->timer_expired(2);
    take_answers();
  }
  return answers;
}

} // namespace

TEST_CASE("a setting changed in service has the same effect as one present from the start") {
  struct Row {
    const char *name, *from, *to;
  };
  for (const Row &row :
       {Row{"product_floors", "0,1", "2,2"}, Row{"product_tops", "3,3", "1,2"},
        Row{"product_seats", "0,0", "2,2"}, Row{"product_rate_factors", "1,1", "2,1"},
        Row{"rung_rates", "100,200,400,800", "100,250,500,800"},
        Row{"rung_importance", "0.2,0.5,0.8,1", "0.1,0.2,0.3,1"}, Row{"link_per_weight", "1000", "700"},
        Row{"allocations_per_play", "3", "1"}, Row{"longest_retry_after", "1", "4"},
        Row{"warm_up", "12", "25"}, Row{"cold_share", "0.5", "0.05"}, Row{"product.0.importance", "1", "9"},
        Row{"product.0.set_up", "safe", "unsafe"}, Row{"product.1.first_frame_target", "1", "0.09"},
        Row{"product.0.time_limit", "4", "0.09"}, Row{"fronts", "1", "3"}}) {
    CAPTURE(row.name);
    std::string started = replay_surge({{row.name, row.to}}, {{row.name, row.to}});
    CHECK((replay_surge({{row.name, row.from}}, {{row.name, row.to}}) == started));
    // The setting affects the decisions of this replay.
    CHECK((replay_surge({{row.name, row.from}}, {{row.name, row.from}}) != started));
  }
}

TEST_CASE("an uplink demand of 0 beside a demand on the link was not read, and the previous report holds") {
  for (double demand : {0.4, 0.01}) {
    CAPTURE(demand);
    EngineFixture fixture(DecisionSettings{{"load_fields", "link,uplink"}});
    auto report = [&](int server, double link, double uplink) {
      LoadReport load;
      load.link_demand = link;
      load.uplink_demand = uplink;
      fixture.engine->probe_answered(server, Outcome::done, load);
    };
    // The uplink of the only rack is overrun.
    for (int s = 0; s < 3; ++s) report(s, 0.5, 1.5);
    fixture.decisions.lines.clear();
    fixture.request_play();
    REQUIRE(fixture.decisions.count("decline") == 1);
    fixture.set_time(100.5);
    // A demand on the link is also one on the uplink.
    report(1, demand, 0);
    fixture.decisions.lines.clear();
    fixture.request_play();
    CHECK(fixture.decisions.count("decline") == 1);
    CHECK(fixture.engine->server_view(1).uplink_demand == 1.5);
    // Without a demand on the link the uplink may be idle.
    report(1, 0, 0);
    CHECK(fixture.engine->server_view(1).uplink_demand == 0);
  }
}
