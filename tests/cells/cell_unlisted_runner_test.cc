/// A runner that is out of reach and that discovery does not list may still run its tasks.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kLongRunningShape = 3;
constexpr std::size_t kOutcomeSeed = 17;
constexpr std::size_t kHost = 0;
constexpr std::size_t kOtherHost = 1;
constexpr std::size_t kIdleRunner = 2;
constexpr std::size_t kOtherIdleRunner = 3;
/// Polls follow each other at this interval.
constexpr milliseconds kPollInterval{1'500};
constexpr milliseconds kPollDelay{600};

// Guards against TWICE (issue 54): a late poll to an earlier incarnation grants a lease of 10 s.
// The runner then falls silent, and the successor starts its task elsewhere once discovery has
// dropped it, while the task still runs.
TEST_CASE("LongRunningTask_SilentRunnerGotLatePoll_RunsOnceAtATime") {
  for (milliseconds phase{0}; phase < kPollInterval + kPollDelay; phase += milliseconds(50)) {
    CellWorld world;
    world.Submit(kLongRunningShape, kOutcomeSeed);
    world.Advance(milliseconds(2'000));
    world.CrashRunner(kIdleRunner);
    world.CrashRunner(kOtherIdleRunner);
    world.DelayPolls(2, kPollDelay);
    world.Advance(phase);
    world.RestartRunner(kHost);
    world.RestartRunner(kOtherHost);
    world.Advance(kPollDelay);
    world.TakeOver(true);
    world.RestartRunner(kIdleRunner);
    world.RestartRunner(kOtherIdleRunner);
    world.CutRunnerForGood(kHost);
    world.Advance(milliseconds(15'000));
    INFO(phase.count() << " ms: " << world.broken());
    CHECK(world.broken().empty());
  }
}

}  // namespace
}  // namespace wigeonlane
