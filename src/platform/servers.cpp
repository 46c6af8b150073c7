#include "platform/servers.h"
#include "decision/connection_budget.h"
#include "decision/names.h"
#include "given/translate.h"
#include "platform/ends.h"
#include "telemetry/loop_clock.h"

#include <algorithm>

namespace snowshore::platform {

using edge::HeldPlay;
using edge::PlayState;
using telemetry::span;

namespace {

constexpr double kWatchEvery = 0.1, kStoodStill = 1;
constexpr double kHandedOverWithin = 8; // the protocol's bound on telling of an end
constexpr std::size_t kMostEarlyEnds = 1024, kMostConnections = 8; // to one server

constexpr std::pair<std::string_view, NoteKind> kNotes[] = {{"delivered", NoteKind::share_delivered},
                                                            {"rung", NoteKind::rung},
                                                            {"link", NoteKind::link_asked},
                                                            {"uplink", NoteKind::uplink_asked}};

} // namespace

Servers::Servers(asio::io_context &io, const Boot &boot, telemetry::Log &log, Viewers &viewers)
    : io_(io), boot_(boot), log_(log), viewers_(viewers), watch_timer_(io) {
  reload();
}

void Servers::reload() {
  times_.connect = times_.message = times_.probe = boot_.connect_time;
  times_.idle = boot_.idle_time;
  liveness_terms_.speaks_every = boot_.note_interval;
  limits_.set_ups_per_connection = boot_.streams;
  limits_.unsent_bytes = boot_.shares.unsent_server;
  share_descriptors();
}

// Evenly over the servers that may be connected to.
void Servers::share_descriptors() {
  limits_.connections =
      std::clamp<std::size_t>(boot_.shares.servers / std::max<std::size_t>(listed_, 1), 1, kMostConnections);
}

void Servers::count_listed(bool before, bool after) {
  if (before == after) return;
  listed_ += after ? 1 : -1;
  share_descriptors();
}

void Servers::start() { watch(); }

// ---- The list.

void Servers::listed(int server, const edge::ListedServer &entry) {
  auto place = static_cast<std::size_t>(server);
  if (place >= sites_.size()) sites_.resize(place + 1);
  if (!sites_[place]) {
    sites_[place] = std::make_unique<Site>(liveness_terms_);
    sites_[place]->serial = next_serial_++;
  }
  Site &one = *sites_[place];
  bool moved = one.known && one.entry.address != entry.address;
  bool restarted = one.known && entry.started > one.entry.started;
  bool gone = entry.standing == Standing::left;
  count_listed(one.known && one.entry.standing != Standing::left, !gone);
  one.entry = entry, one.known = true;
  if (moved && one.peer) {
    one.peer->close_all(); // its set-ups are not answered there any more
    drop_peer(server);
  }
  if (plays_at(server) == 0) return;
  log_.info("server_changed", {{"server", entry.id},
                               {"standing", static_cast<int>(entry.standing)},
                               {"moved", moved},
                               {"restarted", restarted},
                               {"plays", plays_at(server)}});
  if (!moved && !restarted && !(gone && (!one.peer || one.peer->open_connections() == 0))) return;
  asio::post(io_, [this, server, serial = one.serial, restarted, before = entry.started,
                   alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired() || !site(server) || site(server)->serial != serial) return;
    if (restarted)
      lost(server, "restarted", counters_.lost_restarted, before);
    else
      lost(server, "gone", counters_.lost_gone);
  });
}

rtsp::Peer *Servers::peer_of(int server) {
  Site *one = site(server);
  if (!one) return nullptr;
  if (!one->peer && one->entry.standing != Standing::left) open(server);
  return one->peer.get();
}

void Servers::drop_peer(int server) {
  // It goes after this turn: what it has posted is still told.
  asio::post(io_, [gone = std::shared_ptr<rtsp::Peer>(std::move(site(server)->peer))] {});
  with_peer_.remove(server);
}

