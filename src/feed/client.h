// The list source that follows the command channel: connects, says the number of the last event it has, takes
// what comes, and asks again after a break, a silence or a refusal. Each event is applied once.
#pragma once
#include "edge/backoff.h"
#include "feed/frames.h"
#include "telemetry/log.h"

#include <asio.hpp>

#include <memory>

namespace snowshore::feed {

struct Counters {
  std::uint64_t connects = 0, breaks = 0, silences = 0, refused = 0, unreadable = 0, events = 0, repeated = 0,
                gaps = 0, passed_over = 0;
};

class Client final : public edge::ListSource {
 public:
  Client(asio::io_context &io, asio::ip::tcp::endpoint at, Places places, List known, std::uint64_t seed,
         telemetry::Log &log);
  ~Client() override;
  void start(Events events) override;
  void request_list() override; // connects anew: the channel then brings all that it has
  void move_to(const asio::ip::tcp::endpoint &at);
  const Counters &counters() const { return counters_; }
  double silent_for() const; // since something was heard on the channel

 private:
  enum class State { idle, connecting, following, pausing, closed };
  void become(State next);
  void connect();
  void read();
  void broken(const char *why);
  void pause();
  void apply(const Event &event);
  void publish();
  void watch();

  asio::io_context &io_;
  asio::ip::tcp::endpoint at_;
  Places places_;
  List list_;
  telemetry::Log &log_;
  edge::Backoff pauses_;
  Counters counters_;
  Events events_;
  FrameReader reader_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer pause_timer_, watch_timer_;
  std::array<char, 16384> buffer_;
  std::array<unsigned char, 8> hello_{};
  State state_ = State::idle;
  std::uint64_t turn_ = 0; // of the socket: what an older one still brings is passed over
  double heard_at_ = 0, connecting_at_ = 0;
  std::vector<edge::ListedServer> changed_servers_; // by the events of the piece in hand
  bool changed_ = false, whole_ = false, gap_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::feed
