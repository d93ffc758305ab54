#include "net/byte_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace wigeonlane {
namespace {

/// Evictions go on until an eighth of the limit is free, so that the next report does not need a
/// search again.
constexpr std::size_t kFreedShare = 8;

}  // namespace

ByteBudget::Account::Account(std::shared_ptr<ByteBudget> budget, Evict evict)
    : budget_(std::move(budget)), number_(budget_->Open(std::move(evict))) {}

ByteBudget::Account::~Account() { budget_->Close(number_); }

void ByteBudget::Account::Set(std::size_t bytes, bool may_evict, Instant now) {
  budget_->Set(number_, bytes, may_evict, now);
}

std::size_t ByteBudget::held() const {
  const std::lock_guard lock(mutex_);
  return held_;
}

std::uint64_t ByteBudget::evictions() const {
  const std::lock_guard lock(mutex_);
  return evictions_;
}

std::uint64_t ByteBudget::Open(Evict evict) {
  const std::lock_guard lock(mutex_);
  holdings_[++last_number_].evict = std::make_shared<Evict>(std::move(evict));
  return last_number_;
}

void ByteBudget::Close(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  const auto found = holdings_.find(number);
  held_ -= found->second.bytes;
  if (found->second.evicted) evicting_ -= found->second.bytes;
  holdings_.erase(found);
}

void ByteBudget::Set(std::uint64_t number, std::size_t bytes, bool may_evict, Instant now) {
  std::vector<std::shared_ptr<Evict>> evictions;
  {
    const std::lock_guard lock(mutex_);
    Holding& holding = holdings_.at(number);
    if (holding.bytes == 0) holding.since = now;
    held_ += bytes - holding.bytes;
    if (holding.evicted) evicting_ += bytes - holding.bytes;
    holding.bytes = bytes;
    holding.may_evict = may_evict;
    if ((bytes == 0 || !may_evict) && std::exchange(holding.evicted, false)) evicting_ -= bytes;
    if (held_ - evicting_ > limit_) evictions = ChooseEvictions(now);
  }
  for (const auto& evict : evictions) (*evict)();
}

std::vector<std::shared_ptr<ByteBudget::Evict>> ByteBudget::ChooseEvictions(Instant now) {
  std::vector<std::pair<double, Holding*>> candidates;
  for (auto& [number, holding] : holdings_) {
    if (holding.bytes == 0 || !holding.may_evict || holding.evicted) continue;
    const double held_for = std::chrono::duration<double>(now - holding.since).count();
    candidates.emplace_back(static_cast<double>(holding.bytes) * held_for, &holding);
  }
  // A single message is taken even if the limit is lower than the largest one allowed.
  if (candidates.size() == 1 && candidates.front().second->bytes == held_) return {};
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second->bytes > b.second->bytes;
  });
  std::vector<std::shared_ptr<Evict>> evictions;
  for (const auto& [cost, holding] : candidates) {
    if (held_ - evicting_ <= limit_ - limit_ / kFreedShare) break;
    holding->evicted = true;
    evicting_ += holding->bytes;
    ++evictions_;
    evictions.push_back(holding->evict);
  }
  return evictions;
}

}  // namespace wigeonlane
