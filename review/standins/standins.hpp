// Stand-ins for the platform's clients, playout nodes and command channel, on loopback addresses and the real
// clock. One thread, one poll() loop. They follow the platform's protocol page; a case changes single answers.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace standins {

using Json = nlohmann::json;

inline double unix_seconds() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline std::string hex16(std::uint64_t value) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

// Text for the record: bytes that are not printable ASCII are written as \xNN.
inline std::string printable(const std::string &text) {
  std::string out;
  for (unsigned char c : text) {
    if (c == '\r')
      out += "\\r";
    else if (c == '\n')
      out += "\\n";
    else if (c >= ' ' && c < 127)
      out += static_cast<char>(c);
    else {
      char escaped[5];
      std::snprintf(escaped, sizeof escaped, "\\x%02x", c);
      out += escaped;
    }
  }
  return out;
}

// The case could not run: exit code 2.
[[noreturn]] inline void cannot_run(const std::string &why) {
  std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
  std::exit(2);
}

// ---- The loop.

class Connection;

class Loop {
 public:
  Loop() : start_(unix_seconds()) {}
  double now() const { return unix_seconds() - start_; }
  void at(double delay, std::function<void()> call) { timers_.emplace(now() + delay, std::move(call)); }
  void watch(int fd, std::function<void()> readable) { listeners_[fd] = std::move(readable); }
  void unwatch(int fd) { listeners_.erase(fd); }
  void add(const std::shared_ptr<Connection> &connection) { connections_.push_back(connection); }
  void run_for(double seconds);
  void stop() { stopped_ = true; }

 private:
  double start_;
  bool stopped_ = false;
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void()>> listeners_;
  std::list<std::shared_ptr<Connection>> connections_;
};

// The record of the run: what was sent, answered and run.
class Record {
 public:
  Record(Loop &loop, const std::string &file) : loop_(loop), file_(std::fopen(file.c_str(), "w")) {
    if (!file_) cannot_run("cannot write " + file);
  }
  ~Record() { std::fclose(file_); }
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(file_, "%9.3f ", loop_.now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  Loop &loop_;
  std::FILE *file_;
};

// One TCP connection.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  std::function<void(const std::string &)> on_bytes;
  // The peer has ended the connection, or it was reset.
  std::function<void(const char *why)> on_closed;

  explicit Connection(int fd) : fd_(fd) {
    fcntl(fd_, F_SETFL, fcntl(fd_, F_GETFL) | O_NONBLOCK);
    int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { close(); }
  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool wants_write() const { return !out_.empty(); }
  void send(const std::string &text) {
    if (fd_ < 0) return;
    out_ += text;
    flush();
  }
  void flush() {
    while (fd_ >= 0 && !out_.empty()) {
      ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0 && (errno == EAGAIN || errno == EINPROGRESS || errno == ENOTCONN)) return;
      if (sent < 0) return ended("write failed");
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void receive() {
    char buffer[16384];
    while (fd_ >= 0) {
      ssize_t size = ::recv(fd_, buffer, sizeof buffer, 0);
      if (size < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (size < 0) return ended("reset");
      if (size == 0) return ended("closed");
      if (on_bytes) on_bytes(std::string(buffer, static_cast<std::size_t>(size)));
    }
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  // Ends the connection by a reset.
  void reset() {
    linger off{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof off);
    close();
  }

 private:
  void ended(const char *why) {
    close();
    if (on_closed) on_closed(why);
  }
  int fd_;
  std::string out_;
};

inline void Loop::run_for(double seconds) {
  double end = now() + seconds;
  stopped_ = false;
  while (!stopped_ && now() < end) {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
      if (stopped_) return;
    }
    connections_.remove_if([](const auto &connection) { return !connection->is_open(); });
    std::vector<pollfd> polled;
    std::vector<std::shared_ptr<Connection>> of_polled;
    for (auto &[fd, call] : listeners_) {
      polled.push_back({fd, POLLIN, 0});
      of_polled.push_back(nullptr);
    }
    for (auto &connection : connections_) {
      polled.push_back({connection->fd(), static_cast<short>(POLLIN | (connection->wants_write() ? POLLOUT : 0)), 0});
      of_polled.push_back(connection);
    }
    double wait = std::min(end, timers_.empty() ? end : timers_.begin()->first) - now();
    poll(polled.data(), polled.size(), std::clamp(static_cast<int>(wait * 1000) + 1, 0, 50));
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (!polled[i].revents) continue;
      if (!of_polled[i]) {
        if (auto it = listeners_.find(polled[i].fd); it != listeners_.end()) it->second();
        continue;
      }
      if (polled[i].revents & POLLOUT) of_polled[i]->flush();
      if (polled[i].revents & (POLLIN | POLLERR | POLLHUP)) of_polled[i]->receive();
    }
  }
}

// ---- Addresses.

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens on a port that the system chooses, or on the given one.
inline int listen_on(int &port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || listen(fd, 512) != 0)
    cannot_run("cannot listen on a loopback port");
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  port = ntohs(address.sin_port);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_on(port));
  return port;
}

