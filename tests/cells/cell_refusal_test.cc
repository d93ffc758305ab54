/// Tests of submissions while the store does not respond: jobs that were not sent to the store yet
/// are refused at once.
#include <catch2/catch.hpp>
#include <map>

#include "cells/cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr CallNumber kFirst = 1;
constexpr CallNumber kSecond = 2;
constexpr CallNumber kThird = 3;

class CellRefusalTest {
 protected:
  CellRefusalTest() : cell_(0, 1, CellOptions()) {
    cell_.Restore({}, Time());
    AdvanceTime(milliseconds(100));
  }

  CellTime Time() const {
    return {now_, UnixTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()))};
  }

  void AdvanceTime(milliseconds duration) {
    now_ += duration;
    cell_.ExtendAuthority(now_ + CellOptions().authority);
    cell_.Advance(Time());
    Outbox outbox = cell_.TakeOutbox();
    for (const PendingCallResponse& response : outbox.responses) {
      responses_[response.call] = response.response;
    }
    for (const AppendRequest& append : outbox.appends) appends_.push_back(append);
  }

  void Submit(CallNumber call, const JobId& job) {
    JobRecord record;
    record.spec.steps.resize(1);
    cell_.Submit(call, job, record, Time());
    AdvanceTime(milliseconds(20));
  }

  void ConfirmAppend() {
    cell_.HandleAppendStored(Time());
    AdvanceTime(milliseconds(20));
  }

  const JobId sent_ = *JobId::Parse("00000000000000a1");
  const JobId unsent_ = *JobId::Parse("00000000000000b2");
  Instant now_{std::chrono::hours(1)};
  Cell cell_;
  std::map<CallNumber, CallResponse> responses_;
  std::vector<AppendRequest> appends_;
};

TEST_CASE_METHOD(CellRefusalTest, "Store_DoesNotRespond_RefusesUnsentJobsAndKeepsTheRest") {
  Submit(kFirst, sent_);
  REQUIRE(appends_.size() == 1);
  Submit(kSecond, unsent_);
  CHECK(responses_.empty());
  AdvanceTime(CellOptions().commit_stall_timeout);
  REQUIRE(responses_.contains(kSecond));
  CHECK(responses_[kSecond].verdict == CallVerdict::kRefused);
  CHECK(responses_[kSecond].retry_after > milliseconds(0));
  CHECK_FALSE(responses_.contains(kFirst));
  ConfirmAppend();
  CHECK(responses_[kFirst].verdict == CallVerdict::kAccepted);
  CHECK(cell_.Show(unsent_, now_).verdict == CallVerdict::kNotFound);
  for (const AppendRequest& append : appends_) {
    for (const StoreRecord& record : append.records) {
      CHECK(record.key.find(unsent_.text()) == std::string::npos);
    }
  }
}

TEST_CASE_METHOD(CellRefusalTest, "Job_RefusedAndSubmittedAgain_IsAcceptedOnlyOnceItIsStored") {
  Submit(kFirst, sent_);
  Submit(kSecond, unsent_);
  AdvanceTime(CellOptions().commit_stall_timeout);
  ConfirmAppend();
  Submit(kThird, *JobId::Parse("00000000000000c3"));
  REQUIRE(appends_.size() ==
          2);  // The batch has the number of the one that would have carried the refused job.
  Submit(kSecond, unsent_);
  responses_.clear();
  ConfirmAppend();
  CHECK(responses_.contains(kThird));
  CHECK_FALSE(responses_.contains(kSecond));
  ConfirmAppend();
  CHECK(responses_[kSecond].verdict == CallVerdict::kAccepted);
}

// Guards against UNASKED (issue 37): the cancellation of a refused job was acknowledged although
// nothing kept a repeated submission of the job from running.
TEST_CASE_METHOD(CellRefusalTest, "Cancel_JobIsRefused_IsRefusedAsWell") {
  Submit(kFirst, sent_);
  Submit(kSecond, unsent_);
  cell_.Cancel(kThird, unsent_, {}, QueueService{{"h", "/queue/"}, "press"}, Time());
  AdvanceTime(CellOptions().commit_stall_timeout);
  CHECK(responses_[kSecond].verdict == CallVerdict::kRefused);
  CHECK(responses_[kThird].verdict == CallVerdict::kRefused);
  CHECK(responses_[kThird].retry_after > milliseconds(0));
}

}  // namespace
}  // namespace wigeonlane
