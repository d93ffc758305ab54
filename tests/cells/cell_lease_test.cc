/// How long the runs of a runner that falls silent are taken to last.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/cell_world.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class IdleRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kRoom{32'000, 64'000, 0};
};

// Guards against leases that reached beyond what a successor waits for: the clock of a runner that
// had been idle was taken to go at full rate, however long ago it was read.
TEST_CASE_METHOD(IdleRunnerTest, "Start_RunnerIdleForMinutes_LeaseStaysWithinReach") {
  Begin(1, kRoom);
  Pass(milliseconds(300'000));
  StepSpec step;
  step.need = {1'000, 1'000, 0};
  Submit(step);
  Pass(milliseconds(60));
  REQUIRE(starts_.size() == 1);
  const CellOptions options;
  CHECK(cell_->FindRunnerById(RunnerName(0))->lease_end - now_ <= options.max_lease_after_renewal);
  CHECK(starts_.back().deadline >= Clock());
}

// Guards against TWICE: a successor that does not wait for a runner, since the owner in between,
// which had not heard from it, stored the roster without its new life. What the first owner ordered
// there may be carried out late.
TEST_CASE_METHOD(IdleRunnerTest, "Roster_SilentRunnerComesWithANewLife_SuccessorWaitsForIt") {
  Begin(2, kRoom);
  Pass(milliseconds(300));
  unresponsive_.insert(RunnerName(0));
  Begin(2, kRoom);
  Pass(milliseconds(300));
  REQUIRE(cell_->unreconciled_runners() == 1);
  ++earlier_incarnations_[RunnerName(0)];
  ListRunners(2, kRoom);
  Pass(milliseconds(300));
  REQUIRE(cell_->unreconciled_runners() == 1);
  Begin(2, kRoom);
  CHECK(cell_->unreconciled_runners() == 2);
}

// Guards against a lasting task that was away for 20 s: an order to a former life of its runner had
// not been answered, and what ran on the new life was taken to last as long as that could.
TEST_CASE("LastingTask_OnLifeAfterAnUnansweredStart_IsBackInTime") {
  constexpr milliseconds kLongestAway{9'000};
  constexpr std::size_t kLastingShape = 3;
  constexpr std::size_t kSound = 16;
  constexpr std::size_t kRunners = 4;
  CellWorld world;
  world.Advance(milliseconds(500));
  world.DelayCommands(2);
  world.Submit(kLastingShape, kSound);
  world.Advance(milliseconds(300));
  const auto runner_of = [&](std::size_t index) {
    return world.cell()->FindRunnerById("runner-" + std::to_string(index));
  };
  for (std::size_t i = 0; i < kRunners; ++i) {
    if (!runner_of(i)->runs.empty()) world.RestartRunner(i);
  }
  world.Advance(milliseconds(4'000));
  const auto hosts = world.RunnersOf(0);
  REQUIRE(hosts.size() == 2);
  world.CrashRunner(*std::max_element(hosts.begin(), hosts.end(), [&](auto a, auto b) {
    return runner_of(a)->lease_end < runner_of(b)->lease_end;
  }));
  world.Advance(kLongestAway);
  CHECK(world.RunnersOf(0).size() == 2);
  INFO(world.broken());
  CHECK(world.broken().empty());
}

// Guards against runs that lapsed in outages of the store that they should outlive: a look without
// a lease waited at the runner while the store was back.
TEST_CASE("Run_StoreAwayForAsLongAsItsOutagesLast_Survives") {
  constexpr milliseconds kOutage{4'500};
  constexpr milliseconds kStep{100};
  constexpr std::size_t kLastingShape = 3;
  constexpr std::size_t kSound = 16;
  for (milliseconds phase{0}; phase < milliseconds(2'000); phase += kStep) {
    CellWorld world;
    world.Submit(kLastingShape, kSound);
    world.Advance(milliseconds(2'000) + phase);
    const std::uint64_t starts = world.cell()->counters().starts;
    world.StoreDown(kOutage);
    world.Advance(milliseconds(9'000));
    INFO("phase " << phase.count() << " ms");
    CHECK(world.cell()->counters().starts == starts);
    CHECK(world.RunnersOf(0).size() == 2);
  }
}

}  // namespace
}  // namespace wigeonlane
