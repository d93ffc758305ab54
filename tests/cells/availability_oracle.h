/// Checks that tasks of long-running jobs are not left without a run beside capacity for them (the
/// platform's rule LOST).
#ifndef WIGEONLANE_TESTS_CELLS_AVAILABILITY_ORACLE_H_
#define WIGEONLANE_TESTS_CELLS_AVAILABILITY_ORACLE_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>

#include "cells/cell_types.h"

namespace wigeonlane {

/// What is visible of one task at one moment.
struct TaskView {
  bool runs = false;
  bool has_capacity = false;  ///< There is capacity for it twice over.
};

/// A task may have no run for 6 s; after that it must not wait for 3 s with capacity for it, if
/// these and the 4 s before them are calm.
class AvailabilityOracle {
 public:
  /// Records a disruption that lasts until `end`.
  void Disrupt(Instant end) { disrupted_until_ = std::max(disrupted_until_, end); }

  /// Records what is visible of a task now. Returns whether the rule is broken. The first call
  /// counts as a run.
  bool Observe(const TaskId& task, TaskView view, Instant now) {
    Wait& wait = waits_.try_emplace(task, Wait{now, {}}).first->second;
    if (view.runs) wait.last_run = now;
    if (!view.has_capacity) {
      wait.capacity_since.reset();
    } else if (!wait.capacity_since) {
      wait.capacity_since = now;
    }
    return now - wait.last_run >= kMaxRecovery + kMaxWait &&
           now - disrupted_until_ >= kCalm + kMaxWait && wait.capacity_since &&
           now - *wait.capacity_since >= kMaxWait;
  }

 private:
  static constexpr std::chrono::milliseconds kMaxRecovery{6'000};
  static constexpr std::chrono::milliseconds kMaxWait{3'000};
  static constexpr std::chrono::milliseconds kCalm{4'000};

  struct Wait {
    Instant last_run{};
    std::optional<Instant> capacity_since;
  };

  Instant disrupted_until_{};
  std::map<TaskId, Wait> waits_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_AVAILABILITY_ORACLE_H_
