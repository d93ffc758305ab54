/// What the owner of a cell tells the coordinator of machines of work that has no place.
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

class CellStrandedWorkTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{32'000, 64'000, 2};

  void BeginWith(std::size_t runners) {
    Begin(runners, kCapacity);
    Pass(milliseconds(200));
  }

  static StepSpec Short(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = milliseconds(800);
    return step;
  }

  static StepSpec Lasting(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    return step;
  }

  /// Lasting tasks that hold three quarters of the memory of so many runners.
  void HoldMemory(std::uint32_t runners) {
    Submit(Lasting(runners, {4'000, 48'000, 0}), {}, "00000000000000b1");
    Pass(milliseconds(300));
    REQUIRE(starts_.size() == runners);
  }

  ServiceLoad Load() const {
    const CallResponse answer = cell_->ReportLoads(Time());
    REQUIRE(answer.loads.size() == 1);
    return answer.loads.front();
  }
};

// Guards against a job that waits beside free cores (LOST on a large site): lasting tasks hold the
// memory of all runners of its cell, and the free cores make the coordinator send no machine.
TEST_CASE_METHOD(CellStrandedWorkTest,
                 "ReportLoads_TaskFitsNowhereByMemory_CoresAreNotToldAsFree") {
  Begin(2, {32'000, 64'000, 0});
  Pass(milliseconds(200));
  StepSpec lasting;
  lasting.count = 2;
  lasting.need = {4'000, 48'000, 0};
  lasting.long_running = true;
  lasting.max_per_runner = 1;
  lasting.max_unavailable = 1;
  Submit(lasting, {}, "00000000000000b1");
  Pass(milliseconds(500));
  REQUIRE(starts_.size() == 2);
  StepSpec step;
  step.need = {7'400, 23'088, 0};
  step.estimate = milliseconds(800);
  Submit(step);
  Pass(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  const CallResponse answer = cell_->ReportLoads(Time());
  REQUIRE(answer.loads.size() == 1);
  const ServiceLoad& load = answer.loads.front();
  CHECK(load.capacity_cpu_milli - load.busy_cpu_milli < step.need.cpu_milli);
}

// Guards against the same: without a need in machines the planner would send none.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_TaskFitsNowhereByMemory_WantsAFurtherMachine") {
  BeginWith(2);
  HoldMemory(2);
  Submit(Short(1, {7'400, 23'088, 0}));
  Pass(milliseconds(1'000));
  CHECK(Load().runners == 2);
  CHECK(Load().further_machines == 1);
}

// Guards against a task of 29 of 32 cores that waits while cores are free in parts only.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_CoresAreFreeInPartsOnly_WantsAFurtherMachine") {
  BeginWith(2);
  Submit(Lasting(2, {4'800, 1'000, 0}), {}, "00000000000000b1");
  Pass(milliseconds(300));
  Submit(Short(1, {29'000, 1'000, 0}));
  Pass(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  CHECK(Load().further_machines == 1);
  CHECK(Load().busy_cpu_milli == Load().capacity_cpu_milli);
}

// Guards against the same where short tasks keep the parts: each that ends is followed by another.
TEST_CASE_METHOD(CellStrandedWorkTest,
                 "ReportLoads_ShortTasksKeepAllRunnersInParts_WantsAFurtherMachine") {
  BeginWith(2);
  Submit(Short(4, {8'000, 1'000, 0}), {}, "00000000000000b1");
  Pass(milliseconds(200));
  REQUIRE(starts_.size() == 4);
  Submit(Short(1, {29'000, 1'000, 0}));
  Pass(milliseconds(700));
  CHECK(Load().further_machines == 1);
}

// Guards against accelerators left out of the need.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_AcceleratorsAreTaken_WantsAFurtherMachine") {
  BeginWith(2);
  Submit(Lasting(2, {1'000, 1'000, 2}), {}, "00000000000000b1");
  Pass(milliseconds(300));
  Submit(Short(1, {1'000, 1'000, 1}));
  Pass(milliseconds(1'000));
  CHECK(Load().further_machines == 1);
}

// Guards against lasting tasks away for longer than 9 s: their estimates are nothing, so that they
// count as no work, and no end of a short task helps them.
TEST_CASE_METHOD(CellStrandedWorkTest,
                 "ReportLoads_LastingTasksFitNowhere_WantsPlacesForAllAtOnce") {
  BeginWith(2);
  Submit(Lasting(5, {4'000, 20'000, 0}));
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 2);
  CHECK(Load().further_machines == 3);
}

// Guards against a machine asked for while what short tasks free is kept for the task already.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_RoomIsKeptForALaterTaskOfTheStep_WantsNone") {
  label_of_[RunnerName(1)] = "kind-b";
  BeginWith(2);
  StepSpec filling = Short(4, {8'000, 1'000, 0});
  filling.required_label = "kind-b";
  Submit(filling, {}, "00000000000000b1");
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 4);
  Submit(Lasting(2, {4'000, 20'000, 0}));
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 5);
  CHECK(Load().further_machines == 0);
}

