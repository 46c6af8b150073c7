#include "rtsp/message.h"

#include <algorithm>
#include <charconv>

namespace snowshore::rtsp {

namespace {

constexpr std::string_view kVersion = "RTSP/1.0";
constexpr std::size_t kLongestMethod = 20, kMostHeaders = 64;

bool same_name(std::string_view a, std::string_view b) {
  auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::ranges::equal(a, b, {}, lower, lower);
}

bool is_method(char c) { return (c >= 'A' && c <= 'Z') || c == '_'; }
bool is_visible(char c) { return c > ' ' && c < 127; }

// A line and its end: by CR LF, nothing else.
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

bool MessageReader::may_begin(std::string_view text) {
  std::size_t same = std::min(text.size(), kVersion.size());
  if (text.substr(0, same) == kVersion.substr(0, same)) return true;
  std::size_t word = 0;
  while (word < text.size() && word <= kLongestMethod && is_method(text[word])) ++word;
  if (word == text.size()) return word <= kLongestMethod;
  return word > 0 && word <= kLongestMethod && text[word] == ' ';
}

std::size_t MessageReader::parse(std::string_view text, Message &message) {
  auto bad = [this](const char *why) {
    why_ = why;
    return std::size_t{0};
  };
  if (text.empty()) return 0;
  if (!may_begin(text)) return bad("no message begins so");
  std::size_t head = text.substr(0, kMaxMessageBytes).find("\r\n\r\n");
  if (head == std::string_view::npos)
    return text.size() >= kMaxMessageBytes ? bad("a head without end") : std::size_t{0};
  std::string_view rest = text.substr(0, head + 2), first = *take_line(rest);
  if (first.starts_with(kVersion)) {
    std::string_view word = first.substr(kVersion.size());
    if (word.size() < 4 || word[0] != ' ' || (word.size() > 4 && word[4] != ' '))
      return bad("a bad status line");
    auto [end, error] = std::from_chars(word.data() + 1, word.data() + 4, message.status);
    if (error != std::errc() || end != word.data() + 4 || message.status < 100 || message.status > 599)
      return bad("a bad status");
  } else {
    std::size_t space = first.find(' '), last = first.rfind(' ');
    if (last == space || first.substr(last + 1) != kVersion) return bad("a bad request line");
    message.method = first.substr(0, space);
    message.uri = first.substr(space + 1, last - space - 1);
    if (!std::ranges::all_of(message.uri, is_visible)) return bad("a bad address");
  }
  std::optional<std::size_t> length;
  while (!rest.empty()) {
    std::string_view line = *take_line(rest);
    std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) return bad("a header without a name");
    std::string_view name = line.substr(0, colon), value = line.substr(colon + 1);
    if (!std::ranges::all_of(name, is_visible)) return bad("a bad header name");
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) value.remove_prefix(1);
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t')) value.remove_suffix(1);
    if (std::ranges::any_of(value, [](char c) { return static_cast<unsigned char>(c) < ' ' && c != '\t'; }))
      return bad("a header with control characters");
    if (message.headers.size() >= kMostHeaders) return bad("too many headers");
    if (same_name(name, "Content-Length")) {
      std::size_t size = 0;
      auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), size);
      if (length || error != std::errc() || end != value.data() + value.size())
        return bad("a bad or repeated Content-Length");
      if (size > kMaxMessageBytes) return bad("a body over the bound");
      length = size;
    }
    message.headers.emplace_back(name, value);
  }
  if (!length) return bad("no Content-Length");
  std::size_t whole = head + 4 + *length;
  if (whole > kMaxMessageBytes) return bad("a message over the bound");
  if (text.size() < whole) return 0;
  message.body = text.substr(head + 4, *length);
  return whole;
}

} // namespace snowshore::rtsp
