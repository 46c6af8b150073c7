// The ids that were added last, up to a capacity. Adding one and looking one up take constant time.
#pragma once
#include <cstddef>
#include <cstdint>
#include <unordered_set>
#include <vector>

namespace snowshore::platform {

class RecentIds {
 public:
  explicit RecentIds(std::size_t capacity) : capacity_(capacity) {}
  // Adds the id; where the capacity is reached, the one that was added first goes.
  void add(std::uint64_t id) {
    if (!ids_.insert(id).second) return;
    if (in_order_.size() < capacity_) return in_order_.push_back(id);
    ids_.erase(in_order_[oldest_]);
    in_order_[oldest_] = id;
    oldest_ = (oldest_ + 1) % capacity_;
  }
  bool contains(std::uint64_t id) const { return ids_.contains(id); }

 private:
  std::size_t capacity_, oldest_ = 0;
  std::unordered_set<std::uint64_t> ids_;
  // A ring, once it is full.
  std::vector<std::uint64_t> in_order_;
};

} // namespace snowshore::platform
