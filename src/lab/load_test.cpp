#include "lab/load_test.h"
#include "hints/hints.h"
#include "http/client.h"
#include "http/server.h"
#include "lab/management_load.h"
#include "lab/quantile.h"
#include "serverwire/protocol.h"
#include "telemetry/loop_clock.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

namespace snowshore::lab {

using telemetry::to_timer_duration;

namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

double seconds_since(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// Minimal servers, which run on a thread of their own. They answer each set-up at once and end each play with
// a report when it has been held for the given time.
class MinimalServers {
 public:
  MinimalServers(int count, double hold) : hold_(hold), timer_(io_) {
    http::ServerLimits limits;
    limits.connections = 100000;
    limits.header_time = limits.idle_time = 600;
    for (int s = 0; s < count; ++s) {
      streams_.push_back(nullptr);
      servers_.push_back(std::make_unique<http::Server>(
          io_, http::loopback(), limits,
          [this, s](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
            on_request(s, request, exchange);
          }));
    }
    tick();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~MinimalServers() {
    asio::post(io_, [this] {
      timer_.cancel();
      for (auto &server : servers_) server->stop();
      io_.stop();
    });
    thread_.join();
  }
  unsigned short port(int s) const { return servers_[static_cast<std::size_t>(s)]->local_endpoint().port(); }
  // Sets for how many seconds plays are held. May be called from any thread.
  void set_hold(double seconds) {
    asio::post(io_, [this, seconds] { hold_ = seconds; });
  }

 private:
  struct HeldPlay {
    Clock::time_point from;
    int server;
    std::string play;
  };
  void on_request(int s, const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
    http::Response response;
    hints::CmsdLoad load;
    load.link_demand = load.uplink_demand = 0.01;
    response.headers.add("CMSD-Dynamic", hints::write_cmsd("s" + std::to_string(s), load));
    auto play = serverwire::parse_play_path(request.path);
    if (request.method == "POST" && play) {
      response.status = 201;
      held_plays_.push_back({Clock::now(), s, *play});
      return exchange->respond(response);
    }
    if (request.path.starts_with("/fronts/")) {
      exchange->open_stream(response);
      serverwire::Report hello;
      hello.kind = serverwire::Report::Kind::hello;
      hello.started_at = 1;
      exchange->write(serverwire::write_report(hello));
      streams_[static_cast<std::size_t>(s)] = exchange;
      return;
    }
    exchange->respond(response);
  }
  void tick() {
    timer_.expires_after(std::chrono::milliseconds(20));
    timer_.async_wait([this](asio::error_code error) {
      if (error) return;
      for (int remaining = 2000;
           remaining > 0 && !held_plays_.empty() && seconds_since(held_plays_.front().from) >= hold_;
           --remaining) {
        serverwire::Report report;
        report.kind = serverwire::Report::Kind::end;
        report.play = held_plays_.front().play;
        report.reason = "done";
        auto &stream = streams_[static_cast<std::size_t>(held_plays_.front().server)];
        if (!stream) break; // the front end has not opened the report stream yet
        stream->write(serverwire::write_report(report));
        held_plays_.pop_front();
      }
      if (++tick_count_ % 25 == 0) {
        for (auto &stream : streams_) {
          if (stream) stream->write(serverwire::write_report({}));
        }
      }
      tick();
    });
  }

  asio::io_context io_{1};
  double hold_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<http::Server>> servers_;
  std::vector<std::shared_ptr<http::Exchange>> streams_;
  std::deque<HeldPlay> held_plays_;
  std::uint64_t tick_count_ = 0;
  std::thread thread_;
};

// A child process, which is killed when the object is destroyed.
struct ChildProcess {
  pid_t pid = 0;
  ~ChildProcess() {
    if (pid <= 0) return;
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  // Returns the user and system time in seconds.
  double cpu_seconds() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string word;
    double user = 0, system = 0;
    for (int i = 0; i < 11; ++i) rest >> word;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  // Returns the resident memory in bytes.
  double resident_memory() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6)) * 1024;
    }
    return 0;
  }
};

// The metrics of a front end that are evaluated.
struct Metrics {
  double decision_sum = 0, added_count = 0, open = 0;
  // The buckets of the added latency: the upper bound in seconds and the cumulative count.
  std::vector<std::pair<double, double>> added;
};

