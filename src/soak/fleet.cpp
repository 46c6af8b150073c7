#include "soak/fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace snowshore::soak {

namespace {

constexpr double kReloadAfterReady = 1; // no SIGHUP within the first second
constexpr int kLooksASlowLook = 10;

asio::ip::tcp::endpoint free_port(asio::io_context &io, asio::ip::address_v4 address) {
  asio::ip::tcp::acceptor probe(io, {address, 0});
  return probe.local_endpoint();
}

} // namespace

Fleet::Fleet(asio::io_context &io, const Scenario &scenario, Ledger &ledger, FrontFiles files, double start)
    : io_(io), scenario_(scenario), ledger_(ledger), files_(std::move(files)), rng_(scenario.seed * 7 + 3),
      blackhole_(io, asio::ip::address_v4(kUnreachableAddress), [](asio::ip::tcp::socket) {}),
      discovery_(io, scenario, ledger, start),
      lives_(static_cast<std::size_t>(scenario.deployment.front_ends)),
      next_id_(static_cast<std::uint32_t>(scenario.deployment.servers) + 1) {
  const Deployment &d = scenario.deployment;
  blackhole_.listen();
  blackhole_.hold(true);
  files_.blackhole = blackhole_.at().address().to_string() + ":" + std::to_string(blackhole_.at().port());
  std::vector<ListEntry> all;
  for (int s = 0; s < d.servers; ++s) {
    servers_.push_back(std::make_unique<StandInServer>(io, scenario, ledger, s, rng_.next_u64()));
    servers_.back()->start(false);
    all.push_back(entry(s));
  }
  int change = discovery_.change(all);
  for (int s = 0; s < d.servers; ++s) ledger_.server_started(s, change, false);
  for (int f = 0; f < d.front_ends; ++f) {
    auto listen = free_port(io, asio::ip::address_v4(kFrontAddresses + static_cast<std::uint32_t>(f)));
    fronts_.push_back(std::make_unique<FrontProcess>(scenario, files_, f, listen));
    clients_.push_back(std::make_unique<Clients>(io, scenario, ledger, f, listen, rng_.next_u64()));
    clients_.back()->server_name_of = [this](std::uint64_t session) {
      std::uint32_t id = ledger_.server_id_of(session);
      if (id == 0) return std::string();
      char text[16];
      std::snprintf(text, sizeof text, "s-%08x", id);
      return std::string(text);
    };
  }
}

Fleet::~Fleet() = default;

ListEntry Fleet::entry(int index) const {
  const StandInServer &its = *servers_[static_cast<std::size_t>(index)];
  ListEntry out;
  out.id = its.id();
  out.at = its.at();
  out.started_ms = its.started_ms();
  out.cell = index % scenario_.deployment.cells;
  out.zone = index % scenario_.deployment.zones;
  return out;
}

void Fleet::later(double seconds, std::function<void()> call) {
  auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, call = std::move(call)](asio::error_code error) {
    if (!error) call();
  });
}

void Fleet::start_all() {
  for (int f = 0; f < fronts(); ++f) start_front(f);
}

void Fleet::start_front(int front) {
  auto at = static_cast<std::size_t>(front);
  Life &life = lives_[at];
  Life next;
  next.cpu_before = life.cpu_before;
  next.peak_mb = life.peak_mb;
  next.descriptors = life.descriptors;
  life = next;
  fronts_[at]->write_config(discovery_, rng_.next_u64());
  ledger_.front_started(front);
  fronts_[at]->start();
  clients_[at]->test([this, front] {
    Life &its = lives_[static_cast<std::size_t>(front)];
    its.ready = true;
    its.ready_at = now();
    ledger_.front_ready(front);
    clients(front).front_is_up();
    clients(front).take_part(true);
  });
}

bool Fleet::all_ready() const { return std::ranges::all_of(lives_, &Life::ready); }

void Fleet::start_traffic() {
  traffic_ = true;
  for (auto &one : clients_) one->start();
}

void Fleet::stop_traffic() {
  traffic_ = false;
  for (auto &one : clients_) one->stop();
}

void Fleet::terminate(int front, bool comes_back) {
  auto at = static_cast<std::size_t>(front);
  Life &life = lives_[at];
  if (!fronts_[at]->runs() || !life.ready || life.planned) return;
  life.planned = true;
  life.comes_back = comes_back;
  life.kill_at = now() + scenario_.deployment.earliest_kill_delay();
  ledger_.front_sigterm_sent(front);
  if (!breaks_on_purpose(scenario_, Rule::owed_at_exit)) fronts_[at]->signal(SIGTERM);
  later(rng_.uniform(0.2, 0.4), [this, front] {
    if (lives_[static_cast<std::size_t>(front)].planned) clients(front).take_part(false);
  });
}

void Fleet::kill(int front, double back_after) {
  auto at = static_cast<std::size_t>(front);
  if (!fronts_[at]->runs() || lives_[at].planned) return;
  lives_[at].comes_back = true;
  lives_[at].back_at = now() + back_after;
  if (breaks_on_purpose(scenario_, Rule::crash)) return fronts_[at]->signal(SIGKILL); // by nobody that anyone knows of
  lives_[at].killed = true;
  clients(front).front_killed();
  ledger_.front_killed(front);
  fronts_[at]->signal(SIGKILL);
}

