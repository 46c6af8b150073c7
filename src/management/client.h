// A management client: reads, sets, and watches that outlive restarts of the front. A watch keeps a view,
// path to value; it comes again with back-off where its stream ends, resumes from the revision it had whole,
// and tells of a value only where it is another than before.
#pragma once
#include "model/model.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace snowshore::management {

struct Target {                                     // plaintext where no authority is named
  std::string address, authority, certificate, key; // files; certificate and key are the client's
  std::string server_name;                          // as its certificate has it; empty: the address
};

struct Reply {
  int code = 0; // gRPC's; 0: done
  std::string message;
  std::uint64_t revision = 0;
  bool ok() const { return code == 0; }
};

struct SetOptions {
  std::string cause;
  std::optional<std::uint64_t> expected_revision, rollback_revision;
  std::string commit_id;
  double confirm_within = 0;
  enum class Commit { none, request, confirm, cancel } commit = Commit::none;
};

enum class DataType { all, configuration, state };

class ManagementClient {
 public:
  explicit ManagementClient(const Target &target);
  ~ManagementClient();
  // Each waits at most so many seconds.
  Reply get(const std::vector<model::Path> &paths, DataType kind, std::vector<model::PathValue> &into,
            double within = 5);
  Reply set(const std::vector<model::Edit> &edits, const SetOptions &options = {}, double within = 5);
  Reply capabilities(std::string &into, double within = 5);

 private:
  friend class Watch;
  struct Channel;
  std::unique_ptr<Channel> channel_;
};

class Watch {
 public:
  struct Options {
    std::vector<model::Path> paths;
    std::string name;              // told to the front, for its list of subscribers
    double sample = 0;             // seconds; 0: on change
    double initial_backoff = 0.05; // before coming again, doubling
    double max_backoff = 2;
  };
  using UpdateCallback =
      std::function<void(const std::string &path, const model::Json *value)>; // none: it is gone
  Watch(const Target &target, Options options, UpdateCallback told = {});
  ~Watch(); // ends the stream

  std::map<std::string, model::Json> view() const;
  std::uint64_t revision() const { return revision_; }       // had whole; 0: none yet
  std::uint64_t streams_started() const { return streams_; } // begun so far
  std::uint64_t streams_resumed() const {
    return resumed_;
  } // of them, those that went on from where the last ended

 private:
  struct Run;
  enum class State { connecting, syncing, following, pausing, ended };
  void follow();
  void become(State next) { state_ = next; }
  void take(const std::string &path, const model::Json *value);
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
