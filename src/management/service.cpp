#include "management/service.h"
#include "gnmi.grpc.pb.h"
#include "management/access.h"
#include "management/follower.h"
#include "management/wire.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

#include <cmath>
#include <list>
#include <thread>

namespace snowshore::management {

using grpc::Status;
using grpc::StatusCode;
using model::DataTree;
using model::Json;
using model::ModelError;
using model::Path;
using model::PathValue;

namespace {

constexpr double kStatePoll = 1; // on-change subscriptions of state look so often
constexpr double kLook = 0.25;   // a stream looks so often whether it was cancelled
constexpr std::size_t kUpdatesAMessage = 500;
constexpr std::size_t kLongestAnswer = 64 << 20; // bytes of one Get
constexpr unsigned kReloadCertificates = 1;      // seconds
constexpr double kLeastInterval = 0.01;          // of samples and heartbeats, seconds
constexpr int kThreads = 1200;

Status status_of(const ModelError &error, bool in_set) {
  if (error.kind == model::ModelErrorKind::unknown_path && !in_set)
    return {StatusCode::NOT_FOUND, error.what()};
  return {StatusCode::INVALID_ARGUMENT, error.what()};
}

Status status_of(const ChangeResult &answer) {
  switch (answer.error) {
  case ChangeError::none:
    return Status::OK;
  case ChangeError::invalid:
    return {StatusCode::INVALID_ARGUMENT, answer.message};
  case ChangeError::conflict:
  case ChangeError::unconfirmed_change:
  case ChangeError::apply_failed:
    return {StatusCode::FAILED_PRECONDITION, answer.message};
  case ChangeError::stale_revision:
    return {StatusCode::ABORTED, answer.message};
  case ChangeError::unknown_revision:
    return {StatusCode::NOT_FOUND, answer.message};
  case ChangeError::too_many_pending:
    return {StatusCode::RESOURCE_EXHAUSTED, answer.message};
  case ChangeError::storage_failed:
  case ChangeError::front_stopping:
    return {StatusCode::UNAVAILABLE, answer.message};
  }
  return {StatusCode::INTERNAL, answer.message};
}

double seconds_of(const google::protobuf::Duration &d) {
  return static_cast<double>(d.seconds()) + d.nanos() * 1e-9;
}

bool reaches(const Path &path, std::string_view root) {
  return path.empty() || path[0].name == "*" || path[0].name == "..." || path[0].name == root;
}

bool reaches_history(const Path &path) {
  return reaches(path, "state") && (path.size() < 2 || path[0].name == "..." || path[1].name == "history" ||
                                    path[1].name == "*" || path[1].name == "...");
}

// The trees that a call reads: the configuration of one revision and the state of about now.
class View {
 public:
  explicit View(ConfigManager &manager) : manager_(manager) {}
  void take_configuration() {
    auto held = manager_.running_config();
    if (held == held_) return;
    held_ = held;
    configuration_ = manager_.model().parse(held->document);
  }
  void take_state(bool with_history) {
    state_ = manager_.model().parse(manager_.state_json());
    if (with_history) manager_.model().merge(state_, manager_.history_json());
    has_state_ = true;
  }
  std::vector<PathValue> leaves(const Path &path) const {
    return gather(path, [&](const DataTree &tree) { return manager_.model().leaves(tree, path); });
  }
  std::vector<PathValue> subtrees(const Path &path) const {
    return gather(path, [&](const DataTree &tree) { return manager_.model().subtrees(tree, path); });
  }
  const RunningConfig &held() const { return *held_; }

 private:
  template <class F> std::vector<PathValue> gather(const Path &path, F from) const {
    std::vector<PathValue> out;
    if (held_ && reaches(path, "front")) out = from(configuration_);
    if (!has_state_ || !reaches(path, "state")) return out;
    for (PathValue &leaf : from(state_)) out.push_back(std::move(leaf));
    return out;
  }
  ConfigManager &manager_;
  std::shared_ptr<const RunningConfig> held_;
  DataTree configuration_, state_;
  bool has_state_ = false;
};

std::shared_ptr<grpc::ServerCredentials> credentials(const site::ManagementSettings &terms) {
  if (terms.plaintext) return grpc::InsecureServerCredentials();
  for (const std::string *name : {&terms.certificate, &terms.key, &terms.client_authority})
    read_pem_file(*name);
  // Read again when they change; streams under way go on with what they began with.
  auto files = std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
      terms.key, terms.certificate, terms.client_authority, kReloadCertificates);
  grpc::experimental::TlsServerCredentialsOptions options(files);
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return grpc::experimental::TlsServerCredentials(options);
}

} // namespace

