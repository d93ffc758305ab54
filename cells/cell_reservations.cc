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

}  // namespace

CallAnswer Cell::ReserveRunner(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner == nullptr || !runner->claimed) return {CallVerdict::kNotReady};
  if (time.now >= runner->reserved_until) {
    LogDecision(
        "reserve_runner",
        {{"runner", runner_id}, {"cell", Concat(number_)}, {"runs", Concat(runner->runs.size())}});
  }
  runner->reserved_until = time.now + kReservation;
  for (const auto& [task, run] : runner->runs) {
    if (MayEnd(*runner, task, Ending::kWholeRunner, time.now)) continue;
    Evacuate(runner, time.now);
    return {CallVerdict::kNotReady};
  }
  runner->reserved_until = time.now + kOrderReach;
  runner->released_until = ReleaseEnd(time.now);
  return {CallVerdict::kReady};
}

/// When a machine that was released at `now` is known to be up or down: if nobody says that it went
/// down, a look at its runner has to time out.
Instant Cell::ReleaseEnd(Instant now) const {
  return now + kOrderReach + options_.look_gap + options_.look_wait + options_.order_timeout;
}

void Cell::RunnerGone(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  if (key != key_by_id_.end()) LoseRunner(key->second, "its machine was taken down", time);
}

/// Stops one lasting task of a runner that holds more tasks of a step than may be missing at once,
/// so that it starts elsewhere.
void Cell::Evacuate(Runner* runner, Instant now) {
  for (const auto& [task, run] : runner->runs) {
    if (!run.lasting || run.phase != RunPhase::kRunning) continue;
    if (MayEnd(*runner, task, Ending::kWholeRunner, now)) continue;
    if (!MayEnd(*runner, task, Ending::kOneTask, now)) continue;
    LogDecision("evacuate", {{"job", std::string(task.job.text())},
                             {"task", task.ToString()},
                             {"runner", runner->listing.id}});
    return RequestStop(runner, task, now);
  }
}

/// Whether ending a run is within what its step may miss. Only tasks that last are ended so; the
/// others are waited for.
bool Cell::MayEnd(const Runner& runner, const TaskId& id, Ending ending, Instant now) {
  JobEntry* entry = FindJob(id.job);
  if (entry == nullptr || IsFinal(entry->job.state())) return true;
  const StepSpec& spec = entry->job.spec().steps[id.step];
  if (!spec.long_running) return false;
  // A successor waits for what was let go before it was dealt the cell.
  if (!HasAuthority(now + options_.authority - kLeastMembership)) return false;
  // What a predecessor released, or was stopping, may go down at any time and is not known here.
  if (entry->inherited && now < ReleaseEnd(restored_at_)) return false;
  const auto& tasks = entry->job.occurrences()[id.occurrence].steps[id.step].tasks;
  std::uint32_t away = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (index == id.index) continue;
    Runner* host = FindRunner(tasks[index].runner);
    const TaskId other{id.job, id.occurrence, id.step, index};
    const LiveRun* run = host == nullptr ? nullptr : FindRun(host, other, tasks[index].last_run);
    const bool at_work = run != nullptr && run->phase == RunPhase::kRunning &&
                         run->percent == PaceControl::kFull && host->looks_failed == 0 &&
                         now - host->clock_at < options_.look_wait * 2;
    // A runner that was released before may be taken down at any time.
    const bool with_it =
        ending == Ending::kWholeRunner && host != nullptr && host->key == runner.key;
    const bool going = with_it || (host != nullptr && now < host->released_until);
    if (!at_work || going) ++away;
  }
  return away < std::max(spec.may_be_missing, 1U);
}

}  // namespace wigeonlane
