/// Stateful fuzzing of the fold against the oracle in `FleetWorld`.
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/fleet/fleet_world.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kRuns = 3'000;
constexpr int kMaxCommandsPerRun = 300;
constexpr std::uint64_t kMinCommands = 200'000;

WIGEONLANE_WORLD_COMMAND(FleetWorld, Publish,
                         world->Publish(a, stale, static_cast<std::uint32_t>(b)));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Drain, world->Drain(a, stale));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Move, world->Move(a, b, stale));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Advance, world->Advance(a, b, stale));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Claim, world->Claim(a, b, stale));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Order, world->Order(a, b, c));
WIGEONLANE_WORLD_COMMAND(FleetWorld, FailRack, if (b < 8) world->FailRack(a));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Redeliver, world->Redeliver(a + 64 * b, c < 32));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Fold, world->Fold(a, b));
WIGEONLANE_WORLD_COMMAND(FleetWorld, FoldShuffled, world->FoldShuffled(a, b));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Snapshot, if (b < 16) world->Snapshot(a));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Trim, if (b < 16) world->Trim(a));
WIGEONLANE_WORLD_COMMAND(FleetWorld, Restart, if (c < 16) world->Restart(a, b));

class FleetFuzzTest {
 protected:
  static void FuzzOnce() {
    FleetWorld world;
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Publish, Drain, Drain, Move, Advance, Advance, Claim,
                                          Order, FailRack, Redeliver, Fold, Fold, FoldShuffled,
                                          Snapshot, Trim, Restart>());
    world.Settle();
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }
};

TEST_CASE_METHOD(FleetFuzzTest, "Folds_UnderRacesTrimsAndRestarts_AgreeAndKeepBudgets") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kMaxCommandsPerRun);
  std::cout << "fleet fuzzing: " << WorldCommand<FleetWorld>::executed_commands << " commands\n";
  CHECK(WorldCommand<FleetWorld>::executed_commands >= kMinCommands);
}

}  // namespace
}  // namespace wigeonlane
