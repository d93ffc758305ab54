/// State that a cell keeps of one incarnation of a runner: lease, clock, runs and results.
#ifndef WIGEONLANE_CELLS_RUNNER_H_
#define WIGEONLANE_CELLS_RUNNER_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "cells/cell_options.h"
#include "cells/cell_types.h"
#include "cells/commit_queue.h"
#include "core/clock.h"
#include "scheduling/pace_control.h"
#include "scheduling/runner_health.h"

namespace wigeonlane {

enum class RunPhase : std::uint8_t {
  kStarting,     ///< The start was sent and has no response yet.
  kRunning,      ///< The runner confirmed the run.
  kUnconfirmed,  ///< The start got no response; the run may be running now or start later.
  kStopping,     ///< The run is to be stopped or must not start.
};

/// One run on one runner.
struct LiveRun {
  RunNumber run = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources load;
  bool long_running = false;  ///< The task runs until its job is cancelled.
  Instant start_sent_at{};
  Instant stop_sent_at{};
  bool stop_pending = false;
  bool stop_confirmed = false;
  /// A report of this incarnation has listed the run. Responses to starts do not identify the
  /// incarnation.
  bool listed = false;
  /// Reports that the runner makes after this time on its clock include the run if it exists.
  RunnerClock known_since{0};
  std::uint32_t percent = 0;  ///< As last reported; a task has started up once it is at 100.
};

/// State of one incarnation of a runner. The cell updates it and makes all decisions.
struct Runner {
  RunnerKey key = kNoRunner;
  RunnerListing listing;
  /// It has responded to a poll with this owner's token. It is reconciled only once a report has
  /// listed all its results.
  bool claimed = false;
  bool registered = false;  ///< The stored runner registry lists it, so a successor reconciles it.
  BatchNumber registry_batch = 0;  ///< First batch with a registry that lists it; 0 if none does.
  bool listed = true;              ///< Discovery lists this incarnation now.

  RunnerClock clock{0};             ///< The runner's clock in its last report.
  Instant clock_read_at{};          ///< When that report arrived.
  Instant predecessor_lease_end{};  ///< Latest end of leases that predecessors granted.
  Instant lease_end{};  ///< No run is left on the runner after this unless a new lease is granted.
  /// When this owner, or a predecessor, may last have sent a command with a deadline.
  Instant deadline_sent_at{};
  bool recorded_unresponsive = false;  ///< A predecessor recorded it as unresponsive.
  /// According to that record, no owner with this token or a later one granted a lease here; 0 if
  /// one may have.
  TermToken untouched_since = 0;
  bool leases_barred = false;  ///< A lease limit record in the store may list this runner.

  bool poll_pending = false;
  Instant next_poll_at{};
  std::uint32_t failed_polls = 0;

  std::uint64_t applied_result = 0;  ///< Number of the last result that was handled.
  /// Number of the last result that may be acknowledged: everything that it rests on is stored.
  std::uint64_t stored_result = 0;
  std::uint64_t acknowledged_result = 0;  ///< Number of the last acknowledged result.
  bool more_results = false;              ///< See `RunnerReport`; as in the last report.
  /// Batches that are not stored yet, each with the last result that rests on it.
  std::deque<std::pair<BatchNumber, std::uint64_t>> results_by_batch;

  Resources used;
  std::unordered_map<TaskId, LiveRun> runs;
  std::uint32_t long_running_runs = 0;  ///< Number of long-running runs in `runs`.
  std::uint32_t stopping_runs = 0;      ///< Number of runs in `runs` that are being stopped.
  bool was_open = false;                ///< Whether `IsOpen` held when the cell last checked.
  Instant no_starts_until{};            ///< No starts before this, after a start failed.
  RunnerHealth health;
  PaceControl pace;
  bool watched = false;      ///< Best-effort tasks run beside serving ones, or a task starts up.
  Instant reserved_until{};  ///< No task starts before this: the machine is due for maintenance.
  /// While the runner is reserved: since when none of its long-running tasks could be stopped.
  Instant evacuation_blocked_since{};
  Instant no_reservation_until{};  ///< No reservation before this, after one was blocked too long.
  Instant may_go_down_until{};     ///< Until then the machine may be taken down at any time.
  std::optional<TaskId> earmarked_for;  ///< Long-running task for which freed capacity is kept.
  Instant earmarked_until{};
  Resources reserved_capacity;  ///< For long-running tasks to be moved here from other runners.

  /// Returns the free capacity; negative while short tasks still use reserved capacity.
  Resources Free() const {
    Resources free = listing.capacity;
    free -= used;
    free -= reserved_capacity;
    return free;
  }

  /// Returns an estimate of the runner's clock, assuming that its last report had no delay.
  RunnerClock EstimatedClock(Instant now) const {
    return clock + std::chrono::duration_cast<RunnerClock>(now - clock_read_at);
  }

  /// Returns the latest deadline on the runner's clock that has passed by `limit` even if the clock
  /// is slow.
  RunnerClock LatestDeadline(Instant limit, const CellOptions& options) const {
    const std::chrono::duration<double, std::milli> left =
        limit - options.clock_slack - clock_read_at;
    return clock + std::chrono::floor<RunnerClock>(left * options.min_clock_rate);
  }

  /// Records that a command is sent now that grants a lease until `deadline` on the runner's clock.
  void GrantLease(RunnerClock deadline, const CellOptions& options, Instant now) {
    deadline_sent_at = std::max(deadline_sent_at, now);
    const auto longest =
        std::chrono::duration<double, std::milli>(deadline - clock) / options.min_clock_rate;
    const Instant end =
        clock_read_at + std::chrono::duration_cast<Duration>(longest) + options.clock_slack;
    if (end > lease_end) lease_end = end;
  }

  /// Whether the runner has `label`. An empty label matches every runner.
  bool HasLabel(const std::string& label) const {
    return label.empty() ||
           std::find(listing.labels.begin(), listing.labels.end(), label) != listing.labels.end();
  }

  /// Whether the runner accepts starts, disregarding short pauses after refusals.
  bool IsAvailable(Instant now) const {
    return claimed && registered && listed && !leases_barred && !listing.draining &&
           now >= reserved_until && failed_polls == 0;
  }

  bool AcceptsStarts(Instant now) const { return IsAvailable(now) && now >= no_starts_until; }

  /// Returns the capacity that would be free if only the long-running tasks ran.
  Resources FreeWithoutShortTasks() const {
    Resources free = listing.capacity;
    free -= reserved_capacity;
    for (const auto& [task, run] : runs) {
      if (run.long_running) free -= run.load;
    }
    return free;
  }

  /// Whether the free capacity is earmarked for another task.
  bool IsEarmarkedForOther(const TaskId& task, Instant now) const {
    return earmarked_for && now < earmarked_until && *earmarked_for != task;
  }

  /// Whether the runner accepts another start that fits.
  bool IsOpen(Instant now) const { return AcceptsStarts(now) && health.Admits(now); }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_RUNNER_H_
