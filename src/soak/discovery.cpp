#include "soak/discovery.h"

namespace snowshore::soak {

namespace {

constexpr double kHeartbeatInterval = 1; // seconds
// Seconds that the old address keeps its subscriptions open after a move.
constexpr double kOldAddressLinger = 1.5;
constexpr std::size_t kHelloBytes = 8;

std::string big_endian(std::uint64_t value, int size) {
  std::string out;
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> 8 * i & 255);
  return out;
}

std::string encode_frame(std::uint64_t number, unsigned kind, const std::string &payload) {
  return big_endian(9 + payload.size(), 4) + big_endian(number, 8) + big_endian(kind, 1) + payload;
}

std::string encode_record(const ListEntry &entry) {
  return big_endian(entry.id, 4) + big_endian(entry.endpoint.address().to_v4().to_uint(), 4) +
         big_endian(entry.endpoint.port(), 2) + big_endian(static_cast<std::uint64_t>(entry.state), 1) +
         big_endian(static_cast<std::uint64_t>(entry.zone), 1) + big_endian(0, 1) +
         big_endian(static_cast<std::uint64_t>(entry.cell), 2) + big_endian(1000, 4) +
         big_endian(entry.start_time_ms, 8);
}

} // namespace

Discovery::Discovery(asio::io_context &io, const Scenario &scenario, Ledger &ledger, double)
    : io_(io), ledger_(ledger), scenario_(scenario), front_ends_(scenario.deployment.front_ends) {
  for (int listener = 0; listener < 2; ++listener) {
    listeners_.push_back(std::make_unique<Listener>(
        io_, asio::ip::address_v4(kDiscoveryAddress),
        [this, listener](asio::ip::tcp::socket socket) { accept(listener, std::move(socket)); }));
    listeners_.back()->listen();
  }
  listeners_[1]->stop();
}

int Discovery::apply_change(const std::vector<ListEntry> &entries) {
  std::string payload;
  for (const ListEntry &entry : entries) {
    payload += encode_record(entry);
    if (entry.state == ServerState::left)
      list_.erase(entry.id);
    else
      list_[entry.id] = entry;
  }
  int number = last_change() + 1;
  frames_.push_back(encode_frame(static_cast<std::uint64_t>(number), number == 1 ? 1 : 2, payload));
  ledger_.list_change_made(number);
  for (const SubscriptionRef &subscription : subscriptions_) send_pending(subscription);
  return number;
}

void Discovery::accept(int listener, asio::ip::tcp::socket socket) {
  auto subscription = std::make_shared<Subscription>();
  subscription->stream = std::make_shared<FaultyStream>(std::move(socket), faults_);
  subscription->front = front_of_source(subscription->stream->remote_address());
  subscription->listener = listener;
  // The listener opens connections to itself while it is stalled.
  if (subscription->front < 0 || subscription->front >= front_ends_) return;
  subscriptions_.insert(subscription);
  FaultyStream::Events events;
  events.on_bytes = [this, subscription](std::string_view bytes) {
    subscription->hello.append(bytes);
    if (subscription->hello_received || subscription->hello.size() < kHelloBytes) return;
    subscription->hello_received = true;
    for (std::size_t i = 0; i < kHelloBytes; ++i)
      subscription->last_sent_change =
          static_cast<int>(static_cast<std::uint64_t>(subscription->last_sent_change) << 8 |
                           static_cast<unsigned char>(subscription->hello[i]));
    send_pending(subscription);
  };
  events.on_closed = [this, subscription] { subscriptions_.erase(subscription); };
  subscription->stream->start(std::move(events));
}