void Servers::open(int server) {
  Site &one = *site(server);
  with_peer_.add(server);
  rtsp::Peer::Events events;
  events.on_set_up_ended = [this, server](std::uint64_t session, rtsp::EndReason end,
                                          const rtsp::Message *message,
                                          double took) { set_up_ended(server, session, end, message, took); };
  events.on_request = [this, server](std::uint64_t session, const rtsp::Message &message) {
    request(server, session, message);
  };
  events.on_probe_ended = [this, server](rtsp::EndReason end, const rtsp::Message *message) {
    Outcome outcome = outcome_of_probe(end, message);
    core_->probe_answered(server, outcome,
                          message && outcome == Outcome::done ? load_of(*message) : LoadReport{});
  };
  events.on_data = events.on_connected = [this, server] { site(server)->life.heard(core_->clock().now()); };
  events.on_disconnected = [this, server](rtsp::EndReason end, bool last) { down(server, end, last); };
  // Nothing is opened to a server that has left: its address may be another's by then.
  events.may_connect = [this, server] {
    if (core_->send_guard().has_left(server)) return false;
    return core_->send_guard().may_connect(server) && (connections() < boot_.shares.servers || make_room());
  };
  events.has_session = [this, server](std::uint64_t session) {
    int play = core_->plays().find(session);
    return play >= 0 && core_->plays().at(play).server == server;
  };
  one.peer = std::make_unique<rtsp::Peer>(io_, one.entry.address, times_, limits_, peer_counters_,
                                          core_->seed() ^ *one.entry.number, std::move(events));
}

void Servers::forget_server(int server) {
  if (!site(server)) return;
  count_listed(site(server)->known && site(server)->entry.standing != Standing::left, false);
  // It may be the one whose event is being told: it goes after this turn, and is not heard until then.
  if (auto &peer = site(server)->peer) peer->shut_down();
  with_peer_.remove(server);
  asio::post(io_, [gone = std::shared_ptr<Site>(std::move(sites_[static_cast<std::size_t>(server)]))] {});
}

void Servers::down(int server, rtsp::EndReason end, bool last) {
  Site &one = *site(server);
  ++counters_.downs[static_cast<std::size_t>(end)];
  double now = core_->clock().now();
  if (end == rtsp::EndReason::connection_refused) one.life.refused(now);
  if (end == rtsp::EndReason::connect_failed) one.life.not_up(now);
  // What it said on that one may be lost; it says its releases again on the next that opens.
  one.ask_again = one.ask_again || end == rtsp::EndReason::reset || end == rtsp::EndReason::closed ||
                  end == rtsp::EndReason::unreadable;
  if (last && (end == rtsp::EndReason::reset || end == rtsp::EndReason::closed)) one.life.broke(now);
  if (!last || one.entry.standing != Standing::left) return;
  lost(server, "gone", counters_.lost_gone);
}

// All connections to servers are in use: one goes, by the connection budget.
bool Servers::make_room() {
  std::vector<ConnectionUse> uses;
  for (int s : with_peer_) {
    ++counters_.servers_walked;
    const rtsp::Peer &peer = *site(s)->peer;
    // A server that has left can't be visited again: what it still holds would be given up with its
    // connection.
    if (core_->send_guard().has_left(s) && plays_at(s) > 0) continue;
    if (auto since = peer.oldest_idle_since())
      uses.push_back({s, plays_at(s), peer.open_connections(), *since});
  }
  double now = telemetry::steady_now();
  auto server = connection_to_close(uses, now);
  if (!server) return false;
  ++counters_.made_room;
  site(*server)->set_aside_until = now + ConnectionBudget::kVisitEvery;
  site(*server)->peer->close_oldest_idle();
  return true;
}

void Servers::lost(int server, const char *why, std::uint64_t &counter, double before) {
  bool any = std::ranges::any_of(core_->plays().playing_at(server),
                                 [&](int play) { return core_->plays().at(play).started_at < before; });
  if (!any) return;
  ++counter;
  core_->server_lost(server, why, before);
}

// Servers that hold plays of ours keep a connection, on which they say what concerns them; one that says
// nothing is asked whether it lives.
void Servers::watch() {
  watch_timer_.expires_after(span(kWatchEvery));
  watch_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = core_->clock().now();
    // A front that stood still itself has not listened: what servers said meanwhile is read first.
    bool stood_still = now - std::exchange(watched_at_, now) > kStoodStill;
    SortedIndices concerned = core_->plays().servers_with_plays();
    for (int s : with_peer_) concerned.add(s);
    for (int s : concerned) {
      ++counters_.servers_walked;
      if (!site(s)) continue;
      if (site(s)->peer) site(s)->peer->maintain();
      if (!site(s)) continue; // forgotten by what that brought about
      if (plays_at(s) > 0)
        watch_plays(s, stood_still);
      else if (site(s)->peer && site(s)->peer->is_unused())
        drop_peer(s);
    }
    watch();
  });
}

