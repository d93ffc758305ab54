/// Single-threaded simulation of entry instances, a log and a backend server for fuzzing of orders.
/// Its oracle records which instance executed each order and which verdict each caller got.
#ifndef WIGEONLANE_TESTS_POLICY_ORDER_WORLD_H_
#define WIGEONLANE_TESTS_POLICY_ORDER_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/verdict.h"
#include "fleet/state.h"
#include "policy/order_claim_tracker.h"

namespace wigeonlane {

/// Behavior of the backend server for one request.
enum class BackendBehavior { kResponds, kRespondsPartially, kNeverArrives, kRefusesConnection };

/// Every operation accepts numbers of any size and wraps them, so that every command is valid.
class OrderWorld {
 public:
  static constexpr std::size_t kInstances = 3;
  static constexpr std::uint64_t kKeys = 3;

  OrderWorld();

  void Send(std::size_t instance, std::uint64_t key, std::uint64_t body);
  /// Appends the instance's batch once, or twice if `times` is odd. The response to the append is
  /// always lost. Does nothing while the log is down.
  void Append(std::size_t instance, std::size_t times);
  /// Appends a copy of an earlier record to the log.
  void Redeliver(std::size_t record);
  void Fold(std::size_t instance, std::size_t entries);
  /// Folds the entries that another instance has folded, also while the log is down.
  void FoldFromPeer(std::size_t instance, std::size_t peer);
  /// Sends the oldest order that got a `kRun` decision; the backend server shows this behavior.
  void RunOne(std::size_t instance, BackendBehavior behavior);
  void AbandonCaller(std::size_t instance, std::size_t caller);
  /// Crashes and restarts the instance. Every second one of its orders that were being sent reached
  /// the backend server.
  void Crash(std::size_t instance);
  void SetFrozen(std::size_t instance, bool frozen);
  void SetPartitioned(std::size_t instance, bool partitioned);
  void SetLogDown(bool down);
  void Advance(std::chrono::seconds step);

  /// Ends all faults and runs until all orders have finished.
  void Settle();

  /// Description of the first violated invariant, or an empty string.
  const std::string& broken() const { return broken_; }

  /// Number of callers of live instances without a verdict.
  std::size_t waiting() const;

 private:
  struct KeptResponse {
    Execution execution = Execution::kNotRun;
  };
  using Tracker = OrderClaimTracker<ManualClock, KeptResponse>;
  using Decision = OrderDecision<KeptResponse>;

  struct Caller {
    Digest key;
    std::size_t instance = 0;
  };

  struct Instance {
    std::string incarnation;
    FleetState state;
    std::unique_ptr<Tracker> tracker;
    std::deque<std::uint64_t> ready_to_send;
    bool frozen = false;
    bool partitioned = false;
  };

  Instance& At(std::size_t instance) { return instances_[instance % kInstances]; }
  void Start(Instance* instance);
  void HandleDecision(std::size_t index, const Decision& decision);
  void QueryAuthor(const Decision& decision, const Instance& asker);
  void ApplyNext(std::size_t index);
  bool MayRunOn(const Instance& target, const Digest& key, std::uint64_t abandoned) const;
  void Execute(const Instance& target, std::uint64_t caller);
  void NotifyCaller(std::uint64_t caller, Execution execution);
  void RecordViolation(const std::string& violation);

  ManualClock clock_;
  std::vector<Instance> instances_;
  std::vector<LogEntry> log_;
  bool log_down_ = false;
  std::uint64_t incarnations_ = 0;
  std::uint64_t next_caller_ = 0;
  std::map<std::uint64_t, Caller> waiting_;
  /// Oracle: callers whose order was executed, by key.
  std::map<Digest, std::vector<std::uint64_t>> executions_;
  /// Oracle: incarnation that executed the order, by key.
  std::map<Digest, std::string> executed_by_;
  /// Oracle: verdict by caller.
  std::map<std::uint64_t, Execution> notified_outcomes_;
  std::string broken_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_POLICY_ORDER_WORLD_H_
