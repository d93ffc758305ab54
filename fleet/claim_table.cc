#include "fleet/claim_table.h"

#include <algorithm>
#include <vector>

namespace wigeonlane {

bool ClaimTable::Apply(const OrderBatch& batch, LogTime stamp) {
  ExpireClaimsAndAuthors(stamp);
  const AuthorNumber author = FindOrAssignAuthorNumber(batch.author);
  Author& entry = authors_.at(author);
  if (batch.sequence <= entry.sequence) return false;
  entry.sequence = batch.sequence;
  entry.stamp = stamp;
  for (const Digest& key : batch.releases) {
    const auto found = claims_.find(key);
    if (found != claims_.end() && found->second.author == author) found->second.released = true;
  }
  for (const OrderClaim& claim : batch.claims) ApplyClaim(claim, author, stamp);
  return true;
}

void ClaimTable::ApplyClaim(const OrderClaim& claim, AuthorNumber author, LogTime stamp) {
  const auto [found, inserted] = claims_.try_emplace(claim.key);
  if (!inserted && !found->second.released) return;
  found->second = {.body = claim.body, .stamp = stamp, .author = author, .released = false};
  claims_by_age_.emplace_back(stamp, claim.key);
}

std::optional<ClaimView> ClaimTable::Find(const Digest& key) const {
  const auto found = claims_.find(key);
  if (found == claims_.end()) return std::nullopt;
  const Claim& claim = found->second;
  return ClaimView{authors_.at(claim.author).name, claim.body, claim.released};
}

std::size_t ClaimTable::MemoryBytes() const {
  return claims_.capacity() * (sizeof(Digest) + sizeof(Claim) + 1) +
         claims_by_age_.size() * sizeof(std::pair<LogTime, Digest>);
}

ClaimTable::AuthorNumber ClaimTable::FindOrAssignAuthorNumber(const std::string& name) {
  const auto [found, inserted] = author_numbers_.try_emplace(name, next_author_);
  if (inserted) {
    authors_[next_author_].name = name;
    ++next_author_;
  }
  return found->second;
}

void ClaimTable::ExpireClaimsAndAuthors(LogTime now) {
  while (!claims_by_age_.empty() && claims_by_age_.front().first + kRetention < now) {
    const auto [stamp, key] = claims_by_age_.front();
    claims_by_age_.pop_front();
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
  std::vector<std::pair<LogTime, Digest>> claims_by_age;
  claims_by_age.reserve(sorted.size());
  for (const auto& [key, claim] : sorted) claims_by_age.emplace_back(claim.stamp, key);
  std::sort(claims_by_age.begin(), claims_by_age.end());
  claims_by_age_.assign(claims_by_age.begin(), claims_by_age.end());
}

}  // namespace wigeonlane
