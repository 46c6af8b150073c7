#include "lab/players.h"
#include "config/front_config.h"
#include "hints/hints.h"
#include "lab/delayed_call.h"

#include <charconv>
#include <cmath>

namespace snowshore::lab {

using telemetry::to_timer_duration;

namespace {

constexpr int kMaxTries = 4;
// The number of seconds for which a player waits beyond the time limit, so that a late answer is recorded as
// late.
constexpr double kLateAnswerMargin = 0.6;

http::ClientLimits client_limits() {
  http::ClientLimits limits;
  limits.connections_per_server = limits.total_connections = 100000;
  // A front end with a full listen queue accepts after a second or two; one that is down refuses at once.
  limits.connect_time = 2.5;
  // This is shorter than any front end's idle time, as it is with real players, so that no request is sent on
  // a connection that the front end is closing.
  limits.idle_time = 0.7;
  return limits;
}

const char *end_reason_name(http::EndReason end_reason) {
  constexpr const char *kNames[] = {"answered", "unreachable", "no_room", "timed_out", "reset", "malformed"};
  return kNames[static_cast<int>(end_reason)];
}

} // namespace

Players::Players(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day,
                 std::uint64_t seed, std::function<std::optional<http::Endpoint>(int)> front_address)
    : io_(io), clock_(clock), trace_(trace), day_(day),
      random_(static_cast<std::uint32_t>(seed % 2147483646 + 1)), product_distribution_(day.product_shares),
      front_address_(std::move(front_address)), server_client_(io, client_limits()), arrival_timer_(io) {
  std::vector<double> weights;
  for (int t = 0; t < day.titles; ++t) weights.push_back(std::pow(t + 1.0, -day.popularity));
  title_distribution_ = boost::random::discrete_distribution<int>(weights);
  for (int f = 0; f < day.fronts; ++f)
    front_clients_.push_back(std::make_unique<http::Client>(io, client_limits()));
}

void Players::start() {
  asking_ = true;
  schedule_arrival();
}

void Players::schedule_arrival() {
  double rate = day_.plays_per_second + crowd_rate_;
  arrival_timer_.expires_after(to_timer_duration(boost::random::exponential_distribution<>(rate)(random_)));
  arrival_timer_.async_wait([this](asio::error_code error) {
    if (error || !asking_) return;
    auto viewer = std::make_shared<Viewer>();
    viewer->number = next_viewer_++;
    bool in_crowd = draw() * (day_.plays_per_second + crowd_rate_) < crowd_rate_;
    viewer->title =
        in_crowd ? day_.titles - 1 - static_cast<int>(draw() * crowd_titles_) : title_distribution_(random_);
    viewer->product = product_distribution_(random_);
    viewer->play_length = boost::random::exponential_distribution<>(1 / day_.mean_play_length)(random_) + 0.2;
    viewer->top_bitrate_kbps = draw() < day_.low_bitrate_share ? day_.front_config.rung_rates[1] * 8.1 : 1e6;
    ask(viewer);
    schedule_arrival();
  });
}

void Players::ask(std::shared_ptr<Viewer> viewer) {
  int front = static_cast<int>(draw() * day_.fronts);
  std::string name = "f" + std::to_string(front);
  auto endpoint = front_address_(front);
  if (!endpoint || !asking_) return;
  const config::ProductSettings &product =
      day_.front_config.products[static_cast<std::size_t>(viewer->product)];
  std::uint64_t number = next_ask_++;
  hints::Cmcd hints;
  hints.session_id = "viewer-" + std::to_string(viewer->number);
  hints.content_id = "t" + std::to_string(viewer->title);
  hints.top_bitrate_kbps = viewer->top_bitrate_kbps;
  hints.measured_throughput_kbps = viewer->top_bitrate_kbps;
  hints.startup = true;
  hints.stream_type = "v";
  hints.streaming_format = "d";
  http::Request request;
  request.target = "/play/t" + std::to_string(viewer->title) + "?product=" + product.name;
  if (viewer->again) request.target += "&again=1";
  if (viewer->moved) request.target += "&moved=1";
  if (number % 2)
    request.target += "&CMCD=" + http::percent_encode(hints::write_cmcd(hints));
  else
    request.headers.add("CMCD-Session", hints::write_cmcd(hints));
  if (number % 17 == 0) request.headers.add("CMCD-Status", "bs,,=x,rtp=\"");
  ++waiting_;
  ++asked_;
  ++viewer->tries;
  trace_.write("ask", {{"ask", number},
                       {"player", viewer->number},
                       {"front", name},
                       {"title", viewer->title},
                       {"product", product.name},
                       {"limit", product.time_limit},
                       {"try", viewer->tries}});
  auto pending = std::make_shared<bool>(true);
  double asked_at = clock_.read_now();
  auto id = front_clients_[static_cast<std::size_t>(front)]->send(
      *endpoint, request, product.time_limit + kLateAnswerMargin,
      [this, viewer, number, name, pending, asked_at](const http::Result &result) {
        *pending = false;
        --waiting_;
        on_answer(viewer, number, name, result);
        if (result.end_reason == http::EndReason::answered && result.response.status == 307)
          watch(viewer, number, result.response.headers.find("Location").value_or(""), asked_at);
      });
  if (draw() < early_leaver_share_) {
    call_after(io_, 0.005 + 0.1 * draw(), [this, id, pending, number, front, name] {
      if (!*pending || !front_clients_[static_cast<std::size_t>(front)]->cancel(id)) return;
      *pending = false;
      --waiting_;
      trace_.write("left", {{"ask", number}, {"front", name}});
    });
  }
}

void Players::on_answer(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &front,
                        const http::Result &result) {
  if (result.end_reason != http::EndReason::answered) {
    trace_.write("no_answer",
                 {{"ask", ask}, {"front", front}, {"ending", end_reason_name(result.end_reason)}});
    return maybe_retry(viewer, day_.retry_pause);
  }
  const http::Headers &headers = result.response.headers;
  Json line = {{"ask", ask}, {"front", front}, {"status", result.response.status}, {"took", result.duration}};
  if (auto play = headers.find("Snowshore-Play")) line["play"] = *play;
  if (auto rung = headers.find("Snowshore-Rung")) line["rung"] = *rung;
  if (auto retry_after = headers.find("Retry-After")) line["retry_after"] = *retry_after;
  trace_.write("answer", line);
  if (result.response.status == 307) return;
  double pause = day_.retry_pause;
  if (auto retry_after = headers.find("Snowshore-Retry-After"))
    std::from_chars(retry_after->data(), retry_after->data() + retry_after->size(), pause);
  maybe_retry(viewer, pause);
}

void Players::maybe_retry(const std::shared_ptr<Viewer> &viewer, double pause) {
  if (viewer->tries >= kMaxTries || draw() > day_.retry_share) return;
  viewer->again = true;
  call_after(io_, pause * (0.5 + draw()), [this, viewer] { ask(viewer); });
}

void Players::watch(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &location,
                    double asked_at) {
  constexpr std::string_view kScheme = "http://";
  std::size_t slash = location.find('/', kScheme.size());
  http::Endpoint endpoint;
  try {
    if (!location.starts_with(kScheme) || slash == std::string::npos)
      throw std::invalid_argument("Location is not an absolute http URL");
    endpoint = config::parse_endpoint(location.substr(kScheme.size(), slash - kScheme.size()));
  } catch (const std::invalid_argument &error) {
    trace_.write("bad_location", {{"ask", ask}, {"location", location}});
    return;
  }
  http::Request request;
  request.target = location.substr(slash);
  ++watching_;
  auto pending = std::make_shared<bool>(true);
  auto is_open = std::make_shared<bool>(false);
  auto id = server_client_.stream(
      endpoint, request, 2,
      [this, ask, is_open, asked_at](const http::Response &head) {
        *is_open = head.status == 200;
        trace_.write("media",
                     {{"ask", ask}, {"status", head.status}, {"first_frame", clock_.read_now() - asked_at}});
      },
      [viewer](std::string_view data) { viewer->moved = data.find("end moved") != std::string_view::npos; },
      [this, viewer, ask, pending](const http::Result &result) {
        *pending = false;
        --watching_;
        trace_.write("break", {{"ask", ask}, {"ending", end_reason_name(result.end_reason)}});
        maybe_retry(viewer, day_.retry_pause);
      });
  call_after(io_, viewer->play_length, [this, id, pending, ask] {
    if (!*pending || !server_client_.cancel(id)) return;
    *pending = false;
    --watching_;
    trace_.write("watched", {{"ask", ask}});
  });
}

void Players::open_silent_connections(int count, int front) {
  auto endpoint = front_address_(front);
  for (int i = 0; endpoint && i < count; ++i) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    idle_connections_.push_back(socket);
    socket->async_connect(*endpoint, [socket](asio::error_code) {});
  }
}

void Players::open_slow_connections(int count, int front) {
  auto endpoint = front_address_(front);
  for (int i = 0; endpoint && i < count; ++i) {
    auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
    idle_connections_.push_back(socket);
    socket->async_connect(*endpoint, [this, socket](asio::error_code error) {
      if (!error) send_slowly(socket, 0);
    });
  }
}

void Players::send_slowly(std::shared_ptr<asio::ip::tcp::socket> socket, std::size_t position) {
  static const std::string kText = "GET /play/t0 HTTP/1.1\r\nHost: a\r\nX-Slow: " + std::string(2000, 'z');
  call_after(io_, 0.1, [this, socket, position] {
    asio::error_code error;
    if (position >= kText.size() || !socket->is_open()) return;
    socket->write_some(asio::buffer(&kText[position], 1), error);
    if (!error) send_slowly(socket, position + 1);
  });
}

} // namespace snowshore::lab
