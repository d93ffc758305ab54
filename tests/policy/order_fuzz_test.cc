/// Stateful fuzzing of order claims against the oracle in `OrderWorld`.
#include <catch2/catch.hpp>
#include <iostream>

#include "tests/policy/order_world.h"
#include "tests/support/property.h"
#include "tests/support/world_command.h"

namespace wigeonlane {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kRuns = 3'000;
constexpr int kMaxCommandsPerRun = 300;
constexpr std::uint64_t kMinCommands = 200'000;

WIGEONLANE_WORLD_COMMAND(OrderWorld, Send, world->Send(a, b, c < 60 ? 0 : 1));
WIGEONLANE_WORLD_COMMAND(OrderWorld, Append, world->Append(a, b < 56 ? 0 : 1));
WIGEONLANE_WORLD_COMMAND(OrderWorld, Redeliver, world->Redeliver(a + 64 * b));
WIGEONLANE_WORLD_COMMAND(OrderWorld, Fold, world->Fold(a, b));
WIGEONLANE_WORLD_COMMAND(OrderWorld, FoldFromPeer, world->FoldFromPeer(a, b));
WIGEONLANE_WORLD_COMMAND(OrderWorld, RunOne, world->RunOne(a, static_cast<BackendBehavior>(b % 4)));
WIGEONLANE_WORLD_COMMAND(OrderWorld, AbandonCaller, world->AbandonCaller(a, b));
WIGEONLANE_WORLD_COMMAND(OrderWorld, Crash, if (b < 16) world->Crash(a));
WIGEONLANE_WORLD_COMMAND(OrderWorld, SetFrozen, world->SetFrozen(a, b < 16));
WIGEONLANE_WORLD_COMMAND(OrderWorld, SetPartitioned, world->SetPartitioned(a, b < 16));
WIGEONLANE_WORLD_COMMAND(OrderWorld, LogDown, world->SetLogDown(b < 16));
WIGEONLANE_WORLD_COMMAND(OrderWorld, Advance, world->Advance(std::chrono::seconds(a)));

class OrderFuzzTest {
 protected:
  static void FuzzOnce() {
    OrderWorld world;
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Send, Send, Append, Append, Fold, Fold, FoldFromPeer,
                                          RunOne, RunOne, Redeliver, AbandonCaller, Crash,
                                          SetFrozen, SetPartitioned, LogDown, Advance>());
    world.Settle();
    if (!world.broken().empty()) RC_FAIL(world.broken());
    RC_ASSERT(world.waiting() == 0U);
  }
};

TEST_CASE_METHOD(OrderFuzzTest, "Orders_UnderKillsCutsAndOutages_RunAtMostOnceAndAreToldTruly") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kMaxCommandsPerRun);
  std::cout << "order fuzzing: " << WorldCommand<OrderWorld>::executed_commands << " commands\n";
  CHECK(WorldCommand<OrderWorld>::executed_commands >= kMinCommands);
}

}  // namespace
}  // namespace wigeonlane
