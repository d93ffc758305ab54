/// Tracks the order claims of one entry instance. The order of claims in the folded log decides
/// which entry instance may send an order.
#ifndef WIGEONLANE_POLICY_ORDER_CLAIM_TRACKER_H_
#define WIGEONLANE_POLICY_ORDER_CLAIM_TRACKER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "fleet/claim_table.h"
#include "fleet/record.h"

namespace wigeonlane {

/// Action to take for one waiting caller.
enum class OrderAction {
  kWait,         ///< Keep the caller waiting; a later decision resolves it.
  kRun,          ///< This instance won the claim: send this caller's order, once.
  kReply,        ///< The outcome is known: reply with `response`.
  kQueryAuthor,  ///< Another entry instance won: query `author` for the outcome.
  kMayHaveRun,   ///< This instance won the claim earlier but no longer has the response.
  kMismatch,     ///< The key was used before with another method, path or body.
  kOverloaded,   ///< Too many claims are waiting; no claim was made.
};

/// Decision of the tracker for one caller.
template <typename Response>
struct OrderDecision {
  OrderAction action = OrderAction::kWait;
  std::uint64_t waiter = 0;
  std::string author;
  std::optional<Response> response;
};

/// Tracks the claims that one incarnation of an entry instance is waiting for, holds or has
/// finished. Performs no I/O and reads the injected clock only to expire responses. Not
/// thread-safe.
///
/// Claims are appended to the log in batches, one batch at a time. The outcome of a claim is read
/// from the folded log, never from the response to the append. Only the author of the first claim
/// in log order sends the order.
template <RuntimeClock ClockT, typename Response>
class OrderClaimTracker {
 public:
  using Decision = OrderDecision<Response>;

  struct Options {
    std::string author;  ///< Unique to this incarnation.
    Duration response_retention = std::chrono::minutes(10);
    std::size_t max_kept_responses = 100'000;  ///< The oldest responses are evicted beyond this.
    std::size_t max_waiting_claims = 20'000;   ///< Further orders get `kOverloaded`.
    std::size_t max_claims_per_batch = 4'000;
  };

  OrderClaimTracker(Options options, const ClockT& clock)
      : options_(std::move(options)), clock_(clock) {}

  /// Registers the order of caller `waiter`. `claims` is the current folded table; `body` is the
  /// digest of method, path and body.
  Decision Begin(const Digest& key, std::uint64_t body, std::uint64_t waiter,
                 const ClaimTable& claims);

  /// Returns the batch to append now. The pending batch is returned again until it is folded; then
  /// a new batch is made from the waiting claims and releases. Empty when there is nothing to
  /// append.
  const std::optional<OrderBatch>& NextBatch();

  /// Handles a folded batch. `claims` is the table right after the batch.
  std::vector<Decision> OnFolded(const OrderBatch& batch, const ClaimTable& claims);

  /// Removes a caller that still waits for its claim or for another caller's outcome. Returns true
  /// when the order was not sent and no other caller waits for it, so that it will not be sent:
  /// the caller may get the verdict not-run.
  bool Abandon(const Digest& key, std::uint64_t waiter);

  /// Finishes an order after a `kRun` decision. With `proven_not_run` the claim is released, so
  /// that the key can be claimed again; otherwise `response` is kept for repeated requests.
  std::vector<Decision> Finish(const Digest& key, bool proven_not_run, const Response& response);

  /// Returns the kept response of a finished order. Sets `in_flight` to whether the order may still
  /// finish on this instance.
  std::optional<Response> OutcomeOf(const Digest& key, bool* in_flight) const;

  /// Evicts responses that are older than the retention or exceed the maximum number.
  void EvictOldResponses();

  /// Whether `NextBatch` returns a batch.
  bool has_batch_to_append() const {
    return pending_batch_.has_value() || !waiting_claims_.empty() || !unbatched_releases_.empty();
  }

  std::size_t waiting_claims() const { return waiting_claims_.size(); }
  std::size_t entries() const { return entries_.size(); }

 private:
  enum class Phase { kClaiming, kRunning, kDone };

