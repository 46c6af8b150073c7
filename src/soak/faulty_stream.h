// One TCP connection of a stand-in, and the network faults on it. Received bytes are passed on at once; sent
// bytes go out late, one by one, or not at all while the connection is stalled.
#pragma once
#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snowshore::soak {

// Faults of all connections of one stand-in. A connection reads them before each write.
struct StreamFaults {
  bool stalled = false;      // Nothing is written.
  bool single_bytes = false; // Each write sends one byte.
  double delay = 0;          // seconds before a message is written
};

// Returns the steady clock's time in seconds.
double now();

class FaultyStream : public std::enable_shared_from_this<FaultyStream> {
 public:
  struct Events {
    std::function<void(std::string_view)> on_bytes;
    // The other side has closed or reset the connection; no further event follows. Not called after close()
    // or reset().
    std::function<void()> on_closed;
  };
  FaultyStream(asio::ip::tcp::socket socket, std::shared_ptr<const StreamFaults> faults);
  // Starts to read. The events are called on the socket's executor.
  void start(Events events);
  // Queues the text. `on_written` is called once its last byte has been passed to the operating system.
  void send(std::string text, std::function<void()> on_written = {});
  // Closes the connection in order; text that is still queued is dropped.
  void close();
  // Closes the connection so that the other side sees a reset.
  void reset();
  // Shuts down the sending side once the queue is written; reading goes on.
  void shut_down_sending();
  bool is_open() const { return open_; }
  // Stalls this connection only; see StreamFaults for all connections of the stand-in.
  void set_stalled(bool stalled) { stalled_ = stalled; }
  bool is_stalled() const { return stalled_ || faults_->stalled; }
  // Returns the other side's IPv4 address in host byte order, or 0 if it is unknown.
  std::uint32_t remote_address() const { return remote_address_; }
  // Returns when the connection was established, in seconds of now().
  double opened_at() const { return opened_at_; }

 private:
  struct PendingWrite {
    std::string text;
    double due; // the earliest time of the write
    std::function<void()> on_written;
  };
  void start_read();
  void write_next();
  void write_after(double seconds);
  void close_socket();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<const StreamFaults> faults_;
  Events events_;
  std::deque<PendingWrite> pending_;
  std::array<char, 8192> buffer_;
  std::uint32_t remote_address_ = 0;
  double opened_at_ = 0;
  bool open_ = true, stalled_ = false, writing_ = false, waiting_ = false, shuts_down_sending_ = false;
};

// A listener that can be made to refuse connections or to leave their handshakes unanswered.
class Listener {
 public:
  using OnAccept = std::function<void(asio::ip::tcp::socket)>;
  // Uses the address with port 0 at first; the port that the system chooses is kept for later calls of
  // listen().
  Listener(asio::io_context &io, asio::ip::address_v4 address, OnAccept on_accept);
  // Throws asio::system_error if the address can't be bound.
  void listen();
  // Closes the listening socket, so that connections are refused. The port stays reserved where possible, so
  // that no other process gets it.
  void stop();
  // While stalled, the listener neither completes nor refuses handshakes. Has no effect on one that is
  // stopped.
  void set_stalled(bool stalled);
  bool is_listening() const { return acceptor_.is_open(); }
  asio::ip::tcp::endpoint endpoint() const { return endpoint_; }

 private:
  void accept();
  // Binds the acceptor to the listener's address, beside one that is bound and does not listen.
  void bind(asio::ip::tcp::acceptor &acceptor, asio::error_code &error);
  asio::io_context &io_;
  // reservation_: bound to the port while the listener is stopped.
  asio::ip::tcp::acceptor acceptor_, reservation_;
  asio::ip::tcp::endpoint endpoint_;
  OnAccept on_accept_;
  std::vector<asio::ip::tcp::socket> backlog_fillers_;
  bool stalled_ = false;
};

} // namespace snowshore::soak
