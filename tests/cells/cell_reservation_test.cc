/// Tests of reservations across a change of owner: a step's limit of unavailable tasks includes the
/// machines that the predecessor released.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Three runners with a long-running task each, of a step of which one task may be unavailable.
class CellReservationTest : protected ScriptedCell {
 protected:
  CellReservationTest() {
    StartOwner();
    StepSpec step;
    step.count = kRunners;
    step.need = {1'000, 1'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step);
    AdvanceTime(milliseconds(4'000));
  }

  void StartOwner() {
    Begin(kRunners, {2'000, 2'000, 0});
    AdvanceTime(milliseconds(100));
  }

  bool Release(std::size_t runner) {
    return cell_->ReserveRunner(RunnerName(runner), Time()).verdict == CallVerdict::kReady;
  }

  static constexpr std::uint32_t kRunners = 3;
};

TEST_CASE_METHOD(CellReservationTest, "Release_AnotherRunnerWasReleased_IsRefused") {
  CHECK(Release(0));
  CHECK_FALSE(Release(1));
}

TEST_CASE_METHOD(CellReservationTest,
                 "Release_BySuccessor_WaitsUntilThePredecessorsReleasesHaveEnded") {
  REQUIRE(Release(0));
  StartOwner();  // The successor does not know that the first machine may go down at any time.
  CHECK_FALSE(Release(1));
  AdvanceTime(milliseconds(4'200));
  CHECK_FALSE(Release(1));
  AdvanceTime(milliseconds(200));
  CHECK(Release(1));
}

// Guards against the move of a machine on which a long-running task started while the move was
// being planned: no other runner has capacity for the task.
TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_RunnerHasALongRunningTask_IsNotEvacuable") {
  for (int round = 0; round < 20; ++round) {
    CHECK(cell_->ReserveForMove(RunnerName(0), Time()).verdict == CallVerdict::kNotEvacuable);
    AdvanceTime(milliseconds(100));
  }
  CHECK(cell_->FindRunnerById(RunnerName(0))->IsOpen(now_));
  CHECK(Release(0));  // Maintenance is allowed, because the machine comes back.
}

TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_LongRunningTaskIsCancelled_IsReady") {
  cell_->Cancel(9, *JobId::Parse("00000000000000a1"), {}, {}, Time());
  AdvanceTime(milliseconds(100));
  CHECK(cell_->ReserveForMove(RunnerName(0), Time()).verdict == CallVerdict::kReady);
}

TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_RunnerHasNoTask_IsReady") {
  ListRunners(kRunners + 1, {2'000, 2'000, 0});
  AdvanceTime(milliseconds(100));
  CHECK(cell_->ReserveForMove(RunnerName(kRunners), Time()).verdict == CallVerdict::kReady);
}

}  // namespace
}  // namespace wigeonlane
