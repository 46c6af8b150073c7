// Requests of players and operators, the core's answers to players, and the channels to servers.
#include "edge/edge.h"
#include "decision/setting_names.h"
#include "hints/hints.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

// Seconds between two checks whether a drain is done.
constexpr double kDrainCheckInterval = 0.01;

http::Response text_response(int status, const std::string &text) {
  http::Response response;
  response.status = status;
  response.headers.add("Content-Type", "text/plain; charset=utf-8");
  response.headers.add("Cache-Control", "no-store");
  response.body = text + "\n";
  return response;
}

// With three decimals.
std::string format_fixed(double value) {
  char buffer[32];
  return {buffer, std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr};
}

} // namespace

CoreSettings core_settings(const FrontConfig &config) {
  CoreSettings settings;
  settings.decision_settings = config.decision_settings;
  settings.seed = config.seed;
  settings.halls = config.halls;
  settings.kinds = config.kinds;
  for (const ProductSettings &product : config.products)
    settings.products.push_back({product.name, product.time_limit});
  settings.answer_slack = config.answer_slack;
  settings.load_in_answers = config.load_in_answers;
  return settings;
}

// The edge's own metrics.
struct Edge::Counters {
  telemetry::Metrics &registry;
  explicit Counters(telemetry::Metrics &metrics) : registry(metrics) {}
  prometheus::Counter &rejected(const char *reason) {
    return registry.counter("snowshore_requests_turned_away_total",
                            "Requests rejected before a play was added", {{"why", reason}});
  }
  prometheus::Counter &hints_malformed =
      registry.counter("snowshore_hints_malformed_total", "CMCD keys ignored as malformed");
  prometheus::Counter &hints_unknown =
      registry.counter("snowshore_hints_unknown_total", "CMCD keys ignored as unknown");
  prometheus::Counter &server_malformed = registry.counter(
      "snowshore_server_malformed_total", "Answers or report lines of servers that could not be parsed");
  prometheus::Counter &late_answers =
      registry.counter("snowshore_late_answers_total", "Set-up answers that came after their time-out");
  prometheus::Counter &missed_ends =
      registry.counter("snowshore_missed_ends_total", "Plays found ended when a report stream was reopened");
  prometheus::Counter &unknown_plays = registry.counter(
      "snowshore_orphans_total", "Plays that a server held for this front and that are not in its table");
  prometheus::Gauge &player_connections =
      registry.gauge("snowshore_player_connections", "Open connections of players");
  prometheus::Gauge &server_connections =
      registry.gauge("snowshore_server_connections", "Open connections to servers");
};

Edge::Edge(asio::io_context &io, FrontConfig config, telemetry::Log &log,
           std::unique_ptr<ListSource> list_source, DecisionEngineFactory engine_factory)
    : io_(io), config_(std::move(config)), log_(log),
      core_(io, core_settings(config_), log, std::move(list_source), *this, *this, std::move(engine_factory)),
      counters_(std::make_unique<Counters>(core_.metrics())), drain_timer_(io),
      client_(io, config_.limits.servers), player_server_(make_player_server(config_)),
      operator_server_(io, config_.operators, config_.limits.players,
                       [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
                         handle_operator_request(request, exchange);
                       }) {
  std::random_device device;
  char boot[20];
  std::uint64_t boot_number = (std::uint64_t{device()} << 32 | device());
  auto end = std::to_chars(boot, boot + sizeof boot, boot_number, 16).ptr;
  identity_ = {config_.name, std::string(boot, end)};
  id_prefix_ = identity_.front_name + "-" + identity_.boot_id + "-";
  report_timeouts_ = {config_.limits.report_silence, config_.limits.lost_after, config_.limits.probe_timeout};
  channel_events_.report = [this](int server, const serverwire::Report &report) {
    on_report(server, report);
  };
  channel_events_.hello = [this](int server, const serverwire::Report &hello, double requested_at,
                                 bool restarted) { on_hello(server, hello, requested_at, restarted); };
  channel_events_.lost = [this](int server, const char *reason) { core_.server_lost(server, reason); };
  channel_events_.malformed = [this](int server) {
    counters_->server_malformed.Increment();
    log_.warning("server_malformed", {{"server", core_.server_id(server)}});
  };
  channel_events_.late_answer = [this](int) { counters_->late_answers.Increment(); };
  started_at_ = core_.clock().now();
  core_.start([this](Catalogue catalogue) {
    catalogue_ = std::move(catalogue);
    has_catalogue_ = true;
    log_.info("catalogue", {{"titles", catalogue_.size()}});
  });
}

