// A front end on the platform in the test's process, with viewers, scripted media servers and a command
// channel on real sockets.
#pragma once
#include "discovery/frame_encoding.h"
#include "http/socket_helpers.h"
#include "platform/front.h"

#include <nlohmann/json.hpp>

namespace snowshore::testing {

// A media server whose behavior the test sets. It answers probes and records what it receives.
struct ScriptedServer {
  struct SetUp {
    RawServer::Connection *connection;
    std::string session, title;
    int rung;
    bool operator==(const SetUp &) const = default;
  };
  RawServer server;
  std::vector<SetUp> set_ups;
  // Sessions of received releases and rung changes.
  std::vector<std::string> released, rung_changes;
  // Sessions whose release by the server the front end has confirmed.
  std::vector<std::string> confirmed;
  // The X-Tier header of each set-up.
  std::vector<std::string> tiers;
  // How the server answers set-ups and releases, see on_set_up() and on_message(); any other word, such as
  // "silent", means no answer. "cross": a set-up is answered when its release arrives.
  std::string behavior = "play";
  std::map<RawServer::Connection *, rtsp::MessageReader> readers;
  explicit ScriptedServer(asio::io_context &io) : server(io) {
    server.on_data = [this](RawServer::Connection &connection) {
      std::string data = std::exchange(connection.received, {});
      auto handle = [&](const rtsp::Message &message) { on_message(connection, message); };
      readers[&connection].feed(data, handle);
      readers[&connection].deliver_last(handle);
    };
  }
  // An open connection of the front end, or null.
  RawServer::Connection *find_open() const {
    for (const auto &connection : server.connections) {
      if (!connection->closed) return connection.get();
    }
    return nullptr;
  }
  static std::string answer(const std::string &session, int status, const std::string &body = "") {
    rtsp::Message message;
    message.status = status;
    message.add_header("CSeq", "1");
    message.add_header("Session", session);
    message.body = body;
    return rtsp::write_message(message);
  }
  static std::string request(const std::string &session, const char *method,
                             std::vector<std::pair<std::string, std::string>> headers) {
    rtsp::Message message;
    message.method = method;
    message.uri = "rtsp://media/s";
    message.add_header("CSeq", "9");
    message.add_header("Session", session);
    for (auto &[name, value] : headers) message.add_header(name, value);
    return rtsp::write_message(message);
  }
  void on_message(RawServer::Connection &connection, const rtsp::Message &message) {
    std::string session(message.find_header("Session").value_or(""));
    if (message.method == "SETUP") {
      set_ups.push_back({&connection, session, message.uri.substr(13),
                         std::stoi(std::string(message.find_header("P-Level").value_or("-1")))});
      tiers.emplace_back(message.find_header("X-Tier").value_or(""));
      on_set_up(connection, session);
    } else if (message.method == "TEARDOWN" && behavior == "deaf") {
      // Resets the connection instead of reading the release, once.
      behavior = "play";
      connection.socket.set_option(asio::socket_base::linger(true, 0));
      connection.socket.close();
    } else if (message.method == "TEARDOWN") {
      released.push_back(session);
      if (behavior == "cross") RawServer::send(connection, answer(session, 200, "late"));
    } else if (message.method == "SET_PARAMETER") {
      rung_changes.push_back(session);
    } else if (message.status == 200 && message.find_header("CSeq") == "9") {
      confirmed.push_back(session);
    } else if (message.method == "OPTIONS") {
      rtsp::Message answer_message;
      answer_message.status = 200;
      answer_message.add_header("CSeq", "3");
      answer_message.add_header("Session", session);
      answer_message.add_header("X-Gauges", "cpu:0.2;x1:0.2");
      RawServer::send(connection, rtsp::write_message(answer_message));
    }
  }
  void on_set_up(RawServer::Connection &connection, const std::string &session) {
    auto send = [&](const std::string &text) { RawServer::send(connection, text); };
    if (behavior == "play") send(answer(session, 200, "of " + session));
    if (behavior == "full") send(answer(session, 453));
    if (behavior == "error") send(answer(session, 500));
    if (behavior == "moot") send(answer(session, 454));
    if (behavior == "broken") send(answer(session, 504));
    if (behavior == "release") send(request(session, "TEARDOWN", {{"Reason", "cause=41"}}));
    if (behavior == "noise") send("\x01noise\r\n\r\n");
    if (behavior == "noisy-description") send(answer(session, 200, "of \xe4\xff\x1f" + session));
    // Fits an RTSP message, but not a viewer's line, where each line end takes two bytes.
    if (behavior == "line-ends") send(answer(session, 200, "of " + session + std::string(9000, '\n')));
    if (behavior == "short") send(answer(session, 200, "of " + session).substr(0, 70));
    if (behavior == "close") connection.socket.close();
    if (behavior == "twice")
      send(answer("00000000000000ee", 200, "x") + answer(session, 200, "of " + session) +
           answer(session, 200, "again"));
  }
};

// Keeps handshakes with the server unfinished: its system drops them while the queue for accept() is full.
struct FullBacklog {
  RawServer &server;
  std::vector<asio::ip::tcp::socket> fillers;
  FullBacklog(asio::io_context &io, RawServer &stalled) : server(stalled) {
    server.acceptor.cancel();
    ::listen(server.acceptor.native_handle(), 0);
    for (int i = 0; i < 4; ++i) {
      fillers.emplace_back(io);
      fillers.back().async_connect(server.acceptor.local_endpoint(), [](asio::error_code) {});
    }
    run_for(io, 0.05);
  }
  void release() {
    fillers.clear();
    ::listen(server.acceptor.native_handle(), 16);
    server.accept();
  }
};

// The front end under test with its surroundings. Members run the event loop on the calling thread.
struct PlatformScene {
  asio::io_context io;
  telemetry::Log log{"/dev/null"};
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  RawServer channel{io};
  std::unique_ptr<platform::PlatformFront> front;
  std::vector<std::unique_ptr<RawClient>> viewers;
  nlohmann::json config;
  unsigned tag_count = 0;

