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

// The number of seconds by which the times of two sockets and event loops may differ on a busy machine. The
// tolerance is applied only in favour of the front ends, and it is shorter than anything that a rule guards
// against.
constexpr double kClockTolerance = 0.06;
// The number of seconds, beyond the configured answer_slack, from a front end's write to the player's read.
constexpr double kDeliverySlack = 0.25;
// The number of items of evidence that are printed per list unless all are asked for.
constexpr std::size_t kShownEvidence = 5;

// Formats the seconds from `begin` to `t`.
std::string format_offset(double t, double begin) {
  char buffer[32];
  std::snprintf(buffer, sizeof buffer, "%.3f", t - begin);
  return buffer;
}

// An allocation as the server's sockets observed it. Times that never came are infinite.
struct Allocation {
  std::string play, server, title, product, front, boot;
  int number = 0, rung = 0;
  // When the set-up arrived, and when the time-out that it stated ends.
  double arrived = 0, expires = 0;
  double answered = INFINITY, closed = INFINITY, withdrawn = INFINITY, ended = INFINITY;
  int status = 0;
  bool answer_lost = false;
  // The number of seconds by which a fault held the answer back.
  double late_by = 0;

  // Returns whether the play started and the answer that says so was sent before the set-up timed out.
  bool start_confirmed() const {
    return status == 201 && !answer_lost && answered + late_by <= expires + kClockTolerance;
  }
  // Returns when the allocation stopped being outstanding or, if its start was confirmed, when its play
  // ended.
  double end_time() const {
    double end = std::min({closed, withdrawn, ended});
    if (start_confirmed()) return end;
    return std::min({end, expires, status != 0 && !answer_lost && late_by <= 0 ? answered : INFINITY});
  }
  // Returns whether the server may have started the play: it did unless it answered that it declines.
  bool may_have_started() const { return status != 503; }
};

// Checks the rules one after the other. An object judges one day.
class Judge {
 public:
  Judge(const Day &day, const Traces &traces) : day_(day), traces_(traces) {}

  Verdict run() {
    read_fleet_trace();
    read_server_trace();
    check_answers();
    check_allocations();
    check_drains();
    check_cold_starts();
    check_product_terms();
    check_allocation_budget();
    std::ranges::sort(verdict_.first_frame_times);
    return std::move(verdict_);
  }

 private:
  void add_violation(int rule, const std::string &text) {
    verdict_.violations[static_cast<std::size_t>(rule - 1)].push_back({text});
  }
  std::string offset(double t) const { return format_offset(t, day_start_); }

  // A time during which a front end was stopped.
  struct Span {
    double from, to;
  };

  // Collects when each front end was started, killed and stopped, and which servers its lists had as not
  // active.
  void read_fleet_trace() {
    for (const Json &line : traces_.fleet) {
      std::string is = line["is"];
      double t = line["t"];
      if (is == "day_start") day_start_ = t;
      if (!line.contains("front")) continue;
      std::string front = line["front"];
      if (is == "front_kill") kills_[front].push_back(t);
      if (is == "front_start") starts_[front].push_back(t);
      if (is == "front_stall") stalls_[front].push_back({t, INFINITY});
      if (is == "front_go_on" && !stalls_[front].empty()) stalls_[front].back().to = t;
      if (is == "list") list_updates_[front].push_back({t, line["not_active"].get<std::set<std::string>>()});
      if (is == "front_died")
        verdict_.other_failures.push_back({"front " + front + " exited unexpectedly at " + offset(t)});
      if (is == "front_hangs")
        verdict_.other_failures.push_back({"front " + front + " did not end after SIGTERM"});
      if (is == "front_exit" && line["code"] != 0)
        verdict_.other_failures.push_back({"front " + front + " ended with code " + line["code"].dump()});
    }
  }

