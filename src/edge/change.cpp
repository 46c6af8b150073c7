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
std::optional<std::string> Edge::in_use(const FrontRecord &next) {
  if (plays_.open() > next.limits.open_plays) return held("/front/limits/open_plays", plays_.open());
  if (players_->connections() > next.limits.players.connections)
    return held("/front/limits/connections", players_->connections());
  if (client_.connections() > next.limits.servers.in_all)
    return held("/front/limits/all_connections", client_.connections());
  std::optional<std::string> why;
  std::map<std::pair<int, int>, int> seats; // by title and product
  plays_.each([&](int index) {
    const HeldPlay &play = plays_.at(index);
    if (play.state != PlayState::playing && play.state != PlayState::allocating) return;
    const ProductTerms &terms = next.products[static_cast<std::size_t>(play.product)];
    std::string path = "/front/products[name=" + terms.name + "]";
    if (play.rung < terms.floor) why = path + "/floor: a play is at rung " + std::to_string(play.rung);
    if (play.rung > terms.top) why = path + "/top: a play is at rung " + std::to_string(play.rung);
    int taken = ++seats[{play.title, play.product}];
    if (terms.seats > 0 && taken > terms.seats)
      why =
          path + "/seats: " + std::to_string(taken) + " or more are taken of title " + titles_.id(play.title);
  });
  return why;
}

std::optional<std::string> Edge::refusal_of(const FrontRecord &next, bool drained) {
  if (!drained) return in_use(next);
  if (plays_.open() > 0)
    return "needs a drain: " + std::to_string(plays_.open()) +
           " plays are in hand (set /front/take_plays false, "
           "then wait)";
  // A module made anew has no memory of further allocations: their window must have passed.
  double window = std::max(record_.further_span, next.further_span);
  if (double quiet = clock_.exact() - last_allocation_; quiet < window)
    return "needs a drain: the window of further allocations ends in " + std::to_string(window - quiet) +
           " s";
  return std::nullopt;
}

std::optional<std::string> Edge::change(const FrontRecord &next, bool drained) {
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
    decide([&] { front_->given_changed(record_.given); });
  } else {
    make_module();
  }
  log_.info("changed", {{"drained", drained}, {"players", players_->local().port()}});
  if (on_changed) on_changed();
  return std::nullopt;
}

void Edge::take_limits() {
  players_->set_limits(record_.limits.players);
  operators_.set_limits(record_.limits.players);
  client_.set_limits(record_.limits.servers);
  report_times_ = {record_.limits.report_silence, record_.limits.lost_after, record_.limits.probe_time};
  log_.set_level(telemetry::level_of(record_.log_level));
}

// The module, at the start and where the shape of what it knows has changed and nothing is in hand.
void Edge::make_module() {
  timers_ = {};
  kinds_ = {};
  for (const std::string &kind : record_.kinds) kinds_.index_of(kind);
  front_ = make_(record_.given, seed_, clock_.now(), *this);
  if (std::exchange(has_list_, false)) {
    double taken = list_at_;
    on_list(list_);
    list_at_ = taken;
  }
}

site::FrontState Edge::state() {
  site::FrontState out;
  out.boot = identity_.boot;
  double now = clock_.now();
  out.uptime = now - opened_;
  out.service = service_ == Service::starting                        ? "starting"
                : service_ == Service::serving && record_.take_plays ? "serving"
                                                                     : "draining";
  out.list_version = list_version_;
  if (has_list_) out.list_age = now - list_at_;
  for (std::size_t s = 1; s < kPlayStates; ++s)
    out.plays.emplace_back(name_of(static_cast<PlayState>(s)), plays_.count(static_cast<PlayState>(s)));
  out.answers = answers_so_far();
  decide([&] {
    for (const ListedServer &one : list_.servers) {
      int server = servers_.find(one.id);
      out.servers.push_back({one.id, one.standing, server >= 0 ? front_->view_of(server) : ServerView{}});
    }
  });
  return out;
}

} // namespace snowshore::edge
