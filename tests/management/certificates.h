// Certificates made for a test: an authority, and names signed by it for so many seconds.
#pragma once
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <stdexcept>
#include <string>

namespace snowshore::testing {

class Authority {
 public:
  explicit Authority(std::string folder) : folder_(std::move(folder)), key_(EVP_EC_gen("P-256")) {
    self_ = make("authority", key_, nullptr, 3600, true);
    write("authority", self_, key_);
  }
  ~Authority() {
    X509_free(self_);
    EVP_PKEY_free(key_);
  }
  Authority(const Authority &) = delete;
  // Writes folder/NAME.pem and folder/NAME.key, in place of what was there.
  void sign(const std::string &name, long seconds, const std::string &file = "") {
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = make(name, key, self_, seconds, false);
    write(file.empty() ? name : file, certificate, key);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  std::string file(const std::string &name, const char *kind = ".pem") const {
    return folder_ + "/" + name + kind;
  }

 private:
  X509 *make(const std::string &name, EVP_PKEY *key, X509 *issuer, long seconds, bool authority) {
    X509 *x = X509_new();
    X509_set_version(x, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(x), -60);
    X509_gmtime_adj(X509_getm_notAfter(x), seconds);
    X509_set_pubkey(x, key);
    X509_NAME *subject = X509_get_subject_name(x);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(x, issuer ? X509_get_subject_name(issuer) : subject);
    auto extend = [&](int nid, const std::string &value) {
      X509_EXTENSION *one = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
      X509_add_ext(x, one, -1);
      X509_EXTENSION_free(one);
    };
    extend(NID_basic_constraints, authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!authority) extend(NID_subject_alt_name, "DNS:" + name);
    X509_sign(x, key_, EVP_sha256());
    return x;
  }
  void write(const std::string &name, X509 *certificate, EVP_PKEY *key) {
    for (bool secret : {true, false}) { // each whole, renamed over what was there
      std::string to = file(name, secret ? ".key" : ".pem"), beside = to + ".new";
      std::FILE *out = std::fopen(beside.c_str(), "w");
      if (!out) throw std::runtime_error("cannot write " + beside);
      if (secret)
        PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
      else
        PEM_write_X509(out, certificate);
      std::fclose(out);
      if (std::rename(beside.c_str(), to.c_str()) != 0) throw std::runtime_error("cannot write " + to);
    }
  }
  std::string folder_;
  EVP_PKEY *key_;
  X509 *self_ = nullptr;
  long serial_ = 0;
};

} // namespace snowshore::testing
