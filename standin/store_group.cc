#include "standin/store_group.h"

#include <iterator>

namespace wigeonlane {

std::vector<std::uint32_t> StoreGroup::Join(const std::string& member,
                                            std::chrono::milliseconds ttl, std::uint64_t generation,
                                            Instant now) {
  Expire(now);
  const bool added = !members_.contains(member);
  members_[member] = now + ttl;
  if (added) DealOut();
  std::vector<std::uint32_t> held;
  for (const auto& [part, intended] : intended_) {
    const auto holder = holders_.find(part);
    if (intended == member && (holder == holders_.end() || holder->second == member)) {
      holders_[part] = member;
      held.push_back(part);
    } else if (holder != holders_.end() && holder->second == member && generation >= generation_) {
      holders_.erase(holder);
    }
  }
  return held;
}

void StoreGroup::Leave(const std::string& member, Instant now) {
  Expire(now);
  if (members_.erase(member) == 0) return;
  Release(member);
  DealOut();
}

void StoreGroup::Rebalance() {
  ++shift_;
  DealOut();
}

void StoreGroup::Expire(Instant now) {
  bool changed = false;
  for (auto it = members_.begin(); it != members_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    Release(it->first);
    it = members_.erase(it);
    changed = true;
  }
  if (changed) DealOut();
}

void StoreGroup::Release(const std::string& member) {
  std::erase_if(holders_, [&](const auto& held) { return held.second == member; });
}

void StoreGroup::DealOut() {
  ++generation_;
  intended_.clear();
  if (members_.empty()) return;
  for (std::uint32_t part = 0; part < parts_; ++part) {
    const auto turn = (part + shift_) % members_.size();
    intended_[part] = std::next(members_.begin(), static_cast<std::ptrdiff_t>(turn))->first;
  }
}

}  // namespace wigeonlane
