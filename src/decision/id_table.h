// Outside ids to small indices and back; a freed index is given again.
#pragma once
#include <unordered_map>
#include <vector>

namespace snowshore {

template <class Id> class IdTable {
 public:
  int find(const Id &id) const {
    auto it = index_.find(id);
    return it == index_.end() ? -1 : it->second;
  }
  int index_of(const Id &id) {
    auto [it, added] = index_.try_emplace(id, -1);
    if (!added) return it->second;
    if (spare_.empty()) {
      it->second = static_cast<int>(ids_.size());
      ids_.push_back(id);
    } else {
      it->second = spare_.back();
      spare_.pop_back();
      ids_[static_cast<std::size_t>(it->second)] = id;
    }
    return it->second;
  }
  void release(int index) {
    index_.erase(ids_[static_cast<std::size_t>(index)]);
    spare_.push_back(index);
  }
  const Id &id(int index) const { return ids_[static_cast<std::size_t>(index)]; }

 private:
  std::unordered_map<Id, int> index_;
  std::vector<Id> ids_;
  std::vector<int> spare_;
};

} // namespace snowshore
