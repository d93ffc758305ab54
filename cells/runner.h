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
  kUnconfirmed,  ///< The start was meant for an earlier incarnation; this one may run it.
  kStopping,     ///< The run is to be stopped or must not start.
};

/// Why the entry of an incarnation ends.
enum class LossReason : std::uint8_t {
  kReplaced,                  ///< A later incarnation has responded or is listed.
  kOtherIncarnationResponds,  ///< The check before a start found another incarnation.
  kUnresponsive,              ///< Until its lease ended.
  kMachineDown,
  kOtherRunnerResponds,  ///< At its address, so all of its incarnations there have ended.
};

std::string_view LossReasonName(LossReason reason);

/// Whether an incarnation that has started later is known to exist.
inline bool HasLaterIncarnation(LossReason reason) {
  return reason == LossReason::kReplaced || reason == LossReason::kOtherIncarnationResponds;
}

/// One run on one runner.
struct LiveRun {
  RunNumber run = 0;
  RunPhase phase = RunPhase::kStarting;
  Resources load;
  TeamNumber team = kNoTeam;  ///< Of the job.
  bool long_running = false;  ///< The task runs until its job is cancelled.
  Instant start_sent_at{};
  /// When the start was confirmed. The response does not tell which incarnation has executed it.
  std::optional<Instant> start_confirmed_at;
  Instant stop_sent_at{};
  bool stop_pending = false;
  bool stop_confirmed = false;
  /// This incarnation has executed the start: a report has listed the run, or the clock in the
  /// response shows it.
  bool executed_here = false;
  /// Set if the start was meant for an earlier incarnation: until then a later one may run it.
  std::optional<Instant> stray_until;
  /// The response or report from which on the runner reports the run if it exists: reports to polls
  /// that were sent later include it. 0 if there is none.
  EventNumber known_since = 0;
  std::uint32_t percent = 0;  ///< As last reported; a task has started up once it is at 100.
  bool is_sound = false;      ///< A long-running run that its runner's health has counted.

  /// Whether a runner has said that it executed the start.
  bool executed() const { return executed_here || start_confirmed_at.has_value(); }
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
  /// An incarnation later than the one that the stray starts here were meant for has responded or
  /// was listed.
  bool is_later = false;

  RunnerClock clock{0};             ///< The runner's clock in its last report.
  Instant clock_read_at{};          ///< When that report arrived.
  Instant report_requested_at{};    ///< When the poll that it responds to was sent.
  Instant predecessor_lease_end{};  ///< Latest end of leases that predecessors granted.
  /// The same for leases on a later incarnation, if there is one.
  Instant predecessor_stray_lease_end{};
  Instant lease_end{};  ///< No run is left on the runner after this unless a new lease is granted.
  /// When this owner, or a predecessor, may last have sent a command with a deadline.
  Instant deadline_sent_at{};
  bool recorded_unresponsive = false;  ///< A predecessor recorded it as unresponsive.
  /// According to that record, no owner with this token or a later one granted a lease here; 0 if
  /// one may have.
  TermToken untouched_since = 0;
  bool leases_barred = false;  ///< A lease limit record in the store may list this runner.

  bool poll_pending = false;
  Instant poll_sent_at{};  ///< The last poll.
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

  /// Whether a command was executed by this incarnation, whose clock read `reading`. Any later one
  /// started after the last report had been requested, and its clock with it.
  bool IsOwnClock(RunnerClock reading, const CellOptions& options, Instant now) const {
    return reading > now - report_requested_at + options.clock_slack;
  }

  /// Returns until when a run may last if a later incarnation executes its start. That grants a
  /// lease as long as the runner allows, because the deadline refers to the clock of this
  /// incarnation.
  Instant LatestStrayEnd(const LiveRun& run, const CellOptions& options) const {
    if (run.stray_until) return *run.stray_until;
    const Instant last_execution = deadline_sent_at + options.max_command_delay;
    if (!run.start_confirmed_at) return last_execution + options.MaxStrayLeaseAfterContact();
    // Later commands extend the lease only while the run lasts.
    const Instant first_lease_end = *run.start_confirmed_at + options.MaxStrayLeaseAfterContact();
    return std::min(first_lease_end, last_execution) + options.MaxStrayLeaseAfterContact();
  }

  /// Whether the next report is worth a poll of its own: a run was stopped before it was listed, or
  /// a later incarnation may have started a long-running task, which would wait for the longest
  /// lease if the runner were lost.
  bool AwaitsReport() const {
    return std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
      const LiveRun& run = entry.second;
      const bool started = run.long_running && run.phase == RunPhase::kRunning;
      return !run.executed_here && (run.stop_confirmed || started);
    });
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