  // Returns whether the front end was killed between `from` and `to`.
  bool was_killed(const std::string &front, double from, double to) const {
    auto it = kills_.find(front);
    return it != kills_.end() &&
           std::ranges::any_of(it->second, [&](double t) { return t >= from - kClockTolerance && t <= to; });
  }
  // Returns whether the front end had been killed and may not have been listening again at `t`: 1.5 s are
  // granted from the start of the process.
  bool is_down(const std::string &front, double t) const {
    auto k = kills_.find(front);
    if (k == kills_.end()) return false;
    for (double kill : k->second) {
      double back = INFINITY;
      if (auto s = starts_.find(front); s != starts_.end()) {
        for (double start : s->second) {
          if (start > kill) back = std::min(back, start);
        }
      }
      if (t >= kill - kClockTolerance && t <= back + 1.5) return true;
    }
    return false;
  }
  // Returns the first time from `t` on at which the front end's process was not stopped.
  double next_running_time(const std::string &front, double t) const {
    auto it = stalls_.find(front);
    if (it == stalls_.end()) return t;
    for (const Span &stall : it->second) {
      if (t >= stall.from - kClockTolerance && t < stall.to) t = stall.to;
    }
    return t;
  }
  // Returns for how many seconds between `from` and `to` the front end's process was stopped.
  double stalled_time(const std::string &front, double from, double to) const {
    double sum = 0;
    if (auto it = stalls_.find(front); it != stalls_.end()) {
      for (const Span &stall : it->second)
        sum += std::max(0.0, std::min(to, stall.to) - std::max(from, stall.from));
    }
    return sum;
  }

  // Collects the allocations with their answers and ends, the steps of the rungs and the cold starts.
  void read_server_trace() {
    for (const Json &line : traces_.servers) {
      std::string is = line["is"], server = line["server"];
      double t = line["t"];
      if (is == "start" && line["cold"]) cold_starts_[server].push_back(t);
      if (is == "fell")
        add_violation(4, "server " + server + " was overloaded while cold and failed at " + offset(t));
      if (is == "malformed")
        verdict_.other_failures.push_back(
            {"server " + server + " received a malformed request: " + line["why"].get<std::string>()});
      if (!line.contains("play")) continue;
      std::string play = line["play"];
      if (is == "set_up") {
        Allocation a;
        a.play = play;
        a.server = server;
        a.title = line["title"];
        a.product = line["product"];
        a.front = line["front"];
        a.boot = line["boot"];
        a.number = line["number"];
        a.rung = line["rung"];
        a.arrived = t;
        a.expires = t + line["expires_in"].get<double>();
        allocations_by_play_[play].push_back(allocations_.size());
        allocations_.push_back(a);
        continue;
      }
      if (is == "rung") {
        rung_steps_.push_back({t, play, server, line["rung"]});
        continue;
      }
      Allocation *a = find_allocation(play, server);
      if (!a) continue;
      if (is == "answer" && line["number"] == a->number) {
        a->answered = t;
        a->status = line["status"];
        a->answer_lost = line.contains("lost");
        a->late_by = line.value("late_by", 0.0);
      }
      if (is == "closed") a->closed = std::min(a->closed, t);
      if (is == "withdraw") a->withdrawn = std::min(a->withdrawn, t);
      if (is == "end") a->ended = std::min(a->ended, t);
    }
    verdict_.set_ups = allocations_.size();
  }

  // Returns the last allocation so far of a play at a server, or nullptr.
  Allocation *find_allocation(const std::string &play, const std::string &server) {
    auto it = allocations_by_play_.find(play);
    if (it == allocations_by_play_.end()) return nullptr;
    for (auto i = it->second.rbegin(); i != it->second.rend(); ++i) {
      if (allocations_[*i].server == server) return &allocations_[*i];
    }
    return nullptr;
  }

