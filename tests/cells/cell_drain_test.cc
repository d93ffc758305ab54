/// Starts by a list of runners that has not been read for a while. A runner may have said meanwhile
/// that it leaves.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// One runner with capacity for all tasks.
class CellDrainTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 8'000, 0};
  static constexpr milliseconds kReactionTime{100};

  CellDrainTest() {
    Begin(1, kCapacity);
    AdvanceTime(milliseconds(300));
  }

  /// Discovery has not been read for `age`; then a job arrives.
  void SubmitWhenListIsOld(milliseconds age) {
    listings_confirmed_ = false;
    AdvanceTime(age);
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    Submit(step);
    AdvanceTime(kReactionTime);
  }
};

// Guards against DRAIN (issue 54): the age of the list of runners had no bound, so an instance that
// read it too late kept starting tasks on runners that had said they leave.
TEST_CASE_METHOD(CellDrainTest, "Start_ListOfRunnersIsTooOld_WaitsUntilItIsRead") {
  SubmitWhenListIsOld(options_.max_listing_age);
  CHECK(starts_.empty());
  listings_confirmed_ = true;
  AdvanceTime(kReactionTime);
  CHECK(starts_.size() == 1);
}

// Guards against work that stops because one read of the list fails.
TEST_CASE_METHOD(CellDrainTest, "Start_ListOfRunnersIsOlderThanUsual_DoesNotWait") {
  SubmitWhenListIsOld(options_.max_listing_age / 2);
  CHECK(starts_.size() == 1);
}

}  // namespace
}  // namespace wigeonlane
