#include "wirehost/host.h"
#include "decision/names.h"
#include "given/hex_id.h"
#include "given/translate.h"

#include <algorithm>

namespace snowshore {

namespace {

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

Outcome outcome_of(const WireLine &line) {
  std::string_view word = line.text("disposition");
  for (const auto &[name, outcome] : kOutcomes) {
    if (name == word) return outcome;
  }
  throw WireError("unknown disposition '" + std::string(word) + "'");
}

std::uint64_t read_corr(std::string_view text) {
  auto value = given::parse_hex16(text);
  if (!value) throw WireError("corr '" + std::string(text.substr(0, 40)) + "' is not 16 hex digits");
  return *value;
}

} // namespace

DecisionSettings plain_settings(const WireLine &line) {
  std::vector<given::SettingField> fields;
  for (const auto &field : line.fields()) {
    if (field.first != "i" && field.first != "random_seed") fields.push_back(field);
  }
  return given::translate_settings(fields);
}

Instance::Instance(std::string number, const WireLine &line, double now, std::string &out)
    : number_(std::move(number)), out_(out) {
  DecisionSettings given = plain_settings(line);
  for (std::size_t product = 0;; ++product) {
    auto it = given.find(given::product_setting_name(product, given::kName));
    if (it == given.end()) break;
    products_.push_back(it->second);
  }
  for (int customer = 0;; ++customer) {
    auto it = given.find("tenants." + std::to_string(customer) + ".name");
    if (it == given.end()) break;
    customers_.index_of(it->second);
  }
  front_ = make_decision_engine(given, line.whole("random_seed"), now, *this);
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

void Instance::start_allocation(int play, int server, double time_out) {
  begin("ATTEMPT", play);
  out_ += "\ttry_for=";
  append(out_, time_out);
  out_ += "\tnode=";
  append(out_, static_cast<std::int64_t>(servers_.id(server)));
  out_ += '\n';
}

void Instance::decline_play(int play, double retry_after) {
  begin("DENY", play);
  if (retry_after > 0) {
    out_ += "\tbackoff=";
    append(out_, retry_after);
  }
  out_ += '\n';
}

void Instance::fail_play(int play) {
  begin("FINISH_ERROR", play);
  out_ += '\n';
}

void Instance::move_play(int play) {
  begin("BOUNCE", play);
  out_ += '\n';
}

void Instance::recall_allocation(int play, int allocation) {
  begin("RECALL", play);
  out_ += "\tround_no=";
  append(out_, std::int64_t{allocation});
  out_ += '\n';
}

void Instance::probe_server(int server) {
  begin("HEALTH_CHECK");
  out_ += "\tnode=";
  append(out_, static_cast<std::int64_t>(servers_.id(server)));
  out_ += '\n';
}

void Instance::request_server_list() {
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

void Instance::log_message(const std::string &text) {
  begin("REMARK");
  out_ += "\treason_text=" + text + "\n";
}

int Instance::product_of(const WireLine &line) const {
  std::string_view name = line.text("type");
  auto it = std::find(products_.begin(), products_.end(), name);
  if (it == products_.end()) throw WireError("unknown type '" + std::string(name) + "'");
  return static_cast<int>(it - products_.begin());
}

PlayRequest Instance::terms_of(const WireLine &line) {
  PlayRequest terms;
  terms.product = product_of(line);
  auto customer = line.find("project");
  if (customer && !customer->empty() && *customer != "0")
    terms.customer = customers_.index_of(std::string(*customer));
  terms.viewer = line.whole_or("partition_key", 0);
  terms.title = titles_.index_of(line.whole_or("asset", 0));
  terms.time_left = line.number_if("expires_in");
  terms.duration_hint = line.number_if("cost");
  terms.first_cell = line.small_or("start_cell", 0);
  terms.cell_count = line.small_or("spread", 0);
  terms.max_rung = line.small_or("max_rung", 0);
  terms.is_moved = line.flag_or("moved", false);
  terms.is_repeated = line.flag_or("again", false);
  return terms;
}

int Instance::new_play(const WireLine &line, const PlayRequest &terms) {
  std::uint64_t corr = read_corr(line.text("corr"));
  if (plays_.find(corr) >= 0) throw WireError("corr " + std::string(line.text("corr")) + " comes twice");
  int play = plays_.index_of(corr);
  titles_.add_holder(play, terms.title);
  return play;
}

void Instance::forget_play(int play) {
  titles_.release_holder(play);
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
  std::string_view bad = given::parse_load_report(line.find("feedback").value_or(""), ',', report);
  if (!bad.empty()) throw WireError("feedback holds '" + std::string(bad) + "', no name:value pair");
  return report;
}

void Instance::members(const WireLine &line, const std::vector<ServerEntry> *entries) {
  std::string_view mode = line.text("mode");
  if (mode == "X") return front_->server_list_updated(ListUpdateKind::unavailable, {});
  if (!entries) throw WireError("MEMBERS names a list that was never given");
  if (mode == "D") return front_->server_list_updated(ListUpdateKind::changes, *entries);
  if (mode == "F") return front_->server_list_updated(ListUpdateKind::full, *entries);
  if (mode == "C") return front_->server_list_updated(ListUpdateKind::initial, *entries);
  throw WireError("unknown mode '" + std::string(mode) + "'");
}

void Instance::event(const WireLine &line) {
  std::string_view name = line.name();
  if (name == "ORDER") {
    PlayRequest terms = terms_of(line);
    front_->play_requested(new_play(line, terms), terms);
  } else if (name == "HANDOVER") {
    PlayRequest terms = terms_of(line);
    int server = server_index(line.whole("node"));
    front_->play_handed_over(new_play(line, terms), server, terms);
  } else if (name == "FLOWING") {
    int allocation = line.small("round_no");
    double delay = line.number_if("delay_seen").value_or(0);
    if (int play = held_play(line); play >= 0) front_->play_started(play, allocation, delay);
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
    constexpr FeedbackKind kKinds[] = {FeedbackKind::share_delivered, FeedbackKind::rung,
                                       FeedbackKind::link_demand, FeedbackKind::uplink_demand};
    front_->feedback_received(play, kKinds[kind - 1], value);
  } else if (name == "CANCELLED_BY_CLIENT") {
    if (int play = held_play(line); play >= 0) front_->viewer_left(play);
  } else if (name == "ECHO") {
    front_->probe_answered(known_server(line), outcome_of(line), load_of(line));
  } else if (name == "TIMER") {
    front_->timer_expired(line.small("label"));
  } else if (name != "FROM_PEER") { // fronts share nothing: what a peer says is passed over
    throw WireError("unknown message '" + std::string(name) + "'");
  }
}

void Host::entry(const WireLine &line) {
  if (line.name() != "NODE") throw WireError("a NODE line is due, not '" + std::string(line.name()) + "'");
  Entry entry;
  entry.plain.stable_id = line.whole("node");
  entry.hall = std::string(line.find("campus").value_or(""));
  entry.kind = std::string(line.find("shape").value_or(""));
  entry.plain.cell = line.small_or("cell", 0);
  entry.plain.weight = line.number_if("rating").value_or(1);
  entry.plain.started_at = line.number_if("since").value_or(0);
  std::string_view state = line.find("stage_state").value_or("active");
  if (state == "leaving") {
    entry.plain.status = ServerStatus::leaving;
  } else if (state == "left") {
    entry.plain.status = ServerStatus::left;
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
    entries.back().server = front.server_index(entry.plain.stable_id);
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
    given::for_each_part(line_.find("areas").value_or(""), ',',
                         [&](std::string_view hall) { held.halls.index_of(std::string(hall)); });
    given::for_each_part(line_.find("skus").value_or(""), ',',
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
