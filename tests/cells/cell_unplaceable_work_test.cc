/// Tests of how a cell reports unplaceable work to the machine coordinator.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "scheduling/pool_planner.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellUnplaceableWorkTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{32'000, 64'000, 2};

  void BeginWith(std::size_t runners) {
    Begin(runners, kCapacity);
    AdvanceTime(milliseconds(200));
  }

  static StepSpec ShortStep(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = milliseconds(800);
    return step;
  }

  static StepSpec LongRunningStep(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    return step;
  }

  /// Starts long-running tasks that use three quarters of the memory of each runner.
  void UseMemory(std::uint32_t runners) {
    Submit(LongRunningStep(runners, {4'000, 48'000, 0}), {}, "00000000000000b1");
    AdvanceTime(milliseconds(300));
    REQUIRE(starts_.size() == runners);
  }

  ServiceLoad Load() const {
    const CallResponse answer = cell_->ReportLoads(Time());
    REQUIRE(answer.loads.size() == 1);
    return answer.loads.front();
  }
};

// Guards against a job that never starts (LOST on a large site): long-running tasks use the memory
// of all runners of its cell, and because cores are free the coordinator sends no machine.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_MemoryFitsTaskNowhere_FreeCoresAreReportedAsBusy") {
  Begin(2, {32'000, 64'000, 0});
  AdvanceTime(milliseconds(200));
  StepSpec long_running;
  long_running.count = 2;
  long_running.need = {4'000, 48'000, 0};
  long_running.long_running = true;
  long_running.max_per_runner = 1;
  long_running.max_unavailable = 1;
  Submit(long_running, {}, "00000000000000b1");
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 2);
  StepSpec step;
  step.need = {7'400, 23'088, 0};
  step.estimate = milliseconds(800);
  Submit(step);
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  const CallResponse answer = cell_->ReportLoads(Time());
  REQUIRE(answer.loads.size() == 1);
  const ServiceLoad& load = answer.loads.front();
  CHECK(load.capacity_cpu_milli - load.busy_cpu_milli < step.need.cpu_milli);
}

// Guards against the same failure: the planner sends no machine unless one is requested.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_MemoryFitsTaskNowhere_RequestsAMachine") {
  BeginWith(2);
  UseMemory(2);
  Submit(ShortStep(1, {7'400, 23'088, 0}));
  AdvanceTime(milliseconds(1'000));
  CHECK(Load().runners == 2);
  CHECK(Load().further_machines == 1);
}

// Guards against a task of 29 of 32 cores that never starts because the free cores are spread over
// several runners.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_FreeCoresAreSpreadOverRunners_RequestsAMachine") {
  BeginWith(2);
  Submit(LongRunningStep(2, {4'800, 1'000, 0}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(300));
  Submit(ShortStep(1, {29'000, 1'000, 0}));
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  CHECK(Load().further_machines == 1);
  CHECK(Load().busy_cpu_milli == Load().capacity_cpu_milli);
}

// Guards against the same failure when short tasks use the cores and each is followed by another.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_ShortTasksUsePartOfEveryRunner_RequestsAMachine") {
  BeginWith(2);
  Submit(ShortStep(4, {8'000, 1'000, 0}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(200));
  REQUIRE(starts_.size() == 4);
  Submit(ShortStep(1, {29'000, 1'000, 0}));
  AdvanceTime(milliseconds(700));
  CHECK(Load().further_machines == 1);
}

// Guards against accelerators that are ignored when the fit is checked.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_AcceleratorsAreInUse_RequestsAMachine") {
  BeginWith(2);
  Submit(LongRunningStep(2, {1'000, 1'000, 2}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(300));
  Submit(ShortStep(1, {1'000, 1'000, 1}));
  AdvanceTime(milliseconds(1'000));
  CHECK(Load().further_machines == 1);
}

// Guards against long-running tasks that are unavailable for longer than 9 s: they have no estimate
// and so count as no work, and the end of a short task frees too little for them.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_LongRunningTasksFitNowhere_RequestsMachinesForAll") {
  BeginWith(2);
  Submit(LongRunningStep(5, {4'000, 20'000, 0}));
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 2);
  CHECK(Load().further_machines == 3);
}

// Guards against a request for a machine while capacity that short tasks free is already earmarked
// for the task.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_RunnerIsEarmarkedForALaterTaskOfTheStep_RequestsNone") {
  label_of_[RunnerName(1)] = "kind-b";
  BeginWith(2);
  StepSpec filling = ShortStep(4, {8'000, 1'000, 0});
  filling.required_label = "kind-b";
  Submit(filling, {}, "00000000000000b1");
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 4);
  Submit(LongRunningStep(2, {4'000, 20'000, 0}));
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 5);
  CHECK(Load().further_machines == 0);
}