class Service::Gnmi final : public gnmi::gNMI::Service {
 public:
  Gnmi(ConfigManager &manager, const site::ManagementSettings &terms)
      : manager_(manager), plaintext_(terms.plaintext) {
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(kThreads);
    builder.SetResourceQuota(quota);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, 10000); // clients that are gone without a word
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 5000);
    builder.AddListeningPort(terms.listen, credentials(terms), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) throw std::runtime_error("management: cannot listen at " + terms.listen);
    keeper_ = std::jthread([this](const std::stop_token &stop) { keep(stop); });
  }

  ~Gnmi() override {
    keeper_.request_stop();
    server_->Shutdown(std::chrono::system_clock::now());
    server_->Wait();
  }

  int port() const { return port_; }

  Status Capabilities(grpc::ServerContext *context, const gnmi::CapabilityRequest *,
                      gnmi::CapabilityResponse *response) override {
    if (Status refused = allow(*context, Permission::read); !refused.ok()) return refused;
    auto *one = response->add_supported_models();
    one->set_name(model::Model::kModuleName);
    one->set_organization(model::Model::kModuleOrganization);
    one->set_version(model::Model::kModuleRevision);
    response->add_supported_encodings(gnmi::JSON);
    response->add_supported_encodings(gnmi::JSON_IETF);
    response->set_gnmi_version("0.10.0");
    return Status::OK;
  }

  Status Get(grpc::ServerContext *context, const gnmi::GetRequest *request,
             gnmi::GetResponse *response) override {
    if (Status refused = allow(*context, Permission::read); !refused.ok()) return refused;
    if (!is_supported(request->encoding()))
      return {StatusCode::UNIMPLEMENTED, "encodings served: JSON, JSON_IETF"};
    try {
      std::vector<Path> paths;
      for (const gnmi::Path &path : request->path()) paths.push_back(decode_path(request->prefix(), path));
      if (paths.empty()) paths.push_back(decode_path(request->prefix(), {}));
      bool configuration =
          request->type() == gnmi::GetRequest::ALL || request->type() == gnmi::GetRequest::CONFIG;
      bool state = request->type() != gnmi::GetRequest::CONFIG;
      auto any = [&](auto test) { return std::ranges::any_of(paths, test); };
      View view(manager_);
      std::uint64_t revision = manager_.running_config()->revision;
      if (configuration) {
        view.take_configuration();
        revision = view.held().revision;
      }
      if (state && any([](const Path &path) { return reaches(path, "state"); }))
        view.take_state(any(reaches_history));
      std::size_t bytes = 0;
      for (const Path &path : paths) {
        manager_.model().require_known_path(path);
        gnmi::Notification *notification = response->add_notification();
        notification->set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
        for (const PathValue &leaf : view.subtrees(path)) {
          gnmi::Update *update = notification->add_update();
          encode_path(leaf.path, *update->mutable_path());
          encode_value(leaf.value, *update->mutable_val());
          if ((bytes += update->ByteSizeLong()) > kLongestAnswer)
            return {StatusCode::RESOURCE_EXHAUSTED,
                    model::path_to_text(path) + ": an answer of more than 64 MB; subscribe ONCE instead"};
        }
        if (notification->update_size() == 0 && !model::has_wildcard(path) && !path.empty())
          return {StatusCode::NOT_FOUND, model::path_to_text(path) + ": not there"};
      }
      encode_extension({{"revision", revision}}, *response->mutable_extension());
      return Status::OK;
    } catch (const ModelError &error) {
      return status_of(error, false);
    } catch (const FrontStopping &ending) {
      return {StatusCode::UNAVAILABLE, ending.what()};
    }
  }

  Status Set(grpc::ServerContext *context, const gnmi::SetRequest *request,
             gnmi::SetResponse *response) override {
    ClientIdentity client;
    if (Status refused = allow(*context, Permission::set, &client); !refused.ok()) return refused;
    ChangeResult answer;
    try {
      ConfigManager::Request set;
      set.edits = decode_edits(*request);
      set.user = client.name();
      Json more = decode_extension(request->extension());
      set.expected_revision = optional_uint64(more, "revision");
      set.cause = more.value("cause", std::string("gNMI Set"));
      const gnmi_ext::Commit *commit = nullptr;
      for (const gnmi_ext::Extension &one : request->extension()) {
        if (one.has_commit()) commit = &one.commit();
        if (one.has_master_arbitration())
          return {StatusCode::UNIMPLEMENTED, "master arbitration is not served"};
      }
      auto back = optional_uint64(more, "roll_back");
      if (commit && commit->has_confirm()) {
        answer = manager_.confirm(pending(commit->id()), client.name());
      } else if (commit && commit->has_cancel()) {
        answer = manager_.cancel(pending(commit->id()), client.name());
      } else if (commit && !commit->has_commit()) {
        return {StatusCode::UNIMPLEMENTED, "commit actions served: commit, confirm, cancel"};
      } else if (back) {
        if (!set.edits.empty()) return {StatusCode::INVALID_ARGUMENT, "a roll-back comes without edits"};
        answer = manager_.roll_back(*back, client.name());
      } else {
        if (commit) {
          set.confirm_within = seconds_of(commit->commit().rollback_duration());
          set.commit_id = commit->id();
          if (!(set.confirm_within > 0 && set.confirm_within < 1e7) || set.commit_id.empty())
            return {StatusCode::INVALID_ARGUMENT,
                    "a commit to confirm has an id and a rollback_duration above 0"};
        }
        answer = manager_.set(set);
      }
    } catch (const ModelError &error) {
      return status_of(error, true);
    } catch (const Json::exception &error) {
      return {StatusCode::INVALID_ARGUMENT, std::string("extension: ") + error.what()};
    }
    if (answer.error != ChangeError::none) return status_of(answer);
    auto result = [&](const gnmi::Path &path, gnmi::UpdateResult::Operation op) {
      gnmi::UpdateResult *one = response->add_response();
      *one->mutable_path() = path;
      one->set_op(op);
    };
    *response->mutable_prefix() = request->prefix();
    for (const gnmi::Path &path : request->delete_()) result(path, gnmi::UpdateResult::DELETE);
    for (const gnmi::Update &update : request->replace()) result(update.path(), gnmi::UpdateResult::REPLACE);
    for (const gnmi::Update &update : request->update()) result(update.path(), gnmi::UpdateResult::UPDATE);
    response->set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
    encode_extension({{"revision", answer.revision}}, *response->mutable_extension());
    return Status::OK;
  }

  Status
  Subscribe(grpc::ServerContext *context,
            grpc::ServerReaderWriter<gnmi::SubscribeResponse, gnmi::SubscribeRequest> *stream) override {
    ClientIdentity client;
    if (Status refused = allow(*context, Permission::read, &client); !refused.ok()) return refused;
    Active active(*this, *context, client);
    if (manager_.active_streams() > manager_.running_config()->terms.max_streams)
      return {StatusCode::RESOURCE_EXHAUSTED,
              "no more streams than " + std::to_string(manager_.running_config()->terms.max_streams) +
                  " at a time"};
    gnmi::SubscribeRequest request;
    if (!stream->Read(&request) || !request.has_subscribe())
      return {StatusCode::INVALID_ARGUMENT, "a subscription is due first"};
    Status ended;
    try {
      ended = follow(*context, *stream, active, request);
    } catch (const ModelError &error) {
      ended = status_of(error, false);
    } catch (const FrontStopping &ending) {
      ended = {StatusCode::UNAVAILABLE, ending.what()};
    }
    if (active.cut.load() == Active::Cut::behind)
      return {StatusCode::RESOURCE_EXHAUSTED, "the subscriber stayed behind for too long"};
    if (active.cut.load() == Active::Cut::expired)
      return {StatusCode::UNAUTHENTICATED, "the client's certificate has expired"};
    if (active.cut.load() == Active::Cut::unwelcome)
      return {StatusCode::PERMISSION_DENIED, client.name() + " may no longer read"};
    return ended;
  }

 private:
  using Stream = grpc::ServerReaderWriter<gnmi::SubscribeResponse, gnmi::SubscribeRequest>;

  // A subscription under way, for the keeper to cut.
  struct Active {
    enum class Cut { none, behind, expired, unwelcome };
    Active(Gnmi &owner, grpc::ServerContext &context, const ClientIdentity &who)
        : gnmi(owner), call(context), client(who) {
      gnmi.manager_.add_streams(1);
      std::lock_guard lock(gnmi.active_mutex_);
      place = gnmi.active_.insert(gnmi.active_.end(), this);
    }
    ~Active() {
      std::lock_guard lock(gnmi.active_mutex_);
      gnmi.active_.erase(place);
      gnmi.manager_.add_streams(-1);
    }
    Gnmi &gnmi;
    grpc::ServerContext &call;
    const ClientIdentity client;
    std::atomic<double> writing_since{0}; // 0: not writing
    std::atomic<Cut> cut{Cut::none};
    std::list<Active *>::iterator place;
  };

  Status allow(const grpc::ServerContext &context, Permission right, ClientIdentity *who = nullptr) {
    ClientIdentity client = identify_client(context, plaintext_);
    Status status = Status::OK;
    if (!plaintext_ && client.names.empty()) {
      status = {StatusCode::UNAUTHENTICATED, "a client certificate with a name is due"};
    } else if (client.expires_at > 0 && wall() >= client.expires_at) {
      status = {StatusCode::UNAUTHENTICATED, "the client's certificate has expired"};
    } else if (!is_allowed(client, right, manager_.running_config()->terms)) {
      status = {StatusCode::PERMISSION_DENIED,
                client.name() + " may not " + (right == Permission::set ? "set" : "read")};
    }
    if (who) *who = std::move(client);
    return status;
  }

  static double wall() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  }

  std::uint64_t pending(const std::string &commit_id) const {
    auto held = manager_.running_config();
    return held->confirm_deadline > 0 && held->commit_id == commit_id ? held->revision : 0;
  }

  // Watches over the confirm timers and over streams: one that does not read, or whose certificate ends, is
  // cut.
  void keep(const std::stop_token &stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      manager_.roll_back_expired();
      auto running = manager_.running_config();
      double behind = running->terms.max_lag;
      std::lock_guard lock(active_mutex_);
      for (Active *one : active_) {
        if (one->cut.load() != Active::Cut::none) continue;
        double since = one->writing_since;
        if (since > 0 && manager_.now() - since > behind) one->cut = Active::Cut::behind;
        if (one->client.expires_at > 0 && wall() >= one->client.expires_at) one->cut = Active::Cut::expired;
        if (!is_allowed(one->client, Permission::read, running->terms)) one->cut = Active::Cut::unwelcome;
        if (one->cut.load() == Active::Cut::none) continue;
        manager_.count_cancelled_stream();
        one->call.TryCancel();
      }
    }
  }

  bool write(Stream &stream, Active &active, const gnmi::SubscribeResponse &response) {
    active.writing_since = manager_.now();
    bool written = stream.Write(response);
    active.writing_since = 0;
    return written;
  }

  // A batch in messages of a bounded size; the last says which revision it completes.
  bool write(Stream &stream, Active &active, SubscriptionTracker::Batch batch, const Json &more,
             const std::map<std::string, std::uint32_t> &duplicates) {
    std::size_t update = 0, gone = 0;
    while (update < batch.updates.size() || gone < batch.deletes.size()) {
      gnmi::SubscribeResponse response;
      gnmi::Notification &notification = *response.mutable_update();
      notification.set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
      std::size_t left = kUpdatesAMessage;
      for (; gone < batch.deletes.size() && left > 0; ++gone, --left)
        encode_path(batch.deletes[gone], *notification.add_delete_());
      for (; update < batch.updates.size() && left > 0; ++update, --left) {
        gnmi::Update *one = notification.add_update();
        encode_path(batch.updates[update].path, *one->mutable_path());
        encode_value(batch.updates[update].value, *one->mutable_val());
        if (auto it = duplicates.find(model::path_to_text(batch.updates[update].path));
            it != duplicates.end())
          one->set_duplicates(it->second);
      }
      if (update == batch.updates.size() && gone == batch.deletes.size())
        encode_extension(more, *response.mutable_extension());
      if (!write(stream, active, response)) return false;
    }
    return true;
  }

  // How many changes of a path came as one, where a reader missed revisions in between.
  std::map<std::string, std::uint32_t> coalesced(std::uint64_t after, std::uint64_t until) const {
    std::map<std::string, std::uint32_t> out;
    if (until < after + 2) return out;
    auto before = manager_.document_at(after);
    for (std::uint64_t r = after + 1; before && r <= until; ++r) {
      auto next = manager_.document_at(r);
      if (!next) break;
      for (const model::Difference &one : manager_.model().diff(*before, *next)) ++out[one.path];
      before = std::move(next);
    }
    std::erase_if(out, [](const auto &entry) { return entry.second < 2; });
    for (auto &[path, count] : out) --count;
    return out;
  }

  static Subscription read_subscription(const gnmi::SubscriptionList &list, const gnmi::Subscription &one) {
    Subscription out;
    out.path = decode_path(list.prefix(), one.path());
    bool state = !out.path.empty() && out.path[0].name == "state";
    bool sample = one.mode() == gnmi::SAMPLE || (one.mode() == gnmi::TARGET_DEFINED && state);
    out.mode = sample ? Subscription::Mode::sample : Subscription::Mode::on_change;
    if (one.sample_interval() > 0) out.interval = static_cast<double>(one.sample_interval()) * 1e-9;
    out.heartbeat = static_cast<double>(one.heartbeat_interval()) * 1e-9;
    out.interval = std::max(out.interval, kLeastInterval);
    if (out.heartbeat > 0) out.heartbeat = std::max(out.heartbeat, kLeastInterval);
    out.suppress = one.suppress_redundant();
    return out;
  }

  Status follow(grpc::ServerContext &context, Stream &stream, Active &active,
                const gnmi::SubscribeRequest &request) {
    const gnmi::SubscriptionList &list = request.subscribe();
    if (!is_supported(list.encoding()))
      return {StatusCode::UNIMPLEMENTED, "encodings served: JSON, JSON_IETF"};
    std::vector<Subscription> subscriptions;
    bool history = false;
    for (const gnmi::Subscription &one : list.subscription()) {
      subscriptions.push_back(read_subscription(list, one));
      manager_.model().require_known_path(subscriptions.back().path);
      history = history || reaches_history(subscriptions.back().path);
    }
    if (subscriptions.empty()) return {StatusCode::INVALID_ARGUMENT, "a subscription to no path"};
    SubscriptionTracker follower(subscriptions, manager_.now());
    bool state = follower.covers_root("state");
    View view(manager_);
    auto look = [&](bool with_state) {
      view.take_configuration();
      if (with_state) view.take_state(history);
    };
    auto values = [&](const Path &path) { return view.leaves(path); };
    look(state);

    Json more = decode_extension(request.extension());
    std::string name = more.value("name", std::string());
    auto from = optional_uint64(more, "resume");
    bool resumed = false;
    if (auto document = from ? manager_.document_at(*from) : std::nullopt) {
      DataTree before = manager_.model().parse(*document);
      follower.mark_sent(manager_.model().leaves(before, {}));
      resumed = true;
    }
    if (list.updates_only()) {
      for (const Subscription &one : subscriptions) follower.mark_sent(view.leaves(one.path));
    }

    bool streams = list.mode() == gnmi::SubscriptionList::STREAM;
    std::uint64_t at = resumed ? *from : view.held().revision, noted = 0;
    std::uint64_t told_at = at; // when something was last told: all that changed since is still owed
    double next_state = manager_.now() + kStatePoll;
    for (bool first = true;; first = false) {
      std::uint64_t revision = view.held().revision;
      Json says{{"revision", revision}};
      if (first) says["resumed"] = resumed;
      SubscriptionTracker::Batch batch = follower.collect_due(manager_.now(), values);
      if (!batch.empty()) {
        auto duplicates = coalesced(told_at, revision);
        told_at = revision;
        if (!write(stream, active, std::move(batch), says, duplicates)) break;
      }

      if (first || !streams) {
        gnmi::SubscribeResponse synced;
        synced.set_sync_response(true);
        encode_extension(says, *synced.mutable_extension());
        if (!write(stream, active, synced)) break;
      }
      at = revision;
      if (!name.empty() && at != noted) manager_.record_position(name, noted = at, first);
      if (list.mode() == gnmi::SubscriptionList::ONCE) return Status::OK;
      if (list.mode() == gnmi::SubscriptionList::POLL) {
        gnmi::SubscribeRequest poll;
        if (!stream.Read(&poll)) break;
        if (!poll.has_poll())
          return {StatusCode::INVALID_ARGUMENT, "only polls are due after the subscription"};
        follower = SubscriptionTracker(subscriptions, manager_.now()); // a poll asks for all values
        look(state);
        continue;
      }
      for (;;) { // until something is due
        if (context.IsCancelled()) return {StatusCode::CANCELLED, "cancelled"};
        double due = std::min(follower.next_due(), state ? next_state : INFINITY);
        double wait = std::min(due - manager_.now(), kLook);
        if (manager_.wait_for_change(at, wait) || manager_.now() >= due) break;
      }
      bool look_at_state = state && (manager_.now() >= next_state || manager_.now() >= follower.next_due());
      if (look_at_state) next_state = manager_.now() + kStatePoll;
      look(look_at_state);
    }
    if (!name.empty() && at != 0) manager_.record_position(name, at, true);
    return {StatusCode::CANCELLED, "the subscriber is gone"};
  }

  ConfigManager &manager_;
  const bool plaintext_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  std::mutex active_mutex_;
  std::list<Active *> active_;
  std::jthread keeper_;
};

Service::Service(ConfigManager &manager, const site::ManagementSettings &terms)
    : gnmi_(std::make_unique<Gnmi>(manager, terms)) {}
Service::~Service() = default;
int Service::port() const { return gnmi_->port(); }

} // namespace snowshore::management
