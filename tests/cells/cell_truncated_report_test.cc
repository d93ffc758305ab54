/// Guards against TWICE (review/1): more runs end than a runner lists in one report, and the owner
/// takes those that are not listed for lost and starts their tasks again.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// One runner on which all tasks of a job run. A report lists fewer results than there are tasks.
class CellTruncatedReportTest : protected ScriptedCell {
 protected:
  static constexpr std::size_t kTasks = 12;
  static constexpr std::size_t kResultsInFullReports = 10;
  static constexpr std::string_view kJob = "00000000000000a1";

  CellTruncatedReportTest() {
    max_listed_results_ = 5;
    TakeOver();
    AdvanceTime(milliseconds(100));
    StepSpec step;
    step.count = kTasks;
    step.need = {1'000, 1, 0};
    Submit(step, {}, kJob);
    AdvanceTime(milliseconds(300));
  }

  void TakeOver() { Begin(1, {32'000, 32'000, 0}); }

  JobState State() const { return cell_->Show(*JobId::Parse(kJob), now_).state; }

  /// The number of the newest result that a poll acknowledged.
  std::uint64_t Acknowledged() const { return polls_.back().forget_up_to; }
};

TEST_CASE_METHOD(CellTruncatedReportTest, "Report_LacksResults_NoTaskIsStartedAgain") {
  REQUIRE(starts_.size() == kTasks);
  EndAll();
  AdvanceTime(milliseconds(1'000));
  CHECK(starts_.size() == kTasks);
  CHECK(State() == JobState::kCompleted);
}

TEST_CASE_METHOD(CellTruncatedReportTest, "Report_LacksResults_RestIsRequestedAtOnce") {
  EndAll();
  while (results_[RunnerName(0)].size() == kTasks) AdvanceTime(milliseconds(5));
  AdvanceTime(milliseconds(20));
  CHECK(Acknowledged() == kResultsInFullReports);
}

TEST_CASE_METHOD(CellTruncatedReportTest,
                 "Report_LacksResultsAndStoreIsAway_NoTaskIsStartedAgain") {
  EndAll();
  store_answers_ = false;
  AdvanceTime(milliseconds(2'000));
  CHECK(starts_.size() == kTasks);
  CHECK(Acknowledged() == 0);
}

// The successor knows of no run, so it must not place a task before it has read all results.
TEST_CASE_METHOD(CellTruncatedReportTest, "Takeover_ReportLacksResults_NoTaskIsStartedAgain") {
  EndAll();
  TakeOver();
  AdvanceTime(milliseconds(1'000));
  CHECK(starts_.size() == kTasks);
  CHECK(cell_->reconciled());
  CHECK(State() == JobState::kCompleted);
}

TEST_CASE_METHOD(CellTruncatedReportTest,
                 "Takeover_ReportLacksResultsAndOwnersFailInBetween_NoTaskIsStartedAgain") {
  EndAll();
  store_answers_ = false;
  for (int owner = 0; owner < 3; ++owner) {
    TakeOver();
    AdvanceTime(milliseconds(300));
    CHECK_FALSE(cell_->reconciled());
  }
  store_answers_ = true;
  TakeOver();
  AdvanceTime(milliseconds(1'000));
  CHECK(starts_.size() == kTasks);
  CHECK(State() == JobState::kCompleted);
}

}  // namespace
}  // namespace wigeonlane
