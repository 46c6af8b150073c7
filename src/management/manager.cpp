#include "management/manager.h"

#include <cmath>

namespace snowshore::management {

using model::format_decimal;
using model::Json;

namespace {

double whole_seconds(double age) { return std::floor(age); } // ages change always; a second is news enough

const char *name_of(ServerStatus standing) {
  return standing == ServerStatus::active ? "active" : standing == ServerStatus::leaving ? "leaving" : "left";
}

Json json_of(const site::FrontSnapshot &state) {
  Json out;
  out["build"] = {{"boot", state.boot}, {"uptime", format_decimal(whole_seconds(state.uptime))}};
  out["service"] = state.service;
  out["list"]["version"] = std::to_string(state.list_version);
  if (state.list_age >= 0) out["list"]["age"] = format_decimal(whole_seconds(state.list_age));
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
      one["link_use"] = format_decimal(server.view.link_demand);
      one["link_age"] = format_decimal(whole_seconds(server.view.link_age));
    }
    if (server.view.uplink_age >= 0) {
      one["uplink_use"] = format_decimal(server.view.uplink_demand);
      one["uplink_age"] = format_decimal(whole_seconds(server.view.uplink_age));
    }
    out["servers"].push_back(std::move(one));
  }
  return out;
}

} // namespace

ConfigManager::ConfigManager(const model::Model &model, store::Store &store, std::size_t history,
                             std::string version)
    : model_(model), store_(store), version_(std::move(version)), transactions_(store, *this, history) {}

double ConfigManager::now() const { return clock_.read_now() + ahead_; }

const ConfigManager::Checked &ConfigManager::checked(const std::string &document) {
  if (checked_ && checked_->document == document) return *checked_;
  records::Source file{"(configuration)", model_.to_record_text(document)};
  Checked out{document, site::parse_front_config({&file, 1}), false, {}};
  if (!running_.empty()) {
    for (const model::Difference &one : model_.diff(running_, document)) {
      out.drained = out.drained || one.takes_effect == model::TakesEffect::drained;
      if (one.takes_effect == model::TakesEffect::restart) out.fixed = one.path;
    }
  }
  return checked_.emplace(std::move(out));
}

// ---- The front's side of a transaction.

std::optional<Rejection> ConfigManager::check(const std::string &document) {
  try {
    const Checked &next = checked(document);
    if (!front_) return std::nullopt;
    if (next.fixed)
      return Rejection{ChangeError::conflict,
                       *next.fixed + ": takes effect at a new start only; change the record's file"};
    if (auto why = front_.load()->check_config(next.record, next.drained))
      return Rejection{ChangeError::conflict, *why};
    return std::nullopt;
  } catch (const records::RecordError &error) {
    return Rejection{ChangeError::invalid, error.what()};
  } catch (const model::ModelError &error) {
    return Rejection{ChangeError::invalid, error.what()};
  }
}

std::optional<std::string> ConfigManager::apply(const std::string &document) {
  const Checked &next = checked(document);
  if (front_ && document != running_) {
    if (auto why = front_.load()->apply_config(next.record, next.drained)) return why;
  }
  running_ = document;
  checked_->drained = false, checked_->fixed.reset(); // against itself
  return std::nullopt;
}

// ---- Before the front runs.

site::FrontConfig ConfigManager::start(const site::FrontConfig &from_files) {
  std::lock_guard lock(sets_);
  std::string first = model_.to_document(from_files.record);
  auto revisions = store_.read_revisions();
  if (!revisions.empty())
    ahead_ = std::max(0.0, revisions.back().committed_at - clock_.read_now()); // it was set back
  ChangeResult answer = transactions_.recover(first, now());
  if (answer.error != ChangeError::none)
    throw std::runtime_error("the configuration in force: " + answer.message);
  std::string before = store_.get_text("files");
  if (before != first) {
    // Written by hand and started anew: that is a change like another, and ends one that awaits confirmation.
    if (!before.empty() && transactions_.current().document != first) {
      if (transactions_.state() == Transactions::State::awaiting_confirmation)
        transactions_.cancel(transactions_.current().number, "files", now());
      answer = transactions_.set({first, "files", "the record's files changed", {}, 0, ""}, now());
      if (answer.error != ChangeError::none)
        throw std::runtime_error("the record's files: " + answer.message);
    }
    store_.put_text("files", first);
  }
  positions_ = store_.positions();
  publish();
  return checked(transactions_.current().document).record;
}

