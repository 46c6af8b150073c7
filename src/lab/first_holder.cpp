#include "lab/first_holder.h"
#include "decision/names.h"

#include <algorithm>
#include <charconv>

namespace snowshore::lab {

namespace {

class FirstHolder final : public Front {
 public:
  FirstHolder(const Given &given, Answers &answers) : answers_(answers) {
    const std::string &cells = given.at(given::kCells);
    std::from_chars(cells.data(), cells.data() + cells.size(), cells_);
  }
  void clock(double) override {}
  void list_changed(ListKind kind, std::span<const ServerEntry> entries) override {
    if (kind != ListKind::unavailable) servers_.assign(entries.begin(), entries.end());
  }
  void play_asked(int play, const PlayTerms &terms) override {
    for (const ServerEntry &server : servers_) {
      int steps = (server.cell - terms.first_cell + cells_) % cells_;
      if (server.standing != Standing::active || steps >= terms.cells) continue;
      answers_.set_rung(play, 0);
      return answers_.allocate(play, server.server, 1);
    }
    give_up(play);
  }
  void play_handed_over(int, int, const PlayTerms &) override {}
  void play_starts(int, int, double) override {}
  void allocation_ended(int play, int, Outcome, bool concluded, const LoadReport &) override {
    if (concluded)
      answers_.forget(play);
    else
      give_up(play);
  }
  void note_on_play(int, NoteKind, double) override {}
  void viewer_left(int) override {}
  void probe_answered(int, Outcome, const LoadReport &) override {}
  void timer(int) override {}
  void given_changed(const Given &) override {}
  ServerView view_of(int) const override { return {}; }

 private:
  void give_up(int play) {
    answers_.decline(play, 1);
    answers_.forget(play);
  }
  Answers &answers_;
  int cells_ = 1;
  std::vector<ServerEntry> servers_;
};

} // namespace

std::unique_ptr<Front> make_first_holder(const Given &given, std::uint64_t, double, Answers &answers) {
  return std::make_unique<FirstHolder>(given, answers);
}

} // namespace snowshore::lab
