/// How long the runs of a runner that falls silent are taken to last.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class IdleRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kRoom{32'000, 64'000, 0};
};

// Guards against leases that reached beyond what a successor waits for: the clock of a runner that
// had been idle was taken to go at full rate, however long ago it was read.
TEST_CASE_METHOD(IdleRunnerTest, "Start_RunnerIdleForMinutes_LeaseStaysWithinReach") {
  Begin(1, kRoom);
  Pass(milliseconds(300'000));
  StepSpec step;
  step.need = {1'000, 1'000, 0};
  Submit(step);
  Pass(milliseconds(60));
  REQUIRE(starts_.size() == 1);
  const CellOptions options;
  CHECK(cell_->FindRunnerById(RunnerName(0))->lease_end - now_ <= options.lease_reach);
  CHECK(starts_.back().deadline >= Clock());
}

}  // namespace
}  // namespace wigeonlane
