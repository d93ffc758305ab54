#include "scheduling/maintenance_planner.h"

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
    wave_.max_machines_down = 2;
  }

  Instant now_ = Instant(std::chrono::hours(1));
  MaintenanceWave wave_;
  std::map<std::string, ListedMachine> machines_;
};

TEST_CASE_METHOD(WavePlanTest, "Plan_CapOfTwo_OrdersNoThirdWhileTwoAreAway") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  CHECK(plan.MaySendCommand());
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_RepeatedOrderFindsMachineBusy_CountsItAsAway") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent(
      "m1");  // Not answered, but carried out: the repeat finds the machine down.
  plan.HandleUnexpectedlyDown("m1", now_);
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  machines_["m1"].up = false;
  plan.HandleMachineList(machines_, now_ + seconds(1));
  CHECK_FALSE(plan.MaySendCommand());
  machines_["m1"].up = true;
  plan.HandleMachineList(machines_, now_ + seconds(3));
  CHECK(plan.MaySendCommand());
  CHECK_FALSE(plan.complete());
}

// Guards against LIMIT: a repeat that was refused made room for another machine, though the first
// order to this one had no answer and may still be carried out.
TEST_CASE_METHOD(WavePlanTest, "Refused_FirstOrderWasNotAnswered_StillCountsAsAway") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleNoResponse("m1");
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(plan.BeginOrder("m1"));
}

// Guards against LIMIT: a list showed the machine down by its first order while the repeat was
// open, and the repeat, once refused, made room for another machine.
TEST_CASE_METHOD(WavePlanTest, "Refused_ListShowedMachineDownMeanwhile_StillCountsAsAway") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleNoResponse("m1");
  plan.HandleUnexpectedlyDown("m1", now_);
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  CHECK_FALSE(plan.BeginOrder("m1"));
}

// Guards against LIMIT likewise: the repeat has no answer either, and may be carried out later.
TEST_CASE_METHOD(WavePlanTest, "Unknown_ListShowedMachineDownMeanwhile_OutcomeIsAwaited") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleNoResponse("m1");
  plan.HandleUnexpectedlyDown("m1", now_);
  plan.HandleNoResponse("m1");
  plan.HandleMachineList(machines_, now_ + seconds(3));
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(plan.MachinesWithoutResponse() == std::vector<std::string>{"m1", "m2"});
}

TEST_CASE_METHOD(WavePlanTest, "Refused_OnlyOrder_MachineIsPreparedAgain") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK(plan.MaySendCommand());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_MachineListedUpTooSoon_StaysAway") {
  WavePlan plan(wave_, now_);
  plan.HandleStarted("m1", now_);
  plan.HandleMachineList(machines_, now_ + milliseconds(300));
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m1"});
  plan.HandleMachineList(machines_, now_ + seconds(2));
  CHECK(plan.MachinesInProgress().empty());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_PoolsOfEqualSize_GiveInTurn") {
  WavePlan plan(wave_, now_);
  const auto chosen = plan.MachinesToPrepare(machines_, now_ + seconds(19));
  REQUIRE(chosen.size() == 2);
  CHECK(machines_[chosen[0]].pool != machines_[chosen[1]].pool);
}

TEST_CASE_METHOD(WavePlanTest, "Plan_AllDoneOrGone_IsComplete") {
  WavePlan plan(wave_, now_);
  plan.MarkDone({"m1", "m2"});
  machines_.erase("m3");
  plan.HandleStarted("m4", now_);
  plan.HandleMachineList(machines_, now_ + seconds(2));
  CHECK(plan.complete());
}

// Guards against a wave that stands still because the machines that it prepares cannot be emptied
// while others could be taken.
TEST_CASE_METHOD(WavePlanTest, "NoPlace_OtherMachinesWait_TheyArePreparedInItsStead") {
  wave_.max_machines_down = 1;
  WavePlan plan(wave_, now_);
  std::set<std::string> tried;
  for (int round = 0; round < 4; ++round) {
    const auto chosen = plan.MachinesToPrepare(machines_, now_);
    REQUIRE(chosen.size() == 1);
    tried.insert(chosen.front());
    plan.DeferMachine(chosen.front(), now_);
  }
  CHECK(tried.size() == 4);
}

TEST_CASE_METHOD(WavePlanTest, "NoPlace_PauseIsOver_MachineIsTriedAgain") {
  wave_.machines = {"m1"};
  WavePlan plan(wave_, now_);
  REQUIRE(plan.MachinesToPrepare(machines_, now_).size() == 1);
  plan.DeferMachine("m1", now_);
  CHECK(plan.MachinesToPrepare(machines_, now_ + milliseconds(900)).empty());
  CHECK(plan.MachinesToPrepare(machines_, now_ + milliseconds(1'000)).size() == 1);
}

// Guards against a late answer that takes a machine that is down for one that waits.
TEST_CASE_METHOD(WavePlanTest, "NoPlace_MachineHasGoneDownMeanwhile_StaysAway") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  plan.DeferMachine("m1", now_);
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m1"});
}

}  // namespace
}  // namespace wigeonlane
