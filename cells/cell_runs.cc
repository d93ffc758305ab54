/// Runs on a cell's runners: bookkeeping, stops, and responses to commands.
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A runner that could not be reached gets no starts for this long.
constexpr std::chrono::milliseconds kUnreachablePause{300};
/// A runner that refused for want of capacity gets no starts until its next report is due.
constexpr std::chrono::milliseconds kNoCapacityPause{150};
/// A runner that refused because it is unhealthy gets no starts for this long.
constexpr std::chrono::milliseconds kUnhealthyPause{500};
/// A runner that could not parse a command gets no starts for this long.
constexpr std::chrono::milliseconds kInvalidPause{1'000};

}  // namespace

LiveRun* Cell::FindRun(Runner* runner, const TaskId& task, RunNumber run) {
  const auto found = runner->runs.find(task);
  return found == runner->runs.end() || found->second.run != run ? nullptr : &found->second;
}

void Cell::AddRun(Runner* runner, const TaskId& task, LiveRun run) {
  RemoveRun(runner, task);
  const JobEntry* entry = FindJob(task.job);
  run.team = entry == nullptr ? kNoTeam : entry->team;
  team_used_[run.team] += run.load;
  runner->used += run.load;
  if (run.long_running) ++runner->long_running_runs;
  if (run.phase == RunPhase::kStopping) ++runner->stopping_runs;
  runner->runs.emplace(task, run);
}

void Cell::RemoveRun(Runner* runner, const TaskId& task) {
  const auto found = runner->runs.find(task);
  if (found == runner->runs.end()) return;
  runner->used -= found->second.load;
  team_used_[found->second.team] -= found->second.load;
  if (found->second.long_running) --runner->long_running_runs;
  if (found->second.phase == RunPhase::kStopping) --runner->stopping_runs;
  runner->runs.erase(found);
  newly_open_runners_.insert(runner->key);
}

/// Removes a run that has certainly ended, so that its capacity is free and its task can be placed
/// again. Returns the task if it waits now, else null.
TaskState* Cell::FreeTask(Runner* runner, const TaskId& id, std::string_view reason,
                          CellTime time) {
  const auto run = runner->runs.find(id);
  const bool executed = run != runner->runs.end() && run->second.executed();
  RemoveRun(runner, id);
  JobEntry* entry = FindJob(id.job);
  if (executed) StoreBegin(entry);
  TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kPlaced || task->runner != runner->key) {
    return nullptr;
  }
  if (!IsFinal(entry->job.state())) {
    LogDecision("free", {{"job", std::string(id.job.text())},
                         {"task", id.ToString()},
                         {"runner", runner->listing.id},
                         {"why", std::string(reason)},
                         {"report_age_ms", Concat(MillisOf(time.now - runner->clock_read_at))}});
  }
  entry->job.Unplace(id);
  task->freed_at = time.now;
  jobs_to_rank_.insert(id.job);
  schedule_requested_ = true;
  return task;
}

/// Frees a task whose run had ended without a result that this owner knows of. A successor may have
/// read one, so the task starts again only once the ownership is confirmed for that time.
/// Long-running tasks have no results that prevent another start.
void Cell::FreeLostTask(Runner* runner, const TaskId& id, const LostRun& lost,
                        std::string_view reason, CellTime time) {
  TaskState* task = FreeTask(runner, id, reason, time);
  if (task == nullptr || FindJob(id.job)->job.spec().steps[id.step].long_running) return;
  task->lost_run = lost;
}

/// Records what a runner has said of a run.
void Cell::RecordRun(JobEntry* entry, const TaskId& id, RunNumber run, RunEvidence evidence) {
  if (entry == nullptr || entry->job.begin().begun()) return;
  entry->job.RecordRun(id, run, evidence);
  if (entry->job.begin().begun()) pending_jobs_.Remove(id.job);
}

/// Stores that a job has begun once a run has ended. Until then the runner tells a successor.
void Cell::StoreBegin(JobEntry* entry) {
  if (entry == nullptr || IsFinal(entry->job.state())) return;
  if (entry->job.begin().unrecorded()) MarkDirty(entry);
}

void Cell::RequestStop(Runner* runner, const TaskId& task, Instant now) {
  const auto found = runner->runs.find(task);
  if (found == runner->runs.end()) return;
  LiveRun& run = found->second;
  if (std::exchange(run.phase, RunPhase::kStopping) != RunPhase::kStopping) {
    ++runner->stopping_runs;
  }
  if (run.stop_pending) return;
  run.stop_pending = true;
  run.stop_confirmed = false;
  run.stop_sent_at = now;
  outbox_.stops.push_back({runner->key, task, run.run});
}

