/// Tests of placement after failures of tasks and polls.
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellPlacementTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{32'000, 64'000, 0};
  /// Longest time that a long-running task may be unavailable (the platform's rule on lost tasks).
  static constexpr milliseconds kMaxUnavailable{9'000};
  /// Longest time that a job may have nothing running while there is capacity for it (same rule).
  static constexpr milliseconds kMaxIdle{3'000};

  void BeginWith(std::size_t runners) {
    Begin(runners, kCapacity);
    AdvanceTime(milliseconds(200));
  }

  static StepSpec SmallStep() {
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    return step;
  }

  /// Submits jobs of `tasks` long-running tasks, at most one of a job on each runner.
  void SubmitLongRunningJobs(int jobs, std::uint32_t tasks) {
    StepSpec step = SmallStep();
    step.count = tasks;
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    for (int job = 0; job < jobs; ++job) {
      Submit(step, {}, "00000000000000e" + std::to_string(job));
      AdvanceTime(milliseconds(20));
    }
  }

  std::size_t RunningTasks() const {
    std::size_t tasks = 0;
    for (const auto& [runner, runs] : running_) tasks += runs.size();
    return tasks;
  }

  void FailAllRuns() {
    for (const auto& [runner, runs] : running_) {
      while (!runs.empty()) FailOldest(runner);
    }
  }

  /// Fails the run that the runner has started last.
  void FailNewest(const std::string& runner) {
    auto& runs = running_[runner];
    std::rotate(runs.rbegin(), runs.rbegin() + 1, runs.rend());
    FailOldest(runner);
  }

  bool IsSuspect(std::size_t runner) const {
    return cell_->FindRunnerById(RunnerName(runner))->health.suspect();
  }
};

// Guards against a task that is never started again (LOST): it has failed on the only runner that
// is left for it, and the placement does not notice that no other runner can take it.
TEST_CASE_METHOD(CellPlacementTest,
                 "LongRunningTask_FailedOnItsOnlyPossibleRunner_StartsThereAgain") {
  BeginWith(3);
  StepSpec step = SmallStep();
  step.count = 3;
  step.long_running = true;
  step.max_per_runner = 1;
  step.max_unavailable = 1;
  Submit(step);
  AdvanceTime(milliseconds(6'000));
  REQUIRE(starts_.size() == 3);
  FailOldest(RunnerName(0));
  AdvanceTime(kMaxUnavailable);
  CHECK(starts_.size() == 4);
}

// Guards against the same failure when only one runner has the required label.
TEST_CASE_METHOD(CellPlacementTest, "Task_FailedOnTheOnlyRunnerWithItsLabel_StartsThereAgain") {
  label_of_[RunnerName(0)] = "large";
  BeginWith(3);
  StepSpec step = SmallStep();
  step.required_label = "large";
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(step, policy);
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 1);
  FailOldest(RunnerName(0));
  AdvanceTime(kMaxUnavailable);
  CHECK(starts_.size() == 2);
}

TEST_CASE_METHOD(CellPlacementTest, "Task_FailedOnOneOfTwoRunners_StartsOnTheOther") {
  BeginWith(2);
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(SmallStep(), policy);
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  const std::string first = IdOf(starts_.front().runner);
  FailOldest(first);
  AdvanceTime(milliseconds(2'000));
  REQUIRE(starts_.size() == 2);
  CHECK(IdOf(starts_.back().runner) != first);
}

// Guards against the backoff of one task delaying the other tasks of its step.
TEST_CASE_METHOD(CellPlacementTest, "OtherTasks_OneFailedOnTheOnlyRunnerWithCapacity_StartThere") {
  Begin(1, {1'000, 1'000, 0});
  AdvanceTime(milliseconds(200));
  StepSpec step = SmallStep();
  step.count = 3;
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(step, policy);
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  FailOldest(RunnerName(0));
  AdvanceTime(milliseconds(500));
  CHECK(starts_.size() == 2);
}

// Guards against ROUTE (found by the second review): members of a gang that are placed together are
// not counted by the limit of the step's tasks on one runner.
TEST_CASE_METHOD(CellPlacementTest, "Gang_LimitOfTasksOnARunner_IsKept") {
  BeginWith(2);
  StepSpec step = SmallStep();
  step.gang = true;
  step.max_per_runner = 1;
  step.count = 2;
  Submit(step);
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 2);
  CHECK(IdOf(starts_[0].runner) != IdOf(starts_[1].runner));
}

TEST_CASE_METHOD(CellPlacementTest, "Gang_LimitOfTasksOnARunnerCannotBeKept_IsNotStarted") {
  BeginWith(2);
  StepSpec step = SmallStep();
  step.gang = true;
  step.max_per_runner = 1;
  step.count = 3;
  Submit(step);
  AdvanceTime(milliseconds(500));
  CHECK(starts_.empty());
  ListRunners(3, kCapacity);
  AdvanceTime(milliseconds(500));
  CHECK(starts_.size() == 3);
}

// Guards against a healthy runner that is never used again (LOST): a short loss of connection keeps
// a start from being sent, and nothing makes the owner poll the runner again.
TEST_CASE_METHOD(CellPlacementTest, "IdleRunner_OnePollFailed_IsUsedAgain") {
  BeginWith(1);
  Submit(SmallStep());
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  PollRequest poll;
  poll.runner = cell_->FindRunnerById(RunnerName(0))->key;
  EndAll();
  AdvanceTime(milliseconds(2'000));
  cell_->HandlePollResponse(poll, CommandStatus::kNoResponse, {}, Time());
  Submit(SmallStep(), {}, "00000000000000a2");
  const std::size_t earlier_starts = starts_.size();
  AdvanceTime(milliseconds(1'000));
  CHECK(starts_.size() == earlier_starts + 1);
}

// Guards against tasks without a run beside healthy, idle runners (LOST): long-running tasks that
// depend on one thing fail together, and each runner on which several of them ran counts as faulty.
TEST_CASE_METHOD(CellPlacementTest, "LongRunningTasks_AllFailAtOnceAfterSoundRuns_StartAgain") {
  BeginWith(9);
  SubmitLongRunningJobs(10, 5);
  AdvanceTime(milliseconds(10'000));
  REQUIRE(RunningTasks() == 50);
  FailAllRuns();
  AdvanceTime(kMaxUnavailable);
  CHECK(RunningTasks() == 50);
}

// Guards against single failures that add up over any time: long-running tasks never end `done`.
TEST_CASE_METHOD(CellPlacementTest, "Runner_SingleFailuresBetweenSoundRuns_IsNotSuspect") {
  BeginWith(1);
  SubmitLongRunningJobs(4, 1);
  AdvanceTime(milliseconds(10'000));
  REQUIRE(RunningTasks() == 4);
  for (int round = 0; round < 8; ++round) {
    // The oldest run, of another job each time, fails, and then its next run soon after its start.
    FailOldest(RunnerName(0));
    AdvanceTime(milliseconds(2'000));
    REQUIRE(RunningTasks() == 4);
    FailNewest(RunnerName(0));
    AdvanceTime(milliseconds(8'000));
    CHECK(RunningTasks() == 4);
    CHECK_FALSE(IsSuspect(0));
  }
}

// Guards against a faulty runner that is not avoided: long-running tasks run on beside the tasks
// that it fails, and their number must not clear it.
TEST_CASE_METHOD(CellPlacementTest, "Runner_FailsAllStartsBesideSoundLongRunningTasks_IsAvoided") {
  BeginWith(1);
  SubmitLongRunningJobs(4, 1);
  AdvanceTime(milliseconds(10'000));
  REQUIRE(RunningTasks() == 4);
  QueuePolicy policy;
  policy.max_attempts = 1;
  const std::size_t earlier_starts = starts_.size();
  for (int job = 10; job < 100; ++job) {
    Submit(SmallStep(), policy, "00000000000000" + std::to_string(job));
    AdvanceTime(milliseconds(300));
    while (running_[RunnerName(0)].size() > 4) FailNewest(RunnerName(0));
  }
  // In 27 s: two until it is suspect, then probes after 1 s, 2 s, 4 s and each 8 s.
  CHECK(starts_.size() - earlier_starts <= 8);
  CHECK(IsSuspect(0));
}

// Guards against tasks without a run beside healthy runners (LOST): what long-running tasks need is
// unavailable for a while, so that each start fails and all runners are suspect when it is back.
TEST_CASE_METHOD(CellPlacementTest, "LongRunningTasks_AllRunnersAreSuspect_StartAgainInTime") {
  BeginWith(9);
  SubmitLongRunningJobs(10, 5);
  AdvanceTime(milliseconds(10'000));
  REQUIRE(RunningTasks() == 50);
  for (int second = 0; second < 20; ++second) {
    FailAllRuns();
    AdvanceTime(milliseconds(1'000));
  }
  FailAllRuns();
  AdvanceTime(kMaxUnavailable);
  CHECK(RunningTasks() == 50);
}

// Guards against a task without a run beside an idle runner (LOST) that has recovered and is still
// suspect because of tasks of other jobs.
TEST_CASE_METHOD(CellPlacementTest, "LongRunningTask_OnlyPossibleRunnerIsSuspect_StartsInTime") {
  label_of_[RunnerName(0)] = "large";
  BeginWith(3);
  QueuePolicy policy;
  policy.max_attempts = 1;
  StepSpec step = SmallStep();
  step.required_label = "large";
  std::size_t earlier_starts = 0;
  for (int job = 10; job < 16; ++job) {
    Submit(step, policy, "00000000000000" + std::to_string(job));
    while (starts_.size() == earlier_starts) AdvanceTime(milliseconds(50));
    earlier_starts = starts_.size();
    FailOldest(RunnerName(0));
    AdvanceTime(milliseconds(200));
  }
  REQUIRE(IsSuspect(0));
  step.long_running = true;
  Submit(step, {}, "00000000000000e0");
  AdvanceTime(kMaxIdle);
  CHECK(RunningTasks() == 1);
}

}  // namespace
}  // namespace wigeonlane
