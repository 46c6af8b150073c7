// A set of small indices in rising order, for sets that are walked often and change less. Adding or taking
// one out costs a move of those behind it; memory grows to the most that were held at a time.
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore {

class SortedIndices {
 public:
  void add(int index) {
    auto at = std::lower_bound(all_.begin(), all_.end(), index);
    if (at == all_.end() || *at != index) all_.insert(at, index);
  }
  void remove(int index) {
    auto at = std::lower_bound(all_.begin(), all_.end(), index);
    if (at != all_.end() && *at == index) all_.erase(at);
  }
  bool contains(int index) const { return std::binary_search(all_.begin(), all_.end(), index); }
  std::size_t size() const { return all_.size(); }
  bool empty() const { return all_.empty(); }
  auto begin() const { return all_.begin(); }
  auto end() const { return all_.end(); }
  const std::vector<int> &values() const { return all_; }

 private:
  std::vector<int> all_;
};

} // namespace snowshore
