/// The planner of one process: looks at the world a few times a second and writes what it decides.
#ifndef WIGEONLANE_ENTRY_PLANNER_LOOP_H_
#define WIGEONLANE_ENTRY_PLANNER_LOOP_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/logging.h"
#include "core/pacing.h"
#include "core/text.h"
#include "entry/log_follower.h"
#include "fleet/snapshot.h"
#include "platform/instance_list.h"
#include "platform/log_service.h"
#include "policy/fleet_planner.h"

namespace wigeonlane {

/// Runs a `FleetPlanner` on a thread of its own. All records of one round go in one append, so
/// that control takes at most `1 / kRoundInterval` appends a second from the order claims.
template <LogService Log, InstanceList List, RuntimeClock ClockT>
class PlannerLoop {
 public:
  struct Options {
    std::string self;
    std::uint64_t snapshot_interval_records = 20'000;  ///< Records between snapshots.
  };

  struct Sources {
    std::function<std::vector<MemberProgress>()> members;
    /// Called after each successful fetch of the platform's list.
    std::function<void(const std::vector<ListedInstance>&)> on_instance_list;
  };

  PlannerLoop(Options options, Log* log, List* list, LogFollower<Log, ClockT>* follower,
              const ClockT& clock)
      : options_(std::move(options)),
        log_(*log),
        list_(*list),
        follower_(*follower),
        clock_(clock),
        planner_(options_.self) {}
  ~PlannerLoop() { Stop(); }
  PlannerLoop(const PlannerLoop&) = delete;
  PlannerLoop& operator=(const PlannerLoop&) = delete;

  void Start(Sources sources) {
    sources_ = std::move(sources);
    thread_ = std::thread([this] { Run(); });
  }

  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) thread_.join();
  }

 private:
  static constexpr std::chrono::milliseconds kRoundInterval{200};
  static constexpr Duration kListInterval = std::chrono::milliseconds(500);
  static constexpr Duration kRebootRequestInterval = std::chrono::seconds(2);
  /// A record that was not folded after this long is written again.
  static constexpr Duration kRewriteInterval = std::chrono::seconds(2);

  void Run();
  /// Returns the time that planning took; waiting for the platform does not count.
  Duration RunRound();
  void FetchList();
  void WritePlan(const FleetPlan& plan);
  void WriteSnapshotIfDue();
  std::string NextRecordId() { return Concat(options_.self, "/plan/", ++records_written_); }

  const Options options_;
  Log& log_;
  List& list_;
  LogFollower<Log, ClockT>& follower_;
  const ClockT& clock_;
  FleetPlanner planner_;
  Sources sources_;
  std::vector<ListedInstance> listed_instances_;
  Instant list_fetched_at_{};
  std::map<std::string, Instant> written_at_;  ///< By encoded record, when it was last written.
  std::map<std::string, Instant> reboot_requested_at_;  ///< By instance.
  std::uint64_t records_written_ = 0;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::thread thread_;
};

template <LogService Log, InstanceList List, RuntimeClock ClockT>
void PlannerLoop<Log, List, ClockT>::Run() {
  Duration delay = kRoundInterval;
  while (true) {
    {
      std::unique_lock lock(mutex_);
      if (wake_.wait_for(lock, delay, [this] { return stopping_; })) return;
    }
    delay = DelayAfterRound(RunRound(), kRoundInterval);
  }
}

template <LogService Log, InstanceList List, RuntimeClock ClockT>
Duration PlannerLoop<Log, List, ClockT>::RunRound() {
  FetchList();
  if (!follower_.has_state()) return Duration(0);
  const Instant planning_started_at = clock_.Now();
  const std::vector<MemberProgress> members = sources_.members();
  const FleetPlan plan = follower_.WithState([&](const FleetState& state) {
    return planner_.Plan(state, listed_instances_, members, clock_.Now());
  });
  const Duration planning_time = clock_.Now() - planning_started_at;
  WritePlan(plan);
  for (const std::string& name : plan.reboots) {
    Instant& requested_at = reboot_requested_at_[name];
    if (clock_.Now() - requested_at < kRebootRequestInterval) continue;
    requested_at = clock_.Now();
    const absl::Status status = list_.Reboot(name);
    LogDecision("reboot", {{"instance", name},
                           {"why", "drained and at its planner's epoch"},
                           {"asked", status.ok() ? "yes" : MessageOf(status)}});
  }
  WriteSnapshotIfDue();
  return planning_time;
}

template <LogService Log, InstanceList List, RuntimeClock ClockT>
void PlannerLoop<Log, List, ClockT>::FetchList() {
  if (clock_.Now() - list_fetched_at_ < kListInterval) return;
  list_fetched_at_ = clock_.Now();
  auto instances = list_.Fetch();
  if (!instances.ok()) return;
  listed_instances_ = *std::move(instances);
  if (sources_.on_instance_list) sources_.on_instance_list(listed_instances_);
}

template <LogService Log, InstanceList List, RuntimeClock ClockT>
void PlannerLoop<Log, List, ClockT>::WritePlan(const FleetPlan& plan) {
  const Instant now = clock_.Now();
  std::erase_if(written_at_,
                [&](const auto& item) { return item.second + kRewriteInterval < now; });
  std::vector<NewRecord> records;
  for (const PlannedRecord& planned : plan.records) {
    const std::string payload = EncodeRecord(planned.record);
    if (!written_at_.try_emplace(payload, now).second) continue;
    records.push_back({NextRecordId(), payload});
    LogDecision("plan", {{"record", records.back().record_id},
                         {"type", std::string(TypeOf(planned.record))},
                         {"subject", planned.subject},
                         {"why", planned.reason}});
  }
  if (records.empty()) return;
  const AppendOutcome outcome = log_.Append(records);
  if (!outcome.status.ok()) {
    LogWarning("plan-not-written", {{"why", MessageOf(outcome.status)}});
  }
}

template <LogService Log, InstanceList List, RuntimeClock ClockT>
void PlannerLoop<Log, List, ClockT>::WriteSnapshotIfDue() {
  const auto chunks = follower_.WithState([&](const FleetState& state) {
    const auto& leases = state.planners();
    const bool holds_first_lease =
        !leases.empty() && leases.begin()->second.holder == options_.self;
    const bool snapshot_due =
        state.next_offset() - state.snapshot_covers() >= options_.snapshot_interval_records;
    return holds_first_lease && snapshot_due ? MakeSnapshotChunks(state)
                                             : std::vector<SnapshotChunk>();
  });
  for (const SnapshotChunk& chunk : chunks) {
    const std::string id = Concat(options_.self, "/snapshot/", chunk.covers, "/", chunk.index);
    if (!log_.Append({{id, EncodeRecord(Record(chunk))}}).status.ok()) return;
  }
  if (!chunks.empty()) {
    LogInfo("snapshot-written", {{"covers", std::to_string(chunks.front().covers)},
                                 {"chunks", std::to_string(chunks.size())}});
    // The next decision must not be made before this snapshot is folded.
    follower_.WaitUntilApplied(chunks.front().covers, std::chrono::milliseconds(1'000));
  }
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_PLANNER_LOOP_H_
