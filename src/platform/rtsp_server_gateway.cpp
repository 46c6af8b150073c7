#include "platform/rtsp_server_gateway.h"
#include "decision/connection_budget.h"
#include "decision/handover_age.h"
#include "decision/setting_names.h"
#include "platform/outcome_mapping.h"
#include "settings/hex_id.h"
#include "settings/translation.h"
#include "telemetry/loop_clock.h"

#include <algorithm>

namespace snowshore::platform {

using edge::PlayRecord;
using edge::PlayState;
using telemetry::to_timer_duration;

namespace {

// Seconds.
constexpr double kCheckInterval = 0.1;
constexpr std::size_t kMaxEarlyReleases = 1024, kMaxConnectionsPerServer = 8;

// Values of a note's X-Outcome header.
constexpr std::string_view kRungNote = "rung";
constexpr std::pair<std::string_view, FeedbackKind> kFeedbackNames[] = {
    {"delivered", FeedbackKind::share_delivered},
    {kRungNote, FeedbackKind::rung},
    {"link", FeedbackKind::link_demand},
    {"uplink", FeedbackKind::uplink_demand}};

std::string text_of(const asio::ip::tcp::endpoint &address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

RtspServerGateway::RtspServerGateway(asio::io_context &io, const NodeConfig &config, telemetry::Log &log,
                                     ViewerGateway &viewers)
    : io_(io), config_(config), log_(log), viewers_(viewers), check_timer_(io) {
  reload();
}

void RtspServerGateway::reload() {
  timeouts_.connect = timeouts_.message = timeouts_.probe = config_.connect_timeout;
  timeouts_.idle = config_.idle_timeout;
  liveness_settings_.message_interval = config_.feedback_interval;
  limits_.set_ups_per_connection = config_.set_ups_per_connection;
  limits_.unsent_bytes = config_.resource_limits.max_unsent_server_bytes;
  limits_.half_closed = config_.resource_limits.half_closed_descriptors;
  share_descriptors();
}

void RtspServerGateway::share_descriptors() {
  limits_.connections = std::clamp<std::size_t>(config_.resource_limits.server_descriptors /
                                                    std::max<std::size_t>(listed_count_, 1),
                                                1, kMaxConnectionsPerServer);
}

void RtspServerGateway::count_listed(bool before, bool after) {
  if (before == after) return;
  listed_count_ += after ? 1 : -1;
  share_descriptors();
}

void RtspServerGateway::start_liveness_checks() { check_servers(); }

// ---- Changes of the server list.

void RtspServerGateway::update_server(int server, const edge::ListedServer &entry) {
  auto slot_index = static_cast<std::size_t>(server);
  if (slot_index >= server_slots_.size()) server_slots_.resize(slot_index + 1);
  if (!server_slots_[slot_index]) {
    server_slots_[slot_index] = std::make_unique<ServerSlot>(liveness_settings_);
    server_slots_[slot_index]->serial = next_serial_++;
  }
  ServerSlot &slot = *server_slots_[slot_index];
  bool moved = slot.known && slot.entry.address != entry.address;
  bool restarted = slot.known && entry.started_at > slot.entry.started_at;
  bool has_left = entry.status == ServerStatus::left;
  count_listed(slot.known && slot.entry.status != ServerStatus::left, !has_left);
  // Plays that were handed over may be older than the start that the list tells now.
  if (entry.started_at > slot.entry.started_at && plays_at(server) > 0) slot.handovers_due_at = 0;
  slot.entry = entry;
  slot.known = true;
  if (moved && slot.peer) {
    // Set-ups sent to the old address will not be answered.
    slot.peer->close_all();
    close_peer(server);
  }
  if (moved) {
    // What was observed concerns the process at the old address.
    slot.liveness = Liveness(liveness_settings_);
    slot.process = {};
    slot.named_handover_at = slot.handover_named_at = -1;
  }
  if (has_left) {
    // Posted, so that the engine knows of the change when set-ups end.
    asio::post(io_, [this, server, serial = slot.serial, alive = std::weak_ptr<bool>(alive_)] {
      if (alive.expired() || !server_slot(server) || server_slot(server)->serial != serial) return;
      if (rtsp::Peer *peer = server_slot(server)->peer.get(); peer && core_->send_guard().has_left(server))
        peer->close_connecting();
      if (server_slot(server)) end_unconfirmed_plays(server);
    });
  }
  if (plays_at(server) == 0) return;
  log_.info("server_changed", {{"server", entry.id},
                               {"address", text_of(entry.address)},
                               {"standing", static_cast<int>(entry.status)},
                               {"moved", moved},
                               {"restarted", restarted},
                               {"plays", plays_at(server)}});
  if (!moved && !restarted) return;
  asio::post(io_, [this, server, serial = slot.serial, restarted, before = entry.started_at,
                   alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || !server_slot(server) || server_slot(server)->serial != serial) return;
    if (restarted)
      server_lost(server, "restarted", counters_.lost_restarted,
                  [before](const PlayRecord &play) { return play.started_at < before; });
    else
      server_lost(server, "gone", counters_.lost_gone);
  });
}

rtsp::Peer *RtspServerGateway::peer_of(int server) {
  ServerSlot *slot = server_slot(server);
  if (!slot) return nullptr;
  if (!slot->peer && slot->entry.status != ServerStatus::left) make_peer(server);
  return slot->peer.get();
}

void RtspServerGateway::close_peer(int server) {
  // Destroyed after the current handler, so that callbacks that it has posted still run.
  asio::post(io_, [closed_peer = std::shared_ptr<rtsp::Peer>(std::move(server_slot(server)->peer))] {});
  servers_with_peer_.remove(server);
}

void RtspServerGateway::make_peer(int server) {
  ServerSlot &slot = *server_slot(server);
  servers_with_peer_.add(server);
  rtsp::Peer::Events events;
  events.on_set_up_ended = [this, server](std::uint64_t session, rtsp::EndReason end,
                                          const rtsp::Message *message, double duration) {
    set_up_ended(server, session, end, message, duration);
  };
  events.on_request = [this, server](std::uint64_t session, const rtsp::Message &message) {
    request_received(server, session, message);
  };
  events.on_probe_ended = [this, server](rtsp::EndReason end, const rtsp::Message *message) {
    Outcome outcome = probe_outcome(end, message);
    core_->probe_answered(server, outcome,
                          message && outcome == Outcome::done ? load_report_of(*message) : LoadReport{});
  };
  events.on_data = [this, server](double connected_for) {
    ServerSlot &heard = *server_slot(server);
    heard.liveness.data_received(core_->clock().now());
    double now = core_->clock().read_now();
    heard.process.heard(now - connected_for, now);
  };
  events.on_connected = [this, server] {
    ServerSlot &connected = *server_slot(server);
    connected.liveness.data_received(core_->clock().now());
    if (plays_at(server) == 0) return;
    log_.info("server_connected", {{"server", connected.entry.id},
                                   {"address", text_of(connected.peer->address())},
                                   {"plays", plays_at(server)}});
  };
  events.on_disconnected = [this, server](rtsp::EndReason end, bool last) {
    connection_ended(server, end, last);
  };
  // No connection is opened to a server that has left: its address may belong to another server by then.
  events.may_connect = [this, server] {
    if (core_->send_guard().has_left(server)) return false;
    return core_->send_guard().may_connect(server) &&
           (connections() < config_.resource_limits.server_descriptors || close_connection_for_budget());
  };
  events.has_session = [this, server](std::uint64_t session) {
    int play = core_->plays().find(session);
    return play >= 0 && have_same_address(server, core_->plays().at(play).server);
  };
  slot.peer = std::make_unique<rtsp::Peer>(io_, slot.entry.address, timeouts_, limits_, peer_counters_,
                                           core_->seed() ^ *slot.entry.stable_id, std::move(events));
}

void RtspServerGateway::forget_server(int server) {
  if (!server_slot(server)) return;
  count_listed(server_slot(server)->known && server_slot(server)->entry.status != ServerStatus::left, false);
  // The call may come from a callback of this very peer, so the slot is destroyed after the current handler;
  // the peer is shut down at once and calls nothing until then.
  if (auto &peer = server_slot(server)->peer) peer->shut_down();
  servers_with_peer_.remove(server);
  asio::post(io_, [forgotten_slot = std::shared_ptr<ServerSlot>(
                       std::move(server_slots_[static_cast<std::size_t>(server)]))] {});
}

void RtspServerGateway::connection_ended(int server, rtsp::EndReason end, bool last) {
  ServerSlot &slot = *server_slot(server);
  ++counters_.disconnects[static_cast<std::size_t>(end)];
  double now = core_->clock().now();
  if (plays_at(server) > 0)
    log_.info("server_disconnected", {{"server", slot.entry.id},
                                      {"cause", rtsp::kEndReasonNames[static_cast<std::size_t>(end)]},
                                      {"last", last},
                                      {"plays", plays_at(server)}});
  if (end == rtsp::EndReason::connection_refused) slot.liveness.connection_refused(now);
  if (end == rtsp::EndReason::connect_failed) slot.liveness.connection_timed_out(now);
  // Messages that the server sent on that connection may be lost. It repeats its releases on the next
  // connection, so one is opened.
  if (end == rtsp::EndReason::reset || end == rtsp::EndReason::closed || end == rtsp::EndReason::unreadable) {
    slot.reconnect_requested = true;
    slot.messages_lost_at = now;
  }
  if (last && (end == rtsp::EndReason::reset || end == rtsp::EndReason::closed))
    slot.liveness.connection_lost(now);
  if (!last || slot.entry.status != ServerStatus::left) return;
  server_lost(server, "gone", counters_.lost_gone);
}

bool RtspServerGateway::close_connection_for_budget() {
  std::vector<ServerConnections> candidates;
  for (int s : servers_with_peer_) {
    ++counters_.servers_scanned;
    const rtsp::Peer &peer = *server_slot(s)->peer;
    // No connection can be opened again to a server that has left: closing the last one would end its plays.
    if (core_->send_guard().has_left(s) && plays_at(s) > 0) continue;
    if (auto idle_since = peer.oldest_idle_since())
      candidates.push_back({s, plays_at(s), peer.open_connections(), *idle_since});
  }
  double now = telemetry::steady_seconds();
  auto server = connection_to_close(candidates, now);
  if (!server) return false;
  ++counters_.closed_for_budget;
  server_slot(*server)->set_aside_until = now + ConnectionBudget::kRevisitInterval;
  server_slot(*server)->peer->close_oldest_idle(plays_at(*server) > 0);
  return true;
}

void RtspServerGateway::server_lost(int server, const char *reason, std::uint64_t &counter,
                                    const std::function<bool(const PlayRecord &)> &condition) {
  std::vector<int> lost;
  for (int play : core_->plays().playing_at(server)) {
    if (!condition || condition(core_->plays().at(play))) lost.push_back(play);
  }
  end_lost_plays(server, reason, counter, lost);
}

void RtspServerGateway::end_lost_plays(int server, const char *reason, std::uint64_t &counter,
                                       const std::vector<int> &lost) {
  if (lost.empty()) return;
  ++counter;
  // If the process at the address holds a play after all, the release ends it there too.
  rtsp::Peer *peer = peer_for_release(server);
  if (peer && peer->open_connections() > 0) {
    for (int play : lost) peer->release(core_->plays().at(play).id, kCauseFailed);
  }
  core_->server_lost(server, reason, lost);
}

void RtspServerGateway::end_unconfirmed_plays(int server) {
  const ServerSlot &slot = *server_slot(server);
  if (!slot.peer || slot.peer->open_connections() == 0)
    return server_lost(server, "gone", counters_.lost_gone);
  server_lost(server, "replaced", counters_.lost_replaced,
              [&](const PlayRecord &play) { return !is_confirmed(slot, play); });
}

bool RtspServerGateway::is_confirmed(const ServerSlot &slot, const PlayRecord &play) {
  auto age = slot.peer->oldest_connection_age();
  if (!age) return false;
  // Where all open connections were established after the process was heard last, they may lead to another
  // one.
  double connected_since = core_->clock().read_now() - *age;
  return slot.process.heard_at() >= connected_since && slot.process.includes(play.held_at);
}

rtsp::Peer *RtspServerGateway::peer_for_release(int server) {
  ServerSlot *slot = server_slot(server);
  if (!slot) return nullptr;
  if (!core_->send_guard().has_left(server)) return peer_of(server);
  if (slot->peer && slot->peer->open_connections() > 0) return slot->peer.get();
  int holder = core_->servers().find_at(slot->entry.address);
  return holder >= 0 && holder != server && server_slot(holder) ? peer_of(holder) : nullptr;
}

// A connection is kept to each server that holds plays of this front end, for its messages; a server that
// sends nothing is probed.
void RtspServerGateway::check_servers() {
  check_timer_.expires_after(to_timer_duration(kCheckInterval));
  check_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    SortedIndices servers_to_check = core_->plays().servers_with_plays();
    for (int s : servers_with_peer_) servers_to_check.add(s);
    for (int s : servers_to_check) {
      ++counters_.servers_scanned;
      if (!server_slot(s)) continue;
      if (server_slot(s)->peer) server_slot(s)->peer->maintain();
      // Callbacks of maintain() may have forgotten the server.
      if (!server_slot(s)) continue;
      if (plays_at(s) > 0)
        check_server(s);
      else if (server_slot(s)->peer && server_slot(s)->peer->is_unused())
        close_peer(s);
    }
    check_servers();
  });
}

