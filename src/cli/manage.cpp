#include "cli/manage.h"
#include "config/front_config.h"
#include "management/client.h"
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

// The options of the command line; each command uses some of them.
struct Options {
  management::Target target;
  std::string path = "/", value, type = "all", cause, commit_id, store;
  std::vector<std::string> files, more_edits;
  std::uint64_t revision = 0, from = 0, to = 0, expected_revision = 0;
  double confirm_within = 0, sample_interval = 0;
  bool remove = false, replace = false, cancel = false;
};
Options command_line;

// Parses JSON. Any other text is taken as a string.
Json parse_value(const std::string &text) {
  Json read = Json::parse(text, nullptr, false);
  return read.is_discarded() ? Json(text) : read;
}

// Prints the status of a failed call and returns the exit code. gRPC codes that the service does not send
// have lower-case names.
int report_error(const Reply &reply) {
  constexpr const char *kCodes[] = {
      "done",      "cancelled",      "unknown",           "INVALID_ARGUMENT",   "timed out",
      "NOT_FOUND", "exists",         "PERMISSION_DENIED", "RESOURCE_EXHAUSTED", "FAILED_PRECONDITION",
      "ABORTED",   "out of range",   "UNIMPLEMENTED",     "internal",           "UNAVAILABLE",
      "data loss", "UNAUTHENTICATED"};
  const char *code = reply.code >= 0 && reply.code < 17 ? kCodes[reply.code] : "?";
  std::cerr << "snowshore: " << code << ": " << reply.message << "\n";
  return 1;
}

int report_result(const Reply &reply) {
  if (!reply.ok()) return report_error(reply);
  std::cout << "revision " << reply.revision << " is in force\n";
  return 0;
}

void print(const std::vector<PathValue> &leaves) {
  for (const PathValue &leaf : leaves)
    std::cout << path_to_text(leaf.path) << " " << leaf.value.dump(2) << "\n";
}

int get() {
  ManagementClient client(command_line.target);
  std::vector<PathValue> leaves;
  DataType kind = command_line.type == "config"  ? DataType::configuration
                  : command_line.type == "state" ? DataType::state
                                                 : DataType::all;
  Reply reply = client.get({parse_path(command_line.path)}, kind, leaves);
  if (!reply.ok()) return report_error(reply);
  print(leaves);
  return 0;
}

int set() {
  ManagementClient client(command_line.target);
  std::vector<Edit> edits;
  Edit::Kind kind = command_line.remove    ? Edit::Kind::remove
                    : command_line.replace ? Edit::Kind::replace
                                           : Edit::Kind::update;
  edits.push_back(
      {kind, parse_path(command_line.path), command_line.remove ? Json() : parse_value(command_line.value)});
  for (const std::string &assignment : command_line.more_edits) {
    std::size_t equals = assignment.rfind('=');
    if (equals == std::string::npos) throw std::runtime_error("--and takes PATH=VALUE");
    edits.push_back({Edit::Kind::update, parse_path(assignment.substr(0, equals)),
                     parse_value(assignment.substr(equals + 1))});
  }
  management::SetOptions options;
  options.cause = command_line.cause;
  if (command_line.expected_revision > 0) options.expected_revision = command_line.expected_revision;
  if (command_line.confirm_within > 0) {
    options.commit = management::SetOptions::Commit::request;
    options.confirm_within = command_line.confirm_within;
    options.commit_id = command_line.commit_id.empty() ? "cli" : command_line.commit_id;
  }
  return report_result(client.set(edits, options));
}

int confirm() {
  management::SetOptions options;
  options.commit =
      command_line.cancel ? management::SetOptions::Commit::cancel : management::SetOptions::Commit::confirm;
  options.commit_id = command_line.commit_id.empty() ? "cli" : command_line.commit_id;
  return report_result(ManagementClient(command_line.target).set({}, options));
}

int rollback() {
  management::SetOptions options;
  options.rollback_revision = command_line.revision;
  return report_result(ManagementClient(command_line.target).set({}, options));
}

int watch() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  management::Watch::Options options;
  options.paths = {parse_path(command_line.path)};
  options.sample_interval = command_line.sample_interval;
  management::Watch watch(command_line.target, options, [](const std::string &path, const Json *value) {
    std::cout << path << " " << (value ? value->dump() : "(gone)") << std::endl;
  });
  int signal = 0;
  sigwait(&signals, &signal);
  return 0;
}

int diff_documents(const model::Model &model, const std::string &from, const std::string &to) {
  for (const model::Difference &difference : model.diff(from, to))
    std::cout << difference.path << ": " << (difference.before ? difference.before->dump() : "(none)")
              << " -> " << (difference.after ? difference.after->dump() : "(none)") << "  ["
              << name_of(difference.takes_effect) << "]\n";
  return from == to ? 0 : 1;
}

