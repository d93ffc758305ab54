/// Guards against TWICE and BUDGET (review/6): a result is acknowledged although the record that it
/// rests on is not stored, so the runner forgets it and a successor never learns of it.
#include <catch2/catch.hpp>
#include <optional>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Two runners, each with capacity for one task.
class CellResultDurabilityTest : protected ScriptedCell {
 protected:
  static constexpr std::int64_t kCores = 8'000;
  static constexpr std::string_view kJob = "00000000000000a1";
  static constexpr std::string_view kOtherJob = "00000000000000a2";
  static constexpr milliseconds kSettled{300};

  CellResultDurabilityTest() { TakeOver(); }

  void TakeOver() {
    Begin(2, {kCores, 64'000, 0});
    AdvanceTime(kSettled);
  }

  static StepSpec Gang() {
    StepSpec step;
    step.count = 2;
    step.need = {kCores, 1'000, 0};
    step.gang = true;
    return step;
  }

  static StepSpec SingleTask() {
    StepSpec step;
    step.need = {kCores, 1'000, 0};
    return step;
  }

  void SubmitSpec(JobSpec spec, std::string_view id) {
    JobRecord record;
    record.spec = std::move(spec);
    record.policy.service = kService;
    record.policy.max_attempts = 2;
    cell_->Submit(1, *JobId::Parse(id), record, Time());
  }

  void StartGang() {
    JobSpec spec;
    spec.steps = {Gang()};
    SubmitSpec(std::move(spec), kJob);
    AdvanceTime(kSettled);
    REQUIRE(starts_.size() == 2);
    polls_.clear();
  }

  /// The gang ends; the store does not answer the append that says so before the second runner has
  /// reported its end.
  void EndGangWhileStoreIsSilent() {
    store_answers_ = false;
    EndOldest(RunnerName(0));
    AdvanceTime(milliseconds(50));
    EndOldest(RunnerName(1));
    AdvanceTime(kSettled);
  }

  /// The newest result that a poll of the runner acknowledged.
  std::uint64_t Acknowledged(const std::string& runner) const {
    std::uint64_t acknowledged = 0;
    for (const PollRequest& poll : polls_) {
      const Runner* polled = std::as_const(*cell_).FindRunner(poll.runner);
      if (polled == nullptr || polled->listing.id != runner) continue;
      acknowledged = std::max(acknowledged, poll.forget_up_to);
    }
    return acknowledged;
  }

  /// Requires that the result of the second runner is acknowledged as soon as the open append is
  /// stored, and not before.
  void CheckAcknowledgedOnceStored() {
    CHECK(Acknowledged(RunnerName(1)) == 0);
    StoreOpenAppend();
    AdvanceTime(kSettled);
    CHECK(Acknowledged(RunnerName(1)) == 1);
  }

  JobState State() const { return cell_->Show(*JobId::Parse(kJob), now_).state; }
};

TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_OfSecondGangMemberWhileAppendIsInFlight_IsAcknowledgedOnceStored") {
  StartGang();
  EndGangWhileStoreIsSilent();
  CHECK(Acknowledged(RunnerName(0)) == 0);
  CheckAcknowledgedOnceStored();
  CHECK(Acknowledged(RunnerName(0)) == 1);
}

TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Takeover_GangEndedAndOneRunnerCrashedBeforeItWasStored_GangIsNotStartedAgain") {
  StartGang();
  EndGangWhileStoreIsSilent();
  ++earlier_incarnations_[RunnerName(0)];
  results_[RunnerName(0)].clear();
  last_end_[RunnerName(0)] = 0;
  store_answers_ = true;
  TakeOver();
  AdvanceTime(milliseconds(8'000));
  CHECK(starts_.size() == 2);
  CHECK(State() == JobState::kCompleted);
}

// The record has left the set of changed jobs, but its batch has not begun.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_OfSecondGangMemberWhileRecordWaitsForItsBatch_IsAcknowledgedOnceStored") {
  options_.min_commit_interval = milliseconds(1'000);
  TakeOver();
  AdvanceTime(options_.min_commit_interval);
  JobSpec spec;
  spec.steps = {Gang()};
  SubmitSpec(spec, kJob);
  AdvanceTime(options_.min_commit_interval + kSettled);
  REQUIRE(starts_.size() == 2);
  polls_.clear();
  spec.steps = {SingleTask()};
  SubmitSpec(std::move(spec), kOtherJob);
  AdvanceTime(milliseconds(50));  // The next batch begins after the interval.
  const std::size_t appends = appends_.size();
  EndOldest(RunnerName(0));
  AdvanceTime(milliseconds(50));
  EndOldest(RunnerName(1));
  AdvanceTime(milliseconds(250));
  REQUIRE(appends_.size() == appends);
  CHECK(Acknowledged(RunnerName(1)) == 0);
  AdvanceTime(options_.min_commit_interval);
  CHECK(Acknowledged(RunnerName(1)) == 1);
}

// A complete occurrence of a timed job keeps no tasks, so the second result belongs to none.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_OfTimedGangWhileAppendIsInFlight_IsAcknowledgedOnceStored") {
  JobSpec spec;
  spec.steps = {Gang()};
  spec.times = 2;
  spec.start_at = Clock();
  spec.period = std::chrono::hours(1);
  SubmitSpec(std::move(spec), kJob);
  AdvanceTime(kSettled);
  REQUIRE(starts_.size() == 2);
  polls_.clear();
  EndGangWhileStoreIsSilent();
  CheckAcknowledgedOnceStored();
}

// The failure does not count because the task is done, which is not stored yet.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_FailureAfterUnstoredSuccess_IsAcknowledgedOnceStored") {
  StartGang();
  store_answers_ = false;
  EndOldest(RunnerName(0));
  AdvanceTime(milliseconds(50));
  FailOldest(RunnerName(1));
  AdvanceTime(kSettled);
  CheckAcknowledgedOnceStored();
}

// Its job is being cancelled, and the record of that is in flight.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_OfJobWhoseCancelIsInFlight_IsAcknowledgedOnceStored") {
  StartGang();
  store_answers_ = false;
  cell_->Cancel(2, *JobId::Parse(kJob), {}, {}, Time());
  AdvanceTime(milliseconds(50));
  EndOldest(RunnerName(1), RunResult::kStopped);
  AdvanceTime(kSettled);
  CheckAcknowledgedOnceStored();
}

// Guards against results that stay on the list of a runner: they wait for a batch that no record
// causes.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_ChangesNothingWhileAppendIsInFlight_NeedsNoFurtherBatch") {
  StartGang();
  store_answers_ = false;
  const ReportedResult done = EndOldest(RunnerName(0));
  AdvanceTime(milliseconds(50));
  results_[RunnerName(0)].push_back(
      {++last_end_[RunnerName(0)], done.task, done.run + 1, RunResult::kStopped, ""});
  AdvanceTime(kSettled);
  StoreOpenAppend();
  AdvanceTime(milliseconds(1'000));
  CHECK(cell_->flushed());
  CHECK(Acknowledged(RunnerName(0)) == 2);
}

TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_ChangesNothingOnIdleCell_IsAcknowledgedWithoutAppend") {
  StartGang();
  EndOldest(RunnerName(0), RunResult::kGangBroken);  // Stores that the job has begun.
  AdvanceTime(milliseconds(60));
  const std::size_t appends = appends_.size();
  EndOldest(RunnerName(1), RunResult::kGangBroken);
  AdvanceTime(milliseconds(60));
  CHECK(Acknowledged(RunnerName(1)) == 1);
  CHECK(appends_.size() == appends);
}

// The batch that the result waited for is never made, because its only record is withdrawn.
TEST_CASE_METHOD(CellResultDurabilityTest,
                 "Result_RecordOfItsBatchIsWithdrawn_IsAcknowledgedOnceTheRestIsStored") {
  StartGang();
  store_answers_ = false;
  EndOldest(RunnerName(0));
  AdvanceTime(milliseconds(50));
  JobSpec spec;
  spec.steps = {SingleTask()};
  SubmitSpec(std::move(spec), kOtherJob);
  EndOldest(RunnerName(1), RunResult::kGangBroken);
  AdvanceTime(milliseconds(1'000));
  CHECK(cell_->Show(*JobId::Parse(kOtherJob), now_).verdict == CallVerdict::kNotFound);
  CHECK(Acknowledged(RunnerName(1)) == 0);
  StoreOpenAppend();
  AdvanceTime(milliseconds(1'000));
  CHECK(Acknowledged(RunnerName(1)) == 1);
}

}  // namespace
}  // namespace wigeonlane
