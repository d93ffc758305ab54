/// Tests of jobs with due times whose owners' clocks differ.
#include <algorithm>
#include <catch2/catch.hpp>

#include "cells/cell.h"
#include "cells/record_keys.h"
#include "core/codec.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A successor takes over a job that is due in two seconds by its clock, and a healthy runner.
class CellTimedTest {
 protected:
  static constexpr milliseconds kDueIn{2'000};

  CellTimedTest() : id_(*JobId::Parse("00000000000000c1")), cell_(0, 2, CellOptions()) {
    JobRecord record;
    StepSpec step;
    step.count = 2;
    step.need = {1'000, 1'000, 0};
    record.spec.steps = {step};
    record.spec.times = 2;
    record.spec.start_at = wall_.time_since_epoch() + kDueIn;
    record.spec.period = milliseconds(60'000);
    record.policy.service = "press";
    record.accepted = wall_.time_since_epoch() - milliseconds(5'000);
    runner_.id = "runner-0";
    runner_.service = "press";
    runner_.capacity = {32'000, 64'000, 0};
    runner_.started_at = milliseconds(1'000);
    cell_.ExtendAuthority(now_ + std::chrono::hours(1));
    cell_.Restore({{JobKey(id_), Encode(record)}}, {now_, wall_});
    cell_.SetRunners({runner_}, {now_, wall_});
    cell_.ConfirmListings(now_ + std::chrono::hours(1));
  }

  void AdvanceTime(milliseconds duration) {
    constexpr milliseconds kStep{5};
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      now_ += kStep;
      wall_ += kStep;
      cell_.Advance({now_, wall_});
      const Outbox outbox = cell_.TakeOutbox();
      if (!outbox.appends.empty()) cell_.HandleAppendStored({now_, wall_});
      for (const StartCommand& start : outbox.starts) {
        started_.push_back(start.task);
        running_.push_back({start.task, start.run, "", 100, 0});
        cell_.HandleStartResponse(start, {CommandStatus::kDone, {}}, {now_, wall_});
      }
      for (const PollRequest& poll : outbox.polls) RespondTo(poll);
    }
  }

  TaskId Task(std::uint32_t index) const { return {id_, 0, 0, index}; }

  const JobId id_;
  Instant now_{std::chrono::hours(1)};
  UnixTime wall_{milliseconds(1'000'000'000)};
  Cell cell_;
  RunnerListing runner_;
  std::vector<ReportedRun> running_;
  std::vector<ReportedResult> results_;
  std::vector<TaskId> started_;
  bool unresponsive_ = false;  ///< Whether polls of the runner fail.

 private:
  void RespondTo(const PollRequest& poll) {
    if (unresponsive_) {
      return cell_.HandlePollResponse(poll, CommandStatus::kNoResponse, {}, {now_, wall_});
    }
    std::erase_if(results_,
                  [&](const ReportedResult& result) { return result.number <= poll.forget_up_to; });
    RunnerReport report;
    report.started_at = runner_.started_at;
    report.clock = std::chrono::duration_cast<RunnerClock>(now_.time_since_epoch());
    report.running = running_;
    report.results = results_;
    cell_.HandlePollResponse(poll, CommandStatus::kDone, report, {now_, wall_});
  }
};

// Guards against a task that runs twice. A former owner's clock is ahead, and the successor drops
// the result of an occurrence that is not due yet by its own clock.
TEST_CASE_METHOD(CellTimedTest, "Result_OccurrenceNotDueByOwnClock_TaskIsNotRunAgain") {
  results_ = {{1, Task(0), 1, RunResult::kDone, ""}};
  AdvanceTime(kDueIn * 2);
  CHECK(std::count(started_.begin(), started_.end(), Task(0)) == 0);
  CHECK(std::count(started_.begin(), started_.end(), Task(1)) == 1);
}

TEST_CASE_METHOD(CellTimedTest, "Run_OccurrenceNotDueByOwnClock_IsAdopted") {
  running_ = {{Task(0), 1, "", 100, 0}};
  AdvanceTime(kDueIn * 2);
  CHECK(std::count(started_.begin(), started_.end(), Task(0)) == 0);
}

TEST_CASE_METHOD(CellTimedTest, "OtherTasks_OccurrenceNotDueByOwnClock_WaitUntilItIs") {
  results_ = {{1, Task(0), 1, RunResult::kDone, ""}};
  AdvanceTime(kDueIn - milliseconds(500));
  CHECK(started_.empty());
}

// Guards against a due task that waits again because the owner's clock was set back.
TEST_CASE_METHOD(CellTimedTest, "Task_ClockSetBackAfterItsOccurrenceCameDue_Starts") {
  unresponsive_ = true;
  AdvanceTime(kDueIn + milliseconds(500));
  REQUIRE(started_.empty());
  wall_ -= milliseconds(8'000);
  unresponsive_ = false;
  AdvanceTime(milliseconds(2'000));
  CHECK(started_.size() == 2);
}

}  // namespace
}  // namespace wigeonlane