  // Rule 1: each play that a front end accepts gets exactly one answer, in time. Also fills the outcomes and
  // the service figures, and compares the plays that the players were told of with those that the servers
  // started.
  void check_answers() {
    struct Request {
      double t, limit;
      std::string front, product;
      int answers = 0, status = 0;
      double answered = 0;
      bool left = false, unanswered = false;
      std::string ending, play;
      std::uint64_t player;
    };
    std::map<std::uint64_t, Request> requests;
    std::map<std::uint64_t, double> frames;
    for (const Json &line : traces_.players) {
      std::string is = line["is"];
      if (!line.contains("ask")) continue;
      std::uint64_t number = line["ask"];
      double t = line["t"];
      if (is == "ask")
        requests[number] = {t,  line["limit"], line["front"], line["product"], 0, 0, 0, false, false, "",
                            "", line["player"]};
      auto it = requests.find(number);
      if (it == requests.end()) {
        add_violation(1, "an answer without a request, ask " + std::to_string(number) + " at " + offset(t));
        continue;
      }
      Request &request = it->second;
      if (is == "answer") {
        ++request.answers;
        request.answered = t;
        request.status = line["status"];
        request.play = line.value("play", "");
        if (request.status == 503 && !line.contains("retry_after"))
          add_violation(1,
                        "a decline without Retry-After, ask " + std::to_string(number) + " at " + offset(t));
      }
      if (is == "no_answer") {
        request.unanswered = true;
        request.answered = t;
        request.ending = line["ending"];
      }
      if (is == "left") request.left = true;
      if (is == "media" && line["status"] == 200) frames[number] = line["first_frame"];
      if (is == "media" && line["status"] != 200) media_refusals_[number] = t;
      if (is == "bad_location")
        add_violation(1, "a redirect with an invalid Location, ask " + std::to_string(number));
    }
    double slack = day_.site.seconds("answer_slack") + kDeliverySlack;
    std::map<std::uint64_t, bool> first_of_player;
    for (const auto &[number, request] : requests) {
      std::size_t product = product_index(request.product);
      double importance = day_.front_config.record.items("products")[product].number("importance");
      bool first_try = first_of_player.try_emplace(request.player, true).second;
      if (first_try) verdict_.importance_requested += importance;
      ++verdict_.requests;
      std::string what =
          "ask " + std::to_string(number) + " of front " + request.front + " at " + offset(request.t);
      if (request.left) {
        ++verdict_.outcomes["left"];
        continue;
      }
      // A front end whose process is stopped neither accepts nor answers anything. The time for its answer
      // counts from when it continues.
      double due =
          next_running_time(request.front, next_running_time(request.front, request.t) + request.limit) +
          slack;
      if (request.answers > 1)
        add_violation(1, what + ": " + std::to_string(request.answers) + " answers, play " + request.play);
      if (request.answers == 0) {
        if (request.unanswered && request.ending == "unreachable") { // no front end accepted the request
          ++verdict_.outcomes["not taken"];
          if (!is_down(request.front, request.t) &&
              stalled_time(request.front, request.t, request.answered) <= 0)
            add_violation(1, what + ": no connection, and the front was up");
        } else if (was_killed(request.front, request.t, request.answered + kClockTolerance) ||
                   (request.unanswered && is_down(request.front, request.t))) {
          ++verdict_.outcomes["front killed"];
          ++verdict_.not_judged["asks whose front was killed before the answer"];
        } else if (request.unanswered && request.ending == "timed_out" && request.answered < due) {
          ++verdict_.outcomes["stood still"];
          ++verdict_.not_judged["asks that lay unread while the front's process stood still"];
        } else {
          ++verdict_.outcomes["none"];
          add_violation(1, what + ": no answer (" + (request.unanswered ? request.ending : "nothing") + ")");
        }
        continue;
      }
      if (request.answered > due)
        add_violation(1, what + ": answered late, at " + offset(request.answered) + ", due " + offset(due));
      ++verdict_.outcomes[request.status == 307   ? "plays"
                          : request.status == 503 ? (request.play.empty() ? "turned away" : "declined")
                          : request.status == 502 || request.status == 504
                              ? "failed"
                              : "status " + std::to_string(request.status)];
      if (request.status != 307) continue;
      ++verdict_.plays;
      // A play that a player is redirected to must have started at a server, and be there when the player
      // comes.
      auto it = allocations_by_play_.find(request.play);
      bool started = false;
      double ended = INFINITY;
      if (it != allocations_by_play_.end()) {
        for (std::size_t i : it->second) {
          if (allocations_[i].status == 201) {
            started = true;
            ended = allocations_[i].end_time();
          }
        }
      }
      if (!started)
        verdict_.disagreements.push_back(
            {what + ": redirected to play " + request.play + ", which no server started"});
      else if (auto refused = media_refusals_.find(number);
               refused != media_refusals_.end() && refused->second < ended)
        verdict_.disagreements.push_back({what + ": play " + request.play + " was not there for its player"});
      if (auto frame = frames.find(number); frame != frames.end()) {
        verdict_.first_frame_times.push_back(frame->second);
        double target = day_.front_config.record.items("products")[product].seconds("first_frame_target");
        if (frame->second <= target && !served_players_.contains(request.player)) {
          served_players_.insert(request.player);
          verdict_.importance_served += importance;
        }
      }
    }
  }