Edge::~Edge() {
  player_server_->stop();
  for (const auto &server : retired_servers_) server->stop();
  operator_server_.stop();
  // Channels close their streams through client_, which is destroyed after this.
  channels_.clear();
}

std::unique_ptr<http::Server> Edge::make_player_server(const FrontConfig &config) {
  return std::make_unique<http::Server>(
      io_, config.players, config.limits.players,
      [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
        handle_player_request(request, exchange);
      });
}

// ---- Players.

std::optional<PlayRequest> Edge::parse_play_request(const http::Request &request, const std::string &title,
                                                    http::Response &error_response, const std::string &peer) {
  auto refuse = [&](int status, const char *reason, const std::string &text) {
    counters_->rejected(reason).Increment();
    error_response = text_response(status, text);
    return std::nullopt;
  };
  auto cells = catalogue_.find(title);
  if (cells == catalogue_.end()) return refuse(404, "no_title", "no such title");
  PlayRequest play_request;
  std::string product_name = request.query_parameter("product").value_or(config_.products[0].name);
  auto product = std::ranges::find(config_.products, product_name, &ProductSettings::name);
  if (product == config_.products.end()) return refuse(400, "no_product", "no such product");
  play_request.product = static_cast<int>(product - config_.products.begin());
  play_request.first_cell = cells->second.first_cell;
  play_request.cell_count = cells->second.cell_count;
  // Reads an optional query parameter of positive seconds; returns false where it is malformed.
  auto seconds = [&](const char *name, std::optional<double> &result) {
    auto text = request.query_parameter(name);
    if (!text) return true;
    double value = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    bool is_valid = error == std::errc() && end == text->data() + text->size() && value > 0 && value < 1e6;
    if (is_valid) result = value;
    return is_valid;
  };
  if (!seconds("time_left", play_request.time_left) || !seconds("length", play_request.duration_hint))
    return refuse(400, "malformed", "time_left and length are seconds above 0");
  if (play_request.time_left) play_request.time_left = std::min(*play_request.time_left, product->time_limit);
  hints::Cmcd hints;
  if (auto text = request.query_parameter("CMCD")) hints::parse_cmcd(*text, hints);
  for (std::string_view name : hints::kCmcdHeaders) {
    if (auto text = request.headers.find(name)) hints::parse_cmcd(*text, hints);
  }
  if (hints.malformed) {
    counters_->hints_malformed.Increment(hints.malformed);
    log_.debug("hints_malformed", {{"title", title}, {"keys", hints.malformed}});
  }
  if (hints.unknown) counters_->hints_unknown.Increment(hints.unknown);
  play_request.viewer = hash53(hints.session_id.value_or(peer));
  play_request.max_rung = static_cast<int>(config_.rung_rates.size()) - 1;
  // tb is the highest bitrate that the player can use, in kbit/s; rung_rates are kB/s.
  while (hints.top_bitrate_kbps && play_request.max_rung > 0 &&
         config_.rung_rates[static_cast<std::size_t>(play_request.max_rung)] * product->rate_factor * 8 >
             *hints.top_bitrate_kbps)
    --play_request.max_rung;
  play_request.is_repeated = request.query_parameter("again") == "1";
  play_request.is_moved = request.query_parameter("moved") == "1";
  return play_request;
}

