#include "platform/viewers.h"
#include "given/translate.h"
#include "platform/ends.h"

#include <algorithm>
#include <cmath>

namespace snowshore::platform {

namespace {

constexpr double kAnnounceWithin = 8; // the protocol's bound on what could not be said at once
constexpr std::size_t kMostLater = 4096, kMostSaid = 256;
constexpr double kMayBeUnheard = 1;      // seconds, between a line written and the end of its connection
constexpr std::size_t kSetUpHead = 1024; // of a set-up towards a server, without its description

// A name:value figure of extras, as a whole number within bounds.
std::optional<int> figure(std::string_view text, int least, int most) {
  auto value = given::parse_number(text);
  if (!value || *value < least || *value > most || *value != std::floor(*value)) return std::nullopt;
  return static_cast<int>(*value);
}

std::string_view extra(std::string_view extras, std::string_view name) {
  std::string_view found;
  given::for_each_part(extras, ';', [&](std::string_view part) {
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == ':')
      found = part.substr(name.size() + 1);
  });
  return found;
}

} // namespace

ViewerGateway::ViewerGateway(asio::io_context &io, const NodeConfig &boot, telemetry::Log &log)
    : io_(io), config_(boot), log_(log) {}

jsonlines::Limits ViewerGateway::limits() const {
  jsonlines::Limits limits;
  limits.connections = config_.resource_limits.viewer_descriptors;
  limits.unsent_bytes = config_.resource_limits.max_unsent_viewer_bytes;
  return limits;
}

void ViewerGateway::reload() { server_->set_limits(limits()); }

void ViewerGateway::listen() {
  jsonlines::Server::Events events;
  events.on_line = [this](Connection from, std::string_view line) { on_line(from, line); };
  events.on_closed = [this](Connection which, const char *why) { on_closed(which, why); };
  server_ = std::make_unique<jsonlines::Server>(io_, config_.listen, limits(), std::move(events));
}

void ViewerGateway::stop_accepting() {
  stopped_accepting_ = true;
  server_->stop_accepting();
}

void ViewerGateway::on_line(Connection from, std::string_view line) {
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("viewer_line", {{"from", from}, {"line", std::string(line.substr(0, 400))}});
  jsonlines::ParseError fault;
  auto message = jsonlines::parse_message(line, fault);
  if (!message) {
    ++counters_.unreadable;
    if (fault.tag && core_->plays().find(*fault.tag) < 0)
      return refuse_request(from, *fault.tag, fault.reason);
    return reject_line(from, fault.reason);
  }
  const std::string &verb = message->verb;
  if (verb == "START") return start(from, *message);
  if (verb == "FINISH") return finish(from, *message);
  if (verb == "ECHO") {
    ++counters_.tests;
    server_->send(from, jsonlines::write_echoed(message->tag, core_->has_list() && !draining_));
    return send_deferred_lines();
  }
  if (verb == "FINISHED")
    std::erase_if(unconfirmed_ends_, [&](const UnconfirmedEnd &one) { return one.tag == message->tag; });
  if (verb == "FINISHED" || verb == "PENDING" || verb == "ECHOED" || verb == "NOTICE") return;
  if (core_->plays().find(message->tag) < 0)
    return refuse_request(from, message->tag, "verb: none that a viewer says");
  reject_line(from, "verb: none that a viewer says");
}

std::optional<PlayRequest> ViewerGateway::parse_play_request(const jsonlines::Message &message, bool stands,
                                                             std::string &why) const {
  auto bad_term = [&](const char *text) {
    why = text;
    return std::nullopt;
  };
  auto text = [&](const char *name) {
    return message.find_option(name) ? std::string_view(*message.find_option(name)) : "";
  };
  PlayRequest terms;
  auto product = std::ranges::find(config_.core.products, text("class"), &edge::CoreProduct::name);
  if (product == config_.core.products.end()) return bad_term("class: none of the settings'");
  terms.product = static_cast<int>(product - config_.core.products.begin());
  auto left = given::parse_number(text("left"));
  if (!left && !text("left").empty()) return bad_term("left: milliseconds are due");
  // One that stands already says how long it may go on.
  double most = stands ? 1e12 : product->time_limit * 1000 + 1;
  if (left && (*left <= 0 || *left > most)) return bad_term("left: out of range");
  if (left) terms.time_left = *left / 1000;
  if (!jsonlines::parse_hex16(text("key"))) return bad_term("key: 16 hex digits are due");
  std::string_view extras = text("extras");
  auto home = figure(extra(extras, "home"), 0, config_.cells - 1),
       copies = figure(extra(extras, "copies"), 1, config_.cells),
       top = figure(extra(extras, "top"), 0, config_.rungs - 1);
  if (!home || !copies || !top) return bad_term("extras: home, copies and top within the settings are due");
  auto viewer = jsonlines::parse_hex16(extra(extras, "viewer"));
  if (!viewer) return bad_term("extras: a viewer of 16 hex digits is due");
  terms.first_cell = *home, terms.cell_count = *copies, terms.max_rung = *top, terms.viewer = *viewer;
  if (auto hint = given::parse_number(text("hint")); hint && *hint > 0) terms.duration_hint = *hint;
  terms.is_repeated = extra(extras, "again") == "1";
  terms.is_moved = extra(extras, "moved") == "1";
  if (!message.description) return bad_term("blob: a description is due");
  if (message.description->size() + kSetUpHead > jsonlines::kMaxLineBytes)
    return bad_term("blob: too long for a server");
  return terms;
}

