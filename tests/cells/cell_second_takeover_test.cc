/// A runner falls silent, and two owners after each other.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A lasting task may be away for this long (the platform's rule on lost tasks).
constexpr milliseconds kLongestAway{9'000};
constexpr milliseconds kUntilFirst{2'000};
constexpr milliseconds kUntilSecond{2'000};

// Guards against the wait for a silent runner that begins anew at each successor, though the one in
// between has granted it nothing.
TEST_CASE("LastingTask_TwoOwnersLostAfterItsRunner_RunsAgainInTime") {
  CellWorld world;
  world.Submit(3, 16);
  world.Submit(3, 17);
  world.Advance(milliseconds(2'000));
  REQUIRE(world.RunnersOf(0).size() == 2);
  world.CrashRunner(world.RunnersOf(0).front());
  world.Advance(kUntilFirst);
  world.TakeOver(true);
  world.Advance(kUntilSecond);
  world.TakeOver(true);
  world.Advance(kLongestAway - kUntilFirst - kUntilSecond);
  CHECK(world.RunnersOf(0).size() == 2);
}

}  // namespace
}  // namespace wigeonlane
