/// Handling of runner reports: results, runs, and runs that are no longer reported.
#include <algorithm>
#include <unordered_map>
#include <vector>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Consecutive failures after which a task still restarts at once; healthy tasks fail occasionally.
constexpr std::uint32_t kImmediateRestarts = 2;
constexpr std::chrono::milliseconds kFirstRestartDelay{250};
/// Limits the restart delay to 2 s, because a long-running task may be unavailable for 3 s (the
/// platform's rule on lost tasks).
constexpr std::uint32_t kMaxDelayDoublings = 3;
/// Largest difference between the clocks of two owners; clocks that jump differ by some seconds.
constexpr std::chrono::seconds kMaxClockDifference{10};

}  // namespace

void Cell::HandleReport(Runner* runner, const RunnerReport& report, EventNumber poll,
                        CellTime time) {
  if (runner->claimed && report.clock < runner->clock) {
    runner->next_poll_at = time.now + options_.min_poll_interval;
    return;
  }
  runner->clock = report.clock;
  runner->clock_read_at = time.now;
  runner->report_requested_at = runner->poll_sent_at;
  runner->failed_polls = 0;
  const std::uint64_t applied_before = runner->applied_result;
  for (const ReportedResult& result : report.results) {
    if (result.number > runner->applied_result) HandleResult(runner, result, time);
  }
  for (const ReportedRun& reported : report.running) {
    HandleReportedRun(runner, reported, time);
  }
  runner->more_results = report.more_results;
  if (!runner->more_results) FreeVanishedRuns(runner, report, poll, time);
  UpdatePace(runner, report);
  if (!runner->claimed) {
    runner->claimed = true;
    // The runner now refuses commands to an earlier incarnation, which may have extended its lease.
    if (runner->is_later) {
      runner->lease_end = std::max(runner->lease_end, runner->predecessor_stray_lease_end);
    }
    runner->lease_end =
        std::min(runner->lease_end, time.now + options_.MaxStrayLeaseAfterContact());
    LimitStrayLease(runner, time.now);
    LogDecision("claim", {{"runner", runner->listing.id},
                          {"cell", Concat(number_)},
                          {"token", Concat(token_)},
                          {"running", Concat(report.running.size())},
                          {"ended", Concat(report.results.size())},
                          {"more", report.more_results ? "yes" : "no"},
                          {"born", Concat(runner->listing.started_at.count())},
                          {"lease_left_ms", Concat(RemainingLeaseMs(*runner, time.now))}});
    StoreRunnerRecords();
  }
  if (!runner->more_results) MarkReconciled(runner->key, time.now);
  // A result that changes nothing may rest on a change that is not stored, such as one by the
  // result of another member of its gang.
  if (runner->applied_result > applied_before) {
    runner->results_by_batch.emplace_back(BatchOfAllChanges(), runner->applied_result);
  }
  RecordStoredResults(runner, time.now);
  const bool unstored = runner->stored_result < runner->applied_result;
  runner->next_poll_at =
      time.now + (unstored ? options_.unstored_poll_interval : PauseBeforePoll(*runner));
  schedule_requested_ = true;
}

/// Results that did not fit into the last report are requested without delay.
std::chrono::milliseconds Cell::PauseBeforePoll(const Runner& runner) const {
  return runner.more_results ? std::chrono::milliseconds(0) : options_.min_poll_interval;
}

/// Updates which results may be acknowledged: those that rest on stored batches only.
void Cell::RecordStoredResults(Runner* runner, Instant now) const {
  const BatchNumber stored = StoredBatch();
  while (!runner->results_by_batch.empty() && runner->results_by_batch.front().first <= stored) {
    runner->stored_result = runner->results_by_batch.front().second;
    runner->results_by_batch.pop_front();
    runner->next_poll_at = std::min(runner->next_poll_at, now + PauseBeforePoll(*runner));
  }
}

