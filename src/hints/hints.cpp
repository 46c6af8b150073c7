#include "hints/hints.h"

#include <array>

namespace snowshore::hints {

namespace {

// Keys of CTA-5004 that are known and not used here: not counted as unknown.
constexpr std::string_view kUnused[] = {"br", "d", "dl", "nor", "nrr", "ot", "pr", "rtp", "v"};
constexpr std::string_view kStreams = "com.snowshore-streams", kShare = "com.snowshore-share",
                           kLink = "com.snowshore-link", kUplink = "com.snowshore-uplink";

bool put_number(const Item &item, std::optional<double> &into) {
  auto value = std::get_if<double>(&item);
  if (!value || *value < 0) return false;
  into = *value;
  return true;
}

constexpr std::size_t kLongestText = 64; // CTA-5004's own limit

bool put_token(const Item &item, std::optional<std::string> &into) {
  auto token = std::get_if<Token>(&item);
  if (!token || token->text.size() > kLongestText) return false;
  into = token->text;
  return true;
}

// Some players leave the quotes of an id away; its limit holds either way.
bool put_text(const Item &item, std::optional<std::string> &into) {
  auto text = std::get_if<std::string>(&item);
  if (!text) return put_token(item, into);
  if (text->size() > kLongestText) return false;
  into = *text;
  return true;
}

bool put_flag(const Item &item, bool &into) {
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
    bool right = true;
    if (member.key == "sid") {
      right = put_text(member.value, into.session_id);
    } else if (member.key == "cid") {
      right = put_text(member.value, into.content_id);
    } else if (member.key == "mtp") {
      right = put_number(member.value, into.measured_throughput_kbps);
    } else if (member.key == "tb") {
      right = put_number(member.value, into.top_bitrate_kbps);
    } else if (member.key == "bl") {
      right = put_number(member.value, into.buffer_length_ms);
    } else if (member.key == "su") {
      right = put_flag(member.value, into.startup);
    } else if (member.key == "bs") {
      right = put_flag(member.value, into.buffer_starved);
    } else if (member.key == "st") {
      right = put_token(member.value, into.stream_type);
    } else if (member.key == "sf") {
      right = put_token(member.value, into.streaming_format);
    } else {
      bool known = false;
      for (std::string_view key : kUnused) known = known || key == member.key;
      into.unknown += !known;
    }
    into.malformed += !right;
  }
}

std::string write_cmcd(const Cmcd &hints) {
  std::string out;
  auto put = [&](std::string_view key, const Item &item) {
    if (!out.empty()) out += ',';
    out += key;
    if (!std::holds_alternative<bool>(item)) out += '=' + write_item(item);
  };
  if (hints.buffer_starved) put("bs", true);
  if (hints.content_id) put("cid", *hints.content_id);
  if (hints.measured_throughput_kbps) put("mtp", *hints.measured_throughput_kbps);
  if (hints.streaming_format) put("sf", Token{*hints.streaming_format});
  if (hints.session_id) put("sid", *hints.session_id);
  if (hints.stream_type) put("st", Token{*hints.stream_type});
  if (hints.startup) put("su", true);
  if (hints.top_bitrate_kbps) put("tb", *hints.top_bitrate_kbps);
  return out;
}

CmsdLoad parse_cmsd(std::string_view text) {
  CmsdLoad load;
  ParsedField parsed = parse_list(text);
  load.malformed = parsed.malformed;
  if (parsed.members.empty()) return load;
  for (const auto &[key, item] : parsed.members.back().parameters) {
    bool right = true;
    if (key == kStreams) {
      right = put_number(item, load.streams);
    } else if (key == kShare) {
      right = put_number(item, load.link_share);
    } else if (key == kLink) {
      right = put_number(item, load.link_demand);
    } else if (key == kUplink) {
      right = put_number(item, load.uplink_demand);
    } else if (key == "du") {
      right = put_flag(item, load.duress);
    }
    load.malformed += !right;
  }
  return load;
}

std::string write_cmsd(std::string_view server, const CmsdLoad &load) {
  std::string out = write_item(std::string(server));
  auto put = [&](std::string_view key, const std::optional<double> &value) {
    if (value) out += ";" + std::string(key) + "=" + write_item(*value);
  };
  if (load.duress) out += ";du";
  put(kStreams, load.streams);
  put(kShare, load.link_share);
  put(kLink, load.link_demand);
  put(kUplink, load.uplink_demand);
  return out;
}

} // namespace snowshore::hints
