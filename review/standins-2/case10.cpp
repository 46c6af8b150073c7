// A machine goes silent while the front end stands still now and then. TROUBLE=vanish and TROUBLE=stall leave
// one of the two out.
#include "rig.h"

#include <algorithm>

using namespace rig;

namespace {

constexpr double kReleaseWithin = 8, kSlack = 0.05;
constexpr double kStall = 1.9, kStallEvery = 4.0;
constexpr int kStalls = 8;
constexpr double kVanish = 25;
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
  std::set<std::uint64_t> cut;
  double cut_at = -1;
  const char *trouble = getenv("TROUBLE");
  bool vanishes = with_trouble() && !(trouble && !strcmp(trouble, "stall"));
  bool stalls = with_trouble() && !(trouble && !strcmp(trouble, "vanish"));
  for (std::uint32_t i = 0; i < 5; ++i) {
    nodes.push_back(std::make_unique<Node>(rig, 0x00c41f00 + i * 17, 0));
    Node *node = nodes.back().get();
    node->life = [](std::uint64_t session) { return 31.0 + static_cast<double>(session % 13); };
    node->link_demand = [node] {
      double sum = 0;
      for (auto &entry : node->sessions) sum += kLadder[entry.second.rung];
      return sum / kLink;
    };
  }
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
    double t0 = rig.now() + 0.5, vanish = t0 + 9;
    for (int i = 0; i < 2 * 38; ++i)
      rig.at(t0 + i * 0.5, [&, i] {
        viewers.start(i % 3 ? "standard" : "priority", i % 3 ? 4 : 3, 3, i, "7f3a9c21e0b4d655", 1);
      });
    for (auto &node : nodes) {
      Node *noted = node.get();
      for (int i = 0; i < 12; ++i)
        rig.at(t0 + 3.0 * i + 0.1 * (noted->id % 17), [noted] { noted->periodic_note(); });
    }
    for (int k = 0; stalls && k < kStalls; ++k) {
      double at = t0 + 8 + k * kStallEvery;
      rig.at(at, [&] { front.signal(SIGSTOP, "stands still"); });
      rig.at(at + kStall, [&] { front.signal(SIGCONT, "goes on"); });
    }
    // One machine of five goes silent, the one with the most sessions.
    if (vanishes)
      rig.at(vanish, [&] {
        Node *most = nodes[0].get();
        for (auto &node : nodes)
          if (node->sessions.size() > most->sessions.size()) most = node.get();
        for (auto &entry : most->sessions) cut.insert(entry.first);
        cut_at = rig.now();
        most->vanish();
        rig.after(kVanish, [&, most] { most->come_back(unix_now()); });
        // The list tells that it has gone once that was noticed, and that it is back.
        rig.after(13, [&, most] { channel.tell(*most, kGone); });
        rig.after(kVanish + 1, [&, most] { channel.tell(*most, kReady); });
      });
    rig.at(t0 + 41, [&] {
      done = true;
      rig.stop();
    });
  });
  rig.run(70);
  if (!done) throw CannotRun{"the case did not come to its end"};
  if (!front.alive() || !second.alive()) throw CannotRun{"the front end's process ended"};
  bool held = true;
  std::size_t judged = 0, late = 0;
  for (std::uint64_t session : cut) {
    const Request &request = viewers.requests[session];
    if (!request.stands) continue;
    ++judged;
    if (request.over_at >= 0 && request.over_at <= cut_at + kReleaseWithin + kSlack) continue;
    ++late;
    held = false;
    rig.record("check: BROKEN, %s ended at %.3f and was released towards its viewer %s",
               hex16(session).c_str(), cut_at,
               request.over_at < 0 ? "never" : format("%.3f s later", request.over_at - cut_at).c_str());
  }
  rig.record("%zu set-ups sent, %zu sessions cut, %zu released late or never", viewers.requests.size(),
             judged, late);
  if (vanishes && judged < 2) throw CannotRun{"too few sessions were cut"};
  return held;
}

} // namespace

int main(int argc, char **argv) { return run_case(argc, argv, run); }
