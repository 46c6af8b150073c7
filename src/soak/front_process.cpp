#include "soak/front_process.h"
#include "soak/ledger.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace snowshore::soak {

namespace {

constexpr std::size_t kControlBytes = 4096;
constexpr const char *kZones[] = {"hall-a", "hall-b"};

std::string dotted(const asio::ip::tcp::endpoint &at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

std::string server_name(std::uint32_t id) {
  char text[16];
  std::snprintf(text, sizeof text, "s-%08x", id);
  return text;
}

nlohmann::json settings_of(const Scenario &scenario, int index) {
  const Deployment &d = scenario.deployment;
  nlohmann::json s;
  s["group_size"] = d.front_ends;
  s["index"] = index;
  s["areas"] = nlohmann::json::array();
  for (int z = 0; z < d.zones; ++z) s["areas"].push_back(kZones[z]);
  s["skus"] = {"k"}, s["my_zone"] = kZones[index % d.zones], s["discovery"] = "pushed",
  s["weights"] = "rough";
  nlohmann::json family;
  for (const ServiceClass &one : d.classes) {
    s["classes"].push_back({{"name", one.name},
                            {"on_time", one.on_time},
                            {"deadline", one.deadline},
                            {"worth", 1.0},
                            {"effect", breaks_on_purpose(scenario, Rule::unsafe_repeat) ? "safe" : one.effect},
                            {"stream", true}});
    family["class_floor"].push_back(one.floor);
    family["class_top"].push_back(one.top);
    family["class_seats"].push_back(breaks_on_purpose(scenario, Rule::seats) ? 0 : one.seats);
    family["rate_factor"].push_back(1.0);
    family["is_live"].push_back(false);
  }
  family["cells"] = d.cells;
  family["kind_slots"] = {d.slots_per_server};
  family["groups"] = d.racks;
  family["ladder_kb"] = {100, 200, 400, 800};
  family["worth_by_rung"] = {0.2, 0.5, 0.8, 1.0};
  family["seen_after"] = 0.5;
  family["reports_every"] = d.note_interval;
  family["link_unit_kb"] = 40000;
  family["rack_link_kb"] = 0;
  family["full_from"] = 1.2;
  s["family_info"] = family;
  s["limits"] = {{"attempts_cap", d.max_attempts}, {"cancel", true},
                 {"probes", d.probes_enabled},         {"retry_after", true},
                 {"max_retry_after", 0.5},     {"connect_timeout", d.connect_timeout},
                 {"idle_close", d.idle_timeout}, {"multiplex", d.multiplex}};
  s["report"] = {{"how", "answers"}, {"names", {"cpu", "x1"}}};
  s["prices"] = {{"probe", 0.0}};
  s["rules"] = {{"answer_slack", 0.04},
                {"cold", d.warm_up_time},
                {"cold_from", d.cold_capacity_share},
                {"fall_multiple", breaks_on_purpose(scenario, Rule::cold) ? 1000.0 : d.overload_multiple},
                {"tip_after", d.overload_window},
                {"stop_sending_within", d.drain_grace},
                {"repeat_ratio", d.retry_ratio},
                {"free_resends", breaks_on_purpose(scenario, Rule::budget) ? 1000.0 : d.retry_allowance},
                {"budget_span", d.retry_window}};
  return s;
}

double megabytes(const std::string &status, const char *name) {
  std::size_t at = status.find(name);
  return at == std::string::npos ? 0 : std::atof(status.c_str() + at + std::string(name).size()) / 1024;
}

} // namespace

FrontProcess::FrontProcess(const Scenario &scenario, const FrontFiles &files, int index,
                           asio::ip::tcp::endpoint listen)
    : scenario_(scenario), files_(files), index_(index), listen_(listen) {
  std::string path = files_.folder + "/control-" + std::to_string(index_);
  int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0 || ftruncate(file, kControlBytes) != 0) throw std::runtime_error(path + ": cannot be made");
  void *at = mmap(nullptr, kControlBytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (at == MAP_FAILED) throw std::runtime_error(path + ": cannot be mapped");
  control_ = static_cast<unsigned char *>(at);
}

FrontProcess::~FrontProcess() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  munmap(control_, kControlBytes);
}

