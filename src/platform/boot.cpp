#include "platform/boot.h"
#include "decision/names.h"
#include "given/translate.h"
#include "site/front_record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace snowshore::platform {

namespace {

using Json = nlohmann::json;

NodeConfigError bad(const std::string &path, const std::string &why) {
  return NodeConfigError(path + ": " + why);
}

const Json &at(const Json &in, const std::string &path, const char *name) {
  auto it = in.find(name);
  if (it == in.end()) throw bad(path + name, "is missing");
  return *it;
}

std::string text(const Json &in, const std::string &path, const char *name) {
  const Json &value = at(in, path, name);
  if (!value.is_string()) throw bad(path + name, "a text is due");
  return value.get<std::string>();
}

double number(const Json &in, const std::string &path, const char *name, double least, double most) {
  const Json &value = at(in, path, name);
  if (!value.is_number()) throw bad(path + name, "a number is due");
  double out = value.get<double>();
  if (!(out >= least && out <= most))
    throw bad(path + name, "from " + std::to_string(least) + " to " + std::to_string(most) + " is due, not " +
                               value.dump());
  return out;
}

asio::ip::tcp::endpoint endpoint(const std::string &value, const std::string &path) {
  try {
    return site::parse_endpoint(value);
  } catch (const std::invalid_argument &) {
    throw bad(path, "an address and port are due");
  }
}

std::string plain(const Json &value) {
  std::string out = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
  std::ranges::replace(out, ' ', '_');
  std::ranges::replace(out, ',', '_');
  return out;
}

// Nested JSON as dotted names: a list of plain values joined by commas, one of objects as .count, .0, .1 ...
void flatten(const Json &value, const std::string &path,
             std::vector<std::pair<std::string, std::string>> &out) {
  if (value.is_object()) {
    for (const auto &[name, part] : value.items())
      flatten(part, path.empty() ? name : path + "." + name, out);
    return;
  }
  if (!value.is_array()) {
    out.emplace_back(path, plain(value));
    return;
  }
  if (std::ranges::any_of(value, [](const Json &one) { return one.is_object(); })) {
    out.emplace_back(path + ".count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), out);
    return;
  }
  std::string joined;
  for (const Json &one : value) joined += (joined.empty() ? "" : ",") + plain(one);
  out.emplace_back(path, joined);
}

std::vector<std::string> words(const DecisionSettings &given, const char *name) {
  std::vector<std::string> out;
  auto it = given.find(name);
  if (it != given.end())
    given::for_each_part(it->second, ',', [&](std::string_view word) { out.emplace_back(word); });
  return out;
}

// Names as they are, whatever they hold: viewers, servers and the list say them so.
std::vector<std::string> names(const Json &settings, const char *list) {
  std::vector<std::string> out;
  auto it = settings.find(list);
  if (it == settings.end()) return out;
  if (!it->is_array()) throw bad(std::string("settings.") + list, "a list is due");
  for (const Json &one : *it) {
    if (!one.is_string()) throw bad(std::string("settings.") + list, "texts are due");
    out.push_back(one.get<std::string>());
  }
  return out;
}

double value(const DecisionSettings &given, const std::string &name) {
  auto it = given.find(name);
  auto found = it == given.end() ? std::nullopt : given::parse_number(it->second);
  if (!found) throw bad("settings", "no number for " + name);
  return *found;
}

double value_or(const DecisionSettings &given, const std::string &name, double fallback) {
  auto it = given.find(name);
  return it == given.end() ? fallback : given::parse_number(it->second).value_or(fallback);
}

void check_length(const DecisionSettings &given, const char *name, std::size_t due) {
  if (std::size_t held = words(given, name).size(); held != due)
    throw bad("settings", std::string(name) + " holds " + std::to_string(held) + " values, " +
                              std::to_string(due) + " are due");
}

} // namespace

// A part for the program itself (standard streams, event loop, listener, channel old and new), two fifths for
// servers, the rest for viewers, who by the protocol hold a third at most; bytes are parts of the memory.
ResourceLimits compute_resource_limits(std::size_t sockets, std::size_t memory_mb) {
  ResourceLimits out;
  out.own_descriptors = std::min<std::size_t>(24, sockets / 4);
  std::size_t rest = sockets - out.own_descriptors;
  out.server_descriptors = rest * 2 / 5;
  out.viewer_descriptors = rest - out.server_descriptors;
  std::size_t memory = memory_mb * 1024 * 1024;
  out.max_description_bytes = memory / 8;
  out.max_unsent_viewer_bytes = std::max<std::size_t>(32 * 1024, memory / 8 / out.viewer_descriptors);
  out.max_unsent_server_bytes = std::max<std::size_t>(64 * 1024, memory / 256);
  return out;
}

NodeConfig parse_node_config(const std::string &source) {
  Json json = Json::parse(source, nullptr, false);
  if (json.is_discarded()) throw bad("the file", "no JSON");
  if (!json.is_object()) throw bad("the file", "an object is due");
  NodeConfig out;
  out.name = text(json, "", "name");
  out.listen = endpoint(text(json, "", "listen"), "listen");
  out.channel = endpoint(text(json, "", "channel"), "channel");
  std::string seed = text(json, "", "seed");
  auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw bad("seed", "hex digits are due, 16 at most");
  const Json &limits = at(json, "", "limits");
  if (!limits.is_object()) throw bad("limits", "an object is due");
  out.cores = number(limits, "limits.", "cores", 0.001, 1024);
  out.memory_mb = static_cast<std::size_t>(number(limits, "limits.", "memory_mb", 8, 1e6));
  out.sockets = static_cast<std::size_t>(number(limits, "limits.", "sockets", 32, 1e7));
  out.resource_limits = compute_resource_limits(out.sockets, out.memory_mb);

  const Json &settings = at(json, "", "settings");
  if (!settings.is_object()) throw bad("settings", "an object is due");
  std::vector<std::pair<std::string, std::string>> flat;
  flatten(settings, "", flat);
  std::vector<given::SettingField> fields(flat.begin(), flat.end());
  out.core.decision_settings = given::translate_settings(fields);
  const DecisionSettings &given = out.core.decision_settings;
  out.core.seed = out.seed;
  out.core.halls = out.places.halls = names(settings, "areas");
  out.core.kinds = out.places.kinds = names(settings, "skus");
  if (out.places.kinds.empty()) throw bad("settings", "no kinds of servers are named");
  auto products = static_cast<std::size_t>(value(given, given::kProducts));
  for (std::size_t p = 0; p < products; ++p) {
    std::string path = "settings.classes[" + std::to_string(p) + "].";
    std::string name = text(at(settings, "settings.", "classes").at(p), path, "name");
    if (std::ranges::any_of(name, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 127; }))
      throw bad(path + "name", "control characters can't be said to servers");
    double limit = value(given, given::product_setting_name(p, given::kTimeLimit));
    out.core.products.push_back({name, limit});
    out.longest_time_limit = std::max(out.longest_time_limit, limit);
  }
  if (out.core.products.empty()) throw bad("settings", "no class is named");
  check_length(given, given::kProductFloors, products);
  check_length(given, given::kProductTops, products);
  check_length(given, given::kProductRateFactors, products);
  out.rungs = static_cast<int>(words(given, given::kRungRates).size());
  if (out.rungs == 0) throw bad("settings", "no rungs are given");
  check_length(given, given::kRungImportance, static_cast<std::size_t>(out.rungs));
  out.cells = static_cast<int>(value(given, given::kCells));
  out.core.answer_slack = value_or(given, given::kAnswerSlack, 0.04);
  out.core.load_in_answers = false; // loads come as notes of their own
  out.may_advise_return =
      given.contains(given::kMayAdviseReturn) && given.at(given::kMayAdviseReturn) != "false";
  out.longest_retry_after = value_or(given, given::kLongestRetryAfter, 0);
  out.connect_timeout = value_or(given, "limits.connect_timeout", 0.25);
  out.idle_timeout = value_or(given, "limits.idle_close", 30);
  out.set_ups_per_connection =
      static_cast<std::size_t>(std::clamp(value_or(given, "limits.multiplex", 32), 1.0, 1e6));
  out.feedback_interval = value_or(given, given::kLinkFeedbackInterval, 0);

