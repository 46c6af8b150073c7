// All processes and stand-ins of one run, and the moves that faults are made of: restarts with their
// bookkeeping, replacement of servers, changes of the list.
#pragma once
#include "soak/clients.h"
#include "soak/discovery.h"
#include "soak/front_process.h"
#include "soak/servers.h"

#include <functional>
#include <memory>
#include <vector>

namespace snowshore::soak {

class Fleet {
 public:
  Fleet(asio::io_context &io, const Scenario &scenario, Ledger &ledger, FrontFiles files, double start);
  ~Fleet();

  void start_all();
  bool all_ready() const;
  void start_traffic();
  void stop_traffic();
  void terminate(int front, bool comes_back); // SIGTERM, SIGKILL at the earliest moment
  void kill(int front, double back_after);
  void reload(int front);
  void move_discovery(); // every front end has to be told by a reload
  void cut(int front, bool is_cut);
  void look();     // every 10 ms
  void throttle(); // every ms
  bool any_runs() const;

  void announce(int server, ServerState state); // a change of the list; kept in the ledger
  void repeat(int server);                      // a change that says what is known already
  void restart_server(int server, double back_after, bool new_id);

  StandInServer &server(int index) { return *servers_[static_cast<std::size_t>(index)]; }
  Clients &clients(int front) { return *clients_[static_cast<std::size_t>(front)]; }
  Discovery &discovery() { return discovery_; }
  int servers() const { return static_cast<int>(servers_.size()); }
  int fronts() const { return static_cast<int>(fronts_.size()); }
  SeededRng &rng() { return rng_; }
  void later(double seconds, std::function<void()> call);
  void read_logs(); // for what the front ends' own guards denied
  void measure();   // once a second
  struct Usage {
    double cpu = 0, peak_mb = 0;
    int descriptors = 0;
  };
  Usage usage_of(int front) const;
  std::uint64_t connections() const;
  std::uint64_t list_bytes() const { return discovery_.bytes(); }

 private:
  struct Life { // of a front end's process
    bool ready = false, planned = false, comes_back = true, needs_reload = false, killed = false;
    double ready_at = 0, kill_at = -1, back_at = -1;
    double cpu_before = 0, peak_mb = 0; // of the lives before, and at most
    int descriptors = 0;
  };
  void start_front(int front);
  ListEntry entry(int server) const;
  void on_end(int front, int status);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  FrontFiles files_;
  SeededRng rng_;
  Listener blackhole_;
  Discovery discovery_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
  std::vector<std::unique_ptr<Clients>> clients_;
  std::vector<std::unique_ptr<FrontProcess>> fronts_;
  std::vector<Life> lives_;
  std::uint32_t next_id_;
  int looks_ = 0;
  bool traffic_ = false;
};

} // namespace snowshore::soak
