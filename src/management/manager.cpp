#include "management/manager.h"

#include <cmath>

namespace snowshore::management {

using model::format_decimal;
using model::Json;

namespace {

// Ages grow all the time. Whole seconds keep on-change subscriptions from an update at each look.
double whole_seconds(double age) { return std::floor(age); }

const char *name_of(ServerStatus standing) {
  return standing == ServerStatus::active ? "active" : standing == ServerStatus::leaving ? "leaving" : "left";
}

// Returns the state as the model's /state has it.
Json state_to_json(const config::FrontSnapshot &state) {
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
    Json entry{{"id", server.id},
               {"standing", name_of(server.status)},
               {"plays", server.view.plays},
               {"strikes", server.view.consecutive_failures},
               {"avoided", server.view.avoided},
               {"may_be_cold", server.view.may_be_cold}};
    if (server.view.link_age >= 0) {
      entry["link_use"] = format_decimal(server.view.link_demand);
      entry["link_age"] = format_decimal(whole_seconds(server.view.link_age));
    }
    if (server.view.uplink_age >= 0) {
      entry["uplink_use"] = format_decimal(server.view.uplink_demand);
      entry["uplink_age"] = format_decimal(whole_seconds(server.view.uplink_age));
    }
    out["servers"].push_back(std::move(entry));
  }
  return out;
}

} // namespace

ConfigManager::ConfigManager(const model::Model &model, store::Store &store, std::size_t history,
                             std::string version)
    : model_(model), store_(store), version_(std::move(version)), transactions_(store, *this, history) {}

double ConfigManager::now() const { return clock_.read_now() + clock_offset_; }

const ConfigManager::ParsedConfig &ConfigManager::parse_config(const std::string &document) {
  if (parsed_config_ && parsed_config_->document == document) return *parsed_config_;
  records::Source file{"(configuration)", model_.to_record_text(document)};
  ParsedConfig parsed{document, config::parse_front_config({&file, 1}), false, {}};
  if (!applied_document_.empty()) {
    for (const model::Difference &difference : model_.diff(applied_document_, document)) {
      parsed.drained = parsed.drained || difference.takes_effect == model::TakesEffect::drained;
      if (difference.takes_effect == model::TakesEffect::restart) parsed.restart_path = difference.path;
    }
  }
  return parsed_config_.emplace(std::move(parsed));
}

// The following two are the ConfigTarget that transactions_ calls.

std::optional<Rejection> ConfigManager::check(const std::string &document) {
  try {
    const ParsedConfig &next = parse_config(document);
    if (!front_) return std::nullopt;
    if (next.restart_path)
      return Rejection{ChangeError::conflict,
                       *next.restart_path + ": takes effect at a new start only; edit the record file"};
    if (auto reason = front_.load()->check_config(next.record, next.drained))
      return Rejection{ChangeError::conflict, *reason};
    return std::nullopt;
  } catch (const records::RecordError &error) {
    return Rejection{ChangeError::invalid, error.what()};
  } catch (const model::ModelError &error) {
    return Rejection{ChangeError::invalid, error.what()};
  }
}

std::optional<std::string> ConfigManager::apply(const std::string &document) {
  const ParsedConfig &next = parse_config(document);
  if (front_ && document != applied_document_) {
    if (auto reason = front_.load()->apply_config(next.record, next.drained)) return reason;
  }
  applied_document_ = document;
  // Relative to itself, the document has no difference.
  parsed_config_->drained = false;
  parsed_config_->restart_path.reset();
  return std::nullopt;
}

config::FrontConfig ConfigManager::start(const config::FrontConfig &from_files) {
  std::lock_guard lock(change_mutex_);
  std::string files_document = model_.to_document(from_files.record);
  auto revisions = store_.read_revisions();
  // The last revision lies in the future if the clock was set back.
  if (!revisions.empty()) clock_offset_ = std::max(0.0, revisions.back().committed_at - clock_.read_now());
  ChangeResult result = transactions_.recover(files_document, now());
  if (result.error != ChangeError::none)
    throw std::runtime_error("cannot apply the configuration in force: " + result.message);
  std::string previous_files = store_.get_text("files");
  if (previous_files != files_document) {
    // Files that were edited before a start are a change like any other. It replaces an unconfirmed change.
    if (!previous_files.empty() && transactions_.current().document != files_document) {
      if (transactions_.state() == Transactions::State::awaiting_confirmation)
        transactions_.cancel(transactions_.current().number, "files", now());
      result = transactions_.set({files_document, "files", "the record's files changed", {}, 0, ""}, now());
      if (result.error != ChangeError::none)
        throw std::runtime_error("cannot apply the record files: " + result.message);
    }
    store_.put_text("files", files_document);
  }
  positions_ = store_.positions();
  publish();
  return parse_config(transactions_.current().document).record;
}

