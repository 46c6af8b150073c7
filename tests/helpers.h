// What the tests share: a front under recorded answers, and settings with round figures.
#pragma once
#include "decision/policy.h"

#include <algorithm>
#include <string>
#include <vector>

namespace snowshore::testing {

inline DecisionSettings plain_given() {
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

struct Heard : DecisionHandler {
  std::vector<std::string> lines;
  int server = -1, rung = -1;
  double retry_after = -1, time_out = -1;
  void put(const std::string &line) { lines.push_back(line); }
  void set_rung(int play, int r) override {
    rung = r, put("rung " + std::to_string(play) + " " + std::to_string(r));
  }
  void start_allocation(int play, int s, double t) override {
    server = s, time_out = t;
    put("allocate " + std::to_string(play));
  }
  void decline_play(int play, double after) override {
    retry_after = after, put("decline " + std::to_string(play));
  }
  void fail_play(int play) override { put("fail " + std::to_string(play)); }
  void move_play(int play) override { put("move " + std::to_string(play)); }
  void recall_allocation(int play, int) override { put("recall " + std::to_string(play)); }
  void forget_play(int play) override { put("forget " + std::to_string(play)); }
  void forget_server(int s) override { put("server forgotten " + std::to_string(s)); }
  void probe_server(int s) override { put("probe " + std::to_string(s)); }
  void request_server_list() override { put("follow"); }
  void set_timer(double, int label) override { last_label = label; }
  void log_message(const std::string &) override {}
  int count(const std::string &start) const {
    return static_cast<int>(
        std::count_if(lines.begin(), lines.end(), [&](auto &l) { return l.starts_with(start); }));
  }
  int last_label = 0;
};

// A front over some servers of weight 4 (a link of 4000 kB a second), one a cell, at time 100.
struct Scene {
  Heard heard;
  std::unique_ptr<DecisionEngine> front;
  std::vector<ServerEntry> entries;
  int next = 0;

  explicit Scene(const DecisionSettings &changes = {}, int servers = 3) {
    DecisionSettings given = plain_given();
    for (const auto &[name, value] : changes) given[name] = value;
    front = make_decision_engine(given, 7, 100, heard);
    at(100);
    for (int s = 0; s < servers; ++s) {
      entries.push_back({s, static_cast<std::uint64_t>(1000 + s), 0, 0, s, ServerStatus::active, 4, 0});
    }
    front->server_list_updated(ListUpdateKind::initial, entries);
    settle(); // a first play handed over: this front did not come back from a restart
  }
  void settle() {
    front->play_handed_over(next, 0, terms(0));
    front->allocation_ended(next++, 0, Outcome::done, true, {});
    heard.lines.clear();
  }
  void at(double t) { front->set_time(t); }
  static PlayRequest terms(int product, int title = 0) {
    PlayRequest t;
    t.product = product, t.title = title, t.cell_count = 3, t.max_rung = 3, t.viewer = 42;
    return t;
  }
  int ask(int product = 0, int title = 0) {
    front->play_requested(next, terms(product, title));
    return next++;
  }
  int ask_of(const PlayRequest &t) {
    front->play_requested(next, t);
    return next++;
  }
  void tell(int play, double asked) { front->feedback_received(play, FeedbackKind::link_demand, asked); }
};

} // namespace snowshore::testing
