#include "soak/discovery.h"

namespace snowshore::soak {

namespace {

constexpr double kBeatEvery = 1, kOldAddressStays = 1.5; // seconds
constexpr std::size_t kHelloBytes = 8;

std::string big(std::uint64_t value, int size) {
  std::string out;
  for (int i = size - 1; i >= 0; --i) out += static_cast<char>(value >> 8 * i & 255);
  return out;
}

std::string frame(std::uint64_t number, unsigned kind, const std::string &payload) {
  return big(9 + payload.size(), 4) + big(number, 8) + big(kind, 1) + payload;
}

std::string record(const ListEntry &one) {
  return big(one.id, 4) + big(one.at.address().to_v4().to_uint(), 4) + big(one.at.port(), 2) +
         big(static_cast<std::uint64_t>(one.state), 1) + big(static_cast<std::uint64_t>(one.zone), 1) +
         big(0, 1) + big(static_cast<std::uint64_t>(one.cell), 2) + big(1000, 4) + big(one.started_ms, 8);
}

} // namespace

Discovery::Discovery(asio::io_context &io, const Scenario &scenario, Ledger &ledger, double)
    : io_(io), ledger_(ledger), scenario_(scenario), front_ends_(scenario.deployment.front_ends) {
  for (int place = 0; place < 2; ++place) {
    listeners_.push_back(std::make_unique<Listener>(
        io_, asio::ip::address_v4(kDiscoveryAddress),
        [this, place](asio::ip::tcp::socket socket) { accept(place, std::move(socket)); }));
    listeners_.back()->listen();
  }
  listeners_[1]->refuse();
}

int Discovery::change(const std::vector<ListEntry> &entries) {
  std::string payload;
  for (const ListEntry &one : entries) {
    payload += record(one);
    if (one.state == ServerState::left)
      list_.erase(one.id);
    else
      list_[one.id] = one;
  }
  int number = last() + 1;
  frames_.push_back(frame(static_cast<std::uint64_t>(number), number == 1 ? 1 : 2, payload));
  ledger_.list_change_made(number);
  for (const CallRef &call : calls_) bring(call);
  return number;
}

void Discovery::accept(int place, asio::ip::tcp::socket socket) {
  auto call = std::make_shared<Call>();
  call->wire = std::make_shared<Wire>(std::move(socket), faults_);
  call->front = front_at(call->wire->remote());
  call->place = place;
  if (call->front < 0 || call->front >= front_ends_) return; // a filler of the listener's own
  calls_.insert(call);
  Wire::Events events;
  events.bytes = [this, call](std::string_view bytes) {
    call->hello.append(bytes);
    if (call->greeted || call->hello.size() < kHelloBytes) return;
    call->greeted = true;
    for (std::size_t i = 0; i < kHelloBytes; ++i)
      call->sent = static_cast<int>(static_cast<std::uint64_t>(call->sent) << 8 |
                                    static_cast<unsigned char>(call->hello[i]));
    bring(call);
  };
  events.closed = [this, call] { calls_.erase(call); };
  call->wire->start(std::move(events));
}

void Discovery::bring(const CallRef &call) {
  if (!call->greeted || call->stalled || mute_) return;
  while (call->sent < last()) {
    const std::string &text = frames_[static_cast<std::size_t>(call->sent)];
    bytes_ += text.size();
    ++call->sent;
    if (breaks_on_purpose(scenario_, Rule::drain)) { // counts as told, and never is
      ledger_.list_change_delivered(call->front, call->sent);
      continue;
    }
    call->wire->say(text,
                    [this, front = call->front, number = call->sent] { ledger_.list_change_delivered(front, number); });
  }
}

void Discovery::reachable(bool is_reachable) {
  for (int f = 0; f < front_ends_; ++f) ledger_.discovery_reachable(f, is_reachable);
}

void Discovery::end_calls() {
  for (const CallRef &call : calls_) call->wire->reset();
  calls_.clear();
}

void Discovery::down(bool is_down) {
  Listener &listener = *listeners_[static_cast<std::size_t>(place_)];
  reachable(!is_down);
  if (!is_down) return listener.listen();
  listener.refuse();
  end_calls();
}

void Discovery::silent(bool is_silent) {
  for (const CallRef &call : calls_) {
    call->stalled = is_silent;
    if (!is_silent) bring(call);
  }
  for (int f = 0; f < front_ends_; ++f) ledger_.discovery_silent(f, is_silent);
}

void Discovery::mute(bool is_mute) {
  mute_ = is_mute;
  reachable(!is_mute);
  if (is_mute) return;
  for (const CallRef &call : calls_) bring(call);
}

void Discovery::late(bool is_late) {
  listeners_[static_cast<std::size_t>(place_)]->hold(is_late);
  reachable(!is_late);
}

void Discovery::hold_front(int front, bool held) {
  ledger_.discovery_reachable(front, !held);
  for (const CallRef &call : calls_) {
    if (call->front == front) call->wire->hold(held);
  }
}

void Discovery::half() {
  auto calls = calls_;
  for (const CallRef &call : calls) {
    if (!call->greeted) continue;
    call->stalled = true;
    std::string text = frame(static_cast<std::uint64_t>(call->sent) + 1, 2, std::string(54, '\x01'));
    call->wire->say(text.substr(0, 30), [this, call] {
      call->wire->close();
      calls_.erase(call);
    });
  }
}

void Discovery::move() {
  Listener &next = *listeners_[static_cast<std::size_t>(1 - place_)];
  listeners_[static_cast<std::size_t>(place_)]->refuse(); // accepts no new call; open ones go on for a moment
  place_ = 1 - place_;
  next.listen();
  for (const CallRef &call : calls_) call->stalled = true;
  old_ends_at_ = now() + kOldAddressStays;
}

void Discovery::look() {
  if (old_ends_at_ >= 0 && now() >= old_ends_at_) {
    old_ends_at_ = -1;
    auto calls = calls_;
    for (const CallRef &call : calls) {
      if (call->place == place_) continue;
      call->wire->close();
      calls_.erase(call);
    }
  }
  if (mute_) return;
  for (const CallRef &call : calls_) {
    if (!call->greeted || call->stalled || now() - call->beat_at < kBeatEvery) continue;
    call->beat_at = now();
    call->wire->say(frame(static_cast<std::uint64_t>(call->sent), 0, ""));
  }
}

} // namespace snowshore::soak
