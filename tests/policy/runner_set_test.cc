#include "policy/runner_set.h"

#include <catch2/catch.hpp>

#include "policy/retry_budget.h"

namespace wigeonlane {
namespace {

class RunnerSetTest {
 protected:
  RunnerSetTest() {
    runners_.Update({MakeAllotment("a", 2), MakeAllotment("b", 2), MakeAllotment("c", 2)});
  }

  static RunnerAllotment MakeAllotment(const std::string& name, std::uint32_t slots,
                                       bool spare = false) {
    return {name, {"127.0.0.1", 1}, slots, spare};
  }

  void FailConsecutively(const std::string& name, int times) {
    for (int i = 0; i < times; ++i) {
      const auto pick = runners_.Pick(AllBut(name));
      REQUIRE(pick.has_value());
      runners_.Finish(name, false);
    }
  }

  static std::vector<std::string> AllBut(const std::string& name) {
    std::vector<std::string> others;
    for (const char* other : {"a", "b", "c"}) {
      if (other != name) others.emplace_back(other);
    }
    return others;
  }

  ManualClock clock_;
  RunnerSet<ManualClock> runners_{clock_};
};

TEST_CASE_METHOD(RunnerSetTest, "Pick_UntilFull_SpreadsAndNeverExceedsOwnedSlots") {
  for (int i = 0; i < 6; ++i) CHECK(runners_.Pick({}).has_value());
  CHECK_FALSE(runners_.Pick({}).has_value());
  for (const char* name : {"a", "b", "c"}) CHECK(runners_.in_flight(name) == 2);
}

TEST_CASE_METHOD(RunnerSetTest, "Pick_WithOwnAndSpare_UsesOwnFirst") {
  runners_.Update({MakeAllotment("a", 1), MakeAllotment("s", 1, true)});
  CHECK(runners_.Pick({})->instance == "a");
  const auto pick = runners_.Pick({});
  CHECK(pick->instance == "s");
  CHECK(pick->reason == "borrowed");
}

TEST_CASE_METHOD(RunnerSetTest, "Finish_FailuresInARow_EjectsUntilAProbeSucceeds") {
  FailConsecutively("a", 5);
  CHECK(runners_.usable_slots() == 4);
  CHECK_FALSE(runners_.Pick(AllBut("a")).has_value());
  clock_.Advance(RunnerSet<ManualClock>::kInitialEjection);
  CHECK(runners_.usable_slots() == 5);
  CHECK(runners_.Pick(AllBut("a"))->reason == "probe");
  CHECK_FALSE(runners_.Pick(AllBut("a")).has_value());
  runners_.Finish("a", true);
  CHECK(runners_.usable_slots() == 6);
}

TEST_CASE_METHOD(RunnerSetTest, "Finish_FailedProbe_EjectsForLonger") {
  FailConsecutively("a", 5);
  clock_.Advance(RunnerSet<ManualClock>::kInitialEjection);
  FailConsecutively("a", 1);
  clock_.Advance(RunnerSet<ManualClock>::kInitialEjection);
  CHECK_FALSE(runners_.Pick(AllBut("a")).has_value());
  clock_.Advance(RunnerSet<ManualClock>::kInitialEjection);
  CHECK(runners_.Pick(AllBut("a")).has_value());
}

TEST_CASE_METHOD(RunnerSetTest, "Finish_AllRunnersFail_NeverEmptiesThePool") {
  for (const char* name : {"a", "b", "c"}) FailConsecutively(name, 5);
  CHECK(runners_.usable_slots() == 4);
}

TEST_CASE_METHOD(RunnerSetTest, "Update_WithoutARunner_GivesItNoNewWorkButRemembersItsRequests") {
  runners_.Pick(AllBut("a"));
  runners_.Update({MakeAllotment("b", 2)});
  CHECK_FALSE(runners_.Pick({"b"}).has_value());
  CHECK(runners_.AllInFlight().at("a") == 1);
  runners_.Finish("a", true);
  CHECK(runners_.AllInFlight().empty());
}

TEST_CASE_METHOD(RunnerSetTest, "RetryBudget_UnderFailures_BoundsRetriesToAShareOfSuccesses") {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1'000; ++i) {
    budget.OnSuccess(10);
    if (budget.TryTake()) ++retries;
    if (budget.TryTake()) ++retries;
  }
  CHECK(retries <= 110);
  CHECK(retries >= 100);
}

}  // namespace
}  // namespace wigeonlane
