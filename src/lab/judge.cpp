#include "lab/judge.h"
#include "lab/quantile.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <optional>
#include <set>

namespace snowshore::lab {

namespace {

// What two clocks' worth of sockets and loops may differ by on a busy machine. Only ever in favour of the
// fronts, and never as long as what a rule guards against lasts.
constexpr double kSkew = 0.06;
constexpr double kFrontSlack = 0.25; // beyond answer_slack: from the front's write to the player's read
constexpr std::size_t kShown = 5;

std::string time_of(double t, double begin) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.3f", t - begin);
  return buffer;
}

struct Allocation { // as a server's sockets saw it
  std::string play, server, title, product, front, boot;
  int number = 0, rung = 0;
  double arrived = 0, expires = 0;
  double answered = INFINITY, closed = INFINITY, withdrawn = INFINITY, ended = INFINITY;
  int status = 0;
  bool answer_lost = false;
  double late_by = 0;

  // Started, and its answer was on its way to the front before the time that it was given.
  bool told_started() const { return status == 201 && !answer_lost && answered + late_by <= expires + kSkew; }
  // Until when it was out, or its play ran.
  double over() const {
    double end = std::min({closed, withdrawn, ended});
    if (told_started()) return end;
    return std::min({end, expires, status != 0 && !answer_lost && late_by <= 0 ? answered : INFINITY});
  }
  bool may_have_run() const { return status != 503; }
};

class Judge {
 public:
  Judge(const Day &day, const Traces &traces) : day_(day), traces_(traces) {}

  Verdict run() {
    read_fleet();
    read_servers();
    rule_answers();
    rule_allocations();
    rule_drains();
    rule_cold();
    rule_terms();
    rule_budget();
    std::ranges::sort(verdict_.first_frames);
    return std::move(verdict_);
  }

 private:
  void breach(int rule, const std::string &text) {
    verdict_.breaches[static_cast<std::size_t>(rule - 1)].push_back({text});
  }
  std::string at(double t) const { return time_of(t, begin_); }

  struct Span {
    double from, to;
  };

  void read_fleet() {
    for (const Json &line : traces_.fleet) {
      std::string is = line["is"];
      double t = line["t"];
      if (is == "day_start") begin_ = t;
      if (!line.contains("front")) continue;
      std::string front = line["front"];
      if (is == "front_kill") kills_[front].push_back(t);
      if (is == "front_start") starts_[front].push_back(t);
      if (is == "front_stall") stalls_[front].push_back({t, INFINITY});
      if (is == "front_go_on" && !stalls_[front].empty()) stalls_[front].back().to = t;
      if (is == "list") lists_[front].push_back({t, line["not_active"].get<std::set<std::string>>()});
      if (is == "front_died") verdict_.other.push_back({"front " + front + " died by itself at " + at(t)});
      if (is == "front_hangs") verdict_.other.push_back({"front " + front + " did not end after SIGTERM"});
      if (is == "front_exit" && line["code"] != 0)
        verdict_.other.push_back({"front " + front + " ended with code " + line["code"].dump()});
    }
  }

  bool killed_between(const std::string &front, double from, double to) const {
    auto it = kills_.find(front);
    return it != kills_.end() &&
           std::ranges::any_of(it->second, [&](double t) { return t >= from - kSkew && t <= to; });
  }
  bool down_at(const std::string &front, double t) const { // killed and not yet listening again
    auto k = kills_.find(front);
    if (k == kills_.end()) return false;
    for (double kill : k->second) {
      double back = INFINITY;
      if (auto s = starts_.find(front); s != starts_.end()) {
        for (double start : s->second) {
          if (start > kill) back = std::min(back, start);
        }
      }
      if (t >= kill - kSkew && t <= back + 1.5) return true;
    }
    return false;
  }
  // The first moment from t on at which the front's process was running.
  double running_from(const std::string &front, double t) const {
    auto it = stalls_.find(front);
    if (it == stalls_.end()) return t;
    for (const Span &stall : it->second) {
      if (t >= stall.from - kSkew && t < stall.to) t = stall.to;
    }
    return t;
  }
  double stalled_within(const std::string &front, double from, double to) const {
    double sum = 0;
    if (auto it = stalls_.find(front); it != stalls_.end()) {
      for (const Span &stall : it->second)
        sum += std::max(0.0, std::min(to, stall.to) - std::max(from, stall.from));
    }
    return sum;
  }

