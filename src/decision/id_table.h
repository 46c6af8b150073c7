// Outside ids to small indices and back; a freed index is given again.
#pragma once
#include <cstddef>
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
  std::size_t size() const { return index_.size(); }
  const Id &id(int index) const { return ids_[static_cast<std::size_t>(index)]; }

 private:
  std::unordered_map<Id, int> index_;
  std::vector<Id> ids_;
  std::vector<int> spare_;
};

// Ids that others hold by their own indices (titles by plays): one is let go with its last holder.
template <class Id> class HeldTable {
 public:
  int index_of(const Id &id) { return table_.index_of(id); }
  const Id &id(int index) const { return table_.id(index); }
  std::size_t size() const { return table_.size(); }
  void hold(int holder, int index) {
    auto place = static_cast<std::size_t>(holder), held = static_cast<std::size_t>(index);
    if (place >= held_by_.size()) held_by_.resize(place + 1);
    if (held >= holders_.size()) holders_.resize(held + 1);
    held_by_[place] = index;
    ++holders_[held];
  }
  void let_go(int holder) {
    int index = held_by_[static_cast<std::size_t>(holder)];
    if (--holders_[static_cast<std::size_t>(index)] == 0) table_.release(index);
  }

 private:
  IdTable<Id> table_;
  std::vector<int> held_by_, holders_;
};

} // namespace snowshore
