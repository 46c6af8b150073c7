// What the stand-ins' own sockets saw, one JSON object a line with its time; the judge reads nothing else.
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
  Trace(const std::string &file, telemetry::LoopClock &clock) : out_(file), clock_(clock) {
    if (!out_) throw std::runtime_error("cannot write " + file);
  }
  void put(const char *is, Json line) {
    line["t"] = clock_.read_now();
    line["is"] = is;
    out_ << line.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
  }
  void flush() { out_.flush(); }

 private:
  std::ofstream out_;
  telemetry::LoopClock &clock_;
};

} // namespace snowshore::lab
