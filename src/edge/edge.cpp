#include "edge/edge.h"
#include "decision/names.h"
#include "hints/hints.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace snowshore::edge {

using telemetry::span;

namespace {

constexpr double kSweepEvery = 0.01;

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

std::uint64_t hash53(const std::string &text) { return XXH64(text.data(), text.size(), 0) >> 11; }

} // namespace

struct Edge::Counters {
  telemetry::Metrics &m;
  explicit Counters(telemetry::Metrics &metrics) : m(metrics) {
    for (std::size_t c = 0; c < kCauses; ++c) {
      for (const char *outcome : kOutcomes)
        by_outcome[std::pair(std::string_view(outcome), c)] =
            &m.counter("snowshore_plays_total", "Plays answered, by outcome and cause",
                       {{"outcome", outcome}, {"cause", name_of(static_cast<Cause>(c))}});
    }
    for (std::size_t o = 0; o < by_allocation.size(); ++o)
      by_allocation[o] = &m.counter("snowshore_allocations_total", "Allocations ended or started, by outcome",
                                    {{"outcome", std::string(given::kOutcomeNames[o])}});
  }
  static constexpr const char *kOutcomes[] = {"plays", "declined", "failed", "left"};
  // Looked up once at start: the registry walks its families at each look.
  std::map<std::pair<std::string_view, std::size_t>, prometheus::Counter *> by_outcome;
  std::array<prometheus::Counter *, std::size(given::kOutcomeNames)> by_allocation{};
  prometheus::Counter &plays(const char *outcome, Cause cause) {
    return *by_outcome.at({outcome, static_cast<std::size_t>(cause)});
  }
  prometheus::Counter &allocations(Outcome outcome) {
    return *by_allocation[static_cast<std::size_t>(outcome)];
  }
  prometheus::Counter &ended(const char *why) {
    return m.counter("snowshore_plays_ended_total", "Plays under way that ended", {{"why", why}});
  }
  prometheus::Counter &turned_away(const char *why) {
    return m.counter("snowshore_requests_turned_away_total", "Requests not taken as plays", {{"why", why}});
  }
  prometheus::Counter &taken = m.counter("snowshore_plays_taken_total", "Requests taken as plays");
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
  prometheus::Counter &lost_servers =
      m.counter("snowshore_lost_servers_total", "Times that a server's report stream was given up");
  prometheus::Counter &list_changes = m.counter("snowshore_list_changes_total", "Lists taken");
  prometheus::Counter &list_faults =
      m.counter("snowshore_list_faults_total", "Lists or catalogues that could not be had or were refused");
  prometheus::Counter &probes = m.counter("snowshore_probes_total", "Probes sent");
  prometheus::Counter &steps =
      m.counter("snowshore_rung_steps_total", "Changes of rung sent for plays under way");
  prometheus::Counter &overdue =
      m.counter("snowshore_overdue_total", "Plays that the front's guard had to answer; not 0 is a defect");
  prometheus::Histogram &decision =
      m.histogram("snowshore_decision_seconds", "Time of one call on the module", telemetry::time_bounds());
  prometheus::Histogram &added = m.histogram(
      "snowshore_added_seconds", "The front's own time in a play's answer: without waiting for servers",
      telemetry::time_bounds());
  prometheus::Histogram &answer = m.histogram(
      "snowshore_answer_seconds", "From a play's request to its answer", telemetry::time_bounds());
  prometheus::Gauge &list_age = m.gauge("snowshore_list_age_seconds", "Since the list was last taken");
  prometheus::Gauge &list_version = m.gauge("snowshore_list_version", "Of the list in force");
  prometheus::Gauge &timers = m.gauge("snowshore_timers", "Timers that the module waits for");
  prometheus::Gauge &player_connections =
      m.gauge("snowshore_player_connections", "Open connections of players");
  prometheus::Gauge &server_connections =
      m.gauge("snowshore_server_connections", "Open connections to servers");
};

