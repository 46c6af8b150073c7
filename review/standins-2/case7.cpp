// A zone is lost with a front end and its playout nodes; the front end is back somewhat later than the nodes.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr double kReleaseWithin = 8, kCountsAfter = 0.2, kSlack = 0.05;
// The nodes of the zone are back after 5 s, the front end is started so long after them, and the list tells
// of the nodes' start so long after it.
constexpr double kLost = 5, kFrontLater = 2.6, kToldLater = 2.0;
constexpr double kLink = 5600;
constexpr double kLadder[] = {220, 400, 700, 2000};

const char *kSettings =
    R"({"group_size":1,"index":0,"areas":["hall-a","hall-b"],"skus":["two-core"],"my_zone":"hall-a",
"discovery":"pushed","weights":"rough","tenants":[],"tick":0.01,"tier":0,"tiers":["clip-servers"],
"classes":[{"name":"new-session","on_time":0.8,"deadline":4.0,"worth":1.0,"effect":"safe","stream":true}],
"clients":{"marks_retry":false},"family":"streams",
"family_info":{"cells":1,"class_floor":[0],"class_top":[3],"class_seats":[0],"rate_factor":[0.7],
"kind_slots":[20],"groups":1,"ladder_kb":[220,400,700,2000],"worth_by_rung":[0.2,0.5,0.75,1.0],
"link_unit_kb":5600,"reports_every":4.0,"seen_after":0.8,"switch_cost_s":0.5,"full_from":1.2},
"limits":{"attempts_cap":3,"connect_timeout":0.25,"idle_close":30,"multiplex":32,"probes":false,"retry_after":true,
"max_retry_after":0.5,"cancel":true,"second_copies":false},
"report":{"how":"answers","names":["active","x0"]},
"rules":{"answer_slack":0.04,"cold":8,"cold_from":0.5,"fall_multiple":2.5,"tip_after":2.0,"stop_sending_within":1.0}})";

bool run(Rig &rig, const std::string &folder) {
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::uint64_t, Node *> node_of;
  std::set<std::uint64_t> cut;
  for (std::uint32_t i = 0; i < 6; ++i) {
    nodes.push_back(std::make_unique<Node>(rig, 0x00c41f00 + i * 17, 0));
    Node *node = nodes.back().get();
    node->zone = i < 3 ? 0 : 1;
    node->life = [](std::uint64_t session) { return 30.0 + static_cast<double>(session % 19); };
    node->link_demand = [node] {
      double sum = 0;
      for (auto &entry : node->sessions) sum += 0.7 * kLadder[entry.second.rung];
      return sum / kLink;
    };
    node->on_setup = [&, node](const Setup &setup) { node_of[setup.session] = node; };
  }
  Channel channel(rig);
  std::vector<Node *> listed;
  for (auto &node : nodes) listed.push_back(node.get());
  auto known = [&] { return Channel::known(listed, {"hall-a", "hall-b"}, "two-core"); };
  Front front(rig, folder);
  front.start(kSettings, known(), channel.port);
  Viewers viewers(rig, front.port, 4);
  bool done = false;
  auto ask = [&](int i) { viewers.start("new-session", 4, i % 4 ? 1 : 3, i, "7f3a9c21e0b4d655", 1); };

  front.wait_ready([&] {
    viewers.connect();
    double t0 = rig.now() + 0.5, lost = t0 + 10, back = lost + kLost, started = back + kFrontLater;
    for (int i = 0; i < 18; ++i) rig.at(t0 + i * 0.5, [&, i] { ask(i); });
    for (auto &node : nodes) {
      Node *noted = node.get();
      for (int i = 0; i < 12; ++i)
        rig.at(t0 + 4.0 * i + 0.2 * (noted->id % 17), [noted] { noted->periodic_note(); });
    }
    if (with_trouble()) {
      rig.at(lost, [&] {
        rig.record("zone hall-a is lost, with the front end");
        front.kill_now();
        for (int i = 0; i < 3; ++i) {
          for (auto &entry : nodes[static_cast<std::size_t>(i)]->sessions) cut.insert(entry.first);
          nodes[static_cast<std::size_t>(i)]->crash();
        }
      });
      rig.at(back, [&] {
        for (int i = 0; i < 3; ++i) nodes[static_cast<std::size_t>(i)]->come_back(unix_now());
      });
      // By now the list tells of the new starts, so that they stand in the configuration.
      static_assert(kFrontLater > kToldLater);
      rig.at(started, [&, started] {
        channel.restart();
        front.start(kSettings, known(), channel.port);
        front.wait_ready([&, started] {
          viewers.connect();
          viewers.hand_over([&](std::uint64_t tag) { return node_of[tag]->uid(); });
        });
      });
    }
    for (int i = 0; i < 40; ++i) rig.at(started + 1 + i * 0.4, [&, i] { ask(i); });
    rig.at(started + 22, [&] {
      done = true;
      rig.stop();
    });
  });
  rig.run(80);
  if (!done) throw CannotRun{"the case did not come to its end"};
  if (!front.alive()) throw CannotRun{"the front end's process ended"};
  bool held = true;
  std::size_t judged = 0, late = 0;
  for (std::uint64_t session : cut) {
    const Request &request = viewers.requests[session];
    if (request.handed_over_at < 0) continue;
    ++judged;
    double due = request.handed_over_at + kCountsAfter + kReleaseWithin + kSlack;
    if (request.over_at >= 0 && request.over_at <= due) continue;
    ++late;
    held = false;
    rig.record("check: BROKEN, %s was cut, handed over at %.3f, and released towards its viewer %s",
               hex16(session).c_str(), request.handed_over_at,
               request.over_at < 0
                   ? "never"
                   : format("%.3f s later", request.over_at - request.handed_over_at).c_str());
  }
  rig.record("%zu set-ups sent, %zu sessions cut and handed over, %zu of them released late or never",
             viewers.requests.size(), judged, late);
  if (with_trouble() && judged < 2) throw CannotRun{"too few sessions were cut"};
  return held;
}

} // namespace

int main(int argc, char **argv) { return run_case(argc, argv, run); }
