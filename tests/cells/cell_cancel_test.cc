/// Cancellations of ids that the cell does not hold. Guards against UNASKED (issue 37): a
/// cancellation was acknowledged, and a submission that arrived later, here or at another owner,
/// ran.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRunners = 2;
const Resources kCapacity{8'000, 16'000, 0};
constexpr CallNumber kCancel = 7;
constexpr std::string_view kId = "00000000000000a1";
const QueueAddress kQueue{"h", "/queue/"};

class CellCancelTest : protected ScriptedCell {
 protected:
  CellCancelTest() {
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(400));
  }

  void Cancel(CallNumber call = kCancel) {
    cell_->Cancel(call, id_, kQueue, QueueService{kQueue, std::string(kService)}, Time());
    AdvanceTime(milliseconds(100));
  }

  /// A submission of the id reaches the present owner.
  void SubmitLate() {
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    QueuePolicy policy;
    policy.name = "queue";
    Submit(step, policy, kId);
    AdvanceTime(milliseconds(400));
  }

  void TakeOver() {
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(400));
  }

  CallVerdict VerdictOf(CallNumber call) const { return responses_.at(call).verdict; }
  CallResponse Show() const { return cell_->Show(id_, now_); }

  const JobId id_ = *JobId::Parse(kId);
};

TEST_CASE_METHOD(CellCancelTest, "Submit_AfterAnAcknowledgedCancel_IsAcceptedAsCancelled") {
  Cancel();
  REQUIRE(VerdictOf(kCancel) == CallVerdict::kNotFound);
  SubmitLate();
  CHECK(VerdictOf(1) == CallVerdict::kAccepted);
  CHECK(starts_.empty());
  CHECK(Show().verdict == CallVerdict::kShown);
  CHECK(Show().state == JobState::kCancelled);
}

TEST_CASE_METHOD(CellCancelTest, "Submit_AtASuccessorAfterAnAcknowledgedCancel_StartsNothing") {
  Cancel();
  REQUIRE(VerdictOf(kCancel) == CallVerdict::kNotFound);
  TakeOver();
  SubmitLate();
  CHECK(starts_.empty());
  CHECK(Show().state == JobState::kCancelled);
  TakeOver();
  CHECK(Show().verdict == CallVerdict::kShown);
  CHECK(Show().state == JobState::kCancelled);
}

// Without the record, a successor would not know of the cancellation.
TEST_CASE_METHOD(CellCancelTest, "Cancel_OfAnUnknownId_IsAcknowledgedOnlyOnceItIsStored") {
  store_answers_ = false;
  Cancel();
  CHECK_FALSE(responses_.contains(kCancel));
  AdvanceTime(CellOptions().authority);
  CHECK_FALSE(responses_.contains(kCancel));
}

// Another instance may own the cell and have accepted the job.
TEST_CASE_METHOD(CellCancelTest, "Cancel_OwnerWithoutAuthority_IsNotDecided") {
  renewals_confirmed_ = false;
  AdvanceTime(CellOptions().authority);
  Cancel();
  CHECK(VerdictOf(kCancel) == CallVerdict::kNotOwner);
}

// Guards against MIXED: a job that nobody submitted is shown.
TEST_CASE_METHOD(CellCancelTest, "Show_CancelledIdWithoutASubmission_ShowsNoJob") {
  Cancel();
  CHECK(Show().verdict == CallVerdict::kCancelledBeforeSubmit);
  CHECK_FALSE(cell_->Holds(id_, kQueue));
}

// A queue that moves leaves its cancelled ids behind, so the survey must find them.
TEST_CASE_METHOD(CellCancelTest, "HeldQueues_CancelledIdWithoutASubmission_ContainItsQueue") {
  CHECK(cell_->HeldQueues().empty());
  Cancel();
  REQUIRE(cell_->HeldQueues().size() == 1);
  CHECK(cell_->HeldQueues().front() == QueueService{kQueue, std::string(kService)});
}

// The cancellation may still be refused, so nothing may be concluded from it yet.
TEST_CASE_METHOD(CellCancelTest, "Show_CancelledIdIsNotStoredYet_IsNotDecided") {
  store_answers_ = false;
  Cancel();
  CHECK(Show().verdict == CallVerdict::kRefused);
}

