#include "wirehost/host.h"

#include <algorithm>

namespace snowshore {

namespace {

struct Name {
  std::string_view wire, plain;
};

// What the wire calls a setting and what the module calls it; names not listed pass under the wire's own.
constexpr Name kSettingNames[] = {
    {"group_size", "fronts"},
    {"index", "front_index"},
    {"my_zone", "hall"},
    {"areas", "halls"},
    {"skus", "kinds"},
    {"classes.count", "products"},
    {"discovery", "list_mode"},
    {"over_share_worth", "importance_over_share"},
    {"weights", "weight_meaning"},
    {"family_info.cells", "cells"},
    {"family_info.class_floor", "product_floors"},
    {"family_info.class_top", "product_tops"},
    {"family_info.class_seats", "product_seats"},
    {"family_info.rate_factor", "product_rate_factors"},
    {"family_info.is_live", "product_live"},
    {"family_info.full_from", "server_full_from"},
    {"family_info.join_adds", "shared_viewer_adds"},
    {"family_info.kind_slots", "kind_places"},
    {"family_info.links_kb", "links_in_all"},
    {"family_info.groups", "racks"},
    {"family_info.ladder_kb", "rung_rates"},
    {"family_info.worth_by_rung", "rung_importance"},
    {"family_info.seen_after", "note_delay"},
    {"family_info.reports_every", "link_note_interval"},
    {"family_info.shortfall_cost", "shortfall_cost"},
    {"family_info.switch_cost_s", "rung_step_cost"},
    {"family_info.rack_link_kb", "rack_uplink"},
    {"family_info.link_unit_kb", "link_per_weight"},
    {"limits.attempts_cap", "allocations_per_play"},
    {"limits.cancel", "may_recall"},
    {"limits.probes", "may_probe"},
    {"limits.retry_after", "may_advise_return"},
    {"limits.max_retry_after", "longest_retry_after"},
    {"prices.moves", "move_price"},
    {"prices.probe", "probe_price"},
    {"prices.cross_zone", "cross_hall_price"},
    {"prices.late_fail", "late_failure_price"},
    {"report.how", "load_comes_with"},
    {"report.names", "load_fields"},
    {"rules.cold", "warm_up"},
    {"rules.cold_from", "cold_share"},
    {"rules.fall_multiple", "fall_multiple"},
    {"rules.tip_after", "fall_span"},
    {"rules.stop_sending_within", "drain_grace"},
    {"rules.repeat_ratio", "further_share"},
    {"rules.free_resends", "further_free"},
    {"rules.budget_span", "further_span"},
    {"rules.answer_slack", "answer_slack"},
};

constexpr Name kProductNames[] = {
    {"on_time", "first_frame_target"},
    {"deadline", "time_limit"},
    {"worth", "importance"},
    {"effect", "set_up"},
    {"name", "name"},
};

constexpr Name kLoadNames[] = {
    {"active", "streams"}, {"cpu", "link_share"}, {"x0", "link"}, {"x1", "uplink"}};

constexpr std::pair<std::string_view, Outcome> kOutcomes[] = {
    {"done", Outcome::done},
    {"err", Outcome::error},
    {"busy", Outcome::busy},
    {"etimedout", Outcome::timed_out},
    {"econnrefused", Outcome::unreachable},
    {"econnreset", Outcome::reset},
    {"ecanceled", Outcome::recalled},
    {"skipped", Outcome::skipped},
};

std::string plain_name(std::span<const Name> names, std::string_view wire) {
  for (const Name &name : names) {
    if (name.wire == wire) return std::string(name.plain);
  }
  return std::string(wire);
}

// Calls f with each part of a list that a mark sets apart.
template <class F> void each_part(std::string_view list, char mark, F f) {
  while (!list.empty()) {
    std::size_t at = list.find(mark);
    f(list.substr(0, at));
    if (at == std::string_view::npos) return;
    list.remove_prefix(at + 1);
  }
}

Outcome outcome_of(const WireLine &line) {
  std::string_view word = line.text("disposition");
  for (const auto &[name, outcome] : kOutcomes) {
    if (name == word) return outcome;
  }
  throw WireError("unknown disposition '" + std::string(word) + "'");
}

std::uint64_t read_corr(std::string_view text) {
  std::uint64_t value = 0;
  bool right = text.size() == 16;
  for (char c : text) {
    int digit = c >= '0' && c <= '9' ? c - '0' : c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
    right = right && digit >= 0;
    value = value << 4 | static_cast<std::uint64_t>(digit & 15);
  }
  if (!right) throw WireError("corr '" + std::string(text.substr(0, 40)) + "' is not 16 hex digits");
  return value;
}

} // namespace

Given plain_settings(const WireLine &line) {
  Given given;
  for (const auto &[name, value] : line.fields()) {
    if (name == "i" || name == "random_seed") continue;
    std::string_view rest = name;
    std::string plain;
    if (name.starts_with("classes.") && name != "classes.count") {
      rest.remove_prefix(8);
      std::size_t dot = rest.find('.');
      if (dot == std::string_view::npos) continue;
      plain =
          "product." + std::string(rest.substr(0, dot + 1)) + plain_name(kProductNames, rest.substr(dot + 1));
    } else {
      plain = plain_name(kSettingNames, name);
    }
    if (name == "report.names") {
      std::string words;
      each_part(value, ',', [&](std::string_view word) {
        if (!words.empty()) words += ',';
        words += plain_name(kLoadNames, word);
      });
      given[plain] = words;
    } else {
      given[plain] = std::string(value);
    }
  }
  return given;
}

Instance::Instance(std::string number, const WireLine &line, double now, std::string &out)
    : number_(std::move(number)), out_(out) {
  Given given = plain_settings(line);
  for (int product = 0;; ++product) {
    auto it = given.find("product." + std::to_string(product) + ".name");
    if (it == given.end()) break;
    products_.push_back(it->second);
  }
  for (int customer = 0;; ++customer) {
    auto it = given.find("tenants." + std::to_string(customer) + ".name");
    if (it == given.end()) break;
    customers_.index_of(it->second);
  }
  front_ = make_front(given, line.whole("random_seed"), now, *this);
}

void Instance::begin(const char *name) {
  out_ += name;
  out_ += "\ti=";
  out_ += number_;
}

void Instance::begin(const char *name, int play) {
  begin(name);
  out_ += "\tcorr=";
  std::uint64_t id = plays_.id(play);
  for (int shift = 60; shift >= 0; shift -= 4) out_ += "0123456789abcdef"[id >> shift & 15];
}

void Instance::set_rung(int play, int rung) {
  begin("GRADE", play);
  out_ += "\tgrade=";
  append(out_, std::int64_t{rung});
  out_ += '\n';
}

void Instance::allocate(int play, int server, double time_out) {
  begin("ATTEMPT", play);
  out_ += "\ttry_for=";
  append(out_, time_out);
  out_ += "\tnode=";
  append(out_, static_cast<std::int64_t>(servers_.id(server)));
  out_ += '\n';
}

void Instance::decline(int play, double retry_after) {
  begin("DENY", play);
  if (retry_after > 0) {
    out_ += "\tbackoff=";
    append(out_, retry_after);
  }
  out_ += '\n';
}

void Instance::fail(int play) {
  begin("FINISH_ERROR", play);
  out_ += '\n';
}

void Instance::move(int play) {
  begin("BOUNCE", play);
  out_ += '\n';
}

void Instance::recall(int play, int allocation) {
  begin("RECALL", play);
  out_ += "\tround_no=";
  append(out_, std::int64_t{allocation});
  out_ += '\n';
}

void Instance::probe(int server) {
  begin("HEALTH_CHECK");
  out_ += "\tnode=";
  append(out_, static_cast<std::int64_t>(servers_.id(server)));
  out_ += '\n';
}

void Instance::follow_list() {
  begin("KEEP_INFORMED");
  out_ += "\tactive=1\n";
}

void Instance::set_timer(double wait, int label) {
  begin("SET_TIMER");
  out_ += "\twait=";
  append(out_, wait);
  out_ += "\tlabel=";
  append(out_, std::int64_t{label});
  out_ += '\n';
}

void Instance::log(const std::string &text) {
  begin("REMARK");
  out_ += "\treason_text=" + text + "\n";
}

int Instance::product_of(const WireLine &line) const {
  std::string_view name = line.text("type");
  auto it = std::find(products_.begin(), products_.end(), name);
  if (it == products_.end()) throw WireError("unknown type '" + std::string(name) + "'");
  return static_cast<int>(it - products_.begin());
}

PlayTerms Instance::terms_of(const WireLine &line) {
  PlayTerms terms;
  terms.product = product_of(line);
  auto customer = line.find("project");
  if (customer && !customer->empty() && *customer != "0")
    terms.customer = customers_.index_of(std::string(*customer));
  terms.viewer = line.whole_or("partition_key", 0);
  terms.title = titles_.index_of(line.whole_or("asset", 0));
  terms.time_left = line.number_if("expires_in");
  terms.length_hint = line.number_if("cost");
  terms.first_cell = line.small_or("start_cell", 0);
  terms.cells = line.small_or("spread", 0);
  terms.best_rung = line.small_or("max_rung", 0);
  terms.moved = line.flag_or("moved", false);
  terms.again = line.flag_or("again", false);
  return terms;
}

int Instance::new_play(const WireLine &line, const PlayTerms &terms) {
  std::uint64_t corr = read_corr(line.text("corr"));
  if (plays_.find(corr) >= 0) throw WireError("corr " + std::string(line.text("corr")) + " comes twice");
  int play = plays_.index_of(corr);
  auto place = static_cast<std::size_t>(play), title = static_cast<std::size_t>(terms.title);
  if (place >= title_of_.size()) title_of_.resize(place + 1);
  if (title >= plays_of_.size()) plays_of_.resize(title + 1);
  title_of_[place] = terms.title;
  ++plays_of_[title];
  return play;
}

void Instance::forget(int play) {
  int title = title_of_[static_cast<std::size_t>(play)];
  if (--plays_of_[static_cast<std::size_t>(title)] == 0) titles_.release(title);
  plays_.release(play);
}

int Instance::held_play(const WireLine &line) const { return plays_.find(read_corr(line.text("corr"))); }

int Instance::known_server(const WireLine &line) const {
  int server = servers_.find(line.whole("node"));
  if (server < 0)
    throw WireError("node " + std::string(line.text("node")) + " stood in no list of this instance");
  return server;
}

LoadReport Instance::load_of(const WireLine &line) const {
  LoadReport report;
  each_part(line.find("feedback").value_or(""), ',', [&](std::string_view pair) {
    std::size_t colon = pair.find(':');
    if (colon == std::string_view::npos)
      throw WireError("feedback holds '" + std::string(pair) + "', no name:value pair");
    std::string_view name = pair.substr(0, colon), value = pair.substr(colon + 1);
    if (value.empty()) return;
    if (name == "active") report.streams = read_number(value, name);
    if (name == "cpu") report.link_share = read_number(value, name);
    if (name == "x0") report.link = read_number(value, name);
    if (name == "x1") report.uplink = read_number(value, name);
  });
  return report;
}

void Instance::members(const WireLine &line, const std::vector<ServerEntry> *entries) {
  std::string_view mode = line.text("mode");
  if (mode == "X") return front_->list_changed(ListKind::unavailable, {});
  if (!entries) throw WireError("MEMBERS names a list that was never given");
  if (mode == "D") return front_->list_changed(ListKind::changes, *entries);
  if (mode == "F") return front_->list_changed(ListKind::full, *entries);
  if (mode == "C") return front_->list_changed(ListKind::held, *entries);
  throw WireError("unknown mode '" + std::string(mode) + "'");
}

void Instance::event(const WireLine &line) {
  std::string_view name = line.name();
  if (name == "ORDER") {
    PlayTerms terms = terms_of(line);
    front_->play_asked(new_play(line, terms), terms);
  } else if (name == "HANDOVER") {
    PlayTerms terms = terms_of(line);
    int server = server_index(line.whole("node"));
    front_->play_handed_over(new_play(line, terms), server, terms);
  } else if (name == "FLOWING") {
    int allocation = line.small("round_no");
    double delay = line.number_if("delay_seen").value_or(0);
    if (int play = held_play(line); play >= 0) front_->play_starts(play, allocation, delay);
  } else if (name == "REPLY") {
    int allocation = line.small("round_no");
    Outcome outcome = outcome_of(line);
    bool concluded = line.flag_or("complete", false);
    LoadReport report = load_of(line);
    if (int play = held_play(line); play >= 0)
      front_->allocation_ended(play, allocation, outcome, concluded, report);
  } else if (name == "INTERIM") {
    int kind = line.small("sort");
    double value = line.number("level");
    int play = held_play(line);
    if (play < 0 || kind < 1 || kind > 4)
      return; // further kinds may come; they carry nothing the module knows
    constexpr NoteKind kKinds[] = {NoteKind::share_delivered, NoteKind::rung, NoteKind::link_asked,
                                   NoteKind::uplink_asked};
    front_->note_on_play(play, kKinds[kind - 1], value);
  } else if (name == "CANCELLED_BY_CLIENT") {
    if (int play = held_play(line); play >= 0) front_->viewer_left(play);
  } else if (name == "ECHO") {
    front_->probe_answered(known_server(line), outcome_of(line), load_of(line));
  } else if (name == "TIMER") {
    front_->timer(line.small("label"));
  } else if (name != "FROM_PEER") { // fronts share nothing: what a peer says is passed over
    throw WireError("unknown message '" + std::string(name) + "'");
  }
}

void Host::entry(const WireLine &line) {
  if (line.name() != "NODE") throw WireError("a NODE line is due, not '" + std::string(line.name()) + "'");
  Entry entry;
  entry.plain.number = line.whole("node");
  entry.hall = std::string(line.find("campus").value_or(""));
  entry.kind = std::string(line.find("shape").value_or(""));
  entry.plain.cell = line.small_or("cell", 0);
  entry.plain.weight = line.number_if("rating").value_or(1);
  entry.plain.started = line.number_if("since").value_or(0);
  std::string_view state = line.find("stage_state").value_or("active");
  if (state == "leaving") {
    entry.plain.standing = Standing::leaving;
  } else if (state == "left") {
    entry.plain.standing = Standing::left;
  } else if (state != "active") {
    throw WireError("unknown stage_state '" + std::string(state) + "'");
  }
  lists_[list_].push_back(std::move(entry));
  --entries_due_;
}

void Host::members(const WireLine &line) {
  Instance &front = instance(line);
  Held &held = instances_[line.small("i")];
  auto list = line.text("mode") == "X" ? lists_.end() : lists_.find(line.small("ref"));
  if (list == lists_.end()) return front.members(line, nullptr);
  std::vector<ServerEntry> entries;
  for (const Entry &entry : list->second) {
    entries.push_back(entry.plain);
    entries.back().server = front.server_index(entry.plain.number);
    entries.back().hall = held.halls.index_of(entry.hall);
    entries.back().kind = held.kinds.index_of(entry.kind);
  }
  front.members(line, &entries);
}

Instance &Host::instance(const WireLine &line) {
  auto it = instances_.find(line.small("i"));
  if (it == instances_.end()) throw WireError("instance " + std::string(line.text("i")) + " is not open");
  it->second.instance->clock(now_);
  return *it->second.instance;
}

bool Host::take(std::string_view text, std::string &out) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  if (text.empty()) return false;
  line_.parse(text);
  std::string_view name = line_.name();
  if (entries_due_ > 0) {
    entry(line_);
  } else if (name == "MARK") {
    if (in_batch_) throw WireError("MARK inside a batch");
    now_ = line_.number("time");
    in_batch_ = true;
  } else if (!in_batch_) {
    throw WireError("'" + std::string(name.substr(0, 40)) + "' outside a batch");
  } else if (name == "EOB") {
    in_batch_ = false;
    out.swap(reply_);
    out += "NEXT\n";
    reply_.clear();
    return true;
  } else if (name == "LIST") {
    list_ = line_.small("ref");
    entries_due_ = static_cast<std::size_t>(line_.small("members_list"));
    lists_[list_].clear();
  } else if (name == "OPEN_INSTANCE") {
    Held held;
    each_part(line_.find("areas").value_or(""), ',',
              [&](std::string_view hall) { held.halls.index_of(std::string(hall)); });
    each_part(line_.find("skus").value_or(""), ',',
              [&](std::string_view kind) { held.kinds.index_of(std::string(kind)); });
    held.instance = std::make_unique<Instance>(std::string(line_.text("i")), line_, now_, reply_);
    instances_[line_.small("i")] = std::move(held);
  } else if (name == "TEARDOWN") {
    instances_.erase(line_.small("i"));
  } else if (name == "MEMBERS") {
    members(line_);
  } else {
    instance(line_).event(line_);
  }
  return false;
}

} // namespace snowshore
