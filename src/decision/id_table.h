// Maps external ids to small indices and back. A released index is reused.
#pragma once
#include <cstddef>
#include <unordered_map>
#include <vector>

namespace snowshore {

// Assigns indices from 0 up.
template <class Id> class IdTable {
 public:
  // The index of a known id, or -1.
  int find(const Id &id) const {
    auto it = index_.find(id);
    return it == index_.end() ? -1 : it->second;
  }
  // The index of the id, which is added where it is not known.
  int index_of(const Id &id) {
    auto [it, added] = index_.try_emplace(id, -1);
    if (!added) return it->second;
    if (free_indices_.empty()) {
      it->second = static_cast<int>(ids_.size());
      ids_.push_back(id);
    } else {
      it->second = free_indices_.back();
      free_indices_.pop_back();
      ids_[static_cast<std::size_t>(it->second)] = id;
    }
    return it->second;
  }
  void release(int index) {
    index_.erase(ids_[static_cast<std::size_t>(index)]);
    free_indices_.push_back(index);
  }
  // The number of known ids.
  std::size_t size() const { return index_.size(); }
  const Id &id(int index) const { return ids_[static_cast<std::size_t>(index)]; }

 private:
  std::unordered_map<Id, int> index_;
  std::vector<Id> ids_;
  std::vector<int> free_indices_;
};

// Ids that are referred to by holders, which have indices of their own (a title is held by its plays). An id
// is released together with its last holder.
template <class Id> class RefCountedIdTable {
 public:
  int index_of(const Id &id) { return table_.index_of(id); }
  const Id &id(int index) const { return table_.id(index); }
  std::size_t size() const { return table_.size(); }
  // Records that `holder` refers to the id with this index. A holder refers to one id at a time.
  void add_holder(int holder, int index) {
    auto holder_slot = static_cast<std::size_t>(holder), index_slot = static_cast<std::size_t>(index);
    if (holder_slot >= index_by_holder_.size()) index_by_holder_.resize(holder_slot + 1);
    if (index_slot >= holder_counts_.size()) holder_counts_.resize(index_slot + 1);
    index_by_holder_[holder_slot] = index;
    ++holder_counts_[index_slot];
  }
  // Ends the reference of `holder`, which must have one.
  void release_holder(int holder) {
    int index = index_by_holder_[static_cast<std::size_t>(holder)];
    if (--holder_counts_[static_cast<std::size_t>(index)] == 0) table_.release(index);
  }

 private:
  IdTable<Id> table_;
  std::vector<int> index_by_holder_, holder_counts_;
};

} // namespace snowshore
