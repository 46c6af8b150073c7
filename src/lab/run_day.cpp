#include "lab/run_day.h"
#include "lab/later.h"
#include "lab/players.h"
#include "lab/server.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <thread>

namespace snowshore::lab {

using records::replace_file;
using telemetry::to_timer_duration;

namespace {

namespace fs = std::filesystem;

constexpr double kDownFor = 0.1; // after a kill from beside
constexpr double kTick = 0.1, kReadyWithin = 20, kEndWithin = 5;

// One front as a process. Its own children only: stopped, continued and killed by their ids.
class FrontProcess {
 public:
  FrontProcess(const Day &day, int index, const RunOptions &options, Trace &trace)
      : day_(day), index_(index), options_(options), trace_(trace),
        folder_(options.folder + "/f" + std::to_string(index)) {
    fs::create_directories(folder_);
    std::string managed;
    if (options.beside)
      managed = "management: {listen: \"127.0.0.1:0\", plaintext: true, store: \"" + folder_ + "/store\"}\n";
    replace_file(folder_ + "/front.cue", front_record(day, index, folder_) + managed);
  }
  ~FrontProcess() { kill_now(false); }

  void start() {
    fs::remove(folder_ + "/ports.json");
    std::string record = folder_ + "/front.cue", errors = folder_ + "/stderr.txt";
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot start a front");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing outlives the lab
      int fd = open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (fd >= 0) dup2(fd, 2);
      close_range(3, ~0U, 0);
      execl(options_.program.c_str(), "snowshore", "edge", "--records", record.c_str(),
            static_cast<char *>(nullptr));
      _exit(127);
    }
    trace_.put("front_start", {{"front", name()}});
  }

  bool poll_ports() { // true once it listens
    if (pid_ <= 0 || has_ports_) return has_ports_;
    std::ifstream in(folder_ + "/ports.json");
    Json ports = in ? Json::parse(in, nullptr, false) : Json();
    if (!ports.is_object()) return false;
    players_ = http::loopback(ports["players"].get<unsigned short>());
    operators_ = http::loopback(ports["operators"].get<unsigned short>());
    management_ = ports["management"].get<int>();
    return has_ports_ = true;
  }

  void kill_now(bool tell = true) {
    if (pid_ <= 0) return;
    if (tell) trace_.put("front_kill", {{"front", name()}});
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
    has_ports_ = false;
    management_ = 0;
  }

  void stall() {
    if (pid_ <= 0 || stalled_) return;
    stalled_ = true;
    trace_.put("front_stall", {{"front", name()}});
    kill(pid_, SIGSTOP);
  }
  void go_on() {
    if (pid_ <= 0 || !stalled_) return;
    stalled_ = false;
    kill(pid_, SIGCONT);
    trace_.put("front_go_on", {{"front", name()}});
  }

