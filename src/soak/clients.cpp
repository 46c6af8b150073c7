#include "soak/clients.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace snowshore::soak {

namespace {

constexpr std::size_t kKept = 6;   // connections that requests share
constexpr double kCrossing = 0.05; // a request that crosses the close of its connection is sent once more
constexpr double kNewConnection = 0.15; // share of requests on a connection of their own
constexpr double kCloseWithoutSession = 4;
constexpr int kRefused[] = {34, 42, 102};
constexpr std::uint64_t kTestTag = 0xe0;
// Of runs that break a rule on purpose: the share of lines kept back, seconds until a test counts as passed.
constexpr double kBrokenShare = 0.1, kBrokenReady = 11;

std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

} // namespace

Clients::Clients(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int front,
                 asio::ip::tcp::endpoint at, std::uint64_t seed)
    : io_(io), scenario_(scenario), ledger_(ledger), front_(front), at_(at), rng_(seed) {}

void Clients::later(double seconds, std::function<void()> call) {
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, call = std::move(call)](asio::error_code error) {
    if (!error) call();
  });
}

void Clients::start() {
  asks_ = true;
  ask_later();
}

void Clients::ask_later() {
  later(rng_.exponential(1 / (scenario_.traffic.request_rate * factor_)), [this] {
    if (!asks_) return;
    ask(false);
    ask_later();
  });
}

Clients::LinkRef Clients::any_open() {
  std::vector<LinkRef> open;
  for (const LinkRef &link : links_) {
    if (!link->idle && !link->bad && link->wire->is_open()) open.push_back(link);
  }
  return open.empty() ? nullptr
                      : open[static_cast<std::size_t>(rng_.uniform_int(0, static_cast<int>(open.size()) - 1))];
}

void Clients::ask(bool again) {
  const Deployment &d = scenario_.deployment;
  Request request;
  request.service_class = rng_.uniform_int(0, static_cast<int>(d.classes.size()) - 1);
  const ServiceClass &terms = d.classes[static_cast<std::size_t>(request.service_class)];
  request.left = terms.deadline * (rng_.bernoulli(0.1) ? rng_.uniform(0.1, 1) : 1);
  // A title lies in one to three cells; few titles are asked for often.
  std::uint64_t rank = static_cast<std::uint64_t>(rng_.exponential(d.cells * 1.5));
  request.title = 0x7f3a9c2100000000ULL + rank;
  request.home = static_cast<int>(rank * 2654435761ULL % static_cast<std::uint64_t>(d.cells));
  request.copies = std::min(d.cells, 1 + static_cast<int>(rank % 3));
  request.top = std::max(terms.floor, rng_.uniform_int(1, 3));
  request.viewer = rng_.next_u64();
  request.again = again;
  std::uint64_t session = (static_cast<std::uint64_t>(front_) + 1) << 40 | next_++;
  bool busy = links_.size() >= kKept;
  LinkRef link = busy && !rng_.bernoulli(kNewConnection) ? any_open() : nullptr;
  if (!link && !takes_part_) link = any_open(); // the distributor sends nobody new; who is connected goes on
  if (link) {
    requests_[session] = request;
    return send(session, link);
  }
  if (!takes_part_) return;
  connect([this, session, request](LinkRef made) {
    if (!made) return; // never taken
    requests_[session] = request;
    send(session, made);
  });
}

void Clients::connect(std::function<void(LinkRef)> then) {
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  socket->async_connect(at_, [this, socket, then = std::move(then)](asio::error_code error) {
    if (error) return then(nullptr);
    auto link = std::make_shared<Link>();
    link->wire = std::make_shared<Wire>(std::move(*socket), faults_);
    link->opened_at = now();
    links_.insert(link);
    Wire::Events events;
    events.bytes = [this, link](std::string_view bytes) {
      link->heard.append(bytes);
      for (std::size_t end; (end = link->heard.find('\n')) != std::string::npos;) {
        std::string line = link->heard.substr(0, end);
        link->heard.erase(0, end + 1);
        on_line(link, line);
      }
    };
    events.closed = [this, link] { closed(link); };
    link->wire->start(std::move(events));
    then(link);
  });
}

