#include "soak/servers.h"
#include "soak/ids.h"
#include "soak/timer.h"

#include <algorithm>
#include <chrono>

namespace snowshore::soak {

namespace {

// The share of set-ups that are refused in a run that breaks a rule about retries on purpose.
constexpr double kHighRefuseShare = 0.5;
// The share of servers that repeat a release on the next connection although it was confirmed.
constexpr double kRepeatConfirmedShare = 0.5;
constexpr std::size_t kMaxReleases = 4096;
constexpr const char *kGauges = "X-Gauges: cpu:0.3;x1:0.3\r\n";

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

// Kinds of answers that corrupt_answer() makes.
constexpr int kCorruptKinds = 7;

// A good answer to the session's set-up that arrives spoilt.
std::string corrupt_answer(const std::string &id, int kind) {
  std::string description = id + "\r\nm=video 41187 RTP/AVP 96 97 98\r\n";
  auto with_length = [&](std::size_t length) {
    return "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: " + id + "\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n" + description;
  };
  switch (kind) {
  case 0:
    return "\x01\x02noise\r\n\r\n";
  case 1:
    return "RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: -4\r\n\r\n";
  case 2:
    return "RTSP/1.0 2";
  case 3:
    return "RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nx";
  case 4:
    // What follows the stated end looks like the start of a request.
    return with_length(description.find("P 96"));
  case 5:
    return with_length(description.size() + 5);
  default:
    // Noise in the description that is not UTF-8.
    return format_rtsp_answer(id, 1, 200, "", "v=\xe4\xff" + id);
  }
}

} // namespace

StandInServer::StandInServer(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int index,
                             std::uint64_t seed)
    : io_(io), scenario_(scenario), ledger_(ledger), index_(index),
      id_(static_cast<std::uint32_t>(index) + 1), rng_(seed),
      repeats_confirmed_releases_(SeededRng(seed + 1).bernoulli(kRepeatConfirmedShare)),
      listener_(io, asio::ip::address_v4(kFirstServerAddress + static_cast<std::uint32_t>(index)),
                [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); }) {}

void StandInServer::start(bool cold) {
  ++generation_;
  running_ = true;
  silent_ = false;
  start_time_ms_ = cold ? unix_ms() : 0;
  faults_->stalled = false;
  listener_.listen();
}

void StandInServer::crash() {
  running_ = false;
  ++generation_;
  listener_.stop();
  drop_sessions(true, "the server crashed");
}

void StandInServer::go_silent() {
  running_ = false;
  silent_ = true;
  ++generation_;
  faults_->stalled = true;
  listener_.set_stalled(true);
  drop_sessions(false, "the server vanished");
}

void StandInServer::set_stalled(bool stalled) {
  if (!running_) return;
  faults_->stalled = stalled;
  listener_.set_stalled(stalled);
}

void StandInServer::drop_sessions(bool by_reset, const char *reason) {
  std::vector<std::uint64_t> sessions;
  for (const auto &[session, record] : sessions_) sessions.push_back(session);
  for (std::uint64_t session : sessions) end_session(session, reason, false);
  releases_.clear();
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) {
    for (std::uint64_t session : std::exchange(connection->open_set_ups, {}))
      ledger_.attempt_ended(session, index_, false, reason);
    if (by_reset) connection->stream->reset();
  }
  if (by_reset) connections_.clear();
}

void StandInServer::reset_connections(double share) {
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) {
    if (!rng_.bernoulli(share)) continue;
    connection->stream->reset();
    on_closed(connection);
  }
}

void StandInServer::close_connections(double share) {
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) {
    if (!connection->has_carried_set_up || !connection->open_set_ups.empty() || !rng_.bernoulli(share))
      continue;
    connection->stream->close();
    on_closed(connection);
  }
}

void StandInServer::set_front_stalled(int front, bool stalled) {
  for (const ConnectionRef &connection : connections_) {
    if (connection->front == front) connection->stream->set_stalled(stalled);
  }
}

void StandInServer::run_after(double seconds, std::function<void()> call) {
  soak::run_after(io_, seconds, [this, generation = generation_, call = std::move(call)] {
    if (generation == generation_) call();
  });
}

