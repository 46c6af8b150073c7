#include "lab/server.h"
#include "hints/hints.h"
#include "lab/delayed_call.h"

#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace snowshore::lab {

namespace {

// The number of seconds after which a play ends if no player has connected to it.
constexpr double kClaimTimeout = 3;
// The number of seconds after which a front end's plays end if it has no report stream.
constexpr double kSubscriberTimeout = 2.5;
// The interval in seconds at which the load figures in answers are updated.
constexpr double kLoadInterval = 0.2;

} // namespace

SimulatedServer::SimulatedServer(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace,
                                 const Day &day, std::string id, int cell, Uplink &uplink, std::uint64_t seed)
    : io_(io), clock_(clock), trace_(trace), day_(day), id_(std::move(id)), cell_(cell), uplink_(uplink),
      random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)) {
  boost::random::uniform_real_distribution<> spread(1 - day.link_spread, 1 + day.link_spread);
  double per_weight = day.site.rate("link_per_weight");
  actual_link_ = day.weight * per_weight * spread(random_);
}

SimulatedServer::~SimulatedServer() {
  if (server_) server_->stop(true);
}

void SimulatedServer::start(bool cold) {
  if (server_) server_->stop(true);
  http::ServerLimits limits;
  limits.connections = 100000;
  limits.header_time = 60;
  limits.idle_time = 600;
  server_ = std::make_unique<http::Server>(
      io_, address_.port() ? address_ : http::loopback(), limits,
      [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
        on_request(request, exchange);
      });
  asio::error_code ignored;
  reserved_port_.close(ignored);
  address_ = server_->local_endpoint();
  up_ = true;
  draining_ = failed_ = false;
  started_ = cold ? clock_.read_now() : clock_.read_now() - 1000;
  cold_from_ = started_;
  arrivals_.clear();
  trace_.write("start", {{"server", id_}, {"cold", cold}, {"started", started_}});
}

void SimulatedServer::crash() {
  if (up_) {
    drop_plays(false);
    server_->stop(true);
    reserve_port();
  }
}

// While nothing listens, the system may give the port to an outgoing connection. A bound socket prevents that
// and still refuses connections.
void SimulatedServer::reserve_port() {
  asio::error_code ignored;
  reserved_port_.open(address_.protocol(), ignored);
  reserved_port_.set_option(asio::socket_base::reuse_address(true), ignored);
  reserved_port_.bind(address_, ignored);
}

// The listener stays open but answers nothing, which approximates a host that drops all packets.
void SimulatedServer::vanish() {
  if (up_) drop_plays(true);
}

void SimulatedServer::drop_plays(bool silent) {
  trace_.write("stop", {{"server", id_}, {"silent", silent}});
  up_ = false;
  for (auto &[id, play] : plays_) {
    trace_.write("end", {{"server", id_}, {"play", id}, {"reason", "server"}});
    if (play.set_up) play.set_up->on_disconnect = nullptr;
    if (play.media) play.media->on_disconnect = nullptr;
  }
  plays_.clear();
  subscribers_.clear();
  pending_reports_.clear();
}

void SimulatedServer::drain() { draining_ = true; }

void SimulatedServer::cut_report_streams() {
  for (Subscriber &subscriber : subscribers_) {
    subscriber.stream->on_disconnect = nullptr;
    subscriber.stream->reset_connection();
  }
  subscribers_.clear();
}

double SimulatedServer::with_noise(double value) const {
  boost::random::normal_distribution<> noise(1, 0.02);
  return std::max(0.0, value * noise(random_));
}

http::Response SimulatedServer::make_response(int status) const {
  hints::CmsdLoad load;
  load.streams = static_cast<double>(plays_.size());
  load.link_demand = reported_link_;
  load.uplink_demand = reported_uplink_;
  load.duress = reported_link_ > 1;
  http::Response response;
  response.status = status;
  response.headers.add("CMSD-Dynamic", hints::write_cmsd(id_, load));
  return response;
}

