#include "soak/front_process.h"
#include "soak/ids.h"
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

std::string host_port(const asio::ip::tcp::endpoint &endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
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
  for (const ServiceClass &service_class : d.classes) {
    s["classes"].push_back(
        {{"name", service_class.name},
         {"on_time", service_class.on_time},
         {"deadline", service_class.deadline},
         {"worth", 1.0},
         {"effect", breaks_on_purpose(scenario, Rule::unsafe_repeat) ? "safe" : service_class.effect},
         {"stream", true}});
    family["class_floor"].push_back(service_class.floor);
    family["class_top"].push_back(service_class.top);
    family["class_seats"].push_back(breaks_on_purpose(scenario, Rule::seats) ? 0 : service_class.seats);
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
                 {"probes", d.probes_enabled},     {"retry_after", true},
                 {"max_retry_after", 0.5},         {"connect_timeout", d.connect_timeout},
                 {"idle_close", d.idle_timeout},   {"multiplex", d.multiplex}};
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

FrontProcess::FrontProcess(const Scenario &scenario, const FrontLaunchOptions &options, int index,
                           asio::ip::tcp::endpoint listen_endpoint)
    : scenario_(scenario), options_(options), index_(index), listen_endpoint_(listen_endpoint) {
  std::string path = options_.output_folder + "/control-" + std::to_string(index_);
  int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file < 0 || ftruncate(file, kControlBytes) != 0) throw std::runtime_error(path + ": cannot be created");
  void *mapping = mmap(nullptr, kControlBytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (mapping == MAP_FAILED) throw std::runtime_error(path + ": cannot be mapped");
  control_ = static_cast<unsigned char *>(mapping);
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
  config["listen"] = host_port(listen_endpoint_);
  config["seed"] = text;
  config["limits"] = {{"cores", d.core_share}, {"memory_mb", d.memory_mb}, {"sockets", d.sockets}};
  config["channel"] = host_port(discovery.endpoint(discovery.active_listener()));
  constexpr const char *kStates[] = {"active", "leaving", "left"};
  nlohmann::json targets = nlohmann::json::array();
  for (const auto &[id, entry] : discovery.list())
    targets.push_back({{"uid", server_name(id)},
                       {"endpoint", host_port(entry.endpoint)},
                       {"az", kZones[entry.zone]},
                       {"model", "k"},
                       {"pod_group", entry.cell},
                       {"state", kStates[static_cast<int>(entry.state)]},
                       {"capacity_hint", 1},
                       {"boot_ms", entry.start_time_ms}});
  config["known"] = {{"cursor", discovery.last_change()},
                     {"cmds",
                      {{{"cursor", discovery.last_change()},
                        {"nodes", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}};
  config["settings"] = settings_of(scenario_, index_);
  std::string path = options_.output_folder + "/config-" + std::to_string(index_) + ".json";
  std::ofstream(path + ".next") << config.dump();
  std::filesystem::rename(path + ".next", path);
}

std::string FrontProcess::log_path() const {
  return options_.output_folder + "/front-" + std::to_string(index_) + ".log";
}

void FrontProcess::start() {
  ++generation_;
  std::string config = options_.output_folder + "/config-" + std::to_string(index_) + ".json";
  std::string source = asio::ip::address_v4(source_address_of(index_)).to_string();
  std::string control = options_.output_folder + "/control-" + std::to_string(index_), log_file = log_path();
  std::string discovery = asio::ip::address_v4(kDiscoveryAddress).to_string();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start the front end: fork failed");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int out = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    close_range(3, ~0U, 0);
    rlimit descriptors{static_cast<rlim_t>(scenario_.deployment.sockets),
                       static_cast<rlim_t>(scenario_.deployment.sockets)};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    setenv("NODE_CONFIG", config.c_str(), 1);
    setenv("SOAK_SOURCE", source.c_str(), 1);
    setenv("SOAK_CONTROL", control.c_str(), 1);
    setenv("SOAK_BLACKHOLE", options_.blackhole_address.c_str(), 1);
    setenv("SOAK_DISCOVERY", discovery.c_str(), 1);
    setenv("LD_PRELOAD", options_.shim.c_str(), 1);
    execl(options_.program.c_str(), options_.program.c_str(), "edge", "--platform", nullptr);
    _exit(127);
  }
  clock_getcpuclockid(pid_, &cpu_clock_);
  last_cpu_seconds_ = 0;
  stopped_ = false;
}

void FrontProcess::send_signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

bool FrontProcess::poll_exit(int &status) {
  if (pid_ <= 0) return false;
  siginfo_t info{};
  if (waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 || info.si_pid != pid_)
    return false;
  exit_usage_.cpu_seconds = cpu_seconds();
  rusage use{};
  wait4(pid_, &status, 0, &use);
  exit_usage_.peak_mb = static_cast<double>(use.ru_maxrss) / 1024;
  exit_usage_.cpu_seconds = static_cast<double>(use.ru_utime.tv_sec + use.ru_stime.tv_sec) +
                            static_cast<double>(use.ru_utime.tv_usec + use.ru_stime.tv_usec) / 1e6;
  pid_ = 0;
  return true;
}

void FrontProcess::set_isolation(bool servers, bool discovery) {
  control_[0] = servers;
  control_[1] = discovery;
}

double FrontProcess::cpu_seconds() const {
  timespec used{};
  if (pid_ <= 0 || clock_gettime(cpu_clock_, &used) != 0) return 0;
  return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

void FrontProcess::throttle(double time) {
  double share = scenario_.deployment.core_share;
  if (pid_ <= 0 || share >= 1) return;
  if (stopped_) {
    if (time < stopped_until_) return;
    stopped_ = false;
    ::kill(pid_, SIGCONT);
    return;
  }
  double used = cpu_seconds();
  double recent = used - std::exchange(last_cpu_seconds_, used);
  if (recent < 1e-4) return;
  stopped_ = true;
  stopped_until_ = time + recent * (1 / share - 1);
  ::kill(pid_, SIGSTOP);
}

FrontUsage FrontProcess::usage() const {
  FrontUsage out;
  if (pid_ <= 0) return out;
  out.cpu_seconds = cpu_seconds();
  std::string proc = "/proc/" + std::to_string(pid_);
  // Between fork and exec the child still holds this process's memory and descriptors.
  std::error_code failed;
  if (!std::filesystem::equivalent(proc + "/exe", options_.program, failed)) return out;
  std::ifstream in(proc + "/status");
  std::ostringstream status;
  status << in.rdbuf();
  out.peak_mb = megabytes(status.str(), "VmHWM:");
  out.resident_mb = megabytes(status.str(), "VmRSS:");
  std::error_code error;
  for (auto it = std::filesystem::directory_iterator(proc + "/fd", error);
       !error && it != std::filesystem::directory_iterator(); it.increment(error))
    ++out.descriptors;
  return out;
}

} // namespace snowshore::soak
