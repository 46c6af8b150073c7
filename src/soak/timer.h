// A timer that needs no owner.
#pragma once
#include <asio.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace snowshore::soak {

// Calls `call` on the executor after so many seconds.
inline void run_after(asio::io_context &io, double seconds, std::function<void()> call) {
  auto timer =
      std::make_shared<asio::steady_timer>(io, std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, call = std::move(call)](asio::error_code error) {
    if (!error) call();
  });
}

} // namespace snowshore::soak
