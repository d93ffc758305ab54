/// Stateful fuzzing of order claims against the oracle in `OrderWorld`.
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <catch2/catch.hpp>
#include <iostream>

#include "tests/policy/order_world.h"
#include "tests/support/property.h"

namespace wigeonlane {
namespace {

constexpr std::uint64_t kSeed = 20'261'204;
constexpr int kRuns = 3'000;
constexpr int kLongestRun = 300;
constexpr std::uint64_t kCommandsInCi = 200'000;

std::uint64_t g_commands = 0;

struct NoModel {};

using WorldCommand = rc::state::Command<NoModel, OrderWorld>;

/// A command with three free numbers.
struct NumbersCommand : WorldCommand {
  const std::size_t a = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t b = *rc::gen::inRange<std::size_t>(0, 64);
  const std::size_t c = *rc::gen::inRange<std::size_t>(0, 64);

  virtual void Do(OrderWorld* world) const = 0;
  virtual const char* Name() const = 0;

  void run(const NoModel& /*model*/, OrderWorld& world) const override {
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
    void Do(OrderWorld* world) const override { call; } \
    const char* Name() const override { return #name; } \
  }

WIGEONLANE_WORLD_COMMAND(Send, world->Send(a, b, c < 60 ? 0 : 1));
WIGEONLANE_WORLD_COMMAND(Append, world->Append(a, b < 56 ? 0 : 1));
WIGEONLANE_WORLD_COMMAND(Redeliver, world->Redeliver(a + 64 * b));
WIGEONLANE_WORLD_COMMAND(Fold, world->Fold(a, b));
WIGEONLANE_WORLD_COMMAND(FoldFromPeer, world->FoldFromPeer(a, b));
WIGEONLANE_WORLD_COMMAND(RunOne, world->RunOne(a, static_cast<BackendFate>(b % 4)));
WIGEONLANE_WORLD_COMMAND(GiveUp, world->GiveUp(a, b));
WIGEONLANE_WORLD_COMMAND(Kill, if (b < 16) world->Kill(a));
WIGEONLANE_WORLD_COMMAND(Freeze, world->Freeze(a, b < 16));
WIGEONLANE_WORLD_COMMAND(CutOff, world->CutOff(a, b < 16));
WIGEONLANE_WORLD_COMMAND(LogDown, world->SetLogDown(b < 16));
WIGEONLANE_WORLD_COMMAND(Advance, world->Advance(std::chrono::seconds(a)));

#undef WIGEONLANE_WORLD_COMMAND

class OrderFuzzTest {
 protected:
  static void FuzzOnce() {
    OrderWorld world;
    rc::state::check(
        NoModel(), world,
        rc::state::gen::execOneOfWithArgs<Send, Send, Append, Append, Fold, Fold, FoldFromPeer,
                                          RunOne, RunOne, Redeliver, GiveUp, Kill, Freeze, CutOff,
                                          LogDown, Advance>());
    world.Settle();
    if (!world.broken().empty()) RC_FAIL(world.broken());
    RC_ASSERT(world.waiting() == 0U);
  }
};

TEST_CASE_METHOD(OrderFuzzTest, "Orders_UnderKillsCutsAndOutages_RunAtMostOnceAndAreToldTruly") {
  RequireProperty(
      kSeed, kRuns, [] { FuzzOnce(); }, kLongestRun);
  std::cout << "order fuzzing: " << g_commands << " commands\n";
  CHECK(g_commands >= kCommandsInCi);
}

}  // namespace
}  // namespace wigeonlane
