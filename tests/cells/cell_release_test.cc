/// Which generation an instance confirms to the store while it still stores the state of a lost
/// cell.
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

/// Responds to joins from a script, at once, and records which generation each join confirmed.
class RecordingGroup {
 public:
  void Join(const GroupMember&, std::uint64_t generation,
            const std::function<void(absl::StatusOr<GroupView>)>& done) {
    if (unavailable) return done(absl::UnavailableError("away"));
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

  /// Whether a recorded join allowed the store to reassign the cells that generation `g` took
  /// away.
  bool Confirmed(std::uint64_t g) const {
    return std::any_of(confirmed.begin(), confirmed.end(),
                       [g](std::uint64_t generation) { return generation >= g; });
  }

  std::deque<GroupView> views;  ///< Views for the next joins; the last one is repeated.
  std::vector<PartitionOwner> owners;
  std::vector<std::uint64_t> confirmed;
  int leaves = 0;
  bool unavailable = false;
};

class CellReleaseTest {
 protected:
  static constexpr std::uint32_t kCells = 8;
  static constexpr milliseconds kMaxReleaseTime =
      Ownership<RecordingGroup, ManualClock>::kMaxReleaseTime;
  /// Longer than two renewal intervals.
  static constexpr milliseconds kSeveralRenewals{600};

  /// Interval between renewals.
  static constexpr milliseconds kRenewalInterval{250};

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

  /// Owns both cells in generation 3, and then gets `views`.
  void OwnThenGetViews(std::deque<GroupView> views) {
    group_.views = {{3, {0, 1}}};
    ownership_->Start();
    group_.views = std::move(views);
    group_.confirmed.clear();
    group_.leaves = 0;
    gained_.clear();
    ownership_->RenewNow();
  }

  /// Renews at each interval for `duration` of the manual clock.
  void RenewFor(milliseconds duration) {
    for (milliseconds passed{0}; passed < duration; passed += kRenewalInterval) {
      clock_.Advance(kRenewalInterval);
      ownership_->RenewNow();
    }
  }

  void Release(std::size_t loss) { lost_.at(loss).second(); }

  /// Runs the timers that expire within `duration` of real time.
  void RunFor(milliseconds duration) {
    io_.restart();
    io_.run_for(duration);
  }

  /// Other instances own all cells, with enough capacity for them.
  void SetEnoughOwners() {
    for (std::uint32_t cell = 0; cell < kCells; ++cell) {
      const MemberName name{Concat("i", cell % 4), {"10.0.0.1", 7'060}, 500};
      group_.owners.push_back({cell, name.ToString()});
    }
  }

  asio::io_context io_;
  RecordingGroup group_;
  ManualClock clock_;
  std::optional<Ownership<RecordingGroup, ManualClock>> ownership_;
  std::vector<std::pair<CellNumber, TermToken>> gained_;
  std::vector<std::pair<CellNumber, std::function<void()>>> lost_;
};

// Guards against a renewal that lets the store reassign a cell while its handover record is still
// being stored.
TEST_CASE_METHOD(CellReleaseTest, "Renewal_LostCellIsNotReleased_ConfirmsTheGenerationBefore") {
  OwnThenGetViews({{4, {}}});
  REQUIRE(lost_.size() == 2);
  RunFor(kSeveralRenewals);
  CHECK(group_.confirmed.size() >= 3);
  CHECK_FALSE(group_.Confirmed(4));
}

// Guards against the first of two releases letting the store reassign both cells.
TEST_CASE_METHOD(CellReleaseTest, "Release_AnotherCellIsNotReleased_ConfirmsTheGenerationBefore") {
  OwnThenGetViews({{4, {}}});
  REQUIRE(lost_.size() == 2);
  Release(0);
  CHECK_FALSE(group_.Confirmed(4));
  Release(1);
  CHECK(group_.Confirmed(4));  // Confirmed at once.
}

// Guards against a later loss delaying a released cell, and against reassigning the cell of the
// later loss before its release.
TEST_CASE_METHOD(CellReleaseTest, "Release_CellOfALaterChangeIsNotReleased_ConfirmsTheEarlierOne") {
  OwnThenGetViews({{4, {1}}, {5, {}}});
  ownership_->RenewNow();
  REQUIRE(lost_.size() == 2);
  Release(0);
  CHECK(group_.Confirmed(4));
  CHECK_FALSE(group_.Confirmed(5));
  Release(1);
  CHECK(group_.Confirmed(5));
}

// Guards against tokens of an older generation, which two terms could share.
TEST_CASE_METHOD(CellReleaseTest, "Gain_LostCellIsNotReleased_HasATokenOfTheNewestGeneration") {
  OwnThenGetViews({{4, {1}}, {5, {1, 2}}});
  ownership_->RenewNow();
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0] == std::pair<CellNumber, TermToken>(2, 5 * kCells + 2));
  CHECK_FALSE(group_.Confirmed(4));
}

// Guards against leaving the group for a higher token before the release: leaving reassigns all
// cells of the instance.
TEST_CASE_METHOD(CellReleaseTest, "Reclaim_LostCellIsNotReleased_LeavesAfterTheRelease") {
  OwnThenGetViews({{4, {1}}, {4, {1}}, {4, {1}}, {6, {1}}});
  REQUIRE(lost_.size() == 1);
  ownership_->Reclaim(1, 4 * kCells + 1);
  CHECK(group_.leaves == 0);
  Release(0);
  CHECK(group_.leaves == 1);
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0].second == 6 * kCells + 1);
}

// Guards against standing down, which leaves the group, before an earlier lost cell is released.
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

// Guards against a cell that stays without an owner because its record can never be stored.
TEST_CASE_METHOD(CellReleaseTest, "Release_NeverEnds_CellIsReassignedAfterTheMaxReleaseTime") {
  OwnThenGetViews({{4, {}}});
  RenewFor(kMaxReleaseTime - kRenewalInterval);
  CHECK_FALSE(group_.Confirmed(4));
  RenewFor(2 * kRenewalInterval);
  CHECK(group_.Confirmed(4));
  group_.confirmed.clear();
  Release(0);  // The cell was reassigned before.
  CHECK(group_.confirmed.empty());
}

// Guards against an outage of the store using up the time in which a record could be stored.
TEST_CASE_METHOD(CellReleaseTest, "Release_StoreWasUnavailable_IsWaitedForAfterItsReturn") {
  OwnThenGetViews({{4, {}}});
  group_.unavailable = true;
  RenewFor(2 * kMaxReleaseTime);
  group_.unavailable = false;
  RenewFor(2 * kRenewalInterval);
  CHECK_FALSE(group_.Confirmed(4));
}

// Guards against an instance that neither owns cells nor stands by because a release never ends.
TEST_CASE_METHOD(CellReleaseTest, "StandDown_ReleaseNeverEnds_LeavesAfterTheMaxReleaseTime") {
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

// Guards against a term that starts before the previous term has stored its state.
TEST_CASE_METHOD(CellReleaseTest,
                 "Gain_ExpiredCellsAreAssignedAgain_EachTermStartsAfterItsRelease") {
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
  RenewFor(kMaxReleaseTime + kRenewalInterval);  // The other release never ends.
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1] == std::pair<CellNumber, TermToken>(0, 7 * kCells));
}

}  // namespace
}  // namespace wigeonlane
