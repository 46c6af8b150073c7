#include "lab/management_load.h"
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

// The number of seconds within which a front end that was killed must be reachable again.
constexpr double kRestartTimeout = 20;
// The time-out of a Set in seconds.
constexpr double kSetTimeout = 5;
// The number of mismatches that are described.
constexpr std::size_t kMaxEvidence = 10;

double seconds_since(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

Edit make_edit(Edit::Kind kind, const std::string &path, model::Json value = {}) {
  return {kind, parse_path(path), std::move(value)};
}

// Returns a random valid change. None of them relaxes a term that the judge checks; some affect plays that
// run.
std::vector<Edit> valid_change(std::minstd_rand &random) {
  auto pick = [&](unsigned n) { return static_cast<int>(random() % n); };
  auto decimal = [](double value) {
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.2f", value);
    return std::string(buffer);
  };
  using enum Edit::Kind;
  switch (pick(10)) {
  case 0:
    return {make_edit(update, "/front/limits/open_plays", 500 + pick(20000))};
  case 1:
    return {make_edit(update, "/front/limits/idle_time", std::to_string(10 + pick(50)))};
  case 2:
    return {make_edit(update, "/front/retry_after", decimal(0.5 + 0.01 * pick(100)))};
  case 3:
    return {make_edit(update, "/front/log/level", pick(2) ? "info" : "debug")};
  case 4:
    return {make_edit(update, "/front/products[name=live]/importance", 1 + pick(4)),
            make_edit(update, "/front/products[name=clip]/importance", 1)};
  case 5:
    return {make_edit(update, "/front/rungs[number=3]/importance", decimal(1 + 0.1 * pick(5)))};
  case 6:
    return {
        make_edit(update, "/front/products[name=live]/seats", 3 + pick(4))}; // often fewer than are occupied
  case 7:
    return {make_edit(update, "/front/products[name=clip]/top", 2 + pick(2))};
  case 8:
    return {make_edit(replace, "/front/management/readers", {"noc-" + std::to_string(pick(9)), "desk"})};
  default:
    return {make_edit(remove, "/front/limits/open_plays"),
            make_edit(update, "/front/fleet/link_per_weight", std::to_string(1300 + pick(200)))};
  }
}

// Returns a random change that a front end must refuse.
std::vector<Edit> invalid_change(std::minstd_rand &random) {
  using enum Edit::Kind;
  const std::vector<std::vector<Edit>> all = {
      {make_edit(update, "/front/limits/open_plays", 0)},
      {make_edit(update, "/front/limits/none", 1)},
      {make_edit(update, "/front/limits/idle_time", "soon")},
      {make_edit(update, "/front/limits/connections", 300),
       make_edit(update, "/front/products[name=clip]/floor", 9)},
      {make_edit(update, "/front/products[name=paid]/first_frame_target", 9)},
      {make_edit(update, "/front/rungs[number=2]/rate", 10)},
      {make_edit(update, "/front/name", "other")},
      {make_edit(remove, "/front/rules/warm_up")},
      // The address is not one of this machine, which shows only when the change is applied.
      {make_edit(update, "/front/listen/players", "192.0.2.1:1")},
      {make_edit(remove, "/front/fleet")},
  };
  return all[random() % all.size()];
}

// Changes one front end from a thread of its own, and compares each read with the configuration that was
// accepted last.
class Pusher {
 public:
  Pusher(FleetControl &fleet, int front, std::uint32_t seed, PushFigures &figures, std::mutex &mutex)
      : fleet_(fleet), front_(front), random_(seed), figures_(figures), mutex_(mutex) {}

  void push(int changes, int kills, double pause) {
    if (!connect() || !read(expected_)) return record_mismatch("the front end did not become ready");
    documents_by_revision_[revision_] = expected_;
    for (int i = 0; i < changes && !fleet_.is_day_over(); ++i) {
      bool kill = kills > 0 && random_() % static_cast<unsigned>(changes - i) < static_cast<unsigned>(kills);
      if (pause > 0) std::this_thread::sleep_for(std::chrono::duration<double>(pause));
      if (kill) --kills;
      make_change(kill);
    }
  }

 private:
  void increment(int PushFigures::*what) {
    std::lock_guard lock(mutex_);
    ++(figures_.*what);
  }
  void record_mismatch(const std::string &what) {
    std::lock_guard lock(mutex_);
    ++figures_.mismatches;
    if (figures_.evidence.size() < kMaxEvidence)
      figures_.evidence.push_back("f" + std::to_string(front_) + ": " + what);
  }

  bool connect() {
    auto from = Clock::now();
    while (seconds_since(from) < kRestartTimeout) {
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

  bool read(std::string &document) {
    std::vector<model::PathValue> leaves;
    Reply reply = client_->get({parse_path("/front")}, management::DataType::configuration, leaves);
    if (!reply.ok() || leaves.size() != 1) return false;
    document = leaves[0].value.dump();
    revision_ = reply.revision;
    increment(&PushFigures::reads);
    return true;
  }

  std::string apply(const std::vector<Edit> &edits) const {
    std::string document = model_.edit("{\"snowshore:front\":" + expected_ + "}", edits);
    return model::Json::parse(document)["snowshore:front"].dump();
  }

  // Makes one change. With `kill`, the front end is killed at a random time within 12 ms, which may be before
  // the change is sent or after its answer.
  void make_change(bool kill) {
    bool invalid = random_() % 3 == 0, rollback = !invalid && random_() % 20 == 0,
         confirm = !invalid && random_() % 25 == 0;
    std::vector<Edit> edits = invalid ? invalid_change(random_) : valid_change(random_);
    management::SetOptions options;
    options.cause = "push";
    std::string next;
    if (rollback) {
      auto it = documents_by_revision_.begin();
      std::advance(it, static_cast<std::ptrdiff_t>(random_() % documents_by_revision_.size()));
      options.rollback_revision = it->first;
      edits.clear();
      next = it->second;
    } else if (!invalid) {
      next = apply(edits);
    }
    if (confirm && !rollback) {
      options.commit = management::SetOptions::Commit::request;
      options.commit_id = "push";
      options.confirm_within = 0.2;
    }
    std::thread killer;
    if (kill) {
      auto wait = std::chrono::microseconds(random_() % 12000);
      killer = std::thread([this, wait] {
        std::this_thread::sleep_for(wait);
        fleet_.kill_front(front_);
      });
      increment(&PushFigures::kills);
    }
    auto from = Clock::now();
    Reply reply = client_->set(edits, options, kSetTimeout);
    double duration = seconds_since(from);
    if (killer.joinable()) killer.join();
    if (kill) {
      while (fleet_.management_port(front_) != 0 && seconds_since(from) < kRestartTimeout)
        std::this_thread::sleep_for(std::chrono::milliseconds(5)); // the kill is asynchronous
      if (!connect()) return record_mismatch("the front end did not become ready after a kill");
    }
    std::string current;
    if (!read(current) && (!connect() || !read(current)))
      return record_mismatch("the configuration could not be read");
    bool unanswered = reply.code == 14 || reply.code == 4 || reply.code == 1;
    if (reply.ok()) {
      increment(&PushFigures::accepted);
      if (rollback) increment(&PushFigures::rolled_back);
      if (invalid) record_mismatch("an invalid change was accepted: " + model::path_to_text(edits[0].path));
      bool undone = options.commit == management::SetOptions::Commit::request && current == expected_;
      if (undone) increment(&PushFigures::undone);
      if (current != next && !undone)
        record_mismatch("accepted, but another configuration was read" + difference(next, current));
    } else if (unanswered) {
      increment(&PushFigures::unanswered);
      if (current != expected_ && (invalid || current != next))
        record_mismatch("killed, and neither the old nor the new configuration is in force");
    } else {
      increment(&PushFigures::refused);
      {
        std::lock_guard lock(mutex_);
        ++figures_.refusals[reply.code == 3   ? "wrong"
                            : reply.code == 9 ? "not now"
                            : reply.code == 5 ? "revision no longer kept"
                                              : "code " + std::to_string(reply.code)];
      }
      if (current != expected_)
        record_mismatch("refused, but the configuration changed" + difference(expected_, current));
    }
    if (options.commit == management::SetOptions::Commit::request && (reply.ok() || unanswered) &&
        current != expected_) {
      // The change is not confirmed, so the front end must undo it after confirm_within, also if it was
      // killed meanwhile.
      std::string old = expected_;
      from = Clock::now();
      do {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        if (!read(current) && !connect())
          return record_mismatch("the configuration could not be read after an unconfirmed change");
      } while (current != old && seconds_since(from) < 3);
      if (current != old) return record_mismatch("an unconfirmed change was not undone");
      increment(&PushFigures::undone);
    }
    expected_ = current;
    documents_by_revision_[revision_] = current;
    if (documents_by_revision_.size() > 50) documents_by_revision_.erase(documents_by_revision_.begin());
    std::lock_guard lock(mutex_);
    if (!kill) figures_.set_times.push_back(duration);
  }

  static std::string difference(const std::string &a, const std::string &b) {
    std::size_t i = 0;
    while (i < a.size() && i < b.size() && a[i] == b[i]) ++i;
    std::size_t from = i > 40 ? i - 40 : 0;
    return ": ..." + a.substr(from, 80) + " | ..." + b.substr(from, 80);
  }

  FleetControl &fleet_;
  int front_;
  std::minstd_rand random_;
  PushFigures &figures_;
  std::mutex &mutex_;
  model::Model model_;
  std::unique_ptr<ManagementClient> client_;
  std::string expected_;
  std::uint64_t revision_ = 0;
  // The configurations of the last 50 revisions.
  std::map<std::uint64_t, std::string> documents_by_revision_;
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
  figures.seconds = seconds_since(from);
  return figures;
}

std::string format_report(const PushFigures &f) {
  char buffer[400];
  std::snprintf(
      buffer, sizeof buffer,
      "changes: taken %d (rolled back %d), refused %d, unanswered %d (killed), undone unconfirmed %d; kills "
      "%d\nSet p50 %.1f ms, p99 %.1f ms; %.1f changes a second, each read back\nreads: %d\nreads that "
      "differ: %d\n",
      f.accepted, f.rolled_back, f.refused, f.unanswered, f.undone, f.kills, quantile(f.set_times, 0.5) * 1e3,
      quantile(f.set_times, 0.99) * 1e3, (f.accepted + f.refused + f.unanswered) / std::max(1e-9, f.seconds),
      f.reads, f.mismatches);
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
        Reply reply =
            client.set({make_edit(Edit::Kind::update, "/front/limits/open_plays", value)}, options, 60);
        std::lock_guard lock(mutex);
        times.push_back(seconds_since(begun));
        figures.accepted += reply.ok();
      }
    });
  }
  for (std::thread &one : workers) one.join();
  figures.seconds = seconds_since(from);
  figures.p50 = quantile(times, 0.5);
  figures.p99 = quantile(times, 0.99);
  return figures;
}

