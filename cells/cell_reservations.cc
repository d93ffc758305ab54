/// Reservation of runners whose machines are to be taken down or moved.
#include <algorithm>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A reservation ends after this unless its requester renews it.
constexpr std::chrono::milliseconds kReservationPeriod{2'000};
/// Longest time from a release until the machine goes down: 0.4 s for the response to the
/// coordinator, 0.3 s in the queue (OrderWindow) and 1.5 s until a command is abandoned.
constexpr std::chrono::milliseconds kMaxDownDelay{2'200};
/// A reserved runner waits this long for long-running tasks elsewhere to be running, or for
/// capacity. Covers two machines of the step in turn, each down for 2 s (platform: MaintenanceS),
/// and the starts of their tasks.
constexpr std::chrono::milliseconds kMaxBlocked{6'000};
/// The same for a runner that could itself run an unavailable task of the step; covers one such
/// machine.
constexpr std::chrono::milliseconds kMaxBlockedAsOnlyHost{3'000};
/// After that the runner accepts work for this long, so that a task that fits nowhere else can
/// start there; covers five placement attempts.
constexpr std::chrono::milliseconds kReservationBackoff{1'000};

}  // namespace

CallResponse Cell::ReserveRunner(const std::string& runner_id, CellTime time) {
  // A successor may have started tasks on the runner.
  if (!MembershipHolds(time.now)) return {CallVerdict::kNotReady};
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner == nullptr || !runner->claimed) return {CallVerdict::kNotReady};
  // Capacity is reserved here for long-running tasks of another runner.
  if (!MoveCapacityReservationsFrom(*runner, time.now)) return {CallVerdict::kNotEvacuable};
  const Blocker blocker = BlockerOf(*runner, time.now);
  if (blocker != Blocker::kLongRunningTask) {
    runner->evacuation_blocked_since = time.now;
  } else {
    const EvacuationState state = PrepareEvacuation(runner, time.now);
    if (state == EvacuationState::kAwaitsAdvice) return {CallVerdict::kNotReady};
    if (state == EvacuationState::kImpossible) return CancelReservation(runner, time.now);
  }
  if (time.now >= runner->reserved_until) {
    LogDecision(
        "reserve_runner",
        {{"runner", runner_id}, {"cell", Concat(number_)}, {"runs", Concat(runner->runs.size())}});
  }
  runner->reserved_until = time.now + kReservationPeriod;
  if (blocker == Blocker::kNothing) {
    ReleaseMachine(runner, time.now);
    return {CallVerdict::kReady};
  }
  Evacuate(runner, time.now);
  return {CallVerdict::kNotReady};
}

void Cell::ReleaseMachine(Runner* runner, Instant now) {
  runner->reserved_until = now + kMaxDownDelay;
  runner->may_go_down_until = ReleaseResolvedAt(now);
  std::erase_if(machine_releases_,
                [&](const auto& release) { return release.second.resolved_at <= now; });
  machine_releases_[runner->listing.id] = {runner->key, runner->reserved_until,
                                           runner->may_go_down_until};
}

/// Applies a release of the machine that an earlier incarnation of the runner was given.
void Cell::InheritRelease(Runner* runner, Instant now) const {
  const auto found = machine_releases_.find(runner->listing.id);
  if (found == machine_releases_.end() || found->second.resolved_at <= now) return;
  runner->reserved_until = found->second.reserved_until;
  runner->may_go_down_until = found->second.resolved_at;
}

CallResponse Cell::ReserveForMove(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner != nullptr && HasLongRunningWork(*runner)) return CancelReservation(runner, time.now);
  return ReserveRunner(runner_id, time);
}

/// Whether the runner has long-running tasks that should keep running.
bool Cell::HasLongRunningWork(const Runner& runner) {
  return std::any_of(runner.runs.begin(), runner.runs.end(), [this](const auto& entry) {
    const auto& [task, run] = entry;
    const JobEntry* job = FindJob(task.job);
    return run.long_running && run.phase != RunPhase::kStopping && job != nullptr &&
           !IsFinal(job->job.state());
  });
}

/// Returns what keeps the machine from being taken down. Long-running tasks take precedence,
/// because short tasks end by themselves.
Cell::Blocker Cell::BlockerOf(const Runner& runner, Instant now) {
  Blocker blocker = Blocker::kNothing;
  for (const auto& [task, run] : runner.runs) {
    if (MayStop(runner, task, StopScope::kWholeRunner, now)) continue;
    if (run.long_running) return Blocker::kLongRunningTask;
    blocker = Blocker::kShortTask;
  }
  return blocker;
}

/// Whether the runner may be reserved so that its long-running tasks can leave: they fit elsewhere
/// and have not waited too long for other tasks of the step to be running again.
Cell::EvacuationState Cell::PrepareEvacuation(Runner* runner, Instant now) {
  if (now < runner->no_reservation_until) return EvacuationState::kImpossible;
  if (now >= runner->reserved_until) runner->evacuation_blocked_since = now;
  const auto max_blocked =
      CouldRunUnavailableTask(*runner, now) ? kMaxBlockedAsOnlyHost : kMaxBlocked;
  if (now - runner->evacuation_blocked_since >= max_blocked) {
    runner->no_reservation_until = now + kReservationBackoff;
    return EvacuationState::kImpossible;
  }
  return ReserveCapacityForEvacuation(*runner, now);
}

/// Whether the runner could run an unavailable task of a step that has tasks on it.
bool Cell::CouldRunUnavailableTask(const Runner& runner, Instant now) {
  for (const auto& [task, run] : runner.runs) {
    const JobEntry* entry = run.long_running ? FindJob(task.job) : nullptr;
    if (entry == nullptr || IsFinal(entry->job.state())) continue;
    if (!runner.FreeWithoutShortTasks().Holds(run.load)) continue;
    const auto& tasks = entry->job.occurrences()[task.occurrence].steps[task.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const TaskId other{task.job, task.occurrence, task.step, index};
      if (tasks[index].phase != TaskPhase::kWaiting || capacity_reservations_.contains(other)) {
        continue;
      }
      if (MayHost(*entry, runner, other, now)) return true;
    }
  }
  return false;
}

/// Lets the runner accept work again, unless its machine may go down at any time, and drops the
/// capacity reservations of its long-running tasks.
CallResponse Cell::CancelReservation(Runner* runner, Instant now) {
  if (now < runner->reserved_until && now >= runner->may_go_down_until) {
    LogDecision("cancel_reservation", {{"runner", runner->listing.id}, {"cell", Concat(number_)}});
    runner->reserved_until = now;
    schedule_requested_ = true;
  }
  DropCapacityReservationsOf(*runner);
  return {CallVerdict::kNotEvacuable};
}

/// Returns when it is certain whether a machine released at `now` has gone down: if the coordinator
/// does not report it down, a poll of its runner has to time out.
Instant Cell::ReleaseResolvedAt(Instant now) const {
  return now + kMaxDownDelay + options_.min_poll_interval + options_.poll_wait +
         options_.command_timeout;
}

void Cell::HandleMachineDown(const std::string& runner_id, CellTime time) {
  const auto release = machine_releases_.find(runner_id);
  const RunnerKey released =
      release == machine_releases_.end() ? kNoRunner : release->second.runner;
  machine_releases_.erase(runner_id);
  const auto key = key_by_id_.find(runner_id);
  if (key == key_by_id_.end()) return;
  // A later incarnation may have started after the machine came back.
  if (released != kNoRunner && released != key->second) return;
  Runner* runner = FindRunner(key->second);
  ReplaceIncarnation(runner, runner->listing, LossReason::kMachineDown, time);
}

/// Whether a run may be stopped without exceeding its step's limit of unavailable tasks. Short
/// tasks are never stopped; they end by themselves.
bool Cell::MayStop(const Runner& runner, const TaskId& id, StopScope scope, Instant now) {
  JobEntry* entry = FindJob(id.job);
  if (entry == nullptr || IsFinal(entry->job.state())) return true;
  const StepSpec& spec = entry->job.spec().steps[id.step];
  if (!spec.long_running) return false;
  // A successor accounts for releases only if they came before the cell was assigned to it.
  if (!HasAuthority(now) || !MembershipHolds(now)) return false;
  // Runners that a predecessor released may go down at any time, and its stops may still take
  // effect; neither is known here.
  if (entry->inherited && now < ReleaseResolvedAt(restored_at_)) return false;
  const auto& tasks = entry->job.occurrences()[id.occurrence].steps[id.step].tasks;
  std::uint32_t unavailable = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (index == id.index) continue;
    const bool stops_as_well =
        scope == StopScope::kWholeRunner && tasks[index].runner == runner.key;
    const TaskId other{id.job, id.occurrence, id.step, index};
    if (stops_as_well || !IsConfirmedRunning(other, tasks[index], now)) ++unavailable;
  }
  return unavailable < std::max(spec.max_unavailable, 1U);
}

/// Whether a task is known to be running, on a runner that is not about to go down.
bool Cell::IsConfirmedRunning(const TaskId& id, const TaskState& task, Instant now) {
  Runner* host = FindRunner(task.runner);
  const LiveRun* run = host == nullptr ? nullptr : FindRun(host, id, task.last_run);
  if (run == nullptr || run->phase != RunPhase::kRunning) return false;
  if (run->percent != PaceControl::kFullPercent || host->failed_polls > 0) return false;
  // A runner that has been released may be taken down at any time.
  return now - host->clock_read_at < options_.poll_wait * 2 && now >= host->may_go_down_until;
}

}  // namespace wigeonlane
