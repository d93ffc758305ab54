/// Stateful fuzzing of runners that restart behind a relay, whose connections outlive them, checked
/// by the oracle of `CellWorld`.
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/cells/cell_world.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 48;
constexpr int kRuns = 3'000;
constexpr int kMaxCommandsPerRun = 100;
constexpr std::uint64_t kMinCommands = 60'000;

constexpr std::size_t kShapes = 6;
constexpr std::size_t kLongRunningShape = 3;
/// Beside the tasks of more long-running jobs, large tasks might fit on no runner.
constexpr std::size_t kMaxLongRunningJobs = 8;
constexpr std::size_t kNoFailure = 16;
/// By then a successor has called all runners that it reaches.
constexpr milliseconds kUntilCalled{300};

void SubmitShape(CellWorld* world, std::size_t shape, std::size_t outcome_seed) {
  const bool may_be_long_running = world->long_running_jobs() < kMaxLongRunningJobs;
  if (shape % kShapes == kLongRunningShape && !may_be_long_running) shape = 0;
  world->Submit(shape, outcome_seed);
}

/// Submits a long-running job and short ones.
void SubmitBurst(CellWorld* world, std::size_t jobs, std::size_t outcome_seed) {
  for (std::size_t job = 0; job < jobs; ++job) {
    SubmitShape(world, job == 0 ? kLongRunningShape : job - 1, kNoFailure + outcome_seed + job);
  }
}

/// A runner is down for a while, in which its owner sends starts. Discovery lists the next
/// incarnation late, or not before it is cut off.
void RestartDuringStarts(CellWorld* world, std::size_t runner, std::size_t pace, std::size_t fate) {
  world->CrashRunner(runner);
  world->Advance(milliseconds(10 * (pace % 8)));
  SubmitBurst(world, 1 + fate % 4, pace);
  world->Advance(milliseconds(15 * pace));
  world->RestartRunnerUnlisted(runner, milliseconds(60 * fate));
  if (fate % 3 == 0) SubmitBurst(world, 2, fate);
  world->Advance(milliseconds(20 * (fate % 16)));
  if (fate % 2 == 0) world->CutRunner(runner, milliseconds(250 * pace));
}

/// The successor reaches all runners that are alive.
void TakeOverInReach(CellWorld* world, bool former_killed) {
  world->EndCuts();
  world->TakeOver(former_killed);
  world->Advance(kUntilCalled);
}

/// The successor learns from discovery which runners have restarted, reached or not.
void TakeOverListed(CellWorld* world, bool former_killed) {
  world->ListRestarts();
  world->TakeOver(former_killed);
}

WIGEONLANE_WORLD_COMMAND(CellWorld, Submit, SubmitShape(world, a, b));
WIGEONLANE_WORLD_COMMAND(CellWorld, SubmitLongRunning,
                         SubmitShape(world, kLongRunningShape, kNoFailure));
WIGEONLANE_WORLD_COMMAND(CellWorld, Step, world->Advance(milliseconds(1 + 2 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, Wait, world->Advance(milliseconds(50 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, TakeOverReached, if (b < 16) TakeOverInReach(world, a < 32));
WIGEONLANE_WORLD_COMMAND(CellWorld, TakeOverWithListing, if (b < 16) TakeOverListed(world, a < 32));
WIGEONLANE_WORLD_COMMAND(CellWorld, CrashRunner, if (b < 32) world->CrashRunner(a));
WIGEONLANE_WORLD_COMMAND(CellWorld, RestartRunner,
                         world->RestartRunnerUnlisted(a, milliseconds(80 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutRunner, world->CutRunner(a, milliseconds(200 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, LoseResponses, world->LoseResponses(a % 4));
WIGEONLANE_WORLD_COMMAND(CellWorld, HoldUpPolls, world->HoldUpPolls(a % 4, milliseconds(20 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, RestartBehindRelay, RestartDuringStarts(world, a, b, c));

class CellRelayedCommandFuzzTest {
 protected:
  static void FuzzOnce() {
    CellWorld world;
    world.RelayConnections();
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Submit, SubmitLongRunning, Step, Wait, Wait,
                                          TakeOverReached, TakeOverWithListing, CrashRunner,
                                          RestartRunner, CutRunner, LoseResponses, HoldUpPolls,
                                          RestartBehindRelay, RestartBehindRelay>());
    world.EndFaultsAndCheck();
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }
};

// Guards against TWICE (issue 48): a start that was meant for one incarnation of a runner runs on
// the next one, over a connection that outlives the runner, while its owner starts the task
// elsewhere.
TEST_CASE_METHOD(CellRelayedCommandFuzzTest,
                 "Cell_ConnectionsOutliveTheirRunners_KeepsItsGuaranteesForJobs") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kMaxCommandsPerRun);
  std::cout << "relayed command fuzzing: " << WorldCommand<CellWorld>::executed_commands
            << " commands\n";
  CHECK(WorldCommand<CellWorld>::executed_commands >= kMinCommands);
}

}  // namespace
}  // namespace wigeonlane