Edge::Edge(asio::io_context &io, FrontRecord record, telemetry::Log &log, std::unique_ptr<ListSource> source,
           MakeFront make)
    : io_(io), record_(std::move(record)), log_(log), counters_(std::make_unique<Counters>(metrics_)),
      timer_(io), sweep_timer_(io), timer_of_drain_(io), client_(io, record_.limits.servers),
      source_(std::move(source)), make_(std::move(make)), players_(listen(record_)),
      operators_(io, record_.operators, record_.limits.players,
                 [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
                   on_operator(request, exchange);
                 }) {
  std::random_device device;
  seed_ = record_.seed ? record_.seed : (std::uint64_t{device()} << 32 | device());
  char boot[20];
  std::uint64_t start = (std::uint64_t{device()} << 32 | device());
  auto end = std::to_chars(boot, boot + sizeof boot, start, 16).ptr;
  identity_ = {record_.name, std::string(boot, end)};
  report_times_ = {record_.limits.report_silence, record_.limits.lost_after, record_.limits.probe_time};
  for (const std::string &hall : record_.halls) halls_.index_of(hall);
  channel_events_.report = [this](int server, const serverwire::Report &report) {
    on_report(server, report);
  };
  channel_events_.hello = [this](int server, const serverwire::Report &hello, double asked, bool restarted) {
    on_hello(server, hello, asked, restarted);
  };
  channel_events_.lost = [this](int server, const char *why) { on_lost(server, why); };
  channel_events_.malformed = [this](int server) {
    counters_->server_malformed.Increment();
    log_.warning("server_malformed", {{"server", servers_.id(server)}});
  };
  channel_events_.late = [this](int) { counters_->late.Increment(); };
  opened_ = clock_.now();
  make_module();
  ListSource::Events events;
  events.list = [this](ServerList list) { on_list(std::move(list)); };
  events.catalogue = [this](Catalogue catalogue) {
    catalogue_ = std::move(catalogue);
    has_catalogue_ = true;
    if (has_list_ && service_ == Service::starting) service_ = Service::serving;
    log_.info("catalogue", {{"titles", catalogue_.size()}});
  };
  events.unavailable = [this](const std::string &why) {
    counters_->list_faults.Increment();
    log_.warning("list_unavailable", {{"cause", why}});
    decide([&] { front_->list_changed(ListKind::unavailable, {}); });
  };
  source_->start(std::move(events));
  sweep();
}

Edge::~Edge() {
  players_->stop();
  for (const auto &server : retired_) server->stop();
  operators_.stop();
  channels_.clear(); // they end their streams through the client, which goes next
}

void Edge::note_decision(double seconds) { counters_->decision.Observe(seconds); }

std::unique_ptr<http::Server> Edge::listen(const FrontRecord &record) {
  return std::make_unique<http::Server>(
      io_, record.players, record.limits.players,
      [this](const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
        on_player(request, exchange);
      });
}

// ---- Players.

std::optional<PlayTerms> Edge::terms_of(const http::Request &request, const std::string &title,
                                        http::Response &refusal, const std::string &peer) {
  auto refuse = [&](int status, const char *why, const std::string &text) {
    counters_->turned_away(why).Increment();
    refusal = plain(status, text);
    return std::nullopt;
  };
  auto place = catalogue_.find(title);
  if (place == catalogue_.end()) return refuse(404, "no_title", "no such title");
  PlayTerms terms;
  std::string product = request.query_value("product").value_or(record_.products[0].name);
  auto found = std::ranges::find(record_.products, product, &ProductTerms::name);
  if (found == record_.products.end()) return refuse(400, "no_product", "no such product");
  terms.product = static_cast<int>(found - record_.products.begin());
  terms.first_cell = place->second.first_cell;
  terms.cells = place->second.cells;
  auto seconds = [&](const char *name, std::optional<double> &into) {
    auto text = request.query_value(name);
    if (!text) return true;
    double value = 0;
    auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    bool right = error == std::errc() && end == text->data() + text->size() && value > 0 && value < 1e6;
    if (right) into = value;
    return right;
  };
  if (!seconds("time_left", terms.time_left) || !seconds("length", terms.length_hint))
    return refuse(400, "malformed", "time_left and length are seconds above 0");
  if (terms.time_left) terms.time_left = std::min(*terms.time_left, found->time_limit);
  hints::Cmcd hints;
  if (auto text = request.query_value("CMCD")) hints::read_cmcd(*text, hints);
  for (std::string_view name : hints::kCmcdHeaders) {
    if (auto text = request.headers.find(name)) hints::read_cmcd(*text, hints);
  }
  if (hints.malformed) {
    counters_->hints_malformed.Increment(hints.malformed);
    log_.debug("hints_malformed", {{"title", title}, {"keys", hints.malformed}});
  }
  if (hints.unknown) counters_->hints_unknown.Increment(hints.unknown);
  terms.viewer = hash53(hints.session.value_or(peer));
  terms.best_rung = static_cast<int>(record_.rung_rates.size()) - 1;
  // tb is the highest bitrate that the player can use, in kbps; rates here are kB a second.
  while (hints.top_kbps && terms.best_rung > 0 &&
         record_.rung_rates[static_cast<std::size_t>(terms.best_rung)] * found->rate_factor * 8 >
             *hints.top_kbps)
    --terms.best_rung;
  terms.again = request.query_value("again") == "1";
  terms.moved = request.query_value("moved") == "1";
  return terms;
}

