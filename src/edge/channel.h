// The connection of the front end to one media server over HTTP. It sends set-ups, changes of rung, ends and
// probes as requests and keeps the server's report stream open. It decides nothing; it passes each answer and
// report on at once. All of it runs on the core's executor, and no callback is made during a call.
#pragma once
#include "edge/backoff.h"
#include "edge/gateways.h"
#include "http/client.h"
#include "serverwire/protocol.h"

#include <asio.hpp>

#include <memory>
#include <string>
#include <unordered_set>

namespace snowshore::edge {

// Seconds.
struct ReportTimeouts {
  // A report stream without a line for this long is reopened.
  double max_silence = 3;
  // A server without a report line for this long is lost.
  double lost_after = 6;
  // For which a probe waits for its answer.
  double probe_timeout = 0.25;
};

// Names this front end and its current run towards servers.
struct FrontIdentity {
  std::string front_name;
  // Drawn anew at each start of the process.
  std::string boot_id;
};

class Channel {
 public:
  struct Events {
    // A report line about one play.
    std::function<void(int server, const serverwire::Report &)> report;
    // The server's report stream opened; `hello` names the plays that the server holds for this front end.
    // Plays that were set up after requested_at may be missing. restarted: the server's process has been
    // restarted since the previous hello.
    std::function<void(int server, const serverwire::Report &hello, double requested_at, bool restarted)>
        hello;
    // The server is lost, and all plays on it count as ended.
    std::function<void(int server, const char *reason)> lost;
    // An answer, header or report line of the server could not be parsed.
    std::function<void(int server)> malformed;
    // A set-up was answered after its time-out.
    std::function<void(int server)> late_answer;
  };

  // The references must outlive the channel. seed: for the delays between reopenings. now: loop clock,
  // seconds.
  Channel(asio::io_context &io, http::Client &client, int server, http::Endpoint address,
          const FrontIdentity &identity, const ReportTimeouts &timeouts, std::uint64_t seed,
          std::function<double()> now, const Events &events);
  ~Channel();

  // Replaces the address: closes idle connections to the old one and reopens the report stream.
  void set_address(const http::Endpoint &address);
  const http::Endpoint &address() const { return address_; }
  // Sends a set-up and opens the report stream. `done` is called once with the result, unless the returned
  // request is cancelled; timeout in seconds. Where the play may run on the server without a success being
  // reported, its end is sent too.
  http::Client::RequestId send_set_up(const serverwire::SetUpRequest &set_up, double timeout,
                                      std::function<void(const SetUpResult &)> done);
  // Sends a change of rung once; it is not repeated where no answer comes.
  void send_rung(const std::string &play, int rung);
  // Sends the end of a play, and repeats it until the server answers or no attempt is left.
  void send_end(const std::string &play, int allocation, std::string_view reason, int attempts_left = 3);
  // Asks the server whether it answers and for its load; `done` is called once.
  void send_probe(std::function<void(Outcome, const LoadReport &)> done);
  // Keeps the report stream open from now on.
  void open_report_stream();
  void close_report_stream();

 private:
  // `reopening` waits for the delay before the next attempt.
  enum class StreamState { closed, opening, open, reopening };
  // The only function that changes stream_state_.
  void set_stream_state(StreamState next);
  void request_report_stream();
  void stream_ended(http::EndReason reason);
  void schedule_reopen();
  // Handles one line of the report stream.
  void on_line(std::string_view line);
  // Checks at an interval whether the stream is silent, and posts itself again.
  void check_silence();
  // The load report in the CMSD-Dynamic header; empty where there is none.
  LoadReport load_of(const http::Response &response);

  asio::io_context &io_;
  http::Client &client_;
  int server_;
  http::Endpoint address_;
  const FrontIdentity &identity_;
  const ReportTimeouts &timeouts_;
  // Delays between attempts to open the report stream.
  Backoff backoff_;
  std::function<double()> now_;
  const Events &events_;
  asio::steady_timer reopen_timer_, silence_timer_;
  StreamState stream_state_ = StreamState::closed;
  http::Client::RequestId stream_request_ = 0;
  serverwire::LineSplitter line_splitter_;
  // Seconds of the loop clock; server_started_at_ is the server's own time of its start.
  double requested_at_ = 0, last_line_at_ = 0, last_check_at_ = 0, server_started_at_ = 0;
  // Events::lost was called, and no line has come since.
  bool loss_reported_ = false;
  // Orders the changes of rung towards the server.
  std::uint64_t rung_sequence_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::edge
