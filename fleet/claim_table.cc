#include "fleet/claim_table.h"

#include <algorithm>
#include <vector>

namespace wigeonlane {

bool ClaimTable::Apply(const OrderBatch& batch, LogTime stamp) {
  Expire(stamp);
  const AuthorNumber author = NumberOf(batch.author);
  Author& entry = authors_.at(author);
  if (batch.sequence <= entry.sequence) return false;
  entry.sequence = batch.sequence;
  entry.stamp = stamp;
  for (const Digest& key : batch.releases) {
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.author == author) found->second.released = true;
  }
  for (const OrderClaim& claim : batch.claims) Take(claim, author, stamp);
  return true;
}

void ClaimTable::Take(const OrderClaim& claim, AuthorNumber author, LogTime stamp) {
  const auto [found, inserted] = claims_.try_emplace(claim.key);
  if (!inserted && !found->second.released) return;
  found->second = {.body = claim.body, .stamp = stamp, .author = author, .released = false};
  by_age_.emplace_back(stamp, claim.key);
}

std::optional<ClaimView> ClaimTable::Find(const Digest& key) const {
  const auto found = claims_.find(key);
  if (found == claims_.end()) return std::nullopt;
  const Claim& claim = found->second;
  return ClaimView{authors_.at(claim.author).name, claim.body, claim.released};
}

std::size_t ClaimTable::MemoryBytes() const {
  return claims_.capacity() * (sizeof(Digest) + sizeof(Claim) + 1) +
         by_age_.size() * sizeof(std::pair<LogTime, Digest>);
}

ClaimTable::AuthorNumber ClaimTable::NumberOf(const std::string& name) {
  const auto [found, inserted] = author_numbers_.try_emplace(name, next_author_);
  if (inserted) {
    authors_[next_author_].name = name;
    ++next_author_;
  }
  return found->second;
}

void ClaimTable::Expire(LogTime now) {
  while (!by_age_.empty() && by_age_.front().first + kRetention < now) {
    const auto [stamp, key] = by_age_.front();
    by_age_.pop_front();
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.stamp == stamp) claims_.erase(found);
  }
  // An author is forgotten only after twice the retention, when no claim can name it any more.
  for (auto author = authors_.begin(); author != authors_.end();) {
    if (author->second.stamp != LogTime(0) && author->second.stamp + 2 * kRetention < now) {
      author_numbers_.erase(author->second.name);
      author = authors_.erase(author);
    } else {
      ++author;
    }
  }
}

std::map<Digest, ClaimTable::Claim> ClaimTable::SortedClaims() const {
  return {claims_.begin(), claims_.end()};
}

void ClaimTable::RestoreClaims(const std::map<Digest, Claim>& sorted) {
  claims_.clear();
  claims_.insert(sorted.begin(), sorted.end());
  std::vector<std::pair<LogTime, Digest>> ages;
  ages.reserve(sorted.size());
  for (const auto& [key, claim] : sorted) ages.emplace_back(claim.stamp, key);
  std::sort(ages.begin(), ages.end());
  by_age_.assign(ages.begin(), ages.end());
}

}  // namespace wigeonlane
