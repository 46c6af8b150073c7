#include "rtsp/peer.h"
#include "given/hex_id.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace snowshore::rtsp {

using telemetry::steady_seconds;
using telemetry::to_timer_duration;

namespace {

constexpr double kRetiredStays =
    1; // a retired connection may still bring a late answer that must be released

using given::format_hex16;

std::optional<std::uint64_t> session_of(const Message &message) {
  auto text = message.find_header("Session");
  return text ? given::parse_hex16(*text) : std::nullopt;
}

Message request(const char *method, std::string uri, const char *number, std::uint64_t session) {
  Message message;
  message.method = method;
  message.uri = std::move(uri);
  message.add_header("CSeq", number);
  message.add_header("Session", format_hex16(session));
  return message;
}

constexpr const char *kAnyAddress = "rtsp://media/session";
constexpr int kReleased = 16;        // the protocol's cause of an end that is no fault
constexpr double kMayBeUnheard = 1;  // seconds, between a release written and the end of its connection
constexpr double kReleaseWithin = 8; // the protocol's bound on what could not be said at once
constexpr std::size_t kMostReleases = 1024;

} // namespace

struct Peer::Link {
  asio::ip::tcp::socket socket;
  asio::steady_timer timer; // of connecting
  State state = State::connecting;
  MessageReader reader;
  std::vector<std::pair<std::uint64_t, std::string>> waiting; // messages by session, until they can be sent
  std::size_t unsent = 0;                                     // bytes of those
  std::string sending;
  std::vector<std::uint64_t> set_ups; // open on it
  bool retired = false;
  double opened_at = 0, used_at = 0, heard_at = 0, partial_since = -1, retired_at = 0;
  std::array<char, 4096> buffer;
  explicit Link(asio::io_context &io) : socket(io), timer(io) {}
};

Peer::Peer(asio::io_context &io, asio::ip::tcp::endpoint at, const Timeouts &times, const Limits &limits,
           PeerCounters &counters, std::uint64_t seed, Events events)
    : io_(io), at_(std::move(at)), times_(times), limits_(limits), counters_(counters), next_probe_(seed | 1),
      events_(std::move(events)), probe_timer_(io) {}

Peer::~Peer() { shut_down(); }

void Peer::shut_down() {
  alive_.reset();
  counters_.connections -= links_.size();
  for (auto &link : links_) {
    become(*link, State::closed);
    asio::error_code ignored;
    link->socket.close(ignored);
    link->timer.cancel();
  }
  links_.clear();
  out_.clear();
}

void Peer::close_all() {
  std::weak_ptr<bool> alive = alive_;
  for (auto &link : std::vector(links_.begin(), links_.end())) {
    end(link, EndReason::closed);
    if (alive.expired()) return;
  }
}

void Peer::become(Link &link, State next) { link.state = next; } // the one place where it changes

std::size_t Peer::open_connections() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(links_, [](const auto &link) { return link->state == State::open; }));
}

std::size_t Peer::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto &link : links_) sum += link->unsent;
  return sum;
}

// The one with the fewest set-ups open; another where each has some and there is room for one more.
std::shared_ptr<Peer::Link> Peer::choose(bool for_set_up) {
  std::shared_ptr<Link> best;
  auto rank = [](const Link &link) { return link.set_ups.size() * 2 + (link.state == State::connecting); };
  for (auto &link : links_) {
    if (link->state == State::closed || link->retired) continue;
    if (for_set_up && link->set_ups.size() >= limits_.set_ups_per_connection) continue;
    if (link->state == State::open && link->set_ups.empty() &&
        steady_seconds() - link->used_at > times_.idle * 0.8)
      continue; // the other side may be closing it
    if (!best || rank(*link) < rank(*best)) best = link;
  }
  std::size_t live = static_cast<std::size_t>(
      std::ranges::count_if(links_, [](const auto &link) { return !link->retired; }));
  if (best && (!for_set_up || best->set_ups.empty() || live >= limits_.connections)) return best;
  if (!best && live >= limits_.connections) return nullptr;
  auto added = connect();
  return added ? added : best;
}

