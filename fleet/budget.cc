#include "fleet/budget.h"

#include "core/text.h"

namespace wigeonlane {

void PoolUsage::Include(const Instance& instance) {
  ++members;
  if (instance.lifecycle == Lifecycle::kServing) ++serving;
  if (instance.lifecycle == Lifecycle::kDown) ++down;
  if (instance.planned_out) ++planned_out[instance.rack];
}

void PoolUsage::Exclude(const Instance& instance) {
  --members;
  if (instance.lifecycle == Lifecycle::kServing) --serving;
  if (instance.lifecycle == Lifecycle::kDown) --down;
  if (!instance.planned_out) return;
  const auto rack = planned_out.find(instance.rack);
  if (--rack->second == 0) planned_out.erase(rack);
}

std::uint32_t PoolUsage::planned_out_total() const {
  std::uint32_t total = 0;
  for (const auto& [rack, count] : planned_out) total += count;
  return total;
}

absl::Status CheckDeparture(const PoolSpec& pool, const PoolUsage& usage) {
  if (usage.serving > pool.min_serving) return absl::OkStatus();
  return absl::FailedPreconditionError(Concat("availability budget of pool ", pool.name, ": ",
                                              usage.serving, " serving, at least ",
                                              pool.min_serving, " must go on serving"));
}

absl::Status CheckPlannedStop(const PoolSpec& pool, const PoolUsage& usage,
                              const std::string& rack) {
  if (absl::Status status = CheckDeparture(pool, usage); !status.ok()) return status;
  for (const auto& [other_rack, count] : usage.planned_out) {
    if (other_rack != rack) {
      return absl::FailedPreconditionError(
          Concat("pool ", pool.name, ": rack ", other_rack, " is already out on purpose"));
    }
  }
  return absl::OkStatus();
}

}  // namespace wigeonlane
