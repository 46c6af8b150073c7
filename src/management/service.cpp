#include "management/service.h"
#include "gnmi.grpc.pb.h"
#include "management/access.h"
#include "management/gnmi_codec.h"
#include "management/subscription_tracker.h"

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

// Seconds between reads of the state for on-change subscriptions.
constexpr double kStatePollInterval = 1;
// Seconds after which a waiting stream checks whether it was cancelled.
constexpr double kCancelCheckInterval = 0.25;
constexpr std::size_t kMaxUpdatesPerMessage = 500;
constexpr std::size_t kMaxGetBytes = 64 << 20;
constexpr unsigned kCertificateReloadSeconds = 1;
// The shortest accepted interval of samples and heartbeats, in seconds.
constexpr double kMinInterval = 0.01;
constexpr int kMaxThreads = 1200;

// An unknown path is NOT_FOUND for a read, and an invalid argument in a Set.
Status to_status(const ModelError &error, bool in_set) {
  if (error.kind == model::ModelErrorKind::unknown_path && !in_set)
    return {StatusCode::NOT_FOUND, error.what()};
  return {StatusCode::INVALID_ARGUMENT, error.what()};
}

Status to_status(const ChangeResult &result) {
  switch (result.error) {
  case ChangeError::none:
    return Status::OK;
  case ChangeError::invalid:
    return {StatusCode::INVALID_ARGUMENT, result.message};
  case ChangeError::conflict:
  case ChangeError::unconfirmed_change:
  case ChangeError::apply_failed:
    return {StatusCode::FAILED_PRECONDITION, result.message};
  case ChangeError::stale_revision:
    return {StatusCode::ABORTED, result.message};
  case ChangeError::unknown_revision:
    return {StatusCode::NOT_FOUND, result.message};
  case ChangeError::too_many_pending:
    return {StatusCode::RESOURCE_EXHAUSTED, result.message};
  case ChangeError::storage_failed:
  case ChangeError::front_stopping:
    return {StatusCode::UNAVAILABLE, result.message};
  }
  return {StatusCode::INTERNAL, result.message};
}

double to_seconds(const google::protobuf::Duration &d) {
  return static_cast<double>(d.seconds()) + d.nanos() * 1e-9;
}

// Whether the path may name nodes at or below /root.
bool may_reach(const Path &path, std::string_view root) {
  return path.empty() || path[0].name == "*" || path[0].name == "..." || path[0].name == root;
}

bool may_reach_history(const Path &path) {
  return may_reach(path, "state") && (path.size() < 2 || path[0].name == "..." || path[1].name == "history" ||
                                      path[1].name == "*" || path[1].name == "...");
}

// The data that a call reads: the configuration of one revision, and the state at about the same time.
class View {
 public:
  explicit View(ConfigManager &manager) : manager_(manager) {}
  void load_configuration() {
    auto config = manager_.running_config();
    if (config == config_) return;
    config_ = config;
    configuration_ = manager_.model().parse(config->document);
  }
  void load_state(bool with_history) {
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
  const RunningConfig &config() const { return *config_; }

 private:
  template <class F> std::vector<PathValue> gather(const Path &path, F read) const {
    std::vector<PathValue> out;
    if (config_ && may_reach(path, "front")) out = read(configuration_);
    if (!has_state_ || !may_reach(path, "state")) return out;
    for (PathValue &leaf : read(state_)) out.push_back(std::move(leaf));
    return out;
  }
  ConfigManager &manager_;
  std::shared_ptr<const RunningConfig> config_;
  DataTree configuration_, state_;
  bool has_state_ = false;
};

std::shared_ptr<grpc::ServerCredentials> server_credentials(const config::ManagementSettings &terms) {
  if (terms.plaintext) return grpc::InsecureServerCredentials();
  for (const std::string *name : {&terms.certificate, &terms.key, &terms.client_authority})
    read_pem_file(*name);
  // Reloads the files when they change. Streams in progress keep the certificates that they started with.
  auto files = std::make_shared<grpc::experimental::FileWatcherCertificateProvider>(
      terms.key, terms.certificate, terms.client_authority, kCertificateReloadSeconds);
  grpc::experimental::TlsServerCredentialsOptions options(files);
  options.watch_root_certs();
  options.watch_identity_key_cert_pairs();
  options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  return grpc::experimental::TlsServerCredentials(options);
}

} // namespace

