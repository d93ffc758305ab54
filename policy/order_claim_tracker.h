/// Order claims of one entry instance: who may send which order, decided by the folded log.
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

/// What is to be done for one waiting caller.
enum class OrderAction {
  kWait,         ///< Its turn comes with a later step.
  kRun,          ///< The claim is won: this caller's order may be sent, once.
  kReply,        ///< The outcome is known: tell `answer`.
  kQueryAuthor,  ///< Another entry instance won: ask `author` for the outcome.
  kMayHaveRun,   ///< This instance won earlier and no longer keeps the answer.
  kMismatch,     ///< The key was used before with another method, path or body.
  kOverloaded,   ///< Too many claims wait; nothing was claimed.
};

/// One decision of the book for one caller.
template <typename Response>
struct OrderDecision {
  OrderAction action = OrderAction::kWait;
  std::uint64_t waiter = 0;
  std::string author;
  std::optional<Response> answer;
};

/// The claims that one incarnation of an entry instance waits for, holds and has finished. Pure:
/// it reads the injected clock only to forget answers, and is not safe for several threads.
///
/// A claim goes through the log in batches, one at a time. It is settled by folding the batch
/// back, never by the append's answer. Only the author of the first claim in log order sends.
template <RuntimeClock ClockT, typename Response>
class OrderClaimTracker {
 public:
  using Step = OrderDecision<Response>;

  struct Options {
    std::string author;  ///< Unique to this incarnation.
    Duration response_retention = std::chrono::minutes(10);
    std::size_t max_kept_responses = 100'000;  ///< Oldest answers are forgotten beyond this.
    std::size_t max_waiting_claims = 20'000;   ///< Further orders are refused.
    std::size_t max_claims_per_batch = 4'000;
  };

  OrderClaimTracker(Options options, const ClockT& clock)
      : options_(std::move(options)), clock_(clock) {}

  /// Takes a caller's order in. `claims` is the folded table at this moment.
  Step Begin(const Digest& key, std::uint64_t body, std::uint64_t waiter, const ClaimTable& claims);

  /// The batch to append now: the one under way, to be sent again until it is folded, or a new
  /// one from all that wait. Empty when there is nothing to append.
  const std::optional<OrderBatch>& NextBatch();

  /// Takes note that a batch was folded; `claims` is the table right after it.
  std::vector<Step> OnFolded(const OrderBatch& batch, const ClaimTable& claims);

  /// Gives up a caller that still waits for its claim or for another caller's outcome. Returns
  /// true when the order was not sent and nobody is left for whom it would be: the caller may be
  /// told not-run.
  bool Abandon(const Digest& key, std::uint64_t waiter);

  /// Ends an order that was told to run. With `proven_not_run` the claim is released, so that the
  /// key may be claimed again; otherwise `answer` is kept for repeats.
  std::vector<Step> Finish(const Digest& key, bool proven_not_run, const Response& answer);

  /// The kept answer of a finished order. Sets `in_flight` when the order may still finish here.
  std::optional<Response> OutcomeOf(const Digest& key, bool* in_flight) const;

  /// Forgets answers that were kept long enough.
  void EvictOldResponses();

  /// Whether `NextBatch` has something to append.
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
    bool batched = false;
    std::vector<std::uint64_t> waiters;
    std::optional<Response> answer;
    Instant finished_at{};
  };

  Step JoinExisting(Entry* entry, std::uint64_t body, std::uint64_t waiter);
  void ResolveClaim(const Digest& key, const ClaimTable& claims, std::vector<Step>* steps);
  void Release(const Digest& key);

  const Options options_;
  const ClockT& clock_;
  absl::flat_hash_map<Digest, Entry> entries_;
  std::vector<OrderClaim> waiting_claims_;
  std::set<Digest> unfolded_releases_;  ///< Own claims whose release was not yet folded.
  std::vector<Digest> unbatched_releases_;
  std::optional<OrderBatch> pending_batch_;
  std::uint64_t sequence_ = 0;
  std::vector<std::pair<Instant, Digest>> finished_by_age_;
  std::size_t evicted_count_ =
      0;  ///< Entries at the front of `finished_by_age_` already dealt with.
};

template <RuntimeClock ClockT, typename Response>
auto OrderClaimTracker<ClockT, Response>::Begin(const Digest& key, std::uint64_t body,
                                                std::uint64_t waiter, const ClaimTable& claims)
    -> Step {
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
                                                       std::uint64_t waiter) -> Step {
  if (entry->body != body) return {OrderAction::kMismatch, waiter, {}, {}};
  if (entry->phase == Phase::kDone) return {OrderAction::kReply, waiter, {}, entry->answer};
  entry->waiters.push_back(waiter);
  return {OrderAction::kWait, waiter, {}, {}};
}

template <RuntimeClock ClockT, typename Response>
const std::optional<OrderBatch>& OrderClaimTracker<ClockT, Response>::NextBatch() {
  if (pending_batch_.has_value() || (waiting_claims_.empty() && unbatched_releases_.empty()))
    return pending_batch_;
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
                                                   const ClaimTable& claims) -> std::vector<Step> {
  std::vector<Step> steps;
  const bool is_own_batch = pending_batch_.has_value() && batch.author == options_.author &&
                            batch.sequence == pending_batch_->sequence;
  if (!is_own_batch) return steps;
  pending_batch_.reset();
  for (const Digest& key : batch.releases) unfolded_releases_.erase(key);
  for (const OrderClaim& claim : batch.claims) ResolveClaim(claim.key, claims, &steps);
  return steps;
}

template <RuntimeClock ClockT, typename Response>
void OrderClaimTracker<ClockT, Response>::ResolveClaim(const Digest& key, const ClaimTable& claims,
                                                       std::vector<Step>* steps) {
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
    steps->push_back({OrderAction::kRun, entry.waiters.front(), {}, {}});
    entry.waiters.erase(entry.waiters.begin());
    return;
  }
  const bool mismatch = claim.has_value() && claim->body != entry.body;
  for (const std::uint64_t waiter : entry.waiters) {
    steps->push_back({mismatch ? OrderAction::kMismatch : OrderAction::kQueryAuthor,
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
                                                 const Response& answer) -> std::vector<Step> {
  std::vector<Step> steps;
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.phase != Phase::kRunning) return steps;
  Entry& entry = found->second;
  for (const std::uint64_t waiter : entry.waiters) {
    steps.push_back({OrderAction::kReply, waiter, {}, answer});
  }
  if (proven_not_run) {
    Release(key);
    entries_.erase(found);
    return steps;
  }
  entry.waiters.clear();
  entry.phase = Phase::kDone;
  entry.answer = answer;
  entry.finished_at = clock_.Now();
  finished_by_age_.emplace_back(entry.finished_at, key);
  EvictOldResponses();
  return steps;
}

template <RuntimeClock ClockT, typename Response>
std::optional<Response> OrderClaimTracker<ClockT, Response>::OutcomeOf(const Digest& key,
                                                                       bool* in_flight) const {
  const auto found = entries_.find(key);
  *in_flight = found != entries_.end() && found->second.phase != Phase::kDone;
  return found == entries_.end() ? std::nullopt : found->second.answer;
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
