// The front's record: its schema, and what the parts of the front take from it. The module gets its values
// under its own names; one that it needs and the record lacks is an error at start, by name.
#pragma once
#include "decision/policy.h"
#include "http/client.h"
#include "http/server.h"
#include "records/records.h"

#include <string>
#include <vector>

namespace snowshore::site {

const records::Source &front_schema(); // defines #Front, #List and #Catalogue

struct ProductTerms { // what the front itself needs of a product
  std::string name;
  double time_limit = 0; // seconds
  double rate_factor = 1;
  int floor = 0, top = 0, seats = 0; // rungs; plays of one title, 0: as many as come
};

struct ManagementTerms { // empty listen: none
  std::string listen, store, certificate, key, client_authority;
  bool plaintext = false;
  std::vector<std::string> readers, setters; // by certificate name
  std::size_t sets_waiting = 16, streams = 32, history = 1000;
  double behind_time = 10, snapshot_every = 0.1; // seconds
};

struct FrontLimits { // each has a metric and a line in docs/operating.md
  http::ServerLimits players;
  http::ClientLimits servers;
  std::size_t open_plays = 0; // held at a time; more are turned away before they are taken
  double probe_time = 0;      // seconds
  double report_silence = 0;  // a report stream without a line for so long is opened anew
  double lost_after = 0;      // without one for so long, the plays there count as ended
};

struct FrontRecord {
  std::string name;
  int index = 0, fronts = 1;
  http::Endpoint players, operators;
  std::string ports_file; // empty: none is written
  std::uint64_t seed = 0; // 0: from the system's random device
  std::string list_file, catalogue_file;
  std::vector<std::string> halls, kinds;
  std::vector<ProductTerms> products;
  std::vector<double> rung_rates; // kB a second
  bool load_in_answers = true;
  double answer_slack = 0, further_span = 0;
  bool take_plays = true;
  ManagementTerms management;
  FrontLimits limits;
  std::string log_where, log_level;
  records::Record record; // settled
  std::string shown;      // the whole record as settled, for comparing at a reload
  Given given;            // for the module
};

// Throws records::RecordError with every fault, also where values do not fit each other.
FrontRecord read_front(std::span<const records::Source> files);
FrontRecord load_front(const std::vector<std::string> &names);
Given module_values(const records::Record &front);

http::Endpoint
parse_endpoint(const std::string &text); // "127.0.0.1:80", "[::1]:80"; throws std::invalid_argument

} // namespace snowshore::site
