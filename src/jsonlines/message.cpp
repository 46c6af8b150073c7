// Parsing and writing of messages of the viewers' line protocol.
#include "jsonlines/message.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snowshore::jsonlines {

namespace {

using Json = nlohmann::json;

// A description of this size fits a line even if each byte takes six, as control characters do.
constexpr std::size_t kAlwaysCarriedBytes = (kMaxLineBytes - 256) / 6;

// Returns the text as a JSON string literal, or nothing when it is not UTF-8.
std::optional<std::string> json_string(std::string_view text) {
  try {
    return Json(text).dump();
  } catch (const Json::type_error &) {
    return std::nullopt;
  }
}

// Returns the start of a message, up to and including the brace that opens its options.
std::string message_prefix(const char *verb, std::uint64_t tag) {
  return std::string(R"({"verb":")") + verb + R"(","tag":")" + format_hex16(tag) + R"(","opts":{)";
}

} // namespace

const std::string *Message::find_option(std::string_view name) const {
  auto it = std::ranges::find(opts, name, &std::pair<std::string, std::string>::first);
  return it == opts.end() ? nullptr : &it->second;
}

std::optional<Message> parse_message(std::string_view line, ParseError &error) {
  auto fail = [&](std::string reason) {
    error.reason = std::move(reason);
    return std::nullopt;
  };
  Json json = Json::parse(line, nullptr, false);
  if (json.is_discarded()) return fail("not valid JSON");
  if (!json.is_object()) return fail("not a JSON object");
  Message out;
  auto tag = json.find("tag");
  if (tag == json.end() || !tag->is_string()) return fail("tag must be 16 lowercase hex digits");
  auto id = parse_hex16(tag->get_ref<const std::string &>());
  if (!id) return fail("tag must be 16 lowercase hex digits");
  out.tag = *id, error.tag = *id;
  auto verb = json.find("verb");
  if (verb == json.end() || !verb->is_string()) return fail("verb must be a string");
  out.verb = verb->get<std::string>();
  if (auto opts = json.find("opts"); opts != json.end()) {
    if (!opts->is_object()) return fail("opts must be an object");
    for (const auto &[name, value] : opts->items()) {
      if (value.is_string())
        out.opts.emplace_back(name, value.get<std::string>());
      else if (value.is_number())
        out.opts.emplace_back(name, value.dump());
      else
        return fail("opts." + name.substr(0, 40) + " must be a string or a number");
    }
  }
  if (auto cause = json.find("rc"); cause != json.end()) {
    if (!cause->is_number()) return fail("rc must be a number");
    out.cause = cause->get<double>();
  }
  if (auto blob = json.find("blob"); blob != json.end()) {
    if (!blob->is_string()) return fail("blob must be a string");
    out.description = blob->get<std::string>();
  }
  return out;
}

std::optional<std::string> write_started(std::uint64_t tag, std::string_view description) {
  auto blob = json_string(description);
  if (!blob) return std::nullopt;
  std::string line = message_prefix("STARTED", tag);
  line.append(R"(},"blob":)").append(*blob).append("}");
  if (line.size() > kMaxLineBytes) return std::nullopt;
  line += '\n';
  return line;
}

bool can_carry_description(std::string_view description) {
  bool is_short_ascii =
      description.size() <= kAlwaysCarriedBytes &&
      std::ranges::all_of(description, [](char c) { return static_cast<unsigned char>(c) < 0x80; });
  return is_short_ascii || write_started(0, description).has_value();
}

std::string write_finish(std::uint64_t tag, int cause, std::optional<std::uint64_t> wait_ms) {
  std::string out = message_prefix("FINISH", tag);
  if (wait_ms) out += R"("wait":")" + std::to_string(*wait_ms) + '"';
  return out + R"(},"rc":)" + std::to_string(cause) + "}\n";
}

std::string write_finished(std::uint64_t tag) { return message_prefix("FINISHED", tag) + "}}\n"; }
std::string write_echoed(std::uint64_t tag, bool passed) {
  return message_prefix("ECHOED", tag) + R"(},"rc":)" + (passed ? "1" : "0") + "}\n";
}
std::string write_move(std::uint64_t tag) { return message_prefix("MOVE", tag) + "}}\n"; }

} // namespace snowshore::jsonlines
