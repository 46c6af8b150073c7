#include "feed/frames.h"
#include "site/front_record.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace snowshore::feed {

namespace {

constexpr std::size_t kHead = 4 + 8 + 1, kRecord = 27;

std::uint64_t number_at(std::string_view text, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(text[at + i]);
  return value;
}

constexpr ServerStatus kStandings[] = {ServerStatus::active, ServerStatus::leaving, ServerStatus::left};
constexpr const char *kStandingNames[] = {"active", "leaving", "left"};

} // namespace

std::string server_name(std::uint32_t id) {
  std::string out = "s-00000000";
  for (std::size_t i = 10; i-- > 2; id >>= 4) out[i] = "0123456789abcdef"[id & 15];
  return out;
}

std::optional<std::uint32_t> server_number(std::string_view name) {
  if (name.size() != 10 || !name.starts_with("s-")) return std::nullopt;
  std::uint32_t value = 0;
  auto [end, error] = std::from_chars(name.data() + 2, name.data() + 10, value, 16);
  if (error != std::errc() || end != name.data() + 10 || server_name(value) != name) return std::nullopt;
  return value;
}

std::size_t FrameReader::parse(std::string_view text, Event &event) {
  if (!why_.empty() || text.size() < 4) return 0;
  std::size_t length = number_at(text, 0, 4);
  if (length < kHead - 4 || length > kMaxFrame) {
    why_ = "a frame of " + std::to_string(length) + " bytes";
    return 0;
  }
  if (text.size() < 4 + length) return 0;
  event.number = number_at(text, 4, 8);
  unsigned kind = static_cast<unsigned char>(text[12]);
  std::string_view payload = text.substr(kHead, 4 + length - kHead);
  if (kind > 2 || payload.size() % kRecord != 0 || (kind == 0 && !payload.empty())) {
    why_ = "a frame of kind " + std::to_string(kind) + " with " + std::to_string(payload.size()) + " bytes";
    return 0;
  }
  event.nothing = kind == 0;
  event.whole = kind == 1;
  for (std::size_t at = 0; at < payload.size(); at += kRecord) {
    edge::ListedServer one;
    auto id = static_cast<std::uint32_t>(number_at(payload, at, 4));
    one.id = server_name(id), one.stable_id = id;
    one.address = {asio::ip::address_v4(static_cast<std::uint32_t>(number_at(payload, at + 4, 4))),
                   static_cast<unsigned short>(number_at(payload, at + 8, 2))};
    std::size_t state = number_at(payload, at + 10, 1), hall = number_at(payload, at + 11, 1),
                model = number_at(payload, at + 12, 1);
    if (state > 2 || hall >= places_.halls.size() || model >= places_.kinds.size() ||
        one.address.port() == 0) {
      event.passed_over.push_back(one.id + ": state " + std::to_string(state) + ", zone " +
                                  std::to_string(hall) + ", kind " + std::to_string(model) + ", port " +
                                  std::to_string(one.address.port()));
      continue;
    }
    one.status = kStandings[state];
    one.hall = places_.halls[hall], one.kind = places_.kinds[model];
    one.cell = static_cast<int>(number_at(payload, at + 13, 2));
    one.weight = static_cast<double>(number_at(payload, at + 15, 4)) / 1000;
    one.started_at = static_cast<double>(number_at(payload, at + 19, 8)) / 1000;
    event.servers.push_back(std::move(one));
  }
  return 4 + length;
}

Event read_known(const nlohmann::json &json, const std::string &path) {
  auto bad = [](const std::string &where, const std::string &why) {
    return std::invalid_argument(where + ": " + why);
  };
  auto number = [&](const nlohmann::json &in, const char *name, const std::string &where) {
    auto it = in.find(name);
    if (it == in.end() || !it->is_number() || it->get<double>() < 0)
      throw bad(where + "." + name, "a number not below 0 is due");
    return it->get<double>();
  };
  auto text = [&](const nlohmann::json &in, const char *name, const std::string &where) {
    auto it = in.find(name);
    if (it == in.end() || !it->is_string()) throw bad(where + "." + name, "a text is due");
    return it->get<std::string>();
  };
  if (!json.is_object()) throw bad(path, "an object is due");
  Event event;
  event.number = static_cast<std::uint64_t>(number(json, "cursor", path));
  auto nodes = json.find("nodes");
  if (nodes == json.end()) { // an event that tells nothing of servers
    event.nothing = true;
    return event;
  }
  std::string where = path + ".nodes";
  if (!nodes->is_object()) throw bad(where, "an object is due");
  event.whole = nodes->value("all", false);
  auto targets = nodes->find("targets");
  if (targets == nodes->end() || !targets->is_array()) throw bad(where + ".targets", "a list is due");
  for (std::size_t i = 0; i < targets->size(); ++i) {
    const nlohmann::json &target = (*targets)[i];
    std::string at = where + ".targets[" + std::to_string(i) + "]";
    if (!target.is_object()) throw bad(at, "an object is due");
    edge::ListedServer one;
    one.id = text(target, "uid", at);
    auto id = server_number(one.id);
    if (!id) throw bad(at + ".uid", "s- and 8 hex digits are due");
    one.stable_id = *id;
    std::string address = text(target, "endpoint", at);
    try {
      one.address = site::parse_endpoint(address);
    } catch (const std::invalid_argument &) {
    }
    if (one.address.port() == 0) throw bad(at + ".endpoint", "an address and port are due");
    one.hall = text(target, "az", at), one.kind = text(target, "model", at);
    one.cell = static_cast<int>(number(target, "pod_group", at));
    one.weight = number(target, "capacity_hint", at);
    one.started_at = number(target, "boot_ms", at) / 1000;
    std::string state = text(target, "state", at);
    bool known = false;
    for (std::size_t s = 0; s < 3; ++s) {
      if (state == kStandingNames[s]) one.status = kStandings[s], known = true;
    }
    if (!known) throw bad(at + ".state", "active, leaving or left is due");
    event.servers.push_back(std::move(one));
  }
  return event;
}

List::Taken List::take(const Event &event) {
  if (event.nothing) return event.number > number_ ? Taken::gap : Taken::nothing;
  if (event.number <= number_) return Taken::old;
  if (event.number > number_ + 1 && !event.whole) return Taken::gap;
  number_ = event.number;
  if (released_) return Taken::applied;
  if (event.whole) servers_.clear();
  for (const edge::ListedServer &one : event.servers) servers_[one.id] = one;
  return Taken::applied;
}

edge::ServerList List::release() {
  edge::ServerList out;
  out.version = number_;
  for (auto &[id, one] : servers_) out.servers.push_back(std::move(one));
  servers_.clear();
  released_ = true;
  return out;
}

} // namespace snowshore::feed
