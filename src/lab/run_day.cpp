#include "lab/run_day.h"
#include "lab/delayed_call.h"
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

// The number of seconds after which a front end that the background task killed is started again.
constexpr double kRestartDelay = 0.1;
// The intervals and time-outs in seconds: of the model's updates, until a front end is ready, until it has
// exited.
constexpr double kTickInterval = 0.1, kReadyTimeout = 20, kExitTimeout = 5;

// A front end that runs as a child process. Signals go to the id of that process only.
class FrontProcess {
 public:
  FrontProcess(const Day &day, int index, const RunOptions &options, Trace &trace)
      : day_(day), index_(index), options_(options), trace_(trace),
        folder_(options.folder + "/f" + std::to_string(index)) {
    fs::create_directories(folder_);
    std::string managed;
    if (options.background_task)
      managed = "management: {listen: \"127.0.0.1:0\", plaintext: true, store: \"" + folder_ + "/store\"}\n";
    replace_file(folder_ + "/front.cue", render_front_record(day, index, folder_) + managed);
  }
  ~FrontProcess() { kill_process(false); }

  void start() {
    fs::remove(folder_ + "/ports.json");
    std::string record = folder_ + "/front.cue", errors = folder_ + "/stderr.txt";
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("cannot fork a front end");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // the front end does not outlive this process
      int fd = open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      if (fd >= 0) dup2(fd, 2);
      close_range(3, ~0U, 0);
      execl(options_.program.c_str(), "snowshore", "edge", "--records", record.c_str(),
            static_cast<char *>(nullptr));
      _exit(127);
    }
    trace_.write("front_start", {{"front", name()}});
  }

  // Reads the file that the front end writes when it listens. Returns whether it listens.
  bool read_ports() {
    if (pid_ <= 0 || is_listening_) return is_listening_;
    std::ifstream in(folder_ + "/ports.json");
    Json ports = in ? Json::parse(in, nullptr, false) : Json();
    if (!ports.is_object()) return false;
    players_ = http::loopback(ports["players"].get<unsigned short>());
    operators_ = http::loopback(ports["operators"].get<unsigned short>());
    management_ = ports["management"].get<int>();
    return is_listening_ = true;
  }

  void kill_process(bool record_event = true) {
    if (pid_ <= 0) return;
    if (record_event) trace_.write("front_kill", {{"front", name()}});
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
    is_listening_ = false;
    management_ = 0;
  }

  void stall() {
    if (pid_ <= 0 || stalled_) return;
    stalled_ = true;
    trace_.write("front_stall", {{"front", name()}});
    kill(pid_, SIGSTOP);
  }
  void resume() {
    if (pid_ <= 0 || !stalled_) return;
    stalled_ = false;
    kill(pid_, SIGCONT);
    trace_.write("front_go_on", {{"front", name()}});
  }

  void terminate() {
    resume();
    terminating_ = true;
    if (pid_ > 0) kill(pid_, SIGTERM);
  }
  // Returns whether the process has exited after terminate().
  bool has_exited() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    trace_.write("front_exit", {{"front", name()}, {"code", WIFEXITED(status) ? WEXITSTATUS(status) : -1}});
    return true;
  }
  // Returns true, once, if the process exited without terminate() or a kill.
  bool check_unexpected_exit() {
    int status = 0;
    if (pid_ <= 0 || terminating_ || waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    trace_.write("front_died", {{"front", name()}, {"status", status}});
    return true;
  }

  std::string name() const { return "f" + std::to_string(index_); }
  const std::string &folder() const { return folder_; }
  // Returns whether the front end was ever up. Its address then stays known while it is down.
  bool has_address() const { return players_.port() != 0; }
  bool up() const { return pid_ > 0; }
  const http::Endpoint &players() const { return players_; }
  // Returns the management port, or 0 while the front end is down. May be called from any thread.
  int management() const { return management_; }
  const http::Endpoint &operators() const { return operators_; }

 private:
  const Day &day_;
  int index_;
  const RunOptions &options_;
  Trace &trace_;
  std::string folder_;
  pid_t pid_ = 0;
  bool is_listening_ = false, stalled_ = false, terminating_ = false;
  http::Endpoint players_, operators_;
  std::atomic<int> management_{0};
};

