#include "lab/manage.h"
#include "lab/quantile.h"
#include "management/client.h"
#include "management/manager.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <random>
#include <thread>

namespace snowshore::lab {

namespace {

using management::ManagementClient;
using management::Reply;
using model::Edit;
using model::parse_path;
using Clock = std::chrono::steady_clock;

constexpr double kUpWithin = 20; // a front that was killed is there again
constexpr double kSetWithin = 5;
constexpr std::size_t kEvidence = 10;

double since(Clock::time_point from) { return std::chrono::duration<double>(Clock::now() - from).count(); }

Edit edit(Edit::Kind kind, const std::string &path, model::Json value = {}) {
  return {kind, parse_path(path), std::move(value)};
}

// Changes that do not loosen what the judge holds the front to; some of them in the way of plays in hand.
std::vector<Edit> valid_change(std::minstd_rand &chance) {
  auto pick = [&](unsigned n) { return static_cast<int>(chance() % n); };
  auto decimal = [](double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.2f", value);
    return std::string(buffer);
  };
  using enum Edit::Kind;
  switch (pick(10)) {
  case 0:
    return {edit(update, "/front/limits/open_plays", 500 + pick(20000))};
  case 1:
    return {edit(update, "/front/limits/idle_time", std::to_string(10 + pick(50)))};
  case 2:
    return {edit(update, "/front/retry_after", decimal(0.5 + 0.01 * pick(100)))};
  case 3:
    return {edit(update, "/front/log/level", pick(2) ? "info" : "debug")};
  case 4:
    return {edit(update, "/front/products[name=live]/importance", 1 + pick(4)),
            edit(update, "/front/products[name=clip]/importance", 1)};
  case 5:
    return {edit(update, "/front/rungs[number=3]/importance", decimal(1 + 0.1 * pick(5)))};
  case 6:
    return {edit(update, "/front/products[name=live]/seats", 3 + pick(4))}; // often under what is taken
  case 7:
    return {edit(update, "/front/products[name=clip]/top", 2 + pick(2))};
  case 8:
    return {edit(replace, "/front/management/readers", {"noc-" + std::to_string(pick(9)), "desk"})};
  default:
    return {edit(remove, "/front/limits/open_plays"),
            edit(update, "/front/fleet/link_per_weight", std::to_string(1300 + pick(200)))};
  }
}

std::vector<Edit> wrong_change(std::minstd_rand &chance) {
  using enum Edit::Kind;
  const std::vector<std::vector<Edit>> all = {
      {edit(update, "/front/limits/open_plays", 0)},
      {edit(update, "/front/limits/none", 1)},
      {edit(update, "/front/limits/idle_time", "soon")},
      {edit(update, "/front/limits/connections", 300), edit(update, "/front/products[name=clip]/floor", 9)},
      {edit(update, "/front/products[name=paid]/first_frame_target", 9)},
      {edit(update, "/front/rungs[number=2]/rate", 10)},
      {edit(update, "/front/name", "other")},
      {edit(remove, "/front/rules/warm_up")},
      {edit(update, "/front/listen/players",
            "192.0.2.1:1")}, // no address of this machine: found out on applying
      {edit(remove, "/front/fleet")},
  };
  return all[chance() % all.size()];
}

// One front's pusher: knows what was last accepted, and compares.
class Pusher {
 public:
  Pusher(FleetControl &fleet, int front, std::uint32_t seed, PushFigures &figures, std::mutex &mutex)
      : fleet_(fleet), front_(front), chance_(seed), figures_(figures), mutex_(mutex) {}

  void push(int changes, int kills, double pause) {
    if (!connect() || !read(expected_)) return note("the front did not come up");
    known_[revision_] = expected_;
    for (int i = 0; i < changes && !fleet_.ends(); ++i) {
      bool kill = kills > 0 && chance_() % static_cast<unsigned>(changes - i) < static_cast<unsigned>(kills);
      if (pause > 0) std::this_thread::sleep_for(std::chrono::duration<double>(pause));
      if (kill) --kills;
      one_change(kill);
    }
  }

 private:
  void count(int PushFigures::*what) {
    std::lock_guard lock(mutex_);
    ++(figures_.*what);
  }
  void note(const std::string &what) {
    std::lock_guard lock(mutex_);
    ++figures_.differ;
    if (figures_.evidence.size() < kEvidence)
      figures_.evidence.push_back("f" + std::to_string(front_) + ": " + what);
  }

