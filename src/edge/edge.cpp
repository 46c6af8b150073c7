#include "edge/edge.h"
#include "decision/names.h"
#include "hints/hints.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace snowshore::edge {

using telemetry::to_timer_duration;

namespace {

constexpr double kDrainLook = 0.01;

http::Response plain(int status, const std::string &text) {
  http::Response response;
  response.status = status;
  response.headers.add("Content-Type", "text/plain; charset=utf-8");
  response.headers.add("Cache-Control", "no-store");
  response.body = text + "\n";
  return response;
}

std::string fixed(double value) {
  char buffer[32];
  return {buffer, std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr};
}

} // namespace

CoreSettings core_terms(const FrontConfig &record) {
  CoreSettings terms;
  terms.decision_settings = record.decision_settings;
  terms.seed = record.seed;
  terms.halls = record.halls, terms.kinds = record.kinds;
  for (const ProductSettings &one : record.products) terms.products.push_back({one.name, one.time_limit});
  terms.answer_slack = record.answer_slack;
  terms.load_in_answers = record.load_in_answers;
  return terms;
}

struct Edge::Counters {
  telemetry::Metrics &m;
  explicit Counters(telemetry::Metrics &metrics) : m(metrics) {}
  prometheus::Counter &turned_away(const char *why) {
    return m.counter("snowshore_requests_turned_away_total", "Requests not taken as plays", {{"why", why}});
  }
  prometheus::Counter &hints_malformed =
      m.counter("snowshore_hints_malformed_total", "CMCD keys passed over as malformed");
  prometheus::Counter &hints_unknown =
      m.counter("snowshore_hints_unknown_total", "CMCD keys passed over as unknown");
  prometheus::Counter &server_malformed = m.counter(
      "snowshore_server_malformed_total", "Answers or report lines of servers that could not be read");
  prometheus::Counter &late =
      m.counter("snowshore_late_answers_total", "Set-up answers that came after their time-out");
  prometheus::Counter &missed_ends =
      m.counter("snowshore_missed_ends_total", "Plays found ended when a report stream came back");
  prometheus::Counter &orphans =
      m.counter("snowshore_orphans_total", "Plays that a server held and this front did not");
  prometheus::Gauge &player_connections =
      m.gauge("snowshore_player_connections", "Open connections of players");
  prometheus::Gauge &server_connections =
      m.gauge("snowshore_server_connections", "Open connections to servers");
};

Edge::Edge(asio::io_context &io, FrontConfig record, telemetry::Log &log, std::unique_ptr<ListSource> source,
           DecisionEngineFactory make)
    : io_(io), record_(std::move(record)), log_(log),
      core_(io, core_terms(record_), log, std::move(source), *this, *this, std::move(make)),
      counters_(std::make_unique<Counters>(core_.metrics())), timer_of_drain_(io),
      client_(io, record_.limits.servers), players_(listen(record_)),
      operators_(io, record_.operators, record_.limits.players,
                 [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
                   on_operator(request, exchange);
                 }) {
  std::random_device device;
  char boot[20];
  std::uint64_t start = (std::uint64_t{device()} << 32 | device());
  auto end = std::to_chars(boot, boot + sizeof boot, start, 16).ptr;
  identity_ = {record_.name, std::string(boot, end)};
  id_prefix_ = identity_.front + "-" + identity_.boot + "-";
  report_times_ = {record_.limits.report_silence, record_.limits.lost_after, record_.limits.probe_timeout};
  channel_events_.report = [this](int server, const serverwire::Report &report) {
    on_report(server, report);
  };
  channel_events_.hello = [this](int server, const serverwire::Report &hello, double asked, bool restarted) {
    on_hello(server, hello, asked, restarted);
  };
  channel_events_.lost = [this](int server, const char *why) { core_.server_lost(server, why); };
  channel_events_.malformed = [this](int server) {
    counters_->server_malformed.Increment();
    log_.warning("server_malformed", {{"server", core_.server_id(server)}});
  };
  channel_events_.late = [this](int) { counters_->late.Increment(); };
  opened_ = core_.clock().now();
  core_.start([this](Catalogue catalogue) {
    catalogue_ = std::move(catalogue);
    has_catalogue_ = true;
    log_.info("catalogue", {{"titles", catalogue_.size()}});
  });
}

Edge::~Edge() {
  players_->stop();
  for (const auto &server : retired_) server->stop();
  operators_.stop();
  channels_.clear(); // they end their streams through the client, which goes next
}

