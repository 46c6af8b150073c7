#include "cli/manage.h"
#include "management/client.h"
#include "site/front_record.h"
#include "store/store.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <thread>

namespace snowshore::cli {

namespace {

using management::DataType;
using management::ManagementClient;
using management::Reply;
using model::Edit;
using model::Json;
using model::parse_path;
using model::path_to_text;
using model::PathValue;

struct Given { // by the command line
  management::Target target;
  std::string path = "/", value, type = "all", cause, commit_id, store;
  std::vector<std::string> files, more_edits;
  std::uint64_t revision = 0, from = 0, to = 0, expected_revision = 0;
  double confirm_within = 0, sample = 0;
  bool remove = false, replace = false, cancel = false;
};
Given given;

Json json_of(const std::string &text) { // JSON, or a text as it stands
  Json read = Json::parse(text, nullptr, false);
  return read.is_discarded() ? Json(text) : read;
}

int refused(const Reply &reply) {
  constexpr const char *kCodes[] = {
      "done",      "cancelled",      "unknown",           "INVALID_ARGUMENT",   "timed out",
      "NOT_FOUND", "exists",         "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "out of range",   "UNIMPLEMENTED",     "internal",           "UNAVAILABLE",
      "data loss", "UNAUTHENTICATED"};
  const char *code = reply.code >= 0 && reply.code < 17 ? kCodes[reply.code] : "?";
  std::cerr << "snowshore: " << code << ": " << reply.message << "\n";
  return 1;
}

int done(const Reply &reply) {
  if (!reply.ok()) return refused(reply);
  std::cout << "revision " << reply.revision << " is in force\n";
  return 0;
}

void print(const std::vector<PathValue> &leaves) {
  for (const PathValue &leaf : leaves)
    std::cout << path_to_text(leaf.path) << " " << leaf.value.dump(2) << "\n";
}

int get() {
  ManagementClient client(given.target);
  std::vector<PathValue> leaves;
  DataType kind = given.type == "config"  ? DataType::configuration
                  : given.type == "state" ? DataType::state
                                          : DataType::all;
  Reply reply = client.get({parse_path(given.path)}, kind, leaves);
  if (!reply.ok()) return refused(reply);
  print(leaves);
  return 0;
}

int set() {
  ManagementClient client(given.target);
  std::vector<Edit> edits;
  Edit::Kind kind = given.remove    ? Edit::Kind::remove
                    : given.replace ? Edit::Kind::replace
                                    : Edit::Kind::update;
  edits.push_back({kind, parse_path(given.path), given.remove ? Json() : json_of(given.value)});
  for (const std::string &more : given.more_edits) {
    std::size_t equals = more.rfind('=');
    if (equals == std::string::npos) throw std::runtime_error("--and takes PATH=VALUE");
    edits.push_back(
        {Edit::Kind::update, parse_path(more.substr(0, equals)), json_of(more.substr(equals + 1))});
  }
  management::SetOptions options;
  options.cause = given.cause;
  if (given.expected_revision > 0) options.expected_revision = given.expected_revision;
  if (given.confirm_within > 0) {
    options.commit = management::SetOptions::Commit::request;
    options.confirm_within = given.confirm_within;
    options.commit_id = given.commit_id.empty() ? "cli" : given.commit_id;
  }
  return done(client.set(edits, options));
}

int confirm() {
  management::SetOptions options;
  options.commit =
      given.cancel ? management::SetOptions::Commit::cancel : management::SetOptions::Commit::confirm;
  options.commit_id = given.commit_id.empty() ? "cli" : given.commit_id;
  return done(ManagementClient(given.target).set({}, options));
}

int rollback() {
  management::SetOptions options;
  options.rollback_revision = given.revision;
  return done(ManagementClient(given.target).set({}, options));
}

int watch() {
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGINT), sigaddset(&ends, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  management::Watch::Options options;
  options.paths = {parse_path(given.path)};
  options.sample = given.sample;
  management::Watch watch(given.target, options, [](const std::string &path, const Json *value) {
    std::cout << path << " " << (value ? value->dump() : "(gone)") << std::endl;
  });
  int signal = 0;
  sigwait(&ends, &signal);
  return 0;
}

int diff_documents(const model::Model &model, const std::string &from, const std::string &to) {
  for (const model::Difference &one : model.diff(from, to))
    std::cout << one.path << ": " << (one.before ? one.before->dump() : "(none)") << " -> "
              << (one.after ? one.after->dump() : "(none)") << "  [" << name_of(one.takes_effect) << "]\n";
  return from == to ? 0 : 1;
}

int diff() {
  model::Model model;
  if (!given.store.empty()) {
    std::string from, to;
    for (const management::Revision &revision : store::Store::read_history_read_only(given.store)) {
      if (revision.number == given.from) from = revision.document;
      if (revision.number == given.to) to = revision.document;
    }
    if (from.empty() || to.empty()) throw std::runtime_error("the store has not both revisions");
    return diff_documents(model, from, to);
  }
  std::vector<PathValue> running;
  Reply reply = ManagementClient(given.target).get({parse_path("/front")}, DataType::configuration, running);
  if (!reply.ok()) return refused(reply);
  if (running.size() != 1) throw std::runtime_error("the front told of no configuration");
  std::string document = model.validate(Json{{"snowshore:front", running[0].value}}.dump());
  return diff_documents(model, document, model.to_document(site::load_front_config(given.files).record));
}

void print_history(std::uint64_t revision, double at, const std::string &user, const std::string &cause,
                   bool confirmed) {
  std::time_t seconds = static_cast<std::time_t>(at);
  char when[32];
  std::strftime(when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&seconds));
  std::printf("%8llu  %s  %-16s %s%s\n", static_cast<unsigned long long>(revision), when, user.c_str(),
              cause.c_str(), confirmed ? "" : "  (awaits confirmation)");
}

int history() {
  if (!given.store.empty()) { // of a front that is down, or beside one that runs
    for (const management::Revision &r : store::Store::read_history_read_only(given.store))
      print_history(r.number, r.committed_at, r.user, r.cause, r.confirm_deadline == 0);
    return 0;
  }
  std::vector<PathValue> entries;
  Reply reply = ManagementClient(given.target)
                    .get({parse_path("/state/history[revision=*]")}, DataType::state, entries);
  if (!reply.ok()) return refused(reply);
  for (const PathValue &entry : entries) {
    const Json &v = entry.value;
    print_history(std::stoull(v.value("revision", std::string("0"))),
                  std::stod(v.value("at", std::string("0"))), v.value("user", std::string()),
                  v.value("cause", std::string()), v.value("confirmed", true));
  }
  return 0;
}

} // namespace