void ViewerGateway::start(Connection from, const jsonlines::Message &message) {
  std::string_view at; // it stands there already
  if (const std::string *extras = message.find_option("extras")) at = extra(*extras, "at");
  std::string why;
  auto terms = parse_play_request(message, !at.empty(), why);
  int held = core_->plays().find(message.tag);
  if (held >= 0) {
    if (!at.empty()) return; // it names what is held already
    // Sent once more on a new connection after its own broke: the answer goes there. Else it is another's id.
    PendingPlay &door = pending_play(held);
    bool same = terms && door.open && door.connection != from && door.description == *message.description &&
                core_->title_of(held) == *message.find_option("key");
    if (!same) return reject_line(from, "tag: a play in hand has it");
    ++counters_.moved_over;
    server_->add_open_requests(door.connection, -1);
    door.connection = from;
    return server_->add_open_requests(from, 1);
  }
  if (!terms) return refuse_request(from, message.tag, why);
  const std::string &title = *message.find_option("key");
  if (!at.empty()) {
    ++counters_.handed_over;
    auto ref = core_->accept_handover(message.tag, title, std::string(at), *terms);
    if (!ref) { // its server has gone from the list: the play is over
      ++counters_.refused_bad;
      server_->send(from, jsonlines::write_finish(message.tag, kCauseFailed));
      return;
    }
    pending_play(ref->index) = {from, {}, false};
    server_->mark_trusted(from);
    return;
  }
  if (stopped_accepting_ || server_->is_closing(from) || !core_->has_list() ||
      description_bytes_ + message.description->size() > config_.resource_limits.max_description_bytes) {
    ++counters_.no_room;
    server_->send(from, decline_line(message.tag, config_.longest_retry_after));
    return;
  }
  ++counters_.set_ups;
  edge::PlayRef ref = core_->add_play(message.tag, title);
  pending_play(ref.index) = {from, *message.description, true};
  description_bytes_ += message.description->size();
  server_->add_open_requests(from, 1);
  core_->submit_play(ref.index, *terms);
  send_deferred_lines();
}

void ViewerGateway::finish(Connection from, const jsonlines::Message &message) {
  int held = core_->plays().find(message.tag);
  if (held < 0) { // over already, or never heard of: heard, and a connection without anything good goes
    ++counters_.unknown_plays;
    server_->send(from, jsonlines::write_finished(message.tag));
    if (server_->open_requests(from) == 0 && !server_->is_trusted(from)) server_->close_after_sending(from);
    return;
  }
  PendingPlay &door = pending_play(held);
  if (door.open && door.connection != from)
    return reject_line(from, "tag: another connection's set-up has it");
  server_->send(from, jsonlines::write_finished(message.tag));
  if (door.open) {
    ++counters_.left;
    return core_->player_left(held);
  }
  ++counters_.released;
  core_->play_released(held);
}

void ViewerGateway::on_closed(Connection which, const char *why) {
  std::vector<int> open; // given up with their connection
  for (std::size_t play = 0; play < pending_plays_.size(); ++play) {
    if (pending_plays_[play].open && pending_plays_[play].connection == which)
      open.push_back(static_cast<int>(play));
  }
  if (!open.empty())
    log_.info("connection_ended", {{"connection", which}, {"cause", why}, {"requests", open.size()}});
  for (int play : open) {
    ++counters_.left;
    if (pending_play(play).open) core_->player_left(play);
  }
  // Ends said on it a moment ago and not confirmed may not have been heard.
  std::vector<UnconfirmedEnd> unheard;
  double since = core_->clock().now() - kMayBeUnheard;
  std::erase_if(unconfirmed_ends_, [&](UnconfirmedEnd &one) {
    if (one.to != which) return false;
    if (one.at >= since) unheard.push_back(std::move(one));
    return true;
  });
  for (UnconfirmedEnd &one : unheard) {
    ++counters_.announced_again;
    announce(which, one.tag, std::move(one.line));
  }
}

