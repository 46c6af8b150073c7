// The soak's discovery: one list of servers with numbered changes, and the connections on which front ends
// subscribe to them. It can be down, silent, mute or late, or stop in the middle of a frame. It has two
// addresses, so that it can move.
#pragma once
#include "soak/addresses.h"
#include "soak/faulty_stream.h"
#include "soak/ledger.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snowshore::soak {

// The values are those of the protocol.
enum class ServerState { active = 0, leaving = 1, left = 2 };

struct ListEntry {
  std::uint32_t id = 0;
  asio::ip::tcp::endpoint endpoint;
  ServerState state = ServerState::active;
  int zone = 0, cell = 0;
  std::uint64_t start_time_ms = 0; // Unix milliseconds; 0 for a warm server
};

class Discovery {
 public:
  Discovery(asio::io_context &io, const Scenario &scenario, Ledger &ledger, double start);
  // `listener` is 0 or 1.
  asio::ip::tcp::endpoint endpoint(int listener) const {
    return listeners_[static_cast<std::size_t>(listener)]->endpoint();
  }
  int active_listener() const { return active_listener_; }

  // Applies the entries as one change, sends it to the subscribers and returns its number.
  int apply_change(const std::vector<ListEntry> &entries);
  const std::map<std::uint32_t, ListEntry> &list() const { return list_; }
  // Returns the number of the last change.
  int last_change() const { return static_cast<int>(frames_.size()); }

  // While down, connections are refused, and those that were open have been reset.
  void set_down(bool is_down);
  // Silence stalls the subscriptions that are open; new ones work.
  void set_silent(bool is_silent);
  // While mute, new connections are accepted, and no subscription gets anything.
  void set_mute(bool is_mute);
  // While late, new connections are not established.
  void set_late(bool is_late);
  // Sends half a frame on each subscription and then closes it.
  void send_half_frames();
  // Moves to the other address. Subscriptions at the old one stall and are closed a moment later.
  void move();
  // Stalls the open subscriptions of one front end.
  void set_front_stalled(int front, bool stalled);
  void poll(); // called ten times a second
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Subscription {
    std::shared_ptr<FaultyStream> stream;
    // `listener` is the index of the one that accepted the connection.
    int front = 0, last_sent_change = 0, listener = 0;
    bool hello_received = false, paused = false;
    std::string hello; // the number of the last change that the front end knows, 8 bytes, big-endian
    double last_heartbeat_at = 0;
  };
  using SubscriptionRef = std::shared_ptr<Subscription>;
  void accept(int listener, asio::ip::tcp::socket socket);
  // Sends the changes that the subscriber lacks, unless the subscription is paused.
  void send_pending(const SubscriptionRef &subscription);
  void record_reachable(bool is_reachable);
  void reset_subscriptions();

  asio::io_context &io_;
  Ledger &ledger_;
  const Scenario &scenario_;
  int front_ends_;
  std::shared_ptr<StreamFaults> faults_ = std::make_shared<StreamFaults>();
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::set<SubscriptionRef> subscriptions_;
  std::map<std::uint32_t, ListEntry> list_;
  std::vector<std::string> frames_; // of all changes, indexed by number - 1
  std::uint64_t bytes_sent_ = 0;    // bytes of changes
  int active_listener_ = 0;
  bool mute_ = false;
  double old_address_closes_at_ = -1; // below 0: no move is under way
};

} // namespace snowshore::soak