void Edge::handle_player_request(const http::Request &request,
                                 const std::shared_ptr<http::Exchange> &exchange) {
  constexpr std::string_view kPathPrefix = "/play/";
  auto start = std::chrono::steady_clock::now();
  auto refuse = [&](const char *reason, http::Response response) {
    counters_->rejected(reason).Increment();
    exchange->respond(response);
  };
  if (!request.path.starts_with(kPathPrefix) || request.path.size() == kPathPrefix.size())
    return refuse("no_path", text_response(404, "plays are asked for at /play/{title}"));
  if (request.method != "GET") {
    http::Response response = text_response(405, "plays are asked for by GET");
    response.headers.add("Allow", "GET");
    return refuse("method", std::move(response));
  }
  if (!request.body.empty()) return refuse("body", text_response(400, "no body is due here"));
  bool full = core_.plays().open_count() >= config_.limits.max_open_plays;
  if (service_state() != ServiceState::serving || !config_.accept_plays || full) {
    http::Response response = text_response(503, full ? "too many plays are held" : "not serving");
    response.headers.add("Retry-After", "1");
    return refuse(full                                       ? "open_plays"
                  : service_state_ == ServiceState::starting ? "starting"
                                                             : "draining",
                  std::move(response));
  }
  std::string title = request.path.substr(kPathPrefix.size());
  http::Response error_response;
  auto play_request = parse_play_request(request, title, error_response, exchange->peer_address);
  if (!play_request) return exchange->respond(error_response);

  PlayRef ref = core_.add_play(next_play_id_++, title);
  connection_of(ref.index).exchange = exchange;
  exchange->on_disconnect = [this, ref] {
    if (!core_.is_current(ref)) return;
    connection_of(ref.index).exchange.reset();
    core_.player_left(ref.index);
  };
  core_.submit_play(ref.index, *play_request,
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
}

std::string Edge::wire_id(int play) { return id_prefix_ + std::to_string(core_.plays().at(play).id); }

int Edge::find_play(std::string_view text) {
  if (!text.starts_with(id_prefix_)) return -1;
  std::string_view number = text.substr(id_prefix_.size());
  std::uint64_t id = 0;
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), id);
  if (error != std::errc() || end != number.data() + number.size()) return -1;
  return core_.plays().find(id);
}

void Edge::respond(int play, http::Response response) {
  response.headers.add("Snowshore-Play", wire_id(play));
  if (auto exchange = std::move(connection_of(play).exchange)) exchange->respond(response);
}

void Edge::send_set_up_result(int index, const SetUpResult &result) {
  PlayRecord &play = core_.plays().at(index);
  http::Response response;
  response.status = 307;
  const http::Endpoint &address = channel(play.server).address();
  std::string host =
      address.address().is_v6() ? "[" + address.address().to_string() + "]" : address.address().to_string();
  response.headers.add("Location", "http://" + host + ":" + std::to_string(address.port()) + "/media/" +
                                       http::percent_encode(wire_id(index)) +
                                       "?title=" + http::percent_encode(core_.title_of(index)) +
                                       "&rung=" + std::to_string(play.rung));
  response.headers.add("Cache-Control", "no-store");
  response.headers.add("Snowshore-Rung", std::to_string(play.rung));
  response.headers.add("CMSD-Dynamic", hints::write_cmsd(core_.server_id(play.server), {result.load}));
  respond(index, std::move(response));
}

void Edge::send_decline(int index, double retry_after) {
  http::Response response = text_response(503, "declined");
  // Retry-After is in whole seconds (RFC 9110 10.2.3); the exact value goes into the header below.
  response.headers.add("Retry-After", std::to_string(std::max(1, static_cast<int>(std::ceil(retry_after)))));
  response.headers.add("Snowshore-Retry-After", format_fixed(retry_after));
  respond(index, std::move(response));
}

void Edge::send_failure(int index) {
  FailureCause cause = core_.plays().at(index).cause;
  bool in_time = cause != FailureCause::timed_out && cause != FailureCause::deadline_passed;
  respond(index, text_response(in_time ? 502 : 504, "failed"));
}

void Edge::forget_play(int index) { connection_of(index) = {}; }

// ---- Servers.

void Edge::start_set_up(int index, const Allocation &allocation) {
  PlayRecord &play = core_.plays().at(index);
  serverwire::SetUpRequest set_up;
  set_up.play = wire_id(index);
  set_up.title = core_.title_of(index);
  set_up.product = config_.products[static_cast<std::size_t>(play.product)].name;
  set_up.front = identity_.front_name;
  set_up.boot = identity_.boot_id;
  set_up.rung = allocation.rung;
  set_up.allocation = allocation.number;
  set_up.expires_in = allocation.timeout;
  auto done = [this, ref = core_.play_ref(index), number = allocation.number](const SetUpResult &result) {
    core_.set_up_ended(ref, number, result);
  };
  if (has_channel(allocation.server)) {
    connection_of(index).set_up_request =
        channel(allocation.server).send_set_up(set_up, allocation.timeout, std::move(done));
  } else {
    // The server has been forgotten, so the set-up is certainly not sent.
    SetUpResult result;
    result.outcome = Outcome::unreachable;
    asio::post(io_, [done, result] { done(result); });
  }
}

