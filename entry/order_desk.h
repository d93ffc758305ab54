/// Order claims of this process: group commit to the log and the callers that wait for them.
#ifndef WIGEONLANE_ENTRY_ORDER_DESK_H_
#define WIGEONLANE_ENTRY_ORDER_DESK_H_

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
using KeptAnswer = std::shared_ptr<const CallerAnswer>;

/// Owner of the order book. The folding thread calls it with the state locked, so the lock order
/// is state before desk. Callbacks run without either lock.
class OrderDesk {
 public:
  using Step = OrderDecision<KeptAnswer>;
  using StepCallback = std::function<void(const Step&)>;
  using AppendFunction = std::function<AppendOutcome(const std::vector<NewRecord>&)>;

  struct Options {
    std::string author;
    double appends_per_second = 0;  ///< Budget of all entry instances together.
  };

  /// `append` is called on the desk's own thread; `members` counts the live entry instances. `run`
  /// posts callbacks to where they may block.
  OrderDesk(Options options, const SteadyClock& clock, AppendFunction append,
            std::function<std::size_t()> members, std::function<void(std::function<void()>)> run,
            MetricsRegistry* metrics);
  ~OrderDesk();
  OrderDesk(const OrderDesk&) = delete;
  OrderDesk& operator=(const OrderDesk&) = delete;

  /// Takes an order in; must be called with the state locked, which `claims` belongs to. The
  /// callback is called once for `kWait` orders, unless `GiveUpLate` ends the order first. Any
  /// other step is returned and the callback is not called.
  Step Begin(const Digest& key, std::uint64_t body, std::uint64_t id, Instant deadline,
             const ClaimTable& claims, StepCallback callback);

  /// Called for each folded batch with the state locked.
  void OnFolded(const OrderBatch& batch, const ClaimTable& claims);

  /// Ends an order that was told to run.
  void Finish(const Digest& key, bool proven_not_run, const KeptAnswer& answer);

  /// Ends waiting orders whose deadline passed. Their callbacks get `kOverloaded` when the order
  /// was never sent and `kMayHaveRun` when another caller's attempt may still run.
  void GiveUpLate();

  /// The outcome of a key for another entry instance: known answer, or none. `in_flight` tells
  /// whether one may follow.
  std::optional<KeptAnswer> KnownOutcome(const Digest& key, bool* in_flight) const;

  /// How long appends have been failing; zero while the log takes them.
  Duration log_failing_for() const;

  /// Ends the appending thread.
  void Stop();

 private:
  struct Waiting {
    Digest key;
    Instant deadline;
    StepCallback callback;
  };

  void Run();
  bool WaitForBudget(std::unique_lock<std::mutex>* lock);
  void AppendBatch(const OrderBatch& batch);
  using Callbacks = std::vector<std::function<void()>>;

  /// Takes the callbacks of `steps` out of `waiting_`, in the lock that produced the steps, so
  /// that no order is both given up and told to run.
  Callbacks TakeCallbacks(const std::vector<Step>& steps);
  void Post(Callbacks callbacks);

  const Options options_;
  const SteadyClock& clock_;
  const AppendFunction append_;
  const std::function<std::size_t()> members_;
  const std::function<void(std::function<void()>)> run_;
  std::atomic<std::uint64_t>& batches_;
  std::atomic<std::uint64_t>& claims_;
  std::atomic<std::uint64_t>& append_failures_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  OrderClaimTracker<SteadyClock, KeptAnswer> book_;
  AppendBudget<SteadyClock> budget_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t folded_sequence_ = 0;
  std::optional<Instant> failing_since_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_ORDER_DESK_H_