void RtspServerGateway::check_server(int server) {
  double now = core_->clock().now();
  ServerSlot &slot = *server_slot(server);
  rtsp::Peer *peer = peer_of(server);
  if (!peer) return server_lost(server, "gone", counters_.lost_gone);
  // What arrived while this process did not run is still unread. A pause is no sign of life, nor of silence.
  if (core_->is_catching_up()) return;
  judge_handovers(server);
  if (draining_) return;
  // The address of a server that has left may belong to another server.
  bool has_left = slot.entry.status == ServerStatus::left;
  if (has_left) end_unconfirmed_plays(server);
  // The last play may have been the only reason to keep the server.
  if (plays_at(server) == 0 || !server_slot(server)) return;
  if (std::exchange(slot.reconnect_requested, false) && !has_left) peer->try_connect();
  bool set_aside = peer->connections() == 0 && telemetry::steady_seconds() < slot.set_aside_until;
  // Its connection was closed for the budget; the server is contacted again at set_aside_until.
  if (set_aside && !has_left) return;
  switch (slot.liveness.evaluate(now, peer->open_connections() > 0, !has_left)) {
  case Liveness::Verdict::probe:
    return peer->try_connect();
  case Liveness::Verdict::lost:
    return server_lost(server, "silent", counters_.lost_silent);
  case Liveness::Verdict::restarted: {
    double before = slot.liveness.connection_lost_at();
    auto is_older = [before](const PlayRecord &play) { return play.started_at < before; };
    auto older = static_cast<std::size_t>(std::ranges::count_if(
        core_->plays().playing_at(server), [&](int play) { return is_older(core_->plays().at(play)); }));
    bool is_conclusive = slot.liveness.notes_exclude_older(plays_at(server) - older, older);
    // More notes may come, within the time that the protocol allows.
    if (!is_conclusive && now - before < liveness_settings_.max_silence) return;
    slot.liveness.clear_connection_loss();
    if (is_conclusive) server_lost(server, "restarted_unseen", counters_.lost_restarted, is_older);
    return;
  }
  case Liveness::Verdict::alive:
    return;
  }
}

