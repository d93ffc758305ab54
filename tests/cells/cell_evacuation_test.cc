/// Lasting tasks that are stopped so that their machine can be taken down.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellEvacuationTest : protected ScriptedCell {
 protected:
  /// A lasting task may be away for this long (the platform's rule on lost tasks).
  static constexpr milliseconds kLongestAway{9'000};
  static constexpr milliseconds kRound{100};

  bool StopAsAsked(const std::string& runner) {
    auto& runs = running_[runner];
    for (const auto& [task, run] : cell_->FindRunnerById(runner)->runs) {
      if (run.phase != RunPhase::kStopping) continue;
      const TaskId stopped = task;
      const auto row = std::find_if(runs.begin(), runs.end(),
                                    [&](const ListedRun& each) { return each.task == stopped; });
      if (row == runs.end()) continue;
      ended_[runner].push_back({++last_end_[runner], row->task, row->run, RunEnd::kStopped, ""});
      runs.erase(row);
      return true;
    }
    return false;
  }
};

// Guards against a task that was evacuated although no other runner has room, from a runner that
// stays reserved as long as its other task may not be ended.
TEST_CASE_METHOD(CellEvacuationTest, "Evacuate_NoOtherRunnerHasRoom_TaskIsNotAwayForLong") {
  Begin(2, {2'000, 64'000, 0});
  Pass(milliseconds(200));
  StepSpec step;
  step.count = 4;
  step.need = {1'000, 1'000, 0};
  step.long_running = true;
  step.may_be_missing = 1;
  Submit(step);
  Pass(milliseconds(6'000));
  REQUIRE(starts_.size() == 4);
  milliseconds away{0};
  bool stopped = false;
  while (away < kLongestAway && starts_.size() == 4) {
    cell_->ReserveRunner(RunnerName(0), Time());
    Pass(kRound);
    stopped = stopped || StopAsAsked(RunnerName(0));
    if (stopped) away += kRound;
  }
  CHECK(away < kLongestAway);
}

}  // namespace
}  // namespace wigeonlane