void ConfigManager::attach(FrontControl *front) {
  std::lock_guard lock(change_mutex_);
  front_ = front;
  if (!front) {
    std::lock_guard published_lock(published_mutex_);
    published_.notify_all();
  }
}

template <class F> ChangeResult ConfigManager::run_change(F call) {
  std::size_t limit = running_config()->terms.max_pending_sets;
  struct Waiting {
    std::atomic<int> &count;
    explicit Waiting(std::atomic<int> &c) : count(c) { ++count; }
    ~Waiting() { --count; }
  } waiting(pending_changes_);
  if (static_cast<std::size_t>(pending_changes_.load()) > limit) {
    ++rejected_;
    return {ChangeError::too_many_pending, std::to_string(limit) + " sets are already waiting",
            running_config()->revision};
  }
  std::lock_guard lock(change_mutex_);
  ChangeResult result;
  try {
    if (!front_) throw FrontStopping();
    if (store_uncertain_) { // Finds out which revision is durable and applies it.
      store_.reopen();
      result = transactions_.recover("", now());
      store_uncertain_ = false;
      publish();
    }
    result = call();
  } catch (const model::ModelError &error) {
    result = {ChangeError::invalid, error.what(), transactions_.current().number};
  } catch (const records::RecordError &error) {
    result = {ChangeError::invalid, error.what(), transactions_.current().number};
  } catch (const store::StoreError &error) {
    store_uncertain_ = true;
    result = {ChangeError::storage_failed, error.what(), running_config()->revision};
  } catch (const FrontStopping &stopping) {
    result = {ChangeError::front_stopping, stopping.what(), running_config()->revision};
  }
  ++(result.error == ChangeError::none ? accepted_ : rejected_);
  if (!store_uncertain_) publish();
  return result;
}

