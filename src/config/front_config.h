// The configuration record of the HTTP front end: its schema, and the values that each part of the front end
// reads from it. The decision engine gets its settings under its own names (decision/setting_names.h); a
// setting that it needs and the record lacks is an error at start, which names the setting.
#pragma once
#include "decision/policy.h"
#include "http/client.h"
#include "http/server.h"
#include "records/records.h"

#include <string>
#include <vector>

namespace snowshore::config {

// The schema, which defines #Front, #List and #Catalogue.
const records::Source &front_schema();

// What the front end itself needs of a product.
struct ProductSettings {
  std::string name;
  // Seconds.
  double time_limit = 0;
  double rate_factor = 1;
  // Lowest and highest rung, and the limit of plays of one title (0: no limit).
  int min_rung = 0, max_rung = 0, seats_per_title = 0;
};

// Settings of the management interface, which is off where `listen` is empty.
struct ManagementSettings {
  // The address, the store's folder, and the files of the server's certificate, its key and the authority
  // that signs clients' certificates.
  std::string listen, store, certificate, key, client_authority;
  // Serve without TLS; allowed on loopback only.
  bool plaintext = false;
  // Certificate names of clients that may read, and of those that may also set.
  std::vector<std::string> readers, writers;
  // Limits: set requests that wait, streams that are open, revisions that the history keeps.
  std::size_t max_pending_sets = 16, max_streams = 32, max_history = 1000;
  // Seconds for which a subscriber may lag behind before its stream is ended, and between two snapshots.
  double max_lag = 10, snapshot_interval = 0.1;
};

// Each limit has a metric and a line in docs/operating.md.
struct FrontLimits {
  http::ServerLimits players;
  http::ClientLimits servers;
  // Plays that the front end holds at a time; further requests are declined before a play is added.
  std::size_t max_open_plays = 0;
  // Seconds that a probe may take.
  double probe_timeout = 0;
  // A report stream that carries no line for this many seconds is reopened.
  double report_silence = 0;
  // A server that sends no report line for this many seconds is lost, and the plays on it count as ended.
  double lost_after = 0;
};

// The checked configuration of one front end.
struct FrontConfig {
  std::string name;
  int index = 0, fronts = 1;
  http::Endpoint players, operators;
  // The file to which the bound ports are written; none where it is empty.
  std::string ports_file;
  // 0: the seed comes from the system's random device.
  std::uint64_t seed = 0;
  std::string list_file, catalogue_file;
  std::vector<std::string> halls, kinds;
  std::vector<ProductSettings> products;
  // kB per second.
  std::vector<double> rung_rates;
  // Servers send their load report with each answer to a set-up.
  bool load_in_answers = true;
  // Seconds: the slack that is allowed past a time limit, and the window of repeated allocations.
  double answer_slack = 0, retry_window = 0;
  // Whether new plays are accepted; false drains the front end.
  bool accept_plays = true;
  ManagementSettings management;
  FrontLimits limits;
  std::string log_target, log_level;
  // The record with all defaults filled in.
  records::Record record;
  // Its text, which a reload compares.
  std::string settled_text;
  DecisionSettings decision_settings;
};

// Checks and reads the record. Throws records::RecordError, which lists every error, also values that
// contradict each other.
FrontConfig parse_front_config(std::span<const records::Source> files);
// The same, of the files with these names.
FrontConfig load_front_config(const std::vector<std::string> &names);
// The decision engine's settings that the record gives.
DecisionSettings read_decision_settings(const records::Record &front);

// Parses "127.0.0.1:80" or "[::1]:80". Throws std::invalid_argument.
http::Endpoint parse_endpoint(const std::string &text);

} // namespace snowshore::config
