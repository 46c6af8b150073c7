#include "soak/clients.h"
#include "soak/ids.h"
#include "soak/timer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace snowshore::soak {

namespace {

// The number of connections that requests share.
constexpr std::size_t kSharedConnections = 6;
// A request that was written up to this many seconds before its connection closed counts as having crossed
// the close and is sent once more.
constexpr double kCloseRaceWindow = 0.05;
// The share of requests that get a new connection.
constexpr double kNewConnectionShare = 0.15;
// Seconds after which a connection without requests and sessions may be closed.
constexpr double kUnusedConnectionTimeout = 4;
// The causes that mean a refusal, after which a client may ask again.
constexpr int kRefusedCauses[] = {34, 42, 102};
constexpr std::uint64_t kHealthCheckTag = 0xe0;
// For runs that break a rule on purpose: the share of lines that are ignored, and the seconds for which
// passed health checks are ignored.
constexpr double kWithheldShare = 0.1, kDelayedReady = 11;

} // namespace

Clients::Clients(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int front,
                 asio::ip::tcp::endpoint front_endpoint, std::uint64_t seed)
    : io_(io), scenario_(scenario), ledger_(ledger), front_(front), front_endpoint_(front_endpoint),
      rng_(seed) {}

void Clients::run_after(double seconds, std::function<void()> call) {
  soak::run_after(io_, seconds, std::move(call));
}

void Clients::start() {
  generating_ = true;
  schedule_request();
}

void Clients::schedule_request() {
  run_after(rng_.exponential(1 / (scenario_.traffic.request_rate * rate_factor_)), [this] {
    if (!generating_) return;
    issue_request(false);
    schedule_request();
  });
}

Clients::ConnectionRef Clients::random_open_connection() {
  std::vector<ConnectionRef> open;
  for (const ConnectionRef &connection : connections_) {
    if (!connection->idle && !connection->malformed && connection->stream->is_open())
      open.push_back(connection);
  }
  return open.empty()
             ? nullptr
             : open[static_cast<std::size_t>(rng_.uniform_int(0, static_cast<int>(open.size()) - 1))];
}

void Clients::issue_request(bool is_retry) {
  const Deployment &d = scenario_.deployment;
  Request request;
  request.service_class = rng_.uniform_int(0, static_cast<int>(d.classes.size()) - 1);
  const ServiceClass &service_class = d.classes[static_cast<std::size_t>(request.service_class)];
  request.time_left = service_class.deadline * (rng_.bernoulli(0.1) ? rng_.uniform(0.1, 1) : 1);
  // A title lies in one to three cells. The exponential rank makes few titles popular.
  std::uint64_t rank = static_cast<std::uint64_t>(rng_.exponential(d.cells * 1.5));
  request.title = 0x7f3a9c2100000000ULL + rank;
  request.home_cell = static_cast<int>(rank * 2654435761ULL % static_cast<std::uint64_t>(d.cells));
  request.copies = std::min(d.cells, 1 + static_cast<int>(rank % 3));
  request.top_rung = std::max(service_class.floor, rng_.uniform_int(1, 3));
  request.viewer = rng_.next_u64();
  request.is_retry = is_retry;
  std::uint64_t session = (static_cast<std::uint64_t>(front_) + 1) << 40 | next_request_++;
  bool enough_connections = connections_.size() >= kSharedConnections;
  ConnectionRef connection =
      enough_connections && !rng_.bernoulli(kNewConnectionShare) ? random_open_connection() : nullptr;
  if (!connection && !in_rotation_)
    // Out of rotation, the distributor sends no new clients, but connected ones go on.
    connection = random_open_connection();
  if (connection) {
    requests_[session] = request;
    return send_request(session, connection);
  }
  if (!in_rotation_) return;
  connect([this, session, request](ConnectionRef new_connection) {
    // The front end never got the request, so none is recorded.
    if (!new_connection) return;
    requests_[session] = request;
    send_request(session, new_connection);
  });
}

void Clients::connect(std::function<void(ConnectionRef)> then) {
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  socket->async_connect(front_endpoint_, [this, socket, then = std::move(then)](asio::error_code error) {
    if (error) return then(nullptr);
    auto connection = std::make_shared<Connection>();
    connection->stream = std::make_shared<FaultyStream>(std::move(*socket), faults_);
    connection->opened_at = now();
    connections_.insert(connection);
    FaultyStream::Events events;
    events.on_bytes = [this, connection](std::string_view bytes) {
      connection->received.append(bytes);
      for (std::size_t end; (end = connection->received.find('\n')) != std::string::npos;) {
        std::string line = connection->received.substr(0, end);
        connection->received.erase(0, end + 1);
        on_line(connection, line);
      }
    };
    events.on_closed = [this, connection] { on_closed(connection); };
    connection->stream->start(std::move(events));
    then(connection);
  });
}

