// Sessions end after the viewers' resting connections ended, in a time in which new set-ups are refused.
#include "rig.h"

using namespace rig;

namespace {

constexpr double kReleaseWithin = 1, kSlack = 0.05;
constexpr double kLink = 5600;
constexpr double kLadder[] = {220, 400, 700, 2000};

const char *kSettings =
    R"({"group_size":1,"index":0,"areas":["cd-puerto"],"skus":["std-2c"],"my_zone":"cd-puerto",
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

bool run(Rig &rig, const std::string &folder) {
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::uint64_t, double> released;
  bool held = true;
  std::size_t late = 0;
  for (std::uint32_t i = 0; i < 4; ++i) {
    nodes.push_back(std::make_unique<Node>(rig, 0x00c41f00 + i * 17, 0));
    Node *node = nodes.back().get();
    node->life = [](std::uint64_t session) { return 18.0 + static_cast<double>(session % 20); };
    node->link_demand = [node] {
      double sum = 0;
      for (auto &entry : node->sessions) sum += kLadder[entry.second.rung];
      // The sessions of other front ends take the rest of a full node.
      return node->full ? 1.1 : sum / kLink;
    };
    node->on_release = [&](std::uint64_t session) { released.emplace(session, rig.now()); };
  }
  Channel channel(rig);
  std::vector<Node *> listed;
  for (auto &node : nodes) listed.push_back(node.get());
  Front front(rig, folder);
  front.start(kSettings, Channel::known(listed, {"cd-puerto"}, "std-2c"), channel.port);
  Viewers viewers(rig, front.port, 4);
  bool done = false;

  front.wait_ready([&] {
    viewers.connect();
    double t0 = rig.now() + 0.5;
    for (int i = 0; i < 3 * 42; ++i)
      rig.at(t0 + i / 3.0, [&, i] {
        viewers.start(i % 3 ? "standard" : "priority", i % 3 ? 4 : 3, 3, i, "7f3a9c21e0b4d655", 1);
      });
    for (auto &node : nodes) {
      Node *noted = node.get();
      for (int i = 0; i < 14; ++i)
        rig.at(t0 + 3.0 * i + 0.1 * (noted->id % 17), [noted] { noted->periodic_note(); });
    }
    // A crowd at the other front ends: from here on the nodes have no place left.
    rig.at(t0 + 15, [&] {
      for (auto &node : nodes) node->full = true;
      rig.record("nodes: all are full");
    });
    if (with_trouble()) rig.at(t0 + 17.15, [&] { viewers.reset_connections(); });
    rig.at(t0 + 17.25, [&] { viewers.connect(); });
    rig.at(t0 + 42, [&] {
      done = true;
      rig.stop();
    });
  });
  rig.run(90);
  if (!done) throw CannotRun{"the case did not come to its end"};
  if (!front.alive()) throw CannotRun{"the front end's process ended"};
  std::size_t judged = 0;
  for (auto &[session, at] : released) {
    const Request &request = viewers.requests[session];
    if (!request.stands || at > rig.now() - 9) continue;
    ++judged;
    double took = request.over_at >= 0 ? request.over_at - at : -1;
    if (took >= 0 && took <= kReleaseWithin + kSlack) continue;
    ++late;
    held = false;
    if (took < 0)
      rig.record("check: BROKEN, %s was released by its node at %.3f and never towards its viewer",
                 hex16(session).c_str(), at);
    else
      rig.record("check: BROKEN, %s was released by its node at %.3f and towards its viewer %.3f s later",
                 hex16(session).c_str(), at, took);
  }
  rig.record("%zu set-ups sent, %zu sessions judged, %zu released late or never", viewers.requests.size(),
             judged, late);
  if (judged < 5) throw CannotRun{"too few sessions ended"};
  return held;
}

} // namespace

int main(int argc, char **argv) { return run_case(argc, argv, run); }
