/// Lasting tasks that are stopped so that their machine can be taken down.
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
  /// A lasting task may be away for this long (the platform's rule on lost tasks).
  static constexpr milliseconds kLongestAway{9'000};
  static constexpr milliseconds kRound{100};
  static constexpr milliseconds kMoment{300};
  static constexpr const char* kLasting = "00000000000000b1";
  static constexpr const char* kShort = "00000000000000c1";

  /// Serves as the leaving side of every test: tasks are placed there while it is alone.
  static std::string First() { return RunnerName(0); }

  static StepSpec LastingStep(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.long_running = true;
    step.max_unavailable = 1;
    return step;
  }

  /// All lasting tasks start on the first runner; then the others are listed.
  void StartOnFirst(const StepSpec& step, std::size_t runners, const Resources& capacity) {
    Begin(1, capacity);
    Pass(kMoment);
    Submit(step, {}, kLasting);
    Pass(kMoment);
    REQUIRE(starts_.size() == step.count);
    ListRunners(runners, capacity);
    Pass(kMoment);
  }

  /// Short tasks, in any number, on whatever has room.
  void SubmitShort(std::uint32_t count, const Resources& need) {
    StepSpec step;
    step.count = count;
    step.need = need;
    step.estimate = milliseconds(600);
    QueuePolicy policy;
    policy.target_latency = milliseconds(60'000);
    Submit(step, policy, kShort);
    Pass(kMoment);
  }

  CallVerdict Ask(const std::string& runner) {
    return cell_->ReserveRunner(runner, Time()).verdict;
  }

  /// Asks for the first runner again and again, as the coordinator does; stops are carried out.
  CallVerdict AskFor(milliseconds duration) {
    CallVerdict verdict = CallVerdict::kNotReady;
    for (milliseconds passed{0}; passed < duration; passed += kRound) {
      verdict = Ask(First());
      if (verdict == CallVerdict::kReady) return verdict;
      Pass(kRound);
      StopAsAsked(First());
    }
    return verdict;
  }

  bool StopAsAsked(const std::string& runner) {
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
      return run.task.job.text() == kShort;
    });
    if (row == runs.end()) return;
    results_[runner].push_back({++last_end_[runner], row->task, row->run, RunResult::kDone, ""});
    runs.erase(row);
  }
};

