/// A machine that goes down after its runner was released, before the owner hears of it.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Two runners with a lasting task each, of a step that may miss one. No other runner has room.
class CellReleasedRunnerTest : protected ScriptedCell {
 protected:
  CellReleasedRunnerTest() {
    Take();
    StepSpec step;
    step.count = 2;
    step.need = {1'000, 1'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step);
    Pass(milliseconds(4'000));
  }

  void Take() {
    Begin(2, {1'000, 1'000, 0});
    Pass(milliseconds(100));
  }

  bool Release(std::size_t runner) {
    return cell_->ReserveRunner(RunnerName(runner), Time()).verdict == CallVerdict::kReady;
  }

  /// Whether the second runner is released at some time of the next 8 s, when the first goes down
  /// at `down_at` and nobody says so.
  bool ReleasesSecondBesideFirst(Instant down_at) {
    Pass(std::chrono::ceil<milliseconds>(down_at - now_));
    down_.insert(RunnerName(0));
    for (milliseconds passed{0}; passed < milliseconds(8'000); passed += kRound) {
      Pass(kRound);
      if (Release(1)) return true;
    }
    return false;
  }

  /// The coordinator asks again in each round.
  static constexpr milliseconds kRound{100};
  /// Times from a release to the order's being carried out: 0.4 s for the answer to the
  /// coordinator, 0.3 s in line and 1.5 s at the platform are the most.
  static constexpr milliseconds kSoon{100};
  static constexpr milliseconds kLate{1'400};
  static constexpr milliseconds kLatest{2'200};
};

// Guards against AVAIL (issue 25): a machine goes down by an order whose answer is lost, and until
// its look times out the owner counts its task as at work and releases another runner of the step.
TEST_CASE_METHOD(CellReleasedRunnerTest, "Release_AnotherRunnerWentDownUnheard_IsRefused") {
  REQUIRE(Release(0));
  const Instant down_at = now_ + GENERATE(kSoon, kLate, kLatest);
  CHECK_FALSE(ReleasesSecondBesideFirst(down_at));
}

// Guards against the same at a successor, which does not know what was released.
TEST_CASE_METHOD(CellReleasedRunnerTest, "Release_BySuccessorAnotherWentDownUnheard_IsRefused") {
  REQUIRE(Release(0));
  const Instant down_at = now_ + GENERATE(kSoon, kLate, kLatest);
  Take();
  CHECK_FALSE(ReleasesSecondBesideFirst(down_at));
}

// Guards against an owner that is cut off from the store and releases a runner beside one that its
// successor, which does not know, lets go: the successor is dealt the cell 1 s after the last
// renewal at the earliest.
TEST_CASE_METHOD(CellReleasedRunnerTest,
                 "Release_RenewalsAreNotConfirmed_IsRefusedOnceCellIsLost") {
  now_ += milliseconds(990);
  CHECK(Release(0));
  now_ += milliseconds(20);
  CHECK_FALSE(Release(0));
}

}  // namespace
}  // namespace wigeonlane
