/// What the store is told of a lost cell while its former owner still stores what it knows.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "cells/ownership.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Answers joins from a script, at once, and notes which generation each of them confirmed.
class NotingGroup {
 public:
  void Join(const GroupMember&, std::uint64_t generation,
            const std::function<void(absl::StatusOr<GroupView>)>& done) {
    if (away) return done(absl::UnavailableError("away"));
    confirmed.push_back(generation);
    GroupView view = views.front();
    if (views.size() > 1) views.pop_front();
    done(std::move(view));
  }
  void Leave(const std::string&, const std::string&,
             const std::function<void(absl::Status)>& done) {
    ++leaves;
    done(absl::OkStatus());
  }
  void Owners(const std::string&,
              const std::function<void(absl::StatusOr<std::vector<PartitionOwner>>)>& done) {
    done(owners);
  }

  /// Whether a join since the last look allowed the store to deal on what generation `g` took.
  bool Confirmed(std::uint64_t g) const {
    return std::any_of(confirmed.begin(), confirmed.end(),
                       [g](std::uint64_t generation) { return generation >= g; });
  }

  std::deque<GroupView> views;  ///< The last one stays.
  std::vector<PartitionOwner> owners;
  std::vector<std::uint64_t> confirmed;
  int leaves = 0;
  bool away = false;
};

class CellReleaseTest {
 protected:
  static constexpr std::uint32_t kCells = 8;
  static constexpr milliseconds kMaxReleaseTime =
      Ownership<NotingGroup, ManualClock>::kMaxReleaseTime;
  /// More than two periods of renewal.
  static constexpr milliseconds kSomeRenewals{600};

  /// Between renewals.
  static constexpr milliseconds kPause{250};

  CellReleaseTest() { Create(kMinOwnerCapacity); }

  void Create(MilliCores capacity) {
    OwnershipOptions options;
    options.member = {"group", "member", "topic", milliseconds(1'000)};
    options.cells = kCells;
    options.capacity = capacity;
    ownership_.emplace(&io_, &group_, &clock_, options,
                       OwnershipEvents{[this](CellNumber cell, TermToken token) {
                                         gained_.emplace_back(cell, token);
                                       },
                                       [this](CellNumber cell, std::function<void()> released) {
                                         lost_.emplace_back(cell, std::move(released));
                                       },
                                       [](Instant) {}});
  }

  /// Holds both cells in generation 3 and has been told of `views` since.
  void HoldThenSee(std::deque<GroupView> views) {
    group_.views = {{3, {0, 1}}};
    ownership_->Start();
    group_.views = std::move(views);
    group_.confirmed.clear();
    group_.leaves = 0;
    gained_.clear();
    ownership_->RenewNow();
  }

  /// Renews in turn for `duration` by the clock.
  void RenewFor(milliseconds duration) {
    for (milliseconds gone{0}; gone < duration; gone += kPause) {
      clock_.Advance(kPause);
      ownership_->RenewNow();
    }
  }

  void Release(std::size_t loss) { lost_.at(loss).second(); }

  /// Lets the timers run that are due within `duration` of real time.
  void RunFor(milliseconds duration) {
    io_.restart();
    io_.run_for(duration);
  }

  /// All cells are owned by others that are enough for them.
  void SetEnoughOwners() {
    for (std::uint32_t cell = 0; cell < kCells; ++cell) {
      const MemberName name{Concat("i", cell % 4), {"10.0.0.1", 7'060}, 500};
      group_.owners.push_back({cell, name.ToString()});
    }
  }

  asio::io_context io_;
  NotingGroup group_;
  ManualClock clock_;
  std::optional<Ownership<NotingGroup, ManualClock>> ownership_;
  std::vector<std::pair<CellNumber, TermToken>> gained_;
  std::vector<std::pair<CellNumber, std::function<void()>>> lost_;
};

// Against a cell that is dealt on by our next renewal while we still store its handover record.
TEST_CASE_METHOD(CellReleaseTest, "Renewal_LostCellIsNotReleased_ConfirmsTheGenerationBefore") {
  HoldThenSee({{4, {}}});
  REQUIRE(lost_.size() == 2);
  RunFor(kSomeRenewals);
  CHECK(group_.confirmed.size() >= 3);
  CHECK_FALSE(group_.Confirmed(4));
}

// Against the first of two releases dealing on both cells.
TEST_CASE_METHOD(CellReleaseTest, "Release_AnotherCellIsNotReleased_ConfirmsTheGenerationBefore") {
  HoldThenSee({{4, {}}});
  REQUIRE(lost_.size() == 2);
  Release(0);
  CHECK_FALSE(group_.Confirmed(4));
  Release(1);
  CHECK(group_.Confirmed(4));  // At once.
}

// Against a later loss holding back a cell that was released, and against dealing the later one on.
TEST_CASE_METHOD(CellReleaseTest, "Release_CellOfALaterChangeIsNotReleased_ConfirmsTheEarlierOne") {
  HoldThenSee({{4, {1}}, {5, {}}});
  ownership_->RenewNow();
  REQUIRE(lost_.size() == 2);
  Release(0);
  CHECK(group_.Confirmed(4));
  CHECK_FALSE(group_.Confirmed(5));
  Release(1);
  CHECK(group_.Confirmed(5));
}

// Against tokens of an older generation, which two tenures could share.
TEST_CASE_METHOD(CellReleaseTest, "Gain_LostCellIsNotReleased_HasATokenOfTheNewestGeneration") {
  HoldThenSee({{4, {1}}, {5, {1, 2}}});
  ownership_->RenewNow();
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0] == std::pair<CellNumber, TermToken>(2, 5 * kCells + 2));
  CHECK_FALSE(group_.Confirmed(4));
}

// Against leaving for a higher token, which deals on all that is ours, before the release.
TEST_CASE_METHOD(CellReleaseTest, "Reclaim_LostCellIsNotReleased_LeavesAfterTheRelease") {
  HoldThenSee({{4, {1}}, {4, {1}}, {4, {1}}, {6, {1}}});
  REQUIRE(lost_.size() == 1);
  ownership_->Reclaim(1, 4 * kCells + 1);
  CHECK(group_.leaves == 0);
  Release(0);
  CHECK(group_.leaves == 1);
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0].second == 6 * kCells + 1);
}

