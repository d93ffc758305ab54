/// Stateful fuzzing of the fold against the oracle in `FleetWorld`.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "tests/fleet/fleet_world.h"
#include "tests/support/property.h"

namespace wigeonlane {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kRuns = 3'000;
constexpr int kLongestRun = 300;
constexpr std::uint64_t kCommandsInCi = 200'000;

std::uint64_t g_commands = 0;

struct NoModel {};

using WorldCommand = rc::state::Command<NoModel, FleetWorld>;

/// A command with three free numbers. Preconditions are stale in one of eight.
struct NumbersCommand : WorldCommand {
  const std::size_t a = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t b = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t c = *rc::gen::inRange<std::size_t>(0, 64);
  const std::uint64_t stale = c < 56 ? 0 : c - 55;

  virtual void Do(FleetWorld* world) const = 0;
  virtual const char* Name() const = 0;

  void run(const NoModel& /*model*/, FleetWorld& world) const override {
    ++g_commands;
    Do(&world);
    if (!world.broken().empty()) RC_FAIL(world.broken());
  }

  void show(std::ostream& out) const override {
    out << Name() << "(" << a << ", " << b << ", " << c << ")";
  }
};

#define WIGEONLANE_WORLD_COMMAND(name, call)            \
  struct name : NumbersCommand {                        \
    void Do(FleetWorld* world) const override { call; } \
    const char* Name() const override { return #name; } \
  }

WIGEONLANE_WORLD_COMMAND(Publish, world->Publish(a, stale, static_cast<std::uint32_t>(b)));
WIGEONLANE_WORLD_COMMAND(Drain, world->Drain(a, stale));
WIGEONLANE_WORLD_COMMAND(Move, world->Move(a, b, stale));
WIGEONLANE_WORLD_COMMAND(Advance, world->Advance(a, b, stale));
WIGEONLANE_WORLD_COMMAND(Claim, world->Claim(a, b, stale));
WIGEONLANE_WORLD_COMMAND(Order, world->Order(a, b, c));
WIGEONLANE_WORLD_COMMAND(FailRack, if (b < 8) world->FailRack(a));
WIGEONLANE_WORLD_COMMAND(Redeliver, world->Redeliver(a + 64 * b, c < 32));
WIGEONLANE_WORLD_COMMAND(Fold, world->Fold(a, b));
WIGEONLANE_WORLD_COMMAND(FoldShuffled, world->FoldShuffled(a, b));
WIGEONLANE_WORLD_COMMAND(Snapshot, if (b < 16) world->Snapshot(a));
WIGEONLANE_WORLD_COMMAND(Trim, if (b < 16) world->Trim(a));
WIGEONLANE_WORLD_COMMAND(Restart, if (c < 16) world->Restart(a, b));

#undef WIGEONLANE_WORLD_COMMAND

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
      kSeed, kRuns, [] { FuzzOnce(); }, kLongestRun);
  std::cout << "fleet fuzzing: " << g_commands << " commands\n";
  CHECK(g_commands >= kCommandsInCi);
}

}  // namespace
}  // namespace wigeonlane
