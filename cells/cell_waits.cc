/// Says in the log why long-running tasks wait. They may be unavailable for a few seconds only.
#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A task that waits for longer than this is logged, and again after as much time.
constexpr std::chrono::milliseconds kReportedWait{3'000};

/// What keeps a task from a runner of its service. The first one that applies counts.
enum class Obstacle : std::uint8_t {
  kUnlisted,
  kDraining,
  kUnresponsive,  ///< Not claimed yet, or without a response to the last poll.
  kReserved,      ///< Due for maintenance or a move.
  kPaused,        ///< It could not be reached or refused a start just now, or leases are barred.
  kSuspect,
  kEarmarked,
  kNoCapacity,
  kUnfit,  ///< Label, limit of tasks on one runner, advisor, or a failure there just now.
  kNone,
};
constexpr std::array<const char*, 10> kObstacleNames = {
    "unlisted", "draining",  "unresponsive", "reserved", "paused",
    "suspect",  "earmarked", "no_capacity",  "unfit",    "none"};

}  // namespace

/// Returns how many runners of the task's service have which obstacle, for the log.
std::string Cell::DescribeObstacles(const JobEntry& entry, const TaskId& id, Instant now) const {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const auto obstacle_of = [&](const Runner& runner) {
    if (!runner.listed) return Obstacle::kUnlisted;
    if (runner.listing.draining) return Obstacle::kDraining;
    if (!runner.claimed || runner.failed_polls > 0) return Obstacle::kUnresponsive;
    if (now < runner.reserved_until) return Obstacle::kReserved;
    if (!runner.AcceptsStarts(now)) return Obstacle::kPaused;
    if (!runner.health.Admits(now)) return Obstacle::kSuspect;
    if (runner.IsEarmarkedForOther(id, now)) return Obstacle::kEarmarked;
    if (!FreeForTask(runner, id).Holds(step.Load())) return Obstacle::kNoCapacity;
    const bool fits = runner.HasLabel(step.required_label) && MayHost(entry, runner, id, now);
    return fits ? Obstacle::kNone : Obstacle::kUnfit;
  };
  std::array<std::size_t, kObstacleNames.size()> counts{};
  for (const auto& [key, runner] : runners_) {
    if (runner.listing.service != entry.job.policy().service) continue;
    ++counts.at(static_cast<std::size_t>(obstacle_of(runner)));
  }
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts.at(i) == 0) continue;
    AppendTo(&text, text.empty() ? "" : ",", kObstacleNames.at(i), ":", counts.at(i));
  }
  return text;
}

void Cell::LogWaitingTask(const JobEntry& entry, const TaskId& id, Instant now) const {
  const TaskState& task = entry.job.occurrences()[id.occurrence].steps[id.step].tasks[id.index];
  std::string reason = "placement";
  if (!HasAuthority(now)) {
    reason = "no_authority";
  } else if (!ListingsAreRecent(now)) {
    reason = "runner_list_too_old";
  } else if (MayRunOutOfReach(entry, task)) {
    reason = "may_run_out_of_reach";
  } else if (NeedsConfirmation(task, now)) {
    reason = "ownership_unconfirmed";
  } else if (entry.limited_by_team) {
    reason = "limit_of_team";
  } else if (now < task.earliest_start) {
    reason = "restart_delay";
  }
  LogDecision("task_waits", {{"job", std::string(id.job.text())},
                             {"task", id.ToString()},
                             {"cell", Concat(number_)},
                             {"token", Concat(token_)},
                             {"waited_ms", Concat(MillisOf(now - WaitingSince(entry, task)))},
                             {"why", reason},
                             {"unsettled_runners", Concat(unreconciled_.size())},
                             {"runners", DescribeObstacles(entry, id, now)}});
}

/// When the task came to wait; this owner knows that from its own time only.
Instant Cell::WaitingSince(const JobEntry& entry, const TaskState& task) const {
  return std::max({restored_at_, entry.accepted_at, task.freed_at});
}

/// Logs the long-running tasks that have waited for long, each once in a while.
void Cell::LogWaitingTasks(Instant now) {
  if (now < waits_checked_at_ + kReportedWait) return;
  waits_checked_at_ = now;
  for (const JobId& id : open_jobs_) {
    const JobEntry& entry = *jobs_.at(id);
    if (!entry.accepted || !entry.job.spec().steps.front().long_running) continue;
    const auto& occurrences = entry.job.occurrences();
    for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
      const auto& steps = occurrences[occurrence].steps;
      for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (steps[step].waiting == 0 || !entry.job.StepReady(occurrence, step)) continue;
        for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
          const TaskState& task = steps[step].tasks[index];
          if (task.phase != TaskPhase::kWaiting) continue;
          if (now - WaitingSince(entry, task) < kReportedWait) continue;
          LogWaitingTask(entry, {id, occurrence, step, index}, now);
        }
      }
    }
  }
}

}  // namespace wigeonlane