std::string Clients::start_line(std::uint64_t session, const Request &request, const std::string &at) const {
  nlohmann::ordered_json line;
  std::string extras = "home:" + std::to_string(request.home) + ";copies:" + std::to_string(request.copies) +
                       ";top:" + std::to_string(request.top) + ";viewer:" + hex16(request.viewer);
  if (request.again) extras += ";again:1";
  if (!at.empty()) extras += ";at:" + at;
  line["verb"] = "START";
  line["tag"] = hex16(session);
  line["opts"] = {
      {"class", scenario_.deployment.classes[static_cast<std::size_t>(request.service_class)].name},
      {"left", std::to_string(static_cast<long>(request.left * 1000))},
      {"key", hex16(request.title)},
      {"extras", extras}};
  line["blob"] = "c=" + hex16(session) + "\r\n";
  return line.dump() + "\n";
}

void Clients::send(std::uint64_t session, const LinkRef &link) {
  Request &request = requests_[session];
  if (!request.sent_again) {
    ledger_.request_issued(session, front_, request.service_class, request.title, request.left, request.top);
    if (rng_.bernoulli(scenario_.traffic.early_leave_share)) {
      double after = rng_.bernoulli(0.3) ? rng_.uniform(0, 0.01)
                                          : rng_.exponential(scenario_.traffic.mean_set_up_time * 1.5);
      if (breaks_on_purpose(scenario_, Rule::gone)) after = 0;
      later(after, [this, session, link] { leave(session, link); });
    }
  }
  link->open[session] = now();
  link->wire->say(start_line(session, request, ""), [this, session, link] {
    ledger_.request_written(session);
    if (auto it = link->open.find(session); it != link->open.end()) it->second = now();
  });
}

void Clients::leave(std::uint64_t session, const LinkRef &link) {
  if (!link->wire->is_open() || !link->open.contains(session)) return;
  bool closes = link->open.size() == 1 && link->sessions.empty();
  ledger_.client_gave_up(session, closes ? "closes" : "says so");
  if (breaks_on_purpose(scenario_, Rule::gone)) return; // and does not tell
  if (closes) {
    link->wire->close();
    links_.erase(link);
  } else {
    link->wire->say(R"({"verb":"FINISH","tag":")" + hex16(session) + R"(","opts":{},"rc":16})" + "\n");
  }
  link->open.erase(session);
  requests_.erase(session);
}

void Clients::on_line(const LinkRef &link, std::string_view text) {
  auto line = nlohmann::json::parse(text, nullptr, false);
  if (line.is_discarded() || !line.is_object()) {
    if (!link->bad) ledger_.connection_lost_while_waiting(link->open.empty() ? 0 : link->open.begin()->first);
    return;
  }
  std::string verb = line.value("verb", "");
  std::uint64_t session = std::strtoull(line.value("tag", "0").c_str(), nullptr, 16);
  int cause = line.contains("rc") && line["rc"].is_number() ? line["rc"].get<int>() : 0;
  if (verb == "ECHOED") {
    if (breaks_on_purpose(scenario_, Rule::ready) && now() - tested_since_ < kBrokenReady) return;
    if (cause == 1 && on_test_passed_) std::exchange(on_test_passed_, nullptr)();
    return;
  }
  bool is_final = verb == "STARTED" || verb == "FINISH";
  bool is_answer = is_final && link->open.contains(session);
  if (breaks_on_purpose(scenario_, Rule::lost) && is_answer && rng_.bernoulli(kBrokenShare)) return;
  if (breaks_on_purpose(scenario_, Rule::release) && verb == "FINISH" && !is_answer && rng_.bernoulli(kBrokenShare))
    return;
  if (link->bad || verb == "FINISHED" || verb == "PENDING" || verb == "RATE" || verb == "NOTICE") return;
  if (verb == "STARTED") {
    bool was_open = link->open.erase(session) > 0;
    ledger_.answer_received(session, Answer::active, line.value("blob", ""), 0);
    if (!was_open || !requests_.contains(session)) return; // the client has left: it ends what it is told of
    active_.insert(session);
    link->sessions.insert(session);
    if (rng_.bernoulli(scenario_.traffic.client_release_share))
      later(rng_.exponential(scenario_.traffic.mean_session_length / 2), [this, session] { end_session(session); });
    return;
  }
  double wait = 0;
  if (line.contains("opts") && line["opts"].is_object() && line["opts"].contains("wait")) {
    const auto &value = line["opts"]["wait"];
    wait = value.is_number()   ? value.get<double>() / 1e3
           : value.is_string() ? std::atof(value.get<std::string>().c_str()) / 1e3
                               : 0;
  }
  if (verb == "FINISH" || verb == "MOVE") on_final(link, session, verb == "MOVE" ? 31 : cause, wait);
}