// Guards against a machine moved away while what comes free on it is kept for a lasting task.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_RoomIsKeptOnARunner_ItIsNotMovable") {
  BeginWith(2);
  Submit(Short(8, {8'000, 1'000, 0}), {}, "00000000000000b1");
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().movable.size() == 2);
  Submit(Lasting(1, {4'000, 20'000, 0}));
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().movable.size() == 1);
}

// Guards against a gang that waits for places that single tasks would have.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_GangLacksPlaces_WantsMachinesForIt") {
  BeginWith(2);
  StepSpec gang = Short(6, {16'000, 8'000, 0});
  gang.gang = true;
  Submit(gang);
  Pass(milliseconds(1'000));
  REQUIRE(starts_.empty());
  CHECK(Load().further_machines == 1);
}

// Guards against machines that come and go with each short wait for the next end of a task.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_TaskHasJustBegunToWait_WantsNone") {
  BeginWith(2);
  Submit(Short(9, {8'000, 1'000, 0}));
  Pass(milliseconds(200));
  REQUIRE(starts_.size() == 8);
  CHECK(Load().further_machines == 0);
}

// Guards against the same where ends are frequent: the job as a whole does not wait.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_TasksOfTheJobStartAllTheTime_WantsNone") {
  BeginWith(2);
  Submit(Short(40, {8'000, 1'000, 0}));
  for (int round = 0; round < 5; ++round) {
    Pass(milliseconds(300));
    CHECK(Load().further_machines == 0);
    EndOldest(RunnerName(0));
    Report(RunnerName(0));
  }
}

