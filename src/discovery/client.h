// The list source on the platform: follows the command channel over TCP. The client connects, sends the
// number of the last event that it has, and receives later events. It reconnects after a disconnection, a
// silence or a refused connection. Each event is applied once.
#pragma once
#include "discovery/frames.h"
#include "edge/backoff.h"
#include "telemetry/log.h"

#include <asio.hpp>

#include <memory>

namespace snowshore::discovery {

struct Counters {
  // repeated: events that were applied before. refused: connections that could not be established.
  // skipped_records: records of servers with an invalid field.
  std::uint64_t connects = 0, breaks = 0, silences = 0, refused = 0, unreadable = 0, events = 0, repeated = 0,
                gaps = 0, skipped_records = 0;
};

// Runs on the executor of the io_context.
class Client final : public edge::ListSource {
 public:
  // known: the list and the event number to start from. seed: for the random part of reconnect delays.
  Client(asio::io_context &io, asio::ip::tcp::endpoint endpoint, NameTables names, List known,
         std::uint64_t seed, telemetry::Log &log);
  ~Client() override;
  void start(Events events) override;
  // Reconnects; the channel then sends all later events.
  void request_list() override;
  void set_paused(bool paused) override;
  // Connects to another address, where it differs from the present one.
  void set_endpoint(const asio::ip::tcp::endpoint &endpoint);
  const Counters &counters() const { return counters_; }
  // Seconds since data was last received on the channel.
  double silence() const;

 private:
  enum class State { idle, connecting, connected, waiting_to_reconnect, closed };
  void set_state(State next);
  // One connection to the channel. is_served: it has brought data.
  struct Connection {
    explicit Connection(asio::io_context &io) : socket(io) {}
    asio::ip::tcp::socket socket;
    std::array<char, 16384> buffer;
    // The number of the last event, which is sent first.
    std::array<unsigned char, 8> resume_number{};
    bool is_served = false;
    // Time of the steady clock.
    double connected_at = 0;
  };
  using ConnectionRef = std::shared_ptr<Connection>;
  bool is_in_use(const ConnectionRef &connection) const {
    return connection && (connection == current_ || connection == overdue_);
  }
  static void close(ConnectionRef &connection);
  void connect();
  void established(const ConnectionRef &connection);
  void read(const ConnectionRef &connection);
  // The first data of a connection: it becomes the current one, and the other is closed.
  void served(const ConnectionRef &connection);
  void data_received(const ConnectionRef &connection, std::size_t size);
  void connection_failed(const ConnectionRef &connection, const char *why);
  // The current connection is not served in time: it is kept beside the next one, unless an earlier one is.
  // An earlier one is given up after a time that doubles each time.
  void wait_beside();
  // Counts and logs the end of a connection, and schedules the next one.
  void disconnected(const char *why);
  void reconnect_later();
  void apply_event(const Event &event);
  // Passes what the latest received bytes changed to the core, in one call.
  void publish();
  // Schedules the periodic check for a silent channel and for a connection attempt that takes too long.
  void check_timeouts();

  asio::io_context &io_;
  asio::ip::tcp::endpoint endpoint_;
  NameTables names_;
  List list_;
  telemetry::Log &log_;
  edge::Backoff backoff_;
  Counters counters_;
  Events events_;
  FrameReader reader_;
  // overdue_: an earlier connection that has not been served yet, kept beside the current one.
  ConnectionRef current_, overdue_;
  asio::steady_timer reconnect_timer_, check_timer_;
  State state_ = State::idle;
  // Tells the present connection from earlier ones, whose late callbacks are ignored.
  std::uint64_t connection_serial_ = 0;
  // Times of the steady clock.
  double data_received_at_ = 0, connect_started_at_ = 0;
  // Seconds for which an overdue connection is kept.
  double patience_;
  // Servers changed by the events in the latest received bytes.
  std::vector<edge::ListedServer> changed_servers_;
  // changed_: these events changed the list. is_full_list_: they replaced it. gap_: events are missing.
  bool changed_ = false, is_full_list_ = false, gap_ = false;
  // paused_: the core has yet to apply what it was given. reading_: a read is pending.
  bool paused_ = false, reading_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace snowshore::discovery
