#include "lab/day.h"

#include <cmath>

namespace snowshore::lab {

namespace {

using records::Record;

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

constexpr std::pair<const char *, FaultKind> kKinds[] = {{"hang", FaultKind::hang},
                                                         {"crash", FaultKind::crash},
                                                         {"vanish", FaultKind::vanish},
                                                         {"slow", FaultKind::slow},
                                                         {"neighbour", FaultKind::neighbour},
                                                         {"lost_silent", FaultKind::lost_silent},
                                                         {"lost_reset", FaultKind::lost_reset},
                                                         {"late", FaultKind::late},
                                                         {"nonsense", FaultKind::nonsense},
                                                         {"streams_cut", FaultKind::streams_cut},
                                                         {"drain", FaultKind::drain},
                                                         {"list_late", FaultKind::list_late},
                                                         {"list_down", FaultKind::list_down},
                                                         {"list_whole", FaultKind::list_whole},
                                                         {"reports_late", FaultKind::reports_late},
                                                         {"front_kill", FaultKind::front_kill},
                                                         {"front_stall", FaultKind::front_stall},
                                                         {"crowd", FaultKind::crowd},
                                                         {"leavers", FaultKind::leavers},
                                                         {"silent_players", FaultKind::silent_players},
                                                         {"slow_players", FaultKind::slow_players}};

std::string quote(const std::string &text) {
  records::Value value;
  value.kind = records::Value::Kind::string;
  value.text = text;
  return records::describe(value);
}

} // namespace

std::string front_record(const Day &day, int index, const std::string &folder) {
  const Record &s = day.site;
  auto full = [](const Record &record, const char *name) {
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
       ", kinds: [{name: \"std\", places: " + std::to_string(static_cast<int>(day.places)) + "}]");
  line("  link_per_weight: " + full(s, "link_per_weight") + ", rack_uplink: " + full(s, "rack_uplink"));
  line("  full_from: " + std::to_string(day.full_from) + "}");
  line("products: " + full(s, "products"));
  line("rungs: " + full(s, "rungs"));
  line("load: {may_probe: " + full(s, "may_probe") + ", note_delay: \"" +
       std::to_string(static_cast<int>(std::round(day.note_delay * 1000))) + "ms\", note_interval: \"" +
       std::to_string(static_cast<int>(std::round(day.note_every * 1000))) + "ms\"}");
  line("allocations: {per_play: " + full(s, "per_play") + ", further: " + full(s, "further") + "}");
  line("rules: {warm_up: " + full(s, "warm_up") + ", cold_share: " + full(s, "cold_share") +
       ", fall_multiple: " + full(s, "fall_multiple") + ", fall_span: " + full(s, "fall_span") +
       ", drain_grace: " + full(s, "drain_grace") + ", answer_slack: " + full(s, "answer_slack") + "}");
  line("retry_after: " + full(s, "retry_after"));
  line("limits: {open_plays: " + full(s, "open_plays") + ", connections: " + full(s, "connections") +
       ", header_time: " + full(s, "header_time") + ", report_silence: " + full(s, "report_silence") +
       ", lost_after: " + full(s, "lost_after") + "}");
  line("log: {where: " + quote(folder + "/log.jsonl") + ", level: " + full(s, "log_level") + "}");
  return out;
}

Day read_day(const records::Source &file, int fronts, int servers) {
  records::Source files[] = {file};
  Record r = records::read(files, {"(schema of days)", kSchema}, "#Day");
  Day day;
  day.name = r.text("name");
  day.seconds = r.seconds("seconds");
  day.fronts = fronts > 0 ? fronts : r.integer("fronts");
  int usual = r.integer("servers");
  day.servers = servers > 0 ? servers : usual;
  // More servers than the record's bring plays, cells, racks and titles in proportion.
  double scale = static_cast<double>(day.servers) / usual;
  auto scaled = [&](const char *name) {
    return std::max(1, static_cast<int>(std::round(r.integer(name) * scale)));
  };
  day.cells = scaled("cells"), day.racks = std::min(scaled("racks"), day.cells),
  day.titles = scaled("titles");
  day.plays_a_second = r.number("plays_a_second") * scale;
  day.popularity = r.number("popularity");
  day.lengths = r.seconds("length");
  day.comes_again = r.number("comes_again"), day.pause = r.seconds("pause");
  day.low_players = r.number("low_players");
  Record server = r.at("server");
  day.set_up_time = server.seconds("set_up"), day.places = server.number("places");
  day.weight = server.number("weight"), day.link_spread = server.number("link_spread");
  day.rate_spread = server.number("rate_spread"), day.full_from = server.number("full_from");
  day.note_every = server.seconds("note_every"), day.note_delay = server.seconds("note_delay");
  day.list_delay = r.seconds("list_delay");
  day.product_shares = r.numbers("product_shares");
  for (const Record &one : r.items("faults")) {
    Fault fault;
    for (const auto &[name, kind] : kKinds) {
      if (one.text("kind") == name) fault.kind = kind;
    }
    fault.at = one.seconds("at"), fault.lasts = one.seconds("lasts"), fault.part = one.number("part");
    fault.size = one.number("size"), fault.every = one.seconds("every");
    fault.front = one.integer("front"), fault.replace = one.boolean("replace");
    day.faults.push_back(fault);
  }
  day.site = r.at("site");
  records::Source front[] = {{"(the day's front)", front_record(day, 0, "(folder)")}};
  day.terms = site::parse_front_config(front);
  day.product_shares.resize(day.terms.products.size(), 0);
  return day;
}

} // namespace snowshore::lab