// ---- Set-ups.

void RtspServerGateway::start_set_up(int play, const edge::Allocation &allocation) {
  const PlayRecord &record = core_->plays().at(play);
  ServerSlot *slot = server_slot(allocation.server);
  rtsp::Peer *peer = peer_of(allocation.server);
  // The request is certainly not sent in these cases.
  if (!peer || slot->entry.status == ServerStatus::left || allocation.timeout <= 0) {
    asio::post(io_, [this, ref = core_->play_ref(play), number = allocation.number,
                     alive = std::weak_ptr<bool>(alive_)] {
      edge::SetUpResult result;
      result.outcome = Outcome::unreachable;
      if (!alive.expired()) core_->set_up_ended(ref, number, result);
    });
    return;
  }
  ++slot->sent;
  rtsp::SetUpRequest set_up;
  set_up.session = record.id;
  set_up.title = core_->title_of(play);
  set_up.tier = config_.core.products[static_cast<std::size_t>(record.product)].name;
  set_up.description = viewers_.description(play);
  set_up.rung = allocation.rung;
  set_up.timeout = allocation.timeout;
  peer->set_up(set_up);
}

void RtspServerGateway::set_up_ended(int server, std::uint64_t session, rtsp::EndReason end,
                                     const rtsp::Message *message, double duration) {
  SetUpOutcome ended = set_up_outcome(end, message);
  ServerSlot &slot = *server_slot(server);
  if (ended.started && !jsonlines::can_carry_description(message->body)) {
    // The session runs, but its viewer cannot be told of it.
    ++counters_.descriptions_rejected;
    slot.peer->release(session, kCauseFailed);
    ended = {Outcome::error};
  }
  if (ended.started) slot.liveness.session_message_received(core_->clock().now(), core_->clock().now());
  ++(ended.started ? slot.started : ended.outcome == Outcome::busy ? slot.refused : slot.failed);
  ++counters_.outcomes[static_cast<std::size_t>(ended.outcome)];
  int play = core_->plays().find(session);
  if (play < 0) return;
  const PlayRecord &record = core_->plays().at(play);
  if (record.state != PlayState::allocating || record.server != server) return;
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("set_up_ended", {{"session", session},
                                {"server", slot.entry.id},
                                {"end", rtsp::kEndReasonNames[static_cast<int>(end)]},
                                {"status", message ? message->status : 0},
                                {"took", duration}});
  edge::SetUpResult result;
  result.outcome = ended.outcome;
  result.started = ended.started;
  result.duration = duration;
  if (message) {
    result.load = load_report_of(*message);
    result.description = message->body;
  }
  core_->set_up_ended(core_->play_ref(play), record.allocation, result);
}

