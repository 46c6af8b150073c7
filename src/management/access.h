// Identifies a management client by its certificate and checks what the lists in the front's record allow it.
#pragma once
#include "config/front_config.h"

#include <grpcpp/server_context.h>

#include <string>
#include <vector>

namespace snowshore::management {

struct ClientIdentity {
  // The common name of the client's certificate, then its alternative names; empty without a certificate.
  std::vector<std::string> names;
  // When the certificate expires, in epoch seconds; 0 without a certificate.
  double expires_at = 0;
  // The client speaks without TLS. Only a listener on loopback can be configured so.
  bool plaintext = false;
  // Returns the name that the history records: the first of `names`, or "loopback" or "nobody".
  const std::string &name() const;
};

enum class Permission { read, set };

ClientIdentity identify_client(const grpc::ServerContextBase &context, bool plaintext);
// Setters may also read. A plaintext client has every permission.
bool is_allowed(const ClientIdentity &client, Permission permission, const config::ManagementSettings &terms);

// Reads a certificate or a key. Throws std::runtime_error with the file's name if the file is empty or
// missing.
std::string read_pem_file(const std::string &file);
// Returns when the certificate expires, in epoch seconds, or 0 if it cannot be parsed.
double certificate_expiry(const std::string &certificate_pem);

} // namespace snowshore::management