void Edge::cancel_set_up(int index, std::string_view reason) {
  PlayRecord &play = core_.plays().at(index);
  client_.cancel(connection_of(index).set_up_request);
  if (has_channel(play.server)) channel(play.server).send_end(wire_id(index), play.allocation, reason);
}

void Edge::change_rung(int index, int rung) { channel_of(index).send_rung(wire_id(index), rung); }

void Edge::end_play(int index, std::string_view reason) {
  channel_of(index).send_end(wire_id(index), core_.plays().at(index).allocation, reason);
}

void Edge::forget_server(int server) {
  if (!has_channel(server)) return;
  // This call may come from an event of the same channel, so the channel is destroyed in a later handler.
  asio::post(io_,
             [removed = std::shared_ptr<Channel>(std::move(channels_[static_cast<std::size_t>(server)]))] {});
}

void Edge::probe_server(int server) {
  if (!has_channel(server)) return;
  channel(server).send_probe(
      [this, server, id = core_.server_id(server)](Outcome outcome, const LoadReport &report) {
        // The server may have been forgotten, and its index reused, since the probe was sent.
        if (core_.find_server(id) == server) core_.probe_answered(server, outcome, report);
      });
}

void Edge::update_server(int server, const ListedServer &entry) {
  auto row = static_cast<std::size_t>(server);
  if (row >= channels_.size()) channels_.resize(row + 1);
  if (channels_[row]) return channels_[row]->set_address(entry.address);
  std::uint64_t seed = core_.seed() ^ hash53(entry.id);
  channels_[row] = std::make_unique<Channel>(
      io_, client_, server, entry.address, identity_, report_timeouts_, seed,
      [this] { return core_.clock().now(); }, channel_events_);
}

void Edge::on_report(int server, const serverwire::Report &report) {
  int index = find_play(report.play);
  if (index < 0 || core_.plays().at(index).server != server) return;
  switch (report.kind) {
  case serverwire::Report::Kind::share:
    return core_.record_feedback(index, FeedbackKind::share_delivered, report.value);
  case serverwire::Report::Kind::rung:
    return core_.record_feedback(index, FeedbackKind::rung, report.value);
  case serverwire::Report::Kind::load:
    if (report.link) core_.record_feedback(index, FeedbackKind::link_demand, *report.link);
    if (report.uplink) core_.record_feedback(index, FeedbackKind::uplink_demand, *report.uplink);
    return;
  case serverwire::Report::Kind::end:
    if (core_.plays().at(index).state != PlayState::playing) return;
    core_.count_ended_play(report.reason == "done" ? "done" : report.reason == "left" ? "left" : "other");
    return core_.play_ended(index, report.reason == "lost" ? Outcome::reset : Outcome::done);
  default:
    return;
  }
}

// Called when a report stream is opened or reopened. Plays that the server no longer holds have ended
// meanwhile; plays that it holds and the table does not are ended on the server.
void Edge::on_hello(int server, const serverwire::Report &hello, double requested_at, bool restarted) {
  std::vector<std::string> held = hello.plays;
  std::ranges::sort(held);
  core_.plays().for_each([&](int index) {
    PlayRecord &play = core_.plays().at(index);
    if (play.state != PlayState::playing || play.server != server || play.started_at >= requested_at) return;
    if (std::ranges::binary_search(held, wire_id(index))) return;
    counters_->missed_ends.Increment();
    core_.count_ended_play(restarted ? "server_restarted" : "missed");
    core_.play_ended(index, restarted ? Outcome::reset : Outcome::done);
  });
  for (const std::string &id : held) {
    int index = find_play(id);
    if (index >= 0 && core_.plays().at(index).server == server) continue;
    counters_->unknown_plays.Increment();
    log_.info("orphan", {{"play", id}, {"server", core_.server_id(server)}});
    channel(server).send_end(id, 0, "unknown");
  }
}