// Guards against a task that was evacuated although no other runner has room, from a runner that
// stays reserved as long as its other task may not be ended.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_NoOtherRunnerHasRoom_TaskIsNotAwayForLong") {
  Begin(2, {2'000, 64'000, 0});
  Pass(milliseconds(200));
  Submit(LastingStep(4, {1'000, 1'000, 0}));
  Pass(milliseconds(6'000));
  REQUIRE(starts_.size() == 4);
  milliseconds away{0};
  bool stopped = false;
  for (milliseconds passed{0}; passed < 2 * kLongestAway && starts_.size() == 4; passed += kRound) {
    Ask(First());
    Pass(kRound);
    stopped = stopped || StopAsAsked(First());
    if (stopped) away += kRound;
  }
  CHECK(away < kLongestAway);
}

// Guards against a runner that is kept idle for an evacuation that cannot begin.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_LastingTasksHaveNoPlace_RunnerGoesOnTakingWork") {
  Begin(2, {8'000, 64'000, 0});
  Pass(kMoment);
  Submit(LastingStep(4, {1'000, 30'000, 0}), {}, kLasting);  // Memory binds.
  Pass(kMoment);
  REQUIRE(RunsOn(First(), kLasting) == 2);
  CHECK(AskFor(milliseconds(1'000)) == CallVerdict::kNotEvacuable);
  SubmitShort(12, {1'000, 100, 0});
  CHECK(RunsOn(First(), kShort) == 6);
  CHECK(RunsOn(First(), kLasting) == 2);
}

// Guards against a task that is stopped while short tasks still fill the room it is to go to.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_ShortTasksFillTheRoom_TaskIsStoppedOnceTheyEnd") {
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  REQUIRE(RunsOn(RunnerName(1), kShort) == 4);
  CHECK(AskFor(milliseconds(800)) == CallVerdict::kNotReady);
  CHECK(RunsOn(First(), kLasting) == 2);
  EndShort(RunnerName(1));
  CHECK(AskFor(milliseconds(800)) == CallVerdict::kNotReady);
  CHECK(RunsOn(First(), kLasting) == 2);
  CHECK(RunsOn(RunnerName(1), kShort) == 3);  // What came free is kept.
  EndShort(RunnerName(1));
  CHECK(AskFor(milliseconds(1'500)) == CallVerdict::kReady);
  CHECK(RunsOn(First(), kLasting) == 1);
  CHECK(RunsOn(RunnerName(1), kLasting) == 1);
}

TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_RoomOnlyAcrossSeveralRunners_RunnerIsReleased") {
  StartOnFirst(LastingStep(3, {1'000, 20'000, 0}), 3, {8'000, 64'000, 0});
  StepSpec wide = LastingStep(2, {1'000, 40'000, 0});  // Leaves room for one task on each.
  wide.max_per_runner = 1;
  Submit(wide, {}, kShort);
  Pass(kMoment);
  REQUIRE(RunsOn(RunnerName(1), kShort) + RunsOn(RunnerName(2), kShort) == 2);
  CHECK(AskFor(milliseconds(3'000)) == CallVerdict::kReady);
  CHECK(RunsOn(RunnerName(1), kLasting) == 1);
  CHECK(RunsOn(RunnerName(2), kLasting) == 1);
}

// Guards against a first task that is stopped although there is no room for the second one, without
// which the machine cannot be taken.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_RoomForOneOfTwoTasks_NoneIsStopped") {
  StartOnFirst(LastingStep(3, {1'000, 20'000, 0}), 2, {8'000, 64'000, 0});
  Submit(LastingStep(1, {1'000, 40'000, 0}), {}, kShort);
  Pass(kMoment);
  REQUIRE(RunsOn(RunnerName(1), kShort) == 1);
  CHECK(AskFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLasting) == 3);
}

// Guards against a place that the step's limit for one runner forbids.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_OthersHoldAsManyAsTheStepAllows_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 0});
  Pass(kMoment);
  StepSpec step = LastingStep(4, {1'000, 1'000, 0});
  step.max_per_runner = 2;
  Submit(step, {}, kLasting);
  Pass(kMoment);
  REQUIRE(RunsOn(First(), kLasting) == 2);
  CHECK(AskFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLasting) == 2);
}

// Guards against two tasks that are promised the one place that the step's limit leaves.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_StepsLimitLeavesOnePlaceForTwo_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 0});
  Pass(kMoment);
  StepSpec step = LastingStep(5, {1'000, 1'000, 0});
  step.max_per_runner = 3;
  Submit(step, {}, kLasting);
  Pass(kMoment);
  const std::string full = RunnerName(RunsOn(First(), kLasting) == 3 ? 0 : 1);
  REQUIRE(RunsOn(full, kLasting) == 3);
  for (milliseconds passed{0}; passed < milliseconds(2'000); passed += kRound) {
    CHECK(Ask(full) == CallVerdict::kNotEvacuable);
    Pass(kRound);
    StopAsAsked(full);
  }
  CHECK(RunsOn(full, kLasting) == 3);
}

TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_NoAcceleratorIsFreeElsewhere_NoneIsStopped") {
  Begin(2, {8'000, 64'000, 2});
  Pass(kMoment);
  Submit(LastingStep(4, {1'000, 1'000, 1}), {}, kLasting);
  Pass(kMoment);
  REQUIRE(RunsOn(First(), kLasting) == 2);
  CHECK(AskFor(milliseconds(2'000)) == CallVerdict::kNotEvacuable);
  CHECK(RunsOn(First(), kLasting) == 2);
}

TEST_CASE_METHOD(CellEvacuationTest, "HeldRoom_ItsRunnerBeginsToDrain_IsHeldOnAnother") {
  const Resources capacity{4'000, 64'000, 0};
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 3, capacity);
  SubmitShort(100, {1'000, 1'000, 0});
  Ask(First());
  const bool on_second = cell_->FindRunnerById(RunnerName(1))->held.cpu_milli > 0;
  const std::string holder = RunnerName(on_second ? 1 : 2);
  const std::string other = RunnerName(on_second ? 2 : 1);
  CHECK(cell_->FindRunnerById(holder)->held == Resources{2'000, 1'000, 0});
  draining_.insert(holder);
  ListRunners(3, capacity);
  Pass(kRound);
  CHECK(cell_->FindRunnerById(holder)->held == Resources());
  CHECK(Ask(First()) == CallVerdict::kNotReady);
  CHECK(cell_->FindRunnerById(other)->held == Resources{2'000, 1'000, 0});
}

TEST_CASE_METHOD(CellEvacuationTest, "HeldRoom_NobodyAsksAnyMore_IsGivenBackToShortTasks") {
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  Ask(First());
  EndShort(RunnerName(1));
  Pass(kMoment);
  REQUIRE(RunsOn(RunnerName(1), kShort) == 3);
  Pass(milliseconds(2'000));
  CHECK(RunsOn(RunnerName(1), kShort) == 4);
  CHECK(RunsOn(First(), kLasting) == 2);
}

// Guards against two machines of a wave whose tasks are promised places on each other.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_RunnerHoldsRoomForAnother_HasNoPlace") {
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  REQUIRE(Ask(First()) == CallVerdict::kNotReady);
  CHECK(Ask(RunnerName(1)) == CallVerdict::kNotEvacuable);
  CHECK(Ask(First()) == CallVerdict::kNotReady);
}

// Guards against a machine that is not taken although what it holds for another fits elsewhere.
TEST_CASE_METHOD(CellEvacuationTest,
                 "Reserve_HeldRoomFitsElsewhere_IsHeldThereAndRunnerIsReserved") {
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 3, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  Ask(First());
  const bool on_second = cell_->FindRunnerById(RunnerName(1))->held.cpu_milli > 0;
  const std::string holder = RunnerName(on_second ? 1 : 2);
  const std::string other = RunnerName(on_second ? 2 : 1);
  CHECK(Ask(holder) == CallVerdict::kNotReady);  // Its short tasks are waited for.
  CHECK_FALSE(cell_->FindRunnerById(holder)->IsOpen(now_));
  CHECK(cell_->FindRunnerById(holder)->held == Resources());
  CHECK(cell_->FindRunnerById(other)->held == Resources{2'000, 1'000, 0});
  CHECK(Ask(First()) == CallVerdict::kNotReady);
}

// Guards against a task that stays away because room is held for one that is still at work.
TEST_CASE_METHOD(CellEvacuationTest, "HeldRoom_ATaskThatIsAwayNeedsIt_StartsThere") {
  StartOnFirst(LastingStep(2, {2'000, 1'000, 0}), 2, {4'000, 64'000, 0});
  SubmitShort(100, {1'000, 1'000, 0});
  Ask(First());
  EndShort(RunnerName(1));
  Pass(kMoment);
  REQUIRE(RunsOn(RunnerName(1), kShort) == 3);
  constexpr const char* kAway = "00000000000000d1";
  Submit(LastingStep(1, {1'000, 1'000, 0}), {}, kAway);
  Pass(kMoment);
  CHECK(RunsOn(RunnerName(1), kAway) == 1);
}

// Guards against tasks that were stopped while nothing of their job could start: a runner had not
// answered since the takeover.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_JobIsHeldBackAfterATakeover_NoneIsStopped") {
  StartOnFirst(LastingStep(2, {1'000, 1'000, 0}), 3, {4'000, 64'000, 0});
  unresponsive_.insert(RunnerName(2));
  Begin(3, {4'000, 64'000, 0});
  Pass(milliseconds(2'500));
  AskFor(milliseconds(1'000));
  CHECK(RunsOn(First(), kLasting) == 2);
}

// Guards against a reserved runner that is the only place of a task without which its own may not
// be ended, so that both wait for ever.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_RunnerIsTheOnlyPlaceOfAMissingTask_TaskStartsThere") {
  const Resources capacity{2'000, 64'000, 0};
  Begin(2, capacity);
  Pass(kMoment);
  StepSpec step = LastingStep(2, {1'000, 1'000, 0});
  Submit(step, {}, kLasting);
  Pass(kMoment);
  REQUIRE(RunsOn(First(), kLasting) == 1);
  running_[RunnerName(1)].clear();
  cell_->HandleMachineDown(RunnerName(1), Time());
  Ask(First());
  ListRunners(1, capacity);
  AskFor(milliseconds(5'000));  // It may be away for 9 s.
  CHECK(RunsOn(First(), kLasting) == 2);
}

// Guards against a runner that is kept idle for as long as a task of the step has no place at all.
TEST_CASE_METHOD(CellEvacuationTest, "Reserve_MissingTaskHasNoPlaceAnywhere_RunnerTakesWorkAgain") {
  const Resources capacity{2'000, 64'000, 0};
  Begin(2, capacity);
  Pass(kMoment);
  StepSpec step = LastingStep(2, {1'000, 1'000, 0});
  step.max_per_runner = 1;
  Submit(step, {}, kLasting);
  Pass(kMoment);
  REQUIRE(RunsOn(First(), kLasting) == 1);
  running_[RunnerName(1)].clear();
  cell_->HandleMachineDown(RunnerName(1), Time());
  ListRunners(1, capacity);
  Pass(kMoment);
  CHECK(AskFor(milliseconds(5'500)) == CallVerdict::kNotReady);
  SubmitShort(1, {1'000, 1'000, 0});
  REQUIRE(RunsOn(First(), kShort) == 0);
  AskFor(milliseconds(1'500));
  CHECK(RunsOn(First(), kShort) == 1);
}

/// A coordinator that takes every machine for upkeep, as many at a time as the wave allows.
class UpkeepWaveTest : protected CellEvacuationTest {
 protected:
  static constexpr Resources kMachine{8'000, 64'000, 0};
  static constexpr milliseconds kDown{2'000};
  static constexpr milliseconds kWaveTime{30'000};  // Of the waves on the sites.
  static constexpr std::size_t kMachines = 6;

  /// How long the wave takes; `limit` when it is not complete by then.
  milliseconds RunWave(std::size_t max_machines_down, milliseconds limit) {
    std::map<std::size_t, Instant> back_at;
    std::size_t next = 0;
    std::set<std::size_t> preparing;
    for (milliseconds passed{0}; passed < limit; passed += kRound) {
      std::erase_if(back_at, [&](const auto& entry) { return now_ >= entry.second; });
      if (next == kMachines && preparing.empty() && back_at.empty()) return passed;
      while (next < kMachines && preparing.size() + back_at.size() < max_machines_down) {
        preparing.insert(next++);
      }
      for (const std::size_t machine : std::set(preparing)) {
        if (Ask(RunnerName(machine)) != CallVerdict::kReady) continue;
        preparing.erase(machine);
        back_at[machine] = now_ + kDown;
        running_[RunnerName(machine)].clear();
        results_[RunnerName(machine)].clear();
        last_end_[RunnerName(machine)] = 0;
        cell_->HandleMachineDown(RunnerName(machine), Time());
      }
      ListUp(back_at);
      Pass(kRound);
      for (std::size_t machine = 0; machine < kMachines; ++machine) {
        if (back_at.contains(machine)) continue;
        StopAsAsked(RunnerName(machine));
        EndShort(RunnerName(machine));
        EndShort(RunnerName(machine));
      }
    }
    return limit;
  }

 private:
  void ListUp(const std::map<std::size_t, Instant>& back_at) {
    std::vector<RunnerListing> listings;
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      if (back_at.contains(machine)) continue;
      RunnerListing listing;
      listing.id = RunnerName(machine);
      listing.service = kService;
      listing.capacity = kMachine;
      listing.born = kFirstStartedAt;
      listings.push_back(listing);
    }
    cell_->SetRunners(listings, Time());
  }
};

// Guards against waves that miss their time because machines are not taken though there is room.
TEST_CASE_METHOD(UpkeepWaveTest, "Wave_ThereIsRoomForTheTasksThatLeave_EveryMachineIsTaken") {
  const auto count = GENERATE(std::uint32_t{2 * kMachines}, std::uint32_t{2 * kMachines - 1});
  const auto memory = GENERATE(std::int64_t{16'000}, std::int64_t{24'000});
  const auto max_machines_down = GENERATE(std::size_t{1}, std::size_t{2}, std::size_t{3});
  const auto spread = GENERATE(true, false);
  if (memory == 24'000 && count == 2 * kMachines) return;  // Every machine is full.
  Begin(kMachines, kMachine);
  Pass(kMoment);
  StepSpec step = LastingStep(count, {1'000, memory, 0});
  if (spread) step.max_per_runner = memory == 24'000 ? 2 : 3;
  Submit(step, {}, kLasting);
  Pass(kMoment);
  REQUIRE(starts_.size() == count);
  SubmitShort(2'000, {1'000, 2'000, 0});
  INFO(count << " tasks of " << memory << " MB, " << max_machines_down << " machines at once");
  CHECK(RunWave(max_machines_down, kWaveTime) < kWaveTime);
}

}  // namespace
}  // namespace wigeonlane
