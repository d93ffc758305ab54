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
template <typename Answer>
struct OrderDecision {
  OrderAction action = OrderAction::kWait;
  std::uint64_t waiter = 0;
  std::string author;
  std::optional<Answer> answer;
};

/// The claims that one incarnation of an entry instance waits for, holds and has finished. Pure:
/// it reads the injected clock only to forget answers, and is not safe for several threads.
///
/// A claim goes through the log in batches, one at a time. It is settled by folding the batch
/// back, never by the append's answer. Only the author of the first claim in log order sends.
template <RuntimeClock ClockT, typename Answer>
class OrderClaimTracker {
 public:
  using Step = OrderDecision<Answer>;

  struct Options {
    std::string author;  ///< Unique to this incarnation.
    Duration keep_answers = std::chrono::minutes(10);
    std::size_t most_answers = 100'000;        ///< Oldest answers are forgotten beyond this.
    std::size_t most_waiting_claims = 20'000;  ///< Further orders are refused.
    std::size_t most_claims_in_batch = 4'000;
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
  std::vector<Step> Finish(const Digest& key, bool proven_not_run, const Answer& answer);

  /// The kept answer of a finished order. Sets `in_flight` when the order may still finish here.
  std::optional<Answer> OutcomeOf(const Digest& key, bool* in_flight) const;

  /// Forgets answers that were kept long enough.
  void EvictOldResponses();

  /// Whether `NextBatch` has something to append.
  bool has_batch_to_append() const {
    return under_way_.has_value() || !waiting_.empty() || !unsent_releases_.empty();
  }

  std::size_t waiting_claims() const { return waiting_.size(); }
  std::size_t entries() const { return entries_.size(); }

 private:
  enum class Phase { kClaiming, kRunning, kDone };

  struct Entry {
    std::uint64_t body = 0;
    Phase phase = Phase::kClaiming;
    bool batched = false;
    std::vector<std::uint64_t> waiters;
    std::optional<Answer> answer;
    Instant done_at{};
  };

  Step BeginAgain(Entry* entry, std::uint64_t body, std::uint64_t waiter);
  void Settle(const Digest& key, const ClaimTable& claims, std::vector<Step>* steps);
  void Release(const Digest& key);