  void terminate() {
    go_on();
    told_to_end_ = true;
    if (pid_ > 0) kill(pid_, SIGTERM);
  }
  bool ended() { // after terminate()
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    trace_.put("front_exit", {{"front", name()}, {"code", WIFEXITED(status) ? WEXITSTATUS(status) : -1}});
    return true;
  }
  bool died_by_itself() {
    int status = 0;
    if (pid_ <= 0 || told_to_end_ || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    trace_.put("front_died", {{"front", name()}, {"status", status}});
    return true;
  }

  std::string name() const { return "f" + std::to_string(index_); }
  const std::string &folder() const { return folder_; }
  bool known() const { return players_.port() != 0; }
  bool up() const { return pid_ > 0; }
  const http::Endpoint &players() const { return players_; }
  int management() const { return management_; } // any thread may ask
  const http::Endpoint &operators() const { return operators_; }

 private:
  const Day &day_;
  int index_;
  const RunOptions &options_;
  Trace &trace_;
  std::string folder_;
  pid_t pid_ = 0;
  bool has_ports_ = false, stalled_ = false, told_to_end_ = false;
  http::Endpoint players_, operators_;
  std::atomic<int> management_{0};
};

class DayRun final : public FleetControl {
 public:
  DayRun(const Day &day, const RunOptions &options)
      : day_(day), options_(options), fleet_(options.folder + "/fleet.jsonl", clock_),
        server_trace_(options.folder + "/servers.jsonl", clock_),
        player_trace_(options.folder + "/players.jsonl", clock_),
        chance_(static_cast<std::uint32_t>(options.seed % 2147483646 + 1)), probe_(io_, {}), tick_(io_) {
    boost::random::uniform_real_distribution<> spread(0.8, 1.2);
    racks_.resize(static_cast<std::size_t>(day.racks));
    for (Uplink &rack : racks_) rack.capacity = day.site.rate("rack_uplink") * spread(chance_);
    for (int s = 0; s < day.servers; ++s) add_server(s % day.cells)->start(false);
    for (int f = 0; f < day.fronts; ++f)
      fronts_.push_back(std::make_unique<FrontProcess>(day, f, options, fleet_));
    for (auto &front : fronts_) {
      write_catalogue(*front);
      write_list(*front, view());
      front->start();
    }
    players_ = std::make_unique<Players>(io_, clock_, player_trace_, day, chance_(), [this](int f) {
      const FrontProcess &front = *fronts_[static_cast<std::size_t>(f)];
      return front.known() ? std::optional(front.players()) : std::nullopt;
    });
  }

  void run() {
    wait_ready();
    fleet_.put(
        "day_start",
        {{"name", day_.name}, {"seed", options_.seed}, {"fronts", day_.fronts}, {"servers", day_.servers}});
    begin_ = clock_.read_now();
    players_->start();
    for (const Fault &fault : day_.faults) later(fault.at, [this, &fault] { inject(fault); });
    if (!options_.lasts_until_done)
      later(day_.seconds, [this] {
        players_->stop_asking();
        asking_ended_ = true;
      });
    tick();
    double limit = 0;
    for (const auto &product : day_.terms.products) limit = std::max(limit, product.time_limit);
    std::thread beside;
    if (options_.beside)
      beside = std::thread([this] {
        options_.beside(*this);
        beside_done_ = true;
      });
    if (options_.lasts_until_done) {
      while (!beside_done_) turn();
      players_->stop_asking();
      asking_ended_ = true;
    }
    double end = options_.lasts_until_done ? elapsed() : day_.seconds;
    double latest = end + limit + 1.5;
    while (elapsed() < latest && !(asking_ended_ && players_->waiting() == 0 && elapsed() > end + 0.5))
      turn();
    ends_ = true;
    while (beside.joinable() && !beside_done_) turn();
    if (beside.joinable()) beside.join();
    for (auto &front : fronts_) front->terminate();
    double until = elapsed() + kEndWithin;
    auto all_ended = [&] { return std::ranges::all_of(fronts_, [](auto &front) { return front->ended(); }); };
    while (!all_ended() && elapsed() < until) turn();
    for (auto &front : fronts_) {
      if (front->up()) fleet_.put("front_hangs", {{"front", front->name()}});
    }
    fleet_.put("day_end", {{"asked", players_->asked()}});
    for (Trace *trace : {&fleet_, &server_trace_, &player_trace_}) trace->flush();
    if (options_.progress) std::cerr << "\n";
  }

  int fronts() const override { return day_.fronts; }
  int management_port(int front) const override {
    return fronts_[static_cast<std::size_t>(front)]->management();
  }
  bool ends() const override { return ends_; }
  void kill_front(int front) override {
    asio::post(io_, [this, raw = fronts_[static_cast<std::size_t>(front)].get()] {
      raw->kill_now();
      later(kDownFor, [raw] { raw->start(); });
    });
  }

 private:
  struct ListedView { // of one server, as the list has it
    std::string id, standing;
    http::Endpoint address;
    int cell;
    double started;
  };
  using View = std::vector<ListedView>;

  double elapsed() { return clock_.read_now() - begin_; }

  void turn() {
    clock_.invalidate();
    io_.run_one_for(std::chrono::milliseconds(20));
    for (int i = 0; i < 256 && io_.poll_one() > 0; ++i) {
    }
  }

