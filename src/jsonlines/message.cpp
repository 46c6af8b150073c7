#include "jsonlines/message.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace snowshore::jsonlines {

namespace {

using Json = nlohmann::json;

// Quotes, escapes and checks what goes into a line; what is no UTF-8 was refused when it was read.
std::string quoted(std::string_view text) { return Json(text).dump(); }

std::string head(const char *verb, std::uint64_t tag) {
  return std::string(R"({"verb":")") + verb + R"(","tag":")" + format_hex16(tag) + R"(","opts":{)";
}

} // namespace

const std::string *Message::find_option(std::string_view name) const {
  auto it = std::ranges::find(opts, name, &std::pair<std::string, std::string>::first);
  return it == opts.end() ? nullptr : &it->second;
}

std::optional<Message> parse_message(std::string_view line, ParseError &fault) {
  auto bad = [&](std::string why) {
    fault.reason = std::move(why);
    return std::nullopt;
  };
  Json json = Json::parse(line, nullptr, false);
  if (json.is_discarded()) return bad("no JSON");
  if (!json.is_object()) return bad("no object");
  Message out;
  auto tag = json.find("tag");
  if (tag == json.end() || !tag->is_string()) return bad("tag: 16 hex digits are due");
  auto id = parse_hex16(tag->get_ref<const std::string &>());
  if (!id) return bad("tag: 16 hex digits are due");
  out.tag = *id, fault.tag = *id;
  auto verb = json.find("verb");
  if (verb == json.end() || !verb->is_string()) return bad("verb: a text is due");
  out.verb = verb->get<std::string>();
  if (auto opts = json.find("opts"); opts != json.end()) {
    if (!opts->is_object()) return bad("opts: an object is due");
    for (const auto &[name, value] : opts->items()) {
      if (value.is_string())
        out.opts.emplace_back(name, value.get<std::string>());
      else if (value.is_number())
        out.opts.emplace_back(name, value.dump());
      else
        return bad("opts." + name.substr(0, 40) + ": a text or a number is due");
    }
  }
  if (auto cause = json.find("rc"); cause != json.end()) {
    if (!cause->is_number()) return bad("rc: a number is due");
    out.cause = cause->get<double>();
  }
  if (auto blob = json.find("blob"); blob != json.end()) {
    if (!blob->is_string()) return bad("blob: a text is due");
    out.description = blob->get<std::string>();
  }
  return out;
}

std::string write_started(std::uint64_t tag, std::string_view description) {
  return head("STARTED", tag) + R"(},"blob":)" + quoted(description) + "}\n";
}

std::string write_finish(std::uint64_t tag, int cause, std::optional<std::uint64_t> wait_ms) {
  std::string out = head("FINISH", tag);
  if (wait_ms) out += R"("wait":")" + std::to_string(*wait_ms) + '"';
  return out + R"(},"rc":)" + std::to_string(cause) + "}\n";
}

std::string write_finished(std::uint64_t tag) { return head("FINISHED", tag) + "}}\n"; }
std::string write_echoed(std::uint64_t tag, bool passed) {
  return head("ECHOED", tag) + R"(},"rc":)" + (passed ? "1" : "0") + "}\n";
}
std::string write_move(std::uint64_t tag) { return head("MOVE", tag) + "}}\n"; }

} // namespace snowshore::jsonlines
