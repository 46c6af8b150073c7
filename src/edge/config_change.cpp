// Changes of the configuration in service, and the state for operators.
#include "edge/edge.h"

#include <map>

namespace snowshore::edge {

namespace {

// The text for a limit that is below the number in use.
std::string conflict_text(const char *path, std::size_t used) {
  return std::string(path) + ": " + std::to_string(used) + " are in use";
}

} // namespace

// A limit below what is in use would contradict the terms of plays that the table holds.
std::optional<std::string> Edge::limit_conflict(const FrontConfig &next) {
  if (core_.plays().open_count() > next.limits.max_open_plays)
    return conflict_text("/front/limits/open_plays", core_.plays().open_count());
  if (player_server_->connections() > next.limits.players.connections)
    return conflict_text("/front/limits/connections", player_server_->connections());
  if (client_.connections() > next.limits.servers.total_connections)
    return conflict_text("/front/limits/all_connections", client_.connections());
  std::optional<std::string> reason;
  // Seats taken, by title and product.
  std::map<std::pair<int, int>, int> seats;
  core_.plays().for_each([&](int index) {
    const PlayRecord &play = core_.plays().at(index);
    if (play.state != PlayState::playing && play.state != PlayState::allocating) return;
    const ProductSettings &product = next.products[static_cast<std::size_t>(play.product)];
    std::string path = "/front/products[name=" + product.name + "]";
    if (play.rung < product.min_rung)
      reason = path + "/floor: a play is at rung " + std::to_string(play.rung);
    if (play.rung > product.max_rung) reason = path + "/top: a play is at rung " + std::to_string(play.rung);
    int taken = ++seats[{play.title, play.product}];
    if (product.seats_per_title > 0 && taken > product.seats_per_title)
      reason =
          path + "/seats: " + std::to_string(taken) + " or more are taken of title " + core_.title_of(index);
  });
  return reason;
}

std::optional<std::string> Edge::check_config(const FrontConfig &next, bool drained) {
  if (!drained) return limit_conflict(next);
  if (core_.plays().open_count() > 0)
    return "needs a drain: " + std::to_string(core_.plays().open_count()) +
           " plays are in the table (set /front/take_plays to false "
           "and wait)";
  // A new engine does not know of earlier repeated allocations, so their window must have passed.
  double window = std::max(config_.retry_window, next.retry_window);
  if (double quiet = core_.clock().read_now() - core_.last_allocation_at(); quiet < window)
    return "needs a drain: the window of repeated allocations ends in " + std::to_string(window - quiet) +
           " s";
  return std::nullopt;
}

std::optional<std::string> Edge::apply_config(const FrontConfig &next, bool drained) {
  if (auto reason = check_config(next, drained)) return reason;
  // Listening may fail, so it comes before any change.
  std::unique_ptr<http::Server> new_server;
  if (next.players != config_.players) {
    try {
      new_server = make_player_server(next);
    } catch (const std::system_error &error) {
      return std::string("/front/listen/players: ") + error.what();
    }
  }
  config_ = next;
  if (new_server) {
    std::shared_ptr<http::Server> old(std::exchange(player_server_, std::move(new_server)));
    retired_servers_.push_back(old);
    old->drain([this, alive = std::weak_ptr<bool>(alive_), old_server = old.get()] {
      if (!alive.expired())
        std::erase_if(retired_servers_, [&](const auto &one) { return one.get() == old_server; });
    });
  }
  apply_limits();
  if (!drained) {
    core_.apply_settings(core_settings(config_));
  } else {
    core_.restart_engine(core_settings(config_));
  }
  log_.info("changed", {{"drained", drained}, {"players", player_server_->local_endpoint().port()}});
  if (on_config_changed) on_config_changed();
  return std::nullopt;
}

void Edge::apply_limits() {
  player_server_->set_limits(config_.limits.players);
  operator_server_.set_limits(config_.limits.players);
  client_.set_limits(config_.limits.servers);
  report_timeouts_ = {config_.limits.report_silence, config_.limits.lost_after, config_.limits.probe_timeout};
  log_.set_level(telemetry::parse_log_level(config_.log_level));
}

config::FrontSnapshot Edge::state() {
  config::FrontSnapshot snapshot;
  snapshot.boot = identity_.boot_id;
  snapshot.uptime = core_.clock().now() - started_at_;
  snapshot.service = service_state() == ServiceState::starting                          ? "starting"
                     : service_state() == ServiceState::serving && config_.accept_plays ? "serving"
                                                                                        : "draining";
  snapshot.list_version = core_.list_version();
  if (core_.has_list()) snapshot.list_age = core_.list_age();
  // From 1: state 0 is that of unused rows.
  for (std::size_t state = 1; state < kPlayStates; ++state)
    snapshot.plays.emplace_back(name_of(static_cast<PlayState>(state)),
                                core_.plays().count(static_cast<PlayState>(state)));
  snapshot.answers = core_.answer_counts();
  for (const ListedServer &listed : core_.server_list().servers) {
    int server = core_.find_server(listed.id);
    snapshot.servers.push_back(
        {listed.id, listed.status, server >= 0 ? core_.server_view(server) : ServerView{}});
  }
  return snapshot;
}

} // namespace snowshore::edge