// The run of a day. All parts run on one executor, which run() drives; only the functions of FleetControl may
// be called from other threads.
class DayRun final : public FleetControl {
 public:
  DayRun(const Day &day, const RunOptions &options)
      : day_(day), options_(options), fleet_trace_(options.folder + "/fleet.jsonl", clock_),
        server_trace_(options.folder + "/servers.jsonl", clock_),
        player_trace_(options.folder + "/players.jsonl", clock_),
        random_(static_cast<std::uint32_t>(options.seed % 2147483646 + 1)), ready_client_(io_, {}),
        tick_timer_(io_) {
    boost::random::uniform_real_distribution<> spread(0.8, 1.2);
    racks_.resize(static_cast<std::size_t>(day.racks));
    for (Uplink &rack : racks_) rack.capacity = day.site.rate("rack_uplink") * spread(random_);
    for (int s = 0; s < day.servers; ++s) add_server(s % day.cells)->start(false);
    for (int f = 0; f < day.fronts; ++f)
      fronts_.push_back(std::make_unique<FrontProcess>(day, f, options, fleet_trace_));
    for (auto &front : fronts_) {
      write_catalogue(*front);
      write_list(*front, current_list());
      front->start();
    }
    players_ = std::make_unique<Players>(io_, clock_, player_trace_, day, random_(), [this](int f) {
      const FrontProcess &front = *fronts_[static_cast<std::size_t>(f)];
      return front.has_address() ? std::optional(front.players()) : std::nullopt;
    });
  }

  void run() {
    wait_ready();
    fleet_trace_.write(
        "day_start",
        {{"name", day_.name}, {"seed", options_.seed}, {"fronts", day_.fronts}, {"servers", day_.servers}});
    day_start_ = clock_.read_now();
    players_->start();
    for (const Fault &fault : day_.faults) call_after(fault.start_time, [this, &fault] { inject(fault); });
    if (!options_.run_until_task_done)
      call_after(day_.seconds, [this] {
        players_->stop_asking();
        asking_ended_ = true;
      });
    tick();
    double longest_time_limit = 0;
    for (const auto &product : day_.front_config.products)
      longest_time_limit = std::max(longest_time_limit, product.time_limit);
    std::thread task_thread;
    if (options_.background_task)
      task_thread = std::thread([this] {
        options_.background_task(*this);
        task_done_ = true;
      });
    if (options_.run_until_task_done) {
      while (!task_done_) run_events();
      players_->stop_asking();
      asking_ended_ = true;
    }
    double end = options_.run_until_task_done ? elapsed() : day_.seconds;
    double last_wait = end + longest_time_limit + 1.5;
    while (elapsed() < last_wait && !(asking_ended_ && players_->waiting() == 0 && elapsed() > end + 0.5))
      run_events();
    day_over_ = true;
    while (task_thread.joinable() && !task_done_) run_events();
    if (task_thread.joinable()) task_thread.join();
    for (auto &front : fronts_) front->terminate();
    double deadline = elapsed() + kExitTimeout;
    auto all_ended = [&] {
      return std::ranges::all_of(fronts_, [](auto &front) { return front->has_exited(); });
    };
    while (!all_ended() && elapsed() < deadline) run_events();
    for (auto &front : fronts_) {
      if (front->up()) fleet_trace_.write("front_hangs", {{"front", front->name()}});
    }
    fleet_trace_.write("day_end", {{"asked", players_->asked()}});
    for (Trace *trace : {&fleet_trace_, &server_trace_, &player_trace_}) trace->flush();
    if (options_.show_progress) std::cerr << "\n";
  }

  int fronts() const override { return day_.fronts; }
  int management_port(int front) const override {
    return fronts_[static_cast<std::size_t>(front)]->management();
  }
  bool is_day_over() const override { return day_over_; }
  void kill_front(int front) override {
    asio::post(io_, [this, process = fronts_[static_cast<std::size_t>(front)].get()] {
      process->kill_process();
      call_after(kRestartDelay, [process] { process->start(); });
    });
  }

 private:
  // A server as the server list names it.
  struct ListEntry {
    std::string id, status;
    http::Endpoint address;
    int cell;
    double started;
  };
  using ServerList = std::vector<ListEntry>;

  double elapsed() { return clock_.read_now() - day_start_; }

  // Runs the handlers that are ready, and waits for one for at most 20 ms.
  void run_events() {
    clock_.invalidate();
    io_.run_one_for(std::chrono::milliseconds(20));
    for (int i = 0; i < 256 && io_.poll_one() > 0; ++i) {
    }
  }

  template <class F> void call_after(double seconds, F f) { lab::call_after(io_, seconds, std::move(f)); }

  SimulatedServer *add_server(int cell) {
    std::string id = "s" + std::to_string(servers_.size());
    Uplink &rack = racks_[static_cast<std::size_t>(cell % day_.racks)];
    servers_.push_back(
        std::make_unique<SimulatedServer>(io_, clock_, server_trace_, day_, id, cell, rack, random_()));
    statuses_.push_back("active");
    listed_as_down_.push_back(false);
    return servers_.back().get();
  }

