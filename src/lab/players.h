// Stand-in players: they ask fronts for plays over HTTP with CMCD, follow redirects to servers, watch, leave,
// and come again after a decline or a break. They write down what their own sockets saw.
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

class Players {
 public:
  // where: a front's address, none while it was never up.
  Players(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day, std::uint64_t seed,
          std::function<std::optional<http::Endpoint>(int front)> where);
  void start();
  void stop_asking() { asking_ = false; }
  void crowd(double a_second, int titles) { crowd_rate_ = a_second, crowd_titles_ = titles; }
  void leavers(double share) { leavers_ = share; }
  void open_silent(int count, int front);
  void open_slow(int count, int front);
  void close_idle() { silent_.clear(); }
  std::size_t waiting() const { return waiting_; }
  std::size_t watching() const { return watching_; }
  std::uint64_t asked() const { return asked_; }

 private:
  struct Viewer {
    std::uint64_t number = 0;
    int title = 0, product = 0, tries = 0;
    double length = 0, top_kbps = 0;
    bool again = false, moved = false;
  };
  void arrive();
  void ask(std::shared_ptr<Viewer> viewer);
  void answered(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &front,
                const http::Result &result);
  void watch(const std::shared_ptr<Viewer> &viewer, std::uint64_t ask, const std::string &location,
             double asked_for);
  void come_again(const std::shared_ptr<Viewer> &viewer, double pause);
  double lot() { return uniform_(chance_); }
  void feed(std::shared_ptr<asio::ip::tcp::socket> socket, std::size_t at);

  asio::io_context &io_;
  telemetry::LoopClock &clock_;
  Trace &trace_;
  const Day &day_;
  std::minstd_rand chance_;
  boost::random::uniform_real_distribution<> uniform_{0, 1};
  boost::random::discrete_distribution<int> title_, product_;
  std::function<std::optional<http::Endpoint>(int)> where_;
  std::vector<std::unique_ptr<http::Client>> to_fronts_;
  http::Client to_servers_;
  asio::steady_timer arrival_;
  std::list<std::shared_ptr<asio::ip::tcp::socket>> silent_;
  bool asking_ = false;
  double crowd_rate_ = 0, leavers_ = 0;
  int crowd_titles_ = 1;
  std::uint64_t next_viewer_ = 0, next_ask_ = 0, asked_ = 0;
  std::size_t waiting_ = 0, watching_ = 0;
};

} // namespace snowshore::lab
