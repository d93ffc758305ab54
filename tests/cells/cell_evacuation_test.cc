/// Tests of the evacuation of long-running tasks from machines that are to be taken down.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <vector>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellEvacuationTest : protected ScriptedCell {
 protected:
  /// Longest time that a long-running task may be unavailable (the platform's rule on lost tasks).
  static constexpr milliseconds kMaxUnavailable{9'000};
  static constexpr milliseconds kRound{100};
  static constexpr milliseconds kReactionTime{300};
  static constexpr const char* kLongRunningJob = "00000000000000b1";
  static constexpr const char* kShortJob = "00000000000000c1";

  /// The runner to be evacuated. Tasks are placed there while it is the only one.
  static std::string First() { return RunnerName(0); }

  static StepSpec LongRunningStep(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.long_running = true;
    step.max_unavailable = 1;
    return step;
  }

  /// Starts all long-running tasks on the first runner, then lists the others.
  void StartOnFirst(const StepSpec& step, std::size_t runners, const Resources& capacity) {
    Begin(1, capacity);
    AdvanceTime(kReactionTime);
    Submit(step, {}, kLongRunningJob);
    AdvanceTime(kReactionTime);
    REQUIRE(starts_.size() == step.count);
    ListRunners(runners, capacity);
    AdvanceTime(kReactionTime);
  }

  /// Submits short tasks, which start wherever they fit.
  void SubmitShort(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = milliseconds(600);
    QueuePolicy policy;
    policy.target_latency = milliseconds(60'000);
    Submit(step, policy, kShortJob);
    AdvanceTime(kReactionTime);
  }

  CallVerdict RequestRunner(const std::string& runner) {
    return cell_->ReserveRunner(runner, Time()).verdict;
  }

  /// Requests the first runner repeatedly, as the coordinator does, and executes the cell's stops.
  CallVerdict RequestFirstFor(milliseconds duration) {
    CallVerdict verdict = CallVerdict::kNotReady;
    for (milliseconds passed{0}; passed < duration; passed += kRound) {
      verdict = RequestRunner(First());
      if (verdict == CallVerdict::kReady) return verdict;
      AdvanceTime(kRound);
      ExecuteOneStop(First());
    }
    return verdict;
  }

  bool ExecuteOneStop(const std::string& runner) {
    auto& runs = running_[runner];
    for (const auto& [task, run] : cell_->FindRunnerById(runner)->runs) {
      if (run.phase != RunPhase::kStopping) continue;
      const TaskId stopped = task;
      const auto row = std::find_if(runs.begin(), runs.end(),
                                    [&](const ReportedRun& each) { return each.task == stopped; });
      if (row == runs.end()) continue;
      results_[runner].push_back(
          {++last_end_[runner], row->task, row->run, RunResult::kStopped, ""});
      runs.erase(row);
      return true;
    }
    return false;
  }

  std::int64_t RunsOn(const std::string& runner, const char* job) const {
    const auto runs = running_.find(runner);
    if (runs == running_.end()) return 0;
    return std::count_if(runs->second.begin(), runs->second.end(),
                         [&](const ReportedRun& run) { return run.task.job.text() == job; });
  }

  void EndShort(const std::string& runner) {
    auto& runs = running_[runner];
    const auto row = std::find_if(runs.begin(), runs.end(), [](const ReportedRun& run) {
      return run.task.job.text() == kShortJob;
    });
    if (row == runs.end()) return;
    results_[runner].push_back({++last_end_[runner], row->task, row->run, RunResult::kDone, ""});
    runs.erase(row);
  }
};

// Guards against a task that is stopped although it fits on no other runner, while its own runner
// stays reserved as long as the other task there may not be stopped.
TEST_CASE_METHOD(CellEvacuationTest,
                 "Evacuate_NoOtherRunnerHasCapacity_TaskIsNotUnavailableForLong") {
  Begin(2, {2'000, 64'000, 0});
  AdvanceTime(milliseconds(200));
  Submit(LongRunningStep(4, {1'000, 1'000, 0}));
  AdvanceTime(milliseconds(6'000));
  REQUIRE(starts_.size() == 4);
  milliseconds unavailable_for{0};
  bool stopped = false;
  for (milliseconds passed{0}; passed < 2 * kMaxUnavailable && starts_.size() == 4;
       passed += kRound) {
    RequestRunner(First());
    AdvanceTime(kRound);
    stopped = stopped || ExecuteOneStop(First());
    if (stopped) unavailable_for += kRound;
  }
  CHECK(unavailable_for < kMaxUnavailable);
}

// Guards against a runner that is kept idle for an evacuation that cannot start.
TEST_CASE_METHOD(CellEvacuationTest,
                 "Reserve_LongRunningTasksFitNowhereElse_RunnerKeepsAcceptingWork") {
  Begin(2, {8'000, 64'000, 0});
  AdvanceTime(kReactionTime);
  Submit(LongRunningStep(4, {1'000, 30'000, 0}), {},
         kLongRunningJob);  // Memory is the scarcest resource.
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(First(), kLongRunningJob) == 2);
  CHECK(RequestFirstFor(milliseconds(1'000)) == CallVerdict::kNotEvacuable);
  SubmitShort(12, {1'000, 100, 0});
  CHECK(RunsOn(First(), kShortJob) == 6);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

// Guards against a task that is stopped while short tasks still use the capacity reserved for it.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_ShortTasksUseTheCapacity_TaskIsStoppedOnceTheyEnd") {
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  REQUIRE(RunsOn(RunnerName(1), kShortJob) == 4);
  CHECK(RequestFirstFor(milliseconds(800)) == CallVerdict::kNotReady);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
  EndShort(RunnerName(1));
  CHECK(RequestFirstFor(milliseconds(800)) == CallVerdict::kNotReady);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
  CHECK(RunsOn(RunnerName(1), kShortJob) == 3);  // The freed capacity stays reserved.
  EndShort(RunnerName(1));
  CHECK(RequestFirstFor(milliseconds(1'500)) == CallVerdict::kReady);
  CHECK(RunsOn(First(), kLongRunningJob) == 1);
  CHECK(RunsOn(RunnerName(1), kLongRunningJob) == 1);
}

TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_CapacityOnlyAcrossSeveralRunners_RunnerIsReleased") {
  StartOnFirst(LongRunningStep(3, {1'000, 20'000, 0}), 3, {8'000, 64'000, 0});
  StepSpec wide = LongRunningStep(2, {1'000, 40'000, 0});  // Leaves capacity for one task on each.
  wide.max_per_runner = 1;
  Submit(wide, {}, kShortJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(RunnerName(1), kShortJob) + RunsOn(RunnerName(2), kShortJob) == 2);
  CHECK(RequestFirstFor(milliseconds(3'000)) == CallVerdict::kReady);
  CHECK(RunsOn(RunnerName(1), kLongRunningJob) == 1);
  CHECK(RunsOn(RunnerName(2), kLongRunningJob) == 1);
}

// Guards against stopping one task when the other fits nowhere else, so that the machine cannot be
// taken down anyway.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_CapacityForOneOfTwoTasks_NoneIsStopped") {
  StartOnFirst(LongRunningStep(3, {1'000, 20'000, 0}), 2, {8'000, 64'000, 0});
  Submit(LongRunningStep(1, {1'000, 40'000, 0}), {}, kShortJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(RunnerName(1), kShortJob) == 1);
  CHECK(RequestFirstFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLongRunningJob) == 3);
}

// Guards against an evacuation that exceeds the step's limit of tasks per runner.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_OtherRunnersAreAtTheStepsLimit_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 0});
  AdvanceTime(kReactionTime);
  StepSpec step = LongRunningStep(4, {1'000, 1'000, 0});
  step.max_per_runner = 2;
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(First(), kLongRunningJob) == 2);
  CHECK(RequestFirstFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

// Guards against two reservations for the single task that the step's limit still allows.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_StepsLimitAllowsOneOfTwoTasks_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 0});
  AdvanceTime(kReactionTime);
  StepSpec step = LongRunningStep(5, {1'000, 1'000, 0});
  step.max_per_runner = 3;
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  const std::string full = RunnerName(RunsOn(First(), kLongRunningJob) == 3 ? 0 : 1);
  REQUIRE(RunsOn(full, kLongRunningJob) == 3);
  for (milliseconds passed{0}; passed < milliseconds(2'000); passed += kRound) {
    CHECK(RequestRunner(full) == CallVerdict::kNotEvacuable);
    AdvanceTime(kRound);
    ExecuteOneStop(full);
  }
  CHECK(RunsOn(full, kLongRunningJob) == 3);
}

TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_NoAcceleratorIsFreeElsewhere_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 2});
  AdvanceTime(kReactionTime);
  Submit(LongRunningStep(4, {1'000, 1'000, 1}), {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(First(), kLongRunningJob) == 2);
  CHECK(RequestFirstFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

TEST_CASE_METHOD(CellEvacuationTest,
                 "CapacityReservation_ItsRunnerStartsToDrain_MovesToAnotherRunner") {
  const Resources capacity{4'000, 64'000, 0};
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 3, capacity);
  SubmitShort(100, {1'000, 1'000, 0});
  RequestRunner(First());
  const bool on_second = cell_->FindRunnerById(RunnerName(1))->reserved_capacity.cpu_milli > 0;
  const std::string holder = RunnerName(on_second ? 1 : 2);
  const std::string other = RunnerName(on_second ? 2 : 1);
  CHECK(cell_->FindRunnerById(holder)->reserved_capacity == Resources{2'000, 1'000, 0});
  draining_.insert(holder);
  ListRunners(3, capacity);
  AdvanceTime(kRound);
  CHECK(cell_->FindRunnerById(holder)->reserved_capacity == Resources());
  CHECK(RequestRunner(First()) == CallVerdict::kNotReady);
  CHECK(cell_->FindRunnerById(other)->reserved_capacity == Resources{2'000, 1'000, 0});
}

TEST_CASE_METHOD(CellEvacuationTest, "CapacityReservation_IsNotRenewed_ShortTasksUseItsCapacity") {
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  RequestRunner(First());
  EndShort(RunnerName(1));
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(RunnerName(1), kShortJob) == 3);
  AdvanceTime(milliseconds(2'000));
  CHECK(RunsOn(RunnerName(1), kShortJob) == 4);
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

// Guards against two machines of a wave that reserve capacity on each other.
TEST_CASE_METHOD(CellEvacuationTest,
                 "Reserve_CapacityIsReservedOnRunnerForAnother_IsNotEvacuable") {
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  REQUIRE(RequestRunner(First()) == CallVerdict::kNotReady);
  CHECK(RequestRunner(RunnerName(1)) == CallVerdict::kNotEvacuable);
  CHECK(RequestRunner(First()) == CallVerdict::kNotReady);
}

// Guards against a machine that is not taken down although the reservation on it fits elsewhere.
TEST_CASE_METHOD(CellEvacuationTest,
                 "Reserve_CapacityReservationFitsElsewhere_MovesAndRunnerIsReserved") {
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 3, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  RequestRunner(First());
  const bool on_second = cell_->FindRunnerById(RunnerName(1))->reserved_capacity.cpu_milli > 0;
  const std::string holder = RunnerName(on_second ? 1 : 2);
  const std::string other = RunnerName(on_second ? 2 : 1);
  CHECK(RequestRunner(holder) == CallVerdict::kNotReady);  // Its short tasks have to end first.
  CHECK_FALSE(cell_->FindRunnerById(holder)->IsOpen(now_));
  CHECK(cell_->FindRunnerById(holder)->reserved_capacity == Resources());
  CHECK(cell_->FindRunnerById(other)->reserved_capacity == Resources{2'000, 1'000, 0});
  CHECK(RequestRunner(First()) == CallVerdict::kNotReady);
}

// Guards against a task that stays unavailable because capacity is reserved for a running one.
TEST_CASE_METHOD(CellEvacuationTest, "CapacityReservation_UnavailableTaskNeedsIt_StartsThere") {
  StartOnFirst(LongRunningStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  RequestRunner(First());
  EndShort(RunnerName(1));
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(RunnerName(1), kShortJob) == 3);
  constexpr const char* kUnavailableJob = "00000000000000d1";
  Submit(LongRunningStep(1, {1'000, 1'000, 0}), {}, kUnavailableJob);
  AdvanceTime(kReactionTime);
  CHECK(RunsOn(RunnerName(1), kUnavailableJob) == 1);
}

// Guards against stopping tasks of a job that is blocked because a runner has not responded since
// the takeover: they could not start elsewhere.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_JobIsBlockedAfterATakeover_NoneIsStopped") {
  StartOnFirst(LongRunningStep(2, {1'000, 1'000, 0}), 3, {4'000, 64'000, 0});
  unresponsive_.insert(RunnerName(2));
  Begin(3, {4'000, 64'000, 0});
  AdvanceTime(milliseconds(2'500));
  RequestFirstFor(milliseconds(1'000));
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

// Guards against a deadlock: an unavailable task fits only on the reserved runner, whose own task
// may not be stopped until the unavailable one is running.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_UnavailableTaskFitsOnlyThere_TaskStartsThere") {
  const Resources capacity{2'000, 64'000, 0};
  Begin(2, capacity);
  AdvanceTime(kReactionTime);
  StepSpec step = LongRunningStep(2, {1'000, 1'000, 0});
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(First(), kLongRunningJob) == 1);
  running_[RunnerName(1)].clear();
  cell_->HandleMachineDown(RunnerName(1), Time());
  RequestRunner(First());
  ListRunners(1, capacity);
  RequestFirstFor(milliseconds(5'000));  // The task may be unavailable for 9 s.
  CHECK(RunsOn(First(), kLongRunningJob) == 2);
}

// Guards against a runner that is kept idle for as long as a task of the step fits on no runner.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_UnavailableTaskFitsNowhere_RunnerAcceptsWorkAgain") {
  const Resources capacity{2'000, 64'000, 0};
  Begin(2, capacity);
  AdvanceTime(kReactionTime);
  StepSpec step = LongRunningStep(2, {1'000, 1'000, 0});
  step.max_per_runner = 1;
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  REQUIRE(RunsOn(First(), kLongRunningJob) == 1);
  running_[RunnerName(1)].clear();
  cell_->HandleMachineDown(RunnerName(1), Time());
  ListRunners(1, capacity);
  AdvanceTime(kReactionTime);
  CHECK(RequestFirstFor(milliseconds(5'500)) == CallVerdict::kNotReady);
  SubmitShort(1, {1'000, 1'000, 0});
  REQUIRE(RunsOn(First(), kShortJob) == 0);
  RequestFirstFor(milliseconds(1'500));
  CHECK(RunsOn(First(), kShortJob) == 1);
}

/// A coordinator that takes down every machine for maintenance, as many at once as the wave allows.
class MaintenanceWaveTest : protected CellEvacuationTest {
 protected:
  static constexpr Resources kMachine{8'000, 64'000, 0};
  static constexpr milliseconds kDown{2'000};
  static constexpr milliseconds kWaveTime{30'000};  // Time limit of the sites' waves.
  static constexpr std::size_t kMachines = 6;

  /// Returns the duration of the wave, or `limit` if it is not complete by then.
  milliseconds RunWave(std::size_t max_at_once, milliseconds limit) {
    std::map<std::size_t, Instant> back_at;
    std::size_t next = 0;
    std::set<std::size_t> preparing;
    for (milliseconds passed{0}; passed < limit; passed += kRound) {
      std::erase_if(back_at, [&](const auto& entry) { return now_ >= entry.second; });
      if (next == kMachines && preparing.empty() && back_at.empty()) return passed;
      while (next < kMachines && preparing.size() + back_at.size() < max_at_once) {
        preparing.insert(next++);
      }
      for (const std::size_t machine : std::set(preparing)) {
        if (RequestRunner(RunnerName(machine)) != CallVerdict::kReady) continue;
        preparing.erase(machine);
        back_at[machine] = now_ + kDown;
        running_[RunnerName(machine)].clear();
        results_[RunnerName(machine)].clear();
        last_end_[RunnerName(machine)] = 0;
        cell_->HandleMachineDown(RunnerName(machine), Time());
      }
      ListMachinesUp(back_at);
      AdvanceTime(kRound);
      for (std::size_t machine = 0; machine < kMachines; ++machine) {
        if (back_at.contains(machine)) continue;
        ExecuteOneStop(RunnerName(machine));
        EndShort(RunnerName(machine));
        EndShort(RunnerName(machine));
      }
    }
    return limit;
  }

 private:
  void ListMachinesUp(const std::map<std::size_t, Instant>& back_at) {
    std::vector<RunnerListing> listings;
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      if (back_at.contains(machine)) continue;
      RunnerListing listing;
      listing.id = RunnerName(machine);
      listing.service = kService;
      listing.capacity = kMachine;
      listing.started_at = kFirstStartedAt;
      listings.push_back(listing);
    }
    cell_->SetRunners(listings, Time());
  }
};

// Guards against waves that exceed their time limit because machines are not taken down although
// their tasks fit elsewhere.
TEST_CASE_METHOD(MaintenanceWaveTest, "Wave_EvacuatedTasksFitElsewhere_EveryMachineIsTakenDown") {
  const auto count = GENERATE(std::uint32_t{2 * kMachines}, std::uint32_t{2 * kMachines - 1});
  const auto memory = GENERATE(std::int64_t{16'000}, std::int64_t{24'000});
  const auto max_at_once = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{3});
  const auto spread = GENERATE(true, false);
  if (memory == 24'000 && count == 2 * kMachines) return;  // Every machine is full.
  Begin(kMachines, kMachine);
  AdvanceTime(kReactionTime);
  StepSpec step = LongRunningStep(count, {1'000, memory, 0});
  if (spread) step.max_per_runner = memory == 24'000 ? 2 : 3;
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(kReactionTime);
  REQUIRE(starts_.size() == count);
  SubmitShort(2'000, {1'000, 2'000, 0});
  INFO(count << " tasks of " << memory << " MB, " << max_at_once << " machines at once");
  CHECK(RunWave(max_at_once, kWaveTime) < kWaveTime);
}

}  // namespace
}  // namespace wigeonlane