void StandInServer::accept(asio::ip::tcp::socket socket) {
  ++accepted_connections_;
  auto connection = std::make_shared<Connection>();
  connection->stream = std::make_shared<FaultyStream>(std::move(socket), faults_);
  connection->front = front_of_source(connection->stream->remote_address());
  connection->last_used_at = now();
  // The listener opens connections to itself while it is stalled.
  if (connection->front < 0 || connection->front >= scenario_.deployment.front_ends) return;
  connections_.insert(connection);
  FaultyStream::Events events;
  events.on_bytes = [this, connection](std::string_view bytes) {
    connection->last_used_at = now();
    if (silent_) return;
    bool readable =
        connection->parser.feed(bytes, [&](const RtspMessage &message) { on_message(connection, message); });
    if (readable) return;
    connection->stream->close();
    on_closed(connection);
  };
  events.on_closed = [this, connection] { on_closed(connection); };
  connection->stream->start(std::move(events));
  resend_releases(connection->front, connection);
  send_owed_rung_notes(connection->front);
}

void StandInServer::on_closed(const ConnectionRef &connection) {
  if (connections_.erase(connection) == 0) return;
  for (std::uint64_t session : std::exchange(connection->open_set_ups, {}))
    ledger_.attempt_ended(session, index_, false, "its connection ended");
}

void StandInServer::on_message(const ConnectionRef &connection, const RtspMessage &message) {
  std::uint64_t session = std::strtoull(message.header("Session").c_str(), nullptr, 16);
  if (message.method == "SETUP") return on_set_up(connection, session, message);
  if (message.method == "TEARDOWN") return on_release(connection, session, message);
  // The front end has confirmed a release.
  if (message.status == 200 && !repeats_confirmed_releases_)
    std::erase_if(releases_, [&](const Release &release) { return release.session == session; });
  if (message.method != "OPTIONS" || behaviour.hangs) return;
  connection->stream->send(format_rtsp_answer(message.header("Session"), 3, 200, kGauges));
}

void StandInServer::on_set_up(const ConnectionRef &connection, std::uint64_t session,
                              const RtspMessage &message) {
  int rung = std::atoi(message.header("P-Level").c_str());
  ledger_.attempt_arrived(session, index_, rung, connection->front, connection->stream->opened_at());
  connection->rungs[session] = rung;
  connection->open_set_ups.insert(session);
  connection->has_carried_set_up = true;
  if (behaviour.hangs) return;
  if (rng_.bernoulli(behaviour.reset_share)) {
    run_after(rng_.uniform(0, 0.03), [this, connection] {
      connection->stream->reset();
      on_closed(connection);
    });
    return;
  }
  double deadline = std::atof(message.header("X-Deadline").c_str()) / 1e3;
  double takes = 0.005 + rng_.exponential(scenario_.traffic.mean_set_up_time) + behaviour.extra_delay;
  if (rng_.bernoulli(behaviour.late_share)) takes = deadline + rng_.uniform(0, 0.3);
  run_after(takes, [this, connection, session, deadline] { send_answer(connection, session, deadline); });
}

void StandInServer::send_answer(const ConnectionRef &connection, std::uint64_t session, double) {
  // The front end may have given the attempt up meanwhile.
  if (!connection->open_set_ups.contains(session) || behaviour.hangs) return;
  if (connection->stream->is_stalled())
    return run_after(0.05, [this, connection, session] { send_answer(connection, session, 0); });
  std::string id = hex16(session);
  connection->open_set_ups.erase(session);
  bool refuses_frequently =
      breaks_on_purpose(scenario_, Rule::gone) || breaks_on_purpose(scenario_, Rule::budget);
  if (rng_.bernoulli(refuses_frequently ? kHighRefuseShare : behaviour.refuse_share)) {
    ledger_.attempt_ended(session, index_, true, "full");
    return connection->stream->send(format_rtsp_answer(id, 1, 453, kGauges));
  }
  if (rng_.bernoulli(behaviour.error_share)) {
    ledger_.attempt_ended(session, index_, false, "error");
    return connection->stream->send(format_rtsp_answer(id, 1, 500));
  }
  if (rng_.bernoulli(behaviour.corrupt_share)) {
    ledger_.attempt_ended(session, index_, false, "spoilt answer");
    return connection->stream->send(corrupt_answer(id, rng_.uniform_int(0, kCorruptKinds - 1)));
  }
  std::string description = "v=" + id + ";" + std::to_string(index_);
  ledger_.attempt_ended(session, index_, false, "served");
  ledger_.session_active(session, index_, id_, description);
  Session &record = sessions_[session];
  record = {connection->front, now() + 0.2 + rng_.exponential(scenario_.traffic.mean_session_length),
            connection, connection->rungs[session]};
  std::string text = format_rtsp_answer(id, 1, 200, kGauges, description);
  if (rng_.bernoulli(behaviour.duplicate_share))
    text = format_rtsp_answer(hex16(rng_.next_u64()), 1, 200, "", "x") + text + text;
  connection->stream->send(text);
}

