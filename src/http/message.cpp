// Writing and incremental reading of HTTP/1.1 messages.
#include "http/message.h"

#include <algorithm>
#include <climits>

namespace snowshore::http {

namespace {

bool same_name(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) {
    auto lower = [](unsigned char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; };
    return lower(x) == lower(y);
  });
}

// Control characters are replaced by '?', so that a value cannot end the line.
void append_header(std::string &out, const Header &header) {
  auto append_safely = [&](std::string_view text) {
    for (unsigned char c : text) out += c < 0x20 || c == 0x7f ? '?' : static_cast<char>(c);
  };
  append_safely(header.name);
  out += ": ";
  append_safely(header.value);
  out += "\r\n";
}

// Appends the status line and the headers.
void append_head(std::string &out, const Response &response) {
  out += "HTTP/1.1 " + std::to_string(response.status) + " " + reason_phrase(response.status) + "\r\n";
  for (const Header &header : response.headers.fields) append_header(out, header);
}

// Returns the value of a hexadecimal digit, or -1.
int hex_value(char c) {
  return c >= '0' && c <= '9'   ? c - '0'
         : c >= 'a' && c <= 'f' ? c - 'a' + 10
         : c >= 'A' && c <= 'F' ? c - 'A' + 10
                                : -1;
}

} // namespace

std::optional<std::string> Headers::find(std::string_view name) const {
  std::optional<std::string> found;
  for (const Header &header : fields) {
    if (!same_name(header.name, name)) continue;
    found = found ? *found + ", " + header.value : header.value;
  }
  return found;
}

std::optional<std::string> Request::query_parameter(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    std::size_t end = rest.find('&');
    std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return percent_decode(equals == std::string_view::npos ? "" : pair.substr(equals + 1), true);
  }
  return std::nullopt;
}

std::string percent_encode(std::string_view text) {
  std::string out;
  for (unsigned char c : text) {
    bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                      c == '-' || c == '_' || c == '.' || c == '~';
    if (unreserved) {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += "0123456789ABCDEF"[c >> 4];
      out += "0123456789ABCDEF"[c & 15];
    }
  }
  return out;
}

std::optional<std::string> percent_decode(std::string_view text, bool plus_is_space) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+' && plus_is_space) {
      out += ' ';
    } else if (text[i] != '%') {
      out += text[i];
    } else {
      int high = i + 2 < text.size() ? hex_value(text[i + 1]) : -1;
      int low = i + 2 < text.size() ? hex_value(text[i + 2]) : -1;
      if (high < 0 || low < 0) return std::nullopt;
      out += static_cast<char>(high << 4 | low);
      i += 2;
    }
  }
  return out;
}

const char *reason_phrase(int status) {
  switch (status) {
#define SNOWSHORE_REASON(number, name, text)                                                                 \
  case number:                                                                                               \
    return #text;
    HTTP_STATUS_MAP(SNOWSHORE_REASON)
#undef SNOWSHORE_REASON
  default:
    return "Unknown";
  }
}

std::string write_request(const Request &request, std::string_view host) {
  std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
  append_header(out, {"Host", std::string(host)});
  for (const Header &header : request.headers.fields) append_header(out, header);
  if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
    append_header(out, {"Content-Length", std::to_string(request.body.size())});
  return out + "\r\n" + request.body;
}

std::string write_response(const Response &response, bool keep_alive) {
  std::string out;
  append_head(out, response);
  if (response.status != 204 && response.status >= 200)
    append_header(out, {"Content-Length", std::to_string(response.body.size())});
  if (!keep_alive) append_header(out, {"Connection", "close"});
  return out + "\r\n" + response.body;
}

