// The soak's clients of one front end. They ask for sessions over the platform's JSON lines on connections
// that they keep and share, give up, ask again, end sessions, and hand their sessions over to a front end
// that restarted.
#pragma once
#include "soak/faulty_stream.h"
#include "soak/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace snowshore::soak {

class Clients {
 public:
  Clients(asio::io_context &io, const Scenario &scenario, Ledger &ledger, int front,
          asio::ip::tcp::endpoint front_endpoint, std::uint64_t seed);
  // Returns the name in the list of the server that holds the session, for the field `at` of a hand-over;
  // empty if there is none.
  std::function<std::string(std::uint64_t session)> server_name_of;
  // Called when the hand-over of a session has been written.
  std::function<void(std::uint64_t)> on_handed_over;

  // Hands the active sessions over, once the first health check has passed.
  void on_front_ready();
  // Marks that connections which end from now on end by SIGKILL.
  void on_front_killed();
  // Closes all connections.
  void on_front_exited();
  // Sends a health check ten times a second until one passes, then calls `on_passed`.
  void start_health_check(std::function<void()> on_passed);
  // Sets whether the platform's distributor sends new clients to the front end. Without it, requests use open
  // connections only.
  void set_in_rotation(bool in_rotation) { in_rotation_ = in_rotation; }
  void set_rate_factor(double factor) { rate_factor_ = factor; }
  void start();
  void stop() { generating_ = false; }
  // Opens connections on which nothing is sent.
  void open_idle_connections(int count);
  // Opens connections and sends malformed input on each.
  void send_malformed(int count);
  void poll(); // called ten times a second
  std::size_t active_count() const { return active_.size(); }

 private:
  struct Connection {
    std::shared_ptr<FaultyStream> stream;
    std::string received;                       // bytes of an incomplete line
    std::map<std::uint64_t, double> unanswered; // requests without an answer, and when each was written
    std::set<std::uint64_t> sessions;           // those set up on the connection
    bool idle = false, malformed = false;
    double opened_at = 0;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  struct Request {
    int service_class = 0, home_cell = 0, copies = 1, top_rung = 3;
    std::uint64_t title = 0, viewer = 0;
    double time_left = 1; // seconds
    // `is_retry`: the client asks again after a refusal. `resent`: the same request was sent a second time.
    bool is_retry = false, resent = false;
  };
  void schedule_request();
  void issue_request(bool is_retry);
  void send_request(std::uint64_t session, const ConnectionRef &connection);
  // Passes null to `then` if the connection is not established.
  void connect(std::function<void(ConnectionRef)> then);
  ConnectionRef random_open_connection();
  void on_line(const ConnectionRef &connection, std::string_view line);
  void on_final(const ConnectionRef &connection, std::uint64_t session, int cause, double wait);
  void on_closed(const ConnectionRef &connection);
  void give_up(std::uint64_t session, const ConnectionRef &connection);
  void end_session(std::uint64_t session);
  // `at` is the name of the server that holds the session in a hand-over, else empty.
  std::string start_line(std::uint64_t session, const Request &request, const std::string &at) const;
  void run_after(double seconds, std::function<void()> call);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  int front_;
  asio::ip::tcp::endpoint front_endpoint_;
  SeededRng rng_;
  std::shared_ptr<StreamFaults> faults_ = std::make_shared<StreamFaults>();
  std::set<ConnectionRef> connections_;
  std::map<std::uint64_t, Request> requests_; // without an answer, or active
  std::set<std::uint64_t> active_;
  std::function<void()> on_health_check_passed_;
  std::uint64_t next_request_ = 1;
  double rate_factor_ = 1, health_check_since_ = 0;
  bool generating_ = false, in_rotation_ = false, front_killed_ = false;
};

} // namespace snowshore::soak
