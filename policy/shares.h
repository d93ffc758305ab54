/// Divides a limited number of slots among claimants. Every process computes the same division,
/// without communication.
#ifndef WIGEONLANE_POLICY_SHARES_H_
#define WIGEONLANE_POLICY_SHARES_H_

#include <cstdint>
#include <vector>

namespace wigeonlane {

/// Slots that one claimant requests.
struct ShareClaim {
  std::uint32_t demand = 0;
  std::uint32_t guaranteed = 0;  ///< Granted before any demand, even if not demanded.
  std::uint32_t limit = 0;       ///< Maximum share.
};

/// Divides `capacity` slots: first the guarantees, then the demand by max-min fairness; remaining
/// slots are not assigned. The sum never exceeds `capacity`, and the result depends only on the
/// input. Guarantees whose sum exceeds the capacity are reduced by max-min fairness as well.
std::vector<std::uint32_t> DivideByDemand(std::uint32_t capacity,
                                          const std::vector<ShareClaim>& claims);

/// Divides all of `capacity` among members: first one slot each, then the demand by max-min
/// fairness, then the remaining slots in equal parts. The sum is `capacity` unless there is no
/// member.
std::vector<std::uint32_t> DivideAmongMembers(std::uint32_t capacity,
                                              const std::vector<std::uint32_t>& demands);

/// Returns how many slots of each runner each claimant owns, as `[claimant][runner]`. The slots of
/// all runners are numbered round-robin over the runners and split into consecutive ranges of the
/// lengths in `shares`, so that no slot has two owners and the slots of each owner are spread over
/// the runners.
std::vector<std::vector<std::uint32_t>> DistributeSlots(std::uint32_t slots_per_runner,
                                                        std::uint32_t runners,
                                                        const std::vector<std::uint32_t>& shares);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_SHARES_H_