int diff() {
  model::Model model;
  if (!command_line.store.empty()) {
    std::string from, to;
    for (const management::Revision &revision : store::Store::read_history_read_only(command_line.store)) {
      if (revision.number == command_line.from) from = revision.document;
      if (revision.number == command_line.to) to = revision.document;
    }
    if (from.empty() || to.empty()) throw std::runtime_error("the store does not have both revisions");
    return diff_documents(model, from, to);
  }
  std::vector<PathValue> running;
  Reply reply =
      ManagementClient(command_line.target).get({parse_path("/front")}, DataType::configuration, running);
  if (!reply.ok()) return report_error(reply);
  if (running.size() != 1) throw std::runtime_error("the front returned no configuration");
  std::string document = model.validate(Json{{"snowshore:front", running[0].value}}.dump());
  return diff_documents(model, document,
                        model.to_document(config::load_front_config(command_line.files).record));
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
  // Reading the store needs no front, and does not disturb one that runs.
  if (!command_line.store.empty()) {
    for (const management::Revision &revision : store::Store::read_history_read_only(command_line.store))
      print_history(revision.number, revision.committed_at, revision.user, revision.cause,
                    revision.confirm_deadline == 0);
    return 0;
  }
  std::vector<PathValue> entries;
  Reply reply = ManagementClient(command_line.target)
                    .get({parse_path("/state/history[revision=*]")}, DataType::state, entries);
  if (!reply.ok()) return report_error(reply);
  for (const PathValue &entry : entries) {
    const Json &fields = entry.value;
    print_history(std::stoull(fields.value("revision", std::string("0"))),
                  std::stod(fields.value("at", std::string("0"))), fields.value("user", std::string()),
                  fields.value("cause", std::string()), fields.value("confirmed", true));
  }
  return 0;
}

} // namespace

void add_management_commands(CLI::App &app) {
  auto add_target_options = [&](CLI::App *command) {
    command->add_option("--target", command_line.target.address, "The front's management address")
        ->required();
    command->add_option("--authority", command_line.target.authority,
                        "File with the certificate authority; without it, plaintext");
    command->add_option("--certificate", command_line.target.certificate,
                        "File with the client's certificate");
    command->add_option("--key", command_line.target.key, "File with the key of that certificate");
    command->add_option("--server-name", command_line.target.server_name, "Name in the front's certificate");
    return command;
  };
  auto *command_app =
      add_target_options(app.add_subcommand("get", "Read configuration or state of a running front"));
  command_app->add_option("path", command_line.path,
                          "For example /front/limits or /state/servers[id=*]/strikes");
  command_app->add_option("--type", command_line.type, "all, config or state")
      ->check(CLI::IsMember({"all", "config", "state"}));
  command_app = add_target_options(
      app.add_subcommand("set", "Change the configuration of a running front, as a whole or not at all"));
  command_app->add_option("path", command_line.path, "Path to change")->required();
  command_app->add_option("value", command_line.value, "JSON, or a string");
  command_app->add_flag("--delete", command_line.remove, "Remove the value, which restores its default");
  command_app->add_flag("--replace", command_line.replace, "Replace everything below the path");
  command_app->add_option("--and", command_line.more_edits, "PATH=VALUE in the same change; may be repeated");
  command_app->add_option("--cause", command_line.cause, "Reason that the history records");
  command_app->add_option("--read-at", command_line.expected_revision,
                          "Fail if another revision is in force");
  command_app->add_option("--confirm-within", command_line.confirm_within,
                          "Seconds until the change is rolled back unless it is confirmed");
  command_app->add_option("--id", command_line.commit_id, "Id under which the change is confirmed");
  command_app->footer(
      "Example:\n  snowshore set /front/limits/open_plays 5000 --target 127.0.0.1:9339 --cause 'new hall'");
  command_app =
      add_target_options(app.add_subcommand("confirm", "Confirm a change that awaits confirmation"));
  command_app->add_option("--id", command_line.commit_id, "Id that was given to set");
  command_app->add_flag("--cancel", command_line.cancel, "Roll the change back now instead");
  command_app = add_target_options(
      app.add_subcommand("watch", "Print a front's values as they change, across its restarts"));
  command_app->add_option("path", command_line.path, "Path to watch");
  command_app->add_option("--sample", command_line.sample_interval, "Seconds between samples; 0: on change");
  command_app =
      add_target_options(app.add_subcommand("rollback", "Restore an earlier revision as a new one"));
  command_app->add_option("revision", command_line.revision, "Revision number from history")->required();
  auto add_target_or_store = [&](CLI::App *command) {
    add_target_options(command);
    command->get_option("--target")->required(false);
    command->add_option("--store", command_line.store, "The front's store folder, instead of a target");
    return command;
  };
  add_target_or_store(app.add_subcommand("history", "List the revisions that a front keeps"));
  command_app = add_target_or_store(app.add_subcommand(
      "diff",
      "Show what record files would change in a running front, or the difference between two revisions"));
  command_app->add_option("files", command_line.files, "Record files of the front");
  command_app->add_option("--from", command_line.from, "A revision, with --store");
  command_app->add_option("--to", command_line.to, "A revision, with --store");
  command_app->footer("Exit codes: 0 no difference, 1 differences.");
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