  const Options options_;
  const ClockT& clock_;
  absl::flat_hash_map<Digest, Entry> entries_;
  std::vector<OrderClaim> waiting_;
  std::set<Digest> releasing_;  ///< Own claims whose release was not yet folded.
  std::vector<Digest> unsent_releases_;
  std::optional<OrderBatch> under_way_;
  std::uint64_t sequence_ = 0;
  std::vector<std::pair<Instant, Digest>> done_order_;
  std::size_t forgotten_ = 0;  ///< Entries at the front of `done_order_` already dealt with.
};

template <RuntimeClock ClockT, typename Answer>
auto OrderClaimTracker<ClockT, Answer>::Begin(const Digest& key, std::uint64_t body,
                                              std::uint64_t waiter, const ClaimTable& claims)
    -> Step {
  if (const auto found = entries_.find(key); found != entries_.end()) {
    return BeginAgain(&found->second, body, waiter);
  }
  const std::optional<ClaimView> claim = claims.Find(key);
  const bool free = !claim.has_value() || claim->released || releasing_.contains(key);
  if (!free && claim->body != body) return {OrderAction::kMismatch, waiter, {}, {}};
  if (!free && claim->author != options_.author) {
    return {OrderAction::kQueryAuthor, waiter, claim->author, {}};
  }
  if (!free) return {OrderAction::kMayHaveRun, waiter, {}, {}};
  if (waiting_.size() >= options_.most_waiting_claims) {
    return {OrderAction::kOverloaded, waiter, {}, {}};
  }
  Entry& entry = entries_[key];
  entry.body = body;
  entry.waiters = {waiter};
  waiting_.push_back({key, body});
  return {OrderAction::kWait, waiter, {}, {}};
}

template <RuntimeClock ClockT, typename Answer>
auto OrderClaimTracker<ClockT, Answer>::BeginAgain(Entry* entry, std::uint64_t body,
                                                   std::uint64_t waiter) -> Step {
  if (entry->body != body) return {OrderAction::kMismatch, waiter, {}, {}};
  if (entry->phase == Phase::kDone) return {OrderAction::kReply, waiter, {}, entry->answer};
  entry->waiters.push_back(waiter);
  return {OrderAction::kWait, waiter, {}, {}};
}

template <RuntimeClock ClockT, typename Answer>
const std::optional<OrderBatch>& OrderClaimTracker<ClockT, Answer>::NextBatch() {
  if (under_way_.has_value() || (waiting_.empty() && unsent_releases_.empty())) return under_way_;
  OrderBatch batch{options_.author, ++sequence_, {}, std::move(unsent_releases_)};
  unsent_releases_.clear();
  const std::size_t count = std::min(waiting_.size(), options_.most_claims_in_batch);
  batch.claims.assign(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(count));
  waiting_.erase(waiting_.begin(), waiting_.begin() + static_cast<std::ptrdiff_t>(count));
  for (const OrderClaim& claim : batch.claims) entries_.at(claim.key).batched = true;
  under_way_ = std::move(batch);
  return under_way_;
}

template <RuntimeClock ClockT, typename Answer>
auto OrderClaimTracker<ClockT, Answer>::OnFolded(const OrderBatch& batch, const ClaimTable& claims)
    -> std::vector<Step> {
  std::vector<Step> steps;
  const bool mine = under_way_.has_value() && batch.author == options_.author &&
                    batch.sequence == under_way_->sequence;
  if (!mine) return steps;
  under_way_.reset();
  for (const Digest& key : batch.releases) releasing_.erase(key);
  for (const OrderClaim& claim : batch.claims) Settle(claim.key, claims, &steps);
  return steps;
}

template <RuntimeClock ClockT, typename Answer>
void OrderClaimTracker<ClockT, Answer>::Settle(const Digest& key, const ClaimTable& claims,
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

template <RuntimeClock ClockT, typename Answer>
bool OrderClaimTracker<ClockT, Answer>::Abandon(const Digest& key, std::uint64_t waiter) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return false;
  Entry& entry = found->second;
  std::erase(entry.waiters, waiter);
  if (entry.phase != Phase::kClaiming) return false;
  if (!entry.waiters.empty()) return false;
  if (!entry.batched) {
    std::erase_if(waiting_, [&](const OrderClaim& claim) { return claim.key == key; });
    entries_.erase(found);
  }
  return true;
}

template <RuntimeClock ClockT, typename Answer>
auto OrderClaimTracker<ClockT, Answer>::Finish(const Digest& key, bool proven_not_run,
                                               const Answer& answer) -> std::vector<Step> {
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
  entry.done_at = clock_.Now();
  done_order_.emplace_back(entry.done_at, key);
  EvictOldResponses();
  return steps;
}

template <RuntimeClock ClockT, typename Answer>
std::optional<Answer> OrderClaimTracker<ClockT, Answer>::OutcomeOf(const Digest& key,
                                                                   bool* in_flight) const {
  const auto found = entries_.find(key);
  *in_flight = found != entries_.end() && found->second.phase != Phase::kDone;
  return found == entries_.end() ? std::nullopt : found->second.answer;
}

template <RuntimeClock ClockT, typename Answer>
void OrderClaimTracker<ClockT, Answer>::Release(const Digest& key) {
  releasing_.insert(key);
  unsent_releases_.push_back(key);
}

template <RuntimeClock ClockT, typename Answer>
void OrderClaimTracker<ClockT, Answer>::EvictOldResponses() {
  const Instant now = clock_.Now();
  while (forgotten_ < done_order_.size()) {
    const auto& [done_at, key] = done_order_[forgotten_];
    const bool crowded = done_order_.size() - forgotten_ > options_.most_answers;
    if (!crowded && done_at + options_.keep_answers > now) break;
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.phase == Phase::kDone &&
        found->second.done_at == done_at) {
      entries_.erase(found);
    }
    ++forgotten_;
  }
  if (forgotten_ < done_order_.size() / 2) return;
  done_order_.erase(done_order_.begin(),
                    done_order_.begin() + static_cast<std::ptrdiff_t>(forgotten_));
  forgotten_ = 0;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ORDER_CLAIM_TRACKER_H_
