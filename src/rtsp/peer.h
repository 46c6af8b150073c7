// RTSP client for one media server, over a small pool of persistent connections: set-ups, releases, rung
// changes and probes. It tracks each set-up until it ends, chooses a connection for each message and reports
// results; the caller decides what a result means for a play and whether the server is alive. It runs on one
// executor: every call is made on the thread that runs the io_context, and events are raised after the call
// that caused them, never during it. Times are in seconds.
#pragma once
#include "rtsp/message.h"

#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace snowshore::rtsp {

struct Timeouts {
  // A connection that is not established within this time has failed.
  double connect = 0.25;
  // A message that is not complete within this time after its first byte counts as unreadable while set-ups
  // wait on its connection.
  double message = 0.25;
  // The same on a connection without set-ups, where a slow release delays nobody.
  double idle_message = 2;
  // The server closes a connection that is idle for longer than this.
  double idle = 30;
  double probe = 0.25;
};

struct Limits {
  // To one server.
  std::size_t connections = 4;
  std::size_t set_ups_per_connection = 32;
  // Unsent bytes that one connection may hold.
  std::size_t unsent_bytes = 64 * 1024;
  // Half-closed connections, to all servers.
  std::size_t half_closed = 4;
};

// How a set-up, a probe or a connection ended. connect_failed: the connection was not established, or a
// set-up timed out before it was sent. no_capacity: a limit on connections or set-ups prevented it, or an
// idle connection was closed to free its descriptor.
enum class EndReason {
  answered,
  connection_refused,
  connect_failed,
  closed,
  reset,
  unreadable,
  timed_out,
  no_capacity
};
inline constexpr const char *kEndReasonNames[] = {"answered", "refused",    "not_up",    "closed",
                                                  "reset",    "unreadable", "timed_out", "no_room"};

// The caller ensures that the texts contain nothing that is invalid in a header or a URI.
struct SetUpRequest {
  std::uint64_t session = 0;
  std::string_view title, tier, description;
  int rung = 0;
  double timeout = 0;
};

// Counters shared by the peers of all servers.
struct PeerCounters {
  std::uint64_t connects = 0, set_ups = 0, answers = 0;
  // Set-ups that were cancelled or timed out.
  std::uint64_t given_up = 0;
  // Successful answers to such set-ups, whose sessions were then released.
  std::uint64_t late = 0;
  // Successful answers to set-ups that are neither outstanding nor known to be given up.
  std::uint64_t unexpected_answers = 0;
  std::uint64_t no_room = 0;
  // Set-ups that were given up before they were written to a connection.
  std::uint64_t recalled_unsent = 0;
  std::uint64_t releases_again = 0, releases_dropped = 0;
  // Calls of Peer::maintain().
  std::uint64_t maintenance_runs = 0;
  // Connections that are established or being established now, to all servers.
  std::size_t connections = 0;
  // Connections of which only the receiving side is still open, to all servers.
  std::size_t half_closed = 0;
  // Connections that were closed at once because Limits::half_closed was reached.
  std::uint64_t half_closes_skipped = 0;
};

class Peer {
 public:
  struct Events {
    // Raised exactly once for each set-up that was not cancelled. `message` is the answer, or nullptr when
    // there was none; it is a request when the server released the session before it answered.
    std::function<void(std::uint64_t session, EndReason end, const Message *message, double took)>
        on_set_up_ended;
    // A request from the server: a notification or a release.
    std::function<void(std::uint64_t session, const Message &request)> on_request;
    std::function<void(EndReason end, const Message *message)> on_probe_ended;
    // Bytes were received on a connection that was established so many seconds ago.
    std::function<void(double connected_for)> on_data;
    // A connection was established.
    std::function<void()> on_connected;
    // A connection ended or could not be established; `last` is true when none is open now.
    std::function<void(EndReason end, bool last)> on_disconnected;
    // Returns whether a descriptor is available for one more connection. It may close idle connections of
    // other servers.
    std::function<bool()> may_connect;
    // Returns whether the session currently belongs to a play that is on this server.
    std::function<bool(std::uint64_t session)> has_session;
  };
  Peer(asio::io_context &io, asio::ip::tcp::endpoint at, const Timeouts &timeouts, const Limits &limits,
       PeerCounters &counters, std::uint64_t seed, Events events);
  ~Peer();
  const asio::ip::tcp::endpoint &address() const { return at_; }
  // The number of established connections; connections() also counts those being established.
  std::size_t open_connections() const;
  std::size_t connections() const { return connections_.size(); }
  // Seconds since the oldest open connection was established, or nothing when none is open.
  std::optional<double> oldest_connection_age() const;
  // Bytes that wait for a connection to be established or for the server to read.
  std::size_t unsent_bytes() const;

