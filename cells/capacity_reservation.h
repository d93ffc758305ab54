/// Capacity on a runner that is reserved for a long-running task to be moved there.
#ifndef WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_
#define WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

struct CapacityReservation {
  RunnerKey runner = kNoRunner;  ///< Runner whose capacity is reserved.
  RunnerKey origin = kNoRunner;  ///< Runner from which the task is to be moved.
  Resources load;
  Instant until{};  ///< The reservation ends then unless the task has been stopped.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_
