/// Several owners lost one after the other, with runners that their successors cannot reach.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Lasting: two tasks on runners of their own.
constexpr std::size_t kLastingShape = 3;
constexpr std::size_t kSound = 16;  ///< A fate without failures.
/// Tasks that fill a runner each, one for every runner of the world.
constexpr std::size_t kWideShape = 2;
/// More than the runners that all owners reach can do in the time of a wait.
constexpr std::size_t kWideJobs = 10;
constexpr milliseconds kWarmUp{2'000};
/// A lasting task may be away for this long (the platform's rule on lost tasks).
constexpr milliseconds kLongestAway{9'000};
/// From the loss of an owner until its successor begins: the time to live of its membership (1 s),
/// the period of the successor's renewals (0.25 s), and calls to the store.
constexpr milliseconds kTakeover{1'600};
/// Longer than any lease and any wait for one.
constexpr milliseconds kLongCut{20'000};
/// Until an owner has given up its first look at a silent runner (0.6 s) and stored what it knows.
constexpr milliseconds kNoticed{1'000};

/// A lasting job whose runners some owners of a chain cannot reach. Former owners go on without
/// renewals.
class TakeoverChain {
 public:
  explicit TakeoverChain(milliseconds phase) {
    world_.Submit(kLastingShape, kSound);
    world_.Advance(kWarmUp + phase);
    hosts_ = world_.RunnersOf(0);
    REQUIRE(hosts_.size() == 2);
  }

  void PlayFirstAloneReachesHosts(int losses, milliseconds gap) {
    CutHostsFromSuccessors();
    LoseOwners(losses, gap);
    CheckNothingRanTwice();
  }

  void PlayMiddleGrants(int losses_after, milliseconds gap) {
    world_.TakeOver(false);
    world_.Advance(kNoticed);
    CutHostsFromSuccessors();
    LoseOwners(losses_after, gap);
    CheckNothingRanTwice();
  }

  /// The second owner finds the hosts silent for a while, and reaches them from `heard_for` before
  /// the third begins. The third and later ones never reach them.
  void PlayMiddleGrantsLate(milliseconds heard_for, int losses_after, std::size_t lost_answers) {
    HostsAnswerSecondOwnerLate(heard_for, lost_answers);
    LoseOwners(losses_after, kNoticed);
    CheckNothingRanTwice();
  }

  /// Nobody reaches the hosts for a while. They answer the first owner again from some time before
  /// the second begins, which never reaches them. The store may be away for that time.
  void PlayFirstGrantsAfterSilence(milliseconds silent_for, milliseconds heard_for,
                                   bool store_away) {
    for (const std::size_t host : hosts_) world_.CutRunner(host, silent_for);
    world_.Advance(silent_for);
    if (store_away) world_.StoreDown(heard_for);
    world_.Advance(heard_for);
    CutHostsFromSuccessors();
    LoseOwners(2, kNoticed);
    CheckNothingRanTwice();
  }

  /// The hosts answer the second owner shortly before its wait for them is over. It has tasks for
  /// them, and the third begins at once.
  void PlayMiddleStartsLate(milliseconds silent_for, milliseconds heard_for) {
    CutHostsFromSuccessors();
    world_.TakeOver(false);
    for (std::size_t job = 0; job < kWideJobs; ++job) world_.Submit(kWideShape, kSound + job);
    world_.Advance(silent_for);
    CutHostsFromSuccessors();
    world_.Advance(heard_for);
    LoseOwners(1, kNoticed);
    CheckNothingRanTwice();
  }

  /// The second owner is dealt the cell but gets to read it only after the third was dealt it. The
  /// third and later ones never reach the hosts.
  void PlayMiddleReadsLate(milliseconds store_away, milliseconds third_after) {
    world_.StoreDown(store_away);
    world_.TakeOver(false);
    CutHostsFromSuccessors();
    world_.Advance(third_after);
    LoseOwners(3, kNoticed);
    CheckNothingRanTwice();
  }

  /// The first owner is dealt the cell again without having noticed that it was lost.
  /// The second owner ends then, or goes on without renewals and reaches the store.
  void PlayFirstGoesOn(milliseconds lost_for, milliseconds held_again, int losses_after,
                       bool second_ends) {
    CutHostsFromSuccessors();
    world_.TakeOver(false);
    world_.Advance(lost_for);
    world_.ReassignToPreviousOwner(second_ends);
    world_.Advance(held_again);
    LoseOwners(losses_after, kNoticed);
    CheckNothingRanTwice();
  }

  /// The hosts answer late, and the second owner is frozen when the third begins.
  void PlayMiddleWakesAfterItsSuccessor(milliseconds heard_for, milliseconds frozen) {
    HostsAnswerSecondOwnerLate(heard_for, 0);
    world_.Freeze(frozen);
    LoseOwners(1, kNoticed);
    CheckNothingRanTwice();
  }

 private:
  /// Owners that begin from now on do not reach the hosts; those before them do.
  void CutHostsFromSuccessors() {
    for (const std::size_t host : hosts_) world_.CutRunnerFromSuccessors(host, kLongCut);
  }

  void HostsAnswerSecondOwnerLate(milliseconds heard_for, std::size_t lost_answers) {
    CutHostsFromSuccessors();
    world_.TakeOver(false);
    world_.Advance(kNoticed);
    CutHostsFromSuccessors();
    world_.LoseAppendResponses(lost_answers);
    world_.Advance(heard_for);
  }

  /// So many owners take over, one each `gap`.
  void LoseOwners(int losses, milliseconds gap) {
    for (int loss = 0; loss < losses; ++loss) {
      if (loss > 0) world_.Advance(gap);
      world_.TakeOver(false);
    }
  }

  void CheckNothingRanTwice() {
    world_.Advance(kLongCut);
    INFO(world_.broken());
    CHECK(world_.broken().empty());
    CHECK(world_.RunnersOf(0).size() == 2);
  }

  CellWorld world_;
  std::vector<std::size_t> hosts_;
};

// Guards against a rest of a wait that is shorter than what the first owner may have granted.
TEST_CASE("Lease_FirstOwnerAloneReachesRunners_EndsBeforeAnySuccessorStartsAgain") {
  constexpr milliseconds kStep{100};
  const int losses = GENERATE(2, 3, 4);
  const milliseconds gap(GENERATE(50, 400, 1'000, 1'900));
  CAPTURE(losses, gap.count());
  for (milliseconds phase{0}; phase < milliseconds(1'000); phase += kStep) {
    CAPTURE(phase.count());
    TakeoverChain(phase).PlayFirstAloneReachesHosts(losses, gap);
  }
}

// Guards against counting from the first loss when an owner in between has granted leases.
TEST_CASE("Lease_OwnerInBetweenGranted_EndsBeforeItsSuccessorsStartAgain") {
  constexpr milliseconds kStep{100};
  const int losses = GENERATE(1, 2, 3);
  const milliseconds gap(GENERATE(50, 400, 1'000, 1'900));
  CAPTURE(losses, gap.count());
  for (milliseconds phase{0}; phase < milliseconds(1'000); phase += kStep) {
    CAPTURE(phase.count());
    TakeoverChain(phase).PlayMiddleGrants(losses, gap);
  }
}

// Guards against leases granted while the store still says that there are none.
TEST_CASE("Lease_RunnerAnswersAfterItWasFoundSilent_IsWaitedForInFull") {
  constexpr milliseconds kStep{10};
  const int losses = GENERATE(1, 2);
  const std::size_t lost_answers = GENERATE(0U, 1U, 2U);
  CAPTURE(losses, lost_answers);
  for (milliseconds heard_for{0}; heard_for < milliseconds(1'500); heard_for += kStep) {
    CAPTURE(heard_for.count());
    TakeoverChain(milliseconds(0)).PlayMiddleGrantsLate(heard_for, losses, lost_answers);
  }
}

// Guards against leases granted while the store still says that the runner was silent.
TEST_CASE("Lease_RunnerAnswersItsOwnerAgain_IsWaitedForInFullBySuccessors") {
  constexpr milliseconds kStep{10};
  const milliseconds silent_for(GENERATE(700, 1'800, 3'000));
  const bool store_away = GENERATE(false, true);
  CAPTURE(silent_for.count(), store_away);
  for (milliseconds heard_for{0}; heard_for < milliseconds(2'000); heard_for += kStep) {
    CAPTURE(heard_for.count());
    TakeoverChain(milliseconds(0)).PlayFirstGrantsAfterSilence(silent_for, heard_for, store_away);
  }
}

// Guards against starts, which bring a lease along, while the store still says that there are none.
TEST_CASE("Start_RunnerAnswersLateInTheWaitForIt_IsOverBeforeTheTaskStartsAgain") {
  constexpr milliseconds kLongSilence{4'800};
  constexpr milliseconds kSilenceStep{100};
  constexpr milliseconds kLooks{900};  ///< A look that fails and the pause after it, and more.
  constexpr milliseconds kStep{5};
  for (milliseconds silent = kLongSilence; silent < CellOptions().max_lease_after_renewal;
       silent += kSilenceStep) {
    for (milliseconds heard_for{0}; heard_for < kLooks; heard_for += kStep) {
      CAPTURE(silent.count(), heard_for.count());
      TakeoverChain(milliseconds(0)).PlayMiddleStartsLate(silent, heard_for);
    }
  }
}

// Guards against counting from a tenure that began before its predecessor granted its last leases.
TEST_CASE("Lease_OwnerReadsAfterItsSuccessorWasDealtTheCell_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{10};
  const milliseconds third_after(GENERATE(130, 550, 970));
  CAPTURE(third_after.count());
  for (milliseconds away = third_after; away < milliseconds(2'500); away += kStep) {
    CAPTURE(away.count());
    TakeoverChain(milliseconds(0)).PlayMiddleReadsLate(away, third_after);
  }
}

// Guards against trust in what an owner in between stored when a former one went on after it.
TEST_CASE("Lease_FormerOwnerGoesOnAfterAnUnseenLoss_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{50};
  const milliseconds lost_for(GENERATE(50, 300, 700, 1'000));
  const int losses = GENERATE(1, 2);
  CAPTURE(lost_for.count(), losses);
  for (milliseconds held_again{0}; held_again < milliseconds(6'000); held_again += kStep) {
    CAPTURE(held_again.count());
    TakeoverChain(milliseconds(0)).PlayFirstGoesOn(lost_for, held_again, losses, true);
  }
}

// Guards against TWICE: an owner that the group has deposed without its knowledge takes the end of
// its wait for a runner as the end of the leases there, though the owner before it was dealt the
// cell again and grants them; and its successor trusts the roster that it stored.
TEST_CASE("Lease_OwnerDealtTheCellAgainAndTheOneBetweenGoesOn_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{100};
  const milliseconds lost_for(GENERATE(50, 300, 700, 1'000));
  const int losses = GENERATE(1, 2);
  CAPTURE(lost_for.count(), losses);
  for (milliseconds held_again{0}; held_again < milliseconds(9'000); held_again += kStep) {
    CAPTURE(held_again.count());
    TakeoverChain(milliseconds(0)).PlayFirstGoesOn(lost_for, held_again, losses, false);
  }
}

// Guards against an owner that wakes with an answer of the store from before its successor began.
TEST_CASE("Lease_OwnerWakesAfterItsSuccessorBegan_EndsBeforeTheTaskStartsAgain") {
  constexpr milliseconds kStep{10};
  const milliseconds frozen(GENERATE(300, 2'500, 5'000));
  CAPTURE(frozen.count());
  for (milliseconds heard_for{0}; heard_for < milliseconds(700); heard_for += kStep) {
    CAPTURE(heard_for.count());
    TakeoverChain(milliseconds(0)).PlayMiddleWakesAfterItsSuccessor(heard_for, frozen);
  }
}

/// Owners lost one after the other after a lasting task's runner.
class SilentRunnerChain {
 public:
  explicit SilentRunnerChain(std::optional<milliseconds> seen_late) {
    world_.Submit(kLastingShape, kSound);
    world_.Advance(kWarmUp);
    REQUIRE(world_.RunnersOf(0).size() == 2);
    world_.SetTermObservationDelay(seen_late);
    world_.CrashRunner(world_.RunnersOf(0).front());
  }

  void LoseOwner(milliseconds after, milliseconds without_owner) {
    world_.Advance(after);
    world_.KillOwner();
    world_.Advance(without_owner);
    world_.TakeOver(true);
    gone_ += after + without_owner;
  }

  void CheckTaskIsBackInTime() {
    REQUIRE(gone_ < kLongestAway);
    world_.Advance(kLongestAway - gone_);
    CHECK(world_.RunnersOf(0).size() == 2);
    INFO(world_.broken());
    CHECK(world_.broken().empty());
  }

 private:
  CellWorld world_;
  milliseconds gone_{0};
};

/// Between renewals of an instance, by which it sees changes late, and more.
constexpr milliseconds kRenewals{500};

// Guards against a successor that begins to wait for a runner of which the lost owner knew how long
// its leases last.
TEST_CASE("LastingTask_OwnerLostAfterItsRunner_RunsAgainInTime") {
  constexpr milliseconds kStep{500};
  for (milliseconds lost_after{0}; lost_after <= milliseconds(5'000); lost_after += kStep) {
    CAPTURE(lost_after.count());
    SilentRunnerChain chain(kRenewals);
    chain.LoseOwner(lost_after, kTakeover);
    chain.CheckTaskIsBackInTime();
  }
}

// Guards against a wait for a silent runner that grows with each owner that is lost during it.
TEST_CASE("LastingTask_ChainOfOwnersLostAfterItsRunner_RunsAgainInTime") {
  const int losses = GENERATE(1, 2, 3, 4);
  const milliseconds gap(GENERATE(300, 700, 1'000, 1'500, 2'000));
  const milliseconds seen_late(GENERATE(0, 500));
  CAPTURE(losses, gap.count(), seen_late.count());
  SilentRunnerChain chain(seen_late);
  for (int loss = 0; loss < losses; ++loss) chain.LoseOwner(gap, milliseconds(0));
  chain.CheckTaskIsBackInTime();
}

// Guards against the same when no successor has seen the tenures before its own: each link may add
// the age of the record.
TEST_CASE("LastingTask_ChainOfOwnersLostToNewInstances_RunsAgainInTime") {
  const int losses = GENERATE(1, 2, 3, 4);
  const milliseconds gap(GENERATE(300, 700, 1'000, 1'500, 2'000));
  CAPTURE(losses, gap.count());
  SilentRunnerChain chain(std::nullopt);
  for (int loss = 0; loss < losses; ++loss) chain.LoseOwner(gap, milliseconds(0));
  chain.CheckTaskIsBackInTime();
}

// Guards against adding the time without an owner to the wait with each loss.
TEST_CASE("LastingTask_OwnerLostWithItsRunnerAndOthersAfterThem_RunsAgainInTime") {
  const int more_losses = GENERATE(0, 1, 2);
  const milliseconds held(GENERATE(300, 700, 1'000, 1'400));
  CAPTURE(more_losses, held.count());
  SilentRunnerChain chain(kRenewals);
  chain.LoseOwner(milliseconds(0), kTakeover);
  for (int loss = 0; loss < more_losses; ++loss) chain.LoseOwner(held, kTakeover);
  chain.CheckTaskIsBackInTime();
}

/// A lasting task's runner falls silent and its owner is lost, and the second owner after that.
class DoubtfulChainTest {
 protected:
  static constexpr milliseconds kHeld{2'000};
  /// More than a look that fails and the next round of placing.
  static constexpr milliseconds kMargin{1'500};

  DoubtfulChainTest() {
    world_.Submit(kLastingShape, kSound);
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

  void CheckTaskIsBackAfter(milliseconds wait) {
    world_.Advance(wait - milliseconds(100));
    CHECK(world_.RunnersOf(0).size() == 1);
    world_.Advance(kMargin);
    CHECK(world_.RunnersOf(0).size() == 2);
  }

  CellWorld world_;
};

TEST_CASE_METHOD(DoubtfulChainTest, "Wait_OwnerInBetweenGrantedNothing_IsNotBegunAnew") {
  world_.Advance(kHeld);
  LoseSecondOwner();
  CheckTaskIsBackAfter(CellOptions().max_lease_after_renewal - kHeld);
}

TEST_CASE_METHOD(DoubtfulChainTest, "Wait_OwnerSawAnotherChangeOfTheGroup_IsNotBegunAnew") {
  world_.Advance(kHeld / 2);
  world_.ChangeGroup(1);
  world_.Advance(kHeld / 2);
  LoseSecondOwner();
  CheckTaskIsBackAfter(CellOptions().max_lease_after_renewal - kHeld);
}

// Guards against a former owner that was dealt the cell again between two renewals and went on: it
// has not read that its leases are waited for no longer.
TEST_CASE_METHOD(DoubtfulChainTest, "Wait_GroupChangedUnseenAfterTheOwner_IsBegunAnew") {
  world_.Advance(kHeld);
  world_.KillOwner();
  world_.ChangeGroup(1);
  LoseSecondOwner();
  CheckTaskIsBackAfter(CellOptions().max_lease_after_renewal);
}

TEST_CASE_METHOD(DoubtfulChainTest,
                 "Wait_OwnerMissedAChangeOfTheGroup_IsCountedFromWhenItSawThat") {
  world_.Advance(kHeld / 2);
  world_.ChangeGroup(2);
  world_.Advance(kHeld / 2);
  LoseSecondOwner();
  CheckTaskIsBackAfter(CellOptions().max_lease_after_renewal - kHeld / 2);
}

}  // namespace
}  // namespace wigeonlane
