#include "lab/server.h"
#include "hints/hints.h"
#include "lab/later.h"

#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace snowshore::lab {

namespace {

constexpr double kClaimWithin = 3;    // a play that no player comes for ends
constexpr double kFrontGone = 2.5;    // plays of a front without a report stream end after so long
constexpr double kRefreshEvery = 0.2; // of what it tells as its load

} // namespace

StandInServer::StandInServer(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day,
                             std::string id, int cell, Uplink &uplink, std::uint64_t seed)
    : io_(io), clock_(clock), trace_(trace), day_(day), id_(std::move(id)), cell_(cell), uplink_(uplink),
      chance_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {
  boost::random::uniform_real_distribution<> spread(1 - day.link_spread, 1 + day.link_spread);
  double per_weight = day.site.rate("link_per_weight");
  true_link_ = day.weight * per_weight * spread(chance_);
}

StandInServer::~StandInServer() {
  if (server_) server_->stop(true);
}

void StandInServer::start(bool cold) {
  if (server_) server_->stop(true);
  http::ServerLimits limits;
  limits.connections = 100000, limits.header_time = 60, limits.idle_time = 600;
  server_ = std::make_unique<http::Server>(
      io_, address_.port() ? address_ : http::loopback(), limits,
      [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
        on_request(request, exchange);
      });
  address_ = server_->local_endpoint();
  up_ = true, draining_ = fallen_ = false;
  started_ = cold ? clock_.read_now() : clock_.read_now() - 1000;
  cold_from_ = started_;
  arrivals_.clear();
  trace_.put("start", {{"server", id_}, {"cold", cold}, {"started", started_}});
}

void StandInServer::die() {
  if (up_) drop_plays(false), server_->stop(true);
}

// The listener stays, as a host that drops packets looks to who connects; nothing is answered.
void StandInServer::vanish() {
  if (up_) drop_plays(true);
}

void StandInServer::drop_plays(bool silent) {
  trace_.put("stop", {{"server", id_}, {"silent", silent}});
  up_ = false;
  for (auto &[id, play] : plays_) {
    trace_.put("end", {{"server", id_}, {"play", id}, {"reason", "server"}});
    if (play.asker) play.asker->on_disconnect = nullptr;
    if (play.player) play.player->on_disconnect = nullptr;
  }
  plays_.clear(), followers_.clear(), due_.clear();
}

void StandInServer::drain() { draining_ = true; }

void StandInServer::cut_streams() {
  for (Follower &follower : followers_) {
    follower.stream->on_disconnect = nullptr;
    follower.stream->reset_connection();
  }
  followers_.clear();
}

double StandInServer::noisy(double value) const {
  boost::random::normal_distribution<> noise(1, 0.02);
  return std::max(0.0, value * noise(chance_));
}

http::Response StandInServer::load_answer(int status) const {
  hints::CmsdLoad load;
  load.streams = static_cast<double>(plays_.size());
  load.link_demand = told_link_, load.uplink_demand = told_uplink_;
  load.duress = told_link_ > 1;
  http::Response response;
  response.status = status;
  response.headers.add("CMSD-Dynamic", hints::write_cmsd(id_, load));
  return response;
}

void StandInServer::on_request(const http::Request &request,
                               const std::shared_ptr<http::Exchange> &exchange) {
  if (request.path.starts_with("/media/")) return on_media(request, exchange);
  if (!up_) return; // vanished: read by nobody
  try {
    auto play = serverwire::parse_play_path(request.path);
    if (request.method == "POST" && play) return on_set_up(request, exchange);
    if (request.method == "GET" && request.path == "/load") {
      if (!mute()) exchange->respond(load_answer(200));
    } else if (request.method == "GET" && request.path.starts_with("/fronts/")) {
      on_reports(request, exchange);
    } else if (request.method == "PUT" && play) {
      int rung = serverwire::integer_parameter(request, "rung"),
          step = serverwire::integer_parameter(request, "step");
      trace_.put("rung", {{"server", id_}, {"play", *play}, {"rung", rung}});
      if (mute()) return;
      auto it = plays_.find(*play);
      if (it != plays_.end() && static_cast<std::uint64_t>(step) > it->second.step) {
        it->second.step = static_cast<std::uint64_t>(step);
        it->second.rung = rung;
        serverwire::Report report;
        report.kind = serverwire::Report::Kind::rung, report.play = *play, report.value = rung;
        report_soon(it->second.front, report, day_.note_delay);
      }
      exchange->respond(load_answer(it == plays_.end() ? 404 : 204));
    } else if (request.method == "DELETE" && play) {
      std::string reason = serverwire::text_parameter(request, "reason");
      trace_.put("withdraw", {{"server", id_}, {"play", *play}, {"reason", reason}});
      if (mute()) return;
      withdrawn_[*play] = clock_.now();
      if (plays_.contains(*play)) end_play(*play, reason == "moved" ? "moved" : "withdrawn", false);
      exchange->respond(load_answer(204));
    } else {
      exchange->respond(load_answer(404));
    }
  } catch (const std::invalid_argument &error) {
    trace_.put("malformed", {{"server", id_}, {"why", error.what()}});
    exchange->respond(load_answer(400));
  }
}