ChangeResult ConfigManager::set(const Request &request) {
  return run_change([&] {
    if (request.expected_revision && *request.expected_revision != transactions_.current().number)
      return transactions_.set({"", request.user, request.cause, request.expected_revision, 0, ""}, now());
    std::string edited = model_.edit(transactions_.current().document, request.edits);
    // Edits that change nothing succeed without a new revision, unless they ask for a confirmation.
    if (edited == transactions_.current().document && request.confirm_within <= 0 &&
        transactions_.state() == Transactions::State::confirmed)
      return ChangeResult{ChangeError::none, "", transactions_.current().number};
    return transactions_.set({edited, request.user, request.cause, request.expected_revision,
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

ChangeResult ConfigManager::apply_files(const config::FrontConfig &from_files, const std::string &user) {
  return run_change([&] {
    std::string document = model_.to_document(from_files.record);
    ChangeResult result{ChangeError::none, "", transactions_.current().number};
    if (document != transactions_.current().document)
      result = transactions_.set({document, user, "the record's files were read again", {}, 0, ""}, now());
    if (result.error == ChangeError::none) store_.put_text("files", document);
    return result;
  });
}

std::optional<double> ConfigManager::roll_back_expired() {
  std::lock_guard lock(change_mutex_);
  if (!front_ || store_uncertain_) return std::nullopt;
  try {
    auto due = transactions_.next_due();
    if (due && now() >= *due) {
      transactions_.roll_back_expired(now());
      publish();
      due = transactions_.next_due();
    }
    if (due) return std::max(0.0, *due - now());
  } catch (const store::StoreError &) {
    store_uncertain_ = true; // The next set recovers.
  } catch (const FrontStopping &) {
  }
  return std::nullopt;
}

void ConfigManager::publish() {
  const Revision &running = transactions_.current();
  auto next = std::make_shared<RunningConfig>();
  next->revision = running.number;
  next->document = running.document;
  next->confirm_deadline = running.confirm_deadline;
  next->commit_id = running.commit_id;
  std::lock_guard lock(published_mutex_);
  if (running_config_ && running_config_->revision == next->revision &&
      running_config_->confirm_deadline == next->confirm_deadline)
    return;
  next->terms = running_config_ && running_config_->document == next->document
                    ? running_config_->terms
                    : parse_config(next->document).record.management;
  for (auto it = transactions_.history().rbegin(); it != transactions_.history().rend(); ++it) {
    auto [entry, added] = revisions_.insert_or_assign(it->number, *it);
    if (!added && it->number != running.number) break;
  }
  while (!revisions_.empty() && revisions_.begin()->first < transactions_.history().front().number)
    revisions_.erase(revisions_.begin());
  running_config_ = std::move(next);
  published_.notify_all();
}

std::shared_ptr<const RunningConfig> ConfigManager::running_config() const {
  std::lock_guard lock(published_mutex_);
  return running_config_;
}

bool ConfigManager::wait_for_change(std::uint64_t revision, double seconds) const {
  std::unique_lock lock(published_mutex_);
  return published_.wait_for(lock, std::chrono::duration<double>(std::max(0.0, seconds)),
                             [&] { return running_config_->revision != revision; });
}

std::optional<std::string> ConfigManager::document_at(std::uint64_t revision) const {
  std::lock_guard lock(published_mutex_);
  auto it = revisions_.find(revision);
  return it == revisions_.end() ? std::nullopt : std::optional(it->second.document);
}

std::vector<Revision> ConfigManager::history() const {
  std::lock_guard lock(published_mutex_);
  std::vector<Revision> out;
  for (const auto &[number, revision] : revisions_)
    out.push_back({number, "", revision.user, revision.cause, revision.committed_at,
                   revision.confirm_deadline, revision.revert_to, ""});
  return out;
}

std::string ConfigManager::state_json() {
  std::lock_guard lock(state_mutex_);
  auto running = running_config();
  if (now() - cached_state_at_ < running->terms.snapshot_interval && !cached_state_.empty())
    return cached_state_;
  FrontControl *front = front_;
  if (!front) throw FrontStopping();
  Json state = state_to_json(front->state());
  state["build"]["version"] = version_;
  state["configuration"]["revision"] = std::to_string(running->revision);
  if (running->confirm_deadline > 0)
    state["configuration"]["confirm_within"] =
        format_decimal(whole_seconds(std::max(0.0, running->confirm_deadline - now())));
  state["management"] = {{"sets_taken", std::to_string(accepted_.load())},
                         {"sets_refused", std::to_string(rejected_.load())},
                         {"streams", active_streams_.load()},
                         {"streams_cut", std::to_string(cancelled_streams_.load())}};
  state["subscribers"] = Json::array();
  {
    std::lock_guard published_lock(published_mutex_);
    for (const auto &[name, revision] : positions_)
      state["subscribers"].push_back({{"name", name}, {"revision", std::to_string(revision)}});
  }
  cached_state_ = Json{{"snowshore:state", state}}.dump(-1, ' ', false, Json::error_handler_t::replace);
  cached_state_at_ = now();
  return cached_state_;
}

std::string ConfigManager::history_json() const {
  Json entries = Json::array();
  for (const Revision &revision : history())
    entries.push_back({{"revision", std::to_string(revision.number)},
                       {"user", revision.user},
                       {"cause", revision.cause},
                       {"at", format_decimal(revision.committed_at)},
                       {"back_to", std::to_string(revision.revert_to)},
                       {"confirmed", revision.confirm_deadline == 0}});
  Json state{{"snowshore:state", {{"history", std::move(entries)}}}};
  return state.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void ConfigManager::add_streams(int more) { active_streams_ += more; }
void ConfigManager::count_cancelled_stream() { ++cancelled_streams_; }

void ConfigManager::record_position(const std::string &subscriber, std::uint64_t revision, bool durable) {
  {
    std::lock_guard lock(published_mutex_);
    positions_[subscriber] = revision;
  }
  std::unique_lock change_lock(change_mutex_, std::try_to_lock);
  if (!durable || !change_lock || store_uncertain_) return;
  try {
    store_.put_position(subscriber, revision);
  } catch (const store::StoreError &) {
    store_uncertain_ = true;
  }
}

} // namespace snowshore::management
