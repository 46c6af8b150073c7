// Declares the simulated players. They ask the front ends for plays over HTTP with CMCD, follow the redirects
// to the servers, watch, leave, and ask again after a decline or a break. They write to the trace what their
// own sockets observe.
#pragma once
#include "http/client.h"
#include "lab/day.h"
#include "lab/trace.h"

#include <asio.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace snowshore::lab {

// All players of a day. All calls and handlers run on the executor of `io`.
class Players {
 public:
  // `front_address` returns the address of a front end, or nothing if it was never up.
  Players(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day, std::uint64_t seed,
          std::function<std::optional<http::Endpoint>(int front)> front_address);
  void start();
  // Ends the arrival of viewers and their retries; plays that run go on.
  void stop_asking() { asking_ = false; }
  // Adds viewers at `rate` per second, who ask for the `titles` least popular titles.
  void set_crowd(double rate, int titles) {
    crowd_rate_ = rate;
    crowd_titles_ = titles;
  }
  // Sets the share of the players that leave before their answer.
  void set_early_leavers(double share) { early_leaver_share_ = share; }
  // Opens connections to a front end on which nothing is sent.
  void open_silent_connections(int count, int front);
  // Opens connections to a front end on which a request is sent one byte at a time.
  void open_slow_connections(int count, int front);
  // Closes the connections that the two functions above opened.
  void close_idle_connections() { idle_connections_.clear(); }
  // Returns the number of requests that have no answer yet.
  std::size_t waiting() const { return waiting_; }
  // Returns the number of open media streams.
  std::size_t watching() const { return watching_; }
  // Returns the number of requests so far.
  std::uint64_t asked() const { return asked_; }

 private:
  struct Viewer {
    std::uint64_t number = 0;
    int title = 0, product = 0, tries = 0;
    double play_length = 0, top_bitrate_kbps = 0;
    bool again = false, moved = false;
  };
  void schedule_arrival();
  void ask(std::shared_ptr<Viewer> viewer);
  void on_answer(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &front,
                 const http::Result &result);
  void watch(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &location,
             double asked_at);
  void maybe_retry(const std::shared_ptr<Viewer> &viewer, double pause);
  // Returns a random number between 0 and 1.
  double draw() { return uniform_(random_); }
  void send_slowly(std::shared_ptr<asio::ip::tcp::socket> socket, std::size_t position);

  asio::io_context &io_;
  telemetry::LoopClock &clock_;
  Trace &trace_;
  const Day &day_;
  std::minstd_rand random_;
  boost::random::uniform_real_distribution<> uniform_{0, 1};
  boost::random::discrete_distribution<int> title_distribution_, product_distribution_;
  std::function<std::optional<http::Endpoint>(int)> front_address_;
  std::vector<std::unique_ptr<http::Client>> front_clients_;
  http::Client server_client_;
  asio::steady_timer arrival_timer_;
  std::list<std::shared_ptr<asio::ip::tcp::socket>> idle_connections_;
  bool asking_ = false;
  double crowd_rate_ = 0, early_leaver_share_ = 0;
  int crowd_titles_ = 1;
  std::uint64_t next_viewer_ = 0, next_ask_ = 0, asked_ = 0;
  std::size_t waiting_ = 0, watching_ = 0;
};

} // namespace snowshore::lab
