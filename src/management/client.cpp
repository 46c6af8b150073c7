#include "management/client.h"
#include "gnmi.grpc.pb.h"
#include "management/access.h"
#include "management/gnmi_codec.h"

#include <grpcpp/grpcpp.h>

#include <condition_variable>
#include <set>
#include <thread>

namespace snowshore::management {

using model::Json;
using model::Path;

namespace {

// Above the 64 MB to which the service limits the answer to a Get.
constexpr int kMaxMessageBytes = 128 << 20;

std::shared_ptr<grpc::Channel> create_channel(const Target &target) {
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Without a pool of its own, a client would share its connection back-off with others of the process.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 50);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  if (target.authority.empty())
    return grpc::CreateCustomChannel(target.address, grpc::InsecureChannelCredentials(), arguments);
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = read_pem_file(target.authority);
  if (!target.certificate.empty()) {
    options.pem_cert_chain = read_pem_file(target.certificate);
    options.pem_private_key = read_pem_file(target.key);
  }
  if (!target.server_name.empty()) arguments.SetSslTargetNameOverride(target.server_name);
  return grpc::CreateCustomChannel(target.address, grpc::SslCredentials(options), arguments);
}

void set_deadline(grpc::ClientContext &context, double seconds) {
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1e3)));
}

Reply to_reply(const grpc::Status &status) { return {status.error_code(), status.error_message(), 0}; }

} // namespace

struct ManagementClient::Channel {
  explicit Channel(const Target &target)
      : channel(create_channel(target)), stub(gnmi::gNMI::NewStub(channel)) {}
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<gnmi::gNMI::Stub> stub;
};

ManagementClient::ManagementClient(const Target &target) : channel_(std::make_unique<Channel>(target)) {}
ManagementClient::~ManagementClient() = default;

Reply ManagementClient::get(const std::vector<Path> &paths, DataType type,
                            std::vector<model::PathValue> &into, double seconds) {
  grpc::ClientContext context;
  set_deadline(context, seconds);
  gnmi::GetRequest request;
  request.set_encoding(gnmi::JSON_IETF);
  request.set_type(type == DataType::configuration ? gnmi::GetRequest::CONFIG
                   : type == DataType::state       ? gnmi::GetRequest::STATE
                                                   : gnmi::GetRequest::ALL);
  for (const Path &path : paths) encode_path(path, *request.add_path());
  gnmi::GetResponse response;
  Reply reply = to_reply(channel_->stub->Get(&context, request, &response));
  if (!reply.ok()) return reply;
  for (const gnmi::Notification &notification : response.notification()) {
    for (const gnmi::Update &update : notification.update())
      into.push_back({decode_path({}, update.path()), decode_value(update.val(), {})});
  }
  reply.revision = optional_uint64(decode_extension(response.extension()), "revision").value_or(0);
  return reply;
}

Reply ManagementClient::set(const std::vector<model::Edit> &edits, const SetOptions &options,
                            double seconds) {
  grpc::ClientContext context;
  set_deadline(context, seconds);
  gnmi::SetRequest request;
  for (const model::Edit &edit : edits) {
    if (edit.kind == model::Edit::Kind::remove) {
      encode_path(edit.path, *request.add_delete_());
      continue;
    }
    gnmi::Update *update =
        edit.kind == model::Edit::Kind::replace ? request.add_replace() : request.add_update();
    encode_path(edit.path, *update->mutable_path());
    encode_value(edit.value, *update->mutable_val());
  }
  Json fields = Json::object();
  if (!options.cause.empty()) fields["cause"] = options.cause;
  if (options.expected_revision) fields["revision"] = *options.expected_revision;
  if (options.rollback_revision) fields["roll_back"] = *options.rollback_revision;
  if (!fields.empty()) encode_extension(fields, *request.mutable_extension());
  if (options.commit != SetOptions::Commit::none) {
    gnmi_ext::Commit *commit = request.add_extension()->mutable_commit();
    commit->set_id(options.commit_id);
    if (options.commit == SetOptions::Commit::confirm) {
      commit->mutable_confirm();
    } else if (options.commit == SetOptions::Commit::cancel) {
      commit->mutable_cancel();
    } else {
      auto *duration = commit->mutable_commit()->mutable_rollback_duration();
      duration->set_seconds(static_cast<std::int64_t>(options.confirm_within));
      duration->set_nanos(
          static_cast<int>((options.confirm_within - std::floor(options.confirm_within)) * 1e9));
    }
  }
  gnmi::SetResponse response;
  Reply reply = to_reply(channel_->stub->Set(&context, request, &response));
  if (reply.ok())
    reply.revision = optional_uint64(decode_extension(response.extension()), "revision").value_or(0);
  return reply;
}

