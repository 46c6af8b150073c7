// One front end of the soak as a real process: its configuration file, its start, signals and exit, and its
// share of a core.
#pragma once
#include "soak/discovery.h"
#include "soak/scenario.h"

#include <sys/types.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace snowshore::soak {

struct FrontLaunchOptions {
  // Paths as in RunOptions, and the address:port that never completes a handshake.
  std::string program, shim, output_folder, blackhole_address;
};

struct FrontUsage { // of the running process, or of the last one
  double cpu_seconds = 0, peak_mb = 0, resident_mb = 0;
  int descriptors = 0;
};

class FrontProcess {
 public:
  // Creates the control file that the preloaded library reads; throws std::runtime_error if that fails.
  FrontProcess(const Scenario &scenario, const FrontLaunchOptions &options, int index,
               asio::ip::tcp::endpoint listen_endpoint);
  // Kills the process if it is still running.
  ~FrontProcess();
  // Replaces the configuration file with one that holds discovery's current address and list.
  void write_config(const Discovery &discovery, std::uint64_t seed);
  // Starts the process; throws std::runtime_error if it can't be created.
  void start();
  void send_signal(int number);
  bool is_running() const { return pid_ > 0; }
  // Returns true once after the process has exited, with its wait status.
  bool poll_exit(int &status);
  // Sets whether new connections of the process to servers and to discovery fail.
  void set_isolation(bool servers, bool discovery);
  // Called every millisecond. Stops the process while it has used more than its share of a core.
  void throttle(double time);
  FrontUsage usage() const;
  // Returns the CPU time and peak memory of the last process that exited.
  const FrontUsage &exit_usage() const { return exit_usage_; }
  const asio::ip::tcp::endpoint &listen_endpoint() const { return listen_endpoint_; }
  std::string log_path() const;

 private:
  double cpu_seconds() const;
  const Scenario &scenario_;
  const FrontLaunchOptions &options_;
  int index_;
  asio::ip::tcp::endpoint listen_endpoint_;
  pid_t pid_ = 0;
  clockid_t cpu_clock_ = 0;
  unsigned char *control_ = nullptr; // the mapped control file
  double last_cpu_seconds_ = 0, stopped_until_ = 0;
  bool stopped_ = false;
  int generation_ = 0; // number of starts
  FrontUsage exit_usage_;
};

} // namespace snowshore::soak
