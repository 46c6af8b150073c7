// The platform's servers' door: the core's set-ups, rungs and ends onto kept RTSP connections, what servers
// say into calls on the core; and the watch over servers that hold plays, judged by Liveness.
#pragma once
#include "edge/core.h"
#include "platform/boot.h"
#include "platform/liveness.h"
#include "platform/viewers.h"
#include "rtsp/peer.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace snowshore::platform {

class Servers final : public edge::ServersDoor {
 public:
  struct Counters {
    std::uint64_t ended_done = 0, ended_reset = 0, ended_left = 0, notes = 0, malformed = 0, strangers = 0,
                  early_ends = 0, lost_silent = 0, lost_restarted = 0, lost_gone = 0, made_room = 0,
                  servers_walked = 0;        // looked at one after another, whatever for
    std::array<std::uint64_t, 8> outcomes{}; // of set-ups
    std::array<std::uint64_t, std::size(rtsp::kEndReasonNames)> downs{}; // of connections
  };
  Servers(asio::io_context &io, const Boot &boot, telemetry::Log &log, Viewers &viewers);
  void attach(edge::Core &core) { core_ = &core; }
  void start(); // the watch
  // The planned end: no connection is opened only to listen any more; the next life hears what is said on its
  // own.
  void drain() { draining_ = true; }
  void reload(); // other times and limits stand in the configuration now

  bool owes_releases() const; // not yet handed to a connection that is up
  const Counters &counters() const { return counters_; }
  const rtsp::PeerCounters &peer_counters() const { return peer_counters_; }
  std::size_t connections() const { return peer_counters_.connections; }
  std::size_t listed() const { return listed_; }
  std::size_t with_peer() const { return with_peer_.size(); }
  // What is believed of each server with sessions beside what its sockets carried, into the log at level
  // debug.
  void report();

  void set_up(int play, const edge::Allocation &allocation) override;
  void withdraw(int play, std::string_view why) override;
  void handed_over(int play) override;
  void step(int play, int rung) override;
  void end(int play, std::string_view why) override;
  void probe(int server) override;
  void listed(int server, const edge::ListedServer &entry) override;
  void forget_server(int server) override;

 private:
  struct Site { // one server
    edge::ListedServer entry;
    std::unique_ptr<rtsp::Peer> peer;
    Liveness life;
    bool ask_again = false, known = false; // known: the list has named it
    double set_aside_until = 0;            // its connection was closed to make room; steady clock
    std::uint64_t serial = 0;              // its index may be another's by then
    std::uint64_t sent = 0, started = 0, refused = 0, failed = 0, notes = 0; // since the last report
    explicit Site(const LivenessTerms &terms) : life(terms) {}
  };
  struct EarlyEnd { // a server's release of a play that is not in hand; it is not said again
    std::uint64_t session = 0;
    std::string server; // its id
    Outcome outcome = Outcome::reset;
    double at = 0;
  };
  Site *site(int server) {
    return static_cast<std::size_t>(server) < sites_.size() ? sites_[static_cast<std::size_t>(server)].get()
                                                            : nullptr;
  }
  void share_descriptors(); // of those for servers, over those that may be connected to
  void count_listed(bool before, bool after);
  rtsp::Peer *peer_of(int server); // made where there is none; nothing for a server that has left
  void open(int server);
  void drop_peer(int server);
  void watch_plays(int server, bool stood_still);
  void set_up_ended(int server, std::uint64_t session, rtsp::EndReason end, const rtsp::Message *message,
                    double took);
  void request(int server, std::uint64_t session, const rtsp::Message &message);
  void down(int server, rtsp::EndReason end, bool last);
  // Plays that stood there before that moment are over; counted where there are any.
  void lost(int server, const char *why, std::uint64_t &counter, double before = 1e18);
  LoadReport load_of(const rtsp::Message &message);
  void watch();
  bool make_room();
  std::size_t plays_at(int server) const { return core_->plays().playing_at(server).size(); }

  asio::io_context &io_;
  const Boot &boot_;
  telemetry::Log &log_;
  Viewers &viewers_;
  edge::Core *core_ = nullptr;
  rtsp::Timeouts times_;
  rtsp::Limits limits_;
  LivenessTerms liveness_terms_;
  rtsp::PeerCounters peer_counters_;
  Counters counters_;
  std::vector<std::unique_ptr<Site>> sites_; // by server
  SortedIndices with_peer_;                  // servers to which there is something to say, or was lately
  std::deque<EarlyEnd> early_ends_;
  std::uint64_t next_serial_ = 1;
  std::size_t listed_ = 0; // that have not left
  double watched_at_ = 0;
  bool draining_ = false;
  asio::steady_timer watch_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::platform
