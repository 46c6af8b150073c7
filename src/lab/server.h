// A stand-in playout server: real sockets, and behind them a model of places, warm-up, link and rack uplink,
// and of the ways in which it fails. It writes down what its own sockets saw.
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

struct Uplink { // of a rack; shared by its servers
  double capacity = 0, asked = 0;
};

struct ServerFaults {
  bool hang = false, silent = false, nonsense = false;
  double slower = 1, taken = 0;                        // links give so many times less; a share is taken
  double lose_silent = 0, lose_reset = 0, late_by = 0; // shares of answers; seconds
  double report_delay = 0;
};

class StandInServer {
 public:
  StandInServer(asio::io_context &io, telemetry::LoopClock &clock, Trace &trace, const Day &day,
                std::string id, int cell, Uplink &uplink, std::uint64_t seed);
  ~StandInServer();

  void start(bool cold); // listens; on its old port when it had one
  void die();            // connections are reset, nothing listens
  void vanish();         // the process is gone for everyone, but nothing is reset
  void drain();          // answers set-ups as turned away from now on
  void cut_streams();
  void tick(double passed); // once a tenth of a second: shares, reports

  const std::string &id() const { return id_; }
  int cell() const { return cell_; }
  http::Endpoint address() const { return address_; }
  double started() const { return started_; }
  bool up() const { return up_; }
  double asked() const { return asked_; }
  std::size_t plays() const { return plays_.size(); }
  ServerFaults faults;

 private:
  struct Play {
    std::string id, front, boot, title, product;
    int rung = 0, allocation = 0, product_index = 0;
    std::uint64_t step = 0;
    double factor = 1, ready_at = 0, expires_at = 0, started_at = 0;
    bool playing = false, claimed = false;
    std::shared_ptr<http::Exchange> asker;  // the front's set-up, until answered
    std::shared_ptr<http::Exchange> player; // the player's media stream
  };
  struct Follower { // a front's report stream
    std::string front, boot;
    std::shared_ptr<http::Exchange> stream;
    double beat_at = 0, note_at = 0, share_at = 0;
    bool was_short = false;
  };
  struct Due { // a report on its way
    double at;
    std::string front, text;
  };

  void on_request(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_set_up(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_media(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void on_reports(const http::Request &request, const std::shared_ptr<http::Exchange> &exchange);
  void drop_plays(bool silent);
  void finish_set_up(const std::string &id);
  void end_play(const std::string &id, const char *reason, bool tell = true);
  void report_soon(const std::string &front, const serverwire::Report &report, double delay);
  bool falls_over();
  double pace() const; // set-ups a second that it takes now
  double rate_of(const Play &play) const;
  double link() const;
  http::Response load_answer(int status) const;
  bool mute() const { return faults.hang || faults.silent || !up_; }
  double noisy(double value) const;

  asio::io_context &io_;
  telemetry::LoopClock &clock_;
  Trace &trace_;
  const Day &day_;
  std::string id_;
  int cell_;
  Uplink &uplink_;
  mutable std::minstd_rand chance_;
  double true_link_;
  std::unique_ptr<http::Server> server_;
  http::Endpoint address_;
  double started_ = 0, cold_from_ = -1e9;
  bool up_ = false, draining_ = false, fallen_ = false;
  std::map<std::string, Play> plays_;
  std::vector<Follower> followers_;
  std::deque<Due> due_;
  std::deque<double> arrivals_;             // of set-ups, lately
  std::map<std::string, double> withdrawn_; // ends that came before their set-up, or for one that is over
  std::map<std::string, double> unfollowed_since_; // by front: when it last had a report stream
  double asked_ = 0, share_ = 1, told_link_ = 0, told_uplink_ = 0, told_at_ = -1;
};

} // namespace snowshore::lab
