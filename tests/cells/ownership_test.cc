/// Tenures of cells against a scripted group.
#include "cells/ownership.h"

#include <catch2/catch.hpp>
#include <deque>
#include <utility>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

/// Answers joins from a script, at once.
class ScriptedGroup {
 public:
  void Join(const GroupMember&, std::uint64_t,
            const std::function<void(absl::StatusOr<GroupView>)>& done) {
    if (views.empty()) return done(absl::UnavailableError("down"));
    GroupView view = views.front();
    views.pop_front();
    done(std::move(view));
  }
  void Leave(const std::string&, const std::string& member,
             const std::function<void(absl::Status)>& done) {
    ++leaves;
    left.push_back(member);
    done(absl::OkStatus());
  }
  void Owners(const std::string&,
              const std::function<void(absl::StatusOr<std::vector<PartOwner>>)>& done) {
    done(std::vector<PartOwner>());
  }

  std::deque<GroupView> views;
  int leaves = 0;
  std::vector<std::string> left;
};

class OwnershipTest {
 protected:
  static constexpr std::uint32_t kCells = 8;

  OwnershipTest() {
    OwnershipOptions options;
    options.member = {"group", "member", "topic", milliseconds(2'000)};
    options.cells = kCells;
    ownership_.emplace(
        &io_, &group_, &clock_, options,
        OwnershipEvents{
            [this](CellNumber cell, TenureToken token) { gained_.emplace_back(cell, token); },
            [this](CellNumber cell, const std::function<void()>&) { lost_.push_back(cell); },
            [](Instant) {}});
  }

  asio::io_context io_;
  ScriptedGroup group_;
  ManualClock clock_;
  std::optional<Ownership<ScriptedGroup, ManualClock>> ownership_;
  std::vector<std::pair<CellNumber, TenureToken>> gained_;
  std::vector<CellNumber> lost_;
};

TEST_CASE_METHOD(OwnershipTest, "Start_FormerLifeMayBeListed_LeavesBeforeItJoins") {
  group_.views = {{3, {0}}};
  ownership_->Start();
  CHECK(group_.leaves == 1);
  REQUIRE(gained_.size() == 1);
  CHECK(gained_[0] == std::pair<CellNumber, TenureToken>(0, 3 * kCells));
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_InTime_KeepsTheTenureThroughOtherChanges") {
  group_.views = {{3, {0}}, {4, {0}}};
  ownership_->Start();
  clock_.Advance(milliseconds(500));
  ownership_->RenewNow();
  CHECK(lost_.empty());
  CHECK(gained_.size() == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_AfterALapse_EndsTheTenureAndBeginsANewOne") {
  group_.views = {{3, {0}}, {7, {0}}};
  ownership_->Start();
  clock_.Advance(milliseconds(6'000));
  ownership_->RenewNow();
  CHECK(lost_ == std::vector<CellNumber>{0});
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1] == std::pair<CellNumber, TenureToken>(0, 7 * kCells));
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_CellIsDealtToAnother_IsLost") {
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

TEST_CASE_METHOD(OwnershipTest, "Evict_MemberThatEnded_LeavesInItsPlaceAndLooksAtOnce") {
  group_.views = {{3, {0}}, {4, {0, 1}}};
  ownership_->Start();
  int evicted = 0;
  ownership_->Evict("other", [&] { ++evicted; });
  CHECK(group_.left == std::vector<std::string>{"member", "other"});
  CHECK(evicted == 1);
  REQUIRE(gained_.size() == 2);
  CHECK(gained_[1].first == 1);
}

TEST_CASE_METHOD(OwnershipTest, "Evict_AgainWithinTheTimeToLive_IsLeftOut") {
  group_.views = {{3, {0}}, {4, {0}}, {5, {0}}};
  ownership_->Start();
  ownership_->Evict("other", [] {});
  clock_.Advance(milliseconds(1'900));
  ownership_->Evict("other", [] {});
  ownership_->Evict("member", [] {});
  CHECK(group_.left == std::vector<std::string>{"member", "other"});
  clock_.Advance(milliseconds(100));
  ownership_->Evict("other", [] {});
  CHECK(group_.left.size() == 3);
}

TEST_CASE_METHOD(OwnershipTest, "Renewal_StoreIsAway_IsTriedMoreOftenUntilItIsBack") {
  group_.views = {{3, {0}}};
  ownership_->Start();
  CHECK(ownership_->pause() == milliseconds(500));
  ownership_->RenewNow();  // The script is over: the store is away.
  CHECK(ownership_->pause() == milliseconds(200));
  group_.views = {{3, {0}}};
  ownership_->RenewNow();
  CHECK(ownership_->pause() == milliseconds(500));
}

}  // namespace
}  // namespace wigeonlane
