// The front end without its sockets: the decision engine with its clock and timers, the table of plays, the
// check of time limits, and the tables that map ids to small indices. Events come in by calls from the
// gateways and the list source; the engine's decisions go out through the gateways. The core decides nothing
// itself. Each function of decision/policy.h is called in one place in core.cpp. All of it runs on one
// executor, in one thread.
#pragma once
#include "decision/id_table.h"
#include "decision/policy.h"
#include "edge/gateways.h"
#include "edge/list_source.h"
#include "edge/play_table.h"
#include "edge/send_guard.h"
#include "registry/server_registry.h"
#include "telemetry/log.h"
#include "telemetry/loop_clock.h"
#include "telemetry/loop_pauses.h"
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

// Makes a decision engine; tests and measurements replace it.
using DecisionEngineFactory = std::function<std::unique_ptr<DecisionEngine>(
    const DecisionSettings &, std::uint64_t seed, double now, DecisionHandler &)>;

struct CoreProduct {
  std::string name;
  double time_limit = 0; // seconds
};

// What the core needs of the configuration.
struct CoreSettings {
  DecisionSettings decision_settings;
  // 0: the seed comes from the system's random device.
  std::uint64_t seed = 0;
  std::vector<std::string> halls, kinds;
  std::vector<CoreProduct> products;
  // A play without an answer fails half of this many seconds after its time limit.
  double answer_slack = 0;
  // The load report in a set-up's answer is passed to the engine as feedback on the play.
  bool load_in_answers = true;
};

// A 53-bit hash for ids and viewer names that have no number of their own; the same at every front end.
std::uint64_t hash53(const std::string &text);

// A reference to a play that a gateway keeps over time: once the play is gone, its index may belong to
// another play, which has another serial number.
struct PlayRef {
  int index = -1;
  std::uint64_t serial = 0;
};

class Core final : public DecisionHandler {
 public:
  Core(asio::io_context &io, CoreSettings settings, telemetry::Log &log,
       std::unique_ptr<ListSource> list_source, PlayerGateway &player_gateway, ServerGateway &server_gateway,
       DecisionEngineFactory engine_factory = make_decision_engine);
  ~Core() override;

  // Starts the list source. on_catalogue gets the cells of titles, for gateways whose players do not send
  // them.
  void start(std::function<void(Catalogue)> on_catalogue = {});

  telemetry::LoopClock &clock() { return clock_; }
  telemetry::Log &log() { return log_; }
  telemetry::Metrics &metrics() { return metrics_; }
  std::uint64_t seed() const { return seed_; }
  PlayTable &plays() { return plays_; }
  SendGuard &send_guard() { return send_guard_; }
  const std::string &title_of(int play) { return titles_.id(plays_.at(play).title); }
  const std::string &server_id(int server) const { return servers_.id(server); }
  const registry::ServerRegistry &servers() const { return servers_; }
  int find_server(const std::string &id) const { return servers_.find(id); }
  const CoreSettings &settings() const { return settings_; }
  bool has_list() const { return has_list_; }
  // Number of servers that the core has looked at for changes of the list.
  std::uint64_t list_entries_scanned() const { return servers_.entries_scanned(); }
  // Number of servers in changes of the list that wait to be applied.
  std::size_t queued_servers() const { return queued_servers_; }
  // Durations of engine calls and list updates, which block the executor while they run.
  struct CallDurations {
    // long_calls took longer than kLongCall.
    std::uint64_t calls = 0, long_calls = 0;
    // Seconds.
    double longest = 0;
  };
  // Returns the durations since the last call and resets them.
  CallDurations take_call_durations() { return std::exchange(call_durations_, {}); }
  ServerScanCounts server_scan_counts() const { return engine_->server_scan_counts(); }
  // Number of plays that were added and have no answer yet.
  std::size_t unanswered_plays() const {
    return plays_.count(PlayState::requested) + plays_.count(PlayState::allocating);
  }

