#include "platform/node_config.h"
#include "config/front_config.h"
#include "decision/setting_names.h"
#include "settings/translation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace snowshore::platform {

namespace {

using Json = nlohmann::json;

NodeConfigError config_error(const std::string &path, const std::string &why) {
  return NodeConfigError(path + ": " + why);
}

const Json &member(const Json &in, const std::string &path, const char *name) {
  auto it = in.find(name);
  if (it == in.end()) throw config_error(path + name, "the member is missing");
  return *it;
}

std::string string_member(const Json &in, const std::string &path, const char *name) {
  const Json &value = member(in, path, name);
  if (!value.is_string()) throw config_error(path + name, "must be a string");
  return value.get<std::string>();
}

double number_member(const Json &in, const std::string &path, const char *name, double min, double max) {
  const Json &value = member(in, path, name);
  if (!value.is_number()) throw config_error(path + name, "must be a number");
  double out = value.get<double>();
  if (!(out >= min && out <= max))
    throw config_error(path + name, "must be from " + std::to_string(min) + " to " + std::to_string(max) +
                                        ", not " + value.dump());
  return out;
}

asio::ip::tcp::endpoint endpoint(const std::string &value, const std::string &path) {
  try {
    return config::parse_endpoint(value);
  } catch (const std::invalid_argument &) {
    throw config_error(path, "must be an address and a port");
  }
}

std::string flat_value(const Json &value) {
  std::string out = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
  std::ranges::replace(out, ' ', '_');
  std::ranges::replace(out, ',', '_');
  return out;
}

// Flattens nested JSON into dotted names with values. The values of a list are joined by commas; a list of
// objects becomes .count and the members of .0, .1 and so on.
void flatten(const Json &value, const std::string &path,
             std::vector<std::pair<std::string, std::string>> &out) {
  if (value.is_object()) {
    for (const auto &[name, member_value] : value.items())
      flatten(member_value, path.empty() ? name : path + "." + name, out);
    return;
  }
  if (!value.is_array()) {
    out.emplace_back(path, flat_value(value));
    return;
  }
  if (std::ranges::any_of(value, [](const Json &item) { return item.is_object(); })) {
    out.emplace_back(path + ".count", std::to_string(value.size()));
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), out);
    return;
  }
  std::string joined;
  for (const Json &item : value) joined += (joined.empty() ? "" : ",") + flat_value(item);
  out.emplace_back(path, joined);
}

std::vector<std::string> list_items(const DecisionSettings &engine_settings, const char *name) {
  std::vector<std::string> out;
  auto it = engine_settings.find(name);
  if (it != engine_settings.end())
    settings::for_each_part(it->second, ',', [&](std::string_view word) { out.emplace_back(word); });
  return out;
}

// Returns the names without change, whatever characters they contain: viewers, servers and the server list
// use the same names.
std::vector<std::string> string_list(const Json &settings, const char *key) {
  std::vector<std::string> out;
  auto it = settings.find(key);
  if (it == settings.end()) return out;
  if (!it->is_array()) throw config_error(std::string("settings.") + key, "must be a list");
  for (const Json &item : *it) {
    if (!item.is_string()) throw config_error(std::string("settings.") + key, "must hold strings only");
    out.push_back(item.get<std::string>());
  }
  return out;
}

double number_setting(const DecisionSettings &engine_settings, const std::string &name) {
  auto it = engine_settings.find(name);
  auto found = it == engine_settings.end() ? std::nullopt : settings::parse_number(it->second);
  if (!found) throw config_error("settings", "missing or not a number: " + name);
  return *found;
}

double number_setting_or(const DecisionSettings &engine_settings, const std::string &name, double fallback) {
  auto it = engine_settings.find(name);
  return it == engine_settings.end() ? fallback : settings::parse_number(it->second).value_or(fallback);
}

void check_list_length(const DecisionSettings &engine_settings, const char *name, std::size_t expected) {
  if (std::size_t actual = list_items(engine_settings, name).size(); actual != expected)
    throw config_error("settings", std::string(name) + " holds " + std::to_string(actual) + " values, " +
                                       std::to_string(expected) + " are expected");
}

} // namespace

// Some descriptors stay for the process itself (standard streams, event loop, listener, the old and the new
// connection to the channel). Two fifths of the rest are for servers and the other three for viewers, who by
// the protocol use at most a third of all. Limits in bytes are fractions of the memory.
ResourceLimits compute_resource_limits(std::size_t sockets, std::size_t memory_mb) {
  ResourceLimits out;
  out.own_descriptors = std::min<std::size_t>(24, sockets / 4);
  out.half_closed_descriptors = out.own_descriptors / 3;
  std::size_t rest = sockets - out.own_descriptors;
  out.server_descriptors = rest * 2 / 5;
  out.viewer_descriptors = rest - out.server_descriptors;
  std::size_t memory = memory_mb * 1024 * 1024;
  out.max_description_bytes = memory / 8;
  out.max_buffered_viewer_bytes = memory / 16;
  out.max_unsent_viewer_bytes = std::max<std::size_t>(32 * 1024, memory / 8 / out.viewer_descriptors);
  out.max_unsent_server_bytes = std::max<std::size_t>(64 * 1024, memory / 256);
  return out;
}