void RtspServerGateway::cancel_set_up(int play, std::string_view) {
  const PlayRecord &record = core_->plays().at(play);
  if (ServerSlot *slot = server_slot(record.server); slot && slot->peer) slot->peer->cancel_set_up(record.id);
}

// ---- Running plays.

void RtspServerGateway::play_handed_over(int play) {
  PlayRecord &record = core_->plays().at(play);
  double now = core_->clock().now();
  if (ServerSlot *slot = server_slot(record.server)) {
    auto connected_for = slot->peer ? slot->peer->oldest_connection_age() : std::nullopt;
    record.handover.reach = !connected_for                                     ? HandoverReach::unconnected
                            : *connected_for < HandoverLimits::kEstablishedFor ? HandoverReach::just_connected
                                                                               : HandoverReach::connected;
    double due_at = record.handover.at + HandoverLimits::kConfirmWithin;
    if (slot->handovers_due_at < 0 || due_at < slot->handovers_due_at) slot->handovers_due_at = due_at;
  }
  double oldest_kept = now - settings::kReleaseTimeLimit;
  while (!early_releases_.empty() && early_releases_.front().at < oldest_kept) early_releases_.pop_front();
  auto release = std::ranges::find_if(early_releases_, [&](const EarlyRelease &early) {
    return early.session == record.id && (early.server == core_->server_id(record.server) ||
                                          early.address == core_->servers().at(record.server).address);
  });
  if (release == early_releases_.end()) return;
  ++counters_.early_releases;
  confirm_handover(play);
  asio::post(io_, [this, ref = core_->play_ref(play), outcome = release->outcome,
                   alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired() && core_->is_current(ref)) core_->play_ended(ref.index, outcome);
  });
  early_releases_.erase(release);
}

