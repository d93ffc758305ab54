/// Cost of placing a task on a runner that can take it; the lowest wins.
///
/// Load pattern: bursts of small tasks beside jobs whose tasks need a third of a runner. Spreading
/// by the binding resource bounds what one lost or slow runner takes with it; data and gang racks
/// weigh more, because the work itself takes longer away from them.
#ifndef WIGEONLANE_SCHEDULING_PLACEMENT_H_
#define WIGEONLANE_SCHEDULING_PLACEMENT_H_

#include <algorithm>

#include "jobs/job.h"

namespace wigeonlane {

/// What the choice looks at.
struct PlacementView {
  Resources capacity;
  Resources free;
  bool far_from_data = false;  ///< Not on the rack where the step's data is.
  bool off_rack = false;       ///< Not on the rack of the step's other tasks.
  /// Its step could not miss all its tasks here at once, so the machine could not be taken down.
  bool blocks_upkeep = false;
  bool hosts_lasting = false;  ///< Holds a task that lasts, so its machine cannot be moved.
  bool lasting = false;        ///< The task to be placed lasts itself.
};

/// Work takes half as long again away from its data or its other tasks (platform: RemoteFactor
/// 1.5), which outweighs any difference in load.
inline constexpr double kRemoteCost = 2.0;

/// A machine without lasting tasks can be moved to a pool that needs it more: it is filled last,
/// but before a runner that has no room for a large task any more.
inline constexpr double kMovableCost = 0.4;
/// A lasting task would keep the machine where it is for good, which outweighs load.
inline constexpr double kLastingCost = 1.0;

/// Outweighs load and the gathering of lasting tasks, not the distance from data.
inline constexpr double kBlockedCost = 1.5;

inline double PlacementCost(const PlacementView& view, const Resources& load) {
  const auto share = [](std::int64_t used, std::int64_t all) {
    return all <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(all);
  };
  const double cpu = share(view.capacity.cpu_milli - view.free.cpu_milli + load.cpu_milli,
                           view.capacity.cpu_milli);
  const double memory = share(view.capacity.memory_mb - view.free.memory_mb + load.memory_mb,
                              view.capacity.memory_mb);
  double cost = std::max(cpu, memory);
  if (view.far_from_data) cost += kRemoteCost;
  if (view.off_rack) cost += kRemoteCost;
  if (view.blocks_upkeep) cost += kBlockedCost;
  if (!view.hosts_lasting) cost += view.lasting ? kLastingCost : kMovableCost;
  return cost;
}

/// The share of a runner's capacity that must still come free for `load`, by the scarcer resource.
inline double MissingShare(const Resources& capacity, const Resources& free,
                           const Resources& load) {
  const auto share = [](std::int64_t missing, std::int64_t all) {
    return missing <= 0 || all <= 0 ? 0.0 : static_cast<double>(missing) / static_cast<double>(all);
  };
  return std::max(share(load.cpu_milli - free.cpu_milli, capacity.cpu_milli),
                  share(load.memory_mb - free.memory_mb, capacity.memory_mb));
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_PLACEMENT_H_
