// The server gateway of the platform's protocol: sends the core's set-ups, rung changes and ends on
// persistent RTSP connections, and turns the messages of servers into calls on the core. It also checks with
// Liveness whether servers that hold plays are alive. It runs on the core's executor.
#pragma once
#include "decision/handover_verdict.h"
#include "edge/core.h"
#include "platform/liveness.h"
#include "platform/node_config.h"
#include "platform/process_continuity.h"
#include "platform/viewer_gateway.h"
#include "rtsp/peer.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snowshore::platform {

class RtspServerGateway final : public edge::ServerGateway {
 public:
  struct Counters {
    // servers_scanned counts the servers that loops over many servers have looked at; descriptions_rejected
    // the answers whose description a viewer's line cannot carry; unapplied_* the messages about sessions of
    // this front end that had no effect, since the session was at another server or did not run.
    std::uint64_t ended_done = 0, ended_reset = 0, ended_left = 0, feedback_messages = 0, malformed = 0,
                  unknown_sessions = 0, early_releases = 0, lost_silent = 0, lost_restarted = 0,
                  lost_gone = 0, closed_for_budget = 0, servers_scanned = 0, descriptions_rejected = 0,
                  unapplied_elsewhere = 0, unapplied_not_running = 0, lost_replaced = 0;
    // Plays that were handed over: those that a message of their server has named, those among them that the
    // note of the rung has named, those that are held since one handed over with them was named, and those
    // that ended since nothing has shown that their server holds them.
    std::uint64_t handovers_confirmed = 0, handovers_rung_noted = 0, handovers_presumed = 0,
                  handovers_ended = 0;
    // Results of set-ups, by Outcome.
    std::array<std::uint64_t, 8> outcomes{};
    // Ends of connections, by rtsp::EndReason.
    std::array<std::uint64_t, std::size(rtsp::kEndReasonNames)> disconnects{};
  };
  RtspServerGateway(asio::io_context &io, const NodeConfig &config, telemetry::Log &log,
                    ViewerGateway &viewers);
  void set_core(edge::Core &core) { core_ = &core; }
  // Starts the periodic check of servers.
  void start_liveness_checks();
  // Shutdown has begun: no connection is opened only to receive any more. The front end's next run receives
  // what servers say then.
  void drain() { draining_ = true; }
  // Viewers can be told nothing any more. What servers send from now on is not confirmed, so that they send
  // it again to the front end's next run.
  void stop_receiving();
  // Applies the times and limits of the configuration, which has changed.
  void reload();

  // Returns whether a release has not been passed to an established connection yet.
  bool has_unsent_releases() const;
  const Counters &counters() const { return counters_; }
  const rtsp::PeerCounters &peer_counters() const { return peer_counters_; }
  std::size_t connections() const { return peer_counters_.connections; }
  // Number of servers that have not left.
  std::size_t listed_count() const { return listed_count_; }
  // Number of servers that have a peer, see below.
  std::size_t peer_count() const { return servers_with_peer_.size(); }
  // Logs at level debug, for each server with sessions, what the engine holds of it and what its connections
  // carried.
  void log_server_statistics();

  void start_set_up(int play, const edge::Allocation &allocation) override;
  void cancel_set_up(int play, std::string_view reason) override;
  void play_handed_over(int play) override;
  void change_rung(int play, int rung) override;
  void end_play(int play, std::string_view reason) override;
  void probe_server(int server) override;
  void update_server(int server, const edge::ListedServer &entry) override;
  void forget_server(int server) override;

