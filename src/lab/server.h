// Declares the simulated playout server: real sockets in front of a model of its capacity, its warm-up, its
// link and its rack's uplink, and of the ways in which it fails. It writes to the trace what its own sockets
// observe.
#pragma once
#include "http/server.h"
#include "lab/day.h"
#include "lab/trace.h"
#include "serverwire/protocol.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace snowshore::lab {

// A rack's uplink, which its servers share. Rates are in bytes per second.
struct Uplink {
  double capacity = 0, demand = 0;
};

// The faults that are in effect at a server.
struct ServerFaults {
  // The server answers nothing and sends no data; it drops its answers; its answers to set-ups are malformed.
  bool hang = false, silent = false, malformed_answers = false;
  // The link is divided by link_divisor, and competing traffic takes a share of it.
  double link_divisor = 1, competing_share = 0;
  // The shares of the answers to set-ups that are dropped or reset, and the seconds by which they are held
  // back.
  double dropped_share = 0, reset_share = 0, answer_delay = 0;
  // The seconds by which reports other than ends are held back in addition to their usual delay.
  double report_delay = 0;
};

// A playout server on a loopback port. All calls and handlers run on the executor of `io`.
class SimulatedServer {
 public:
  SimulatedServer(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day,
                  std::string id, int cell, Uplink &uplink, std::uint64_t seed);
  ~SimulatedServer();

  // Starts to listen, on its earlier port if it had one. A server that does not start cold has been up for
  // 1000 s.
  void start(bool cold);
  // Stops: the connections are reset and nothing listens.
  void crash();
  // Stops silently: nothing is answered any more, and nothing is reset.
  void vanish();
  // From now on, declines all set-ups.
  void drain();
  // Resets the report streams of all front ends.
  void cut_report_streams();
  // Updates the plays' shares of the link and sends the reports that are due. DayRun calls it every 0.1 s
  // with that interval as `elapsed`; with 0 only the load figures are updated.
  void tick(double elapsed);

  const std::string &id() const { return id_; }
  int cell() const { return cell_; }
  http::Endpoint address() const { return address_; }
  double started() const { return started_; }
  bool up() const { return up_; }
  // Returns the sum of the rates of its plays, in bytes per second.
  double demand() const { return demand_; }
  std::size_t plays() const { return plays_.size(); }
  ServerFaults faults;

 private:
  struct Play {
    std::string id, front, boot, title, product;
    int rung = 0, allocation = 0, product_index = 0;
    std::uint64_t step = 0;
    double rate_factor = 1, ready_at = 0, expires_at = 0, started_at = 0;
    bool playing = false, claimed = false;
    // The front end's set-up request, until it is answered.
    std::shared_ptr<http::Exchange> set_up;
    // The player's media stream.
    std::shared_ptr<http::Exchange> media;
  };
  // The report stream of a front end.
  struct Subscriber {
    std::string front, boot;
    std::shared_ptr<http::Exchange> stream;
    // When each kind of report was last sent.
    double last_keepalive = 0, last_load_report = 0, last_share_report = 0;
    bool was_short = false;
  };
  // A report that is sent at a later time.
  struct PendingReport {
    double at;
    std::string front, text;
  };

  void on_request(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_set_up(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_media(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_reports(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void drop_plays(bool silent);
  void reserve_port();
  void finish_set_up(const std::string &id);
  void end_play(const std::string &id, const char *reason, bool send_report = true);
  void send_report(const std::string &front, const serverwire::Report &report, double delay);
  // Counts a set-up and returns whether the server fails under it because it is still cold.
  bool is_overloaded();
  // Returns the number of set-ups per second that the server takes at present.
  double set_up_rate() const;
  double rate_of(const Play &play) const;
  // Returns the rate that the link has left under the faults in effect.
  double link() const;
  // Returns an answer that carries the server's load.
  http::Response make_response(int status) const;
  // Returns whether the server answers nothing at present.
  bool unresponsive() const { return faults.hang || faults.silent || !up_; }
  // Returns `value` with a measurement error.
  double with_noise(double value) const;

  asio::io_context &io_;
  // Bound to the server's port, without listening, between a crash and the next start.
  asio::ip::tcp::acceptor reserved_port_{io_};
  telemetry::LoopClock &clock_;
  Trace &trace_;
  const Day &day_;
  std::string id_;
  int cell_;
  Uplink &uplink_;
  mutable std::minstd_rand random_;
  // The rate of the link without faults. It differs from the configured rate by the day's link_spread.
  double actual_link_;
  std::unique_ptr<http::Server> server_;
  http::Endpoint address_;
  double started_ = 0, cold_from_ = -1e9;
  bool up_ = false, draining_ = false, failed_ = false;
  std::map<std::string, Play> plays_;
  std::vector<Subscriber> subscribers_;
  // Ordered by time.
  std::deque<PendingReport> pending_reports_;
  // The times of the set-ups within the last fall_span.
  std::deque<double> arrivals_;
  // When plays were withdrawn, by id. A withdrawal may arrive before its set-up, or after the play has ended.
  std::map<std::string, double> withdrawn_;
  // When each front end last had a report stream.
  std::map<std::string, double> last_subscribed_;
  double demand_ = 0, share_ = 1, reported_link_ = 0, reported_uplink_ = 0, reported_at_ = -1;
};

} // namespace snowshore::lab