std::string Clients::start_line(std::uint64_t session, const Request &request, const std::string &at) const {
  nlohmann::ordered_json line;
  std::string extras = "home:" + std::to_string(request.home_cell) +
                       ";copies:" + std::to_string(request.copies) +
                       ";top:" + std::to_string(request.top_rung) + ";viewer:" + hex16(request.viewer);
  if (request.is_retry) extras += ";again:1";
  if (!at.empty()) extras += ";at:" + at;
  line["verb"] = "START";
  line["tag"] = hex16(session);
  line["opts"] = {
      {"class", scenario_.deployment.classes[static_cast<std::size_t>(request.service_class)].name},
      {"left", std::to_string(static_cast<long>(request.time_left * 1000))},
      {"key", hex16(request.title)},
      {"extras", extras}};
  line["blob"] = "c=" + hex16(session) + "\r\n";
  return line.dump() + "\n";
}

void Clients::send_request(std::uint64_t session, const ConnectionRef &connection) {
  Request &request = requests_[session];
  if (!request.resent) {
    ledger_.request_issued(session, front_, request.service_class, request.title, request.time_left,
                           request.top_rung);
    if (rng_.bernoulli(scenario_.traffic.early_leave_share)) {
      double after = rng_.bernoulli(0.3) ? rng_.uniform(0, 0.01)
                                         : rng_.exponential(scenario_.traffic.mean_set_up_time * 1.5);
      if (breaks_on_purpose(scenario_, Rule::gone)) after = 0;
      run_after(after, [this, session, connection] { give_up(session, connection); });
    }
  }
  connection->unanswered[session] = now();
  connection->stream->send(start_line(session, request, ""), [this, session, connection] {
    ledger_.request_written(session);
    if (auto it = connection->unanswered.find(session); it != connection->unanswered.end())
      it->second = now();
  });
}

void Clients::give_up(std::uint64_t session, const ConnectionRef &connection) {
  if (!connection->stream->is_open() || !connection->unanswered.contains(session)) return;
  bool closes = connection->unanswered.size() == 1 && connection->sessions.empty();
  ledger_.client_gave_up(session, closes ? "closes" : "says so");
  // Breaks the rule on purpose: the front end is not told that the client gave up.
  if (breaks_on_purpose(scenario_, Rule::gone)) return;
  if (closes) {
    connection->stream->close();
    connections_.erase(connection);
  } else {
    connection->stream->send(R"({"verb":"FINISH","tag":")" + hex16(session) + R"(","opts":{},"rc":16})" +
                             "\n");
  }
  connection->unanswered.erase(session);
  requests_.erase(session);
}

void Clients::on_line(const ConnectionRef &connection, std::string_view text) {
  auto line = nlohmann::json::parse(text, nullptr, false);
  if (line.is_discarded() || !line.is_object()) {
    if (!connection->malformed)
      ledger_.connection_lost_while_waiting(
          connection->unanswered.empty() ? 0 : connection->unanswered.begin()->first);
    return;
  }
  std::string verb = line.value("verb", "");
  std::uint64_t session = std::strtoull(line.value("tag", "0").c_str(), nullptr, 16);
  int cause = line.contains("rc") && line["rc"].is_number() ? line["rc"].get<int>() : 0;
  if (verb == "ECHOED") {
    if (breaks_on_purpose(scenario_, Rule::ready) && now() - health_check_since_ < kDelayedReady) return;
    if (cause == 1 && on_health_check_passed_) std::exchange(on_health_check_passed_, nullptr)();
    return;
  }
  bool is_final = verb == "STARTED" || verb == "FINISH";
  bool is_answer = is_final && connection->unanswered.contains(session);
  if (breaks_on_purpose(scenario_, Rule::lost) && is_answer && rng_.bernoulli(kWithheldShare)) return;
  if (breaks_on_purpose(scenario_, Rule::release) && verb == "FINISH" && !is_answer &&
      rng_.bernoulli(kWithheldShare))
    return;
  if (connection->malformed || verb == "FINISHED" || verb == "PENDING" || verb == "RATE" || verb == "NOTICE")
    return;
  if (verb == "STARTED") {
    bool was_unanswered = connection->unanswered.erase(session) > 0;
    ledger_.answer_received(session, Answer::active, line.value("blob", ""), 0);
    // The client has given up; its FINISH ends the session.
    if (!was_unanswered || !requests_.contains(session)) return;
    active_.insert(session);
    connection->sessions.insert(session);
    if (rng_.bernoulli(scenario_.traffic.client_release_share))
      run_after(rng_.exponential(scenario_.traffic.mean_session_length / 2),
                [this, session] { end_session(session); });
    return;
  }
  double wait = 0;
  if (line.contains("opts") && line["opts"].is_object() && line["opts"].contains("wait")) {
    const auto &value = line["opts"]["wait"];
    wait = value.is_number()   ? value.get<double>() / 1e3
           : value.is_string() ? std::atof(value.get<std::string>().c_str()) / 1e3
                               : 0;
  }
  if (verb == "FINISH" || verb == "MOVE") on_final(connection, session, verb == "MOVE" ? 31 : cause, wait);
}

