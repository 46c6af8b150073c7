// The platform's RTSP as the soak's servers read and write it, apart from the front end's own reader.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace snowshore::soak {

struct RtspMessage {
  std::string method, uri; // of a request
  int status = 0;          // of an answer
  std::map<std::string, std::string, std::less<>> headers;
  std::string body;
  std::string header(std::string_view name) const;
};

class RtspText {
 public:
  // Calls on_message for each whole message; false where the bytes are none.
  bool take(std::string_view bytes, const std::function<void(const RtspMessage &)> &on_message);

 private:
  std::string buffer_;
};

std::string rtsp_answer(std::string_view session, int number, int status, std::string_view more = "",
                        std::string_view body = "");
std::string rtsp_request(std::string_view method, std::string_view session, std::string_view more = "");

} // namespace snowshore::soak
