// All processes and stand-ins of one run, and the operations that faults consist of: restarts of front ends,
// replacement of servers, changes of the list. Each operation records its events in the ledger.
#pragma once
#include "soak/clients.h"
#include "soak/discovery.h"
#include "soak/front_process.h"
#include "soak/servers.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace snowshore::soak {

class Fleet {
 public:
  Fleet(asio::io_context &io, const Scenario &scenario, Ledger &ledger, FrontLaunchOptions launch_options,
        double start);
  ~Fleet();

  void start_all();
  bool all_ready() const;
  void start_traffic();
  void stop_traffic();
  // Sends SIGTERM, and SIGKILL at the earliest moment that the platform allows.
  void terminate(int front, bool restarts);
  // Sends SIGKILL and restarts the front end after the delay in seconds.
  void kill(int front, double restart_delay);
  void reload(int front);
  // Moves discovery to its other address and writes it to all configurations. Each front end learns of it
  // only by a reload, which follows if the caller sends none.
  void move_discovery();
  // Cuts the front end off from all servers and from discovery, or ends the cut.
  void set_isolated(int front, bool isolated);
  void poll();     // called every 10 ms
  void throttle(); // called every millisecond
  bool any_front_running() const;

  // Changes the server's state in the list.
  void change_server_state(int server, ServerState state);
  // Sends a change that repeats the server's current entry.
  void repeat_list_entry(int server);
  // Crashes the server and starts it cold after the delay in seconds, with a new id if asked for.
  void restart_server(int server, double restart_delay, bool new_id);
  // The server ends and starts cold at the same address after `lost_for` seconds; the list tells of that
  // `told_delay` seconds later.
  void lose_server(int index, double lost_for, double told_delay);

  // Ends the server's process; another server's process starts at its address after a delay, and the list
  // tells of either up to kTakeoverToldWithin seconds later, in any order.
  void take_over_address(int server);

  StandInServer &server(int index) { return *servers_[static_cast<std::size_t>(index)]; }
  Clients &clients(int front) { return *clients_[static_cast<std::size_t>(front)]; }
  Discovery &discovery() { return discovery_; }
  int server_count() const { return static_cast<int>(servers_.size()); }
  int front_count() const { return static_cast<int>(fronts_.size()); }
  SeededRng &rng() { return rng_; }
  void run_after(double seconds, std::function<void()> call);
  // Searches the logs for messages that the front ends' own send guards denied.
  void check_logs();
  void sample_usage(); // called once a second
  struct Usage {       // of one front end over all its processes; peaks are the highest samples
    double cpu_seconds = 0, peak_mb = 0;
    int descriptors = 0;
  };
  Usage usage_of(int front) const;
  // Returns how many connections the servers have accepted, including those that stalled listeners make.
  std::uint64_t accepted_connections() const;
  std::uint64_t list_bytes_sent() const { return discovery_.bytes_sent(); }

 private:
  struct FrontState { // of one front end's process
    // `terminating` is set once SIGTERM was sent, `restarts` if another process follows this one.
    bool ready = false, terminating = false, restarts = true, needs_reload = false, killed = false;
    double ready_at = 0, kill_at = -1, restart_at = -1; // below 0: not planned
    // CPU time of the earlier processes, and the highest memory and descriptors of all of them.
    double earlier_cpu_seconds = 0, peak_mb = 0;
    int descriptors = 0;
  };
  void start_front(int front);
  ListEntry list_entry(int server) const;
  void on_front_exit(int front, int status);
  void tell_takeover(int index, bool of_end, bool of_start, const ListEntry &gone);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  FrontLaunchOptions launch_options_;
  SeededRng rng_;
  Listener blackhole_; // never completes a handshake
  Discovery discovery_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::vector<std::unique_ptr<Clients>> clients_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  std::vector<FrontState> front_states_;
  std::uint32_t next_server_id_;
  // Servers whose address has changed hands while the list has not told all of it; nothing else happens to
  // them meanwhile.
  std::set<int> being_replaced_;
  int polls_ = 0;
  bool traffic_running_ = false;
};

} // namespace snowshore::soak