// ---- Operators.

std::string Edge::metrics_text() {
  counters_->player_connections.Set(static_cast<double>(player_server_->connections()));
  counters_->server_connections.Set(static_cast<double>(client_.connections()));
  auto set_gauge = [&](const char *name, const char *help, std::uint64_t value) {
    core_.metrics().gauge(name, help).Set(static_cast<double>(value));
  };
  const http::ServerCounters &player_counters = player_server_->counters();
  set_gauge("snowshore_player_connections_accepted", "Connections of players accepted so far",
            player_counters.accepted);
  set_gauge("snowshore_player_malformed", "Requests rejected as malformed HTTP or as too large",
            player_counters.malformed);
  set_gauge("snowshore_player_slow_cut", "Connections closed because of header_time or write_time",
            player_counters.slow_cut);
  set_gauge("snowshore_player_idle_cut",
            "Connections closed because of idle_time or to free a slot for another",
            player_counters.idle_cut);
  set_gauge("snowshore_player_accept_pauses", "Times that accepting paused at the limit of connections",
            player_counters.accept_pauses);
  set_gauge("snowshore_player_accept_faults", "Failed accepts, mostly for lack of file descriptors",
            player_counters.accept_faults);
  const http::ClientCounters &client_counters = client_.counters();
  set_gauge("snowshore_server_connections_opened", "Connections opened to servers so far",
            client_counters.opened);
  set_gauge("snowshore_server_no_room", "Requests not sent because of server_connections or all_connections",
            client_counters.no_room);
  return core_.metrics_text();
}

void Edge::handle_operator_request(const http::Request &request,
                                   const std::shared_ptr<http::Exchange> &exchange) {
  if (request.path == "/metrics") {
    http::Response response = text_response(200, "");
    response.headers.fields[0].value = "text/plain; version=0.0.4";
    response.body = metrics_text();
    exchange->respond(response);
  } else if (request.path == "/healthz") {
    exchange->respond(text_response(200, "ok"));
  } else if (request.path == "/readyz") {
    bool ready = service_state() == ServiceState::serving && config_.accept_plays;
    exchange->respond(text_response(ready ? 200 : 503, ready ? "ready"
                                                       : service_state_ == ServiceState::starting
                                                           ? "no list yet"
                                                           : "draining"));
  } else {
    exchange->respond(text_response(404, "operators' pages: /metrics, /healthz, /readyz"));
  }
}

std::vector<std::string> Edge::reload(const FrontConfig &next) {
  config_.limits = next.limits;
  config_.log_level = next.log_level;
  apply_limits();
  std::vector<std::string> restart_needed;
  if (next.decision_settings != config_.decision_settings) {
    for (const auto &[name, value] : next.decision_settings) {
      if (auto it = config_.decision_settings.find(name);
          it == config_.decision_settings.end() || it->second != value)
        restart_needed.push_back(name);
    }
    for (const auto &[name, value] : config_.decision_settings) {
      if (!next.decision_settings.contains(name)) restart_needed.push_back(name);
    }
  }
  if (next.name != config_.name) restart_needed.push_back("name");
  if (next.players != config_.players || next.operators != config_.operators)
    restart_needed.push_back("listen");
  if (next.list_file != config_.list_file || next.catalogue_file != config_.catalogue_file)
    restart_needed.push_back("list");
  if (next.log_target != config_.log_target) restart_needed.push_back("log.where");
  return restart_needed;
}

void Edge::drain(std::function<void()> done) {
  service_state_ = ServiceState::draining;
  on_drained_ = std::move(done);
  check_drained();
}

void Edge::check_drained() {
  if (service_state_ != ServiceState::draining || !on_drained_) return;
  if (core_.unanswered_plays() > 0) {
    drain_timer_.expires_after(to_timer_duration(kDrainCheckInterval));
    drain_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
      if (!error && !alive.expired()) check_drained();
    });
    return;
  }
  player_server_->drain(std::exchange(on_drained_, nullptr));
}

} // namespace snowshore::edge
