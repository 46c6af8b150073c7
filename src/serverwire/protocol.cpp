// Writing and parsing of the messages between a front and a server.
#include "serverwire/protocol.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cmath>
#include <stdexcept>

namespace snowshore::serverwire {

namespace {

using Json = nlohmann::json;

// Formats a number with three decimals.
std::string number_text(double value) {
  char buffer[32];
  auto end = std::to_chars(buffer, buffer + sizeof buffer, value, std::chars_format::fixed, 3).ptr;
  return {buffer, end};
}

http::Request request(std::string method, std::string target) {
  http::Request out;
  out.method = std::move(method);
  out.target = std::move(target);
  return out;
}

constexpr std::pair<Report::Kind, const char *> kKindNames[] = {
    {Report::Kind::hello, "hello"}, {Report::Kind::heartbeat, "beat"}, {Report::Kind::share, "share"},
    {Report::Kind::load, "load"},   {Report::Kind::rung, "rung"},      {Report::Kind::end, "end"}};

} // namespace

http::Request write_set_up(const SetUpRequest &set_up) {
  return request(
      "POST",
      "/plays/" + http::percent_encode(set_up.play) + "?title=" + http::percent_encode(set_up.title) +
          "&product=" + http::percent_encode(set_up.product) + "&rung=" + std::to_string(set_up.rung) +
          "&allocation=" + std::to_string(set_up.allocation) +
          "&front=" + http::percent_encode(set_up.front) + "&boot=" + http::percent_encode(set_up.boot) +
          "&expires_in=" + number_text(set_up.expires_in));
}

std::string text_parameter(const http::Request &request, std::string_view name) {
  auto value = request.query_parameter(name);
  if (!value || value->empty())
    throw std::invalid_argument("the parameter " + std::string(name) + " is missing");
  return *value;
}

double number_parameter(const http::Request &request, std::string_view name) {
  std::string text = text_parameter(request, name);
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
    throw std::invalid_argument("the parameter " + std::string(name) + " is not a number: '" + text + "'");
  return value;
}

int integer_parameter(const http::Request &request, std::string_view name) {
  double value = number_parameter(request, name);
  if (value != std::floor(value) || value < 0 || value > 1e9)
    throw std::invalid_argument("the parameter " + std::string(name) +
                                " is not an integer between 0 and 1e9");
  return static_cast<int>(value);
}

std::optional<std::string> parse_play_path(std::string_view path) {
  constexpr std::string_view kPlaysPrefix = "/plays/", kRungSuffix = "/rung";
  if (!path.starts_with(kPlaysPrefix)) return std::nullopt;
  path.remove_prefix(kPlaysPrefix.size());
  if (path.ends_with(kRungSuffix)) path.remove_suffix(kRungSuffix.size());
  if (path.empty() || path.find('/') != std::string_view::npos) return std::nullopt;
  return std::string(path);
}

SetUpRequest parse_set_up(const http::Request &request) {
  SetUpRequest out;
  auto play = parse_play_path(request.path);
  if (!play) throw std::invalid_argument("the path does not name a play");
  out.play = *play;
  out.title = text_parameter(request, "title");
  out.product = text_parameter(request, "product");
  out.front = text_parameter(request, "front");
  out.boot = text_parameter(request, "boot");
  out.rung = integer_parameter(request, "rung");
  out.allocation = integer_parameter(request, "allocation");
  out.expires_in = number_parameter(request, "expires_in");
  return out;
}

http::Request write_set_rung(const std::string &play, int rung, std::uint64_t step) {
  return request("PUT", "/plays/" + http::percent_encode(play) + "/rung?rung=" + std::to_string(rung) +
                            "&step=" + std::to_string(step));
}

http::Request write_end(const std::string &play, int allocation, std::string_view reason) {
  return request("DELETE", "/plays/" + http::percent_encode(play) + "?allocation=" +
                               std::to_string(allocation) + "&reason=" + http::percent_encode(reason));
}

http::Request write_probe() { return request("GET", "/load"); }

http::Request write_report_request(const std::string &front, const std::string &boot) {
  return request("GET",
                 "/fronts/" + http::percent_encode(front) + "/reports?boot=" + http::percent_encode(boot));
}

std::string write_report(const Report &report) {
  Json line;
  for (const auto &[kind, name] : kKindNames) {
    if (kind == report.kind) line["is"] = name;
  }
  if (!report.play.empty()) line["play"] = report.play;
  if (report.kind == Report::Kind::share || report.kind == Report::Kind::rung) line["value"] = report.value;
  if (report.link) line["link"] = *report.link;
  if (report.uplink) line["uplink"] = *report.uplink;
  if (report.kind == Report::Kind::end) line["reason"] = report.reason;
  if (report.kind == Report::Kind::hello) line["started"] = report.started_at, line["plays"] = report.plays;
  return line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::optional<Report> parse_report(std::string_view text) {
  Json line = Json::parse(text, nullptr, false);
  if (!line.is_object()) return std::nullopt;
  Report out;
  bool known = false;
  // Returns a finite, non-negative number of that name.
  auto number = [&](const char *name) -> std::optional<double> {
    auto it = line.find(name);
    if (it == line.end() || !it->is_number()) return std::nullopt;
    double value = it->get<double>();
    return std::isfinite(value) && value >= 0 ? std::optional(value) : std::nullopt;
  };
  auto is = line.find("is");
  if (is == line.end() || !is->is_string()) return std::nullopt;
  for (const auto &[kind, name] : kKindNames) {
    if (*is == name) out.kind = kind, known = true;
  }
  if (!known) return std::nullopt;
  if (auto play = line.find("play"); play != line.end() && play->is_string())
    out.play = play->get<std::string>();
  bool needs_play = out.kind != Report::Kind::hello && out.kind != Report::Kind::heartbeat;
  if (needs_play && out.play.empty()) return std::nullopt;
  out.link = number("link");
  out.uplink = number("uplink");
  if (out.kind == Report::Kind::share || out.kind == Report::Kind::rung) {
    auto value = number("value");
    if (!value) return std::nullopt;
    out.value = *value;
  }
  if (auto reason = line.find("reason"); reason != line.end() && reason->is_string())
    out.reason = reason->get<std::string>();
  if (out.kind == Report::Kind::hello) {
    auto started = number("started");
    auto plays = line.find("plays");
    if (!started || plays == line.end() || !plays->is_array()) return std::nullopt;
    out.started_at = *started;
    for (const Json &play : *plays) {
      if (!play.is_string()) return std::nullopt;
      out.plays.push_back(play.get<std::string>());
    }
  }
  return out;
}

} // namespace snowshore::serverwire
