/// What the owner of a cell tells the coordinator of machines of work that has no place.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellStrandedWorkTest : protected ScriptedCell {};

// Guards against a job that waits beside free cores (LOST on a large site): lasting tasks hold the
// memory of all runners of its cell, and the free cores make the coordinator send no machine.
TEST_CASE_METHOD(CellStrandedWorkTest,
                 "ReportLoads_TaskFitsNowhereByMemory_CoresAreNotToldAsFree") {
  Begin(2, {32'000, 64'000, 0});
  Pass(milliseconds(200));
  StepSpec lasting;
  lasting.count = 2;
  lasting.need = {4'000, 48'000, 0};
  lasting.long_running = true;
  lasting.most_per_runner = 1;
  lasting.may_be_missing = 1;
  Submit(lasting, {}, "00000000000000b1");
  Pass(milliseconds(500));
  REQUIRE(starts_.size() == 2);
  StepSpec step;
  step.need = {7'400, 23'088, 0};
  step.estimate = milliseconds(800);
  Submit(step);
  Pass(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  const CallAnswer answer = cell_->ReportLoads(Time());
  REQUIRE(answer.loads.size() == 1);
  const ServiceLoad& load = answer.loads.front();
  CHECK(load.capacity_cpu_milli - load.busy_cpu_milli < step.need.cpu_milli);
}

}  // namespace
}  // namespace wigeonlane
