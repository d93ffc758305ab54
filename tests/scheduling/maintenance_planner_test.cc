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
    wave_.time_limit = seconds(20);
    wave_.max_machines_down = 2;
  }

  Instant now_ = Instant(std::chrono::hours(1));
  MaintenanceWave wave_;
  std::map<std::string, ListedMachine> machines_;
};

TEST_CASE_METHOD(WavePlanTest, "Plan_LimitOfTwo_NoThirdCommandWhileTwoAreUnavailable") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  CHECK(plan.MaySendCommand());
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_RepeatedCommandFindsMachineDown_CountsItAsUnavailable") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");  // Executed without a response: the repeat finds the machine down.
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

// Guards against more machines down than the limit: after a refused repeat, another machine was
// taken down although the first command to this one had no response and may still be executed.
TEST_CASE_METHOD(WavePlanTest, "Refused_FirstCommandHadNoResponse_StillCountsAsUnavailable") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleNoResponse("m1");
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(plan.TryBeginCommand("m1"));
}

// Guards against more machines down than the limit: a list showed the machine down by its first
// command while the repeat was in flight, and after the repeat was refused, another machine was
// taken down.
TEST_CASE_METHOD(WavePlanTest, "Refused_ListShowedMachineDownMeanwhile_StillCountsAsUnavailable") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleNoResponse("m1");
  plan.HandleUnexpectedlyDown("m1", now_);
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK_FALSE(plan.MaySendCommand());
  CHECK_FALSE(plan.TryBeginCommand("m1"));
}

// Guards against more machines down than the limit: the repeat has no response either and may be
// executed later.
TEST_CASE_METHOD(WavePlanTest, "NoResponse_ListShowedMachineDownMeanwhile_CommandIsRepeated") {
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

TEST_CASE_METHOD(WavePlanTest, "Refused_OnlyCommand_MachineIsPreparedAgain") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleRefused("m1");
  plan.RecordCommandSent("m2");
  CHECK(plan.MaySendCommand());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_MachineListedUpTooSoon_StaysUnavailable") {
  WavePlan plan(wave_, now_);
  plan.HandleStarted("m1", now_);
  plan.HandleMachineList(machines_, now_ + milliseconds(300));
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m1"});
  plan.HandleMachineList(machines_, now_ + seconds(2));
  CHECK(plan.MachinesInProgress().empty());
}

TEST_CASE_METHOD(WavePlanTest, "Plan_PoolsOfEqualSize_AreTakenInTurn") {
  WavePlan plan(wave_, now_);
  const auto chosen = plan.MachinesToPrepare(machines_, now_ + seconds(19));
  REQUIRE(chosen.size() == 2);
  CHECK(machines_[chosen[0]].pool != machines_[chosen[1]].pool);
}

TEST_CASE_METHOD(WavePlanTest, "Plan_AllDoneOrNotListed_IsComplete") {
  WavePlan plan(wave_, now_);
  plan.MarkDone({"m1", "m2"});
  machines_.erase("m3");
  plan.HandleStarted("m4", now_);
  plan.HandleMachineList(machines_, now_ + seconds(2));
  CHECK(plan.complete());
}

// Guards against a wave that makes no progress because the machines in preparation cannot be
// emptied, while other machines could be taken down.
TEST_CASE_METHOD(WavePlanTest, "DeferMachine_OtherMachinesWait_TheyArePreparedInstead") {
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

TEST_CASE_METHOD(WavePlanTest, "DeferMachine_DelayIsOver_MachineIsTriedAgain") {
  wave_.machines = {"m1"};
  WavePlan plan(wave_, now_);
  REQUIRE(plan.MachinesToPrepare(machines_, now_).size() == 1);
  plan.DeferMachine("m1", now_);
  CHECK(plan.MachinesToPrepare(machines_, now_ + milliseconds(900)).empty());
  CHECK(plan.MachinesToPrepare(machines_, now_ + milliseconds(1'000)).size() == 1);
}

// Guards against a late deferral that resets a machine that is already down to the waiting state.
TEST_CASE_METHOD(WavePlanTest, "DeferMachine_MachineHasGoneDownMeanwhile_StaysUnavailable") {
  WavePlan plan(wave_, now_);
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  plan.DeferMachine("m1", now_);
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m1"});
}

}  // namespace
}  // namespace wigeonlane