/// Returns a task that a runner reports. Its occurrence may not be due yet by this instance's clock
/// if a former owner's clock was ahead.
TaskState* Cell::FindReportedTask(JobEntry* entry, const TaskId& id, UnixTime wall) {
  if (entry == nullptr) return nullptr;
  if (entry->job.DueAt(id.occurrence) <= wall + kMaxClockDifference) {
    entry->job.CreateStartedOccurrences(id.occurrence);
  }
  return entry->job.FindTask(id);
}

void Cell::HandleResult(Runner* runner, const ReportedResult& result, CellTime time) {
  runner->applied_result = result.number;
  const LiveRun* live = FindRun(runner, result.task, result.run);
  const Instant start_sent_at = live == nullptr ? Instant{} : live->start_sent_at;
  JobEntry* entry = FindJob(result.task.job);
  TaskState* task = FindReportedTask(entry, result.task, time.wall);
  LogDecision("run_end", {{"job", std::string(result.task.job.text())},
                          {"task", result.task.ToString()},
                          {"run", Concat(result.run)},
                          {"runner", runner->listing.id},
                          {"born", Concat(runner->listing.started_at.count())},
                          {"how", std::string(RunResultName(result.result))},
                          {"known", task != nullptr ? "yes" : "no"}});
  const bool at_work = result.result == RunResult::kDone || result.result == RunResult::kFailed;
  RecordRun(entry, result.task, result.run,
            at_work ? RunEvidence::kAtWork : RunEvidence::kExecuted);
  if (task == nullptr) {
    if (live != nullptr) RemoveRun(runner, result.task);
    return;
  }
  if (!result.checkpoint.empty()) task->checkpoint = result.checkpoint;
  task->last_run = std::max(task->last_run, result.run);
  const bool done = result.result == RunResult::kDone && task->phase != TaskPhase::kDone;
  const bool failed = result.result == RunResult::kFailed && task->phase != TaskPhase::kDone;
  if (live != nullptr) FreeTask(runner, result.task, RunResultName(result.result), time);
  if (done) {
    ++counters_.runs_done;
    runner->health.RecordSuccess();
    if (start_sent_at != Instant{}) {
      estimates_.Observe(
          entry->estimate_key, entry->job.spec().steps[result.task.step].estimate,
          std::chrono::duration_cast<std::chrono::milliseconds>(time.now - start_sent_at));
    }
    // After a takeover, a later run of the task may already be running on another runner.
    if (task->phase == TaskPhase::kPlaced) {
      if (Runner* other = FindRunner(task->runner)) RequestStop(other, result.task, time.now);
    }
    entry->job.MarkDone(result.task);
    MarkDirty(entry);
  } else if (failed) {
    HandleFailure(runner, entry, result, start_sent_at, time);
  } else {
    ++counters_.runs_ended_otherwise;
  }
  StoreBegin(entry);
}

/// Delays the restart of a long-running task that keeps failing soon after its start, longer each
/// time; otherwise its restarts would displace tasks of other jobs.
void Cell::DelayRestart(TaskState* task, Instant start_sent_at, Instant now) {
  const bool soon = !RunnerHealth::IsSoundRun(start_sent_at, now);
  task->consecutive_failures = soon ? task->consecutive_failures + 1 : 0;
  if (task->consecutive_failures <= kImmediateRestarts) return;
  const auto doublings =
      std::min(task->consecutive_failures - kImmediateRestarts - 1, kMaxDelayDoublings);
  task->earliest_start = now + kFirstRestartDelay * (1 << doublings);
}

