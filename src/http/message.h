// HTTP/1.1 messages (RFC 9112) as plain values, and the reader that makes them from bytes. No sockets here.
#pragma once
#include <http_parser.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snowshore::http {

struct Header {
  std::string name, value;
};

struct Headers {
  std::vector<Header> fields;
  // The first of that name, whatever its case; several of one name are joined by ", " (RFC 9110 5.3).
  std::optional<std::string> find(std::string_view name) const;
  void add(std::string name, std::string value) { fields.push_back({std::move(name), std::move(value)}); }
};

struct Request {
  std::string method = "GET", target = "/";
  std::string path;  // decoded; of requests that were read
  std::string query; // as it stands
  Headers headers;
  std::string body;
  std::optional<std::string> query_parameter(std::string_view name) const; // decoded; the first of that name
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

// Values are written with what could end a line (RFC 9112 11.1) replaced, so that no name or title splits
// one.
std::string write_request(const Request &request, std::string_view host);
std::string write_response(const Response &response, bool keep_alive);
std::string write_stream_head(const Response &response); // its body follows in chunks
std::string write_chunk(std::string_view data);          // empty: the last chunk
const char *reason_phrase(int status);

std::string percent_encode(std::string_view text); // for one segment of a path or a query value
std::optional<std::string> percent_decode(std::string_view text,
                                          bool plus_is_space = false); // none: a bad escape

struct ReadLimits {
  std::size_t header_bytes = 16 << 10, body_bytes = 64 << 10;
};

// Reads one message after another of one connection. Bytes after a whole message are left to the caller.
class MessageReader {
 public:
  enum class Kind { request, response };
  enum class Progress { needs_more, complete, failed };

  MessageReader(Kind kind, ReadLimits limits);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  // Takes bytes up to the end of one message; taken says how many. After complete, call start_next().
  Progress feed(std::string_view bytes, std::size_t &taken);
  Progress end_of_input(); // the peer closed
  void start_next();

  bool has_begun() const { return begun_; } // some bytes of a message were read
  bool headers_complete() const { return headers_done_; }
  bool keep_alive() const { return keep_alive_; }
  int failure_status() const { return failure_status_; } // what a server answers: 400, 413, 414, 431, 501
  const std::string &failure_reason() const { return failure_; }
  Request request;
  Response response;
  std::function<void(std::string_view)> on_body; // when set, a body is handed on and not kept
  std::function<void()> on_headers;

 private:
  static int url(http_parser *p, const char *at, std::size_t size);
  static int field(http_parser *p, const char *at, std::size_t size);
  static int value(http_parser *p, const char *at, std::size_t size);
  static int headers(http_parser *p);
  static int body(http_parser *p, const char *at, std::size_t size);
  static int complete(http_parser *p);
  int fail(int status, std::string why);
  bool count(std::size_t size);

  http_parser parser_;
  Kind kind_;
  ReadLimits limits_;
  std::size_t header_bytes_ = 0, body_bytes_ = 0;
  bool begun_ = false, headers_done_ = false, complete_ = false, keep_alive_ = false, in_value_ = false;
  int failure_status_ = 0;
  std::string failure_;
};

} // namespace snowshore::http