  struct Entry {
    std::uint64_t body = 0;
    Phase phase = Phase::kClaiming;
    bool batched = false;  ///< The claim is part of a batch and can no longer be withdrawn.
    std::vector<std::uint64_t> waiters;
    std::optional<Response> response;
    Instant finished_at{};
  };

  Decision JoinExisting(Entry* entry, std::uint64_t body, std::uint64_t waiter);
  void ResolveClaim(const Digest& key, const ClaimTable& claims, std::vector<Decision>* decisions);
  void Release(const Digest& key);

  const Options options_;
  const ClockT& clock_;
  absl::flat_hash_map<Digest, Entry> entries_;
  std::vector<OrderClaim> waiting_claims_;
  std::set<Digest> unfolded_releases_;  ///< Own claims whose release is not folded yet.
  std::vector<Digest> unbatched_releases_;
  std::optional<OrderBatch> pending_batch_;
  std::uint64_t sequence_ = 0;
  std::vector<std::pair<Instant, Digest>> finished_by_age_;
  /// Number of entries at the front of `finished_by_age_` that are already evicted.
  std::size_t evicted_count_ = 0;
};

template <RuntimeClock ClockT, typename Response>
auto OrderClaimTracker<ClockT, Response>::Begin(const Digest& key, std::uint64_t body,
                                                std::uint64_t waiter, const ClaimTable& claims)
    -> Decision {
  if (const auto found = entries_.find(key); found != entries_.end()) {
    return JoinExisting(&found->second, body, waiter);
  }
  const std::optional<ClaimView> claim = claims.Find(key);
  const bool claimable = !claim.has_value() || claim->released || unfolded_releases_.contains(key);
  if (!claimable && claim->body != body) return {OrderAction::kMismatch, waiter, {}, {}};
  if (!claimable && claim->author != options_.author) {
    return {OrderAction::kQueryAuthor, waiter, claim->author, {}};
  }
  if (!claimable) return {OrderAction::kMayHaveRun, waiter, {}, {}};
  if (waiting_claims_.size() >= options_.max_waiting_claims) {
    return {OrderAction::kOverloaded, waiter, {}, {}};
  }
  Entry& entry = entries_[key];
  entry.body = body;
  entry.waiters = {waiter};
  waiting_claims_.push_back({key, body});
  return {OrderAction::kWait, waiter, {}, {}};
}

template <RuntimeClock ClockT, typename Response>
auto OrderClaimTracker<ClockT, Response>::JoinExisting(Entry* entry, std::uint64_t body,
                                                       std::uint64_t waiter) -> Decision {
  if (entry->body != body) return {OrderAction::kMismatch, waiter, {}, {}};
  if (entry->phase == Phase::kDone) return {OrderAction::kReply, waiter, {}, entry->response};
  entry->waiters.push_back(waiter);
  return {OrderAction::kWait, waiter, {}, {}};
}

template <RuntimeClock ClockT, typename Response>
const std::optional<OrderBatch>& OrderClaimTracker<ClockT, Response>::NextBatch() {
  if (pending_batch_.has_value() || (waiting_claims_.empty() && unbatched_releases_.empty())) {
    return pending_batch_;
  }
  OrderBatch batch{options_.author, ++sequence_, {}, std::move(unbatched_releases_)};
  unbatched_releases_.clear();
  const std::size_t count = std::min(waiting_claims_.size(), options_.max_claims_per_batch);
  batch.claims.assign(waiting_claims_.begin(),
                      waiting_claims_.begin() + static_cast<std::ptrdiff_t>(count));
  waiting_claims_.erase(waiting_claims_.begin(),
                        waiting_claims_.begin() + static_cast<std::ptrdiff_t>(count));
  for (const OrderClaim& claim : batch.claims) entries_.at(claim.key).batched = true;
  pending_batch_ = std::move(batch);
  return pending_batch_;
}

template <RuntimeClock ClockT, typename Response>
auto OrderClaimTracker<ClockT, Response>::OnFolded(const OrderBatch& batch,
                                                   const ClaimTable& claims)
    -> std::vector<Decision> {
  std::vector<Decision> decisions;
  const bool is_own_batch = pending_batch_.has_value() && batch.author == options_.author &&
                            batch.sequence == pending_batch_->sequence;
  if (!is_own_batch) return decisions;
  pending_batch_.reset();
  for (const Digest& key : batch.releases) unfolded_releases_.erase(key);
  for (const OrderClaim& claim : batch.claims) ResolveClaim(claim.key, claims, &decisions);
  return decisions;
}

template <RuntimeClock ClockT, typename Response>
void OrderClaimTracker<ClockT, Response>::ResolveClaim(const Digest& key, const ClaimTable& claims,
                                                       std::vector<Decision>* decisions) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  Entry& entry = found->second;
  const std::optional<ClaimView> claim = claims.Find(key);
  const bool won = claim.has_value() && !claim->released && claim->author == options_.author;
  if (won && entry.waiters.empty()) {
    Release(key);
    entries_.erase(found);
    return;
  }
  if (won) {
    entry.phase = Phase::kRunning;
    decisions->push_back({OrderAction::kRun, entry.waiters.front(), {}, {}});
    entry.waiters.erase(entry.waiters.begin());
    return;
  }
  const bool mismatch = claim.has_value() && claim->body != entry.body;
  for (const std::uint64_t waiter : entry.waiters) {
    decisions->push_back({mismatch ? OrderAction::kMismatch : OrderAction::kQueryAuthor,
                          waiter,
                          claim.has_value() ? claim->author : "",
                          {}});
  }
  entries_.erase(found);
}

