/// How long the runs of an unresponsive runner are assumed to last.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/cell_world.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class IdleRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{32'000, 64'000, 0};
};

// Guards against leases that end later than a successor waits: the clock of an idle runner was
// assumed to run at full rate, however long ago it was read.
TEST_CASE_METHOD(IdleRunnerTest, "Start_RunnerIdleForMinutes_LeaseStaysWithinReach") {
  Begin(1, kCapacity);
  AdvanceTime(milliseconds(300'000));
  StepSpec step;
  step.need = {1'000, 1'000, 0};
  Submit(step);
  AdvanceTime(milliseconds(60));
  REQUIRE(starts_.size() == 1);
  const CellOptions options;
  CHECK(cell_->FindRunnerById(RunnerName(0))->lease_end - now_ <= options.max_lease_after_renewal);
  CHECK(starts_.back().deadline >= Clock());
}

// Guards against TWICE (a task runs twice): a successor did not wait for a runner, because the
// owner in between, to which the runner had not responded, stored the runner registry without the
// new incarnation of the runner. Commands of the first owner may be executed late on that runner.
TEST_CASE_METHOD(IdleRunnerTest,
                 "RunnerRegistry_UnresponsiveRunnerHasANewIncarnation_SuccessorWaitsForIt") {
  Begin(2, kCapacity);
  AdvanceTime(milliseconds(300));
  unresponsive_.insert(RunnerName(0));
  Begin(2, kCapacity);
  AdvanceTime(milliseconds(300));
  REQUIRE(cell_->unreconciled_runners() == 1);
  ++earlier_incarnations_[RunnerName(0)];
  ListRunners(2, kCapacity);
  AdvanceTime(milliseconds(300));
  REQUIRE(cell_->unreconciled_runners() == 1);
  Begin(2, kCapacity);
  CHECK(cell_->unreconciled_runners() == 2);
}

// Guards against a long-running task that was unavailable for 20 s: a command to an earlier
// incarnation of its runner had no response, and the runs on the new incarnation were assumed to
// last as long as that command could.
TEST_CASE("LongRunningTask_OnIncarnationAfterAnUnacknowledgedStart_RunsAgainInTime") {
  constexpr milliseconds kMaxUnavailable{9'000};
  constexpr std::size_t kLongRunningShape = 3;
  constexpr std::size_t kNoFailure = 16;
  constexpr std::size_t kRunners = 4;
  CellWorld world;
  world.Advance(milliseconds(500));
  world.DelayCommands(2);
  world.Submit(kLongRunningShape, kNoFailure);
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
  world.Advance(kMaxUnavailable);
  CHECK(world.RunnersOf(0).size() == 2);
  INFO(world.broken());
  CHECK(world.broken().empty());
}

// Guards against runs whose lease expired in an outage of the store that they should survive: a
// poll without a lease was still pending at the runner when the store was available again.
TEST_CASE("Run_StoreUnavailableForTheLongestOutage_Survives") {
  constexpr milliseconds kOutage{4'500};
  constexpr milliseconds kStep{100};
  constexpr std::size_t kLongRunningShape = 3;
  constexpr std::size_t kNoFailure = 16;
  for (milliseconds phase{0}; phase < milliseconds(2'000); phase += kStep) {
    CellWorld world;
    world.Submit(kLongRunningShape, kNoFailure);
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
