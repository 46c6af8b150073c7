// The soak's streaming servers: real listeners that speak the platform's RTSP, keep sessions, and fail on
// demand. What their sockets saw goes into the ledger at once.
#pragma once
#include "soak/addresses.h"
#include "soak/ledger.h"
#include "soak/rtsp_text.h"
#include "soak/wire.h"

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
  struct Behaviour {                                                          // may change at any time
    bool hangs = false;                                                       // accepts and never answers
    double spoilt = 0, late = 0, refuses = 0.01, errors = 0.005, doubled = 0; // shares of set-ups
    double reset_under = 0;      // share of set-ups whose connection is reset
    double extra_delay = 0;      // seconds before each answer
    double late_connections = 0; // share of time in which new connections do not come up
  };
  StandInServer(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int index,
                std::uint64_t seed);

  int index() const { return index_; }
  std::uint32_t id() const { return id_; }
  asio::ip::tcp::endpoint at() const { return listener_.at(); }
  std::uint64_t started_ms() const { return started_ms_; }
  bool runs() const { return runs_; }

  void start(bool as_new); // as_new: a start of this moment, cold
  void crash();            // connections are reset, sessions cut, nothing listens
  void vanish();           // silent for good
  void hold(bool held);    // cut off from the network for a while
  void reset_connections(double share);
  void hold_front(int front, bool held); // its open connections
  void take_id(std::uint32_t id) { id_ = id; }
  void single_bytes(bool on) { faults_->single_bytes = on; }
  void delay(double seconds) { faults_->delay = seconds; }
  void late_connections(bool on) { listener_.hold(on); }
  void look(); // ten times a second: ends of sessions, notes, idle connections
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t connections() const { return links_.size(); }
  std::uint64_t accepted() const { return accepted_; }
  Behaviour behaviour;

 private:
  struct Link { // a connection of a front end
    std::shared_ptr<Wire> wire;
    RtspText text;
    int front = 0;
    std::set<std::uint64_t> set_ups; // open on it
    double used_at = 0;
  };
  using LinkRef = std::shared_ptr<Link>;
  struct Session {
    int front = 0;
    double ends_at = 0;
    std::weak_ptr<Link> link; // of its set-up
  };
  struct Release { // said, or still to be said, and once more on the next connection that is opened
    std::uint64_t session;
    int front;
    bool said;
  };
  void accept(asio::ip::tcp::socket socket);
  void on_message(const LinkRef &link, const RtspMessage &message);
  void on_set_up(const LinkRef &link, std::uint64_t session, const RtspMessage &message);
  void answer(const LinkRef &link, std::uint64_t session, double deadline);
  void on_release(const LinkRef &link, std::uint64_t session, const RtspMessage &message);
  void closed(const LinkRef &link);
  void end_session(std::uint64_t session, const char *how, bool tells);
  void say_releases(int front, const LinkRef &opened);
  LinkRef open_link(int front, const std::weak_ptr<Link> &first) const;
  void drop_all(bool by_reset, const char *how);
  void later(double seconds, std::function<void()> call);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  int index_;
  std::uint32_t id_;
  SeededRng rng_;
  std::shared_ptr<WireFaults> faults_ = std::make_shared<WireFaults>();
  Listener listener_;
  std::set<LinkRef> links_;
  std::unordered_map<std::uint64_t, Session> sessions_;
  std::vector<Release> releases_;
  std::map<int, double> noted_at_; // by front end: when it was last sent a note on one of its sessions
  std::uint64_t started_ms_ = 0, life_ = 0, accepted_ = 0;
  bool runs_ = false, gone_silent_ = false;
};

} // namespace snowshore::soak