void Fleet::reload(int front) {
  auto at = static_cast<std::size_t>(front);
  if (!fronts_[at]->runs() || !lives_[at].ready) return;
  fronts_[at]->signal(SIGHUP);
  ledger_.discovery_reachable(front, true);
}

void Fleet::move_discovery() {
  discovery_.move();
  for (int f = 0; f < fronts(); ++f) {
    auto at = static_cast<std::size_t>(f);
    fronts_[at]->write_config(discovery_, rng_.next_u64());
    lives_[at].needs_reload = true;
    ledger_.discovery_reachable(f, false);
  }
}

void Fleet::cut(int front, bool is_cut) {
  fronts_[static_cast<std::size_t>(front)]->cut(is_cut, is_cut);
  discovery_.hold_front(front, is_cut);
  for (auto &one : servers_) one->hold_front(front, is_cut);
}

void Fleet::on_end(int front, int status) {
  auto at = static_cast<std::size_t>(front);
  Life &life = lives_[at];
  if (!life.killed) ledger_.front_exited(front, life.planned, false, status);
  clients(front).front_gone();
  const FrontUsage &used = fronts_[at]->at_end();
  life.cpu_before += used.cpu;
  life.peak_mb = std::max(life.peak_mb, used.peak_mb);
  life.ready = false;
  life.kill_at = -1;
  if (life.comes_back && life.back_at < 0) life.back_at = now() + rng_.uniform(0.1, 0.6);
}

void Fleet::look() {
  for (int f = 0; f < fronts(); ++f) {
    auto at = static_cast<std::size_t>(f);
    Life &life = lives_[at];
    int status = 0;
    if (fronts_[at]->ended(status)) on_end(f, status);
    if (fronts_[at]->runs() && life.kill_at >= 0 && now() >= life.kill_at) {
      life.kill_at = -1;
      life.killed = true;
      ledger_.front_exited(f, true, true, 0);
      clients(f).front_killed();
      fronts_[at]->signal(SIGKILL);
    }
    if (!fronts_[at]->runs() && life.back_at >= 0 && life.comes_back && now() >= life.back_at) start_front(f);
    if (life.needs_reload && life.ready && now() - life.ready_at > kReloadAfterReady) {
      life.needs_reload = false;
      reload(f);
    }
  }
  ledger_.run_due_checks(now());
  if (++looks_ % kLooksASlowLook != 0) return;
  discovery_.look();
  for (auto &one : servers_) one->look();
  for (auto &one : clients_) one->look();
}

void Fleet::throttle() {
  double at = now();
  for (auto &one : fronts_) one->throttle(at);
}

bool Fleet::any_runs() const {
  return std::ranges::any_of(fronts_, [](const auto &one) { return one->runs(); });
}

void Fleet::announce(int index, ServerState state) {
  ListEntry one = entry(index);
  one.state = state;
  int number = discovery_.change({one});
  if (state == ServerState::active)
    ledger_.server_reactivated(index);
  else
    ledger_.server_leaving(index, number);
}

void Fleet::repeat(int index) {
  auto listed = discovery_.list().find(server(index).id());
  if (listed != discovery_.list().end()) discovery_.change({ListEntry(listed->second)});
}

// The process ends at once; where it comes back it is cold, and it may have another id by then.
void Fleet::restart_server(int index, double back_after, bool new_id) {
  StandInServer &its = server(index);
  if (!its.runs()) return;
  its.crash();
  if (new_id) announce(index, ServerState::left);
  later(back_after, [this, index, new_id] {
    StandInServer &again = server(index);
    if (new_id) again.take_id(next_id_++);
    again.start(true);
    ListEntry one = entry(index);
    int number = discovery_.last() + 1;
    ledger_.server_started(index, number, true);
    discovery_.change({one});
  });
}

void Fleet::read_logs() {
  for (int f = 0; f < fronts(); ++f) {
    std::ifstream in(fronts_[static_cast<std::size_t>(f)]->log());
    if (breaks_on_purpose(scenario_, Rule::denied)) ledger_.guard_denial_logged(f, "on purpose");
    for (std::string line; std::getline(in, line);) {
      if (line.find("\"event\":\"denied\"") != std::string::npos) ledger_.guard_denial_logged(f, line);
    }
  }
}

void Fleet::measure() {
  for (int f = 0; f < fronts(); ++f) {
    auto at = static_cast<std::size_t>(f);
    if (!fronts_[at]->runs()) continue;
    FrontUsage used = fronts_[at]->usage();
    lives_[at].descriptors = std::max(lives_[at].descriptors, used.descriptors);
    lives_[at].peak_mb = std::max(lives_[at].peak_mb, used.peak_mb);
    if (used.descriptors > 0) ledger_.check_usage(f, used.resident_mb, used.descriptors);
  }
}

Fleet::Usage Fleet::usage_of(int front) const {
  auto at = static_cast<std::size_t>(front);
  FrontUsage used = fronts_[at]->usage();
  return {lives_[at].cpu_before + used.cpu, lives_[at].peak_mb, lives_[at].descriptors};
}

std::uint64_t Fleet::connections() const {
  std::uint64_t sum = 0;
  for (const auto &one : servers_) sum += one->accepted();
  return sum;
}

} // namespace snowshore::soak
