// RTSP/1.0 messages as the platform's servers speak it (RFC 2326's form, one Content-Length in each message).
// The reader is a plain value without sockets: bytes in any pieces, whole messages out, bounded; what can't
// be read ends it for good.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace snowshore::rtsp {

inline constexpr std::size_t kMaxMessageBytes = 16 * 1024; // the protocol's bound on a message

struct Message {
  int status = 0;     // of an answer; 0: a request
  std::string method; // of a request
  std::string uri;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  std::optional<std::string_view> find_header(std::string_view name) const; // names regardless of case
  void add_header(std::string_view name, std::string_view value) { headers.emplace_back(name, value); }
};

// Headers as they are, Content-Length added. Values must hold no line ends: who writes sees to that.
std::string write_message(const Message &message);

class MessageReader {
 public:
  // Takes bytes, calls on_message for each whole message; false once something can't be read (error() says
  // what): the message before it is not told either if what follows it in the same piece is no message.
  template <class F> bool feed(std::string_view bytes, F on_message) {
    if (!why_.empty()) return false;
    buffer_.append(bytes);
    std::size_t at = 0;
    while (why_.empty()) {
      Message message;
      std::size_t used = parse(std::string_view(buffer_).substr(at), message);
      if (used == 0) break;
      at += used;
      if (at < buffer_.size() && !may_begin(std::string_view(buffer_).substr(at))) {
        why_ = "what follows a message is none";
        break;
      }
      on_message(message);
    }
    buffer_.erase(0, at);
    return why_.empty();
  }
  bool has_partial_message() const { return !buffer_.empty(); }
  const std::string &error() const { return why_; }

 private:
  std::size_t parse(std::string_view text,
                    Message &message);          // how much it took, 0: not whole, or why_ is set
  static bool may_begin(std::string_view text); // the first bytes of some message
  std::string buffer_, why_;
};

} // namespace snowshore::rtsp
