/// Stateful fuzzing of owners that lose the store or the cell without knowing it, while each owner
/// reaches other runners, checked by the oracle of `CellWorld`.
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/cells/cell_world.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 60;
constexpr int kRuns = 3'000;
constexpr int kMaxCommandsPerRun = 100;
constexpr std::uint64_t kMinCommands = 60'000;

constexpr std::size_t kRunners = 4;
constexpr std::size_t kLongRunningShape = 3;
constexpr std::size_t kNoFailure = 16;

/// The owner loses the path to a runner, and later the cell. Its successor reaches that runner and
/// not all of the others.
void LoseRunnerAndCell(CellWorld* world, std::size_t runner, std::size_t time, std::size_t cuts) {
  constexpr milliseconds kCut{12'000};
  world->CutRunnerFromOwner(runner, kCut);
  world->Advance(milliseconds(2'500 + 60 * time));
  if (cuts % 2 == 0) {
    world->CutOwnerFromStore(milliseconds(4'000));
    world->Advance(CellOptions().min_membership);
  }
  for (std::size_t other = 1; other < kRunners; ++other) {
    if ((cuts >> other) % 2 == 0) world->CutRunnerFromSuccessors(runner + other, kCut);
  }
  world->TakeOver(false);
}

/// The owner freezes, and reads the response to a renewal that it sent before once it has woken.
void FreezeDuringRenewal(CellWorld* world, std::size_t duration, std::size_t lead) {
  const milliseconds frozen(50 * duration);
  world->DelayRenewals(1, frozen);
  world->Advance(milliseconds(10 * lead));
  world->Freeze(frozen);
}

/// The group assigns the cell to another instance and back, between two renewals of its owner,
/// which holds it for a while before it loses it for good.
void LoseAndRegain(CellWorld* world, std::size_t lost, std::size_t regained, std::size_t fate) {
  world->TakeOver(false);
  world->Advance(milliseconds(10 * lost));
  world->ReassignToPreviousOwner(fate % 2 == 0);
  world->Advance(milliseconds(100 * regained));
  world->TakeOver(false);
}

WIGEONLANE_WORLD_COMMAND(CellWorld, Submit, world->Submit(a, b));
WIGEONLANE_WORLD_COMMAND(CellWorld, SubmitLongRunning,
                         world->Submit(kLongRunningShape, kNoFailure));
WIGEONLANE_WORLD_COMMAND(CellWorld, Step, world->Advance(milliseconds(1 + 2 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, Wait, world->Advance(milliseconds(50 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, TakeOver, if (b < 24) world->TakeOver(a < 16));
WIGEONLANE_WORLD_COMMAND(CellWorld, Regain, if (c < 16) LoseAndRegain(world, a, b, c));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutOwnerFromStore,
                         world->CutOwnerFromStore(milliseconds(50 * a)));
WIGEONLANE_WORLD_COMMAND(CellWorld, DelayRenewals,
                         world->DelayRenewals(a % 4, milliseconds(40 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, FreezeInRenewal, if (c < 32) FreezeDuringRenewal(world, a, b));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutFromOwner,
                         world->CutRunnerFromOwner(a, milliseconds(150 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, CutFromSuccessors,
                         world->CutRunnerFromSuccessors(a, milliseconds(150 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, RestartRunner, if (b < 24) world->RestartRunner(a));
WIGEONLANE_WORLD_COMMAND(CellWorld, DelayCommands, world->DelayCommands(a % 4));
WIGEONLANE_WORLD_COMMAND(CellWorld, DelayPolls,
                         world->DelayPolls(a % 3, milliseconds(1'000 + 100 * b)));
WIGEONLANE_WORLD_COMMAND(CellWorld, LoseBoth, LoseRunnerAndCell(world, a, b, c));

class CellFormerOwnerFuzzTest {
 protected:
  static void FuzzOnce() {
    CellWorld world;
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Submit, SubmitLongRunning, Step, Wait, Wait, TakeOver,
                                          Regain, CutOwnerFromStore, DelayRenewals, FreezeInRenewal,
                                          CutFromOwner, CutFromSuccessors, RestartRunner,
                                          DelayCommands, DelayPolls, LoseBoth>());
    world.EndFaultsAndCheck();
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }
};

// Guards against TWICE (issue 60): a former owner counts a lease as over that its successor has
// prolonged, and starts the task again.
TEST_CASE_METHOD(CellFormerOwnerFuzzTest,
                 "Cell_OwnersLoseTheCellUnnoticed_KeepsItsGuaranteesForJobs") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kMaxCommandsPerRun);
  std::cout << "former owner fuzzing: " << WorldCommand<CellWorld>::executed_commands
            << " commands\n";
  CHECK(WorldCommand<CellWorld>::executed_commands >= kMinCommands);
}

}  // namespace
}  // namespace wigeonlane
