/// Availability budgets: which planned stops a pool can bear at this moment.
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

/// What counts against a pool's budget, kept as instances change.
struct PoolUsage {
  std::uint32_t members = 0;
  std::uint32_t serving = 0;
  std::uint32_t down = 0;
  /// Instances out on purpose, by rack.
  std::map<std::string, std::uint32_t> planned_out;

  bool operator==(const PoolUsage&) const = default;

  /// Counts `instance` in, or out again.
  void Include(const Instance& instance);
  void Exclude(const Instance& instance);

  std::uint32_t planned_out_total() const;
};

/// Whether one more serving instance of `rack` may be taken out of the pool on purpose. Rejected
/// when fewer than `min_serving` would go on serving, or when another rack is already out on
/// purpose, since two failure domains are never out at once. Errors: FailedPrecondition.
absl::Status CheckPlannedStop(const PoolSpec& pool, const PoolUsage& usage,
                              const std::string& rack);

/// Whether one serving instance may leave the pool for another one. Errors: FailedPrecondition.
absl::Status CheckDeparture(const PoolSpec& pool, const PoolUsage& usage);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_BUDGET_H_
