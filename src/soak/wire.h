// One TCP connection of a stand-in, with the faults of the network on it. What arrives is handed over at
// once, with the time of its arrival; what is said goes out late, in single bytes, or not at all while the
// wire is held.
#pragma once
#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace snowshore::soak {

struct WireFaults { // shared by the wires of one stand-in, read whenever something is to be written
  bool held = false;
  bool single_bytes = false;
  double delay = 0; // seconds
};

double now(); // seconds of the steady clock

class Wire : public std::enable_shared_from_this<Wire> {
 public:
  struct Events {
    std::function<void(std::string_view)> bytes;
    std::function<void()> closed; // by the other side; nothing more comes
  };
  Wire(asio::ip::tcp::socket socket, std::shared_ptr<const WireFaults> faults);
  void start(Events events);
  // on_written: once the last byte has been handed to the system.
  void say(std::string text, std::function<void()> on_written = {});
  void close();  // in order: what is said already may be lost with it
  void reset();  // the other side sees a reset
  void finish(); // no more is said; what comes is still heard
  bool is_open() const { return open_; }
  void hold(bool held) { held_ = held; } // this one alone
  bool is_held() const { return held_ || faults_->held; }
  std::uint32_t remote() const { return remote_; } // the other side's address
  double opened_at() const { return opened_at_; }

 private:
  struct Due {
    std::string text;
    double at;
    std::function<void()> on_written;
  };
  void read();
  void pump();
  void wait(double seconds);
  void end();

  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<const WireFaults> faults_;
  Events events_;
  std::deque<Due> due_;
  std::array<char, 8192> buffer_;
  std::uint32_t remote_ = 0;
  double opened_at_ = 0;
  bool open_ = true, held_ = false, writing_ = false, waiting_ = false, finishes_ = false;
};

// A listener that can be made to refuse, or to let no connection come up.
class Listener {
 public:
  using OnAccept = std::function<void(asio::ip::tcp::socket)>;
  // Listens at the address; port 0: one that the system chooses, kept from then on.
  Listener(asio::io_context &io, asio::ip::address_v4 address, OnAccept on_accept);
  void listen();
  void refuse();        // nothing listens
  void hold(bool held); // connections neither come up nor are refused, while it listens
  bool listens() const { return acceptor_.is_open(); }
  asio::ip::tcp::endpoint at() const { return at_; }

 private:
  void accept();
  asio::io_context &io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint at_;
  OnAccept on_accept_;
  std::vector<asio::ip::tcp::socket> fillers_;
  bool held_ = false;
};

} // namespace snowshore::soak
