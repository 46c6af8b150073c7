// The front's HTTP doors: players' requests and servers' answers into calls on the core, what the core says
// onto sockets; the operators' pages; the front's record changed in service. It decides nothing. One
// executor, one thread.
#pragma once
#include "edge/channel.h"
#include "edge/core.h"
#include "site/front_record.h"
#include "site/front_state.h"

#include <functional>
#include <memory>
#include <optional>

namespace snowshore::edge {

using site::FrontConfig;
using site::ProductSettings;

class Edge final : PlayerGateway, ServerGateway {
 public:
  // Listens and follows the list at once; throws std::system_error where it cannot. make: the module, or in
  // measurements a stand-in for it.
  Edge(asio::io_context &io, FrontConfig record, telemetry::Log &log, std::unique_ptr<ListSource> source,
       DecisionEngineFactory make = make_decision_engine);
  ~Edge() override;

  http::Endpoint players() const { return players_->local_endpoint(); }
  http::Endpoint operators() const { return operators_.local_endpoint(); }
  telemetry::LoopClock &clock() { return core_.clock(); }

  // Limits and log level change in service. Returns what else differs and needs a restart (empty: nothing).
  std::vector<std::string> reload(const FrontConfig &next);
  // The whole record in place of the last; why it cannot be now (then nothing has changed). drained: it
  // changes the shape of what the module knows, so no play may be in hand; else plays in hand keep their
  // terms. What only a new start can change must be the same.
  std::optional<std::string> change(const FrontConfig &next, bool drained);
  std::optional<std::string> refusal_of(const FrontConfig &next, bool drained); // the same, without doing it
  std::function<void()> on_changed;                                             // after each change
  site::FrontSnapshot state();
  // No new plays; done once those asked for have their answers. Plays under way end with the front.
  void drain(std::function<void()> done);
  std::string metrics_text();

 private:
  struct Counters;
  enum class Service { starting, serving, draining };

  // The doors: what the core says, carried out.
  void send_set_up_result(int play, const SetUpResult &result) override;
  void send_decline(int play, double retry_after) override;
  void send_failure(int play) override;
  void send_move(int) override {} // its server tells it
  void send_end(int, Outcome) override {}
  void forget_play(int play) override;
  void start_set_up(int play, const Allocation &allocation) override;
  void cancel_set_up(int play, std::string_view why) override;
  void play_handed_over(int) override {} // nothing is handed over in this protocol
  void change_rung(int play, int rung) override;
  void end_play(int play, std::string_view why) override;
  void probe_server(int server) override;
  void update_server(int server, const ListedServer &entry) override;
  void forget_server(int server) override;

  std::unique_ptr<http::Server> listen(const FrontConfig &record);
  std::optional<std::string> in_use(const FrontConfig &next);
  void take_limits();
  void on_player(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_operator(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  std::optional<PlayRequest> terms_of(const http::Request &request, const std::string &title,
                                      http::Response &refusal, const std::string &peer);
  void on_report(int server, const serverwire::Report &report);
  void on_hello(int server, const serverwire::Report &hello, double asked, bool restarted);
  void say(int play, http::Response response);
  std::string text_id(int play);
  int find(std::string_view text_id);
  Channel &channel(int server) { return *channels_[static_cast<std::size_t>(server)]; }
  Channel &channel_of(int play) { return channel(core_.plays().at(play).server); }
  bool has_channel(int server) const {
    return static_cast<std::size_t>(server) < channels_.size() && channels_[static_cast<std::size_t>(server)];
  }
  void check_drained();
  Service service() { // serving from the first list and catalogue on
    if (service_ == Service::starting && has_catalogue_ && core_.has_list()) service_ = Service::serving;
    return service_;
  }

  struct AtDoor {                           // what this door keeps of a play
    std::shared_ptr<http::Exchange> player; // until it has its answer
    std::uint64_t request = 0;              // the client's, while allocating
  };
  AtDoor &at_door(int play) {
    if (static_cast<std::size_t>(play) >= at_door_.size())
      at_door_.resize(static_cast<std::size_t>(play) + 1);
    return at_door_[static_cast<std::size_t>(play)];
  }

  asio::io_context &io_;
  FrontConfig record_;
  telemetry::Log &log_;
  Identity identity_;
  std::string id_prefix_;
  ReportTimes report_times_;
  std::uint64_t next_play_ = 0;
  Channel::Events channel_events_;
  Core core_;
  std::unique_ptr<Counters> counters_;
  std::vector<AtDoor> at_door_; // by play
  Catalogue catalogue_;
  bool has_catalogue_ = false;
  Service service_ = Service::starting;
  std::function<void()> drained_;
  asio::steady_timer timer_of_drain_;
  http::Client client_;
  std::vector<std::unique_ptr<Channel>> channels_; // by server
  std::unique_ptr<http::Server> players_;
  std::vector<std::shared_ptr<http::Server>> retired_; // addresses given up, until their last answer
  http::Server operators_;
  double opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

CoreSettings core_terms(const FrontConfig &record);

} // namespace snowshore::edge
