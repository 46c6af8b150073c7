// What the core asks of those who speak with players and with servers. Doors decide nothing: they carry out
// what the core says and tell it what happens. All on one executor; no door calls the core back during one of
// these calls, it posts instead. Plays and servers are the core's small indices; doors keep what they need of
// one beside it until forgotten. Times are seconds.
#pragma once
#include "decision/policy.h"
#include "edge/list_source.h"

#include <string_view>

namespace snowshore::edge {

struct SetUpResult { // how one allocation went; started: the first frame is ready and the play plays
  Outcome outcome = Outcome::error;
  bool started = false;
  LoadReport load;
  double took = 0;
  std::string_view description; // the server's, for the player, where the protocol has one
};

struct Allocation {
  int server = 0, number = 0, rung = 0;
  double time_out = 0; // 0: it has none left
};

class PlayersDoor {
 public:
  virtual ~PlayersDoor() = default;
  // One of these three, once, for each play taken, unless its player left before.
  virtual void answer(int play, const SetUpResult &result) = 0;
  virtual void decline(int play, double retry_after) = 0;
  virtual void fail(int play) = 0;
  // Of a play that stands: its player is asked to come again; it is over.
  virtual void move(int play) = 0;
  virtual void ended(int play, Outcome outcome) = 0;
  virtual void forget_play(int play) = 0; // the index may be given again
};

class ServersDoor {
 public:
  virtual ~ServersDoor() = default;
  virtual void set_up(int play, const Allocation &allocation) = 0; // one Core::set_up_ended is due for it
  virtual void withdraw(int play, std::string_view why) = 0; // the set-up that is out: nobody waits for it
  // This play is in hand now and stands at its server; what the server said of it before may be told now.
  virtual void handed_over(int play) = 0;
  virtual void step(int play, int rung) = 0;            // of a play that stands
  virtual void end(int play, std::string_view why) = 0; // likewise
  virtual void probe(int server) = 0;                   // one Core::probe_answered is due for it
  virtual void listed(int server, const ListedServer &entry) = 0;
  virtual void forget_server(int server) = 0; // its index may be given again
};

} // namespace snowshore::edge
