#include "policy/shares.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <numeric>

#include "tests/support/property.h"

namespace wigeonlane {
namespace {

using Numbers = std::vector<std::uint32_t>;

class SharesTest {
 protected:
  static std::uint32_t Sum(const Numbers& numbers) {
    return std::accumulate(numbers.begin(), numbers.end(), 0U);
  }

  static std::vector<ShareClaim> AnyClaims() {
    std::vector<ShareClaim> claims;
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    claims.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      claims.push_back(
          {*rc::gen::inRange(0U, 120U), *rc::gen::inRange(0U, 20U), *rc::gen::inRange(0U, 150U)});
    }
    return claims;
  }
};

TEST_CASE_METHOD(SharesTest, "DivideByDemand_BelowCapacity_GrantsEveryDemand") {
  CHECK(DivideByDemand(100, {{30, 10, 100}, {5, 10, 100}, {50, 0, 40}}) == Numbers{30, 10, 40});
}

TEST_CASE_METHOD(SharesTest, "DivideByDemand_AboveCapacity_KeepsGuaranteesFirst") {
  CHECK(DivideByDemand(80, {{500, 20, 80}, {20, 20, 80}, {0, 20, 80}}) == Numbers{40, 20, 20});
}

TEST_CASE_METHOD(SharesTest, "DivideAmongMembers_SkewedDemand_WastesNothing") {
  CHECK(DivideAmongMembers(80, {70, 0, 0, 0}) == Numbers{72, 3, 3, 2});
  CHECK(DivideAmongMembers(2, {5, 5, 5}) == Numbers{1, 1, 0});
  CHECK(DivideAmongMembers(80, {}).empty());
}

TEST_CASE_METHOD(SharesTest, "DealSlots_OfAllSlots_SpreadsAndNeverOverlaps") {
  const auto owned = DistributeSlots(8, 10, {40, 20, 20});
  CHECK(owned[0] == Numbers(10, 4));
  CHECK(owned[1] == Numbers(10, 2));
}

TEST_CASE_METHOD(SharesTest, "DivideByDemand_AnyInput_KeepsCapacityLimitsAndGuarantees") {
  RequireProperty(61, 20'000, [] {
    const std::uint32_t capacity = *rc::gen::inRange(0U, 200U);
    const auto claims = AnyClaims();
    const Numbers shares = DivideByDemand(capacity, claims);
    RC_ASSERT(Sum(shares) <= capacity);
    RC_ASSERT(shares == DivideByDemand(capacity, claims));
    std::uint32_t guaranteed = 0;
    for (const auto& claim : claims) guaranteed += std::min(claim.guaranteed, claim.limit);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      RC_ASSERT(shares[i] <= claims[i].limit);
      if (guaranteed <= capacity) {
        RC_ASSERT(shares[i] >= std::min(claims[i].guaranteed, claims[i].limit));
      }
    }
  });
}

TEST_CASE_METHOD(SharesTest, "DivideByDemand_OneMoreUnitOfDemand_LowersNoGuaranteeAndMovesLittle") {
  RequireProperty(62, 20'000, [] {
    const std::uint32_t capacity = *rc::gen::inRange(0U, 200U);
    auto claims = AnyClaims();
    const Numbers before = DivideByDemand(capacity, claims);
    const auto raised = *rc::gen::inRange<std::size_t>(0, claims.size());
    ++claims[raised].demand;
    const Numbers after = DivideByDemand(capacity, claims);
    RC_ASSERT(after[raised] + 1 >= before[raised]);
    for (std::size_t i = 0; i < claims.size(); ++i) {
      const auto floor = std::min({claims[i].guaranteed, claims[i].limit, before[i]});
      RC_ASSERT(after[i] >= floor);
      const auto moved = after[i] > before[i] ? after[i] - before[i] : before[i] - after[i];
      RC_ASSERT(moved <= 1U);
    }
  });
}

TEST_CASE_METHOD(SharesTest, "DivideAmongMembers_AnyDemand_UsesAllOfTheCapacity") {
  RequireProperty(63, 20'000, [] {
    const std::uint32_t capacity = *rc::gen::inRange(0U, 700U);
    const Numbers demands = *rc::gen::container<Numbers>(8, rc::gen::inRange(0U, 500U));
    const Numbers shares = DivideAmongMembers(capacity, demands);
    RC_ASSERT(Sum(shares) == capacity);
    const auto owned = DistributeSlots(8, 10, shares);
    for (std::size_t runner = 0; runner < 10; ++runner) {
      std::uint32_t slots = 0;
      for (const auto& member : owned) slots += member[runner];
      RC_ASSERT(slots <= 8U);
    }
  });
}

}  // namespace
}  // namespace wigeonlane