std::shared_ptr<Peer::Link> Peer::connect() {
  if (!events_.may_connect()) return nullptr;
  auto link = std::make_shared<Link>(io_);
  links_.push_back(link);
  ++counters_.connects, ++counters_.connections;
  link->used_at = steady_seconds();
  std::weak_ptr<bool> alive = alive_;
  link->timer.expires_after(to_timer_duration(times_.connect));
  link->timer.async_wait([this, link, alive](asio::error_code error) {
    if (!error && !alive.expired() && link->state == State::connecting) end(link, EndReason::connect_failed);
  });
  link->socket.async_connect(at_, [this, link, alive](asio::error_code error) {
    if (alive.expired() || link->state != State::connecting) return;
    link->timer.cancel();
    if (error)
      return end(link, error == asio::error::connection_refused ? EndReason::connection_refused
                                                                : EndReason::connect_failed);
    asio::error_code ignored;
    link->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    become(*link, State::open);
    link->opened_at = link->used_at = steady_seconds();
    if (!link->waiting.empty()) write(link);
    read(link);
    say_releases();
    events_.on_connected();
  });
  return link;
}

void Peer::say(const std::shared_ptr<Link> &link, std::uint64_t session, std::string text) {
  link->used_at = steady_seconds();
  link->unsent += text.size();
  link->waiting.emplace_back(session, std::move(text));
  if (link->state != State::open) return;
  if (link->sending.empty()) write(link);
  if (link->unsent > limits_.unsent_bytes) // it does not read what it is sent
    asio::post(io_, [this, link, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) end(link, EndReason::reset);
    });
}

void Peer::write(const std::shared_ptr<Link> &link) {
  for (auto &[session, text] : std::exchange(link->waiting, {})) link->sending += text;
  link->unsent = 0;
  asio::async_write(link->socket, asio::buffer(link->sending),
                    [this, link, alive = std::weak_ptr<bool>(alive_)](asio::error_code error, std::size_t) {
                      if (alive.expired() || link->state != State::open) return;
                      link->sending.clear();
                      if (error) return end(link, EndReason::reset);
                      if (!link->waiting.empty()) write(link);
                    });
}

void Peer::read(const std::shared_ptr<Link> &link) {
  link->socket.async_read_some(asio::buffer(link->buffer), [this, link, alive = std::weak_ptr<bool>(alive_)](
                                                               asio::error_code error, std::size_t size) {
    if (alive.expired() || link->state != State::open) return;
    if (error) return end(link, error == asio::error::eof ? EndReason::closed : EndReason::reset);
    link->used_at = link->heard_at = steady_seconds();
    events_.on_data();
    bool readable =
        link->reader.feed(std::string_view(link->buffer.data(), size), [&](const Message &message) {
          if (!alive.expired() && link->state == State::open) on(link, message);
        });
    if (alive.expired() || link->state != State::open) return;
    if (!readable) return end(link, EndReason::unreadable);
    if (!link->reader.has_partial_message())
      link->partial_since = -1;
    else if (link->partial_since < 0)
      link->partial_since = steady_seconds();
    read(link);
  });
}

void Peer::on(const std::shared_ptr<Link> &link, const Message &message) {
  auto session = session_of(message);
  if (!session) return end(link, EndReason::unreadable); // each message names its session
  if (message.status == 0) {
    if (message.method == "TEARDOWN") {
      Message heard;
      heard.status = 200;
      if (auto number = message.find_header("CSeq")) heard.add_header("CSeq", *number);
      heard.add_header("Session", format_hex16(*session));
      say(link, *session, rtsp::write_message(heard));
      if (out_.contains(*session)) return set_up_over(*session, EndReason::answered, &message);
    }
    return events_.on_request(*session, message);
  }
  if (message.status < 200) return; // progress
  auto number = message.find_header("CSeq");
  if (probe_ == *session && number == "3") {
    probe_ = 0;
    probe_timer_.cancel();
    return events_.on_probe_ended(EndReason::answered, &message);
  }
  if (number == "2") // a release is heard
    std::erase_if(releases_, [&](const Release &one) { return one.session == *session; });
  if (number != "1") return; // to a release, a rung: wants nothing more
  auto it = out_.find(*session);
  if (it != out_.end()) {
    if (it->second.link.lock() != link) return; // not asked here
    ++counters_.answers;
    return set_up_over(*session, EndReason::answered, &message);
  }
  if (message.status != 200) return;
  if (std::ranges::find(given_up_, *session) == given_up_.end() || events_.has_session(*session)) {
    ++counters_.unexpected_answers;
    return;
  }
  ++counters_.late;
  release(*session, kReleased);
}