void Cell::HandleFailure(Runner* runner, JobEntry* entry, const ReportedResult& result,
                         Instant start_sent_at, CellTime time) {
  ++counters_.runs_failed;
  TaskState* task = entry->job.FindTask(result.task);
  const bool long_running = entry->job.spec().steps[result.task.step].long_running;
  // A task that has failed on two runners is assumed to be at fault itself.
  const bool failed_elsewhere = task->failed_on != kNoRunner && task->failed_on != runner->key;
  if (failed_elsewhere) {
    runner->health.RecordInconclusiveFailure(time.now);
  } else if (long_running) {
    runner->health.RecordLongRunningFailure(result.task.job, start_sent_at, time.now);
  } else {
    runner->health.RecordFailure(result.task.job, time.now);
  }
  task->failed_on = runner->key;
  task->failed_at = time.now;
  if (long_running) DelayRestart(task, start_sent_at, time.now);
  const std::uint32_t failures = task->failures();
  const bool job_failed = entry->job.MarkFailed(result.task, result.run);
  if (task->failures() != failures) MarkDirty(entry);
  if (job_failed) StopJob(entry, time.now);
}

/// Records once that a long-running task has started up and has been at work for some time.
void Cell::RecordSoundRun(Runner* runner, LiveRun* run, Instant now) {
  const bool started_here = run->long_running && run->start_sent_at != Instant{};
  if (!started_here || run->is_sound || run->percent < PaceControl::kFullPercent) return;
  run->is_sound = RunnerHealth::IsSoundRun(run->start_sent_at, now);
  if (run->is_sound) runner->health.RecordSuccess();
}

void Cell::HandleReportedRun(Runner* runner, const ReportedRun& reported, CellTime time) {
  JobEntry* entry = FindJob(reported.task.job);
  TaskState* task = FindReportedTask(entry, reported.task, time.wall);
  const RunEvidence evidence = reported.percent > 0 ? RunEvidence::kAtWork : RunEvidence::kExecuted;
  RecordRun(entry, reported.task, reported.run, evidence);
  if (LiveRun* live = FindRun(runner, reported.task, reported.run)) {
    if (live->phase == RunPhase::kUnconfirmed) {
      LogSettledStart(*runner, reported.task, *live, "runs");
    }
    if (live->phase != RunPhase::kStopping) live->phase = RunPhase::kRunning;
    live->executed_here = true;
    live->known_since = ++last_event_;
    live->percent = reported.percent;
    RecordSoundRun(runner, live, time.now);
    if (task != nullptr && !reported.checkpoint.empty()) task->checkpoint = reported.checkpoint;
    // The ends of short tasks must also have been read, since they count as attempts.
    if (task != nullptr && live->long_running && live->phase == RunPhase::kRunning &&
        runner->report_requested_at >= other_owners_authority_end_) {
      task->accounted_for = true;
    }
    return;
  }
  if (runner->runs.contains(reported.task)) {
    return;  // Another run of the task here is not resolved yet.
  }
  LiveRun run;
  run.run = reported.run;
  run.known_since = ++last_event_;
  run.executed_here = true;
  run.percent = reported.percent;
  const bool adopted = task != nullptr && task->phase == TaskPhase::kWaiting &&
                       !IsFinal(entry->job.state()) && reported.run >= task->last_run;
  if (task != nullptr) {
    run.load = entry->job.spec().steps[reported.task.step].Load();
    run.long_running = entry->job.spec().steps[reported.task.step].long_running;
    task->last_run = std::max(task->last_run, reported.run);
    if (!reported.checkpoint.empty()) task->checkpoint = reported.checkpoint;
  }
  run.phase = adopted ? RunPhase::kRunning : RunPhase::kStopping;
  AddRun(runner, reported.task, run);
  LogDecision(adopted ? "adopt" : "stop_unwanted",
              {{"job", std::string(reported.task.job.text())},
               {"task", reported.task.ToString()},
               {"run", Concat(reported.run)},
               {"runner", runner->listing.id},
               {"born", Concat(runner->listing.started_at.count())}});
  if (adopted) {
    entry->job.Place(reported.task, runner->key, reported.run);
    RecordRun(entry, reported.task, reported.run, evidence);
  } else {
    RequestStop(runner, reported.task, time.now);
  }
}

