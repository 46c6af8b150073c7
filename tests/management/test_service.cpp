#include "gnmi.grpc.pb.h"
#include "management/certificates.h"
#include "management/client.h"
#include "management/gnmi_codec.h"
#include "management/manager_fixture.h"
#include "management/service.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <future>
#include <random>
#include <thread>

using namespace snowshore;
using namespace snowshore::testing;
using management::DataType;
using management::ManagementClient;
using management::SetOptions;
using management::Target;
using management::Watch;
using model::Edit;
using model::Json;
using model::parse_path;

namespace {

using Code = grpc::StatusCode;

std::string management_record(const std::string &listen = "127.0.0.1:0", const std::string &more = "") {
  return "management: {listen: \"" + listen + "\", store: \"s\", plaintext: true, " + more + "}";
}

// A front's management with its service, as the program assembles it.
struct Served {
  Rig rig;
  std::unique_ptr<management::Service> service;
  explicit Served(const std::string &folder, const std::string &more = management_record())
      : rig(folder, more) {
    service = std::make_unique<management::Service>(rig.manager, front_record(more).management);
  }
  Target target() const { return {"127.0.0.1:" + std::to_string(service->port()), "", "", "", ""}; }
  std::unique_ptr<gnmi::gNMI::Stub> stub(int window = 0) const {
    grpc::ChannelArguments arguments;
    if (window) {
      arguments.SetInt(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES, window);
      arguments.SetInt("grpc.http2.bdp_probe", 0);
    }
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(-1);
    return gnmi::gNMI::NewStub(
        grpc::CreateCustomChannel(target().address, grpc::InsecureChannelCredentials(), arguments));
  }
};

std::vector<Edit> update(const char *path, Json value) {
  return {{Edit::Kind::update, parse_path(path), std::move(value)}};
}

bool until(const std::function<bool()> &condition, double seconds = 5) {
  auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
  while (!condition() && std::chrono::steady_clock::now() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  return condition();
}

void set_servers(FakeFront &front, int servers) {
  std::lock_guard lock(front.mutex);
  front.current_state.servers.clear();
  for (int s = 0; s < servers; ++s) {
    front.current_state.servers.push_back({"s" + std::to_string(s), ServerStatus::active, {}});
    front.current_state.servers.back().view = {s % 3, s, false, true, 0.5, 1, 0.25, 2};
  }
}

} // namespace

TEST_CASE("invalid Set and Get requests fail with the right status and name the path") {
  Folder folder;
  Served front(folder.name);
  auto stub = front.stub();
  std::string before = front.rig.running_document();
  struct Row {
    std::string path, value;
    Code code;
    std::string message_part;
  };
  for (const Row &row :
       {Row{"/front/limits/open_plays", "\"x\"", Code::INVALID_ARGUMENT, "/front/limits/open_plays"},
        Row{"/front/limits/open_plays", "0", Code::INVALID_ARGUMENT, "/front/limits/open_plays"},
        Row{"/front/limits/open_plays", std::string(200000, '['), Code::INVALID_ARGUMENT,
            "/front/limits/open_plays"},
        Row{"/front/limits/open_plays", "{", Code::INVALID_ARGUMENT, "/front/limits/open_plays"},
        Row{"/front/none", "1", Code::INVALID_ARGUMENT, "/front/none"},
        Row{"/state/service", "\"serving\"", Code::INVALID_ARGUMENT, "/state/service"},
        Row{"/front/name", "\"new\"", Code::FAILED_PRECONDITION, "/front/name"},
        Row{"/front/products[name=film]/floor", "7", Code::INVALID_ARGUMENT, "floor"}}) {
    CAPTURE(row.path, row.value);
    gnmi::SetRequest request;
    gnmi::Update *one = request.add_update();
    management::encode_path(parse_path(row.path), *one->mutable_path());
    one->mutable_val()->set_json_ietf_val(row.value);
    grpc::ClientContext context;
    gnmi::SetResponse response;
    grpc::Status status = stub->Set(&context, request, &response);
    CHECK(status.error_code() == row.code);
    CHECK(status.error_message().find(row.message_part) != std::string::npos);
  }
  CHECK(front.rig.running_document() == before);
  auto get = [&](const std::function<void(gnmi::GetRequest &)> &ask) {
    gnmi::GetRequest request;
    request.set_encoding(gnmi::JSON_IETF);
    ask(request);
    grpc::ClientContext context;
    gnmi::GetResponse response;
    return stub->Get(&context, request, &response).error_code();
  };
  auto path = [](const char *text) {
    return [text](gnmi::GetRequest &r) { management::encode_path(parse_path(text), *r.add_path()); };
  };
  CHECK(get(path("/front")) == Code::OK);
  CHECK(get(path("/")) == Code::OK);
  CHECK(get(path("/front/none")) == Code::NOT_FOUND);
  CHECK(get(path("/state/servers[id=none]")) == Code::NOT_FOUND);
  CHECK(get(path("/state/servers[id=*]")) == Code::OK);
  CHECK(get([](gnmi::GetRequest &r) { r.set_encoding(gnmi::PROTO); }) == Code::UNIMPLEMENTED);
  CHECK(get([](gnmi::GetRequest &r) { r.add_path()->set_origin("other"); }) == Code::NOT_FOUND);
  CHECK(get([](gnmi::GetRequest &r) { r.add_path()->add_elem()->set_name("a'] or 1"); }) == Code::NOT_FOUND);
  ManagementClient client(front.target());
  std::string capabilities;
  REQUIRE(client.capabilities(capabilities).ok());
  CHECK(capabilities.find("snowshore") != std::string::npos);
  CHECK(capabilities.find("JSON_IETF") != std::string::npos);
}

TEST_CASE(
    "a Set based on an older revision is rejected; commits are confirmed, rolled back in time and reverted") {
  Folder folder;
  Served front(folder.name);
  ManagementClient ana(front.target()), bo(front.target());
  std::vector<model::PathValue> leaves;
  auto read = ana.get({parse_path("/front/limits/open_plays")}, DataType::configuration, leaves);
  REQUIRE((read.ok() && leaves.size() == 1 && leaves[0].value == 20000));
  SetOptions at_read;
  at_read.expected_revision = read.revision;
  REQUIRE(bo.set(update("/front/limits/open_plays", 5), at_read).ok());
  CHECK(ana.set(update("/front/limits/open_plays", 6), at_read).code == Code::ABORTED);
  SetOptions commit;
  commit.commit = SetOptions::Commit::request, commit.commit_id = "a", commit.confirm_within = 30;
  REQUIRE(ana.set(update("/front/limits/open_plays", 7), commit).ok());
  CHECK(bo.set(update("/front/limits/open_plays", 8)).code == Code::FAILED_PRECONDITION);
  SetOptions confirm;
  confirm.commit = SetOptions::Commit::confirm, confirm.commit_id = "other";
  CHECK(ana.set({}, confirm).code == Code::NOT_FOUND);
  confirm.commit_id = "a";
  CHECK(ana.set({}, confirm).ok());
  commit.confirm_within = 0.2;
  REQUIRE(ana.set(update("/front/limits/open_plays", 9), commit).ok());
  CHECK(front.rig.front.open_plays == 9);
  // The service's watchdog rolls it back.
  CHECK(until([&] {
    std::lock_guard lock(front.rig.front.mutex);
    return front.rig.front.open_plays == 7;
  }));
  SetOptions back;
  back.rollback_revision = 1;
  CHECK(bo.set({}, back).ok());
  CHECK(front.rig.front.open_plays == 20000);
}

TEST_CASE("a wildcard path reads 100,000 leaves with Get and with Subscribe ONCE", "[slow]") {
  Folder folder;
  Served front(folder.name);
  set_servers(front.rig.front, 10000);
  ManagementClient client(front.target());
  std::vector<model::PathValue> leaves;
  REQUIRE(client.get({parse_path("/state/servers[id=*]/*")}, DataType::state, leaves, 60).ok());
  CHECK(leaves.size() == 100000);
  auto stub = front.stub();
  grpc::ClientContext context;
  auto stream = stub->Subscribe(&context);
  gnmi::SubscribeRequest request;
  request.mutable_subscribe()->set_mode(gnmi::SubscriptionList::ONCE);
  management::encode_path(parse_path("/state/servers"),
                          *request.mutable_subscribe()->add_subscription()->mutable_path());
  stream->Write(request);
  int updates = 0, synced = 0;
  for (gnmi::SubscribeResponse response; stream->Read(&response);) {
    updates += response.update().update_size();
    synced += response.sync_response();
  }
  CHECK(stream->Finish().ok());
  CHECK(updates == 100000);
  CHECK(synced == 1);
}

TEST_CASE("subscriptions serve poll, heartbeat and updates_only") {
  Folder folder;
  Served front(folder.name);
  auto stub = front.stub();
  auto open = [&](grpc::ClientContext &context, gnmi::SubscriptionList::Mode mode, bool updates_only,
                  std::uint64_t heartbeat) {
    auto stream = stub->Subscribe(&context);
    gnmi::SubscribeRequest request;
    gnmi::SubscriptionList &list = *request.mutable_subscribe();
    list.set_mode(mode);
    list.set_updates_only(updates_only);
    auto *one = list.add_subscription();
    one->set_mode(gnmi::ON_CHANGE);
    one->set_heartbeat_interval(heartbeat);
    management::encode_path(parse_path("/front/limits/open_plays"), *one->mutable_path());
    stream->Write(request);
    return stream;
  };
  auto next = [](auto &stream) {
    gnmi::SubscribeResponse response;
    if (!stream->Read(&response)) return std::string("end");
    return response.sync_response() ? std::string("synced")
                                    : response.update().update(0).val().json_ietf_val();
  };
  {
    grpc::ClientContext context;
    auto stream = open(context, gnmi::SubscriptionList::POLL, false, 0);
    CHECK(next(stream) == "20000");
    CHECK(next(stream) == "synced");
    gnmi::SubscribeRequest poll;
    poll.mutable_poll();
    stream->Write(poll);
    CHECK(next(stream) == "20000");
    CHECK(next(stream) == "synced");
    stream->WritesDone();
    stream->Finish();
  }
  grpc::ClientContext context;
  auto stream = open(context, gnmi::SubscriptionList::STREAM, true, 300'000'000);
  CHECK(next(stream) == "synced");
  CHECK(next(stream) == "20000"); // The heartbeat.
  REQUIRE(front.rig.set("/front/limits/open_plays", 5).error == management::ChangeError::none);
  CHECK(next(stream) == "5");
  context.TryCancel();
  stream->Finish();
}

TEST_CASE("a subscriber that stops reading is cancelled; a slow one gets the newest value with a count") {
  Folder folder;
  Served front(folder.name, management_record("127.0.0.1:0", "behind_time: \"700ms\""));
  set_servers(front.rig.front, 6000);
  auto stub = front.stub(1);
  grpc::ClientContext context;
  auto stream = stub->Subscribe(&context);
  gnmi::SubscribeRequest request;
  auto *one = request.mutable_subscribe()->add_subscription();
  management::encode_path(parse_path("/"), *one->mutable_path());
  one->set_mode(gnmi::ON_CHANGE);
  stream->Write(request);
  gnmi::SubscribeResponse response;
  REQUIRE(stream->Read(&response));
  CHECK(until([&] { return front.rig.manager.active_streams() == 0; }, 10));
  while (stream->Read(&response)) {
  }
  CHECK_FALSE(stream->Finish().ok());
  CHECK(front.rig.manager.state_json().find("\"streams_cut\":\"1\"") != std::string::npos);

  // Several changes of a path between two samples arrive as one update with the number of duplicates.
  grpc::ClientContext slow;
  auto again = stub->Subscribe(&slow);
  gnmi::SubscribeRequest sampled;
  auto *line = sampled.mutable_subscribe()->add_subscription();
  management::encode_path(parse_path("/front/limits/open_plays"), *line->mutable_path());
  line->set_mode(gnmi::SAMPLE);
  line->set_sample_interval(400'000'000);
  again->Write(sampled);
  std::uint32_t duplicates = 0;
  std::string last;
  REQUIRE(again->Read(&response));
  for (int i = 0; i < 3; ++i) front.rig.set("/front/limits/open_plays", 100 + i);
  while (last != "102" && again->Read(&response)) {
    if (response.update().update_size() == 0) continue;
    last = response.update().update(0).val().json_ietf_val();
    duplicates += response.update().update(0).duplicates();
  }
  CHECK(duplicates == 2);
  slow.TryCancel();
  again->Finish();
}

TEST_CASE("across 100 restarts a watch agrees with the front within 2 s and reports no value twice",
          "[slow]") {
  Folder folder;
  auto front = std::make_unique<Served>(folder.name);
  std::string more = management_record("127.0.0.1:" + std::to_string(front->service->port()));
  front = nullptr;
  front = std::make_unique<Served>(folder.name, more);
  std::mutex mutex;
  std::map<std::string, std::string> reported;
  int repeated = 0, disagreements = 0;
  Watch::Options options;
  options.paths = {parse_path("/front"), parse_path("/state/build/boot")};
  options.name = "noc";
  options.max_backoff = 0.2;
  Watch watch(front->target(), options, [&](const std::string &path, const Json *value) {
    std::lock_guard lock(mutex);
    std::string text = value ? value->dump() : "(gone)";
    repeated += reported[path] == text;
    reported[path] = text;
  });
  std::minstd_rand random(3);
  double slowest = 0;
  auto view_agrees = [&](const Served &served) {
    auto tree = test_model().parse(served.rig.running_document());
    std::map<std::string, Json> expected;
    for (const auto &leaf : test_model().leaves(tree, {}))
      expected[model::path_to_text(leaf.path)] = leaf.value;
    auto view = watch.view();
    std::erase_if(view, [](const auto &entry) { return !entry.first.starts_with("/front"); });
    return view == expected;
  };
  for (int restart = 0; restart < 100; ++restart) {
    // The stream may or may not be established at this point.
    if (random() % 2) front->rig.set("/front/limits/open_plays", 1 + random() % 9000);
    if (random() % 3 == 0) front->rig.set("/front/management/readers", {"r" + std::to_string(restart)});
    front = nullptr;
    front = std::make_unique<Served>(folder.name, more);
    {
      std::lock_guard lock(front->rig.front.mutex);
      front->rig.front.current_state.boot = "b" + std::to_string(restart);
    }
    if (random() % 2) front->rig.set("/front/limits/connections", 1 + random() % 9000);
    auto from = std::chrono::steady_clock::now();
    bool agreed = until([&] { return view_agrees(*front); }, 4);
    slowest =
        std::max(slowest, std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
    disagreements += !agreed;
  }
  CAPTURE(slowest, watch.streams_started(), watch.streams_resumed());
  CHECK(disagreements == 0);
  CHECK(slowest < 2);
  CHECK(repeated == 0);
  CHECK(watch.streams_resumed() >= 60); // The others were cut before the sync response.
  CHECK(front->rig.manager.state_json().find("\"noc\"") != std::string::npos);
}

TEST_CASE(
    "certificates decide who may read and set, can be renewed in service, and end their streams on expiry") {
  Folder folder;
  Authority authority(folder.name), other_authority([&] {
    std::filesystem::create_directory(folder.name + "/other");
    return folder.name + "/other";
  }());
  for (const char *name : {"front", "ana", "bo", "eve"}) authority.sign(name, 3600);
  other_authority.sign("ana", 3600);
  std::string more = "management: {listen: \"127.0.0.1:0\", store: \"s\", certificate: \"" +
                     authority.file("front") + "\", key: \"" + authority.file("front", ".key") +
                     "\", client_authority: \"" + authority.file("authority") +
                     "\", readers: [\"bo\", \"short\"], setters: [\"ana\"]}";
  Served front(folder.name + "/store", more);
  auto as = [&](const Authority &by, const char *name) {
    return Target{front.target().address, authority.file("authority"), by.file(name), by.file(name, ".key"),
                  "front"};
  };
  struct Row {
    Target target;
    int get, set;
  };
  for (const Row &row : {Row{as(authority, "ana"), Code::OK, Code::OK},
                         Row{as(authority, "bo"), Code::OK, Code::PERMISSION_DENIED},
                         Row{as(authority, "eve"), Code::PERMISSION_DENIED, Code::PERMISSION_DENIED},
                         Row{as(other_authority, "ana"), Code::UNAVAILABLE, Code::UNAVAILABLE},
                         Row{front.target(), Code::UNAVAILABLE, Code::UNAVAILABLE}}) {
    CAPTURE(row.target.certificate);
    ManagementClient client(row.target);
    std::vector<model::PathValue> leaves;
    CHECK(client.get({parse_path("/front/name")}, DataType::all, leaves, 2).code == row.get);
    CHECK(client.set(update("/front/limits/open_plays", 77), {}, 2).code == row.set);
  }
  CHECK(front.rig.manager.history().back().user == "ana");

  // A client that is removed from the lists loses its streams in progress.
  Watch bo(as(authority, "bo"), {{parse_path("/front/limits")}, "", 0, 0.05, 2});
  REQUIRE(until([&] { return bo.revision() > 0; }));
  CHECK(front.rig.manager
            .set({{{Edit::Kind::replace, parse_path("/front/management/readers"), {"short"}}},
                  "x",
                  "",
                  {},
                  0,
                  ""})
            .error == management::ChangeError::none);
  CHECK(until([&] { return front.rig.manager.active_streams() == 0 || bo.streams_started() > 1; }));

  authority.sign("short", 3); // The stream ends when this certificate expires.
  grpc::SslCredentialsOptions ssl;
  auto read_file = [](const std::string &name) {
    std::FILE *in = std::fopen(name.c_str(), "r");
    std::string text(8192, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), in));
    std::fclose(in);
    return text;
  };
  ssl.pem_root_certs = read_file(authority.file("authority"));
  ssl.pem_cert_chain = read_file(authority.file("short"));
  ssl.pem_private_key = read_file(authority.file("short", ".key"));
  grpc::ChannelArguments arguments;
  arguments.SetSslTargetNameOverride("front");
  auto stub = gnmi::gNMI::NewStub(
      grpc::CreateCustomChannel(front.target().address, grpc::SslCredentials(ssl), arguments));
  grpc::ClientContext context;
  auto stream = stub->Subscribe(&context);
  gnmi::SubscribeRequest request;
  management::encode_path(parse_path("/front/limits"),
                          *request.mutable_subscribe()->add_subscription()->mutable_path());
  REQUIRE(stream->Write(request));
  gnmi::SubscribeResponse response;
  REQUIRE(stream->Read(&response));

