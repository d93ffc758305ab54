/// Cost of placing a task on a runner that has capacity for it; the runner with the lowest cost is
/// chosen.
///
/// Load pattern: bursts of small tasks beside jobs whose tasks need a third of a runner. Spreading
/// by the dominant resource limits the damage of one lost or slow runner. The racks of a step's
/// data and of its gang weigh more, because tasks run longer on other racks.
#ifndef WIGEONLANE_SCHEDULING_PLACEMENT_H_
#define WIGEONLANE_SCHEDULING_PLACEMENT_H_

#include <cstdint>

#include "jobs/job.h"
#include "scheduling/dominant_share.h"

namespace wigeonlane {

/// Why a task found no runner. If runners have different reasons, the last one of this list counts:
/// it takes the least for the task to start there.
enum class NoRunnerReason : std::uint8_t {
  kNoCapacity,    ///< No runner that may run the task has enough capacity that is free for it.
  kFailedLately,  ///< The task has just failed there.
  kNoTicket,      ///< The advisor may admit the runner, but no valid ticket is at hand.
};

/// Whether a ticket from the queue's advisor may help. For want of capacity, tickets are requested
/// ahead, so that the task can start as soon as a runner has capacity.
inline bool NeedsTicket(NoRunnerReason reason) {
  return reason == NoRunnerReason::kNoTicket || reason == NoRunnerReason::kNoCapacity;
}

/// Properties of a runner, and of the task to be placed, that determine the cost.
struct PlacementView {
  Resources capacity;
  Resources free;
  bool far_from_data = false;  ///< Not on the rack that holds the step's data.
  bool off_rack = false;       ///< Not on the rack of the step's other tasks.
  /// The step would have more tasks here than may be unavailable at once, so that the machine could
  /// not be taken down for maintenance.
  bool blocks_maintenance = false;
  /// The runner has a long-running task, so its machine cannot change pools.
  bool hosts_long_running = false;
  bool long_running = false;  ///< The task to be placed is long-running.
  /// If the runner is lost, its runs may last for longer than a long-running task may be
  /// unavailable.
  bool has_long_lease = false;
};

/// Tasks run 1.5 times as long away from their data or the other tasks of their step (RemoteFactor
/// of the platform), which outweighs any difference in load.
inline constexpr double kRemoteCost = 2.0;

/// A machine without long-running tasks can move to a pool that needs it more. It is filled last,
/// but before runners that no longer have capacity for a large task.
inline constexpr double kOccupyMovableMachineCost = 0.4;
/// A long-running task would prevent the machine from changing pools, which outweighs load.
inline constexpr double kPinMachineCost = 1.0;

/// Outweighs load and the grouping of long-running tasks, but not the distance from data.
inline constexpr double kBlocksMaintenanceCost = 1.5;

/// Outweighs all other properties of a runner.
inline constexpr double kLongLeaseCost = 10.0;

/// Returns the cost of placing `load` on the runner that `view` describes.
inline double PlacementCost(const PlacementView& view, const Resources& load) {
  Resources used = view.capacity;
  used -= view.free;
  used += load;
  // A task that needs no accelerator is not kept off runners whose accelerators are in use.
  if (load.gpus == 0) used.gpus = 0;
  double cost = DominantShare(view.capacity, used);
  if (view.far_from_data) cost += kRemoteCost;
  if (view.off_rack) cost += kRemoteCost;
  if (view.blocks_maintenance) cost += kBlocksMaintenanceCost;
  if (view.long_running && view.has_long_lease) cost += kLongLeaseCost;
  if (!view.hosts_long_running) {
    cost += view.long_running ? kPinMachineCost : kOccupyMovableMachineCost;
  }
  return cost;
}

/// Returns the share of the runner's capacity that must still become free for `load`, by the
/// scarcest resource.
inline double MissingShare(const Resources& capacity, const Resources& free,
                           const Resources& load) {
  Resources missing = load;
  missing -= free;
  return DominantShare(capacity, missing);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_PLACEMENT_H_
