/// Starts that were meant for one incarnation of a runner and that a later one may execute.
/// Whatever ended the first one, the task must not be placed again while that may be so.
#include <catch2/catch.hpp>

#include "cells/stray_leases.h"
#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// A runner that restarts while its owner sends starts over connections that outlive it, and a
/// spare runner that drains at first.
class StrayStartTest : protected ScriptedCell {
 protected:
  static constexpr Resources kCapacity{8'000, 8'000, 0};
  static constexpr Resources kHalf{4'000, 4'000, 0};
  static constexpr std::size_t kRunners = 2;
  /// The longest lease, 10 s on the slowest clock.
  static constexpr milliseconds kLongestLease{10'204};
  /// The longest delay of a command on the platform.
  static constexpr milliseconds kLongestDelay{12'000};
  /// A former owner sends commands for 2 s after a takeover at most, each with two timeouts of 0.6
  /// s.
  static constexpr milliseconds kFormerOwnersCommands{3'200};
  static constexpr milliseconds kReactionTime{500};

  static std::string Restarting() { return RunnerName(0); }
  static std::string Spare() { return RunnerName(1); }

  /// Submits a job and returns once its tasks have been started on the restarting runner, which
  /// gets no polls through any more. The starts get these responses.
  void StartTasks(std::deque<CommandStatus> responses, bool long_running = false) {
    draining_.insert(Spare());
    Begin(kRunners, kCapacity);
    AdvanceTime(milliseconds(300));
    down_.insert(Restarting());
    StepSpec step;
    step.count = static_cast<std::uint32_t>(responses.size());
    step.need = kHalf;
    step.long_running = long_running;
    next_start_statuses_ = std::move(responses);
    Submit(step);
    AdvanceTime(milliseconds(20));
    REQUIRE(starts_.size() == step.count);
    draining_.erase(Spare());
    ListRunners(kRunners, kCapacity);
  }

  void RestartUnnoticed() { ++earlier_incarnations_[Restarting()]; }

  void BringIntoReach() { down_.clear(); }

  std::size_t StartsOnSpare() { return running_[Spare()].size(); }

  const Runner& RestartingRunner() { return *cell_->FindRunnerById(Restarting()); }
};

// Guards against TWICE (issue 48): one start of a burst found another incarnation, and all tasks of
// the runner were placed again, also one that the next incarnation ran.
TEST_CASE_METHOD(StrayStartTest, "Start_OtherStartFindsNextIncarnation_ConfirmedOneIsNotRepeated") {
  StartTasks({CommandStatus::kDone, CommandStatus::kWrongIncarnation});
  RestartUnnoticed();
  AdvanceTime(kReactionTime);
  CHECK(StartsOnSpare() == 1);
  AdvanceTime(kLongestLease - kReactionTime);
  CHECK(StartsOnSpare() == 1);
  AdvanceTime(kLongestLease + kReactionTime);  // A late poll may extend the lease.
  CHECK(StartsOnSpare() == 2);
}

// Guards against the same if discovery tells of the restart.
TEST_CASE_METHOD(StrayStartTest, "Start_DiscoveryListsNextIncarnation_ConfirmedOneIsNotRepeated") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  ListRunners(kRunners, kCapacity);
  AdvanceTime(kLongestLease);
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(kLongestLease + kReactionTime);  // A late poll may extend the lease.
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE (issue 48): the runner was silent until its lease ended, and a start that
// the next incarnation had confirmed was repeated while it ran there.
TEST_CASE_METHOD(StrayStartTest, "Silence_ConfirmedStartNeverListed_WaitsForTheLongestLease") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  AdvanceTime(kLongestLease);
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(kLongestLease + kReactionTime);  // A late poll may extend the lease.
  CHECK(StartsOnSpare() == 1);
}

// Guards against the same for a start whose response was lost: it may be executed late as well.
TEST_CASE_METHOD(StrayStartTest, "Silence_UnansweredStart_WaitsForItsDelayAndTheLongestLease") {
  StartTasks({CommandStatus::kNoResponse});
  RestartUnnoticed();
  AdvanceTime(kLongestDelay + kLongestLease);
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(milliseconds(1'500) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against tasks that wait longer than necessary: what the runner had listed ends with its
// lease.
TEST_CASE_METHOD(StrayStartTest, "Silence_ListedRun_WaitsForItsLeaseOnly") {
  constexpr milliseconds kLease{5'500};
  StartTasks({CommandStatus::kDone});
  BringIntoReach();
  AdvanceTime(milliseconds(3'000));
  down_.insert(Restarting());
  AdvanceTime(kLease + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against the same for a start whose response shows the clock of the incarnation that it was
// meant for.
TEST_CASE_METHOD(StrayStartTest, "Silence_StartConfirmedByItsOwnClock_WaitsForItsLeaseOnly") {
  constexpr milliseconds kLease{5'500};
  start_clock_ = Clock() + milliseconds(320);
  StartTasks({CommandStatus::kDone});
  AdvanceTime(CellOptions().command_timeout + CellOptions().poll_wait + kLease + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against tasks that wait although the next incarnation has answered: it refuses what was
// meant for an earlier one.
TEST_CASE_METHOD(StrayStartTest, "Restart_NextIncarnationReportsNoRun_TaskStartsAtOnce") {
  StartTasks({CommandStatus::kNoResponse});
  RestartUnnoticed();
  running_[Restarting()].clear();
  BringIntoReach();
  AdvanceTime(CellOptions().command_timeout + CellOptions().poll_wait + kReactionTime);
  CHECK(starts_.size() == 2);
}

// Guards against wasted work: the start is the only run of its task, so it goes on.
TEST_CASE_METHOD(StrayStartTest, "Restart_NextIncarnationRunsTheStart_GoesOnThere") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  BringIntoReach();
  AdvanceTime(milliseconds(20'000));
  CHECK(starts_.size() == 1);
  CHECK(stops_.empty());
  EndOldest(Restarting());
  AdvanceTime(kReactionTime);
  CHECK(cell_->counters().completed == 1);
}

// Guards against TWICE (issue 48): the response to a poll with the token of an earlier incarnation
// was taken for proof that the next one refuses commands to that one.
TEST_CASE_METHOD(StrayStartTest, "Restart_PollCarriedTheOldToken_RunnerIsPolledAgainFirst") {
  StartTasks({CommandStatus::kDone});
  const RunnerKey earlier = RestartingRunner().key;
  RestartUnnoticed();
  RunnerReport report;
  report.started_at = kFirstStartedAt + milliseconds(1);
  report.clock = milliseconds(100);
  PollRequest poll;
  poll.runner = earlier;
  poll.number = std::numeric_limits<EventNumber>::max();
  cell_->HandlePollResponse(poll, CommandStatus::kDone, report, Time());
  CHECK_FALSE(RestartingRunner().claimed);
  AdvanceTime(kReactionTime);
  CHECK(StartsOnSpare() == 0);
  CHECK(cell_->FenceOf(polls_.back().runner) > cell_->FenceOf(earlier));
}

// Guards against TWICE (issue 48): a report of the earlier incarnation arrived after the next one
// had confirmed a start, and the run seemed to have vanished.
TEST_CASE_METHOD(StrayStartTest, "Report_PollSentBeforeTheConfirmation_FreesNothing") {
  draining_.insert(Spare());
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(300));
  StepSpec step;
  step.count = 1;
  step.need = kHalf;
  Submit(step);
  AdvanceTime(milliseconds(100));
  down_.insert(Restarting());
  AdvanceTime(milliseconds(100));
  const PollRequest pending = polls_.back();
  REQUIRE(pending.runner == RestartingRunner().key);
  start_clock_ = milliseconds(100);
  Submit(step, {}, "00000000000000a2");
  AdvanceTime(milliseconds(20));
  REQUIRE(starts_.size() == 2);
  RunnerReport report;
  report.started_at = kFirstStartedAt;
  report.clock = Clock() + milliseconds(1);
  report.running = {running_[Restarting()].front()};
  cell_->HandlePollResponse(pending, CommandStatus::kDone, report, Time());
  draining_.erase(Spare());
  ListRunners(kRunners, kCapacity);
  AdvanceTime(kReactionTime);
  CHECK(StartsOnSpare() == 0);
}

// Guards against a result that is lost: a poll that acknowledges it again may reach the next
// incarnation, which forgets its own results up to that number.
TEST_CASE_METHOD(StrayStartTest, "Poll_ResultIsAcknowledged_IsNotAcknowledgedAgain") {
  StartTasks({CommandStatus::kDone, CommandStatus::kDone});
  BringIntoReach();
  AdvanceTime(milliseconds(3'000));
  EndOldest(Restarting());
  AdvanceTime(kReactionTime);
  REQUIRE(results_[Restarting()].empty());
  CHECK(polls_.back().forget_up_to == 0);
}

// Guards against tasks that wait: another runner at the address proves that all incarnations there
// have ended.
TEST_CASE_METHOD(StrayStartTest, "Start_AnotherRunnerAtItsAddress_AllTasksStartElsewhereAtOnce") {
  StartTasks({CommandStatus::kDone, CommandStatus::kWrongRunner});
  AdvanceTime(kReactionTime);
  CHECK(StartsOnSpare() == 2);
}

// Guards against TWICE (issue 48): the owner died while a start that a later incarnation ran was
// not settled, and its successor waited only for leases of the earlier one.
TEST_CASE_METHOD(StrayStartTest, "Takeover_RunnerSilentWithUnlistedStart_WaitsForTheLongestLease") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  AdvanceTime(milliseconds(2'500));
  Begin(kRunners, kCapacity);
  AdvanceTime(kLongestLease - milliseconds(2'500));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(kFormerOwnersCommands + milliseconds(2'500) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against the same after the owner had given the runner up.
TEST_CASE_METHOD(StrayStartTest, "Takeover_RunnerLostWithUnlistedStart_WaitsForTheLongestLease") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  AdvanceTime(milliseconds(6'500));
  Begin(kRunners, kCapacity);
  AdvanceTime(kLongestLease - milliseconds(6'500));
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(kFormerOwnersCommands + milliseconds(6'500) + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE (issue 48): the owner died before it noticed the restart, and discovery told
// its successor.
TEST_CASE_METHOD(StrayStartTest, "Takeover_DiscoveryListsNextIncarnation_WaitsForTheLongestLease") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  AdvanceTime(milliseconds(1'000));
  Begin(kRunners, kCapacity);
  AdvanceTime(kLongestLease);
  CHECK(StartsOnSpare() == 0);
  AdvanceTime(kFormerOwnersCommands + kReactionTime);
  CHECK(StartsOnSpare() == 1);
}

// Guards against TWICE: a notification that a machine went down arrived after the machine was back,
// and ended the incarnation that had started since.
TEST_CASE_METHOD(StrayStartTest, "MachineDown_RunnerIsBack_ItsTasksGoOn") {
  draining_.insert(Spare());
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(300));
  REQUIRE(cell_->ReserveRunner(Restarting(), Time()).verdict == CallVerdict::kReady);
  RestartUnnoticed();
  ListRunners(kRunners, kCapacity);
  AdvanceTime(milliseconds(5'000));
  StepSpec step;
  step.need = kHalf;
  Submit(step);
  AdvanceTime(kReactionTime);
  REQUIRE(running_[Restarting()].size() == 1);
  cell_->HandleMachineDown(Restarting(), Time());
  draining_.erase(Spare());
  ListRunners(kRunners, kCapacity);
  AdvanceTime(kReactionTime);
  CHECK(StartsOnSpare() == 0);
}

// Guards against TWICE (issue 48): a poll without a response was executed late, on the incarnation
// that ran a confirmed start, and extended the lease there beyond the one of the start.
TEST_CASE_METHOD(StrayStartTest, "Silence_UnansweredPollExecutedLate_WaitsForTheLeaseItGrants") {
  constexpr milliseconds kDelay{9'000};
  StartTasks({CommandStatus::kDone});
  const Instant started = now_;
  RestartUnnoticed();
  AdvanceTime(kReactionTime);
  REQUIRE(polls_.back().lease);
  AdvanceTime(std::chrono::duration_cast<milliseconds>(started + kDelay + kLongestLease - now_));
  CHECK(StartsOnSpare() == 0);
}

// Guards against TWICE (issue 48): a former owner with authority until 2 s after the takeover sent
// a start at its end, and the next incarnation executed it within the time for a response.
TEST_CASE_METHOD(StrayStartTest, "Takeover_LastStartExecutedWithinItsTimeout_WaitsForItsLease") {
  StartTasks({CommandStatus::kDone});
  RestartUnnoticed();
  AdvanceTime(milliseconds(1'000));
  Begin(kRunners, kCapacity);
  const CellOptions options;
  const milliseconds authority_left = options.authority - options.min_membership;
  AdvanceTime(authority_left + options.command_timeout + kLongestLease - milliseconds(50));
  CHECK(StartsOnSpare() == 0);
}

// Guards against TWICE: the report of the next incarnation lists an earlier run of a task whose
// last start it did not execute, and the task was placed again beside that run.
TEST_CASE_METHOD(StrayStartTest, "Restart_NextIncarnationRunsAnEarlierStart_IsStoppedFirst") {
  draining_.insert(Spare());
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(300));
  StepSpec step;
  step.need = kHalf;
  next_start_statuses_ = {CommandStatus::kNoResponse};
  Submit(step);
  AdvanceTime(milliseconds(20));
  REQUIRE(starts_.size() == 1);
  const auto earlier = running_[Restarting()];
  running_[Restarting()].clear();
  REQUIRE(!stops_.empty());
  cell_->HandleStopResponse(stops_.back(), {CommandStatus::kDone, {}}, Time());
  AdvanceTime(milliseconds(150));
  REQUIRE(RestartingRunner().runs.empty());
  down_.insert(Restarting());
  AdvanceTime(milliseconds(300));
  REQUIRE(starts_.size() == 2);
  RestartUnnoticed();
  running_[Restarting()] = earlier;
  draining_.erase(Spare());
  ListRunners(kRunners, kCapacity);
  BringIntoReach();
  for (milliseconds passed{0}; passed < milliseconds(3'000); passed += milliseconds(5)) {
    AdvanceTime(milliseconds(5));
    for (const StopCommand& stop : std::exchange(stops_, {})) {
      cell_->HandleStopResponse(stop, {CommandStatus::kDone, {}}, Time());
    }
  }
  CHECK(StartsOnSpare() == 0);
}

// Guards against TWICE: an entry that is updated in place counts as registered, although the stored
// record names the address of the earlier incarnation.
TEST_CASE_METHOD(StrayStartTest, "Takeover_NextIncarnationAtOtherAddress_NoStartBeforeItsRecord") {
  draining_ = {Restarting(), Spare()};
  Begin(kRunners, kCapacity);
  AdvanceTime(milliseconds(300));
  StepSpec step;
  step.need = kHalf;
  Submit(step);
  AdvanceTime(milliseconds(300));
  REQUIRE(starts_.empty());
  draining_ = {Spare()};
  Begin(kRunners, kCapacity);
  RestartUnnoticed();
  RunnerListing listing = RestartingRunner().listing;
  listing.endpoint.port = 4'711;
  listing.started_at += milliseconds(1);
  listing.draining = false;
  cell_->SetRunners({listing}, Time());
  store_answers_ = false;
  AdvanceTime(milliseconds(150));
  REQUIRE(RestartingRunner().claimed);
  CHECK(cell_->job_count() == 1);
  CHECK_FALSE(RestartingRunner().registered);
  CHECK(starts_.empty());
  StoreOpenAppend();
  AdvanceTime(milliseconds(500));
  CHECK(starts_.size() == 1);
}

// Guards against LOST: a long-running task whose start was under way when its runner crashed for
// good waited for the platform's longest delay and the longest lease.
TEST_CASE_METHOD(StrayStartTest, "Crash_UnansweredLongRunningStart_StartsElsewhereWithin9s") {
  StartTasks({CommandStatus::kNoResponse}, true);
  RunnerListing spare = cell_->FindRunnerById(Spare())->listing;
  AdvanceTime(milliseconds(3'000));
  cell_->SetRunners({spare}, Time());
  AdvanceTime(milliseconds(6'000));
  CHECK(StartsOnSpare() == 1);
  AdvanceTime(milliseconds(14'000));
  CHECK(StartsOnSpare() == 1);
  AdvanceTime(milliseconds(1'000));
  CHECK(StartsOnSpare() == 1);
}

/// Bounds of leases on later incarnations.
class StrayLeasesTest {
 protected:
  static RunnerListing Incarnation(milliseconds started_at) {
    RunnerListing listing;
    listing.id = "runner-0";
    listing.started_at = started_at;
    return listing;
  }

  StrayLeases leases_;
};

// Guards against TWICE: the call to an incarnation shortened the bound for the next one, which
// commands to the first one may still reach.
TEST_CASE_METHOD(StrayLeasesTest, "Limit_CalledIncarnationIsReplaced_BoundOfTheNextOneIsNotLower") {
  const Instant now{std::chrono::hours(1)};
  leases_.Add(Incarnation(milliseconds(1)), now + milliseconds(23'000));
  CHECK(leases_.Limit(Incarnation(milliseconds(2)), now + milliseconds(10'000)) ==
        now + milliseconds(10'000));
  CHECK(leases_.Limit(Incarnation(milliseconds(3)), now + milliseconds(15'000)) ==
        now + milliseconds(15'000));
}

}  // namespace
}  // namespace wigeonlane