void RtspServerGateway::confirm_handover(int play) {
  PlayRecord &record = core_->plays().at(play);
  if (record.handover.state == HandoverState::none) return;
  ServerSlot &slot = *server_slot(record.server);
  slot.named_handover_at = std::max(slot.named_handover_at, record.handover.at);
  slot.handover_named_at = core_->clock().now();
  if (record.handover.state == HandoverState::confirmed) return;
  record.handover.state = HandoverState::confirmed;
  ++counters_.handovers_confirmed;
}

void RtspServerGateway::rung_note_received(int play) {
  const edge::HandoverRecord &handover = core_->plays().at(play).handover;
  // A play of this run, or one whose rung this run has changed, or named by an earlier note.
  if (handover.state == HandoverState::none || handover.state == HandoverState::confirmed ||
      handover.rung_changed || core_->clock().now() - handover.at > HandoverLimits::kConfirmWithin)
    return;
  ++counters_.handovers_rung_noted;
  rung_notes_.note_received(handover.reach);
}

HandoverState RtspServerGateway::state_of_overdue_handover(const ServerSlot &slot,
                                                           const PlayRecord &play) const {
  HandoverEvidence evidence;
  // What the server said before its last start was said by another process.
  evidence.is_sibling_held = slot.handover_named_at > slot.entry.started_at &&
                             play.handover.at <= slot.named_handover_at + HandoverLimits::kSameRunWindow;
  evidence.is_rung_note_missing =
      rung_notes_.is_expected(play.handover.reach) && slot.messages_lost_at < play.handover.at;
  return judge_handover(evidence);
}