  std::size_t product_index(const std::string &name) const {
    for (std::size_t p = 0; p < day_.front_config.products.size(); ++p) {
      if (day_.front_config.products[p].name == name) return p;
    }
    return 0;
  }

  std::string describe(const Allocation &a) const {
    return "play " + a.play + " allocation " + std::to_string(a.number) + " at server " + a.server + " " +
           offset(a.arrived);
  }

  // Rule 2: a play has at most one outstanding allocation, and an unsafe set-up, which is charged for, is not
  // repeated where it may have succeeded.
  void check_allocations() {
    std::map<std::string, int> answers; // the status that the player received, by play
    for (const Json &line : traces_.players) {
      if (line["is"] == "answer" && line.contains("play")) answers[line["play"]] = line["status"];
    }
    for (const auto &[play, list] : allocations_by_play_) {
      for (std::size_t i = 0; i < list.size(); ++i) {
        const Allocation &a = allocations_[list[i]];
        for (std::size_t j = i + 1; j < list.size(); ++j) {
          const Allocation &b = allocations_[list[j]];
          if (b.arrived < a.end_time() - kClockTolerance)
            add_violation(2, describe(b) + " while allocation " + std::to_string(a.number) + " at server " +
                                 a.server + " was out until " +
                                 (std::isinf(a.end_time()) ? "the end" : offset(a.end_time())));
        }
        bool unsafe =
            day_.front_config.record.items("products")[product_index(a.product)].text("set_up") != "safe";
        if (!unsafe || !a.may_have_started()) continue;
        if (i + 1 < list.size())
          add_violation(2, describe(allocations_[list[i + 1]]) + ": the set-up is unsafe, and allocation " +
                               std::to_string(a.number) + " may have started");
        if (auto told = answers.find(play); told != answers.end() && told->second == 503)
          add_violation(2, "play " + play + ": declined although the set-up is unsafe and allocation " +
                               std::to_string(a.number) + " at " + a.server + " may have started");
      }
    }
  }

  // Rule 3: a front end sends a server no new set-up later than drain_grace after its list named the server
  // as draining or gone.
  void check_drains() {
    double grace = day_.site.seconds("drain_grace");
    for (const Allocation &a : allocations_) {
      auto it = list_updates_.find(a.front);
      if (it == list_updates_.end()) continue;
      // Since when every list named the server as not active.
      double inactive_since = INFINITY;
      for (const auto &[t, inactive] : it->second) {
        if (t > a.arrived) break;
        if (inactive.contains(a.server))
          inactive_since = std::min(inactive_since, t);
        else
          inactive_since = INFINITY;
      }
      if (std::isinf(inactive_since)) continue;
      double informed = next_running_time(a.front, inactive_since);
      if (a.arrived > informed + grace + kClockTolerance)
        add_violation(3, describe(a) + ", " + format_offset(a.arrived, informed) + " s after front " +
                             a.front + " was informed that it drains or is gone");
    }
  }

