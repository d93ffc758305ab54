/// A wave that a new holder of the role goes on with while machines of it are away.
#include <catch2/catch.hpp>

#include "scheduling/maintenance_planner.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Four machines, two at once, and so little time that the plan takes as many as it may.
class MaintenanceTakeoverTest {
 protected:
  MaintenanceTakeoverTest() {
    for (const char* name : {"m1", "m2", "m3", "m4"}) {
      wave_.machines.emplace_back(name);
      machines_[name] = {name, "press", std::string("r") + name, true, 32};
    }
    wave_.number = 1;
    wave_.within = seconds(2);
    wave_.max_machines_down = 2;
  }

  void SetAway(const std::set<std::string>& names) {
    for (auto& [name, machine] : machines_) machine.up = !names.contains(name);
  }

  /// A plan whose record says that the upkeep of `recorded` has begun, after its first list.
  WavePlan TakenOver(const std::set<std::string>& recorded) {
    WavePlan plan(wave_, now_);
    plan.MarkDone(recorded);
    plan.HandleMachineList(machines_, now_);
    return plan;
  }

  /// How many machines the plan would take down now.
  std::size_t Takes(WavePlan* plan) { return plan->MachinesToPrepare(machines_, now_).size(); }

  void Pass(milliseconds time, WavePlan* plan) {
    now_ += time;
    plan->HandleMachineList(machines_, now_);
  }

  Instant now_ = Instant(std::chrono::hours(1));
  MaintenanceWave wave_;
  std::map<std::string, ListedMachine> machines_;
};

// Guards against a holder that takes more machines down while those of its predecessor are away.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_RecordedMachinesAreAway_CountAgainstTheCap") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({"m1", "m2"});
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(Takes(&plan) == 0);
  CHECK(plan.MachinesStarted() == std::set<std::string>{"m1", "m2"});
  Pass(seconds(1), &plan);
  CHECK_FALSE(plan.MaySendCommand());
}

// Guards against the same where the record of their upkeep was lost.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_UnrecordedMachinesAreAway_CountAgainstTheCap") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({});
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(Takes(&plan) == 0);
  CHECK(plan.MachinesStarted().empty());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_OneIsAway_OneMoreIsTaken") {
  SetAway({"m1"});
  WavePlan plan = TakenOver({"m1", "m2"});
  CHECK(plan.MaySendCommand());
  CHECK(Takes(&plan) == 1);
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_RecordedMachinesAreBack_AreDoneAtOnce") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({"m1", "m2"});
  SetAway({});
  Pass(milliseconds(100), &plan);
  CHECK(plan.MachinesInProgress().empty());
  CHECK(Takes(&plan) == 2);
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m3", "m4"});
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_UnrecordedMachineIsBack_IsStillToBeTaken") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({});
  SetAway({"m2"});
  Pass(milliseconds(100), &plan);
  CHECK(Takes(&plan) == 1);
  CHECK_FALSE(plan.complete());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest,
                 "Takeover_AllRecordedSomeAway_IsCompleteOnceTheyAreBack") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({"m1", "m2", "m3", "m4"});
  CHECK_FALSE(plan.complete());
  SetAway({});
  Pass(milliseconds(100), &plan);
  CHECK(plan.complete());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_MachinesAreNotListedAnyMore_HoldNothingUp") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({"m1"});
  machines_.erase("m1");
  machines_.erase("m2");
  Pass(milliseconds(100), &plan);
  CHECK(Takes(&plan) == 2);
}

// Guards against a wave that machines lost for good hold up: an upkeep is over long before.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_MachinesStayAway_HoldTheWaveUpForSecondsOnly") {
  SetAway({"m1", "m2"});
  WavePlan plan = TakenOver({"m1"});
  Pass(milliseconds(1'900), &plan);
  CHECK_FALSE(plan.MaySendCommand());
  Pass(seconds(8), &plan);
  CHECK(plan.MaySendCommand());
  CHECK(Takes(&plan) == 2);
  CHECK_FALSE(plan.complete());
  CHECK(plan.MachinesStarted() == std::set<std::string>{"m1"});
}

// Guards against a wave that is never complete because a machine did not return from its upkeep.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Plan_OwnMachineIsLostInItsUpkeep_IsDoneLater") {
  WavePlan plan = TakenOver({"m2", "m3", "m4"});
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  SetAway({"m1"});
  Pass(milliseconds(1'900), &plan);
  CHECK_FALSE(plan.complete());
  Pass(seconds(8), &plan);
  CHECK(plan.complete());
}

// Guards against a machine that goes away for another cause and slows a wave of the same holder.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Plan_WaitingMachineGoesAwayLater_DoesNotCount") {
  WavePlan plan = TakenOver({});
  SetAway({"m1", "m2"});
  Pass(milliseconds(100), &plan);
  CHECK(plan.MaySendCommand());
  CHECK(Takes(&plan) == 2);
}

}  // namespace
}  // namespace wigeonlane
