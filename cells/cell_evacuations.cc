/// Evacuation of long-running tasks from a runner. Capacity elsewhere is reserved for all of them
/// before the first one is stopped.
#include <algorithm>
#include <limits>
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"
#include "scheduling/placement.h"

namespace wigeonlane {
namespace {

/// Equals the period of the origin's own reservation, which is renewed at the same time.
constexpr std::chrono::milliseconds kReservationPeriod{2'000};

bool SameStep(const TaskId& a, const TaskId& b) {
  return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

}  // namespace

/// Reserves capacity for the long-running tasks that have to leave the runner; none if one of them
/// fits nowhere.
Cell::EvacuationState Cell::ReserveCapacityForEvacuation(const Runner& runner, Instant now) {
  std::vector<TaskId> long_running;
  for (const auto& [task, run] : runner.runs) {
    if (run.long_running && run.phase != RunPhase::kStopping) long_running.push_back(task);
  }
  std::sort(long_running.begin(), long_running.end());
  std::vector<std::vector<TaskId>> steps;
  for (const TaskId& task : long_running) {
    if (steps.empty() || !SameStep(steps.back().front(), task)) steps.emplace_back();
    steps.back().push_back(task);
  }
  // Large tasks first, because small tasks fit into the capacity that is left over.
  const auto size = [&](const std::vector<TaskId>& tasks) {
    return MissingShare(runner.listing.capacity, {}, runner.runs.at(tasks.front()).load);
  };
  std::stable_sort(steps.begin(), steps.end(),
                   [&](const auto& a, const auto& b) { return size(a) > size(b); });
  for (std::vector<TaskId>& tasks : steps) {
    const EvacuationState state = ReserveCapacityForStep(runner, std::move(tasks), now);
    if (state == EvacuationState::kReserved) continue;
    DropCapacityReservationsOf(runner);
    return state;
  }
  return EvacuationState::kReserved;
}

/// Reserves capacity for the tasks of a step on a runner beyond those that may be unavailable at
/// once. Tasks that are unavailable elsewhere count as well if capacity allows, but are not
/// required: they may be running again by the time of the evacuation.
Cell::EvacuationState Cell::ReserveCapacityForStep(const Runner& runner, std::vector<TaskId> tasks,
                                                   Instant now) {
  JobEntry* entry = FindJob(tasks.front().job);
  if (entry == nullptr || IsFinal(entry->job.state())) return EvacuationState::kReserved;
  const TaskId first = tasks.front();
  const std::uint32_t max_unavailable =
      std::max(entry->job.spec().steps[first.step].max_unavailable, 1U);
  const auto count = static_cast<std::uint32_t>(tasks.size());
  const auto& all = entry->job.occurrences()[first.occurrence].steps[first.step].tasks;
  std::uint32_t unavailable = 0;
  for (std::uint32_t index = 0; index < all.size(); ++index) {
    const TaskId id{first.job, first.occurrence, first.step, index};
    if (all[index].phase == TaskPhase::kWaiting && !capacity_reservations_.contains(id)) {
      ++unavailable;
    }
  }
  const std::uint32_t must_leave = count > max_unavailable ? count - max_unavailable : 0;
  const std::uint32_t should_leave = count + unavailable > max_unavailable
                                         ? std::min(count, count + unavailable - max_unavailable)
                                         : 0;
  std::stable_partition(tasks.begin(), tasks.end(),
                        [&](const TaskId& id) { return capacity_reservations_.contains(id); });
  std::uint32_t reserved = 0;
  for (const TaskId& id : tasks) {
    if (reserved < should_leave && ReserveCapacity(entry, id, runner, now)) {
      ++reserved;
    } else {
      DropCapacityReservation(id);
    }
  }
  if (reserved >= must_leave) return EvacuationState::kReserved;
  return AwaitsAdvice(*entry, first) ? EvacuationState::kAwaitsAdvice
                                     : EvacuationState::kImpossible;
}

/// Reserves capacity for one task or renews its reservation.
bool Cell::ReserveCapacity(JobEntry* entry, const TaskId& id, const Runner& origin, Instant now) {
  const auto reservation = capacity_reservations_.find(id);
  if (reservation != capacity_reservations_.end()) {
    reservation->second.until = now + kReservationPeriod;
    if (IsReservationValid(id, reservation->second, now)) return true;
    DropCapacityReservation(id);
  }
  const RunnerChoice choice = ChooseEvacuationTarget(*entry, id, {origin.key}, now);
  if (choice.runner == nullptr) {
    RequestAdvice(entry, id.occurrence, id.step, choice.reason, now);
    return false;
  }
  AddCapacityReservation(id, entry->job.spec().steps[id.step].Load(), origin, choice.runner, now);
  return true;
}

void Cell::AddCapacityReservation(const TaskId& id, const Resources& load, const Runner& origin,
                                  Runner* holder, Instant now) {
  holder->reserved_capacity += load;
  capacity_reservations_[id] = {holder->key, origin.key, load, now + kReservationPeriod};
  LogDecision("reserve_capacity", {{"job", std::string(id.job.text())},
                                   {"task", id.ToString()},
                                   {"from", origin.listing.id},
                                   {"runner", holder->listing.id},
                                   {"held", Concat(capacity_reservations_.size())}});
}

/// Moves the capacity reservations on a runner to other runners, so that the runner itself can be
/// reserved. Returns false if one has to stay, for example because its task has been stopped.
bool Cell::MoveCapacityReservationsFrom(const Runner& holder, Instant now) {
  std::vector<TaskId> ids;
  for (const auto& [id, reservation] : capacity_reservations_) {
    if (reservation.runner == holder.key) ids.push_back(id);
  }
  for (const TaskId& id : ids) {
    const CapacityReservation reservation = capacity_reservations_.at(id);
    JobEntry* entry = FindJob(id.job);
    const Runner* origin = FindRunner(reservation.origin);
    if (entry == nullptr || origin == nullptr || IsMoving(id, reservation)) return false;
    const RunnerChoice other = ChooseEvacuationTarget(*entry, id, {origin->key, holder.key}, now);
    if (other.runner == nullptr) {
      RequestAdvice(entry, id.occurrence, id.step, other.reason, now);
      return false;
    }
    DropCapacityReservation(id);
    AddCapacityReservation(id, reservation.load, *origin, other.runner, now);
  }
  return true;
}

/// Gives an unavailable long-running task the capacity that is reserved for a task which is still
/// running. Returns the runner on which the unavailable task can start, or null.
Runner* Cell::TakeOverReservedCapacity(const JobEntry& entry, const TaskId& id, Instant now) {
  std::vector<TaskId> others;
  for (const auto& [other, reservation] : capacity_reservations_) {
    if (other != id && !IsMoving(other, reservation)) others.push_back(other);
  }
  const std::string rack = RackOfStep(entry, id.occurrence, id.step);
  for (const TaskId& other : others) {
    const CapacityReservation reservation = capacity_reservations_.at(other);
    Runner* holder = FindRunner(reservation.runner);
    if (holder == nullptr) continue;
    holder->reserved_capacity -= reservation.load;
    capacity_reservations_.erase(other);
    newly_open_runners_.insert(holder->key);
    Runner* runner = ChooseRunner(entry, id, rack, now).runner;
    if (runner != nullptr) return runner;
    holder->reserved_capacity += reservation.load;
    capacity_reservations_[other] = reservation;
  }
  return nullptr;
}

/// Returns the best runner that has capacity for a task once the short tasks there have ended.
Cell::RunnerChoice Cell::ChooseEvacuationTarget(const JobEntry& entry, const TaskId& id,
                                                const std::set<RunnerKey>& excluded, Instant now) {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const TaskState& task = entry.job.occurrences()[id.occurrence].steps[id.step].tasks[id.index];
  // The task could not start now. A gang starts as a whole or not at all.
  if (step.gang || MayRunOutOfReach(entry, task)) return {};
  const Resources load = step.Load();
  const std::string rack = RackOfStep(entry, id.occurrence, id.step);
  RunnerChoice choice;
  double best_cost = std::numeric_limits<double>::infinity();
  for (auto& [key, runner] : runners_) {
    if (excluded.contains(key) || runner.listing.service != entry.job.policy().service) continue;
    if (!runner.IsOpen(now) || !runner.HasLabel(step.required_label)) continue;
    if (!runner.FreeWithoutShortTasks().Holds(load) || runner.IsEarmarkedForOther(id, now)) {
      continue;
    }
    if (const auto obstacle = FindObstacle(entry, runner, id, now)) {
      choice.reason = std::max(choice.reason, *obstacle);
      continue;
    }
    const double cost = CostOf(entry, runner, id, rack, now);
    if (cost >= best_cost) continue;
    best_cost = cost;
    choice.runner = &runner;
  }
  return choice;
}

/// Whether the task may still start on `holder` once it has been stopped, as far as that takes a
/// ticket. Requests one if it is missing.
bool Cell::HasTicketForMove(const TaskId& id, const Runner& holder, Instant now) {
  JobEntry* entry = FindJob(id.job);
  if (entry == nullptr || IsFinal(entry->job.state())) return true;
  const auto obstacle = FindObstacle(*entry, holder, id, now + options_.stop_grace);
  if (obstacle != NoRunnerReason::kNoTicket) return true;
  RequestAdvice(entry, id.occurrence, id.step, *obstacle, now);
  return false;
}

/// Stops one task whose reserved capacity is free now.
void Cell::Evacuate(Runner* runner, Instant now) {
  if (!HasAuthority(now)) return;
  for (const auto& [task, reservation] : capacity_reservations_) {
    if (reservation.origin != runner->key) continue;
    const auto run = runner->runs.find(task);
    if (run == runner->runs.end() || run->second.phase != RunPhase::kRunning) continue;
    const Runner* holder = FindRunner(reservation.runner);
    if (!holder->IsOpen(now) || !FreeForTask(*holder, task).Holds(reservation.load)) continue;
    if (!HasTicketForMove(task, *holder, now)) continue;
    if (!MayStop(*runner, task, StopScope::kOneTask, now)) continue;
    LogDecision("evacuate", {{"job", std::string(task.job.text())},
                             {"task", task.ToString()},
                             {"runner", runner->listing.id},
                             {"to", holder->listing.id}});
    runner->evacuation_blocked_since = now;
    return RequestStop(runner, task, now);
  }
}

/// Whether the task has been stopped in order to start where its capacity is reserved.
bool Cell::IsMoving(const TaskId& id, const CapacityReservation& reservation) {
  JobEntry* entry = FindJob(id.job);
  const TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(id);
  if (task == nullptr || IsFinal(entry->job.state())) return false;
  if (task->phase == TaskPhase::kWaiting) return true;
  Runner* origin = FindRunner(reservation.origin);
  if (origin == nullptr || task->runner != reservation.origin) return false;
  const LiveRun* run = FindRun(origin, id, task->last_run);
  return run != nullptr && run->phase == RunPhase::kStopping;
}

bool Cell::IsReservationValid(const TaskId& id, const CapacityReservation& reservation,
                              Instant now) {
  const Runner* holder = FindRunner(reservation.runner);
  if (holder == nullptr || !holder->IsAvailable(now) || !holder->health.Admits(now)) return false;
  if (IsMoving(id, reservation)) return true;
  const JobEntry* entry = FindJob(id.job);
  return entry != nullptr && !IsFinal(entry->job.state()) && now < reservation.until;
}

void Cell::DropCapacityReservation(const TaskId& id) {
  const auto reservation = capacity_reservations_.find(id);
  if (reservation == capacity_reservations_.end()) return;
  if (Runner* holder = FindRunner(reservation->second.runner)) {
    holder->reserved_capacity -= reservation->second.load;
    newly_open_runners_.insert(holder->key);
    schedule_requested_ = true;
  }
  capacity_reservations_.erase(reservation);
}

/// Drops the reservations of the origin's tasks that have not been stopped.
void Cell::DropCapacityReservationsOf(const Runner& origin) {
  std::vector<TaskId> dropped;
  for (const auto& [id, reservation] : capacity_reservations_) {
    if (reservation.origin == origin.key && !IsMoving(id, reservation)) dropped.push_back(id);
  }
  for (const TaskId& id : dropped) DropCapacityReservation(id);
}

void Cell::DropExpiredCapacityReservations(Instant now) {
  std::vector<TaskId> expired;
  for (const auto& [id, reservation] : capacity_reservations_) {
    if (!IsReservationValid(id, reservation, now)) expired.push_back(id);
  }
  for (const TaskId& id : expired) DropCapacityReservation(id);
}

/// Returns the capacity that the task could use, which includes its own reservation.
Resources Cell::FreeForTask(const Runner& runner, const TaskId& id) const {
  Resources free = runner.Free();
  const auto reservation = capacity_reservations_.find(id);
  if (reservation != capacity_reservations_.end() && reservation->second.runner == runner.key) {
    free += reservation->second.load;
  }
  return free;
}

}  // namespace wigeonlane