TEST_CASE_METHOD(CellCancelTest, "Cancel_OfACancelledIdThatWasSubmitted_FindsTheCancelledJob") {
  Cancel();
  SubmitLate();
  Cancel(kCancel + 1);
  CHECK(VerdictOf(kCancel + 1) == CallVerdict::kCancelled);
}

TEST_CASE_METHOD(CellCancelTest, "Cancel_OfACancelledId_IsAcknowledgedWithoutAnotherAppend") {
  Cancel();
  const std::size_t appends = appends_.size();
  Cancel(kCancel + 1);
  CHECK(VerdictOf(kCancel + 1) == CallVerdict::kNotFound);
  CHECK(appends_.size() == appends);
}

TEST_CASE_METHOD(CellCancelTest, "CancelledId_RetentionIsOver_IsForgottenInTheStoreAsWell") {
  const std::size_t records = stored_.size();
  Cancel();
  REQUIRE(stored_.size() == records + 1);
  AdvanceTime(CellOptions().finished_job_retention + milliseconds(100));
  CHECK(stored_.size() == records);
  CHECK(Show().verdict == CallVerdict::kNotFound);
  CHECK(cell_->HeldQueues().empty());
}

/// At most two ids are remembered as cancelled.
class CellCancelLimitTest : protected CellCancelTest {
 protected:
  CellCancelLimitTest() {
    options_.max_cancelled_ids = 2;
    TakeOver();
  }

  void CancelNumber(CallNumber call) {
    std::string digits(JobId::kLength, '0');
    digits.back() = static_cast<char>('0' + call);
    cell_->Cancel(call, *JobId::Parse(digits), kQueue, QueueService{kQueue, std::string(kService)},
                  Time());
    AdvanceTime(milliseconds(100));
  }
};

// Guards against unbounded memory: callers may cancel any number of ids that do not exist.
TEST_CASE_METHOD(CellCancelLimitTest, "Cancel_TooManyUnknownIds_IsRefusedForNow") {
  for (const CallNumber call : {1, 2, 3}) CancelNumber(call);
  CHECK(VerdictOf(1) == CallVerdict::kNotFound);
  CHECK(VerdictOf(2) == CallVerdict::kNotFound);
  CHECK(VerdictOf(3) == CallVerdict::kRefused);
  CHECK(responses_.at(3).retry_after > milliseconds(0));
}

/// The store does not respond to the append that is in flight.
class CellCancelStallTest : protected CellCancelTest {
 protected:
  CellCancelStallTest() {
    store_answers_ = false;
    StepSpec step;
    step.need = {1'000, 1'000, 0};
    Submit(step, {}, "00000000000000f0");
    AdvanceTime(milliseconds(50));
  }
};

TEST_CASE_METHOD(CellCancelStallTest, "Cancel_StoreStalls_IsRefusedAndNotStoredLater") {
  Cancel();
  CHECK_FALSE(responses_.contains(kCancel));
  AdvanceTime(CellOptions().commit_stall_timeout);
  REQUIRE(responses_.contains(kCancel));
  CHECK(VerdictOf(kCancel) == CallVerdict::kRefused);
  store_answers_ = true;
  cell_->HandleAppendStored(Time());
  AdvanceTime(milliseconds(200));
  SubmitLate();
  CHECK(starts_.back().task.job == id_);
}

TEST_CASE_METHOD(CellCancelTest, "Submit_OfACancelledIdWhileTheStoreStalls_IsRefused") {
  Cancel();
  store_answers_ = false;
  StepSpec step;
  step.need = {1'000, 1'000, 0};
  cell_->Submit(2, *JobId::Parse("00000000000000f0"), JobRecord{{"", {step}}, {}, {}, {}, {}},
                Time());
  AdvanceTime(milliseconds(50));
  SubmitLate();
  AdvanceTime(CellOptions().commit_stall_timeout);
  CHECK(VerdictOf(1) == CallVerdict::kRefused);
  CHECK(Show().verdict == CallVerdict::kCancelledBeforeSubmit);
}

}  // namespace
}  // namespace wigeonlane
