// Declares call_after(), which calls a function after a delay.
#pragma once
#include "telemetry/loop_clock.h"

#include <asio.hpp>

#include <memory>
#include <utility>

namespace snowshore::lab {

// Calls `f` on the executor of `io` after `seconds`. The call cannot be cancelled; it does not happen if the
// executor is destroyed first.
template <class F> void call_after(asio::io_context &io, double seconds, F f) {
  auto timer = std::make_shared<asio::steady_timer>(io, telemetry::to_timer_duration(seconds));
  timer->async_wait([timer, f = std::move(f)](asio::error_code error) mutable {
    if (!error) f();
  });
}

} // namespace snowshore::lab
