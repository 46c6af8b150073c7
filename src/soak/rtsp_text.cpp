#include "soak/rtsp_text.h"

#include <cstdlib>

namespace snowshore::soak {

namespace {
constexpr std::size_t kMostBytes = 64 * 1024;
}

std::string RtspMessage::header(std::string_view name) const {
  auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

bool RtspText::take(std::string_view bytes, const std::function<void(const RtspMessage &)> &on_message) {
  buffer_.append(bytes);
  for (;;) {
    std::size_t head = buffer_.find("\r\n\r\n");
    if (head == std::string::npos) return buffer_.size() < kMostBytes;
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
    for (std::size_t at = line_end + 2; at < head + 2;) {
      std::size_t end = buffer_.find("\r\n", at);
      std::size_t colon = buffer_.find(": ", at);
      if (colon == std::string::npos || colon > end) return false;
      message.headers[buffer_.substr(at, colon - at)] = buffer_.substr(colon + 2, end - colon - 2);
      at = end + 2;
    }
    std::size_t length = static_cast<std::size_t>(std::atoi(message.header("Content-Length").c_str()));
    if (length > kMostBytes) return false;
    if (buffer_.size() < head + 4 + length) return true;
    message.body = buffer_.substr(head + 4, length);
    buffer_.erase(0, head + 4 + length);
    on_message(message);
  }
}

std::string rtsp_answer(std::string_view session, int number, int status, std::string_view more,
                        std::string_view body) {
  std::string out = "RTSP/1.0 " + std::to_string(status) + (status == 200 ? " OK" : " Not") +
                    "\r\nCSeq: " + std::to_string(number) + "\r\nSession: " + std::string(session) + "\r\n" +
                    std::string(more);
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

std::string rtsp_request(std::string_view method, std::string_view session, std::string_view more) {
  return std::string(method) +
         " rtsp://media/session RTSP/1.0\r\nCSeq: 9\r\nSession: " + std::string(session) + "\r\n" +
         std::string(more) + "Content-Length: 0\r\n\r\n";
}

} // namespace snowshore::soak
