#include "soak/wire.h"

#include <sys/socket.h>

#include <chrono>

namespace snowshore::soak {

namespace {

constexpr double kHeldLook = 0.02; // seconds between looks at a wire that is held
constexpr int kBacklog = 512;
constexpr int kFillers = 3; // connections that fill a backlog of none

std::chrono::steady_clock::duration span(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(seconds));
}

} // namespace

double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

Wire::Wire(asio::ip::tcp::socket socket, std::shared_ptr<const WireFaults> faults)
    : socket_(std::move(socket)), timer_(socket_.get_executor()), faults_(std::move(faults)) {
  asio::error_code failed;
  auto remote = socket_.remote_endpoint(failed);
  if (!failed) remote_ = remote.address().to_v4().to_uint();
  socket_.set_option(asio::ip::tcp::no_delay(true), failed);
  opened_at_ = now();
}

void Wire::start(Events events) {
  events_ = std::move(events);
  read();
}

void Wire::read() {
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](asio::error_code error, std::size_t size) {
                            if (!self->open_) return;
                            if (error) {
                              self->end();
                              if (self->events_.closed) self->events_.closed();
                              return;
                            }
                            self->events_.bytes(std::string_view(self->buffer_.data(), size));
                            if (self->open_) self->read();
                          });
}

void Wire::say(std::string text, std::function<void()> on_written) {
  if (!open_) return;
  due_.push_back({std::move(text), now() + faults_->delay, std::move(on_written)});
  if (!writing_ && !waiting_) pump();
}

void Wire::wait(double seconds) {
  waiting_ = true;
  timer_.expires_after(span(seconds));
  timer_.async_wait([self = shared_from_this()](asio::error_code) {
    self->waiting_ = false;
    if (self->open_) self->pump();
  });
}

void Wire::pump() {
  if (due_.empty()) {
    asio::error_code ignored;
    if (finishes_) socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    return;
  }
  if (is_held()) return wait(kHeldLook);
  double early = due_.front().at - now();
  if (early > 0) return wait(early);
  writing_ = true;
  std::string &text = due_.front().text;
  std::size_t size = faults_->single_bytes ? std::min<std::size_t>(1, text.size()) : text.size();
  asio::async_write(socket_, asio::buffer(text.data(), size),
                    [self = shared_from_this()](asio::error_code error, std::size_t written) {
                      self->writing_ = false;
                      if (!self->open_) return;
                      if (error) return; // the reader sees the end
                      Due &front = self->due_.front();
                      front.text.erase(0, written);
                      if (front.text.empty()) {
                        auto done = std::move(front.on_written);
                        self->due_.pop_front();
                        if (done) done();
                      }
                      if (self->open_) self->pump();
                    });
}

void Wire::finish() {
  finishes_ = true;
  if (!writing_ && !waiting_) pump();
}

void Wire::end() {
  open_ = false;
  asio::error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void Wire::close() {
  if (open_) end();
}

void Wire::reset() {
  if (!open_) return;
  asio::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  end();
}

Listener::Listener(asio::io_context &io, asio::ip::address_v4 address, OnAccept on_accept)
    : io_(io), acceptor_(io), at_(address, 0), on_accept_(std::move(on_accept)) {}

void Listener::listen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(at_.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at_);
  acceptor_.listen(kBacklog);
  at_ = acceptor_.local_endpoint();
  accept();
}

void Listener::refuse() {
  asio::error_code ignored;
  fillers_.clear();
  held_ = false;
  acceptor_.close(ignored);
}

// A listener whose queue is full lets the handshakes of others wait; they are tried again by the system a
// second later.
void Listener::hold(bool held) {
  if (held == held_ || !acceptor_.is_open()) return;
  held_ = held;
  if (held) {
    acceptor_.cancel();
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kFillers; ++i) {
      fillers_.emplace_back(io_);
      fillers_.back().async_connect(at_, [](asio::error_code) {});
    }
    return;
  }
  fillers_.clear();
  ::listen(acceptor_.native_handle(), kBacklog);
  accept();
}

void Listener::accept() {
  acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open() || held_) return;
    if (!error) on_accept_(std::move(socket));
    if (error == asio::error::operation_aborted) return;
    accept();
  });
}

} // namespace snowshore::soak