NodeConfig parse_node_config(const std::string &text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) throw config_error("the file", "not valid JSON");
  if (!json.is_object()) throw config_error("the file", "must be an object");
  NodeConfig out;
  out.name = string_member(json, "", "name");
  out.listen = endpoint(string_member(json, "", "listen"), "listen");
  out.channel = endpoint(string_member(json, "", "channel"), "channel");
  std::string seed = string_member(json, "", "seed");
  auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size())
    throw config_error("seed", "must be 1 to 16 hex digits");
  const Json &limits = member(json, "", "limits");
  if (!limits.is_object()) throw config_error("limits", "must be an object");
  out.cores = number_member(limits, "limits.", "cores", 0.001, 1024);
  out.memory_mb = static_cast<std::size_t>(number_member(limits, "limits.", "memory_mb", 8, 1e6));
  out.sockets = static_cast<std::size_t>(number_member(limits, "limits.", "sockets", 32, 1e7));
  out.resource_limits = compute_resource_limits(out.sockets, out.memory_mb);

  const Json &settings = member(json, "", "settings");
  if (!settings.is_object()) throw config_error("settings", "must be an object");
  std::vector<std::pair<std::string, std::string>> flat;
  flatten(settings, "", flat);
  std::vector<settings::SettingField> fields(flat.begin(), flat.end());
  out.core.decision_settings = settings::translate_settings(fields);
  const DecisionSettings &engine_settings = out.core.decision_settings;
  out.core.seed = out.seed;
  out.core.halls = out.places.halls = string_list(settings, "areas");
  out.core.kinds = out.places.kinds = string_list(settings, "skus");
  if (out.places.kinds.empty()) throw config_error("settings", "skus must name at least one kind of server");
  auto products = static_cast<std::size_t>(number_setting(engine_settings, setting_names::kProducts));
  for (std::size_t p = 0; p < products; ++p) {
    std::string path = "settings.classes[" + std::to_string(p) + "].";
    std::string name = string_member(member(settings, "settings.", "classes").at(p), path, "name");
    if (std::ranges::any_of(name, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 127; }))
      throw config_error(path + "name",
                         "must not contain control characters, which cannot be sent to servers");
    double limit =
        number_setting(engine_settings, setting_names::product_setting_name(p, setting_names::kTimeLimit));
    out.core.products.push_back({name, limit});
    out.longest_time_limit = std::max(out.longest_time_limit, limit);
  }
  if (out.core.products.empty()) throw config_error("settings", "classes must name at least one class");
  check_list_length(engine_settings, setting_names::kProductFloors, products);
  check_list_length(engine_settings, setting_names::kProductTops, products);
  check_list_length(engine_settings, setting_names::kProductRateFactors, products);
  out.rungs = static_cast<int>(list_items(engine_settings, setting_names::kRungRates).size());
  if (out.rungs == 0) throw config_error("settings", "family_info.ladder_kb must hold at least one rung");
  check_list_length(engine_settings, setting_names::kRungImportance, static_cast<std::size_t>(out.rungs));
  out.cells = static_cast<int>(number_setting(engine_settings, setting_names::kCells));
  out.core.answer_slack = number_setting_or(engine_settings, setting_names::kAnswerSlack, 0.04);
  // Servers report their load in notes.
  out.core.load_in_answers = false;
  out.may_advise_return = engine_settings.contains(setting_names::kMayAdviseReturn) &&
                          engine_settings.at(setting_names::kMayAdviseReturn) != "false";
  out.longest_retry_after = number_setting_or(engine_settings, setting_names::kLongestRetryAfter, 0);
  out.connect_timeout = number_setting_or(engine_settings, "limits.connect_timeout", 0.25);
  out.idle_timeout = number_setting_or(engine_settings, "limits.idle_close", 30);
  out.set_ups_per_connection = static_cast<std::size_t>(
      std::clamp(number_setting_or(engine_settings, "limits.multiplex", 32), 1.0, 1e6));
  out.feedback_interval = number_setting_or(engine_settings, setting_names::kLinkFeedbackInterval, 0);

  const Json &known = member(json, "", "known");
  const Json &events = member(known, "known.", "cmds");
  if (!events.is_array()) throw config_error("known.cmds", "must be a list");
  try {
    for (std::size_t i = 0; i < events.size(); ++i) {
      auto event = discovery::parse_config_event(events[i], "known.cmds[" + std::to_string(i) + "]");
      if (out.initial_list.number() == 0 && event.number > 1) out.initial_list.start_from(event.number - 1);
      out.initial_list.apply(event);
    }
  } catch (const std::invalid_argument &exception) {
    throw NodeConfigError(exception.what());
  }
  auto cursor = static_cast<std::uint64_t>(number_member(known, "known.", "cursor", 0, 1e18));
  out.initial_list.start_from(std::max(cursor, out.initial_list.number()));
  return out;
}

std::optional<std::string> reload_refusal(const NodeConfig &current, const NodeConfig &next) {
  if (next.listen != current.listen) return "listen: a change needs a restart";
  bool same_names = std::ranges::equal(next.core.products, current.core.products, {},
                                       &edge::CoreProduct::name, &edge::CoreProduct::name);
  if (!same_names || next.core.kinds != current.core.kinds || next.core.halls != current.core.halls ||
      next.cells != current.cells || next.rungs != current.rungs)
    return "settings: a change of classes, kinds, zones, cells or rungs, or of their order, needs a restart";
  // A running decision engine cannot change these; see settings_changed() in decision/policy.h.
  for (const char *name : {setting_names::kRacks, setting_names::kLoadFields, setting_names::kRetryWindow}) {
    auto setting = [&](const NodeConfig &config) {
      auto it = config.core.decision_settings.find(name);
      return it == config.core.decision_settings.end() ? std::string() : it->second;
    };
    if (setting(current) != setting(next))
      return "settings: a change of " + std::string(name) + " needs a restart";
  }
  return std::nullopt;
}

NodeConfig load_node_config(const std::string &file) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw NodeConfigError(file + ": cannot be opened");
  std::ostringstream content;
  content << in.rdbuf();
  try {
    return parse_node_config(content.str());
  } catch (const NodeConfigError &invalid) {
    throw NodeConfigError(file + ": " + invalid.what());
  }
}

} // namespace snowshore::platform
