#include "fleet/budget.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class BudgetTest {
 protected:
  BudgetTest() {
    pool_.name = "quotes";
    pool_.min_serving = 2;
    for (const char* rack : {"r1", "r1", "r2"}) {
      Instance instance;
      instance.rack = rack;
      instance.lifecycle = Lifecycle::kServing;
      usage_.Include(instance);
    }
  }

  Instance DrainingInstance(const std::string& rack) const {
    Instance instance;
    instance.rack = rack;
    instance.lifecycle = Lifecycle::kDraining;
    instance.planned_out = true;
    return instance;
  }

  PoolSpec pool_;
  PoolUsage usage_;
};

TEST_CASE_METHOD(BudgetTest, "PlannedStop_AboveBudget_IsAllowed") {
  CHECK(CheckPlannedStop(pool_, usage_, "r1").ok());
}

TEST_CASE_METHOD(BudgetTest, "PlannedStop_AtBudget_IsRejected") {
  pool_.min_serving = 3;
  CHECK(absl::IsFailedPrecondition(CheckPlannedStop(pool_, usage_, "r1")));
  CHECK(absl::IsFailedPrecondition(CheckDeparture(pool_, usage_)));
}

TEST_CASE_METHOD(BudgetTest, "PlannedStop_WhileAnotherRackIsOut_IsRejected") {
  pool_.min_serving = 0;
  usage_.Include(DrainingInstance("r1"));
  CHECK(CheckPlannedStop(pool_, usage_, "r1").ok());
  CHECK_FALSE(CheckPlannedStop(pool_, usage_, "r2").ok());
  usage_.Exclude(DrainingInstance("r1"));
  CHECK(CheckPlannedStop(pool_, usage_, "r2").ok());
}

}  // namespace
}  // namespace wigeonlane