  // ---- Calls from the player gateway. A play may be answered during the call that adds it.
  // Adds a play to the table; submit_play() follows, or forget_play() where it does not.
  PlayRef add_play(std::uint64_t id, const std::string &title);
  // Passes the play to the engine. reading_time: seconds that the front end took to read the request.
  void submit_play(int play, PlayRequest request, double reading_time = 0);
  // Adds a play that already runs on a listed server. Returns nothing where no list names the server. The
  // play ends soon where its server has started since it can have been set up. first_test_at: when the first
  // test of this run was passed.
  std::optional<PlayRef> accept_handover(std::uint64_t id, const std::string &title,
                                         const std::string &server, PlayRequest request,
                                         std::optional<double> first_test_at);
  // The player left before its play was answered.
  void player_left(int play);
  // The player ended its running play.
  void play_released(int play);
  // Whether the process has just gone on after a pause, so that what arrived meanwhile is still being read.
  bool is_catching_up() { return pauses_.is_catching_up(clock_.read_now()); }
  // Begins the shutdown: at `deadline` each play without an answer fails, and no set-up continues past that
  // time.
  void shut_down_by(double deadline);
  // A reference to the play that now has this index.
  PlayRef play_ref(int play) { return {play, plays_.at(play).serial}; }
  // Returns whether the referenced play is still in the table.
  bool is_current(const PlayRef &ref) {
    return ref.index >= 0 && static_cast<std::size_t>(ref.index) < plays_.capacity() &&
           plays_.at(ref.index).state != PlayState::unused && plays_.at(ref.index).serial == ref.serial;
  }

  // ---- Calls from the server gateway.
  // The result of a set-up, successful or not.
  void set_up_ended(const PlayRef &ref, int allocation, const SetUpResult &result);
  // A server's feedback on a running play.
  void record_feedback(int play, FeedbackKind kind, double value);
  // A running play has ended.
  void play_ended(int play, Outcome outcome, const LoadReport &report = {});
  void probe_answered(int server, Outcome outcome, const LoadReport &report);
  // Ends all plays on the server. `reason` is logged and counted.
  void server_lost(int server, const char *reason);
  // Ends these plays, which the server no longer holds.
  void server_lost(int server, const char *reason, const std::vector<int> &plays);

  // ---- Changes of settings in service.
  // Passes new settings to the engine; plays in progress keep the time limits that they have.
  void apply_settings(CoreSettings settings);
  // Replaces the engine by one with new settings; the table must hold no play.
  void restart_engine(CoreSettings settings);

  // ---- State, for operators.
  ServerView server_view(int server);
  ServerList server_list() const { return servers_.list(); }
  // Seconds since the last whole list or change, or -1 before the first.
  double list_age() { return has_list_ ? clock_.now() - list_at_ : -1; }
  std::uint64_t list_version() const { return list_version_; }
  // Time of the latest allocation.
  double last_allocation_at() const { return last_allocation_at_; }
  // Number of answers so far, by outcome.
  std::vector<std::pair<std::string, std::uint64_t>> answer_counts();
  // All metrics as text, with gauges set to the current values.
  std::string metrics_text();
  // Counts an ended play under this reason.
  void count_ended_play(const char *reason);

  // ---- DecisionHandler: carries out the engine's decisions.
  void set_rung(int play, int rung) override;
  void start_allocation(int play, int server, double timeout) override;
  void decline_play(int play, double retry_after) override;
  void fail_play(int play) override;
  void move_play(int play) override;
  void recall_allocation(int play, int allocation) override;
  void forget_play(int play) override;
  void forget_server(int server) override;
  void probe_server(int server) override;
  void request_server_list() override { list_source_->request_list(); }
  void set_timer(double wait, int label) override;
  void log_message(const std::string &text) override { log_.info("module", {{"text", text}}); }

 private:
  struct Counters;
  struct Timer {
    double at;
    int label;
    bool operator>(const Timer &other) const { return at > other.at; }
  };
  // The time limit of one play, whose index may belong to another play by then.
  struct Deadline {
    double at;
    PlayRef ref;
    bool operator>(const Deadline &other) const { return at > other.at; }
  };

