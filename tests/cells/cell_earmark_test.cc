/// Tests of capacity for long-running tasks on runners that short tasks keep full.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellEarmarkTest : protected ScriptedCell {
 protected:
  static constexpr std::int64_t kCores = 32'000;
  static constexpr const char* kLongRunningJob = "00000000000000b1";

  CellEarmarkTest() {
    Begin(3, {kCores, 64'000, 0});
    AdvanceTime(milliseconds(200));
  }

  /// Submits more short tasks than fit, each of an eighth of a runner.
  void FillRunners() {
    StepSpec step;
    step.count = 400;
    step.need = {kCores / 8, 4'000, 0};
    step.estimate = milliseconds(600);
    QueuePolicy policy;
    policy.target_latency = milliseconds(60'000);
    Submit(step, policy);
    AdvanceTime(milliseconds(300));
  }

  void SubmitLongRunning(std::uint32_t tasks) {
    StepSpec step;
    step.count = tasks;
    step.need = {kCores / 2, 24'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step, {}, kLongRunningJob);
    AdvanceTime(milliseconds(50));
  }

  /// Ends one short task at a time on each runner, as in a pool under load.
  void EndShortTasks(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t runner = 0; runner < 3; ++runner) EndOldest(RunnerName(runner));
      AdvanceTime(milliseconds(75));
    }
  }

  std::int64_t LongRunningStarts() const {
    return std::count_if(starts_.begin(), starts_.end(), [](const StartCommand& start) {
      return start.task.job.text() == kLongRunningJob;
    });
  }
};

TEST_CASE_METHOD(CellEarmarkTest,
                 "Schedule_ShortTasksWouldUseAllFreedCapacity_LongRunningTaskStarts") {
  FillRunners();
  SubmitLongRunning(1);
  REQUIRE(LongRunningStarts() == 0);
  // 12 rounds take 0.9 s; a long-running task may be unavailable for 3 s (the platform's rule).
  EndShortTasks(12);
  CHECK(LongRunningStarts() == 1);
}

TEST_CASE_METHOD(CellEarmarkTest, "Schedule_OneRunnerIsEarmarked_OtherRunnersKeepStartingTasks") {
  FillRunners();
  SubmitLongRunning(1);
  const std::size_t earlier_starts = starts_.size();
  EndShortTasks(4);
  // Eight tasks end on the two other runners, and each is followed by a start.
  CHECK(starts_.size() >= earlier_starts + 8);
}

TEST_CASE_METHOD(CellEarmarkTest, "Schedule_LongRunningTaskFitsOnNoRunner_NoneIsEarmarked") {
  FillRunners();
  StepSpec step;
  step.need = {kCores / 8, 90'000, 0};
  step.long_running = true;
  Submit(step, {}, kLongRunningJob);
  AdvanceTime(milliseconds(50));
  const std::size_t earlier_starts = starts_.size();
  EndShortTasks(8);
  CHECK(starts_.size() >= earlier_starts + 23);
}

TEST_CASE_METHOD(CellEarmarkTest, "Schedule_LongRunningJobIsCancelled_ItsEarmarkEnds") {
  FillRunners();
  SubmitLongRunning(1);
  cell_->Cancel(9, *JobId::Parse(kLongRunningJob), {}, {}, Time());
  AdvanceTime(milliseconds(2'500));
  const std::size_t earlier_starts = starts_.size();
  EndShortTasks(4);
  CHECK(starts_.size() >= earlier_starts + 11);
}

// Guards against a long-running task that waits for capacity on a runner that accepts no more
// tasks.
TEST_CASE_METHOD(CellEarmarkTest, "Earmark_ItsRunnerStartsToDrain_MovesToAnotherRunner") {
  FillRunners();
  SubmitLongRunning(1);
  const auto earmarked_runner = [this] {
    for (std::size_t runner = 0; runner < 3; ++runner) {
      if (cell_->FindRunnerById(RunnerName(runner))->earmarked_for) return RunnerName(runner);
    }
    return std::string();
  };
  const std::string first = earmarked_runner();
  REQUIRE_FALSE(first.empty());
  draining_.insert(first);
  ListRunners(3, {kCores, 64'000, 0});
  AdvanceTime(milliseconds(300));
  CHECK_FALSE(earmarked_runner().empty());
  CHECK(earmarked_runner() != first);
  EndShortTasks(8);
  CHECK(LongRunningStarts() == 1);
}

}  // namespace
}  // namespace wigeonlane
