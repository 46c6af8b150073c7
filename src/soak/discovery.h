// The soak's discovery: one list of servers, numbered changes, and a call that front ends make to follow
// them. It can be down, silent, mute, late, or stop in the middle of a frame; two addresses, so that it can
// move.
#pragma once
#include "soak/addresses.h"
#include "soak/ledger.h"
#include "soak/wire.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snowshore::soak {

enum class ServerState { active = 0, leaving = 1, left = 2 };

struct ListEntry {
  std::uint32_t id = 0;
  asio::ip::tcp::endpoint at;
  ServerState state = ServerState::active;
  int zone = 0, cell = 0;
  std::uint64_t started_ms = 0;
};

class Discovery {
 public:
  Discovery(asio::io_context &io, const Scenario &scenario, Ledger &ledger, double start);
  asio::ip::tcp::endpoint at(int place) const { return listeners_[static_cast<std::size_t>(place)]->at(); }
  int place() const { return place_; }

  int change(const std::vector<ListEntry> &entries); // its number
  const std::map<std::uint32_t, ListEntry> &list() const { return list_; }
  int last() const { return static_cast<int>(frames_.size()); }

  void down(bool is_down);
  void silent(bool is_silent); // open calls stall; new ones work
  void mute(bool is_mute);     // new calls are accepted and hear nothing, open ones neither
  void late(bool is_late);     // new calls do not come up
  void half();                 // half a frame on each open call, then its end
  void move();                 // to the other address; the old one stops a moment later
  void hold_front(int front, bool held);
  void look(); // ten times a second
  std::uint64_t bytes() const { return bytes_; }

 private:
  struct Call {
    std::shared_ptr<Wire> wire;
    int front = 0, sent = 0, place = 0;
    bool greeted = false, stalled = false;
    std::string hello;
    double beat_at = 0;
  };
  using CallRef = std::shared_ptr<Call>;
  void accept(int place, asio::ip::tcp::socket socket);
  void bring(const CallRef &call);
  void reachable(bool is_reachable);
  void end_calls();

  asio::io_context &io_;
  Ledger &ledger_;
  const Scenario &scenario_;
  int front_ends_;
  std::shared_ptr<WireFaults> faults_ = std::make_shared<WireFaults>();
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::set<CallRef> calls_;
  std::map<std::uint32_t, ListEntry> list_;
  std::vector<std::string> frames_; // of changes 2 and later, by number - 1
  std::uint64_t bytes_ = 0;
  int place_ = 0;
  bool mute_ = false;
  double old_ends_at_ = -1;
};

} // namespace snowshore::soak
