/// Runners of a cell: discovery, looks, starts, stops, reservations and losses.
#include <algorithm>
#include <utility>

#include "cells/cell.h"
#include "cells/record_keys.h"
#include "core/codec.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A runner that could not be reached gets no start for this long.
constexpr std::chrono::milliseconds kUnreachablePause{300};
/// A runner that refused for want of room gets no start before its next report is due.
constexpr std::chrono::milliseconds kNoRoomPause{150};
/// A runner that refused because it is not well.
constexpr std::chrono::milliseconds kUnhealthyPause{500};
/// An order that the runner cannot read will not be read at once afterwards either.
constexpr std::chrono::milliseconds kInvalidPause{1'000};

/// A reservation that is not renewed lapses: whoever asked for it is gone.
constexpr std::chrono::milliseconds kReservation{2'000};

std::int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

Runner* Cell::FindRunner(RunnerKey key) {
  const auto found = runners_.find(key);
  return found == runners_.end() ? nullptr : &found->second;
}

const Runner* Cell::FindRunner(RunnerKey key) const {
  const auto found = runners_.find(key);
  return found == runners_.end() ? nullptr : &found->second;
}

Runner* Cell::AddRunner(const RunnerListing& listing, Instant now) {
  const RunnerKey key = ++last_key_;
  Runner& runner = runners_[key];
  runner.key = key;
  runner.listing = listing;
  runner.next_look = now;
  key_by_id_[listing.id] = key;
  ForbidUnanswered(&runner, now);
  return &runner;
}

void Cell::NoteUnanswered(const std::string& runner_id, const TaskId& task, RunNumber run,
                          Instant now) {
  unanswered_[runner_id].push_back({task, run, now + options_.longest_delay});
}

/// Has the runner refuse starts that a former life of it left unanswered, should they still come.
void Cell::ForbidUnanswered(Runner* runner, Instant now) {
  const auto found = unanswered_.find(runner->listing.id);
  if (found == unanswered_.end()) return;
  std::erase_if(found->second, [&](const UnansweredStart& start) { return start.until <= now; });
  for (const UnansweredStart& start : found->second) {
    LiveRun run;
    run.run = start.run;
    run.phase = RunPhase::kStopping;
    AddRun(runner, start.task, run);
    runner->lease_end = now + options_.StrayLeaseBound();
  }
  if (found->second.empty()) unanswered_.erase(found);
}

void Cell::SetRunners(const std::vector<RunnerListing>& listings, CellTime time) {
  for (auto& [key, runner] : runners_) runner.listed = false;
  for (const RunnerListing& listing : listings) UpdateListing(listing, time);
  schedule_wanted_ = true;
}

void Cell::UpdateListing(const RunnerListing& listing, CellTime time) {
  const auto known = key_by_id_.find(listing.id);
  if (known == key_by_id_.end()) {
    AddRunner(listing, time.now);
    return;
  }
  Runner* runner = FindRunner(known->second);
  if (listing.born > runner->listing.born) return ReplaceLife(runner, listing, time);
  if (listing.born < runner->listing.born) return;  // An entry of a life that is over.
  if (listing.draining && !runner->listing.draining) {
    LogDecision("runner_draining", {{"runner", listing.id}, {"cell", Concat(number_)}});
  }
  runner->listing = listing;
  runner->listed = true;
}

/// The former life is over and so is all that it listed. Other starts may have reached the new
/// life, or may still: they become runs of it that must be stopped before their tasks are placed
/// again.
void Cell::ReplaceLife(Runner* old_life, const RunnerListing& listing, CellTime time) {
  std::vector<std::pair<TaskId, LiveRun>> unanswered;
  for (const auto& [task, run] : old_life->runs) {
    if (!run.listed) unanswered.emplace_back(task, run);
  }
  const RunnerKey old_key = old_life->key;
  Runner* runner = AddRunner(listing, time.now);
  // Orders of a predecessor may have reached the new life as well.
  if (unsettled_.contains(old_key)) {
    unsettled_.insert(runner->key);
    runner->predecessor_end = FindRunner(old_key)->predecessor_end;
  }
  for (auto& [task, run] : unanswered) {
    RemoveRun(FindRunner(old_key), task);
    NoteUnanswered(listing.id, task, run.run, time.now);
    run.phase = RunPhase::kStopping;
    run.stop_under_way = run.stop_confirmed = false;
    run.known_since = RunnerClock{0};
    runner->lease_end = time.now + options_.StrayLeaseBound();
    AddRun(runner, task, run);
    if (JobEntry* entry = FindJob(task.job)) {
      TaskState* state = entry->job.FindTask(task);
      if (state != nullptr && state->runner == old_key) state->runner = runner->key;
    }
  }
  LoseRunner(old_key, "a new life under its id", time);
  key_by_id_[listing.id] = runner->key;
}

void Cell::LoseRunner(RunnerKey key, std::string_view why, CellTime time) {
  Runner* runner = FindRunner(key);
  if (runner == nullptr) return;
  ++counters_.runners_lost;
  LogDecision("runner_lost",
              {{"runner", runner->listing.id},
               {"cell", Concat(number_)},
               {"why", std::string(why)},
               {"runs", Concat(runner->runs.size())},
               {"lease_over_ms", runner->lease_end == Instant{}
                                     ? std::string("none")
                                     : Concat(Millis(time.now - runner->lease_end))}});
  while (!runner->runs.empty()) {
    const auto [task, run] = *runner->runs.begin();
    if (!run.listed) NoteUnanswered(runner->listing.id, task, run.run, time.now);
    FreeTask(runner, task, why, time);
  }
  const auto by_id = key_by_id_.find(runner->listing.id);
  if (by_id != key_by_id_.end() && by_id->second == key) key_by_id_.erase(by_id);
  unsettled_.erase(key);
  runners_.erase(key);
  StoreRoster();
  schedule_wanted_ = true;
}

/// Writes the runners that a successor must hear from before it may assume their tasks gone.
void Cell::StoreRoster() {
  std::vector<RunnerListing> roster;
  const BatchNumber batch = commits_.last_batch() + 1;
  for (auto& [key, runner] : runners_) {
    if (!runner.claimed && !runner.rostered) continue;
    if (!runner.rostered) runner.roster_batch = batch;
    roster.push_back(runner.listing);
  }
  commits_.Put(std::string(kRosterKey), Encode(roster));
}

void Cell::AdvanceRunners(CellTime time) {
  std::vector<RunnerKey> lost;
  for (auto& [key, runner] : runners_) {
    const bool lease_over = time.now >= runner.lease_end;
    const bool predecessor_over = !unsettled_.contains(key) || time.now >= runner.predecessor_end;
    const bool silent = runner.looks_failed > 0 || !runner.listed;
    const bool idle = runner.runs.empty() && !unsettled_.contains(key);
    if (silent && lease_over && predecessor_over && (!idle || !runner.listed)) {
      lost.push_back(key);
      continue;
    }
    AdvanceStops(&runner, time);
    MaybeLook(&runner, time);
  }
  for (const RunnerKey key : lost) LoseRunner(key, "silent until its lease ended", time);
}

void Cell::AdvanceStops(Runner* runner, CellTime time) {
  for (auto& [task, run] : runner->runs) {
    if (run.phase != RunPhase::kStopping || run.stop_under_way) continue;
    const auto pause =
        run.stop_confirmed ? options_.stop_grace + options_.look_wait : options_.stop_repeat;
    if (run.stop_sent != Instant{} && time.now - run.stop_sent < pause) continue;
    RequestStop(runner, task, time.now);
  }
}

void Cell::MaybeLook(Runner* runner, CellTime time) {
  const bool wanted =
      !runner->claimed || !runner->runs.empty() || runner->told_end < runner->stored_end;
  if (!wanted || runner->looking || time.now < runner->next_look) return;
  if (runner->stored_end < runner->seen_end && runner->looks_failed == 0) return;
  if (runner->claimed && runner->runs.empty() && !runner->listed) return;
  LookOrder look;
  look.runner = runner->key;
  look.forget_up_to = runner->stored_end;
  // A look that is not answered may extend the lease all the same. A silent runner is asked without
  // a lease, so that the one it has runs out and its tasks can be placed elsewhere.
  if (runner->claimed && runner->looks_failed == 0 && HasAuthority(time.now)) {
    look.lease = runner->EstimatedClock(time.now) + options_.lease;
    runner->GrantLease(*look.lease, options_);
  }
  if (runner->claimed && runner->looks_failed == 0 && !runner->runs.empty()) {
    const bool watched = runner->watched;
    look.wait = watched ? options_.watch_wait : options_.look_wait;
  }
  runner->looking = true;
  ++counters_.looks;
  outbox_.looks.push_back(look);
}

void Cell::Looked(const LookOrder& order, OrderAnswer answer,
                  const std::optional<RunnerReport>& report, CellTime time) {
  const RunnerKey key = order.runner;
  Runner* runner = FindRunner(key);
  if (runner == nullptr) return;
  runner->looking = false;
  if (answer == OrderAnswer::kFenced) return FencedBy(key);
  if (answer == OrderAnswer::kWrongLife) {
    return LoseRunner(key, "another life at its address", time);
  }
  if (!report) {
    if (runner->looks_failed++ == 0) {
      LogDecision("look_failed", {{"runner", runner->listing.id},
                                  {"cell", Concat(number_)},
                                  {"why", std::string(OrderAnswerName(answer))},
                                  {"runs", Concat(runner->runs.size())}});
    }
    runner->next_look = time.now + options_.look_retry;
    return;
  }
  if (report->born != runner->listing.born) {
    RunnerListing listing = runner->listing;
    listing.born = report->born;
    ReplaceLife(runner, listing, time);
    runner = FindRunner(key_by_id_[listing.id]);
  } else if (report->forgot) {
    runner->told_end = std::max(runner->told_end, order.forget_up_to);
  }
  TakeReport(runner, *report, time);
}

LiveRun* Cell::FindRun(Runner* runner, const TaskId& task, RunNumber run) {
  const auto found = runner->runs.find(task);
  return found == runner->runs.end() || found->second.run != run ? nullptr : &found->second;
}

void Cell::AddRun(Runner* runner, const TaskId& task, LiveRun run) {
  RemoveRun(runner, task);
  runner->used += run.load;
  if (run.lasting) ++runner->lasting_runs;
  runner->runs.emplace(task, run);
}

void Cell::RemoveRun(Runner* runner, const TaskId& task) {
  const auto found = runner->runs.find(task);
  if (found == runner->runs.end()) return;
  runner->used -= found->second.load;
  if (found->second.lasting) --runner->lasting_runs;
  runner->runs.erase(found);
}

/// The run is over for sure: its room is free and its task may be placed again.
void Cell::FreeTask(Runner* runner, const TaskId& id, std::string_view why, CellTime time) {
  RemoveRun(runner, id);
  JobEntry* entry = FindJob(id.job);
  TaskState* task = entry == nullptr ? nullptr : entry->job.FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kPlaced || task->runner != runner->key) return;
  if (!IsFinal(entry->job.state())) {
    LogDecision("free", {{"job", std::string(id.job.text())},
                         {"task", id.ToString()},
                         {"runner", runner->listing.id},
                         {"why", std::string(why)},
                         {"report_age_ms", Concat(Millis(time.now - runner->clock_at))}});
  }
  entry->job.Unplace(id);
  schedule_wanted_ = true;
}

void Cell::RequestStop(Runner* runner, const TaskId& task, Instant now) {
  const auto found = runner->runs.find(task);
  if (found == runner->runs.end()) return;
  LiveRun& run = found->second;
  run.phase = RunPhase::kStopping;
  if (run.stop_under_way) return;
  run.stop_under_way = true;
  run.stop_confirmed = false;
  run.stop_sent = now;
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

CallAnswer Cell::ReserveRunner(const std::string& runner_id, CellTime time) {
  const auto key = key_by_id_.find(runner_id);
  Runner* runner = key == key_by_id_.end() ? nullptr : FindRunner(key->second);
  if (runner == nullptr || !runner->claimed || !settled()) return {CallVerdict::kNotReady};
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
  runner->released_until = time.now + kReservation;
  return {CallVerdict::kReady};
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

void Cell::StartAnswered(const StartOrder& order, OrderOutcome outcome, CellTime time) {
  if (outcome.answer == OrderAnswer::kFenced) return FencedBy(order.runner);
  Runner* runner = FindRunner(order.runner);
  if (runner == nullptr) return;
  LiveRun* run = FindRun(runner, order.task, order.run);
  if (outcome.answer != OrderAnswer::kDone) {
    LogDecision("start_answer", {{"job", std::string(order.task.job.text())},
                                 {"task", order.task.ToString()},
                                 {"run", Concat(order.run)},
                                 {"runner", runner->listing.id},
                                 {"answer", std::string(OrderAnswerName(outcome.answer))}});
    ++counters_.starts_refused;
  }
  if (outcome.answer == OrderAnswer::kWrongLife) {
    return LoseRunner(order.runner, "another life at its address", time);
  }
  if (run == nullptr) return;
  switch (outcome.answer) {
    case OrderAnswer::kDone:
      if (run->phase == RunPhase::kStarting) run->phase = RunPhase::kRunning;
      if (outcome.clock) run->known_since = std::max(run->known_since, *outcome.clock);
      return;
    case OrderAnswer::kUnanswered:
      ++counters_.starts_unanswered;
      NoteUnanswered(runner->listing.id, order.task, order.run, time.now);
      runner->blocked_until = time.now + kUnreachablePause;
      RequestStop(runner, order.task, time.now);
      return;
    case OrderAnswer::kNotSent:
      runner->blocked_until = time.now + kUnreachablePause;
      break;
    case OrderAnswer::kNoRoom:
      runner->blocked_until = time.now + kNoRoomPause;
      break;
    case OrderAnswer::kUnhealthy:
      runner->blocked_until = time.now + kUnhealthyPause;
      runner->health.NoteFailure(order.task.job, time.now);
      break;
    case OrderAnswer::kNoTicket:
      if (JobEntry* entry = FindJob(order.task.job)) {
        entry->admissions[{order.task.occurrence, order.task.step}].DropTicket(order.runner);
      }
      break;
    case OrderAnswer::kInvalid:
      runner->blocked_until = time.now + kInvalidPause;
      break;
    default:
      break;
  }
  FreeTask(runner, order.task, OrderAnswerName(outcome.answer), time);
}

void Cell::StopAnswered(const StopOrder& order, OrderOutcome outcome, CellTime time) {
  if (outcome.answer == OrderAnswer::kFenced) return FencedBy(order.runner);
  if (outcome.answer == OrderAnswer::kWrongLife) {
    return LoseRunner(order.runner, "another life at its address", time);
  }
  Runner* runner = FindRunner(order.runner);
  LiveRun* run = runner == nullptr ? nullptr : FindRun(runner, order.task, order.run);
  if (run == nullptr) return;
  run->stop_under_way = false;
  if (outcome.answer != OrderAnswer::kDone) return;
  run->stop_confirmed = true;
  if (outcome.clock) run->known_since = std::max(run->known_since, *outcome.clock);
}

}  // namespace wigeonlane
