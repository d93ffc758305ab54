/// Responses of an owner whose membership may have ended without its knowledge, because it cannot
/// reach the store. Guards against LOST, MIXED and UNASKED (issue 37): it decides by its memory
/// about jobs that its successor has accepted.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr CallNumber kCancel = 7;
const Resources kCapacity{8'000, 16'000, 0};

class CellFormerOwnerTest : protected ScriptedCell {
 protected:
  CellFormerOwnerTest() {
    Begin(2, kCapacity);
    AdvanceTime(milliseconds(400));
  }

  /// No renewal that was sent later than `duration` ago is confirmed.
  void LoseStoreFor(milliseconds duration) {
    renewals_confirmed_ = false;
    AdvanceTime(duration);
  }

  CallVerdict CancelInFormerService() {
    cell_->Cancel(kCancel, id_, {}, {}, Time());
    AdvanceTime(milliseconds(5));
    return responses_.at(kCancel).verdict;
  }

  const JobId id_ = *JobId::Parse("00000000000000a1");
};

TEST_CASE_METHOD(CellFormerOwnerTest, "Show_OfAnUnknownId_IsDecidedOnlyWithAMembership") {
  CHECK(cell_->Show(id_, now_).verdict == CallVerdict::kNotFound);
  LoseStoreFor(CellOptions().min_membership);
  CHECK(cell_->Show(id_, now_).verdict == CallVerdict::kNotOwner);
}

// Guards against an answer that the id is unknown after a successor has accepted its submission.
TEST_CASE_METHOD(CellFormerOwnerTest, "Show_OfACancelledId_IsDecidedOnlyWithAMembership") {
  const QueueAddress queue{"h", "/queue/"};
  cell_->Cancel(kCancel, id_, queue, QueueService{queue, std::string(kService)}, Time());
  AdvanceTime(milliseconds(100));
  CHECK(cell_->Show(id_, now_).verdict == CallVerdict::kCancelledBeforeSubmit);
  LoseStoreFor(CellOptions().min_membership);
  CHECK(cell_->Show(id_, now_).verdict == CallVerdict::kNotOwner);
}

TEST_CASE_METHOD(CellFormerOwnerTest, "Cancel_OfAnUnknownId_IsDecidedOnlyWithAMembership") {
  CHECK(CancelInFormerService() == CallVerdict::kNotFound);
  LoseStoreFor(CellOptions().min_membership);
  CHECK(CancelInFormerService() == CallVerdict::kNotOwner);
}

TEST_CASE_METHOD(CellFormerOwnerTest, "CountPending_AuthorityHasEnded_IsNotAnswered") {
  CHECK(cell_->CountPending({"h", "/queue/"}, "queue", now_).verdict == CallVerdict::kCounted);
  LoseStoreFor(CellOptions().authority);
  CHECK(cell_->CountPending({"h", "/queue/"}, "queue", now_).verdict == CallVerdict::kRefused);
}

// Guards against AVAIL: a machine goes down under a long-running task that the successor started.
TEST_CASE_METHOD(CellFormerOwnerTest,
                 "ReserveRunner_OfAnIdleRunner_IsReleasedOnlyWithAMembership") {
  CHECK(cell_->ReserveRunner(RunnerName(0), Time()).verdict == CallVerdict::kReady);
  LoseStoreFor(CellOptions().min_membership);
  CHECK(cell_->ReserveRunner(RunnerName(1), Time()).verdict == CallVerdict::kNotReady);
}

}  // namespace
}  // namespace wigeonlane