void ConfigManager::attach(FrontControl *front) {
  std::lock_guard lock(sets_);
  front_ = front;
  if (!front) {
    std::lock_guard held(held_);
    changed_.notify_all();
  }
}

// ---- Sets.

template <class F> ChangeResult ConfigManager::run_change(F call) {
  std::size_t room = running_config()->terms.max_pending_sets;
  struct Waiting {
    std::atomic<int> &count;
    explicit Waiting(std::atomic<int> &c) : count(c) { ++count; }
    ~Waiting() { --count; }
  } waiting(waiting_);
  if (static_cast<std::size_t>(waiting_.load()) > room) {
    ++refused_;
    return {ChangeError::too_many_pending, std::to_string(room) + " sets are waiting",
            running_config()->revision};
  }
  std::lock_guard lock(sets_);
  ChangeResult answer;
  try {
    if (!front_) throw FrontStopping();
    if (lost_track_) { // an error of the store left open what is durable
      store_.reopen();
      answer = transactions_.recover("", now());
      lost_track_ = false;
      publish();
    }
    answer = call();
  } catch (const model::ModelError &error) {
    answer = {ChangeError::invalid, error.what(), transactions_.current().number};
  } catch (const records::RecordError &error) {
    answer = {ChangeError::invalid, error.what(), transactions_.current().number};
  } catch (const store::StoreError &error) {
    lost_track_ = true;
    answer = {ChangeError::storage_failed, error.what(), running_config()->revision};
  } catch (const FrontStopping &ending) {
    answer = {ChangeError::front_stopping, ending.what(), running_config()->revision};
  }
  ++(answer.error == ChangeError::none ? taken_ : refused_);
  if (!lost_track_) publish();
  return answer;
}

ChangeResult ConfigManager::set(const Request &request) {
  return run_change([&] {
    if (request.expected_revision && *request.expected_revision != transactions_.current().number)
      return transactions_.set({"", request.user, request.cause, request.expected_revision, 0, ""}, now());
    std::string next = model_.edit(transactions_.current().document, request.edits);
    if (next == transactions_.current().document && request.confirm_within <= 0 &&
        transactions_.state() == Transactions::State::confirmed)
      return ChangeResult{ChangeError::none, "",
                          transactions_.current().number}; // nothing changes, nothing is written
    return transactions_.set({next, request.user, request.cause, request.expected_revision,
                              request.confirm_within, request.commit_id},
                             now());
  });
}

ChangeResult ConfigManager::confirm(std::uint64_t revision, const std::string &user) {
  return run_change([&] { return transactions_.confirm(revision, user, now()); });
}

ChangeResult ConfigManager::cancel(std::uint64_t revision, const std::string &user) {
  return run_change([&] { return transactions_.cancel(revision, user, now()); });
}

ChangeResult ConfigManager::roll_back(std::uint64_t revision, const std::string &user) {
  return run_change([&] { return transactions_.roll_back(revision, user, now()); });
}

ChangeResult ConfigManager::apply_files(const site::FrontConfig &from_files, const std::string &user) {
  return run_change([&] {
    std::string next = model_.to_document(from_files.record);
    ChangeResult answer{ChangeError ::none, "", transactions_.current().number};
    if (next != transactions_.current().document)
      answer = transactions_.set({next, user, "the record's files were read again", {}, 0, ""}, now());
    if (answer.error == ChangeError::none) store_.put_text("files", next);
    return answer;
  });
}

