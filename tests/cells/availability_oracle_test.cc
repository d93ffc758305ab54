/// The oracle reports waits that break rule LOST, and no others.
#include "tests/cells/availability_oracle.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{100};
constexpr TaskView kRuns{true, true};
constexpr TaskView kWaits{false, true};
constexpr TaskView kWaitsWithoutCapacity{false, false};

class AvailabilityOracleTest {
 protected:
  /// Observes the task at each step for `duration`. Returns whether the rule was broken.
  bool Observe(TaskView view, milliseconds duration) {
    bool broken = false;
    for (const Instant until = now_ + duration; now_ < until;) {
      now_ += kStep;
      broken = oracle_.Observe(TaskId{}, view, now_) || broken;
    }
    return broken;
  }

  Instant now_{std::chrono::hours(1)};
  AvailabilityOracle oracle_;
};

// Guards against an oracle that reports nothing.
TEST_CASE_METHOD(AvailabilityOracleTest,
                 "Observe_WaitsBesideCapacityInCalm_IsBrokenAfterNineSeconds") {
  CHECK_FALSE(Observe(kRuns, milliseconds(2'000)));
  CHECK_FALSE(Observe(kWaits, milliseconds(8'900)));
  CHECK(Observe(kWaits, kStep));
}

// Guards against a report of waits that a disruption excuses, and against an excuse for too long.
TEST_CASE_METHOD(AvailabilityOracleTest,
                 "Observe_DisruptionDuringWait_IsBrokenSevenSecondsAfterIt") {
  CHECK_FALSE(Observe(kRuns, kStep));
  CHECK_FALSE(Observe(kWaits, milliseconds(5'000)));
  oracle_.Disrupt(now_);
  CHECK_FALSE(Observe(kWaits, milliseconds(6'900)));
  CHECK(Observe(kWaits, kStep));
}

// Guards against a report of a task for which capacity has become free just now.
TEST_CASE_METHOD(AvailabilityOracleTest,
                 "Observe_CapacityBecomesFree_IsBrokenThreeSecondsAfterIt") {
  CHECK_FALSE(Observe(kRuns, kStep));
  CHECK_FALSE(Observe(kWaitsWithoutCapacity, milliseconds(20'000)));
  CHECK_FALSE(Observe(kWaits, milliseconds(3'000)));
  CHECK(Observe(kWaits, kStep));
}

// Guards against a wait that is counted on although the task has run in between.
TEST_CASE_METHOD(AvailabilityOracleTest, "Observe_TaskRunsAgain_BeginsWaitAnew") {
  CHECK_FALSE(Observe(kRuns, kStep));
  CHECK_FALSE(Observe(kWaits, milliseconds(8'000)));
  CHECK_FALSE(Observe(kRuns, kStep));
  CHECK_FALSE(Observe(kWaits, milliseconds(8'900)));
  CHECK(Observe(kWaits, kStep));
}

}  // namespace
}  // namespace wigeonlane
