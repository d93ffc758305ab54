/// Regression tests: sequences that once violated a guarantee, found by fuzzing or by users.
#include "tests/cells/cell_world.h"

#include <catch2/catch.hpp>

#include "core/logging.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellWorldTest {
 protected:
  CellWorld world_;
};

TEST_CASE_METHOD(CellWorldTest, "Start_ReachesNextIncarnationOfItsRunner_RunsOnce") {
  world_.Advance(milliseconds(1));
  world_.CrashRunner(0);
  world_.Submit(0, 4);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Runner_CutOffWhileItWorks_KeepsItsTasksUntilItsLeaseEnds") {
  world_.Submit(19, 4);
  world_.Advance(milliseconds(21));
  world_.CutRunner(0, milliseconds(4'950));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Start_ExecutedLateInNextIncarnation_RunsNothingTwice") {
  world_.Submit(19, 49);
  world_.DrainRunner(0);
  world_.Advance(milliseconds(300));
  world_.Submit(16, 0);
  world_.DelayCommands(3);
  world_.Advance(milliseconds(1'900));
  world_.CrashRunner(3);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Result_AcknowledgedBeforeItsRunnerCrashed_TaskIsNotRunAgain") {
  world_.Submit(46, 37);
  world_.CutRunner(0, milliseconds(600));
  world_.Submit(4, 51);
  world_.Advance(milliseconds(1'200));
  world_.CrashRunner(29);
  world_.StoreDown(milliseconds(400));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Start_DelayedWhileItsRunnerIsReplaced_RunsNothingTwice") {
  world_.CrashRunner(0);
  world_.Submit(0, 4);
  world_.Advance(milliseconds(1));
  world_.CutRunner(14, milliseconds(4'950));
  world_.DelayCommands(1);
  world_.Advance(milliseconds(5'100));
  world_.CrashRunner(29);
  world_.Advance(milliseconds(4'100));
  world_.Freeze(milliseconds(1'400));
  world_.StoreDown(milliseconds(2'000));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Takeover_RunnerRestartedJustBefore_WaitsForTheNewIncarnation") {
  world_.Advance(milliseconds(30));
  world_.Submit(0, 0);
  world_.RestartRunner(0);
  world_.Advance(milliseconds(10));
  world_.TakeOver(true);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Runner_CutOffSoonAfterItsRestart_RunsNothingTwice") {
  world_.Submit(0, 0);
  world_.Submit(0, 0);
  world_.Advance(milliseconds(4'550));
  world_.Submit(38, 38);
  world_.Submit(39, 4);
  world_.RestartRunner(0);
  world_.Advance(milliseconds(800));
  world_.CutRunner(0, milliseconds(4'050));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Start_DelayedWhileItsRunnerRestartsTwice_RunsNothingTwice") {
  world_.Advance(milliseconds(3'250));
  world_.Submit(38, 0);
  world_.Advance(milliseconds(5));
  world_.Submit(0, 4);
  world_.RestartRunner(0);
  world_.DelayCommands(1);
  world_.Advance(milliseconds(2'400));
  world_.RestartRunner(0);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Runner_RestartedThenCutOff_ItsFinishedTasksAreNotRunAgain") {
  world_.Advance(milliseconds(3'350));
  world_.RestartRunner(0);
  world_.Submit(0, 4);
  world_.Advance(milliseconds(6));
  world_.StoreDown(milliseconds(5'400));
  world_.CutRunner(0, milliseconds(4'950));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Start_DelayedForTwelveSeconds_IsForbiddenOnTheNextIncarnation") {
  world_.DelayCommands(1);
  world_.Submit(0, 4);
  world_.Advance(milliseconds(10'050));
  world_.Submit(0, 0);
  world_.RestartRunner(0);
  world_.Advance(milliseconds(4));
  world_.StoreDown(milliseconds(1'500));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Runner_RestartedWhileCutOff_RunsNothingTwice") {
  world_.Submit(46, 7);
  world_.Advance(milliseconds(1'500));
  world_.Submit(0, 4);
  world_.StoreDown(milliseconds(1'100));
  world_.Advance(milliseconds(150));
  world_.DelayCommands(1);
  world_.CutRunner(0, milliseconds(1'050));
  world_.Advance(milliseconds(2'750));
  world_.RestartRunner(0);
  world_.CutRunner(0, milliseconds(3'150));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest,
                 "Stop_DelayedOnTheNextIncarnation_TaskStaysUnplacedUntilItIsForbidden") {
  world_.Submit(17, 4);
  world_.Advance(milliseconds(50));
  world_.DelayCommands(1);
  world_.LoseAppendResponses(1);
  world_.Submit(0, 4);
  world_.Advance(milliseconds(8'500));
  world_.Freeze(milliseconds(1'100));
  world_.RestartRunner(0);
  world_.DelayCommands(2);
  world_.Advance(milliseconds(1'700));
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Job_LongRunningTasksOfOthersKeepFailing_Ends") {
  world_.Submit(3, 0);
  world_.Submit(0, 0);
  world_.Advance(milliseconds(400));
  world_.Submit(63, 0);
  world_.Submit(9, 0);
  world_.Advance(milliseconds(300));
  world_.Submit(0, 6);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Handover_RunnerCrashedBefore_ItsTasksStartOnceItsLeaseHasEnded") {
  world_.Submit(3, 20);  // Two long-running tasks.
  world_.Advance(milliseconds(500));
  world_.CrashRunner(0);
  world_.CrashRunner(1);
  world_.CrashRunner(2);  // One of its tasks ran on one of the first three.
  world_.Advance(milliseconds(2'800));
  world_.HandOver();
  // A lease of 5 s on the slowest clock ends 5.3 s after the crash; a poll and an append follow.
  world_.Advance(milliseconds(2'900));
  REQUIRE(world_.cell() != nullptr);
  CHECK(world_.cell()->reconciled());
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

TEST_CASE_METHOD(CellWorldTest, "Role_PredecessorHandedOver_IsFreeOnceItsRecordIsRemoved") {
  world_.Submit(0, 20);
  world_.Advance(milliseconds(300));
  CHECK(world_.cell()->role_predecessor().record_cleared);
  CHECK_FALSE(world_.cell()->role_predecessor().actions_end);
  world_.HandOver();
  world_.Advance(milliseconds(200));
  CHECK(world_.cell()->role_predecessor().record_cleared);
  CHECK(world_.cell()->role_predecessor().actions_end);
  world_.TakeOver(true);  // The record was removed, and this owner left no new one.
  world_.Advance(milliseconds(200));
  CHECK(world_.cell()->role_predecessor().record_cleared);
  CHECK_FALSE(world_.cell()->role_predecessor().actions_end);
}

TEST_CASE_METHOD(CellWorldTest, "Role_RecordOfPredecessorIsNotRemovedYet_IsNotFree") {
  world_.Advance(milliseconds(300));
  const Cell* former = world_.cell();
  world_.HandOver();
  while (world_.cell() == nullptr || world_.cell() == former) world_.Advance(milliseconds(1));
  CHECK(world_.cell()->role_predecessor().actions_end);
  CHECK_FALSE(world_.cell()->role_predecessor().record_cleared);
}

TEST_CASE_METHOD(CellWorldTest, "Job_AllRunnersReservedAndNothingRuns_StartsOnceTheyAreFree") {
  world_.Advance(milliseconds(700));
  for (std::size_t i = 0; i < 4; ++i) world_.ReserveRunner(i);
  world_.Submit(0, 20);
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

// Guards against runners that are never used again (LOST): they are cut off until their leases have
// ended but stay listed, so that discovery reports no change.
TEST_CASE_METHOD(CellWorldTest, "Runners_CutLongerThanTheirLeasesAndListed_AreUsedAgain") {
  constexpr std::size_t kRunners = 4;
  world_.Advance(milliseconds(500));
  for (std::size_t job = 0; job < 6; ++job) world_.Submit(2, 16 + job);
  world_.Advance(milliseconds(150));
  for (std::size_t runner = 0; runner < kRunners; ++runner) {
    world_.CutRunner(runner, milliseconds(7'000));
  }
  world_.Advance(milliseconds(9'000));
  for (std::size_t runner = 0; runner < kRunners; ++runner) {
    CHECK(world_.cell()->FindRunnerById("runner-" + std::to_string(runner)) != nullptr);
  }
  world_.EndFaultsAndCheck();
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

}  // namespace
}  // namespace wigeonlane