inline std::shared_ptr<Connection> connect_to(Loop &loop, int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_shared<Connection>(fd);
  sockaddr_in address = loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    connection->close();
    return connection;
  }
  loop.add(connection);
  return connection;
}

inline void accept_all(Loop &loop, int listener, const std::function<void(std::shared_ptr<Connection>)> &accepted) {
  while (true) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    auto connection = std::make_shared<Connection>(fd);
    loop.add(connection);
    accepted(connection);
  }
}

// ---- The command channel: events of changes, and an empty frame every second.

struct ListedChange {
  std::uint32_t id = 0;
  int port = 0, state = 0, zone = 0, cell = 0;
  double weight = 1, started_at = 0;
};

class Channel {
 public:
  explicit Channel(Loop &loop) : loop_(loop) {
    listener_ = listen_on(port_);
    loop_.watch(listener_, [this] {
      accept_all(loop_, listener_, [this](std::shared_ptr<Connection> connection) {
        auto asked = std::make_shared<std::string>();
        std::weak_ptr<Connection> weak = connection;
        connection->on_bytes = [this, weak, asked](const std::string &bytes) {
          auto held = weak.lock();
          if (asked->size() >= 8 || !held) return;
          *asked += bytes;
          if (asked->size() < 8) return;
          std::uint64_t from = 0;
          for (std::size_t i = 0; i < 8; ++i) from = from << 8 | static_cast<unsigned char>((*asked)[i]);
          for (auto &[number, text] : events_) {
            if (number > from) held->send(text);
          }
          held->send(frame(0, {}));
          connections_.push_back(held);
        };
      });
    });
    beat();
  }
  int port() const { return port_; }
  // Tells of a change, as the next event. The configuration holds event 1.
  void tell(const std::vector<ListedChange> &changes) {
    std::string payload;
    for (const ListedChange &change : changes) {
      add(payload, change.id, 4);
      add(payload, INADDR_LOOPBACK, 4);
      add(payload, static_cast<std::uint64_t>(change.port), 2);
      add(payload, static_cast<std::uint64_t>(change.state), 1);
      add(payload, static_cast<std::uint64_t>(change.zone), 1);
      add(payload, 0, 1);
      add(payload, static_cast<std::uint64_t>(change.cell), 2);
      add(payload, static_cast<std::uint64_t>(change.weight * 1000), 4);
      add(payload, static_cast<std::uint64_t>(change.started_at * 1000), 8);
    }
    ++number_;
    events_[number_] = frame(2, payload);
    for (auto &connection : connections_) connection->send(events_[number_]);
  }

 private:
  static void add(std::string &out, std::uint64_t value, int size) {
    for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255);
  }
  std::string frame(unsigned char kind, const std::string &payload) const {
    std::string out;
    add(out, 9 + payload.size(), 4);
    add(out, number_, 8);
    add(out, kind, 1);
    return out + payload;
  }
  void beat() {
    for (auto &connection : connections_) connection->send(frame(0, {}));
    loop_.at(1, [this] { beat(); });
  }
  Loop &loop_;
  int port_ = 0, listener_ = -1;
  std::uint64_t number_ = 1;
  std::map<std::uint64_t, std::string> events_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