void ViewerGateway::refuse_request(Connection to, std::uint64_t tag, const std::string &why) {
  ++counters_.refused_bad;
  if (log_.is_enabled(telemetry::LogLevel::debug)) log_.debug("bad_request", {{"cause", why}});
  server_->send(to, jsonlines::write_finish(tag, kCauseBadRequest));
  if (server_->open_requests(to) == 0 && !server_->is_trusted(to)) server_->close_after_sending(to);
}

void ViewerGateway::reject_line(Connection from, const std::string &why) {
  ++counters_.refused_bad;
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("bad_viewer", {{"cause", why}, {"held", server_->open_requests(from)}});
  // One bad line does not cost the plays of a good connection their answers: it goes once they have them.
  if (server_->is_trusted(from) && server_->open_requests(from) > 0)
    return server_->close_after_open_requests(from);
  server_->close_after_turn(from);
}

// The one answer of a play.
void ViewerGateway::send_answer(int play, std::string line) {
  PendingPlay &door = pending_play(play);
  if (!door.open) return;
  door.open = false;
  description_bytes_ -= door.description.size();
  door.description.clear();
  door.description.shrink_to_fit();
  server_->add_open_requests(door.connection, -1);
  if (!line.empty()) server_->send(door.connection, std::move(line));
}

void ViewerGateway::send_set_up_result(int play, const edge::SetUpResult &result) {
  server_->mark_trusted(pending_play(play).connection);
  send_answer(play, jsonlines::write_started(tag(play), result.description));
  send_deferred_lines(); // it may be the first good connection again
}

std::string ViewerGateway::decline_line(std::uint64_t tag, double retry_after) const {
  std::optional<std::uint64_t> wait;
  if (config_.may_advise_return && retry_after > 0)
    wait = static_cast<std::uint64_t>(std::ceil(retry_after * 1000));
  return jsonlines::write_finish(tag, kCauseDeclined, wait);
}

void ViewerGateway::send_decline(int play, double retry_after) {
  send_answer(play, decline_line(tag(play), retry_after));
}

void ViewerGateway::send_failure(int play) {
  send_answer(play, jsonlines::write_finish(tag(play), kCauseFailed));
}

void ViewerGateway::send_move(int play) { announce(play, jsonlines::write_move(tag(play))); }

void ViewerGateway::send_end(int play, Outcome outcome) {
  if (outcome == Outcome::recalled) return; // moved, or ended by its viewer: it is owed nothing
  announce(play, jsonlines::write_finish(tag(play), outcome == Outcome::done ? kCauseEnded : kCauseFailed));
}

void ViewerGateway::announce(int play, std::string line) {
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("announce", {{"to", pending_play(play).connection}, {"line", line}});
  announce(pending_play(play).connection, tag(play), std::move(line));
}

// On the play's own connection, on any good one, or on the next that comes.
void ViewerGateway::announce(Connection to, std::uint64_t tag, std::string line) {
  double now = core_->clock().now();
  while (!unconfirmed_ends_.empty() &&
         (unconfirmed_ends_.front().at < now - kMayBeUnheard || unconfirmed_ends_.size() >= kMostSaid))
    unconfirmed_ends_.pop_front();
  auto other = server_->latest_trusted();
  for (auto on : {std::optional(to), other}) {
    if (!on || !server_->send(*on, line)) continue;
    unconfirmed_ends_.push_back({*on, tag, std::move(line), now});
    return;
  }
  ++counters_.announced_later;
  if (deferred_lines_.size() >= kMostLater) deferred_lines_.pop_front();
  deferred_lines_.push_back({std::move(line), now + kAnnounceWithin});
}

void ViewerGateway::send_deferred_lines() {
  while (!deferred_lines_.empty()) {
    auto to = server_->latest_trusted();
    if (!to) return;
    DeferredLine next = std::move(deferred_lines_.front());
    deferred_lines_.pop_front();
    if (next.until >= core_->clock().now()) server_->send(*to, std::move(next.line));
  }
}

void ViewerGateway::forget_play(int play) {
  send_answer(play, {}); // of one whose viewer left
  pending_play(play) = {};
}

} // namespace snowshore::platform