std::unique_ptr<http::Server> Edge::listen(const FrontConfig &record) {
  return std::make_unique<http::Server>(
      io_, record.players, record.limits.players,
      [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
        on_player(request, exchange);
      });
}

// ---- Players.

std::optional<PlayRequest> Edge::terms_of(const http::Request &request, const std::string &title,
                                          http::Response &refusal, const std::string &peer) {
  auto refuse = [&](int status, const char *why, const std::string &text) {
    counters_->turned_away(why).Increment();
    refusal = plain(status, text);
    return std::nullopt;
  };
  auto place = catalogue_.find(title);
  if (place == catalogue_.end()) return refuse(404, "no_title", "no such title");
  PlayRequest terms;
  std::string product = request.query_parameter("product").value_or(record_.products[0].name);
  auto found = std::ranges::find(record_.products, product, &ProductSettings::name);
  if (found == record_.products.end()) return refuse(400, "no_product", "no such product");
  terms.product = static_cast<int>(found - record_.products.begin());
  terms.first_cell = place->second.first_cell;
  terms.cell_count = place->second.cell_count;
  auto seconds = [&](const char *name, std::optional<double> &into) {
    auto text = request.query_parameter(name);
    if (!text) return true;
    double value = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    bool right = error == std::errc() && end == text->data() + text->size() && value > 0 && value < 1e6;
    if (right) into = value;
    return right;
  };
  if (!seconds("time_left", terms.time_left) || !seconds("length", terms.duration_hint))
    return refuse(400, "malformed", "time_left and length are seconds above 0");
  if (terms.time_left) terms.time_left = std::min(*terms.time_left, found->time_limit);
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
  terms.viewer = hash53(hints.session_id.value_or(peer));
  terms.max_rung = static_cast<int>(record_.rung_rates.size()) - 1;
  // tb is the highest bitrate that the player can use, in kbps; rates here are kB a second.
  while (hints.top_bitrate_kbps && terms.max_rung > 0 &&
         record_.rung_rates[static_cast<std::size_t>(terms.max_rung)] * found->rate_factor * 8 >
             *hints.top_bitrate_kbps)
    --terms.max_rung;
  terms.is_repeated = request.query_parameter("again") == "1";
  terms.is_moved = request.query_parameter("moved") == "1";
  return terms;
}

void Edge::on_player(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  constexpr std::string_view kPlay = "/play/";
  auto from = std::chrono::steady_clock::now();
  auto refuse = [&](const char *why, http::Response response) {
    counters_->turned_away(why).Increment();
    exchange->respond(response);
  };
  if (!request.path.starts_with(kPlay) || request.path.size() == kPlay.size())
    return refuse("no_path", plain(404, "plays are asked for at /play/{title}"));
  if (request.method != "GET") {
    http::Response response = plain(405, "plays are asked for by GET");
    response.headers.add("Allow", "GET");
    return refuse("method", std::move(response));
  }
  if (!request.body.empty()) return refuse("body", plain(400, "no body is due here"));
  bool full = core_.plays().open_count() >= record_.limits.max_open_plays;
  if (service() != Service::serving || !record_.accept_plays || full) {
    http::Response response = plain(503, full ? "too many plays are held" : "not serving");
    response.headers.add("Retry-After", "1");
    return refuse(full                            ? "open_plays"
                  : service_ == Service::starting ? "starting"
                                                  : "draining",
                  std::move(response));
  }
  std::string title = request.path.substr(kPlay.size());
  http::Response refusal;
  auto terms = terms_of(request, title, refusal, exchange->peer_address);
  if (!terms) return exchange->respond(refusal);

  PlayRef ref = core_.add_play(next_play_++, title);
  at_door(ref.index).player = exchange;
  exchange->on_disconnect = [this, ref] {
    if (!core_.is_current(ref)) return;
    at_door(ref.index).player.reset();
    core_.player_left(ref.index);
  };
  core_.submit_play(ref.index, *terms,
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
}

// A play's id towards servers and players; the core's is its number alone.
std::string Edge::text_id(int play) { return id_prefix_ + std::to_string(core_.plays().at(play).id); }

int Edge::find(std::string_view text) {
  if (!text.starts_with(id_prefix_)) return -1;
  std::string_view number = text.substr(id_prefix_.size());
  std::uint64_t id = 0;
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), id);
  if (error != std::errc() || end != number.data() + number.size()) return -1;
  return core_.plays().find(id);
}

