// Parsing and writing of RTSP messages.
#include "rtsp/message.h"

#include <tao/pegtl.hpp>

#include <algorithm>
#include <charconv>

namespace snowshore::rtsp {

namespace {

constexpr std::string_view kVersion = "RTSP/1.0";
// The starts of a response, and of a request with each method of RFC 2326, section 10.
constexpr std::string_view kMessageStarts[] = {
    "RTSP/1.0 ",        "ANNOUNCE rtsp://", "DESCRIBE rtsp://",      "GET_PARAMETER rtsp://",
    "OPTIONS rtsp://",  "PAUSE rtsp://",    "PLAY rtsp://",          "RECORD rtsp://",
    "REDIRECT rtsp://", "SETUP rtsp://",    "SET_PARAMETER rtsp://", "TEARDOWN rtsp://"};
constexpr std::size_t kMaxHeaders = 64;

bool same_name(std::string_view a, std::string_view b) {
  auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::ranges::equal(a, b, {}, lower, lower);
}

bool is_visible_char(char c) { return c > ' ' && c < 127; }

// Returns whether the text is UTF-8 without overlong encodings and surrogates.
bool is_utf8(std::string_view text) {
  if (std::ranges::all_of(text, [](char c) { return static_cast<unsigned char>(c) < 0x80; })) return true;
  namespace p = tao::pegtl;
  p::memory_input input(text.data(), text.size(), "");
  return p::parse<p::seq<p::star<p::utf8::any>, p::eof>>(input);
}

// Removes the first line from `text` and returns it without its line end, or returns nothing when there is no
// CR LF. A lone CR or LF does not end a line.
std::optional<std::string_view> take_line(std::string_view &text) {
  std::size_t end = text.find("\r\n");
  if (end == std::string_view::npos) return std::nullopt;
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end + 2);
  return line;
}

} // namespace

std::optional<std::string_view> Message::find_header(std::string_view name) const {
  for (const auto &[key, value] : headers) {
    if (same_name(key, name)) return value;
  }
  return std::nullopt;
}

std::string write_message(const Message &message) {
  std::string out;
  out.reserve(256 + message.body.size());
  if (message.status > 0) {
    out.append(kVersion).append(" ").append(std::to_string(message.status));
    out.append(message.status == 200 ? " OK\r\n" : " Refused\r\n");
  } else {
    out.append(message.method).append(" ").append(message.uri).append(" ").append(kVersion).append("\r\n");
  }
  for (const auto &[name, value] : message.headers)
    out.append(name).append(": ").append(value).append("\r\n");
  out.append("Content-Length: ").append(std::to_string(message.body.size())).append("\r\n\r\n");
  return out.append(message.body);
}

MessageStart classify_start(std::string_view bytes) {
  auto is_certain = [&](std::string_view start) { return bytes.starts_with(start); };
  auto is_possible = [&](std::string_view start) { return start.starts_with(bytes); };
  if (std::ranges::any_of(kMessageStarts, is_certain)) return MessageStart::certain;
  if (std::ranges::any_of(kMessageStarts, is_possible)) return MessageStart::possible;
  return MessageStart::impossible;
}

std::optional<Message> MessageReader::take_message() {
  Message message;
  std::size_t size = parse(buffer_, message);
  if (size == 0) return std::nullopt;
  buffer_.erase(0, size);
  return message;
}

std::size_t MessageReader::parse(std::string_view text, Message &message) {
  auto fail = [this](const char *reason) {
    error_ = reason;
    return std::size_t{0};
  };
  if (text.empty()) return 0;
  if (classify_start(text) == MessageStart::impossible) return fail("not the start of a message");
  std::size_t head_size = text.substr(0, kMaxMessageBytes).find("\r\n\r\n");
  if (head_size == std::string_view::npos)
    return text.size() >= kMaxMessageBytes ? fail("the message head is too long") : std::size_t{0};
  std::string_view rest = text.substr(0, head_size + 2), first_line = *take_line(rest);
  if (first_line.starts_with(kVersion)) {
    std::string_view status_text = first_line.substr(kVersion.size());
    if (status_text.size() < 4 || status_text[0] != ' ' || (status_text.size() > 4 && status_text[4] != ' '))
      return fail("malformed status line");
    auto [end, error] = std::from_chars(status_text.data() + 1, status_text.data() + 4, message.status);
    if (error != std::errc() || end != status_text.data() + 4 || message.status < 100 || message.status > 599)
      return fail("invalid status code");
  } else {
    std::size_t first_space = first_line.find(' '), last_space = first_line.rfind(' ');
    if (last_space == first_space || first_line.substr(last_space + 1) != kVersion)
      return fail("malformed request line");
    message.method = first_line.substr(0, first_space);
    message.uri = first_line.substr(first_space + 1, last_space - first_space - 1);
    if (!std::ranges::all_of(message.uri, is_visible_char))
      return fail("invalid character in the request URI");
  }
  if (!is_utf8(text.substr(0, head_size))) return fail("the message head is not UTF-8");
  std::optional<std::size_t> length;
  while (!rest.empty()) {
    std::string_view line = *take_line(rest);
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return fail("header line without a name");
    std::string_view name = line.substr(0, colon), value = line.substr(colon + 1);
    if (!std::ranges::all_of(name, is_visible_char)) return fail("invalid character in a header name");
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
    if (std::ranges::any_of(value, [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; }))
      return fail("control character in a header value");
    if (message.headers.size() >= kMaxHeaders) return fail("too many headers");
    if (same_name(name, "Content-Length")) {
      std::size_t size = 0;
      auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
      if (length || error != std::errc() || end != value.data() + value.size())
        return fail("invalid or repeated Content-Length");
      if (size > kMaxMessageBytes) return fail("Content-Length exceeds the message size limit");
      length = size;
    }
    message.headers.emplace_back(name, value);
  }
  if (!length) return fail("Content-Length is missing");
  std::size_t total = head_size + 4 + *length;
  if (total > kMaxMessageBytes) return fail("the message exceeds the size limit");
  if (text.size() < total) return 0;
  message.body = text.substr(head_size + 4, *length);
  if (!is_utf8(message.body)) return fail("the message body is not UTF-8");
  return total;
}

} // namespace snowshore::rtsp
