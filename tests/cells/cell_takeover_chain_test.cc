/// Chains of failed owners, with runners that the successors cannot reach.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// The shape of a long-running job with two tasks on separate runners.
constexpr std::size_t kLongRunningShape = 3;
constexpr std::size_t kNoFailure = 16;  ///< Seed of a job whose runs do not fail.
/// The shape of a job whose tasks fill one runner each, one task for every runner.
constexpr std::size_t kWideShape = 2;
/// More jobs than the reachable runners can complete while an owner waits for leases.
constexpr std::size_t kWideJobs = 10;
constexpr milliseconds kWarmUp{2'000};
/// A long-running task may be unavailable for this long (the platform's rule on lost tasks).
constexpr milliseconds kMaxUnavailable{9'000};
/// From the loss of an owner until its successor starts: the time to live of its membership (1 s),
/// the renewal interval of the successor (0.25 s), and calls to the store.
constexpr milliseconds kTakeoverTime{1'600};
/// Longer than any lease and any wait for one.
constexpr milliseconds kLongDisconnect{20'000};
/// Until the first poll of an unresponsive runner has timed out (0.6 s) and the owner has stored
/// its lease limits.
constexpr milliseconds kLimitsStored{1'000};

/// A long-running job whose runners (the hosts) some owners of a chain cannot reach. Previous
/// owners continue without renewals.
class TakeoverChain {
 public:
  explicit TakeoverChain(milliseconds phase) {
    world_.Submit(kLongRunningShape, kNoFailure);
    world_.Advance(kWarmUp + phase);
    hosts_ = world_.RunnersOf(0);
    REQUIRE(hosts_.size() == 2);
  }

  void PlayOnlyFirstReachesHosts(int losses, milliseconds gap) {
    DisconnectHostsFromSuccessors();
    LoseOwners(losses, gap);
    CheckNothingRanTwice();
  }

  void PlayMiddleGrants(int losses_after, milliseconds gap) {
    world_.TakeOver(false);
    world_.Advance(kLimitsStored);
    DisconnectHostsFromSuccessors();
    LoseOwners(losses_after, gap);
    CheckNothingRanTwice();
  }

  /// The hosts do not respond to the second owner at first, and respond to it for `reachable_for`
  /// until the third owner starts. The third and later owners never reach them.
  void PlayMiddleGrantsLate(milliseconds reachable_for, int losses_after,
                            std::size_t lost_responses) {
    LetHostsRespondToSecondOwnerLate(reachable_for, lost_responses);
    LoseOwners(losses_after, kLimitsStored);
    CheckNothingRanTwice();
  }

  /// No owner reaches the hosts for `unresponsive_for`. Then they respond to the first owner for
  /// `reachable_for`, until the second owner starts, which never reaches them. The store may be
  /// unavailable during that time.
  void PlayFirstGrantsAfterHostsWereUnresponsive(milliseconds unresponsive_for,
                                                 milliseconds reachable_for,
                                                 bool store_unavailable) {
    for (const std::size_t host : hosts_) world_.CutRunner(host, unresponsive_for);
    world_.Advance(unresponsive_for);
    if (store_unavailable) world_.StoreDown(reachable_for);
    world_.Advance(reachable_for);
    DisconnectHostsFromSuccessors();
    LoseOwners(2, kLimitsStored);
    CheckNothingRanTwice();
  }

  /// The hosts respond to the second owner shortly before its wait for them ends. It has tasks for
  /// them, and the third owner starts at once.
  void PlayMiddleStartsLate(milliseconds unresponsive_for, milliseconds reachable_for) {
    DisconnectHostsFromSuccessors();
    world_.TakeOver(false);
    for (std::size_t job = 0; job < kWideJobs; ++job) world_.Submit(kWideShape, kNoFailure + job);
    world_.Advance(unresponsive_for);
    DisconnectHostsFromSuccessors();
    world_.Advance(reachable_for);
    LoseOwners(1, kLimitsStored);
    CheckNothingRanTwice();
  }

  /// The cell is assigned to the second owner, which reads it only after the cell was assigned to
  /// the third. The third and later owners never reach the hosts.
  void PlayMiddleReadsLate(milliseconds store_unavailable, milliseconds third_after) {
    world_.StoreDown(store_unavailable);
    world_.TakeOver(false);
    DisconnectHostsFromSuccessors();
    world_.Advance(third_after);
    LoseOwners(3, kLimitsStored);
    CheckNothingRanTwice();
  }

  /// The cell is assigned to the first owner again, which has not noticed the loss. The second
  /// owner then ends, or continues without renewals and reaches the store.
  void PlayFirstContinues(milliseconds lost_for, milliseconds held_again, int losses_after,
                          bool second_ends) {
    DisconnectHostsFromSuccessors();
    world_.TakeOver(false);
    world_.Advance(lost_for);
    world_.ReassignToPreviousOwner(second_ends);
    world_.Advance(held_again);
    LoseOwners(losses_after, kLimitsStored);
    CheckNothingRanTwice();
  }

  /// The hosts respond late, and the second owner is suspended while the third starts.
  void PlayMiddleResumesAfterItsSuccessor(milliseconds reachable_for, milliseconds frozen) {
    LetHostsRespondToSecondOwnerLate(reachable_for, 0);
    world_.Freeze(frozen);
    LoseOwners(1, kLimitsStored);
    CheckNothingRanTwice();
  }

 private:
  /// Owners that start from now on do not reach the hosts; earlier owners do.
  void DisconnectHostsFromSuccessors() {
    for (const std::size_t host : hosts_) world_.CutRunnerFromSuccessors(host, kLongDisconnect);
  }

  void LetHostsRespondToSecondOwnerLate(milliseconds reachable_for, std::size_t lost_responses) {
    DisconnectHostsFromSuccessors();
    world_.TakeOver(false);
    world_.Advance(kLimitsStored);
    DisconnectHostsFromSuccessors();
    world_.LoseAppendResponses(lost_responses);
    world_.Advance(reachable_for);
  }

  /// Lets `losses` owners take over one after the other, `gap` apart.
  void LoseOwners(int losses, milliseconds gap) {
    for (int loss = 0; loss < losses; ++loss) {
      if (loss > 0) world_.Advance(gap);
      world_.TakeOver(false);
    }
  }

  void CheckNothingRanTwice() {
    world_.Advance(kLongDisconnect);
    INFO(world_.broken());
    CHECK(world_.broken().empty());
    CHECK(world_.RunnersOf(0).size() == 2);
  }

  CellWorld world_;
  std::vector<std::size_t> hosts_;
};

// Guards against a successor whose remaining wait is shorter than the leases that the first owner
// may have granted.
TEST_CASE("Lease_OnlyFirstOwnerReachesRunners_EndsBeforeAnySuccessorRestartsTasks") {
  constexpr milliseconds kStep{100};
  const int losses = GENERATE(2, 3, 4);
  const milliseconds gap(GENERATE(50, 400, 1'000, 1'900));
  CAPTURE(losses, gap.count());
  for (milliseconds phase{0}; phase < milliseconds(1'000); phase += kStep) {
    CAPTURE(phase.count());
    TakeoverChain(phase).PlayOnlyFirstReachesHosts(losses, gap);
  }
}

// Guards against a wait that is counted from the first loss although an owner in between has
// granted leases.
TEST_CASE("Lease_OwnerInBetweenGranted_EndsBeforeItsSuccessorsRestartTasks") {
  constexpr milliseconds kStep{100};
  const int losses = GENERATE(1, 2, 3);
  const milliseconds gap(GENERATE(50, 400, 1'000, 1'900));
  CAPTURE(losses, gap.count());
  for (milliseconds phase{0}; phase < milliseconds(1'000); phase += kStep) {
    CAPTURE(phase.count());
    TakeoverChain(phase).PlayMiddleGrants(losses, gap);
  }
}

// Guards against leases that are granted while the stored record still says that there are none.
TEST_CASE("Lease_RunnerRespondsAfterItWasUnresponsive_IsWaitedForInFull") {
  constexpr milliseconds kStep{10};
  const int losses = GENERATE(1, 2);
  const std::size_t lost_responses = GENERATE(0U, 1U, 2U);
  CAPTURE(losses, lost_responses);
  for (milliseconds reachable_for{0}; reachable_for < milliseconds(1'500); reachable_for += kStep) {
    CAPTURE(reachable_for.count());
    TakeoverChain(milliseconds(0)).PlayMiddleGrantsLate(reachable_for, losses, lost_responses);
  }
}

// Guards against leases that are granted while the stored record still says that the runner is
// unresponsive.
TEST_CASE("Lease_RunnerRespondsToItsOwnerAgain_IsWaitedForInFullBySuccessors") {
  constexpr milliseconds kStep{10};
  const milliseconds unresponsive_for(GENERATE(700, 1'800, 3'000));
  const bool store_unavailable = GENERATE(false, true);
  CAPTURE(unresponsive_for.count(), store_unavailable);
  for (milliseconds reachable_for{0}; reachable_for < milliseconds(2'000); reachable_for += kStep) {
    CAPTURE(reachable_for.count());
    TakeoverChain(milliseconds(0))
        .PlayFirstGrantsAfterHostsWereUnresponsive(unresponsive_for, reachable_for,
                                                   store_unavailable);
  }
}

// Guards against starts, which include a lease, while the stored record still says that there are
// no leases.
TEST_CASE("Start_RunnerRespondsLateInTheWaitForIt_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kLongUnresponsiveness{4'800};
  constexpr milliseconds kUnresponsivenessStep{100};
  constexpr milliseconds kPollCycle{900};  ///< Longer than a failed poll and the retry delay.
  constexpr milliseconds kStep{5};
  for (milliseconds unresponsive_for = kLongUnresponsiveness;
       unresponsive_for < CellOptions().max_lease_after_renewal;
       unresponsive_for += kUnresponsivenessStep) {
    for (milliseconds reachable_for{0}; reachable_for < kPollCycle; reachable_for += kStep) {
      CAPTURE(unresponsive_for.count(), reachable_for.count());
      TakeoverChain(milliseconds(0)).PlayMiddleStartsLate(unresponsive_for, reachable_for);
    }
  }
}

// Guards against a wait that is counted from a term that started before its predecessor granted its
// last leases.
TEST_CASE("Lease_OwnerReadsAfterItsSuccessorGotTheCell_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{10};
  const milliseconds third_after(GENERATE(130, 550, 970));
  CAPTURE(third_after.count());
  for (milliseconds unavailable_for = third_after; unavailable_for < milliseconds(2'500);
       unavailable_for += kStep) {
    CAPTURE(unavailable_for.count());
    TakeoverChain(milliseconds(0)).PlayMiddleReadsLate(unavailable_for, third_after);
  }
}

// Guards against a successor that relies on the record of an owner in between although an earlier
// owner continued after that one.
TEST_CASE("Lease_PreviousOwnerContinuesAfterAnUnnoticedLoss_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{50};
  const milliseconds lost_for(GENERATE(50, 300, 700, 1'000));
  const int losses = GENERATE(1, 2);
  CAPTURE(lost_for.count(), losses);
  for (milliseconds held_again{0}; held_again < milliseconds(6'000); held_again += kStep) {
    CAPTURE(held_again.count());
    TakeoverChain(milliseconds(0)).PlayFirstContinues(lost_for, held_again, losses, true);
  }
}

// Guards against TWICE (a task runs twice): an owner that has lost the cell without noticing
// assumed that the leases on a runner had ended with its wait, although the previous owner got the
// cell again and granted new ones; and its successor relied on the runner registry that it had
// stored.
TEST_CASE("Lease_OwnerGetsTheCellAgainAndTheOneBetweenContinues_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{100};
  const milliseconds lost_for(GENERATE(50, 300, 700, 1'000));
  const int losses = GENERATE(1, 2);
  CAPTURE(lost_for.count(), losses);
  for (milliseconds held_again{0}; held_again < milliseconds(9'000); held_again += kStep) {
    CAPTURE(held_again.count());
    TakeoverChain(milliseconds(0)).PlayFirstContinues(lost_for, held_again, losses, false);
  }
}

// Guards against an owner that resumes after a suspension with a response of the store from before
// its successor started.
TEST_CASE("Lease_OwnerResumesAfterItsSuccessorStarted_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{10};
  const milliseconds frozen(GENERATE(300, 2'500, 5'000));
  CAPTURE(frozen.count());
  for (milliseconds reachable_for{0}; reachable_for < milliseconds(700); reachable_for += kStep) {
    CAPTURE(reachable_for.count());
    TakeoverChain(milliseconds(0)).PlayMiddleResumesAfterItsSuccessor(reachable_for, frozen);
  }
}

/// The runner of a long-running task fails, and then owners fail one after the other.
class FailedRunnerChain {
 public:
  explicit FailedRunnerChain(std::optional<milliseconds> notice_delay) {
    world_.Submit(kLongRunningShape, kNoFailure);
    world_.Advance(kWarmUp);
    REQUIRE(world_.RunnersOf(0).size() == 2);
    world_.SetTermObservationDelay(notice_delay);
    world_.CrashRunner(world_.RunnersOf(0).front());
  }

  void LoseOwner(milliseconds after, milliseconds without_owner) {
    world_.Advance(after);
    world_.KillOwner();
    world_.Advance(without_owner);
    world_.TakeOver(true);
    elapsed_ += after + without_owner;
  }

  void CheckTaskRunsAgainInTime() {
    REQUIRE(elapsed_ < kMaxUnavailable);
    world_.Advance(kMaxUnavailable - elapsed_);
    CHECK(world_.RunnersOf(0).size() == 2);
    INFO(world_.broken());
    CHECK(world_.broken().empty());
  }

 private:
  CellWorld world_;
  milliseconds elapsed_{0};
};

/// Longer than the renewal interval, by which an instance may notice changes late.
constexpr milliseconds kNoticeDelay{500};

// Guards against a successor that starts a full wait for a runner although the lost owner knew how
// long the leases on it last.
TEST_CASE("LongRunningTask_OwnerLostAfterItsRunner_RunsAgainInTime") {
  constexpr milliseconds kStep{500};
  for (milliseconds lost_after{0}; lost_after <= milliseconds(5'000); lost_after += kStep) {
    CAPTURE(lost_after.count());
    FailedRunnerChain chain(kNoticeDelay);
    chain.LoseOwner(lost_after, kTakeoverTime);
    chain.CheckTaskRunsAgainInTime();
  }
}

// Guards against a wait for an unresponsive runner that grows with each owner lost during the wait.
TEST_CASE("LongRunningTask_ChainOfOwnersLostAfterItsRunner_RunsAgainInTime") {
  const int losses = GENERATE(1, 2, 3, 4);
  const milliseconds gap(GENERATE(300, 700, 1'000, 1'500, 2'000));
  const milliseconds notice_delay(GENERATE(0, 500));
  CAPTURE(losses, gap.count(), notice_delay.count());
  FailedRunnerChain chain(notice_delay);
  for (int loss = 0; loss < losses; ++loss) chain.LoseOwner(gap, milliseconds(0));
  chain.CheckTaskRunsAgainInTime();
}

// Guards against the same fault when no successor has observed the terms before its own: each
// takeover may add the age of the record to the wait.
TEST_CASE("LongRunningTask_ChainOfOwnersLostToNewInstances_RunsAgainInTime") {
  const int losses = GENERATE(1, 2, 3, 4);
  const milliseconds gap(GENERATE(300, 700, 1'000, 1'500, 2'000));
  CAPTURE(losses, gap.count());
  FailedRunnerChain chain(std::nullopt);
  for (int loss = 0; loss < losses; ++loss) chain.LoseOwner(gap, milliseconds(0));
  chain.CheckTaskRunsAgainInTime();
}

// Guards against a wait that grows by the time without an owner at each loss.
TEST_CASE("LongRunningTask_OwnerLostWithItsRunnerAndOthersAfterThem_RunsAgainInTime") {
  const int more_losses = GENERATE(0, 1, 2);
  const milliseconds held(GENERATE(300, 700, 1'000, 1'400));
  CAPTURE(more_losses, held.count());
  FailedRunnerChain chain(kNoticeDelay);
  chain.LoseOwner(milliseconds(0), kTakeoverTime);
  for (int loss = 0; loss < more_losses; ++loss) chain.LoseOwner(held, kTakeoverTime);
  chain.CheckTaskRunsAgainInTime();
}

/// The runner of a long-running task and the first owner fail, and the second owner fails later.
class SecondOwnerLostTest {
 protected:
  static constexpr milliseconds kHeld{2'000};
  /// Longer than a failed poll and the time until the next placement.
  static constexpr milliseconds kMargin{1'500};

  SecondOwnerLostTest() {
    world_.Submit(kLongRunningShape, kNoFailure);
    world_.Advance(kWarmUp);
    REQUIRE(world_.RunnersOf(0).size() == 2);
    world_.CrashRunner(world_.RunnersOf(0).front());
    world_.KillOwner();
    world_.TakeOver(true);
  }

  void LoseSecondOwner() {
    world_.KillOwner();
    world_.TakeOver(true);
  }

  void CheckTaskRunsAgainAfter(milliseconds wait) {
    world_.Advance(wait - milliseconds(100));
    CHECK(world_.RunnersOf(0).size() == 1);
    world_.Advance(kMargin);
    CHECK(world_.RunnersOf(0).size() == 2);
  }

  CellWorld world_;
};

TEST_CASE_METHOD(SecondOwnerLostTest, "Wait_OwnerInBetweenGrantedNoLease_IsNotRestarted") {
  world_.Advance(kHeld);
  LoseSecondOwner();
  CheckTaskRunsAgainAfter(CellOptions().max_lease_after_renewal - kHeld);
}

TEST_CASE_METHOD(SecondOwnerLostTest, "Wait_OwnerNoticedAnotherGroupChange_IsNotRestarted") {
  world_.Advance(kHeld / 2);
  world_.ChangeGroup(1);
  world_.Advance(kHeld / 2);
  LoseSecondOwner();
  CheckTaskRunsAgainAfter(CellOptions().max_lease_after_renewal - kHeld);
}

// Guards against a previous owner that got the cell again between two renewals and continued: it
// has not read that its successor no longer waits for its leases.
TEST_CASE_METHOD(SecondOwnerLostTest, "Wait_GroupChangedUnnoticedAfterTheOwner_IsRestarted") {
  world_.Advance(kHeld);
  world_.KillOwner();
  world_.ChangeGroup(1);
  LoseSecondOwner();
  CheckTaskRunsAgainAfter(CellOptions().max_lease_after_renewal);
}

TEST_CASE_METHOD(SecondOwnerLostTest,
                 "Wait_OwnerMissedAGroupChange_IsCountedFromWhenItNoticedThat") {
  world_.Advance(kHeld / 2);
  world_.ChangeGroup(2);
  world_.Advance(kHeld / 2);
  LoseSecondOwner();
  CheckTaskRunsAgainAfter(CellOptions().max_lease_after_renewal - kHeld / 2);
}

}  // namespace
}  // namespace wigeonlane