  // The front's certificate is renewed under another name: new clients see it, and streams continue.
  Watch watch(as(authority, "ana"), {{parse_path("/front/limits")}, "", 0, 0.05, 2});
  REQUIRE(until([&] { return watch.revision() > 0; }));
  authority.sign("renewed", 3600, "front");
  Target renewed = as(authority, "ana");
  renewed.server_name = "renewed";
  CHECK(until(
      [&] {
        std::vector<model::PathValue> leaves;
        return ManagementClient(renewed).get({parse_path("/front/name")}, DataType::all, leaves, 1).ok();
      },
      10));
  CHECK(watch.streams_started() == 1);
  while (stream->Read(&response)) {
  }
  CHECK_FALSE(stream->Finish().ok());
  std::vector<model::PathValue> leaves;
  CHECK_FALSE(ManagementClient(as(authority, "short"))
                  .get({parse_path("/front/name")}, DataType::all, leaves, 2)
                  .ok());
}

TEST_CASE("a port in use and a missing certificate are errors at the start") {
  Folder folder;
  Served front(folder.name);
  auto terms =
      front_record(management_record("127.0.0.1:" + std::to_string(front.service->port()))).management;
  CHECK_THROWS_WITH(management::Service(front.rig.manager, terms), Catch::Contains("cannot listen"));
  terms.plaintext = false, terms.certificate = "/nowhere/front.pem";
  CHECK_THROWS_WITH(management::Service(front.rig.manager, terms), Catch::Contains("/nowhere/front.pem"));
  for (const char *wrong : {"management: {listen: \"10.1.2.3:9\", store: \"s\", plaintext: true}",
                            "management: {listen: \"127.0.0.1:9\", plaintext: true}",
                            "management: {listen: \"127.0.0.1:9\", store: \"s\"}"})
    CHECK_THROWS_AS(front_record(wrong), records::RecordError);
}