  void read_servers() {
    for (const Json &line : traces_.servers) {
      std::string is = line["is"], server = line["server"];
      double t = line["t"];
      if (is == "start" && line["cold"]) cold_starts_[server].push_back(t);
      if (is == "fell") breach(4, "server " + server + " was pushed over at " + at(t));
      if (is == "malformed")
        verdict_.other.push_back(
            {"server " + server + " was sent something malformed: " + line["why"].get<std::string>()});
      if (!line.contains("play")) continue;
      std::string play = line["play"];
      if (is == "set_up") {
        Allocation a;
        a.play = play, a.server = server, a.title = line["title"], a.product = line["product"];
        a.front = line["front"], a.boot = line["boot"], a.number = line["number"], a.rung = line["rung"];
        a.arrived = t, a.expires = t + line["expires_in"].get<double>();
        by_play_[play].push_back(allocations_.size());
        allocations_.push_back(a);
        continue;
      }
      if (is == "rung") {
        rungs_.push_back({t, play, server, line["rung"]});
        continue;
      }
      Allocation *a = find(play, server);
      if (!a) continue;
      if (is == "answer" && line["number"] == a->number) {
        a->answered = t, a->status = line["status"];
        a->answer_lost = line.contains("lost");
        a->late_by = line.value("late_by", 0.0);
      }
      if (is == "closed") a->closed = std::min(a->closed, t);
      if (is == "withdraw") a->withdrawn = std::min(a->withdrawn, t);
      if (is == "end") a->ended = std::min(a->ended, t);
    }
    verdict_.set_ups = allocations_.size();
  }

  Allocation *find(const std::string &play, const std::string &server) { // its last there
    auto it = by_play_.find(play);
    if (it == by_play_.end()) return nullptr;
    for (auto i = it->second.rbegin(); i != it->second.rend(); ++i) {
      if (allocations_[*i].server == server) return &allocations_[*i];
    }
    return nullptr;
  }

  // ---- 1: each play taken gets exactly one answer in time.
  void rule_answers() {
    struct Ask {
      double t, limit;
      std::string front, product;
      int answers = 0, status = 0;
      double answered = 0;
      bool left = false, gone = false;
      std::string ending, play;
      std::uint64_t player;
    };
    std::map<std::uint64_t, Ask> asks;
    std::map<std::uint64_t, double> frames;
    for (const Json &line : traces_.players) {
      std::string is = line["is"];
      if (!line.contains("ask")) continue;
      std::uint64_t number = line["ask"];
      double t = line["t"];
      if (is == "ask")
        asks[number] = {t,  line["limit"], line["front"], line["product"], 0, 0, 0, false, false, "",
                        "", line["player"]};
      auto it = asks.find(number);
      if (it == asks.end()) {
        breach(1, "an answer to no request, ask " + std::to_string(number) + " at " + at(t));
        continue;
      }
      Ask &ask = it->second;
      if (is == "answer") {
        ++ask.answers, ask.answered = t, ask.status = line["status"];
        ask.play = line.value("play", "");
        if (ask.status == 503 && !line.contains("retry_after"))
          breach(1, "a decline without Retry-After, ask " + std::to_string(number) + " at " + at(t));
      }
      if (is == "no_answer") ask.gone = true, ask.answered = t, ask.ending = line["ending"];
      if (is == "left") ask.left = true;
      if (is == "media" && line["status"] == 200) frames[number] = line["first_frame"];
      if (is == "media" && line["status"] != 200) media_refused_[number] = t;
      if (is == "bad_location") breach(1, "a redirect to nowhere, ask " + std::to_string(number));
    }
    double slack = day_.site.seconds("answer_slack") + kFrontSlack;
    std::map<std::uint64_t, bool> first_of_player;
    for (const auto &[number, ask] : asks) {
      std::size_t product = product_index(ask.product);
      double importance = day_.terms.record.items("products")[product].number("importance");
      bool first_try = first_of_player.try_emplace(ask.player, true).second;
      if (first_try) verdict_.asked += importance;
      ++verdict_.asks;
      std::string what = "ask " + std::to_string(number) + " of front " + ask.front + " at " + at(ask.t);
      if (ask.left) {
        ++verdict_.outcomes["left"];
        continue;
      }
      // A front whose process stands still takes nothing and answers nothing; it owes the answer once it goes
      // on.
      double due = running_from(ask.front, running_from(ask.front, ask.t) + ask.limit) + slack;
      if (ask.answers > 1)
        breach(1, what + ": " + std::to_string(ask.answers) + " answers, play " + ask.play);
      if (ask.answers == 0) {
        if (ask.gone && ask.ending == "unreachable") { // not taken by any front
          ++verdict_.outcomes["not taken"];
          if (!down_at(ask.front, ask.t) && stalled_within(ask.front, ask.t, ask.answered) <= 0)
            breach(1, what + ": no connection, and the front was up");
        } else if (killed_between(ask.front, ask.t, ask.answered + kSkew) ||
                   (ask.gone && down_at(ask.front, ask.t))) {
          ++verdict_.outcomes["front killed"];
          ++verdict_.not_judged["asks whose front was killed before the answer"];
        } else if (ask.gone && ask.ending == "timed_out" && ask.answered < due) {
          ++verdict_.outcomes["stood still"];
          ++verdict_.not_judged["asks that lay unread while the front's process stood still"];
        } else {
          ++verdict_.outcomes["none"];
          breach(1, what + ": no answer (" + (ask.gone ? ask.ending : "nothing") + ")");
        }
        continue;
      }
      if (ask.answered > due)
        breach(1, what + ": answered late, at " + at(ask.answered) + ", due " + at(due));
      ++verdict_.outcomes[ask.status == 307   ? "plays"
                          : ask.status == 503 ? (ask.play.empty() ? "turned away" : "declined")
                          : ask.status == 502 || ask.status == 504 ? "failed"
                                                                   : "status " + std::to_string(ask.status)];
      if (ask.status != 307) continue;
      ++verdict_.plays;
      // Players and servers must agree: the play that is redirected to has started at a server.
      auto it = by_play_.find(ask.play);
      bool started = false;
      double ended = INFINITY;
      if (it != by_play_.end()) {
        for (std::size_t i : it->second) {
          if (allocations_[i].status == 201) started = true, ended = allocations_[i].over();
        }
      }
      if (!started)
        verdict_.disagreements.push_back({what + ": told to play " + ask.play + ", which no server started"});
      else if (auto refused = media_refused_.find(number);
               refused != media_refused_.end() && refused->second < ended)
        verdict_.disagreements.push_back({what + ": play " + ask.play + " was not there for its player"});
      if (auto frame = frames.find(number); frame != frames.end()) {
        verdict_.first_frames.push_back(frame->second);
        double target = day_.terms.record.items("products")[product].seconds("first_frame_target");
        if (frame->second <= target && !served_.contains(ask.player)) {
          served_.insert(ask.player);
          verdict_.served += importance;
        }
      }
    }
  }

