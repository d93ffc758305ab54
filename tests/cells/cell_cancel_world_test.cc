/// Acknowledged cancels of jobs that the owner who was asked does not know or no longer knows.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Outcome of jobs that do not fail.
constexpr std::size_t kOutcome = 20;
constexpr std::size_t kShortJob = 0;
constexpr std::size_t kLongRunningJob = 3;
/// Number of the only former owner.
constexpr std::size_t kFormerOwner = 1;
/// By then the runners have responded to the owner and are registered.
constexpr milliseconds kUntilReady{700};
/// Starts are forbidden from 3 s after the acknowledgement.
constexpr milliseconds kCancelTimePassed{3'500};
/// A submission that takes this long arrives when starts are forbidden.
constexpr milliseconds kLateSubmission{5'000};

class CellCancelWorldTest {
 protected:
  CellCancelWorldTest() { world_.Advance(kUntilReady); }

  void CheckAtEnd() {
    world_.EndFaultsAndCheck();
    INFO(world_.broken());
    CHECK(world_.broken().empty());
  }

  CellWorld world_;
};

// Guards against an owner that has lost the cell without noticing it, and answers a cancel from its
// own memory: the job that its successor accepted is unknown to it, and works on.
TEST_CASE_METHOD(CellCancelWorldTest, "Cancel_FormerOwnerIsAsked_JobIsNotStartedLater") {
  world_.TakeOver(false);
  world_.Advance(kUntilReady);
  world_.Submit(kLongRunningJob, kOutcome);
  world_.Advance(milliseconds(500));
  REQUIRE(world_.RunnersOf(0).size() == 2);
  world_.Cancel(0, kFormerOwner);
  world_.Advance(kCancelTimePassed);
  if (!world_.RunnersOf(0).empty()) world_.CrashRunner(world_.RunnersOf(0).front());
  CheckAtEnd();
}

// Guards against the same answer to a request for the state of the job.
TEST_CASE_METHOD(CellCancelWorldTest, "Show_FormerOwnerIsAsked_DoesNotDenyAnAcceptedJob") {
  world_.TakeOver(false);
  world_.Advance(kUntilReady);
  world_.Submit(kShortJob, kOutcome);
  world_.Advance(milliseconds(3'500));
  world_.Show(0, kFormerOwner);
  CheckAtEnd();
}

// Guards against an owner that forgets which unknown job was cancelled, and accepts a submission
// that was on its way meanwhile.
TEST_CASE_METHOD(CellCancelWorldTest, "Submission_ArrivesAfterTheCancel_StartsNothing") {
  world_.DelaySubmissions(1, kLateSubmission);
  world_.Submit(kShortJob, kOutcome);
  world_.Cancel(0);
  world_.Advance(milliseconds(100));
  REQUIRE(world_.CancelAcknowledged(0));
  CheckAtEnd();
}

// Guards against a memory of cancelled jobs that ends with the owner.
TEST_CASE_METHOD(CellCancelWorldTest,
                 "Submission_ArrivesAtASuccessorAfterTheCancel_StartsNothing") {
  world_.DelaySubmissions(1, kLateSubmission);
  world_.Submit(kShortJob, kOutcome);
  world_.Cancel(0);
  world_.Advance(milliseconds(100));
  REQUIRE(world_.CancelAcknowledged(0));
  world_.TakeOver(true);
  CheckAtEnd();
}

// Guards against a cancel that is acknowledged because the owner withdraws the job while an append
// hangs: the caller submits the job again, as the refusal asks for.
TEST_CASE_METHOD(CellCancelWorldTest,
                 "Cancel_StallWithdrawsTheJob_RepeatedSubmissionStartsNothing") {
  world_.StoreDown(milliseconds(1'500));
  world_.Submit(kShortJob, kOutcome);
  world_.Advance(milliseconds(50));  // Its append is in flight and hangs.
  world_.Submit(kShortJob, kOutcome);
  world_.Cancel(1);
  world_.Advance(milliseconds(1'700));
  if (!world_.CancelAcknowledged(1)) world_.Cancel(1);
  world_.Advance(kCancelTimePassed);
  REQUIRE(world_.CancelAcknowledged(1));
  world_.Repeat(1);
  CheckAtEnd();
}

}  // namespace
}  // namespace wigeonlane
