/// One life of a runner as its cell knows it: lease, clock, runs, and ends to be forgotten.
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
  kStarting,     ///< Ordered; not answered yet.
  kRunning,      ///< The runner said that it runs.
  kUnconfirmed,  ///< The start was not answered: it may run, now or later.
  kStopping,     ///< We want it stopped, or never started.
};

/// One run on one runner.
struct LiveRun {
  RunNumber run = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources load;
  bool lasting = false;  ///< Its task lasts until the job is cancelled.
  Instant ordered{};
  Instant stop_sent_at{};
  bool stop_pending = false;
  bool stop_confirmed = false;
  bool listed = false;  ///< A list of this life has named it; answers to starts name no life.
  /// The run is known to every list that the runner makes after this time on its clock.
  RunnerClock known_since{0};
  std::uint32_t percent = 0;  ///< As last listed; a task is at work at 100.
};

/// A runner's life. The cell changes it; it decides nothing itself.
struct Runner {
  RunnerKey key = kNoRunner;
  RunnerListing listing;
  bool claimed = false;            ///< It has answered a look under our token.
  bool registered = false;         ///< A successor will know that it may run our tasks ...
  BatchNumber registry_batch = 0;  ///< ... once this batch is stored; 0 when it is in none.
  bool listed = true;              ///< Discovery names this life now.

  RunnerClock clock{0};             ///< As last heard ...
  Instant clock_read_at{};          ///< ... at this time.
  Instant predecessor_lease_end{};  ///< Nothing that a predecessor ordered lasts longer.
  Instant lease_end{};  ///< Nothing runs there after this unless a lease is granted again.
  bool recorded_unresponsive = false;  ///< A predecessor noted that it is silent ...
  /// ... and that no owner of this token or a later one granted anything there; 0 when some may.
  TermToken untouched_since = 0;
  bool limited = false;  ///< The store may hold that nothing is granted there.

  bool looking = false;
  Instant next_poll_at{};
  std::uint32_t failed_polls = 0;

  std::uint64_t applied_result = 0;       ///< Highest end that was taken in.
  std::uint64_t stored_result = 0;        ///< Highest end that may be forgotten.
  std::uint64_t acknowledged_result = 0;  ///< Highest end that the runner was told to forget.
  std::deque<std::pair<BatchNumber, std::uint64_t>> results_by_batch;

  Resources used;
  std::unordered_map<TaskId, LiveRun> runs;
  std::uint32_t long_running_runs = 0;  ///< Of `runs`.
  std::uint32_t stopping_runs = 0;      ///< Of `runs`.
  bool open = false;                    ///< It took starts when it was looked at last.
  Instant no_starts_until{};            ///< No start before this: it had no room or was not well.
  RunnerHealth health;
  PaceControl pace;
  bool watched = false;      ///< Fillers run beside serving tasks, or a lasting task comes up.
  Instant reserved_until{};  ///< Nothing starts here: its machine is due for upkeep.
  Instant
      evacuation_blocked_since{};  ///< While reserved: its lasting tasks could not be ended since.
  Instant no_reservation_until{};  ///< Not reserved before this: it was blocked for too long.
  Instant may_go_down_until{};     ///< It was said that its machine may be taken down.
  std::optional<TaskId> earmarked_for;  ///< A lasting task for which what comes free is kept ...
  Instant earmarked_until{};            ///< ... until then.
  Resources held;                       ///< For lasting tasks that are to leave other runners.

  /// May be negative while short tasks run in room that is held.
  Resources Free() const {
    Resources free = listing.capacity;
    free -= used;
    free -= held;
    return free;
  }

  /// The runner's clock now, at the earliest reading of what was heard last.
  RunnerClock EstimatedClock(Instant now) const {
    return clock + std::chrono::duration_cast<RunnerClock>(now - clock_read_at);
  }

  /// The latest deadline on the runner's clock that is over by `limit`, should the clock be slow.
  RunnerClock LatestDeadline(Instant limit, const CellOptions& options) const {
    const std::chrono::duration<double, std::milli> left =
        limit - options.clock_slack - clock_read_at;
    return clock + std::chrono::floor<RunnerClock>(left * options.min_clock_rate);
  }

  /// Notes a grant that ends at `deadline` on the runner's clock.
  void GrantLease(RunnerClock deadline, const CellOptions& options) {
    const auto longest =
        std::chrono::duration<double, std::milli>(deadline - clock) / options.min_clock_rate;
    const Instant end =
        clock_read_at + std::chrono::duration_cast<Duration>(longest) + options.clock_slack;
    if (end > lease_end) lease_end = end;
  }

  /// Whether a step that requires `label` may run here; any step may when it is empty.
  bool HasLabel(const std::string& label) const {
    return label.empty() ||
           std::find(listing.labels.begin(), listing.labels.end(), label) != listing.labels.end();
  }

  /// Whether it takes starts but for a short pause.
  bool IsAvailable(Instant now) const {
    return claimed && registered && listed && !limited && !listing.draining &&
           now >= reserved_until && failed_polls == 0;
  }

  bool AcceptsStarts(Instant now) const { return IsAvailable(now) && now >= no_starts_until; }

  /// What would be free if only its lasting tasks ran.
  Resources FreeWithoutShortTasks() const {
    Resources free = listing.capacity;
    free -= held;
    for (const auto& [task, run] : runs) {
      if (run.lasting) free -= run.load;
    }
    return free;
  }

  /// Whether what is free is kept for another task.
  bool IsEarmarkedForOther(const TaskId& task, Instant now) const {
    return earmarked_for && now < earmarked_until && *earmarked_for != task;
  }

  /// Whether it takes another start, if that fits.
  bool IsOpen(Instant now) const { return AcceptsStarts(now) && health.Admits(now); }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_RUNNER_H_
