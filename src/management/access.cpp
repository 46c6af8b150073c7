#include "management/access.h"

#include <grpc/grpc_security_constants.h>
#include <grpcpp/security/auth_context.h>
#include <openssl/asn1.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <memory>

namespace snowshore::management {

namespace {

std::vector<std::string> property_values(const grpc::AuthContext &context, const char *property) {
  std::vector<std::string> out;
  for (const grpc::string_ref &value : context.FindPropertyValues(property))
    out.emplace_back(value.data(), value.size());
  return out;
}

} // namespace

const std::string &ClientIdentity::name() const {
  static const std::string kLoopback = "loopback", kNobody = "nobody";
  return !names.empty() ? names[0] : plaintext ? kLoopback : kNobody;
}

std::string read_pem_file(const std::string &file) {
  std::ifstream in(file);
  std::string text((std::istreambuf_iterator<char>(in)), {});
  if (text.empty()) throw std::runtime_error("management: " + file + " cannot be read");
  return text;
}

double certificate_expiry(const std::string &pem) {
  std::unique_ptr<BIO, decltype(&BIO_free)> bio(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())),
                                                BIO_free);
  std::unique_ptr<X509, decltype(&X509_free)> x509(PEM_read_bio_X509(bio.get(), nullptr, nullptr, nullptr),
                                                   X509_free);
  std::tm end{};
  if (!x509 || ASN1_TIME_to_tm(X509_get0_notAfter(x509.get()), &end) != 1) return 0;
  return static_cast<double>(timegm(&end));
}

ClientIdentity identify_client(const grpc::ServerContextBase &context, bool plaintext) {
  ClientIdentity client;
  client.plaintext = plaintext;
  auto peer = context.auth_context();
  if (plaintext || !peer || !peer->IsPeerAuthenticated()) return client;
  client.names = property_values(*peer, GRPC_X509_CN_PROPERTY_NAME);
  for (std::string &name : property_values(*peer, GRPC_X509_SAN_PROPERTY_NAME))
    client.names.push_back(std::move(name));
  auto pem = property_values(*peer, GRPC_X509_PEM_CERT_PROPERTY_NAME);
  if (!pem.empty()) client.expires_at = certificate_expiry(pem[0]);
  return client;
}

bool is_allowed(const ClientIdentity &client, Permission permission,
                const config::ManagementSettings &terms) {
  if (client.plaintext) return true;
  auto listed = [&](const std::vector<std::string> &names) {
    return std::ranges::any_of(
        client.names, [&](const std::string &name) { return std::ranges::find(names, name) != names.end(); });
  };
  return listed(terms.writers) || (permission == Permission::read && listed(terms.readers));
}

} // namespace snowshore::management