// Against standing down, which leaves the group, before a cell lost earlier is released.
TEST_CASE_METHOD(CellReleaseTest, "StandDown_LostCellIsNotReleased_LeavesAfterTheRelease") {
  Create(120);
  group_.views = {{3, {0, 1}}};
  ownership_->Start();
  RunFor(milliseconds(1'700));
  REQUIRE(gained_.size() == 2);
  SetEnoughOwners();
  group_.leaves = 0;
  group_.views = {{4, {1}}};
  ownership_->RenewNow();
  REQUIRE(lost_.size() == 1);
  for (int renewal = 0; renewal < 8; ++renewal) {
    clock_.Advance(milliseconds(500));
    ownership_->RenewNow();
  }
  for (std::size_t loss = 1; loss < lost_.size(); ++loss) Release(loss);
  CHECK(group_.leaves == 0);
  Release(0);
  for (std::size_t loss = 1; loss < lost_.size(); ++loss) Release(loss);
  CHECK(ownership_->standby());
  CHECK(group_.leaves == 1);
}

// Against a cell that stays without an owner because its record can never be stored.
TEST_CASE_METHOD(CellReleaseTest, "Release_NeverEnds_CellIsDealtOnAfterTheLongestRelease") {
  HoldThenSee({{4, {}}});
  RenewFor(kMaxReleaseTime - kPause);
  CHECK_FALSE(group_.Confirmed(4));
  RenewFor(2 * kPause);
  CHECK(group_.Confirmed(4));
  group_.confirmed.clear();
  Release(0);  // Too late to matter.
  CHECK(group_.confirmed.empty());
}

// Against an outage of the store using up the time in which a record could be stored.
TEST_CASE_METHOD(CellReleaseTest, "Release_StoreWasAway_IsWaitedForAfterItsReturn") {
  HoldThenSee({{4, {}}});
  group_.away = true;
  RenewFor(2 * kMaxReleaseTime);
  group_.away = false;
  RenewFor(2 * kPause);
  CHECK_FALSE(group_.Confirmed(4));
}

// Against an instance that neither owns nor stands by because a release never ends.
TEST_CASE_METHOD(CellReleaseTest, "StandDown_ReleaseNeverEnds_LeavesAfterTheLongestRelease") {
  Create(120);
  group_.views = {{3, {0, 1}}};
  ownership_->Start();
  RunFor(milliseconds(1'700));
  SetEnoughOwners();
  ownership_->RefreshOwners();
  group_.leaves = 0;
  RenewFor(milliseconds(3'500));
  REQUIRE(ownership_->standby());
  REQUIRE(lost_.size() == 2);
  Release(0);
  CHECK(group_.leaves == 0);
  RunFor(kMaxReleaseTime + milliseconds(100));
  CHECK(group_.leaves == 1);
}

// Against a tenure that begins before the one before it has stored what it knows.
TEST_CASE_METHOD(CellReleaseTest, "Gain_LapsedCellsAreDealtBack_EachBeginsAfterItsRelease") {
  group_.views = {{3, {0, 1}}};
  ownership_->Start();
  gained_.clear();
  group_.views = {{7, {0, 1}}};
  clock_.Advance(milliseconds(6'000));
  ownership_->RenewNow();
  REQUIRE(lost_.size() == 2);
  CHECK(gained_.empty());
  Release(1);
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0] == std::pair<CellNumber, TermToken>(1, 7 * kCells + 1));
  RenewFor(kMaxReleaseTime + kPause);  // The other release never ends.
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1] == std::pair<CellNumber, TermToken>(0, 7 * kCells));
}

}  // namespace
}  // namespace wigeonlane
