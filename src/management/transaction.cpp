#include "management/transaction.h"

#include <algorithm>

namespace snowshore::management {

namespace {
constexpr double kUndoAgain = 5; // an undoing that the front refused is tried again after so long
}

const char *name_of(Refusal refusal) {
  constexpr const char *kNames[] = {"none",        "invalid",     "not_now",          "stale",
                                    "unconfirmed", "not_applied", "unknown_revision", "overloaded",
                                    "not_stored",  "ending"};
  return kNames[static_cast<int>(refusal)];
}

Answer Transactions::refused(Refusal refusal, std::string why) const {
  return {refusal, std::move(why), history_.empty() ? 0 : running().number};
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
  become(running().confirm_deadline > 0 ? State::awaiting_confirmation : State::settled);
}

Answer Transactions::recover(const std::string &first, double now) {
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
  if (state_ == State::awaiting_confirmation && now >= running().confirm_deadline) {
    if (Answer undone = tick(now); undone.refusal == Refusal::none) return undone;
  }
  if (auto why = running_.apply(running().document)) return refused(Refusal::not_applied, *why);
  return {Refusal::none, "", running().number};
}

// The order is the promise: what would not run is refused before it is written, what is written is in force
// after any crash, what the front refuses all the same is followed by a revision that goes back.
Answer Transactions::commit(Revision next) {
  if (auto no = running_.refuse(next.document)) return refused(no->refusal, no->why);
  journal_.append(next);
  keep(next);
  auto why = running_.apply(next.document);
  if (!why || history_.size() == 1) {
    settle();
    return why ? refused(Refusal::not_applied, *why) : Answer{Refusal::none, "", next.number};
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
  return refused(Refusal::not_applied, *why);
}

Answer Transactions::set(const Change &change, double now) {
  if (auto undone = tick(now); undone.refusal != Refusal::none) return undone;
  if (change.read_at && *change.read_at != running().number)
    return refused(Refusal::stale, "read at revision " + std::to_string(*change.read_at) + ", revision " +
                                       std::to_string(running().number) + " is in force");
  if (state_ == State::awaiting_confirmation)
    return refused(Refusal::unconfirmed,
                   "revision " + std::to_string(running().number) + " awaits its confirmation");
  double confirm_deadline = change.confirm_within > 0 ? now + change.confirm_within : 0;
  return commit({running().number + 1, change.document, change.user, change.cause, now, confirm_deadline,
                 running().number, change.commit_id});
}

Answer Transactions::confirm(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = tick(now); undone.refusal != Refusal::none) return undone;
  if (running().number != revision || state_ != State::awaiting_confirmation)
    return refused(Refusal::unknown_revision,
                   "revision " + std::to_string(revision) + " awaits no confirmation");
  Revision confirmed = running();
  confirmed.confirm_deadline = 0;
  confirmed.cause += " (confirmed by " + user + ")";
  journal_.append(confirmed);
  history_.back() = confirmed;
  settle();
  return {Refusal::none, "", revision};
}

Answer Transactions::cancel(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = tick(now); undone.refusal != Refusal::none) return undone;
  const Revision *back = find(running().revert_to);
  if (running().number != revision || state_ != State::awaiting_confirmation || !back)
    return refused(Refusal::unknown_revision,
                   "revision " + std::to_string(revision) + " awaits no confirmation");
  return commit({running().number + 1, back->document, user,
                 "revision " + std::to_string(revision) + " was cancelled", now, 0, back->number, ""});
}

Answer Transactions::roll_back(std::uint64_t revision, const std::string &user, double now) {
  if (auto undone = tick(now); undone.refusal != Refusal::none) return undone;
  if (state_ == State::awaiting_confirmation)
    return refused(Refusal::unconfirmed,
                   "revision " + std::to_string(running().number) + " awaits its confirmation");
  const Revision *to = find(revision);
  if (!to) return refused(Refusal::unknown_revision, "no revision " + std::to_string(revision));
  return commit({running().number + 1, to->document, user,
                 "rolled back to revision " + std::to_string(revision), now, 0, revision, ""});
}

Answer Transactions::tick(double now) {
  if (state_ != State::awaiting_confirmation || now < running().confirm_deadline)
    return {Refusal::none, "", history_.empty() ? 0 : running().number};
  const Revision *back = find(running().revert_to);
  if (!back) return refused(Refusal::unknown_revision, "nothing to go back to");
  std::string cause = "revision " + std::to_string(running().number) + " was not confirmed in time";
  if (auto no = running_.refuse(back->document)) { // now is no time for it: tried again, not forgotten
    history_.back().confirm_deadline = now + kUndoAgain;
    return refused(no->refusal, cause + "; cannot go back yet: " + no->why);
  }
  return commit({running().number + 1, back->document, running().user, cause, now, 0, back->number, ""});
}

std::optional<double> Transactions::next_due() const {
  return state_ == State::awaiting_confirmation ? std::optional(running().confirm_deadline) : std::nullopt;
}

} // namespace snowshore::management