void SimulatedServer::on_request(const http::Request &request,
                                 const std::shared_ptr<http::Exchange> &exchange) {
  if (request.path.starts_with("/media/")) return on_media(request, exchange);
  if (!up_) return; // the server has vanished: requests stay unanswered
  try {
    auto play = serverwire::parse_play_path(request.path);
    if (request.method == "POST" && play) return on_set_up(request, exchange);
    if (request.method == "GET" && request.path == "/load") {
      if (!unresponsive()) exchange->respond(make_response(200));
    } else if (request.method == "GET" && request.path.starts_with("/fronts/")) {
      on_reports(request, exchange);
    } else if (request.method == "PUT" && play) {
      int rung = serverwire::integer_parameter(request, "rung"),
          step = serverwire::integer_parameter(request, "step");
      trace_.write("rung", {{"server", id_}, {"play", *play}, {"rung", rung}});
      if (unresponsive()) return;
      auto it = plays_.find(*play);
      if (it != plays_.end() && static_cast<std::uint64_t>(step) > it->second.step) {
        it->second.step = static_cast<std::uint64_t>(step);
        it->second.rung = rung;
        serverwire::Report report;
        report.kind = serverwire::Report::Kind::rung;
        report.play = *play;
        report.value = rung;
        send_report(it->second.front, report, day_.report_delay);
      }
      exchange->respond(make_response(it == plays_.end() ? 404 : 204));
    } else if (request.method == "DELETE" && play) {
      std::string reason = serverwire::text_parameter(request, "reason");
      trace_.write("withdraw", {{"server", id_}, {"play", *play}, {"reason", reason}});
      if (unresponsive()) return;
      withdrawn_[*play] = clock_.now();
      if (plays_.contains(*play)) end_play(*play, reason == "moved" ? "moved" : "withdrawn", false);
      exchange->respond(make_response(204));
    } else {
      exchange->respond(make_response(404));
    }
  } catch (const std::invalid_argument &error) {
    trace_.write("malformed", {{"server", id_}, {"why", error.what()}});
    exchange->respond(make_response(400));
  }
}

double SimulatedServer::set_up_rate() const {
  double warm_up = day_.site.seconds("warm_up"), cold_share = day_.site.number("cold_share");
  double warm_share = std::clamp((clock_.read_now() - cold_from_) / warm_up, 0.0, 1.0);
  return day_.capacity / warm_up * (cold_share + (1 - cold_share) * warm_share);
}

bool SimulatedServer::is_overloaded() {
  double now = clock_.read_now(), window = day_.site.seconds("fall_span");
  arrivals_.push_back(now);
  while (!arrivals_.empty() && arrivals_.front() <= now - window) arrivals_.pop_front();
  if (now - cold_from_ > day_.site.seconds("warm_up")) return false;
  return static_cast<double>(arrivals_.size()) >
         day_.site.number("fall_multiple") * set_up_rate() * window + 2;
}

void SimulatedServer::on_set_up(const http::Request &request,
                                const std::shared_ptr<http::Exchange> &exchange) {
  serverwire::SetUpRequest set_up = serverwire::parse_set_up(request);
  trace_.write("set_up", {{"server", id_},
                          {"play", set_up.play},
                          {"title", set_up.title},
                          {"product", set_up.product},
                          {"rung", set_up.rung},
                          {"number", set_up.allocation},
                          {"front", set_up.front},
                          {"boot", set_up.boot},
                          {"expires_in", set_up.expires_in}});
  if (is_overloaded() && !failed_) {
    failed_ = true;
    trace_.write("fell", {{"server", id_}});
    asio::post(io_, [this] { crash(); });
    return;
  }
  if (unresponsive()) {
    exchange->on_disconnect = [this, play = set_up.play, number = set_up.allocation] {
      trace_.write("closed", {{"server", id_}, {"play", play}, {"number", number}});
    };
    return;
  }
  bool withdrawn = withdrawn_.contains(set_up.play);
  bool full = static_cast<double>(plays_.size()) >= day_.capacity ||
              (day_.full_from > 0 && reported_link_ > day_.full_from);
  if (draining_ || full || withdrawn || plays_.contains(set_up.play)) {
    trace_.write("answer",
                 {{"server", id_}, {"play", set_up.play}, {"number", set_up.allocation}, {"status", 503}});
    return exchange->respond(make_response(503));
  }
  Play play;
  play.id = set_up.play;
  play.front = set_up.front;
  play.boot = set_up.boot;
  play.title = set_up.title;
  play.product = set_up.product;
  play.rung = set_up.rung;
  play.allocation = set_up.allocation;
  for (std::size_t p = 0; p < day_.front_config.products.size(); ++p) {
    if (day_.front_config.products[p].name == set_up.product) play.product_index = static_cast<int>(p);
  }
  boost::random::uniform_real_distribution<> rate_distribution(1 - day_.rate_spread, 1 + day_.rate_spread),
      time_distribution(0.5, 1.5);
  play.rate_factor = rate_distribution(random_);
  double duration = day_.set_up_time * time_distribution(random_) *
                    std::max(1.0, day_.capacity / day_.site.seconds("warm_up") / set_up_rate());
  play.expires_at = clock_.now() + set_up.expires_in;
  play.set_up = exchange;
  exchange->on_disconnect = [this, id = set_up.play, number = set_up.allocation] {
    trace_.write("closed", {{"server", id_}, {"play", id}, {"number", number}});
    if (plays_.contains(id)) end_play(id, "withdrawn", false);
  };
  plays_[set_up.play] = std::move(play);
  call_after(io_, duration, [this, id = set_up.play] { finish_set_up(id); });
}