void StandInServer::send_rung_note(std::uint64_t session) {
  auto it = sessions_.find(session);
  if (it == sessions_.end() || !running_ || behaviour.hangs) return;
  it->second.owes_rung_note = true;
  send_owed_rung_notes(it->second.front);
}

void StandInServer::send_owed_rung_notes(int front) {
  for (auto &[session, record] : sessions_) {
    if (record.front != front || !record.owes_rung_note) continue;
    auto connection = find_open_connection(front, record.connection);
    if (!connection) return;
    record.owes_rung_note = false;
    connection->stream->send(format_rtsp_request(
        "ANNOUNCE", hex16(session), "X-Outcome: rung\r\nP-Amount: " + std::to_string(record.rung) + "\r\n"));
  }
}

void StandInServer::on_release(const ConnectionRef &connection, std::uint64_t session,
                               const RtspMessage &message) {
  if (connection->open_set_ups.erase(session) > 0) {
    ledger_.attempt_ended(session, index_, false, "given up");
  } else {
    ledger_.front_release_received(session, index_);
    sessions_.erase(session);
    std::erase_if(releases_, [&](const Release &release) { return release.session == session; });
  }
  if (!behaviour.hangs) connection->stream->send(format_rtsp_answer(message.header("Session"), 2, 200));
}

StandInServer::ConnectionRef
StandInServer::find_open_connection(int front, const std::weak_ptr<Connection> &first) const {
  if (auto connection = first.lock(); connection && connection->stream->is_open()) return connection;
  for (const ConnectionRef &connection : connections_) {
    if (connection->front == front && connection->stream->is_open()) return connection;
  }
  return nullptr;
}

void StandInServer::end_session(std::uint64_t session, const char *reason, bool sends_release) {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  Session ended = it->second;
  sessions_.erase(it);
  ledger_.session_ended(session, index_, reason);
  if (!sends_release) return;
  auto connection = find_open_connection(ended.front, ended.connection);
  if (releases_.size() >= kMaxReleases) releases_.erase(releases_.begin());
  releases_.push_back({session, ended.front, connection != nullptr});
  if (connection)
    connection->stream->send(format_rtsp_request("TEARDOWN", hex16(session), "Reason: cause=16\r\n"),
                             [this, session] { ledger_.server_release_written(session, index_); });
}

void StandInServer::resend_releases(int front, const ConnectionRef &opened) {
  for (const Release &release : releases_) {
    if (release.front == front)
      opened->stream->send(
          format_rtsp_request("TEARDOWN", hex16(release.session), "Reason: cause=16\r\n"),
          [this, session = release.session] { ledger_.server_release_written(session, index_); });
  }
  std::erase_if(releases_, [&](Release &release) {
    return release.front == front && std::exchange(release.sent, true);
  });
}

void StandInServer::poll() {
  if (!running_ || faults_->stalled) return;
  double time = now();
  std::vector<std::uint64_t> expired;
  for (auto &[session, record] : sessions_) {
    if (time >= record.ends_at) expired.push_back(session);
    double &last_note_at = last_note_at_.try_emplace(record.front, time).first->second;
    if (behaviour.hangs || time - last_note_at < scenario_.deployment.note_interval) continue;
    last_note_at = time;
    if (auto connection = find_open_connection(record.front, record.connection))
      connection->stream->send(
          format_rtsp_request("ANNOUNCE", hex16(session), "X-Outcome: link\r\nP-Amount: 0.3\r\n"));
  }
  if (!behaviour.hangs) {
    for (std::uint64_t session : expired) end_session(session, "its time was over", true);
  }
  auto connections = connections_;
  for (const ConnectionRef &connection : connections) {
    if (!connection->open_set_ups.empty() ||
        time - connection->last_used_at < scenario_.deployment.idle_timeout)
      continue;
    connection->stream->close();
    on_closed(connection);
  }
}

} // namespace snowshore::soak
