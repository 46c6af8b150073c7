// A decision engine whose decisions are recorded, and its settings.
#pragma once
#include "decision/policy.h"

#include <algorithm>
#include <string>
#include <vector>

namespace snowshore::testing {

// Settings for two products and four rungs, with round numbers.
inline DecisionSettings default_settings() {
  return {{"fronts", "1"},
          {"front_index", "0"},
          {"cells", "3"},
          {"racks", "1"},
          {"products", "2"},
          {"product_floors", "0,1"},
          {"product_tops", "3,3"},
          {"product_seats", "0,0"},
          {"product_rate_factors", "1,1"},
          {"rung_rates", "100,200,400,800"},
          {"rung_importance", "0.2,0.5,0.8,1"},
          {"kind_places", "24"},
          {"link_per_weight", "1000"},
          {"rack_uplink", "9000"},
          {"load_fields", "link"},
          {"load_comes_with", "answers"},
          {"note_delay", "1"},
          {"allocations_per_play", "3"},
          {"longest_retry_after", "1"},
          {"warm_up", "12"},
          {"cold_share", "0.5"},
          {"fall_multiple", "2"},
          {"fall_span", "2"},
          {"may_probe", "false"},
          {"product.0.first_frame_target", "1"},
          {"product.0.time_limit", "4"},
          {"product.0.set_up", "safe"},
          {"product.0.importance", "1"},
          {"product.1.first_frame_target", "1"},
          {"product.1.time_limit", "4"},
          {"product.1.set_up", "safe"},
          {"product.1.importance", "1"}};
}

// Records each decision as a line of text, and the values of the last one of each sort.
struct DecisionRecorder : DecisionHandler {
  std::vector<std::string> lines;
  int last_server = -1, last_rung = -1;
  double last_retry_after = -1, last_timeout = -1;
  void record(const std::string &line) { lines.push_back(line); }
  void set_rung(int play, int rung) override {
    last_rung = rung;
    record("rung " + std::to_string(play) + " " + std::to_string(rung));
  }
  void start_allocation(int play, int server, double timeout) override {
    last_server = server;
    last_timeout = timeout;
    record("allocate " + std::to_string(play));
  }
  void decline_play(int play, double retry_after) override {
    last_retry_after = retry_after;
    record("decline " + std::to_string(play));
  }
  void fail_play(int play) override { record("fail " + std::to_string(play)); }
  void move_play(int play) override { record("move " + std::to_string(play)); }
  void recall_allocation(int play, int) override { record("recall " + std::to_string(play)); }
  void forget_play(int play) override { record("forget " + std::to_string(play)); }
  void forget_server(int s) override { record("server forgotten " + std::to_string(s)); }
  void probe_server(int s) override { record("probe " + std::to_string(s)); }
  void request_server_list() override { record("follow"); }
  void set_timer(double, int label) override { last_timer_label = label; }
  void log_message(const std::string &) override {}
  // The number of recorded lines that start with this text.
  int count(const std::string &start) const {
    return static_cast<int>(
        std::count_if(lines.begin(), lines.end(), [&](auto &l) { return l.starts_with(start); }));
  }
  int last_timer_label = 0;
};

// An engine at time 100 with servers of weight 4 (a link of 4000 kB per second), one in each cell.
struct EngineFixture {
  DecisionRecorder decisions;
  std::unique_ptr<DecisionEngine> engine;
  std::vector<ServerEntry> entries;
  // The index of the next play.
  int next_play = 0;

  explicit EngineFixture(const DecisionSettings &changes = {}, int servers = 3) {
    DecisionSettings settings = default_settings();
    for (const auto &[name, value] : changes) settings[name] = value;
    engine = make_decision_engine(settings, 7, 100, decisions);
    set_time(100);
    for (int s = 0; s < servers; ++s) {
      entries.push_back({s, static_cast<std::uint64_t>(1000 + s), 0, 0, s, ServerStatus::active, 4, 0});
    }
    engine->server_list_updated(ListUpdateKind::initial, entries);
    // A play was handed over, so that the engine does not assume a restart without knowledge.
    end_handed_over_play();
  }
  void end_handed_over_play() {
    engine->play_handed_over(next_play, 0, make_request(0));
    engine->allocation_ended(next_play++, 0, Outcome::done, true, {});
    decisions.lines.clear();
  }
  void set_time(double now) { engine->set_time(now); }
  static PlayRequest make_request(int product, int title = 0) {
    PlayRequest request;
    request.product = product;
    request.title = title;
    request.cell_count = 3;
    request.max_rung = 3;
    request.viewer = 42;
    return request;
  }
  // These request a play and return its index.
  int request_play(int product = 0, int title = 0) {
    engine->play_requested(next_play, make_request(product, title));
    return next_play++;
  }
  int submit(const PlayRequest &request) {
    engine->play_requested(next_play, request);
    return next_play++;
  }
  void report_link_demand(int play, double demand) {
    engine->feedback_received(play, FeedbackKind::link_demand, demand);
  }
};

} // namespace snowshore::testing