// ---- RTSP.

struct RtspMessage {
  std::string first_line, body;
  std::map<std::string, std::string> headers;
  std::string method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string header(const std::string &name) const {
    auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline std::string rtsp_text(const std::string &first_line, const std::string &headers, const std::string &body = "",
                             std::optional<std::size_t> stated_length = {}) {
  return first_line + "\r\n" + headers + "Content-Length: " + std::to_string(stated_length.value_or(body.size())) +
         "\r\n\r\n" + body;
}

// ---- A playout node.

struct Server {
  Loop &loop;
  Record &record;
  std::string id;
  int port = 0;
  // Time that a set-up takes, length of a session, and interval of the notes on link use, in seconds.
  double set_up_takes = 0.08, session_length = 6, note_interval = 4;
  // Called for each good answer: may replace the bytes that are written, which makes it a spoilt one. The session
  // stands at the server. A connection that carried a spoilt answer is of no more use: nothing follows on it.
  std::function<std::string(const std::string &session, const std::string &description)> make_answer;
  // Called when the session is answered, with the description that the server made for it.
  std::function<void(const std::string &session, const std::string &description)> on_started;
  // Called when the server ends a session.
  std::function<void(const std::string &session)> on_ended;

  Server(Loop &l, Record &r, const std::string &name) : loop(l), record(r), id(name) {
    listen();
    loop.at(note_interval, [this] { send_notes(); });
  }

  static std::string answer(const std::string &session, const std::string &description,
                            std::optional<std::size_t> stated_length = {}) {
    return rtsp_text("RTSP/1.0 200 OK", "CSeq: 1\r\nSession: " + session + "\r\nX-Gauges: cpu:0.1;x1:0.1\r\n",
                     description, stated_length);
  }
  // Notes on link and uplink, which a server that reports in answers sends at each set-up.
  static std::string note(const std::string &session, const char *kind) {
    return rtsp_text("ANNOUNCE rtsp://media/note RTSP/1.0", "CSeq: 5\r\nSession: " + session +
                                                                "\r\nX-Outcome: " + kind + "\r\nP-Amount: 0.1\r\n");
  }
  std::size_t sessions() const { return sessions_.size(); }
  // The machine is off: its process, its connections and its sessions are gone. Returns the sessions.
  std::vector<std::string> lose() {
    ++life_;
    loop.unwatch(listener_);
    ::close(listener_);
    std::vector<std::string> cut;
    for (auto &[session, connection] : sessions_) {
      cut.push_back(session);
      record.line("%s is off: session %s is cut", id.c_str(), session.c_str());
    }
    sessions_.clear();
    unheard_.clear();
    auto readers = std::exchange(readers_, {});
    for (auto &[connection, reader] : readers) connection->close();
    return cut;
  }
  // The machine is back, with a new process at the same address.
  void listen() {
    listener_ = listen_on(port);
    loop.watch(listener_, [this] {
      accept_all(loop, listener_, [this](std::shared_ptr<Connection> connection) { accept(connection); });
    });
  }
  // The server ends a session and says so.
  void end_session(const std::string &session) {
    auto it = sessions_.find(session);
    if (it == sessions_.end()) return;
    auto connection = it->second.lock();
    sessions_.erase(it);
    if (on_ended) on_ended(session);
    if (!connection || !is_usable(connection)) connection = any_open();
    std::string text = release(session);
    record.line("%s ends session %s: %s", id.c_str(), session.c_str(), connection ? "TEARDOWN cause=16 sent" : "no connection");
    if (connection) connection->send(text);
    unheard_.insert(session);
  }

 private:
  struct Reader {
    std::string buffer;
    bool spoilt = false;
    std::set<std::string> open_set_ups;
  };
  static std::string release(const std::string &session) {
    return rtsp_text("TEARDOWN rtsp://media/session RTSP/1.0",
                     "CSeq: 2\r\nSession: " + session + "\r\nReason: cause=16\r\n");
  }
  std::shared_ptr<Connection> any_open() {
    for (auto &[connection, reader] : readers_) {
      if (is_usable(connection)) return connection;
    }
    return nullptr;
  }
  bool is_usable(const std::shared_ptr<Connection> &connection) {
    auto reader = readers_.find(connection);
    return reader != readers_.end() && connection->is_open() && !reader->second.spoilt;
  }
  void accept(const std::shared_ptr<Connection> &connection) {
    readers_[connection];
    connection->on_bytes = [this, connection](const std::string &bytes) { read(connection, bytes); };
    // The set-ups that are open on a connection are given up when it ends.
    connection->on_closed = [this, connection](const char *) {
      for (const std::string &session : readers_[connection].open_set_ups)
        record.line("%s set-up %s is given up: its connection has ended", id.c_str(), session.c_str());
      readers_.erase(connection);
    };
    // A release is sent on the next connection as well.
    for (const std::string &session : unheard_) connection->send(release(session));
  }
  void read(const std::shared_ptr<Connection> &connection, const std::string &bytes) {
    std::string &buffer = readers_[connection].buffer;
    buffer += bytes;
    while (true) {
      std::size_t head = buffer.find("\r\n\r\n");
      if (head == std::string::npos) return;
      RtspMessage message;
      std::size_t at = buffer.find("\r\n");
      message.first_line = buffer.substr(0, at);
      while (at < head) {
        std::size_t end = buffer.find("\r\n", at + 2);
        std::string line = buffer.substr(at + 2, end - at - 2);
        std::size_t colon = line.find(": ");
        if (colon != std::string::npos) message.headers[line.substr(0, colon)] = line.substr(colon + 2);
        at = end;
      }
      std::size_t length = static_cast<std::size_t>(std::atol(message.header("Content-Length").c_str()));
      if (buffer.size() < head + 4 + length) return;
      message.body = buffer.substr(head + 4, length);
      buffer.erase(0, head + 4 + length);
      handle(connection, message);
      if (!readers_.contains(connection)) return;
    }
  }
  void handle(const std::shared_ptr<Connection> &connection, const RtspMessage &message) {
    std::string session = message.header("Session"), method = message.method();
    if (method == "SETUP") {
      record.line("%s receives SETUP %s", id.c_str(), session.c_str());
      readers_[connection].open_set_ups.insert(session);
      loop.at(set_up_takes, [this, connection, session, life = life_] {
        if (life == life_) start(connection, session);
      });
    } else if (method == "TEARDOWN") {
      bool open = readers_[connection].open_set_ups.erase(session) > 0;
      record.line("%s receives TEARDOWN %s (%s)", id.c_str(), session.c_str(),
                  open ? "its set-up is given up" : sessions_.contains(session) ? "a session that stands" : "unknown");
      sessions_.erase(session);
      if (is_usable(connection)) connection->send(rtsp_text("RTSP/1.0 200 OK", "CSeq: 2\r\nSession: " + session + "\r\n"));
    } else if (method == "OPTIONS" && is_usable(connection)) {
      connection->send(rtsp_text("RTSP/1.0 200 OK", "CSeq: 3\r\nSession: " + session + "\r\nX-Gauges: cpu:0.1;x1:0.1\r\n"));
    } else if (method == "RTSP/1.0" && message.header("CSeq") == "2") {
      unheard_.erase(session);
    }
  }
  void start(const std::shared_ptr<Connection> &connection, const std::string &session) {
    auto reader = readers_.find(connection);
    if (!is_usable(connection) || reader->second.open_set_ups.erase(session) == 0) return;
    std::string description = session + "\r\nc=IN IP4 127.0.0.1\r\nm=video " + std::to_string(port) + " RTP/AVP 96 97 98\r\n";
    sessions_[session] = connection;
    if (on_started) on_started(session, description);
    std::string good = answer(session, description), text = make_answer ? make_answer(session, description) : good;
    reader->second.spoilt = text != good;
    connection->send(reader->second.spoilt ? text : text + note(session, "link") + note(session, "uplink"));
    loop.at(session_length, [this, session] { end_session(session); });
  }
  void send_notes() {
    // One session of the front end is named.
    if (!sessions_.empty()) {
      auto connection = sessions_.begin()->second.lock();
      if (!connection || !is_usable(connection)) connection = any_open();
      if (connection)
        connection->send(note(sessions_.begin()->first, "link") + note(sessions_.begin()->first, "uplink"));
    }
    loop.at(note_interval, [this] { send_notes(); });
  }

  int listener_ = -1, life_ = 0;
  std::map<std::shared_ptr<Connection>, Reader> readers_;
  std::map<std::string, std::weak_ptr<Connection>> sessions_;
  std::set<std::string> unheard_;
};

// ---- Clients.

struct Request {
  std::string id;
  double sent_at = 0, deadline = 0, answered_at = -1, ended_at = -1, move_or_end_cause = -1;
  // "", "STARTED", "refused" or "failed".
  std::string answer;
  std::string description;
  int answers = 0;
  // The request as it was sent.
  Json start;
  // The connection ended without a whole answer.
  bool connection_ended = false;
};

class Clients {
 public:
  Clients(Loop &loop, Record &record, int front_port) : loop_(loop), record_(record), port_(front_port) {}
  std::map<std::string, Request> requests;
  std::function<void(Request &)> on_answer;

  struct Line {
    std::shared_ptr<Connection> connection;
    std::string buffer;
    std::set<std::string> open;
    // The last request that was sent on it.
    std::string request;
  };
  std::shared_ptr<Line> open_line() {
    auto line = std::make_shared<Line>();
    line->connection = connect_to(loop_, port_);
    std::weak_ptr<Line> weak = line;
    line->connection->on_bytes = [this, weak](const std::string &bytes) {
      if (auto held = weak.lock()) read(*held, bytes);
    };
    line->connection->on_closed = [this, weak](const char *why) {
      auto held = weak.lock();
      if (!held) return;
      for (const std::string &id : held->open) {
        requests[id].connection_ended = true;
        record_.line("client: connection %s, request %s has no answer", why, id.c_str());
      }
    };
    return line;
  }
  // Closes the connection if it has had no session and no open request for 4 s.
  void close_if_unused(Line &line) {
    if (!line.connection->is_open() || line.request.empty()) return;
    const Request &request = requests[line.request];
    double unused_since = request.answer == "STARTED" ? request.ended_at : request.answered_at;
    if (unused_since >= 0 && loop_.now() - unused_since > 4) line.connection->close();
  }
  // Sends one request for a session; `wait` is how long the client waits for the answer, in seconds.
  std::string request(const std::shared_ptr<Line> &line, const std::string &product, double wait, int home, int copies,
                      int top) {
    std::uint64_t number = ++next_;
    Request made;
    made.id = hex16(0x5e55000000000000ULL + number * 0x9e3779b1ULL);
    made.sent_at = loop_.now();
    made.deadline = made.sent_at + wait;
    Json start = {{"verb", "START"},
                  {"tag", made.id},
                  {"opts",
                   {{"class", product},
                    {"left", std::to_string(static_cast<int>(wait * 1000))},
                    {"key", hex16(0x7171000000000000ULL + number % 5)},
                    {"extras", "home:" + std::to_string(home) + ";copies:" + std::to_string(copies) +
                                   ";top:" + std::to_string(top) + ";viewer:" + hex16(0xb4d60000ULL + number)}}},
                  {"blob", made.id + "\r\nc=IN IP4 127.0.0.1\r\nm=video 31000 RTP/AVP 96\r\n"}};
    made.start = start;
    requests[made.id] = made;
    line->open.insert(made.id);
    line->request = made.id;
    record_.line("client sends START %s", made.id.c_str());
    line->connection->send(start.dump() + "\n");
    return made.id;
  }
  // Hands a session that plays at a playout node over to a front end that has started anew.
  void hand_over(const std::shared_ptr<Line> &line, const std::string &id, const std::string &server) {
    Json start = requests[id].start;
    start["opts"]["extras"] = start["opts"]["extras"].get<std::string>() + ";at:" + server;
    record_.line("client hands session %s over, at:%s", id.c_str(), server.c_str());
    line->connection->send(start.dump() + "\n");
  }
  // Asks the front end for a test; `passed` is called with the result.
  void test(const std::shared_ptr<Line> &line, std::function<void(bool)> passed) {
    on_test_ = std::move(passed);
    line->connection->send("{\"verb\":\"ECHO\",\"tag\":\"00000000000000aa\",\"opts\":{},\"rc\":0}\n");
  }

 private:
  void read(Line &line, const std::string &bytes) {
    line.buffer += bytes;
    for (std::size_t end; (end = line.buffer.find('\n')) != std::string::npos;) {
      std::string text = line.buffer.substr(0, end);
      line.buffer.erase(0, end + 1);
      handle(line, text);
    }
  }
  void handle(Line &line, const std::string &text) {
    Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) {
      record_.line("client receives a line that cannot be read: %s", printable(text).c_str());
      return;
    }
    std::string verb = json.value("verb", ""), id = json.value("tag", "");
    double cause = json.contains("rc") ? json["rc"].get<double>() : 0;
    if (verb == "ECHOED") {
      if (on_test_) std::exchange(on_test_, nullptr)(cause == 1);
      return;
    }
    auto it = requests.find(id);
    if (it == requests.end() || (verb != "STARTED" && verb != "FINISH" && verb != "MOVE")) return;
    Request &request = it->second;
    if (verb == "STARTED" || request.answer.empty()) {
      ++request.answers;
      request.answered_at = loop_.now();
      request.answer = verb == "STARTED" ? "STARTED" : cause == 34 || cause == 42 || cause == 102 ? "refused" : "failed";
      if (verb == "STARTED") request.description = json.value("blob", "");
      line.open.erase(id);
      record_.line("client receives %s %s%s%s", request.answer.c_str(), id.c_str(), verb == "STARTED" ? ": " : "",
                   printable(request.description).c_str());
      if (on_answer) on_answer(request);
      return;
    }
    request.ended_at = loop_.now();
    request.move_or_end_cause = cause;
    record_.line("client receives %s %s, cause %g: the session is over", verb.c_str(), id.c_str(), cause);
    line.connection->send("{\"verb\":\"FINISHED\",\"tag\":\"" + id + "\",\"opts\":{}}\n");
  }
  Loop &loop_;
  Record &record_;
  int port_;
  std::uint64_t next_ = 0;
  std::function<void(bool)> on_test_;
};

// ---- The front end as a process.

struct FrontOptions {
  std::string folder, run, product = "new-session", effect = "safe";
  double on_time = 0.8, deadline = 4, note_interval = 4;
  int servers_in_first_hall = 1000, cells = 3, memory_mb = 192, sockets = 1024;
};

class Front {
 public:
  // Writes the configuration. The form is that of the page on deployment, the names those of the wire page.
  Front(const FrontOptions &options, int listen_port, int channel_port, const std::vector<Server *> &servers)
      : options_(options) {
    Json targets = Json::array();
    for (std::size_t i = 0; i < servers.size(); ++i)
      targets.push_back({{"uid", servers[i]->id},
                         {"endpoint", "127.0.0.1:" + std::to_string(servers[i]->port)},
                         {"az", static_cast<int>(i) < options.servers_in_first_hall ? "hall-a" : "hall-b"},
                         {"model", "two-core"},
                         {"pod_group", static_cast<int>(i) % options.cells},
                         {"state", "active"},
                         {"capacity_hint", 1},
                         {"boot_ms", 0}});
    listen_ = "127.0.0.1:" + std::to_string(listen_port);
    Json settings = {
        {"areas", {"hall-a", "hall-b"}},
        {"my_zone", "hall-a"},
        {"skus", {"two-core"}},
        {"group_size", 1},
        {"index", 0},
        {"discovery", "pushed"},
        {"family", "streams"},
        {"weights", "rough"},
        {"tick", 0.01},
        {"over_share_worth", 0.1},
        {"classes",
         {{{"name", options.product},
           {"on_time", options.on_time},
           {"deadline", options.deadline},
           {"worth", 1.0},
           {"effect", options.effect},
           {"stream", true}}}},
        {"family_info",
         {{"cells", options.cells}, {"groups", 2}, {"class_floor", {0}}, {"class_top", {3}}, {"class_seats", {0}},
          {"rate_factor", {0.7}}, {"is_live", {false}}, {"join_adds", 1.0}, {"full_from", 1.2}, {"kind_slots", {20}},
          {"ladder_kb", {204.0, 445.0, 971.0, 2119.0}}, {"worth_by_rung", {0.17, 0.48, 0.75, 1.0}},
          {"link_unit_kb", 20000.0}, {"links_kb", 20000.0 * static_cast<double>(servers.size())}, {"rack_link_kb", 60000.0},
          {"reports_every", options.note_interval}, {"seen_after", 0.8}, {"shortfall_cost", 9.0}, {"switch_cost_s", 0.7}}},
        {"limits",
         {{"attempts_cap", 3}, {"cancel", true}, {"connect_timeout", 0.25}, {"idle_close", 30.0}, {"multiplex", 1048576},
          {"max_open", 1000000}, {"max_retry_after", 0.5}, {"probes", true}, {"retry_after", true}, {"second_copies", false}}},
        {"report", {{"how", "answers"}, {"names", {"cpu", "x1"}}}},
        {"rules",
         {{"answer_slack", 0.04}, {"cold", 12.0}, {"cold_from", 0.4}, {"fall_multiple", 2.5}, {"tip_after", 2.0},
          {"stop_sending_within", 1.0}}}};
    Json config = {
        {"name", "n1"},
        {"listen", listen_},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", options.memory_mb}, {"sockets", options.sockets}}},
        {"channel", "127.0.0.1:" + std::to_string(channel_port)},
        {"known",
         {{"cursor", 1}, {"cmds", {{{"cursor", 1}, {"nodes", {{"rev", 1}, {"all", true}, {"targets", targets}}}}}}}},
        {"settings", settings}};
    std::ofstream(options.folder + "/config.json") << config.dump(1);
  }
  ~Front() { kill_now(); }
  // Starts the program with the deploy file's command by /bin/sh -c, in the current folder, the checkout's root.
  void start() {
    pid_ = fork();
    if (pid_ < 0) cannot_run("no process");
    if (pid_ > 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // the front end does not outlive the case
    setenv("NODE_NAME", "n1", 1);
    setenv("NODE_LISTEN", listen_.c_str(), 1);
    setenv("NODE_CONFIG", (options_.folder + "/config.json").c_str(), 1);
    int log = open((options_.folder + "/front.log").c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(log, 1);
    dup2(log, 2);
    execl("/bin/sh", "sh", "-c", options_.run.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
  // Returns how the process ended, or an empty text while it runs.
  std::string ended() {
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      end_ = WIFEXITED(status) ? "exit code " + std::to_string(WEXITSTATUS(status))
                               : "signal " + std::to_string(WTERMSIG(status));
    }
    return end_;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // The last lines of the program's log.
  std::string log_tail() const {
    std::ifstream in(options_.folder + "/front.log");
    std::string line, last, before;
    while (std::getline(in, line)) before = std::exchange(last, line);
    return last;
  }

 private:
  FrontOptions options_;
  std::string listen_, end_;
  pid_t pid_ = 0;
};

// Waits until the front end passes a test.
inline void wait_until_ready(Loop &loop, Clients &clients, Front &front) {
  for (int i = 0; i < 150; ++i) {
    if (!front.ended().empty()) cannot_run("the front end ended at its start: " + front.log_tail());
    auto line = clients.open_line();
    bool ready = false;
    clients.test(line, [&](bool passed) { ready = passed, loop.stop(); });
    loop.run_for(0.2);
    line->connection->close();
    if (ready) return;
  }
  cannot_run("the front end passed no test within 30 s");
}

} // namespace standins