// The generated service with its server, and the thread that supervises streams.
class Service::Gnmi final : public gnmi::gNMI::Service {
 public:
  Gnmi(ConfigManager &manager, const config::ManagementSettings &terms)
      : manager_(manager), plaintext_(terms.plaintext) {
    grpc::ServerBuilder builder;
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(kMaxThreads);
    builder.SetResourceQuota(quota);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    // Keep-alive detects clients that vanish without closing the connection.
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, 10000);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 5000);
    builder.AddListeningPort(terms.listen, server_credentials(terms), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (!server_ || port_ == 0) throw std::runtime_error("management: cannot listen at " + terms.listen);
    watchdog_ = std::jthread([this](const std::stop_token &stop) { run_watchdog(stop); });
  }

  ~Gnmi() override {
    watchdog_.request_stop();
    server_->Shutdown(std::chrono::system_clock::now());
    server_->Wait();
  }

  int port() const { return port_; }

  Status Capabilities(grpc::ServerContext *context, const gnmi::CapabilityRequest *,
                      gnmi::CapabilityResponse *response) override {
    if (Status denied = authorize(*context, Permission::read); !denied.ok()) return denied;
    auto *model = response->add_supported_models();
    model->set_name(model::Model::kModuleName);
    model->set_organization(model::Model::kModuleOrganization);
    model->set_version(model::Model::kModuleRevision);
    response->add_supported_encodings(gnmi::JSON);
    response->add_supported_encodings(gnmi::JSON_IETF);
    response->set_gnmi_version("0.10.0");
    return Status::OK;
  }

  Status Get(grpc::ServerContext *context, const gnmi::GetRequest *request,
             gnmi::GetResponse *response) override {
    if (Status denied = authorize(*context, Permission::read); !denied.ok()) return denied;
    if (!is_supported(request->encoding()))
      return {StatusCode::UNIMPLEMENTED, "supported encodings: JSON, JSON_IETF"};
    try {
      std::vector<Path> paths;
      for (const gnmi::Path &path : request->path()) paths.push_back(decode_path(request->prefix(), path));
      if (paths.empty()) paths.push_back(decode_path(request->prefix(), {}));
      bool configuration =
          request->type() == gnmi::GetRequest::ALL || request->type() == gnmi::GetRequest::CONFIG;
      bool state = request->type() != gnmi::GetRequest::CONFIG;
      auto any_path = [&](auto test) { return std::ranges::any_of(paths, test); };
      View view(manager_);
      std::uint64_t revision = manager_.running_config()->revision;
      if (configuration) {
        view.load_configuration();
        revision = view.config().revision;
      }
      if (state && any_path([](const Path &path) { return may_reach(path, "state"); }))
        view.load_state(any_path(may_reach_history));
      std::size_t bytes = 0;
      for (const Path &path : paths) {
        manager_.model().require_known_path(path);
        gnmi::Notification *notification = response->add_notification();
        notification->set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
        for (const PathValue &leaf : view.subtrees(path)) {
          gnmi::Update *update = notification->add_update();
          encode_path(leaf.path, *update->mutable_path());
          encode_value(leaf.value, *update->mutable_val());
          if ((bytes += update->ByteSizeLong()) > kMaxGetBytes)
            return {StatusCode::RESOURCE_EXHAUSTED,
                    model::path_to_text(path) + ": the answer exceeds 64 MB; use Subscribe with mode ONCE"};
        }
        if (notification->update_size() == 0 && !model::has_wildcard(path) && !path.empty())
          return {StatusCode::NOT_FOUND, model::path_to_text(path) + ": no such data"};
      }
      encode_extension({{"revision", revision}}, *response->mutable_extension());
      return Status::OK;
    } catch (const ModelError &error) {
      return to_status(error, false);
    } catch (const FrontStopping &stopping) {
      return {StatusCode::UNAVAILABLE, stopping.what()};
    }
  }

  Status Set(grpc::ServerContext *context, const gnmi::SetRequest *request,
             gnmi::SetResponse *response) override {
    ClientIdentity client;
    if (Status denied = authorize(*context, Permission::set, &client); !denied.ok()) return denied;
    ChangeResult result;
    try {
      ConfigManager::Request change;
      change.edits = decode_edits(*request);
      change.user = client.name();
      Json fields = decode_extension(request->extension());
      change.expected_revision = optional_uint64(fields, "revision");
      change.cause = fields.value("cause", std::string("gNMI Set"));
      const gnmi_ext::Commit *commit = nullptr;
      for (const gnmi_ext::Extension &extension : request->extension()) {
        if (extension.has_commit()) commit = &extension.commit();
        if (extension.has_master_arbitration())
          return {StatusCode::UNIMPLEMENTED, "master arbitration is not supported"};
      }
      auto rollback_revision = optional_uint64(fields, "roll_back");
      if (commit && commit->has_confirm()) {
        result = manager_.confirm(unconfirmed_revision(commit->id()), client.name());
      } else if (commit && commit->has_cancel()) {
        result = manager_.cancel(unconfirmed_revision(commit->id()), client.name());
      } else if (commit && !commit->has_commit()) {
        return {StatusCode::UNIMPLEMENTED, "supported commit actions: commit, confirm, cancel"};
      } else if (rollback_revision) {
        if (!change.edits.empty()) return {StatusCode::INVALID_ARGUMENT, "a rollback must not contain edits"};
        result = manager_.roll_back(*rollback_revision, client.name());
      } else {
        if (commit) {
          change.confirm_within = to_seconds(commit->commit().rollback_duration());
          change.commit_id = commit->id();
          if (!(change.confirm_within > 0 && change.confirm_within < 1e7) || change.commit_id.empty())
            return {StatusCode::INVALID_ARGUMENT,
                    "a commit to confirm needs an id and a rollback_duration above 0"};
        }
        result = manager_.set(change);
      }
    } catch (const ModelError &error) {
      return to_status(error, true);
    } catch (const Json::exception &error) {
      return {StatusCode::INVALID_ARGUMENT, std::string("extension: ") + error.what()};
    }
    if (result.error != ChangeError::none) return to_status(result);
    auto add_update_result = [&](const gnmi::Path &path, gnmi::UpdateResult::Operation op) {
      gnmi::UpdateResult *update_result = response->add_response();
      *update_result->mutable_path() = path;
      update_result->set_op(op);
    };
    *response->mutable_prefix() = request->prefix();
    for (const gnmi::Path &path : request->delete_()) add_update_result(path, gnmi::UpdateResult::DELETE);
    for (const gnmi::Update &update : request->replace())
      add_update_result(update.path(), gnmi::UpdateResult::REPLACE);
    for (const gnmi::Update &update : request->update())
      add_update_result(update.path(), gnmi::UpdateResult::UPDATE);
    response->set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
    encode_extension({{"revision", result.revision}}, *response->mutable_extension());
    return Status::OK;
  }

  Status
  Subscribe(grpc::ServerContext *context,
            grpc::ServerReaderWriter<gnmi::SubscribeResponse, gnmi::SubscribeRequest> *stream) override {
    ClientIdentity client;
    if (Status denied = authorize(*context, Permission::read, &client); !denied.ok()) return denied;
    ActiveStream active(*this, *context, client);
    if (manager_.active_streams() > manager_.running_config()->terms.max_streams)
      return {StatusCode::RESOURCE_EXHAUSTED,
              "at most " + std::to_string(manager_.running_config()->terms.max_streams) +
                  " streams at a time are allowed"};
    gnmi::SubscribeRequest request;
    if (!stream->Read(&request) || !request.has_subscribe())
      return {StatusCode::INVALID_ARGUMENT, "the first message must be a subscription"};
    Status status;
    try {
      status = follow(*context, *stream, active, request);
    } catch (const ModelError &error) {
      status = to_status(error, false);
    } catch (const FrontStopping &stopping) {
      status = {StatusCode::UNAVAILABLE, stopping.what()};
    }
    if (active.cancel_reason.load() == ActiveStream::CancelReason::too_slow)
      return {StatusCode::RESOURCE_EXHAUSTED, "the subscriber did not read for too long"};
    if (active.cancel_reason.load() == ActiveStream::CancelReason::certificate_expired)
      return {StatusCode::UNAUTHENTICATED, "the client's certificate has expired"};
    if (active.cancel_reason.load() == ActiveStream::CancelReason::not_allowed)
      return {StatusCode::PERMISSION_DENIED, client.name() + " is no longer allowed to read"};
    return status;
  }

 private:
  using Stream = grpc::ServerReaderWriter<gnmi::SubscribeResponse, gnmi::SubscribeRequest>;

  // A subscription in progress, registered so that the watchdog can cancel it.
  struct ActiveStream {
    enum class CancelReason { none, too_slow, certificate_expired, not_allowed };
    ActiveStream(Gnmi &owner, grpc::ServerContext &context, const ClientIdentity &identity)
        : gnmi(owner), call(context), client(identity) {
      gnmi.manager_.add_streams(1);
      std::lock_guard lock(gnmi.active_mutex_);
      position = gnmi.active_streams_.insert(gnmi.active_streams_.end(), this);
    }
    ~ActiveStream() {
      std::lock_guard lock(gnmi.active_mutex_);
      gnmi.active_streams_.erase(position);
      gnmi.manager_.add_streams(-1);
    }
    Gnmi &gnmi;
    grpc::ServerContext &call;
    const ClientIdentity client;
    // When the write in progress began, as ConfigManager::now(); 0: no write is in progress.
    std::atomic<double> writing_since{0};
    std::atomic<CancelReason> cancel_reason{CancelReason::none};
    std::list<ActiveStream *>::iterator position;
  };

  // Checks the client's certificate and permission, and returns its identity.
  Status authorize(const grpc::ServerContext &context, Permission permission,
                   ClientIdentity *identity = nullptr) {
    ClientIdentity client = identify_client(context, plaintext_);
    Status status = Status::OK;
    if (!plaintext_ && client.names.empty()) {
      status = {StatusCode::UNAUTHENTICATED, "a client certificate with a name is required"};
    } else if (client.expires_at > 0 && wall_time() >= client.expires_at) {
      status = {StatusCode::UNAUTHENTICATED, "the client's certificate has expired"};
    } else if (!is_allowed(client, permission, manager_.running_config()->terms)) {
      status = {StatusCode::PERMISSION_DENIED,
                client.name() + " is not allowed to " + (permission == Permission::set ? "set" : "read")};
    }
    if (identity) *identity = std::move(client);
    return status;
  }

  static double wall_time() {
    return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  }

  // Returns the revision that awaits confirmation under the id, or 0.
  std::uint64_t unconfirmed_revision(const std::string &commit_id) const {
    auto config = manager_.running_config();
    return config->confirm_deadline > 0 && config->commit_id == commit_id ? config->revision : 0;
  }

  // Rolls back changes that were not confirmed in time, and cancels streams whose client does not read, whose
  // certificate has expired or which may no longer read. Runs on a thread of its own.
  void run_watchdog(const std::stop_token &stop) {
    while (!stop.stop_requested()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      manager_.roll_back_expired();
      auto config = manager_.running_config();
      double write_limit = config->terms.max_lag;
      std::lock_guard lock(active_mutex_);
      for (ActiveStream *active : active_streams_) {
        if (active->cancel_reason.load() != ActiveStream::CancelReason::none) continue;
        double writing_since = active->writing_since;
        if (writing_since > 0 && manager_.now() - writing_since > write_limit)
          active->cancel_reason = ActiveStream::CancelReason::too_slow;
        if (active->client.expires_at > 0 && wall_time() >= active->client.expires_at)
          active->cancel_reason = ActiveStream::CancelReason::certificate_expired;
        if (!is_allowed(active->client, Permission::read, config->terms))
          active->cancel_reason = ActiveStream::CancelReason::not_allowed;
        if (active->cancel_reason.load() == ActiveStream::CancelReason::none) continue;
        manager_.count_cancelled_stream();
        active->call.TryCancel();
      }
    }
  }

  // Writes one message; blocks while the subscriber does not read. Returns false once the stream is broken.
  bool write(Stream &stream, ActiveStream &active, const gnmi::SubscribeResponse &response) {
    active.writing_since = manager_.now();
    bool written = stream.Write(response);
    active.writing_since = 0;
    return written;
  }

  // Writes a batch as messages of bounded size. The last one carries the extension, with the revision that
  // the batch completes.
  bool write(Stream &stream, ActiveStream &active, SubscriptionTracker::Batch batch, const Json &fields,
             const std::map<std::string, std::uint32_t> &duplicates) {
    std::size_t update = 0, removed = 0;
    while (update < batch.updates.size() || removed < batch.deletes.size()) {
      gnmi::SubscribeResponse response;
      gnmi::Notification &notification = *response.mutable_update();
      notification.set_timestamp(static_cast<std::int64_t>(manager_.now() * 1e9));
      std::size_t left = kMaxUpdatesPerMessage;
      for (; removed < batch.deletes.size() && left > 0; ++removed, --left)
        encode_path(batch.deletes[removed], *notification.add_delete_());
      for (; update < batch.updates.size() && left > 0; ++update, --left) {
        gnmi::Update *target = notification.add_update();
        encode_path(batch.updates[update].path, *target->mutable_path());
        encode_value(batch.updates[update].value, *target->mutable_val());
        if (auto it = duplicates.find(model::path_to_text(batch.updates[update].path));
            it != duplicates.end())
          target->set_duplicates(it->second);
      }
      if (update == batch.updates.size() && removed == batch.deletes.size())
        encode_extension(fields, *response.mutable_extension());
      if (!write(stream, active, response)) return false;
    }
    return true;
  }

  // Counts, for each path, the changes between two revisions that the next update leaves out (gNMI's
  // duplicates).
  std::map<std::string, std::uint32_t> count_coalesced(std::uint64_t after, std::uint64_t until) const {
    std::map<std::string, std::uint32_t> out;
    if (until < after + 2) return out;
    auto before = manager_.document_at(after);
    for (std::uint64_t revision = after + 1; before && revision <= until; ++revision) {
      auto next = manager_.document_at(revision);
      if (!next) break;
      for (const model::Difference &difference : manager_.model().diff(*before, *next))
        ++out[difference.path];
      before = std::move(next);
    }
    std::erase_if(out, [](const auto &entry) { return entry.second < 2; });
    for (auto &[path, count] : out) --count;
    return out;
  }

  static Subscription decode_subscription(const gnmi::SubscriptionList &list,
                                          const gnmi::Subscription &source) {
    Subscription out;
    out.path = decode_path(list.prefix(), source.path());
    bool is_state = !out.path.empty() && out.path[0].name == "state";
    bool is_sample = source.mode() == gnmi::SAMPLE || (source.mode() == gnmi::TARGET_DEFINED && is_state);
    out.mode = is_sample ? Subscription::Mode::sample : Subscription::Mode::on_change;
    if (source.sample_interval() > 0) out.interval = static_cast<double>(source.sample_interval()) * 1e-9;
    out.heartbeat = static_cast<double>(source.heartbeat_interval()) * 1e-9;
    out.interval = std::max(out.interval, kMinInterval);
    if (out.heartbeat > 0) out.heartbeat = std::max(out.heartbeat, kMinInterval);
    out.suppress = source.suppress_redundant();
    return out;
  }

  // Serves a subscription until the stream ends.
  Status follow(grpc::ServerContext &context, Stream &stream, ActiveStream &active,
                const gnmi::SubscribeRequest &request) {
    const gnmi::SubscriptionList &list = request.subscribe();
    if (!is_supported(list.encoding()))
      return {StatusCode::UNIMPLEMENTED, "supported encodings: JSON, JSON_IETF"};
    std::vector<Subscription> subscriptions;
    bool with_history = false;
    for (const gnmi::Subscription &subscription : list.subscription()) {
      subscriptions.push_back(decode_subscription(list, subscription));
      manager_.model().require_known_path(subscriptions.back().path);
      with_history = with_history || may_reach_history(subscriptions.back().path);
    }
    if (subscriptions.empty()) return {StatusCode::INVALID_ARGUMENT, "the subscription has no path"};
    SubscriptionTracker tracker(subscriptions, manager_.now());
    bool watches_state = tracker.covers_root("state");
    View view(manager_);
    auto refresh = [&](bool with_state) {
      view.load_configuration();
      if (with_state) view.load_state(with_history);
    };
    auto values = [&](const Path &path) { return view.leaves(path); };
    refresh(watches_state);

    Json fields = decode_extension(request.extension());
    std::string name = fields.value("name", std::string());
    auto resume_from = optional_uint64(fields, "resume");
    bool resumed = false;
    if (auto document = resume_from ? manager_.document_at(*resume_from) : std::nullopt) {
      DataTree before = manager_.model().parse(*document);
      tracker.mark_sent(manager_.model().leaves(before, {}));
      resumed = true;
    }
    if (list.updates_only()) {
      for (const Subscription &subscription : subscriptions)
        tracker.mark_sent(view.leaves(subscription.path));
    }

    bool is_stream = list.mode() == gnmi::SubscriptionList::STREAM;
    std::uint64_t sent_revision = resumed ? *resume_from : view.config().revision, recorded_revision = 0;
    // The revision of the last batch. The changes since then are not sent yet.
    std::uint64_t last_batch_revision = sent_revision;
    double next_state_poll = manager_.now() + kStatePollInterval;
    for (bool first = true;; first = false) {
      std::uint64_t revision = view.config().revision;
      Json extension{{"revision", revision}};
      if (first) extension["resumed"] = resumed;
      SubscriptionTracker::Batch batch = tracker.collect_due(manager_.now(), values);
      if (!batch.empty()) {
        auto duplicates = count_coalesced(last_batch_revision, revision);
        last_batch_revision = revision;
        if (!write(stream, active, std::move(batch), extension, duplicates)) break;
      }

      if (first || !is_stream) {
        gnmi::SubscribeResponse sync;
        sync.set_sync_response(true);
        encode_extension(extension, *sync.mutable_extension());
        if (!write(stream, active, sync)) break;
      }
      sent_revision = revision;
      if (!name.empty() && sent_revision != recorded_revision)
        manager_.record_position(name, recorded_revision = sent_revision, first);
      if (list.mode() == gnmi::SubscriptionList::ONCE) return Status::OK;
      if (list.mode() == gnmi::SubscriptionList::POLL) {
        gnmi::SubscribeRequest poll;
        if (!stream.Read(&poll)) break;
        if (!poll.has_poll())
          return {StatusCode::INVALID_ARGUMENT, "only poll messages may follow the subscription"};
        // A poll is answered with all values, so the record of the sent ones starts afresh.
        tracker = SubscriptionTracker(subscriptions, manager_.now());
        refresh(watches_state);
        continue;
      }
      // Waits until an update is due, the configuration changes or the call is cancelled.
      for (;;) {
        if (context.IsCancelled()) return {StatusCode::CANCELLED, "cancelled"};
        double due = std::min(tracker.next_due(), watches_state ? next_state_poll : INFINITY);
        double wait = std::min(due - manager_.now(), kCancelCheckInterval);
        if (manager_.wait_for_change(sent_revision, wait) || manager_.now() >= due) break;
      }
      bool refresh_state =
          watches_state && (manager_.now() >= next_state_poll || manager_.now() >= tracker.next_due());
      if (refresh_state) next_state_poll = manager_.now() + kStatePollInterval;
      refresh(refresh_state);
    }
    if (!name.empty() && sent_revision != 0) manager_.record_position(name, sent_revision, true);
    return {StatusCode::CANCELLED, "the subscriber closed the stream"};
  }

  ConfigManager &manager_;
  const bool plaintext_;
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
  std::mutex active_mutex_;
  std::list<ActiveStream *> active_streams_;
  std::jthread watchdog_;
};

Service::Service(ConfigManager &manager, const config::ManagementSettings &terms)
    : gnmi_(std::make_unique<Gnmi>(manager, terms)) {}
Service::~Service() = default;
int Service::port() const { return gnmi_->port(); }

} // namespace snowshore::management
