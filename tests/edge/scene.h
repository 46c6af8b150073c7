// A front in this process between raw players and scripted servers, all on real sockets.
#pragma once
#include "edge/edge.h"
#include "hints/hints.h"
#include "http/loop.h"

#include <thread>

namespace snowshore::testing {

struct HandList final : edge::ListSource { // the list as the test gives it
  Events events;
  int asked = 0;
  void start(Events e) override { events = std::move(e); }
  void request_list() override { ++asked; }
};

struct FakeServer {
  struct Asked {
    serverwire::SetUpRequest set_up;
    std::shared_ptr<http::Exchange> exchange;
  };
  std::vector<Asked> asked;
  std::vector<std::string> ended, rungs;
  std::vector<std::shared_ptr<http::Exchange>> streams;
  std::vector<std::string> holds; // said in a hello
  double started = 100;
  bool mute = false, answers = true, follows = true;
  int probes = 0;
  std::unique_ptr<http::Server> server;
  http::Endpoint at;

  explicit FakeServer(asio::io_context &io, http::Endpoint where = loopback()) {
    server = std::make_unique<http::Server>(
        io, where, http::ServerLimits{},
        [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
          on(request, exchange);
        });
    at = server->local_endpoint();
  }
  static http::Response says(int status, double link = 0.2) {
    hints::CmsdLoad load;
    load.link_demand = link, load.uplink_demand = link;
    http::Response response;
    response.status = status;
    response.headers.add("CMSD-Dynamic", hints::write_cmsd("s", load));
    return response;
  }
  void on(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
    auto play = serverwire::parse_play_path(request.path);
    if (request.method == "POST") {
      asked.push_back({serverwire::parse_set_up(request), exchange});
      if (!answers || mute) return;
      holds.push_back(*play);
      exchange->respond(says(201));
    } else if (request.method == "DELETE") {
      ended.push_back(*play);
      if (!mute) exchange->respond(says(204));
    } else if (request.method == "PUT") {
      rungs.push_back(*play + " " + std::to_string(serverwire::integer_parameter(request, "rung")));
      exchange->respond(says(204));
    } else if (request.path == "/load") {
      ++probes;
      if (!mute) exchange->respond(says(200));
    } else if (follows && !mute) {
      exchange->open_stream({});
      serverwire::Report hello;
      hello.kind = serverwire::Report::Kind::hello, hello.started_at = started, hello.plays = holds;
      exchange->write(serverwire::write_report(hello));
      streams.push_back(exchange);
    }
  }
  void tell(const serverwire::Report &report) { streams.back()->write(serverwire::write_report(report)); }
  void tell_end(const std::string &play, const char *reason) {
    std::erase(holds, play);
    serverwire::Report report;
    report.kind = serverwire::Report::Kind::end, report.play = play, report.reason = reason;
    tell(report);
  }
};

inline const char *kRecord = R"(
name: "f0"
listen: {players: "127.0.0.1:0", operators: "127.0.0.1:0"}
list: {file: "l", catalogue: "c"}
seed: 7
fleet: {cells: 2, kinds: [{name: "k", places: 40}], link_per_weight: "4MB/s"}
products: [
  {name: "clip", first_frame_target: "800ms", time_limit: "1500ms", top: 3},
  {name: "paid", first_frame_target: "800ms", time_limit: "1500ms", top: 3, set_up: "unsafe"},
  {name: "live", first_frame_target: "800ms", time_limit: "1500ms", top: 3, seats: 1, floor: 1},
]
rungs: [{rate: "100kB/s", importance: 0.2}, {rate: "200kB/s", importance: 0.5},
  {rate: "400kB/s", importance: 0.8}, {rate: "800kB/s", importance: 1}]
load: may_probe: false
rules: {warm_up: "200ms", cold_share: 1, fall_multiple: 20, fall_span: "1s"}
limits: {report_silence: "300ms", lost_after: "600ms", late_time: "2s"}
)";

struct EdgeScene {
  asio::io_context io;
  telemetry::Log log{"/dev/null"};
  HandList *list;
  std::unique_ptr<edge::Edge> edge;
  std::vector<std::unique_ptr<FakeServer>> servers;
  std::vector<std::unique_ptr<RawClient>> players;
  std::uint64_t version = 0;

  explicit EdgeScene(int count = 2, const std::string &more = "") {
    records::Source files[] = {{"front.cue", kRecord}, {"more.cue", more}};
    auto source = std::make_unique<HandList>();
    list = source.get();
    edge = std::make_unique<edge::Edge>(io, site::parse_front_config(files), log, std::move(source));
    for (int s = 0; s < count; ++s) servers.push_back(std::make_unique<FakeServer>(io));
    edge::Catalogue catalogue;
    for (const char *title : {"a", "b", "a\r\nSet-Cookie: x=1"}) catalogue[title] = {0, 2};
    list->events.catalogue(catalogue);
    publish();
    run_for(0.25); // past the warm-up: without plays handed over, a front holds servers to be cold
  }
  ~EdgeScene() { edge.reset(); }

  edge::ListedServer entry(int s) const {
    edge::ListedServer one;
    one.id = "s" + std::to_string(s), one.kind = "k", one.address = servers[static_cast<std::size_t>(s)]->at;
    one.cell = s % 2;
    return one;
  }
  void publish(std::vector<ServerStatus> standings = {}) {
    edge::ServerList out;
    out.version = ++version;
    for (int s = 0; s < static_cast<int>(servers.size()); ++s) {
      out.servers.push_back(entry(s));
      if (static_cast<std::size_t>(s) < standings.size())
        out.servers.back().status = standings[static_cast<std::size_t>(s)];
    }
    edge->clock().invalidate();
    list->events.list(out);
  }
  bool until(const std::function<bool()> &holds, double seconds = 4) {
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (!holds() && std::chrono::steady_clock::now() < end) {
      io.restart();
      edge->clock().invalidate();
      io.run_one_for(std::chrono::milliseconds(2));
    }
    return holds();
  }
  void run_for(double seconds) {
    until([] { return false; }, seconds);
  }
  RawClient &ask(const std::string &target = "/play/a", const std::string &more = "") {
    players.push_back(std::make_unique<RawClient>(io, edge->players()));
    players.back()->send("GET " + target + " HTTP/1.1\r\nHost: f\r\n" + more + "\r\n");
    return *players.back();
  }
  static int status(const RawClient &peer) {
    return peer.received.size() > 12 ? std::stoi(peer.received.substr(9, 3)) : 0;
  }
  double metric(const std::string &name) {
    std::string text = edge->metrics_text();
    double sum = 0;
    for (std::size_t at = 0; (at = text.find("\n" + name, at)) != std::string::npos; ++at) {
      std::size_t end = text.find('\n', at + 1), space = text.rfind(' ', end);
      sum += std::stod(text.substr(space + 1, end - space - 1));
    }
    return sum;
  }
  double open() { return metric("snowshore_plays_open"); }
  FakeServer &server_asked(std::size_t times = 1) { // the one that was asked last so far
    for (auto &server : servers) {
      if (server->asked.size() >= times) return *server;
    }
    throw std::runtime_error("no server was asked");
  }
  std::size_t set_ups() const {
    std::size_t n = 0;
    for (auto &server : servers) n += server->asked.size();
    return n;
  }
};

} // namespace snowshore::testing
