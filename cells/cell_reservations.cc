/// Runners whose machines are to be taken down or moved.
#include <algorithm>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A reservation that is not renewed lapses: whoever asked for it is gone.
constexpr std::chrono::milliseconds kReservation{2'000};
/// From a release to the moment at which the machine goes down at the latest: 0.4 s for the answer
/// to the coordinator, 0.3 s in line (OrderWindow) and 1.5 s until an order is given up.
constexpr std::chrono::milliseconds kOrderReach{2'200};
/// A membership ends this long after its last renewal at the earliest (OwnershipOptions), and the
/// cell is dealt to a successor.
constexpr std::chrono::milliseconds kLeastMembership{1'000};
/// A reserved runner waits this long for lasting tasks elsewhere to be at work, or for room: two
/// machines of the step in turn, each away for 2 s (platform: MaintenanceS) and a start.
constexpr std::chrono::milliseconds kLongestBlocked{6'000};
/// The same for a runner that could take a missing task of the step itself: one such machine.
constexpr std::chrono::milliseconds kLongestInTheWay{3'000};
/// Then it takes work for this long, so that a task that has no other place can start there: five
/// tries of placement.
constexpr std::chrono::milliseconds kUnreserved{1'000};

}  // namespace

CallResponse Cell::ReserveRunner(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner == nullptr || !runner->claimed) return {CallVerdict::kNotReady};
  // Lasting tasks of another runner have been promised this place.
  if (!MoveCapacityReservationsFrom(*runner, time.now)) return {CallVerdict::kNotEvacuable};
  const Blocker blocker = BlockerOf(*runner, time.now);
  if (blocker != Blocker::kLongRunningTask) {
    runner->evacuation_blocked_since = time.now;
  } else if (!PrepareEvacuation(runner, time.now)) {
    return CancelReservation(runner, time.now);
  }
  if (time.now >= runner->reserved_until) {
    LogDecision(
        "reserve_runner",
        {{"runner", runner_id}, {"cell", Concat(number_)}, {"runs", Concat(runner->runs.size())}});
  }
  runner->reserved_until = time.now + kReservation;
  if (blocker == Blocker::kNothing) {
    runner->reserved_until = time.now + kOrderReach;
    runner->may_go_down_until = ReleaseResolvedAt(time.now);
    return {CallVerdict::kReady};
  }
  Evacuate(runner, time.now);
  return {CallVerdict::kNotReady};
}

CallResponse Cell::ReserveForMove(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner != nullptr && HasLongRunningWork(*runner)) return CancelReservation(runner, time.now);
  return ReserveRunner(runner_id, time);
}

/// Whether lasting tasks are to go on running there.
bool Cell::HasLongRunningWork(const Runner& runner) {
  return std::any_of(runner.runs.begin(), runner.runs.end(), [this](const auto& entry) {
    const auto& [task, run] = entry;
    const JobEntry* job = FindJob(task.job);
    return run.lasting && run.phase != RunPhase::kStopping && job != nullptr &&
           !IsFinal(job->job.state());
  });
}

/// Lasting tasks go before others: those end by themselves.
Cell::Blocker Cell::BlockerOf(const Runner& runner, Instant now) {
  Blocker blocker = Blocker::kNothing;
  for (const auto& [task, run] : runner.runs) {
    if (MayStop(runner, task, StopScope::kWholeRunner, now)) continue;
    if (run.lasting) return Blocker::kLongRunningTask;
    blocker = Blocker::kShortTask;
  }
  return blocker;
}

/// Whether the runner may be reserved for its lasting tasks to be able to leave: there is room for
/// them, and they have not waited too long for the step's others to be back.
bool Cell::PrepareEvacuation(Runner* runner, Instant now) {
  if (now < runner->no_reservation_until) return false;
  if (now >= runner->reserved_until) runner->evacuation_blocked_since = now;
  const auto longest = CouldRunUnavailableTask(*runner, now) ? kLongestInTheWay : kLongestBlocked;
  if (now - runner->evacuation_blocked_since >= longest) {
    runner->no_reservation_until = now + kUnreserved;
    return false;
  }
  return ReserveCapacityForEvacuation(*runner, now);
}

/// Whether a runner could run a task that is away from a step whose tasks it has.
bool Cell::CouldRunUnavailableTask(const Runner& runner, Instant now) {
  for (const auto& [task, run] : runner.runs) {
    const JobEntry* entry = run.lasting ? FindJob(task.job) : nullptr;
    if (entry == nullptr || IsFinal(entry->job.state())) continue;
    if (!runner.FreeWithoutShortTasks().Holds(run.load)) continue;
    const auto& tasks = entry->job.occurrences()[task.occurrence].steps[task.step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const TaskId other{task.job, task.occurrence, task.step, index};
      if (tasks[index].phase != TaskPhase::kWaiting || capacity_reservations_.contains(other))
        continue;
      if (MayHost(*entry, runner, other, now)) return true;
    }
  }
  return false;
}

/// The runner takes work again, unless its machine may go down at any time, and the room for its
/// lasting tasks is others' again.
CallResponse Cell::CancelReservation(Runner* runner, Instant now) {
  if (now < runner->reserved_until && now >= runner->may_go_down_until) {
    LogDecision("give_up_reservation", {{"runner", runner->listing.id}, {"cell", Concat(number_)}});
    runner->reserved_until = now;
    schedule_requested_ = true;
  }
  DropCapacityReservationsOf(*runner);
  return {CallVerdict::kNotEvacuable};
}

/// When a machine that was released at `now` is known to be up or down: if nobody says that it went
/// down, a look at its runner has to time out.
Instant Cell::ReleaseResolvedAt(Instant now) const {
  return now + kOrderReach + options_.min_poll_interval + options_.poll_wait +
         options_.command_timeout;
}

void Cell::HandleMachineDown(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  if (key != key_by_id_.end()) LoseRunner(key->second, "its machine was taken down", time);
}

/// Whether ending a run is within what its step may miss. Only tasks that last are ended so; the
/// others are waited for.
bool Cell::MayStop(const Runner& runner, const TaskId& id, StopScope ending, Instant now) {
  JobEntry* entry = FindJob(id.job);
  if (entry == nullptr || IsFinal(entry->job.state())) return true;
  const StepSpec& spec = entry->job.spec().steps[id.step];
  if (!spec.long_running) return false;
  // A successor waits for what was let go before it was dealt the cell.
  if (!HasAuthority(now + options_.authority - kLeastMembership)) return false;
  // What a predecessor released, or was stopping, may go down at any time and is not known here.
  if (entry->inherited && now < ReleaseResolvedAt(restored_at_)) return false;
  const auto& tasks = entry->job.occurrences()[id.occurrence].steps[id.step].tasks;
  std::uint32_t away = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (index == id.index) continue;
    const bool with_it = ending == StopScope::kWholeRunner && tasks[index].runner == runner.key;
    const TaskId other{id.job, id.occurrence, id.step, index};
    if (with_it || !IsConfirmedRunning(other, tasks[index], now)) ++away;
  }
  return away < std::max(spec.max_unavailable, 1U);
}

/// Whether a task is known to be at work, on a runner that stays.
bool Cell::IsConfirmedRunning(const TaskId& id, const TaskState& task, Instant now) {
  Runner* host = FindRunner(task.runner);
  const LiveRun* run = host == nullptr ? nullptr : FindRun(host, id, task.last_run);
  if (run == nullptr || run->phase != RunPhase::kRunning) return false;
  if (run->percent != PaceControl::kFullPercent || host->failed_polls > 0) return false;
  // A runner that was released before may be taken down at any time.
  return now - host->clock_read_at < options_.poll_wait * 2 && now >= host->may_go_down_until;
}

}  // namespace wigeonlane
