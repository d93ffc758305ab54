#include "entry/order_claim_service.h"

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kMinRetryDelay{5};
constexpr std::chrono::milliseconds kMaxRetryDelay{500};
/// How long a batch that was appended may take to come back before it is appended again.
constexpr std::chrono::milliseconds kReappendDelay{1'000};

}  // namespace

OrderClaimService::OrderClaimService(Options options, const SteadyClock& clock,
                                     AppendFunction append,
                                     std::function<std::size_t()> count_members,
                                     std::function<void(std::function<void()>)> post_callback,
                                     MetricsRegistry* metrics)
    : options_(std::move(options)),
      clock_(clock),
      append_(std::move(append)),
      count_members_(std::move(count_members)),
      post_callback_(std::move(post_callback)),
      batches_(metrics->Counter("wigeonlane_order_batches_total")),
      claims_(metrics->Counter("wigeonlane_order_claims_total")),
      append_failures_(metrics->Counter("wigeonlane_order_append_failures_total")),
      claim_tracker_({.author = options_.author}, clock),
      append_budget_(options_.appends_per_second, clock),
      thread_([this] { Run(); }) {}

OrderClaimService::~OrderClaimService() { Stop(); }

void OrderClaimService::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
}

OrderClaimService::Decision OrderClaimService::Begin(const Digest& key,
                                                     std::uint64_t content_digest,
                                                     std::uint64_t call_id, Instant deadline,
                                                     const ClaimTable& claims,
                                                     DecisionCallback callback) {
  const std::lock_guard lock(mutex_);
  Decision decision = claim_tracker_.Begin(key, content_digest, call_id, claims);
  if (decision.action == OrderAction::kWait) {
    waiting_orders_[call_id] = {key, deadline, std::move(callback)};
    wake_.notify_all();
  }
  return decision;
}

void OrderClaimService::OnFolded(const OrderBatch& batch, const ClaimTable& claims) {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    if (batch.author == options_.author) folded_sequence_ = batch.sequence;
    callbacks = RemoveCallbacks(claim_tracker_.OnFolded(batch, claims));
    wake_.notify_all();
  }
  Post(std::move(callbacks));
}

void OrderClaimService::Finish(const Digest& key, bool proven_not_run,
                               const CachedResponse& response) {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    callbacks = RemoveCallbacks(claim_tracker_.Finish(key, proven_not_run, response));
    if (proven_not_run) wake_.notify_all();
  }
  Post(std::move(callbacks));
}

void OrderClaimService::ExpireWaitingOrders() {
  Callbacks callbacks;
  {
    const std::lock_guard lock(mutex_);
    std::vector<Decision> decisions;
    const Instant now = clock_.Now();
    for (const auto& [call_id, waiting] : waiting_orders_) {
      if (waiting.deadline > now) continue;
      const bool never_sent = claim_tracker_.Abandon(waiting.key, call_id);
      decisions.push_back(
          {never_sent ? OrderAction::kOverloaded : OrderAction::kMayHaveRun, call_id, {}, {}});
    }
    claim_tracker_.EvictOldResponses();
    callbacks = RemoveCallbacks(decisions);
  }
  Post(std::move(callbacks));
}

std::optional<CachedResponse> OrderClaimService::FindResponse(const Digest& key,
                                                              bool* in_flight) const {
  const std::lock_guard lock(mutex_);
  return claim_tracker_.OutcomeOf(key, in_flight);
}

Duration OrderClaimService::append_failure_duration() const {
  const std::lock_guard lock(mutex_);
  return append_failing_since_.has_value() ? clock_.Now() - *append_failing_since_ : Duration(0);
}

OrderClaimService::Callbacks OrderClaimService::RemoveCallbacks(
    const std::vector<Decision>& decisions) {
  Callbacks callbacks;
  for (const Decision& decision : decisions) {
    const auto entry = waiting_orders_.find(decision.waiter);
    if (entry == waiting_orders_.end()) continue;
    callbacks.emplace_back(
        [callback = std::move(entry->second.callback), decision] { callback(decision); });
    waiting_orders_.erase(entry);
  }
  return callbacks;
}

void OrderClaimService::Post(Callbacks callbacks) {
  for (auto& callback : callbacks) post_callback_(std::move(callback));
}

void OrderClaimService::Run() {
  while (true) {
    OrderBatch batch;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || claim_tracker_.has_batch_to_append(); });
      if (stopping_ || !WaitForBudget(&lock)) return;
      const auto& next = claim_tracker_.NextBatch();
      if (!next.has_value()) continue;  // Everything that waited was given up meanwhile.
      batch = *next;
    }
    AppendBatch(batch);
  }
}

bool OrderClaimService::WaitForBudget(std::unique_lock<std::mutex>* lock) {
  // Claims that come meanwhile join the batch, so a smaller budget means larger batches.
  while (claim_tracker_.has_batch_to_append()) {
    const Duration wait = append_budget_.Take(count_members_());
    if (wait == Duration(0)) return true;
    if (wake_.wait_for(*lock, wait, [this] { return stopping_; })) return false;
  }
  return true;
}

void OrderClaimService::AppendBatch(const OrderBatch& batch) {
  ++batches_;
  claims_ += batch.claims.size();
  const std::vector<NewRecord> records = {
      {Concat(batch.author, "/orders/", batch.sequence), EncodeRecord(Record(batch))}};
  std::chrono::milliseconds pause = kMinRetryDelay;
  while (true) {
    const AppendOutcome outcome = append_(records);
    std::unique_lock lock(mutex_);
    const auto folded = [&] { return stopping_ || folded_sequence_ >= batch.sequence; };
    if (outcome.status.ok()) {
      append_failing_since_.reset();
      if (wake_.wait_for(lock, kReappendDelay, folded)) return;
      continue;
    }
    ++append_failures_;
    if (!append_failing_since_.has_value()) append_failing_since_ = clock_.Now();
    if (wake_.wait_for(lock, pause, folded)) return;
    pause = std::min(pause * 2, kMaxRetryDelay);
  }
}

}  // namespace wigeonlane
