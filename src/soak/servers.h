// The soak's streaming servers: real listeners that speak the platform's RTSP, hold sessions, and fail as the
// scenario asks. What arrives on their sockets is recorded in the ledger at once.
#pragma once
#include "soak/addresses.h"
#include "soak/faulty_stream.h"
#include "soak/ledger.h"
#include "soak/rtsp_text.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snowshore::soak {

class StandInServer {
 public:
  struct Behaviour {    // Each field may change at any time.
    bool hangs = false; // The server accepts messages and never answers.
    // The shares of set-ups whose answer is corrupt, comes around or after the deadline, is a refusal, is an
    // error, or is sent twice.
    double corrupt_share = 0, late_share = 0, refuse_share = 0.01, error_share = 0.005, duplicate_share = 0;
    double reset_share = 0;           // the share of set-ups whose connection is reset
    double extra_delay = 0;           // seconds before each answer
    double stalled_connect_share = 0; // the share of time in which new connections are not established
  };
  StandInServer(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int index,
                std::uint64_t seed);

  int index() const { return index_; }
  std::uint32_t id() const { return id_; }
  asio::ip::tcp::endpoint endpoint() const { return listener_.endpoint(); }
  // Returns the start in Unix milliseconds, or 0 for a server that ran before the soak and is warm.
  std::uint64_t start_time_ms() const { return start_time_ms_; }
  bool is_running() const { return running_; }

  // Starts to listen; `cold` means that the server starts at this moment and has to warm up.
  void start(bool cold);
  // Resets the connections, drops the sessions and stops listening.
  void crash();
  // Closes each connection on which set-ups arrived, all of them answered, with the given probability.
  void close_connections(double share);
  // Drops the sessions and sends nothing any more; connections stay open.
  void go_silent();
  // Cuts the server off from the network, or ends the cut.
  void set_stalled(bool stalled);
  // Resets each open connection with the given probability.
  void reset_connections(double share);
  // Stalls the open connections of one front end.
  void set_front_stalled(int front, bool stalled);
  // The session has been handed over: sends the note of its rung, on the next connection from its front end
  // where none is open.
  void send_rung_note(std::uint64_t session);
  void set_id(std::uint32_t id) { id_ = id; }
  void set_single_bytes(bool on) { faults_->single_bytes = on; }
  void set_delay(double seconds) { faults_->delay = seconds; }
  // Sets whether new connections are left without an answer to their handshake.
  void set_connects_stalled(bool on) { listener_.set_stalled(on); }
  // Called ten times a second: ends sessions, sends notes and closes idle connections.
  void poll();
  std::size_t session_count() const { return sessions_.size(); }
  std::size_t connection_count() const { return connections_.size(); }
  std::uint64_t accepted_connections() const { return accepted_connections_; }
  Behaviour behaviour;

 private:
  struct Connection { // from a front end
    std::shared_ptr<FaultyStream> stream;
    RtspParser parser;
    int front = 0;
    bool has_carried_set_up = false;
    std::set<std::uint64_t> open_set_ups; // sessions whose set-up on this connection has no answer yet
    std::map<std::uint64_t, int> rungs;   // of the set-ups on this connection, by session
    double last_used_at = 0;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  struct Session {
    int front = 0;
    double ends_at = 0;
    std::weak_ptr<Connection> connection; // on which the session was set up
    int rung = 0;
    bool owes_rung_note = false;
  };
  // A release of an ended session. It is sent at once where a connection is open, else on the next one from
  // the front end, and once more on the one after that, since the first may be lost. Some servers don't
  // repeat one that the front end has confirmed.
  struct Release {
    std::uint64_t session;
    int front;
    bool sent;
  };
  void accept(asio::ip::tcp::socket socket);
  void on_message(const ConnectionRef &connection, const RtspMessage &message);
  void on_set_up(const ConnectionRef &connection, std::uint64_t session, const RtspMessage &message);
  void send_answer(const ConnectionRef &connection, std::uint64_t session, double deadline);
  void send_owed_rung_notes(int front);
  void on_release(const ConnectionRef &connection, std::uint64_t session, const RtspMessage &message);
  void on_closed(const ConnectionRef &connection);
  void end_session(std::uint64_t session, const char *reason, bool sends_release);
  void resend_releases(int front, const ConnectionRef &opened);
  // Returns `first` if it is open, else any open connection of the front end, else null.
  ConnectionRef find_open_connection(int front, const std::weak_ptr<Connection> &first) const;
  void drop_sessions(bool by_reset, const char *reason);
  // Calls `call` after the delay unless the server has restarted or stopped meanwhile.
  void run_after(double seconds, std::function<void()> call);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  int index_;
  std::uint32_t id_;
  SeededRng rng_;
  // Chance of its own, so that the other draws do not depend on it.
  bool repeats_confirmed_releases_;
  std::shared_ptr<StreamFaults> faults_ = std::make_shared<StreamFaults>();
  Listener listener_;
  std::set<ConnectionRef> connections_;
  std::unordered_map<std::uint64_t, Session> sessions_;
  std::vector<Release> releases_;
  std::map<int, double> last_note_at_; // by front end: when a note on one of its sessions was last sent
  // `generation_` counts starts and stops.
  std::uint64_t start_time_ms_ = 0, generation_ = 0, accepted_connections_ = 0;
  bool running_ = false, silent_ = false;
};

} // namespace snowshore::soak
