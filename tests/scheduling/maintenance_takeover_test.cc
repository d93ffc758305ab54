/// Takeover of a maintenance wave by a new holder of the role while machines of the wave are down.
#include <catch2/catch.hpp>

#include "scheduling/maintenance_planner.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Four machines, a limit of two down at once, and so little time that the plan uses the limit.
class MaintenanceTakeoverTest {
 protected:
  MaintenanceTakeoverTest() {
    for (const char* name : {"m1", "m2", "m3", "m4"}) {
      wave_.machines.emplace_back(name);
      machines_[name] = {name, "press", std::string("r") + name, true, 32};
    }
    wave_.number = 1;
    wave_.time_limit = seconds(2);
    wave_.max_machines_down = 2;
  }

  void SetDown(const std::set<std::string>& names) {
    for (auto& [name, machine] : machines_) machine.up = !names.contains(name);
  }

  /// Returns a plan after its first list; the maintenance of `recorded` is recorded as started.
  WavePlan PlanAfterTakeover(const std::set<std::string>& recorded) {
    WavePlan plan(wave_, now_);
    plan.MarkDone(recorded);
    plan.HandleMachineList(machines_, now_);
    return plan;
  }

  /// Returns the number of machines that the plan prepares now.
  std::size_t CountToPrepare(WavePlan* plan) {
    return plan->MachinesToPrepare(machines_, now_).size();
  }

  void Advance(milliseconds time, WavePlan* plan) {
    now_ += time;
    plan->HandleMachineList(machines_, now_);
  }

  Instant now_ = Instant(std::chrono::hours(1));
  MaintenanceWave wave_;
  std::map<std::string, ListedMachine> machines_;
};

// Guards against a holder that takes more machines down while those of its predecessor are down.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_RecordedMachinesAreDown_CountAgainstTheLimit") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({"m1", "m2"});
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(CountToPrepare(&plan) == 0);
  CHECK(plan.MachinesStarted() == std::set<std::string>{"m1", "m2"});
  Advance(seconds(1), &plan);
  CHECK_FALSE(plan.MaySendCommand());
}

// Guards against a holder that takes more machines down while those of its predecessor are down and
// the record of their maintenance was lost.
TEST_CASE_METHOD(MaintenanceTakeoverTest,
                 "Takeover_UnrecordedMachinesAreDown_CountAgainstTheLimit") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({});
  CHECK_FALSE(plan.MaySendCommand());
  CHECK(CountToPrepare(&plan) == 0);
  CHECK(plan.MachinesStarted().empty());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_OneMachineIsDown_OneMoreIsPrepared") {
  SetDown({"m1"});
  WavePlan plan = PlanAfterTakeover({"m1", "m2"});
  CHECK(plan.MaySendCommand());
  CHECK(CountToPrepare(&plan) == 1);
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_RecordedMachinesAreUpAgain_AreDoneAtOnce") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({"m1", "m2"});
  SetDown({});
  Advance(milliseconds(100), &plan);
  CHECK(plan.MachinesInProgress().empty());
  CHECK(CountToPrepare(&plan) == 2);
  CHECK(plan.MachinesInProgress() == std::set<std::string>{"m3", "m4"});
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_UnrecordedMachineIsUpAgain_IsPreparedLater") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({});
  SetDown({"m2"});
  Advance(milliseconds(100), &plan);
  CHECK(CountToPrepare(&plan) == 1);
  CHECK_FALSE(plan.complete());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_AllRecordedSomeDown_IsCompleteOnceTheyAreUp") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({"m1", "m2", "m3", "m4"});
  CHECK_FALSE(plan.complete());
  SetDown({});
  Advance(milliseconds(100), &plan);
  CHECK(plan.complete());
}

TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_MachinesAreNoLongerListed_DoNotBlockTheWave") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({"m1"});
  machines_.erase("m1");
  machines_.erase("m2");
  Advance(milliseconds(100), &plan);
  CHECK(CountToPrepare(&plan) == 2);
}

// Guards against a wave that is blocked by lost machines: maintenance takes much less time.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Takeover_MachinesStayDown_BlockTheWaveForSecondsOnly") {
  SetDown({"m1", "m2"});
  WavePlan plan = PlanAfterTakeover({"m1"});
  Advance(milliseconds(1'900), &plan);
  CHECK_FALSE(plan.MaySendCommand());
  Advance(seconds(8), &plan);
  CHECK(plan.MaySendCommand());
  CHECK(CountToPrepare(&plan) == 2);
  CHECK_FALSE(plan.complete());
  CHECK(plan.MachinesStarted() == std::set<std::string>{"m1"});
}

// Guards against a wave that never completes because a machine did not return from maintenance.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Plan_MachineIsLostDuringMaintenance_IsDoneLater") {
  WavePlan plan = PlanAfterTakeover({"m2", "m3", "m4"});
  plan.RecordCommandSent("m1");
  plan.HandleStarted("m1", now_);
  SetDown({"m1"});
  Advance(milliseconds(1'900), &plan);
  CHECK_FALSE(plan.complete());
  Advance(seconds(8), &plan);
  CHECK(plan.complete());
}

// Guards against a wave that is slowed down by a machine that went down for another reason.
TEST_CASE_METHOD(MaintenanceTakeoverTest, "Plan_WaitingMachineGoesDownLater_DoesNotCount") {
  WavePlan plan = PlanAfterTakeover({});
  SetDown({"m1", "m2"});
  Advance(milliseconds(100), &plan);
  CHECK(plan.MaySendCommand());
  CHECK(CountToPrepare(&plan) == 2);
}

}  // namespace
}  // namespace wigeonlane