double StandInServer::pace() const {
  double warm_up = day_.site.seconds("warm_up"), least = day_.site.number("cold_share");
  double warmed = std::clamp((clock_.read_now() - cold_from_) / warm_up, 0.0, 1.0);
  return day_.places / warm_up * (least + (1 - least) * warmed);
}

bool StandInServer::falls_over() {
  double now = clock_.read_now(), window = day_.site.seconds("fall_span");
  arrivals_.push_back(now);
  while (!arrivals_.empty() && arrivals_.front() <= now - window) arrivals_.pop_front();
  if (now - cold_from_ > day_.site.seconds("warm_up")) return false;
  return static_cast<double>(arrivals_.size()) > day_.site.number("fall_multiple") * pace() * window + 2;
}

void StandInServer::on_set_up(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  serverwire::SetUpRequest s = serverwire::parse_set_up(request);
  trace_.put("set_up", {{"server", id_},
                        {"play", s.play},
                        {"title", s.title},
                        {"product", s.product},
                        {"rung", s.rung},
                        {"number", s.allocation},
                        {"front", s.front},
                        {"boot", s.boot},
                        {"expires_in", s.expires_in}});
  if (falls_over() && !fallen_) {
    fallen_ = true;
    trace_.put("fell", {{"server", id_}});
    asio::post(io_, [this] { die(); });
    return;
  }
  if (mute()) {
    exchange->on_disconnect = [this, play = s.play, number = s.allocation] {
      trace_.put("closed", {{"server", id_}, {"play", play}, {"number", number}});
    };
    return;
  }
  bool withdrawn = withdrawn_.contains(s.play);
  bool full = static_cast<double>(plays_.size()) >= day_.places ||
              (day_.full_from > 0 && told_link_ > day_.full_from);
  if (draining_ || full || withdrawn || plays_.contains(s.play)) {
    trace_.put("answer", {{"server", id_}, {"play", s.play}, {"number", s.allocation}, {"status", 503}});
    return exchange->respond(load_answer(503));
  }
  Play play;
  play.id = s.play, play.front = s.front, play.boot = s.boot, play.title = s.title, play.product = s.product;
  play.rung = s.rung, play.allocation = s.allocation;
  for (std::size_t p = 0; p < day_.terms.products.size(); ++p) {
    if (day_.terms.products[p].name == s.product) play.product_index = static_cast<int>(p);
  }
  boost::random::uniform_real_distribution<> rates(1 - day_.rate_spread, 1 + day_.rate_spread),
      times(0.5, 1.5);
  play.factor = rates(chance_);
  double takes =
      day_.set_up_time * times(chance_) * std::max(1.0, day_.places / day_.site.seconds("warm_up") / pace());
  play.expires_at = clock_.now() + s.expires_in;
  play.asker = exchange;
  exchange->on_disconnect = [this, id = s.play, number = s.allocation] {
    trace_.put("closed", {{"server", id_}, {"play", id}, {"number", number}});
    if (plays_.contains(id)) end_play(id, "withdrawn", false);
  };
  plays_[s.play] = std::move(play);
  later(io_, takes, [this, id = s.play] { finish_set_up(id); });
}

