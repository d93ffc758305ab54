/// Entry instances, a log and a backend server in one thread, for fuzzing of orders, with an
/// oracle that knows who executed what and what each caller was told.
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

/// What a backend server does with a request that is sent to it.
enum class BackendBehavior { kResponds, kRespondsPartially, kNeverArrives, kRefusesConnection };

/// Every operation takes numbers of any size and wraps them, so that each command is always valid.
class OrderWorld {
 public:
  static constexpr std::size_t kInstances = 3;
  static constexpr std::uint64_t kKeys = 3;

  OrderWorld();

  void Send(std::size_t instance, std::uint64_t key, std::uint64_t body);
  /// Appends the instance's batch, `times` times if the log is up; its answer is always lost.
  void Append(std::size_t instance, std::size_t times);
  /// A record that was appended earlier shows up again at the end of the log.
  void Redeliver(std::size_t record);
  void Fold(std::size_t instance, std::size_t entries);
  /// Folds what another instance has already folded, also while the log is down.
  void FoldFromPeer(std::size_t instance, std::size_t peer);
  /// Sends the oldest order that was told to run, with this fate.
  void RunOne(std::size_t instance, BackendBehavior behavior);
  void AbandonCaller(std::size_t instance, std::size_t caller);
  /// Ends the instance; of its orders under way, every other one reached the backend server.
  void Crash(std::size_t instance);
  void SetFrozen(std::size_t instance, bool frozen);
  void SetPartitioned(std::size_t instance, bool partitioned);
  void SetLogDown(bool down);
  void Advance(std::chrono::seconds step);

  /// Heals everything and runs until nothing is left to do.
  void Settle();

  /// The first broken promise, or an empty text.
  const std::string& broken() const { return broken_; }

  /// Callers of live instances that were told nothing.
  std::size_t waiting() const;

 private:
  struct KeptResponse {
    Execution execution = Execution::kNotRun;
  };
  using Tracker = OrderClaimTracker<ManualClock, KeptResponse>;
  using Step = OrderDecision<KeptResponse>;

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
  void HandleDecision(std::size_t index, const Step& step);
  void QueryAuthor(const Step& step, const Instance& asker);
  void ApplyNext(std::size_t index);
  bool MayRunOn(const Instance& at, const Digest& key, std::uint64_t abandoned) const;
  void Execute(const Instance& at, std::uint64_t caller);
  void NotifyCaller(std::uint64_t caller, Execution execution);
  void RecordViolation(const std::string& what);

  ManualClock clock_;
  std::vector<Instance> instances_;
  std::vector<LogEntry> log_;
  bool log_down_ = false;
  std::uint64_t incarnations_ = 0;
  std::uint64_t next_caller_ = 0;
  std::map<std::uint64_t, Caller> waiting_;
  std::map<Digest, std::vector<std::uint64_t>> executions_;  ///< Oracle: callers by key.
  std::map<Digest, std::string> executed_by_;                ///< Oracle: incarnation by key.
  std::map<std::uint64_t, Execution> notified_outcomes_;     ///< Oracle: by caller.
  std::string broken_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_POLICY_ORDER_WORLD_H_
