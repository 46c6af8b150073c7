// A front end in the test's process, between raw players and scripted media servers, all on real sockets.
#pragma once
#include "edge/edge.h"
#include "hints/hints.h"
#include "http/socket_helpers.h"

#include <thread>

namespace snowshore::testing {

// A list source whose events the test sends itself.
struct ManualListSource final : edge::ListSource {
  Events events;
  int list_requests = 0;
  void start(Events list_events) override { events = std::move(list_events); }
  void request_list() override { ++list_requests; }
};

// A media server whose fields set how it answers, and which keeps the requests that it got.
struct FakeServer {
  struct SetUpCall {
    serverwire::SetUpRequest set_up;
    std::shared_ptr<http::Exchange> exchange;
  };
  std::vector<SetUpCall> set_up_calls;
  std::vector<std::string> ended_plays, rung_changes;
  std::vector<std::shared_ptr<http::Exchange>> report_streams;
  // Sent in the hello of a report stream.
  std::vector<std::string> held_plays;
  double started_at = 100;
  // is_silent: no request is answered.
  bool is_silent = false, answers_set_ups = true, serves_reports = true;
  int probes = 0;
  std::unique_ptr<http::Server> server;
  http::Endpoint endpoint;

  explicit FakeServer(asio::io_context &io, http::Endpoint listen_at = loopback()) {
    server = std::make_unique<http::Server>(
        io, listen_at, http::ServerLimits{},
        [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
          handle(request, exchange);
        });
    endpoint = server->local_endpoint();
  }
  static http::Response make_response(int status, double link = 0.2) {
    hints::CmsdLoad load;
    load.link_demand = link;
    load.uplink_demand = link;
    http::Response response;
    response.status = status;
    response.headers.add("CMSD-Dynamic", hints::write_cmsd("s", load));
    return response;
  }
  void handle(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
    auto play = serverwire::parse_play_path(request.path);
    if (request.method == "POST") {
      set_up_calls.push_back({serverwire::parse_set_up(request), exchange});
      if (!answers_set_ups || is_silent) return;
      held_plays.push_back(*play);
      exchange->respond(make_response(201));
    } else if (request.method == "DELETE") {
      ended_plays.push_back(*play);
      if (!is_silent) exchange->respond(make_response(204));
    } else if (request.method == "PUT") {
      rung_changes.push_back(*play + " " + std::to_string(serverwire::integer_parameter(request, "rung")));
      exchange->respond(make_response(204));
    } else if (request.path == "/load") {
      ++probes;
      if (!is_silent) exchange->respond(make_response(200));
    } else if (serves_reports && !is_silent) {
      exchange->open_stream({});
      serverwire::Report hello;
      hello.kind = serverwire::Report::Kind::hello;
      hello.started_at = started_at;
      hello.plays = held_plays;
      exchange->write(serverwire::write_report(hello));
      report_streams.push_back(exchange);
    }
  }
  void send_report(const serverwire::Report &report) {
    report_streams.back()->write(serverwire::write_report(report));
  }
  void send_end(const std::string &play, const char *reason) {
    std::erase(held_plays, play);
    serverwire::Report report;
    report.kind = serverwire::Report::Kind::end;
    report.play = play;
    report.reason = reason;
    send_report(report);
  }
};

// The record of the front end under test, to which a test may add.
inline const char *kConfig = R"(
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
  ManualListSource *list;
  std::unique_ptr<edge::Edge> edge;
  std::vector<std::unique_ptr<FakeServer>> servers;
  std::vector<std::unique_ptr<RawClient>> players;
  std::uint64_t version = 0;

  explicit EdgeScene(int count = 2, const std::string &extra = "") {
    records::Source files[] = {{"front.cue", kConfig}, {"more.cue", extra}};
    auto source = std::make_unique<ManualListSource>();
    list = source.get();
    edge = std::make_unique<edge::Edge>(io, config::parse_front_config(files), log, std::move(source));
    for (int s = 0; s < count; ++s) servers.push_back(std::make_unique<FakeServer>(io));
    edge::Catalogue catalogue;
    for (const char *title : {"a", "b", "a\r\nSet-Cookie: x=1"}) catalogue[title] = {0, 2};
    list->events.catalogue(catalogue);
    publish_list();
    // Past the warm-up: a front end that starts without handed-over plays counts all servers as cold.
    run_for(0.25);
  }
  ~EdgeScene() { edge.reset(); }

  edge::ListedServer list_entry(int s) const {
    edge::ListedServer server;
    server.id = "s" + std::to_string(s);
    server.kind = "k";
    server.address = servers[static_cast<std::size_t>(s)]->endpoint;
    server.cell = s % 2;
    return server;
  }
  void publish_list(std::vector<ServerStatus> statuses = {}) {
    edge::ServerList server_list;
    server_list.version = ++version;
    for (int s = 0; s < static_cast<int>(servers.size()); ++s) {
      server_list.servers.push_back(list_entry(s));
      if (static_cast<std::size_t>(s) < statuses.size())
        server_list.servers.back().status = statuses[static_cast<std::size_t>(s)];
    }
    edge->clock().invalidate();
    list->events.list(server_list);
  }
  // Runs the front end until the condition holds or the time is over; returns whether it holds.
  bool run_until_met(const std::function<bool()> &condition, double seconds = 4) {
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (!condition() && std::chrono::steady_clock::now() < end) {
      io.restart();
      edge->clock().invalidate();
      io.run_one_for(std::chrono::milliseconds(2));
    }
    return condition();
  }
  void run_for(double seconds) {
    run_until_met([] { return false; }, seconds);
  }
  RawClient &request_play(const std::string &target = "/play/a", const std::string &extra = "") {
    players.push_back(std::make_unique<RawClient>(io, edge->player_endpoint()));
    players.back()->send("GET " + target + " HTTP/1.1\r\nHost: f\r\n" + extra + "\r\n");
    return *players.back();
  }
  static int status(const RawClient &peer) {
    return peer.received.size() > 12 ? std::stoi(peer.received.substr(9, 3)) : 0;
  }
  // The sum of all metrics whose names begin like this.
  double metric(const std::string &name) {
    std::string text = edge->metrics_text();
    double sum = 0;
    for (std::size_t at = 0; (at = text.find("\n" + name, at)) != std::string::npos; ++at) {
      std::size_t end = text.find('\n', at + 1), space = text.rfind(' ', end);
      sum += std::stod(text.substr(space + 1, end - space - 1));
    }
    return sum;
  }
  double open_plays() { return metric("snowshore_plays_open"); }
  // The first server that got at least this many set-ups.
  FakeServer &server_with_set_ups(std::size_t times = 1) {
    for (auto &server : servers) {
      if (server->set_up_calls.size() >= times) return *server;
    }
    throw std::runtime_error("no server got a set-up");
  }
  std::size_t set_up_count() const {
    std::size_t count = 0;
    for (auto &server : servers) count += server->set_up_calls.size();
    return count;
  }
};

} // namespace snowshore::testing