void StandInServer::finish_set_up(const std::string &id) {
  auto it = plays_.find(id);
  if (it == plays_.end() || it->second.playing || !up_) return;
  Play &play = it->second;
  if (mute()) { // it stands still now: the set-up is looked at again when it goes on
    later(io_, 0.1, [this, id] { finish_set_up(id); });
    return;
  }
  if (clock_.now() > play.expires_at) {
    trace_.put("answer", {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 504}});
    if (play.asker) play.asker->respond(load_answer(504));
    plays_.erase(it);
    return;
  }
  play.playing = true;
  play.started_at = clock_.now();
  asked_ += rate_of(play);
  told_at_ = -1; // what is told at a set-up is of now
  tick(0);
  boost::random::uniform_real_distribution<> lot(0, 1);
  double chance = lot(chance_);
  auto exchange = std::exchange(play.asker, nullptr);
  exchange->on_disconnect = nullptr;
  Json line = {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 201}};
  if (faults.nonsense) {
    line["lost"] = "nonsense";
    trace_.put("answer", line);
    http::Response nonsense;
    nonsense.headers.add("CMSD-Dynamic", "\"x\";com.snowshore-link=much;;=");
    nonsense.body = "<html>";
    exchange->respond(nonsense);
  } else if (chance < faults.lose_silent) {
    line["lost"] = "silent";
    trace_.put("answer", line);
  } else if (chance < faults.lose_silent + faults.lose_reset) {
    line["lost"] = "reset";
    trace_.put("answer", line);
    exchange->reset_connection();
  } else if (faults.late_by > 0) {
    line["late_by"] = faults.late_by;
    trace_.put("answer", line);
    later(io_, faults.late_by, [exchange, response = load_answer(201)] { exchange->respond(response); });
  } else {
    trace_.put("answer", line);
    exchange->respond(load_answer(201));
  }
}

void StandInServer::on_media(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  if (mute()) return;
  std::string id = request.path.substr(7);
  auto it = plays_.find(id);
  bool there = it != plays_.end() && it->second.playing && !it->second.claimed;
  trace_.put("media", {{"server", id_}, {"play", id}, {"there", there}});
  if (!there) {
    http::Response response;
    response.status = 404;
    return exchange->respond(response);
  }
  Play &play = it->second;
  play.claimed = true;
  play.player = exchange;
  exchange->on_disconnect = [this, id] {
    if (plays_.contains(id)) end_play(id, "done");
  };
  exchange->open_stream({});
  exchange->write("rung " + std::to_string(play.rung) + "\n");
}

void StandInServer::on_reports(const http::Request &request,
                               const std::shared_ptr<http::Exchange> &exchange) {
  Follower follower;
  follower.front = request.path.substr(8, request.path.size() - 8 - 8);
  follower.boot = serverwire::text_parameter(request, "boot");
  follower.stream = exchange;
  if (mute()) return;
  // An earlier start of the same front is gone, and its plays with it.
  std::vector<std::string> over;
  serverwire::Report hello;
  hello.kind = serverwire::Report::Kind::hello;
  hello.started_at = started_;
  for (auto &[id, play] : plays_) {
    if (play.front != follower.front) continue;
    if (play.boot != follower.boot)
      over.push_back(id);
    else if (play.playing)
      hello.plays.push_back(id);
  }
  for (const std::string &id : over) end_play(id, "front", false);
  std::erase_if(followers_, [&](Follower &f) {
    if (f.front != follower.front) return false;
    f.stream->on_disconnect = nullptr;
    f.stream->end_stream();
    return true;
  });
  exchange->on_disconnect = [this, raw = exchange.get()] {
    std::erase_if(followers_, [&](const Follower &f) { return f.stream.get() == raw; });
  };
  exchange->open_stream({});
  exchange->write(serverwire::write_report(hello));
  follower.beat_at = clock_.now();
  followers_.push_back(std::move(follower));
}

void StandInServer::end_play(const std::string &id, const char *reason, bool tell) {
  auto it = plays_.find(id);
  if (it == plays_.end()) return;
  Play play = std::move(it->second);
  plays_.erase(it);
  trace_.put("end", {{"server", id_}, {"play", id}, {"reason", reason}});
  if (play.asker) { // withdrawn before it was ready
    play.asker->on_disconnect = nullptr;
    trace_.put("answer", {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 410}});
    play.asker->respond(load_answer(410));
  }
  if (play.player) {
    play.player->on_disconnect = nullptr;
    play.player->write(std::string("end ") + reason + "\n");
    play.player->end_stream();
  }
  if (tell && play.playing) {
    serverwire::Report report;
    report.kind = serverwire::Report::Kind::end, report.play = id, report.reason = reason;
    report_soon(play.front, report, 0);
  }
}

