/// Cost of placing a task on a runner that can take it; the lowest wins.
///
/// Load pattern: bursts of small tasks beside jobs whose tasks need a third of a runner. Spreading
/// by the binding resource bounds what one lost or slow runner takes with it; data and gang racks
/// weigh more, because the work itself takes longer away from them.
#ifndef WIGEONLANE_SCHEDULING_PLACEMENT_H_
#define WIGEONLANE_SCHEDULING_PLACEMENT_H_

#include "jobs/job.h"
#include "scheduling/dominant_share.h"

namespace wigeonlane {

/// What the choice looks at.
struct PlacementView {
  Resources capacity;
  Resources free;
  bool far_from_data = false;  ///< Not on the rack where the step's data is.
  bool off_rack = false;       ///< Not on the rack of the step's other tasks.
  /// Its step could not miss all its tasks here at once, so the machine could not be taken down.
  bool blocks_maintenance = false;
  bool hosts_long_running = false;  ///< Holds a task that lasts, so its machine cannot be moved.
  bool lasting = false;             ///< The task to be placed lasts itself.
};

/// Work takes half as long again away from its data or its other tasks (platform: RemoteFactor
/// 1.5), which outweighs any difference in load.
inline constexpr double kRemoteCost = 2.0;

/// A machine without lasting tasks can be moved to a pool that needs it more: it is filled last,
/// but before a runner that has no room for a large task any more.
inline constexpr double kOccupyMovableMachineCost = 0.4;
/// A lasting task would keep the machine where it is for good, which outweighs load.
inline constexpr double kPinMachineCost = 1.0;

/// Outweighs load and the gathering of lasting tasks, not the distance from data.
inline constexpr double kBlocksMaintenanceCost = 1.5;

inline double PlacementCost(const PlacementView& view, const Resources& load) {
  Resources used = view.capacity;
  used -= view.free;
  used += load;
  // Who needs none does not keep away from runners whose accelerators are taken.
  if (load.gpus == 0) used.gpus = 0;
  double cost = DominantShare(view.capacity, used);
  if (view.far_from_data) cost += kRemoteCost;
  if (view.off_rack) cost += kRemoteCost;
  if (view.blocks_maintenance) cost += kBlocksMaintenanceCost;
  if (!view.hosts_long_running) cost += view.lasting ? kPinMachineCost : kOccupyMovableMachineCost;
  return cost;
}

/// The share of a runner's capacity that must still come free for `load`, by the scarcest resource.
inline double MissingShare(const Resources& capacity, const Resources& free,
                           const Resources& load) {
  Resources missing = load;
  missing -= free;
  return DominantShare(capacity, missing);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_PLACEMENT_H_