void RtspServerGateway::judge_handovers(int server) {
  ServerSlot &slot = *server_slot(server);
  double now = core_->clock().now();
  if (slot.handovers_due_at < 0 || now < slot.handovers_due_at) return;
  double next_due_at = -1;
  std::vector<int> over;
  for (int play : core_->plays().playing_at(server)) {
    PlayRecord &record = core_->plays().at(play);
    if (record.handover.state != HandoverState::unconfirmed ||
        !may_predate_server(record.handover.at, slot.entry.started_at))
      continue;
    double due_at = record.handover.at + HandoverLimits::kConfirmWithin;
    if (now < due_at) {
      next_due_at = next_due_at < 0 ? due_at : std::min(next_due_at, due_at);
      continue;
    }
    record.handover.state = state_of_overdue_handover(slot, record);
    if (record.handover.state == HandoverState::presumed)
      ++counters_.handovers_presumed;
    else
      over.push_back(play);
  }
  slot.handovers_due_at = next_due_at;
  counters_.handovers_ended += over.size();
  end_lost_plays(server, "handover_unconfirmed", counters_.lost_restarted, over);
}

void RtspServerGateway::change_rung(int play, int rung) {
  PlayRecord &record = core_->plays().at(play);
  record.handover.rung_changed = true;
  ServerSlot *slot = server_slot(record.server);
  if (rtsp::Peer *peer = peer_of(record.server); peer && slot->entry.status != ServerStatus::left)
    peer->set_rung(record.id, rung);
}

void RtspServerGateway::end_play(int play, std::string_view reason) {
  const PlayRecord &record = core_->plays().at(play);
  if (rtsp::Peer *peer = peer_for_release(record.server))
    peer->release(record.id, reason == "moved" ? kCauseMoved : kCauseEnded);
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
      text && !settings::parse_load_report(*text, ';', report).empty())
    ++counters_.malformed;
  return report;
}

bool RtspServerGateway::have_same_address(int server, int other) {
  if (server == other) return true;
  return server_slot(server) && server_slot(other) &&
         server_slot(server)->entry.address == server_slot(other)->entry.address;
}

// A repeated release names an unknown session.
void RtspServerGateway::request_received(int server, std::uint64_t session, const rtsp::Message &message) {
  int play = core_->plays().find(session);
  if (play < 0) return keep_early_release(server, session, message);
  const PlayRecord &record = core_->plays().at(play);
  bool is_release = message.method == "TEARDOWN";
  if (!have_same_address(server, record.server)) return count_unapplied(server, play, message.method);
  if (record.state == PlayState::playing) {
    if (message.method == "ANNOUNCE") return note_received(play, message);
    if (is_release) return release_received(play, message);
    return count_unapplied(server, play, message.method);
  }
  // The set-up was sent on a connection of another server id with the same address.
  ServerSlot *slot = server_slot(record.server);
  if (is_release && record.state == PlayState::allocating && slot->peer &&
      slot->peer->release_received(session, message))
    return;
  count_unapplied(server, play, message.method);
}

// After a restart, releases may arrive before the viewers hand their plays over.
void RtspServerGateway::keep_early_release(int server, std::uint64_t session, const rtsp::Message &message) {
  ++counters_.unknown_sessions;
  if (message.method != "TEARDOWN") return;
  if (early_releases_.size() >= kMaxEarlyReleases) early_releases_.pop_front();
  const ServerSlot &slot = *server_slot(server);
  early_releases_.push_back({session, slot.entry.id, slot.entry.address,
                             release_outcome(release_cause(message).value_or(kCauseFailed)),
                             core_->clock().now()});
}

