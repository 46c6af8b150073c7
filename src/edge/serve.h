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

// Made before anything that takes time: from then on signals are kept until serve() looks at them, and a
// closed log or connection does not end the process.
asio::signal_set keep_signals(asio::io_context &io);

// Returns once drained. While draining, SIGHUP is still heard; another SIGTERM or SIGINT changes nothing.
void serve(asio::io_context &io, asio::signal_set &signals, telemetry::LoopClock &clock, telemetry::Log &log,
           Signals on);

} // namespace snowshore::edge