  void wait_ready() {
    for (auto &front : fronts_) {
      bool ready = false, asked = false;
      double deadline = clock_.read_now() + kReadyTimeout;
      while (!ready) {
        if (clock_.read_now() > deadline || front->check_unexpected_exit())
          throw std::runtime_error("front " + front->name() + " did not become ready; see " +
                                   front->folder());
        run_events();
        if (!front->read_ports() || asked) continue;
        asked = true;
        http::Request request;
        request.target = "/readyz";
        ready_client_.send(front->operators(), request, 1, [&](const http::Result &result) {
          ready = result.response.status == 200 && result.end_reason == http::EndReason::answered;
          asked = ready;
        });
      }
    }
  }

  void tick() {
    tick_timer_.expires_after(to_timer_duration(kTickInterval));
    tick_timer_.async_wait([this](asio::error_code error) {
      if (error) return;
      for (Uplink &rack : racks_) rack.demand = 0;
      for (auto &server : servers_) {
        if (server->up())
          racks_[static_cast<std::size_t>(server->cell() % day_.racks)].demand += server->demand();
      }
      for (auto &server : servers_) server->tick(kTickInterval);
      for (auto &front : fronts_) {
        front->read_ports();
        front->check_unexpected_exit();
      }
      publish_server_changes();
      if (options_.show_progress && static_cast<int>(elapsed() * 10) % 10 == 0)
        std::fprintf(stderr, "\r%s %4.0f of %.0f s, asked %llu, waiting %zu, watching %zu   ",
                     day_.name.c_str(), elapsed(), day_.seconds,
                     static_cast<unsigned long long>(players_->asked()), players_->waiting(),
                     players_->watching());
      tick();
    });
  }