void Edge::on_player(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  constexpr std::string_view kPlay = "/play/";
  auto from = std::chrono::steady_clock::now();
  auto refuse = [&](const char *why, http::Response response) {
    counters_->turned_away(why).Increment();
    exchange->answer(response);
  };
  if (!request.path.starts_with(kPlay) || request.path.size() == kPlay.size())
    return refuse("no_path", plain(404, "plays are asked for at /play/{title}"));
  if (request.method != "GET") {
    http::Response response = plain(405, "plays are asked for by GET");
    response.headers.add("Allow", "GET");
    return refuse("method", std::move(response));
  }
  if (!request.body.empty()) return refuse("body", plain(400, "no body is due here"));
  bool full = plays_.open() >= record_.limits.open_plays;
  if (service_ != Service::serving || !record_.take_plays || full) {
    http::Response response = plain(503, full ? "too many plays are held" : "not serving");
    response.headers.add("Retry-After", "1");
    return refuse(full                            ? "open_plays"
                  : service_ == Service::starting ? "starting"
                                                  : "draining",
                  std::move(response));
  }
  std::string title = request.path.substr(kPlay.size());
  http::Response refusal;
  auto terms = terms_of(request, title, refusal, exchange->peer);
  if (!terms) return exchange->answer(refusal);

  terms->title = titles_.index_of(title);
  std::uint64_t serial = next_play_++;
  int index = plays_.take(identity_.front + "-" + identity_.boot + "-" + std::to_string(serial));
  titles_.hold(index, terms->title);
  HeldPlay &play = plays_.at(index);
  play.serial = serial;
  play.player = exchange;
  play.product = terms->product, play.title = terms->title;
  play.asked_at = clock_.now();
  play.limit_at = play.asked_at + terms->time_left.value_or(
                                      record_.products[static_cast<std::size_t>(terms->product)].time_limit);
  limits_.push({play.limit_at + record_.answer_slack / 2, index, serial});
  play.resumed_at =
      clock_.exact() - std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
  exchange->on_gone = [this, index, id = play.id] {
    if (plays_.find(id) == index) on_player_gone(index);
  };
  counters_->taken.Increment();
  decide([&] { front_->play_asked(index, *terms); });
}

// The player closed before its answer: nobody waits for the play any more.
void Edge::on_player_gone(int index) {
  HeldPlay &play = plays_.at(index);
  play.player.reset();
  if (play.state != PlayState::asked && play.state != PlayState::allocating) return;
  counters_->plays(play.cause == Cause::overdue ? "failed" : "left", play.cause).Increment();
  log_.info("left", {{"play", play.id}, {"state", name_of(play.state)}});
  if (play.state == PlayState::asked) {
    decide([&] { front_->viewer_left(index); }); // the module forgets it
  } else {
    client_.cancel(play.request);
    channel(play.server).end(play.id, play.allocation, "left");
    int allocation = play.allocation;
    plays_.become(index, PlayState::leaving);
    decide([&] {
      front_->viewer_left(index);
      front_->allocation_ended(index, allocation, Outcome::recalled, true, {});
    });
  }
}