std::string write_stream_head(const Response &response) {
  std::string out;
  append_head(out, response);
  return out + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string write_chunk(std::string_view data) {
  std::string out;
  for (std::size_t size = data.size(); size > 0; size >>= 4)
    out.insert(out.begin(), "0123456789abcdef"[size & 15]);
  if (out.empty()) out = "0";
  out += "\r\n";
  out += data;
  return out + "\r\n";
}

MessageReader::MessageReader(Kind kind, ReadLimits limits) : kind_(kind), limits_(limits) {
  http_parser_init(&parser_, kind == Kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  request.target.clear();
}

void MessageReader::start_next() {
  header_bytes_ = body_bytes_ = 0;
  begun_ = headers_complete_ = complete_ = in_value_ = false;
  request = {}, response = {};
  request.target.clear();
  http_parser_pause(&parser_, 0);
}

int MessageReader::fail(int status, std::string reason) {
  if (!failure_status_) failure_status_ = status, failure_reason_ = std::move(reason);
  // A return value of 1 from on_headers_complete would only make the parser skip the body.
  return -1;
}

bool MessageReader::add_header_bytes(std::size_t size) {
  header_bytes_ += size;
  return header_bytes_ <= limits_.header_bytes;
}

int MessageReader::on_url(http_parser *p, const char *at, std::size_t size) {
  auto &self = *static_cast<MessageReader *>(p->data);
  if (!self.add_header_bytes(size)) return self.fail(414, "the target is longer than the limit");
  self.request.target.append(at, size);
  return 0;
}

int MessageReader::on_header_field(http_parser *p, const char *at, std::size_t size) {
  auto &self = *static_cast<MessageReader *>(p->data);
  Headers &headers = self.kind_ == Kind::request ? self.request.headers : self.response.headers;
  if (!self.add_header_bytes(size)) return self.fail(431, "the header is longer than the limit");
  if (self.in_value_ || headers.fields.empty()) headers.fields.push_back({});
  self.in_value_ = false;
  headers.fields.back().name.append(at, size);
  return 0;
}

int MessageReader::on_header_value(http_parser *p, const char *at, std::size_t size) {
  auto &self = *static_cast<MessageReader *>(p->data);
  Headers &headers = self.kind_ == Kind::request ? self.request.headers : self.response.headers;
  if (!self.add_header_bytes(size + 4)) return self.fail(431, "the header is longer than the limit");
  self.in_value_ = true;
  headers.fields.back().value.append(at, size);
  return 0;
}

int MessageReader::on_headers_complete(http_parser *p) {
  auto &self = *static_cast<MessageReader *>(p->data);
  self.headers_complete_ = true;
  if (self.kind_ == Kind::request) {
    self.request.method = http_method_str(static_cast<http_method>(p->method));
    std::size_t question_mark = self.request.target.find('?');
    auto path = percent_decode(std::string_view(self.request.target).substr(0, question_mark));
    if (!path) return self.fail(400, "a bad escape in the path");
    self.request.path = *path;
    if (question_mark != std::string::npos)
      self.request.query = self.request.target.substr(question_mark + 1);
    if (p->content_length != ULLONG_MAX && p->content_length > self.limits_.body_bytes)
      return self.fail(413, "the body is longer than the limit");
    if (p->upgrade) return self.fail(501, "no other protocol is served");
  } else {
    self.response.status = p->status_code;
  }
  if (self.on_headers && p->status_code / 100 != 1) self.on_headers();
  return 0;
}

int MessageReader::on_body_data(http_parser *p, const char *at, std::size_t size) {
  auto &self = *static_cast<MessageReader *>(p->data);
  if (self.on_body) {
    self.on_body({at, size});
    return 0;
  }
  self.body_bytes_ += size;
  if (self.body_bytes_ > self.limits_.body_bytes) return self.fail(413, "the body is longer than the limit");
  (self.kind_ == Kind::request ? self.request.body : self.response.body).append(at, size);
  return 0;
}

int MessageReader::on_message_complete(http_parser *p) {
  auto &self = *static_cast<MessageReader *>(p->data);
  // An interim response is skipped.
  if (self.kind_ == Kind::response && p->status_code / 100 == 1) {
    self.response = {}, self.headers_complete_ = self.in_value_ = false;
    return 0;
  }
  self.complete_ = true;
  self.keep_alive_ = http_should_keep_alive(p) != 0;
  http_parser_pause(p, 1);
  return 0;
}

MessageReader::Progress MessageReader::feed(std::string_view bytes, std::size_t &consumed) {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = on_url;
    settings.on_header_field = on_header_field;
    settings.on_header_value = on_header_value;
    settings.on_headers_complete = on_headers_complete;
    settings.on_body = on_body_data;
    settings.on_message_complete = on_message_complete;
    return settings;
  }();
  consumed = 0;
  if (failure_status_) return Progress::failed;
  if (bytes.empty()) return Progress::needs_more;
  // Empty lines before a request are skipped (RFC 9112 2.2) and do not start one.
  if (!begun_ && bytes.find_first_not_of("\r\n") != std::string_view::npos) begun_ = true;
  consumed = http_parser_execute(&parser_, &kSettings, bytes.data(), bytes.size());
  if (complete_) return Progress::complete;
  http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_OK) return Progress::needs_more;
  fail(error == HPE_HEADER_OVERFLOW ? 431 : 400, http_errno_description(error));
  return Progress::failed;
}

MessageReader::Progress MessageReader::end_of_input() {
  if (failure_status_) return Progress::failed;
  std::size_t unused = 0;
  if (!begun_) return Progress::needs_more;
  if (headers_complete_ && kind_ == Kind::response && http_body_is_final(&parser_) == 0) {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_complete = on_message_complete;
    unused = http_parser_execute(&parser_, &settings, nullptr, 0);
    (void)unused;
    if (complete_) {
      keep_alive_ = false;
      return Progress::complete;
    }
  }
  fail(400, "the connection closed within a message");
  return Progress::failed;
}

} // namespace snowshore::http
