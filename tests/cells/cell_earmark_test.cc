/// Room for tasks that last, on runners that short tasks keep full.
#include <algorithm>
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

class CellLastingRoomTest : protected ScriptedCell {
 protected:
  static constexpr std::int64_t kCores = 32'000;
  static constexpr const char* kLasting = "00000000000000b1";

  CellLastingRoomTest() {
    Begin(3, {kCores, 64'000, 0});
    Pass(milliseconds(200));
  }

  /// More short tasks than there is room for, an eighth of a runner each.
  void Fill() {
    StepSpec step;
    step.count = 400;
    step.need = {kCores / 8, 4'000, 0};
    step.estimate = milliseconds(600);
    QueuePolicy policy;
    policy.target_latency = milliseconds(60'000);
    Submit(step, policy);
    Pass(milliseconds(300));
  }

  void SubmitLasting(std::uint32_t tasks) {
    StepSpec step;
    step.count = tasks;
    step.need = {kCores / 2, 24'000, 0};
    step.long_running = true;
    step.max_per_runner = 1;
    step.max_unavailable = 1;
    Submit(step, {}, kLasting);
    Pass(milliseconds(50));
  }

  /// Short tasks end one at a time on each runner, as they do in a pool under load.
  void EndOneByOne(int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (std::size_t runner = 0; runner < 3; ++runner) EndOldest(RunnerName(runner));
      Pass(milliseconds(75));
    }
  }

  std::int64_t LastingStarts() const {
    return std::count_if(starts_.begin(), starts_.end(), [](const StartCommand& start) {
      return start.task.job.text() == kLasting;
    });
  }
};

TEST_CASE_METHOD(CellLastingRoomTest, "Schedule_ShortTasksTakeAllThatIsFreed_LastingTaskGetsRoom") {
  Fill();
  SubmitLasting(1);
  REQUIRE(LastingStarts() == 0);
  EndOneByOne(12);  // 0.9 s; a lasting task may be away for 3 s (the platform's rule).
  CHECK(LastingStarts() == 1);
}

TEST_CASE_METHOD(CellLastingRoomTest, "Schedule_RoomIsKeptForALastingTask_OtherRunnersGoOn") {
  Fill();
  SubmitLasting(1);
  const std::size_t before = starts_.size();
  EndOneByOne(4);
  // Eight ends on the two other runners, each followed by a start.
  CHECK(starts_.size() >= before + 8);
}

TEST_CASE_METHOD(CellLastingRoomTest, "Schedule_LastingTaskFitsNowhere_NoRoomIsKept") {
  Fill();
  StepSpec step;
  step.need = {kCores / 8, 90'000, 0};
  step.long_running = true;
  Submit(step, {}, kLasting);
  Pass(milliseconds(50));
  const std::size_t before = starts_.size();
  EndOneByOne(8);
  CHECK(starts_.size() >= before + 23);
}

TEST_CASE_METHOD(CellLastingRoomTest, "Schedule_LastingJobIsCancelled_ItsRoomIsGivenBack") {
  Fill();
  SubmitLasting(1);
  cell_->Cancel(9, *JobId::Parse(kLasting), Time());
  Pass(milliseconds(2'500));
  const std::size_t before = starts_.size();
  EndOneByOne(4);
  CHECK(starts_.size() >= before + 11);
}

// Guards against a lasting task that waits for room on a runner that takes nothing any more.
TEST_CASE_METHOD(CellLastingRoomTest, "KeepRoom_ItsRunnerBeginsToDrain_RoomIsKeptOnAnother") {
  Fill();
  SubmitLasting(1);
  const auto kept_on = [this] {
    for (std::size_t runner = 0; runner < 3; ++runner) {
      if (cell_->FindRunnerById(RunnerName(runner))->earmarked_for) return RunnerName(runner);
    }
    return std::string();
  };
  const std::string first = kept_on();
  REQUIRE_FALSE(first.empty());
  draining_.insert(first);
  ListRunners(3, {kCores, 64'000, 0});
  Pass(milliseconds(300));
  CHECK_FALSE(kept_on().empty());
  CHECK(kept_on() != first);
  EndOneByOne(8);
  CHECK(LastingStarts() == 1);
}

}  // namespace
}  // namespace wigeonlane
