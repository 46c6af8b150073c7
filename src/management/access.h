// Who a client is, by its certificate, and what it may do, by the lists in the front's record.
#pragma once
#include "site/front_record.h"

#include <grpcpp/server_context.h>

#include <string>
#include <vector>

namespace snowshore::management {

struct ClientIdentity {
  std::vector<std::string> names; // of its certificate: common name, then alternative names
  double expires_at = 0;          // of its certificate, epoch seconds; 0: it has none
  bool plaintext = false;         // on loopback, where the record asks for it
  const std::string &name() const;
};

enum class Permission { read, set };

ClientIdentity identify_client(const grpc::ServerContextBase &context, bool plaintext);
// Whether it may; a plaintext client on loopback may all.
bool is_allowed(const ClientIdentity &client, Permission right, const site::ManagementSettings &terms);

// A certificate's or key's text; throws std::runtime_error naming a file that holds none.
std::string read_pem_file(const std::string &file);
double certificate_expiry(const std::string &certificate_pem); // epoch seconds; 0 where it cannot be read

} // namespace snowshore::management
