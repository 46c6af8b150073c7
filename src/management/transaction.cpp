#include "management/transaction.h"

#include <algorithm>

namespace snowshore::management {

namespace {
constexpr double kUndoAgain = 5; // an undoing that the front refused is tried again after so long
}

const char *name_of(ChangeError error) {
  constexpr const char *kNames[] = {"none",        "invalid",     "not_now",          "stale",
                                    "unconfirmed", "not_applied", "unknown_revision", "overloaded",
                                    "not_stored",  "ending"};
  return kNames[static_cast<int>(error)];
}

ChangeResult Transactions::refused(ChangeError error, std::string why) const {
  return {error, std::move(why), history_.empty() ? 0 : current().number};
}

const Revision *Transactions::find(std::uint64_t number) const {
  if (history_.empty() || number < history_.front().number || number > history_.back().number) return nullptr;
  return &history_[static_cast<std::size_t>(number - history_.front().number)];
}

void Transactions::keep(Revision revision) {
  history_.push_back(std::move(revision));
  if (history_.size() > kept_) history_.erase(history_.begin());
}

void Transactions::settle() {
  become(current().confirm_deadline > 0 ? State::awaiting_confirmation : State::confirmed);
}

ChangeResult Transactions::recover(const std::string &first, double now) {
  history_.clear();
  for (const Revision &revision :
       journal_.read_revisions()) { // a revision written again (confirmed) replaces its earlier form
    if (!history_.empty() && history_.back().number == revision.number)
      history_.back() = revision;
    else
      history_.push_back(revision);
  }
  if (history_.empty()) return commit({1, first, "", "first start", now, 0, 0, ""});
  settle();
  if (state_ == State::awaiting_confirmation && now >= current().confirm_deadline) {
    if (ChangeResult undone = roll_back_expired(now); undone.error == ChangeError::none) return undone;
  }
  if (auto why = running_.apply(current().document)) return refused(ChangeError::apply_failed, *why);
  return {ChangeError::none, "", current().number};
}

// The order is the promise: what would not run is refused before it is written, what is written is in force
// after any crash, what the front refuses all the same is followed by a revision that goes back.
ChangeResult Transactions::commit(Revision next) {
  if (auto no = running_.check(next.document)) return refused(no->error, no->message);
  journal_.append(next);
  keep(next);
  auto why = running_.apply(next.document);
  if (!why || history_.size() == 1) {
    settle();
    return why ? refused(ChangeError::apply_failed, *why) : ChangeResult{ChangeError::none, "", next.number};
  }
  Revision back = history_[history_.size() - 2];
  back.number = next.number + 1;
  back.cause = "revision " + std::to_string(next.number) + " was not taken: " + *why;
  back.user = next.user, back.committed_at = next.committed_at;
  if (back.confirm_deadline > 0) { // still unconfirmed: it goes back to where it would have gone, later
    back.confirm_deadline = std::max(back.confirm_deadline, next.committed_at + kUndoAgain);
  } else {
    back.revert_to = next.number - 1;
  }
  journal_.append(back);
  keep(back);
  settle();
  return refused(ChangeError::apply_failed, *why);
}

ChangeResult Transactions::set(const Change &change, double now) {
  if (auto undone = roll_back_expired(now); undone.error != ChangeError::none) return undone;
  if (change.expected_revision && *change.expected_revision != current().number)
    return refused(ChangeError::stale_revision,
                   "read at revision " + std::to_string(*change.expected_revision) + ", revision " +
                       std::to_string(current().number) + " is in force");
  if (state_ == State::awaiting_confirmation)
    return refused(ChangeError::unconfirmed_change,
                   "revision " + std::to_string(current().number) + " awaits its confirmation");
  double confirm_deadline = change.confirm_within > 0 ? now + change.confirm_within : 0;
  return commit({current().number + 1, change.document, change.user, change.cause, now, confirm_deadline,
                 current().number, change.commit_id});
}

ChangeResult Transactions::confirm(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = roll_back_expired(now); undone.error != ChangeError::none) return undone;
  if (current().number != revision || state_ != State::awaiting_confirmation)
    return refused(ChangeError::unknown_revision,
                   "revision " + std::to_string(revision) + " awaits no confirmation");
  Revision confirmed = current();
  confirmed.confirm_deadline = 0;
  confirmed.cause += " (confirmed by " + user + ")";
  journal_.append(confirmed);
  history_.back() = confirmed;
  settle();
  return {ChangeError::none, "", revision};
}

ChangeResult Transactions::cancel(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = roll_back_expired(now); undone.error != ChangeError::none) return undone;
  const Revision *back = find(current().revert_to);
  if (current().number != revision || state_ != State::awaiting_confirmation || !back)
    return refused(ChangeError::unknown_revision,
                   "revision " + std::to_string(revision) + " awaits no confirmation");
  return commit({current().number + 1, back->document, user,
                 "revision " + std::to_string(revision) + " was cancelled", now, 0, back->number, ""});
}

ChangeResult Transactions::roll_back(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = roll_back_expired(now); undone.error != ChangeError::none) return undone;
  if (state_ == State::awaiting_confirmation)
    return refused(ChangeError::unconfirmed_change,
                   "revision " + std::to_string(current().number) + " awaits its confirmation");
  const Revision *to = find(revision);
  if (!to) return refused(ChangeError::unknown_revision, "no revision " + std::to_string(revision));
  return commit({current().number + 1, to->document, user,
                 "rolled back to revision " + std::to_string(revision), now, 0, revision, ""});
}

ChangeResult Transactions::roll_back_expired(double now) {
  if (state_ != State::awaiting_confirmation || now < current().confirm_deadline)
    return {ChangeError::none, "", history_.empty() ? 0 : current().number};
  const Revision *back = find(current().revert_to);
  if (!back) return refused(ChangeError::unknown_revision, "nothing to go back to");
  std::string cause = "revision " + std::to_string(current().number) + " was not confirmed in time";
  if (auto no = running_.check(back->document)) { // now is no time for it: tried again, not forgotten
    history_.back().confirm_deadline = now + kUndoAgain;
    return refused(no->error, cause + "; cannot go back yet: " + no->message);
  }
  return commit({current().number + 1, back->document, current().user, cause, now, 0, back->number, ""});
}

std::optional<double> Transactions::next_due() const {
  return state_ == State::awaiting_confirmation ? std::optional(current().confirm_deadline) : std::nullopt;
}

} // namespace snowshore::management
