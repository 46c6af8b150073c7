// CMCD (CTA-5004), which players send with requests, and CMSD (CTA-5006), which servers send with responses.
// Servers report their load in CMSD-Dynamic under custom keys, whose names start with a reversed domain name
// as CTA-5006 requires.
#pragma once
#include "decision/policy.h"
#include "hints/structured.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowshore::hints {

// The CMCD keys that are used; the comments give the key of each member.
struct Cmcd {
  std::optional<std::string> session_id;          // sid
  std::optional<std::string> content_id;          // cid
  std::optional<double> measured_throughput_kbps; // mtp
  std::optional<double> top_bitrate_kbps;         // tb
  std::optional<double> buffer_length_ms;         // bl
  bool startup = false;                           // su
  bool buffer_starved = false;                    // bs
  std::optional<std::string> stream_type;         // st: v (on demand) or l (live)
  std::optional<std::string> streaming_format;    // sf
  // The number of keys that were ignored.
  int malformed = 0, unknown = 0;
};

constexpr std::string_view kCmcdHeaders[] = {"CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"};

// Adds the keys of one CMCD header or of the decoded CMCD query argument to `into`.
void parse_cmcd(std::string_view text, Cmcd &into);
// Returns the value of the CMCD query argument, not yet percent-encoded.
std::string write_cmcd(const Cmcd &hints);

struct CmsdLoad : LoadReport {
  bool duress = false; // du
  int malformed = 0;
};

// Reads the last entry of a CMSD-Dynamic list, which the nearest server has added; the entries of earlier
// hops are ignored.
CmsdLoad parse_cmsd(std::string_view text);
std::string write_cmsd(std::string_view server, const CmsdLoad &load);

} // namespace snowshore::hints
