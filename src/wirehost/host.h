// Runs decision engines in a simulation: reads the simulator's lines, calls one engine per instance, and
// writes the engines' decisions as lines. It makes no decisions. No I/O, no clock, one thread.
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

// Returns the settings in an OPEN_INSTANCE line, under the engine's names (decision/setting_names.h).
DecisionSettings engine_settings(const WireLine &line);

// One engine, with the indices that stand for its plays, servers, titles and customers.
class EngineInstance final : public DecisionHandler {
 public:
  // `id` is the value of the field i in the lines of this instance. Decisions are appended to `output`, which
  // must outlive the instance. Throws WireError where the line cannot be used.
  EngineInstance(std::string id, const WireLine &line, double now, std::string &output);
  // Handles a MEMBERS line; `entries` is null where its list is unavailable or unknown.
  void apply_list(const WireLine &line, const std::vector<ServerEntry> *entries);
  // Handles any other line that concerns one instance.
  void process_event(const WireLine &line);
  void set_time(double now) { engine_->set_time(now); }
  // The index of the server with this number in the simulator, which is added where it is not known.
  int server_index(std::uint64_t node) { return servers_.index_of(node); }

  void set_rung(int play, int rung) override;
  void start_allocation(int play, int server, double timeout) override;
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
  // Each of these appends the start of a line: its name, the instance, and the play where there is one.
  void begin_line(const char *name);
  void begin_line(const char *name, int play);
  int product_of(const WireLine &line) const;
  PlayRequest request_of(const WireLine &line);
  // Assigns an index to the play that the line names. Throws WireError where its id is in use.
  int add_play(const WireLine &line, const PlayRequest &request);
  // The index of the play that the line names; negative where the play is not known, for example after its
  // end.
  int find_play(const WireLine &line) const;
  // The index of the server that the line names. Throws WireError where no list contained it.
  int listed_server(const WireLine &line) const;
  LoadReport load_report_of(const WireLine &line) const;

  std::string id_;
  std::string &output_;
  IdTable<std::uint64_t> plays_, servers_;
  // Each title is released together with its last play.
  RefCountedIdTable<std::uint64_t> titles_;
  IdTable<std::string> customers_;
  // Names by index.
  std::vector<std::string> products_;
  std::unique_ptr<DecisionEngine> engine_;
};

// All instances of one simulation. Input comes in batches of lines; each batch starts with MARK, which sets
// the time, and ends with EOB.
class WireHost {
 public:
  // Handles one line of input. Returns true when a batch has ended; `output` then holds its reply. Throws
  // WireError where the line cannot be used.
  bool process_line(std::string_view text, std::string &output);

 private:
  // A server of a list; its hall and kind are names, since indices differ between instances.
  struct ListedNode {
    ServerEntry entry;
    std::string hall, kind;
  };
  void add_list_entry(const WireLine &line);
  void apply_members(const WireLine &line);
  // The open instance that the line names, set to the time of the batch.
  EngineInstance &instance(const WireLine &line);

  double now_ = 0;
  bool in_batch_ = false;
  // Number of NODE lines that must follow for the list current_list_.
  std::size_t pending_list_entries_ = 0;
  int current_list_ = 0;
  WireLine line_;
  std::string reply_;
  std::map<int, std::vector<ListedNode>> lists_;
  struct HostedInstance {
    std::unique_ptr<EngineInstance> instance;
    IdTable<std::string> halls, kinds;
  };
  std::map<int, HostedInstance> instances_;
};

} // namespace snowshore
