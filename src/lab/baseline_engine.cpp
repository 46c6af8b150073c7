#include "lab/baseline_engine.h"
#include "decision/setting_names.h"

#include <algorithm>
#include <charconv>

namespace snowshore::lab {

namespace {

// Replaces the decision module: see baseline_engine.h.
class FirstHolder final : public DecisionEngine {
 public:
  FirstHolder(const DecisionSettings &settings, DecisionHandler &handler) : handler_(handler) {
    const std::string &cells = settings.at(setting_names::kCells);
    std::from_chars(cells.data(), cells.data() + cells.size(), cells_);
  }
  void set_time(double) override {}
  void server_list_updated(ListUpdateKind kind, std::span<const ServerEntry> entries) override {
    if (kind != ListUpdateKind::unavailable) servers_.assign(entries.begin(), entries.end());
  }
  void play_requested(int play, const PlayRequest &request) override {
    for (const ServerEntry &server : servers_) {
      int cell_offset = (server.cell - request.first_cell + cells_) % cells_;
      if (server.status != ServerStatus::active || cell_offset >= request.cell_count) continue;
      handler_.set_rung(play, 0);
      return handler_.start_allocation(play, server.server, 1);
    }
    decline(play);
  }
  void play_handed_over(int, int, const PlayRequest &) override {}
  void play_started(int, int, double) override {}
  void allocation_ended(int play, int, Outcome, bool concluded, const LoadReport &) override {
    if (concluded)
      handler_.forget_play(play);
    else
      decline(play);
  }
  void feedback_received(int, FeedbackKind, double) override {}
  void viewer_left(int) override {}
  void probe_answered(int, Outcome, const LoadReport &) override {}
  void timer_expired(int) override {}
  void settings_changed(const DecisionSettings &) override {}
  ServerView server_view(int) const override { return {}; }

 private:
  void decline(int play) {
    handler_.decline_play(play, 1);
    handler_.forget_play(play);
  }
  DecisionHandler &handler_;
  int cells_ = 1;
  std::vector<ServerEntry> servers_;
};

} // namespace

std::unique_ptr<DecisionEngine> make_first_holder(const DecisionSettings &settings, std::uint64_t, double,
                                                  DecisionHandler &handler) {
  return std::make_unique<FirstHolder>(settings, handler);
}

} // namespace snowshore::lab
