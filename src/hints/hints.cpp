// Mapping of CMCD and CMSD keys to and from structured fields.
#include "hints/hints.h"

#include <array>

namespace snowshore::hints {

namespace {

// Keys of CTA-5004 that are recognized but not used, so that they are not counted as unknown.
constexpr std::string_view kIgnoredKeys[] = {"br", "d", "dl", "nor", "nrr", "ot", "pr", "rtp", "v"};
constexpr std::string_view kStreamsKey = "com.snowshore-streams", kShareKey = "com.snowshore-share",
                           kLinkKey = "com.snowshore-link", kUplinkKey = "com.snowshore-uplink";

// Each store_* function returns false and leaves `into` unchanged when the item has the wrong type or is out
// of range.
bool store_number(const Item &item, std::optional<double> &into) {
  auto value = std::get_if<double>(&item);
  if (!value || *value < 0) return false;
  into = *value;
  return true;
}

// The limit of CTA-5004 on session and content identifiers.
constexpr std::size_t kMaxTextLength = 64;

bool store_token(const Item &item, std::optional<std::string> &into) {
  auto token = std::get_if<Token>(&item);
  if (!token || token->text.size() > kMaxTextLength) return false;
  into = token->text;
  return true;
}

// Some players omit the quotes of an identifier; the limit applies in either form.
bool store_text(const Item &item, std::optional<std::string> &into) {
  auto text = std::get_if<std::string>(&item);
  if (!text) return store_token(item, into);
  if (text->size() > kMaxTextLength) return false;
  into = *text;
  return true;
}

bool store_flag(const Item &item, bool &into) {
  auto flag = std::get_if<bool>(&item);
  if (!flag) return false;
  into = *flag;
  return true;
}

} // namespace

void parse_cmcd(std::string_view text, Cmcd &into) {
  ParsedField parsed = parse_dictionary(text);
  into.malformed += parsed.malformed;
  for (const Member &member : parsed.members) {
    bool valid = true;
    if (member.key == "sid") {
      valid = store_text(member.value, into.session_id);
    } else if (member.key == "cid") {
      valid = store_text(member.value, into.content_id);
    } else if (member.key == "mtp") {
      valid = store_number(member.value, into.measured_throughput_kbps);
    } else if (member.key == "tb") {
      valid = store_number(member.value, into.top_bitrate_kbps);
    } else if (member.key == "bl") {
      valid = store_number(member.value, into.buffer_length_ms);
    } else if (member.key == "su") {
      valid = store_flag(member.value, into.startup);
    } else if (member.key == "bs") {
      valid = store_flag(member.value, into.buffer_starved);
    } else if (member.key == "st") {
      valid = store_token(member.value, into.stream_type);
    } else if (member.key == "sf") {
      valid = store_token(member.value, into.streaming_format);
    } else {
      bool known = false;
      for (std::string_view key : kIgnoredKeys) known = known || key == member.key;
      into.unknown += !known;
    }
    into.malformed += !valid;
  }
}

std::string write_cmcd(const Cmcd &hints) {
  std::string out;
  auto append = [&](std::string_view key, const Item &item) {
    if (!out.empty()) out += ',';
    out += key;
    if (!std::holds_alternative<bool>(item)) out += '=' + write_item(item);
  };
  if (hints.buffer_starved) append("bs", true);
  if (hints.content_id) append("cid", *hints.content_id);
  if (hints.measured_throughput_kbps) append("mtp", *hints.measured_throughput_kbps);
  if (hints.streaming_format) append("sf", Token{*hints.streaming_format});
  if (hints.session_id) append("sid", *hints.session_id);
  if (hints.stream_type) append("st", Token{*hints.stream_type});
  if (hints.startup) append("su", true);
  if (hints.top_bitrate_kbps) append("tb", *hints.top_bitrate_kbps);
  return out;
}

CmsdLoad parse_cmsd(std::string_view text) {
  CmsdLoad load;
  ParsedField parsed = parse_list(text);
  load.malformed = parsed.malformed;
  if (parsed.members.empty()) return load;
  for (const auto &[key, item] : parsed.members.back().parameters) {
    bool valid = true;
    if (key == kStreamsKey) {
      valid = store_number(item, load.streams);
    } else if (key == kShareKey) {
      valid = store_number(item, load.link_share);
    } else if (key == kLinkKey) {
      valid = store_number(item, load.link_demand);
    } else if (key == kUplinkKey) {
      valid = store_number(item, load.uplink_demand);
    } else if (key == "du") {
      valid = store_flag(item, load.duress);
    }
    load.malformed += !valid;
  }
  return load;
}

std::string write_cmsd(std::string_view server, const CmsdLoad &load) {
  std::string out = write_item(std::string(server));
  auto append = [&](std::string_view key, const std::optional<double> &value) {
    if (value) out += ";" + std::string(key) + "=" + write_item(*value);
  };
  if (load.duress) out += ";du";
  append(kStreamsKey, load.streams);
  append(kShareKey, load.link_share);
  append(kLinkKey, load.link_demand);
  append(kUplinkKey, load.uplink_demand);
  return out;
}

} // namespace snowshore::hints
