// The event loop of a front end's process, with its signals: SIGHUP reads the configuration again, SIGTERM
// and SIGINT drain the front end and then end the process.
#pragma once
#include "telemetry/log.h"
#include "telemetry/loop_clock.h"

#include <asio.hpp>

#include <functional>

namespace snowshore::edge {

// What serve() calls on the executor when a signal comes.
struct SignalHandlers {
  // Called for SIGHUP. An exception is logged as a refused reload.
  std::function<void()> reload;
  // Called for the first SIGTERM or SIGINT; calling `done` ends serve().
  std::function<void(std::function<void()> done)> drain;
};

// Registers the signals and ignores SIGPIPE, so that a closed log or connection does not end the process.
// Called before anything that takes time: signals that come from then on are kept until serve() handles them.
asio::signal_set register_signals(asio::io_context &io);

// Runs the executor and returns once it is drained. The clock is read once for each batch of handlers. While
// draining, SIGHUP is still handled; another SIGTERM or SIGINT has no effect.
void serve(asio::io_context &io, asio::signal_set &signals, telemetry::LoopClock &clock, telemetry::Log &log,
           SignalHandlers handlers);

} // namespace snowshore::edge