  std::size_t product_index(const std::string &name) const {
    for (std::size_t p = 0; p < day_.terms.products.size(); ++p) {
      if (day_.terms.products[p].name == name) return p;
    }
    return 0;
  }

  std::string described(const Allocation &a) const {
    return "play " + a.play + " allocation " + std::to_string(a.number) + " at server " + a.server + " " +
           at(a.arrived);
  }

  // ---- 2: at most one allocation out per play; one that is paid for is never sent twice where it may have
  // run.
  void rule_allocations() {
    std::map<std::string, int> answers; // play: status told to the player
    for (const Json &line : traces_.players) {
      if (line["is"] == "answer" && line.contains("play")) answers[line["play"]] = line["status"];
    }
    for (const auto &[play, list] : by_play_) {
      for (std::size_t i = 0; i < list.size(); ++i) {
        const Allocation &a = allocations_[list[i]];
        for (std::size_t j = i + 1; j < list.size(); ++j) {
          const Allocation &b = allocations_[list[j]];
          if (b.arrived < a.over() - kSkew)
            breach(2, described(b) + " while allocation " + std::to_string(a.number) + " at server " +
                          a.server + " was out until " + (std::isinf(a.over()) ? "the end" : at(a.over())));
        }
        bool paid = day_.terms.record.items("products")[product_index(a.product)].text("set_up") != "safe";
        if (!paid || !a.may_have_run()) continue;
        if (i + 1 < list.size())
          breach(2, described(allocations_[list[i + 1]]) + ": paid for, and allocation " +
                        std::to_string(a.number) + " may have run");
        if (auto told = answers.find(play); told != answers.end() && told->second == 503)
          breach(2, "play " + play + ": declined, paid for, and allocation " + std::to_string(a.number) +
                        " at " + a.server + " may have run");
      }
    }
  }