void SimulatedServer::finish_set_up(const std::string &id) {
  auto it = plays_.find(id);
  if (it == plays_.end() || it->second.playing || !up_) return;
  Play &play = it->second;
  if (unresponsive()) { // a hanging server continues the set-up once it responds again
    call_after(io_, 0.1, [this, id] { finish_set_up(id); });
    return;
  }
  if (clock_.now() > play.expires_at) {
    trace_.write("answer", {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 504}});
    if (play.set_up) play.set_up->respond(make_response(504));
    plays_.erase(it);
    return;
  }
  play.playing = true;
  play.started_at = clock_.now();
  demand_ += rate_of(play);
  // The load that is reported with the answer is current.
  reported_at_ = -1;
  tick(0);
  boost::random::uniform_real_distribution<> uniform(0, 1);
  double draw = uniform(random_);
  auto exchange = std::exchange(play.set_up, nullptr);
  exchange->on_disconnect = nullptr;
  Json line = {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 201}};
  if (faults.malformed_answers) {
    line["lost"] = "nonsense";
    trace_.write("answer", line);
    http::Response malformed;
    malformed.headers.add("CMSD-Dynamic", "\"x\";com.snowshore-link=much;;=");
    malformed.body = "<html>";
    exchange->respond(malformed);
  } else if (draw < faults.dropped_share) {
    line["lost"] = "silent";
    trace_.write("answer", line);
  } else if (draw < faults.dropped_share + faults.reset_share) {
    line["lost"] = "reset";
    trace_.write("answer", line);
    exchange->reset_connection();
  } else if (faults.answer_delay > 0) {
    line["late_by"] = faults.answer_delay;
    trace_.write("answer", line);
    call_after(io_, faults.answer_delay,
               [exchange, response = make_response(201)] { exchange->respond(response); });
  } else {
    trace_.write("answer", line);
    exchange->respond(make_response(201));
  }
}

void SimulatedServer::on_media(const http::Request &request,
                               const std::shared_ptr<http::Exchange> &exchange) {
  if (unresponsive()) return;
  std::string id = request.path.substr(7);
  auto it = plays_.find(id);
  bool available = it != plays_.end() && it->second.playing && !it->second.claimed;
  trace_.write("media", {{"server", id_}, {"play", id}, {"there", available}});
  if (!available) {
    http::Response response;
    response.status = 404;
    return exchange->respond(response);
  }
  Play &play = it->second;
  play.claimed = true;
  play.media = exchange;
  exchange->on_disconnect = [this, id] {
    if (plays_.contains(id)) end_play(id, "done");
  };
  exchange->open_stream({});
  exchange->write("rung " + std::to_string(play.rung) + "\n");
}

void SimulatedServer::on_reports(const http::Request &request,
                                 const std::shared_ptr<http::Exchange> &exchange) {
  Subscriber subscriber;
  subscriber.front = request.path.substr(8, request.path.size() - 8 - 8);
  subscriber.boot = serverwire::text_parameter(request, "boot");
  subscriber.stream = exchange;
  if (unresponsive()) return;
  // Plays of an earlier process of the same front end are ended, because that process is gone.
  std::vector<std::string> ended;
  serverwire::Report hello;
  hello.kind = serverwire::Report::Kind::hello;
  hello.started_at = started_;
  for (auto &[id, play] : plays_) {
    if (play.front != subscriber.front) continue;
    if (play.boot != subscriber.boot)
      ended.push_back(id);
    else if (play.playing)
      hello.plays.push_back(id);
  }
  for (const std::string &id : ended) end_play(id, "front", false);
  std::erase_if(subscribers_, [&](Subscriber &other) {
    if (other.front != subscriber.front) return false;
    other.stream->on_disconnect = nullptr;
    other.stream->end_stream();
    return true;
  });
  exchange->on_disconnect = [this, raw = exchange.get()] {
    std::erase_if(subscribers_, [&](const Subscriber &other) { return other.stream.get() == raw; });
  };
  exchange->open_stream({});
  exchange->write(serverwire::write_report(hello));
  subscriber.last_keepalive = clock_.now();
  subscribers_.push_back(std::move(subscriber));
}

void SimulatedServer::end_play(const std::string &id, const char *reason, bool notify_front) {
  auto it = plays_.find(id);
  if (it == plays_.end()) return;
  Play play = std::move(it->second);
  plays_.erase(it);
  trace_.write("end", {{"server", id_}, {"play", id}, {"reason", reason}});
  if (play.set_up) { // the play ended before its set-up was answered
    play.set_up->on_disconnect = nullptr;
    trace_.write("answer", {{"server", id_}, {"play", id}, {"number", play.allocation}, {"status", 410}});
    play.set_up->respond(make_response(410));
  }
  if (play.media) {
    play.media->on_disconnect = nullptr;
    play.media->write(std::string("end ") + reason + "\n");
    play.media->end_stream();
  }
  if (notify_front && play.playing) {
    serverwire::Report report;
    report.kind = serverwire::Report::Kind::end;
    report.play = id;
    report.reason = reason;
    send_report(play.front, report, 0);
  }
}