void Cell::StopJob(JobEntry* entry, Instant now) {
  const auto& occurrences = entry->job.occurrences();
  for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
    const auto& steps = occurrences[occurrence].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
        const TaskState& task = steps[step].tasks[index];
        if (task.phase != TaskPhase::kPlaced) continue;
        Runner* runner = FindRunner(task.runner);
        if (runner == nullptr) continue;
        RequestStop(runner, {entry->job.id(), occurrence, step, index}, now);
      }
    }
  }
}

void Cell::HandleStartResponse(const StartCommand& command, CommandOutcome outcome, CellTime time) {
  JobEntry* entry = FindJob(command.task.job);
  if (outcome.status == CommandStatus::kDone) {
    RecordRun(entry, command.task, command.run, RunEvidence::kExecuted);
  }
  Runner* runner = FindRunner(command.runner);
  if (runner == nullptr) return HandleStrayStartResponse(command, outcome, time);
  if (outcome.status == CommandStatus::kFenced) return HandleFencedCommand(command.runner);
  LiveRun* run = FindRun(runner, command.task, command.run);
  if (outcome.status != CommandStatus::kDone) {
    LogDecision("start_answer", {{"job", std::string(command.task.job.text())},
                                 {"task", command.task.ToString()},
                                 {"run", Concat(command.run)},
                                 {"runner", runner->listing.id},
                                 {"born", Concat(runner->listing.started_at.count())},
                                 {"answer", std::string(CommandStatusName(outcome.status))}});
    ++counters_.starts_refused;
  }
  if (outcome.status == CommandStatus::kWrongRunner) {
    return LoseRunner(command.runner, LossReason::kOtherRunnerResponds, time);
  }
  if (outcome.status == CommandStatus::kWrongIncarnation) {
    if (run != nullptr) {
      FreeTask(runner, command.task, CommandStatusName(outcome.status), time);
    }
    return ReplaceIncarnation(runner, runner->listing, LossReason::kOtherIncarnationResponds, time);
  }
  if (run == nullptr) return StoreBegin(entry);
  switch (outcome.status) {
    case CommandStatus::kDone:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kRunning;
      run->start_confirmed_at = time.now;
      run->known_since = ++last_event_;
      if (outcome.clock && runner->IsOwnClock(*outcome.clock, options_, time.now)) {
        run->executed_here = true;
      }
      return;
    case CommandStatus::kNoResponse:
      ++counters_.starts_without_response;
      RecordUnacknowledgedStart(runner->listing.id, command.task, command.run, time.now);
      runner->no_starts_until = time.now + kUnreachablePause;
      RequestStop(runner, command.task, time.now);
      return;
    case CommandStatus::kNotSent:
      runner->no_starts_until = time.now + kUnreachablePause;
      break;
    case CommandStatus::kNoCapacity:
      runner->no_starts_until = time.now + kNoCapacityPause;
      break;
    case CommandStatus::kUnhealthy:
      runner->no_starts_until = time.now + kUnhealthyPause;
      runner->health.RecordFailure(command.task.job, time.now);
      break;
    case CommandStatus::kNoTicket:
      HandleRefusedTicket(command);
      break;
    case CommandStatus::kInvalid:
      runner->no_starts_until = time.now + kInvalidPause;
      break;
    default:
      break;
  }
  FreeTask(runner, command.task, CommandStatusName(outcome.status), time);
}

/// Handles the response to a start whose incarnation has been replaced meanwhile.
void Cell::HandleStrayStartResponse(const StartCommand& command, CommandOutcome outcome,
                                    CellTime time) {
  JobEntry* entry = FindJob(command.task.job);
  const TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(command.task);
  Runner* runner = task == nullptr ? nullptr : FindRunner(task->runner);
  LiveRun* run = runner == nullptr ? nullptr : FindRun(runner, command.task, command.run);
  if (run == nullptr) return StoreBegin(entry);
  if (run->executed_here) return;
  switch (outcome.status) {
    case CommandStatus::kNoResponse:
      return RecordUnacknowledgedStart(runner->listing.id, command.task, command.run, time.now);
    case CommandStatus::kDone:
      run->start_confirmed_at = time.now;
      run->stray_until =
          std::min(*run->stray_until, time.now + 2 * options_.MaxStrayLeaseAfterContact());
      return;
    default:
      FreeTask(runner, command.task, CommandStatusName(outcome.status), time);
  }
}

void Cell::HandleStopResponse(const StopCommand& command, CommandOutcome outcome, CellTime time) {
  if (outcome.status == CommandStatus::kFenced) return HandleFencedCommand(command.runner);
  if (outcome.status == CommandStatus::kWrongRunner) {
    return LoseRunner(command.runner, LossReason::kOtherRunnerResponds, time);
  }
  Runner* runner = FindRunner(command.runner);
  LiveRun* run = runner == nullptr ? nullptr : FindRun(runner, command.task, command.run);
  if (run == nullptr) return;
  run->stop_pending = false;
  if (outcome.status != CommandStatus::kDone) return;
  run->stop_confirmed = true;
  run->known_since = ++last_event_;
}

}  // namespace wigeonlane
