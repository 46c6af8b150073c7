// The front's record changed in service, and what operators see of it.
#include "edge/edge.h"

#include <map>

namespace snowshore::edge {

namespace {

std::string held(const char *path, std::size_t in_use) {
  return std::string(path) + ": " + std::to_string(in_use) + " are in use";
}

} // namespace

// Limits under what is in use would break a rule for plays that are in hand.
std::optional<std::string> Edge::in_use(const FrontConfig &next) {
  if (core_.plays().open_count() > next.limits.max_open_plays)
    return held("/front/limits/open_plays", core_.plays().open_count());
  if (players_->connections() > next.limits.players.connections)
    return held("/front/limits/connections", players_->connections());
  if (client_.connections() > next.limits.servers.total_connections)
    return held("/front/limits/all_connections", client_.connections());
  std::optional<std::string> why;
  std::map<std::pair<int, int>, int> seats; // by title and product
  core_.plays().for_each([&](int index) {
    const PlayRecord &play = core_.plays().at(index);
    if (play.state != PlayState::playing && play.state != PlayState::allocating) return;
    const ProductSettings &terms = next.products[static_cast<std::size_t>(play.product)];
    std::string path = "/front/products[name=" + terms.name + "]";
    if (play.rung < terms.min_rung) why = path + "/floor: a play is at rung " + std::to_string(play.rung);
    if (play.rung > terms.max_rung) why = path + "/top: a play is at rung " + std::to_string(play.rung);
    int taken = ++seats[{play.title, play.product}];
    if (terms.seats_per_title > 0 && taken > terms.seats_per_title)
      why =
          path + "/seats: " + std::to_string(taken) + " or more are taken of title " + core_.title_of(index);
  });
  return why;
}

std::optional<std::string> Edge::refusal_of(const FrontConfig &next, bool drained) {
  if (!drained) return in_use(next);
  if (core_.plays().open_count() > 0)
    return "needs a drain: " + std::to_string(core_.plays().open_count()) +
           " plays are in hand (set /front/take_plays false, "
           "then wait)";
  // A module made anew has no memory of further allocations: their window must have passed.
  double window = std::max(record_.retry_window, next.retry_window);
  if (double quiet = core_.clock().read_now() - core_.last_allocation_at(); quiet < window)
    return "needs a drain: the window of further allocations ends in " + std::to_string(window - quiet) +
           " s";
  return std::nullopt;
}

std::optional<std::string> Edge::change(const FrontConfig &next, bool drained) {
  if (auto why = refusal_of(next, drained)) return why;
  std::unique_ptr<http::Server> moved; // what may fail comes first
  if (next.players != record_.players) {
    try {
      moved = listen(next);
    } catch (const std::system_error &error) {
      return std::string("/front/listen/players: ") + error.what();
    }
  }
  record_ = next;
  if (moved) {
    std::shared_ptr<http::Server> old(std::exchange(players_, std::move(moved)));
    retired_.push_back(old);
    old->drain([this, alive = std::weak_ptr<bool>(alive_), raw = old.get()] {
      if (!alive.expired()) std::erase_if(retired_, [&](const auto &one) { return one.get() == raw; });
    });
  }
  take_limits();
  if (!drained) {
    core_.apply_settings(core_terms(record_));
  } else {
    core_.restart_engine(core_terms(record_));
  }
  log_.info("changed", {{"drained", drained}, {"players", players_->local_endpoint().port()}});
  if (on_changed) on_changed();
  return std::nullopt;
}

void Edge::take_limits() {
  players_->set_limits(record_.limits.players);
  operators_.set_limits(record_.limits.players);
  client_.set_limits(record_.limits.servers);
  report_times_ = {record_.limits.report_silence, record_.limits.lost_after, record_.limits.probe_timeout};
  log_.set_level(telemetry::parse_log_level(record_.log_level));
}

site::FrontSnapshot Edge::state() {
  site::FrontSnapshot out;
  out.boot = identity_.boot;
  out.uptime = core_.clock().now() - opened_;
  out.service = service() == Service::starting                          ? "starting"
                : service() == Service::serving && record_.accept_plays ? "serving"
                                                                        : "draining";
  out.list_version = core_.list_version();
  if (core_.has_list()) out.list_age = core_.list_age();
  for (std::size_t s = 1; s < kPlayStates; ++s)
    out.plays.emplace_back(name_of(static_cast<PlayState>(s)),
                           core_.plays().count(static_cast<PlayState>(s)));
  out.answers = core_.answer_counts();
  for (const ListedServer &one : core_.server_list().servers) {
    int server = core_.find_server(one.id);
    out.servers.push_back({one.id, one.status, server >= 0 ? core_.server_view(server) : ServerView{}});
  }
  return out;
}

} // namespace snowshore::edge
