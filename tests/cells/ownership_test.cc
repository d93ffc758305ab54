/// Gaining, losing and renewing cells with a scripted group.
#include "cells/ownership.h"

#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Responds to joins from a script, at once.
class ScriptedGroup {
 public:
  void Join(const GroupMember&, std::uint64_t,
            const std::function<void(absl::StatusOr<GroupView>)>& done) {
    if (views.empty()) return done(absl::UnavailableError("down"));
    GroupView view = views.front();
    views.pop_front();
    before_response();
    done(std::move(view));
  }
  void Leave(const std::string&, const std::string& member,
             const std::function<void(absl::Status)>& done) {
    ++leaves;
    removed_members.push_back(member);
    done(absl::OkStatus());
  }
  void Owners(const std::string&,
              const std::function<void(absl::StatusOr<std::vector<PartitionOwner>>)>& done) {
    done(owners);
  }

  std::vector<PartitionOwner> owners;
  std::deque<GroupView> views;
  int leaves = 0;
  std::vector<std::string> removed_members;
  std::function<void()> before_response = [] {};
};

class OwnershipTest {
 protected:
  static constexpr std::uint32_t kCells = 8;

  OwnershipTest() { Create(kMinOwnerCapacity); }

  void Create(MilliCores capacity) {
    OwnershipOptions options;
    options.member = {"group", "member", "topic", milliseconds(2'000)};
    options.cells = kCells;
    options.capacity = capacity;
    ownership_.emplace(
        &io_, &group_, &clock_, options,
        OwnershipEvents{
            [this](CellNumber cell, TermToken token) { gained_.emplace_back(cell, token); },
            [this](CellNumber cell, const std::function<void()>& released) {
              lost_.push_back(cell);
              released();
            },
            [](Instant) {}, [this] { ++joins_; }});
  }

  /// Lists `members` instances of `capacity` as the owners of all cells.
  void SetOwners(std::size_t members, MilliCores capacity) {
    group_.owners.clear();
    for (std::uint32_t cell = 0; cell < kCells; ++cell) {
      const MemberName name{Concat("i", cell % members), {"10.0.0.1", 7'060}, capacity};
      group_.owners.push_back({cell, name.ToString()});
    }
  }

  /// Runs the timers that expire within `duration` of real time.
  void RunFor(milliseconds duration) {
    io_.restart();
    io_.run_for(duration);
  }

  asio::io_context io_;
  ScriptedGroup group_;
  ManualClock clock_;
  std::optional<Ownership<ScriptedGroup, ManualClock>> ownership_;
  std::vector<std::pair<CellNumber, TermToken>> gained_;
  std::vector<CellNumber> lost_;
  int joins_ = 0;  ///< Calls of the joining event.
};

TEST_CASE_METHOD(OwnershipTest, "Start_PreviousProcessMayBeListed_LeavesBeforeItJoins") {
  group_.views = {{3, {0}}};
  ownership_->Start();
  CHECK(group_.leaves == 1);
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0] == std::pair<CellNumber, TermToken>(0, 3 * kCells));
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_InTime_KeepsTheTermThroughOtherChanges") {
  group_.views = {{3, {0}}, {4, {0}}};
  ownership_->Start();
  clock_.Advance(milliseconds(500));
  ownership_->RenewNow();
  CHECK(lost_.empty());
  CHECK(gained_.size() == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_AfterTheTimeToLive_EndsTheTermAndStartsANewOne") {
  group_.views = {{3, {0}}, {7, {0}}};
  ownership_->Start();
  clock_.Advance(milliseconds(6'000));
  ownership_->RenewNow();
  CHECK(lost_ == std::vector<CellNumber>{0});
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1] == std::pair<CellNumber, TermToken>(0, 7 * kCells));
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_CellIsAssignedToAnother_IsLost") {
  group_.views = {{3, {0, 1}}, {4, {1}}};
  ownership_->Start();
  ownership_->RenewNow();
  CHECK(lost_ == std::vector<CellNumber>{0});
}

TEST_CASE_METHOD(OwnershipTest, "Reclaim_SameGeneration_LeavesAndJoinsForAHigherToken") {
  group_.views = {{3, {0}}, {3, {0}}, {5, {0}}};
  ownership_->Start();
  ownership_->Reclaim(0, 3 * kCells);
  CHECK(group_.leaves == 2);
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1].second == 5 * kCells);
}

// Guards against waits for leases that are counted from a time before the term had started.
TEST_CASE_METHOD(OwnershipTest,
                 "GenerationStartedBy_GenerationsWereSeen_ReturnsWhenItOrALaterOneWasFirstSeen") {
  group_.views = {{3, {0}}, {3, {0}}, {7, {0}}};
  ownership_->Start();
  const Instant first = clock_.Now();
  clock_.Advance(milliseconds(300));
  ownership_->RenewNow();
  clock_.Advance(milliseconds(300));
  ownership_->RenewNow();
  CHECK(ownership_->GenerationStartedBy(2 * kCells) == first);
  CHECK(ownership_->GenerationStartedBy(3 * kCells + 1) == first);
  CHECK(ownership_->GenerationStartedBy(4 * kCells + 1) == clock_.Now());
  CHECK(ownership_->GenerationStartedBy(7 * kCells + kCells - 1) == clock_.Now());
  CHECK_FALSE(ownership_->GenerationStartedBy(8 * kCells));
}

TEST_CASE_METHOD(OwnershipTest, "GenerationStartedBy_ManyGenerationsSince_IsNotTooEarly") {
  constexpr std::uint64_t kGenerations = 1'000;
  ownership_->Start();
  std::vector<Instant> seen(kGenerations + 1);
  for (std::uint64_t generation = 1; generation <= kGenerations; ++generation) {
    clock_.Advance(milliseconds(100));
    group_.views = {{generation, {0}}};
    ownership_->RenewNow();
    seen[generation] = clock_.Now();
  }
  for (std::uint64_t generation = 1; generation <= kGenerations; ++generation) {
    CHECK(ownership_->GenerationStartedBy(generation * kCells) >= seen[generation]);
  }
  CHECK(ownership_->GenerationStartedBy(kGenerations * kCells) == seen[kGenerations]);
}

TEST_CASE_METHOD(OwnershipTest, "NoRenewalsSince_CellWasAssignedToUs_IsItsToken") {
  group_.views = {{3, {0}}, {3, {0}}, {5, {0}}};
  ownership_->Start();
  CHECK(ownership_->NoRenewalsSince(3 * kCells) == 3 * kCells);
  ownership_->Reclaim(0, 3 * kCells);
  REQUIRE(gained_.size() == 2);
  CHECK(ownership_->NoRenewalsSince(gained_[1].second) == 5 * kCells);
}

// Guards against a term that appears to start before the last renewal of the previous term of the
// same instance.
TEST_CASE_METHOD(OwnershipTest,
                 "NoRenewalsSince_PreviousTermWasRenewedInTheGeneration_IsTheNextGeneration") {
  group_.views = {{3, {0}}, {4, {0}}};
  ownership_->Start();
  clock_.Advance(milliseconds(500));
  ownership_->RenewNow();
  ownership_->Reclaim(0, 3 * kCells);
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1].second == 4 * kCells);
  CHECK(ownership_->NoRenewalsSince(4 * kCells) == 5 * kCells);
}