  // Rule 4: the set-ups that all front ends together send to a cold server within any window of fall_span
  // stay within what the server can take while it warms up.
  void check_cold_starts() {
    double warm_up = day_.site.seconds("warm_up"), cold_share = day_.site.number("cold_share");
    double window = day_.site.seconds("fall_span"), fall_multiple = day_.site.number("fall_multiple");
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
          double set_up_rate =
              day_.capacity / warm_up * (cold_share + (1 - cold_share) * (t - start) / warm_up);
          double limit = fall_multiple * set_up_rate * window + 2;
          if (static_cast<double>(within.size()) > limit)
            add_violation(4, "server " + server + " got " + std::to_string(within.size()) +
                                 " set-ups within a window that ends at " + offset(t) + ", " +
                                 format_offset(t, start) + " s after its cold start, when the limit is " +
                                 format_offset(limit, 0));
        }
      }
    }
  }

  // Rule 5: no play runs on a rung under its product's floor, and no front end has more plays of a title and
  // product than the product has seats.
  void check_product_terms() {
    auto products = day_.front_config.record.items("products");
    for (const Allocation &a : allocations_) {
      int floor = products[product_index(a.product)].integer("floor");
      if (a.rung < floor)
        add_violation(5, describe(a) + ": rung " + std::to_string(a.rung) + " under the floor " +
                             std::to_string(floor));
    }
    for (const auto &[t, play, server, rung] : rung_steps_) {
      ++verdict_.rung_steps;
      auto it = allocations_by_play_.find(play);
      if (it == allocations_by_play_.end()) continue;
      int floor = products[product_index(allocations_[it->second.back()].product)].integer("floor");
      if (rung < floor)
        add_violation(5, "play " + play + " changed to rung " + std::to_string(rung) +
                             " under the floor at " + offset(t));
    }
    // A change of the number of plays that occupy seats.
    struct Edge {
      double t;
      int change;
      const Allocation *a;
    };
    std::map<std::string, std::vector<Edge>> holders;
    for (const Allocation &a : allocations_) {
      if (products[product_index(a.product)].integer("seats") <= 0) continue;
      std::string holder = a.front + " " + a.boot + " " + a.title + " " + a.product;
      double end_time = a.end_time() - kClockTolerance;
      if (end_time <= a.arrived) continue;
      holders[holder].push_back({a.arrived, 1, &a});
      if (!std::isinf(end_time)) holders[holder].push_back({end_time, -1, &a});
    }
    for (auto &[holder, edges] : holders) {
      std::ranges::sort(edges, [](const Edge &x, const Edge &y) {
        return std::pair(x.t, x.change) < std::pair(y.t, y.change);
      });
      int held = 0;
      for (const Edge &edge : edges) {
        held += edge.change;
        int seats = products[product_index(edge.a->product)].integer("seats");
        if (edge.change > 0 && held > seats)
          add_violation(5, describe(*edge.a) + ": " + std::to_string(held) + " plays of title " +
                               edge.a->title + " at front " + edge.a->front + ", seats " +
                               std::to_string(seats));
      }
    }
  }

  // Rule 6: the allocations beyond each play's first stay within the budget in every window of `span`
  // seconds.
  void check_allocation_budget() {
    Record further = day_.site.at("further");
    double span = further.seconds("span"), free = further.number("free"), share = further.number("share");
    // The arrivals of further allocations, by the front end and the start of its process.
    std::map<std::string, std::vector<double>> taken, further_arrivals;
    for (const Allocation &a : allocations_) {
      if (a.number > 0) {
        ++verdict_.further_allocations;
        further_arrivals[a.front + " " + a.boot].push_back(a.arrived);
      }
    }
    if (span <= 0) return;
    std::map<std::string, std::vector<double>> asked;
    for (const Json &line : traces_.players) {
      if (line["is"] == "ask") asked[line["front"]].push_back(line["t"]);
    }
    for (auto &[holder, times] : further_arrivals) {
      std::string front = holder.substr(0, holder.find(' '));
      std::ranges::sort(times);
      const auto &requests = asked[front];
      for (std::size_t i = 0; i < times.size(); ++i) {
        double t = times[i];
        // The allocations were sent up to kClockTolerance before they arrived. So the window is narrower for
        // the allocations and wider for the accepted plays.
        auto sent = std::count_if(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(i) + 1,
                                  [&](double s) { return s > t - span + 2 * kClockTolerance; });
        auto plays = std::count_if(requests.begin(), requests.end(),
                                   [&](double s) { return s > t - span - 2 * kClockTolerance && s <= t; });
        if (static_cast<double>(sent) > free + share * static_cast<double>(plays))
          add_violation(6, "front " + front + " made " + std::to_string(sent) +
                               " further allocations in the window that ends at " + offset(t) +
                               ", having accepted " + std::to_string(plays) + " plays");
      }
    }
  }

  using Record = records::Record;
  // A change of rung that a front end asked a server for.
  struct RungStep {
    double t;
    std::string play, server;
    int rung;
  };
  const Day &day_;
  const Traces &traces_;
  Verdict verdict_;
  // The time of the day_start event. Times in the evidence are relative to it.
  double day_start_ = 0;
  std::map<std::string, std::vector<double>> kills_, starts_, cold_starts_;
  std::map<std::string, std::vector<Span>> stalls_;
  std::map<std::string, std::vector<std::pair<double, std::set<std::string>>>> list_updates_;
  std::vector<Allocation> allocations_;
  std::map<std::string, std::vector<std::size_t>> allocations_by_play_;
  std::vector<RungStep> rung_steps_;
  std::map<std::uint64_t, double> media_refusals_;
  std::set<std::uint64_t> served_players_;
};

