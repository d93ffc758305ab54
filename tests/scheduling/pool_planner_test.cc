/// Demand that goes by turns: machines follow it and go back.
#include "scheduling/pool_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "scheduling/arrival_meter.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PoolPlannerTest {
 protected:
  static PoolView Pool(const std::string& service, std::uint32_t machines, double busy,
                       double backlog) {
    PoolView pool;
    pool.service = service;
    pool.reported = true;
    pool.machines = machines;
    pool.cores_per_machine = 32;
    pool.busy_cores = busy;
    pool.backlog_work = backlog;
    for (std::uint32_t i = 0; i < machines / 2; ++i) {
      pool.movable.push_back({service + std::to_string(i)});
    }
    return pool;
  }

  static PoolView Spare(std::uint32_t machines) {
    PoolView pool = Pool("spare", machines, 0, 0);
    pool.spare = true;
    return pool;
  }

  /// Most of its cores are free, and something that waits needs so many machines more.
  static PoolView Stranded(std::uint32_t runners, std::uint32_t machines, std::uint32_t further) {
    PoolView pool = Pool("press", machines, 30, 3);
    pool.runners = runners;
    pool.present = machines;
    pool.further_machines = further;
    return pool;
  }

  static std::size_t Count(const std::vector<MachineMove>& moves, const std::string& from,
                           const std::string& to) {
    return static_cast<std::size_t>(
        std::count_if(moves.begin(), moves.end(),
                      [&](const MachineMove& move) { return move.from == from && move.to == to; }));
  }

  Instant now_ = Instant(std::chrono::hours(1));
  PoolPlanner planner_;
};

TEST_CASE_METHOD(PoolPlannerTest, "Plan_PoolUnderPressure_GetsSpareMachinesFirst") {
  planner_.Plan({Pool("press", 9, 30, 0), Pool("fold", 9, 30, 0), Spare(8)}, now_);
  now_ += seconds(1);
  const auto moves =
      planner_.Plan({Pool("press", 9, 280, 200), Pool("fold", 9, 30, 0), Spare(8)}, now_);
  CHECK(Count(moves, "spare", "press") == 3);
  CHECK(Count(moves, "fold", "press") == 0);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_SpareIsNotEnough_TakesFromThePoolThatIsCalm") {
  planner_.Plan({Pool("press", 9, 30, 0), Pool("fold", 9, 30, 0), Spare(2)}, now_);
  now_ += seconds(1);
  const auto moves =
      planner_.Plan({Pool("press", 9, 280, 400), Pool("fold", 9, 30, 0), Spare(2)}, now_);
  CHECK(Count(moves, "spare", "press") == 1);
  CHECK(Count(moves, "fold", "press") == 4);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_CalmPoolLends_KeepsAThirdOfItsFirstMachines") {
  PoolView fold = Pool("fold", 9, 2, 0);
  for (std::uint32_t i = 4; i < 9; ++i) fold.movable.push_back({"fold" + std::to_string(i)});
  planner_.Plan({Pool("press", 9, 30, 0), fold, Spare(0)}, now_);
  now_ += seconds(5);
  const auto moves = planner_.Plan({Pool("press", 9, 280, 900), fold, Spare(0)}, now_);
  CHECK(Count(moves, "fold", "press") == 5);  // A third of 9 is 3.06 by the setting.
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_BothPoolsUnderPressure_LeavesEachItsMachines") {
  const auto moves =
      planner_.Plan({Pool("press", 9, 280, 900), Pool("fold", 9, 280, 900), Spare(0)}, now_);
  CHECK(moves.empty());
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_OwnerSilent_TouchesNoneOfItsMachines") {
  PoolView silent = Pool("fold", 9, 0, 0);
  silent.reported = false;
  planner_.Plan({Pool("press", 9, 30, 0), silent, Spare(0)}, now_);
  now_ += seconds(5);
  const auto moves = planner_.Plan({Pool("press", 9, 280, 900), silent, Spare(0)}, now_);
  CHECK(moves.empty());
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_TurnIsOver_GivesBackWhatCameAndNoMore") {
  planner_.Plan({Pool("press", 9, 30, 0), Spare(8)}, now_);
  now_ += seconds(1);
  planner_.Plan({Pool("press", 17, 500, 300), Spare(0)}, now_);
  now_ += milliseconds(500);
  CHECK(planner_.Plan({Pool("press", 17, 40, 0), Spare(0)}, now_).empty());
  now_ += seconds(5);
  const auto moves = planner_.Plan({Pool("press", 17, 40, 0), Spare(0)}, now_);
  CHECK(Count(moves, "press", "spare") == 8);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_TurnBegins_AsksForMachinesBeforeABacklogHasFormed") {
  PoolView pool = Pool("press", 9, 60, 0);
  pool.arrival_cores = 480;
  const auto moves = planner_.Plan({pool, Spare(16)}, now_);
  CHECK(Count(moves, "spare", "press") == 6);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_TurnBegins_GivesNoneOfThatPoolsMachinesAway") {
  PoolView begins = Pool("fold", 9, 30, 0);
  planner_.Plan({Pool("press", 9, 30, 0), begins, Spare(0)}, now_);
  now_ += seconds(5);
  begins.arrival_cores = 480;
  const auto moves = planner_.Plan({Pool("press", 9, 280, 900), begins, Spare(0)}, now_);
  CHECK(Count(moves, "fold", "press") == 0);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_LargeFleet_MovesAShareOfItInOneRound") {
  planner_.Plan({Pool("press", 240, 800, 0), Spare(860)}, now_);
  now_ += seconds(1);
  const auto moves = planner_.Plan({Pool("press", 240, 7'600, 9'000), Spare(860)}, now_);
  CHECK(Count(moves, "spare", "press") == 33);  // 3% of 1,100.
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_OnePartUnderPressure_GetsOnlyMachinesOfItsRacks") {
  PoolView first = Pool("press", 9, 30, 0);
  first.racks = {{"r1"}};
  PoolView second = first;
  second.part = 1;
  second.racks = {{"r2"}};
  PoolView spare = Spare(8);
  for (std::size_t i = 0; i < spare.movable.size(); ++i) {
    spare.movable[i].rack = i == 2 ? "r2" : "r1";
  }
  planner_.Plan({first, second, spare}, now_);
  now_ += seconds(1);
  second.busy_cores = 280;
  second.backlog_work = 900;
  const auto moves = planner_.Plan({first, second, spare}, now_);
  REQUIRE(Count(moves, "spare", "press") == 1);
  CHECK(moves.front().machine == "spare2");
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_OnePartIsCalm_KeepsItsOwnThird") {
  PoolView first = Pool("fold", 9, 2, 0);
  PoolView second = first;
  second.part = 1;
  for (std::uint32_t i = 4; i < 9; ++i) first.movable.push_back({"fold" + std::to_string(i)});
  second.movable.clear();
  planner_.Plan({Pool("press", 9, 30, 0), first, second, Spare(0)}, now_);
  now_ += seconds(5);
  const auto moves = planner_.Plan({Pool("press", 9, 280, 900), first, second, Spare(0)}, now_);
  CHECK(Count(moves, "fold", "press") == 5);
}