  // ---- 3: nothing new to a server past the grace after the front's list said that it drains or is gone.
  void rule_drains() {
    double grace = day_.site.seconds("drain_grace");
    for (const Allocation &a : allocations_) {
      auto it = lists_.find(a.front);
      if (it == lists_.end()) continue;
      double told = INFINITY; // since when every list named it as not active
      for (const auto &[t, gone] : it->second) {
        if (t > a.arrived) break;
        if (gone.contains(a.server))
          told = std::min(told, t);
        else
          told = INFINITY;
      }
      if (std::isinf(told)) continue;
      double heard = running_from(a.front, told);
      if (a.arrived > heard + grace + kSkew)
        breach(3, described(a) + ", " + time_of(a.arrived, heard) + " s after front " + a.front +
                      " was told that it drains or is gone");
    }
  }

  // ---- 4: what all fronts together send to a cold server within any span stays under its budget.
  void rule_cold() {
    double warm_up = day_.site.seconds("warm_up"), least = day_.site.number("cold_share");
    double window = day_.site.seconds("fall_span"), multiple = day_.site.number("fall_multiple");
    std::map<std::string, std::vector<double>> arrivals;
    for (const Allocation &a : allocations_) arrivals[a.server].push_back(a.arrived);
    for (const auto &[server, starts] : cold_starts_) {
      auto &times = arrivals[server];
      std::ranges::sort(times);
      for (double start : starts) {
        std::deque<double> within;
        for (double t : times) {
          if (t < start || t > start + warm_up) continue;
          within.push_back(t);
          while (within.front() <= t - window) within.pop_front();
          double pace = day_.places / warm_up * (least + (1 - least) * (t - start) / warm_up);
          double most = multiple * pace * window + 2;
          if (static_cast<double>(within.size()) > most)
            breach(4, "server " + server + " got " + std::to_string(within.size()) +
                          " set-ups within a span that ends at " + at(t) + ", " + time_of(t, start) +
                          " s after its cold start, where it takes " + time_of(most, 0));
        }
      }
    }
  }

  // ---- 5: no rung under the floor; no more plays of a title and product at a front than seats.
  void rule_terms() {
    auto products = day_.terms.record.items("products");
    for (const Allocation &a : allocations_) {
      int floor = products[product_index(a.product)].integer("floor");
      if (a.rung < floor)
        breach(5, described(a) + ": rung " + std::to_string(a.rung) + " under the floor " +
                      std::to_string(floor));
    }
    for (const auto &[t, play, server, rung] : rungs_) {
      ++verdict_.rung_steps;
      auto it = by_play_.find(play);
      if (it == by_play_.end()) continue;
      int floor = products[product_index(allocations_[it->second.back()].product)].integer("floor");
      if (rung < floor)
        breach(5,
               "play " + play + " stepped to rung " + std::to_string(rung) + " under the floor at " + at(t));
    }
    struct Edge {
      double t;
      int by;
      const Allocation *a;
    };
    std::map<std::string, std::vector<Edge>> holders;
    for (const Allocation &a : allocations_) {
      if (products[product_index(a.product)].integer("seats") <= 0) continue;
      std::string who = a.front + " " + a.boot + " " + a.title + " " + a.product;
      double over = a.over() - kSkew;
      if (over <= a.arrived) continue;
      holders[who].push_back({a.arrived, 1, &a});
      if (!std::isinf(over)) holders[who].push_back({over, -1, &a});
    }
    for (auto &[who, edges] : holders) {
      std::ranges::sort(
          edges, [](const Edge &x, const Edge &y) { return std::pair(x.t, x.by) < std::pair(y.t, y.by); });
      int held = 0;
      for (const Edge &edge : edges) {
        held += edge.by;
        int seats = products[product_index(edge.a->product)].integer("seats");
        if (edge.by > 0 && held > seats)
          breach(5, described(*edge.a) + ": " + std::to_string(held) + " plays of title " + edge.a->title +
                        " at front " + edge.a->front + ", seats " + std::to_string(seats));
      }
    }
  }

