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

// Whether a message starts with certain bytes, which may be only the first ones of a message. possible: the
// bytes are too few to tell.
enum class MessageStart { certain, possible, impossible };
MessageStart classify_start(std::string_view bytes);

// Reads the messages of one connection. A message is delivered only once its end is certain, since a
// Content-Length that does not fit puts the end elsewhere: the start of another message follows it, or the
// caller knows that nothing follows.
class MessageReader {
 public:
  // Calls on_message for each message that the start of another one follows. Returns false once a syntax
  // error is found, which includes bytes after a message that cannot start another one; error() then
  // describes it.
  template <class F> bool feed(std::string_view bytes, F on_message) {
    if (!error_.empty()) return false;
    buffer_.append(bytes);
    while (error_.empty()) {
      if (!last_) last_ = take_message();
      if (!last_) break;
      MessageStart next = classify_start(buffer_);
      if (next == MessageStart::possible) break;
      if (next == MessageStart::impossible) {
        error_ = "the bytes after a message do not start another message";
        break;
      }
      on_message(*std::exchange(last_, std::nullopt));
    }
    return error_.empty();
  }
  // Returns whether the bytes so far end with a complete message, which was not delivered yet.
  bool ends_with_message() const { return error_.empty() && last_ && buffer_.empty(); }
  // Calls on_message for that message, if there is one. The caller knows that no more bytes belong to it.
  template <class F> void deliver_last(F on_message) {
    if (ends_with_message()) on_message(*std::exchange(last_, std::nullopt));
  }
  // Returns whether the bytes so far end within a message.
  bool has_partial_message() const { return !buffer_.empty(); }
  const std::string &error() const { return error_; }

 private:
  // Removes the message at the start of the buffer and returns it, or nothing when it is incomplete or a
  // syntax error was found and stored in error_.
  std::optional<Message> take_message();
  // Returns the number of bytes of the message at the start of `text`, or 0 as above.
  std::size_t parse(std::string_view text, Message &message);

  // Bytes that follow last_.
  std::string buffer_, error_;
  // A complete message that was not delivered yet.
  std::optional<Message> last_;
};

} // namespace snowshore::rtsp
