/// A runner becomes unresponsive, and then two owners one after the other.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A long-running task may be unavailable for this long (the platform's rule on lost tasks).
constexpr milliseconds kMaxUnavailable{9'000};
constexpr milliseconds kUntilFirstOwnerLost{2'000};
constexpr milliseconds kUntilSecondOwnerLost{2'000};

// Guards against a wait for an unresponsive runner that starts again at each successor, although
// the owner in between has granted no lease on that runner.
TEST_CASE("LongRunningTask_TwoOwnersLostAfterItsRunner_RunsAgainInTime") {
  CellWorld world;
  world.Submit(3, 16);
  world.Submit(3, 17);
  world.Advance(milliseconds(2'000));
  REQUIRE(world.RunnersOf(0).size() == 2);
  world.CrashRunner(world.RunnersOf(0).front());
  world.Advance(kUntilFirstOwnerLost);
  world.TakeOver(true);
  world.Advance(kUntilSecondOwnerLost);
  world.TakeOver(true);
  world.Advance(kMaxUnavailable - kUntilFirstOwnerLost - kUntilSecondOwnerLost);
  CHECK(world.RunnersOf(0).size() == 2);
}

}  // namespace
}  // namespace wigeonlane
