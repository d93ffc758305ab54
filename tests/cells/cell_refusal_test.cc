/// Submissions while the store does not answer: what has not left the process is refused at once.
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
    Pass(milliseconds(100));
  }

  CellTime Time() const {
    return {now_, UnixTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()))};
  }

  void Pass(milliseconds duration) {
    now_ += duration;
    cell_.ExtendAuthority(now_ + CellOptions().authority);
    cell_.Advance(Time());
    Outbox outbox = cell_.TakeOutbox();
    for (const CallerResponse& order : outbox.answers) answers_[order.call] = order.answer;
    for (const AppendRequest& append : outbox.appends) appends_.push_back(append);
  }

  void Submit(CallNumber call, const JobId& job) {
    JobRecord record;
    record.spec.steps.resize(1);
    cell_.Submit(call, job, record, Time());
    Pass(milliseconds(20));
  }

  void StoreAnswers() {
    cell_.HandleBatchStored(Time());
    Pass(milliseconds(20));
  }

  const JobId sent_ = *JobId::Parse("00000000000000a1");
  const JobId unsent_ = *JobId::Parse("00000000000000b2");
  Instant now_{std::chrono::hours(1)};
  Cell cell_;
  std::map<CallNumber, CallResponse> answers_;
  std::vector<AppendRequest> appends_;
};

TEST_CASE_METHOD(CellRefusalTest, "Store_DoesNotAnswer_RefusesWhatHasNotLeftAndKeepsTheRest") {
  Submit(kFirst, sent_);
  REQUIRE(appends_.size() == 1);
  Submit(kSecond, unsent_);
  CHECK(answers_.empty());
  Pass(CellOptions().commit_stall_timeout);
  REQUIRE(answers_.contains(kSecond));
  CHECK(answers_[kSecond].verdict == CallVerdict::kRefused);
  CHECK(answers_[kSecond].retry_after > milliseconds(0));
  CHECK_FALSE(answers_.contains(kFirst));
  StoreAnswers();
  CHECK(answers_[kFirst].verdict == CallVerdict::kAccepted);
  CHECK(cell_.Show(unsent_).verdict == CallVerdict::kNotFound);
  for (const AppendRequest& append : appends_) {
    for (const StoreRecord& record : append.records) {
      CHECK(record.key.find(unsent_.text()) == std::string::npos);
    }
  }
}

TEST_CASE_METHOD(CellRefusalTest, "Job_RefusedAndHandedInAgain_IsAcceptedOnlyOnceItIsStored") {
  Submit(kFirst, sent_);
  Submit(kSecond, unsent_);
  Pass(CellOptions().commit_stall_timeout);
  StoreAnswers();
  Submit(kThird, *JobId::Parse("00000000000000c3"));
  REQUIRE(appends_.size() == 2);  // Of the same number that would have carried the refused job.
  Submit(kSecond, unsent_);
  answers_.clear();
  StoreAnswers();
  CHECK(answers_.contains(kThird));
  CHECK_FALSE(answers_.contains(kSecond));
  StoreAnswers();
  CHECK(answers_[kSecond].verdict == CallVerdict::kAccepted);
}

TEST_CASE_METHOD(CellRefusalTest, "Cancel_OfAJobThatIsRefused_FindsNoSuchJob") {
  Submit(kFirst, sent_);
  Submit(kSecond, unsent_);
  cell_.Cancel(kThird, unsent_, Time());
  Pass(CellOptions().commit_stall_timeout);
  CHECK(answers_[kSecond].verdict == CallVerdict::kRefused);
  CHECK(answers_[kThird].verdict == CallVerdict::kNotFound);
}

}  // namespace
}  // namespace wigeonlane