void StandInServer::report_soon(const std::string &front, const serverwire::Report &report, double delay) {
  Due due{clock_.now() + delay + (delay > 0 ? faults.report_delay : 0), front,
          serverwire::write_report(report)};
  if (delay <= 0) { // ends are not held back
    for (Follower &follower : followers_) {
      if (follower.front == front) follower.stream->write(due.text);
    }
    return;
  }
  auto place =
      std::upper_bound(due_.begin(), due_.end(), due.at, [](double at, const Due &d) { return at < d.at; });
  due_.insert(place, std::move(due));
}

double StandInServer::rate_of(const Play &play) const {
  return day_.terms.rung_rates[static_cast<std::size_t>(play.rung)] *
         day_.terms.products[static_cast<std::size_t>(play.product_index)].rate_factor * play.factor;
}

double StandInServer::link() const { return true_link_ / faults.slower * (1 - faults.taken); }

// Shares: all plays get the same part of their rates, of the link and of the rack's uplink.
void StandInServer::tick(double passed) {
  if (!up_) return;
  double now = clock_.now();
  asked_ = 0;
  for (const auto &[id, play] : plays_) {
    if (play.playing) asked_ += rate_of(play);
  }
  if (passed <= 0 || now - told_at_ > kRefreshEvery) {
    told_link_ = noisy(asked_ / link());
    told_uplink_ = noisy(uplink_.asked / uplink_.capacity);
    told_at_ = now;
  }
  if (passed <= 0) return;
  share_ = std::min({1.0, link() / std::max(asked_, 1e-9), uplink_.capacity / std::max(uplink_.asked, 1e-9)});
  if (faults.hang) share_ = 0;
  if (mute()) return;
  std::vector<std::string> over;
  for (auto &[id, play] : plays_) {
    if (!play.playing) continue;
    bool followed = std::ranges::any_of(followers_, [&](const Follower &f) { return f.front == play.front; });
    if (!play.claimed && now - play.started_at > kClaimWithin)
      over.push_back(id);
    else if (!followed && now - std::max(play.started_at, started_) > kFrontGone &&
             now - unfollowed_since_[play.front] > kFrontGone)
      over.push_back(id);
    if (followed || !unfollowed_since_.contains(play.front)) unfollowed_since_[play.front] = now;
  }
  for (const std::string &id : over) end_play(id, "front");
  while (!due_.empty() && due_.front().at <= now) {
    for (Follower &follower : followers_) {
      if (follower.front == due_.front().front) follower.stream->write(due_.front().text);
    }
    due_.pop_front();
  }
  std::erase_if(withdrawn_, [&](const auto &w) { return now - w.second > 10; });
  for (std::size_t f = 0; f < followers_.size(); ++f) {
    Follower &follower = followers_[f];
    if (now - follower.beat_at > 0.5) {
      follower.beat_at = now;
      if (!follower.stream->write(serverwire::write_report({}))) continue;
    }
    const Play *of_front = nullptr;
    for (const auto &[id, play] : plays_) {
      if (play.playing && play.front == follower.front) of_front = &play;
    }
    if (!of_front) continue;
    bool is_short = share_ < 0.98;
    if ((is_short && now - follower.share_at >= 1) || (!is_short && follower.was_short)) {
      follower.share_at = now;
      follower.was_short = is_short;
      serverwire::Report report;
      report.kind = serverwire::Report::Kind::share, report.play = of_front->id, report.value = share_;
      report_soon(follower.front, report, day_.note_delay);
    }
    if (now - follower.note_at >= day_.note_every) {
      follower.note_at = now;
      serverwire::Report report;
      report.kind = serverwire::Report::Kind::load, report.play = of_front->id;
      report.link = noisy(asked_ / link());
      report.uplink = noisy(uplink_.asked / uplink_.capacity);
      report_soon(follower.front, report, day_.note_delay);
    }
  }
}

} // namespace snowshore::lab
