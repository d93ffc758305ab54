/// The store does not answer an append while the runners can be reached: their work goes on.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// One runner with room for two tasks, and a job of six.
class CellStallTest : protected ScriptedCell {
 protected:
  CellStallTest() {
    Begin(1, {2'000, 2'000, 0});
    Pass(milliseconds(200));
    StepSpec step;
    step.count = 6;
    step.need = {1'000, 1'000, 0};
    Submit(step);
    Pass(milliseconds(200));
  }

  RunnerClock LastLease() const {
    RunnerClock last{0};
    for (const PollRequest& look : polls_) last = std::max(last, look.lease.value_or(last));
    return last;
  }
};

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_EndsAreSeenAndOtherTasksStart") {
  REQUIRE(starts_.size() == 2);
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  REQUIRE(starts_.size() == 4);
  EndAll();
  Pass(milliseconds(500));
  CHECK(starts_.size() == 6);
  // Nothing is forgotten that is not stored.
  CHECK(results_[RunnerName(0)].size() == 4);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_LeasesAreExtended") {
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  REQUIRE(running_[RunnerName(0)].size() == 2);
  Pass(std::chrono::seconds(6));
  CHECK(LastLease() > Clock() + CellOptions().lease / 2);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_RunnersAreAskedAndTheCellWakesSeldom") {
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  polls_.clear();
  Pass(std::chrono::seconds(2));
  CHECK(polls_.size() <= 2 * 1'000 / 100);
  CHECK(cell_->NextWake(now_) >= now_ + milliseconds(1));
}

}  // namespace
}  // namespace wigeonlane
