#include "platform/servers.h"
#include "decision/connection_budget.h"
#include "decision/names.h"
#include "given/translate.h"
#include "platform/ends.h"
#include "telemetry/loop_clock.h"

#include <algorithm>

namespace snowshore::platform {

using edge::PlayRecord;
using edge::PlayState;
using telemetry::to_timer_duration;

namespace {

constexpr double kWatchEvery = 0.1, kStoodStill = 1;
constexpr double kHandedOverWithin = 8; // the protocol's bound on telling of an end
constexpr std::size_t kMostEarlyEnds = 1024, kMostConnections = 8; // to one server

constexpr std::pair<std::string_view, FeedbackKind> kNotes[] = {{"delivered", FeedbackKind::share_delivered},
                                                                {"rung", FeedbackKind::rung},
                                                                {"link", FeedbackKind::link_demand},
                                                                {"uplink", FeedbackKind::uplink_demand}};

} // namespace

RtspServerGateway::RtspServerGateway(asio::io_context &io, const NodeConfig &boot, telemetry::Log &log,
                                     ViewerGateway &viewers)
    : io_(io), config_(boot), log_(log), viewers_(viewers), check_timer_(io) {
  reload();
}

void RtspServerGateway::reload() {
  times_.connect = times_.message = times_.probe = config_.connect_timeout;
  times_.idle = config_.idle_timeout;
  liveness_terms_.message_interval = config_.feedback_interval;
  limits_.set_ups_per_connection = config_.set_ups_per_connection;
  limits_.unsent_bytes = config_.resource_limits.max_unsent_server_bytes;
  share_descriptors();
}

// Evenly over the servers that may be connected to.
void RtspServerGateway::share_descriptors() {
  limits_.connections = std::clamp<std::size_t>(config_.resource_limits.server_descriptors /
                                                    std::max<std::size_t>(listed_count_, 1),
                                                1, kMostConnections);
}

void RtspServerGateway::count_listed(bool before, bool after) {
  if (before == after) return;
  listed_count_ += after ? 1 : -1;
  share_descriptors();
}

void RtspServerGateway::start_liveness_checks() { check_servers(); }

// ---- The list.

void RtspServerGateway::update_server(int server, const edge::ListedServer &entry) {
  auto place = static_cast<std::size_t>(server);
  if (place >= server_slots_.size()) server_slots_.resize(place + 1);
  if (!server_slots_[place]) {
    server_slots_[place] = std::make_unique<ServerSlot>(liveness_terms_);
    server_slots_[place]->serial = next_serial_++;
  }
  ServerSlot &one = *server_slots_[place];
  bool moved = one.known && one.entry.address != entry.address;
  bool restarted = one.known && entry.started_at > one.entry.started_at;
  bool gone = entry.status == ServerStatus::left;
  count_listed(one.known && one.entry.status != ServerStatus::left, !gone);
  one.entry = entry, one.known = true;
  if (moved && one.peer) {
    one.peer->close_all(); // its set-ups are not answered there any more
    close_peer(server);
  }
  if (plays_at(server) == 0) return;
  log_.info("server_changed", {{"server", entry.id},
                               {"standing", static_cast<int>(entry.status)},
                               {"moved", moved},
                               {"restarted", restarted},
                               {"plays", plays_at(server)}});
  if (!moved && !restarted && !(gone && (!one.peer || one.peer->open_connections() == 0))) return;
  asio::post(io_, [this, server, serial = one.serial, restarted, before = entry.started_at,
                   alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || !server_slot(server) || server_slot(server)->serial != serial) return;
    if (restarted)
      server_lost(server, "restarted", counters_.lost_restarted, before);
    else
      server_lost(server, "gone", counters_.lost_gone);
  });
}

rtsp::Peer *RtspServerGateway::peer_of(int server) {
  ServerSlot *one = server_slot(server);
  if (!one) return nullptr;
  if (!one->peer && one->entry.status != ServerStatus::left) open_connection(server);
  return one->peer.get();
}

