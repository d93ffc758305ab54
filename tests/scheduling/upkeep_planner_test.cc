#include "scheduling/upkeep_planner.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WavePlanTest {
 protected:
  WavePlanTest() {
    for (const char* name : {"m1", "m2", "m3", "m4"}) {
      wave_.machines.emplace_back(name);
      machines_[name] = {name, name[1] < '3' ? "press" : "fold", std::string("r") + name, true, 32};
    }
    wave_.number = 1;
    wave_.within = seconds(20);
    wave_.most_at_once = 2;
  }

  Instant now_ = Instant(std::chrono::hours(1));
  UpkeepWave wave_;
  std::map<std::string, ListedMachine> machines_;
};

TEST_CASE_METHOD(WavePlanTest, "Plan_CapOfTwo_OrdersNoThirdWhileTwoAreAway") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Began("m1", now_);
  CHECK(plan.MayOrder());
  plan.Ordered("m2");
  CHECK_FALSE(plan.MayOrder());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_RepeatedOrderFindsMachineBusy_CountsItAsAway") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");  // Not answered, but carried out: the repeat finds the machine down.
  plan.FoundBusy("m1", now_);
  plan.Ordered("m2");
  CHECK_FALSE(plan.MayOrder());
  machines_["m1"].up = false;
  plan.TakeMachines(machines_, now_ + seconds(1));
  CHECK_FALSE(plan.MayOrder());
  machines_["m1"].up = true;
  plan.TakeMachines(machines_, now_ + seconds(3));
  CHECK(plan.MayOrder());
  CHECK_FALSE(plan.complete());
}

// Guards against LIMIT: a repeat that was refused made room for another machine, though the first
// order to this one had no answer and may still be carried out.
TEST_CASE_METHOD(WavePlanTest, "Refused_FirstOrderWasNotAnswered_StillCountsAsAway") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Unknown("m1");
  plan.Refused("m1");
  plan.Ordered("m2");
  CHECK_FALSE(plan.MayOrder());
  CHECK(plan.BeginOrder("m1"));
}

// Guards against LIMIT: a list showed the machine down by its first order while the repeat was
// open, and the repeat, once refused, made room for another machine.
TEST_CASE_METHOD(WavePlanTest, "Refused_ListShowedMachineDownMeanwhile_StillCountsAsAway") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Unknown("m1");
  plan.FoundBusy("m1", now_);
  plan.Refused("m1");
  plan.Ordered("m2");
  CHECK_FALSE(plan.MayOrder());
  CHECK_FALSE(plan.BeginOrder("m1"));
}

// Guards against LIMIT likewise: the repeat has no answer either, and may be carried out later.
TEST_CASE_METHOD(WavePlanTest, "Unknown_ListShowedMachineDownMeanwhile_OutcomeIsAwaited") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Unknown("m1");
  plan.FoundBusy("m1", now_);
  plan.Unknown("m1");
  plan.TakeMachines(machines_, now_ + seconds(3));
  plan.Ordered("m2");
  CHECK_FALSE(plan.MayOrder());
  CHECK(plan.Unanswered() == std::vector<std::string>{"m1", "m2"});
}

TEST_CASE_METHOD(WavePlanTest, "Refused_OnlyOrder_MachineIsPreparedAgain") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Refused("m1");
  plan.Ordered("m2");
  CHECK(plan.MayOrder());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_MachineListedUpTooSoon_StaysAway") {
  WavePlan plan(wave_, now_);
  plan.Began("m1", now_);
  plan.TakeMachines(machines_, now_ + milliseconds(300));
  CHECK(plan.Taken() == std::set<std::string>{"m1"});
  plan.TakeMachines(machines_, now_ + seconds(2));
  CHECK(plan.Taken().empty());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_PoolsOfEqualSize_GiveInTurn") {
  WavePlan plan(wave_, now_);
  const auto chosen = plan.ToPrepare(machines_, now_ + seconds(19));
  REQUIRE(chosen.size() == 2);
  CHECK(machines_[chosen[0]].pool != machines_[chosen[1]].pool);
}

TEST_CASE_METHOD(WavePlanTest, "Plan_AllDoneOrGone_IsComplete") {
  WavePlan plan(wave_, now_);
  plan.MarkDone({"m1", "m2"});
  machines_.erase("m3");
  plan.Began("m4", now_);
  plan.TakeMachines(machines_, now_ + seconds(2));
  CHECK(plan.complete());
}

// Guards against a wave that stands still because the machines that it prepares cannot be emptied
// while others could be taken.
TEST_CASE_METHOD(WavePlanTest, "NoPlace_OtherMachinesWait_TheyArePreparedInItsStead") {
  wave_.most_at_once = 1;
  WavePlan plan(wave_, now_);
  std::set<std::string> tried;
  for (int round = 0; round < 4; ++round) {
    const auto chosen = plan.ToPrepare(machines_, now_);
    REQUIRE(chosen.size() == 1);
    tried.insert(chosen.front());
    plan.NoPlace(chosen.front(), now_);
  }
  CHECK(tried.size() == 4);
}

TEST_CASE_METHOD(WavePlanTest, "NoPlace_PauseIsOver_MachineIsTriedAgain") {
  wave_.machines = {"m1"};
  WavePlan plan(wave_, now_);
  REQUIRE(plan.ToPrepare(machines_, now_).size() == 1);
  plan.NoPlace("m1", now_);
  CHECK(plan.ToPrepare(machines_, now_ + milliseconds(900)).empty());
  CHECK(plan.ToPrepare(machines_, now_ + milliseconds(1'000)).size() == 1);
}

// Guards against a late answer that takes a machine that is down for one that waits.
TEST_CASE_METHOD(WavePlanTest, "NoPlace_MachineHasGoneDownMeanwhile_StaysAway") {
  WavePlan plan(wave_, now_);
  plan.Ordered("m1");
  plan.Began("m1", now_);
  plan.NoPlace("m1", now_);
  CHECK(plan.Taken() == std::set<std::string>{"m1"});
}

}  // namespace
}  // namespace wigeonlane