Metrics parse_metrics(const std::string &text) {
  Metrics figures;
  std::istringstream in(text);
  std::string line;
  while (std::getline(in, line)) {
    double value = line.empty() || line[0] == '#' ? 0 : std::stod(line.substr(line.rfind(' ') + 1));
    if (line.starts_with("snowshore_decision_seconds_sum")) figures.decision_sum = value;
    if (line.starts_with("snowshore_plays_open")) figures.open += value;
    if (line.starts_with("snowshore_added_seconds_bucket{le=\"")) {
      std::string bound = line.substr(35, line.find('"', 35) - 35);
      figures.added.emplace_back(bound == "+Inf" ? INFINITY : std::stod(bound), value);
    }
  }
  return figures;
}

// Returns a quantile of the added latency between two readings, interpolated linearly within a bucket.
double histogram_quantile(const Metrics &from, const Metrics &to, double fraction) {
  if (to.added.empty()) return 0;
  auto count = [&](std::size_t i) {
    return to.added[i].second - (i < from.added.size() ? from.added[i].second : 0);
  };
  double target = fraction * count(to.added.size() - 1), before = 0, low = 0;
  for (std::size_t i = 0; i < to.added.size(); ++i) {
    double cumulative = count(i), high = to.added[i].first;
    if (cumulative >= target)
      return std::isinf(high) ? low
                              : low + (high - low) * (target - before) / std::max(1.0, cumulative - before);
    before = cumulative;
    low = high;
  }
  return low;
}

// Writes the front end's record, its server list and its catalogue.
void write_records(const LoadOptions &options, const MinimalServers &servers) {
  fs::create_directories(options.folder);
  std::ofstream front(options.folder + "/front.cue");
  front << "name: \"load\"\nseed: 7\nlisten: {players: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", "
           "ports_file: \""
        << options.folder << "/ports.json\"}\nlist: {file: \"" << options.folder
        << "/list.cue\", catalogue: \"" << options.folder << "/catalogue.cue\"}\n"
        << "fleet: {cells: 10, kinds: [{name: \"k\", places: 100000}], link_per_weight: \"1000000MB/s\"}\n"
        << "products: [{name: \"clip\", first_frame_target: \"2s\", time_limit: \"4s\", top: 3}]\n"
        << "rungs: [{rate: \"100kB/s\", importance: 0.2}, {rate: \"200kB/s\", importance: 0.5}, {rate: "
           "\"400kB/s\", importance: "
           "0.8}, {rate: \"800kB/s\", importance: 1}]\n"
        << "load: may_probe: false\nrules: {warm_up: \"1ms\", cold_share: 1, fall_multiple: 1000, fall_span: "
           "\"1s\"}\n"
        << "limits: {open_plays: 1000000, server_connections: 512, all_connections: 16000}\n"
        << (options.set_rate > 0 ? "management: {listen: \"127.0.0.1:0\", plaintext: true, store: \"" +
                                       options.folder + "/store\"}\n"
                                 : "")
        << "log: {where: \"" << options.folder << "/log.jsonl\", level: \"warning\"}\n";
  std::ofstream list(options.folder + "/list.cue");
  list << "version: 1\nservers: [\n";
  for (int s = 0; s < options.servers; ++s)
    list << "  {id: \"s" << s << "\", address: \"127.0.0.1:" << servers.port(s)
         << "\", kind: \"k\", cell: " << s % 10 << "},\n";
  list << "]\n";
  std::ofstream catalogue(options.folder + "/catalogue.cue");
  catalogue << "version: 1\ntitles: {\n";
  for (int t = 0; t < 200; ++t) catalogue << "  t" << t << ": {cell: " << t % 10 << ", cells: 3}\n";
  catalogue << "}\n";
}

} // namespace