void RtspServerGateway::close_peer(int server) {
  // It goes after this turn: what it has posted is still told.
  asio::post(io_, [gone = std::shared_ptr<rtsp::Peer>(std::move(server_slot(server)->peer))] {});
  servers_with_peer_.remove(server);
}

void RtspServerGateway::open_connection(int server) {
  ServerSlot &one = *server_slot(server);
  servers_with_peer_.add(server);
  rtsp::Peer::Events events;
  events.on_set_up_ended = [this, server](std::uint64_t session, rtsp::EndReason end,
                                          const rtsp::Message *message,
                                          double took) { set_up_ended(server, session, end, message, took); };
  events.on_request = [this, server](std::uint64_t session, const rtsp::Message &message) {
    request_received(server, session, message);
  };
  events.on_probe_ended = [this, server](rtsp::EndReason end, const rtsp::Message *message) {
    Outcome outcome = outcome_of_probe(end, message);
    core_->probe_answered(server, outcome,
                          message && outcome == Outcome::done ? load_report_of(*message) : LoadReport{});
  };
  events.on_data = events.on_connected = [this, server] {
    server_slot(server)->liveness.data_received(core_->clock().now());
  };
  events.on_disconnected = [this, server](rtsp::EndReason end, bool last) {
    connection_ended(server, end, last);
  };
  // Nothing is opened to a server that has left: its address may be another's by then.
  events.may_connect = [this, server] {
    if (core_->send_guard().has_left(server)) return false;
    return core_->send_guard().may_connect(server) &&
           (connections() < config_.resource_limits.server_descriptors || close_connection_for_budget());
  };
  events.has_session = [this, server](std::uint64_t session) {
    int play = core_->plays().find(session);
    return play >= 0 && core_->plays().at(play).server == server;
  };
  one.peer = std::make_unique<rtsp::Peer>(io_, one.entry.address, times_, limits_, peer_counters_,
                                          core_->seed() ^ *one.entry.stable_id, std::move(events));
}

void RtspServerGateway::forget_server(int server) {
  if (!server_slot(server)) return;
  count_listed(server_slot(server)->known && server_slot(server)->entry.status != ServerStatus::left, false);
  // It may be the one whose event is being told: it goes after this turn, and is not heard until then.
  if (auto &peer = server_slot(server)->peer) peer->shut_down();
  servers_with_peer_.remove(server);
  asio::post(io_, [gone = std::shared_ptr<ServerSlot>(
                       std::move(server_slots_[static_cast<std::size_t>(server)]))] {});
}

void RtspServerGateway::connection_ended(int server, rtsp::EndReason end, bool last) {
  ServerSlot &one = *server_slot(server);
  ++counters_.disconnects[static_cast<std::size_t>(end)];
  double now = core_->clock().now();
  if (end == rtsp::EndReason::connection_refused) one.liveness.connection_refused(now);
  if (end == rtsp::EndReason::connect_failed) one.liveness.connection_timed_out(now);
  // What it said on that one may be lost; it says its releases again on the next that opens.
  one.reconnect_requested = one.reconnect_requested || end == rtsp::EndReason::reset ||
                            end == rtsp::EndReason::closed || end == rtsp::EndReason::unreadable;
  if (last && (end == rtsp::EndReason::reset || end == rtsp::EndReason::closed))
    one.liveness.connection_lost(now);
  if (!last || one.entry.status != ServerStatus::left) return;
  server_lost(server, "gone", counters_.lost_gone);
}

