// One call after so many seconds, on the executor; gone with it.
#pragma once
#include "telemetry/loop_clock.h"

#include <asio.hpp>

#include <memory>
#include <utility>

namespace snowshore::lab {

template <class F> void later(asio::io_context &io, double seconds, F f) {
  auto timer = std::make_shared<asio::steady_timer>(io, telemetry::to_timer_duration(seconds));
  timer->async_wait([timer, f = std::move(f)](asio::error_code error) mutable {
    if (!error) f();
  });
}

} // namespace snowshore::lab
