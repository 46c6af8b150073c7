// What the front says to one server and hears from it, over a few kept connections: set-ups, releases, rungs,
// tests. It keeps set-ups until their end, chooses a connection for each, and reports ends and facts; what an
// end means for a play, and whether the server still lives, is judged by others. One executor; Events come
// after the call that caused them, never during it. Timeouts are seconds.
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
  double connect = 0.25; // a connection not up by then has failed
  double message = 0.25; // a message begun and not whole by then can't be read
  double idle = 30;      // the other side closes idle connections after this
  double probe = 0.25;
};

struct Limits {
  std::size_t connections = 4;             // to one server
  std::size_t set_ups_per_connection = 32; // open on one connection
  std::size_t unsent_bytes = 64 * 1024;    // bytes that a connection may hold unwritten
};

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

struct SetUpRequest {
  std::uint64_t session = 0;
  std::string_view title, tier, description; // checked to hold nothing that the head could not
  int rung = 0;
  double timeout = 0;
};

struct PeerCounters {
  std::uint64_t connects = 0, set_ups = 0, answers = 0, given_up = 0, late = 0, unexpected_answers = 0,
                no_room = 0, recalled_unsent = 0, releases_again = 0, releases_dropped = 0,
                maintenance_runs = 0;
  std::size_t connections = 0; // under way or up now, to all servers
};

class Peer {
 public:
  struct Events {
    // Of a set-up, once: how it ended; the message where it was answered.
    std::function<void(std::uint64_t session, EndReason end, const Message *message, double took)>
        on_set_up_ended;
    std::function<void(std::uint64_t session, const Message &request)>
        on_request; // a note or a release of the server's
    std::function<void(EndReason end, const Message *message)> on_probe_ended;
    std::function<void()> on_data, on_connected; // any bytes; a connection came up
    std::function<void(EndReason end, bool last)>
        on_disconnected; // a connection ended or did not come up; last: none is open now
    std::function<bool()>
        may_connect; // is there a descriptor for one more connection? may close others' idle ones
    std::function<bool(std::uint64_t session)> has_session; // does this session stand with us at this server?
  };
  Peer(asio::io_context &io, asio::ip::tcp::endpoint at, const Timeouts &times, const Limits &limits,
       PeerCounters &counters, std::uint64_t seed, Events events);
  ~Peer();
  const asio::ip::tcp::endpoint &address() const { return at_; }
  std::size_t open_connections() const; // connections that are up
  std::size_t connections() const { return links_.size(); }
  std::size_t unsent_bytes() const; // bytes that wait for a connection or for the server to read

  void set_up(const SetUpRequest &set_up);
  // No on_set_up_ended comes for it any more. What was not sent yet never is; else the server is told, and
  // true.
  bool cancel_set_up(std::uint64_t session);
  // Of a session that stands: said again on another connection where the one that carried it ends before the
  // server can be held to have heard it.
  void release(std::uint64_t session, int cause);
  void set_rung(std::uint64_t session, int rung);
  void probe();
  void try_connect(); // opens one more connection: does the machine still answer?
  void maintain();    // ten times a second: half messages, connections to close, releases to say again
  bool has_unwritten_releases() const; // some are not yet written to a connection that is up
  bool is_unused() const { return links_.empty() && out_.empty() && releases_.empty() && !probe_; }
  // Since when the oldest connection without set-ups is open, seconds of the steady clock; nothing: there is
  // none.
  std::optional<double> oldest_idle_since() const;
  void close_oldest_idle(); // closes that one; its end is said as no_room
  void close_all();         // closes all; each set-up and connection is said to have ended
  void shut_down();         // closes all; no event comes any more, whatever is still under way

 private:
  struct Link;
  struct Out {
    std::weak_ptr<Link> link;
    std::unique_ptr<asio::steady_timer> timer;
    double sent = 0;
    std::uint64_t number = 0; // a session may be set up here again: its old timer is not the new one's
  };
  struct Release { // not known to be heard
    std::uint64_t session = 0;
    int cause = 0;
    double since = 0, said = 0;
    std::weak_ptr<Link> on; // expired: still to be said
  };
  enum class State { connecting, open, closed };
  void become(Link &link, State next);
  std::shared_ptr<Link> choose(bool for_set_up);
  std::shared_ptr<Link> oldest_idle() const; // of those that are up
  std::shared_ptr<Link> connect();
  void say(const std::shared_ptr<Link> &link, std::uint64_t session, std::string text);
  void write(const std::shared_ptr<Link> &link);
  void read(const std::shared_ptr<Link> &link);
  void on(const std::shared_ptr<Link> &link, const Message &message);
  void end(const std::shared_ptr<Link> &link, EndReason how);
  void set_up_over(std::uint64_t session, EndReason how, const Message *message);
  void retire(const std::shared_ptr<Link> &link);
  void say_releases();

  asio::io_context &io_;
  asio::ip::tcp::endpoint at_;
  const Timeouts &times_;
  const Limits &limits_;
  PeerCounters &counters_;
  std::uint64_t next_probe_;
  Events events_;
  std::list<std::shared_ptr<Link>> links_;
  std::unordered_map<std::uint64_t, Out> out_;
  std::uint64_t set_ups_ = 0;
  std::deque<Release> releases_;
  std::array<std::uint64_t, 64> given_up_{}; // the last ones: their late answers are released
  std::size_t given_up_at_ = 0;
  std::uint64_t probe_ = 0; // the session of the test that is out, 0: none
  asio::steady_timer probe_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::rtsp
