// All that the front says to one server: set-ups, changes of rung, ends, probes, and its kept report stream.
// It decides nothing; what the server says goes to Events as it comes. One executor; no call comes back
// during a call.
#pragma once
#include "edge/backoff.h"
#include "edge/doors.h"
#include "http/client.h"
#include "serverwire/protocol.h"

#include <asio.hpp>

#include <memory>
#include <string>
#include <unordered_set>

namespace snowshore::edge {

struct ReportTimes { // seconds
  double silence = 3, lost_after = 6, probe_time = 0.25;
};

struct Identity { // of this front and of this start of it
  std::string front, boot;
};

class Channel {
 public:
  struct Events {
    std::function<void(int server, const serverwire::Report &)> report;
    // The server's stream opened: what it holds for this front. Plays set up since `asked` may be missing.
    std::function<void(int server, const serverwire::Report &hello, double asked, bool restarted)> hello;
    std::function<void(int server, const char *why)> lost; // all plays there count as ended
    std::function<void(int server)> malformed;             // something from it could not be read
    std::function<void(int server)> late;                  // an answer after its time-out
  };

  Channel(asio::io_context &io, http::Client &client, int server, http::Endpoint address,
          const Identity &identity, const ReportTimes &times, std::uint64_t seed, std::function<double()> now,
          const Events &events);
  ~Channel();

  void set_address(const http::Endpoint &address);
  const http::Endpoint &address() const { return address_; }
  http::Client::RequestId set_up(const serverwire::SetUpRequest &set_up, double time_out,
                                 std::function<void(const SetUpResult &)> done);
  void set_rung(const std::string &play, int rung);
  void end(const std::string &play, int allocation, std::string_view reason, int tries = 3);
  void probe(std::function<void(Outcome, const LoadReport &)> done);
  void follow(); // keeps the report stream open from now on
  void stop_following();

 private:
  enum class Stream { closed, opening, open, waiting };
  void become(Stream next);
  void open_stream();
  void stream_ended(http::EndReason ending);
  void reopen_later();
  void line(std::string_view text);
  void watch();
  LoadReport load_of(const http::Response &response);

  asio::io_context &io_;
  http::Client &client_;
  int server_;
  http::Endpoint address_;
  const Identity &identity_;
  const ReportTimes &times_;
  Backoff pauses_; // between attempts to open a report stream
  std::function<double()> now_;
  const Events &events_;
  asio::steady_timer reopen_timer_, watch_timer_;
  Stream stream_ = Stream::closed;
  http::Client::RequestId stream_id_ = 0;
  serverwire::LineSplitter lines_;
  double asked_at_ = 0, last_heard_ = 0, watched_at_ = 0, started_ = 0;
  bool told_lost_ = false;
  std::uint64_t step_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::edge
