#include "platform/viewer_gateway.h"
#include "platform/outcome_mapping.h"
#include "settings/hex_id.h"
#include "settings/translation.h"
#include "telemetry/loop_clock.h"

#include <algorithm>
#include <cmath>

namespace snowshore::platform {

namespace {

constexpr std::size_t kMaxDeferredLines = 4096, kMaxUnconfirmedEnds = 256, kMaxEarlyFinishes = 1024;
// Where a connection ends within this time of a line's sending, in seconds, the viewer may not have received
// the line.
constexpr double kUnconfirmedWindow = 1;
// Seconds after which an end that no connection could carry is dropped, and after which one that a connection
// had no room for is tried again.
constexpr double kDeferredLifetime = 60, kDeferredRetryInterval = 0.02;
// Ids that are remembered after their requests.
constexpr std::size_t kMaxUsedIds = 8192;
// Size of a set-up request to a server without the description.
constexpr std::size_t kSetUpHeaderBytes = 1024;

// Parses an integer within the bounds, both included.
std::optional<int> parse_bounded_int(std::string_view text, int min, int max) {
  auto value = settings::parse_number(text);
  if (!value || *value < min || *value > max || *value != std::floor(*value)) return std::nullopt;
  return static_cast<int>(*value);
}

// Returns the value of the last name:value part with this name, or an empty text.
std::string_view find_extra(std::string_view extras, std::string_view name) {
  std::string_view found;
  settings::for_each_part(extras, ';', [&](std::string_view part) {
    if (part.size() > name.size() && part.starts_with(name) && part[name.size()] == ':')
      found = part.substr(name.size() + 1);
  });
  return found;
}

} // namespace

ViewerGateway::ViewerGateway(asio::io_context &io, const NodeConfig &config, telemetry::Log &log)
    : io_(io), config_(config), log_(log), deferred_timer_(io), used_ids_(kMaxUsedIds) {}

jsonlines::Limits ViewerGateway::limits() const {
  jsonlines::Limits limits;
  limits.connections = config_.resource_limits.viewer_descriptors;
  limits.unsent_bytes = config_.resource_limits.max_unsent_viewer_bytes;
  limits.buffered_bytes = config_.resource_limits.max_buffered_viewer_bytes;
  return limits;
}

void ViewerGateway::reload() { server_->set_limits(limits()); }

void ViewerGateway::listen() {
  jsonlines::Server::Events events;
  events.on_line = [this](Connection from, std::string_view line) { on_line(from, line); };
  events.on_closed = [this](Connection connection, const char *why) { on_closed(connection, why); };
  server_ = std::make_unique<jsonlines::Server>(io_, config_.listen, limits(), std::move(events));
}

void ViewerGateway::stop_accepting() {
  stopped_accepting_ = true;
  server_->stop_accepting();
}

void ViewerGateway::on_line(Connection from, std::string_view line) {
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("viewer_line", {{"from", from}, {"line", std::string(line.substr(0, 400))}});
  jsonlines::ParseError error;
  auto message = jsonlines::parse_message(line, error);
  if (!message) {
    ++counters_.unreadable;
    if (error.tag && core_->plays().find(*error.tag) < 0)
      return refuse_request(from, *error.tag, error.reason);
    return reject_line(from, error.reason);
  }
  const std::string &verb = message->verb;
  if (verb == "START") return handle_start(from, *message);
  if (verb == "FINISH") return handle_finish(from, *message);
  if (verb == "ECHO") {
    ++counters_.tests;
    bool passed = core_->has_list() && !draining_;
    if (passed && !first_test_at_) first_test_at_ = core_->clock().now();
    server_->send(from, jsonlines::write_echoed(message->tag, passed));
    return send_deferred_lines();
  }
  if (verb == "FINISHED")
    std::erase_if(unconfirmed_ends_, [&](const UnconfirmedEnd &end) { return end.tag == message->tag; });
  if (verb == "FINISHED" || verb == "PENDING" || verb == "ECHOED" || verb == "NOTICE") return;
  if (core_->plays().find(message->tag) < 0)
    return refuse_request(from, message->tag, "verb: not one that a viewer sends");
  reject_line(from, "verb: not one that a viewer sends");
}

std::optional<PlayRequest> ViewerGateway::parse_play_request(const jsonlines::Message &message,
                                                             bool already_running, std::string &why) const {
  auto invalid = [&](const char *text) {
    why = text;
    return std::nullopt;
  };
  auto text = [&](const char *name) {
    return message.find_option(name) ? std::string_view(*message.find_option(name)) : "";
  };
  PlayRequest request;
  auto product = std::ranges::find(config_.core.products, text("class"), &edge::CoreProduct::name);
  if (product == config_.core.products.end()) return invalid("class: not in the settings");
  request.product = static_cast<int>(product - config_.core.products.begin());
  auto left = settings::parse_number(text("left"));
  if (!left && !text("left").empty()) return invalid("left: must be a number of milliseconds");
  // For a running play the value is the rest of the play, which the time limit of the settings does not
  // bound.
  double max = already_running ? 1e12 : product->time_limit * 1000 + 1;
  if (left && (*left <= 0 || *left > max)) return invalid("left: out of range");
  if (left) request.time_left = *left / 1000;
  if (!jsonlines::parse_hex16(text("key"))) return invalid("key: must be 16 hex digits");
  std::string_view extras = text("extras");
  auto first_cell = parse_bounded_int(find_extra(extras, "home"), 0, config_.cells - 1),
       cell_count = parse_bounded_int(find_extra(extras, "copies"), 1, config_.cells),
       max_rung = parse_bounded_int(find_extra(extras, "top"), 0, config_.rungs - 1);
  if (!first_cell || !cell_count || !max_rung)
    return invalid("extras: home, copies and top must be within the limits of the settings");
  auto viewer = jsonlines::parse_hex16(find_extra(extras, "viewer"));
  if (!viewer) return invalid("extras: viewer must be 16 hex digits");
  request.first_cell = *first_cell;
  request.cell_count = *cell_count;
  request.max_rung = *max_rung;
  request.viewer = *viewer;
  if (auto hint = settings::parse_number(text("hint")); hint && *hint > 0) request.duration_hint = *hint;
  request.is_repeated = find_extra(extras, "again") == "1";
  request.is_moved = find_extra(extras, "moved") == "1";
  if (!message.description) return invalid("blob: the description is missing");
  if (message.description->size() + kSetUpHeaderBytes > jsonlines::kMaxLineBytes)
    return invalid("blob: too long for a request to a server");
  return request;
}

void ViewerGateway::handle_start(Connection from, const jsonlines::Message &message) {
  // The server that already serves the play, where the viewer hands it over; else empty.
  std::string_view handover_server;
  if (const std::string *extras = message.find_option("extras")) handover_server = find_extra(*extras, "at");
  std::string why;
  auto request = parse_play_request(message, !handover_server.empty(), why);
  int play = core_->plays().find(message.tag);
  if (play >= 0) {
    // The play was handed over before.
    if (!handover_server.empty()) return;
    // Its earlier viewer has left, and the set-up may have run.
    if (core_->plays().at(play).state == edge::PlayState::abandoned) return fail_used_id(from, message.tag);
    // A viewer whose connection broke repeats its request on a new one; the answer goes there. Any other
    // request with this tag uses the id of another play.
    PendingPlay &pending = pending_play(play);
    bool is_repeat = request && pending.open && pending.connection != from &&
                     pending.description == *message.description &&
                     core_->title_of(play) == *message.find_option("key");
    if (!is_repeat) return reject_line(from, "tag: in use by another play");
    ++counters_.moved_over;
    server_->add_open_requests(pending.connection, -1);
    pending.connection = from;
    return server_->add_open_requests(from, 1);
  }
  if (!request) return refuse_request(from, message.tag, why);
  if (used_ids_.contains(message.tag)) return fail_used_id(from, message.tag);
  // Its viewer has left before the request could be read; nobody waits for an answer.
  if (handover_server.empty() && server_->is_peer_closed(from)) {
    ++counters_.left_unread;
    return;
  }
  // A well-formed request proves that viewers use the connection, whatever its answer will be.
  server_->mark_requested(from);
  const std::string &title = *message.find_option("key");
  if (!handover_server.empty()) {
    ++counters_.handed_over;
    auto ref =
        core_->accept_handover(message.tag, title, std::string(handover_server), *request, first_test_at_);
    // Its server is no longer on the list, so the play is over.
    if (!ref) {
      ++counters_.refused_bad;
      server_->send(from, jsonlines::write_finish(message.tag, kCauseFailed));
      return;
    }
    pending_play(ref->index) = {from, {}, false};
    server_->mark_trusted(from);
    apply_early_finish(*ref);
    return;
  }
  if (stopped_accepting_ || server_->is_closing(from) || !core_->has_list() ||
      description_bytes_ + message.description->size() > config_.resource_limits.max_description_bytes) {
    ++counters_.no_room;
    server_->send(from, decline_line(message.tag, config_.longest_retry_after));
    return send_deferred_lines();
  }
  ++counters_.set_ups;
  edge::PlayRef ref = core_->add_play(message.tag, title);
  pending_play(ref.index) = {from, *message.description, true};
  description_bytes_ += message.description->size();
  server_->add_open_requests(from, 1);
  core_->submit_play(ref.index, *request);
  send_deferred_lines();
}

void ViewerGateway::fail_used_id(Connection from, std::uint64_t tag) {
  ++counters_.used_ids;
  if (log_.is_enabled(telemetry::LogLevel::info))
    log_.info("used_id", {{"session", settings::format_hex16(tag)}, {"connection", from}});
  server_->send(from, jsonlines::write_finish(tag, kCauseFailed));
}

void ViewerGateway::handle_finish(Connection from, const jsonlines::Message &message) {
  int play = core_->plays().find(message.tag);
  // The play is over or unknown. The request is confirmed; a connection without any valid request is closed.
  if (play < 0) {
    ++counters_.unknown_plays;
    if (early_finishes_.size() >= kMaxEarlyFinishes) early_finishes_.pop_front();
    early_finishes_.push_back({message.tag, core_->clock().now()});
    server_->send(from, jsonlines::write_finished(message.tag));
    if (server_->open_requests(from) == 0 && !server_->is_trusted(from)) server_->close_after_sending(from);
    return;
  }
  PendingPlay &pending = pending_play(play);
  if (pending.open && pending.connection != from)
    return reject_line(from, "tag: in use by a set-up of another connection");
  server_->send(from, jsonlines::write_finished(message.tag));
  if (pending.open) {
    ++counters_.left;
    return core_->player_left(play);
  }
  ++counters_.released;
  core_->play_released(play);
}

void ViewerGateway::apply_early_finish(const edge::PlayRef &ref) {
  double oldest_kept = core_->clock().now() - settings::kReleaseTimeLimit;
  while (!early_finishes_.empty() && early_finishes_.front().at < oldest_kept) early_finishes_.pop_front();
  auto early = std::ranges::find(early_finishes_, tag(ref.index), &EarlyFinish::tag);
  if (early == early_finishes_.end()) return;
  early_finishes_.erase(early);
  ++counters_.early_finishes;
  core_->play_released(ref.index);
}

void ViewerGateway::on_closed(Connection connection, const char *why) {
  // Requests that have no answer yet end with their connection.
  std::vector<int> open_plays;
  for (std::size_t play = 0; play < pending_plays_.size(); ++play) {
    if (pending_plays_[play].open && pending_plays_[play].connection == connection)
      open_plays.push_back(static_cast<int>(play));
  }
  if (!open_plays.empty())
    log_.info("connection_ended",
              {{"connection", connection}, {"cause", why}, {"requests", open_plays.size()}});
  for (int play : open_plays) {
    ++counters_.left;
    if (pending_play(play).open) core_->player_left(play);
  }
  // Ends that were sent just before and are not confirmed may not have arrived, so they are sent again.
  std::vector<UnconfirmedEnd> to_repeat;
  double oldest_repeated = core_->clock().now() - kUnconfirmedWindow;
  std::erase_if(unconfirmed_ends_, [&](UnconfirmedEnd &end) {
    if (end.connection != connection) return false;
    if (end.sent_at >= oldest_repeated) to_repeat.push_back(std::move(end));
    return true;
  });
  for (UnconfirmedEnd &end : to_repeat) {
    ++counters_.announced_again;
    announce(connection, end.tag, std::move(end.line));
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
  // A trusted connection with pending requests is closed only after their answers have been sent.
  if (server_->is_trusted(from) && server_->open_requests(from) > 0)
    return server_->close_after_open_requests(from);
  server_->close_after_turn(from);
}

void ViewerGateway::send_answer(int play, std::string line) {
  PendingPlay &pending = pending_play(play);
  if (!pending.open) return;
  pending.open = false;
  description_bytes_ -= pending.description.size();
  pending.description.clear();
  pending.description.shrink_to_fit();
  server_->add_open_requests(pending.connection, -1);
  if (!line.empty()) server_->send(pending.connection, std::move(line));
}

void ViewerGateway::send_set_up_result(int play, const edge::SetUpResult &result) {
  server_->mark_trusted(pending_play(play).connection);
  auto started = jsonlines::write_started(tag(play), result.description);
  send_answer(play, started ? std::move(*started) : jsonlines::write_finish(tag(play), kCauseFailed));
  // This connection may be the first trusted one since the lines were deferred.
  send_deferred_lines();
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
  // The play was moved or ended by its viewer, who needs no message.
  if (outcome == Outcome::recalled) return;
  announce(play, jsonlines::write_finish(tag(play), outcome == Outcome::done ? kCauseEnded : kCauseFailed));
}

void ViewerGateway::announce(int play, std::string line) {
  if (log_.is_enabled(telemetry::LogLevel::debug))
    log_.debug("announce", {{"to", pending_play(play).connection}, {"line", line}});
  announce(pending_play(play).connection, tag(play), std::move(line));
}

void ViewerGateway::announce(Connection to, std::uint64_t tag, std::string line) {
  for (auto connection : {std::optional(to), server_->connection_for_end(line.size())}) {
    if (connection && send_unconfirmed(*connection, tag, line)) return;
  }
  ++counters_.announced_later;
  if (deferred_lines_.size() >= kMaxDeferredLines) {
    ++counters_.announcements_dropped;
    deferred_lines_.pop_front();
  }
  deferred_lines_.push_back({tag, std::move(line), core_->clock().now() + kDeferredLifetime});
  retry_deferred_lines();
}

bool ViewerGateway::send_unconfirmed(Connection to, std::uint64_t tag, const std::string &line) {
  if (!server_->has_room_for_end(to, line.size()) || !server_->send(to, line)) return false;
  double now = core_->clock().now();
  while (!unconfirmed_ends_.empty() && (unconfirmed_ends_.front().sent_at < now - kUnconfirmedWindow ||
                                        unconfirmed_ends_.size() >= kMaxUnconfirmedEnds))
    unconfirmed_ends_.pop_front();
  unconfirmed_ends_.push_back({to, tag, line, now});
  return true;
}

void ViewerGateway::send_deferred_lines() {
  while (!deferred_lines_.empty()) {
    const DeferredLine &next = deferred_lines_.front();
    if (next.expires_at < core_->clock().now()) {
      ++counters_.announcements_dropped;
    } else {
      auto to = server_->connection_for_end(next.line.size());
      if (!to || !send_unconfirmed(*to, next.tag, next.line)) return retry_deferred_lines();
    }
    deferred_lines_.pop_front();
  }
}

void ViewerGateway::retry_deferred_lines() {
  // Without a connection, the next request on one sends them.
  if (is_retry_scheduled_ || deferred_lines_.empty() || server_->connections() == 0) return;
  is_retry_scheduled_ = true;
  deferred_timer_.expires_after(telemetry::to_timer_duration(kDeferredRetryInterval));
  deferred_timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    is_retry_scheduled_ = false;
    send_deferred_lines();
  });
}

void ViewerGateway::forget_play(int play) {
  // Clears the request of a viewer that has left.
  send_answer(play, {});
  pending_play(play) = {};
  if (core_->plays().at(play).allocation >= 0) used_ids_.add(tag(play));
}

} // namespace snowshore::platform