  void set_up(const SetUpRequest &set_up);
  // Cancels a set-up; on_set_up_ended is not raised for it. A set-up that is still unsent is discarded;
  // otherwise a release is sent to the server. Returns true when the server may have received the set-up.
  bool cancel_set_up(std::uint64_t session);
  // The server released the session, in a message on a connection of another peer. Ends the pending set-up
  // of the session; returns false where there is none.
  bool release_received(std::uint64_t session, const Message &release);
  // Closes the connections that are not established yet; what waits for them is not sent.
  void close_connecting();
  // Releases an established session. The release is repeated on another connection when the one that carried
  // it ends before the server can be assumed to have received it.
  void release(std::uint64_t session, int cause);
  void set_rung(std::uint64_t session, int rung);
  void probe();
  // Opens one more connection, unless one is being established, to find out whether the host responds.
  void try_connect();
  // Called ten times a second: closes connections with incomplete messages and those no longer needed, and
  // repeats releases.
  void maintain();
  // Returns whether a release has not yet been written to an established connection.
  bool has_unwritten_releases() const;
  bool is_unused() const {
    return connections_.empty() && half_closed_.empty() && pending_set_ups_.empty() && releases_.empty() &&
           !probe_session_;
  }
  // Returns the steady-clock time at which the oldest idle connection was established, or nothing when no
  // established connection is free of set-ups.
  std::optional<double> oldest_idle_since() const;
  // Closes that connection and reports its end as no_capacity. has_sessions: sessions run on the server,
  // whose releases may be on their way. What the server sends before it learns of the close is then still
  // received, on a descriptor of Limits::half_closed where one is free.
  void close_oldest_idle(bool has_sessions);
  // Closes every connection and reports the end of each connection and set-up.
  void close_all();
  // From now on nothing that servers send is handled or answered; it is unheard when the process ends.
  void stop_receiving() { receiving_ = false; }
  // Closes every connection. No event is raised afterwards.
  void shut_down();

 private:
  struct Connection;
  struct PendingSetUp {
    std::weak_ptr<Connection> connection;
    std::unique_ptr<asio::steady_timer> timer;
    double sent_at = 0;
    // Distinguishes this set-up from an earlier one of the same session, whose timer may still fire.
    std::uint64_t number = 0;
  };
  // A release that the server may not have received yet.
  struct Release {
    std::uint64_t session = 0;
    int cause = 0;
    double requested_at = 0, sent_at = 0;
    // The connection that carried it; expired when it has to be sent.
    std::weak_ptr<Connection> connection;
  };
  // half_closed: nothing is sent any more; what the server has sent is still received.
  enum class State { connecting, open, half_closed, closed };
  void set_state(Connection &connection, State next);
  void close_socket(Connection &connection);
  std::shared_ptr<Connection> choose_connection(bool for_set_up);
  // Considers established connections only.
  std::shared_ptr<Connection> oldest_idle() const;
  std::shared_ptr<Connection> connect();
  void send(const std::shared_ptr<Connection> &connection, std::uint64_t session, std::string text);
  void write(const std::shared_ptr<Connection> &connection);
  void read(const std::shared_ptr<Connection> &connection);
  void handle_input(const std::shared_ptr<Connection> &connection, std::string_view bytes);
  void settle(const std::shared_ptr<Connection> &connection, std::size_t last_read);
  void deliver_last(const std::shared_ptr<Connection> &connection);
  void handle_message(const std::shared_ptr<Connection> &connection, const Message &message);
  void close(const std::shared_ptr<Connection> &connection, EndReason reason);
  void half_close(const std::shared_ptr<Connection> &connection);
  void wait_for_server_end(const std::shared_ptr<Connection> &connection);
  void finish_half_closed(const std::shared_ptr<Connection> &connection);
  void finish_set_up(std::uint64_t session, EndReason reason, const Message *message);
  void retire(const std::shared_ptr<Connection> &connection);
  void send_releases();

  asio::io_context &io_;
  asio::ip::tcp::endpoint at_;
  const Timeouts &timeouts_;
  const Limits &limits_;
  PeerCounters &counters_;
  std::uint64_t next_probe_session_;
  Events events_;
  std::list<std::shared_ptr<Connection>> connections_, half_closed_;
  std::unordered_map<std::uint64_t, PendingSetUp> pending_set_ups_;
  std::uint64_t set_up_count_ = 0;
  std::deque<Release> releases_;
  // The sessions given up most recently; a late successful answer to one of them is released.
  std::array<std::uint64_t, 64> given_up_{};
  std::size_t given_up_at_ = 0;
  // The session of the outstanding probe, or 0.
  std::uint64_t probe_session_ = 0;
  asio::steady_timer probe_timer_;
  bool receiving_ = true;
  // Callbacks hold a weak reference to detect that the peer was shut down.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::rtsp