  // effect: the set-up mode of the only product. adapt: changes the configuration before the front end
  // starts.
  explicit PlatformScene(int count = 2, const char *effect = "safe",
                         const std::function<void(nlohmann::json &)> &adapt = {}) {
    for (int s = 0; s < count; ++s) servers.push_back(std::make_unique<ScriptedServer>(io));
    auto address = [](const RawServer &server) {
      return "127.0.0.1:" + std::to_string(server.acceptor.local_endpoint().port());
    };
    config = nlohmann::json::parse(R"({"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
      "limits":{"cores":1.0,"memory_mb":48,"sockets":256},
      "settings":{"group_size":1,"index":0,"areas":["hall-a"],"skus":["k"],"my_zone":"hall-a","discovery":"pushed","weights":"rough",
        "classes":[{"name":"clip","on_time":0.6,"deadline":1.2,"worth":1.0,"effect":"safe","stream":true}],
        "family_info":{"cells":1,"class_floor":[0],"class_top":[3],"class_seats":[0],"rate_factor":[1.0],"is_live":[false],
          "kind_slots":[40],"groups":1,"ladder_kb":[100,200,400,800],"worth_by_rung":[0.2,0.5,0.8,1.0],"seen_after":0.5,
          "reports_every":1.0,"link_unit_kb":4000,"rack_link_kb":0,"full_from":1.2},
        "limits":{"attempts_cap":3,"cancel":true,"probes":false,"retry_after":true,"max_retry_after":0.5,
          "connect_timeout":0.25,"idle_close":30,"multiplex":32},
        "report":{"how":"answers","names":["cpu","x1"]},
        "rules":{"answer_slack":0.04,"cold":0.2,"cold_from":1.0,"fall_multiple":20,"tip_after":1.0,"stop_sending_within":1.0}}})");
    config["settings"]["classes"][0]["effect"] = effect;
    config["channel"] = address(channel);
    nlohmann::json targets = nlohmann::json::array();
    for (int s = 0; s < count; ++s)
      targets.push_back({{"uid", discovery::format_server_id(static_cast<std::uint32_t>(s + 1))},
                         {"endpoint", address(servers[static_cast<std::size_t>(s)]->server)},
                         {"az", "hall-a"},
                         {"model", "k"},
                         {"pod_group", 0},
                         {"state", "active"},
                         {"capacity_hint", 1},
                         {"boot_ms", 0}});
    config["known"] = {
        {"cursor", 1},
        {"cmds", {{{"cursor", 1}, {"nodes", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}};
    if (adapt) adapt(config);
    front = std::make_unique<platform::PlatformFront>(io, platform::parse_node_config(config.dump()), log);
    // Until the warm-up is over.
    run(0.25);
  }
  // The record of a server at this address; state as on the channel: 0 active, 1 leaving, 2 left.
  static ServerRecord record_of(std::uint32_t id, const ScriptedServer &server, unsigned state,
                                std::uint64_t started_ms = 0) {
    return {id, server.server.acceptor.local_endpoint().port(), state, 0, 0, 0, started_ms};
  }
  void send_on_channel(const std::string &frame) { RawServer::send(*channel.connections[0], frame); }
  // Runs the event loop until the condition holds or the time is over. Returns whether it holds.
  bool until(const std::function<bool()> &holds, double seconds = 4) {
    auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (!holds() && std::chrono::steady_clock::now() < end) {
      io.restart();
      front->core().clock().invalidate();
      io.run_one_for(std::chrono::milliseconds(2));
    }
    return holds();
  }
  void run(double seconds) {
    until([] { return false; }, seconds);
  }
  RawClient &connect_viewer() {
    viewers.push_back(std::make_unique<RawClient>(io, front->viewers().local_endpoint()));
    return *viewers.back();
  }
  std::string next_tag() { return jsonlines::format_hex16(0xabc00000 + ++tag_count); }
  // A START line; more: further parts of extras.
  static std::string start_line(const std::string &tag, const std::string &more = "",
                                const std::string &key = "7f3a9c21e0b4d655",
                                const std::string &left = "1200") {
    return R"({"verb":"START","tag":")" + tag + R"(","opts":{"class":"clip","left":")" + left +
           R"(","key":")" + key + R"(","extras":"home:0;copies:1;top:3;viewer:00000000b4d65521)" + more +
           R"("},"blob":"c=x\r\n"})" + "\n";
  }
  static std::string finish_line(const std::string &tag) {
    return R"({"verb":"FINISH","tag":")" + tag + R"(","opts":{},"rc":16})" + "\n";
  }
  static bool has_received(const RawClient &peer, const std::string &verb, const std::string &tag) {
    return peer.received.find(R"({"verb":")" + verb + R"(","tag":")" + tag + "\"") != std::string::npos;
  }
  // Number of set-ups that servers have received.
  std::size_t set_up_count() const {
    std::size_t n = 0;
    for (const auto &server : servers) n += server->set_ups.size();
    return n;
  }
  // The first server that has received a set-up.
  ScriptedServer &server_with_set_up() {
    for (auto &server : servers) {
      if (!server->set_ups.empty()) return *server;
    }
    throw std::runtime_error("no server received a set-up");
  }
  std::size_t open_plays() { return front->core().plays().open_count(); }
  // Starts a play and waits until it runs. Returns its server and session.
  std::pair<ScriptedServer *, std::string> start_play(RawClient &peer) {
    std::string tag = next_tag();
    peer.send(start_line(tag));
    if (!until([&] { return has_received(peer, "STARTED", tag); }))
      throw std::runtime_error("the play does not start");
    for (auto &server : servers) {
      if (!server->set_ups.empty() && server->set_ups.back().session == tag) return {server.get(), tag};
    }
    throw std::runtime_error("no server received a set-up");
  }
};

} // namespace snowshore::testing
