// The front without its sockets: the module, its clock and timers, the plays in hand, the guard over time
// limits, and the tables that make small indices of ids. What happens comes in by calls from the doors and
// the list source; what the module decides goes out through the doors. It decides nothing itself. Each call
// of decision/policy.h is made in one place in core.cpp. One executor, one thread.
#pragma once
#include "decision/id_table.h"
#include "decision/policy.h"
#include "edge/doors.h"
#include "edge/list_source.h"
#include "edge/plays.h"
#include "edge/send_guard.h"
#include "registry/server_registry.h"
#include "telemetry/log.h"
#include "telemetry/loop_clock.h"
#include "telemetry/metrics.h"

#include <asio.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace snowshore::edge {

using MakeFront =
    std::function<std::unique_ptr<Front>(const Given &, std::uint64_t seed, double now, Answers &)>;

struct CoreProduct {
  std::string name;
  double time_limit = 0; // seconds
};

struct CoreTerms {
  Given given;            // for the module
  std::uint64_t seed = 0; // 0: from the system's random device
  std::vector<std::string> halls, kinds;
  std::vector<CoreProduct> products;
  double answer_slack = 0;
  bool load_in_answers = true; // what a set-up's answer says of loads is told to the module as notes
};

// Of what has no number of its own (an id, a viewer's name); the same at every front.
std::uint64_t hash53(const std::string &text);

// A play as a door holds it over time: its index may be another's by then.
struct PlayRef {
  int index = -1;
  std::uint64_t serial = 0;
};

class Core final : public Answers {
 public:
  Core(asio::io_context &io, CoreTerms terms, telemetry::Log &log, std::unique_ptr<ListSource> source,
       PlayersDoor &players, ServersDoor &servers, MakeFront make = make_front);
  ~Core() override;

  // Follows the list from now on. on_catalogue: where titles lie, for doors whose players do not say it.
  void start(std::function<void(Catalogue)> on_catalogue = {});

  telemetry::LoopClock &clock() { return clock_; }
  telemetry::Log &log() { return log_; }
  telemetry::Metrics &metrics() { return metrics_; }
  std::uint64_t seed() const { return seed_; }
  Plays &plays() { return plays_; }
  SendGuard &send_guard() { return send_guard_; }
  const std::string &title_of(int play) { return titles_.id(plays_.at(play).title); }
  const std::string &server_id(int server) const { return servers_.id(server); }
  const registry::ServerRegistry &servers() const { return servers_; }
  int server_of(const std::string &id) const { return servers_.find(id); }
  const CoreTerms &terms() const { return terms_; }
  bool has_list() const { return has_list_; }
  // Servers looked at for changes of the list, by the core alone and by the module for each reason.
  std::uint64_t servers_listed() const { return servers_.visited(); }
  // Calls on the module and changes of the list: while one runs, nobody is answered.
  struct Load {
    std::uint64_t calls = 0, long_calls = 0; // long: over kLongCall
    double longest = 0;                      // seconds
  };
  Load take_load() { return std::exchange(load_, {}); } // since it was last taken
  DecisionWork decision_work() const { return front_->work(); }
  std::size_t in_hand() const { // taken, without an answer yet
    return plays_.count(PlayState::asked) + plays_.count(PlayState::allocating);
  }

  // ---- Players. The answer to a play taken may come during the call.
  PlayRef take(std::uint64_t id, const std::string &title); // then ask(), or forget it by drop()
  void ask(int play, PlayTerms terms, double spent = 0); // spent: reading the request took the front so long
  // A play that stands at a server of the list already; nothing where no list names the server.
  std::optional<PlayRef> hand_over(std::uint64_t id, const std::string &title, const std::string &server,
                                   PlayTerms terms);
  void player_left(int play); // before its answer: nobody waits for it any more
  void released(int play);    // its player ended it while it stood
  // The planned end: what has no answer by then is given up and gets its final one; no attempt goes on past
  // it.
  void close_by(double moment);
  PlayRef ref(int play) { return {play, plays_.at(play).serial}; }
  bool holds(const PlayRef &ref) {
    return ref.index >= 0 && static_cast<std::size_t>(ref.index) < plays_.places() &&
           plays_.at(ref.index).state != PlayState::vacant && plays_.at(ref.index).serial == ref.serial;
  }

