#include "soak/rtsp_text.h"

#include <cstdlib>

namespace snowshore::soak {

namespace {
constexpr std::size_t kMaxMessageBytes = 64 * 1024;
}

std::string RtspMessage::header(std::string_view name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

bool RtspParser::feed(std::string_view bytes, const std::function<void(const RtspMessage &)> &on_message) {
  buffer_.append(bytes);
  for (;;) {
    std::size_t head_end = buffer_.find("\r\n\r\n");
    if (head_end == std::string::npos) return buffer_.size() < kMaxMessageBytes;
    RtspMessage message;
    std::size_t line_end = buffer_.find("\r\n");
    std::string first = buffer_.substr(0, line_end);
    if (first.starts_with("RTSP/1.0 ")) {
      message.status = std::atoi(first.c_str() + 9);
    } else {
      std::size_t space = first.find(' '), last = first.rfind(' ');
      if (space == std::string::npos || last <= space) return false;
      message.method = first.substr(0, space);
      message.uri = first.substr(space + 1, last - space - 1);
    }
    for (std::size_t position = line_end + 2; position < head_end + 2;) {
      std::size_t end = buffer_.find("\r\n", position);
      std::size_t colon = buffer_.find(": ", position);
      if (colon == std::string::npos || colon > end) return false;
      message.headers[buffer_.substr(position, colon - position)] =
          buffer_.substr(colon + 2, end - colon - 2);
      position = end + 2;
    }
    std::size_t length = static_cast<std::size_t>(std::atoi(message.header("Content-Length").c_str()));
    if (length > kMaxMessageBytes) return false;
    if (buffer_.size() < head_end + 4 + length) return true;
    message.body = buffer_.substr(head_end + 4, length);
    buffer_.erase(0, head_end + 4 + length);
    on_message(message);
  }
}

std::string format_rtsp_answer(std::string_view session, int cseq, int status, std::string_view extra_headers,
                               std::string_view body) {
  std::string out = "RTSP/1.0 " + std::to_string(status) + (status == 200 ? " OK" : " Not") +
                    "\r\nCSeq: " + std::to_string(cseq) + "\r\nSession: " + std::string(session) + "\r\n" +
                    std::string(extra_headers);
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string format_rtsp_request(std::string_view method, std::string_view session,
                                std::string_view extra_headers) {
  return std::string(method) +
         " rtsp://media/session RTSP/1.0\r\nCSeq: 9\r\nSession: " + std::string(session) + "\r\n" +
         std::string(extra_headers) + "Content-Length: 0\r\n\r\n";
}

} // namespace snowshore::soak
