// The schema of the front end's records, its consistency checks, and the reading of checked values.
#include "config/front_config.h"
#include "decision/setting_names.h"

#include <charconv>
#include <cmath>

namespace snowshore::config {

namespace {

using records::Diagnostic;
using records::Record;

constexpr const char *kSchema = R"cue(
#Time: string & =~"^[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)$"
#Rate: string & =~"^[0-9]+(\\.[0-9]+)?(kB/s|MB/s|kbit/s|Mbit/s)$"
#Address: string & =~"^([0-9.]+|\\[[0-9a-fA-F:]+\\]):[0-9]{1,5}$"
#Name: string & =~"^[A-Za-z0-9._-]{1,64}$"

#Product: {
  name: #Name
  first_frame_target: #Time
  time_limit: #Time
  importance: *1 | (number & >0)
  set_up: *"safe" | "keyed" | "unsafe"
  floor: *0 | (int & >=0)
  top: int & >=0
  seats: *0 | (int & >=0)
  rate_factor: *1 | (number & >0)
}

#Front: {
  name: #Name
  index: *0 | (int & >=0)
  fronts: *1 | (int & >=1)
  hall: *"" | string
  seed: *0 | (int & >=0)
  take_plays: *true | false
  listen: {
    players: *"127.0.0.1:8080" | #Address
    operators: *"127.0.0.1:8081" | #Address
    ports_file: *"" | string
  }
  list: {
    file: string & !=""
    catalogue: string & !=""
  }
  fleet: {
    cells: int & >=1
    racks: *1 | (int & >=1)
    halls: *[] | [...string]
    kinds: [...{name: #Name, places: number & >0}]
    link_per_weight: #Rate
    rack_uplink: *"0kB/s" | #Rate
    weight_meaning: *"rough" | "nominal" | "none" | "live"
    full_from: *0 | (number & >=0)
  }
  products: [#Product, ...#Product]
  rungs: [{rate: #Rate, importance: number & >=0}, ...{rate: #Rate, importance: number & >=0}]
  load: {
    comes_with: *"answers" | "probe" | "none"
    fields: *["link", "uplink"] | [..."streams" | "link_share" | "link" | "uplink"]
    may_probe: *true | false
    note_delay: *"1s" | #Time
    note_interval: *"3s" | #Time
  }
  allocations: {
    per_play: *3 | (int & >=1 & <=8)
    further: {
      span: *"0s" | #Time
      free: *0 | (number & >=0)
      share: *0 | (number & >=0)
    }
  }
  rules: {
    warm_up: #Time
    cold_share: number & >0 & <=1
    fall_multiple: number & >0
    fall_span: #Time
    drain_grace: *"1s" | #Time
    answer_slack: *"40ms" | #Time
  }
  retry_after: *"1s" | #Time
  limits: {
    open_plays: *20000 | (int & >=1)
    connections: *8192 | (int & >=1)
    header_bytes: *16384 | (int & >=256 & <=65536)
    body_bytes: *65536 | (int & >=0)
    header_time: *"5s" | #Time
    idle_time: *"30s" | #Time
    write_time: *"10s" | #Time
    server_connections: *64 | (int & >=2)
    all_connections: *8192 | (int & >=2)
    connect_time: *"250ms" | #Time
    probe_time: *"250ms" | #Time
    late_time: *"5s" | #Time
    report_silence: *"3s" | #Time
    lost_after: *"6s" | #Time
  }
  log: {
    where: *"-" | string
    level: *"info" | "debug" | "warning" | "error"
  }
  management: {
    listen: *"" | #Address
    store: *"" | string
    plaintext: *false | true
    certificate: *"" | string
    key: *"" | string
    client_authority: *"" | string
    readers: *[] | [...string]
    setters: *[] | [...string]
    sets_waiting: *16 | (int & >=1)
    streams: *32 | (int & >=1 & <=1024)
    behind_time: *"10s" | #Time
    snapshot_every: *"100ms" | #Time
    history: *1000 | (int & >=10 & <=100000)
  }
}

#Server: {
  id: #Name
  address: #Address
  hall: *"" | string
  kind: *"" | string
  cell: int & >=0
  weight: *1 | (number & >=0)
  standing: *"active" | "leaving" | "left"
  started: *0 | (number & >=0)
}
#List: {
  version: int & >=0
  servers: [...#Server]
}
#Catalogue: {
  version: int & >=0
  titles: [string]: {cell: int & >=0, cells: int & >=1}
}
)cue";

// The shortest text that reads back as the same number.
std::string format_shortest(double value) {
  char buffer[32];
  return {buffer, std::to_chars(buffer, buffer + sizeof buffer, value).ptr};
}

// Collects the errors of values that contradict each other, which the schema cannot express.
class ConsistencyChecker {
 public:
  // Adds an error for the value `name` of `parent` where the condition is not met.
  void expect(bool is_met, const Record &parent, std::string_view name, const std::string &expected) {
    if (is_met) return;
    Record item = parent.at(name);
    errors_.push_back({item.value().location, item.path(), expected, records::describe(item.value())});
  }
  // Throws all errors, if there are any.
  void finish() {
    if (!errors_.empty()) throw records::RecordError(std::move(errors_));
  }

 private:
  records::Diagnostics errors_;
};

// Throws records::RecordError, which lists each contradiction.
void check_consistency(const Record &front) {
  ConsistencyChecker checker;
  auto rungs = front.items("rungs");
  int highest_rung = static_cast<int>(rungs.size()) - 1;
  for (std::size_t rung = 1; rung < rungs.size(); ++rung) {
    checker.expect(rungs[rung].rate("rate") > rungs[rung - 1].rate("rate"), rungs[rung], "rate",
                   "a rate above that of the rung below");
    checker.expect(rungs[rung].number("importance") > rungs[rung - 1].number("importance"), rungs[rung],
                   "importance", "an importance above that of the rung below");
  }
  checker.expect(rungs[0].rate("rate") > 0, rungs[0], "rate", "a rate above 0");
  std::map<std::string, int> names;
  for (const Record &product : front.items("products")) {
    checker.expect(++names[product.text("name")] == 1, product, "name", "a name that no other product has");
    checker.expect(product.seconds("first_frame_target") <= product.seconds("time_limit"), product,
                   "first_frame_target", "a first-frame target within the time limit");
    checker.expect(product.seconds("first_frame_target") > 0, product, "first_frame_target",
                   "a time above 0");
    checker.expect(product.integer("top") <= highest_rung, product, "top",
                   "a rung that exists, " + std::to_string(highest_rung) + " at most");
    checker.expect(product.integer("floor") <= product.integer("top"), product, "floor",
                   "a floor no higher than the top");
  }
  checker.expect(front.integer("index") < front.integer("fronts"), front, "index",
                 "an index below the number of fronts");
  Record fleet = front.at("fleet"), rules = front.at("rules"), limits = front.at("limits");
  checker.expect(fleet.integer("racks") <= fleet.integer("cells"), fleet, "racks",
                 "no more racks than cells");
  checker.expect(fleet.rate("link_per_weight") > 0, fleet, "link_per_weight", "a rate above 0");
  checker.expect(rules.seconds("fall_span") > 0, rules, "fall_span", "a time above 0");
  checker.expect(limits.seconds("lost_after") >= limits.seconds("report_silence"), limits, "lost_after",
                 "a time no shorter than report_silence");
  checker.finish();
}

// Throws records::RecordError; the checks apply only where management is on.
ManagementSettings read_management_settings(const Record &record) {
  auto names = [&](const char *name) {
    std::vector<std::string> values;
    for (const Record &item : record.items(name)) values.push_back(item.as_text());
    return values;
  };
  auto size = [&](const char *name) { return static_cast<std::size_t>(record.integer(name)); };
  ManagementSettings settings;
  settings.listen = record.text("listen");
  settings.store = record.text("store");
  settings.certificate = record.text("certificate");
  settings.key = record.text("key");
  settings.client_authority = record.text("client_authority");
  settings.plaintext = record.boolean("plaintext");
  settings.readers = names("readers");
  settings.writers = names("setters");
  settings.max_pending_sets = size("sets_waiting");
  settings.max_streams = size("streams");
  settings.max_history = size("history");
  settings.max_lag = record.seconds("behind_time");
  settings.snapshot_interval = record.seconds("snapshot_every");
  if (settings.listen.empty()) return settings;
  ConsistencyChecker checker;
  http::Endpoint endpoint;
  bool is_valid = true;
  try {
    endpoint = parse_endpoint(settings.listen);
  } catch (const std::invalid_argument &) {
    is_valid = false;
  }
  checker.expect(is_valid, record, "listen", "an address and port");
  checker.expect(!settings.store.empty(), record, "store", "a folder for the store, since management is on");
  checker.expect(!settings.plaintext || !is_valid || endpoint.address().is_loopback(), record, "plaintext",
                 "plaintext on loopback only");
  checker.expect(settings.plaintext || !settings.certificate.empty(), record, "certificate",
                 "a certificate, unless plaintext is set");
  checker.expect(settings.certificate.empty() || !settings.key.empty(), record, "key",
                 "the certificate's key");
  checker.expect(settings.certificate.empty() || !settings.client_authority.empty(), record,
                 "client_authority", "the authority that signs clients' certificates");
  checker.finish();
  return settings;
}

} // namespace

const records::Source &front_schema() {
  static const records::Source kSchemaSource{"(schema of the front)", kSchema};
  return kSchemaSource;
}

http::Endpoint parse_endpoint(const std::string &text) {
  std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') host = host.substr(1, host.size() - 2);
  unsigned port = 0;
  auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  asio::error_code address_error;
  auto address = asio::ip::make_address(host, address_error);
  if (colon == std::string::npos || address_error || error != std::errc() ||
      end != text.data() + text.size() || port > 65535)
    throw std::invalid_argument("'" + text + "' is not an address and port");
  return {address, static_cast<unsigned short>(port)};
}

DecisionSettings read_decision_settings(const Record &front) {
  DecisionSettings settings;
  auto put = [&](const char *name, const std::string &value) { settings[name] = value; };
  auto put_number = [&](const char *name, double value) { put(name, format_shortest(value)); };
  auto put_list = [&](const char *name, const std::vector<Record> &items, auto value) {
    std::string joined;
    for (const Record &item : items) joined += (joined.empty() ? "" : ",") + value(item);
    put(name, joined);
  };
  Record fleet = front.at("fleet"), load = front.at("load"), rules = front.at("rules"),
         allocations = front.at("allocations"), further = allocations.at("further");
  auto products = front.items("products"), rungs = front.items("rungs");
  put_number(setting_names::kFronts, front.number("fronts"));
  put_number(setting_names::kFrontIndex, front.number("index"));
  put(setting_names::kHall, front.text("hall"));
  put_list(setting_names::kHalls, fleet.items("halls"), [](const Record &item) { return item.as_text(); });
  put_list(setting_names::kKinds, fleet.items("kinds"), [](const Record &item) { return item.text("name"); });
  put_list(setting_names::kKindCapacities, fleet.items("kinds"),
           [](const Record &item) { return format_shortest(item.number("places")); });
  put_number(setting_names::kCells, fleet.number("cells"));
  put_number(setting_names::kRacks, fleet.number("racks"));
  put_number(setting_names::kLinkPerWeight, fleet.rate("link_per_weight"));
  put_number(setting_names::kRackUplink, fleet.rate("rack_uplink"));
  put(setting_names::kWeightMeaning, fleet.text("weight_meaning"));
  put_number(setting_names::kServerFullFrom, fleet.number("full_from"));
  put(setting_names::kListMode, "pushed");
  put_number(setting_names::kProducts, static_cast<double>(products.size()));
  auto of_product = [](const char *name) {
    return [name](const Record &item) { return format_shortest(item.number(name)); };
  };
  put_list(setting_names::kProductFloors, products, of_product("floor"));
  put_list(setting_names::kProductTops, products, of_product("top"));
  put_list(setting_names::kProductSeats, products, of_product("seats"));
  put_list(setting_names::kProductRateFactors, products, of_product("rate_factor"));
  put_list(setting_names::kRungRates, rungs,
           [](const Record &item) { return format_shortest(item.rate("rate")); });
  put_list(setting_names::kRungImportance, rungs, of_product("importance"));
  for (std::size_t index = 0; index < products.size(); ++index) {
    settings[setting_names::product_setting_name(index, setting_names::kName)] = products[index].text("name");
    settings[setting_names::product_setting_name(index, setting_names::kFirstFrameTarget)] =
        format_shortest(products[index].seconds("first_frame_target"));
    settings[setting_names::product_setting_name(index, setting_names::kTimeLimit)] =
        format_shortest(products[index].seconds("time_limit"));
    settings[setting_names::product_setting_name(index, setting_names::kImportance)] =
        format_shortest(products[index].number("importance"));
    settings[setting_names::product_setting_name(index, setting_names::kSetUpMode)] =
        products[index].text("set_up");
  }
  put(setting_names::kLoadReportSource, load.text("comes_with"));
  put_list(setting_names::kLoadFields, load.items("fields"),
           [](const Record &item) { return item.as_text(); });
  put_number(setting_names::kMayProbe, load.boolean("may_probe"));
  put_number(setting_names::kMayRecall, 1);
  put_number(setting_names::kMayAdviseReturn, 1);
  put_number(setting_names::kFeedbackDelay, load.seconds("note_delay"));
  put_number(setting_names::kLinkFeedbackInterval, load.seconds("note_interval"));
  put_number(setting_names::kAllocationsPerPlay, allocations.number("per_play"));
  put_number(setting_names::kRetryWindow, further.seconds("span"));
  put_number(setting_names::kFreeRetries, further.number("free"));
  put_number(setting_names::kRetryShare, further.number("share"));
  put_number(setting_names::kWarmUp, rules.seconds("warm_up"));
  put_number(setting_names::kColdShare, rules.number("cold_share"));
  put_number(setting_names::kColdOverloadMultiple, rules.number("fall_multiple"));
  put_number(setting_names::kColdOverloadWindow, rules.seconds("fall_span"));
  put_number(setting_names::kDrainGrace, rules.seconds("drain_grace"));
  put_number(setting_names::kAnswerSlack, rules.seconds("answer_slack"));
  put_number(setting_names::kLongestRetryAfter, front.seconds("retry_after"));
  return settings;
}

FrontConfig parse_front_config(std::span<const records::Source> files) {
  Record front = records::read(files, front_schema(), "#Front");
  check_consistency(front);
  FrontConfig config;
  config.name = front.text("name");
  config.index = front.integer("index");
  config.fronts = front.integer("fronts");
  config.seed = static_cast<std::uint64_t>(front.number("seed"));
  Record listen = front.at("listen"), list = front.at("list"), limits = front.at("limits"),
         log = front.at("log");
  try {
    config.players = parse_endpoint(listen.text("players"));
    config.operators = parse_endpoint(listen.text("operators"));
  } catch (const std::invalid_argument &error) {
    throw records::RecordError(
        {{listen.value().location, listen.path(), "addresses to listen on", error.what()}});
  }
  config.ports_file = listen.text("ports_file");
  config.list_file = list.text("file");
  config.catalogue_file = list.text("catalogue");
  for (const Record &hall : front.at("fleet").items("halls")) config.halls.push_back(hall.as_text());
  for (const Record &kind : front.at("fleet").items("kinds")) config.kinds.push_back(kind.text("name"));
  for (const Record &product : front.items("products"))
    config.products.push_back({product.text("name"), product.seconds("time_limit"),
                               product.number("rate_factor"), product.integer("floor"),
                               product.integer("top"), product.integer("seats")});
  for (const Record &rung : front.items("rungs")) config.rung_rates.push_back(rung.rate("rate"));
  config.load_in_answers = front.at("load").text("comes_with") == "answers";
  config.answer_slack = front.at("rules").seconds("answer_slack");
  config.retry_window = front.at("allocations").at("further").seconds("span");
  config.accept_plays = front.boolean("take_plays");
  config.management = read_management_settings(front.at("management"));
  FrontLimits &front_limits = config.limits;
  front_limits.players.read.header_bytes = static_cast<std::size_t>(limits.integer("header_bytes"));
  front_limits.players.read.body_bytes = static_cast<std::size_t>(limits.integer("body_bytes"));
  front_limits.players.connections = static_cast<std::size_t>(limits.integer("connections"));
  front_limits.players.header_time = limits.seconds("header_time");
  front_limits.players.idle_time = limits.seconds("idle_time");
  front_limits.players.write_time = limits.seconds("write_time");
  front_limits.servers.connections_per_server =
      static_cast<std::size_t>(limits.integer("server_connections"));
  front_limits.servers.total_connections = static_cast<std::size_t>(limits.integer("all_connections"));
  front_limits.servers.connect_time = limits.seconds("connect_time");
  front_limits.servers.late_time = limits.seconds("late_time");
  front_limits.max_open_plays = static_cast<std::size_t>(limits.integer("open_plays"));
  front_limits.probe_timeout = limits.seconds("probe_time");
  front_limits.report_silence = limits.seconds("report_silence");
  front_limits.lost_after = limits.seconds("lost_after");
  config.log_target = log.text("where");
  config.log_level = log.text("level");
  config.settled_text = records::render(front.value());
  config.decision_settings = read_decision_settings(front);
  config.record = front;
  return config;
}

FrontConfig load_front_config(const std::vector<std::string> &names) {
  std::vector<records::Source> files;
  records::Diagnostics errors;
  for (const std::string &name : names) {
    try {
      files.push_back(records::load_file(name));
    } catch (const records::RecordError &error) {
      errors.insert(errors.end(), error.diagnostics.begin(), error.diagnostics.end());
    }
  }
  if (!errors.empty()) throw records::RecordError(std::move(errors));
  return parse_front_config(files);
}

} // namespace snowshore::config
