/// Shares of a limited number of slots among claimants that cannot ask each other.
#ifndef WIGEONLANE_POLICY_SHARES_H_
#define WIGEONLANE_POLICY_SHARES_H_

#include <cstdint>
#include <vector>

namespace wigeonlane {

/// What one claimant asks for.
struct ShareClaim {
  std::uint32_t demand = 0;
  std::uint32_t guaranteed = 0;  ///< Granted before anything else, whether demanded or not.
  std::uint32_t limit = 0;       ///< Never exceeded.
};

/// Divides `capacity` slots: guarantees first, then demand by max-min fairness; what is left stays
/// with nobody. The sum never exceeds `capacity` and equal input gives equal output everywhere.
/// Guarantees that exceed the capacity together are cut by max-min fairness as well.
std::vector<std::uint32_t> DivideByDemand(std::uint32_t capacity,
                                          const std::vector<ShareClaim>& claims);

/// Divides all of `capacity` among members with these demands: first one slot each, then demand by
/// max-min fairness, then the rest in equal parts. The sum is `capacity` unless there is no member.
std::vector<std::uint32_t> DivideAmongMembers(std::uint32_t capacity,
                                              const std::vector<std::uint32_t>& demands);

/// Slots of each runner that each claimant owns, as `[claimant][runner]`. The slots of all runners
/// are dealt in rounds over the runners and cut into consecutive ranges of `shares`, so that no
/// slot has two owners and each owner's slots are spread over the runners.
std::vector<std::vector<std::uint32_t>> DistributeSlots(std::uint32_t slots_per_runner,
                                                        std::uint32_t runners,
                                                        const std::vector<std::uint32_t>& shares);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_SHARES_H_
