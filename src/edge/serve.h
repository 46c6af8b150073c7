// A front's process at work: turns of its loop, each under one clock reading, and the signals. SIGHUP reads
// the configuration again, SIGTERM and SIGINT end as planned.
#pragma once
#include "telemetry/log.h"
#include "telemetry/loop_clock.h"

#include <asio.hpp>

#include <functional>

namespace snowshore::edge {

struct Signals {
  std::function<void()> read_again;                      // what it throws is a refusal, said in the log
  std::function<void(std::function<void()> done)> drain; // done ends the process
};

// Returns once drained.
void serve(asio::io_context &io, telemetry::LoopClock &clock, telemetry::Log &log, Signals on);

} // namespace snowshore::edge