std::vector<double> set_at_rate(const std::string &address, double rate,
                                const std::atomic<bool> &keep_running) {
  ManagementClient client(management::Target{address, "", "", "", ""});
  std::vector<double> times;
  auto next = Clock::now();
  for (int i = 0; keep_running; ++i) {
    auto from = Clock::now();
    Reply reply = client.set({make_edit(Edit::Kind::update, "/front/limits/open_plays", 900000 + i % 1000)});
    if (!reply.ok()) throw std::runtime_error("a Set under load failed: " + reply.message);
    times.push_back(seconds_since(from));
    std::vector<model::PathValue> leaves;
    client.get({parse_path("/state")}, management::DataType::state, leaves);
    next += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / rate));
    std::this_thread::sleep_until(next);
  }
  return times;
}

double measure_recovery(const std::string &folder, int revisions, const std::string &text) {
  records::Source file{"front.cue", text};
  config::FrontConfig record = config::parse_front_config({&file, 1});
  model::Model model;
  auto retained = static_cast<std::size_t>(std::max(10, revisions));
  std::string document = model.to_document(record.record);
  {
    store::Store store(folder, retained);
    for (int r = 1; r <= revisions; ++r)
      store.append({static_cast<std::uint64_t>(r), document, "lab", "a revision", 1.0 * r, 0,
                    static_cast<std::uint64_t>(r - 1), ""});
  }
  auto from = Clock::now();
  store::Store store(folder, retained);
  management::ConfigManager manager(model, store, retained, "lab");
  manager.start(record);
  return seconds_since(from);
}

} // namespace snowshore::lab
