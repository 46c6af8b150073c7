#include "lab/players.h"
#include "hints/hints.h"
#include "lab/later.h"
#include "site/front_record.h"

#include <charconv>
#include <cmath>

namespace snowshore::lab {

using telemetry::to_timer_duration;

namespace {

constexpr int kTries = 4;
constexpr double kOverLimit = 0.6; // waited beyond the time limit, so that a late answer is seen as late

http::ClientLimits generous() {
  http::ClientLimits limits;
  limits.connections_per_server = limits.total_connections = 100000;
  limits.connect_time = 2.5; // a full listen queue answers after a second or two, a dead front at once
  limits.idle_time = 0.7;    // shorter than any front's, as players do it: what is sent never meets a closing
  return limits;
}

const char *name_of(http::EndReason ending) {
  constexpr const char *kNames[] = {"answered", "unreachable", "no_room", "timed_out", "reset", "malformed"};
  return kNames[static_cast<int>(ending)];
}

} // namespace

Players::Players(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day,
                 std::uint64_t seed, std::function<std::optional<http::Endpoint>(int)> where)
    : io_(io), clock_(clock), trace_(trace), day_(day),
      chance_(static_cast<std::uint32_t>(seed % 2147483646 + 1)), product_(day.product_shares),
      where_(std::move(where)), to_servers_(io, generous()), arrival_(io) {
  std::vector<double> weights;
  for (int t = 0; t < day.titles; ++t) weights.push_back(std::pow(t + 1.0, -day.popularity));
  title_ = boost::random::discrete_distribution<int>(weights);
  for (int f = 0; f < day.fronts; ++f) to_fronts_.push_back(std::make_unique<http::Client>(io, generous()));
}

void Players::start() {
  asking_ = true;
  arrive();
}

void Players::arrive() {
  double rate = day_.plays_a_second + crowd_rate_;
  arrival_.expires_after(to_timer_duration(boost::random::exponential_distribution<>(rate)(chance_)));
  arrival_.async_wait([this](asio::error_code error) {
    if (error || !asking_) return;
    auto viewer = std::make_shared<Viewer>();
    viewer->number = next_viewer_++;
    bool of_crowd = lot() * (day_.plays_a_second + crowd_rate_) < crowd_rate_;
    viewer->title = of_crowd ? day_.titles - 1 - static_cast<int>(lot() * crowd_titles_) : title_(chance_);
    viewer->product = product_(chance_);
    viewer->length = boost::random::exponential_distribution<>(1 / day_.lengths)(chance_) + 0.2;
    viewer->top_kbps = lot() < day_.low_players ? day_.terms.rung_rates[1] * 8.1 : 1e6;
    ask(viewer);
    arrive();
  });
}

void Players::ask(std::shared_ptr<Viewer> viewer) {
  int front = static_cast<int>(lot() * day_.fronts);
  std::string name = "f" + std::to_string(front);
  auto to = where_(front);
  if (!to || !asking_) return;
  const site::ProductSettings &product = day_.terms.products[static_cast<std::size_t>(viewer->product)];
  std::uint64_t number = next_ask_++;
  hints::Cmcd hints;
  hints.session_id = "viewer-" + std::to_string(viewer->number);
  hints.content_id = "t" + std::to_string(viewer->title);
  hints.top_bitrate_kbps = viewer->top_kbps, hints.measured_throughput_kbps = viewer->top_kbps;
  hints.startup = true, hints.stream_type = "v", hints.streaming_format = "d";
  http::Request request;
  request.target = "/play/t" + std::to_string(viewer->title) + "?product=" + product.name;
  if (viewer->again) request.target += "&again=1";
  if (viewer->moved) request.target += "&moved=1";
  if (number % 2)
    request.target += "&CMCD=" + http::percent_encode(hints::write_cmcd(hints));
  else
    request.headers.add("CMCD-Session", hints::write_cmcd(hints));
  if (number % 17 == 0) request.headers.add("CMCD-Status", "bs,,=x,rtp=\"");
  ++waiting_, ++asked_;
  ++viewer->tries;
  trace_.put("ask", {{"ask", number},
                     {"player", viewer->number},
                     {"front", name},
                     {"title", viewer->title},
                     {"product", product.name},
                     {"limit", product.time_limit},
                     {"try", viewer->tries}});
  auto open = std::make_shared<bool>(true);
  double asked_for = clock_.read_now();
  auto id = to_fronts_[static_cast<std::size_t>(front)]->send(
      *to, request, product.time_limit + kOverLimit,
      [this, viewer, number, name, open, asked_for](const http::Result &result) {
        *open = false;
        --waiting_;
        answered(viewer, number, name, result);
        if (result.end_reason == http::EndReason::answered && result.response.status == 307)
          watch(viewer, number, result.response.headers.find("Location").value_or(""), asked_for);
      });
  if (lot() < leavers_) {
    later(io_, 0.005 + 0.1 * lot(), [this, id, open, number, front, name] {
      if (!*open || !to_fronts_[static_cast<std::size_t>(front)]->cancel(id)) return;
      *open = false;
      --waiting_;
      trace_.put("left", {{"ask", number}, {"front", name}});
    });
  }
}

void Players::answered(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &front,
                       const http::Result &result) {
  if (result.end_reason != http::EndReason::answered) {
    trace_.put("no_answer", {{"ask", ask}, {"front", front}, {"ending", name_of(result.end_reason)}});
    return come_again(viewer, day_.pause);
  }
  const http::Headers &headers = result.response.headers;
  Json line = {{"ask", ask}, {"front", front}, {"status", result.response.status}, {"took", result.duration}};
  if (auto play = headers.find("Snowshore-Play")) line["play"] = *play;
  if (auto rung = headers.find("Snowshore-Rung")) line["rung"] = *rung;
  if (auto after = headers.find("Retry-After")) line["retry_after"] = *after;
  trace_.put("answer", line);
  if (result.response.status == 307) return;
  double pause = day_.pause;
  if (auto advice = headers.find("Snowshore-Retry-After"))
    std::from_chars(advice->data(), advice->data() + advice->size(), pause);
  come_again(viewer, pause);
}

void Players::come_again(const std::shared_ptr<Viewer> &viewer, double pause) {
  if (viewer->tries >= kTries || lot() > day_.comes_again) return;
  viewer->again = true;
  later(io_, pause * (0.5 + lot()), [this, viewer] { ask(viewer); });
}

void Players::watch(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &location,
                    double asked_for) {
  constexpr std::string_view kScheme = "http://";
  std::size_t slash = location.find('/', kScheme.size());
  http::Endpoint to;
  try {
    if (!location.starts_with(kScheme) || slash == std::string::npos)
      throw std::invalid_argument("no place to go");
    to = site::parse_endpoint(location.substr(kScheme.size(), slash - kScheme.size()));
  } catch (const std::invalid_argument &error) {
    trace_.put("bad_location", {{"ask", ask}, {"location", location}});
    return;
  }
  http::Request request;
  request.target = location.substr(slash);
  ++watching_;
  auto open = std::make_shared<bool>(true);
  auto there = std::make_shared<bool>(false);
  auto id = to_servers_.stream(
      to, request, 2,
      [this, ask, there, asked_for](const http::Response &head) {
        *there = head.status == 200;
        trace_.put("media",
                   {{"ask", ask}, {"status", head.status}, {"first_frame", clock_.read_now() - asked_for}});
      },
      [viewer](std::string_view data) { viewer->moved = data.find("end moved") != std::string_view::npos; },
      [this, viewer, ask, open](const http::Result &result) {
        *open = false;
        --watching_;
        trace_.put("break", {{"ask", ask}, {"ending", name_of(result.end_reason)}});
        come_again(viewer, day_.pause);
      });
  later(io_, viewer->length, [this, id, open, ask] {
    if (!*open || !to_servers_.cancel(id)) return;
    *open = false;
    --watching_;
    trace_.put("watched", {{"ask", ask}});
  });
}

// ---- Those who only hold a connection, and those who ask a byte at a time.

void Players::open_silent(int count, int front) {
  auto to = where_(front);
  for (int i = 0; to && i < count; ++i) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    silent_.push_back(socket);
    socket->async_connect(*to, [socket](asio::error_code) {});
  }
}

void Players::open_slow(int count, int front) {
  auto to = where_(front);
  for (int i = 0; to && i < count; ++i) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    silent_.push_back(socket);
    socket->async_connect(*to, [this, socket](asio::error_code error) {
      if (!error) feed(socket, 0);
    });
  }
}

void Players::feed(std::shared_ptr<asio::ip::tcp::socket> socket, std::size_t at) {
  static const std::string kText = "GET /play/t0 HTTP/1.1\r\nHost: a\r\nX-Slow: " + std::string(2000, 'z');
  later(io_, 0.1, [this, socket, at] {
    asio::error_code error;
    if (at >= kText.size() || !socket->is_open()) return;
    socket->write_some(asio::buffer(&kText[at], 1), error);
    if (!error) feed(socket, at + 1);
  });
}

} // namespace snowshore::lab
