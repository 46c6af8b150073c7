// Rule: a cold server is never pushed over by all fronts together. Many fronts over one list, on one clock;
// the cold server's arrivals from all of them are counted in every span, against what it bears at its start,
// with the slack for chance that a fall leaves.
#include "helpers.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <functional>
#include <queue>
#include <random>

using namespace snowshore;
using namespace snowshore::testing;

namespace {

constexpr double kStart = 1000.25; // of the cold server; not at the edge of a turn
constexpr double kTick = 0.01;

struct Fleet {
  int fronts = 20;
  double places = 24, warm_up = 12, share = 0.5, multiple = 2, span = 2;
  double late = 0;        // part of the connections that come up late, up to a second
  double wanted = 4;      // set-ups asked for over what the server bears
  double told_within = 0; // a front is told of the start so late at most
  double restarted = 0;   // part of the fronts that come back without memory, within 0.3 s of each other
  double restart_after = 4;
  double lasts = INFINITY; // looked at for so long, its whole warm-up at most
  bool in_place = false;   // it was listed before, and a front not told takes it for warm
  bool others_full = true; // other servers are full, else there are none
  double skew = 0.003;     // of the fronts' clocks, either way
  unsigned seed = 1;

  double bears() const { return multiple * share * span * places / warm_up; } // in a span, at its start
  double falls_over() const { return bears() + 2 * std::sqrt(bears()) + 2; }
};

std::string name(const Fleet &f) {
  return "seed " + std::to_string(f.seed) + ": " + std::to_string(f.fronts) + " fronts, bears " +
         std::to_string(f.bears()) + " in " + std::to_string(f.span) + " s, warm after " +
         std::to_string(f.warm_up) + ", late " + std::to_string(f.late) + ", wanted " +
         std::to_string(f.wanted) + ", told within " + std::to_string(f.told_within) + ", restarted " +
         std::to_string(f.restarted) + (f.in_place ? ", in place" : "") +
         (f.others_full ? ", others full" : ", alone");
}

struct Arrival {
  double at = 0;
  bool told = false;
};

// One front and the sockets under it: what it allocates on the cold server leaves when its connection is up.
struct Member : DecisionHandler {
  struct Due {
    double at;
    int play;
    bool start;
    bool operator>(const Due &other) const { return at > other.at; }
  };
  std::unique_ptr<DecisionEngine> front;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due;
  std::vector<int> unused;
  std::vector<Arrival> *arrivals = nullptr;
  double now = 0, skew = 0, rate = 0, told_at = 0, restart_at = INFINITY, up_late = 0, up_at = -1;
  bool told = false;
  int plays = 0;

  void set_rung(int, int) override {}
  void start_allocation(int play, int server, double) override {
    if (server != 0) return due.push({now + 0.1, play, true});
    if (up_at < 0) up_at = now + 0.002 + up_late;
    double arrival = std::max(now + 0.001, up_at);
    arrivals->push_back({arrival, told});
    due.push({arrival + 0.1, play, true});
  }
  void decline_play(int, double) override {}
  void fail_play(int) override {}
  void move_play(int) override {}
  void recall_allocation(int, int) override {}
  void forget_play(int play) override { unused.push_back(play); }
  void forget_server(int) override {}
  void probe_server(int) override {}
  void request_server_list() override {}
  void set_timer(double, int) override {}
  void log_message(const std::string &) override {}

