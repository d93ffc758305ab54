/// A machine that goes down after its runner was released, before the owner is notified.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Two runners with one long-running task each, of a step that tolerates one unavailable task. No
/// other runner has capacity.
class CellReleasedRunnerTest : protected ScriptedCell {
 protected:
  CellReleasedRunnerTest() {
    TakeOver();
    StepSpec step;
    step.count = 2;
    step.need = {1'000, 1'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step);
    AdvanceTime(milliseconds(4'000));
  }

  void TakeOver() {
    Begin(2, {1'000, 1'000, 0});
    AdvanceTime(milliseconds(100));
  }

  bool Release(std::size_t runner) {
    return cell_->ReserveRunner(RunnerName(runner), Time()).verdict == CallVerdict::kReady;
  }

  /// Whether the second runner is released within 8 s after `down_at`, when the first one goes down
  /// at that time without a notification.
  bool ReleasesSecondWhileFirstIsDown(Instant down_at) {
    AdvanceTime(std::chrono::ceil<milliseconds>(down_at - now_));
    down_.insert(RunnerName(0));
    for (milliseconds passed{0}; passed < milliseconds(8'000); passed += kRequestInterval) {
      AdvanceTime(kRequestInterval);
      if (Release(1)) return true;
    }
    return false;
  }

  /// Interval at which the coordinator repeats its request.
  static constexpr milliseconds kRequestInterval{100};
  /// Delays from a release until the platform executes the command. The longest consists of 0.4 s
  /// for the response to the coordinator, 0.3 s in its queue and 1.5 s at the platform.
  static constexpr milliseconds kShortDelay{100};
  static constexpr milliseconds kLongDelay{1'400};
  static constexpr milliseconds kMaxDelay{2'200};
};

// Guards against AVAIL (issue 25): a machine goes down by a command whose response is lost. Until
// its poll timed out, the owner counted its task as running and released another runner of the
// step.
TEST_CASE_METHOD(CellReleasedRunnerTest, "Release_AnotherRunnerWentDownUnnoticed_IsRefused") {
  REQUIRE(Release(0));
  const Instant down_at = now_ + GENERATE(kShortDelay, kLongDelay, kMaxDelay);
  CHECK_FALSE(ReleasesSecondWhileFirstIsDown(down_at));
}

// Guards against the same fault at a successor, which does not know which runners were released.
TEST_CASE_METHOD(CellReleasedRunnerTest,
                 "Release_BySuccessorAfterAnotherRunnerWentDownUnnoticed_IsRefused") {
  REQUIRE(Release(0));
  const Instant down_at = now_ + GENERATE(kShortDelay, kLongDelay, kMaxDelay);
  TakeOver();
  CHECK_FALSE(ReleasesSecondWhileFirstIsDown(down_at));
}

// Guards against AVAIL (issue 45): a released runner restarted under its id before its machine went
// down. The owner started its task there again and released another runner of the step.
TEST_CASE_METHOD(CellReleasedRunnerTest, "Release_ReleasedRunnerRestarts_StaysReleased") {
  REQUIRE(Release(0));
  ++earlier_incarnations_[RunnerName(0)];
  running_[RunnerName(0)].clear();
  ListRunners(2, {1'000, 1'000, 0});
  const Instant down_at = now_ + GENERATE(kShortDelay, kLongDelay, kMaxDelay);
  for (; now_ < down_at; AdvanceTime(kRequestInterval)) {
    CHECK_FALSE(Release(1));
    CHECK(running_[RunnerName(0)].empty());
  }
  CHECK_FALSE(ReleasesSecondWhileFirstIsDown(down_at));
}

// Guards against two runners of a step being released at the same time, one by an owner that cannot
// reach the store and one by its successor, which does not know of the first. The successor gets
// the cell 1 s after the last renewal at the earliest.
TEST_CASE_METHOD(CellReleasedRunnerTest,
                 "Release_RenewalsAreNotConfirmed_IsRefusedOnceTheCellMayBeLost") {
  now_ += milliseconds(990);
  CHECK(Release(0));
  now_ += milliseconds(20);
  CHECK_FALSE(Release(0));
}

}  // namespace
}  // namespace wigeonlane