void Edge::say(int play, http::Response response) {
  response.headers.add("Snowshore-Play", text_id(play));
  if (auto player = std::move(at_door(play).player)) player->respond(response);
}

void Edge::send_set_up_result(int index, const SetUpResult &result) {
  PlayRecord &play = core_.plays().at(index);
  http::Response response;
  response.status = 307;
  const http::Endpoint &at = channel(play.server).address();
  std::string host = at.address().is_v6() ? "[" + at.address().to_string() + "]" : at.address().to_string();
  response.headers.add("Location", "http://" + host + ":" + std::to_string(at.port()) + "/media/" +
                                       http::percent_encode(text_id(index)) +
                                       "?title=" + http::percent_encode(core_.title_of(index)) +
                                       "&rung=" + std::to_string(play.rung));
  response.headers.add("Cache-Control", "no-store");
  response.headers.add("Snowshore-Rung", std::to_string(play.rung));
  response.headers.add("CMSD-Dynamic", hints::write_cmsd(core_.server_id(play.server), {result.load}));
  say(index, std::move(response));
}

void Edge::send_decline(int index, double retry_after) {
  http::Response response = plain(503, "declined");
  // Retry-After is in whole seconds (RFC 9110 10.2.3); the exact advice stands beside it.
  response.headers.add("Retry-After", std::to_string(std::max(1, static_cast<int>(std::ceil(retry_after)))));
  response.headers.add("Snowshore-Retry-After", fixed(retry_after));
  say(index, std::move(response));
}

void Edge::send_failure(int index) {
  FailureCause cause = core_.plays().at(index).cause;
  bool in_time = cause != FailureCause::timed_out && cause != FailureCause::deadline_passed;
  say(index, plain(in_time ? 502 : 504, "failed"));
}

void Edge::forget_play(int index) { at_door(index) = {}; }

// ---- Servers.

void Edge::start_set_up(int index, const Allocation &allocation) {
  PlayRecord &play = core_.plays().at(index);
  serverwire::SetUpRequest set_up;
  set_up.play = text_id(index);
  set_up.title = core_.title_of(index);
  set_up.product = record_.products[static_cast<std::size_t>(play.product)].name;
  set_up.front = identity_.front, set_up.boot = identity_.boot;
  set_up.rung = allocation.rung, set_up.allocation = allocation.number;
  set_up.expires_in = allocation.timeout;
  auto done = [this, ref = core_.play_ref(index), number = allocation.number](const SetUpResult &result) {
    core_.set_up_ended(ref, number, result);
  };
  if (has_channel(allocation.server)) {
    at_door(index).request = channel(allocation.server).set_up(set_up, allocation.timeout, std::move(done));
  } else { // a server that has no address any more: provably never sent
    SetUpResult result;
    result.outcome = Outcome::unreachable;
    asio::post(io_, [done, result] { done(result); });
  }
}

void Edge::cancel_set_up(int index, std::string_view why) {
  PlayRecord &play = core_.plays().at(index);
  client_.cancel(at_door(index).request);
  if (has_channel(play.server)) channel(play.server).end(text_id(index), play.allocation, why);
}

void Edge::change_rung(int index, int rung) { channel_of(index).set_rung(text_id(index), rung); }

void Edge::end_play(int index, std::string_view why) {
  channel_of(index).end(text_id(index), core_.plays().at(index).allocation, why);
}

void Edge::forget_server(int server) {
  if (!has_channel(server)) return;
  // The channel may be the one whose event is being told: it goes after this turn.
  asio::post(io_,
             [gone = std::shared_ptr<Channel>(std::move(channels_[static_cast<std::size_t>(server)]))] {});
}

void Edge::probe_server(int server) {
  if (!has_channel(server)) return;
  channel(server).probe(
      [this, server, id = core_.server_id(server)](Outcome outcome, const LoadReport &report) {
        if (core_.find_server(id) == server)
          core_.probe_answered(server, outcome, report); // not forgotten meanwhile
      });
}

void Edge::update_server(int server, const ListedServer &entry) {
  auto place = static_cast<std::size_t>(server);
  if (place >= channels_.size()) channels_.resize(place + 1);
  if (channels_[place]) return channels_[place]->set_address(entry.address);
  std::uint64_t seed = core_.seed() ^ hash53(entry.id);
  channels_[place] = std::make_unique<Channel>(
      io_, client_, server, entry.address, identity_, report_times_, seed,
      [this] { return core_.clock().now(); }, channel_events_);
}

