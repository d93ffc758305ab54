/// Lasting tasks that have to leave a runner: room is held for all of them before one is stopped.
#include <algorithm>
#include <limits>
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"
#include "scheduling/placement.h"

namespace wigeonlane {
namespace {

/// As long as the reservation of the runner to be left, which is renewed together with the hold.
constexpr std::chrono::milliseconds kHold{2'000};

bool SameStep(const TaskId& a, const TaskId& b) {
  return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

}  // namespace

/// Holds room for the lasting tasks that have to leave; false when there is none for one of them,
/// and then none is held.
bool Cell::ReserveCapacityForEvacuation(const Runner& runner, Instant now) {
  std::vector<TaskId> lasting;
  for (const auto& [task, run] : runner.runs) {
    if (run.lasting && run.phase != RunPhase::kStopping) lasting.push_back(task);
  }
  std::sort(lasting.begin(), lasting.end());
  std::vector<std::vector<TaskId>> steps;
  for (const TaskId& task : lasting) {
    if (steps.empty() || !SameStep(steps.back().front(), task)) steps.emplace_back();
    steps.back().push_back(task);
  }
  // Large tasks first: what they leave over is of use to the small ones.
  const auto size = [&](const std::vector<TaskId>& tasks) {
    return MissingShare(runner.listing.capacity, {}, runner.runs.at(tasks.front()).load);
  };
  std::stable_sort(steps.begin(), steps.end(),
                   [&](const auto& a, const auto& b) { return size(a) > size(b); });
  for (std::vector<TaskId>& tasks : steps) {
    if (ReserveCapacityForStep(runner, std::move(tasks), now)) continue;
    DropCapacityReservationsOf(runner);
    return false;
  }
  return true;
}

/// Holds room for as many of a step's tasks on a runner as the step cannot miss at once; false when
/// there is too little. Room for as many as are away elsewhere is welcome, but they may come back.
bool Cell::ReserveCapacityForStep(const Runner& runner, std::vector<TaskId> tasks, Instant now) {
  const JobEntry* entry = FindJob(tasks.front().job);
  if (entry == nullptr || IsFinal(entry->job.state())) return true;
  const TaskId& first = tasks.front();
  const std::uint32_t may_miss = std::max(entry->job.spec().steps[first.step].max_unavailable, 1U);
  const auto count = static_cast<std::uint32_t>(tasks.size());
  const auto& all = entry->job.occurrences()[first.occurrence].steps[first.step].tasks;
  std::uint32_t away = 0;
  for (std::uint32_t index = 0; index < all.size(); ++index) {
    const TaskId id{first.job, first.occurrence, first.step, index};
    if (all[index].phase == TaskPhase::kWaiting && !capacity_reservations_.contains(id)) ++away;
  }
  const std::uint32_t must_leave = count > may_miss ? count - may_miss : 0;
  const std::uint32_t should_leave =
      count + away > may_miss ? std::min(count, count + away - may_miss) : 0;
  std::stable_partition(tasks.begin(), tasks.end(),
                        [&](const TaskId& id) { return capacity_reservations_.contains(id); });
  std::uint32_t found = 0;
  for (const TaskId& id : tasks) {
    if (found < should_leave && ReserveCapacity(*entry, id, runner, now)) {
      ++found;
    } else {
      DropCapacityReservation(id);
    }
  }
  return found >= must_leave;
}

/// Holds room for one task, or goes on holding it.
bool Cell::ReserveCapacity(const JobEntry& entry, const TaskId& id, const Runner& origin,
                           Instant now) {
  const auto held = capacity_reservations_.find(id);
  if (held != capacity_reservations_.end()) {
    held->second.until = now + kHold;
    if (IsReservationValid(id, held->second, now)) return true;
    DropCapacityReservation(id);
  }
  Runner* holder = ChooseEvacuationTarget(entry, id, {origin.key}, now);
  if (holder == nullptr) return false;
  AddCapacityReservation(id, entry.job.spec().steps[id.step].Load(), origin, holder, now);
  return true;
}

void Cell::AddCapacityReservation(const TaskId& id, const Resources& load, const Runner& origin,
                                  Runner* holder, Instant now) {
  holder->held += load;
  capacity_reservations_[id] = {holder->key, origin.key, load, now + kHold};
  LogDecision("hold_room", {{"job", std::string(id.job.text())},
                            {"task", id.ToString()},
                            {"from", origin.listing.id},
                            {"runner", holder->listing.id},
                            {"held", Concat(capacity_reservations_.size())}});
}

/// Holds elsewhere what a runner holds for tasks that have not been stopped, so that it can be
/// reserved itself; false when something has to stay.
bool Cell::MoveCapacityReservationsFrom(const Runner& holder, Instant now) {
  std::vector<TaskId> ids;
  for (const auto& [id, room] : capacity_reservations_) {
    if (room.runner == holder.key) ids.push_back(id);
  }
  for (const TaskId& id : ids) {
    const CapacityReservation room = capacity_reservations_.at(id);
    const JobEntry* entry = FindJob(id.job);
    const Runner* origin = FindRunner(room.origin);
    if (entry == nullptr || origin == nullptr || IsMoving(id, room)) return false;
    Runner* other = ChooseEvacuationTarget(*entry, id, {origin->key, holder.key}, now);
    if (other == nullptr) return false;
    DropCapacityReservation(id);
    AddCapacityReservation(id, room.load, *origin, other, now);
  }
  return true;
}

/// A lasting task that is away goes before those that are still at work: it gets what is held for
/// one of them.
Runner* Cell::TakeOverReservedCapacity(const JobEntry& entry, const TaskId& id, Instant now) {
  std::vector<TaskId> others;
  for (const auto& [other, room] : capacity_reservations_) {
    if (other != id && !IsMoving(other, room)) others.push_back(other);
  }
  const std::string rack = RackOfStep(entry, id.occurrence, id.step);
  for (const TaskId& other : others) {
    const CapacityReservation room = capacity_reservations_.at(other);
    Runner* holder = FindRunner(room.runner);
    if (holder == nullptr) continue;
    holder->held -= room.load;
    capacity_reservations_.erase(other);
    newly_open_runners_.insert(holder->key);
    Runner* runner = ChooseRunner(entry, id, rack, now);
    if (runner != nullptr) return runner;
    holder->held += room.load;
    capacity_reservations_[other] = room;
  }
  return nullptr;
}

/// A runner that has room for a task once its short tasks have ended.
Runner* Cell::ChooseEvacuationTarget(const JobEntry& entry, const TaskId& id,
                                     const std::set<RunnerKey>& excluded, Instant now) {
  const StepSpec& step = entry.job.spec().steps[id.step];
  // Nothing of such a step could be started now: a gang starts whole or not at all.
  if (step.gang || IsBlocked(entry)) return nullptr;
  const Resources load = step.Load();
  const std::string rack = RackOfStep(entry, id.occurrence, id.step);
  Runner* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (auto& [key, runner] : runners_) {
    if (excluded.contains(key) || runner.listing.service != entry.job.policy().service) continue;
    if (!runner.IsOpen(now) || !runner.HasLabel(step.required_label)) continue;
    if (!runner.FreeWithoutShortTasks().Holds(load) || runner.IsEarmarkedForOther(id, now))
      continue;
    if (!MayHost(entry, runner, id, now)) continue;
    const double cost = CostOf(entry, runner, id, rack);
    if (cost >= best_cost) continue;
    best_cost = cost;
    best = &runner;
  }
  return best;
}

/// Stops one task whose room is free by now.
void Cell::Evacuate(Runner* runner, Instant now) {
  if (!HasAuthority(now)) return;
  for (const auto& [task, room] : capacity_reservations_) {
    if (room.origin != runner->key) continue;
    const auto run = runner->runs.find(task);
    if (run == runner->runs.end() || run->second.phase != RunPhase::kRunning) continue;
    const Runner* holder = FindRunner(room.runner);
    if (!holder->IsOpen(now) || !FreeForTask(*holder, task).Holds(room.load)) continue;
    if (!MayStop(*runner, task, StopScope::kOneTask, now)) continue;
    LogDecision("evacuate", {{"job", std::string(task.job.text())},
                             {"task", task.ToString()},
                             {"runner", runner->listing.id},
                             {"to", holder->listing.id}});
    runner->evacuation_blocked_since = now;
    return RequestStop(runner, task, now);
  }
}

/// Whether the task has been stopped so that it starts where its room is.
bool Cell::IsMoving(const TaskId& id, const CapacityReservation& room) {
  JobEntry* entry = FindJob(id.job);
  const TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(id);
  if (task == nullptr || IsFinal(entry->job.state())) return false;
  if (task->phase == TaskPhase::kWaiting) return true;
  Runner* origin = FindRunner(room.origin);
  if (origin == nullptr || task->runner != room.origin) return false;
  const LiveRun* run = FindRun(origin, id, task->last_run);
  return run != nullptr && run->phase == RunPhase::kStopping;
}

bool Cell::IsReservationValid(const TaskId& id, const CapacityReservation& room, Instant now) {
  const Runner* holder = FindRunner(room.runner);
  if (holder == nullptr || !holder->IsAvailable(now) || !holder->health.Admits(now)) return false;
  if (IsMoving(id, room)) return true;
  const JobEntry* entry = FindJob(id.job);
  return entry != nullptr && !IsFinal(entry->job.state()) && now < room.until;
}

void Cell::DropCapacityReservation(const TaskId& id) {
  const auto held = capacity_reservations_.find(id);
  if (held == capacity_reservations_.end()) return;
  if (Runner* holder = FindRunner(held->second.runner)) {
    holder->held -= held->second.load;
    newly_open_runners_.insert(holder->key);
    schedule_requested_ = true;
  }
  capacity_reservations_.erase(held);
}

/// Gives up what is held for tasks that have not been stopped.
void Cell::DropCapacityReservationsOf(const Runner& origin) {
  std::vector<TaskId> dropped;
  for (const auto& [id, room] : capacity_reservations_) {
    if (room.origin == origin.key && !IsMoving(id, room)) dropped.push_back(id);
  }
  for (const TaskId& id : dropped) DropCapacityReservation(id);
}

void Cell::DropExpiredCapacityReservations(Instant now) {
  std::vector<TaskId> lapsed;
  for (const auto& [id, room] : capacity_reservations_) {
    if (!IsReservationValid(id, room, now)) lapsed.push_back(id);
  }
  for (const TaskId& id : lapsed) DropCapacityReservation(id);
}

/// What the task could take; its own room is not held from it.
Resources Cell::FreeForTask(const Runner& runner, const TaskId& id) const {
  Resources free = runner.Free();
  const auto held = capacity_reservations_.find(id);
  if (held != capacity_reservations_.end() && held->second.runner == runner.key)
    free += held->second.load;
  return free;
}

}  // namespace wigeonlane