// Guards against authority that is counted from a time at which another instance may own the cell.
TEST_CASE_METHOD(OwnershipTest, "Renewal_ResponseIsReadLate_CountsFromWhenItWasSent") {
  group_.views = {{3, {0}}};
  group_.before_response = [this] { clock_.Advance(milliseconds(4'000)); };
  const Instant sent = clock_.Now();
  ownership_->Start();
  REQUIRE(gained_.size() == 1);
  CHECK(ownership_->renewed_at() == sent);
  CHECK(ownership_->GenerationStartedBy(3 * kCells) == sent + milliseconds(4'000));
}

TEST_CASE_METHOD(OwnershipTest, "Evict_MemberThatEnded_RemovesItAndRenewsAtOnce") {
  group_.views = {{3, {0}}, {4, {0, 1}}};
  ownership_->Start();
  int evicted = 0;
  ownership_->Evict("other", [&] { ++evicted; });
  CHECK(group_.removed_members == std::vector<std::string>{"member", "other"});
  CHECK(evicted == 1);
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1].first == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Evict_AgainWithinTheTimeToLive_IsIgnored") {
  group_.views = {{3, {0}}, {4, {0}}, {5, {0}}};
  ownership_->Start();
  ownership_->Evict("other", [] {});
  clock_.Advance(milliseconds(1'900));
  ownership_->Evict("other", [] {});
  ownership_->Evict("member", [] {});
  CHECK(group_.removed_members == std::vector<std::string>{"member", "other"});
  clock_.Advance(milliseconds(100));
  ownership_->Evict("other", [] {});
  CHECK(group_.removed_members.size() == 3);
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_StoreIsUnavailable_IsRetriedMoreOftenUntilItReturns") {
  group_.views = {{3, {0}}};
  ownership_->Start();
  CHECK(ownership_->renewal_interval() == milliseconds(500));
  ownership_->RenewNow();  // The script has no more views, so the store is unavailable.
  CHECK(ownership_->renewal_interval() == milliseconds(200));
  group_.views = {{3, {0}}};
  ownership_->RenewNow();
  CHECK(ownership_->renewal_interval() == milliseconds(500));
}

// Guards against LOST: a task that waits for a confirmation waits for the next periodic renewal.
TEST_CASE_METHOD(OwnershipTest, "RenewEarly_NoRenewalIsInProgress_RenewsAtOnce") {
  group_.views = {{3, {0}}, {4, {0, 1}}};
  ownership_->Start();
  ownership_->RenewEarly();
  CHECK(ownership_->generation() == 4);
}

// Guards against a flood of renewals: cells ask again and again until a renewal is confirmed.
TEST_CASE_METHOD(OwnershipTest, "RenewEarly_RenewalInProgressOrStoreUnavailable_SendsNone") {
  group_.views = {{3, {0}}, {4, {0}}};
  group_.before_response = [this] { ownership_->RenewEarly(); };
  ownership_->Start();
  CHECK(group_.views.size() == 1);
  group_.views.clear();
  ownership_->RenewNow();
  group_.views = {{5, {0}}};
  ownership_->RenewEarly();
  CHECK(group_.views.size() == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Start_SmallInstanceAmongEnoughLargeOnes_StandsBy") {
  Create(120);
  SetOwners(4, 500);
  group_.views = {{3, {0}}};
  ownership_->Start();
  RunFor(milliseconds(2'200));
  CHECK(ownership_->standby());
  CHECK(joins_ == 0);
  CHECK(gained_.empty());
}

TEST_CASE_METHOD(OwnershipTest, "StandBy_NoCellIsOwned_JoinsAtTheFirstPoll") {
  Create(120);
  group_.views = {{3, {0}}};
  ownership_->Start();
  RunFor(milliseconds(1'700));
  CHECK_FALSE(ownership_->standby());
  CHECK(gained_.size() == 1);
}

TEST_CASE_METHOD(OwnershipTest, "StandBy_LargeOnesAreLost_JoinsAtTheSecondPoll") {
  Create(120);
  SetOwners(4, 500);
  ownership_->Start();
  RunFor(milliseconds(1'700));
  REQUIRE(ownership_->standby());
  group_.views = {{3, {0}}};
  SetOwners(1, 500);
  RunFor(milliseconds(1'000));
  CHECK(ownership_->standby());  // The owner list may show a brief transition.
  RunFor(milliseconds(1'000));
  CHECK_FALSE(ownership_->standby());
  CHECK(joins_ == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_LargeOnesSufficeForTheStandDownDelay_HandsItsCellsOver") {
  Create(120);
  group_.views = {{3, {0, 1}}, {4, {0, 1}}, {4, {0, 1}}, {4, {0, 1}}};
  ownership_->Start();
  RunFor(milliseconds(1'700));
  REQUIRE(gained_.size() == 2);
  SetOwners(4, 500);
  for (int renewal = 0; renewal < 2; ++renewal) {
    ownership_->RenewNow();
    CHECK_FALSE(ownership_->standby());
    clock_.Advance(milliseconds(1'600));
  }
  ownership_->RenewNow();
  CHECK(ownership_->standby());
  CHECK(lost_ == std::vector<CellNumber>{0, 1});
  CHECK(group_.removed_members.back() == "member");
}

TEST_CASE("OwnerNeed_CapacityOfLargerInstances_IsComparedWithTheNeedOfTheCells") {
  std::map<CellNumber, std::string> owners;
  for (CellNumber cell = 0; cell < 8; ++cell) {
    owners[cell] = MemberName{Concat("i", cell % 4), {"10.0.0.1", 7'060}, 500}.ToString();
  }
  CHECK(ComputeOwnerNeed(120, owners, 8) == OwnerNeed::kNone);  // 2.0 cores suffice for 0.96.
  CHECK(ComputeOwnerNeed(250, owners, 8) ==
        OwnerNeed::kOwner);  // Large instances always own cells.
  CHECK(ComputeOwnerNeed(120, owners, 9) == OwnerNeed::kOwner);  // One cell has no owner.
  for (auto& [cell, member] : owners) {
    member = MemberName{Concat("i", cell % 2), {"10.0.0.1", 7'060}, 500}.ToString();
  }
  CHECK(ComputeOwnerNeed(120, owners, 8) ==
        OwnerNeed::kEither);  // 1.0 core barely suffices for 0.96.
  for (auto& [cell, member] : owners) {
    member = MemberName{"i0", {"10.0.0.1", 7'060}, 500}.ToString();
  }
  CHECK(ComputeOwnerNeed(120, owners, 8) == OwnerNeed::kOwner);
}

TEST_CASE("MemberName_RoundTripAndOlderForms_AreParsed") {
  const MemberName name{"front-1", {"10.1.0.9", 7'060}, 500};
  const auto parsed = MemberName::Parse(name.ToString());
  REQUIRE(parsed);
  CHECK(parsed->peers == name.peers);
  CHECK(parsed->capacity == 500);
  CHECK(MemberName::Parse("front-1|10.1.0.9:7060")->capacity == 0);
  CHECK_FALSE(MemberName::Parse("front-1"));
  CHECK_FALSE(MemberName::Parse("front-1|10.1.0.9:7060|many"));
}

}  // namespace
}  // namespace wigeonlane
