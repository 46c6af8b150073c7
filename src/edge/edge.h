// The front end over HTTP. It turns players' requests and servers' answers into calls of the core, and
// carries the core's calls out on sockets. It also serves the operators' pages and applies changes of the
// configuration in service. It decides nothing about plays. All of it runs on one executor, in one thread.
#pragma once
#include "config/front_config.h"
#include "config/front_snapshot.h"
#include "edge/channel.h"
#include "edge/core.h"

#include <functional>
#include <memory>
#include <optional>

namespace snowshore::edge {

using config::FrontConfig;
using config::ProductSettings;

class Edge final : PlayerGateway, ServerGateway {
 public:
  // Listens and starts the list source at once; throws std::system_error where it cannot listen.
  // engine_factory: makes the decision engine; measurements replace it.
  Edge(asio::io_context &io, FrontConfig config, telemetry::Log &log, std::unique_ptr<ListSource> list_source,
       DecisionEngineFactory engine_factory = make_decision_engine);
  ~Edge() override;

  // The endpoints that are bound.
  http::Endpoint player_endpoint() const { return player_server_->local_endpoint(); }
  http::Endpoint operator_endpoint() const { return operator_server_.local_endpoint(); }
  telemetry::LoopClock &clock() { return core_.clock(); }

  // Applies the limits and the log level. Returns the names of the other settings that differ, which need a
  // restart.
  std::vector<std::string> reload(const FrontConfig &next);
  // Replaces the whole configuration. Returns why it cannot be applied now, in which case nothing has
  // changed. drained: the change needs a new decision engine, so the table must hold no play; otherwise plays
  // in the table keep their terms. Settings that need a restart must be the same as before.
  std::optional<std::string> apply_config(const FrontConfig &next, bool drained);
  // Returns what apply_config() would return, but applies nothing. A bind error is found by apply_config()
  // only.
  std::optional<std::string> check_config(const FrontConfig &next, bool drained);
  // Called after each apply_config() that succeeds.
  std::function<void()> on_config_changed;
  config::FrontSnapshot state();
  // Accepts no new plays; calls `done` once each accepted play has its answer. Running plays are not waited
  // for.
  void drain(std::function<void()> done);
  // All metrics as text, with gauges set to the current values.
  std::string metrics_text();

 private:
  struct Counters;
  enum class ServiceState { starting, serving, draining };

  // ---- PlayerGateway and ServerGateway.
  void send_set_up_result(int play, const SetUpResult &result) override;
  void send_decline(int play, double retry_after) override;
  void send_failure(int play) override;
  // A player learns of a move or an end from its media server.
  void send_move(int) override {}
  void send_end(int, Outcome) override {}
  void forget_play(int play) override;
  void start_set_up(int play, const Allocation &allocation) override;
  void cancel_set_up(int play, std::string_view reason) override;
  // This protocol has no handover.
  void play_handed_over(int) override {}
  void change_rung(int play, int rung) override;
  void end_play(int play, std::string_view reason) override;
  void probe_server(int server) override;
  void update_server(int server, const ListedServer &entry) override;
  void forget_server(int server) override;

  std::unique_ptr<http::Server> make_player_server(const FrontConfig &config);
  // Why a limit of the configuration is below what is in use, if any is.
  std::optional<std::string> limit_conflict(const FrontConfig &next);
  // Passes the limits and the log level of config_ on.
  void apply_limits();
  void handle_player_request(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void handle_operator_request(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  // Reads a play's request; where it is not valid, sets error_response and returns nothing.
  std::optional<PlayRequest> parse_play_request(const http::Request &request, const std::string &title,
                                                http::Response &error_response, const std::string &peer);
  void on_report(int server, const serverwire::Report &report);
  void on_hello(int server, const serverwire::Report &hello, double requested_at, bool restarted);
  // Sends the play's answer to its player, if that is still connected.
  void respond(int play, http::Response response);
  // The id of a play towards servers and players; the core's id is the number in it.
  std::string wire_id(int play);
  // The index of the play with this text as its wire id, or a negative value.
  int find_play(std::string_view text);
  Channel &channel(int server) { return *channels_[static_cast<std::size_t>(server)]; }
  Channel &channel_of(int play) { return channel(core_.plays().at(play).server); }
  bool has_channel(int server) const {
    return static_cast<std::size_t>(server) < channels_.size() && channels_[static_cast<std::size_t>(server)];
  }
  // Reports the drain as done, or checks again a little later.
  void check_drained();
  // The state becomes `serving` with the first list and catalogue.
  ServiceState service_state() {
    if (service_state_ == ServiceState::starting && has_catalogue_ && core_.has_list())
      service_state_ = ServiceState::serving;
    return service_state_;
  }

  // The gateway's own data of a play.
  struct PlayConnection {
    // The player's exchange, until it is answered.
    std::shared_ptr<http::Exchange> exchange;
    // The HTTP client's request of the pending set-up.
    std::uint64_t set_up_request = 0;
  };
  PlayConnection &connection_of(int play) {
    if (static_cast<std::size_t>(play) >= connections_.size())
      connections_.resize(static_cast<std::size_t>(play) + 1);
    return connections_[static_cast<std::size_t>(play)];
  }

  asio::io_context &io_;
  FrontConfig config_;
  telemetry::Log &log_;
  FrontIdentity identity_;
  std::string id_prefix_;
  ReportTimeouts report_timeouts_;
  std::uint64_t next_play_id_ = 0;
  Channel::Events channel_events_;
  Core core_;
  std::unique_ptr<Counters> counters_;
  // By play.
  std::vector<PlayConnection> connections_;
  Catalogue catalogue_;
  bool has_catalogue_ = false;
  ServiceState service_state_ = ServiceState::starting;
  std::function<void()> on_drained_;
  asio::steady_timer drain_timer_;
  http::Client client_;
  // By server; null where the server is not listed.
  std::vector<std::unique_ptr<Channel>> channels_;
  std::unique_ptr<http::Server> player_server_;
  // Listeners at former addresses, each until its last answer is sent.
  std::vector<std::shared_ptr<http::Server>> retired_servers_;
  http::Server operator_server_;
  double started_at_ = 0;
  // Expires with the edge; pending callbacks hold a weak pointer to it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The part of the configuration that the core needs.
CoreSettings core_settings(const FrontConfig &config);

} // namespace snowshore::edge