void Edge::answer(int index, http::Response response, const char *outcome) {
  HeldPlay &play = plays_.at(index);
  response.headers.add("Snowshore-Play", play.id);
  double now = clock_.exact();
  play.added += now - play.resumed_at;
  counters_->plays(outcome, play.cause).Increment();
  counters_->answer.Observe(now - play.asked_at);
  counters_->added.Observe(play.added);
  if (log_.writes(telemetry::Level::info))
    log_.info(outcome, {{"play", play.id},
                        {"title", titles_.id(play.title)},
                        {"product", record_.products[static_cast<std::size_t>(play.product)].name},
                        {"server", play.server >= 0 ? servers_.id(play.server) : ""},
                        {"rung", play.rung},
                        {"allocations", play.allocation + 1},
                        {"cause", name_of(play.cause)},
                        {"took", now - play.asked_at}});
  if (auto player = std::move(play.player)) player->answer(response);
}

// ---- What the module decides, carried out.

void Edge::set_rung(int index, int rung) {
  HeldPlay &play = plays_.at(index);
  play.rung = rung;
  if (play.state != PlayState::playing) return; // it goes with the set-up
  counters_->steps.Increment();
  channel(play.server).set_rung(play.id, rung);
}

void Edge::allocate(int index, int server, double time_out) {
  HeldPlay &play = plays_.at(index);
  last_allocation_ = clock_.now();
  play.server = server;
  int allocation = ++play.allocation;
  serverwire::SetUp set_up;
  set_up.play = play.id;
  set_up.title = titles_.id(play.title);
  set_up.product = record_.products[static_cast<std::size_t>(play.product)].name;
  set_up.front = identity_.front, set_up.boot = identity_.boot;
  set_up.rung = play.rung, set_up.allocation = allocation;
  double left = std::max(0.0, play.limit_at - clock_.exact());
  set_up.expires_in = time_out > 0 ? std::min(time_out, left) : 0;
  plays_.become(index, PlayState::allocating);
  auto done = [this, index, id = play.id, allocation](const Channel::SetUpResult &result) {
    if (plays_.find(id) == index) on_set_up_ended(index, allocation, result);
  };
  if (has_channel(server)) {
    play.request = channel(server).set_up(set_up, set_up.expires_in, std::move(done));
  } else { // a server that has no address any more: provably never sent
    Channel::SetUpResult result;
    result.outcome = Outcome::unreachable;
    asio::post(io_, [done, result] { done(result); });
  }
  play.added += clock_.exact() - play.resumed_at;
}

void Edge::on_set_up_ended(int index, int allocation, const Channel::SetUpResult &result) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  play.resumed_at = clock_.exact();
  counters_->allocations(result.outcome).Increment();
  if (!result.started) {
    play.cause = cause_of(result.outcome);
    if (log_.writes(telemetry::Level::debug))
      log_.debug("allocation", {{"play", play.id},
                                {"server", servers_.id(play.server)},
                                {"number", allocation},
                                {"outcome", given::name_of(result.outcome)}});
    plays_.become(index, PlayState::asked);
    decide([&] { front_->allocation_ended(index, allocation, result.outcome, false, result.load); });
    return;
  }
  plays_.become(index, PlayState::playing);
  play.started_at = clock_.now();
  http::Response response;
  response.status = 307;
  const http::Endpoint &at = channel(play.server).address();
  std::string host = at.address().is_v6() ? "[" + at.address().to_string() + "]" : at.address().to_string();
  response.headers.add("Location", "http://" + host + ":" + std::to_string(at.port()) + "/media/" +
                                       http::encode(play.id) +
                                       "?title=" + http::encode(titles_.id(play.title)) +
                                       "&rung=" + std::to_string(play.rung));
  response.headers.add("Cache-Control", "no-store");
  response.headers.add("Snowshore-Rung", std::to_string(play.rung));
  response.headers.add("CMSD-Dynamic", hints::write_cmsd(servers_.id(play.server), {result.load}));
  play.cause = Cause::none;
  answer(index, std::move(response), "plays");
  decide([&] { front_->play_starts(index, allocation, result.took); });
  if (record_.load_in_answers && result.load.link)
    decide([&] { front_->note_on_play(index, NoteKind::link_asked, *result.load.link); });
  if (record_.load_in_answers && result.load.uplink)
    decide([&] { front_->note_on_play(index, NoteKind::uplink_asked, *result.load.uplink); });
}

