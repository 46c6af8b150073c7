// Nodes are drained while the front end stands still for 1.9 s now and then.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr double kGrace = 0.5, kSlack = 0.05;
constexpr double kStall = 1.9, kStallEvery = 4.0, kDrainAfter = 0.6;
constexpr int kStalls = 6;
constexpr double kLink = 5600;
constexpr double kLadder[] = {220, 400, 700, 2000};

// Of two front ends, by index.
std::string settings_of(int index) {
  const char *settings =
      R"({"group_size":2,"index":%d,"areas":["cd-puerto"],"skus":["std-2c"],"my_zone":"cd-puerto",
"discovery":"pushed","weights":"rough","tenants":[],"tick":0.01,"tier":0,"tiers":["video"],
"classes":[{"name":"standard","on_time":1.5,"deadline":4.0,"worth":1.0,"effect":"safe","stream":true},
{"name":"priority","on_time":0.8,"deadline":3.0,"worth":2.0,"effect":"safe","stream":true}],
"clients":{"marks_retry":false},"family":"streams",
"family_info":{"cells":1,"class_floor":[0,0],"class_top":[3,3],"class_seats":[0,0],"rate_factor":[1.0,1.0],
"kind_slots":[20],"groups":1,"ladder_kb":[220,400,700,2000],"worth_by_rung":[0.2,0.5,0.75,1.0],
"link_unit_kb":5600,"reports_every":3.0,"seen_after":0.8,"switch_cost_s":0.5,"full_from":1.2},
"limits":{"attempts_cap":5,"connect_timeout":0.25,"idle_close":30,"multiplex":32,"probes":false,"retry_after":true,
"max_retry_after":0.5,"cancel":true,"second_copies":false},
"report":{"how":"answers","names":["active","x0"]},
"rules":{"answer_slack":0.04,"cold":8,"cold_from":0.5,"fall_multiple":3,"tip_after":1.5,"stop_sending_within":0.5}})";
  return format(settings, index);
}

bool run(Rig &rig, const std::string &folder) {
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::uint32_t, double> told;
  bool held = true;
  auto demand = [](const Node &node) {
    double sum = 0;
    for (auto &entry : node.sessions) sum += kLadder[entry.second.rung];
    return sum / kLink;
  };
  auto add_node = [&](std::uint32_t id, double boot) {
    nodes.push_back(std::make_unique<Node>(rig, id, 0, boot));
    Node *node = nodes.back().get();
    node->life = [](std::uint64_t session) { return 17.0 + static_cast<double>(session % 20); };
    node->link_demand = [node, demand] { return demand(*node); };
    node->on_setup = [&, node](const Setup &setup) {
      auto it = told.find(node->id);
      if (it == told.end()) return;
      double late = setup.at - it->second;
      rig.record("check: set-up %s reached %s %.3f s after its drain was told", hex16(setup.session).c_str(),
                 node->uid().c_str(), late);
      if (late > kGrace + kSlack) {
        rig.record("check: BROKEN, the grace is %.2f s and the slack %.2f s", kGrace, kSlack);
        held = false;
      }
    };
    return node;
  };
  for (std::uint32_t i = 0; i < 9; ++i) add_node(0x00c41f00 + i * 17, 0);
  Channel channel(rig);
  std::vector<Node *> listed;
  for (auto &node : nodes) listed.push_back(node.get());
  // The second front end has no viewers and never stands still.
  Front front(rig, folder), second(rig, folder, "n1");
  auto known = Channel::known(listed, {"cd-puerto"}, "std-2c");
  second.start(settings_of(1), known, channel.port);
  front.start(settings_of(0), known, channel.port);
  Viewers viewers(rig, front.port, 6);
  bool done = false;

  front.wait_ready([&] {
    viewers.connect();
    double t0 = rig.now() + 0.5;
    // Four set-ups a second, on connections that stay open.
    for (int i = 0; i < 4 * 31; ++i)
      rig.at(t0 + i * 0.25, [&, i] {
        viewers.start(i % 3 ? "standard" : "priority", i % 3 ? 4 : 3, 3, i, "7f3a9c21e0b4d655", 1);
      });
    for (auto &node : nodes) {
      Node *noted = node.get();
      for (int i = 0; i < 10; ++i)
        rig.at(t0 + 3.0 * i + 0.1 * (noted->id % 17), [noted] { noted->periodic_note(); });
    }
    for (int k = 0; k < kStalls; ++k) {
      double at = t0 + 4 + k * kStallEvery;
      if (with_trouble()) {
        rig.at(at, [&] { front.signal(SIGSTOP, "stands still"); });
        rig.at(at + kStall, [&] { front.signal(SIGCONT, "goes on"); });
      }
      // A step of a release: the node with the least to do is drained.
      rig.at(at + kDrainAfter, [&] {
        Node *least = nullptr;
        for (auto &node : nodes)
          if (!told.count(node->id) && (!least || demand(*node) < demand(*least))) least = node.get();
        told[least->id] = rig.now();
        least->draining = true;
        channel.tell(*least, kDraining);
      });
    }
    rig.at(t0 + 33, [&] {
      done = true;
      rig.stop();
    });
  });
  rig.run(70);
  if (!done) throw CannotRun{"the case did not come to its end"};
  if (!front.alive() || !second.alive()) throw CannotRun{"the front end's process ended"};
  std::size_t started = 0;
  for (auto &entry : viewers.requests) started += entry.second.stands;
  rig.record("%zu set-ups sent, %zu stood, %zu nodes drained", viewers.requests.size(), started, told.size());
  if (started < viewers.requests.size() / 3) throw CannotRun{"too few set-ups stood"};
  return held;
}

} // namespace

int main(int argc, char **argv) { return run_case(argc, argv, run); }
