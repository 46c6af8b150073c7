// The soak's clients of one front end: they ask for sessions over the platform's JSON lines on connections
// that they keep and share, give up, come again, end sessions, and hand their sessions over to a front end
// that came back.
#pragma once
#include "soak/ledger.h"
#include "soak/wire.h"

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
          asio::ip::tcp::endpoint at, std::uint64_t seed);
  // Where a server's id stands for `at`; the front end's list knows servers by it.
  std::function<std::string(std::uint64_t session)> server_name_of;

  void front_is_up();  // hands active sessions over once the first test is passed
  void front_killed(); // its connections end at once
  void front_gone();
  void test(std::function<void()> on_passed); // until it passes, ten times a second
  // New requests go to the front end (as the platform's distributor does); open connections are used to the
  // end.
  void take_part(bool takes_part) { takes_part_ = takes_part; }
  void crowd(double factor) { factor_ = factor; }
  void start();
  void stop() { asks_ = false; }
  void open_idle(int count); // connections that say nothing
  void misbehave(int count); // connections that say what can't be read
  void look();               // ten times a second
  std::size_t active() const { return active_.size(); }

 private:
  struct Link {
    std::shared_ptr<Wire> wire;
    std::string heard;
    std::map<std::uint64_t, double> open; // requests without an answer: when written
    std::set<std::uint64_t> sessions;     // set up on it
    bool idle = false, bad = false;
    double opened_at = 0;
  };
  using LinkRef = std::shared_ptr<Link>;
  struct Request {
    int service_class = 0, home = 0, copies = 1, top = 3;
    std::uint64_t title = 0, viewer = 0;
    double left = 1;
    bool again = false, sent_again = false;
  };
  void ask_later();
  void ask(bool again);
  void send(std::uint64_t session, const LinkRef &link);
  void connect(std::function<void(LinkRef)> then); // nothing where the connection does not come up
  LinkRef any_open();
  void on_line(const LinkRef &link, std::string_view line);
  void on_final(const LinkRef &link, std::uint64_t session, int cause, double wait);
  void closed(const LinkRef &link);
  void leave(std::uint64_t session, const LinkRef &link);
  void end_session(std::uint64_t session);
  std::string start_line(std::uint64_t session, const Request &request, const std::string &at) const;
  void later(double seconds, std::function<void()> call);

  asio::io_context &io_;
  const Scenario &scenario_;
  Ledger &ledger_;
  int front_;
  asio::ip::tcp::endpoint at_;
  SeededRng rng_;
  std::shared_ptr<WireFaults> faults_ = std::make_shared<WireFaults>();
  std::set<LinkRef> links_;
  std::map<std::uint64_t, Request> requests_; // asked or active
  std::set<std::uint64_t> active_;
  std::function<void()> on_test_passed_;
  std::uint64_t next_ = 1;
  double factor_ = 1, tested_since_ = 0;
  bool asks_ = false, takes_part_ = false, killed_ = false;
};

} // namespace snowshore::soak
