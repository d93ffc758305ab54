/// RoundSchedule with requests from several callers.
#include "scheduling/round_schedule.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class RoundScheduleTest {
 protected:
  Instant now_ = Instant(std::chrono::hours(1));
  RoundSchedule rounds_;
};

// Guards against a coordinator that requests no list of machines while responses to commands arrive
// in quick succession: each response postponed the next round.
TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_RequestedRepeatedly_RoundIsNotPostponed") {
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(23)));
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_EarlierRoundRequested_RoundIsBroughtForward") {
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(100)));
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

// Guards against several concurrent requests for the list of machines: a response started a round
// while the list of the previous round was still outstanding.
TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_RoundIsRunning_NoOtherIsScheduled") {
  REQUIRE(rounds_.ScheduleAt(now_));
  rounds_.Begin();
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(20)));
  rounds_.End();
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_ResetDuringARound_NextCanBeScheduled") {
  rounds_.Begin();
  rounds_.Reset();
  CHECK(rounds_.ScheduleAt(now_));
}

}  // namespace
}  // namespace wigeonlane
