/// When the next round of a periodic plan begins.
#ifndef WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_
#define WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_

#include <optional>

#include "core/clock.h"

namespace wigeonlane {

/// Rounds follow each other without overlap. A round that is due is not put off by whoever asks for
/// a later one.
class RoundSchedule {
 public:
  /// Asks for a round at `at`. Returns whether the timer has to be set anew.
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

  /// Forgets the round that is due and the one under way.
  void Reset() { *this = RoundSchedule(); }

 private:
  std::optional<Instant> next_;
  bool running_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ROUND_SCHEDULE_H_