  template <class F> void later(double seconds, F f) { lab::later(io_, seconds, std::move(f)); }

  StandInServer *add_server(int cell) {
    std::string id = "s" + std::to_string(servers_.size());
    Uplink &rack = racks_[static_cast<std::size_t>(cell % day_.racks)];
    servers_.push_back(
        std::make_unique<StandInServer>(io_, clock_, server_trace_, day_, id, cell, rack, chance_()));
    standing_.push_back("active");
    noticed_gone_.push_back(false);
    return servers_.back().get();
  }

  void wait_ready() {
    for (auto &front : fronts_) {
      bool ready = false, asked = false;
      double until = clock_.read_now() + kReadyWithin;
      while (!ready) {
        if (clock_.read_now() > until || front->died_by_itself())
          throw std::runtime_error("front " + front->name() + " did not come up; see " + front->folder());
        turn();
        if (!front->poll_ports() || asked) continue;
        asked = true;
        http::Request request;
        request.target = "/readyz";
        probe_.send(front->operators(), request, 1, [&](const http::Result &result) {
          ready = result.response.status == 200 && result.end_reason == http::EndReason::answered;
          asked = ready;
        });
      }
    }
  }

  void tick() {
    tick_.expires_after(to_timer_duration(kTick));
    tick_.async_wait([this](asio::error_code error) {
      if (error) return;
      for (Uplink &rack : racks_) rack.asked = 0;
      for (auto &server : servers_) {
        if (server->up())
          racks_[static_cast<std::size_t>(server->cell() % day_.racks)].asked += server->asked();
      }
      for (auto &server : servers_) server->tick(kTick);
      for (auto &front : fronts_) {
        front->poll_ports();
        front->died_by_itself();
      }
      notice_falls();
      if (options_.progress && static_cast<int>(elapsed() * 10) % 10 == 0)
        std::fprintf(stderr, "\r%s %4.0f of %.0f s, asked %llu, waiting %zu, watching %zu   ",
                     day_.name.c_str(), elapsed(), day_.seconds,
                     static_cast<unsigned long long>(players_->asked()), players_->waiting(),
                     players_->watching());
      tick();
    });
  }

  void notice_falls() { // the list hears in its time of processes that are gone
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      bool gone = !servers_[s]->up();
      if (gone == noticed_gone_[s]) continue;
      noticed_gone_[s] = gone;
      publish();
    }
  }

  // ---- The list: one file a front, written as late as the list is.

  View view() {
    View out;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      const StandInServer &server = *servers_[s];
      std::string standing = !server.up() && standing_[s] == "active" ? "left" : standing_[s];
      out.push_back({server.id(), standing, server.address(), server.cell(), server.started()});
    }
    return out;
  }

  void publish() {
    View now = view();
    std::uint64_t version = ++list_version_;
    for (auto &front : fronts_) {
      later(day_.list_delay + list_later_, [this, raw = front.get(), now, version] {
        if (version <= written_[raw->name()]) return; // a later one has been written
        written_[raw->name()] = version;
        pending_[raw->name()] = now;
        if (!list_down_) write_list(*raw, now);
      });
    }
  }

  void write_list(FrontProcess &front, const View &now) {
    std::string text = "version: " + std::to_string(list_version_) + "\nservers: [\n";
    Json told = Json::array();
    for (const ListedView &one : now) {
      char started[40];
      std::snprintf(started, sizeof started, "%.6f", one.started);
      text += "  {id: \"" + one.id + "\", address: \"127.0.0.1:" + std::to_string(one.address.port()) +
              "\", kind: \"std\", cell: " + std::to_string(one.cell) +
              ", weight: " + std::to_string(day_.weight) + ", standing: \"" + one.standing +
              "\", started: " + started + "},\n";
      if (one.standing != "active") told.push_back(one.id);
    }
    replace_file(front.folder() + "/list.cue", text + "]\n");
    fleet_.put("list", {{"front", front.name()}, {"version", list_version_}, {"not_active", told}});
  }

