// The platform's players' door: viewers' lines into calls on the core, its answers into lines.
#pragma once
#include "edge/core.h"
#include "jsonlines/server.h"
#include "platform/boot.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace snowshore::platform {

class Viewers final : public edge::PlayersDoor {
 public:
  struct Counters {
    std::uint64_t set_ups = 0, handed_over = 0, left = 0, released = 0, repeated = 0, refused_bad = 0,
                  unreadable = 0, strangers = 0, tests = 0, no_room = 0, announced_later = 0,
                  announced_again = 0, moved_over = 0;
  };
  // Listens from listen() on; throws std::system_error.
  Viewers(asio::io_context &io, const Boot &boot, telemetry::Log &log);
  void attach(edge::Core &core) { core_ = &core; }
  void listen();
  void reload(); // other limits stand in the configuration now

  void drain() { draining_ = true; } // tests fail from now on
  void shut();                       // nothing new is taken any more: it is declined at once
  // Nothing that came is unread, nothing said is unsent.
  bool is_quiet() { return server_->is_drained(); }
  bool owes_ends() const { return !later_.empty(); } // of sessions, with no connection to say them on
  void finish() { server_->finish_sending(); }
  bool listens() const { return server_->is_listening(); }
  void stop() { server_->stop(); }
  std::size_t connections() const { return server_->connections(); }
  asio::ip::tcp::endpoint local() const { return server_->local_endpoint(); }
  const Counters &counters() const { return counters_; }
  std::size_t unsent() const { return server_->unsent_bytes(); }
  const jsonlines::Counters &line_counters() const { return server_->counters(); }

  // What the server's door needs of a play.
  const std::string &description(int play) { return at_door(play).description; }
  std::uint64_t tag(int play) { return core_->plays().at(play).id; }

  void answer(int play, const edge::SetUpResult &result) override;
  void decline(int play, double retry_after) override;
  void fail(int play) override;
  void move(int play) override;
  void ended(int play, Outcome outcome) override;
  void forget_play(int play) override;

 private:
  using Connection = jsonlines::Server::ConnectionId;
  struct AtDoor {
    Connection connection = 0;
    std::string description; // until the answer
    bool open = false;       // no answer yet
  };
  struct Later { // what could not be said for want of a connection
    std::string line;
    double until;
  };
  struct Said { // an end that its viewer has not yet confirmed, which it need not
    Connection to;
    std::uint64_t tag;
    std::string line;
    double at;
  };
  AtDoor &at_door(int play) {
    if (static_cast<std::size_t>(play) >= at_door_.size())
      at_door_.resize(static_cast<std::size_t>(play) + 1);
    return at_door_[static_cast<std::size_t>(play)];
  }
  jsonlines::Limits limits() const;
  void on_line(Connection from, std::string_view line);
  void on_closed(Connection which, const char *why);
  void start(Connection from, const jsonlines::Message &message);
  void finish(Connection from, const jsonlines::Message &message);
  // The terms, or what is wrong with them.
  std::optional<PlayTerms> terms_of(const jsonlines::Message &message, bool stands, std::string &why) const;
  void refuse(Connection to, std::uint64_t tag, const std::string &why); // a bad request
  void bad(Connection from, const std::string &why);                     // nothing there to answer
  std::string declined(std::uint64_t tag, double retry_after) const;
  void settle(int play, std::string line);
  void announce(int play, std::string line);
  void announce(Connection to, std::uint64_t tag, std::string line);
  void say_later();

  asio::io_context &io_;
  const Boot &boot_;
  telemetry::Log &log_;
  edge::Core *core_ = nullptr;
  std::unique_ptr<jsonlines::Server> server_;
  std::vector<AtDoor> at_door_; // by play
  std::deque<Later> later_;
  std::deque<Said> said_;
  std::size_t held_bytes_ = 0;
  Counters counters_;
  bool draining_ = false, shut_ = false;
};

} // namespace snowshore::platform
