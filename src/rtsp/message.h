// RTSP/1.0 messages in the form of RFC 2326 that the platform's servers use: UTF-8 text, in which each
// message carries exactly one Content-Length. Messages are plain values; this module uses no sockets. The
// reader accepts bytes in pieces of any size, bounds the size of a message and stops for good at the first
// syntax error.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore::rtsp {

// The protocol's bound on a message, head and body together.
inline constexpr std::size_t kMaxMessageBytes = 16 * 1024;

struct Message {
  // The status code of a response; 0 in a request.
  int status = 0;
  // The method and the URI of a request.
  std::string method;
  std::string uri;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Returns the value of the first header of that name, compared case-insensitively.
  std::optional<std::string_view> find_header(std::string_view name) const;
  void add_header(std::string_view name, std::string_view value) { headers.emplace_back(name, value); }
};

// Writes the headers unchanged and adds Content-Length. The caller ensures that no value contains a line end.
std::string write_message(const Message &message);

// Reads the messages of one connection.
class MessageReader {
 public:
  // Calls on_message for each complete message in `bytes` and in what was kept from earlier calls. Returns
  // false once a syntax error is found; error() then describes it. A message is not delivered when the bytes
  // that follow it in the same piece cannot start another message, since its length must then be wrong.
  template <class F> bool feed(std::string_view bytes, F on_message) {
    if (!error_.empty()) return false;
    buffer_.append(bytes);
    std::size_t at = 0;
    while (error_.empty()) {
      Message message;
      std::size_t used = parse(std::string_view(buffer_).substr(at), message);
      if (used == 0) break;
      at += used;
      if (at < buffer_.size() && !can_start_message(std::string_view(buffer_).substr(at))) {
        error_ = "the bytes after a message do not start another message";
        break;
      }
      on_message(message);
    }
    buffer_.erase(0, at);
    return error_.empty();
  }
  bool has_partial_message() const { return !buffer_.empty(); }
  const std::string &error() const { return error_; }

 private:
  // Returns the number of bytes of the message at the start of `text`, or 0 when it is incomplete or a syntax
  // error was found and stored in error_.
  std::size_t parse(std::string_view text, Message &message);
  // Returns whether a message may start with these bytes, which may be only the first ones of a message.
  static bool can_start_message(std::string_view text);
  std::string buffer_, error_;
};

} // namespace snowshore::rtsp