// All connections to servers are in use: one goes, by the connection budget.
bool RtspServerGateway::close_connection_for_budget() {
  std::vector<ServerConnections> uses;
  for (int s : servers_with_peer_) {
    ++counters_.servers_scanned;
    const rtsp::Peer &peer = *server_slot(s)->peer;
    // A server that has left can't be visited again: what it still holds would be given up with its
    // connection.
    if (core_->send_guard().has_left(s) && plays_at(s) > 0) continue;
    if (auto since = peer.oldest_idle_since())
      uses.push_back({s, plays_at(s), peer.open_connections(), *since});
  }
  double now = telemetry::steady_seconds();
  auto server = connection_to_close(uses, now);
  if (!server) return false;
  ++counters_.closed_for_budget;
  server_slot(*server)->set_aside_until = now + ConnectionBudget::kRevisitInterval;
  server_slot(*server)->peer->close_oldest_idle();
  return true;
}

void RtspServerGateway::server_lost(int server, const char *why, std::uint64_t &counter, double before) {
  bool any = std::ranges::any_of(core_->plays().playing_at(server),
                                 [&](int play) { return core_->plays().at(play).started_at < before; });
  if (!any) return;
  ++counter;
  core_->server_lost(server, why, before);
}

// Servers that hold plays of ours keep a connection, on which they say what concerns them; one that says
// nothing is asked whether it lives.
void RtspServerGateway::check_servers() {
  check_timer_.expires_after(to_timer_duration(kWatchEvery));
  check_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = core_->clock().now();
    // A front that stood still itself has not listened: what servers said meanwhile is read first.
    bool stood_still = now - std::exchange(checked_at_, now) > kStoodStill;
    SortedIndices concerned = core_->plays().servers_with_plays();
    for (int s : servers_with_peer_) concerned.add(s);
    for (int s : concerned) {
      ++counters_.servers_scanned;
      if (!server_slot(s)) continue;
      if (server_slot(s)->peer) server_slot(s)->peer->maintain();
      if (!server_slot(s)) continue; // forgotten by what that brought about
      if (plays_at(s) > 0)
        check_server(s, stood_still);
      else if (server_slot(s)->peer && server_slot(s)->peer->is_unused())
        close_peer(s);
    }
    check_servers();
  });
}

void RtspServerGateway::check_server(int server, bool stood_still) {
  double now = core_->clock().now();
  ServerSlot &one = *server_slot(server);
  if (stood_still) one.liveness.data_received(now);
  rtsp::Peer *peer = peer_of(server);
  if (!peer) return server_lost(server, "gone", counters_.lost_gone);
  if (draining_) return;
  bool gone = one.entry.status == ServerStatus::left; // its address may be another's
  if (std::exchange(one.reconnect_requested, false) && !gone) peer->try_connect();
  bool set_aside = peer->connections() == 0 && telemetry::steady_seconds() < one.set_aside_until;
  if (set_aside && !gone) return; // its connection went to make room: it is visited again then
  switch (one.liveness.evaluate(now, peer->open_connections() > 0, !gone)) {
  case Liveness::Verdict::probe:
    return peer->try_connect();
  case Liveness::Verdict::lost:
    return server_lost(server, "silent", counters_.lost_silent);
  case Liveness::Verdict::restarted: {
    double before = one.liveness.connection_lost_at();
    one.liveness.clear_connection_loss();
    // Notes name one session of several: beside newer ones the silence says nothing of the older.
    auto plays = core_->plays().playing_at(server);
    bool newer =
        std::ranges::any_of(plays, [&](int play) { return core_->plays().at(play).started_at >= before; });
    if (newer) return;
    // Should it hold them after all, they end there as well.
    for (int play : plays) peer->release(core_->plays().at(play).id, kCauseFailed);
    return server_lost(server, "restarted_unseen", counters_.lost_restarted, before);
  }
  case Liveness::Verdict::alive:
    return;
  }
}

// ---- Set-ups.

