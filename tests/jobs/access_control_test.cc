/// API keys of teams: who is served, rejected or refused for now, by the age of the configuration.
#include "jobs/access_control.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr AccessLimits kLimits{milliseconds(5'000), milliseconds(3'000)};

class AccessControlTest {
 protected:
  AccessControlTest() {
    Assign({{"red", {"red-1", "red-2"}, 10, 0, {}}, {"blue", {"blue-1"}, 5, 0, {}}});
    access_.ConfirmCurrent(At(0));
  }

  void Assign(std::vector<Team> teams) { access_.Assign(*TeamDirectory::Create(std::move(teams))); }

  static Instant At(int millis) {
    return Instant(std::chrono::seconds(100) + milliseconds(millis));
  }

  AccessVerdict Verdict(std::string_view key, int millis, bool is_public = false) const {
    QueueRoute route;
    route.is_public = is_public;
    return access_.Decide(route, key, At(millis)).verdict;
  }

  AccessControl access_{kLimits};
};

TEST_CASE_METHOD(AccessControlTest, "Decide_KeyOfATeam_IsAllowedForThatTeam") {
  const AccessDecision decision = access_.Decide({}, "blue-1", At(1));
  CHECK(decision.verdict == AccessVerdict::kAllowed);
  REQUIRE(decision.team != nullptr);
  CHECK(decision.team->name == "blue");
}

TEST_CASE_METHOD(AccessControlTest, "Decide_UnknownOrMissingKey_IsRejected") {
  CHECK(Verdict("red-3", 1) == AccessVerdict::kUnknownKey);
  CHECK(Verdict("", 1) == AccessVerdict::kUnknownKey);
  CHECK(Verdict("", 60'000) == AccessVerdict::kUnknownKey);
}

TEST_CASE_METHOD(AccessControlTest, "Decide_PublicQueueOrNoTeams_NeedsNoKey") {
  CHECK(Verdict("", 60'000, true) == AccessVerdict::kAllowed);
  access_.Assign(TeamDirectory());
  CHECK(Verdict("", 60'000) == AccessVerdict::kAllowed);
}

/// Guards against calls that succeed after a revocation that this instance could not read.
TEST_CASE_METHOD(AccessControlTest, "Decide_OutOfTouchForTheRevocationTime_AcceptsNoKey") {
  CHECK(Verdict("red-1", 4'500) == AccessVerdict::kAllowed);
  CHECK(Verdict("red-1", 4'999) == AccessVerdict::kUnverifiable);
  CHECK_FALSE(access_.MayAcceptKeys(At(4'999)));
  access_.ConfirmCurrent(At(4'000));
  CHECK(Verdict("red-1", 8'000) == AccessVerdict::kAllowed);
}

/// Guards against rejecting a key that was added by a version that this instance could not read.
TEST_CASE_METHOD(AccessControlTest,
                 "Decide_UnknownKeyAndConfigurationMayBeOutdated_IsUnverifiable") {
  CHECK(Verdict("new", 2'700) == AccessVerdict::kUnknownKey);
  CHECK(Verdict("new", 2'999) == AccessVerdict::kUnverifiable);
}

TEST_CASE_METHOD(AccessControlTest, "Decide_NeverConfirmed_AcceptsAndRejectsNoKey") {
  AccessControl fresh{kLimits};
  fresh.Assign(access_.teams());
  CHECK(fresh.Decide({}, "red-1", At(0)).verdict == AccessVerdict::kUnverifiable);
  CHECK(fresh.Decide({}, "new", At(0)).verdict == AccessVerdict::kUnverifiable);
}

TEST_CASE_METHOD(AccessControlTest, "ConfirmCurrent_LateResponseOfAnEarlierRead_DoesNotGoBack") {
  access_.ConfirmCurrent(At(3'000));
  access_.ConfirmCurrent(At(1'000));
  CHECK(Verdict("red-1", 7'000) == AccessVerdict::kAllowed);
}

TEST_CASE_METHOD(AccessControlTest, "Decide_KeyMovedToAnotherTeam_BelongsToThatTeam") {
  Assign({{"red", {"red-1"}, 10, 0, {}}, {"blue", {"red-2"}, 5, 0, {}}});
  CHECK(access_.Decide({}, "red-2", At(1)).team->name == "blue");
  CHECK(Verdict("blue-1", 1) == AccessVerdict::kUnknownKey);
}

TEST_CASE_METHOD(AccessControlTest, "Decide_NoRevocationLimit_AcceptsKnownKeysAtAnyAge") {
  AccessControl lenient{{std::nullopt, milliseconds(3'000)}};
  lenient.Assign(access_.teams());
  CHECK(lenient.Decide({}, "red-1", At(60'000)).verdict == AccessVerdict::kAllowed);
}

TEST_CASE("TeamDirectory_InvalidTeams_ErrorNamesTheTeamAndNotTheKey") {
  const double infinite = std::numeric_limits<double>::infinity();
  const std::vector<std::pair<std::vector<Team>, std::string>> cases = {
      {{{"red", {"secret"}, 1, 0, {}}, {"blue", {"secret"}, 1, 0, {}}}, "red and blue"},
      {{{"", {"secret"}, 1, 0, {}}}, "no name"},
      {{{"red", {""}, 1, 0, {}}}, "red"},
      {{{"red", {}, -1, 0, {}}}, "red"},
      {{{"red", {}, infinite, 0, {}}}, "red"},
      {{{"red", {}, 1, 0, {}}, {"red", {}, 1, 0, {}}}, "two teams"}};
  for (const auto& [teams, expected] : cases) {
    const auto directory = TeamDirectory::Create(teams);
    REQUIRE_FALSE(directory.ok());
    const std::string message(directory.status().message());
    CHECK(message.find(expected) != std::string::npos);
    CHECK(message.find("secret") == std::string::npos);
  }
}

}  // namespace
}  // namespace wigeonlane
