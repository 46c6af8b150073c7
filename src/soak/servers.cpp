#include "soak/servers.h"

#include <algorithm>
#include <chrono>

namespace snowshore::soak {

namespace {

constexpr double kNotesEvery = 1;     // seconds, for each session
constexpr double kRefusesOften = 0.5; // share of set-ups, where a rule is broken on purpose
constexpr std::size_t kMostReleases = 4096;
constexpr const char *kGauges = "X-Gauges: cpu:0.3;x1:0.3\r\n";

std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

} // namespace

StandInServer::StandInServer(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int index,
                             std::uint64_t seed)
    : io_(io), scenario_(scenario), ledger_(ledger), index_(index),
      id_(static_cast<std::uint32_t>(index) + 1), rng_(seed),
      listener_(io, asio::ip::address_v4(kServerAddresses + static_cast<std::uint32_t>(index)),
                [this](asio::ip::tcp::socket socket) { accept(std::move(socket)); }) {}

void StandInServer::start(bool as_new) {
  ++life_;
  runs_ = true;
  gone_silent_ = false;
  started_ms_ = as_new ? unix_ms() : 0;
  faults_->held = false;
  listener_.listen();
}

void StandInServer::crash() {
  runs_ = false;
  ++life_;
  listener_.refuse();
  drop_all(true, "the server crashed");
}

void StandInServer::vanish() {
  runs_ = false;
  gone_silent_ = true;
  ++life_;
  faults_->held = true;
  listener_.hold(true);
  drop_all(false, "the server vanished");
}

void StandInServer::hold(bool held) {
  if (!runs_) return;
  faults_->held = held;
  listener_.hold(held);
}

void StandInServer::drop_all(bool by_reset, const char *how) {
  std::vector<std::uint64_t> all;
  for (const auto &[session, its] : sessions_) all.push_back(session);
  for (std::uint64_t session : all) end_session(session, how, false);
  releases_.clear();
  auto links = links_;
  for (const LinkRef &link : links) {
    for (std::uint64_t session : std::exchange(link->set_ups, {}))
      ledger_.attempt_ended(session, index_, false, how);
    if (by_reset) link->wire->reset();
  }
  if (by_reset) links_.clear();
}

void StandInServer::reset_connections(double share) {
  auto links = links_;
  for (const LinkRef &link : links) {
    if (!rng_.bernoulli(share)) continue;
    link->wire->reset();
    closed(link);
  }
}

void StandInServer::hold_front(int front, bool held) {
  for (const LinkRef &link : links_) {
    if (link->front == front) link->wire->hold(held);
  }
}

void StandInServer::later(double seconds, std::function<void()> call) {
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([this, timer, life = life_, call = std::move(call)](asio::error_code error) {
    if (!error && life == life_) call();
  });
}

void StandInServer::accept(asio::ip::tcp::socket socket) {
  ++accepted_;
  auto link = std::make_shared<Link>();
  link->wire = std::make_shared<Wire>(std::move(socket), faults_);
  link->front = front_at(link->wire->remote());
  link->used_at = now();
  if (link->front < 0 || link->front >= scenario_.deployment.front_ends)
    return; // a filler of the listener's own
  links_.insert(link);
  Wire::Events events;
  events.bytes = [this, link](std::string_view bytes) {
    link->used_at = now();
    if (gone_silent_) return;
    bool readable = link->text.take(bytes, [&](const RtspMessage &message) { on_message(link, message); });
    if (readable) return;
    link->wire->close();
    closed(link);
  };
  events.closed = [this, link] { closed(link); };
  link->wire->start(std::move(events));
  say_releases(link->front, link);
}

void StandInServer::closed(const LinkRef &link) {
  if (links_.erase(link) == 0) return;
  for (std::uint64_t session : std::exchange(link->set_ups, {}))
    ledger_.attempt_ended(session, index_, false, "its connection ended");
}

void StandInServer::on_message(const LinkRef &link, const RtspMessage &message) {
  std::uint64_t session = std::strtoull(message.header("Session").c_str(), nullptr, 16);
  if (message.method == "SETUP") return on_set_up(link, session, message);
  if (message.method == "TEARDOWN") return on_release(link, session, message);
  if (message.method != "OPTIONS" || behaviour.hangs) return;
  link->wire->say(rtsp_answer(message.header("Session"), 3, 200, kGauges));
}

void StandInServer::on_set_up(const LinkRef &link, std::uint64_t session, const RtspMessage &message) {
  ledger_.attempt_arrived(session, index_, std::atoi(message.header("P-Level").c_str()), link->front,
                          link->wire->opened_at());
  link->set_ups.insert(session);
  if (behaviour.hangs) return;
  if (rng_.bernoulli(behaviour.reset_under)) {
    later(rng_.uniform(0, 0.03), [this, link] {
      link->wire->reset();
      closed(link);
    });
    return;
  }
  double deadline = std::atof(message.header("X-Deadline").c_str()) / 1e3;
  double takes = 0.005 + rng_.exponential(scenario_.traffic.mean_set_up_time) + behaviour.extra_delay;
  if (rng_.bernoulli(behaviour.late)) takes = deadline + rng_.uniform(0, 0.3);
  later(takes, [this, link, session, deadline] { answer(link, session, deadline); });
}

void StandInServer::answer(const LinkRef &link, std::uint64_t session, double) {
  if (!link->set_ups.contains(session) || behaviour.hangs) return; // given up meanwhile
  if (link->wire->is_held()) return later(0.05, [this, link, session] { answer(link, session, 0); });
  std::string id = hex16(session);
  link->set_ups.erase(session);
  bool refuses_often = breaks_on_purpose(scenario_, Rule::gone) || breaks_on_purpose(scenario_, Rule::budget);
  if (rng_.bernoulli(refuses_often ? kRefusesOften : behaviour.refuses)) {
    ledger_.attempt_ended(session, index_, true, "full");
    return link->wire->say(rtsp_answer(id, 1, 453, kGauges));
  }
  if (rng_.bernoulli(behaviour.errors)) {
    ledger_.attempt_ended(session, index_, false, "error");
    return link->wire->say(rtsp_answer(id, 1, 500));
  }
  if (rng_.bernoulli(behaviour.spoilt)) {
    ledger_.attempt_ended(session, index_, false, "spoilt answer");
    constexpr const char *kSpoilt[] = {
        "\x01\x02noise\r\n\r\n", "RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: -4\r\n\r\n", "RTSP/1.0 2",
        "RTSP/1.0 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"};
    return link->wire->say(kSpoilt[rng_.uniform_int(0, 3)]);
  }
  std::string description = "v=" + id + ";" + std::to_string(index_);
  ledger_.attempt_ended(session, index_, false, "served");
  ledger_.session_active(session, index_, id_, description);
  Session &its = sessions_[session];
  its = {link->front, now() + 0.2 + rng_.exponential(scenario_.traffic.mean_session_length), link};
  std::string text = rtsp_answer(id, 1, 200, kGauges, description);
  if (rng_.bernoulli(behaviour.doubled))
    text = rtsp_answer(hex16(rng_.next_u64()), 1, 200, "", "x") + text + text;
  link->wire->say(text);
}

void StandInServer::on_release(const LinkRef &link, std::uint64_t session, const RtspMessage &message) {
  if (link->set_ups.erase(session) > 0) {
    ledger_.attempt_ended(session, index_, false, "given up");
  } else {
    ledger_.front_release_received(session, index_);
    sessions_.erase(session);
    std::erase_if(releases_, [&](const Release &one) { return one.session == session; });
  }
  if (!behaviour.hangs) link->wire->say(rtsp_answer(message.header("Session"), 2, 200));
}

StandInServer::LinkRef StandInServer::open_link(int front, const std::weak_ptr<Link> &first) const {
  if (auto link = first.lock(); link && link->wire->is_open()) return link;
  for (const LinkRef &link : links_) {
    if (link->front == front && link->wire->is_open()) return link;
  }
  return nullptr;
}

void StandInServer::end_session(std::uint64_t session, const char *how, bool tells) {
  auto it = sessions_.find(session);
  if (it == sessions_.end()) return;
  Session its = it->second;
  sessions_.erase(it);
  ledger_.session_ended(session, index_, how);
  if (!tells) return;
  auto link = open_link(its.front, its.link);
  if (releases_.size() >= kMostReleases) releases_.erase(releases_.begin());
  releases_.push_back({session, its.front, link != nullptr});
  if (link)
    link->wire->say(rtsp_request("TEARDOWN", hex16(session), "Reason: cause=16\r\n"),
                    [this, session] { ledger_.server_release_written(session, index_); });
}

void StandInServer::say_releases(int front, const LinkRef &opened) {
  for (const Release &one : releases_) {
    if (one.front == front)
      opened->wire->say(rtsp_request("TEARDOWN", hex16(one.session), "Reason: cause=16\r\n"),
                        [this, session = one.session] { ledger_.server_release_written(session, index_); });
  }
  std::erase_if(releases_, [&](const Release &one) { return one.front == front; });
}

void StandInServer::look() {
  if (!runs_ || faults_->held) return;
  double at = now();
  std::vector<std::uint64_t> over;
  for (auto &[session, its] : sessions_) {
    if (at >= its.ends_at) over.push_back(session);
    double &noted_at = noted_at_.try_emplace(its.front, at).first->second;
    if (behaviour.hangs || at - noted_at < scenario_.deployment.note_interval) continue;
    noted_at = at;
    if (auto link = open_link(its.front, its.link))
      link->wire->say(rtsp_request("ANNOUNCE", hex16(session), "X-Outcome: link\r\nP-Amount: 0.3\r\n"));
  }
  if (!behaviour.hangs) {
    for (std::uint64_t session : over) end_session(session, "its time was over", true);
  }
  auto links = links_;
  for (const LinkRef &link : links) {
    if (!link->set_ups.empty() || at - link->used_at < scenario_.deployment.idle_timeout) continue;
    link->wire->close();
    closed(link);
  }
}

} // namespace snowshore::soak