void SimulatedServer::send_report(const std::string &front, const serverwire::Report &report, double delay) {
  PendingReport pending{clock_.now() + delay + (delay > 0 ? faults.report_delay : 0), front,
                        serverwire::write_report(report)};
  if (delay <= 0) { // reports of ends are sent at once
    for (Subscriber &subscriber : subscribers_) {
      if (subscriber.front == front) subscriber.stream->write(pending.text);
    }
    return;
  }
  auto place = std::upper_bound(pending_reports_.begin(), pending_reports_.end(), pending.at,
                                [](double at, const PendingReport &other) { return at < other.at; });
  pending_reports_.insert(place, std::move(pending));
}

double SimulatedServer::rate_of(const Play &play) const {
  return day_.front_config.rung_rates[static_cast<std::size_t>(play.rung)] *
         day_.front_config.products[static_cast<std::size_t>(play.product_index)].rate_factor *
         play.rate_factor;
}

double SimulatedServer::link() const {
  return actual_link_ / faults.link_divisor * (1 - faults.competing_share);
}

// All plays get the same share of their rates, which the link or the rack's uplink limits.
void SimulatedServer::tick(double elapsed) {
  if (!up_) return;
  double now = clock_.now();
  demand_ = 0;
  for (const auto &[id, play] : plays_) {
    if (play.playing) demand_ += rate_of(play);
  }
  if (elapsed <= 0 || now - reported_at_ > kLoadInterval) {
    reported_link_ = with_noise(demand_ / link());
    reported_uplink_ = with_noise(uplink_.demand / uplink_.capacity);
    reported_at_ = now;
  }
  if (elapsed <= 0) return;
  share_ =
      std::min({1.0, link() / std::max(demand_, 1e-9), uplink_.capacity / std::max(uplink_.demand, 1e-9)});
  if (faults.hang) share_ = 0;
  if (unresponsive()) return;
  std::vector<std::string> ended;
  for (auto &[id, play] : plays_) {
    if (!play.playing) continue;
    bool subscribed =
        std::ranges::any_of(subscribers_, [&](const Subscriber &other) { return other.front == play.front; });
    if (!play.claimed && now - play.started_at > kClaimTimeout)
      ended.push_back(id);
    else if (!subscribed && now - std::max(play.started_at, started_) > kSubscriberTimeout &&
             now - last_subscribed_[play.front] > kSubscriberTimeout)
      ended.push_back(id);
    if (subscribed || !last_subscribed_.contains(play.front)) last_subscribed_[play.front] = now;
  }
  for (const std::string &id : ended) end_play(id, "front");
  while (!pending_reports_.empty() && pending_reports_.front().at <= now) {
    for (Subscriber &subscriber : subscribers_) {
      if (subscriber.front == pending_reports_.front().front)
        subscriber.stream->write(pending_reports_.front().text);
    }
    pending_reports_.pop_front();
  }
  std::erase_if(withdrawn_, [&](const auto &entry) { return now - entry.second > 10; });
  for (std::size_t i = 0; i < subscribers_.size(); ++i) {
    Subscriber &subscriber = subscribers_[i];
    if (now - subscriber.last_keepalive > 0.5) {
      subscriber.last_keepalive = now;
      if (!subscriber.stream->write(serverwire::write_report({}))) continue;
    }
    const Play *any_play = nullptr;
    for (const auto &[id, play] : plays_) {
      if (play.playing && play.front == subscriber.front) any_play = &play;
    }
    if (!any_play) continue;
    bool is_short = share_ < 0.98;
    if ((is_short && now - subscriber.last_share_report >= 1) || (!is_short && subscriber.was_short)) {
      subscriber.last_share_report = now;
      subscriber.was_short = is_short;
      serverwire::Report report;
      report.kind = serverwire::Report::Kind::share;
      report.play = any_play->id;
      report.value = share_;
      send_report(subscriber.front, report, day_.report_delay);
    }
    if (now - subscriber.last_load_report >= day_.report_interval) {
      subscriber.last_load_report = now;
      serverwire::Report report;
      report.kind = serverwire::Report::Kind::load;
      report.play = any_play->id;
      report.link = with_noise(demand_ / link());
      report.uplink = with_noise(uplink_.demand / uplink_.capacity);
      send_report(subscriber.front, report, day_.report_delay);
    }
  }
}

} // namespace snowshore::lab
