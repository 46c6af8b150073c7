// The ration of further set-ups after the front end stood still once.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kWindow = 5, kFree = 3, kShare = 0.1, kSlack = 0.05;
constexpr double kStall = 1.95;
constexpr double kLink = 5600;
constexpr double kLadder[] = {220, 400, 700, 1260, 2100};

const char *kSettings =
    R"({"group_size":1,"index":0,"areas":["seriate"],"skus":["box-2c"],"my_zone":"seriate",
"discovery":"pushed","weights":"none","tenants":[],"tick":0.01,"tier":0,"tiers":["media-fleet"],
"classes":[{"name":"live","on_time":1.0,"deadline":3.0,"worth":2.0,"effect":"safe","stream":true},
{"name":"recorded","on_time":1.0,"deadline":5.0,"worth":1.0,"effect":"safe","stream":true}],
"clients":{"marks_retry":false},"family":"streams",
"family_info":{"cells":1,"class_floor":[1,0],"class_top":[4,3],"class_seats":[0,0],"rate_factor":[1.2,1.0],
"kind_slots":[20],"groups":1,"ladder_kb":[220,400,700,1260,2100],"worth_by_rung":[0.2,0.4,0.65,0.85,1.0],
"link_unit_kb":5600,"reports_every":0,"seen_after":0.8,"switch_cost_s":0.5,"full_from":0},
"limits":{"attempts_cap":5,"connect_timeout":0.25,"idle_close":30,"multiplex":100,"probes":true,"retry_after":true,
"max_retry_after":0.5,"cancel":true,"second_copies":false},
"report":{"how":"probe","names":["cpu"]},
"rules":{"answer_slack":0.04,"cold":8,"cold_from":0.5,"fall_multiple":2,"tip_after":1.5,"stop_sending_within":0.5,
"budget_span":5.0,"free_resends":3,"repeat_ratio":0.1}})";

bool run(Rig &rig, const std::string &folder) {
  std::vector<std::unique_ptr<Node>> nodes;
  // When each request was taken: its last byte was written to an open connection. When each further set-up
  // arrived at a node.
  std::vector<double> taken, further;
  std::map<std::uint64_t, int> attempts;
  bool held = true;
  int most_over = 0;
  auto demand = [](const Node &node) {
    double sum = 0;
    for (auto &entry : node.sessions) sum += kLadder[entry.second.rung];
    return std::min(1.0, sum / kLink);
  };
  for (std::uint32_t i = 0; i < 14; ++i) {
    nodes.push_back(std::make_unique<Node>(rig, 0x00a10500 + i * 19, 0));
    Node *node = nodes.back().get();
    node->life = [](std::uint64_t session) { return 26.0 + static_cast<double>(session % 23); };
    node->gauges = [node, demand] { return format("cpu:%.3f", demand(*node)); };
    node->on_setup = [&](const Setup &setup) {
      if (++attempts[setup.session] == 1) return;
      further.push_back(setup.at);
      // The rule, with the slack in the front end's favour on both counts.
      double made = 0, requests = 0;
      for (double at : further) made += at > setup.at - kWindow + kSlack;
      for (double at : taken) requests += at > setup.at - kWindow - kSlack;
      double allowed = kFree + kShare * requests;
      rig.record("check: further set-up of %s: %.0f in the window, %.0f requests taken in it, %.1f allowed",
                 hex16(setup.session).c_str(), made, requests, allowed);
      if (made > allowed) {
        held = false;
        most_over = std::max(most_over, static_cast<int>(std::ceil(made - allowed)));
      }
    };
  }
  Channel channel(rig);
  std::vector<Node *> listed;
  for (auto &node : nodes) listed.push_back(node.get());
  Front front(rig, folder);
  front.start(kSettings, Channel::known(listed, "seriate", "box-2c"), channel.port);
  Viewers viewers(rig, front.port, 8);
  bool done = false;
  auto ask = [&](int i) {
    taken.push_back(rig.now());
    viewers.start("recorded", 5, 0, i, "7f3a9c21e0b4d655", 1);
  };

  front.wait_ready([&] {
    viewers.connect();
    // Two set-ups a second until the servers are surely warm; then a crowd of 80 within a second, a pause,
    // and a last twenty.
    double t0 = rig.now() + 0.5, crowd = t0 + 12, last = crowd + 6.6;
    for (int i = 0; i < 20; ++i) rig.at(t0 + i * 0.5, [&, i] { ask(i); });
    if (with_trouble()) {
      rig.at(crowd - 0.05, [&] { front.signal(SIGSTOP, "stands still"); });
      rig.at(crowd - 0.05 + kStall, [&] { front.signal(SIGCONT, "goes on"); });
    }
    for (int i = 0; i < 80; ++i) rig.at(crowd + i / 80.0, [&, i] { ask(i); });
    // Meanwhile viewers of other front ends fill all nodes but two: these turn set-ups away.
    rig.at(last - 0.5, [&] {
      for (std::size_t i = 2; i < nodes.size(); ++i) nodes[i]->full = true;
      rig.record("nodes: all but two are full");
    });
    for (int i = 0; i < 20; ++i) rig.at(last + i * 0.002, [&, i] { ask(i); });
    rig.at(last + 7, [&] {
      done = true;
      rig.stop();
    });
  });
  rig.run(70);
  if (!done) throw CannotRun{"the case did not come to its end"};
  if (!front.alive()) throw CannotRun{"the front end's process ended"};
  std::size_t started = 0;
  for (auto &entry : viewers.requests) started += entry.second.stands;
  rig.record("%zu set-ups sent, %zu stood, %zu further set-ups, at most %d over the ration",
             viewers.requests.size(), started, further.size(), most_over);
  if (started < viewers.requests.size() / 3) throw CannotRun{"too few set-ups stood"};
  return held;
}

} // namespace

int main(int argc, char **argv) { return run_case(argc, argv, run); }
