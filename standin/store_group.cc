#include "standin/store_group.h"

#include <iterator>

namespace wigeonlane {

std::vector<std::uint32_t> StoreGroup::Join(const std::string& member,
                                            std::chrono::milliseconds ttl, std::uint64_t generation,
                                            Instant now) {
  Expire(now);
  const bool added = !members_.contains(member);
  members_[member] = now + ttl;
  if (added) AssignPartitions();
  std::vector<std::uint32_t> held;
  for (const auto& [partition, assigned_member] : assigned_) {
    const auto holder = holders_by_partition_.find(partition);
    if (assigned_member == member &&
        (holder == holders_by_partition_.end() || holder->second == member)) {
      holders_by_partition_[partition] = member;
      held.push_back(partition);
    } else if (holder != holders_by_partition_.end() && holder->second == member &&
               generation >= generation_) {
      holders_by_partition_.erase(holder);
    }
  }
  return held;
}

void StoreGroup::Leave(const std::string& member, Instant now) {
  Expire(now);
  if (members_.erase(member) == 0) return;
  ReleasePartitions(member);
  AssignPartitions();
}

void StoreGroup::Rebalance() {
  ++rotation_;
  AssignPartitions();
}

void StoreGroup::Expire(Instant now) {
  bool changed = false;
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    ReleasePartitions(it->first);
    it = members_.erase(it);
    changed = true;
  }
  if (changed) AssignPartitions();
}

void StoreGroup::ReleasePartitions(const std::string& member) {
  std::erase_if(holders_by_partition_, [&](const auto& held) { return held.second == member; });
}

void StoreGroup::AssignPartitions() {
  ++generation_;
  assigned_.clear();
  if (members_.empty()) return;
  for (std::uint32_t partition = 0; partition < partition_count_; ++partition) {
    const auto member_index = (partition + rotation_) % members_.size();
    assigned_[partition] =
        std::next(members_.begin(), static_cast<std::ptrdiff_t>(member_index))->first;
  }
}

}  // namespace wigeonlane