  void ask() {
    int play = plays;
    if (unused.empty())
      ++plays;
    else
      play = unused.back(), unused.pop_back();
    front->play_requested(play, Scene::terms(0));
  }
  void answer() {
    while (!due.empty() && due.top().at <= now) {
      Due next = due.top();
      due.pop();
      if (next.start) {
        front->play_started(next.play, 0, 0.1);
        due.push({now + 2, next.play, false});
      } else {
        front->allocation_ended(next.play, 0, Outcome::done, true, {});
      }
    }
  }
};

std::vector<Arrival> play(const Fleet &fleet) {
  std::mt19937 random(fleet.seed);
  auto part = [&] { return static_cast<double>(random()) / 4294967296.0; };
  DecisionSettings given = plain_given();
  given["fronts"] = std::to_string(fleet.fronts);
  given["kind_places"] = std::to_string(fleet.places);
  given["warm_up"] = std::to_string(fleet.warm_up);
  given["cold_share"] = std::to_string(fleet.share);
  given["fall_multiple"] = std::to_string(fleet.multiple);
  given["fall_span"] = std::to_string(fleet.span);
  given["link_per_weight"] = "1000000";

  std::vector<ServerEntry> others;
  for (int s = 1; s < 3 && fleet.others_full; ++s)
    others.push_back({s, static_cast<std::uint64_t>(1000 + s), 0, 0, s, ServerStatus::active, 4, 0});
  ServerEntry cold{0, 1000, 0, 0, 0, ServerStatus::active, 4, 0};
  std::vector<Arrival> arrivals;
  std::vector<Member> members(static_cast<std::size_t>(fleet.fronts));
  auto open = [&](Member &m, bool again) {
    int index = static_cast<int>(&m - members.data());
    given["front_index"] = std::to_string(index);
    m.due = {}, m.unused.clear(), m.plays = 0, m.up_at = -1;
    m.front =
        make_decision_engine(given, fleet.seed * 1000 + static_cast<unsigned>(index), m.now + m.skew, m);
    m.front->set_time(m.now + m.skew);
    std::vector<ServerEntry> list = others;
    if (fleet.in_place || m.told) list.push_back(cold);
    if (m.told) list.back().started_at = kStart;
    m.front->server_list_updated(ListUpdateKind::initial, list);
    if (again) return;
    m.front->play_handed_over(m.plays, 1, Scene::terms(0));
    m.front->allocation_ended(m.plays++, 0, Outcome::done, true, {});
  };
  double rate_in_all = 0;
  for (Member &m : members) {
    m.arrivals = &arrivals, m.now = kStart - 1;
    m.skew = (2 * part() - 1) * fleet.skew;
    m.rate = part() < 0.2 ? 3 + 2 * part() : 0.1 + part(); // some see several times the mean
    rate_in_all += m.rate;
    m.told_at = kStart + fleet.told_within * part();
    m.up_late = part() < fleet.late ? 1 - 0.2 * part() : 0;
    if (part() < fleet.restarted) m.restart_at = kStart + fleet.restart_after + 0.3 * part();
    open(m, false);
  }
  for (int tick = -100; tick * kTick < std::min(fleet.warm_up, fleet.lasts); ++tick) {
    double now = kStart + tick * kTick;
    for (Member &m : members) {
      m.now = now;
      m.front->set_time(now + m.skew);
      if (now >= m.restart_at) m.restart_at = INFINITY, open(m, true);
      if (!m.told && now >= m.told_at) {
        m.told = true;
        ServerEntry news = cold;
        news.started_at = kStart;
        m.front->server_list_updated(ListUpdateKind::changes, std::span(&news, 1));
      }
      if (tick % 200 == 0) {
        LoadReport full, idle;
        full.link_demand = 1.5, idle.link_demand = 0.01;
        for (const ServerEntry &other : others) m.front->probe_answered(other.server, Outcome::done, full);
        if (m.told || fleet.in_place) m.front->probe_answered(0, Outcome::done, idle);
      }
      m.answer();
      if (now < kStart) continue;
      double asked = fleet.wanted * fleet.bears() / fleet.span * m.rate / rate_in_all * kTick;
      for (; asked >= 1 || part() < asked; --asked) m.ask();
    }
  }
  std::erase_if(arrivals, [&](const Arrival &a) { return a.at >= kStart + fleet.warm_up; });
  std::ranges::sort(arrivals, {}, &Arrival::at);
  return arrivals;
}

struct Worst {
  std::size_t most = 0, fell_on = 0; // arrivals in a span: the most, and those of the first fall
  double told = 0;                   // part of the fall's that came from fronts told of the start
};

Worst worst_span(const Fleet &fleet, std::span<const Arrival> arrivals) {
  Worst worst;
  std::size_t from = 0, told = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    told += arrivals[i].told;
    for (; arrivals[from].at <= arrivals[i].at - fleet.span; ++from) told -= arrivals[from].told;
    std::size_t in_span = i + 1 - from;
    worst.most = std::max(worst.most, in_span);
    if (worst.fell_on > 0 || static_cast<double>(in_span) <= fleet.falls_over()) continue;
    worst.fell_on = in_span;
    worst.told = static_cast<double>(told) / static_cast<double>(in_span);
  }
  return worst;
}