// Guards against machines asked for without end.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_NoMachineIsLargeEnough_WantsNone") {
  BeginWith(2);
  Submit(Short(1, {40'000, 1'000, 0}));
  Pass(milliseconds(1'000));
  CHECK(Load().further_machines == 0);
}

// Guards against the same: machines that come may lack the label too.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_RoomLacksTheLabel_WantsNone") {
  label_of_[RunnerName(0)] = "kind-a";
  BeginWith(2);
  Submit(Lasting(1, {4'000, 48'000, 0}), {}, "00000000000000b1");
  Pass(milliseconds(300));
  StepSpec step = Short(1, {7'400, 23'088, 0});
  step.required_label = "kind-b";
  Submit(step);
  Pass(milliseconds(1'000));
  CHECK(Load().further_machines == 0);
}

// Guards against a second machine asked for before the first has answered.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_MachineWasFoundAMomentAgo_WantsNoOther") {
  BeginWith(2);
  HoldMemory(2);
  Submit(Short(1, {7'400, 23'088, 0}));
  Pass(milliseconds(1'000));
  REQUIRE(Load().further_machines == 1);
  ListRunners(3, kCapacity);
  CHECK(Load().runners == 3);
  CHECK(Load().further_machines == 0);
}

// Guards against a pool that lends what it has free in cores only.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_MemoryBinds_BusyCoresAreItsShare") {
  BeginWith(2);
  HoldMemory(2);
  Submit(Short(1, {8'000, 8'000, 0}));
  Pass(milliseconds(100));
  CHECK(Load().busy_cpu_milli == 2 * 24'000 + 4'000);
  CHECK(Load().long_running_cpu_milli == 2 * 24'000);
  CHECK(Load().further_machines == 0);
}

// Guards against work that is told by its cores where its memory needs more machines.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_MemoryOfWaitingWorkBinds_BacklogIsItsShare") {
  BeginWith(2);
  HoldMemory(2);
  QueuePolicy policy;
  policy.target_latency = milliseconds(60'000);
  Submit(Short(1, {1'000, 32'000, 0}), policy);
  Pass(milliseconds(100));
  CHECK(Load().backlog_work == 16 * 800);
}

// Guards against machines that are asked for too late as work arrives that memory binds.
TEST_CASE_METHOD(CellStrandedWorkTest, "ReportLoads_MemoryOfArrivingWorkBinds_RateIsItsShare") {
  BeginWith(2);
  Submit(Short(1, {1'000, 32'000, 0}));
  Pass(milliseconds(100));
  const std::int64_t of_memory = Load().arriving_cpu_milli;
  BeginWith(2);
  Submit(Short(1, {16'000, 1'000, 0}), {}, "00000000000000b1");
  Pass(milliseconds(100));
  CHECK(of_memory == Load().arriving_cpu_milli);
}

/// The cell with the planner of machines: a move takes 1.5 s and discovery 0.8 s more.
class StrandedWorkMachinesTest : protected CellStrandedWorkTest {
 protected:
  static constexpr milliseconds kRound{100};
  static constexpr milliseconds kMove{1'500};
  static constexpr milliseconds kDiscovery{800};

  /// Rounds of the coordinator for so long, or until the cell has started so many tasks.
  void Rounds(milliseconds duration, std::size_t until_starts = SIZE_MAX) {
    for (milliseconds passed{0}; passed < duration && starts_.size() < until_starts;
         passed += kRound) {
      Pass(kRound);
      Round();
    }
  }

  std::size_t machines_ = 2;
  std::size_t came_ = 0;
  std::size_t left_ = 0;

 private:
  void Round() {
    if (coming_since_ && now_ - *coming_since_ >= kMove + kDiscovery) {
      coming_since_.reset();
      ListRunners(++machines_, kCapacity);
    }
    const ServiceLoad load = Load();
    PoolView pool;
    pool.service = kService;
    pool.reported = true;
    pool.machines = static_cast<std::uint32_t>(machines_ + (coming_since_ ? 1 : 0));
    pool.present = pool.machines;
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
        ++came_;
        coming_since_ = now_;
      } else {
        ++left_;
        ListRunners(--machines_, kCapacity);
        cell_->HandleMachineDown(move.machine, Time());
      }
    }
  }

  PoolPlanner planner_;
  std::optional<Instant> coming_since_;
};

// Guards against LOST by memory: one machine comes, well within 9 s, and leaves when the work ends.
TEST_CASE_METHOD(StrandedWorkMachinesTest,
                 "Plan_TaskFitsNowhereByMemory_OneMachineComesAndLeaves") {
  BeginWith(2);
  HoldMemory(2);
  Rounds(milliseconds(2'000));
  REQUIRE(came_ == 0);
  Submit(Short(1, {7'400, 23'088, 0}));
  Rounds(milliseconds(4'000), 3);
  REQUIRE(starts_.size() == 3);
  CHECK(came_ == 1);
  Rounds(milliseconds(3'000));
  CHECK(left_ == 0);
  EndOldest(RunnerName(2));
  Report(RunnerName(2));
  Rounds(milliseconds(6'000));
  CHECK(came_ == 1);
  CHECK(left_ == 1);
}

// Guards against a lasting task away for longer than 9 s, its lease of 5 s included.
TEST_CASE_METHOD(StrandedWorkMachinesTest, "Plan_LastingTaskFitsNowhere_IsAtWorkWithin4s") {
  BeginWith(2);
  HoldMemory(2);
  Rounds(milliseconds(2'000));
  Submit(Lasting(1, {4'800, 22'000, 0}));
  Rounds(milliseconds(4'000), 3);
  CHECK(starts_.size() == 3);
  Rounds(milliseconds(10'000));
  CHECK(came_ == 1);
  CHECK(left_ == 0);
}

}  // namespace
}  // namespace wigeonlane
