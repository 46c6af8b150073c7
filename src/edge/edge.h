// The front on sockets: players' requests and servers' answers into calls on the module, the module's answers
// onto sockets. It decides nothing. One executor, one thread. Each call of decision/policy.h is made in one
// place here.
#pragma once
#include "decision/id_table.h"
#include "decision/policy.h"
#include "edge/channel.h"
#include "edge/list_source.h"
#include "edge/plays.h"
#include "site/front_record.h"
#include "site/front_state.h"
#include "telemetry/log.h"
#include "telemetry/loop_clock.h"
#include "telemetry/metrics.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

namespace snowshore::edge {

using site::FrontRecord;
using site::ProductTerms;

using MakeFront =
    std::function<std::unique_ptr<Front>(const Given &, std::uint64_t seed, double now, Answers &)>;

class Edge final : public Answers {
 public:
  // Listens and follows the list at once; throws std::system_error where it cannot. make: the module, or in
  // measurements a stand-in for it.
  Edge(asio::io_context &io, FrontRecord record, telemetry::Log &log, std::unique_ptr<ListSource> source,
       MakeFront make = make_front);
  ~Edge() override;

  http::Endpoint players() const { return players_->local(); }
  http::Endpoint operators() const { return operators_.local(); }
  telemetry::LoopClock &clock() { return clock_; }

  // Limits and log level change in service. Returns what else differs and needs a restart (empty: nothing).
  std::vector<std::string> reload(const FrontRecord &next);
  // The whole record in place of the last; why it cannot be now (then nothing has changed). drained: it
  // changes the shape of what the module knows, so no play may be in hand; else plays in hand keep their
  // terms. What only a new start can change must be the same.
  std::optional<std::string> change(const FrontRecord &next, bool drained);
  std::optional<std::string> refusal_of(const FrontRecord &next, bool drained); // the same, without doing it
  std::function<void()> on_changed;                                             // after each change
  site::FrontState state();
  // No new plays; done once those asked for have their answers. Plays under way end with the front.
  void drain(std::function<void()> done);
  std::string metrics_text();

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
    int play;
    std::uint64_t serial;
    bool operator>(const Limit &other) const { return at > other.at; }
  };
  enum class Service { starting, serving, draining };

  template <class F> void decide(F call) { // the clock set, the call made and timed
    auto from = std::chrono::steady_clock::now();
    front_->clock(clock_.now());
    call();
    note_decision(std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
  }
  void note_decision(double seconds);
  std::unique_ptr<http::Server> listen(const FrontRecord &record);
  std::optional<std::string> in_use(const FrontRecord &next);
  void take_limits();
  void make_module();
  std::vector<std::pair<std::string, std::uint64_t>> answers_so_far();
  void on_player(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_operator(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  std::optional<PlayTerms> terms_of(const http::Request &request, const std::string &title,
                                    http::Response &refusal, const std::string &peer);
  void on_player_gone(int play);
  void on_set_up_ended(int play, int allocation, const Channel::SetUpResult &result);
  void on_list(ServerList list);
  void on_report(int server, const serverwire::Report &report);
  void on_hello(int server, const serverwire::Report &hello, double asked, bool restarted);
  void on_lost(int server, const char *why);
  void play_ended(int play, Outcome outcome);
  void on_timer();
  void arm();
  void sweep(); // the guard over time limits
  void answer(int play, http::Response response, const char *outcome);
  Channel &channel(int server) { return *channels_[static_cast<std::size_t>(server)]; }
  bool has_channel(int server) const {
    return static_cast<std::size_t>(server) < channels_.size() && channels_[static_cast<std::size_t>(server)];
  }
  void check_drained();

  asio::io_context &io_;
  FrontRecord record_;
  telemetry::Log &log_;
  telemetry::LoopClock clock_;
  telemetry::Metrics metrics_;
  std::unique_ptr<Counters> counters_;
  Identity identity_;
  ReportTimes report_times_;
  std::uint64_t seed_, next_play_ = 0;
  Plays plays_;
  IdTable<std::string> servers_;
  HeldTable<std::string> titles_;
  IdTable<std::string> halls_, kinds_;
  std::vector<std::unique_ptr<Channel>> channels_; // by server
  Channel::Events channel_events_;
  Catalogue catalogue_;
  std::uint64_t list_version_ = 0;
  double list_at_ = 0;
  bool has_list_ = false, has_catalogue_ = false;
  Service service_ = Service::starting;
  std::function<void()> drained_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::priority_queue<Limit, std::vector<Limit>, std::greater<>> limits_;
  asio::steady_timer timer_, sweep_timer_, timer_of_drain_;
  http::Client client_;
  std::unique_ptr<ListSource> source_;
  MakeFront make_;
  std::unique_ptr<Front> front_;
  std::unique_ptr<http::Server> players_;
  std::vector<std::shared_ptr<http::Server>> retired_; // addresses given up, until their last answer
  http::Server operators_;
  ServerList list_; // in force
  double opened_ = 0, last_allocation_ = -1e9;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::edge
