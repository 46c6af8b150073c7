// A gNMI client for the front's management: Get, Set and Capabilities calls, and watches that continue across
// restarts of the front. A watch keeps a view, a map from path to value. When its stream ends, it reconnects
// with exponential back-off, resumes from the last revision that it received in full, and reports a value
// only if it differs from the one in the view.
#pragma once
#include "model/model.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace snowshore::management {

// The front's management address and the TLS files. Without an authority the connection is plaintext.
struct Target {
  std::string address, authority;
  std::string certificate, key; // the client's own
  std::string server_name;      // as in the front's certificate; empty: the address
};

// The result of a call.
struct Reply {
  int code = 0; // gRPC status code; 0: OK
  std::string message;
  // The revision in force: the one that Get read, or the one that Set made.
  std::uint64_t revision = 0;
  bool ok() const { return code == 0; }
};

struct SetOptions {
  std::string cause; // for the history
  // expected_revision: the Set fails if another revision is in force. rollback_revision: the Set restores
  // that revision and has no edits.
  std::optional<std::uint64_t> expected_revision, rollback_revision;
  std::string commit_id;
  // Seconds until an unconfirmed change is rolled back; used with Commit::request.
  double confirm_within = 0;
  enum class Commit { none, request, confirm, cancel } commit = Commit::none;
};

enum class DataType { all, configuration, state };

// One gRPC channel to a front. Calls block and may come from several threads.
class ManagementClient {
 public:
  explicit ManagementClient(const Target &target);
  ~ManagementClient();
  // `within` is the deadline in seconds. Throw model::ModelError if the front's answer cannot be decoded.
  Reply get(const std::vector<model::Path> &paths, DataType type, std::vector<model::PathValue> &into,
            double within = 5);
  Reply set(const std::vector<model::Edit> &edits, const SetOptions &options = {}, double within = 5);
  Reply capabilities(std::string &into, double within = 5);

 private:
  friend class Watch;
  struct Channel;
  std::unique_ptr<Channel> channel_;
};

// A subscription on a thread of its own.
class Watch {
 public:
  struct Options {
    std::vector<model::Path> paths;
    // Names the subscriber to the front, which lists its position in /state/subscribers. May be empty.
    std::string name;
    // Seconds between samples; 0: on change.
    double sample_interval = 0;
    // Seconds before the first reconnection; the delay doubles up to max_backoff.
    double initial_backoff = 0.05;
    double max_backoff = 2;
  };
  // Called on the watch's thread with each changed value; null: the path no longer has a value.
  using UpdateCallback = std::function<void(const std::string &path, const model::Json *value)>;
  Watch(const Target &target, Options options, UpdateCallback on_update = {});
  // Cancels the stream and joins the thread.
  ~Watch();

  std::map<std::string, model::Json> view() const;
  // The last revision that was received in full; 0: none yet.
  std::uint64_t revision() const { return revision_; }
  std::uint64_t streams_started() const { return streams_; }
  // The number of streams that the front resumed from the revision of an earlier one.
  std::uint64_t streams_resumed() const { return resumed_; }

 private:
  struct Run;
  enum class State { connecting, syncing, following, pausing, ended };
  void follow();
  void set_state(State next) { state_ = next; }
  void apply_update(const std::string &path, const model::Json *value);
  Target target_;
  Options options_;
  UpdateCallback on_update_;
  mutable std::mutex mutex_;
  std::map<std::string, model::Json> view_;
  std::atomic<std::uint64_t> revision_{0}, streams_{0}, resumed_{0};
  std::atomic<State> state_{State::connecting};
  std::unique_ptr<Run> run_;
};

} // namespace snowshore::management
