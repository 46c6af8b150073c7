// The adapter: hosts one decision module per instance and speaks the simulator's wire. It decides nothing.
#pragma once
#include "decision/id_table.h"
#include "decision/policy.h"
#include "wirehost/wire_codec.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace snowshore {

DecisionSettings
plain_settings(const WireLine &line); // the settings of an opening line, under the module's names

class Instance final : public DecisionHandler {
 public:
  Instance(std::string number, const WireLine &line, double now, std::string &out);
  void members(const WireLine &line, const std::vector<ServerEntry> *entries);
  void event(const WireLine &line);
  void clock(double now) { front_->set_time(now); }
  int server_index(std::uint64_t number) { return servers_.index_of(number); }

  void set_rung(int play, int rung) override;
  void start_allocation(int play, int server, double time_out) override;
  void decline_play(int play, double retry_after) override;
  void fail_play(int play) override;
  void move_play(int play) override;
  void recall_allocation(int play, int allocation) override;
  void forget_play(int play) override;
  void forget_server(int server) override { servers_.release(server); }
  void probe_server(int server) override;
  void request_server_list() override;
  void set_timer(double wait, int label) override;
  void log_message(const std::string &text) override;

 private:
  void begin(const char *name);
  void begin(const char *name, int play);
  int product_of(const WireLine &line) const;
  PlayRequest terms_of(const WireLine &line);
  int new_play(const WireLine &line, const PlayRequest &terms);
  int held_play(const WireLine &line) const;
  int known_server(const WireLine &line) const;
  LoadReport load_of(const WireLine &line) const;

  std::string number_;
  std::string &out_;
  IdTable<std::uint64_t> plays_, servers_;
  RefCountedIdTable<std::uint64_t> titles_; // a title is let go with its last play
  IdTable<std::string> customers_;
  std::vector<std::string> products_;
  std::unique_ptr<DecisionEngine> front_;
};

class Host {
 public:
  // Takes one line of input; true when a batch has ended and out holds its reply.
  bool take(std::string_view text, std::string &out);

 private:
  struct Entry {
    ServerEntry plain;
    std::string hall, kind;
  };
  void entry(const WireLine &line);
  void members(const WireLine &line);
  Instance &instance(const WireLine &line);

  double now_ = 0;
  bool in_batch_ = false;
  std::size_t entries_due_ = 0;
  int list_ = 0;
  WireLine line_;
  std::string reply_;
  std::map<int, std::vector<Entry>> lists_;
  struct Held {
    std::unique_ptr<Instance> instance;
    IdTable<std::string> halls, kinds;
  };
  std::map<int, Held> instances_;
};

} // namespace snowshore