void RtspServerGateway::confirm_play(int play) {
  PlayRecord &record = core_->plays().at(play);
  ServerSlot &slot = *server_slot(record.server);
  double now = core_->clock().read_now();
  slot.liveness.note_received(core_->clock().now(), record.started_at);
  slot.process.heard(record.held_at, now);
  record.held_at = now;
}

void RtspServerGateway::note_received(int play, const rtsp::Message &message) {
  if (message.find_header("X-Outcome") == kRungNote) rung_note_received(play);
  confirm_play(play);
  confirm_handover(play);
  auto name = message.find_header("X-Outcome"), amount = message.find_header("P-Amount");
  auto value = amount ? settings::parse_number(*amount) : std::nullopt;
  auto kind =
      std::ranges::find(kFeedbackNames, name.value_or(""), &std::pair<std::string_view, FeedbackKind>::first);
  if (!value || kind == std::end(kFeedbackNames)) {
    ++counters_.malformed;
    return;
  }
  ++counters_.feedback_messages;
  ++server_slot(core_->plays().at(play).server)->notes;
  core_->record_feedback(play, kind->second, *value);
}

void RtspServerGateway::release_received(int play, const rtsp::Message &message) {
  Outcome outcome = release_outcome(release_cause(message).value_or(kCauseFailed));
  confirm_handover(play);
  ++(outcome == Outcome::done    ? counters_.ended_done
     : outcome == Outcome::reset ? counters_.ended_reset
                                 : counters_.ended_left);
  core_->count_ended_play(outcome == Outcome::done ? "done" : outcome == Outcome::reset ? "reset" : "left");
  core_->play_ended(play, outcome, load_report_of(message));
}

// A message about a session that this front end holds has no effect: the session is at another server or does
// not run.
void RtspServerGateway::count_unapplied(int server, int play, std::string_view method) {
  const PlayRecord &record = core_->plays().at(play);
  bool elsewhere = !have_same_address(server, record.server);
  ++(elsewhere                            ? counters_.unapplied_elsewhere
     : record.state == PlayState::playing ? counters_.malformed
                                          : counters_.unapplied_not_running);
  log_.info("message_unapplied",
            {{"session", settings::format_hex16(record.id)},
             {"method", method},
             {"from", server_slot(server)->entry.id},
             {"address", text_of(server_slot(server)->entry.address)},
             {"server", record.server >= 0 ? core_->server_id(record.server) : ""},
             {"state", edge::name_of(record.state)},
             {"cause", elsewhere                            ? "session is at another server"
                       : record.state == PlayState::playing ? "no message that servers send"
                                                            : "session does not run"}});
}

void RtspServerGateway::stop_receiving() {
  for (int s : servers_with_peer_) server_slot(s)->peer->stop_receiving();
}

bool RtspServerGateway::has_unsent_releases() const {
  return std::ranges::any_of(servers_with_peer_, [&](int s) {
    return server_slots_[static_cast<std::size_t>(s)]->peer->has_unwritten_releases();
  });
}

// ---- Statistics.

void RtspServerGateway::log_server_statistics() {
  if (!log_.is_enabled(telemetry::LogLevel::debug)) return;
  for (int s : core_->plays().servers_with_plays()) {
    ++counters_.servers_scanned;
    ServerSlot &slot = *server_slot(s);
    ServerView view = core_->server_view(s);
    log_.debug("server", {{"server", slot.entry.id},
                          {"standing", static_cast<int>(slot.entry.status)},
                          {"plays", plays_at(s)},
                          {"believed_plays", view.plays},
                          {"strikes", view.consecutive_failures},
                          {"avoided", view.avoided},
                          {"may_be_cold", view.may_be_cold},
                          {"link", view.link_demand},
                          {"link_age", view.link_age},
                          {"uplink", view.uplink_demand},
                          {"connections", slot.peer ? slot.peer->connections() : 0},
                          {"quiet", std::min(1e6, slot.liveness.silence(core_->clock().now()))},
                          {"sent", slot.sent},
                          {"started", slot.started},
                          {"refused", slot.refused},
                          {"failed", slot.failed},
                          {"notes", slot.notes}});
    slot.sent = slot.started = slot.refused = slot.failed = slot.notes = 0;
  }
}

} // namespace snowshore::platform