// Guards against the move of a machine that is earmarked for a long-running task.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_RunnerIsEarmarked_ItIsNotMovable") {
  BeginWith(2);
  Submit(ShortStep(8, {8'000, 1'000, 0}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().movable.size() == 2);
  Submit(LongRunningStep(1, {4'000, 20'000, 0}));
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().movable.size() == 1);
}

// Guards against a gang that never starts because its tasks would fit one at a time but not at
// once.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_GangDoesNotFitAtOnce_RequestsAMachine") {
  BeginWith(2);
  StepSpec gang = ShortStep(6, {16'000, 8'000, 0});
  gang.gang = true;
  Submit(gang);
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.empty());
  CHECK(Load().further_machines == 1);
}

// Guards against moves of machines whenever a task waits briefly for another to end.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_TaskHasJustStartedToWait_RequestsNone") {
  BeginWith(2);
  Submit(ShortStep(9, {8'000, 1'000, 0}));
  AdvanceTime(milliseconds(200));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().further_machines == 0);
}

// Guards against the same failure when tasks end frequently, so that the job as a whole progresses.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_TasksOfTheJobKeepStarting_RequestsNone") {
  BeginWith(2);
  Submit(ShortStep(40, {8'000, 1'000, 0}));
  for (int round = 0; round < 5; ++round) {
    AdvanceTime(milliseconds(300));
    CHECK(Load().further_machines == 0);
    EndOldest(RunnerName(0));
    Report(RunnerName(0));
  }
}