std::vector<LoadFigures> measure_load(const LoadOptions &options) {
  MinimalServers servers(options.servers, options.keep ? 1e9 : options.hold);
  // Files of an earlier measurement are deleted.
  fs::remove(options.folder + "/ports.json");
  fs::remove_all(options.folder + "/store");
  write_records(options, servers);
  ChildProcess front;
  front.pid = fork();
  if (front.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    close_range(3, ~0U, 0);
    std::string record = options.folder + "/front.cue";
    std::vector<char *> arguments;
    for (const std::string &word : options.command) arguments.push_back(const_cast<char *>(word.c_str()));
    arguments.push_back(record.data());
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
  }

  asio::io_context io(1);
  http::ClientLimits limits;
  limits.connections_per_server = limits.total_connections = 100000;
  limits.connect_time = 5;
  http::Client client(io, limits);
  auto run_for = [&](double seconds) {
    io.restart();
    io.run_for(to_timer_duration(seconds));
  };
  nlohmann::json ports;
  for (auto from = Clock::now(); !ports.is_object(); run_for(0.02)) {
    std::ifstream in(options.folder + "/ports.json");
    if (in) ports = nlohmann::json::parse(in, nullptr, false);
    if (seconds_since(from) > 10) throw std::runtime_error("the front end did not become ready within 10 s");
  }
  http::Endpoint players = http::loopback(ports["players"].get<unsigned short>());
  http::Endpoint operators = http::loopback(ports["operators"].get<unsigned short>());
  auto read_metrics = [&] {
    std::string text;
    bool done = false;
    http::Request request;
    request.target = "/metrics";
    client.send(operators, request, 20,
                [&](const http::Result &result) { text = result.response.body, done = true; });
    while (!done) run_for(0.005);
    return parse_metrics(text);
  };
  run_for(0.5);

  std::vector<LoadFigures> results;
  double hold = options.keep ? 1e9 : options.hold;
  std::minstd_rand random(static_cast<std::uint32_t>(options.seed));
  boost::random::exponential_distribution<> interarrival_time(options.rate);
  boost::random::uniform_int_distribution<> title(0, 199);
  for (int round = 0; round < options.rounds; ++round) {
    LoadFigures figures;
    servers.set_hold(hold);
    std::vector<double> answers;
    figures.memory_before = front.resident_memory();
    Metrics before = read_metrics();
    double cpu_before = front.cpu_seconds();
    std::uint64_t waiting = 0;
    bool asking = true;
    asio::steady_timer timer(io);
    auto begin = Clock::now(), next = begin;
    // The load is an open loop: each request is sent when it is due, independently of the answers. Latency
    // counts from the time at which it was due.
    std::function<void()> send_due_requests = [&] {
      while (asking && next <= Clock::now()) {
        auto due = next;
        next += to_timer_duration(interarrival_time(random));
        http::Request request;
        request.target = "/play/t" + std::to_string(title(random)) + "?CMCD=sid%3D%22v" +
                         std::to_string(figures.asked) + "%22";
        ++figures.asked;
        ++waiting;
        client.send(players, request, 10, [&, due](const http::Result &result) {
          --waiting;
          answers.push_back(std::max(0.0, seconds_since(due)));
          bool answered = result.end_reason == http::EndReason::answered;
          ++(answered && result.response.status == 307   ? figures.plays
             : answered && result.response.status == 503 ? figures.declined
                                                         : figures.failed);
        });
        if (seconds_since(begin) > options.seconds) asking = false;
      }
      timer.expires_at(next);
      timer.async_wait([&](asio::error_code error) {
        if (!error && asking) send_due_requests();
      });
    };
    std::atomic<bool> keep_setting{options.set_rate > 0 && round % 2 == 1};
    std::vector<double> set_times;
    std::thread set_thread;
    if (keep_setting)
      set_thread = std::thread([&] {
        set_times = set_at_rate("127.0.0.1:" + std::to_string(ports["management"].get<int>()),
                                options.set_rate, keep_setting);
      });
    send_due_requests();
    while (asking) run_for(0.02);
    keep_setting = false;
    if (set_thread.joinable()) set_thread.join();
    figures.sets = set_times.size();
    figures.set_p50 = quantile(set_times, 0.5);
    figures.set_p99 = quantile(set_times, 0.99);
    Metrics after = read_metrics();
    double cpu = front.cpu_seconds() - cpu_before;
    for (auto from = Clock::now(); waiting > 0 && seconds_since(from) < 10;) run_for(0.02);
    figures.held = after.open;
    figures.memory_loaded = front.resident_memory();
    figures.answer_p50 = quantile(answers, 0.5);
    figures.answer_p99 = quantile(answers, 0.99);
    figures.added_p50 = histogram_quantile(before, after, 0.5);
    figures.added_p99 = histogram_quantile(before, after, 0.99);
    figures.cpu_per_play = cpu / std::max<double>(1, static_cast<double>(figures.asked));
    figures.module_share = cpu > 0 ? (after.decision_sum - before.decision_sum) / cpu : 0;
    servers.set_hold(0);
    for (auto from = Clock::now(); seconds_since(from) < 60;) {
      run_for(0.2);
      if (read_metrics().open == 0) break;
    }
    figures.memory_after = front.resident_memory();
    results.push_back(figures);
  }
  kill(front.pid, SIGTERM);
  for (auto from = Clock::now(); seconds_since(from) < 5 && front.pid > 0; run_for(0.02)) {
    if (waitpid(front.pid, nullptr, WNOHANG) == front.pid) front.pid = 0;
  }
  return results;
}

} // namespace snowshore::lab
