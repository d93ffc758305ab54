/// Runners whose machines are to be taken down, across a change of owner: what a step may miss
/// counts what the predecessor let go.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Three runners with a lasting task each, of a step that may miss one.
class CellReservationTest : protected ScriptedCell {
 protected:
  CellReservationTest() {
    Take();
    StepSpec step;
    step.count = kRunners;
    step.need = {1'000, 1'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step);
    Pass(milliseconds(4'000));
  }

  void Take() {
    Begin(kRunners, {2'000, 2'000, 0});
    Pass(milliseconds(100));
  }

  bool Release(std::size_t runner) {
    return cell_->ReserveRunner(RunnerName(runner), Time()).verdict == CallVerdict::kReady;
  }

  static constexpr std::uint32_t kRunners = 3;
};

TEST_CASE_METHOD(CellReservationTest, "Release_OfARunnerBesideOneThatWasReleased_IsRefused") {
  CHECK(Release(0));
  CHECK_FALSE(Release(1));
}

TEST_CASE_METHOD(CellReservationTest, "Release_BySuccessor_WaitsUntilThePredecessorsHaveLapsed") {
  REQUIRE(Release(0));
  Take();  // The successor does not know that a machine may go down at any time.
  CHECK_FALSE(Release(1));
  Pass(milliseconds(4'200));
  CHECK_FALSE(Release(1));
  Pass(milliseconds(200));
  CHECK(Release(1));
}

// Guards against a lasting task that started while the move of its machine was being planned: the
// machine left with it, and no other runner had room.
TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_RunnerHasALastingTask_HasNoPlace") {
  for (int round = 0; round < 20; ++round) {
    CHECK(cell_->ReserveForMove(RunnerName(0), Time()).verdict == CallVerdict::kNotEvacuable);
    Pass(milliseconds(100));
  }
  CHECK(cell_->FindRunnerById(RunnerName(0))->IsOpen(now_));
  CHECK(Release(0));  // For upkeep, from which it comes back.
}

TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_LastingTaskIsCancelled_IsReady") {
  cell_->Cancel(9, *JobId::Parse("00000000000000a1"), Time());
  Pass(milliseconds(100));
  CHECK(cell_->ReserveForMove(RunnerName(0), Time()).verdict == CallVerdict::kReady);
}

TEST_CASE_METHOD(CellReservationTest, "ReserveForMove_RunnerHasNoTask_IsReady") {
  ListRunners(kRunners + 1, {2'000, 2'000, 0});
  Pass(milliseconds(100));
  CHECK(cell_->ReserveForMove(RunnerName(kRunners), Time()).verdict == CallVerdict::kReady);
}

}  // namespace
}  // namespace wigeonlane
