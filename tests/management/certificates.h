// A certificate authority for tests. It signs certificates for names with a validity in seconds.
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
    certificate_ = make_certificate("authority", key_, nullptr, 3600, true);
    write("authority", certificate_, key_);
  }
  ~Authority() {
    X509_free(certificate_);
    EVP_PKEY_free(key_);
  }
  Authority(const Authority &) = delete;
  // Signs a certificate for the name and writes it with its key as folder/FILE.pem and folder/FILE.key,
  // replacing existing files. FILE defaults to the name.
  void sign(const std::string &name, long seconds, const std::string &file = "") {
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *certificate = make_certificate(name, key, certificate_, seconds, false);
    write(file.empty() ? name : file, certificate, key);
    X509_free(certificate);
    EVP_PKEY_free(key);
  }
  std::string file(const std::string &name, const char *kind = ".pem") const {
    return folder_ + "/" + name + kind;
  }

 private:
  X509 *make_certificate(const std::string &name, EVP_PKEY *key, X509 *issuer, long seconds, bool authority) {
    X509 *certificate = X509_new();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), ++serial_);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -60);
    X509_gmtime_adj(X509_getm_notAfter(certificate), seconds);
    X509_set_pubkey(certificate, key);
    X509_NAME *subject = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate, issuer ? X509_get_subject_name(issuer) : subject);
    auto add_extension = [&](int nid, const std::string &value) {
      X509_EXTENSION *extension = X509V3_EXT_conf_nid(nullptr, nullptr, nid, value.c_str());
      X509_add_ext(certificate, extension, -1);
      X509_EXTENSION_free(extension);
    };
    add_extension(NID_basic_constraints, authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!authority) add_extension(NID_subject_alt_name, "DNS:" + name);
    X509_sign(certificate, key_, EVP_sha256());
    return certificate;
  }
  void write(const std::string &name, X509 *certificate, EVP_PKEY *key) {
    // Each file is renamed into place, so that a reader never sees a part of it.
    for (bool is_key : {true, false}) {
      std::string path = file(name, is_key ? ".key" : ".pem"), temporary = path + ".new";
      std::FILE *out = std::fopen(temporary.c_str(), "w");
      if (!out) throw std::runtime_error("cannot write " + temporary);
      if (is_key)
        PEM_write_PrivateKey(out, key, nullptr, nullptr, 0, nullptr, nullptr);
      else
        PEM_write_X509(out, certificate);
      std::fclose(out);
      if (std::rename(temporary.c_str(), path.c_str()) != 0) throw std::runtime_error("cannot write " + path);
    }
  }
  std::string folder_;
  EVP_PKEY *key_;
  X509 *certificate_ = nullptr;
  long serial_ = 0;
};

} // namespace snowshore::testing
