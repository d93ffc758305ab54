/// Leases that commands to an earlier incarnation of a runner grant on a later one. The deadline of
/// such a command refers to the clock of the earlier incarnation, which was ahead, so the lease is
/// as long as the runner allows.
#include <catch2/catch.hpp>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Two tasks that fill a runner each. One of them runs on a runner that has restarted under its id.
/// A third runner, which drains at first, can take over one task.
class RestartedRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 8'000, 0};
  static constexpr std::size_t kRunners = 3;
  /// The longest lease, 10 s on the slowest clock.
  static constexpr milliseconds kLongestLease{10'204};
  static constexpr milliseconds kReactionTime{500};

  static std::string Restarted() { return RunnerName(0); }
  static std::string Spare() { return RunnerName(2); }

  void StartTasks() {
    draining_.insert(Spare());
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(300));
    StepSpec step;
    step.count = 2;
    step.need = kCapacity;
    Submit(step);
    AdvanceTime(milliseconds(300));
    REQUIRE(starts_.size() == 2);
  }

  void Restart() {
    ++earlier_incarnations_[Restarted()];
    running_[Restarted()].clear();
    ListRunners(kRunners, kCapacity);
  }

  /// Restarts the runner. Returns once its task has started there again.
  void RestartWithTask() {
    Restart();
    AdvanceTime(milliseconds(100));
    REQUIRE(starts_.size() == 3);
    REQUIRE(running_[Restarted()].size() == 1);
  }

  void TakeOver() {
    draining_.erase(Spare());
    Begin(kRunners, kCapacity);
  }

  void LoseRestartedRunner() {
    unresponsive_.insert(Restarted());
    draining_.erase(Spare());
    ListRunners(kRunners, kCapacity);
  }

  std::size_t StartsOnSpare() { return running_[Spare()].size(); }
};

// Guards against TWICE (issue 45): after a takeover, a task was started again while it still ran on
// a restarted runner out of reach, on a lease that a command of the former owner had granted there.
TEST_CASE_METHOD(RestartedRunnerTest,
                 "Takeover_RestartedRunnerOutOfReach_WaitsForTheLongestLease") {
  StartTasks();
  RestartWithTask();
  unresponsive_.insert(Restarted());
  TakeOver();
  AdvanceTime(kLongestLease - milliseconds(100));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(milliseconds(100) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE (issue 45): the successor reached the restarted runner before it was cut
// off, and assumed that only its own leases were left there.
TEST_CASE_METHOD(RestartedRunnerTest,
                 "Takeover_RestartedRunnerCutOffAfterContact_WaitsForTheLongestLease") {
  StartTasks();
  RestartWithTask();
  const Instant restarted = now_;
  TakeOver();
  AdvanceTime(milliseconds(300));
  LoseRestartedRunner();
  AdvanceTime(std::chrono::duration_cast<milliseconds>(restarted + kLongestLease - now_) -
              milliseconds(200));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(milliseconds(800) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE: a poll with a lease was pending when its runner restarted, and the owner
// assumed that it could not take effect on the new incarnation.
TEST_CASE_METHOD(RestartedRunnerTest, "Restart_PollPending_WaitsForTheLongestLease") {
  StartTasks();
  RestartWithTask();
  const Instant restarted = now_;
  LoseRestartedRunner();
  AdvanceTime(kLongestLease - milliseconds(200));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(std::chrono::duration_cast<milliseconds>(restarted + kLongestLease - now_) +
              kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE: the owner had given a runner up, its successor did not know of the commands
// that could still reach the next incarnation.
TEST_CASE_METHOD(RestartedRunnerTest, "Takeover_RunnerLostBeforeAndBack_WaitsForTheLongestLease") {
  constexpr milliseconds kLease{5'000};
  StartTasks();
  unresponsive_.insert(Restarted());
  AdvanceTime(kLease + milliseconds(1'000));
  running_[Restarted()].clear();
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(100));
  unresponsive_.clear();
  Restart();
  AdvanceTime(milliseconds(100));
  REQUIRE(starts_.size() == 3);
  REQUIRE(running_[Restarted()].size() == 1);
  LoseRestartedRunner();
  AdvanceTime(kLongestLease - milliseconds(200));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(milliseconds(200) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against tasks that wait longer than necessary: leases by earlier commands are over.
TEST_CASE_METHOD(RestartedRunnerTest, "Takeover_RunnerRestartedLongBefore_WaitsForItsLeaseOnly") {
  StartTasks();
  RestartWithTask();
  AdvanceTime(kLongestLease + milliseconds(1'000));
  unresponsive_.insert(Restarted());
  TakeOver();
  AdvanceTime(CellOptions().max_lease_after_renewal + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against tasks that wait longer than necessary: no command can have reached the restarted
// runner, since none was sent for longer than the platform delays any.
TEST_CASE_METHOD(RestartedRunnerTest, "Restart_RunnerWasIdle_WaitsForItsLeaseOnly") {
  constexpr milliseconds kIdle{30'000};
  Begin(1, kCapacity);
  AdvanceTime(kIdle);
  Restart();
  AdvanceTime(milliseconds(100));
  CHECK(cell_->FindRunnerById(Restarted())->lease_end <= now_);
}

/// A long-running task on one of two runners. The other one has just restarted under its id.
class LongRunningTaskTest : public RestartedRunnerTest {
 protected:
  static constexpr const char* kRack = "r1";
  static constexpr Resources kSmall{1'000, 1'000, 0};

  void RestartOneOf(std::size_t runners) {
    Begin(runners, kCapacity);
    AdvanceTime(milliseconds(300));
    Begin(runners, kCapacity);  // The former owner may have sent commands.
    AdvanceTime(milliseconds(300));
    ++earlier_incarnations_[Restarted()];
    ListRunners(runners, kCapacity);
    AdvanceTime(milliseconds(100));
    StepSpec step;
    step.need = kSmall;
    step.long_running = true;
    step.preferred_rack = kRack;
    Submit(step);
    AdvanceTime(milliseconds(100));
    REQUIRE(starts_.size() == 1);
  }
};

// Guards against LOST: a long-running task was placed on a runner that had just restarted, beside
// one on which it would have been unavailable for less long after a loss.
TEST_CASE_METHOD(LongRunningTaskTest, "LongRunningTask_RunnerHasJustRestarted_PrefersAnotherOne") {
  rack_of_[Restarted()] = kRack;
  RestartOneOf(2);
  CHECK(running_[Restarted()].empty());
}

// Guards against LOST: a long-running task waited beside the only runner, which had just restarted.
TEST_CASE_METHOD(LongRunningTaskTest, "LongRunningTask_OnlyRunnerHasJustRestarted_StartsThere") {
  RestartOneOf(1);
  CHECK(running_[Restarted()].size() == 1);
}

}  // namespace
}  // namespace wigeonlane
