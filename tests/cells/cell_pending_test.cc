/// The number of jobs of which no task has begun, and the state that callers are shown. Guards
/// against MIXED (issue 60): a job counted as begun once a start was sent, whether a runner
/// executed it or not.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

const Resources kCapacity{8'000, 8'000, 0};
const QueueAddress kQueue{"h", "/queue/"};

class CellPendingTest : protected ScriptedCell {
 protected:
  static constexpr std::size_t kRunners = 2;
  /// Longest time for which a count may be out of date (a bound of the platform).
  static constexpr milliseconds kMaxCountAge{2'000};
  /// Runners that have refused starts get single ones for a while.
  static constexpr milliseconds kMaxHealthPause{10'000};

  CellPendingTest() {
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(300));
  }

  void SubmitJob(std::size_t number, const JobSpec& spec) {
    JobRecord record;
    record.spec = spec;
    record.policy.name = "queue";
    record.policy.service = kService;
    record.policy.max_attempts = 3;
    record.queue = kQueue;
    cell_->Submit(1, IdOfJob(number), record, Time());
  }

  void SubmitJobs(std::size_t count, const JobSpec& spec = OneTask()) {
    for (std::size_t number = 0; number < count; ++number) SubmitJob(number, spec);
    AdvanceTime(milliseconds(100));
  }

  static JobId IdOfJob(std::size_t number) {
    std::string digits(JobId::kLength, '0');
    digits.back() = static_cast<char>('a' + number);
    return *JobId::Parse(digits);
  }

  static JobSpec OneTask() {
    JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].need = {1'000, 1'000, 0};
    return spec;
  }

  static JobSpec Gang(std::uint32_t members) {
    JobSpec spec = OneTask();
    spec.steps[0].count = members;
    spec.steps[0].gang = true;
    return spec;
  }

  std::uint32_t Pending() const { return cell_->CountPending(kQueue, "queue", now_).pending; }
  JobState StateOf(std::size_t number) const {
    return cell_->Show(IdOfJob(number), now_, kQueue).state;
  }

  /// The runner responds to the next starts in the same way.
  void RespondToStarts(std::size_t count, CommandStatus status) {
    next_start_statuses_.assign(count, status);
  }

  void TakeOver() {
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(100));
  }

  /// All runners are new incarnations, so no run and no end is left on them.
  void RestartRunners() {
    for (std::size_t runner = 0; runner < kRunners; ++runner) {
      ++earlier_incarnations_[RunnerName(runner)];
      running_[RunnerName(runner)].clear();
      results_[RunnerName(runner)].clear();
    }
    ListRunners(kRunners, kCapacity);
  }
};

constexpr std::size_t kManyStarts = 1'000;

TEST_CASE_METHOD(CellPendingTest, "Pending_RunnersRefuseStarts_CountsTheJobsAsQueued") {
  RespondToStarts(kManyStarts, CommandStatus::kUnhealthy);
  SubmitJobs(3);
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.size() >= 3);
  CHECK(Pending() == 3);
  CHECK(StateOf(0) == JobState::kQueued);
  next_start_statuses_.clear();
  AdvanceTime(kMaxHealthPause);
  CHECK(Pending() == 0);
  CHECK(StateOf(0) == JobState::kRunning);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_StartsAreLost_CountsTheJobsAsQueued") {
  RespondToStarts(kManyStarts, CommandStatus::kNoResponse);
  starts_lost_ = true;
  SubmitJobs(3);
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.size() >= 3);
  CHECK(Pending() == 3);
  CHECK(StateOf(0) == JobState::kQueued);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_StartWithoutAResponseWasExecuted_ReportEndsTheCount") {
  unresponsive_ = {RunnerName(0), RunnerName(1)};
  RespondToStarts(1, CommandStatus::kNoResponse);
  SubmitJobs(1);
  REQUIRE(starts_.size() == 1);
  CHECK(Pending() == 1);
  unresponsive_.clear();
  AdvanceTime(kMaxCountAge);
  CHECK(Pending() == 0);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_RunnersExecuteOneJobAndRefuseOthers_CountsTheOthers") {
  SubmitJobs(1);
  RespondToStarts(kManyStarts, CommandStatus::kNoCapacity);
  for (std::size_t number = 1; number < 4; ++number) SubmitJob(number, OneTask());
  AdvanceTime(milliseconds(500));
  CHECK(Pending() == 3);
  CHECK(StateOf(0) == JobState::kRunning);
  CHECK(StateOf(1) == JobState::kQueued);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_OwnerIsLostWhileRunnersRefuse_SuccessorCountsTheJobs") {
  RespondToStarts(kManyStarts, CommandStatus::kUnhealthy);
  SubmitJobs(3);
  TakeOver();
  CHECK(Pending() == 3);
  CHECK(StateOf(0) == JobState::kQueued);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_OwnerIsLostAfterTheBegin_FirstReportsEndTheCount") {
  SubmitJobs(3);
  REQUIRE(Pending() == 0);
  TakeOver();
  CHECK(Pending() == 0);
  CHECK(StateOf(0) == JobState::kRunning);
}