// Guards against endless requests for machines.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_NoMachineIsLargeEnough_RequestsNone") {
  BeginWith(2);
  Submit(ShortStep(1, {40'000, 1'000, 0}));
  AdvanceTime(milliseconds(1'000));
  CHECK(Load().further_machines == 0);
}

// Guards against endless requests for machines that may lack the label as well.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_RunnerWithCapacityLacksTheLabel_RequestsNone") {
  label_of_[RunnerName(0)] = "kind-a";
  BeginWith(2);
  Submit(LongRunningStep(1, {4'000, 48'000, 0}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(300));
  StepSpec step = ShortStep(1, {7'400, 23'088, 0});
  step.required_label = "kind-b";
  Submit(step);
  AdvanceTime(milliseconds(1'000));
  CHECK(Load().further_machines == 0);
}

// Guards against a request for a second machine before the first one has responded.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_MachineWasJustDiscovered_RequestsNoOther") {
  BeginWith(2);
  UseMemory(2);
  Submit(ShortStep(1, {7'400, 23'088, 0}));
  AdvanceTime(milliseconds(1'000));
  REQUIRE(Load().further_machines == 1);
  ListRunners(3, kCapacity);
  CHECK(Load().runners == 3);
  CHECK(Load().further_machines == 0);
}

// Guards against lending machines whose cores are free but whose memory is in use.
TEST_CASE_METHOD(CellUnplaceableWorkTest, "ReportLoads_MemoryIsScarcest_BusyCoresAreItsShare") {
  BeginWith(2);
  UseMemory(2);
  Submit(ShortStep(1, {8'000, 8'000, 0}));
  AdvanceTime(milliseconds(100));
  CHECK(Load().busy_cpu_milli == 2 * 24'000 + 4'000);
  CHECK(Load().long_running_cpu_milli == 2 * 24'000);
  CHECK(Load().further_machines == 0);
}

// Guards against a backlog that counts only cores when the memory of the work needs more machines.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_MemoryOfWaitingWorkIsScarcest_BacklogIsItsShare") {
  BeginWith(2);
  UseMemory(2);
  QueuePolicy policy;
  policy.target_latency = milliseconds(60'000);
  Submit(ShortStep(1, {1'000, 32'000, 0}), policy);
  AdvanceTime(milliseconds(100));
  CHECK(Load().backlog_work == 16 * 800);
}

// Guards against requesting machines too late for arriving work that needs mostly memory.
TEST_CASE_METHOD(CellUnplaceableWorkTest,
                 "ReportLoads_MemoryOfArrivingWorkIsScarcest_RateIsItsShare") {
  BeginWith(2);
  Submit(ShortStep(1, {1'000, 32'000, 0}));
  AdvanceTime(milliseconds(100));
  const std::int64_t memory_rate = Load().arriving_cpu_milli;
  BeginWith(2);
  Submit(ShortStep(1, {16'000, 1'000, 0}), {}, "00000000000000b1");
  AdvanceTime(milliseconds(100));
  CHECK(memory_rate == Load().arriving_cpu_milli);
}

/// The cell together with the machine planner: a move takes 1.5 s, and discovery another 0.8 s.
class UnplaceableWorkMachinesTest : protected CellUnplaceableWorkTest {
 protected:
  static constexpr milliseconds kRound{100};
  static constexpr milliseconds kMove{1'500};
  static constexpr milliseconds kDiscovery{800};

  /// Runs the coordinator for `duration`, or until the cell has started `until_starts` tasks.
  void RunCoordinator(milliseconds duration, std::size_t until_starts = SIZE_MAX) {
    for (milliseconds passed{0}; passed < duration && starts_.size() < until_starts;
         passed += kRound) {
      AdvanceTime(kRound);
      Round();
    }
  }

  std::size_t machines_ = 2;
  std::size_t arrived_ = 0;
  std::size_t left_ = 0;

 private:
  void Round() {
    if (moving_since_ && now_ - *moving_since_ >= kMove + kDiscovery) {
      moving_since_.reset();
      ListRunners(++machines_, kCapacity);
    }
    const ServiceLoad load = Load();
    PoolView pool;
    pool.service = kService;
    pool.reported = true;
    pool.machines = static_cast<std::uint32_t>(machines_ + (moving_since_ ? 1 : 0));
    pool.present_machines = pool.machines;
    pool.cores_per_machine = 32;
    pool.busy_cores = static_cast<double>(load.busy_cpu_milli) / 1'000;
    pool.long_running_cores = static_cast<double>(load.long_running_cpu_milli) / 1'000;
    pool.backlog_work = static_cast<double>(load.backlog_work) / 1'000;
    pool.arrival_cores = static_cast<double>(load.arriving_cpu_milli) / 1'000;
    pool.runners = load.runners;
    pool.further_machines = load.further_machines;
    for (const MovableRunner& runner : load.movable) pool.movable.push_back({runner.id});
    PoolView spare;
    spare.service = "spare";
    spare.spare = true;
    spare.machines = 8;
    spare.movable = std::vector<MovableMachine>(8, {"machine"});
    for (const MachineMove& move : planner_.Plan({pool, spare}, now_)) {
      if (move.to == kService) {
        ++arrived_;
        moving_since_ = now_;
      } else {
        ++left_;
        ListRunners(--machines_, kCapacity);
        cell_->HandleMachineDown(move.machine, Time());
      }
    }
  }

  PoolPlanner planner_;
  std::optional<Instant> moving_since_;
};

// Guards against a lost task whose memory fits nowhere: one machine arrives, well within 9 s, and
// leaves when the work ends.
TEST_CASE_METHOD(UnplaceableWorkMachinesTest,
                 "Plan_MemoryFitsTaskNowhere_OneMachineArrivesAndLeaves") {
  BeginWith(2);
  UseMemory(2);
  RunCoordinator(milliseconds(2'000));
  REQUIRE(arrived_ == 0);
  Submit(ShortStep(1, {7'400, 23'088, 0}));
  RunCoordinator(milliseconds(4'000), 3);
  REQUIRE(starts_.size() == 3);
  CHECK(arrived_ == 1);
  RunCoordinator(milliseconds(3'000));
  CHECK(left_ == 0);
  EndOldest(RunnerName(2));
  Report(RunnerName(2));
  RunCoordinator(milliseconds(6'000));
  CHECK(arrived_ == 1);
  CHECK(left_ == 1);
}

// Guards against a long-running task that is unavailable for longer than 9 s, of which its lease
// takes 5 s.
TEST_CASE_METHOD(UnplaceableWorkMachinesTest, "Plan_LongRunningTaskFitsNowhere_IsRunningWithin4s") {
  BeginWith(2);
  UseMemory(2);
  RunCoordinator(milliseconds(2'000));
  Submit(LongRunningStep(1, {4'800, 22'000, 0}));
  RunCoordinator(milliseconds(4'000), 3);
  CHECK(starts_.size() == 3);
  RunCoordinator(milliseconds(10'000));
  CHECK(arrived_ == 1);
  CHECK(left_ == 0);
}

}  // namespace
}  // namespace wigeonlane