  const Json &known = at(json, "", "known");
  const Json &events = at(known, "known.", "cmds");
  if (!events.is_array()) throw bad("known.cmds", "a list is due");
  try {
    for (std::size_t i = 0; i < events.size(); ++i) {
      auto event = feed::read_known(events[i], "known.cmds[" + std::to_string(i) + "]");
      if (out.initial_list.number() == 0 && event.number > 1) out.initial_list.start_from(event.number - 1);
      out.initial_list.take(event);
    }
  } catch (const std::invalid_argument &wrong) {
    throw NodeConfigError(wrong.what());
  }
  auto last = static_cast<std::uint64_t>(number(known, "known.", "cursor", 0, 1e18));
  out.initial_list.start_from(std::max(last, out.initial_list.number()));
  return out;
}

std::optional<std::string> reload_refusal(const NodeConfig &now, const NodeConfig &next) {
  if (next.listen != now.listen) return "listen: needs a restart";
  bool same_names = std::ranges::equal(next.core.products, now.core.products, {}, &edge::CoreProduct::name,
                                       &edge::CoreProduct::name);
  if (!same_names || next.core.kinds != now.core.kinds || next.core.halls != now.core.halls ||
      next.cells != now.cells || next.rungs != now.rungs)
    return "settings: other classes, kinds, zones, cells or rungs, or another order of them, need a restart";
  for (const char *name : {given::kRacks, given::kLoadFields, given::kRetryWindow}) { // see decision/policy.h
    auto value = [&](const NodeConfig &boot) {
      auto it = boot.core.decision_settings.find(name);
      return it == boot.core.decision_settings.end() ? std::string() : it->second;
    };
    if (value(now) != value(next)) return "settings: another " + std::string(name) + " needs a restart";
  }
  return std::nullopt;
}

NodeConfig load_node_config(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw NodeConfigError(file + ": cannot be read");
  std::ostringstream all;
  all << in.rdbuf();
  try {
    return parse_node_config(all.str());
  } catch (const NodeConfigError &error) {
    throw NodeConfigError(file + ": " + error.what());
  }
}

} // namespace snowshore::platform