void Clients::on_final(const ConnectionRef &connection, std::uint64_t session, int cause, double wait) {
  if (connection->unanswered.erase(session) > 0) {
    bool refused = std::ranges::find(kRefusedCauses, cause) != std::end(kRefusedCauses);
    ledger_.answer_received(session, refused ? Answer::refused : Answer::failed, "", cause);
    requests_.erase(session);
    if (refused && rng_.bernoulli(scenario_.traffic.retry_share))
      run_after(wait * rng_.uniform(0.3, 1) + 0.01, [this] {
        if (generating_) issue_request(true);
      });
    return;
  }
  if (active_.erase(session) > 0) requests_.erase(session);
  ledger_.end_reported(session, cause);
}

void Clients::end_session(std::uint64_t session) {
  ConnectionRef connection = random_open_connection();
  if (!connection || active_.erase(session) == 0) return;
  requests_.erase(session);
  connection->stream->send(R"({"verb":"FINISH","tag":")" + hex16(session) + R"(","opts":{},"rc":16})" + "\n",
                           [this, session] { ledger_.client_ended_session(session); });
}

void Clients::on_closed(const ConnectionRef &connection) {
  if (connections_.erase(connection) == 0) return;
  connection->stream->close();
  for (std::uint64_t session : connection->sessions) ledger_.client_connection_closed(session);
  for (const auto &[session, written_at] : std::exchange(connection->unanswered, {})) {
    Request &request = requests_[session];
    if (front_killed_) {
      ledger_.waive_answer(session, "its front end was killed");
    } else if (now() - written_at <= kCloseRaceWindow && !request.resent &&
               connection->sessions.empty() + 1 > 0) {
      request.resent = true;
      connect([this, session = session](ConnectionRef new_connection) {
        if (!new_connection)
          return ledger_.waive_answer(session, "it crossed a close, and a new connection failed");
        ledger_.add_note(session, "sent once more, it crossed a close");
        send_request(session, new_connection);
      });
      continue;
    } else {
      ledger_.connection_lost_while_waiting(session);
    }
    requests_.erase(session);
  }
}

void Clients::on_front_killed() { front_killed_ = true; }

void Clients::on_front_exited() {
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) on_closed(connection);
  in_rotation_ = false;
}

void Clients::start_health_check(std::function<void()> on_passed) {
  front_killed_ = false;
  health_check_since_ = now();
  on_health_check_passed_ = std::move(on_passed);
}

void Clients::on_front_ready() {
  connect([this](ConnectionRef connection) {
    if (!connection) return;
    for (std::uint64_t session : active_) {
      std::string server = server_name_of(session);
      if (server.empty()) continue;
      connection->sessions.insert(session);
      connection->stream->send(start_line(session, requests_[session], server), [this, session] {
        ledger_.session_handed_over(session);
        on_handed_over(session);
      });
    }
  });
}

void Clients::open_idle_connections(int count) {
  for (int i = 0; i < count; ++i)
    connect([](ConnectionRef connection) {
      if (connection) connection->idle = true;
    });
}

void Clients::send_malformed(int count) {
  for (int i = 0; i < count; ++i)
    connect([this](ConnectionRef connection) {
      if (!connection) return;
      connection->malformed = true;
      std::string id = hex16(0xbad0000000000000ULL | rng_.next_u64() >> 32);
      const std::string lines[] = {"no json at all\n",
                                   R"({"verb":"START","tag":")" + id + "\n",
                                   R"({"verb":"START","tag":")" + id +
                                       R"(","opts":{"class":"none","left":"-4"},"blob":"x"})" + "\n",
                                   R"({"verb":"FINISH","tag":")" + id + R"(","opts":{},"rc":16})" + "\n",
                                   std::string(20000, 'x'),
                                   R"({"verb":"START")"};
      connection->stream->send(lines[rng_.uniform_int(0, 5)]);
    });
}

void Clients::poll() {
  // Each health check uses a new connection, as those of the platform's distributor do.
  if (on_health_check_passed_) {
    connect([](ConnectionRef connection) {
      if (!connection) return;
      connection->idle = true;
      connection->stream->send(R"({"verb":"ECHO","tag":")" + hex16(kHealthCheckTag) +
                               R"(","opts":{},"rc":0})" + "\n");
    });
  }
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) {
    bool unused = connection->unanswered.empty() && connection->sessions.empty() &&
                  now() - connection->opened_at > kUnusedConnectionTimeout;
    if (!unused || (!connection->idle && connections_.size() <= kSharedConnections)) continue;
    connection->stream->close();
    connections_.erase(connection);
  }
}

} // namespace snowshore::soak
