/// Preemption: stops short tasks of a lower priority for a long-running task that waits too long.
#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Returns the capacity that is free once the runs that are being stopped have ended.
Resources FreeAfterStops(const Runner& runner) {
  Resources free = runner.Free();
  for (const auto& [task, run] : runner.runs) {
    if (run.phase == RunPhase::kStopping) free += run.load;
  }
  return free;
}

}  // namespace

/// Returns the runs that may be stopped for a task of this priority. Members of a gang are left
/// alone, because the whole gang would end with one of them.
std::vector<PreemptionCandidate> Cell::PreemptableRuns(const Runner& runner, std::uint32_t priority,
                                                       Instant now) {
  std::vector<PreemptionCandidate> runs;
  for (const auto& [task, run] : runner.runs) {
    const JobEntry* entry = FindJob(task.job);
    if (entry == nullptr || entry->job.policy().priority <= priority) continue;
    const StepSpec& step = entry->job.spec().steps[task.step];
    if (run.long_running || run.phase != RunPhase::kRunning || step.gang || step.best_effort) {
      continue;
    }
    runs.push_back(
        {task, run.load, step.checkpointing,
         std::chrono::duration_cast<std::chrono::milliseconds>(now - run.start_sent_at)});
  }
  return runs;
}

/// Stops tasks of a lower priority on the runner that is earmarked for a long-running task, or, if
/// none of these may be stopped there, on another one, which is then earmarked instead.
void Cell::PreemptFor(const JobEntry& entry, const TaskId& id, Instant now) {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const Resources load = step.Load();
  const TaskState& task = entry.job.occurrences()[id.occurrence].steps[id.step].tasks[id.index];
  if (!MayPreempt(task.no_runner_since, now) || !FitsTeamLimit(entry.team, load, load)) return;
  const auto earmarked = std::find_if(runners_.begin(), runners_.end(), [&](const auto& runner) {
    return runner.second.earmarked_for == id && now < runner.second.earmarked_until;
  });
  if (earmarked == runners_.end() || FreeAfterStops(earmarked->second).Holds(load)) return;
  const std::uint32_t priority = entry.job.policy().priority;
  const auto choose = [&](const Runner& runner) {
    return ChoosePreempted(PreemptableRuns(runner, priority, now), FreeAfterStops(runner), load);
  };
  Runner* origin = &earmarked->second;
  Runner* chosen = origin;
  std::vector<PreemptionCandidate> preempted = choose(*origin);
  if (preempted.empty()) {
    for (auto& [key, runner] : runners_) {
      if (runner.listing.service != entry.job.policy().service || !runner.IsOpen(now)) continue;
      if (!runner.HasLabel(step.required_label) || runner.IsEarmarkedForOther(id, now)) continue;
      if (!MayHost(entry, runner, id, now)) continue;
      std::vector<PreemptionCandidate> other = choose(runner);
      if (other.empty()) continue;
      if (!preempted.empty() && PreemptionCost(other) >= PreemptionCost(preempted)) continue;
      chosen = &runner;
      preempted = std::move(other);
    }
  }
  if (preempted.empty()) return;
  if (chosen != origin) {
    chosen->earmarked_for = id;
    chosen->earmarked_until = origin->earmarked_until;
    origin->earmarked_for.reset();
    newly_open_runners_.insert(origin->key);
  }
  for (const PreemptionCandidate& candidate : preempted) {
    LogDecision("preempt", {{"job", std::string(id.job.text())},
                            {"task", id.ToString()},
                            {"runner", chosen->listing.id},
                            {"stopped", candidate.task.ToString()},
                            {"core_seconds", Concat(CoreSecondsOf(candidate))}});
    RequestStop(chosen, candidate.task, now);
  }
}

}  // namespace wigeonlane
