/// Availability budgets: checks whether an instance may be taken out of a pool on purpose.
#ifndef WIGEONLANE_FLEET_BUDGET_H_
#define WIGEONLANE_FLEET_BUDGET_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "absl/status/status.h"
#include "fleet/document.h"
#include "fleet/types.h"

namespace wigeonlane {

/// Counts of a pool's instances that its availability budget is checked against, updated whenever
/// an instance changes.
struct PoolUsage {
  std::uint32_t members = 0;
  std::uint32_t serving = 0;
  std::uint32_t down = 0;
  /// Instances that were taken out of service on purpose, by rack.
  std::map<std::string, std::uint32_t> planned_out;

  bool operator==(const PoolUsage&) const = default;

  /// Adds `instance` to the counts, or removes it.
  void Include(const Instance& instance);
  void Exclude(const Instance& instance);

  std::uint32_t planned_out_total() const;
};

/// Checks whether one more serving instance of `rack` may be taken out of service on purpose.
/// Rejected if fewer than `min_serving` instances would keep serving, or if instances of another
/// rack are already out on purpose, since two failure domains must not be out at once. Errors:
/// FailedPrecondition.
absl::Status CheckPlannedStop(const PoolSpec& pool, const PoolUsage& usage,
                              const std::string& rack);

/// Checks whether one serving instance may move to another pool. Errors: FailedPrecondition.
absl::Status CheckDeparture(const PoolSpec& pool, const PoolUsage& usage);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_BUDGET_H_