// Reads a trace file. Throws std::runtime_error with the file and the line.
std::vector<Json> read_lines(const std::string &file) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error("cannot read " + file);
  std::vector<Json> out;
  std::string text;
  for (std::size_t number = 1; std::getline(in, text); ++number) {
    Json line = Json::parse(text, nullptr, false);
    if (!line.is_object() || !line.contains("is") || !line.contains("t"))
      throw std::runtime_error(file + ":" + std::to_string(number) + ": not a trace record");
    out.push_back(std::move(line));
  }
  return out;
}

} // namespace

int Verdict::kept_rules() const {
  return static_cast<int>(std::ranges::count_if(violations, [](const auto &b) { return b.empty(); }));
}

Traces read_traces(const std::string &folder) {
  return {read_lines(folder + "/fleet.jsonl"), read_lines(folder + "/servers.jsonl"),
          read_lines(folder + "/players.jsonl")};
}

Verdict judge(const Day &day, const Traces &traces) { return Judge(day, traces).run(); }

std::string format_report(const Verdict &v, bool full) {
  std::string out;
  char line[256];
  auto show = [&](const std::vector<Evidence> &list) {
    for (std::size_t i = 0; i < list.size() && (full || i < kShownEvidence); ++i)
      out += "      " + list[i].text + "\n";
    if (!full && list.size() > kShownEvidence)
      out += "      and " + std::to_string(list.size() - kShownEvidence) + " more\n";
  };
  for (std::size_t r = 0; r < v.violations.size(); ++r) {
    std::snprintf(line, sizeof line, "  rule %zu, %-30s %s\n", r + 1, kRuleNames[r],
                  v.violations[r].empty() ? "kept" : "BROKEN");
    out += line;
    show(v.violations[r]);
  }
  for (const auto &[title, list] : {std::pair("players and servers disagree", &v.disagreements),
                                    std::pair("besides", &v.other_failures)}) {
    if (list->empty()) continue;
    out += std::string("  ") + title + ":\n";
    show(*list);
  }
  out += "  outcomes:";
  for (const auto &[name, count] : v.outcomes) out += " " + name + " " + std::to_string(count) + ";";
  std::snprintf(line, sizeof line, "\n  asks %llu, set-ups %llu, further %llu, steps of rung %llu\n",
                static_cast<unsigned long long>(v.requests), static_cast<unsigned long long>(v.set_ups),
                static_cast<unsigned long long>(v.further_allocations),
                static_cast<unsigned long long>(v.rung_steps));
  out += line;
  std::snprintf(
      line, sizeof line,
      "  service %.3f of the importance asked for; first frame p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n",
      v.importance_requested > 0 ? v.importance_served / v.importance_requested : 0,
      quantile(v.first_frame_times, 0.5) * 1e3, quantile(v.first_frame_times, 0.95) * 1e3,
      quantile(v.first_frame_times, 0.99) * 1e3);
  out += line;
  for (const auto &[reason, count] : v.not_judged)
    out += "  not judged: " + std::to_string(count) + " " + reason + "\n";
  out += "rules kept: " + std::to_string(v.kept_rules()) + " of 6\n";
  return out;
}

} // namespace snowshore::lab
