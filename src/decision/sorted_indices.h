// A set of small indices in ascending order, for sets that are iterated often and change less often. Adding
// or removing an index moves all that follow it; memory grows to the largest size that the set has had.
#pragma once
#include <algorithm>
#include <vector>

namespace snowshore {

class SortedIndices {
 public:
  void add(int index) {
    auto position = std::lower_bound(indices_.begin(), indices_.end(), index);
    if (position == indices_.end() || *position != index) indices_.insert(position, index);
  }
  void remove(int index) {
    auto position = std::lower_bound(indices_.begin(), indices_.end(), index);
    if (position != indices_.end() && *position == index) indices_.erase(position);
  }
  bool contains(int index) const { return std::binary_search(indices_.begin(), indices_.end(), index); }
  std::size_t size() const { return indices_.size(); }
  bool empty() const { return indices_.empty(); }
  auto begin() const { return indices_.begin(); }
  auto end() const { return indices_.end(); }
  const std::vector<int> &values() const { return indices_; }

 private:
  std::vector<int> indices_;
};

} // namespace snowshore