void RtspServerGateway::start_set_up(int play, const edge::Allocation &allocation) {
  const PlayRecord &held = core_->plays().at(play);
  ServerSlot *one = server_slot(allocation.server);
  rtsp::Peer *peer = peer_of(allocation.server);
  if (!peer || one->entry.status == ServerStatus::left || allocation.timeout <= 0) { // provably never sent
    asio::post(io_, [this, ref = core_->play_ref(play), number = allocation.number,
                     alive = std::weak_ptr<bool>(alive_)] {
      edge::SetUpResult result;
      result.outcome = Outcome::unreachable;
      if (!alive.expired()) core_->set_up_ended(ref, number, result);
    });
    return;
  }
  ++one->sent;
  rtsp::SetUpRequest set_up;
  set_up.session = held.id;
  set_up.title = core_->title_of(play);
  set_up.tier = config_.core.products[static_cast<std::size_t>(held.product)].name;
  set_up.description = viewers_.description(play);
  set_up.rung = allocation.rung;
  set_up.timeout = allocation.timeout;
  peer->set_up(set_up);
}

void RtspServerGateway::set_up_ended(int server, std::uint64_t session, rtsp::EndReason end,
                                     const rtsp::Message *message, double took) {
  SetUpEnd how = end_of(end, message);
  ServerSlot &one = *server_slot(server);
  if (how.started) one.liveness.session_message_received(core_->clock().now(), core_->clock().now());
  ++(how.started ? one.started : how.outcome == Outcome::busy ? one.refused : one.failed);
  ++counters_.outcomes[static_cast<std::size_t>(how.outcome)];
  int play = core_->plays().find(session);
  if (play < 0) return;
  const PlayRecord &held = core_->plays().at(play);
  if (held.state != PlayState::allocating || held.server != server) return;
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("set_up_ended", {{"session", session},
                                {"server", one.entry.id},
                                {"end", rtsp::kEndReasonNames[static_cast<int>(end)]},
                                {"status", message ? message->status : 0},
                                {"took", took}});
  edge::SetUpResult result;
  result.outcome = how.outcome, result.started = how.started, result.duration = took;
  if (message) {
    result.load = load_report_of(*message);
    result.description = message->body;
  }
  core_->set_up_ended(core_->play_ref(play), held.allocation, result);
}

void RtspServerGateway::cancel_set_up(int play, std::string_view) {
  const PlayRecord &held = core_->plays().at(play);
  if (ServerSlot *one = server_slot(held.server); one && one->peer) one->peer->cancel_set_up(held.id);
}

// ---- Plays that stand.

void RtspServerGateway::play_handed_over(int play) {
  const PlayRecord &held = core_->plays().at(play);
  double since = core_->clock().now() - kHandedOverWithin;
  while (!early_releases_.empty() && early_releases_.front().at < since) early_releases_.pop_front();
  auto its = std::ranges::find_if(early_releases_, [&](const EarlyRelease &one) {
    return one.session == held.id && one.server == core_->server_id(held.server);
  });
  if (its == early_releases_.end()) return;
  ++counters_.early_releases;
  asio::post(
      io_, [this, ref = core_->play_ref(play), outcome = its->outcome, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired() && core_->is_current(ref)) core_->play_ended(ref.index, outcome);
      });
  early_releases_.erase(its);
}

void RtspServerGateway::change_rung(int play, int rung) {
  const PlayRecord &held = core_->plays().at(play);
  ServerSlot *one = server_slot(held.server);
  if (rtsp::Peer *peer = peer_of(held.server); peer && one->entry.status != ServerStatus::left)
    peer->set_rung(held.id, rung);
}

void RtspServerGateway::end_play(int play, std::string_view why) {
  const PlayRecord &held = core_->plays().at(play);
  ServerSlot *one = server_slot(held.server);
  if (rtsp::Peer *peer = peer_of(held.server); peer && one->entry.status != ServerStatus::left)
    peer->release(held.id, why == "moved" ? kCauseMoved : kCauseEnded);
}