void Peer::set_up_over(std::uint64_t session, EndReason how, const Message *message) {
  auto it = out_.find(session);
  if (it == out_.end()) return;
  double took = steady_seconds() - it->second.sent;
  if (auto link = it->second.link.lock()) std::erase(link->set_ups, session);
  out_.erase(it);
  events_.on_set_up_ended(session, how, message, took);
}

void Peer::set_up(const SetUpRequest &set_up) {
  ++counters_.set_ups;
  auto fail = [&](EndReason how) {
    asio::post(io_, [this, how, session = set_up.session, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) events_.on_set_up_ended(session, how, nullptr, 0);
    });
  };
  auto link = choose(true);
  if (!link) {
    ++counters_.no_room;
    return fail(EndReason::no_capacity);
  }
  Message message = request("SETUP", "rtsp://media/" + std::string(set_up.title), "1", set_up.session);
  message.add_header("X-Tier", set_up.tier);
  message.add_header("X-Deadline", std::to_string(static_cast<long long>(set_up.timeout * 1000)));
  message.add_header("P-Level", std::to_string(set_up.rung));
  message.body = set_up.description;
  Out &out = out_[set_up.session];
  out.link = link;
  out.sent = steady_seconds();
  out.number = ++set_ups_;
  link->set_ups.push_back(set_up.session);
  out.timer = std::make_unique<asio::steady_timer>(io_, to_timer_duration(set_up.timeout));
  out.timer->async_wait([this, session = set_up.session, timed = out.number,
                         alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    auto it = out_.find(session);
    if (it == out_.end() || it->second.number != timed) return;
    auto silent = it->second.link.lock();
    double sent = it->second.sent;
    bool left = cancel_set_up(session);
    // A connection that has brought nothing since may be of no more use.
    if (left && silent && silent->heard_at <= sent) retire(silent);
    events_.on_set_up_ended(session, left ? EndReason::timed_out : EndReason::connect_failed, nullptr,
                            steady_seconds() - sent);
  });
  say(link, set_up.session, rtsp::write_message(message));
}

// True where it may have reached the server.
bool Peer::cancel_set_up(std::uint64_t session) {
  auto it = out_.find(session);
  if (it == out_.end()) return false;
  ++counters_.given_up;
  given_up_[given_up_at_++ % given_up_.size()] = session;
  auto link = it->second.link.lock();
  out_.erase(it);
  if (!link || link->state == State::closed) return true;
  std::erase(link->set_ups, session);
  if (std::erase_if(link->waiting, [&](const auto &one) {
        bool its = one.first == session;
        if (its) link->unsent -= one.second.size();
        return its;
      }) > 0) { // it never left, since the connection is not up or its server does not read
    ++counters_.recalled_unsent;
    return false;
  }
  say(link, session, rtsp::write_message(request("TEARDOWN", kAnyAddress, "2", session)));
  return true;
}

void Peer::release(std::uint64_t session, int cause) {
  double now = steady_seconds();
  while (!releases_.empty() &&
         (releases_.front().since < now - kReleaseWithin || releases_.size() >= kMostReleases)) {
    counters_.releases_dropped += releases_.front().on.expired();
    releases_.pop_front();
  }
  releases_.push_back({session, cause, now, 0, {}});
  say_releases();
}

// Those not said yet, or said on a connection that has gone since; again at each look until they are.
void Peer::say_releases() {
  double now = steady_seconds();
  std::erase_if(releases_, [&](const Release &one) {
    auto link = one.on.lock();
    return (link && link->state == State::open && link->sending.empty() && link->waiting.empty() &&
            one.said < now - kMayBeUnheard) ||
           one.since < now - kReleaseWithin;
  });
  for (std::size_t i = 0; i < releases_.size(); ++i) {
    auto before = releases_[i].on.lock();
    if (before && before->state != State::closed) continue;
    if (releases_[i].said > now - kMayBeUnheard) continue; // connections are asked for sparingly
    auto link = choose(false);
    if (!link) return;
    Release &one = releases_[i];
    counters_.releases_again += one.said > 0;
    one.on = link, one.said = now;
    Message message = request("TEARDOWN", kAnyAddress, "2", one.session);
    message.add_header("Reason", "cause=" + std::to_string(one.cause));
    say(link, one.session, rtsp::write_message(message));
  }
}