Reply ManagementClient::capabilities(std::string &into, double seconds) {
  grpc::ClientContext context;
  set_deadline(context, seconds);
  gnmi::CapabilityResponse response;
  Reply reply = to_reply(channel_->stub->Capabilities(&context, {}, &response));
  if (reply.ok()) into = response.ShortDebugString();
  return reply;
}

// Watch

// What the destructor uses to stop the thread. The mutex guards call and ended.
struct Watch::Run {
  std::mutex mutex;
  std::condition_variable wake;
  grpc::ClientContext *call = nullptr; // of the stream in progress
  bool ended = false;
  std::thread thread;
};

Watch::Watch(const Target &target, Options options, UpdateCallback on_update)
    : target_(target), options_(std::move(options)), on_update_(std::move(on_update)),
      run_(std::make_unique<Run>()) {
  run_->thread = std::thread([this] { follow(); });
}

Watch::~Watch() {
  {
    std::lock_guard lock(run_->mutex);
    run_->ended = true;
    if (run_->call) run_->call->TryCancel();
  }
  run_->wake.notify_all();
  run_->thread.join();
}

std::map<std::string, Json> Watch::view() const {
  std::lock_guard lock(mutex_);
  return view_;
}

void Watch::apply_update(const std::string &path, const Json *value) {
  {
    std::lock_guard lock(mutex_);
    auto it = view_.find(path);
    if (value ? it != view_.end() && it->second == *value : it == view_.end()) return; // unchanged
    if (value)
      view_[path] = *value;
    else
      view_.erase(it);
  }
  if (on_update_) on_update_(path, value);
}

void Watch::follow() {
  double backoff = options_.initial_backoff;
  while (state_.load() != State::ended) {
    set_state(State::connecting);
    ManagementClient client(target_);
    grpc::ClientContext context;
    {
      std::lock_guard lock(run_->mutex);
      if (run_->ended) return set_state(State::ended);
      run_->call = &context;
    }
    auto stream = client.channel_->stub->Subscribe(&context);
    gnmi::SubscribeRequest request;
    gnmi::SubscriptionList &list = *request.mutable_subscribe();
    list.set_encoding(gnmi::JSON_IETF);
    for (const Path &path : options_.paths) {
      gnmi::Subscription *subscription = list.add_subscription();
      encode_path(path, *subscription->mutable_path());
      subscription->set_mode(options_.sample_interval > 0 ? gnmi::SAMPLE : gnmi::ON_CHANGE);
      subscription->set_sample_interval(static_cast<std::uint64_t>(options_.sample_interval * 1e9));
      subscription->set_suppress_redundant(true);
    }
    Json fields = Json::object();
    if (!options_.name.empty()) fields["name"] = options_.name;
    if (revision_ > 0) fields["resume"] = revision_.load();
    encode_extension(fields, *request.mutable_extension());
    ++streams_;
    bool resumed = false, is_synced = false;
    // The paths received before the sync response. What else the view has is gone at the front.
    std::set<std::string> seen;
    if (stream->Write(request)) {
      set_state(State::syncing);
      gnmi::SubscribeResponse response;
      while (stream->Read(&response)) {
        backoff = options_.initial_backoff;
        Json fields_received = Json::object();
        try {
          fields_received = decode_extension(response.extension());
          for (const gnmi::Path &removed : response.update().delete_())
            apply_update(model::path_to_text(decode_path({}, removed)), nullptr);
          for (const gnmi::Update &update : response.update().update()) {
            std::string path = model::path_to_text(decode_path({}, update.path()));
            Json value = decode_value(update.val(), {});
            apply_update(path, &value);
            if (!is_synced) seen.insert(std::move(path));
          }
        } catch (const model::ModelError &) { // not a snowshore front: ends the stream
          context.TryCancel();
          break;
        }
        if (fields_received.value("resumed", false) && !resumed) {
          resumed = true;
          ++resumed_;
        }
        if (response.sync_response() && !is_synced) {
          is_synced = true;
          std::vector<std::string> removed;
          for (const auto &[path, value] : view()) {
            // A resumed stream sends of the configuration only what differs.
            bool unchanged = resumed && path.starts_with("/front");
            if (!unchanged && !seen.contains(path)) removed.push_back(path);
          }
          for (const std::string &path : removed) apply_update(path, nullptr);
          set_state(State::following);
        }
        if (is_synced && fields_received.contains("revision"))
          revision_ = fields_received["revision"].get<std::uint64_t>();
      }
    }
    stream->Finish();
    std::unique_lock lock(run_->mutex);
    run_->call = nullptr;
    set_state(State::pausing);
    run_->wake.wait_for(lock, std::chrono::duration<double>(backoff), [&] { return run_->ended; });
    if (run_->ended) return set_state(State::ended);
    backoff = std::min(backoff * 2, options_.max_backoff);
  }
}

} // namespace snowshore::management
