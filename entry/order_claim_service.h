/// Order claims of this process: group commit to the log and the callers that wait for them.
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

/// Answer kept for repeats of an order.
using CachedResponse = std::shared_ptr<const CallerResponse>;

/// Owner of the order book. The folding thread calls it with the state locked, so the lock order
/// is state before desk. Callbacks run without either lock.
class OrderClaimService {
 public:
  using Decision = OrderDecision<CachedResponse>;
  using DecisionCallback = std::function<void(const Decision&)>;
  using AppendFunction = std::function<AppendOutcome(const std::vector<NewRecord>&)>;

  struct Options {
    std::string author;
    double appends_per_second = 0;  ///< Budget of all entry instances together.
  };

  /// `append` is called on the desk's own thread; `count_members` counts the live entry instances.
  /// `post_callback` posts callbacks to where they may block.
  OrderClaimService(Options options, const SteadyClock& clock, AppendFunction append,
                    std::function<std::size_t()> count_members,
                    std::function<void(std::function<void()>)> post_callback,
                    MetricsRegistry* metrics);
  ~OrderClaimService();
  OrderClaimService(const OrderClaimService&) = delete;
  OrderClaimService& operator=(const OrderClaimService&) = delete;

  /// Takes an order in; must be called with the state locked, which `claims` belongs to. The
  /// callback is called once for `kWait` orders, unless `ExpireWaitingOrders` ends the order first.
  /// Any other step is returned and the callback is not called.
  Decision BeginOrder(const Digest& key, std::uint64_t content_digest, std::uint64_t call_id,
                      Instant deadline, const ClaimTable& claims, DecisionCallback callback);

  /// Called for each folded batch with the state locked.
  void OnFolded(const OrderBatch& batch, const ClaimTable& claims);

  /// Ends an order that was told to run.
  void FinishOrder(const Digest& key, bool proven_not_run, const CachedResponse& response);

  /// Ends waiting orders whose deadline passed. Their callbacks get `kOverloaded` when the order
  /// was never sent and `kMayHaveRun` when another caller's attempt may still run.
  void ExpireWaitingOrders();

  /// The outcome of a key for another entry instance: known answer, or none. `in_flight` tells
  /// whether one may follow.
  std::optional<CachedResponse> FindResponse(const Digest& key, bool* in_flight) const;

  /// How long appends have been failing; zero while the log takes them.
  Duration append_failure_duration() const;

  /// Ends the appending thread.
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

  /// Takes the callbacks of `decisions` out of `waiting_orders_`, in the lock that produced the
  /// steps, so that no order is both given up and told to run.
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