 private:
  struct ServerSlot {
    edge::ListedServer entry;
    std::unique_ptr<rtsp::Peer> peer;
    Liveness liveness;
    ProcessContinuity process;
    // known: the list has named the server.
    bool reconnect_requested = false, known = false;
    // Until this time of the steady clock no connection is opened, because one was closed for the connection
    // budget.
    double set_aside_until = 0;
    // When the next play that was handed over is to be judged; negative where there is none.
    double handovers_due_at = -1;
    // When the play was handed over that the server has named last, and when it named it. Negative before the
    // first.
    double named_handover_at = -1, handover_named_at = -1;
    // When a connection to the server last ended in a way that may have lost messages; negative before that.
    double messages_lost_at = -1;
    // Tells this server from a later one with the same index.
    std::uint64_t serial = 0;
    // Counts since the last log_server_statistics().
    std::uint64_t sent = 0, started = 0, refused = 0, failed = 0, notes = 0;
    explicit ServerSlot(const LivenessSettings &settings) : liveness(settings) {}
  };
  // A server's release of a play that the core does not hold yet. The server does not repeat it, so it is
  // kept for the handover of the play.
  struct EarlyRelease {
    std::uint64_t session = 0;
    // The id and the address of the server whose connection carried it.
    std::string server;
    asio::ip::tcp::endpoint address;
    Outcome outcome = Outcome::reset;
    double at = 0;
  };
  ServerSlot *server_slot(int server) {
    return static_cast<std::size_t>(server) < server_slots_.size()
               ? server_slots_[static_cast<std::size_t>(server)].get()
               : nullptr;
  }
  // Divides the descriptors for servers among the servers that may be connected to.
  void share_descriptors();
  void count_listed(bool before, bool after);
  // The server's peer, which is made where there is none; null for a server that has left.
  rtsp::Peer *peer_of(int server);
  // Makes the server's peer; the peer opens connections when it needs them.
  void make_peer(int server);
  void close_peer(int server);
  void check_server(int server);
  void set_up_ended(int server, std::uint64_t session, rtsp::EndReason end, const rtsp::Message *message,
                    double duration);
  // A message about a session, on a connection to the server's address. It counts for the session's server
  // where that has the same address, whichever id the connection was opened for.
  void request_received(int server, std::uint64_t session, const rtsp::Message &message);
  void keep_early_release(int server, std::uint64_t session, const rtsp::Message &message);
  void note_received(int play, const rtsp::Message &message);
  void release_received(int play, const rtsp::Message &message);
  bool have_same_address(int server, int other);
  // The server has shown that it holds the play.
  void confirm_play(int play);
  // Whether the process behind the server's open connections is known to hold the play.
  bool is_confirmed(const ServerSlot &slot, const edge::PlayRecord &play);
  // Ends the plays of a server that has left which the process at its address is not known to hold.
  void end_unconfirmed_plays(int server);
  // The peer on which a session at the server can be released: its own or, where the server has left and no
  // connection to it is open, that of the server which has its address. Null where there is none.
  rtsp::Peer *peer_for_release(int server);
  // The server has shown that its process holds a play that was handed over.
  void confirm_handover(int play);
  // A note of the rung in force names a play, as servers send after its hand-over.
  void rung_note_received(int play);
  // Ends the plays that were handed over and that their server, which may have started since they were set
  // up, has not been shown to hold in time.
  void judge_handovers(int server);
  // The state of an unconfirmed play whose time to be confirmed is over.
  HandoverState state_of_overdue_handover(const ServerSlot &slot, const edge::PlayRecord &play) const;
  void connection_ended(int server, rtsp::EndReason end, bool last);
  // Ends the plays on the server for which the condition holds, and increments the counter where there are
  // any.
  void server_lost(int server, const char *reason, std::uint64_t &counter,
                   const std::function<bool(const edge::PlayRecord &)> &condition = {});
  // Ends these plays on the server, and increments the counter where there are any.
  void end_lost_plays(int server, const char *reason, std::uint64_t &counter, const std::vector<int> &lost);
  void count_unapplied(int server, int play, std::string_view method);
  LoadReport load_report_of(const rtsp::Message &message);
  // Schedules the next check of all servers that hold plays or have a peer.
  void check_servers();
  // Closes an idle connection to some server, so that another can be opened. Returns false where none can be
  // closed.
  bool close_connection_for_budget();
  std::size_t plays_at(int server) const { return core_->plays().playing_at(server).size(); }

  asio::io_context &io_;
  const NodeConfig &config_;
  telemetry::Log &log_;
  ViewerGateway &viewers_;
  edge::Core *core_ = nullptr;
  rtsp::Timeouts timeouts_;
  rtsp::Limits limits_;
  LivenessSettings liveness_settings_;
  rtsp::PeerCounters peer_counters_;
  Counters counters_;
  // By server.
  std::vector<std::unique_ptr<ServerSlot>> server_slots_;
  // Servers with a peer: those to which something is to be sent, or was sent lately.
  SortedIndices servers_with_peer_;
  std::deque<EarlyRelease> early_releases_;
  RungNoteEvidence rung_notes_;
  std::uint64_t next_serial_ = 1;
  // Number of servers that have not left.
  std::size_t listed_count_ = 0;
  bool draining_ = false;
  asio::steady_timer check_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::platform