void FrontProcess::write_config(const Discovery &discovery, std::uint64_t seed) {
  nlohmann::json config;
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
  const Deployment &d = scenario_.deployment;
  config["name"] = "n" + std::to_string(index_);
  config["listen"] = dotted(listen_);
  config["seed"] = text;
  config["limits"] = {{"cores", d.core_share}, {"memory_mb", d.memory_mb}, {"sockets", d.sockets}};
  config["channel"] = dotted(discovery.at(discovery.place()));
  constexpr const char *kStates[] = {"active", "leaving", "left"};
  nlohmann::json targets = nlohmann::json::array();
  for (const auto &[id, one] : discovery.list())
    targets.push_back({{"uid", server_name(id)},
                       {"endpoint", dotted(one.at)},
                       {"az", kZones[one.zone]},
                       {"model", "k"},
                       {"pod_group", one.cell},
                       {"state", kStates[static_cast<int>(one.state)]},
                       {"capacity_hint", 1},
                       {"boot_ms", one.started_ms}});
  config["known"] = {
      {"cursor", discovery.last()},
      {"cmds",
       {{{"cursor", discovery.last()}, {"nodes", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}};
  config["settings"] = settings_of(scenario_, index_);
  std::string path = files_.folder + "/config-" + std::to_string(index_) + ".json";
  std::ofstream(path + ".next") << config.dump();
  std::filesystem::rename(path + ".next", path);
}

std::string FrontProcess::log() const { return files_.folder + "/front-" + std::to_string(index_) + ".log"; }

void FrontProcess::start() {
  ++life_;
  std::string config = files_.folder + "/config-" + std::to_string(index_) + ".json";
  std::string source = asio::ip::address_v4(source_of(index_)).to_string();
  std::string control = files_.folder + "/control-" + std::to_string(index_), log_path = log();
  std::string discovery = asio::ip::address_v4(kDiscoveryAddress).to_string();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("no process can be made");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    close_range(3, ~0U, 0);
    rlimit descriptors{static_cast<rlim_t>(scenario_.deployment.sockets),
                       static_cast<rlim_t>(scenario_.deployment.sockets)};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    setenv("NODE_CONFIG", config.c_str(), 1);
    setenv("SOAK_SOURCE", source.c_str(), 1);
    setenv("SOAK_CONTROL", control.c_str(), 1);
    setenv("SOAK_BLACKHOLE", files_.blackhole.c_str(), 1);
    setenv("SOAK_DISCOVERY", discovery.c_str(), 1);
    setenv("LD_PRELOAD", files_.shim.c_str(), 1);
    execl(files_.program.c_str(), files_.program.c_str(), "edge", "--platform", nullptr);
    _exit(127);
  }
  clock_getcpuclockid(pid_, &cpu_clock_);
  cpu_seen_ = 0;
  stopped_ = false;
}

void FrontProcess::signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

bool FrontProcess::ended(int &status) {
  if (pid_ <= 0) return false;
  siginfo_t info{};
  if (waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != pid_)
    return false;
  at_end_.cpu = cpu();
  rusage use{};
  wait4(pid_, &status, 0, &use);
  at_end_.peak_mb = static_cast<double>(use.ru_maxrss) / 1024;
  at_end_.cpu = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
                static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
  pid_ = 0;
  return true;
}

void FrontProcess::cut(bool servers, bool discovery) {
  control_[0] = servers;
  control_[1] = discovery;
}

double FrontProcess::cpu() const {
  timespec used{};
  if (pid_ <= 0 || clock_gettime(cpu_clock_, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

void FrontProcess::throttle(double at) {
  double share = scenario_.deployment.core_share;
  if (pid_ <= 0 || share >= 1) return;
  if (stopped_) {
    if (at < stopped_until_) return;
    stopped_ = false;
    ::kill(pid_, SIGCONT);
    return;
  }
  double used = cpu();
  double fresh = used - std::exchange(cpu_seen_, used);
  if (fresh < 1e-4) return;
  stopped_ = true;
  stopped_until_ = at + fresh * (1 / share - 1);
  ::kill(pid_, SIGSTOP);
}

FrontUsage FrontProcess::usage() const {
  FrontUsage out;
  if (pid_ <= 0) return out;
  out.cpu = cpu();
  std::string proc = "/proc/" + std::to_string(pid_);
  std::ifstream in(proc + "/status");
  std::ostringstream all;
  all << in.rdbuf();
  out.peak_mb = megabytes(all.str(), "VmHWM:");
  out.resident_mb = megabytes(all.str(), "VmRSS:");
  std::error_code failed;
  for (auto it = std::filesystem::directory_iterator(proc + "/fd", failed);
       !failed && it != std::filesystem::directory_iterator(); it.increment(failed))
    ++out.descriptors;
  return out;
}

} // namespace snowshore::soak
