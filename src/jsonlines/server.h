// Viewers' connections: lines in, lines out, many plays on each. It knows limits and turns, no meaning. One
// executor; no call of Events comes during a call on the server, but for cut().
#pragma once
#include "jsonlines/message.h"

#include <asio.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace snowshore::jsonlines {

struct Limits {
  std::size_t connections = 64;
  std::size_t unsent_bytes = 256 * 1024; // a viewer that does not read what it is sent is cut
  std::size_t lines_per_turn = 16;       // then other connections have theirs
  double first_line_timeout = 2; // seconds to say something whole, from connecting or from its first byte;
                                 // and to read what it was sent, where room is wanted
};

struct Counters {
  std::uint64_t accepted = 0, silent_cut = 0, room_cut = 0, unread_cut = 0, overlong = 0, accept_faults = 0,
                accept_pauses = 0, lines_received = 0, lines_sent = 0;
};

class Server {
 public:
  using ConnectionId = std::uint64_t; // never given again
  struct Events {
    std::function<void(ConnectionId, std::string_view line)> on_line;
    std::function<void(ConnectionId, const char *why)> on_closed; // whoever closed it, once
  };
  // Listens at once; throws std::system_error.
  Server(asio::io_context &io, const asio::ip::tcp::endpoint &at, Limits limits, Events events);
  ~Server();
  asio::ip::tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return all_.size(); }
  const Counters &counters() const { return counters_; }
  void set_limits(const Limits &limits) { limits_ = limits; } // those over them go as others come

  bool send(ConnectionId id, std::string line); // false: there is no such connection any more
  void add_open_requests(ConnectionId id,
                         int by); // so many requests are open on it (added): it is not closed to make room
  int open_requests(ConnectionId id) const;
  void mark_trusted(
      ConnectionId id); // a play stands by it: it may be told of plays that other connections brought
  bool is_trusted(ConnectionId id) const;
  std::optional<ConnectionId> latest_trusted() const; // the one that was vouched for last
  void close_after_sending(ConnectionId id);          // reads nothing more
  void close_after_open_requests(
      ConnectionId id); // once no request is open on it and all is sent; it is read until then
  bool is_closing(ConnectionId id) const; // nothing new is to be taken from it
  void close_now(ConnectionId id);        // at once; closed comes during the call
  void close_after_turn(ConnectionId id); // after this turn; nothing more is read
  // The planned end, in this order: stop_accepting() takes what the system has accepted already, then closes
  // the listener; is_quiet() once that is done and no connection has anything unread, half read or unsent;
  // finish() ends what is sent on each and passes over what still comes, until stop().
  void stop_accepting();
  bool is_listening() const { return acceptor_.is_open(); }
  bool is_drained();
  std::size_t unsent_bytes() const; // bytes, over all connections
  void finish_sending();
  void stop();

 private:
  struct Connection;
  enum class State { silent, talking, closing, closed };
  static void become(Connection &one, State next);
  static bool unread(Connection &one); // it has said what had no turn yet
  void accept();
  void accept_waiting();
  void accept_later();
  void adopt(asio::ip::tcp::socket socket);
  bool make_room();
  void read(const std::shared_ptr<Connection> &one);
  void turn(const std::shared_ptr<Connection> &one, std::string_view bytes);
  void write(const std::shared_ptr<Connection> &one);
  void end(Connection &one, const char *why);
  void look(); // at those who say nothing whole

  asio::io_context &io_;
  Limits limits_;
  Events events_;
  Counters counters_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_, look_timer_;
  std::array<char, 32 * 1024> buffer_; // shared: emptied before the next read
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> all_;
  ConnectionId next_ = 1, vouched_ = 0;
  bool accepting_ = true, last_accepts_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::jsonlines