template <RuntimeClock ClockT, typename Response>
bool OrderClaimTracker<ClockT, Response>::Abandon(const Digest& key, std::uint64_t waiter) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  std::erase(entry.waiters, waiter);
  if (entry.phase != Phase::kClaiming) return false;
  if (!entry.waiters.empty()) return false;
  if (!entry.batched) {
    std::erase_if(waiting_claims_, [&](const OrderClaim& claim) { return claim.key == key; });
    entries_.erase(found);
  }
  return true;
}

template <RuntimeClock ClockT, typename Response>
auto OrderClaimTracker<ClockT, Response>::Finish(const Digest& key, bool proven_not_run,
                                                 const Response& response)
    -> std::vector<Decision> {
  std::vector<Decision> decisions;
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.phase != Phase::kRunning) return decisions;
  Entry& entry = found->second;
  for (const std::uint64_t waiter : entry.waiters) {
    decisions.push_back({OrderAction::kReply, waiter, {}, response});
  }
  if (proven_not_run) {
    Release(key);
    entries_.erase(found);
    return decisions;
  }
  entry.waiters.clear();
  entry.phase = Phase::kDone;
  entry.response = response;
  entry.finished_at = clock_.Now();
  finished_by_age_.emplace_back(entry.finished_at, key);
  EvictOldResponses();
  return decisions;
}

template <RuntimeClock ClockT, typename Response>
std::optional<Response> OrderClaimTracker<ClockT, Response>::OutcomeOf(const Digest& key,
                                                                       bool* in_flight) const {
  const auto found = entries_.find(key);
  *in_flight = found != entries_.end() && found->second.phase != Phase::kDone;
  return found == entries_.end() ? std::nullopt : found->second.response;
}

template <RuntimeClock ClockT, typename Response>
void OrderClaimTracker<ClockT, Response>::Release(const Digest& key) {
  unfolded_releases_.insert(key);
  unbatched_releases_.push_back(key);
}

template <RuntimeClock ClockT, typename Response>
void OrderClaimTracker<ClockT, Response>::EvictOldResponses() {
  const Instant now = clock_.Now();
  while (evicted_count_ < finished_by_age_.size()) {
    const auto& [finished_at, key] = finished_by_age_[evicted_count_];
    const bool over_limit = finished_by_age_.size() - evicted_count_ > options_.max_kept_responses;
    if (!over_limit && finished_at + options_.response_retention > now) break;
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.phase == Phase::kDone &&
        found->second.finished_at == finished_at) {
      entries_.erase(found);
    }
    ++evicted_count_;
  }
  if (evicted_count_ < finished_by_age_.size() / 2) return;
  finished_by_age_.erase(finished_by_age_.begin(),
                         finished_by_age_.begin() + static_cast<std::ptrdiff_t>(evicted_count_));
  evicted_count_ = 0;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ORDER_CLAIM_TRACKER_H_
