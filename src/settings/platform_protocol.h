// Values of the platform's protocol that several packages use. Times are in seconds.
#pragma once

namespace snowshore::settings {

// The end of a session has to be told within this time, however it was learnt.
inline constexpr double kReleaseTimeLimit = 8;

// Cause codes: the session ran to its end, continues on another server, was declined, failed; the request was
// invalid.
inline constexpr int kCauseEnded = 16, kCauseMoved = 31, kCauseDeclined = 34, kCauseFailed = 41,
                     kCauseBadRequest = 100;

} // namespace snowshore::settings