  // Sets the engine's time, makes the call and measures its duration.
  template <class F> void call_engine(F call) {
    auto start = std::chrono::steady_clock::now();
    engine_->set_time(clock_.now());
    call();
    record_call_duration(std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
  }
  // Records the duration of one engine call in the metrics and as busy time.
  void record_call_duration(double seconds);
  // Records for take_call_durations() how long a call blocked the executor.
  void record_busy_time(double seconds);
  // Makes the engine from settings_ and passes it the servers that are known.
  void make_engine();
  // Counts and logs an answer that was sent.
  void record_answer(int play, const char *outcome);
  // A list or change from the source, which is applied in slices.
  struct ListUpdate {
    ServerList list;
    bool is_full = false;
    // Index of the next server to apply.
    std::size_t next = 0;
    // Seconds spent on it so far.
    double duration = 0;
  };
  // Queues a list or change, and starts to apply it where no update is in progress.
  void queue_update(ServerList list, bool is_full);
  // Pauses the list source while many servers' updates wait, and resumes it.
  void control_list_source();
  // Applies the next slice, and posts itself until no update is left.
  void apply_updates();
  // Returns true once the update is applied in full.
  bool apply_slice(ListUpdate &update);
  // Records the version and time of an applied update, and logs it.
  void finish_update(const ListUpdate &update);
  // The engine's entry for a listed server.
  ServerEntry entry_of(int server);
  // Passes all expired timers to the engine.
  void on_engine_timer();
  // Sets engine_timer_ for the engine's earliest timer.
  void arm_engine_timer();
  // Fails the plays whose time limit has passed without an answer.
  void check_deadlines();
  // At the end of the shutdown's time: cancels each pending set-up and reports it as timed out.
  void cancel_pending_set_ups();
  // Asks the guard right before the play's only answer is sent, and marks the play as answered.
  bool may_answer(int play);
  void end_stale_handover(const PlayRef &ref);
  // Passes the request to the engine, or declines it where its time was over before it could be read.
  // taken_ago: seconds since it may have been taken.
  void pass_to_engine(const PlayRef &ref, PlayRequest request, double taken_ago);
  // Makes the call once the front end has caught up after the pause that has just ended.
  void call_when_caught_up(std::function<void()> call);
  void run_withheld_calls();
  // Seconds for which a leaving server still accepts set-ups, from the settings.
  double drain_grace() const;

  asio::io_context &io_;
  CoreSettings settings_;
  telemetry::Log &log_;
  PlayerGateway &player_gateway_;
  ServerGateway &server_gateway_;
  telemetry::LoopClock clock_;
  telemetry::Metrics metrics_;
  std::unique_ptr<Counters> counters_;
  std::uint64_t seed_, next_serial_ = 1;
  PlayTable plays_;
  SendGuard send_guard_;
  registry::ServerRegistry servers_;
  std::deque<ListUpdate> updates_;
  // Servers of updates_ that were not applied yet.
  std::size_t queued_servers_ = 0;
  RefCountedIdTable<std::string> titles_;
  IdTable<std::string> halls_, kinds_;
  CallDurations call_durations_;
  telemetry::LoopPauses pauses_;
  // Calls that wait until the front end has caught up, in order.
  std::deque<std::function<void()>> withheld_calls_;
  std::uint64_t list_version_ = 0;
  double list_at_ = 0, last_allocation_at_ = -1e9;
  // When this run of the front end started.
  const double started_at_ = clock_.read_now();
  // applying_: an update is in progress, and apply_updates() is posted.
  bool has_list_ = false, engine_has_list_ = false, applying_ = false;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>> deadlines_;
  asio::steady_timer engine_timer_, deadline_timer_, catch_up_timer_, shutdown_timer_;
  // Infinite, in effect, until a shutdown begins.
  double shutdown_at_ = 1e18;
  std::unique_ptr<ListSource> list_source_;
  DecisionEngineFactory engine_factory_;
  std::unique_ptr<DecisionEngine> engine_;
  // Expires with the core; pending callbacks hold a weak pointer to it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::edge
