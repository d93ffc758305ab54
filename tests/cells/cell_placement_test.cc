/// Which runners a task may be placed on again.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellPlacementTest : protected ScriptedCell {
 protected:
  static constexpr Resources kRoom{32'000, 64'000, 0};
  /// A lasting task may be away for this long (the platform's rule on lost tasks).
  static constexpr milliseconds kLongestAway{9'000};

  void BeginWith(std::size_t runners) {
    Begin(runners, kRoom);
    Pass(milliseconds(200));
  }

  static StepSpec SmallStep() {
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    return step;
  }
};

// Guards against a task that stayed away for good (LOST): it had failed on the only runner that was
// left for it, and the others did not count as having no place.
TEST_CASE_METHOD(CellPlacementTest, "LastingTask_FailedWhereItsOnlyPlaceIs_StartsThereAgain") {
  BeginWith(3);
  StepSpec step = SmallStep();
  step.count = 3;
  step.long_running = true;
  step.max_per_runner = 1;
  step.max_unavailable = 1;
  Submit(step);
  Pass(milliseconds(6'000));
  REQUIRE(starts_.size() == 3);
  FailOldest(RunnerName(0));
  Pass(kLongestAway);
  CHECK(starts_.size() == 4);
}

// The same for a label that one runner has.
TEST_CASE_METHOD(CellPlacementTest, "Task_FailedWhereItsLabelIs_StartsThereAgain") {
  label_of_[RunnerName(0)] = "large";
  BeginWith(3);
  StepSpec step = SmallStep();
  step.required_label = "large";
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(step, policy);
  Pass(milliseconds(500));
  REQUIRE(starts_.size() == 1);
  FailOldest(RunnerName(0));
  Pass(kLongestAway);
  CHECK(starts_.size() == 2);
}

TEST_CASE_METHOD(CellPlacementTest, "Task_FailedOnOneOfTwoRunners_StartsOnTheOther") {
  BeginWith(2);
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(SmallStep(), policy);
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  const std::string first = IdOf(starts_.front().runner);
  FailOldest(first);
  Pass(milliseconds(2'000));
  REQUIRE(starts_.size() == 2);
  CHECK(IdOf(starts_.back().runner) != first);
}

// Guards against a pause of one task that held back the others of its step.
TEST_CASE_METHOD(CellPlacementTest, "OtherTasks_OneFailedOnTheOnlyRunnerWithRoom_StartThere") {
  Begin(1, {1'000, 1'000, 0});
  Pass(milliseconds(200));
  StepSpec step = SmallStep();
  step.count = 3;
  QueuePolicy policy;
  policy.max_attempts = 3;
  Submit(step, policy);
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  FailOldest(RunnerName(0));
  Pass(milliseconds(500));
  CHECK(starts_.size() == 2);
}

// Guards against a sound runner that was left alone (LOST): it could not be reached for a moment,
// the start there was not sent, and nothing made its owner look again.
TEST_CASE_METHOD(CellPlacementTest, "IdleRunner_OneLookFailed_IsUsedAgain") {
  BeginWith(1);
  Submit(SmallStep());
  Pass(milliseconds(100));
  REQUIRE(starts_.size() == 1);
  PollRequest look;
  look.runner = cell_->FindRunnerById(RunnerName(0))->key;
  EndAll();
  Pass(milliseconds(2'000));
  cell_->HandlePollResponse(look, CommandStatus::kNoResponse, {}, Time());
  Submit(SmallStep(), {}, "00000000000000a2");
  const std::size_t before = starts_.size();
  Pass(milliseconds(1'000));
  CHECK(starts_.size() == before + 1);
}

}  // namespace
}  // namespace wigeonlane
