/// Conclusions of an owner from the time alone: leases that it counts as over. A successor that it
/// does not know of may have prolonged them. Guards against TWICE (issue 60): a former owner starts
/// a task that still runs under its successor.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>

#include "tests/cells/cell_world.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

const Resources kCapacity{8'000, 8'000, 0};

/// One task, and runners that hold one such task each.
class LeaseConfirmationTest : protected ScriptedCell {
 protected:
  static constexpr std::size_t kRunners = 2;
  /// An owner may start tasks for longer than this without a renewal.
  static constexpr milliseconds kLead{1'000};
  static constexpr milliseconds kReactionTime{500};

  void StartTask(bool long_running = true) {
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(300));
    SubmitTask(long_running);
  }

  void SubmitTask(bool long_running = true) {
    StepSpec step;
    step.need = kCapacity;
    step.long_running = long_running;
    Submit(step);
    AdvanceTime(milliseconds(300));
    REQUIRE(starts_.size() == 1);
    host_ = IdOf(starts_.front().runner);
  }

  /// The runner of the task is out of reach, and another instance owns the cell shortly before the
  /// lease ends, between two renewals of this owner. Returns the end of the lease.
  Instant LoseRunnerAndCellUnnoticed() {
    StartTask();
    unresponsive_.insert(host_);
    AdvanceTime(milliseconds(100));
    const Instant end = cell_->FindRunnerById(host_)->lease_end;
    AdvanceTo(end - kLead);
    cell_->RecordOwnership(token_ + 2, now_);
    return end;
  }

  void AdvanceTo(Instant time) {
    AdvanceTime(std::chrono::duration_cast<milliseconds>(time - now_));
  }

  /// The store does not respond from shortly before `end` on. Returns how many starts are sent
  /// although the lease that ends then may have been prolonged.
  std::size_t StartsWithoutConfirmationAfter(Instant end) {
    AdvanceTo(end - kLead);
    const std::size_t before = starts_.size();
    LoseStore();
    AdvanceTo(end + kReactionTime);
    return starts_.size() - before;
  }

  void LoseStore() { renewals_confirmed_ = store_answers_ = false; }

  /// Returns how many starts are sent once renewals are confirmed again.
  std::size_t StartsOnceConfirmed() {
    const std::size_t before = starts_.size();
    renewals_confirmed_ = true;
    AdvanceTime(kReactionTime);
    return starts_.size() - before;
  }

  std::string host_;  ///< The runner of the task.
};

TEST_CASE_METHOD(LeaseConfirmationTest, "Lease_OverWithoutConfirmation_TaskIsNotStartedElsewhere") {
  StartTask();
  unresponsive_.insert(host_);
  AdvanceTime(milliseconds(100));
  CHECK(StartsWithoutConfirmationAfter(cell_->FindRunnerById(host_)->lease_end) == 0);
  CHECK(StartsOnceConfirmed() == 1);
}

// The owner that cannot reach the runner of its predecessor may be a former owner by now.
TEST_CASE_METHOD(LeaseConfirmationTest,
                 "PredecessorLease_OverWithoutConfirmation_TaskIsNotStartedElsewhere") {
  StartTask();
  unresponsive_.insert(host_);
  Begin(kRunners, kCapacity);
  const Instant end = now_ + CellOptions().max_lease_after_renewal;
  CHECK(StartsWithoutConfirmationAfter(end) == 0);
  CHECK(StartsOnceConfirmed() == 1);
}

// The runner restarts before it has reported the run, so the next incarnation may have executed the
// start. It does not respond to this owner.
TEST_CASE_METHOD(LeaseConfirmationTest,
                 "StrayLease_OverWithoutConfirmation_TaskIsNotStartedElsewhere") {
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(300));
  unresponsive_ = {RunnerName(0), RunnerName(1)};
  SubmitTask();
  unresponsive_ = {host_};
  ++earlier_incarnations_[host_];
  ListRunners(kRunners, kCapacity);
  AdvanceTime(milliseconds(100));
  const Runner* runner = cell_->FindRunnerById(host_);
  REQUIRE(runner->runs.size() == 1);
  REQUIRE(runner->runs.begin()->second.stray_until);
  CHECK(StartsWithoutConfirmationAfter(*runner->runs.begin()->second.stray_until) == 0);
  CHECK(StartsOnceConfirmed() == 1);
}

// The store confirms renewals throughout, but the cell had another owner between two of them.
TEST_CASE_METHOD(LeaseConfirmationTest,
                 "Lease_OverAfterAnUnnoticedOwner_TaskIsNotStartedElsewhere") {
  LoseRunnerAndCellUnnoticed();
  const Instant other_end = now_ + CellOptions().max_lease_after_renewal;
  store_answers_ = false;
  AdvanceTo(other_end - milliseconds(100));
  CHECK(starts_.size() == 1);
  AdvanceTo(other_end + kReactionTime);
  CHECK(starts_.size() == 2);
}

// Guards against LOST: an append that is stored after the end of the lease shows that the other
// owner had not fenced the partition by then, so it had granted nothing.
TEST_CASE_METHOD(LeaseConfirmationTest,
                 "Lease_OverAfterAnUnnoticedOwnerThatHadNotFenced_TaskIsStartedElsewhere") {
  const Instant end = LoseRunnerAndCellUnnoticed();
  AdvanceTo(end - milliseconds(100));
  CHECK(starts_.size() == 1);
  AdvanceTo(end + CellOptions().lease_limit_record_interval + kReactionTime);
  CHECK(starts_.size() == 2);
}

