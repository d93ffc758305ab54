/// Schedules the rounds of a periodic plan.
#ifndef WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_
#define WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_

#include <optional>

#include "core/clock.h"

namespace wigeonlane {

/// Rounds do not overlap. A request for a later round does not delay a round that is already
/// scheduled.
class RoundSchedule {
 public:
  /// Requests a round at `at`. Returns whether the caller has to set its timer to `at`.
  bool ScheduleAt(Instant at) {
    if (running_ || (next_ && *next_ <= at)) return false;
    next_ = at;
    return true;
  }

  void Begin() {
    running_ = true;
    next_.reset();
  }
  void End() { running_ = false; }

  /// Forgets the scheduled round and the running one.
  void Reset() { *this = RoundSchedule(); }

 private:
  std::optional<Instant> next_;
  bool running_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_