void check(const Fleet &fleet, bool always_used = true) {
  INFO(name(fleet));
  std::vector<Arrival> arrivals = play(fleet);
  Worst worst = worst_span(fleet, arrivals);
  INFO("most in a span " << worst.most << ", falls over " << fleet.falls_over() << ", sent in all "
                         << arrivals.size());
  if (always_used) CHECK(!arrivals.empty());
  CHECK((worst.fell_on == 0 || worst.told <= 2.0 / 3));
  if (!fleet.in_place) CHECK(worst.fell_on == 0); // nobody sends before it was told
}

} // namespace

// Places so that the parts of the budget come out just whole: the most that fronts may send.
Fleet fleet_of(int fronts, double parts, double wanted) {
  Fleet fleet;
  fleet.fronts = fronts, fleet.wanted = wanted;
  fleet.places = std::ceil(fronts * parts * fleet.warm_up / 2 / 0.9);
  fleet.seed = static_cast<unsigned>(fronts + 10 * parts);
  return fleet;
}

TEST_CASE("a cold server stands whatever the fleet's size, by parts and by turns, with late connections") {
  for (int fronts : {1, 4, 7, 20, 30, 300}) {
    for (double parts : {4.0, 2.0, 1.0, 0.5, 0.1}) {
      if (fronts == 300 && parts > 1) continue; // more than any server bears
      if (fronts * parts < 1) continue;         // under one set-up a span: nothing is sent
      for (double late : {0.0, 0.3, 1.0}) {
        Fleet fleet = fleet_of(fronts, parts, fronts == 300 ? 12 : 30);
        fleet.late = late;
        check(fleet);
      }
    }
  }
}

TEST_CASE("a cold server stands when most fronts are killed and come back at once") {
  for (int fronts : {20, 30, 300}) {
    for (double parts : {1.0, 0.5, 0.1}) {
      Fleet fleet = fleet_of(fronts, parts, 40);
      fleet.restarted = 0.7, fleet.restart_after = 4, fleet.lasts = 6.5;
      check(fleet);
    }
  }
}

TEST_CASE("a cold server stands on drawn fleets, budgets, traffic and delays") {
  for (unsigned seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    auto between = [&](double a, double b) {
      return a + (b - a) * static_cast<double>(random()) / 4294967296.0;
    };
    Fleet fleet;
    fleet.seed = seed;
    constexpr int kFronts[] = {20, 30, 300, 0};
    fleet.fronts = kFronts[seed % 4] > 0 ? kFronts[seed % 4] : static_cast<int>(between(1, 60));
    fleet.places = std::floor(std::exp(between(std::log(10), std::log(400))));
    fleet.warm_up = between(5, 12), fleet.share = between(0.15, 0.6);
    fleet.multiple = between(2, 3), fleet.span = between(1, 2);
    fleet.late = between(0, 1) < 0.5 ? 0 : between(0, 0.5);
    fleet.wanted = std::exp(between(0, std::log(40)));
    fleet.told_within = between(0, 1) < 0.5 ? 0 : between(0, 3);
    fleet.restart_after = between(0.5, fleet.warm_up);
    fleet.restarted = seed % 3 == 0 ? 0.1 : seed % 3 == 1 ? 0.7 : 0;
    fleet.in_place = seed % 5 == 0;
    fleet.others_full = seed % 2 == 0;
    check(fleet, false);
  }
}