void add_management_commands(CLI::App &app) {
  auto speaks = [&](CLI::App *command) {
    command->add_option("--target", given.target.address, "The front's management address")->required();
    command->add_option("--authority", given.target.authority,
                        "File of the authority that signs; none: plaintext");
    command->add_option("--certificate", given.target.certificate, "The client's own, a file");
    command->add_option("--key", given.target.key, "Of that certificate, a file");
    command->add_option("--server-name", given.target.server_name, "As the front's certificate has it");
    return command;
  };
  auto *one = speaks(app.add_subcommand("get", "Read configuration or state of a running front"));
  one->add_option("path", given.path, "As /front/limits or /state/servers[id=*]/strikes");
  one->add_option("--type", given.type, "all, config or state")
      ->check(CLI::IsMember({"all", "config", "state"}));
  one = speaks(app.add_subcommand("set", "Change the configuration of a running front, whole or not at all"));
  one->add_option("path", given.path, "What to change")->required();
  one->add_option("value", given.value, "JSON, or a text");
  one->add_flag("--delete", given.remove, "Take it away, back to its default");
  one->add_flag("--replace", given.replace, "All that stands there");
  one->add_option("--and", given.more_edits, "PATH=VALUE, in the same change; may be given again");
  one->add_option("--cause", given.cause, "For the history");
  one->add_option("--read-at", given.expected_revision, "Refuse it if another revision is in force");
  one->add_option("--confirm-within", given.confirm_within, "Seconds; undone where no confirm comes");
  one->add_option("--id", given.commit_id, "Of the change to confirm");
  one->footer(
      "Example:\n  snowshore set /front/limits/open_plays 5000 --target 127.0.0.1:9339 --cause 'new hall'");
  one = speaks(app.add_subcommand("confirm", "Confirm a change that awaits it"));
  one->add_option("--id", given.commit_id, "As given with set");
  one->add_flag("--cancel", given.cancel, "Undo it now instead");
  one = speaks(app.add_subcommand("watch", "Print a front's values as they change, over its restarts"));
  one->add_option("path", given.path, "What to watch");
  one->add_option("--sample", given.sample, "Seconds between samples; 0: on change");
  one = speaks(app.add_subcommand("rollback", "Bring an earlier revision back, as a new one"));
  one->add_option("revision", given.revision, "As history has it")->required();
  auto either = [&](CLI::App *command) {
    speaks(command);
    command->get_option("--target")->required(false);
    command->add_option("--store", given.store, "The front's store folder in place of a target");
    return command;
  };
  either(app.add_subcommand("history", "The revisions that a front keeps"));
  one = either(
      app.add_subcommand("diff", "What records would change in a running front, or one revision to another"));
  one->add_option("files", given.files, "Record files of the front");
  one->add_option("--from", given.from, "A revision, with --store");
  one->add_option("--to", given.to, "A revision, with --store");
  one->footer("Exit codes: 0 no difference, 1 some.");
}

int run_management_command(CLI::App &app) {
  const std::pair<const char *, int (*)()> commands[] = {
      {"get", get},         {"set", set},           {"confirm", confirm}, {"watch", watch},
      {"history", history}, {"rollback", rollback}, {"diff", diff}};
  for (auto &[name, run] : commands) {
    if (!*app.get_subcommand(name)) continue;
    try {
      return run();
    } catch (const std::exception &error) {
      std::cerr << "snowshore: " << error.what() << "\n";
      return 2;
    }
  }
  return -1;
}

} // namespace snowshore::cli
