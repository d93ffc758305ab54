/// Several owners lost one after the other, with runners that their successors cannot reach.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <vector>

#include "tests/cells/cell_world.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Lasting: two tasks on runners of their own.
constexpr std::size_t kLastingShape = 3;
constexpr std::size_t kSound = 16;  ///< A fate without failures.
constexpr milliseconds kWarmUp{2'000};
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

  /// As before, and the second owner is frozen when the third begins.
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
    world_.LoseAppendAnswers(lost_answers);
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

}  // namespace
}  // namespace wigeonlane