  // ---- 6: allocations beyond each play's first stay in budget in every window.
  void rule_budget() {
    Record further = day_.site.at("further");
    double span = further.seconds("span"), free = further.number("free"), share = further.number("share");
    std::map<std::string, std::vector<double>> taken,
        more; // by front and start; a front's start from its plays' ids
    for (const Allocation &a : allocations_) {
      if (a.number > 0) ++verdict_.further, more[a.front + " " + a.boot].push_back(a.arrived);
    }
    if (span <= 0) return;
    std::map<std::string, std::vector<double>> asked;
    for (const Json &line : traces_.players) {
      if (line["is"] == "ask") asked[line["front"]].push_back(line["t"]);
    }
    for (auto &[who, times] : more) {
      std::string front = who.substr(0, who.find(' '));
      std::ranges::sort(times);
      const auto &asks = asked[front];
      for (std::size_t i = 0; i < times.size(); ++i) {
        double t = times[i];
        // Sent up to kSkew before they arrived: the window is narrowed for what was sent, widened for what
        // was taken.
        auto sent = std::count_if(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                                  [&](double s) { return s > t - span + 2 * kSkew; });
        auto plays = std::count_if(asks.begin(), asks.end(),
                                   [&](double s) { return s > t - span - 2 * kSkew && s <= t; });
        if (static_cast<double>(sent) > free + share * static_cast<double>(plays))
          breach(6, "front " + front + " made " + std::to_string(sent) +
                        " further allocations in the span that ends at " + at(t) + ", having taken " +
                        std::to_string(plays) + " plays");
      }
    }
  }

  using Record = records::Record;
  struct Step {
    double t;
    std::string play, server;
    int rung;
  };
  const Day &day_;
  const Traces &traces_;
  Verdict verdict_;
  double begin_ = 0;
  std::map<std::string, std::vector<double>> kills_, starts_, cold_starts_;
  std::map<std::string, std::vector<Span>> stalls_;
  std::map<std::string, std::vector<std::pair<double, std::set<std::string>>>> lists_;
  std::vector<Allocation> allocations_;
  std::map<std::string, std::vector<std::size_t>> by_play_;
  std::vector<Step> rungs_;
  std::map<std::uint64_t, double> media_refused_;
  std::set<std::uint64_t> served_;
};

std::vector<Json> read_lines(const std::string &file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot read " + file);
  std::vector<Json> out;
  std::string text;
  for (std::size_t number = 1; std::getline(in, text); ++number) {
    Json line = Json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("is") || !line.contains("t"))
      throw std::runtime_error(file + ":" + std::to_string(number) + ": no line of a trace");
    out.push_back(std::move(line));
  }
  return out;
}

} // namespace

int Verdict::kept() const {
  return static_cast<int>(std::ranges::count_if(breaches, [](const auto &b) { return b.empty(); }));
}

Traces read_traces(const std::string &folder) {
  return {read_lines(folder + "/fleet.jsonl"), read_lines(folder + "/servers.jsonl"),
          read_lines(folder + "/players.jsonl")};
}

Verdict judge(const Day &day, const Traces &traces) { return Judge(day, traces).run(); }

std::string report(const Verdict &v, bool in_full) {
  std::string out;
  char line[256];
  auto show = [&](const std::vector<Evidence> &list) {
    for (std::size_t i = 0; i < list.size() && (in_full || i < kShown); ++i)
      out += "      " + list[i].text + "\n";
    if (!in_full && list.size() > kShown)
      out += "      and " + std::to_string(list.size() - kShown) + " more\n";
  };
  for (std::size_t r = 0; r < v.breaches.size(); ++r) {
    std::snprintf(line, sizeof line, "  rule %zu, %-30s %s\n", r + 1, kRules[r],
                  v.breaches[r].empty() ? "kept" : "BROKEN");
    out += line;
    show(v.breaches[r]);
  }
  for (const auto &[title, list] :
       {std::pair("players and servers disagree", &v.disagreements), std::pair("besides", &v.other)}) {
    if (list->empty()) continue;
    out += std::string("  ") + title + ":\n";
    show(*list);
  }
  out += "  outcomes:";
  for (const auto &[name, count] : v.outcomes) out += " " + name + " " + std::to_string(count) + ";";
  std::snprintf(line, sizeof line, "\n  asks %llu, set-ups %llu, further %llu, steps of rung %llu\n",
                static_cast<unsigned long long>(v.asks), static_cast<unsigned long long>(v.set_ups),
                static_cast<unsigned long long>(v.further), static_cast<unsigned long long>(v.rung_steps));
  out += line;
  std::snprintf(
      line, sizeof line,
      "  service %.3f of the importance asked for; first frame p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n",
      v.asked > 0 ? v.served / v.asked : 0, quantile(v.first_frames, 0.5) * 1e3,
      quantile(v.first_frames, 0.95) * 1e3, quantile(v.first_frames, 0.99) * 1e3);
  out += line;
  for (const auto &[reason, count] : v.not_judged)
    out += "  not judged: " + std::to_string(count) + " " + reason + "\n";
  out += "rules kept: " + std::to_string(v.kept()) + " of 6\n";
  return out;
}

} // namespace snowshore::lab