// Guards against work that waits for good beside free cores: it fits into none of their runners.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_WorkFitsNowhere_BringsAMachineAlthoughCoresAreFree") {
  const auto moves = planner_.Plan({Stranded(9, 9, 1), Spare(8)}, now_);
  CHECK(Count(moves, "spare", "press") == 1);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_MachineForStrandedWorkIsOnItsWay_BringsNoOther") {
  for (int round = 0; round < 30; ++round) {
    CHECK(planner_.Plan({Stranded(9, 10, 1), Spare(8)}, now_).empty());
    now_ += milliseconds(100);
  }
}

// Guards against a machine that is down and hides the need of another.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_WorkFitsNowhereAndAMachineIsDown_BringsAnother") {
  PoolView pool = Stranded(8, 8, 1);
  pool.machines = 9;
  const auto moves = planner_.Plan({pool, Spare(8)}, now_);
  CHECK(Count(moves, "spare", "press") == 1);
}

// Guards against machines that are up while their runners cannot be found: they hide the need of
// others for as long as that lasts.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_MachinesAreUpAndTheirRunnersUnknown_BringsOneIn4s") {
  const PoolView pool = Stranded(7, 9, 1);
  std::size_t came = 0;
  for (int round = 0; round < 70; ++round) {
    came += planner_.Plan({pool, Spare(8)}, now_).size();
    if (round == 30) CHECK(came == 0);
    now_ += milliseconds(100);
  }
  CHECK(came == 1);
}

// Guards against the same with a machine that has come in vain: the time begins anew with each.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_MachineCameForStrandedWorkLately_WaitsForItFirst") {
  planner_.Plan({Stranded(9, 10, 1), Spare(8)}, now_);
  now_ += seconds(3);
  REQUIRE(planner_.Plan({Stranded(9, 9, 1), Spare(8)}, now_).size() == 1);
  now_ += seconds(3);
  CHECK(planner_.Plan({Stranded(9, 10, 1), Spare(8)}, now_).empty());
}

