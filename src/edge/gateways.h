// The interfaces by which the core reaches players and media servers. A gateway implements one of them for a
// protocol; it decides nothing, but carries out the core's calls and reports events to the core. All calls
// come on one executor. A gateway never calls the core from within one of these calls; it posts the call
// instead. Plays and servers are given by the core's small indices; a gateway may keep data of its own for
// each until the index is released. Times are seconds.
#pragma once
#include "decision/policy.h"
#include "edge/list_source.h"

#include <string_view>

namespace snowshore::edge {

// How one allocation ended, or that it succeeded.
struct SetUpResult {
  Outcome outcome = Outcome::error;
  // The first frame is ready and the play runs.
  bool started = false;
  LoadReport load;
  // Seconds from the allocation's start to this result.
  double duration = 0;
  // The server's session description for the player, where the protocol has one.
  std::string_view description;
};

// One attempt to set a play up on a server; `number` counts the play's allocations.
struct Allocation {
  int server = 0, number = 0, rung = 0;
  // Seconds; 0 where no time is left for it.
  double timeout = 0;
};

// Sends the core's answers to players.
class PlayerGateway {
 public:
  virtual ~PlayerGateway() = default;
  // Exactly one of these three calls is made for each play that was added, unless its player left before.
  virtual void send_set_up_result(int play, const SetUpResult &result) = 0;
  virtual void send_decline(int play, double retry_after) = 0;
  virtual void send_failure(int play) = 0;
  // The running play is over; its player is asked to come again.
  virtual void send_move(int play) = 0;
  // The running play is over.
  virtual void send_end(int play, Outcome outcome) = 0;
  // Releases the play's index, which may be reused.
  virtual void forget_play(int play) = 0;
};

// Carries the core's commands to media servers.
class ServerGateway {
 public:
  virtual ~ServerGateway() = default;
  // Sets the play up on a server; the gateway must call Core::set_up_ended() once for it.
  virtual void start_set_up(int play, const Allocation &allocation) = 0;
  // Cancels the pending set-up; nobody waits for its result any more. `reason` is sent and logged.
  virtual void cancel_set_up(int play, std::string_view reason) = 0;
  // The core has added this play, which already runs on its server. The gateway may now report events of the
  // play that it got from the server earlier.
  virtual void play_handed_over(int play) = 0;
  // Changes the rung of a running play.
  virtual void change_rung(int play, int rung) = 0;
  // Ends a running play.
  virtual void end_play(int play, std::string_view reason) = 0;
  // Asks the server whether it answers; the gateway must call Core::probe_answered() once for it.
  virtual void probe_server(int server) = 0;
  // Discovery has added or changed the server.
  virtual void update_server(int server, const ListedServer &entry) = 0;
  // Releases the server's index, which may be reused.
  virtual void forget_server(int server) = 0;
};

} // namespace snowshore::edge
