#include "platform/outcome_mapping.h"
#include "settings/translation.h"

namespace snowshore::platform {

SetUpOutcome set_up_outcome(rtsp::EndReason end, const rtsp::Message *message) {
  switch (end) {
  case rtsp::EndReason::connection_refused:
  case rtsp::EndReason::connect_failed:
    return {Outcome::unreachable};
  case rtsp::EndReason::closed:
  case rtsp::EndReason::reset:
    return {Outcome::reset};
  // The request was not sent, through no fault of the server.
  case rtsp::EndReason::no_capacity:
    return {Outcome::skipped};
  case rtsp::EndReason::timed_out:
    return {Outcome::timed_out};
  // The server received the request; its answer was damaged on the way.
  case rtsp::EndReason::unreadable:
    return {Outcome::error};
  case rtsp::EndReason::answered:
    break;
  }
  // The server released the session before it answered.
  if (!message || message->status == 0) return {Outcome::reset};
  switch (message->status) {
  case 200:
    return {Outcome::done, true};
  case 453:
    return {Outcome::busy};
  case 454:
    return {Outcome::skipped};
  case 504:
    return {Outcome::reset};
  default:
    return {Outcome::error};
  }
}

std::optional<int> release_cause(const rtsp::Message &message) {
  auto reason = message.find_header("Reason");
  if (!reason) return std::nullopt;
  std::size_t position = reason->find("cause=");
  if (position == std::string_view::npos) return std::nullopt;
  std::string_view digits = reason->substr(position + 6);
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  auto value = settings::parse_number(digits);
  return value && *value < 1000 ? std::optional(static_cast<int>(*value)) : std::nullopt;
}

Outcome release_outcome(int cause) {
  if (cause == kCauseEnded) return Outcome::done;
  if (cause == kCauseMoved) return Outcome::recalled;
  return Outcome::reset;
}

Outcome probe_outcome(rtsp::EndReason end, const rtsp::Message *message) {
  if (end == rtsp::EndReason::timed_out) return Outcome::timed_out;
  if (end == rtsp::EndReason::connection_refused || end == rtsp::EndReason::connect_failed)
    return Outcome::unreachable;
  // The probe was not sent, which says nothing about the server's state.
  if (end == rtsp::EndReason::no_capacity) return Outcome::busy;
  if (!message) return Outcome::reset;
  return message->status == 200 ? Outcome::done : message->status == 503 ? Outcome::busy : Outcome::error;
}

} // namespace snowshore::platform