void Servers::watch_plays(int server, bool stood_still) {
  double now = core_->clock().now();
  Site &one = *site(server);
  if (stood_still) one.life.heard(now);
  rtsp::Peer *peer = peer_of(server);
  if (!peer) return lost(server, "gone", counters_.lost_gone);
  if (draining_) return;
  bool gone = one.entry.standing == Standing::left; // its address may be another's
  if (std::exchange(one.ask_again, false) && !gone) peer->try_connect();
  bool set_aside = peer->connections() == 0 && telemetry::steady_now() < one.set_aside_until;
  if (set_aside && !gone) return; // its connection went to make room: it is visited again then
  switch (one.life.judge(now, peer->open_connections() > 0, !gone)) {
  case Liveness::Verdict::ask:
    return peer->try_connect();
  case Liveness::Verdict::lost:
    return lost(server, "silent", counters_.lost_silent);
  case Liveness::Verdict::restarted: {
    double before = one.life.broke_at();
    one.life.settle_break();
    // Notes name one session of several: beside newer ones the silence says nothing of the older.
    auto plays = core_->plays().playing_at(server);
    bool newer =
        std::ranges::any_of(plays, [&](int play) { return core_->plays().at(play).started_at >= before; });
    if (newer) return;
    // Should it hold them after all, they end there as well.
    for (int play : plays) peer->release(core_->plays().at(play).id, kCauseFailed);
    return lost(server, "restarted_unseen", counters_.lost_restarted, before);
  }
  case Liveness::Verdict::well:
    return;
  }
}

// ---- Set-ups.

