#include "lab/day.h"

#include <cmath>

namespace snowshore::lab {

namespace {

using records::Record;

// The schema of a day's record. It holds the default of each field; those under `site` become the front ends'
// configuration.
constexpr const char *kSchema = R"cue(
#Time: string & =~"^[0-9]+(\\.[0-9]+)?(us|ms|s|m|h)$"
#Rate: string & =~"^[0-9]+(\\.[0-9]+)?(kB/s|MB/s|kbit/s|Mbit/s)$"
#Share: number & >=0 & <=1

#Fault: {
  kind: "hang" | "crash" | "vanish" | "slow" | "neighbour" | "lost_silent" | "lost_reset" | "late" | "nonsense" |
    "streams_cut" | "drain" | "list_late" | "list_down" | "list_whole" | "reports_late" | "front_kill" |
    "front_stall" | "crowd" | "leavers" | "silent_players" | "slow_players"
  at: #Time
  lasts: *"0s" | #Time
  part: *0.2 | #Share
  size: *1 | (number & >=0)
  every: *"1s" | #Time
  front: *0 | (int & >=0)
  replace: *true | false
}

#Day: {
  name: string
  seconds: *"12s" | #Time
  fronts: *2 | (int & >=1 & <=64)
  servers: *10 | (int & >=1 & <=400)
  racks: *2 | (int & >=1)
  cells: *10 | (int & >=1)
  titles: *40 | (int & >=1)
  plays_a_second: *18 | (number & >0)
  popularity: *0.9 | (number & >=0)
  length: *"4s" | #Time
  comes_again: *0.8 | #Share
  pause: *"600ms" | #Time
  low_players: *0.25 | #Share
  server: {
    set_up: *"30ms" | #Time
    places: *24 | (number & >0)
    weight: *2 | (number & >0)
    link_spread: *0.15 | #Share
    rate_spread: *0.15 | #Share
    note_every: *"1s" | #Time
    note_delay: *"300ms" | #Time
    full_from: *0 | (number & >=0)
  }
  list_delay: *"300ms" | #Time
  product_shares: *[0.5, 0.25, 0.25] | [...#Share]
  faults: *[] | [...#Fault]
  site: {
    products: *[
      {name: "clip", first_frame_target: "800ms", time_limit: "3s", top: 3},
      {name: "live", first_frame_target: "1s", time_limit: "3s", importance: 2, floor: 1, top: 3, seats: 6},
      {name: "paid", first_frame_target: "1s", time_limit: "3s", set_up: "unsafe", top: 3},
    ] | [...]
    rungs: *[
      {rate: "60kB/s", importance: 0.2},
      {rate: "150kB/s", importance: 0.5},
      {rate: "300kB/s", importance: 0.8},
      {rate: "600kB/s", importance: 1},
    ] | [...]
    link_per_weight: *"1500kB/s" | #Rate
    rack_uplink: *"16000kB/s" | #Rate
    may_probe: *true | false
    per_play: *3 | int
    further: {span: *"5s" | #Time, free: *3 | number, share: *0.1 | number}
    warm_up: *"4s" | #Time
    cold_share: *0.4 | number
    fall_multiple: *2.5 | number
    fall_span: *"1s" | #Time
    drain_grace: *"500ms" | #Time
    answer_slack: *"100ms" | #Time
    retry_after: *"1s" | #Time
    open_plays: *20000 | int
    header_time: *"2s" | #Time
    connections: *256 | int
    report_silence: *"1500ms" | #Time
    lost_after: *"3s" | #Time
    log_level: *"info" | "debug" | "warning" | "error"
  }
}
)cue";

// The names of the fault kinds in a day's record.
constexpr std::pair<const char *, FaultKind> kFaultKinds[] = {{"hang", FaultKind::hang},
                                                              {"crash", FaultKind::crash},
                                                              {"vanish", FaultKind::vanish},
                                                              {"slow", FaultKind::slow_link},
                                                              {"neighbour", FaultKind::competing_traffic},
                                                              {"lost_silent", FaultKind::answer_dropped},
                                                              {"lost_reset", FaultKind::answer_reset},
                                                              {"late", FaultKind::answer_delayed},
                                                              {"nonsense", FaultKind::answer_malformed},
                                                              {"streams_cut", FaultKind::report_streams_cut},
                                                              {"drain", FaultKind::drain},
                                                              {"list_late", FaultKind::list_delayed},
                                                              {"list_down", FaultKind::list_unavailable},
                                                              {"list_whole", FaultKind::list_rewritten},
                                                              {"reports_late", FaultKind::reports_delayed},
                                                              {"front_kill", FaultKind::front_kill},
                                                              {"front_stall", FaultKind::front_stall},
                                                              {"crowd", FaultKind::crowd},
                                                              {"leavers", FaultKind::early_leavers},
                                                              {"silent_players", FaultKind::silent_players},
                                                              {"slow_players", FaultKind::slow_players}};

// Returns `text` as a string literal of the record language.
std::string quote(const std::string &text) {
  records::Value value;
  value.kind = records::Value::Kind::string;
  value.text = text;
  return records::describe(value);
}

} // namespace

std::string render_front_record(const Day &day, int index, const std::string &folder) {
  const Record &site = day.site;
  auto rendered = [](const Record &record, const char *name) {
    return records::render(record.at(name).value(), 1);
  };
  std::string out;
  auto line = [&](const std::string &text) { out += text + "\n"; };
  line("name: \"f" + std::to_string(index) + "\"");
  line("index: " + std::to_string(index));
  line("fronts: " + std::to_string(day.fronts));
  line("seed: 0");
  line("listen: {players: \"127.0.0.1:0\", operators: \"127.0.0.1:0\", ports_file: " +
       quote(folder + "/ports.json") + "}");
  line("list: {file: " + quote(folder + "/list.cue") + ", catalogue: " + quote(folder + "/catalogue.cue") +
       "}");
  line("fleet: {cells: " + std::to_string(day.cells) + ", racks: " + std::to_string(day.racks) +
       ", kinds: [{name: \"std\", places: " + std::to_string(static_cast<int>(day.capacity)) + "}]");
  line("  link_per_weight: " + rendered(site, "link_per_weight") +
       ", rack_uplink: " + rendered(site, "rack_uplink"));
  line("  full_from: " + std::to_string(day.full_from) + "}");
  line("products: " + rendered(site, "products"));
  line("rungs: " + rendered(site, "rungs"));
  line("load: {may_probe: " + rendered(site, "may_probe") + ", note_delay: \"" +
       std::to_string(static_cast<int>(std::round(day.report_delay * 1000))) + "ms\", note_interval: \"" +
       std::to_string(static_cast<int>(std::round(day.report_interval * 1000))) + "ms\"}");
  line("allocations: {per_play: " + rendered(site, "per_play") + ", further: " + rendered(site, "further") +
       "}");
  line("rules: {warm_up: " + rendered(site, "warm_up") + ", cold_share: " + rendered(site, "cold_share") +
       ", fall_multiple: " + rendered(site, "fall_multiple") + ", fall_span: " + rendered(site, "fall_span") +
       ", drain_grace: " + rendered(site, "drain_grace") +
       ", answer_slack: " + rendered(site, "answer_slack") + "}");
  line("retry_after: " + rendered(site, "retry_after"));
  line("limits: {open_plays: " + rendered(site, "open_plays") +
       ", connections: " + rendered(site, "connections") + ", header_time: " + rendered(site, "header_time") +
       ", report_silence: " + rendered(site, "report_silence") +
       ", lost_after: " + rendered(site, "lost_after") + "}");
  line("log: {where: " + quote(folder + "/log.jsonl") + ", level: " + rendered(site, "log_level") + "}");
  return out;
}

Day read_day(const records::Source &file, int fronts, int servers) {
  records::Source files[] = {file};
  Record record = records::read(files, {"(schema of days)", kSchema}, "#Day");
  Day day;
  day.name = record.text("name");
  day.seconds = record.seconds("seconds");
  day.fronts = fronts > 0 ? fronts : record.integer("fronts");
  int recorded_servers = record.integer("servers");
  day.servers = servers > 0 ? servers : recorded_servers;
  // The load, the cells, the racks and the titles grow in proportion to the number of servers.
  double scale = static_cast<double>(day.servers) / recorded_servers;
  auto scaled = [&](const char *name) {
    return std::max(1, static_cast<int>(std::round(record.integer(name) * scale)));
  };
  day.cells = scaled("cells");
  day.racks = std::min(scaled("racks"), day.cells);
  day.titles = scaled("titles");
  day.plays_per_second = record.number("plays_a_second") * scale;
  day.popularity = record.number("popularity");
  day.mean_play_length = record.seconds("length");
  day.retry_share = record.number("comes_again");
  day.retry_pause = record.seconds("pause");
  day.low_bitrate_share = record.number("low_players");
  Record server = record.at("server");
  day.set_up_time = server.seconds("set_up");
  day.capacity = server.number("places");
  day.weight = server.number("weight");
  day.link_spread = server.number("link_spread");
  day.rate_spread = server.number("rate_spread");
  day.full_from = server.number("full_from");
  day.report_interval = server.seconds("note_every");
  day.report_delay = server.seconds("note_delay");
  day.list_delay = record.seconds("list_delay");
  day.product_shares = record.numbers("product_shares");
  for (const Record &entry : record.items("faults")) {
    Fault fault;
    for (const auto &[name, kind] : kFaultKinds) {
      if (entry.text("kind") == name) fault.kind = kind;
    }
    fault.start_time = entry.seconds("at");
    fault.duration = entry.seconds("lasts");
    fault.share = entry.number("part");
    fault.magnitude = entry.number("size");
    fault.interval = entry.seconds("every");
    fault.front = entry.integer("front");
    fault.add_replacement = entry.boolean("replace");
    day.faults.push_back(fault);
  }
  day.site = record.at("site");
  records::Source front[] = {{"(the day's front)", render_front_record(day, 0, "(folder)")}};
  day.front_config = config::parse_front_config(front);
  day.product_shares.resize(day.front_config.products.size(), 0);
  return day;
}

} // namespace snowshore::lab
