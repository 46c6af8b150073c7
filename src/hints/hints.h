// CMCD (CTA-5004): what a player says with a request. CMSD (CTA-5006): what a server says with an answer;
// load is told in CMSD-Dynamic under keys of our own, prefixed by a reversed name as the document asks.
#pragma once
#include "decision/policy.h"
#include "hints/structured.h"

#include <optional>
#include <string>
#include <string_view>

namespace snowshore::hints {

struct Cmcd {
  std::optional<std::string> session_id;          // sid
  std::optional<std::string> content_id;          // cid
  std::optional<double> measured_throughput_kbps; // mtp
  std::optional<double> top_bitrate_kbps;         // tb
  std::optional<double> buffer_length_ms;         // bl
  bool startup = false;                           // su
  bool buffer_starved = false;                    // bs
  std::optional<std::string> stream_type;         // st: v, l
  std::optional<std::string> streaming_format;    // sf
  int malformed = 0, unknown = 0;                 // keys passed over
};

constexpr std::string_view kCmcdHeaders[] = {"CMCD-Request", "CMCD-Object", "CMCD-Status", "CMCD-Session"};

// Adds what one header, or the decoded query argument, says.
void parse_cmcd(std::string_view text, Cmcd &into);
std::string write_cmcd(const Cmcd &hints); // for the query argument, not encoded

struct CmsdLoad : LoadReport {
  bool duress = false; // du
  int malformed = 0;
};

// The last entry of a CMSD-Dynamic list is the nearest server's; later hops before it are passed over.
CmsdLoad parse_cmsd(std::string_view text);
std::string write_cmsd(std::string_view server, const CmsdLoad &load);

} // namespace snowshore::hints