/// Frees runs that the report would include if they still existed.
void Cell::FreeVanishedRuns(Runner* runner, const RunnerReport& report, EventNumber poll,
                            CellTime time) {
  std::unordered_map<TaskId, RunNumber> running;
  for (const ReportedRun& reported : report.running) running.emplace(reported.task, reported.run);
  std::vector<TaskId> vanished;
  std::vector<TaskId> refused;
  for (const auto& [task, run] : runner->runs) {
    const auto found = running.find(task);
    if (found != running.end() && found->second == run.run) continue;
    // The poll carried a higher token than starts that were meant for earlier incarnations.
    if (run.stray_until && !run.executed_here) {
      refused.push_back(task);
      continue;
    }
    // The incarnation that confirmed a start or a stop has ended if a later poll finds another one.
    // Clocks cannot tell, since that of another incarnation may be ahead.
    if (run.known_since == 0 || poll <= run.known_since) continue;
    const bool resolved =
        run.phase == RunPhase::kRunning || (run.phase == RunPhase::kStopping && run.stop_confirmed);
    if (resolved) vanished.push_back(task);
  }
  for (const TaskId& task : vanished) {
    FreeLostTask(runner, task, {time.now, true}, "no longer reported", time);
  }
  for (const TaskId& task : refused) {
    const LiveRun run = runner->runs.at(task);
    if (const auto earlier = running.find(task); earlier != running.end()) {
      ReplaceByEarlierRun(runner, task, earlier->second, time.now);
      continue;
    }
    if (!run.start_confirmed_at) {
      RecordUnacknowledgedStart(runner->listing.id, task, run.run, run.start_sent_at);
    }
    LogSettledStart(*runner, task, run, "not executed");
    FreeLostTask(runner, task, {time.now, false}, "not executed by the next incarnation", time);
  }
}

/// Stops an earlier run of a task whose last start was not executed. The task remains placed until
/// that run has ended.
void Cell::ReplaceByEarlierRun(Runner* runner, const TaskId& task, RunNumber earlier, Instant now) {
  LiveRun run = runner->runs.at(task);
  run.run = earlier;
  run.executed_here = true;
  run.stray_until.reset();
  run.known_since = ++last_event_;
  run.stop_pending = run.stop_confirmed = false;
  AddRun(runner, task, run);
  RequestStop(runner, task, now);
}

void Cell::UpdatePace(Runner* runner, const RunnerReport& report) {
  double worst_ratio = 0;
  bool has_best_effort = false;
  bool starting = false;
  for (const ReportedRun& reported : report.running) {
    const JobEntry* entry = FindJob(reported.task.job);
    if (entry == nullptr || reported.task.step >= entry->job.spec().steps.size()) continue;
    const StepSpec& step = entry->job.spec().steps[reported.task.step];
    has_best_effort = has_best_effort || step.best_effort;
    // Other tasks of the step may be stopped only once this one is known to be running.
    starting = starting || (step.long_running && reported.percent < PaceControl::kFullPercent);
    if (step.tail_target.count() == 0) continue;
    worst_ratio = std::max(worst_ratio, static_cast<double>(reported.usage) /
                                            static_cast<double>(step.tail_target.count()));
  }
  runner->watched = starting || (has_best_effort && worst_ratio > 0);
  const std::uint32_t percent = runner->pace.Update(worst_ratio);
  if (!has_best_effort) return;
  for (const ReportedRun& reported : report.running) {
    const LiveRun* live = FindRun(runner, reported.task, reported.run);
    const JobEntry* entry = FindJob(reported.task.job);
    if (live == nullptr || live->phase != RunPhase::kRunning || entry == nullptr) continue;
    if (!entry->job.spec().steps[reported.task.step].best_effort || live->percent == percent) {
      continue;
    }
    LogDecision("pace", {{"job", std::string(reported.task.job.text())},
                         {"task", reported.task.ToString()},
                         {"runner", runner->listing.id},
                         {"percent", Concat(percent)},
                         {"tail_of_target", Concat(worst_ratio)}});
    outbox_.paces.push_back({runner->key, reported.task, reported.run, percent});
  }
}

}  // namespace wigeonlane
