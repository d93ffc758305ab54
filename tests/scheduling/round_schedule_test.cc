/// Rounds that are asked for by many.
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

// Guards against a coordinator that takes no list of machines while orders are answered in quick
// succession: each answer put the next round off.
TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_AskedForAgainAndAgain_RoundIsNotPutOff") {
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(23)));
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_AskedForEarlier_RoundIsBroughtForward") {
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(100)));
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

// Guards against lists of machines that queue behind each other: an answer began a round while the
// list of the last one was on its way.
TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_RoundIsUnderWay_NoOtherBegins") {
  REQUIRE(rounds_.ScheduleAt(now_));
  rounds_.Begin();
  CHECK_FALSE(rounds_.ScheduleAt(now_ + milliseconds(20)));
  rounds_.End();
  CHECK(rounds_.ScheduleAt(now_ + milliseconds(20)));
}

TEST_CASE_METHOD(RoundScheduleTest, "RoundSchedule_ResetDuringARound_NextOneMayBegin") {
  rounds_.Begin();
  rounds_.Reset();
  CHECK(rounds_.ScheduleAt(now_));
}

}  // namespace
}  // namespace wigeonlane