// The owner hands the cell over while it does not know how long another owner's leases last.
TEST_CASE_METHOD(LeaseConfirmationTest,
                 "Handover_AfterAnUnnoticedOwner_SuccessorWaitsForItsLeases") {
  LoseRunnerAndCellUnnoticed();
  const Instant other_end = now_ + CellOptions().max_lease_after_renewal;
  cell_->PrepareHandover(milliseconds(0), Time());
  renewals_confirmed_ = false;
  AdvanceTime(milliseconds(200));
  renewals_confirmed_ = true;
  token_ += 2;
  Begin(kRunners, kCapacity);
  AdvanceTo(other_end - milliseconds(100));
  CHECK(starts_.size() == 1);
  AdvanceTo(other_end + milliseconds(300) + kReactionTime);
  CHECK(starts_.size() == 2);
}

/// A task that ends. A successor may have read its result, which this owner does not know (TWICE: a
/// start after an end that was taken note of).
class UnknownResultTest : protected LeaseConfirmationTest {
 protected:
  /// The run of the task is gone, and the last renewal was confirmed before.
  void LoseRun(bool long_running, bool runner_restarts) {
    StartTask(long_running);
    LoseStore();
    AdvanceTime(kLead);
    running_[host_].clear();
    if (runner_restarts) {
      ++earlier_incarnations_[host_];
      ListRunners(kRunners, kCapacity);
    }
    AdvanceTime(kReactionTime);
  }
};

TEST_CASE_METHOD(UnknownResultTest, "LostRun_WithoutConfirmation_TaskIsNotStartedAgain") {
  LoseRun(false, GENERATE(false, true));
  CHECK(starts_.size() == 1);
  CHECK(StartsOnceConfirmed() == 1);
}

// Guards against LOST: a long-running task has no such result, so it need not wait for the store.
TEST_CASE_METHOD(UnknownResultTest,
                 "LostRun_OfALongRunningTaskWithoutConfirmation_TaskIsStartedAgain") {
  LoseRun(true, GENERATE(false, true));
  CHECK(starts_.size() == 2);
}

/// Order of events: an owner loses the path to the runner of a task, and the cell to a successor,
/// which reaches that runner and none of those where the task fits.
class FormerOwnerTest {
 protected:
  static constexpr std::size_t kLongRunningShape = 3;
  static constexpr std::size_t kNoFailure = 16;
  static constexpr milliseconds kWarmUp{2'000};
  static constexpr milliseconds kLongDisconnect{20'000};

  FormerOwnerTest() {
    world_.Advance(kWarmUp);
    world_.Submit(kLongRunningShape, kNoFailure);
    world_.Advance(kWarmUp);
    hosts_ = world_.RunnersOf(0);
    REQUIRE(hosts_.size() == 2);
  }

  /// The cell is assigned to the successor `after` the runner of a task was cut off.
  void LoseRunnerAndCell(milliseconds after, milliseconds membership) {
    world_.CutRunnerFromOwner(hosts_.front(), kLongDisconnect);
    world_.Advance(after - membership);
    world_.CutOwnerFromStore(kLongDisconnect);
    world_.Advance(membership);
    for (std::size_t runner = 0; runner < 4; ++runner) {
      if (runner != hosts_.front()) world_.CutRunnerFromSuccessors(runner, kLongDisconnect);
    }
    world_.TakeOver(false);
  }

  CellWorld world_;
  std::vector<std::size_t> hosts_;
};

TEST_CASE_METHOD(FormerOwnerTest, "Lease_ProlongedByASuccessor_FormerOwnerStartsNothing") {
  constexpr milliseconds kStep{100};
  const milliseconds membership = GENERATE(milliseconds(0), CellOptions().min_membership);
  const int step = GENERATE(range(10, 70));
  CAPTURE(membership.count(), step);
  LoseRunnerAndCell(step * kStep, membership);
  world_.Advance(kLongDisconnect);
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

// The runner has been cut off from the owner already when the owner freezes. It wakes after the
// end of the lease and reads the confirmation of a renewal that it sent before.
TEST_CASE_METHOD(FormerOwnerTest, "Lease_OverDuringAFreeze_IsNotConfirmedByAnOlderRenewal") {
  constexpr milliseconds kStep{100};
  const milliseconds frozen_at(GENERATE(range(2'500, 4'500, 230)));
  const int step = GENERATE(range(5, 30));
  CAPTURE(frozen_at.count(), step);
  world_.CutRunnerFromOwner(hosts_.front(), kLongDisconnect);
  world_.Advance(frozen_at);
  world_.DelayRenewals(1, step * kStep);
  world_.Advance(milliseconds(600));
  world_.Freeze(step * kStep);
  for (std::size_t runner = 0; runner < 4; ++runner) {
    if (runner != hosts_.front()) world_.CutRunnerFromSuccessors(runner, kLongDisconnect);
  }
  world_.TakeOver(false);
  world_.Advance(kLongDisconnect);
  INFO(world_.broken());
  CHECK(world_.broken().empty());
}

}  // namespace
}  // namespace wigeonlane