void Edge::decline(int index, double retry_after) {
  HeldPlay &play = plays_.at(index);
  if (play.allocation < 0) play.cause = Cause::no_rung;
  http::Response response = plain(503, "declined");
  // Retry-After is in whole seconds (RFC 9110 10.2.3); the exact advice stands beside it.
  response.headers.add("Retry-After", std::to_string(std::max(1, static_cast<int>(std::ceil(retry_after)))));
  response.headers.add("Snowshore-Retry-After", fixed(retry_after));
  answer(index, std::move(response), "declined");
  plays_.become(index, PlayState::answered);
}

void Edge::fail(int index) {
  HeldPlay &play = plays_.at(index);
  bool in_time = play.cause != Cause::timed_out && play.cause != Cause::overdue;
  answer(index, plain(in_time ? 502 : 504, "failed"), "failed");
  plays_.become(index, PlayState::answered);
}

// The server ends the play and tells its player to come again; it comes as a new request marked as moved.
void Edge::move(int index) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::playing) return;
  channel(play.server).end(play.id, play.allocation, "moved");
  asio::post(io_, [this, index, id = play.id] {
    if (plays_.find(id) == index && plays_.at(index).state == PlayState::playing)
      play_ended(index, Outcome::recalled);
  });
}

void Edge::recall(int index, int allocation) {
  HeldPlay &play = plays_.at(index);
  if (play.state != PlayState::allocating || play.allocation != allocation) return;
  client_.cancel(play.request);
  channel(play.server).end(play.id, allocation, "withdrawn");
  asio::post(io_, [this, index, id = play.id, allocation] {
    if (plays_.find(id) != index) return;
    Channel::SetUpResult result;
    result.outcome = Outcome::recalled;
    on_set_up_ended(index, allocation, result);
  });
}

void Edge::forget(int index) {
  titles_.let_go(index);
  plays_.become(index, PlayState::vacant);
}

void Edge::forget_server(int server) {
  if (!has_channel(server)) return;
  log_.info("server_forgotten", {{"server", servers_.id(server)}});
  // The channel may be the one whose event is being told: it goes after this turn.
  asio::post(io_,
             [gone = std::shared_ptr<Channel>(std::move(channels_[static_cast<std::size_t>(server)]))] {});
  servers_.release(server);
}

void Edge::probe(int server) {
  if (!has_channel(server)) return;
  counters_->probes.Increment();
  channel(server).probe([this, server, id = servers_.id(server)](Outcome outcome, const LoadReport &report) {
    if (servers_.find(id) != server) return; // forgotten meanwhile
    decide([&] { front_->probe_answered(server, outcome, report); });
  });
}

// ---- Timers of the module: one of the loop's, for the earliest.

void Edge::set_timer(double wait, int label) {
  timers_.push({clock_.now() + wait, label});
  arm();
}

void Edge::arm() {
  if (timers_.empty()) return;
  timer_.expires_after(span(std::max(0.0, timers_.top().at - clock_.exact())));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (!error && !alive.expired()) on_timer();
  });
}

void Edge::on_timer() {
  double now = clock_.now();
  while (!timers_.empty() && timers_.top().at <= now + 1e-4) {
    int label = timers_.top().label;
    timers_.pop();
    decide([&] { front_->timer(label); });
  }
  arm();
}

// Rule 1's last guard: the module answers in time by itself; should it ever not, the player still gets its
// one answer.
void Edge::sweep() {
  sweep_timer_.expires_after(span(kSweepEvery));
  sweep_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
    if (error || alive.expired()) return;
    double now = clock_.now();
    while (!limits_.empty() && limits_.top().at <= now) {
      auto [at, index, serial] = limits_.top();
      limits_.pop();
      HeldPlay &play = plays_.at(index);
      bool waits = play.state == PlayState::asked || play.state == PlayState::allocating;
      if (!waits || play.serial != serial) continue;
      counters_->overdue.Increment();
      play.cause = Cause::overdue;
      log_.error("overdue", {{"play", play.id}, {"state", name_of(play.state)}});
      if (auto player = std::exchange(play.player, nullptr)) player->answer(plain(504, "failed"));
      on_player_gone(index);
    }
    sweep();
  });
}

