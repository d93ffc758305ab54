#include "policy/demand_meter.h"

#include <catch2/catch.hpp>

#include "policy/append_budget.h"

namespace wigeonlane {
namespace {

class DemandMeterTest {
 protected:
  std::uint32_t UpdateFor(std::chrono::milliseconds period, std::uint32_t running,
                          std::uint32_t waiting) {
    std::uint32_t demand = 0;
    for (std::chrono::milliseconds passed(0); passed < period; passed += kStep) {
      clock_.Advance(kStep);
      demand = meter_.Update(running, waiting);
    }
    return demand;
  }

  static constexpr std::chrono::milliseconds kStep{50};

  ManualClock clock_;
  DemandMeter<ManualClock> meter_{clock_};
};

TEST_CASE_METHOD(DemandMeterTest, "Update_WithPersistentQueue_CountsMostOfItWithinOneSecond") {
  CHECK(UpdateFor(std::chrono::milliseconds(300), 0, 40) == 2'000);
  CHECK(UpdateFor(std::chrono::seconds(1), 0, 40) >= 3'700);
  CHECK(UpdateFor(std::chrono::seconds(10), 0, 0) == 0);
}

TEST_CASE_METHOD(DemandMeterTest, "Update_WithShortPeak_FollowsTheMean") {
  CHECK(UpdateFor(std::chrono::seconds(9), 4, 0) == 399);
  CHECK(UpdateFor(kStep, 10, 2) <= 500);
}

TEST_CASE_METHOD(DemandMeterTest, "AppendBudget_SharedByMembers_LimitsAppendsPerSecond") {
  AppendBudget<ManualClock> budget(300, clock_);
  int taken = 0;
  for (int i = 0; i < 10'000; ++i) {
    if (budget.Take(6) == Duration(0)) ++taken;
    clock_.Advance(std::chrono::milliseconds(1));
  }
  CHECK(taken >= 490);
  CHECK(taken <= 504);
  CHECK(budget.Take(1) <= std::chrono::milliseconds(4));
}

}  // namespace
}  // namespace wigeonlane