// Guards against a part that cannot ask since its last machine has left.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_WorkFitsNowhereAndPoolIsEmpty_BringsMachines") {
  PoolView pool = Stranded(0, 0, 2);
  pool.cores_per_machine = 0;
  const auto moves = planner_.Plan({pool, Spare(8)}, now_);
  CHECK(Count(moves, "spare", "press") == 2);
}

// Guards against a lasting task that stays away while the queue of another pool takes all machines.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_OneSpareMachine_GoesToWorkThatFitsNowhere") {
  const PoolView busy = Pool("fold", 9, 288, 4'000);
  const auto moves = planner_.Plan({busy, Stranded(9, 9, 1), Spare(2)}, now_);
  CHECK(Count(moves, "spare", "press") == 1);
  CHECK(Count(moves, "spare", "fold") == 0);
}

// Guards against machines given away by the pool whose work finds no place.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_WorkFitsNowhereInACalmPool_GivesNoneAway") {
  PoolView stranded = Stranded(9, 9, 1);
  stranded.backlog_work = 0;
  const PoolView busy = Pool("fold", 9, 280, 900);
  planner_.Plan({Pool("press", 9, 30, 0), Pool("fold", 9, 30, 0), Spare(0)}, now_);
  now_ += seconds(5);
  CHECK(Count(planner_.Plan({stranded, busy, Spare(0)}, now_), "press", "fold") == 0);
}

TEST_CASE_METHOD(PoolPlannerTest, "Plan_StrandedWorkIsDone_MachineLeavesAfterTheCalmTime") {
  planner_.Plan({Pool("press", 9, 30, 0), Spare(8)}, now_);
  now_ += seconds(5);
  CHECK(planner_.Plan({Stranded(10, 10, 1), Spare(0)}, now_).empty());
  now_ += seconds(1);
  CHECK(planner_.Plan({Pool("press", 10, 30, 0), Spare(0)}, now_).empty());
  now_ += seconds(1);
  const auto moves = planner_.Plan({Pool("press", 10, 30, 0), Spare(0)}, now_);
  CHECK(Count(moves, "press", "spare") == 1);
}

// Guards against machines kept as a reserve for lasting tasks, whose share of memory is large.
TEST_CASE_METHOD(PoolPlannerTest, "Plan_LastingTasksHoldThreeQuarters_GivesBackWhatCame") {
  PoolView pool = Pool("press", 9, 220, 0);
  pool.long_running_cores = 216;
  planner_.Plan({pool, Spare(8)}, now_);
  pool.machines = 12;
  now_ += seconds(5);
  CHECK(Count(planner_.Plan({pool, Spare(0)}, now_), "press", "spare") == 3);
}

TEST_CASE("ArrivalMeter_JobsLeaveTheWindow_TheirWorkGoesWithThem") {
  Instant now{std::chrono::hours(1)};
  ArrivalMeter meter;
  meter.RecordArrival(50, now);
  now += milliseconds(600);
  meter.RecordArrival(30, now);
  CHECK(meter.ExpectedCores(now) == Approx(80));
  CHECK(meter.ExpectedCores(now + milliseconds(600)) == Approx(30));
  CHECK(meter.ExpectedCores(now + seconds(3)) == Approx(0));
}

TEST_CASE("ArrivalMeter_SteadyArrivals_AreTheirMean") {
  Instant now{std::chrono::hours(1)};
  ArrivalMeter meter;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(10);
    meter.RecordArrival(1, now);
  }
  CHECK(meter.ExpectedCores(now) == Approx(100));
}

TEST_CASE("ArrivalMeter_Rise_IsTakenToGoOnForTheTimeOfAMove") {
  Instant now{std::chrono::hours(1)};
  ArrivalMeter meter;
  meter.RecordArrival(10, now);
  now += milliseconds(600);
  meter.RecordArrival(20, now);
  CHECK(meter.ExpectedCores(now) ==
        Approx(100));  // 20 and 40 cores of the halves, 20 more in each of 3.
}

TEST_CASE("ArrivalMeter_RiseFromNothing_IsTakenToTripleAtMost") {
  const Instant now{std::chrono::hours(1)};
  ArrivalMeter meter;
  meter.RecordArrival(20, now);
  CHECK(meter.ExpectedCores(now) == Approx(120));
}

}  // namespace
}  // namespace wigeonlane