void Discovery::send_pending(const SubscriptionRef &subscription) {
  if (!subscription->hello_received || subscription->paused || mute_) return;
  while (subscription->last_sent_change < last_change()) {
    const std::string &text = frames_[static_cast<std::size_t>(subscription->last_sent_change)];
    bytes_sent_ += text.size();
    ++subscription->last_sent_change;
    // Breaks the rule on purpose: the change is recorded as delivered and not sent.
    if (breaks_on_purpose(scenario_, Rule::drain)) {
      ledger_.list_change_delivered(subscription->front, subscription->last_sent_change);
      continue;
    }
    subscription->stream->send(text,
                               [this, front = subscription->front, number = subscription->last_sent_change] {
                                 ledger_.list_change_delivered(front, number);
                               });
  }
}

void Discovery::record_reachable(bool is_reachable) {
  for (int f = 0; f < front_ends_; ++f) ledger_.discovery_reachable(f, is_reachable);
}

void Discovery::reset_subscriptions() {
  for (const SubscriptionRef &subscription : subscriptions_) subscription->stream->reset();
  subscriptions_.clear();
}

void Discovery::set_down(bool is_down) {
  Listener &listener = *listeners_[static_cast<std::size_t>(active_listener_)];
  record_reachable(!is_down);
  if (!is_down) return listener.listen();
  listener.stop();
  reset_subscriptions();
}

void Discovery::set_silent(bool is_silent) {
  for (const SubscriptionRef &subscription : subscriptions_) {
    subscription->paused = is_silent;
    if (!is_silent) send_pending(subscription);
  }
  for (int f = 0; f < front_ends_; ++f) ledger_.discovery_silent(f, is_silent);
}

void Discovery::set_mute(bool is_mute) {
  mute_ = is_mute;
  record_reachable(!is_mute);
  if (is_mute) return;
  for (const SubscriptionRef &subscription : subscriptions_) send_pending(subscription);
}

void Discovery::set_late(bool is_late) {
  listeners_[static_cast<std::size_t>(active_listener_)]->set_stalled(is_late);
  record_reachable(!is_late);
}

void Discovery::set_front_stalled(int front, bool stalled) {
  ledger_.discovery_reachable(front, !stalled);
  for (const SubscriptionRef &subscription : subscriptions_) {
    if (subscription->front == front) subscription->stream->set_stalled(stalled);
  }
}

void Discovery::send_half_frames() {
  auto subscriptions = subscriptions_;
  for (const SubscriptionRef &subscription : subscriptions) {
    if (!subscription->hello_received) continue;
    subscription->paused = true;
    std::string text = encode_frame(static_cast<std::uint64_t>(subscription->last_sent_change) + 1, 2,
                                    std::string(54, '\x01'));
    subscription->stream->send(text.substr(0, 30), [this, subscription] {
      subscription->stream->close();
      subscriptions_.erase(subscription);
    });
  }
}

void Discovery::move() {
  Listener &next = *listeners_[static_cast<std::size_t>(1 - active_listener_)];
  // Refuses new connections; the open ones end in poll().
  listeners_[static_cast<std::size_t>(active_listener_)]->stop();
  active_listener_ = 1 - active_listener_;
  next.listen();
  for (const SubscriptionRef &subscription : subscriptions_) subscription->paused = true;
  old_address_closes_at_ = now() + kOldAddressLinger;
}

void Discovery::poll() {
  if (old_address_closes_at_ >= 0 && now() >= old_address_closes_at_) {
    old_address_closes_at_ = -1;
    auto subscriptions = subscriptions_;
    for (const SubscriptionRef &subscription : subscriptions) {
      if (subscription->listener == active_listener_) continue;
      subscription->stream->close();
      subscriptions_.erase(subscription);
    }
  }
  if (mute_) return;
  for (const SubscriptionRef &subscription : subscriptions_) {
    if (!subscription->hello_received || subscription->paused ||
        now() - subscription->last_heartbeat_at < kHeartbeatInterval)
      continue;
    subscription->last_heartbeat_at = now();
    subscription->stream->send(
        encode_frame(static_cast<std::uint64_t>(subscription->last_sent_change), 0, ""));
  }
}

} // namespace snowshore::soak