void Clients::on_final(const LinkRef &link, std::uint64_t session, int cause, double wait) {
  if (link->open.erase(session) > 0) {
    bool refused = std::ranges::find(kRefused, cause) != std::end(kRefused);
    ledger_.answer_received(session, refused ? Answer::refused : Answer::failed, "", cause);
    requests_.erase(session);
    if (refused && rng_.bernoulli(scenario_.traffic.retry_share))
      later(wait * rng_.uniform(0.3, 1) + 0.01, [this] {
        if (asks_) ask(true);
      });
    return;
  }
  if (active_.erase(session) > 0) requests_.erase(session);
  ledger_.end_reported(session, cause);
}

void Clients::end_session(std::uint64_t session) {
  LinkRef link = any_open();
  if (!link || active_.erase(session) == 0) return;
  requests_.erase(session);
  link->wire->say(R"({"verb":"FINISH","tag":")" + hex16(session) + R"(","opts":{},"rc":16})" + "\n",
                  [this, session] { ledger_.client_ended_session(session); });
}

void Clients::closed(const LinkRef &link) {
  if (links_.erase(link) == 0) return;
  link->wire->close();
  for (std::uint64_t session : link->sessions) ledger_.client_connection_closed(session);
  for (const auto &[session, written_at] : std::exchange(link->open, {})) {
    Request &request = requests_[session];
    if (killed_) {
      ledger_.waive_answer(session, "its front end was killed");
    } else if (now() - written_at <= kCrossing && !request.sent_again && link->sessions.empty() + 1 > 0) {
      request.sent_again = true;
      connect([this, session = session](LinkRef made) {
        if (!made) return ledger_.waive_answer(session, "it crossed a close, and nobody listens");
        ledger_.add_note(session, "sent once more, it crossed a close");
        send(session, made);
      });
      continue;
    } else {
      ledger_.connection_lost_while_waiting(session);
    }
    requests_.erase(session);
  }
}

void Clients::front_killed() { killed_ = true; }

void Clients::front_gone() {
  auto links = links_;
  for (const LinkRef &link : links) closed(link);
  takes_part_ = false;
}

void Clients::test(std::function<void()> on_passed) {
  killed_ = false;
  tested_since_ = now();
  on_test_passed_ = std::move(on_passed);
}

void Clients::front_is_up() {
  connect([this](LinkRef link) {
    if (!link) return;
    for (std::uint64_t session : active_) {
      std::string server = server_name_of(session);
      if (server.empty()) continue;
      link->sessions.insert(session);
      link->wire->say(start_line(session, requests_[session], server),
                      [this, session] { ledger_.session_handed_over(session); });
    }
  });
}

void Clients::open_idle(int count) {
  for (int i = 0; i < count; ++i)
    connect([](LinkRef link) {
      if (link) link->idle = true;
    });
}

void Clients::misbehave(int count) {
  for (int i = 0; i < count; ++i)
    connect([this](LinkRef link) {
      if (!link) return;
      link->bad = true;
      std::string id = hex16(0xbad0000000000000ULL | rng_.next_u64() >> 32);
      const std::string lines[] = {"no json at all\n",
                                   R"({"verb":"START","tag":")" + id + "\n",
                                   R"({"verb":"START","tag":")" + id +
                                       R"(","opts":{"class":"none","left":"-4"},"blob":"x"})" + "\n",
                                   R"({"verb":"FINISH","tag":")" + id + R"(","opts":{},"rc":16})" + "\n",
                                   std::string(20000, 'x'),
                                   R"({"verb":"START")"};
      link->wire->say(lines[rng_.uniform_int(0, 5)]);
    });
}

void Clients::look() {
  if (on_test_passed_) { // on a connection of its own each time, as the platform's distributor does
    connect([](LinkRef link) {
      if (!link) return;
      link->idle = true;
      link->wire->say(R"({"verb":"ECHO","tag":")" + hex16(kTestTag) + R"(","opts":{},"rc":0})" + "\n");
    });
  }
  auto links = links_;
  for (const LinkRef &link : links) {
    bool done =
        link->open.empty() && link->sessions.empty() && now() - link->opened_at > kCloseWithoutSession;
    if (!done || (!link->idle && links_.size() <= kKept)) continue;
    link->wire->close();
    links_.erase(link);
  }
}

} // namespace snowshore::soak
