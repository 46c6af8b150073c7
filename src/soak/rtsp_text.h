// The platform's RTSP as the soak's servers read and write it. It shares no code with the front end's parser.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace snowshore::soak {

struct RtspMessage {
  std::string method, uri; // set for a request
  int status = 0;          // set for an answer
  std::map<std::string, std::string, std::less<>> headers;
  std::string body;
  // Returns the value of the header, or an empty string if it is missing. The name is matched exactly.
  std::string header(std::string_view name) const;
};

// An incremental parser for the messages of one connection.
class RtspParser {
 public:
  // Appends the bytes and calls `on_message` for each complete message. Returns false if the bytes are not a
  // valid message or if the message is too long.
  bool feed(std::string_view bytes, const std::function<void(const RtspMessage &)> &on_message);

 private:
  std::string buffer_;
};

// Format a message with the session and Content-Length headers. `extra_headers` are whole lines, each with
// its line end.
std::string format_rtsp_answer(std::string_view session, int cseq, int status,
                               std::string_view extra_headers = "", std::string_view body = "");
std::string format_rtsp_request(std::string_view method, std::string_view session,
                                std::string_view extra_headers = "");

} // namespace snowshore::soak
