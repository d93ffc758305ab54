/// Order claims of this process: appends them to the log in batches and notifies the orders that
/// wait for them.
#ifndef WIGEONLANE_ENTRY_ORDER_CLAIM_SERVICE_H_
#define WIGEONLANE_ENTRY_ORDER_CLAIM_SERVICE_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/digest.h"
#include "core/metrics.h"
#include "entry/caller_request.h"
#include "platform/log_service.h"
#include "policy/append_budget.h"
#include "policy/order_claim_tracker.h"

namespace wigeonlane {

/// Response kept for repeats of an order.
using CachedResponse = std::shared_ptr<const CallerResponse>;

/// Owner of the claim tracker. The follower's thread calls `OnFolded` with the fleet state locked,
/// so the state's lock must be taken before this object's lock. Callbacks run without either lock.
class OrderClaimService {
 public:
  using Decision = OrderDecision<CachedResponse>;
  using DecisionCallback = std::function<void(const Decision&)>;
  using AppendFunction = std::function<AppendOutcome(const std::vector<NewRecord>&)>;

  struct Options {
    std::string author;
    double appends_per_second = 0;  ///< For all entry instances together.
  };

  /// `append` is called on a thread of this object. `count_members` returns the number of live
  /// entry instances. `post_callback` runs a callback on a thread that it may block.
  OrderClaimService(Options options, const SteadyClock& clock, AppendFunction append,
                    std::function<std::size_t()> count_members,
                    std::function<void(std::function<void()>)> post_callback,
                    MetricsRegistry* metrics);
  ~OrderClaimService();
  OrderClaimService(const OrderClaimService&) = delete;
  OrderClaimService& operator=(const OrderClaimService&) = delete;

  /// Begins an order. Must be called with the fleet state locked that `claims` belongs to. If
  /// `kWait` is returned, the callback is called once with a later decision. Otherwise the returned
  /// decision is final and the callback is not called.
  Decision BeginOrder(const Digest& key, std::uint64_t content_digest, std::uint64_t call_id,
                      Instant deadline, const ClaimTable& claims, DecisionCallback callback);

  /// Handles a batch that was applied to the fleet state. Called with the state locked.
  void OnFolded(const OrderBatch& batch, const ClaimTable& claims);

  /// Ends an order whose decision was to run.
  void FinishOrder(const Digest& key, bool proven_not_run, const CachedResponse& response);

  /// Ends waiting orders whose deadline has passed. Their callbacks get `kOverloaded` if the order
  /// was never sent, and `kMayHaveRun` if another caller's attempt may still run.
  void ExpireWaitingOrders();

  /// Returns the response to the order with this key, if it is known. `in_flight` is set to whether
  /// a response may still follow.
  std::optional<CachedResponse> FindResponse(const Digest& key, bool* in_flight) const;

  /// Returns how long appends have been failing; zero if the last one succeeded.
  Duration append_failure_duration() const;

  /// Stops the appending thread.
  void Stop();

 private:
  struct WaitingOrder {
    Digest key;
    Instant deadline;
    DecisionCallback callback;
  };

  void Run();
  bool WaitForBudget(std::unique_lock<std::mutex>* lock);
  void AppendBatch(const OrderBatch& batch);
  using Callbacks = std::vector<std::function<void()>>;

  /// Removes the callbacks of `decisions` from `waiting_orders_`. Called under the same lock under
  /// which the decisions were made, so that no order both expires and runs.
  Callbacks RemoveCallbacks(const std::vector<Decision>& decisions);
  void Post(Callbacks callbacks);

  const Options options_;
  const SteadyClock& clock_;
  const AppendFunction append_;
  const std::function<std::size_t()> count_members_;
  const std::function<void(std::function<void()>)> post_callback_;
  std::atomic<std::uint64_t>& batches_;
  std::atomic<std::uint64_t>& claims_;
  std::atomic<std::uint64_t>& append_failures_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  OrderClaimTracker<SteadyClock, CachedResponse> claim_tracker_;
  AppendBudget<SteadyClock> append_budget_;
  std::map<std::uint64_t, WaitingOrder> waiting_orders_;
  std::uint64_t folded_sequence_ = 0;
  std::optional<Instant> append_failing_since_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_ORDER_CLAIM_SERVICE_H_