void RtspServerGateway::probe_server(int server) {
  bool left = core_->send_guard().has_left(server);
  if (rtsp::Peer *peer = left ? nullptr : peer_of(server)) return peer->probe();
  asio::post(io_, [this, server, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) core_->probe_answered(server, Outcome::unreachable, {});
  });
}

LoadReport RtspServerGateway::load_report_of(const rtsp::Message &message) {
  LoadReport report;
  if (auto text = message.find_header("X-Gauges");
      text && !given::parse_load_report(*text, ';', report).empty())
    ++counters_.malformed;
  return report;
}

// A note on a play, or its end at the server; a repeat of an end finds nothing.
void RtspServerGateway::request_received(int server, std::uint64_t session, const rtsp::Message &message) {
  int play = core_->plays().find(session);
  if (play < 0 || core_->plays().at(play).server != server ||
      core_->plays().at(play).state != PlayState::playing) {
    ++counters_.unknown_sessions;
    // A front that came back hears ends of plays before they are handed over to it.
    if (play >= 0 || message.method != "TEARDOWN") return;
    if (early_releases_.size() >= kMostEarlyEnds) early_releases_.pop_front();
    early_releases_.push_back({session, server_slot(server)->entry.id,
                               outcome_of_release(cause_of(message).value_or(kCauseFailed)),
                               core_->clock().now()});
    return;
  }
  if (message.method == "ANNOUNCE") {
    server_slot(server)->liveness.session_message_received(core_->clock().now(),
                                                           core_->plays().at(play).started_at);
    auto name = message.find_header("X-Outcome"), amount = message.find_header("P-Amount");
    auto value = amount ? given::parse_number(*amount) : std::nullopt;
    auto kind =
        std::ranges::find(kNotes, name.value_or(""), &std::pair<std::string_view, FeedbackKind>::first);
    if (!value || kind == std::end(kNotes)) {
      ++counters_.malformed;
      return;
    }
    ++counters_.feedback_messages, ++server_slot(server)->notes;
    return core_->record_feedback(play, kind->second, *value);
  }
  if (message.method != "TEARDOWN") return;
  Outcome outcome = outcome_of_release(cause_of(message).value_or(kCauseFailed));
  ++(outcome == Outcome::done    ? counters_.ended_done
     : outcome == Outcome::reset ? counters_.ended_reset
                                 : counters_.ended_left);
  core_->count_ended_play(outcome == Outcome::done ? "done" : outcome == Outcome::reset ? "reset" : "left");
  core_->play_ended(play, outcome, load_report_of(message));
}

bool RtspServerGateway::has_unsent_releases() const {
  return std::ranges::any_of(servers_with_peer_, [&](int s) {
    return server_slots_[static_cast<std::size_t>(s)]->peer->has_unwritten_releases();
  });
}

// ---- Belief beside traffic.

void RtspServerGateway::log_server_statistics() {
  if (!log_.is_enabled(telemetry::LogLevel::debug)) return;
  for (int s : core_->plays().servers_with_plays()) {
    ++counters_.servers_scanned;
    ServerSlot &one = *server_slot(s);
    ServerView view = core_->server_view(s);
    log_.debug("server", {{"server", one.entry.id},
                          {"standing", static_cast<int>(one.entry.status)},
                          {"plays", plays_at(s)},
                          {"believed_plays", view.plays},
                          {"strikes", view.consecutive_failures},
                          {"avoided", view.avoided},
                          {"may_be_cold", view.may_be_cold},
                          {"link", view.link_demand},
                          {"link_age", view.link_age},
                          {"uplink", view.uplink_demand},
                          {"connections", one.peer ? one.peer->connections() : 0},
                          {"quiet", std::min(1e6, one.liveness.silence(core_->clock().now()))},
                          {"sent", one.sent},
                          {"started", one.started},
                          {"refused", one.refused},
                          {"failed", one.failed},
                          {"notes", one.notes}});
    one.sent = one.started = one.refused = one.failed = one.notes = 0;
  }
}

} // namespace snowshore::platform