void Edge::on_report(int server, const serverwire::Report &report) {
  int index = find(report.play);
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

// A stream that came back: ends that were missed meanwhile show in what the server still holds.
void Edge::on_hello(int server, const serverwire::Report &hello, double asked, bool restarted) {
  std::vector<std::string> held = hello.plays;
  std::ranges::sort(held);
  core_.plays().for_each([&](int index) {
    PlayRecord &play = core_.plays().at(index);
    if (play.state != PlayState::playing || play.server != server || play.started_at >= asked) return;
    if (std::ranges::binary_search(held, text_id(index))) return;
    counters_->missed_ends.Increment();
    core_.count_ended_play(restarted ? "server_restarted" : "missed");
    core_.play_ended(index, restarted ? Outcome::reset : Outcome::done);
  });
  for (const std::string &id : held) {
    int index = find(id);
    if (index >= 0 && core_.plays().at(index).server == server) continue;
    counters_->orphans.Increment();
    log_.info("orphan", {{"play", id}, {"server", core_.server_id(server)}});
    channel(server).end(id, 0, "unknown");
  }
}

// ---- Operators.

std::string Edge::metrics_text() {
  counters_->player_connections.Set(static_cast<double>(players_->connections()));
  counters_->server_connections.Set(static_cast<double>(client_.connections()));
  auto show = [&](const char *name, const char *help, std::uint64_t value) {
    core_.metrics().gauge(name, help).Set(static_cast<double>(value));
  };
  const http::ServerCounters &p = players_->counters();
  show("snowshore_player_connections_accepted", "Connections of players so far", p.accepted);
  show("snowshore_player_malformed", "Requests refused as no HTTP or over a limit of size", p.malformed);
  show("snowshore_player_slow_cut", "Connections cut for header_time or write_time", p.slow_cut);
  show("snowshore_player_idle_cut", "Connections cut for idle_time or to make room", p.idle_cut);
  show("snowshore_player_accept_pauses", "Times that accepting waited at the limit connections",
       p.accept_pauses);
  show("snowshore_player_accept_faults", "Failed accepts, mostly for want of descriptors", p.accept_faults);
  const http::ClientCounters &c = client_.counters();
  show("snowshore_server_connections_opened", "Connections opened to servers so far", c.opened);
  show("snowshore_server_no_room", "Requests not sent at server_connections or all_connections", c.no_room);
  return core_.metrics_text();
}

void Edge::on_operator(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  if (request.path == "/metrics") {
    http::Response response = plain(200, "");
    response.headers.fields[0].value = "text/plain; version=0.0.4";
    response.body = metrics_text();
    exchange->respond(response);
  } else if (request.path == "/healthz") {
    exchange->respond(plain(200, "ok"));
  } else if (request.path == "/readyz") {
    bool ready = service() == Service::serving && record_.accept_plays;
    exchange->respond(plain(ready ? 200 : 503, ready                           ? "ready"
                                               : service_ == Service::starting ? "no list yet"
                                                                               : "draining"));
  } else {
    exchange->respond(plain(404, "operators' pages: /metrics, /healthz, /readyz"));
  }
}

std::vector<std::string> Edge::reload(const FrontConfig &next) {
  record_.limits = next.limits;
  record_.log_level = next.log_level;
  take_limits();
  std::vector<std::string> rest;
  if (next.decision_settings != record_.decision_settings) {
    for (const auto &[name, value] : next.decision_settings) {
      if (auto it = record_.decision_settings.find(name);
          it == record_.decision_settings.end() || it->second != value)
        rest.push_back(name);
    }
    for (const auto &[name, value] : record_.decision_settings) {
      if (!next.decision_settings.contains(name)) rest.push_back(name);
    }
  }
  if (next.name != record_.name) rest.push_back("name");
  if (next.players != record_.players || next.operators != record_.operators) rest.push_back("listen");
  if (next.list_file != record_.list_file || next.catalogue_file != record_.catalogue_file)
    rest.push_back("list");
  if (next.log_target != record_.log_target) rest.push_back("log.where");
  return rest;
}

void Edge::drain(std::function<void()> done) {
  service_ = Service::draining;
  drained_ = std::move(done);
  check_drained();
}

void Edge::check_drained() {
  if (service_ != Service::draining || !drained_) return;
  if (core_.unanswered_plays() > 0) {
    timer_of_drain_.expires_after(to_timer_duration(kDrainLook));
    timer_of_drain_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
      if (!error && !alive.expired()) check_drained();
    });
    return;
  }
  players_->drain(std::exchange(drained_, nullptr));
}

} // namespace snowshore::edge
