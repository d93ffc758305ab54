/// Tests of placement after failures of tasks and polls.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellPlacementTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{32'000, 64'000, 0};
  /// Longest time that a long-running task may be unavailable (the platform's rule on lost tasks).
  static constexpr milliseconds kMaxUnavailable{9'000};

  void BeginWith(std::size_t runners) {
    Begin(runners, kCapacity);
    AdvanceTime(milliseconds(200));
  }

  static StepSpec SmallStep() {
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    return step;
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

}  // namespace
}  // namespace wigeonlane
