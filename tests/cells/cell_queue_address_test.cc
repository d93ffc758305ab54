/// Guards against LOST and TWICE (review/10): a cell knows its jobs by the name of their queue,
/// which may change, and not by the address that callers use.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "cells/record_keys.h"
#include "core/codec.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kId = "00000000000000a1";
constexpr std::string_view kCancelledId = "00000000000000a2";
constexpr CallNumber kCall = 7;
const QueueAddress kQueue{"h", "/queue/"};
const QueueAddress kOther{"h", "/other/"};

/// A job as earlier versions stored it.
struct UnaddressedJob {
  JobSpec spec;
  QueuePolicy policy;
  milliseconds accepted{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted);
  }
};

/// A cancelled id as earlier versions stored it.
struct UnaddressedCancelledId {
  std::string queue_name;
  std::string service;
  bool submitted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue_name, service, submitted);
  }
};

/// A cell without runners, so that its jobs stay pending.
class CellQueueAddressTest : protected ScriptedCell {
 protected:
  CellQueueAddressTest() { TakeOver(); }

  void TakeOver() {
    Begin(0, {});
    AdvanceTime(milliseconds(50));
  }

  static JobRecord Record(const QueueAddress& queue) {
    JobRecord record;
    record.spec.steps.resize(1);
    record.policy.name = "queue";
    record.policy.service = kService;
    record.queue = queue;
    return record;
  }

  CallVerdict SubmitTo(const QueueAddress& queue, std::string_view id = kId) {
    cell_->Submit(kCall, *JobId::Parse(id), Record(queue), Time());
    AdvanceTime(milliseconds(50));
    return responses_.at(kCall).verdict;
  }

  CallVerdict CancelAt(const QueueAddress& queue, std::string_view id = kId) {
    cell_->Cancel(kCall, *JobId::Parse(id), queue, QueueService{queue, std::string(kService)},
                  Time());
    AdvanceTime(milliseconds(50));
    return responses_.at(kCall).verdict;
  }

  CallVerdict ShowAt(const QueueAddress& queue, std::string_view id = kId) const {
    return cell_->Show(*JobId::Parse(id), now_, queue).verdict;
  }

  std::uint32_t Pending(const QueueAddress& queue, const std::string& name) const {
    return cell_->CountPending(queue, name, now_).pending;
  }

  static std::vector<QueueService> Queues(const QueueAddress& queue) {
    return {{queue, std::string(kService)}};
  }
};

TEST_CASE_METHOD(CellQueueAddressTest, "Job_QueueIsRenamed_IsCountedAndHeldByItsAddress") {
  REQUIRE(SubmitTo(kQueue) == CallVerdict::kAccepted);
  TakeOver();
  CHECK(cell_->HeldQueues() == Queues(kQueue));
  CHECK(Pending(kQueue, "renamed") == 1);
  CHECK(Pending(kOther, "queue") == 0);
  CHECK(SubmitTo(kQueue) == CallVerdict::kAccepted);
  CHECK(cell_->job_count() == 1);
}

// Callers choose ids, so those of another queue may have chosen the same one.
TEST_CASE_METHOD(CellQueueAddressTest, "Call_IdIsHeldForAnotherQueue_LeavesThatJobAlone") {
  REQUIRE(SubmitTo(kQueue) == CallVerdict::kAccepted);
  CHECK(ShowAt(kOther) == CallVerdict::kNotFound);
  CHECK(CancelAt(kOther) == CallVerdict::kNotFound);
  CHECK(SubmitTo(kOther) == CallVerdict::kIdInUse);
  CHECK(ShowAt(kQueue) == CallVerdict::kShown);
  CHECK(cell_->Show(*JobId::Parse(kId), now_, kQueue).state == JobState::kQueued);
}

TEST_CASE_METHOD(CellQueueAddressTest, "Submit_IdIsCancelledAtAnotherQueue_IsNotAccepted") {
  REQUIRE(CancelAt(kQueue) == CallVerdict::kNotFound);
  CHECK(SubmitTo(kOther) == CallVerdict::kIdInUse);
  CHECK(SubmitTo(kQueue) == CallVerdict::kAccepted);
  CHECK(cell_->Show(*JobId::Parse(kId), now_, kQueue).state == JobState::kCancelled);
}

/// The store was written by an earlier version.
class UnaddressedStoreTest : protected CellQueueAddressTest {
 protected:
  UnaddressedStoreTest() {
    const JobRecord record = Record({});
    stored_[JobKey(*JobId::Parse(kId))] =
        Encode(UnaddressedJob{record.spec, record.policy, record.accepted});
    stored_[CancelledIdKey(*JobId::Parse(kCancelledId))] =
        Encode(UnaddressedCancelledId{"queue", std::string(kService), false});
    appends_.clear();
    TakeOver();
  }
};

TEST_CASE_METHOD(UnaddressedStoreTest, "Job_WithoutAddress_MayBeOfAnyQueue") {
  CHECK(cell_->HeldQueues() == Queues({}));
  for (const QueueAddress& queue : {kQueue, kOther}) {
    CHECK(ShowAt(queue) == CallVerdict::kShown);
    CHECK(SubmitTo(queue) == CallVerdict::kAccepted);
    CHECK(ShowAt(queue, kCancelledId) == CallVerdict::kCancelledBeforeSubmit);
  }
  CHECK(cell_->job_count() == 1);
  CHECK(Pending(kQueue, "queue") == 1);
  CHECK(Pending(kQueue, "renamed") == 0);
  CHECK(appends_.empty());
}

TEST_CASE_METHOD(UnaddressedStoreTest, "Submit_IdWasCancelledByAnEarlierVersion_MakesNoJob") {
  CHECK(SubmitTo(kQueue, kCancelledId) == CallVerdict::kAccepted);
  CHECK(cell_->job_count() == 1);
  CHECK(CancelAt(kQueue) == CallVerdict::kCancelled);
}

}  // namespace
}  // namespace wigeonlane
