/// Waits between successive holders of a role.
#include "cells/role_term.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

#include "tests/support/property.h"

namespace wigeonlane {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// After an action, no other holder may act for this long (the platform's lease on machines).
constexpr milliseconds kLease{3'000};
/// A holder may act for this long after its successor started, because it has not noticed that yet.
constexpr milliseconds kAuthority{1'500};
constexpr milliseconds kWait = kAuthority + kLease;
/// Number of points of a wait at which the tests interrupt it.
constexpr int kQuarters = 4;

/// One instance that holds the role for some time.
struct Holder {
  RoleTerm term{{kWait, kLease}};
  Instant last_act{};

  milliseconds HandOver(Instant now) const { return term.RequiredSuccessorWait(last_act, now); }

  /// Starts after a predecessor that recorded `wait`, or after one without a record.
  void Begin(Instant now, std::optional<milliseconds> wait) {
    term.Begin(now);
    term.RecordPredecessor({true, wait ? std::optional(now + *wait) : std::nullopt});
  }
};

class RoleTermTest {
 protected:
  void Advance(Duration step) { clock_.Advance(step); }
  Instant now() const { return clock_.Now(); }

  /// The first holder acts and becomes unresponsive; it may continue to act for `kAuthority`. The
  /// second holder starts to wait.
  void LoseFirst() {
    first_.Begin(now(), std::nullopt);
    Advance(kWait);
    first_.last_act = now() + kAuthority;
    second_.Begin(now(), std::nullopt);
  }

  /// The first holder acts and hands over at once. The second holder starts to wait.
  void HandOverFirst() {
    first_.Begin(now(), std::nullopt);
    Advance(kWait);
    first_.last_act = now();
    second_.Begin(now(), first_.HandOver(now()));
  }

  /// When all actions of the first holder have ended.
  Instant FirstActionsEnd() const { return first_.last_act + kLease; }

  ManualClock clock_;
  Holder first_;
  Holder second_;
  Holder third_;
};

TEST_CASE_METHOD(RoleTermTest, "Role_HolderLeftNoRecord_IsAvailableAfterTheLongestWait") {
  second_.Begin(now(), std::nullopt);
  CHECK_FALSE(second_.term.MayAct(now()));
  CHECK_FALSE(second_.term.MayAct(now() + kWait - microseconds(1)));
  CHECK(second_.term.MayAct(now() + kWait));
}

TEST_CASE_METHOD(RoleTermTest, "Role_HolderHandedOverAfterAnAction_IsAvailableAfterTheLease") {
  HandOverFirst();
  CHECK_FALSE(second_.term.MayAct(FirstActionsEnd() - microseconds(1)));
  CHECK(second_.term.MayAct(FirstActionsEnd()));
}

TEST_CASE_METHOD(RoleTermTest, "Role_HolderHandedOverWithoutAnAction_IsAvailableAtOnce") {
  first_.Begin(now(), std::nullopt);
  Advance(kWait);
  second_.Begin(now(), first_.HandOver(now()));
  CHECK(second_.term.MayAct(now()));
}

TEST_CASE_METHOD(RoleTermTest, "Wait_RecordOfPredecessorIsReadLater_EndsAtTheRecordedTime") {
  second_.Begin(now(), std::nullopt);
  const Instant actions_end = now() + kLease;
  Advance(milliseconds(500));
  second_.term.RecordPredecessor({false, std::nullopt});
  second_.term.RecordPredecessor({true, actions_end});
  CHECK_FALSE(second_.term.MayAct(actions_end - microseconds(1)));
  CHECK(second_.term.MayAct(actions_end));
}

// Guards against a holder that acts while the record of its predecessor is stored: its own
// successor would rely on that record and not wait for its actions.
TEST_CASE_METHOD(RoleTermTest, "Wait_RecordOfPredecessorMayBeStored_DoesNotEnd") {
  second_.term.Begin(now());
  CHECK_FALSE(second_.term.MayAct(now() + kWait));
  second_.term.RecordPredecessor({false, now()});
  CHECK_FALSE(second_.term.MayAct(now() + kWait));
  second_.term.RecordPredecessor({true, now()});
  CHECK(second_.term.MayAct(now()));
}

TEST_CASE_METHOD(RoleTermTest, "Wait_TermStartsAgain_RecordMayBeStoredAgain") {
  second_.Begin(now(), std::nullopt);
  second_.term.Begin(now());
  CHECK_FALSE(second_.term.MayAct(now() + kWait));
}

TEST_CASE_METHOD(RoleTermTest,
                 "Handover_RecordOfPredecessorIsStillStored_ThirdWaitsUntilTheRecordedTime") {
  second_.term.Begin(now());
  second_.term.RecordPredecessor({false, now() + kLease});
  CHECK(second_.HandOver(now()) == kLease);
}

TEST_CASE_METHOD(RoleTermTest, "Wait_RecordIsReadLate_IsNoLongerThanTheLongest") {
  second_.Begin(now(), std::nullopt);
  second_.term.RecordPredecessor({true, now() + kWait + kLease});
  CHECK(second_.term.MayAct(now() + kWait));
}

// Guards against LIMIT (issue 16): a holder that was still waiting recorded no wait for its
// successor, so the third holder started too early.
TEST_CASE_METHOD(RoleTermTest, "Handover_HolderWaitsForAnUnresponsiveOne_ThirdWaitsAsLong") {
  const int quarter = GENERATE(0, 1, 2, 3);
  LoseFirst();
  const Instant available_at = now() + kWait;
  Advance(kWait * quarter / kQuarters);
  third_.Begin(now(), second_.HandOver(now()));
  CAPTURE(quarter);
  CHECK_FALSE(third_.term.MayAct(FirstActionsEnd() - microseconds(1)));
  CHECK(third_.term.MayAct(available_at));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_AtTheEndOfTheWait_RemainingTimeIsRoundedUp") {
  LoseFirst();
  Advance(kWait - microseconds(1));
  CHECK(second_.HandOver(now()) == milliseconds(1));
  Advance(microseconds(1));
  CHECK(second_.HandOver(now()) == milliseconds(0));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_HolderKnowsWhenTheFirstEnds_ThirdWaitsUntilThen") {
  const int quarter = GENERATE(0, 1, 2, 3);
  HandOverFirst();
  Advance(kLease * quarter / kQuarters);
  third_.Begin(now(), second_.HandOver(now()));
  CAPTURE(quarter);
  CHECK_FALSE(third_.term.MayAct(FirstActionsEnd() - microseconds(1)));
  CHECK(third_.term.MayAct(FirstActionsEnd()));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_HolderHadWaitedWithoutAnAction_ThirdMayActAtOnce") {
  LoseFirst();
  Advance(kWait);
  CHECK(second_.HandOver(now()) == milliseconds(0));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_HolderHadWaitedAndActed_ThirdWaitsForTheLease") {
  LoseFirst();
  Advance(kWait);
  second_.last_act = now();
  CHECK(second_.HandOver(now()) == kLease);
}

TEST_CASE_METHOD(RoleTermTest, "Handover_OwnActionAndWaitNotOver_SuccessorWaitsForTheLater") {
  second_.last_act = now() - milliseconds(1'000);  // An action of an earlier term.
  second_.Begin(now(), milliseconds(2'500));
  CHECK(second_.HandOver(now()) == milliseconds(2'500));
  second_.Begin(now(), milliseconds(1'500));
  CHECK(second_.HandOver(now()) == milliseconds(2'000));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_ThroughManyThatWait_LastWaitsForTheFirst") {
  LoseFirst();
  Holder waiting = second_;
  for (int i = 0; i < 5; ++i) {
    Advance(milliseconds(100));
    Holder next;
    next.Begin(now(), waiting.HandOver(now()));
    waiting = next;
  }
  CHECK_FALSE(waiting.term.MayAct(FirstActionsEnd() - microseconds(1)));
}

// A holder that was fenced by a machine stops at once, and loses its cell some time later.
TEST_CASE_METHOD(RoleTermTest,
                 "Handover_HolderHadStoppedBefore_SuccessorWaitsForTheRemainingTime") {
  LoseFirst();
  Advance(milliseconds(500));
  CHECK(second_.HandOver(now()) == kWait - milliseconds(500));
  Advance(milliseconds(700));
  CHECK(second_.HandOver(now()) == kWait - milliseconds(1'200));
}

TEST_CASE_METHOD(RoleTermTest, "Handover_RoleWasNeverHeld_NeedsNoWait") {
  CHECK(second_.HandOver(now()) == milliseconds(0));
}

TEST_CASE_METHOD(RoleTermTest, "Crash_HolderStillWaited_ThirdWaitsTheLongest") {
  LoseFirst();
  Advance(milliseconds(100));
  third_.Begin(now(), std::nullopt);
  CHECK_FALSE(third_.term.MayAct(FirstActionsEnd() - microseconds(1)));
  CHECK(third_.term.MayAct(now() + kWait));
}

/// How far a holder has processed the record of its predecessor when it gives up the role.
enum class Takeover : std::uint8_t { kNotRead, kRead, kRemoved };

/// The behaviour of one holder before the next one starts.
struct Turn {
  milliseconds held{0};  ///< Until the next holder starts.
  Takeover takeover = Takeover::kNotRead;
  bool acts = false;          ///< Acts as soon and as long as it may.
  bool unresponsive = false;  ///< Leaves no record, and acts as long as it may.
};

/// Plays turns one after the other, with the record that each of them leaves in the store.
class RoleChain {
 public:
  /// Plays one turn. Returns whether no action of the holder overlaps an action of another holder.
  bool Play(const Turn& turn) {
    Holder holder = Begin(turn.takeover);
    if (turn.takeover == Takeover::kRemoved) recorded_ = false;
    const std::optional<Instant> available_at = FirstAct(holder);
    now_ += turn.held;
    const Instant end = turn.unresponsive ? now_ + kAuthority : now_;
    const bool acted = turn.acts && available_at && *available_at <= end;
    const bool exclusive = !acted || *available_at >= busy_until_;
    if (acted) {
      holder.last_act = end;
      busy_until_ = std::max(busy_until_, end + kLease);
    }
    // A holder that has not read the record of its predecessor writes none.
    if (!turn.unresponsive && turn.takeover != Takeover::kNotRead) {
      recorded_ = true;
      recorded_wait_ = holder.HandOver(now_);
    }
    return exclusive;
  }

 private:
  Holder Begin(Takeover takeover) const {
    Holder holder;
    holder.term.Begin(now_);
    if (takeover == Takeover::kNotRead) return holder;
    RolePredecessor predecessor;
    predecessor.record_cleared = takeover == Takeover::kRemoved;
    if (recorded_) predecessor.actions_end = now_ + recorded_wait_;
    holder.term.RecordPredecessor(predecessor);
    return holder;
  }

  /// When the holder may act first; nothing when it never may.
  std::optional<Instant> FirstAct(const Holder& holder) const {
    for (Instant time = now_; time <= now_ + kWait; time += milliseconds(1)) {
      if (holder.term.MayAct(time)) return time;
    }
    return {};
  }

  Instant now_{std::chrono::hours(1)};
  bool recorded_ = false;          ///< Whether a record is stored.
  milliseconds recorded_wait_{0};  ///< The wait in that record.
  Instant busy_until_{};
};

TEST_CASE("Role_AnyChainOfHolders_TwoNeverActAtOnce") {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kRuns = 1'000;
  RequireProperty(kSeed, kRuns, [] {
    RoleChain chain;
    for (int turns = *rc::gen::inRange(2, 12); turns > 0; --turns) {
      Turn turn;
      turn.held = milliseconds(*rc::gen::inRange(0, 8'000));
      turn.acts = *rc::gen::arbitrary<bool>();
      turn.unresponsive = *rc::gen::arbitrary<bool>();
      turn.takeover = *rc::gen::element(Takeover::kNotRead, Takeover::kRead, Takeover::kRemoved);
      RC_ASSERT(chain.Play(turn));
    }
  });
}

}  // namespace
}  // namespace wigeonlane
