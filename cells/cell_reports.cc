/// What runners list: ends, runs, and what is missing from the lists.
#include <algorithm>
#include <unordered_map>
#include <vector>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A lasting task that worked for this long had a good start.
constexpr std::chrono::seconds kStableRun{5};
/// Failures in a row after which a task still starts at once: sound ones fail now and then.
constexpr std::uint32_t kFreeRestarts = 2;
constexpr std::chrono::milliseconds kFirstRestartPause{250};
/// Longest pause 2 s: a lasting task may be away for 3 s (the platform's rule on lost tasks).
constexpr std::uint32_t kMostDoublings = 3;
/// How far the clocks of two owners may be apart; on days on which clocks jump it is some seconds.
constexpr std::chrono::seconds kClockSpread{10};

}  // namespace

void Cell::HandleReport(Runner* runner, const RunnerReport& report, CellTime time) {
  if (runner->claimed && report.clock < runner->clock) {
    runner->next_poll_at = time.now + options_.min_poll_interval;
    return;
  }
  runner->clock = report.clock;
  runner->clock_read_at = time.now;
  runner->failed_polls = 0;
  const std::uint64_t seen_before = runner->applied_result;
  for (const ReportedResult& end : report.ended) {
    if (end.number > runner->applied_result) HandleResult(runner, end, time);
  }
  for (const ReportedRun& row : report.running) HandleReportedRun(runner, row, report.clock, time);
  FreeVanishedRuns(runner, report, time);
  UpdatePace(runner, report);
  if (!runner->claimed) {
    runner->claimed = true;
    // From now on it refuses what was meant for a former life, which may have extended its lease.
    runner->lease_end =
        std::min(runner->lease_end, time.now + options_.MaxStrayLeaseAfterContact());
    MarkReconciled(runner->key, time.now);
    LogDecision("claim", {{"runner", runner->listing.id},
                          {"cell", Concat(number_)},
                          {"token", Concat(token_)},
                          {"running", Concat(report.running.size())},
                          {"ended", Concat(report.ended.size())}});
    StoreRunnerRegistry();
  }
  if (runner->applied_result > seen_before) {
    const bool stores = !dirty_.empty() || !runner->results_by_batch.empty();
    if (stores) {
      runner->results_by_batch.emplace_back(commits_.last_batch() + 1, runner->applied_result);
    } else {
      runner->stored_result = runner->applied_result;
    }
  }
  const bool unstored = runner->stored_result < runner->applied_result;
  runner->next_poll_at =
      time.now + (unstored ? options_.unstored_poll_interval : options_.min_poll_interval);
  schedule_requested_ = true;
}

void Cell::RecordStoredResults(CellTime time) {
  for (auto& [key, runner] : runners_) {
    while (!runner.results_by_batch.empty() &&
           runner.results_by_batch.front().first <= commits_.last_batch()) {
      runner.stored_result = runner.results_by_batch.front().second;
      runner.results_by_batch.pop_front();
      runner.next_poll_at = std::min(runner.next_poll_at, time.now + options_.min_poll_interval);
    }
  }
}

/// A task that a runner lists. Its occurrence may not be due by the clock of this instance, when a
/// former owner's was ahead.
TaskState* Cell::FindReportedTask(JobEntry* entry, const TaskId& id, UnixTime wall) {
  if (entry == nullptr) return nullptr;
  if (entry->job.DueAt(id.occurrence) <= wall + kClockSpread) {
    entry->job.CreateStartedOccurrences(id.occurrence);
  }
  return entry->job.FindTask(id);
}

void Cell::HandleResult(Runner* runner, const ReportedResult& end, CellTime time) {
  runner->applied_result = end.number;
  const LiveRun* live = FindRun(runner, end.task, end.run);
  const Instant ordered = live == nullptr ? Instant{} : live->ordered;
  JobEntry* entry = FindJob(end.task.job);
  TaskState* task = FindReportedTask(entry, end.task, time.wall);
  LogDecision("run_end", {{"job", std::string(end.task.job.text())},
                          {"task", end.task.ToString()},
                          {"run", Concat(end.run)},
                          {"runner", runner->listing.id},
                          {"how", std::string(RunResultName(end.end))},
                          {"known", task != nullptr ? "yes" : "no"}});
  if (task == nullptr) {
    if (live != nullptr) RemoveRun(runner, end.task);
    return;
  }
  if (!end.checkpoint.empty()) task->checkpoint = end.checkpoint;
  task->last_run = std::max(task->last_run, end.run);
  const bool done = end.end == RunResult::kDone && task->phase != TaskPhase::kDone;
  const bool failed = end.end == RunResult::kFailed && task->phase != TaskPhase::kDone;
  if (live != nullptr) FreeTask(runner, end.task, RunResultName(end.end), time);
  if (done) {
    ++counters_.runs_done;
    runner->health.RecordSuccess();
    if (ordered != Instant{}) {
      estimates_.Observe(entry->job.policy().name, entry->job.spec().steps[end.task.step].estimate,
                         std::chrono::duration_cast<std::chrono::milliseconds>(time.now - ordered));
    }
    // A later run of the task may be under way elsewhere when this end was found after a takeover.
    if (task->phase == TaskPhase::kPlaced) {
      if (Runner* other = FindRunner(task->runner)) RequestStop(other, end.task, time.now);
    }
    entry->job.MarkDone(end.task);
    MarkDirty(entry);
  } else if (failed) {
    HandleFailure(runner, entry, end, ordered, time);
  } else {
    ++counters_.runs_ended_otherwise;
  }
}