  // Publishes the list when servers went down or came up since the last call.
  void publish_server_changes() {
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      bool down = !servers_[s]->up();
      if (down == listed_as_down_[s]) continue;
      listed_as_down_[s] = down;
      publish_list();
    }
  }

  // Returns the list as it is now. A server that is down is listed as left.
  ServerList current_list() {
    ServerList out;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      const SimulatedServer &server = *servers_[s];
      std::string status = !server.up() && statuses_[s] == "active" ? "left" : statuses_[s];
      out.push_back({server.id(), status, server.address(), server.cell(), server.started()});
    }
    return out;
  }

  // Writes the current list to each front end's file after the list's delay.
  void publish_list() {
    ServerList list = current_list();
    std::uint64_t version = ++list_version_;
    for (auto &front : fronts_) {
      call_after(day_.list_delay + extra_list_delay_, [this, process = front.get(), list, version] {
        if (version <= written_versions_[process->name()]) return; // a newer version has been written
        written_versions_[process->name()] = version;
        pending_lists_[process->name()] = list;
        if (!list_unavailable_) write_list(*process, list);
      });
    }
  }

  void write_list(FrontProcess &front, const ServerList &list) {
    std::string text = "version: " + std::to_string(list_version_) + "\nservers: [\n";
    Json not_active = Json::array();
    for (const ListEntry &entry : list) {
      char started[40];
      std::snprintf(started, sizeof started, "%.6f", entry.started);
      text += "  {id: \"" + entry.id + "\", address: \"127.0.0.1:" + std::to_string(entry.address.port()) +
              "\", kind: \"std\", cell: " + std::to_string(entry.cell) +
              ", weight: " + std::to_string(day_.weight) + ", standing: \"" + entry.status +
              "\", started: " + started + "},\n";
      if (entry.status != "active") not_active.push_back(entry.id);
    }
    replace_file(front.folder() + "/list.cue", text + "]\n");
    fleet_trace_.write("list",
                       {{"front", front.name()}, {"version", list_version_}, {"not_active", not_active}});
  }

  void write_catalogue(FrontProcess &front) {
    std::string text = "version: 1\ntitles: {\n";
    int copies = std::min(day_.cells, std::max(3, day_.cells / 3));
    for (int t = 0; t < day_.titles; ++t)
      text += "  t" + std::to_string(t) + ": {cell: " + std::to_string(t * 7 % day_.cells) +
              ", cells: " + std::to_string(copies) + "}\n";
    replace_file(front.folder() + "/catalogue.cue", text + "}\n");
  }

  // Returns a random choice of the servers that are up and active: the given share of all servers, but at
  // least one.
  std::vector<SimulatedServer *> pick_servers(double share) {
    std::vector<SimulatedServer *> out;
    for (std::size_t s = 0; s < servers_.size(); ++s) {
      if (servers_[s]->up() && statuses_[s] == "active") out.push_back(servers_[s].get());
    }
    std::shuffle(out.begin(), out.end(), random_);
    out.resize(std::min(out.size(), static_cast<std::size_t>(std::max(
                                        1.0, std::round(share * static_cast<double>(servers_.size()))))));
    return out;
  }

  // Applies a fault to a random choice of servers and undoes it after its duration.
  void apply_temporarily(const Fault &fault, const std::function<void(SimulatedServer &)> &apply,
                         const std::function<void(SimulatedServer &)> &undo) {
    auto affected = pick_servers(fault.share);
    Json names = Json::array();
    for (SimulatedServer *server : affected) {
      apply(*server);
      names.push_back(server->id());
    }
    fleet_trace_.write("hit", {{"servers", names}});
    call_after(fault.duration, [affected, undo] {
      for (SimulatedServer *server : affected) undo(*server);
    });
  }

  // Switches competing traffic on and off at the fault's interval until `deadline`, and off at the end.
  void toggle_competing_traffic(std::vector<SimulatedServer *> affected, const Fault &fault, double deadline,
                                bool active) {
    for (SimulatedServer *server : affected) server->faults.competing_share = active ? fault.magnitude : 0;
    if (!active && elapsed() >= deadline) return;
    call_after(fault.interval, [this, affected, &fault, deadline, active] {
      toggle_competing_traffic(affected, fault, deadline, !active && elapsed() < deadline);
    });
  }

  // Drains servers at once, and again after the fault's interval until no wave remains.
  void drain_wave(const Fault &fault, int remaining_waves) {
    for (SimulatedServer *server : pick_servers(fault.share)) {
      auto index =
          std::find_if(servers_.begin(), servers_.end(), [&](auto &s) { return s.get() == server; }) -
          servers_.begin();
      statuses_[static_cast<std::size_t>(index)] = "leaving";
      int cell = server->cell();
      // The list names the server as leaving first; then the server declines set-ups; then it is gone. Its
      // replacement has a new id.
      call_after(1.5, [this, server] {
        (void)this;
        server->drain();
      });
      call_after(3, [this, index, server, cell, replace = fault.add_replacement] {
        statuses_[static_cast<std::size_t>(index)] = "left";
        server->crash();
        if (replace) {
          add_server(cell)->start(true);
        }
        publish_list();
      });
    }
    publish_list();
    if (remaining_waves > 1)
      call_after(fault.interval, [this, &fault, remaining_waves] { drain_wave(fault, remaining_waves - 1); });
  }

  // Stops the front end for `magnitude` seconds at the fault's interval until `deadline`.
  void stall_repeatedly(const Fault &fault, double deadline) {
    FrontProcess &front = *fronts_[static_cast<std::size_t>(fault.front % day_.fronts)];
    if (elapsed() >= deadline) return;
    front.stall();
    call_after(fault.magnitude, [&front] { front.resume(); });
    call_after(fault.magnitude + fault.interval,
               [this, &fault, deadline] { stall_repeatedly(fault, deadline); });
  }

  void restart(SimulatedServer &server) {
    if (!server.up()) server.start(true);
    publish_list();
  }

  void inject(const Fault &fault) {
    fleet_trace_.write("fault", {{"kind", static_cast<int>(fault.kind)}, {"lasts", fault.duration}});
    using K = FaultKind;
    switch (fault.kind) {
    case K::hang:
      return apply_temporarily(
          fault, [](auto &s) { s.faults.hang = true; }, [](auto &s) { s.faults.hang = false; });
    case K::crash:
      return apply_temporarily(
          fault, [](auto &s) { s.crash(); }, [this](auto &s) { restart(s); });
    case K::vanish:
      return apply_temporarily(
          fault, [](auto &s) { s.vanish(); }, [this](auto &s) { restart(s); });
    case K::slow_link:
      return apply_temporarily(
          fault, [&](auto &s) { s.faults.link_divisor = fault.magnitude; },
          [](auto &s) { s.faults.link_divisor = 1; });
    case K::competing_traffic:
      return toggle_competing_traffic(pick_servers(fault.share), fault, elapsed() + fault.duration, true);
    case K::answer_dropped:
      return apply_temporarily(
          fault, [&](auto &s) { s.faults.dropped_share = fault.magnitude; },
          [](auto &s) { s.faults.dropped_share = 0; });
    case K::answer_reset:
      return apply_temporarily(
          fault, [&](auto &s) { s.faults.reset_share = fault.magnitude; },
          [](auto &s) { s.faults.reset_share = 0; });
    case K::answer_delayed:
      return apply_temporarily(
          fault, [&](auto &s) { s.faults.answer_delay = fault.magnitude; },
          [](auto &s) { s.faults.answer_delay = 0; });
    case K::answer_malformed:
      return apply_temporarily(
          fault, [](auto &s) { s.faults.malformed_answers = true; },
          [](auto &s) { s.faults.malformed_answers = false; });
    case K::report_streams_cut:
      return apply_temporarily(
          fault, [](auto &s) { s.cut_report_streams(); }, [](auto &s) { s.cut_report_streams(); });
    case K::reports_delayed:
      return apply_temporarily(
          fault, [&](auto &s) { s.faults.report_delay = fault.magnitude; },
          [](auto &s) { s.faults.report_delay = 0; });
    case K::drain:
      return drain_wave(fault, std::max(1, static_cast<int>(fault.magnitude)));
    case K::list_delayed:
      extra_list_delay_ = fault.magnitude;
      return call_after(fault.duration, [this] { extra_list_delay_ = 0; });
    case K::list_unavailable:
      list_unavailable_ = true;
      for (auto &front : fronts_) fs::rename(front->folder() + "/list.cue", front->folder() + "/list.away");
      return call_after(fault.duration, [this] {
        list_unavailable_ = false;
        for (auto &front : fronts_)
          write_list(*front,
                     pending_lists_.contains(front->name()) ? pending_lists_[front->name()] : current_list());
      });
    case K::list_rewritten:
      ++list_version_;
      for (auto &front : fronts_) write_list(*front, current_list());
      return;
    case K::front_kill: {
      FrontProcess &front = *fronts_[static_cast<std::size_t>(fault.front % day_.fronts)];
      front.kill_process();
      return call_after(fault.duration, [&front] { front.start(); });
    }
    case K::front_stall:
      return stall_repeatedly(fault, elapsed() + fault.duration);
    case K::crowd:
      players_->set_crowd(day_.plays_per_second * fault.magnitude,
                          std::max(1, static_cast<int>(fault.share * 10)));
      return call_after(fault.duration, [this] { players_->set_crowd(0, 1); });
    case K::early_leavers:
      players_->set_early_leavers(fault.share);
      return call_after(fault.duration, [this] { players_->set_early_leavers(0); });
    case K::silent_players:
      players_->open_silent_connections(static_cast<int>(fault.magnitude), fault.front);
      return call_after(fault.duration, [this] { players_->close_idle_connections(); });
    case K::slow_players:
      players_->open_slow_connections(static_cast<int>(fault.magnitude), fault.front);
      return call_after(fault.duration, [this] { players_->close_idle_connections(); });
    }
  }

  const Day &day_;
  const RunOptions &options_;
  asio::io_context io_{1};
  telemetry::LoopClock clock_;
  Trace fleet_trace_, server_trace_, player_trace_;
  std::minstd_rand random_;
  std::vector<Uplink> racks_;
  std::vector<std::unique_ptr<SimulatedServer>> servers_;
  std::vector<std::string> statuses_;
  // Whether each server was down when the list was last published.
  std::vector<bool> listed_as_down_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  std::unique_ptr<Players> players_;
  http::Client ready_client_;
  asio::steady_timer tick_timer_;
  // The newest version that is due for each front end, and the list that goes with it.
  std::map<std::string, std::uint64_t> written_versions_;
  std::map<std::string, ServerList> pending_lists_;
  std::uint64_t list_version_ = 1;
  double day_start_ = 0, extra_list_delay_ = 0;
  bool list_unavailable_ = false, asking_ended_ = false;
  std::atomic<bool> task_done_{false}, day_over_{false};
};

} // namespace

void run_day(const Day &day, const std::string &day_text, const RunOptions &options) {
  rlimit file_limit{};
  getrlimit(RLIMIT_NOFILE, &file_limit);
  file_limit.rlim_cur = file_limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &file_limit);
  // The folder is deleted only if it is empty or holds an earlier day.
  bool may_delete = fs::exists(options.folder + "/scale.json") || !fs::exists(options.folder) ||
                    fs::is_empty(options.folder);
  if (!may_delete) throw std::runtime_error(options.folder + " is not empty and does not hold a day");
  fs::remove_all(options.folder);
  fs::create_directories(options.folder);
  replace_file(options.folder + "/day.cue", day_text);
  replace_file(options.folder + "/scale.json",
               Json{{"fronts", day.fronts}, {"servers", day.servers}, {"seed", options.seed}}.dump() + "\n");
  DayRun run(day, options);
  run.run();
}

} // namespace snowshore::lab
