/// How long a takeover delays work on responsive runners.
#include <catch2/catch.hpp>
#include <chrono>

#include "tests/cells/cell_world.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A long-running task may be unavailable for this long (the platform's rule on lost tasks: 6 s,
/// and 3 s more).
constexpr milliseconds kMaxUnavailable{9'000};
/// From the last renewal of a failed owner until its successor starts: the time to live of its
/// membership (1 s), the renewal interval of the successor (0.25 s), and calls to the store.
constexpr milliseconds kTakeoverTime{1'600};
/// The shape of a long-running job with two tasks on separate runners.
constexpr std::size_t kLongRunningShape = 3;
constexpr std::size_t kNoFailure = 16;  ///< Seed of a job whose runs do not fail.

class CellTakeoverTest {
 protected:
  /// Returns the index of a runner that runs one of the two tasks of the job.
  std::size_t StartLongRunningJob() {
    world_.Submit(kLongRunningShape, kNoFailure);
    world_.Advance(milliseconds(2'000));
    REQUIRE(world_.RunnersOf(0).size() == 2);
    return world_.RunnersOf(0).front();
  }

  CellWorld world_;
};

// Guards against inc1 (LOST): owner and runner failed together, and the successor waited for the
// runner longer than a long-running task may be unavailable.
TEST_CASE_METHOD(CellTakeoverTest, "LongRunningTask_OwnerAndRunnerFailTogether_RunsAgainInTime") {
  const std::size_t lost = StartLongRunningJob();
  world_.KillOwner();
  world_.CrashRunner(lost);
  world_.Advance(kTakeoverTime);
  world_.TakeOver(true);
  world_.Advance(kMaxUnavailable - kTakeoverTime);
  CHECK(world_.RunnersOf(0).size() == 2);
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

// Guards against leases that outlast the wait of the successor. An owner that cannot reach the
// store continues, and only this owner reaches the runners of a job, so nothing notifies it of its
// successor. The successor starts at once, as after the store has reassigned all cells.
TEST_CASE("Lease_OnlyOwnerWithoutStoreReachesRunners_EndsBeforeSuccessorRestartsTasks") {
  constexpr milliseconds kStep{100};
  for (milliseconds cut_after{0}; cut_after < milliseconds(2'000); cut_after += kStep) {
    CellWorld world;
    world.Submit(kLongRunningShape, kNoFailure);
    world.Advance(milliseconds(2'000) + cut_after);
    REQUIRE(world.RunnersOf(0).size() == 2);
    for (const std::size_t host : world.RunnersOf(0)) {
      world.CutRunnerFromSuccessors(host, milliseconds(15'000));
    }
    world.TakeOver(false);
    world.Advance(milliseconds(15'000));
    INFO(cut_after.count() << " ms: " << world.broken());
    CHECK(world.broken().empty());
    CHECK(world.RunnersOf(0).size() == 2);
  }
}

/// A job whose tasks fill one runner each, with one task more than there are runners for it. One
/// runner becomes unresponsive at the takeover; after that, all runs on the other runners end.
class UnresponsiveRunnerTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 8'000, 0};
  static constexpr milliseconds kReactionTime{500};

  void TakeOverWithUnresponsiveRunner(const std::string& unresponsive_service,
                                      std::uint32_t tasks) {
    service_of_[RunnerName(1)] = unresponsive_service;
    StepSpec step;
    step.count = tasks;
    step.need = kCapacity;
    Begin(2, kCapacity);
    AdvanceTime(kReactionTime);
    Submit(step);
    AdvanceTime(kReactionTime);
    REQUIRE(starts_.size() == tasks - 1);
    starts_.clear();
    unresponsive_.insert(RunnerName(1));
    Begin(2, kCapacity);
    AdvanceTime(kReactionTime);
    EndAll();
    AdvanceTime(kReactionTime);
  }
};

// Guards against inc1 (SHORT): one unresponsive runner blocked the jobs of all services of its
// cell.
TEST_CASE_METHOD(UnresponsiveRunnerTest,
                 "InheritedJob_UnresponsiveRunnerOfAnotherService_Continues") {
  TakeOverWithUnresponsiveRunner("fold", 2);
  CHECK(starts_.size() == 1);
}

TEST_CASE_METHOD(UnresponsiveRunnerTest,
                 "InheritedJob_UnresponsiveRunnerOfItsService_WaitsForItsLeases") {
  TakeOverWithUnresponsiveRunner(std::string(kService), 3);
  CHECK(starts_.empty());
  AdvanceTime(CellOptions().max_lease_after_renewal);
  CHECK(starts_.size() == 1);
}

/// A long-running task on one of three runners. The owner changes while the machine of another one
/// is taken down, so that the new owner cannot reach that runner.
class LongRunningTaskAfterTakeoverTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 8'000, 0};
  static constexpr std::size_t kRunners = 3;
  static constexpr milliseconds kReactionTime{500};
  /// Discovery drops an entry after three heartbeat intervals of silence.
  static constexpr milliseconds kUnlistedAfter{4'500};

  void StartTask() {
    Begin(kRunners, kCapacity);
    AdvanceTime(kReactionTime);
    StepSpec step;
    step.need = kCapacity;
    step.long_running = true;
    Submit(step);
    AdvanceTime(kReactionTime);
    REQUIRE(starts_.size() == 1);
    host_ = IdOf(starts_.front().runner);
    down_machine_ = host_ == RunnerName(0) ? RunnerName(1) : RunnerName(0);
  }

  void TakeOverWhileMachineGoesDown() {
    unresponsive_.insert(down_machine_);
    Begin(kRunners, kCapacity);
    cell_->HandleMachineDown(down_machine_, Time());
  }

  void TakeDownMachineOfTask() {
    EndRunnerOfTask();
    cell_->HandleMachineDown(host_, Time());
  }

  void EndRunnerOfTask() {
    unresponsive_.insert(host_);
    running_[host_].clear();
  }

  void TakeOver() { Begin(kRunners, kCapacity); }

  /// Discovery drops the entry of a runner.
  void Unlist(const std::string& id) {
    std::vector<RunnerListing> listings;
    for (std::size_t runner = 0; runner < kRunners; ++runner) {
      if (RunnerName(runner) == id) continue;
      listings.push_back(cell_->FindRunnerById(RunnerName(runner))->listing);
    }
    cell_->SetRunners(listings, Time());
  }

  std::string host_;          ///< The runner with the task.
  std::string down_machine_;  ///< The runner whose machine is taken down at the takeover.
};

// Guards against LOST (issue 54): a long-running task lost its runner after a takeover, and did not
// run again because of another runner that the new owner had never reached, although the task had
// been seen running elsewhere.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_OtherRunnerOutOfReachSinceTakeover_RunsAgainAtOnce") {
  StartTask();
  TakeOverWhileMachineGoesDown();
  AdvanceTime(CellOptions().authority + CellOptions().poll_wait + kReactionTime);
  REQUIRE(cell_->unreconciled_runners() > 0);
  TakeDownMachineOfTask();
  AdvanceTime(kReactionTime);
  CHECK(starts_.size() == 2);
}

// Guards against TWICE: a former owner that still has authority may have started the task again on
// the runner that the new owner has never reached.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_FormerOwnerMayStillStartTasks_Waits") {
  StartTask();
  TakeOverWhileMachineGoesDown();
  AdvanceTime(CellOptions().authority - kReactionTime);
  TakeDownMachineOfTask();
  AdvanceTime(kReactionTime);
  CHECK(starts_.size() == 1);
}

// Guards against LOST (issue 54): the machine of a long-running task was taken down while the owner
// changed. The new owner waited for an incarnation that might have followed, for the longest lease,
// although discovery no longer listed the runner; and each further owner began that wait anew.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_ItsMachineGoesDownAtTakeover_RunsAgainOnceUnlisted") {
  StartTask();
  EndRunnerOfTask();
  TakeOver();
  cell_->HandleMachineDown(host_, Time());
  AdvanceTime(kUnlistedAfter);
  CHECK(starts_.size() == 1);
  Unlist(host_);
  AdvanceTime(kReactionTime);
  CHECK(starts_.size() == 2);
}

TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_ItsMachineGoesDownBetweenTwoTakeovers_RunsAgainInTime") {
  StartTask();
  EndRunnerOfTask();
  const Instant ended = now_;
  TakeOver();
  cell_->HandleMachineDown(host_, Time());
  AdvanceTime(milliseconds(2'000));
  TakeOver();
  AdvanceTime(kUnlistedAfter);
  Unlist(host_);
  AdvanceTime(std::chrono::duration_cast<milliseconds>(ended + kMaxUnavailable - now_));
  CHECK(starts_.size() == 2);
}

// Guards against TWICE: a runner that discovery lists may have restarted, and run the task on a
// command of the former owner.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_RestartedRunnerOutOfReachIsListed_WaitsForTheLongestLease") {
  StartTask();
  EndRunnerOfTask();
  ++earlier_incarnations_[host_];
  TakeOver();
  AdvanceTime(CellOptions().max_lease_after_renewal + kReactionTime);
  CHECK(starts_.size() == 1);
}

// Guards against TWICE: the former owner had read that the runner had restarted. The next owner did
// not know that, and took the runner for gone once it had lost the store as well.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "LongRunningTask_FormerOwnerHasSeenLaterIncarnation_WaitsForTheLongestLease") {
  StartTask();
  EndRunnerOfTask();
  TakeOver();
  AdvanceTime(kReactionTime);
  ++earlier_incarnations_[host_];
  ListRunners(kRunners, kCapacity);
  AdvanceTime(kUnlistedAfter);
  Unlist(host_);
  AdvanceTime(milliseconds(200));
  Begin(0, kCapacity);
  AdvanceTime(CellOptions().max_lease_after_renewal + kReactionTime);
  CHECK(starts_.size() == 1);
}

// Guards against TWICE: a runner restarted, was claimed, and then lost its owner and the store. The
// next owner took it for gone before the lease was over that a poll of the incarnation before had
// granted there.
TEST_CASE("RestartedRunner_CutOffFromStoreToo_SuccessorWaitsForItsLongLease") {
  constexpr std::size_t kRunners = 4;
  constexpr milliseconds kCut{14'000};
  CellWorld world;
  world.Advance(milliseconds(2'000));
  for (int i = 0; i < 3; ++i) world.Submit(kLongRunningShape, kNoFailure);
  world.Advance(milliseconds(1'000));
  const std::size_t host = world.RunnersOf(0).front();
  world.DelayPolls(12, milliseconds(1'000));
  world.Advance(milliseconds(1'500));
  world.RestartRunner(host);
  world.Advance(milliseconds(200));
  for (std::size_t runner = 0; runner < kRunners; ++runner) {
    if (runner != host) world.DrainRunner(runner);
  }
  world.Advance(milliseconds(300));
  world.DelayCommands(1);
  for (int i = 0; i < 3; ++i) world.Submit(kLongRunningShape, kNoFailure);
  world.Advance(milliseconds(40));
  world.CutRunner(host, kCut);
  for (std::size_t runner = 0; runner < kRunners; ++runner) {
    if (runner != host) world.RestartRunner(runner);
  }
  world.Advance(milliseconds(2'100));
  world.TakeOver(true);
  world.Advance(milliseconds(2'400));
  world.UnlistRunner(host);
  world.Advance(milliseconds(11'000));
  CHECK(world.broken().empty());
}

// Guards against BUDGET: a failure on a runner out of reach was not read before the task, which had
// been seen running elsewhere, was started beyond its attempts.
TEST_CASE_METHOD(LongRunningTaskAfterTakeoverTest,
                 "ShortTask_ItsFailureOutOfReachIsUnread_IsNotStartedBeyondItsAttempts") {
  Begin(kRunners, kCapacity);
  AdvanceTime(kReactionTime);
  StepSpec step;
  step.need = kCapacity;
  QueuePolicy policy;
  policy.max_attempts = 2;
  Submit(step, policy);
  AdvanceTime(kReactionTime);
  REQUIRE(starts_.size() == 1);
  const std::string first = IdOf(starts_.front().runner);
  store_answers_ = false;  // The owner cannot store the first failure, and starts the second run.
  FailOldest(first);
  AdvanceTime(milliseconds(1'000));
  REQUIRE(starts_.size() == 2);
  const std::string second = IdOf(starts_.back().runner);
  REQUIRE(second != first);
  store_answers_ = true;
  unresponsive_.insert(first);
  TakeOver();
  AdvanceTime(CellOptions().authority + CellOptions().poll_wait + kReactionTime);
  FailOldest(second);
  AdvanceTime(kReactionTime);
  unresponsive_.erase(first);
  AdvanceTime(milliseconds(2'000));
  CHECK(starts_.size() == 2);
}

// Guards against waves and moves that stalled after a takeover: one unresponsive runner prevented
// the maintenance of all others.
TEST_CASE_METHOD(UnresponsiveRunnerTest,
                 "ReserveRunner_AnotherRunnerOfItsServiceIsUnresponsive_IsReady") {
  TakeOverWithUnresponsiveRunner(std::string(kService), 3);
  CHECK(cell_->ReserveRunner(RunnerName(0), Time()).verdict == CallVerdict::kReady);
}

TEST_CASE_METHOD(UnresponsiveRunnerTest,
                 "ReserveRunner_OtherTaskOfStepMayBeOnUnresponsiveRunner_IsNotReady") {
  StepSpec step;
  step.count = 2;
  step.need = kCapacity;
  step.long_running = true;
  step.max_unavailable = 1;
  Begin(2, kCapacity);
  AdvanceTime(kReactionTime);
  Submit(step);
  AdvanceTime(kReactionTime);
  REQUIRE(starts_.size() == 2);
  unresponsive_.insert(RunnerName(1));
  Begin(2, kCapacity);
  AdvanceTime(milliseconds(3'000));
  CHECK(cell_->ReserveRunner(RunnerName(0), Time()).verdict == CallVerdict::kNotReady);
}

}  // namespace
}  // namespace wigeonlane
