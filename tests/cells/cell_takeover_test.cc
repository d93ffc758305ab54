/// How long a takeover keeps work away from sound runners.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A lasting task may be away for this long (the platform's rule on lost tasks: 6 s, and 3 s more).
constexpr milliseconds kLongestAway{9'000};
/// From the last renewal of an owner that fell silent until its successor begins: the time to live
/// of its membership (1 s), the period of the successor's renewals (0.25 s), and calls to the
/// store.
constexpr milliseconds kTakeover{1'600};
/// Lasting: two tasks on runners of their own.
constexpr std::size_t kLastingShape = 3;
constexpr std::size_t kSound = 16;  ///< A fate without failures.

class CellTakeoverTest {
 protected:
  /// Returns a runner that hosts one of the two tasks of the only job.
  std::size_t StartLastingJob() {
    world_.Submit(kLastingShape, kSound);
    world_.Advance(milliseconds(2'000));
    REQUIRE(world_.RunnersOf(0).size() == 2);
    return world_.RunnersOf(0).front();
  }

  CellWorld world_;
};

// Guards against inc1 (LOST): owner and runner fell silent together, and the successor waited for
// the runner longer than a lasting task may be away.
TEST_CASE_METHOD(CellTakeoverTest, "LastingTask_OwnerAndRunnerSilentTogether_RunsAgainInTime") {
  const std::size_t lost = StartLastingJob();
  world_.KillOwner();
  world_.CrashRunner(lost);
  world_.Advance(kTakeover);
  world_.TakeOver(true);
  world_.Advance(kLongestAway - kTakeover);
  CHECK(world_.RunnersOf(0).size() == 2);
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

/// An owner that lost the store goes on, and it alone reaches the runners of a job, so that nothing
/// tells it of its successor. That one begins at once, as after the store dealt all cells anew.
TEST_CASE("Lease_OwnerWithoutStoreReachesRunnersAlone_EndsBeforeSuccessorStartsAgain") {
  constexpr milliseconds kStep{100};
  for (milliseconds cut_after{0}; cut_after < milliseconds(2'000); cut_after += kStep) {
    CellWorld world;
    world.Submit(kLastingShape, kSound);
    world.Advance(milliseconds(2'000) + cut_after);
    REQUIRE(world.RunnersOf(0).size() == 2);
    for (const std::size_t host : world.RunnersOf(0)) {
      world.CutRunnerFromSuccessors(host, milliseconds(15'000));
    }
    world.TakeOver(false);
    world.Advance(milliseconds(15'000));
    INFO(cut_after.count() << " ms: " << world.broken());
    CHECK(world.broken().empty());
    CHECK(world.RunnersOf(0).size() == 2);
  }
}

/// A job whose tasks fill a runner each, and one more of them than there are runners for it. A
/// runner falls silent as the cell changes hands; after that all runs end on the others.
class SilentRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kRoom{8'000, 8'000, 0};
  static constexpr milliseconds kMoment{500};

  void TakeOverWithSilentRunner(const std::string& its_service, std::uint32_t tasks) {
    service_of_[RunnerName(1)] = its_service;
    StepSpec step;
    step.count = tasks;
    step.need = kRoom;
    Begin(2, kRoom);
    Pass(kMoment);
    Submit(step);
    Pass(kMoment);
    REQUIRE(starts_.size() == tasks - 1);
    starts_.clear();
    unresponsive_.insert(RunnerName(1));
    Begin(2, kRoom);
    Pass(kMoment);
    EndAll();
    Pass(kMoment);
  }
};

// Guards against inc1 (SHORT): one silent runner held back the jobs of all services of its cell.
TEST_CASE_METHOD(SilentRunnerTest, "InheritedJob_SilentRunnerOfAnotherService_GoesOn") {
  TakeOverWithSilentRunner("fold", 2);
  CHECK(starts_.size() == 1);
}

TEST_CASE_METHOD(SilentRunnerTest, "InheritedJob_SilentRunnerOfItsService_WaitsForItsLeases") {
  TakeOverWithSilentRunner(std::string(kService), 3);
  CHECK(starts_.empty());
  Pass(CellOptions().max_lease_after_renewal);
  CHECK(starts_.size() == 1);
}

// Guards against waves and moves that stood still after a takeover: one silent runner kept all
// others from being taken for upkeep.
TEST_CASE_METHOD(SilentRunnerTest, "ReserveRunner_AnotherOfItsServiceIsSilent_IsReady") {
  TakeOverWithSilentRunner(std::string(kService), 3);
  CHECK(cell_->ReserveRunner(RunnerName(0), Time()).verdict == CallVerdict::kReady);
}

TEST_CASE_METHOD(SilentRunnerTest, "ReserveRunner_SiblingMayBeOnASilentRunner_IsNotReady") {
  StepSpec step;
  step.count = 2;
  step.need = kRoom;
  step.long_running = true;
  step.max_unavailable = 1;
  Begin(2, kRoom);
  Pass(kMoment);
  Submit(step);
  Pass(kMoment);
  REQUIRE(starts_.size() == 2);
  unresponsive_.insert(RunnerName(1));
  Begin(2, kRoom);
  Pass(milliseconds(3'000));
  CHECK(cell_->ReserveRunner(RunnerName(0), Time()).verdict == CallVerdict::kNotReady);
}

}  // namespace
}  // namespace wigeonlane
