/// Room on a runner that is held for a lasting task which is to leave another.
#ifndef WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_
#define WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

struct CapacityReservation {
  RunnerKey runner = kNoRunner;  ///< Where it is held.
  RunnerKey origin = kNoRunner;  ///< The runner that the task is to leave.
  Resources load;
  Instant until{};  ///< Lapses then, unless the task has been stopped by that time.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CAPACITY_RESERVATION_H_