bool Peer::has_unwritten_releases() const {
  return std::ranges::any_of(releases_, [](const Release &one) {
    auto link = one.on.lock();
    return !link || link->state != State::open || !link->sending.empty() || !link->waiting.empty();
  });
}

void Peer::set_rung(std::uint64_t session, int rung) {
  Message message = request("SET_PARAMETER", kAnyAddress, "4", session);
  message.add_header("P-Level", std::to_string(rung));
  if (auto link = choose(false)) say(link, session, rtsp::write_message(message));
}

void Peer::probe() {
  auto fail = [&](EndReason how) {
    asio::post(io_, [this, how, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) events_.on_probe_ended(how, nullptr);
    });
  };
  if (probe_) return; // one at a time: its answer serves
  auto link = choose(false);
  if (!link) return fail(EndReason::no_capacity);
  probe_ = next_probe_ += 2;
  probe_timer_.expires_after(to_timer_duration(times_.probe));
  probe_timer_.async_wait(
      [this, session = probe_, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
        if (error || alive.expired() || probe_ != session) return;
        probe_ = 0;
        events_.on_probe_ended(EndReason::timed_out, nullptr);
      });
  say(link, probe_, rtsp::write_message(request("OPTIONS", "rtsp://media/load", "3", probe_)));
}

void Peer::try_connect() {
  if (std::ranges::none_of(links_, [](const auto &link) { return link->state == State::connecting; }))
    connect();
}

std::shared_ptr<Peer::Link> Peer::oldest_idle() const {
  std::shared_ptr<Link> oldest;
  for (const auto &link : links_) {
    bool idle = link->state == State::open && link->set_ups.empty();
    asio::error_code failed;
    if (idle && link->socket.available(failed) > 0)
      continue; // its server has said something: that is read first
    if (idle && (!oldest || link->opened_at < oldest->opened_at)) oldest = link;
  }
  return oldest;
}

std::optional<double> Peer::oldest_idle_since() const {
  auto link = oldest_idle();
  return link ? std::optional(link->opened_at) : std::nullopt;
}

void Peer::close_oldest_idle() {
  if (auto link = oldest_idle()) end(link, EndReason::no_capacity);
}

// No new set-ups on it; it goes once those on it have ended, a moment later.
void Peer::retire(const std::shared_ptr<Link> &link) {
  link->retired = true;
  link->retired_at = steady_seconds();
}

void Peer::end(const std::shared_ptr<Link> &link, EndReason how) {
  if (link->state == State::closed) return;
  become(*link, State::closed);
  links_.remove(link);
  --counters_.connections;
  link->timer.cancel();
  asio::error_code ignored;
  link->socket.close(ignored);
  std::weak_ptr<bool> alive = alive_;
  auto set_ups = std::exchange(link->set_ups, {});
  for (std::uint64_t session : set_ups) {
    set_up_over(session, how, nullptr);
    if (alive.expired()) return;
  }
  events_.on_disconnected(how, open_connections() == 0);
}

// Messages that stay half, connections that are done with, and more idle ones than are of use.
void Peer::maintain() {
  ++counters_.maintenance_runs;
  std::weak_ptr<bool> alive = alive_;
  double now = steady_seconds();
  for (auto &link : std::vector(links_.begin(), links_.end())) {
    bool idle = link->state == State::open && link->set_ups.empty();
    if (link->state == State::open && link->partial_since >= 0 && now - link->partial_since > times_.message)
      end(link, EndReason::unreadable);
    else if (link->retired && link->set_ups.empty() && now - link->retired_at > kRetiredStays)
      end(link, EndReason::closed);
    else if (idle && now - link->used_at > times_.idle * 0.9)
      end(link, EndReason::closed);
    if (alive.expired()) return;
  }
  say_releases();
}

} // namespace snowshore::rtsp
