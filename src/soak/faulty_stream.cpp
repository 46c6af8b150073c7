#include "soak/faulty_stream.h"

#include <sys/socket.h>

#include <chrono>

namespace snowshore::soak {

namespace {

// Seconds between checks whether a stalled connection may write again.
constexpr double kStallPollInterval = 0.02;
constexpr int kBacklog = 512;
// Connections that a stalled listener opens to itself to fill a backlog of 0.
constexpr int kFillerConnections = 3;

std::chrono::steady_clock::duration to_duration(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(seconds));
}

} // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

FaultyStream::FaultyStream(asio::ip::tcp::socket socket, std::shared_ptr<const StreamFaults> faults)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), faults_(std::move(faults)) {
  asio::error_code failed;
  auto remote = socket_.remote_endpoint(failed);
  if (!failed) remote_address_ = remote.address().to_v4().to_uint();
  socket_.set_option(asio::ip::tcp::no_delay(true), failed);
  opened_at_ = now();
}

void FaultyStream::start(Events events) {
  events_ = std::move(events);
  start_read();
}

void FaultyStream::start_read() {
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                            if (!self->open_) return;
                            if (error) {
                              self->close_socket();
                              if (self->events_.on_closed) self->events_.on_closed();
                              return;
                            }
                            self->events_.on_bytes(std::string_view(self->buffer_.data(), size));
                            if (self->open_) self->start_read();
                          });
}

void FaultyStream::send(std::string text, std::function<void()> on_written) {
  if (!open_) return;
  pending_.push_back({std::move(text), now() + faults_->delay, std::move(on_written)});
  if (!writing_ && !waiting_) write_next();
}

void FaultyStream::write_after(double seconds) {
  waiting_ = true;
  timer_.expires_after(to_duration(seconds));
  timer_.async_wait([self = shared_from_this()](asio::error_code) {
    self->waiting_ = false;
    if (self->open_) self->write_next();
  });
}

void FaultyStream::write_next() {
  if (pending_.empty()) {
    asio::error_code ignored;
    if (shuts_down_sending_) socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    return;
  }
  if (is_stalled()) return write_after(kStallPollInterval);
  double delay = pending_.front().due - now();
  if (delay > 0) return write_after(delay);
  writing_ = true;
  std::string &text = pending_.front().text;
  std::size_t size = faults_->single_bytes ? std::min<std::size_t>(1, text.size()) : text.size();
  asio::async_write(socket_, asio::buffer(text.data(), size),
                    [self = shared_from_this()](asio::error_code error, std::size_t written) {
                      self->writing_ = false;
                      if (!self->open_) return;
                      // The pending read reports the end of the connection.
                      if (error) return;
                      PendingWrite &front = self->pending_.front();
                      front.text.erase(0, written);
                      if (front.text.empty()) {
                        auto done = std::move(front.on_written);
                        self->pending_.pop_front();
                        if (done) done();
                      }
                      if (self->open_) self->write_next();
                    });
}

void FaultyStream::shut_down_sending() {
  shuts_down_sending_ = true;
  if (!writing_ && !waiting_) write_next();
}

void FaultyStream::close_socket() {
  open_ = false;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void FaultyStream::close() {
  if (open_) close_socket();
}

void FaultyStream::reset() {
  if (!open_) return;
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close_socket();
}

Listener::Listener(asio::io_context &io, asio::ip::address_v4 address, OnAccept on_accept)
    : io_(io), acceptor_(io), reservation_(io), endpoint_(address, 0), on_accept_(std::move(on_accept)) {}

void Listener::bind(asio::ip::tcp::acceptor &acceptor, asio::error_code &error) {
  acceptor.open(endpoint_.protocol());
  acceptor.set_option(asio::socket_base::reuse_address(true));
  acceptor.bind(endpoint_, error);
}

void Listener::listen() {
  if (acceptor_.is_open()) return;
  asio::error_code error, ignored;
  bind(acceptor_, error);
  if (error) throw asio::system_error(error, "bind");
  reservation_.close(ignored);
  acceptor_.listen(kBacklog);
  endpoint_ = acceptor_.local_endpoint();
  accept();
}

void Listener::stop() {
  asio::error_code ignored;
  backlog_fillers_.clear();
  stalled_ = false;
  if (!acceptor_.is_open()) return;
  acceptor_.close(ignored);
  // A front end's process that is being started holds a copy of the listening socket for a moment.
  asio::error_code error;
  bind(reservation_, error);
  if (error) reservation_.close(ignored);
}

// While the accept queue is full, the system drops the SYNs of further connections, which the other side's
// system repeats a second later.
void Listener::set_stalled(bool stalled) {
  if (stalled == stalled_ || !acceptor_.is_open()) return;
  stalled_ = stalled;
  if (stalled) {
    acceptor_.cancel();
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kFillerConnections; ++i) {
      backlog_fillers_.emplace_back(io_);
      backlog_fillers_.back().async_connect(endpoint_, [](asio::error_code) {});
    }
    return;
  }
  backlog_fillers_.clear();
  ::listen(acceptor_.native_handle(), kBacklog);
  accept();
}

void Listener::accept() {
  acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open() || stalled_) return;
    if (!error) on_accept_(std::move(socket));
    if (error == asio::error::operation_aborted) return;
    accept();
  });
}

} // namespace snowshore::soak
