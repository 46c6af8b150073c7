// A front on the platform in this process, between raw viewers, scripted servers and a channel, on real
// sockets.
#pragma once
#include "feed/written_frames.h"
#include "http/loop.h"
#include "platform/front.h"

#include <nlohmann/json.hpp>

namespace snowshore::testing {

struct StandIn { // one server: answers set-ups by a script
  struct Asked {
    RawServer::Connection *link;
    std::string session, title;
    int rung;
    bool operator==(const Asked &) const = default;
  };
  RawServer server;
  std::vector<Asked> asked;
  std::vector<std::string> torn, rungs; // sessions
  std::vector<std::string> tiers;       // of set-ups
  std::string how = "play";             // or what the case says
  std::map<RawServer::Connection *, rtsp::MessageReader> readers;
  explicit StandIn(asio::io_context &io) : server(io) {
    server.on_data = [this](RawServer::Connection &link) {
      std::string heard = std::exchange(link.received, {});
      readers[&link].feed(heard, [&](const rtsp::Message &message) { on(link, message); });
    };
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
    message.method = method, message.uri = "rtsp://media/s";
    message.add_header("CSeq", "9");
    message.add_header("Session", session);
    for (auto &[name, value] : headers) message.add_header(name, value);
    return rtsp::write_message(message);
  }
  void on(RawServer::Connection &link, const rtsp::Message &message) {
    std::string session(message.find_header("Session").value_or(""));
    if (message.method == "SETUP") {
      asked.push_back({&link, session, message.uri.substr(13),
                       std::stoi(std::string(message.find_header("P-Level").value_or("-1")))});
      tiers.emplace_back(message.find_header("X-Tier").value_or(""));
      act(link, session);
    } else if (message.method == "TEARDOWN" && how == "deaf") { // its connection goes as it comes, once
      how = "play";
      link.socket.set_option(asio::socket_base::linger(true, 0));
      link.socket.close();
    } else if (message.method == "TEARDOWN") {
      torn.push_back(session);
      if (how == "cross") RawServer::send(link, answer(session, 200, "late"));
    } else if (message.method == "SET_PARAMETER") {
      rungs.push_back(session);
    } else if (message.method == "OPTIONS") {
      rtsp::Message back;
      back.status = 200;
      back.add_header("CSeq", "3"), back.add_header("Session", session),
          back.add_header("X-Gauges", "cpu:0.2;x1:0.2");
      RawServer::send(link, rtsp::write_message(back));
    }
  }
  void act(RawServer::Connection &link, const std::string &session) {
    auto say = [&](const std::string &text) { RawServer::send(link, text); };
    if (how == "play") say(answer(session, 200, "of " + session));
    if (how == "full") say(answer(session, 453));
    if (how == "error") say(answer(session, 500));
    if (how == "moot") say(answer(session, 454));
    if (how == "broken") say(answer(session, 504));
    if (how == "release") say(request(session, "TEARDOWN", {{"Reason", "cause=41"}}));
    if (how == "noise") say("\x01noise\r\n\r\n");
    if (how == "short") say(answer(session, 200, "of " + session).substr(0, 70));
    if (how == "close") link.socket.close();
    if (how == "twice")
      say(answer("00000000000000ee", 200, "x") + answer(session, 200, "of " + session) +
          answer(session, 200, "again"));
  }
};

struct PlatformScene {
  asio::io_context io;
  telemetry::Log log{"/dev/null"};
  std::vector<std::unique_ptr<StandIn>> servers;
  RawServer channel{io};
  std::unique_ptr<platform::PlatformFront> front;
  std::vector<std::unique_ptr<RawClient>> viewers;
  nlohmann::json config;
  unsigned tags = 0;

  // adapt: the configuration is changed by it before the front end starts.
  explicit PlatformScene(int count = 2, const char *effect = "safe",
                         const std::function<void(nlohmann::json &)> &adapt = {}) {
    for (int s = 0; s < count; ++s) servers.push_back(std::make_unique<StandIn>(io));
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
      targets.push_back({{"uid", feed::server_name(static_cast<std::uint32_t>(s + 1))},
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
    run(0.25); // past the warm-up
  }
  static WrittenServer written(std::uint32_t id, const StandIn &at, unsigned state,
                               std::uint64_t started = 0) {
    return {id, at.server.acceptor.local_endpoint().port(), state, 0, 0, 0, started};
  }
  void tell(const std::string &frame) { RawServer::send(*channel.connections[0], frame); }
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
  RawClient &viewer() {
    viewers.push_back(std::make_unique<RawClient>(io, front->viewers().local_endpoint()));
    return *viewers.back();
  }
  std::string next_tag() { return jsonlines::format_hex16(0xabc00000 + ++tags); }
  static std::string start(const std::string &tag, const std::string &more = "",
                           const std::string &key = "7f3a9c21e0b4d655", const std::string &left = "1200") {
    return R"({"verb":"START","tag":")" + tag + R"(","opts":{"class":"clip","left":")" + left +
           R"(","key":")" + key + R"(","extras":"home:0;copies:1;top:3;viewer:00000000b4d65521)" + more +
           R"("},"blob":"c=x\r\n"})" + "\n";
  }
  static std::string finish(const std::string &tag) {
    return R"({"verb":"FINISH","tag":")" + tag + R"(","opts":{},"rc":16})" + "\n";
  }
  static bool said(const RawClient &peer, const std::string &verb, const std::string &tag) {
    return peer.received.find(R"({"verb":")" + verb + R"(","tag":")" + tag + "\"") != std::string::npos;
  }
  std::size_t set_ups() const {
    std::size_t n = 0;
    for (const auto &server : servers) n += server->asked.size();
    return n;
  }
  StandIn &asked() {
    for (auto &server : servers) {
      if (!server->asked.empty()) return *server;
    }
    throw std::runtime_error("no server was asked");
  }
  std::size_t open() { return front->core().plays().open_count(); }
  // One play that stands: its server and session.
  std::pair<StandIn *, std::string> standing(RawClient &peer) {
    std::string tag = next_tag();
    peer.send(start(tag));
    if (!until([&] { return said(peer, "STARTED", tag); })) throw std::runtime_error("it does not play");
    for (auto &server : servers) {
      if (!server->asked.empty() && server->asked.back().session == tag) return {server.get(), tag};
    }
    throw std::runtime_error("no server was asked");
  }
};

} // namespace snowshore::testing
