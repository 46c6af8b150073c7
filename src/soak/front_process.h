// One front end of the soak as a real process: its configuration file, its start, signals and end, and how
// much of a core it gets.
#pragma once
#include "soak/discovery.h"
#include "soak/scenario.h"

#include <sys/types.h>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace snowshore::soak {

struct FrontFiles {
  std::string program, shim, folder, blackhole; // shim: the library that front ends are started with
};

struct FrontUsage {
  double cpu = 0, peak_mb = 0, resident_mb = 0; // of the life at hand; seconds, MB
  int descriptors = 0;
};

class FrontProcess {
 public:
  FrontProcess(const Scenario &scenario, const FrontFiles &files, int index, asio::ip::tcp::endpoint listen);
  ~FrontProcess();
  void write_config(const Discovery &discovery, std::uint64_t seed);
  void start();
  void signal(int number);
  bool runs() const { return pid_ > 0; }
  bool ended(int &status);                // once: it has ended, and how
  void cut(bool servers, bool discovery); // off from them
  void throttle(double at); // once a millisecond: stops it where it has had more than its share of a core
  FrontUsage usage() const;
  const FrontUsage &at_end() const { return at_end_; }
  const asio::ip::tcp::endpoint &listen() const { return listen_; }
  std::string log() const;

 private:
  double cpu() const;
  const Scenario &scenario_;
  const FrontFiles &files_;
  int index_;
  asio::ip::tcp::endpoint listen_;
  pid_t pid_ = 0;
  clockid_t cpu_clock_ = 0;
  unsigned char *control_ = nullptr;
  double cpu_seen_ = 0, stopped_until_ = 0;
  bool stopped_ = false;
  int life_ = 0;
  FrontUsage at_end_;
};

} // namespace snowshore::soak
