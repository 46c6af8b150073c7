#include "discovery/frames.h"
#include "config/front_config.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace snowshore::discovery {

namespace {

// Length, number and kind of a frame; the size of a record.
constexpr std::size_t kHeaderBytes = 4 + 8 + 1, kRecordBytes = 27;

// Reads a big-endian number of `size` bytes.
std::uint64_t read_number(std::string_view text, std::size_t position, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) value = value << 8 | static_cast<unsigned char>(text[position + i]);
  return value;
}

constexpr ServerStatus kStatuses[] = {ServerStatus::active, ServerStatus::leaving, ServerStatus::left};
constexpr const char *kStatusNames[] = {"active", "leaving", "left"};

} // namespace

std::string format_server_id(std::uint32_t id) {
  std::string out = "s-00000000";
  for (std::size_t i = 10; i-- > 2; id >>= 4) out[i] = "0123456789abcdef"[id & 15];
  return out;
}

std::optional<std::uint32_t> parse_server_id(std::string_view text) {
  if (text.size() != 10 || !text.starts_with("s-")) return std::nullopt;
  std::uint32_t value = 0;
  auto [end, error] = std::from_chars(text.data() + 2, text.data() + 10, value, 16);
  if (error != std::errc() || end != text.data() + 10 || format_server_id(value) != text) return std::nullopt;
  return value;
}

std::size_t FrameReader::parse_frame(std::string_view text, Event &event) {
  if (!error_.empty() || text.size() < 4) return 0;
  std::size_t length = read_number(text, 0, 4);
  if (length < kHeaderBytes - 4 || length > kMaxFrameBytes) {
    error_ = "invalid frame length: " + std::to_string(length) + " bytes";
    return 0;
  }
  if (text.size() < 4 + length) return 0;
  event.number = read_number(text, 4, 8);
  unsigned kind = static_cast<unsigned char>(text[12]);
  std::string_view payload = text.substr(kHeaderBytes, 4 + length - kHeaderBytes);
  if (kind > 2 || payload.size() % kRecordBytes != 0 || (kind == 0 && !payload.empty())) {
    error_ = "invalid frame of kind " + std::to_string(kind) + " with a payload of " +
             std::to_string(payload.size()) + " bytes";
    return 0;
  }
  event.is_heartbeat = kind == 0;
  event.is_full_list = kind == 1;
  for (std::size_t offset = 0; offset < payload.size(); offset += kRecordBytes) {
    edge::ListedServer server;
    auto id = static_cast<std::uint32_t>(read_number(payload, offset, 4));
    server.id = format_server_id(id);
    server.stable_id = id;
    server.address = {asio::ip::address_v4(static_cast<std::uint32_t>(read_number(payload, offset + 4, 4))),
                      static_cast<unsigned short>(read_number(payload, offset + 8, 2))};
    std::size_t state = read_number(payload, offset + 10, 1), hall = read_number(payload, offset + 11, 1),
                model = read_number(payload, offset + 12, 1);
    if (state > 2 || hall >= names_.halls.size() || model >= names_.kinds.size() ||
        server.address.port() == 0) {
      event.skipped_records.push_back(server.id + ": state " + std::to_string(state) + ", zone " +
                                      std::to_string(hall) + ", kind " + std::to_string(model) + ", port " +
                                      std::to_string(server.address.port()));
      continue;
    }
    server.status = kStatuses[state];
    server.hall = names_.halls[hall];
    server.kind = names_.kinds[model];
    server.cell = static_cast<int>(read_number(payload, offset + 13, 2));
    server.weight = static_cast<double>(read_number(payload, offset + 15, 4)) / 1000;
    server.started_at = static_cast<double>(read_number(payload, offset + 19, 8)) / 1000;
    event.servers.push_back(std::move(server));
  }
  return 4 + length;
}

Event parse_config_event(const nlohmann::json &json, const std::string &path) {
  auto invalid = [](const std::string &place, const std::string &why) {
    return std::invalid_argument(place + ": " + why);
  };
  auto number = [&](const nlohmann::json &in, const char *name, const std::string &place) {
    auto it = in.find(name);
    if (it == in.end() || !it->is_number() || it->get<double>() < 0)
      throw invalid(place + "." + name, "must be a number, 0 or greater");
    return it->get<double>();
  };
  auto text = [&](const nlohmann::json &in, const char *name, const std::string &place) {
    auto it = in.find(name);
    if (it == in.end() || !it->is_string()) throw invalid(place + "." + name, "must be a string");
    return it->get<std::string>();
  };
  if (!json.is_object()) throw invalid(path, "must be an object");
  Event event;
  event.number = static_cast<std::uint64_t>(number(json, "cursor", path));
  auto nodes = json.find("nodes");
  // Events without this member carry no servers.
  if (nodes == json.end()) {
    event.is_heartbeat = true;
    return event;
  }
  std::string nodes_path = path + ".nodes";
  if (!nodes->is_object()) throw invalid(nodes_path, "must be an object");
  event.is_full_list = nodes->value("all", false);
  auto targets = nodes->find("targets");
  if (targets == nodes->end() || !targets->is_array())
    throw invalid(nodes_path + ".targets", "must be a list");
  for (std::size_t i = 0; i < targets->size(); ++i) {
    const nlohmann::json &target = (*targets)[i];
    std::string target_path = nodes_path + ".targets[" + std::to_string(i) + "]";
    if (!target.is_object()) throw invalid(target_path, "must be an object");
    edge::ListedServer server;
    server.id = text(target, "uid", target_path);
    auto id = parse_server_id(server.id);
    if (!id) throw invalid(target_path + ".uid", "must be s- and 8 hex digits");
    server.stable_id = *id;
    std::string address = text(target, "endpoint", target_path);
    try {
      server.address = config::parse_endpoint(address);
    } catch (const std::invalid_argument &) {
      // The port stays 0, which is reported below.
    }
    if (server.address.port() == 0) throw invalid(target_path + ".endpoint", "must be an address and a port");
    server.hall = text(target, "az", target_path);
    server.kind = text(target, "model", target_path);
    server.cell = static_cast<int>(number(target, "pod_group", target_path));
    server.weight = number(target, "capacity_hint", target_path);
    server.started_at = number(target, "boot_ms", target_path) / 1000;
    std::string state = text(target, "state", target_path);
    bool known = false;
    for (std::size_t s = 0; s < 3; ++s) {
      if (state == kStatusNames[s]) {
        server.status = kStatuses[s];
        known = true;
      }
    }
    if (!known) throw invalid(target_path + ".state", "must be active, leaving or left");
    event.servers.push_back(std::move(server));
  }
  return event;
}

List::Result List::apply(const Event &event) {
  if (event.is_heartbeat) return event.number > number_ ? Result::gap : Result::unchanged;
  if (event.number <= number_) return Result::duplicate;
  if (event.number > number_ + 1 && !event.is_full_list) return Result::gap;
  number_ = event.number;
  if (released_) return Result::applied;
  if (event.is_full_list) servers_.clear();
  for (const edge::ListedServer &server : event.servers) servers_[server.id] = server;
  return Result::applied;
}

edge::ServerList List::release() {
  edge::ServerList out;
  out.version = number_;
  for (auto &[id, server] : servers_) out.servers.push_back(std::move(server));
  servers_.clear();
  released_ = true;
  return out;
}

} // namespace snowshore::discovery