void Servers::set_up(int play, const edge::Allocation &allocation) {
  const HeldPlay &held = core_->plays().at(play);
  Site *one = site(allocation.server);
  rtsp::Peer *peer = peer_of(allocation.server);
  if (!peer || one->entry.standing == Standing::left || allocation.time_out <= 0) { // provably never sent
    asio::post(
        io_, [this, ref = core_->ref(play), number = allocation.number, alive = std::weak_ptr<bool>(alive_)] {
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
  set_up.tier = boot_.core.products[static_cast<std::size_t>(held.product)].name;
  set_up.description = viewers_.description(play);
  set_up.rung = allocation.rung;
  set_up.timeout = allocation.time_out;
  peer->set_up(set_up);
}

void Servers::set_up_ended(int server, std::uint64_t session, rtsp::EndReason end,
                           const rtsp::Message *message, double took) {
  SetUpEnd how = end_of(end, message);
  Site &one = *site(server);
  if (how.started) one.life.spoke(core_->clock().now(), core_->clock().now());
  ++(how.started ? one.started : how.outcome == Outcome::busy ? one.refused : one.failed);
  ++counters_.outcomes[static_cast<std::size_t>(how.outcome)];
  int play = core_->plays().find(session);
  if (play < 0) return;
  const HeldPlay &held = core_->plays().at(play);
  if (held.state != PlayState::allocating || held.server != server) return;
  if (log_.writes(telemetry::Level::debug))
    log_.debug("set_up_ended", {{"session", session},
                                {"server", one.entry.id},
                                {"end", rtsp::kEndReasonNames[static_cast<int>(end)]},
                                {"status", message ? message->status : 0},
                                {"took", took}});
  edge::SetUpResult result;
  result.outcome = how.outcome, result.started = how.started, result.took = took;
  if (message) {
    result.load = load_of(*message);
    result.description = message->body;
  }
  core_->set_up_ended(core_->ref(play), held.allocation, result);
}

void Servers::withdraw(int play, std::string_view) {
  const HeldPlay &held = core_->plays().at(play);
  if (Site *one = site(held.server); one && one->peer) one->peer->cancel_set_up(held.id);
}

// ---- Plays that stand.

void Servers::handed_over(int play) {
  const HeldPlay &held = core_->plays().at(play);
  double since = core_->clock().now() - kHandedOverWithin;
  while (!early_ends_.empty() && early_ends_.front().at < since) early_ends_.pop_front();
  auto its = std::ranges::find_if(early_ends_, [&](const EarlyEnd &one) {
    return one.session == held.id && one.server == core_->server_id(held.server);
  });
  if (its == early_ends_.end()) return;
  ++counters_.early_ends;
  asio::post(io_,
             [this, ref = core_->ref(play), outcome = its->outcome, alive = std::weak_ptr<bool>(alive_)] {
               if (!alive.expired() && core_->holds(ref)) core_->play_over(ref.index, outcome);
             });
  early_ends_.erase(its);
}

void Servers::step(int play, int rung) {
  const HeldPlay &held = core_->plays().at(play);
  Site *one = site(held.server);
  if (rtsp::Peer *peer = peer_of(held.server); peer && one->entry.standing != Standing::left)
    peer->set_rung(held.id, rung);
}

void Servers::end(int play, std::string_view why) {
  const HeldPlay &held = core_->plays().at(play);
  Site *one = site(held.server);
  if (rtsp::Peer *peer = peer_of(held.server); peer && one->entry.standing != Standing::left)
    peer->release(held.id, why == "moved" ? kCauseMoved : kCauseEnded);
}

void Servers::probe(int server) {
  bool left = core_->send_guard().has_left(server);
  if (rtsp::Peer *peer = left ? nullptr : peer_of(server)) return peer->probe();
  asio::post(io_, [this, server, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) core_->probe_answered(server, Outcome::unreachable, {});
  });
}

LoadReport Servers::load_of(const rtsp::Message &message) {
  LoadReport report;
  if (auto text = message.find_header("X-Gauges"); text && !given::read_load(*text, ';', report).empty())
    ++counters_.malformed;
  return report;
}

// A note on a play, or its end at the server; a repeat of an end finds nothing.
void Servers::request(int server, std::uint64_t session, const rtsp::Message &message) {
  int play = core_->plays().find(session);
  if (play < 0 || core_->plays().at(play).server != server ||
      core_->plays().at(play).state != PlayState::playing) {
    ++counters_.strangers;
    // A front that came back hears ends of plays before they are handed over to it.
    if (play >= 0 || message.method != "TEARDOWN") return;
    if (early_ends_.size() >= kMostEarlyEnds) early_ends_.pop_front();
    early_ends_.push_back({session, site(server)->entry.id,
                           outcome_of_release(cause_of(message).value_or(kCauseFailed)),
                           core_->clock().now()});
    return;
  }
  if (message.method == "ANNOUNCE") {
    site(server)->life.spoke(core_->clock().now(), core_->plays().at(play).started_at);
    auto name = message.find_header("X-Outcome"), amount = message.find_header("P-Amount");
    auto value = amount ? given::number_of(*amount) : std::nullopt;
    auto kind = std::ranges::find(kNotes, name.value_or(""), &std::pair<std::string_view, NoteKind>::first);
    if (!value || kind == std::end(kNotes)) {
      ++counters_.malformed;
      return;
    }
    ++counters_.notes, ++site(server)->notes;
    return core_->note(play, kind->second, *value);
  }
  if (message.method != "TEARDOWN") return;
  Outcome outcome = outcome_of_release(cause_of(message).value_or(kCauseFailed));
  ++(outcome == Outcome::done    ? counters_.ended_done
     : outcome == Outcome::reset ? counters_.ended_reset
                                 : counters_.ended_left);
  core_->count_ended(outcome == Outcome::done ? "done" : outcome == Outcome::reset ? "reset" : "left");
  core_->play_over(play, outcome, load_of(message));
}

bool Servers::owes_releases() const {
  return std::ranges::any_of(
      with_peer_, [&](int s) { return sites_[static_cast<std::size_t>(s)]->peer->has_unwritten_releases(); });
}

// ---- Belief beside traffic.

void Servers::report() {
  if (!log_.writes(telemetry::Level::debug)) return;
  for (int s : core_->plays().servers_with_plays()) {
    ++counters_.servers_walked;
    Site &one = *site(s);
    ServerView view = core_->view_of(s);
    log_.debug("server", {{"server", one.entry.id},
                          {"standing", static_cast<int>(one.entry.standing)},
                          {"plays", plays_at(s)},
                          {"believed_plays", view.plays},
                          {"strikes", view.strikes},
                          {"avoided", view.avoided},
                          {"may_be_cold", view.may_be_cold},
                          {"link", view.link_use},
                          {"link_age", view.link_age},
                          {"uplink", view.uplink_use},
                          {"connections", one.peer ? one.peer->connections() : 0},
                          {"quiet", std::min(1e6, one.life.quiet_for(core_->clock().now()))},
                          {"sent", one.sent},
                          {"started", one.started},
                          {"refused", one.refused},
                          {"failed", one.failed},
                          {"notes", one.notes}});
    one.sent = one.started = one.refused = one.failed = one.notes = 0;
  }
}

} // namespace snowshore::platform
