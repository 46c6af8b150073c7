// TCP server for the viewers' line protocol: accepts connections, splits what they send into lines and sends
// lines back. One connection may carry many plays. The server enforces limits and fairness; it does not
// interpret the lines. It runs on one executor: every call and every event is made on the thread that runs
// the io_context. No event is raised during a call of a member function, except by close_now().
#pragma once
#include "jsonlines/message.h"

#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace snowshore::jsonlines {

struct Limits {
  std::size_t connections = 64;
  // A viewer that does not read is disconnected when more than this waits to be sent to it.
  std::size_t unsent_bytes = 256 * 1024;
  // Bytes that all connections together may hold: received and not handled yet, or not sent yet. Where they
  // hold more, the connections that hold most are closed.
  std::size_t buffered_bytes = 64 * 1024 * 1024;
  // The number of lines that are handled from one connection before the other connections are served. Where
  // many connections have more lines than that, each gets fewer in a turn, one at least, so that a round
  // stays short.
  std::size_t lines_per_turn = 16;
  // Seconds. A connection must send its first complete line within this time after it connects, and a later
  // line must be complete within this time after its first byte. A connection with unsent data is closed to
  // make room only when nothing was received on it for this time, so that its viewer can read.
  double first_line_timeout = 2;
};

// Totals since the start. The *_cut counters count connections that the server closed.
struct Counters {
  std::uint64_t accepted = 0;
  // No complete line in time.
  std::uint64_t silent_cut = 0;
  // Closed in favor of a new connection.
  std::uint64_t room_cut = 0;
  // More than Limits::unsent_bytes waited to be sent.
  std::uint64_t unread_cut = 0;
  // All connections together held more than Limits::buffered_bytes, and these the most of it.
  std::uint64_t buffer_cut = 0;
  // Closed for a line longer than kMaxLineBytes.
  std::uint64_t overlong = 0;
  std::uint64_t accept_faults = 0;
  // Times that accepting waited because no connection could be closed.
  std::uint64_t accept_pauses = 0;
  std::uint64_t lines_received = 0, lines_sent = 0;
};

class Server {
 public:
  // Identifiers are not reused.
  using ConnectionId = std::uint64_t;
  struct Events {
    std::function<void(ConnectionId, std::string_view line)> on_line;
    // Raised exactly once for each connection, whichever side closed it.
    std::function<void(ConnectionId, const char *why)> on_closed;
  };
  // Starts to listen; throws std::system_error when that fails.
  Server(asio::io_context &io, const asio::ip::tcp::endpoint &at, Limits limits, Events events);
  ~Server();
  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return connections_.size(); }
  const Counters &counters() const { return counters_; }
  // Connections beyond a lowered limit stay open until new ones arrive.
  void set_limits(const Limits &limits) { limits_ = limits; }

  // Returns false when the connection no longer exists or is about to be closed for unread data.
  bool send(ConnectionId id, std::string line);
  // Adds `by`, which may be negative, to the number of open requests of a connection. A connection with open
  // requests is not closed to make room.
  void add_open_requests(ConnectionId id, int by);
  int open_requests(ConnectionId id) const;
  // Marks the connection as one that a play belongs to. Lines about plays whose own connection is gone may be
  // sent on such a connection.
  void mark_trusted(ConnectionId id);
  bool is_trusted(ConnectionId id) const;
  // Returns the connection that was marked last or, when that is gone, the active trusted connection that was
  // heard from most recently.
  std::optional<ConnectionId> latest_trusted() const;
  // Marks the connection as one on which a viewer has made a request, whatever the answer was.
  void mark_requested(ConnectionId id);
  // Returns the connection that an end of so many bytes may be sent on, where its own cannot carry it: a
  // trusted one with room for it or, where there is none, one with a request of a viewer. Prefers
  // latest_trusted(), then the connection that was heard from most recently.
  std::optional<ConnectionId> connection_for_end(std::size_t bytes) const;
  // Returns whether so many further bytes leave half of what the connection may have unsent to its answers.
  bool has_room_for_end(ConnectionId id, std::size_t bytes) const;
  // Stops reading and closes the connection once everything is sent.
  void close_after_sending(ConnectionId id);
  // Closes the connection once it has no open request and everything is sent; it is read until then.
  void close_after_open_requests(ConnectionId id);
  // Returns whether the connection is being closed, so that no new request may be accepted from it.
  bool is_closing(ConnectionId id) const;
  // Returns whether the viewer is known to have closed its side. Known while lines that it sent before are
  // still being read, where those are too many for one turn.
  bool is_peer_closed(ConnectionId id) const;
  // Closes the connection; on_closed is raised during the call.
  void close_now(ConnectionId id);
  // Stops reading and closes the connection after the current event handler has returned.
  void close_after_turn(ConnectionId id);
  // A graceful shutdown calls these in order. stop_accepting() accepts the connections that the operating
  // system has already queued and then closes the listener. is_drained() is true once the listener is closed
  // and no connection has data that is unread, incomplete or unsent. finish_sending() shuts down the sending
  // side of each connection and ignores further input until stop() closes everything.
  void stop_accepting();
  bool is_listening() const { return acceptor_.is_open(); }
  bool is_drained();
  // Bytes that the connections hold, see Limits::buffered_bytes.
  std::size_t buffered_bytes() const { return buffered_bytes_; }
  // Bytes that wait to be sent, over all connections.
  std::size_t unsent_bytes() const;
  void finish_sending();
  void stop();

 private:
  struct Connection;
  // awaiting_first_line: no complete line was received yet. closing: input is no longer read.
  enum class State { awaiting_first_line, active, closing, closed };
  static void set_state(Connection &connection, State next);
  // Returns the qualifying active connection that was heard from most recently.
  template <class Condition> std::optional<ConnectionId> latest_heard(Condition qualifies) const;
  // Returns whether received data waits to be handled, here or in the socket.
  static bool has_unread_data(Connection &connection);
  void accept();
  void accept_waiting();
  void accept_later();
  void add_connection(asio::ip::tcp::socket socket);
  bool make_room();
  void read(const std::shared_ptr<Connection> &connection);
  void handle_input(const std::shared_ptr<Connection> &connection, std::string_view bytes);
  void write(const std::shared_ptr<Connection> &connection);
  void close(Connection &connection, const char *why);
  // The number of lines that one connection may use up now.
  std::size_t lines_per_turn() const;
  // Updates buffered_bytes_ after a change of what the connection holds.
  void count_buffered(Connection &connection);
  // Closes the connections that hold most until the rest is within the limit.
  void free_buffers();
  // Closes connections that did not complete a line in time, periodically.
  void check_timeouts();

  asio::io_context &io_;
  Limits limits_;
  Events events_;
  Counters counters_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_, timeout_timer_;
  // Shared by all connections: its content is handled before the next read. What exceeds a turn is kept, so
  // it is little more than a turn of usual lines.
  std::array<char, 8 * 1024> buffer_;
  std::size_t buffered_bytes_ = 0;
  // Connections with input that waits for their next turn.
  std::size_t deferred_connections_ = 0;
  // free_buffers() is posted.
  bool freeing_ = false;
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections_;
  ConnectionId next_id_ = 1, latest_trusted_ = 0;
  // draining_backlog_: stop_accepting() was called and queued connections are still being accepted.
  bool accepting_ = true, draining_backlog_ = false;
  // Callbacks hold a weak reference to detect that the server was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::jsonlines
