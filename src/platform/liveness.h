// Judges from the events of its connections whether a server that holds plays of this front end is alive. No
// I/O and no clock: each event comes with its time, in seconds. A broken connection proves nothing; a server
// whose process is gone refuses new connections; a machine that is down or cut off lets none be established.
#pragma once
#include <cstddef>

namespace snowshore::platform {

// Durations in seconds.
struct LivenessSettings {
  // After this time without received data, a further connection is requested, and again at this interval.
  double probe_after = 2.5;
  double probe_interval = 0.5;
  // After this time without received data and without a new connection, the server's plays are over. The
  // protocol's limit of 8 s covers this, the wait for a connection, and an event loop that lags.
  double lost_after = 4;
  // A server with plays of this front end sends a message at least this often; 0 where that is not known.
  double message_interval = 0;
  // The longest silence before the server is lost whatever the interval, so that the limit of 8 s is kept.
  double max_silence = 6.5;
  // The longest delay of a server's message.
  double max_message_delay = 1.5;
  // Silence for this many message intervals is not a coincidence.
  double silent_intervals = 1.5;
  // Two refusals this far apart are not a momentary fault.
  double refusal_spacing = 0.15;
};

class Liveness {
 public:
  // probe: one more connection is to be opened. lost: all plays on the server are over. restarted: those that
  // were set up before connection_lost_at() are over.
  enum class Verdict { alive, probe, lost, restarted };
  explicit Liveness(const LivenessSettings &settings) : settings_(&settings) {}
  // Data arrived, or a connection was established.
  void data_received(double now);
  void connection_refused(double now);
  void connection_timed_out(double now);
  // A message about a session of this front end arrived; the session started at session_started. The answer
  // to a set-up counts too. A server that holds such sessions sends one at least every message_interval
  // seconds.
  void session_message_received(double now, double session_started);
  // The message is a note, which names one of the sessions of this front end that the server holds. A note on
  // a session that was just set up comes with its answer, whatever else the server holds, and is no evidence.
  void note_received(double now, double session_started);
  // Whether the notes since the last undecided connection loss show that the server holds none of the older
  // sessions: none of the notes named one. newer, older: numbers of sessions that were set up since and
  // before.
  bool notes_exclude_older(std::size_t newer, std::size_t older) const;
  // The last connection to the server ended, because of a restart or by itself.
  void connection_lost(double now);
  // The verdict on that loss was carried out, or cannot be.
  void clear_connection_loss();
  double connection_lost_at() const { return connection_lost_at_; }
  // connected: at least one connection to the server is established. may_connect: the address still belongs
  // to the server; where it does not, only silence beyond the time of its next message is evidence. A
  // returned Verdict::probe counts as a connection that was requested.
  Verdict evaluate(double now, bool connected, bool may_connect = true);
  // Seconds since data was last received.
  double silence(double now) const { return now - data_received_at_; }

 private:
  // The silence, in seconds, after which a server that should send messages is lost.
  double conclusive_silence() const;
  const LivenessSettings *settings_;
  // refused_since_: time of the first refusal since data was last received; below 0 where there was none.
  double data_received_at_ = -1e9, probed_at_ = -1e9, refused_since_ = -1;
  // connection_lost_at_ is below 0 where no connection loss is undecided. silent_since_: time of the latest
  // loss, from which the silence counts.
  double session_message_at_ = -1e9, connection_lost_at_ = -1, silent_since_ = -1;
  // Connection attempts that timed out since data was last received.
  int failed_connects_ = 0;
  // Notes about sessions that were set up after the undecided connection loss.
  int newer_notes_ = 0;
  bool refused_again_ = false;
};

} // namespace snowshore::platform
