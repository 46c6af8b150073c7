#include "lab/first_holder.h"
#include "decision/names.h"

#include <algorithm>
#include <charconv>

namespace snowshore::lab {

namespace {

class FirstHolder final : public DecisionEngine {
 public:
  FirstHolder(const DecisionSettings &given, DecisionHandler &answers) : answers_(answers) {
    const std::string &cells = given.at(given::kCells);
    std::from_chars(cells.data(), cells.data() + cells.size(), cells_);
  }
  void set_time(double) override {}
  void server_list_updated(ListUpdateKind kind, std::span<const ServerEntry> entries) override {
    if (kind != ListUpdateKind::unavailable) servers_.assign(entries.begin(), entries.end());
  }
  void play_requested(int play, const PlayRequest &terms) override {
    for (const ServerEntry &server : servers_) {
      int steps = (server.cell - terms.first_cell + cells_) % cells_;
      if (server.status != ServerStatus::active || steps >= terms.cell_count) continue;
      answers_.set_rung(play, 0);
      return answers_.start_allocation(play, server.server, 1);
    }
    give_up(play);
  }
  void play_handed_over(int, int, const PlayRequest &) override {}
  void play_started(int, int, double) override {}
  void allocation_ended(int play, int, Outcome, bool concluded, const LoadReport &) override {
    if (concluded)
      answers_.forget_play(play);
    else
      give_up(play);
  }
  void feedback_received(int, FeedbackKind, double) override {}
  void viewer_left(int) override {}
  void probe_answered(int, Outcome, const LoadReport &) override {}
  void timer_expired(int) override {}
  void settings_changed(const DecisionSettings &) override {}
  ServerView server_view(int) const override { return {}; }

 private:
  void give_up(int play) {
    answers_.decline_play(play, 1);
    answers_.forget_play(play);
  }
  DecisionHandler &answers_;
  int cells_ = 1;
  std::vector<ServerEntry> servers_;
};

} // namespace

std::unique_ptr<DecisionEngine> make_first_holder(const DecisionSettings &given, std::uint64_t, double,
                                                  DecisionHandler &answers) {
  return std::make_unique<FirstHolder>(given, answers);
}

} // namespace snowshore::lab
