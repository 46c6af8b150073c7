#include "management/transaction.h"

#include <algorithm>

namespace snowshore::management {

namespace {
// Seconds until a rollback that the front rejected is tried again.
constexpr double kRollbackRetryDelay = 5;
} // namespace

const char *name_of(ChangeError error) {
  constexpr const char *kNames[] = {"none",        "invalid",     "not_now",          "stale",
                                    "unconfirmed", "not_applied", "unknown_revision", "overloaded",
                                    "not_stored",  "ending"};
  return kNames[static_cast<int>(error)];
}

ChangeResult Transactions::failure(ChangeError error, std::string message) const {
  return {error, std::move(message), history_.empty() ? 0 : current().number};
}

const Revision *Transactions::find(std::uint64_t number) const {
  if (history_.empty() || number < history_.front().number || number > history_.back().number) return nullptr;
  return &history_[static_cast<std::size_t>(number - history_.front().number)];
}

void Transactions::append_history(Revision revision) {
  history_.push_back(std::move(revision));
  if (history_.size() > max_revisions_) history_.erase(history_.begin());
}

void Transactions::update_state() {
  set_state(current().confirm_deadline > 0 ? State::awaiting_confirmation : State::confirmed);
}

ChangeResult Transactions::recover(const std::string &initial_document, double now) {
  history_.clear();
  // Confirming a revision appends it again; the later form replaces the earlier one.
  for (const Revision &revision : journal_.read_revisions()) {
    if (!history_.empty() && history_.back().number == revision.number)
      history_.back() = revision;
    else
      history_.push_back(revision);
  }
  if (history_.empty()) return commit({1, initial_document, "", "first start", now, 0, 0, ""});
  update_state();
  if (state_ == State::awaiting_confirmation && now >= current().confirm_deadline) {
    if (ChangeResult expired = roll_back_expired(now); expired.error == ChangeError::none) return expired;
  }
  if (auto reason = target_.apply(current().document)) return failure(ChangeError::apply_failed, *reason);
  return {ChangeError::none, "", current().number};
}

// The order of the steps makes a change atomic. A document that the front would reject is rejected before it
// is written. A revision that is written is in force after a crash. If the front fails to apply it
// nevertheless, a further revision restores the previous document.
ChangeResult Transactions::commit(Revision next) {
  if (auto rejection = target_.check(next.document)) return failure(rejection->error, rejection->message);
  journal_.append(next);
  append_history(next);
  auto reason = target_.apply(next.document);
  if (!reason || history_.size() == 1) {
    update_state();
    return reason ? failure(ChangeError::apply_failed, *reason)
                  : ChangeResult{ChangeError::none, "", next.number};
  }
  Revision restored = history_[history_.size() - 2];
  restored.number = next.number + 1;
  restored.cause = "revision " + std::to_string(next.number) + " was not taken: " + *reason;
  restored.user = next.user;
  restored.committed_at = next.committed_at;
  // If the restored revision is unconfirmed, its own rollback has failed. It keeps its revert_to and gets a
  // later deadline, at which the rollback is tried again.
  if (restored.confirm_deadline > 0) {
    restored.confirm_deadline = std::max(restored.confirm_deadline, next.committed_at + kRollbackRetryDelay);
  } else {
    restored.revert_to = next.number - 1;
  }
  journal_.append(restored);
  append_history(restored);
  update_state();
  return failure(ChangeError::apply_failed, *reason);
}

ChangeResult Transactions::set(const Change &change, double now) {
  if (auto expired = roll_back_expired(now); expired.error != ChangeError::none) return expired;
  if (change.expected_revision && *change.expected_revision != current().number)
    return failure(ChangeError::stale_revision,
                   "the client read revision " + std::to_string(*change.expected_revision) + ", revision " +
                       std::to_string(current().number) + " is in force");
  if (state_ == State::awaiting_confirmation)
    return failure(ChangeError::unconfirmed_change,
                   "revision " + std::to_string(current().number) + " awaits its confirmation");
  double confirm_deadline = change.confirm_within > 0 ? now + change.confirm_within : 0;
  return commit({current().number + 1, change.document, change.user, change.cause, now, confirm_deadline,
                 current().number, change.commit_id});
}

ChangeResult Transactions::confirm(std::uint64_t revision, const std::string &user, double now) {
  if (auto expired = roll_back_expired(now); expired.error != ChangeError::none) return expired;
  if (current().number != revision || state_ != State::awaiting_confirmation)
    return failure(ChangeError::unknown_revision,
                   "revision " + std::to_string(revision) + " does not await confirmation");
  Revision confirmed = current();
  confirmed.confirm_deadline = 0;
  confirmed.cause += " (confirmed by " + user + ")";
  journal_.append(confirmed);
  history_.back() = confirmed;
  update_state();
  return {ChangeError::none, "", revision};
}

ChangeResult Transactions::cancel(std::uint64_t revision, const std::string &user, double now) {
  if (auto expired = roll_back_expired(now); expired.error != ChangeError::none) return expired;
  const Revision *target = find(current().revert_to);
  if (current().number != revision || state_ != State::awaiting_confirmation || !target)
    return failure(ChangeError::unknown_revision,
                   "revision " + std::to_string(revision) + " does not await confirmation");
  return commit({current().number + 1, target->document, user,
                 "revision " + std::to_string(revision) + " was cancelled", now, 0, target->number, ""});
}

ChangeResult Transactions::roll_back(std::uint64_t revision, const std::string &user, double now) {
  if (auto expired = roll_back_expired(now); expired.error != ChangeError::none) return expired;
  if (state_ == State::awaiting_confirmation)
    return failure(ChangeError::unconfirmed_change,
                   "revision " + std::to_string(current().number) + " awaits its confirmation");
  const Revision *target = find(revision);
  if (!target) return failure(ChangeError::unknown_revision, "no such revision: " + std::to_string(revision));
  return commit({current().number + 1, target->document, user,
                 "rolled back to revision " + std::to_string(revision), now, 0, revision, ""});
}

ChangeResult Transactions::roll_back_expired(double now) {
  if (state_ != State::awaiting_confirmation || now < current().confirm_deadline)
    return {ChangeError::none, "", history_.empty() ? 0 : current().number};
  const Revision *target = find(current().revert_to);
  if (!target)
    return failure(ChangeError::unknown_revision, "the revision to roll back to is no longer kept");
  std::string cause = "revision " + std::to_string(current().number) + " was not confirmed in time";
  // A rollback that the front cannot take now is tried again later.
  if (auto rejection = target_.check(target->document)) {
    history_.back().confirm_deadline = now + kRollbackRetryDelay;
    return failure(rejection->error, cause + "; cannot roll back yet: " + rejection->message);
  }
  return commit({current().number + 1, target->document, current().user, cause, now, 0, target->number, ""});
}

std::optional<double> Transactions::next_due() const {
  return state_ == State::awaiting_confirmation ? std::optional(current().confirm_deadline) : std::nullopt;
}

} // namespace snowshore::management