// ---- The list.

void Edge::on_list(ServerList list) {
  std::vector<ServerEntry> entries;
  for (const ListedServer &one : list.servers) {
    ServerEntry entry;
    entry.server = servers_.index_of(one.id);
    entry.number = hash53(one.id);
    entry.hall = halls_.index_of(one.hall);
    entry.kind = kinds_.find(one.kind);
    if (entry.kind < 0) log_.warning("unknown_kind", {{"server", one.id}, {"kind", one.kind}});
    entry.cell = one.cell;
    entry.standing = one.standing;
    entry.weight = one.weight;
    entry.started = std::min(one.started, clock_.now());
    auto place = static_cast<std::size_t>(entry.server);
    if (place >= channels_.size()) channels_.resize(place + 1);
    if (channels_[place]) {
      channels_[place]->set_address(one.address);
    } else {
      channels_[place] = std::make_unique<Channel>(
          io_, client_, entry.server, one.address, identity_, report_times_, seed_ ^ entry.number,
          [this] { return clock_.now(); }, channel_events_);
    }
    entries.push_back(entry);
  }
  if (list.version < list_version_)
    log_.warning("list_older", {{"version", list.version}, {"before", list_version_}});
  list_version_ = list.version;
  list_at_ = clock_.now();
  counters_->list_changes.Increment();
  log_.info("list", {{"version", list.version}, {"servers", list.servers.size()}});
  bool first = !has_list_;
  has_list_ = true;
  if (has_catalogue_ && service_ == Service::starting) service_ = Service::serving;
  list_ = std::move(list);
  decide([&] { front_->list_changed(first ? ListKind::held : ListKind::full, entries); });
}

// ---- What servers report.

void Edge::on_report(int server, const serverwire::Report &report) {
  int index = plays_.find(report.play);
  if (index < 0 || plays_.at(index).server != server || plays_.at(index).state != PlayState::playing) return;
  switch (report.kind) {
  case serverwire::Report::Kind::share:
    return decide([&] { front_->note_on_play(index, NoteKind::share_delivered, report.value); });
  case serverwire::Report::Kind::rung:
    plays_.at(index).rung = static_cast<int>(report.value);
    return decide([&] { front_->note_on_play(index, NoteKind::rung, report.value); });
  case serverwire::Report::Kind::load:
    if (report.link) decide([&] { front_->note_on_play(index, NoteKind::link_asked, *report.link); });
    if (report.uplink) decide([&] { front_->note_on_play(index, NoteKind::uplink_asked, *report.uplink); });
    return;
  case serverwire::Report::Kind::end:
    counters_->ended(report.reason == "done"   ? "done"
                     : report.reason == "left" ? "left"
                                               : "other")
        .Increment();
    return play_ended(index, report.reason == "lost" ? Outcome::reset : Outcome::done);
  default:
    return;
  }
}

void Edge::play_ended(int index, Outcome outcome) {
  int allocation = plays_.at(index).allocation;
  decide([&] { front_->allocation_ended(index, allocation, outcome, true, {}); });
}

// A stream that came back: ends that were missed meanwhile show in what the server still holds.
void Edge::on_hello(int server, const serverwire::Report &hello, double asked, bool restarted) {
  std::vector<std::string> held = hello.plays;
  std::ranges::sort(held);
  plays_.each([&](int index) {
    HeldPlay &play = plays_.at(index);
    if (play.state != PlayState::playing || play.server != server || play.started_at >= asked) return;
    if (std::ranges::binary_search(held, play.id)) return;
    counters_->missed_ends.Increment();
    counters_->ended(restarted ? "server_restarted" : "missed").Increment();
    play_ended(index, restarted ? Outcome::reset : Outcome::done);
  });
  for (const std::string &id : held) {
    int index = plays_.find(id);
    if (index >= 0 && plays_.at(index).server == server) continue;
    counters_->orphans.Increment();
    log_.info("orphan", {{"play", id}, {"server", servers_.id(server)}});
    channel(server).end(id, 0, "unknown");
  }
}