  void write_catalogue(FrontProcess &front) {
    std::string text = "version: 1\ntitles: {\n";
    int copies = std::min(day_.cells, std::max(3, day_.cells / 3));
    for (int t = 0; t < day_.titles; ++t)
      text += "  t" + std::to_string(t) + ": {cell: " + std::to_string(t * 7 % day_.cells) +
              ", cells: " + std::to_string(copies) + "}\n";
    replace_file(front.folder() + "/catalogue.cue", text + "}\n");
  }

  // ---- What goes wrong.

  std::vector<StandInServer *> pick(double part) { // of those that are up and listed, by the seed
    std::vector<StandInServer *> out;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      if (servers_[s]->up() && standing_[s] == "active") out.push_back(servers_[s].get());
    }
    std::shuffle(out.begin(), out.end(), chance_);
    out.resize(std::min(out.size(), static_cast<std::size_t>(std::max(
                                        1.0, std::round(part * static_cast<double>(servers_.size()))))));
    return out;
  }

  void with_servers(const Fault &fault, const std::function<void(StandInServer &)> &on,
                    const std::function<void(StandInServer &)> &off) {
    auto hit = pick(fault.part);
    Json names = Json::array();
    for (StandInServer *server : hit) {
      on(*server);
      names.push_back(server->id());
    }
    fleet_.put("hit", {{"servers", names}});
    later(fault.lasts, [hit, off] {
      for (StandInServer *server : hit) off(*server);
    });
  }

  void swing(std::vector<StandInServer *> hit, const Fault &fault, double until, bool on) {
    for (StandInServer *server : hit) server->faults.taken = on ? fault.size : 0;
    if (!on && elapsed() >= until) return;
    later(fault.every,
          [this, hit, &fault, until, on] { swing(hit, fault, until, !on && elapsed() < until); });
  }

  void drain_wave(const Fault &fault, int left) {
    for (StandInServer *server : pick(fault.part)) {
      auto place =
          std::find_if(servers_.begin(), servers_.end(), [&](auto &s) { return s.get() == server; }) -
          servers_.begin();
      standing_[static_cast<std::size_t>(place)] = "leaving";
      int cell = server->cell();
      // The list is first, then the server itself, then it is gone; its successor has a new id.
      later(1.5, [this, server] {
        (void)this;
        server->drain();
      });
      later(3, [this, place, server, cell, replace = fault.replace] {
        standing_[static_cast<std::size_t>(place)] = "left";
        server->die();
        if (replace) {
          add_server(cell)->start(true);
        }
        publish();
      });
    }
    publish();
    if (left > 1) later(fault.every, [this, &fault, left] { drain_wave(fault, left - 1); });
  }

  void stalls(const Fault &fault, double until) {
    FrontProcess &front = *fronts_[static_cast<std::size_t>(fault.front % day_.fronts)];
    if (elapsed() >= until) return;
    front.stall();
    later(fault.size, [&front] { front.go_on(); });
    later(fault.size + fault.every, [this, &fault, until] { stalls(fault, until); });
  }

  void restart(StandInServer &server) {
    if (!server.up()) server.start(true);
    publish();
  }

  void inject(const Fault &fault) {
    fleet_.put("fault", {{"kind", static_cast<int>(fault.kind)}, {"lasts", fault.lasts}});
    using K = FaultKind;
    switch (fault.kind) {
    case K::hang:
      return with_servers(
          fault, [](auto &s) { s.faults.hang = true; }, [](auto &s) { s.faults.hang = false; });
    case K::crash:
      return with_servers(
          fault, [](auto &s) { s.die(); }, [this](auto &s) { restart(s); });
    case K::vanish:
      return with_servers(
          fault, [](auto &s) { s.vanish(); }, [this](auto &s) { restart(s); });
    case K::slow:
      return with_servers(
          fault, [&](auto &s) { s.faults.slower = fault.size; }, [](auto &s) { s.faults.slower = 1; });
    case K::neighbour:
      return swing(pick(fault.part), fault, elapsed() + fault.lasts, true);
    case K::lost_silent:
      return with_servers(
          fault, [&](auto &s) { s.faults.lose_silent = fault.size; },
          [](auto &s) { s.faults.lose_silent = 0; });
    case K::lost_reset:
      return with_servers(
          fault, [&](auto &s) { s.faults.lose_reset = fault.size; },
          [](auto &s) { s.faults.lose_reset = 0; });
    case K::late:
      return with_servers(
          fault, [&](auto &s) { s.faults.late_by = fault.size; }, [](auto &s) { s.faults.late_by = 0; });
    case K::nonsense:
      return with_servers(
          fault, [](auto &s) { s.faults.nonsense = true; }, [](auto &s) { s.faults.nonsense = false; });
    case K::streams_cut:
      return with_servers(
          fault, [](auto &s) { s.cut_streams(); }, [](auto &s) { s.cut_streams(); });
    case K::reports_late:
      return with_servers(
          fault, [&](auto &s) { s.faults.report_delay = fault.size; },
          [](auto &s) { s.faults.report_delay = 0; });
    case K::drain:
      return drain_wave(fault, std::max(1, static_cast<int>(fault.size)));
    case K::list_late:
      list_later_ = fault.size;
      return later(fault.lasts, [this] { list_later_ = 0; });
    case K::list_down:
      list_down_ = true;
      for (auto &front : fronts_) fs::rename(front->folder() + "/list.cue", front->folder() + "/list.away");
      return later(fault.lasts, [this] {
        list_down_ = false;
        for (auto &front : fronts_)
          write_list(*front, pending_.contains(front->name()) ? pending_[front->name()] : view());
      });
    case K::list_whole:
      ++list_version_;
      for (auto &front : fronts_) write_list(*front, view());
      return;
    case K::front_kill: {
      FrontProcess &front = *fronts_[static_cast<std::size_t>(fault.front % day_.fronts)];
      front.kill_now();
      return later(fault.lasts, [&front] { front.start(); });
    }
    case K::front_stall:
      return stalls(fault, elapsed() + fault.lasts);
    case K::crowd:
      players_->crowd(day_.plays_a_second * fault.size, std::max(1, static_cast<int>(fault.part * 10)));
      return later(fault.lasts, [this] { players_->crowd(0, 1); });
    case K::leavers:
      players_->leavers(fault.part);
      return later(fault.lasts, [this] { players_->leavers(0); });
    case K::silent_players:
      players_->open_silent(static_cast<int>(fault.size), fault.front);
      return later(fault.lasts, [this] { players_->close_idle(); });
    case K::slow_players:
      players_->open_slow(static_cast<int>(fault.size), fault.front);
      return later(fault.lasts, [this] { players_->close_idle(); });
    }
  }

  const Day &day_;
  const RunOptions &options_;
  asio::io_context io_{1};
  telemetry::LoopClock clock_;
  Trace fleet_, server_trace_, player_trace_;
  std::minstd_rand chance_;
  std::vector<Uplink> racks_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::vector<std::string> standing_;
  std::vector<bool> noticed_gone_; // by server
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  std::unique_ptr<Players> players_;
  http::Client probe_;
  asio::steady_timer tick_;
  std::map<std::string, std::uint64_t> written_;
  std::map<std::string, View> pending_;
  std::uint64_t list_version_ = 1;
  double begin_ = 0, list_later_ = 0;
  bool list_down_ = false, asking_ended_ = false;
  std::atomic<bool> beside_done_{false}, ends_{false};
};

} // namespace

void run_day(const Day &day, const std::string &day_text, const RunOptions &options) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  // Made anew, but never what this program did not write.
  bool ours = fs::exists(options.folder + "/scale.json") || !fs::exists(options.folder) ||
              fs::is_empty(options.folder);
  if (!ours) throw std::runtime_error(options.folder + " holds something else than a day");
  fs::remove_all(options.folder);
  fs::create_directories(options.folder);
  replace_file(options.folder + "/day.cue", day_text);
  replace_file(options.folder + "/scale.json",
               Json{{"fronts", day.fronts}, {"servers", day.servers}, {"seed", options.seed}}.dump() + "\n");
  DayRun run(day, options);
  run.run();
}

} // namespace snowshore::lab
