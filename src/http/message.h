// HTTP/1.1 messages (RFC 9112) as plain values, their writers, and an incremental reader. This module uses no
// sockets.
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
  // Returns the value of the header of that name, compared case-insensitively. The values of several headers
  // of one name are joined by ", " (RFC 9110 5.3).
  std::optional<std::string> find(std::string_view name) const;
  void add(std::string name, std::string value) { fields.push_back({std::move(name), std::move(value)}); }
};

struct Request {
  std::string method = "GET", target = "/";
  // The percent-decoded path and the raw query of the target; set by MessageReader only.
  std::string path;
  std::string query;
  Headers headers;
  std::string body;
  // Returns the decoded value of the first query parameter of that name, or nothing when it is missing or
  // contains an invalid escape.
  std::optional<std::string> query_parameter(std::string_view name) const;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

// In header names and values the writers replace each control character by '?', so that no name or title can
// end a line and add a header (RFC 9112 11.1).
std::string write_request(const Request &request, std::string_view host);
std::string write_response(const Response &response, bool keep_alive);
// Writes the head of a response whose body follows in chunks; its body member is ignored.
std::string write_stream_head(const Response &response);
// An empty chunk ends the body.
std::string write_chunk(std::string_view data);
const char *reason_phrase(int status);

// Encodes a path segment or a query value.
std::string percent_encode(std::string_view text);
// Returns nothing when the text contains an invalid escape.
std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space = false);

struct ReadLimits {
  std::size_t header_bytes = 16 << 10, body_bytes = 64 << 10;
};

// Reads the messages of one connection, one after another.
class MessageReader {
 public:
  enum class Kind { request, response };
  enum class Progress { needs_more, complete, failed };

  MessageReader(Kind kind, ReadLimits limits);
  MessageReader(const MessageReader &) = delete;
  MessageReader &operator=(const MessageReader &) = delete;

  // Reads up to the end of one message and sets `consumed` to the number of bytes used; the caller keeps the
  // rest. After `complete`, the message is in `request` or `response` until start_next() is called.
  Progress feed(std::string_view bytes, std::size_t &consumed);
  // Called when the peer has closed the connection, which completes a response without a length.
  Progress end_of_input();
  void start_next();

  // Returns whether bytes of the current message were read.
  bool has_begun() const { return begun_; }
  bool headers_complete() const { return headers_complete_; }
  bool keep_alive() const { return keep_alive_; }
  // The status with which a server refuses the failed request: 400, 413, 414, 431 or 501.
  int failure_status() const { return failure_status_; }
  // Also the body of that refusal.
  const std::string &failure_reason() const { return failure_reason_; }
  Request request;
  Response response;
  // When set, receives the body in pieces; the body is then neither stored nor limited.
  std::function<void(std::string_view)> on_body;
  // When set, called once the headers of a message are complete, except for interim (1xx) responses.
  std::function<void()> on_headers;

 private:
  // Callbacks of http_parser.
  static int on_url(http_parser *p, const char *at, std::size_t size);
  static int on_header_field(http_parser *p, const char *at, std::size_t size);
  static int on_header_value(http_parser *p, const char *at, std::size_t size);
  static int on_headers_complete(http_parser *p);
  static int on_body_data(http_parser *p, const char *at, std::size_t size);
  static int on_message_complete(http_parser *p);
  // Stores the first failure and returns the value that stops the parser.
  int fail(int status, std::string reason);
  // Returns whether the head is still within its limit.
  bool add_header_bytes(std::size_t size);

  http_parser parser_;
  Kind kind_;
  ReadLimits limits_;
  std::size_t header_bytes_ = 0, body_bytes_ = 0;
  bool begun_ = false, headers_complete_ = false, complete_ = false, keep_alive_ = false, in_value_ = false;
  int failure_status_ = 0;
  std::string failure_reason_;
};

} // namespace snowshore::http