  // ---- Servers.
  void set_up_ended(const PlayRef &ref, int allocation, const SetUpResult &result);
  void note(int play, NoteKind kind, double value);
  void play_over(int play, Outcome outcome,
                 const LoadReport &report = {}); // a play that stood has come to its end
  void probe_answered(int server, Outcome outcome, const LoadReport &report);
  // All plays that stood there before that moment are over.
  void server_lost(int server, const char *why, double before = 1e18);

  // ---- Values changed in service.
  void change(CoreTerms terms); // the module is told; plays in hand keep their terms
  void renew(CoreTerms terms);  // a module made anew; nothing may be in hand
  ServerView view_of(int server);
  ServerList list() const { return servers_.list(); }
  double list_age() { return has_list_ ? clock_.now() - list_at_ : -1; }
  std::uint64_t list_version() const { return list_version_; }
  double last_allocation() const { return last_allocation_; }
  std::vector<std::pair<std::string, std::uint64_t>> answers_so_far();
  std::string metrics_text(); // with the gauges of now
  void count_ended(const char *why);

  // Answers: what the module decides, carried out.
  void set_rung(int play, int rung) override;
  void allocate(int play, int server, double time_out) override;
  void decline(int play, double retry_after) override;
  void fail(int play) override;
  void move(int play) override;
  void recall(int play, int allocation) override;
  void forget(int play) override;
  void forget_server(int server) override;
  void probe(int server) override;
  void follow_list() override { source_->ask(); }
  void set_timer(double wait, int label) override;
  void log(const std::string &text) override { log_.info("module", {{"text", text}}); }

 private:
  struct Counters;
  struct Timer {
    double at;
    int label;
    bool operator>(const Timer &other) const { return at > other.at; }
  };
  struct Limit { // of one play, whose place may have another by then
    double at;
    PlayRef ref;
    bool operator>(const Limit &other) const { return at > other.at; }
  };

  template <class F> void decide(F call) { // the clock set, the call made and timed
    auto from = std::chrono::steady_clock::now();
    front_->clock(clock_.now());
    call();
    note_decision(std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
  }
  void note_decision(double seconds);
  void note_load(double seconds);
  void make_module();
  void settle(int play, const char *outcome); // counted and logged; the answer has gone out
  struct ListUpdate {                         // told by the source, applied in slices
    ServerList said;
    bool whole = false;
    std::size_t next = 0; // of said.servers
    double took = 0;      // seconds, so far
  };
  void on_list(ServerList list, bool whole);
  void apply_updates();
  bool apply_slice(ListUpdate &update); // true once it is applied in full
  void list_in_force(const ListUpdate &update);
  ServerEntry entry_of(int server);
  void on_timer();
  void arm();
  void guard(); // over time limits
  void give_up_all();
  bool may_answer(int play); // asked right before its one answer goes out
  double drain_grace() const;

  asio::io_context &io_;
  CoreTerms terms_;
  telemetry::Log &log_;
  PlayersDoor &players_;
  ServersDoor &servers_door_;
  telemetry::LoopClock clock_;
  telemetry::Metrics metrics_;
  std::unique_ptr<Counters> counters_;
  std::uint64_t seed_, next_serial_ = 1;
  Plays plays_;
  SendGuard send_guard_;
  registry::ServerRegistry servers_;
  std::deque<ListUpdate> updates_;
  HeldTable<std::string> titles_;
  IdTable<std::string> halls_, kinds_;
  Load load_;
  std::uint64_t list_version_ = 0;
  double list_at_ = 0, last_allocation_ = -1e9;
  bool has_list_ = false, module_has_list_ = false, applying_ = false;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::priority_queue<Limit, std::vector<Limit>, std::greater<>> limits_;
  asio::steady_timer timer_, guard_timer_, close_timer_;
  double closes_at_ = 1e18;
  std::unique_ptr<ListSource> source_;
  MakeFront make_;
  std::unique_ptr<Front> front_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::edge