// The only run ends without a result that is stored, and neither a runner nor the owner remains.
TEST_CASE_METHOD(CellPendingTest, "Pending_OnlyRunEndedOtherwise_JobHasBegunForSuccessors") {
  const RunResult how = GENERATE(RunResult::kLeaseExpired, RunResult::kStopped, RunResult::kFailed);
  SubmitJobs(1);
  REQUIRE(starts_.size() == 1);
  RespondToStarts(kManyStarts, CommandStatus::kUnhealthy);
  EndOldest(IdOf(starts_.front().runner), how);
  AdvanceTime(milliseconds(200));
  CHECK(Pending() == 0);
  RestartRunners();
  TakeOver();
  CHECK(Pending() == 0);
  CHECK(StateOf(0) == JobState::kRunning);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_RunnerOfTheOnlyRunIsLost_JobHasBegunForSuccessors") {
  SubmitJobs(1);
  RespondToStarts(kManyStarts, CommandStatus::kUnhealthy);
  RestartRunners();
  AdvanceTime(milliseconds(200));
  CHECK(Pending() == 0);
  TakeOver();
  CHECK(Pending() == 0);
}

// A start writes nothing to the store.
TEST_CASE_METHOD(CellPendingTest, "Begin_RunnerExecutesTheStart_StoresNothing") {
  SubmitJobs(1);
  const std::size_t appends = appends_.size();
  AdvanceTime(milliseconds(1'000));
  CHECK(StateOf(0) == JobState::kRunning);
  CHECK(appends_.size() == appends);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_OneMemberOfAGangIsRefused_CountsTheJob") {
  reported_percent_ = 0;  // The others wait.
  next_start_statuses_ = {CommandStatus::kDone, CommandStatus::kDone, CommandStatus::kNoCapacity};
  SubmitJobs(1, Gang(3));
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 3);
  CHECK(Pending() == 1);
  CHECK(StateOf(0) == JobState::kQueued);
  EndOldest(IdOf(starts_[0].runner), RunResult::kGangIncomplete);
  EndOldest(IdOf(starts_[1].runner), RunResult::kGangIncomplete);
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 6);
  CHECK(Pending() == 0);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_GangIsAtWorkAfterATakeover_OneMemberEndsTheCount") {
  SubmitJobs(1, Gang(2));
  CHECK(Pending() == 0);
  unresponsive_.insert(IdOf(starts_[1].runner));
  TakeOver();
  CHECK(Pending() == 0);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_JobIsDueLater_CountsItUntilATaskBegins") {
  JobSpec spec = OneTask();
  spec.times = 2;
  spec.start_at = Clock() + milliseconds(1'000);
  spec.period = milliseconds(10'000);
  SubmitJobs(1, spec);
  CHECK(Pending() == 1);
  AdvanceTime(milliseconds(1'200));
  CHECK(Pending() == 0);
  EndAll();
  AdvanceTime(milliseconds(200));
  CHECK(Pending() == 0);
  CHECK(StateOf(0) == JobState::kRunning);
}

TEST_CASE_METHOD(CellPendingTest, "Pending_JobIsCancelled_IsNotCountedOnceStored") {
  RespondToStarts(kManyStarts, CommandStatus::kUnhealthy);
  SubmitJobs(2);
  REQUIRE(Pending() == 2);
  cell_->Cancel(2, IdOfJob(0), kQueue, {}, Time());
  AdvanceTime(milliseconds(100));
  CHECK(Pending() == 1);
}

}  // namespace
}  // namespace wigeonlane
