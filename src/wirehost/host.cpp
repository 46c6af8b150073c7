// The lines of the simulator's protocol: their names, their fields, and what each one means for the decision
// engine. Throws WireError for lines that cannot be used.
#include "wirehost/host.h"
#include "decision/setting_names.h"
#include "settings/hex_id.h"
#include "settings/translation.h"

#include <algorithm>

namespace snowshore {

namespace {

// The dispositions of the protocol.
constexpr std::pair<std::string_view, Outcome> kOutcomesByName[] = {
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
  std::string_view disposition = line.text("disposition");
  for (const auto &[name, outcome] : kOutcomesByName) {
    if (name == disposition) return outcome;
  }
  throw WireError("unknown disposition '" + std::string(disposition) + "'");
}

// Parses the field corr, which identifies a play.
std::uint64_t parse_play_id(std::string_view text) {
  auto value = settings::parse_hex16(text);
  if (!value) throw WireError("corr '" + std::string(text.substr(0, 40)) + "' is not 16 hex digits");
  return *value;
}

} // namespace

DecisionSettings engine_settings(const WireLine &line) {
  std::vector<settings::SettingField> fields;
  for (const auto &field : line.fields()) {
    if (field.first != "i" && field.first != "random_seed") fields.push_back(field);
  }
  return settings::translate_settings(fields);
}

EngineInstance::EngineInstance(std::string id, const WireLine &line, double now, std::string &output)
    : id_(std::move(id)), output_(output) {
  DecisionSettings settings = engine_settings(line);
  for (std::size_t product = 0;; ++product) {
    auto it = settings.find(setting_names::product_setting_name(product, setting_names::kName));
    if (it == settings.end()) break;
    products_.push_back(it->second);
  }
  for (int customer = 0;; ++customer) {
    auto it = settings.find("tenants." + std::to_string(customer) + ".name");
    if (it == settings.end()) break;
    customers_.index_of(it->second);
  }
  engine_ = make_decision_engine(settings, line.whole_number("random_seed"), now, *this);
}

void EngineInstance::begin_line(const char *name) {
  output_ += name;
  output_ += "\ti=";
  output_ += id_;
}

void EngineInstance::begin_line(const char *name, int play) {
  begin_line(name);
  output_ += "\tcorr=";
  std::uint64_t id = plays_.id(play);
  for (int shift = 60; shift >= 0; shift -= 4) output_ += "0123456789abcdef"[id >> shift & 15];
}

void EngineInstance::set_rung(int play, int rung) {
  begin_line("GRADE", play);
  output_ += "\tgrade=";
  append(output_, std::int64_t{rung});
  output_ += '\n';
}

void EngineInstance::start_allocation(int play, int server, double timeout) {
  begin_line("ATTEMPT", play);
  output_ += "\ttry_for=";
  append(output_, timeout);
  output_ += "\tnode=";
  append(output_, static_cast<std::int64_t>(servers_.id(server)));
  output_ += '\n';
}

void EngineInstance::decline_play(int play, double retry_after) {
  begin_line("DENY", play);
  if (retry_after > 0) {
    output_ += "\tbackoff=";
    append(output_, retry_after);
  }
  output_ += '\n';
}

void EngineInstance::fail_play(int play) {
  begin_line("FINISH_ERROR", play);
  output_ += '\n';
}

void EngineInstance::move_play(int play) {
  begin_line("BOUNCE", play);
  output_ += '\n';
}

void EngineInstance::recall_allocation(int play, int allocation) {
  begin_line("RECALL", play);
  output_ += "\tround_no=";
  append(output_, std::int64_t{allocation});
  output_ += '\n';
}

void EngineInstance::probe_server(int server) {
  begin_line("HEALTH_CHECK");
  output_ += "\tnode=";
  append(output_, static_cast<std::int64_t>(servers_.id(server)));
  output_ += '\n';
}

void EngineInstance::request_server_list() {
  begin_line("KEEP_INFORMED");
  output_ += "\tactive=1\n";
}

void EngineInstance::set_timer(double wait, int label) {
  begin_line("SET_TIMER");
  output_ += "\twait=";
  append(output_, wait);
  output_ += "\tlabel=";
  append(output_, std::int64_t{label});
  output_ += '\n';
}

void EngineInstance::log_message(const std::string &text) {
  begin_line("REMARK");
  output_ += "\treason_text=" + text + "\n";
}

int EngineInstance::product_of(const WireLine &line) const {
  std::string_view name = line.text("type");
  auto it = std::find(products_.begin(), products_.end(), name);
  if (it == products_.end()) throw WireError("unknown type '" + std::string(name) + "'");
  return static_cast<int>(it - products_.begin());
}

PlayRequest EngineInstance::request_of(const WireLine &line) {
  PlayRequest request;
  request.product = product_of(line);
  auto customer = line.find("project");
  if (customer && !customer->empty() && *customer != "0")
    request.customer = customers_.index_of(std::string(*customer));
  request.viewer = line.whole_number_or("partition_key", 0);
  request.title = titles_.index_of(line.whole_number_or("asset", 0));
  request.time_left = line.optional_number("expires_in");
  request.duration_hint = line.optional_number("cost");
  request.first_cell = line.integer_or("start_cell", 0);
  request.cell_count = line.integer_or("spread", 0);
  request.max_rung = line.integer_or("max_rung", 0);
  request.is_moved = line.flag_or("moved", false);
  request.is_repeated = line.flag_or("again", false);
  return request;
}

int EngineInstance::add_play(const WireLine &line, const PlayRequest &request) {
  std::uint64_t id = parse_play_id(line.text("corr"));
  if (plays_.find(id) >= 0) throw WireError("corr " + std::string(line.text("corr")) + " is already in use");
  int play = plays_.index_of(id);
  titles_.add_holder(play, request.title);
  return play;
}

void EngineInstance::forget_play(int play) {
  titles_.release_holder(play);
  plays_.release(play);
}

int EngineInstance::find_play(const WireLine &line) const {
  return plays_.find(parse_play_id(line.text("corr")));
}

int EngineInstance::listed_server(const WireLine &line) const {
  int server = servers_.find(line.whole_number("node"));
  if (server < 0)
    throw WireError("node " + std::string(line.text("node")) + " is not in any list of this instance");
  return server;
}

LoadReport EngineInstance::load_report_of(const WireLine &line) const {
  LoadReport report;
  std::string_view bad = settings::parse_load_report(line.find("feedback").value_or(""), ',', report);
  if (!bad.empty()) throw WireError("feedback field '" + std::string(bad) + "' is not a name:value pair");
  return report;
}

void EngineInstance::apply_list(const WireLine &line, const std::vector<ServerEntry> *entries) {
  std::string_view mode = line.text("mode");
  if (mode == "X") return engine_->server_list_updated(ListUpdateKind::unavailable, {});
  if (!entries) throw WireError("MEMBERS refers to an unknown list");
  if (mode == "D") return engine_->server_list_updated(ListUpdateKind::changes, *entries);
  if (mode == "F") return engine_->server_list_updated(ListUpdateKind::full, *entries);
  if (mode == "C") return engine_->server_list_updated(ListUpdateKind::initial, *entries);
  throw WireError("unknown mode '" + std::string(mode) + "'");
}

void EngineInstance::process_event(const WireLine &line) {
  std::string_view name = line.name();
  if (name == "ORDER") {
    PlayRequest request = request_of(line);
    engine_->play_requested(add_play(line, request), request);
  } else if (name == "HANDOVER") {
    PlayRequest request = request_of(line);
    int server = server_index(line.whole_number("node"));
    engine_->play_handed_over(add_play(line, request), server, request);
  } else if (name == "FLOWING") {
    int allocation = line.integer("round_no");
    double delay = line.optional_number("delay_seen").value_or(0);
    if (int play = find_play(line); play >= 0) engine_->play_started(play, allocation, delay);
  } else if (name == "REPLY") {
    int allocation = line.integer("round_no");
    Outcome outcome = outcome_of(line);
    bool concluded = line.flag_or("complete", false);
    LoadReport report = load_report_of(line);
    if (int play = find_play(line); play >= 0)
      engine_->allocation_ended(play, allocation, outcome, concluded, report);
  } else if (name == "INTERIM") {
    int kind = line.integer("sort");
    double value = line.number("level");
    int play = find_play(line);
    // Lines of other kinds are ignored, since the engine has no use for them.
    if (play < 0 || kind < 1 || kind > 4) return;
    constexpr FeedbackKind kKinds[] = {FeedbackKind::share_delivered, FeedbackKind::rung,
                                       FeedbackKind::link_demand, FeedbackKind::uplink_demand};
    engine_->feedback_received(play, kKinds[kind - 1], value);
  } else if (name == "CANCELLED_BY_CLIENT") {
    if (int play = find_play(line); play >= 0) engine_->viewer_left(play);
  } else if (name == "ECHO") {
    engine_->probe_answered(listed_server(line), outcome_of(line), load_report_of(line));
  } else if (name == "TIMER") {
    engine_->timer_expired(line.integer("label"));
  } else if (name != "FROM_PEER") {
    // Messages of other front ends are ignored: front ends share no state.
    throw WireError("unknown message '" + std::string(name) + "'");
  }
}

void WireHost::add_list_entry(const WireLine &line) {
  if (line.name() != "NODE") throw WireError("expected a NODE line, got '" + std::string(line.name()) + "'");
  ListedNode node;
  node.entry.stable_id = line.whole_number("node");
  node.hall = std::string(line.find("campus").value_or(""));
  node.kind = std::string(line.find("shape").value_or(""));
  node.entry.cell = line.integer_or("cell", 0);
  node.entry.weight = line.optional_number("rating").value_or(1);
  node.entry.started_at = line.optional_number("since").value_or(0);
  std::string_view state = line.find("stage_state").value_or("active");
  if (state == "leaving") {
    node.entry.status = ServerStatus::leaving;
  } else if (state == "left") {
    node.entry.status = ServerStatus::left;
  } else if (state != "active") {
    throw WireError("unknown stage_state '" + std::string(state) + "'");
  }
  lists_[current_list_].push_back(std::move(node));
  --pending_list_entries_;
}

void WireHost::apply_members(const WireLine &line) {
  EngineInstance &engine = instance(line);
  HostedInstance &hosted = instances_[line.integer("i")];
  auto list = line.text("mode") == "X" ? lists_.end() : lists_.find(line.integer("ref"));
  if (list == lists_.end()) return engine.apply_list(line, nullptr);
  std::vector<ServerEntry> entries;
  for (const ListedNode &node : list->second) {
    entries.push_back(node.entry);
    entries.back().server = engine.server_index(node.entry.stable_id);
    entries.back().hall = hosted.halls.index_of(node.hall);
    entries.back().kind = hosted.kinds.index_of(node.kind);
  }
  engine.apply_list(line, &entries);
}

EngineInstance &WireHost::instance(const WireLine &line) {
  auto it = instances_.find(line.integer("i"));
  if (it == instances_.end()) throw WireError("instance " + std::string(line.text("i")) + " is not open");
  it->second.instance->set_time(now_);
  return *it->second.instance;
}

bool WireHost::process_line(std::string_view text, std::string &output) {
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  if (text.empty()) return false;
  line_.parse(text);
  std::string_view name = line_.name();
  if (pending_list_entries_ > 0) {
    add_list_entry(line_);
  } else if (name == "MARK") {
    if (in_batch_) throw WireError("MARK inside a batch");
    now_ = line_.number("time");
    in_batch_ = true;
  } else if (!in_batch_) {
    throw WireError("'" + std::string(name.substr(0, 40)) + "' outside a batch");
  } else if (name == "EOB") {
    in_batch_ = false;
    output.swap(reply_);
    output += "NEXT\n";
    reply_.clear();
    return true;
  } else if (name == "LIST") {
    current_list_ = line_.integer("ref");
    pending_list_entries_ = static_cast<std::size_t>(line_.integer("members_list"));
    lists_[current_list_].clear();
  } else if (name == "OPEN_INSTANCE") {
    HostedInstance hosted;
    settings::for_each_part(line_.find("areas").value_or(""), ',',
                            [&](std::string_view hall) { hosted.halls.index_of(std::string(hall)); });
    settings::for_each_part(line_.find("skus").value_or(""), ',',
                            [&](std::string_view kind) { hosted.kinds.index_of(std::string(kind)); });
    hosted.instance = std::make_unique<EngineInstance>(std::string(line_.text("i")), line_, now_, reply_);
    instances_[line_.integer("i")] = std::move(hosted);
  } else if (name == "TEARDOWN") {
    instances_.erase(line_.integer("i"));
  } else if (name == "MEMBERS") {
    apply_members(line_);
  } else {
    instance(line_).process_event(line_);
  }
  return false;
}

} // namespace snowshore