  bool connect() {
    auto from = Clock::now();
    while (since(from) < kUpWithin) {
      if (int port = fleet_.management_port(front_); port != 0) {
        client_ = std::make_unique<ManagementClient>(
            management::Target{"127.0.0.1:" + std::to_string(port), "", "", "", ""});
        std::string ignored;
        if (client_->capabilities(ignored, 1).ok()) return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  bool read(std::string &into) {
    std::vector<model::PathValue> leaves;
    Reply reply = client_->get({parse_path("/front")}, management::DataType::configuration, leaves);
    if (!reply.ok() || leaves.size() != 1) return false;
    into = leaves[0].value.dump();
    revision_ = reply.revision;
    count(&PushFigures::reads);
    return true;
  }

  std::string edited(const std::vector<Edit> &edits) const {
    std::string document = model_.edit("{\"snowshore:front\":" + expected_ + "}", edits);
    return model::Json::parse(document)["snowshore:front"].dump();
  }

  // The kill comes at a random moment of the change, from before its sending to after its answer.
  void one_change(bool kill) {
    bool wrong = chance_() % 3 == 0, back = !wrong && chance_() % 20 == 0,
         confirm = !wrong && chance_() % 25 == 0;
    std::vector<Edit> edits = wrong ? wrong_change(chance_) : valid_change(chance_);
    management::SetOptions options;
    options.cause = "push";
    std::string next;
    if (back) {
      auto it = known_.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(chance_() % known_.size()));
      options.rollback_revision = it->first;
      edits.clear();
      next = it->second;
    } else if (!wrong) {
      next = edited(edits);
    }
    if (confirm && !back) {
      options.commit = management::SetOptions::Commit::request;
      options.commit_id = "push", options.confirm_within = 0.2;
    }
    std::thread killer;
    if (kill) {
      auto wait = std::chrono::microseconds(chance_() % 12000);
      killer = std::thread([this, wait] {
        std::this_thread::sleep_for(wait);
        fleet_.kill_front(front_);
      });
      count(&PushFigures::kills);
    }
    auto from = Clock::now();
    Reply reply = client_->set(edits, options, kSetWithin);
    double took = since(from);
    if (killer.joinable()) killer.join();
    if (kill) {
      while (fleet_.management_port(front_) != 0 && since(from) < kUpWithin)
        std::this_thread::sleep_for(std::chrono::milliseconds(5)); // the kill is carried out on its own time
      if (!connect()) return note("the front did not come back");
    }
    std::string now;
    if (!read(now) && (!connect() || !read(now))) return note("no read");
    bool unanswered = reply.code == 14 || reply.code == 4 || reply.code == 1;
    if (reply.ok()) {
      count(&PushFigures::taken);
      if (back) count(&PushFigures::rolled_back);
      if (wrong) note("a wrong change was taken: " + model::path_to_text(edits[0].path));
      bool undone = options.commit == management::SetOptions::Commit::request && now == expected_;
      if (undone) count(&PushFigures::undone);
      if (now != next && !undone) note("taken, and read otherwise" + difference(next, now));
    } else if (unanswered) {
      count(&PushFigures::unanswered);
      if (now != expected_ && (wrong || now != next))
        note("killed, and neither the old nor the new tree is there");
    } else {
      count(&PushFigures::refused);
      {
        std::lock_guard lock(mutex_);
        ++figures_.refusals[reply.code == 3   ? "wrong"
                            : reply.code == 9 ? "not now"
                            : reply.code == 5 ? "revision no longer kept"
                                              : "code " + std::to_string(reply.code)];
      }
      if (now != expected_) note("refused, and the tree is another" + difference(expected_, now));
    }
    if (options.commit == management::SetOptions::Commit::request && (reply.ok() || unanswered) &&
        now != expected_) {
      // Not confirmed: it is undone in its time, also when the front was killed meanwhile.
      std::string old = expected_;
      from = Clock::now();
      do {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (!read(now) && !connect()) return note("no read after an unconfirmed change");
      } while (now != old && since(from) < 3);
      if (now != old) return note("an unconfirmed change was not undone");
      count(&PushFigures::undone);
    }
    expected_ = now;
    known_[revision_] = now;
    if (known_.size() > 50) known_.erase(known_.begin());
    std::lock_guard lock(mutex_);
    if (!kill) figures_.set_times.push_back(took);
  }

  static std::string difference(const std::string &a, const std::string &b) {
    std::size_t i = 0;
    while (i < a.size() && i < b.size() && a[i] == b[i]) ++i;
    std::size_t from = i > 40 ? i - 40 : 0;
    return ": ..." + a.substr(from, 80) + " | ..." + b.substr(from, 80);
  }

  FleetControl &fleet_;
  int front_;
  std::minstd_rand chance_;
  PushFigures &figures_;
  std::mutex &mutex_;
  model::Model model_;
  std::unique_ptr<ManagementClient> client_;
  std::string expected_;
  std::uint64_t revision_ = 0;
  std::map<std::uint64_t, std::string> known_; // what a revision held
};

} // namespace

PushFigures push_changes(FleetControl &fleet, const PushOptions &options) {
  PushFigures figures;
  std::mutex mutex;
  auto from = Clock::now();
  std::vector<std::thread> pushers;
  int fronts = fleet.fronts();
  for (int f = 0; f < fronts; ++f) {
    int changes = options.changes / fronts + (f < options.changes % fronts);
    int kills = options.kills / fronts + (f < options.kills % fronts);
    pushers.emplace_back([&, f, changes, kills] {
      Pusher(fleet, f, static_cast<std::uint32_t>(options.seed * 1000 + static_cast<unsigned>(f) + 1),
             figures, mutex)
          .push(changes, kills, options.pause);
    });
  }
  for (std::thread &one : pushers) one.join();
  figures.seconds = since(from);
  return figures;
}

std::string report(const PushFigures &f) {
  char buffer[400];
  std::snprintf(
      buffer, sizeof buffer,
      "changes: taken %d (rolled back %d), refused %d, unanswered %d (killed), undone unconfirmed %d; kills "
      "%d\nSet p50 %.1f ms, p99 %.1f ms; %.1f changes a second, each read back\nreads: %d\nreads that "
      "differ: %d\n",
      f.taken, f.rolled_back, f.refused, f.unanswered, f.undone, f.kills, quantile(f.set_times, 0.5) * 1e3,
      quantile(f.set_times, 0.99) * 1e3, (f.taken + f.refused + f.unanswered) / std::max(1e-9, f.seconds),
      f.reads, f.differ);
  std::string out = "refusals:";
  for (const auto &[code, count] : f.refusals) out += " " + code + " " + std::to_string(count);
  out += "\n" + std::string(buffer);
  for (const std::string &one : f.evidence) out += "  " + one + "\n";
  return out;
}

RolloutFigures roll_out(const std::vector<std::string> &addresses, int threads, int value) {
  RolloutFigures figures;
  std::mutex mutex;
  std::vector<double> times;
  std::atomic<std::size_t> next{0};
  auto from = Clock::now();
  std::vector<std::thread> workers;
  management::SetOptions options;
  options.cause = "rollout";
  for (int t = 0; t < threads; ++t) {
    workers.emplace_back([&] {
      for (std::size_t i; (i = next++) < addresses.size();) {
        ManagementClient client(management::Target{addresses[i], "", "", "", ""});
        auto begun = Clock::now();
        Reply reply = client.set({edit(Edit::Kind::update, "/front/limits/open_plays", value)}, options, 60);
        std::lock_guard lock(mutex);
        times.push_back(since(begun));
        figures.taken += reply.ok();
      }
    });
  }
  for (std::thread &one : workers) one.join();
  figures.seconds = since(from);
  figures.p50 = quantile(times, 0.5), figures.p99 = quantile(times, 0.99);
  return figures;
}

std::vector<double> set_steadily(const std::string &address, double a_second,
                                 const std::atomic<bool> &go_on) {
  ManagementClient client(management::Target{address, "", "", "", ""});
  std::vector<double> times;
  auto next = Clock::now();
  for (int i = 0; go_on; ++i) {
    auto from = Clock::now();
    Reply reply = client.set({edit(Edit::Kind::update, "/front/limits/open_plays", 900000 + i % 1000)});
    if (!reply.ok()) throw std::runtime_error("a set under load: " + reply.message);
    times.push_back(since(from));
    std::vector<model::PathValue> leaves;
    client.get({parse_path("/state")}, management::DataType::state, leaves);
    next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / a_second));
    std::this_thread::sleep_until(next);
  }
  return times;
}

double recovery_time(const std::string &folder, int revisions, const std::string &text) {
  records::Source file{"front.cue", text};
  site::FrontConfig record = site::parse_front_config({&file, 1});
  model::Model model;
  auto kept = static_cast<std::size_t>(std::max(10, revisions));
  std::string document = model.to_document(record.record);
  {
    store::Store store(folder, kept);
    for (int r = 1; r <= revisions; ++r)
      store.append({static_cast<std::uint64_t>(r), document, "lab", "a revision", 1.0 * r, 0,
                    static_cast<std::uint64_t>(r - 1), ""});
  }
  auto from = Clock::now();
  store::Store store(folder, kept);
  management::ConfigManager manager(model, store, kept, "lab");
  manager.start(record);
  return since(from);
}

} // namespace snowshore::lab
