/// Stateful fuzzing of runners that restart while polls and starts are executed late, checked by
/// the oracle of `CellWorld`.
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/cells/cell_world.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 20'261'206;
constexpr int kRuns = 5'000;
constexpr int kMaxCommandsPerRun = 100;
constexpr std::uint64_t kMinCommands = 100'000;

constexpr std::size_t kLongRunningShape = 3;
constexpr std::size_t kNoFailure = 16;
constexpr milliseconds kMinDelay{1'000};

/// A runner restarts shortly before a poll that was meant for its earlier incarnation is executed,
/// and is cut off from all owners, or only from those that start later.
void RestartBeforeLatePoll(CellWorld* world, std::size_t runner, std::size_t lead,
                           std::size_t cut) {
  world->DelayPolls(1, kMinDelay);
  world->Advance(kMinDelay - milliseconds(5 * lead));
  world->RestartRunner(runner);
  world->Advance(milliseconds(1'000));
  if (cut % 2 == 0) world->CutRunner(runner, milliseconds(300 * cut));
  if (cut % 2 == 1) world->CutRunnerFromSuccessors(runner, milliseconds(300 * cut));
}

WIGEONLANE_WORLD_COMMAND(CellWorld, Submit, world->Submit(a, b));
WIGEONLANE_WORLD_COMMAND(CellWorld, SubmitLongRunning,
                         world->Submit(kLongRunningShape, kNoFailure));
WIGEONLANE_WORLD_COMMAND(CellWorld, Wait, world->Advance(milliseconds(50 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, TakeOver, if (b < 24) world->TakeOver(a < 32));
WIGEONLANE_WORLD_COMMAND(CellWorld, RestartRunner, if (b < 32) world->RestartRunner(a));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutRunner, world->CutRunner(a, milliseconds(150 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutFromSuccessors,
                         world->CutRunnerFromSuccessors(a, milliseconds(150 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, DelayCommands, world->DelayCommands(a % 4));
WIGEONLANE_WORLD_COMMAND(CellWorld, DelayPolls,
                         world->DelayPolls(a % 3, kMinDelay + milliseconds(100 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, RestartLate, RestartBeforeLatePoll(world, a, b, c));

class CellStrayLeaseFuzzTest {
 protected:
  static void FuzzOnce() {
    CellWorld world;
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Submit, SubmitLongRunning, Wait, Wait, TakeOver,
                                          RestartRunner, CutRunner, CutFromSuccessors,
                                          DelayCommands, DelayPolls, RestartLate, RestartLate>());
    world.EndFaultsAndCheck();
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }
};

// Guards against TWICE (issue 45): a poll that was meant for an earlier incarnation of a runner
// grants a lease that the owner or its successor does not count.
TEST_CASE_METHOD(CellStrayLeaseFuzzTest,
                 "Cell_RunnersRestartWhilePollsAreLate_KeepsItsGuaranteesForJobs") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kMaxCommandsPerRun);
  std::cout << "stray lease fuzzing: " << WorldCommand<CellWorld>::executed_commands
            << " commands\n";
  CHECK(WorldCommand<CellWorld>::executed_commands >= kMinCommands);
}

}  // namespace
}  // namespace wigeonlane