/// A lasting task that fails soon after each start waits longer each time, or its restarts would
/// take the place of other jobs' tasks.
void Cell::DelayRestart(TaskState* task, Instant ordered, Instant now) {
  const bool soon = ordered != Instant{} && now - ordered < kStableRun;
  task->consecutive_failures = soon ? task->consecutive_failures + 1 : 0;
  if (task->consecutive_failures <= kFreeRestarts) return;
  const auto doublings = std::min(task->consecutive_failures - kFreeRestarts - 1, kMostDoublings);
  task->earliest_start = now + kFirstRestartPause * (1 << doublings);
}

void Cell::HandleFailure(Runner* runner, JobEntry* entry, const ReportedResult& end,
                         Instant ordered, CellTime time) {
  ++counters_.runs_failed;
  TaskState* task = entry->job.FindTask(end.task);
  // A task that failed on another runner before is at fault itself.
  const bool failed_elsewhere = task->failed_on != kNoRunner && task->failed_on != runner->key;
  if (failed_elsewhere) {
    runner->health.RecordInconclusiveFailure(time.now);
  } else {
    runner->health.RecordFailure(end.task.job, time.now);
  }
  task->failed_on = runner->key;
  task->failed_at = time.now;
  if (entry->job.spec().steps[end.task.step].long_running) DelayRestart(task, ordered, time.now);
  const std::uint32_t failures = task->failures();
  const bool job_failed = entry->job.MarkFailed(end.task, end.run);
  if (task->failures() != failures) MarkDirty(entry);
  if (job_failed) StopJob(entry, time.now);
}

void Cell::HandleReportedRun(Runner* runner, const ReportedRun& row, RunnerClock clock,
                             CellTime time) {
  JobEntry* entry = FindJob(row.task.job);
  TaskState* task = FindReportedTask(entry, row.task, time.wall);
  if (LiveRun* live = FindRun(runner, row.task, row.run)) {
    if (live->phase == RunPhase::kStarting) live->phase = RunPhase::kRunning;
    live->listed = true;
    live->known_since = std::max(live->known_since, clock);
    live->percent = row.percent;
    if (task != nullptr && !row.checkpoint.empty()) task->checkpoint = row.checkpoint;
    return;
  }
  if (runner->runs.contains(row.task)) return;  // Another run of it is being settled here.
  LiveRun run;
  run.run = row.run;
  run.known_since = clock;
  run.listed = true;
  run.percent = row.percent;
  const bool wanted = task != nullptr && task->phase == TaskPhase::kWaiting &&
                      !IsFinal(entry->job.state()) && row.run >= task->last_run;
  if (task != nullptr) {
    run.load = entry->job.spec().steps[row.task.step].Load();
    run.lasting = entry->job.spec().steps[row.task.step].long_running;
    task->last_run = std::max(task->last_run, row.run);
    if (!row.checkpoint.empty()) task->checkpoint = row.checkpoint;
  }
  run.phase = wanted ? RunPhase::kRunning : RunPhase::kStopping;
  AddRun(runner, row.task, run);
  LogDecision(wanted ? "adopt" : "stop_unwanted", {{"job", std::string(row.task.job.text())},
                                                   {"task", row.task.ToString()},
                                                   {"run", Concat(row.run)},
                                                   {"runner", runner->listing.id}});
  if (wanted) {
    entry->job.Place(row.task, runner->key, row.run);
  } else {
    RequestStop(runner, row.task, time.now);
  }
}

/// Frees runs that a list made after they were known does not name any more.
void Cell::FreeVanishedRuns(Runner* runner, const RunnerReport& report, CellTime time) {
  std::unordered_map<TaskId, RunNumber> running;
  for (const ReportedRun& row : report.running) running.emplace(row.task, row.run);
  std::vector<TaskId> gone;
  for (const auto& [task, run] : runner->runs) {
    if (run.known_since == RunnerClock{0} || report.clock <= run.known_since) continue;
    const bool reconciled =
        run.phase == RunPhase::kRunning || (run.phase == RunPhase::kStopping && run.stop_confirmed);
    const auto found = running.find(task);
    if (reconciled && (found == running.end() || found->second != run.run)) gone.push_back(task);
  }
  for (const TaskId& task : gone) FreeTask(runner, task, "not listed any more", time);
}

void Cell::UpdatePace(Runner* runner, const RunnerReport& report) {
  double worst = 0;
  bool fillers = false;
  bool starting = false;
  for (const ReportedRun& row : report.running) {
    const JobEntry* entry = FindJob(row.task.job);
    if (entry == nullptr || row.task.step >= entry->job.spec().steps.size()) continue;
    const StepSpec& step = entry->job.spec().steps[row.task.step];
    fillers = fillers || step.best_effort;
    // Others may be ended only once this one is known to be at work.
    starting = starting || (step.long_running && row.percent < PaceControl::kFullPercent);
    if (step.tail_target.count() == 0) continue;
    worst = std::max(
        worst, static_cast<double>(row.usage) / static_cast<double>(step.tail_target.count()));
  }
  runner->watched = starting || (fillers && worst > 0);
  const std::uint32_t percent = runner->pace.Update(worst);
  if (!fillers) return;
  for (const ReportedRun& row : report.running) {
    const LiveRun* live = FindRun(runner, row.task, row.run);
    const JobEntry* entry = FindJob(row.task.job);
    if (live == nullptr || live->phase != RunPhase::kRunning || entry == nullptr) continue;
    if (!entry->job.spec().steps[row.task.step].best_effort || live->percent == percent) continue;
    LogDecision("pace", {{"job", std::string(row.task.job.text())},
                         {"task", row.task.ToString()},
                         {"runner", runner->listing.id},
                         {"percent", Concat(percent)},
                         {"tail_of_target", Concat(worst)}});
    outbox_.paces.push_back({runner->key, row.task, row.run, percent});
  }
}

}  // namespace wigeonlane
