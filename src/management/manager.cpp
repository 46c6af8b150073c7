#include "management/manager.h"

#include <cmath>

namespace snowshore::management {

using model::decimal;
using model::Json;

namespace {

double whole_seconds(double age) { return std::floor(age); } // ages change always; a second is news enough

const char *name_of(ServerStatus standing) {
  return standing == ServerStatus::active ? "active" : standing == ServerStatus::leaving ? "leaving" : "left";
}

Json json_of(const site::FrontSnapshot &state) {
  Json out;
  out["build"] = {{"boot", state.boot}, {"uptime", decimal(whole_seconds(state.uptime))}};
  out["service"] = state.service;
  out["list"]["version"] = std::to_string(state.list_version);
  if (state.list_age >= 0) out["list"]["age"] = decimal(whole_seconds(state.list_age));
  out["plays"] = Json::array(), out["answers"] = Json::array(), out["servers"] = Json::array();
  for (const auto &[name, count] : state.plays)
    out["plays"].push_back({{"state", name}, {"count", std::to_string(count)}});
  for (const auto &[name, count] : state.answers)
    out["answers"].push_back({{"outcome", name}, {"count", std::to_string(count)}});
  for (const auto &server : state.servers) {
    Json one{{"id", server.id},
             {"standing", name_of(server.status)},
             {"plays", server.view.plays},
             {"strikes", server.view.consecutive_failures},
             {"avoided", server.view.avoided},
             {"may_be_cold", server.view.may_be_cold}};
    if (server.view.link_age >= 0) {
      one["link_use"] = decimal(server.view.link_demand);
      one["link_age"] = decimal(whole_seconds(server.view.link_age));
    }
    if (server.view.uplink_age >= 0) {
      one["uplink_use"] = decimal(server.view.uplink_demand);
      one["uplink_age"] = decimal(whole_seconds(server.view.uplink_age));
    }
    out["servers"].push_back(std::move(one));
  }
  return out;
}

} // namespace

Manager::Manager(const model::Model &model, store::Store &store, std::size_t history, std::string version)
    : model_(model), store_(store), version_(std::move(version)), transactions_(store, *this, history) {}

double Manager::now() const { return clock_.read_now() + ahead_; }

const Manager::Checked &Manager::checked(const std::string &document) {
  if (checked_ && checked_->document == document) return *checked_;
  records::Source file{"(configuration)", model_.record_of(document)};
  Checked out{document, site::parse_front_config({&file, 1}), false, {}};
  if (!running_.empty()) {
    for (const model::Changed &one : model_.changes(running_, document)) {
      out.drained = out.drained || one.when == model::TakesEffect::drained;
      if (one.when == model::TakesEffect::restart) out.fixed = one.path;
    }
  }
  return checked_.emplace(std::move(out));
}

// ---- The front's side of a transaction.

std::optional<No> Manager::refuse(const std::string &document) {
  try {
    const Checked &next = checked(document);
    if (!front_) return std::nullopt;
    if (next.fixed)
      return No{Refusal::not_now,
                *next.fixed + ": takes effect at a new start only; change the record's file"};
    if (auto why = front_.load()->refusal_of(next.record, next.drained)) return No{Refusal::not_now, *why};
    return std::nullopt;
  } catch (const records::RecordError &error) {
    return No{Refusal::invalid, error.what()};
  } catch (const model::Fault &fault) {
    return No{Refusal::invalid, fault.what()};
  }
}

std::optional<std::string> Manager::apply(const std::string &document) {
  const Checked &next = checked(document);
  if (front_ && document != running_) {
    if (auto why = front_.load()->change(next.record, next.drained)) return why;
  }
  running_ = document;
  checked_->drained = false, checked_->fixed.reset(); // against itself
  return std::nullopt;
}

// ---- Before the front runs.

site::FrontConfig Manager::start(const site::FrontConfig &from_files) {
  std::lock_guard lock(sets_);
  std::string first = model_.document_of(from_files.record);
  auto revisions = store_.read();
  if (!revisions.empty()) ahead_ = std::max(0.0, revisions.back().at - clock_.read_now()); // it was set back
  Answer answer = transactions_.recover(first, now());
  if (answer.refusal != Refusal::none) throw std::runtime_error("the configuration in force: " + answer.why);
  std::string before = store_.text("files");
  if (before != first) {
    // Written by hand and started anew: that is a change like another, and ends one that awaits confirmation.
    if (!before.empty() && transactions_.running().document != first) {
      if (transactions_.state() == Transactions::State::awaiting_confirmation)
        transactions_.cancel(transactions_.running().number, "files", now());
      answer = transactions_.set({first, "files", "the record's files changed", {}, 0, ""}, now());
      if (answer.refusal != Refusal::none) throw std::runtime_error("the record's files: " + answer.why);
    }
    store_.put_text("files", first);
  }
  positions_ = store_.positions();
  publish();
  return checked(transactions_.running().document).record;
}

void Manager::attach(FrontPort *front) {
  std::lock_guard lock(sets_);
  front_ = front;
  if (!front) {
    std::lock_guard held(held_);
    changed_.notify_all();
  }
}

// ---- Sets.

template <class F> Answer Manager::one_at_a_time(F call) {
  std::size_t room = in_force()->terms.max_pending_sets;
  struct Waiting {
    std::atomic<int> &count;
    explicit Waiting(std::atomic<int> &c) : count(c) { ++count; }
    ~Waiting() { --count; }
  } waiting(waiting_);
  if (static_cast<std::size_t>(waiting_.load()) > room) {
    ++refused_;
    return {Refusal::overloaded, std::to_string(room) + " sets are waiting", in_force()->revision};
  }
  std::lock_guard lock(sets_);
  Answer answer;
  try {
    if (!front_) throw Ending();
    if (lost_track_) { // an error of the store left open what is durable
      store_.reopen();
      answer = transactions_.recover("", now());
      lost_track_ = false;
      publish();
    }
    answer = call();
  } catch (const model::Fault &fault) {
    answer = {Refusal::invalid, fault.what(), transactions_.running().number};
  } catch (const records::RecordError &error) {
    answer = {Refusal::invalid, error.what(), transactions_.running().number};
  } catch (const store::StoreError &error) {
    lost_track_ = true;
    answer = {Refusal::not_stored, error.what(), in_force()->revision};
  } catch (const Ending &ending) {
    answer = {Refusal::ending, ending.what(), in_force()->revision};
  }
  ++(answer.refusal == Refusal::none ? taken_ : refused_);
  if (!lost_track_) publish();
  return answer;
}

Answer Manager::set(const Request &request) {
  return one_at_a_time([&] {
    if (request.read_at && *request.read_at != transactions_.running().number)
      return transactions_.set({"", request.user, request.cause, request.read_at, 0, ""}, now());
    std::string next = model_.edit(transactions_.running().document, request.edits);
    if (next == transactions_.running().document && request.confirm_within <= 0 &&
        transactions_.state() == Transactions::State::settled)
      return Answer{Refusal::none, "", transactions_.running().number}; // nothing changes, nothing is written
    return transactions_.set(
        {next, request.user, request.cause, request.read_at, request.confirm_within, request.commit_id},
        now());
  });
}

Answer Manager::confirm(std::uint64_t revision, const std::string &user) {
  return one_at_a_time([&] { return transactions_.confirm(revision, user, now()); });
}

Answer Manager::cancel(std::uint64_t revision, const std::string &user) {
  return one_at_a_time([&] { return transactions_.cancel(revision, user, now()); });
}

Answer Manager::roll_back(std::uint64_t revision, const std::string &user) {
  return one_at_a_time([&] { return transactions_.roll_back(revision, user, now()); });
}

Answer Manager::take_files(const site::FrontConfig &from_files, const std::string &user) {
  return one_at_a_time([&] {
    std::string next = model_.document_of(from_files.record);
    Answer answer{Refusal::none, "", transactions_.running().number};
    if (next != transactions_.running().document)
      answer = transactions_.set({next, user, "the record's files were read again", {}, 0, ""}, now());
    if (answer.refusal == Refusal::none) store_.put_text("files", next);
    return answer;
  });
}

std::optional<double> Manager::tick() {
  std::lock_guard lock(sets_);
  if (!front_ || lost_track_) return std::nullopt;
  try {
    auto due = transactions_.next_due();
    if (due && now() >= *due) {
      transactions_.tick(now());
      publish();
      due = transactions_.next_due();
    }
    if (due) return std::max(0.0, *due - now());
  } catch (const store::StoreError &) {
    lost_track_ = true; // the next set finds out what is durable
  } catch (const Ending &) {
  }
  return std::nullopt;
}

// ---- Readers.

void Manager::publish() {
  const Revision &running = transactions_.running();
  auto next = std::make_shared<InForce>();
  next->revision = running.number;
  next->document = running.document;
  next->confirm_by = running.confirm_by;
  next->commit_id = running.commit_id;
  std::lock_guard held(held_);
  if (in_force_ && in_force_->revision == next->revision && in_force_->confirm_by == next->confirm_by) return;
  next->terms = in_force_ && in_force_->document == next->document
                    ? in_force_->terms
                    : checked(next->document).record.management;
  for (auto it = transactions_.history().rbegin(); it != transactions_.history().rend(); ++it) {
    auto [place, added] = revisions_.insert_or_assign(it->number, *it);
    if (!added && it->number != running.number) break;
  }
  while (!revisions_.empty() && revisions_.begin()->first < transactions_.history().front().number)
    revisions_.erase(revisions_.begin());
  in_force_ = std::move(next);
  changed_.notify_all();
}

std::shared_ptr<const InForce> Manager::in_force() const {
  std::lock_guard held(held_);
  return in_force_;
}

bool Manager::wait_for_change(std::uint64_t revision, double seconds) const {
  std::unique_lock held(held_);
  return changed_.wait_for(held, std::chrono::duration<double>(std::max(0.0, seconds)),
                           [&] { return in_force_->revision != revision; });
}

std::optional<std::string> Manager::document_at(std::uint64_t revision) const {
  std::lock_guard held(held_);
  auto it = revisions_.find(revision);
  return it == revisions_.end() ? std::nullopt : std::optional(it->second.document);
}

std::vector<Revision> Manager::history() const {
  std::lock_guard held(held_);
  std::vector<Revision> out;
  for (const auto &[number, revision] : revisions_)
    out.push_back(
        {number, "", revision.user, revision.cause, revision.at, revision.confirm_by, revision.back_to, ""});
  return out;
}

std::string Manager::state_json() {
  std::lock_guard lock(state_mutex_);
  auto running = in_force();
  if (now() - state_at_ < running->terms.snapshot_interval && !state_.empty()) return state_;
  FrontPort *front = front_;
  if (!front) throw Ending();
  Json state = json_of(front->state());
  state["build"]["version"] = version_;
  state["configuration"]["revision"] = std::to_string(running->revision);
  if (running->confirm_by > 0)
    state["configuration"]["confirm_within"] =
        decimal(whole_seconds(std::max(0.0, running->confirm_by - now())));
  state["management"] = {{"sets_taken", std::to_string(taken_.load())},
                         {"sets_refused", std::to_string(refused_.load())},
                         {"streams", streams_.load()},
                         {"streams_cut", std::to_string(cut_.load())}};
  state["subscribers"] = Json::array();
  {
    std::lock_guard held(held_);
    for (const auto &[name, revision] : positions_)
      state["subscribers"].push_back({{"name", name}, {"revision", std::to_string(revision)}});
  }
  state_ = Json{{"snowshore:state", state}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  state_at_ = now();
  return state_;
}

std::string Manager::history_json() const {
  Json all = Json::array();
  for (const Revision &r : history())
    all.push_back({{"revision", std::to_string(r.number)},
                   {"user", r.user},
                   {"cause", r.cause},
                   {"at", decimal(r.at)},
                   {"back_to", std::to_string(r.back_to)},
                   {"confirmed", r.confirm_by == 0}});
  Json state{{"snowshore:state", {{"history", std::move(all)}}}};
  return state.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void Manager::note_stream(int more) { streams_ += more; }
void Manager::note_cut() { ++cut_; }

void Manager::note_position(const std::string &subscriber, std::uint64_t revision, bool durable) {
  {
    std::lock_guard held(held_);
    positions_[subscriber] = revision;
  }
  std::unique_lock sets(sets_, std::try_to_lock);
  if (!durable || !sets || lost_track_) return;
  try {
    store_.put_position(subscriber, revision);
  } catch (const store::StoreError &) {
    lost_track_ = true;
  }
}

} // namespace snowshore::management
