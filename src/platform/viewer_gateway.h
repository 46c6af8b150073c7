// The player gateway of the platform's protocol: turns the lines of viewers into calls on the core, and the
// core's answers into lines. It runs on the core's executor.
#pragma once
#include "edge/core.h"
#include "jsonlines/server.h"
#include "platform/node_config.h"
#include "platform/recent_ids.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace snowshore::platform {

class ViewerGateway final : public edge::PlayerGateway {
 public:
  struct Counters {
    std::uint64_t set_ups = 0, handed_over = 0, left = 0, released = 0, repeated = 0, refused_bad = 0,
                  unreadable = 0, unknown_plays = 0, tests = 0, no_room = 0, announced_later = 0,
                  announced_again = 0, moved_over = 0, used_ids = 0, left_unread = 0,
                  announcements_dropped = 0, early_finishes = 0;
  };
  // Binds the address, and accepts connections from listen() on. Throws std::system_error.
  ViewerGateway(asio::io_context &io, const NodeConfig &config, telemetry::Log &log);
  void set_core(edge::Core &core) { core_ = &core; }
  void listen();
  // Applies the limits of the configuration, which has changed.
  void reload();

  // From now on health checks fail.
  void drain() { draining_ = true; }
  // From now on each new request is declined at once.
  void stop_accepting();
  // Returns whether all received bytes are read and all written bytes are sent.
  bool is_idle() { return server_->is_drained(); }
  // Ends of sessions wait for a connection on which they can be sent.
  bool has_unsent_ends() const { return !deferred_lines_.empty(); }
  void finish() { server_->finish_sending(); }
  bool is_listening() const { return server_->is_listening(); }
  void stop() { server_->stop(); }
  std::size_t connections() const { return server_->connections(); }
  asio::ip::tcp::endpoint local_endpoint() const { return server_->local_endpoint(); }
  const Counters &counters() const { return counters_; }
  std::size_t unsent_bytes() const { return server_->unsent_bytes(); }
  const jsonlines::Counters &line_counters() const { return server_->counters(); }

  // What the server gateway needs of a play.
  const std::string &description(int play) { return pending_play(play).description; }
  std::uint64_t tag(int play) { return core_->plays().at(play).id; }

  void send_set_up_result(int play, const edge::SetUpResult &result) override;
  void send_decline(int play, double retry_after) override;
  void send_failure(int play) override;
  void send_move(int play) override;
  void send_end(int play, Outcome outcome) override;
  void forget_play(int play) override;

 private:
  using Connection = jsonlines::Server::ConnectionId;
  // What the gateway keeps of a play.
  struct PendingPlay {
    Connection connection = 0;
    // Kept until the play is answered.
    std::string description;
    // The play has no answer yet.
    bool open = false;
  };
  // A line that waits for a connection.
  struct DeferredLine {
    std::uint64_t tag;
    std::string line;
    double expires_at;
  };
  // An end that was sent and that its viewer has not confirmed; a viewer need not confirm it.
  struct UnconfirmedEnd {
    Connection connection;
    std::uint64_t tag;
    std::string line;
    double sent_at;
  };
  // A viewer's release of a session that this front end does not hold. It may be on its way to be handed over
  // on another connection.
  struct EarlyFinish {
    std::uint64_t tag;
    double at;
  };
  PendingPlay &pending_play(int play) {
    if (static_cast<std::size_t>(play) >= pending_plays_.size())
      pending_plays_.resize(static_cast<std::size_t>(play) + 1);
    return pending_plays_[static_cast<std::size_t>(play)];
  }
  jsonlines::Limits limits() const;
  void on_line(Connection from, std::string_view line);
  void on_closed(Connection connection, const char *why);
  // Handles START: a new play, a repeated request, or the handover of a running play.
  void handle_start(Connection from, const jsonlines::Message &message);
  // Ends the play that was just handed over where its viewer has released it before.
  void apply_early_finish(const edge::PlayRef &ref);
  // Answers a request under the id of one that a server has had.
  void fail_used_id(Connection from, std::uint64_t tag);
  // Handles FINISH: the viewer gives up its request or ends its play.
  void handle_finish(Connection from, const jsonlines::Message &message);
  // Returns the request, or nothing with the reason in `why`. already_running: the viewer hands over
  // a play that some server already serves.
  std::optional<PlayRequest> parse_play_request(const jsonlines::Message &message, bool already_running,
                                                std::string &why) const;
  // Answers an invalid request.
  void refuse_request(Connection to, std::uint64_t tag, const std::string &why);
  // Counts and logs a line that cannot be answered, and has the connection closed.
  void reject_line(Connection from, const std::string &why);
  // retry_after: seconds.
  std::string decline_line(std::uint64_t tag, double retry_after) const;
  // Sends the only answer to the play's set-up; an empty line ends the wait without an answer.
  void send_answer(int play, std::string line);
  // Sends a line about a running play on its own connection, on another one that viewers use, or on the next
  // such one that there is.
  void announce(int play, std::string line);
  void announce(Connection to, std::uint64_t tag, std::string line);
  // Sends the line, and keeps it for a while in case the connection ends before it arrives. Returns false
  // where the connection cannot carry it.
  bool send_unconfirmed(Connection to, std::uint64_t tag, const std::string &line);
  void send_deferred_lines();
  // Calls send_deferred_lines() again soon, where a connection had no room for them.
  void retry_deferred_lines();

  asio::io_context &io_;
  const NodeConfig &config_;
  telemetry::Log &log_;
  edge::Core *core_ = nullptr;
  std::unique_ptr<jsonlines::Server> server_;
  // By play.
  std::vector<PendingPlay> pending_plays_;
  std::deque<DeferredLine> deferred_lines_;
  asio::steady_timer deferred_timer_;
  bool is_retry_scheduled_ = false;
  std::deque<UnconfirmedEnd> unconfirmed_ends_;
  std::deque<EarlyFinish> early_finishes_;
  // Bytes of the descriptions in pending_plays_.
  std::size_t description_bytes_ = 0;
  // Ids of requests that were sent to a server and are over; one that comes again would run twice.
  RecentIds used_ids_;
  // When the first test of this run was passed.
  std::optional<double> first_test_at_;
  Counters counters_;
  bool draining_ = false, stopped_accepting_ = false;
};

} // namespace snowshore::platform
