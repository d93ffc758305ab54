/// Runs continue and new tasks start while the store does not respond to an append.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// One runner with capacity for two tasks, and a job of six tasks.
class CellStallTest : protected ScriptedCell {
 protected:
  CellStallTest() {
    Begin(1, {2'000, 2'000, 0});
    AdvanceTime(milliseconds(200));
    StepSpec step;
    step.count = 6;
    step.need = {1'000, 1'000, 0};
    Submit(step);
    AdvanceTime(milliseconds(200));
  }

  RunnerClock LastLease() const {
    RunnerClock last{0};
    for (const PollRequest& poll : polls_) last = std::max(last, poll.lease.value_or(last));
    return last;
  }
};

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotRespond_ResultsAreHandledAndOtherTasksStart") {
  REQUIRE(starts_.size() == 2);
  store_answers_ = false;
  EndAll();
  AdvanceTime(milliseconds(500));
  REQUIRE(starts_.size() == 4);
  EndAll();
  AdvanceTime(milliseconds(500));
  CHECK(starts_.size() == 6);
  // The runner keeps results that are not stored.
  CHECK(results_[RunnerName(0)].size() == 4);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotRespond_LeasesAreExtended") {
  store_answers_ = false;
  EndAll();
  AdvanceTime(milliseconds(500));
  REQUIRE(running_[RunnerName(0)].size() == 2);
  AdvanceTime(std::chrono::seconds(6));
  CHECK(LastLease() > Clock() + CellOptions().lease / 2);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotRespond_PollAndWakeRatesStayLow") {
  store_answers_ = false;
  EndAll();
  AdvanceTime(milliseconds(500));
  polls_.clear();
  AdvanceTime(std::chrono::seconds(2));
  CHECK(polls_.size() <= 2 * 1'000 / 100);
  CHECK(cell_->NextWake(now_) >= now_ + milliseconds(1));
}

}  // namespace
}  // namespace wigeonlane
