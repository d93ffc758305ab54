/// Tests of long-running tasks in a service that is full of tasks that run for long.
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "scheduling/preemption.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellPreemptionTest : protected ScriptedCell {
 protected:
  static constexpr std::int64_t kCores = 32'000;
  static constexpr std::size_t kRunners = 4;
  static constexpr const char* kWaitingJob = "00000000000000b1";
  /// Longest time that a long-running task may be unavailable (the platform's rule on lost tasks).
  static constexpr milliseconds kMaxUnavailable{9'000};

  CellPreemptionTest() {
    Begin(kRunners, {kCores, 64'000, 0});
    AdvanceTime(milliseconds(200));
  }

  /// Returns a step whose tasks of an eighth of a runner fill some runners.
  static StepSpec FillingStep(std::size_t runners) {
    StepSpec step;
    step.count = static_cast<std::uint32_t>(8 * runners);
    step.need = {kCores / 8, 4'000, 0};
    step.estimate = milliseconds(60'000);
    step.checkpointing = true;
    return step;
  }

  void SubmitWithPriority(const StepSpec& step, std::uint32_t priority, std::string_view id) {
    QueuePolicy policy;
    policy.priority = priority;
    policy.target_latency = milliseconds(600'000);
    Submit(step, policy, id);
    AdvanceTime(milliseconds(300));
  }

  /// Submits a long-running task of half a runner.
  void SubmitWaitingTask(std::uint32_t priority) {
    StepSpec step;
    step.need = {kCores / 2, 24'000, 0};
    step.long_running = true;
    step.max_unavailable = 1;
    SubmitWithPriority(step, priority, kWaitingJob);
  }

  /// Advances the time, and ends each run that is to be stopped.
  void AdvanceAndStop(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += milliseconds(50)) {
      AdvanceTime(milliseconds(50));
      for (; stops_done_ < stops_.size(); ++stops_done_) Stop(stops_[stops_done_]);
    }
  }

  bool WaitingTaskStarted() const {
    return std::any_of(starts_.begin(), starts_.end(), [](const StartCommand& start) {
      return start.task.job.text() == kWaitingJob;
    });
  }

  std::set<std::string> JobsOfStops() const {
    std::set<std::string> jobs;
    for (const StopCommand& stop : stops_) jobs.insert(std::string(stop.task.job.text()));
    return jobs;
  }

 private:
  void Stop(const StopCommand& stop) {
    const std::string runner = IdOf(stop.runner);
    auto& runs = running_[runner];
    const auto run = std::find_if(runs.begin(), runs.end(), [&](const ReportedRun& candidate) {
      return candidate.task == stop.task && candidate.run == stop.run;
    });
    if (run == runs.end()) return;
    std::rotate(runs.begin(), run, run + 1);
    EndOldest(runner, RunResult::kStopped);
    cell_->HandleStopResponse(stop, {CommandStatus::kDone, {}}, Time());
  }

  std::size_t stops_done_ = 0;
};

// Guards against a long-running task without a run (LOST, review/8) for as long as tasks of a lower
// priority keep all runners full.
TEST_CASE_METHOD(CellPreemptionTest, "LongRunningTask_ServiceIsFullOfLowerPriority_StartsInTime") {
  SubmitWithPriority(FillingStep(kRunners + 1), 1, "00000000000000a1");
  SubmitWaitingTask(0);
  AdvanceAndStop(kMaxUnavailable);
  CHECK(WaitingTaskStarted());
  // Half a runner holds four of them.
  CHECK(stops_.size() == 4);
}

// Guards against work that is thrown away although it would have ended by itself.
TEST_CASE_METHOD(CellPreemptionTest, "LongRunningTask_WaitsOnlyBriefly_NothingIsStopped") {
  SubmitWithPriority(FillingStep(kRunners + 1), 1, "00000000000000a1");
  SubmitWaitingTask(0);
  AdvanceAndStop(kPreemptAfter - milliseconds(500));
  CHECK(stops_.empty());
}

TEST_CASE_METHOD(CellPreemptionTest,
                 "LongRunningTask_ServiceIsFullOfSamePriority_NothingIsStopped") {
  SubmitWithPriority(FillingStep(kRunners + 1), 1, "00000000000000a1");
  SubmitWaitingTask(1);
  AdvanceAndStop(2 * kMaxUnavailable);
  CHECK(stops_.empty());
}

TEST_CASE_METHOD(CellPreemptionTest,
                 "LongRunningTask_ServiceIsFullOfHigherPriority_NothingIsStopped") {
  SubmitWithPriority(FillingStep(kRunners + 1), 0, "00000000000000a1");
  SubmitWaitingTask(1);
  AdvanceAndStop(2 * kMaxUnavailable);
  CHECK(stops_.empty());
}

// Guards against AVAIL: long-running tasks of a lower priority must not be stopped.
TEST_CASE_METHOD(CellPreemptionTest,
                 "LongRunningTask_ServiceIsFullOfLongRunningTasks_NothingIsStopped") {
  StepSpec step = FillingStep(kRunners);
  step.long_running = true;
  step.max_unavailable = 1;
  SubmitWithPriority(step, 1, "00000000000000a1");
  SubmitWaitingTask(0);
  AdvanceAndStop(2 * kMaxUnavailable);
  CHECK(stops_.empty());
}

// Guards against GANG: a gang ends when one of its members is stopped.
TEST_CASE_METHOD(CellPreemptionTest, "LongRunningTask_ServiceIsFullOfGangs_NothingIsStopped") {
  StepSpec step = FillingStep(kRunners);
  step.gang = true;
  SubmitWithPriority(step, 1, "00000000000000a1");
  SubmitWaitingTask(0);
  AdvanceAndStop(2 * kMaxUnavailable);
  CHECK(stops_.empty());
}

// Guards against work that is lost beside work that would be saved.
TEST_CASE_METHOD(CellPreemptionTest,
                 "LongRunningTask_SomeTasksSaveCheckpoints_OnlyTheseAreStopped") {
  StepSpec step = FillingStep(kRunners);
  step.count /= 2;
  SubmitWithPriority(step, 1, "00000000000000a1");
  step.checkpointing = false;
  SubmitWithPriority(step, 1, "00000000000000a2");
  SubmitWaitingTask(0);
  AdvanceAndStop(kMaxUnavailable);
  CHECK(WaitingTaskStarted());
  CHECK(JobsOfStops() == std::set<std::string>{"00000000000000a1"});
}

// Guards against a wait without bound where the earmarked runner has tasks of the same priority,
// and others have tasks that may be stopped.
TEST_CASE_METHOD(CellPreemptionTest,
                 "LongRunningTask_OneRunnerHasLowerPriority_TasksThereAreStopped") {
  label_of_[RunnerName(0)] = "large";
  ListRunners(kRunners, {kCores, 64'000, 0});
  StepSpec step = FillingStep(1);
  step.required_label = "large";
  SubmitWithPriority(step, 1, "00000000000000a1");
  SubmitWithPriority(FillingStep(kRunners - 1), 0, "00000000000000a2");
  SubmitWaitingTask(0);
  AdvanceAndStop(kMaxUnavailable);
  CHECK(WaitingTaskStarted());
  CHECK(JobsOfStops() == std::set<std::string>{"00000000000000a1"});
}

PreemptionCandidate Candidate(std::uint32_t index, std::int64_t cores, int run_seconds,
                              bool checkpointing = false) {
  PreemptionCandidate candidate;
  candidate.task.index = index;
  candidate.load = {cores * 1'000, 0, 0};
  candidate.run_time = std::chrono::seconds(run_seconds);
  candidate.checkpointing = checkpointing;
  return candidate;
}

TEST_CASE("ChoosePreempted_TasksOfDifferentAge_FewestCoreSecondsFirst") {
  const auto chosen = ChoosePreempted(
      {Candidate(0, 4, 60), Candidate(1, 4, 5), Candidate(2, 4, 30)}, {}, {8'000, 0, 0});
  REQUIRE(chosen.size() == 2);
  CHECK(chosen[0].task.index == 1);
  CHECK(chosen[1].task.index == 2);
}

TEST_CASE("ChoosePreempted_OneTaskSavesCheckpoints_GoesFirst") {
  const auto chosen =
      ChoosePreempted({Candidate(0, 4, 5), Candidate(1, 4, 60, true)}, {}, {4'000, 0, 0});
  REQUIRE(chosen.size() == 1);
  CHECK(chosen[0].task.index == 1);
}

// Guards against small tasks that are stopped in vain, because one large task has to be stopped
// too.
TEST_CASE("ChoosePreempted_OneLargeTaskIsEnough_OthersAreLeftAlone") {
  const auto chosen = ChoosePreempted({Candidate(0, 1, 1), Candidate(1, 8, 60)}, {}, {8'000, 0, 0});
  REQUIRE(chosen.size() == 1);
  CHECK(chosen[0].task.index == 1);
}

TEST_CASE("ChoosePreempted_AllTogetherAreNotEnough_NoneIsStopped") {
  CHECK(ChoosePreempted({Candidate(0, 4, 5)}, {2'000, 0, 0}, {8'000, 0, 0}).empty());
}

}  // namespace
}  // namespace wigeonlane