std::optional<double> ConfigManager::roll_back_expired() {
  std::lock_guard lock(sets_);
  if (!front_ || lost_track_) return std::nullopt;
  try {
    auto due = transactions_.next_due();
    if (due && now() >= *due) {
      transactions_.roll_back_expired(now());
      publish();
      due = transactions_.next_due();
    }
    if (due) return std::max(0.0, *due - now());
  } catch (const store::StoreError &) {
    lost_track_ = true; // the next set finds out what is durable
  } catch (const FrontStopping &) {
  }
  return std::nullopt;
}

// ---- Readers.

void ConfigManager::publish() {
  const Revision &running = transactions_.current();
  auto next = std::make_shared<RunningConfig>();
  next->revision = running.number;
  next->document = running.document;
  next->confirm_deadline = running.confirm_deadline;
  next->commit_id = running.commit_id;
  std::lock_guard held(held_);
  if (running_config_ && running_config_->revision == next->revision &&
      running_config_->confirm_deadline == next->confirm_deadline)
    return;
  next->terms = running_config_ && running_config_->document == next->document
                    ? running_config_->terms
                    : checked(next->document).record.management;
  for (auto it = transactions_.history().rbegin(); it != transactions_.history().rend(); ++it) {
    auto [place, added] = revisions_.insert_or_assign(it->number, *it);
    if (!added && it->number != running.number) break;
  }
  while (!revisions_.empty() && revisions_.begin()->first < transactions_.history().front().number)
    revisions_.erase(revisions_.begin());
  running_config_ = std::move(next);
  changed_.notify_all();
}

std::shared_ptr<const RunningConfig> ConfigManager::running_config() const {
  std::lock_guard held(held_);
  return running_config_;
}

bool ConfigManager::wait_for_change(std::uint64_t revision, double seconds) const {
  std::unique_lock held(held_);
  return changed_.wait_for(held, std::chrono::duration<double>(std::max(0.0, seconds)),
                           [&] { return running_config_->revision != revision; });
}

std::optional<std::string> ConfigManager::document_at(std::uint64_t revision) const {
  std::lock_guard held(held_);
  auto it = revisions_.find(revision);
  return it == revisions_.end() ? std::nullopt : std::optional(it->second.document);
}

std::vector<Revision> ConfigManager::history() const {
  std::lock_guard held(held_);
  std::vector<Revision> out;
  for (const auto &[number, revision] : revisions_)
    out.push_back({number, "", revision.user, revision.cause, revision.committed_at,
                   revision.confirm_deadline, revision.revert_to, ""});
  return out;
}

std::string ConfigManager::state_json() {
  std::lock_guard lock(state_mutex_);
  auto running = running_config();
  if (now() - state_at_ < running->terms.snapshot_interval && !state_.empty()) return state_;
  FrontControl *front = front_;
  if (!front) throw FrontStopping();
  Json state = json_of(front->state());
  state["build"]["version"] = version_;
  state["configuration"]["revision"] = std::to_string(running->revision);
  if (running->confirm_deadline > 0)
    state["configuration"]["confirm_within"] =
        format_decimal(whole_seconds(std::max(0.0, running->confirm_deadline - now())));
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

std::string ConfigManager::history_json() const {
  Json all = Json::array();
  for (const Revision &r : history())
    all.push_back({{"revision", std::to_string(r.number)},
                   {"user", r.user},
                   {"cause", r.cause},
                   {"at", format_decimal(r.committed_at)},
                   {"back_to", std::to_string(r.revert_to)},
                   {"confirmed", r.confirm_deadline == 0}});
  Json state{{"snowshore:state", {{"history", std::move(all)}}}};
  return state.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void ConfigManager::add_streams(int more) { streams_ += more; }
void ConfigManager::count_cancelled_stream() { ++cut_; }

void ConfigManager::record_position(const std::string &subscriber, std::uint64_t revision, bool durable) {
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