void Edge::on_lost(int server, const char *why) {
  counters_->lost_servers.Increment();
  log_.warning("server_lost", {{"server", servers_.id(server)}, {"cause", why}});
  plays_.each([&](int index) {
    HeldPlay &play = plays_.at(index);
    if (play.state != PlayState::playing || play.server != server) return;
    counters_->ended("server_lost").Increment();
    play_ended(index, Outcome::reset);
  });
}

// ---- Operators.

std::vector<std::pair<std::string, std::uint64_t>> Edge::answers_so_far() {
  std::map<std::string, std::uint64_t> sums;
  for (const auto &[key, counter] : counters_->by_outcome)
    sums[std::string(key.first)] += static_cast<std::uint64_t>(counter->Value());
  return {sums.begin(), sums.end()};
}

std::string Edge::metrics_text() {
  for (std::size_t s = 1; s < kPlayStates; ++s)
    metrics_
        .gauge("snowshore_plays_open", "Plays in hand, by state",
               {{"state", name_of(static_cast<PlayState>(s))}})
        .Set(static_cast<double>(plays_.count(static_cast<PlayState>(s))));
  counters_->list_age.Set(has_list_ ? clock_.now() - list_at_ : -1);
  counters_->list_version.Set(static_cast<double>(list_version_));
  counters_->timers.Set(static_cast<double>(timers_.size()));
  counters_->player_connections.Set(static_cast<double>(players_->connections()));
  counters_->server_connections.Set(static_cast<double>(client_.connections()));
  auto show = [&](const char *name, const char *help, std::uint64_t value) {
    metrics_.gauge(name, help).Set(static_cast<double>(value));
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
  return metrics_.text();
}

void Edge::on_operator(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange) {
  if (request.path == "/metrics") {
    http::Response response = plain(200, "");
    response.headers.all[0].value = "text/plain; version=0.0.4";
    response.body = metrics_text();
    exchange->answer(response);
  } else if (request.path == "/healthz") {
    exchange->answer(plain(200, "ok"));
  } else if (request.path == "/readyz") {
    bool ready = service_ == Service::serving && record_.take_plays;
    exchange->answer(plain(ready ? 200 : 503, ready                           ? "ready"
                                              : service_ == Service::starting ? "no list yet"
                                                                              : "draining"));
  } else {
    exchange->answer(plain(404, "operators' pages: /metrics, /healthz, /readyz"));
  }
}

std::vector<std::string> Edge::reload(const FrontRecord &next) {
  record_.limits = next.limits;
  record_.log_level = next.log_level;
  take_limits();
  std::vector<std::string> rest;
  if (next.given != record_.given) {
    for (const auto &[name, value] : next.given) {
      if (auto it = record_.given.find(name); it == record_.given.end() || it->second != value)
        rest.push_back(name);
    }
    for (const auto &[name, value] : record_.given) {
      if (!next.given.contains(name)) rest.push_back(name);
    }
  }
  if (next.name != record_.name) rest.push_back("name");
  if (next.players != record_.players || next.operators != record_.operators) rest.push_back("listen");
  if (next.list_file != record_.list_file || next.catalogue_file != record_.catalogue_file)
    rest.push_back("list");
  if (next.log_where != record_.log_where) rest.push_back("log.where");
  return rest;
}

void Edge::drain(std::function<void()> done) {
  service_ = Service::draining;
  drained_ = std::move(done);
  check_drained();
}

void Edge::check_drained() {
  if (service_ != Service::draining || !drained_) return;
  if (plays_.count(PlayState::asked) + plays_.count(PlayState::allocating) > 0) {
    timer_of_drain_.expires_after(span(kSweepEvery));
    timer_of_drain_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](asio::error_code error) {
      if (!error && !alive.expired()) check_drained();
    });
    return;
  }
  players_->drain(std::exchange(drained_, nullptr));
}

} // namespace snowshore::edge
