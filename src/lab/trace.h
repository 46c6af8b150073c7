// Declares the trace: what the sockets of the simulated servers and players observe, one JSON object per line
// with its time. The judge reads nothing else.
#pragma once
#include "telemetry/loop_clock.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>
#include <string>

namespace snowshore::lab {

using Json = nlohmann::json;

class Trace {
 public:
  // Truncates the file. Throws std::runtime_error if it cannot be written.
  Trace(const std::string &file, telemetry::LoopClock &clock) : out_(file), clock_(clock) {
    if (!out_) throw std::runtime_error("cannot write " + file);
  }
  // Writes a line, to whose object the name of the event ("is") and the time in seconds ("t") are added.
  // Invalid UTF-8 is replaced.
  void write(const char *event, Json record) {
    record["t"] = clock_.read_now();
    record["is"] = event;
    out_ << record.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
  }
  void flush() { out_.flush(); }

 private:
  std::ofstream out_;
  telemetry::LoopClock &clock_;
};

} // namespace snowshore::lab
