/// Placement: decides which tasks start now and on which runners.
#include <algorithm>
#include <limits>
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"
#include "scheduling/placement.h"

namespace wigeonlane {
namespace {

/// Run numbers of a term begin at its token times this, above all numbers that predecessors used.
constexpr RunNumber kRunsPerTerm = 1'000;
/// Interval at which all waiting jobs are ranked again, because every finished task moves its
/// queue's estimate by a twentieth.
constexpr std::chrono::milliseconds kRerankInterval{1'000};
/// Period of an earmark. It is renewed every 200 ms; once its task has started elsewhere, the
/// runner soon accepts other tasks again.
constexpr std::chrono::milliseconds kEarmarkPeriod{500};
/// At most one runner in this many is earmarked, so that short tasks keep starting.
constexpr std::size_t kRunnersPerEarmark = 4;
/// A task that failed on a runner is not placed there for this long. A long-running task may be
/// unavailable for 9 s at most (the platform's rule on lost tasks).
constexpr std::chrono::milliseconds kFailedRunnerBackoff{1'000};

bool FailedLately(const TaskState& task, Instant now) {
  return task.failed_on != kNoRunner && now < task.failed_at + kFailedRunnerBackoff;
}

}  // namespace

RunNumber Cell::NextRun(const JobEntry& entry, RunNumber last) const {
  const RunNumber base = entry.inherited ? token_ * kRunsPerTerm : 0;
  return std::max(base, last) + 1;
}

/// Ranks the jobs again that have changed, and periodically all jobs, because the estimates of
/// their queues change.
void Cell::RankStaleJobs(Instant now) {
  if (now >= rank_all_at_) {
    RerankAllJobs();
    rank_all_at_ = now + kRerankInterval;
  }
  for (const JobId& id : waiting_.WithExpiredRank(now)) jobs_to_rank_.insert(id);
  for (const JobId& id : std::exchange(jobs_to_rank_, {})) RerankJob(id, now);
}

void Cell::RerankJob(const JobId& id, Instant now) {
  JobEntry* entry = FindJob(id);
  const bool waits = entry != nullptr && entry->accepted && !IsFinal(entry->job.state()) &&
                     HasStartableTasks(*entry);
  if (!waits) {
    if (entry != nullptr) entry->nothing_started_since.reset();
    return waiting_.Remove(id);
  }
  const Job& job = entry->job;
  const double ratio = estimates_.Ratio(entry->estimate_key);
  JobDemand demand;
  demand.priority = job.policy().priority;
  demand.long_running = job.spec().steps.front().long_running;
  demand.standing = StandingOf(*entry);
  demand.accepted = entry->accepted_at;
  demand.objective = Objective(job, ratio);
  demand.remaining_critical_path = RemainingCriticalPath(job, ratio);
  demand.remaining_work = RemainingCoreSeconds(job, ratio);
  waiting_.Set(id, RankJob(demand, now), RankExpiresAt(demand, now));
}

/// Whether tasks of the job are ready that no runner out of reach can be running.
bool Cell::HasStartableTasks(const JobEntry& entry) const {
  const Job& job = entry.job;
  if (!IsBlocked(entry)) return job.ReadyTasks() > 0;
  for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
    const auto& steps = job.occurrences()[occurrence].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      if (steps[step].waiting == 0 || !job.StepReady(occurrence, step)) continue;
      const auto& tasks = steps[step].tasks;
      const bool any = std::any_of(tasks.begin(), tasks.end(), [](const TaskState& task) {
        return task.phase == TaskPhase::kWaiting && task.accounted_for;
      });
      if (any) return true;
    }
  }
  return false;
}

/// Whether a waiting task runs nowhere and has no result that this owner does not know of. If only
/// a confirmation of the ownership is missing, one is requested.
bool Cell::MayStart(const JobEntry& entry, const TaskState& task, Instant now) {
  if (MayRunOutOfReach(entry, task)) return false;
  if (!NeedsConfirmation(task, now)) return true;
  ownership_proof_.Await(task.lost_run->ended_by, now);
  return false;
}

void Cell::Schedule(CellTime time) {
  for (const JobId& id : timed_jobs_) {
    if (!FindJob(id)->job.CreateDueOccurrences(time.wall)) continue;
    jobs_to_rank_.insert(id);
    schedule_requested_ = true;
  }
  if (time.now >= reschedule_at_) {
    rejected_sizes_.Clear();
    schedule_requested_ = true;
    reschedule_at_ = Instant::max();
  }
  if (!schedule_requested_ || !HasAuthority(time.now) || !ListingsAreRecent(time.now)) return;
  schedule_requested_ = false;
  UpdateTeamStandings(time.now);
  RankStaleJobs(time.now);
  team_uncertain_ = UncertainUses();
  limited_by_teams_ = false;
  std::fill(team_blocked_.begin(), team_blocked_.end(), Resources{});
  std::fill(team_units_.begin(), team_units_.end(), Resources{});
  std::vector<JobId> placed;
  for (const auto& [rank, id] : waiting_.by_rank()) {
    JobEntry* entry = FindJob(id);
    PlaceJob(entry, time);
    if (entry->job.ReadyTasks() == 0) {
      placed.push_back(id);
      entry->nothing_started_since.reset();
    } else if (!entry->nothing_started_since) {
      entry->nothing_started_since = time.now;
    }
  }
  for (const JobId& id : placed) waiting_.Remove(id);
  newly_open_runners_.clear();
  if (waiting_.empty()) {
    reschedule_at_ = Instant::max();
  } else {
    reschedule_at_ = std::min(reschedule_at_, time.now + options_.schedule_retry_interval);
  }
}

void Cell::PlaceJob(JobEntry* entry, CellTime time) {
  const Job& job = entry->job;
  entry->limited_by_team = false;
  for (std::uint32_t occurrence = 0; occurrence < job.occurrences().size(); ++occurrence) {
    if (job.occurrences()[occurrence].started_early) continue;
    const auto steps = static_cast<std::uint32_t>(job.occurrences()[occurrence].steps.size());
    for (std::uint32_t step = 0; step < steps; ++step) {
      const StepProgress& progress = job.occurrences()[occurrence].steps[step];
      if (progress.waiting == 0 || !job.StepReady(occurrence, step)) continue;
      if (job.spec().steps[step].gang) {
        PlaceGang(entry, occurrence, step, time);
      } else {
        PlaceStep(entry, occurrence, step, time);
      }
    }
  }
}

void Cell::PlaceStep(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step, CellTime time) {
  const bool long_running = entry->job.spec().steps[step].long_running;
  if (!long_running && LacksCapacityFor(*entry, entry->job.spec().steps[step])) {
    return RequestAdvice(entry, occurrence, step, NoRunnerReason::kNoCapacity, time.now);
  }
  const auto& tasks = entry->job.occurrences()[occurrence].steps[step].tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase != TaskPhase::kWaiting || time.now < tasks[index].earliest_start) {
      continue;
    }
    if (!MayStart(*entry, tasks[index], time.now)) continue;
    const TaskId id{entry->job.id(), occurrence, step, index};
    const RunnerChoice choice =
        ChooseRunner(*entry, id, RackOfStep(*entry, occurrence, step), time.now);
    Runner* runner = choice.runner;
    if (runner == nullptr && long_running) runner = TakeOverReservedCapacity(*entry, id, time.now);
    const Resources load = entry->job.spec().steps[step].Load();
    if (runner != nullptr && !FitsTeamLimit(entry->team, load, load)) {
      return RecordLimited(entry, load, load,
                           entry->job.occurrences()[occurrence].steps[step].waiting);
    }
    if (runner != nullptr) {
      Start(entry, id, runner, NextRun(*entry, tasks[index].last_run), time);
      continue;
    }
    RequestAdvice(entry, occurrence, step, choice.reason, time.now);
    if (long_running) {
      TaskState* task = entry->job.FindTask(id);
      if (!task->no_runner_since) task->no_runner_since = time.now;
      const bool waits_for_ticket = choice.reason == NoRunnerReason::kNoTicket;
      if (!waits_for_ticket && !capacity_reservations_.contains(id)) {
        EarmarkCapacity(*entry, id, time.now);
        PreemptFor(*entry, id, time.now);
      }
      continue;
    }
    // The other tasks of the step need the same capacity, and may have failed elsewhere.
    if (!FailedLately(tasks[index], time.now)) return;
  }
}

/// Starts all tasks of a gang or none, once all members of an earlier run have ended.
void Cell::PlaceGang(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step, CellTime time) {
  const StepProgress& progress = entry->job.occurrences()[occurrence].steps[step];
  if (progress.waiting != progress.tasks.size()) return;
  const bool may_start =
      std::all_of(progress.tasks.begin(), progress.tasks.end(),
                  [&](const TaskState& task) { return MayStart(*entry, task, time.now); });
  if (!may_start) return;
  std::vector<std::pair<TaskId, Runner*>> chosen;
  RunNumber last = 0;
  std::string checkpoint;
  const Resources load = entry->job.spec().steps[step].Load();
  std::string rack = RackOfStep(*entry, occurrence, step);
  RunnerChoice choice;
  for (std::uint32_t index = 0; index < progress.tasks.size(); ++index) {
    const TaskId id{entry->job.id(), occurrence, step, index};
    choice = ChooseRunner(*entry, id, rack, time.now);
    Runner* runner = choice.runner;
    if (runner == nullptr) break;
    // Taken until all members have been placed, and counted by the limit of tasks on one runner.
    runner->used += load;
    runner->runs.emplace(id, LiveRun{});
    if (entry->job.spec().steps[step].same_rack && rack.empty()) rack = runner->listing.rack;
    chosen.emplace_back(id, runner);
    last = std::max(last, progress.tasks[index].last_run);
    if (checkpoint.empty()) checkpoint = progress.tasks[index].checkpoint;
  }
  for (const auto& [id, runner] : chosen) {
    runner->used -= load;
    runner->runs.erase(id);
  }
  if (chosen.size() != progress.tasks.size()) {
    rejected_sizes_.Clear();  // The capacity of the placed members is free again.
    return RequestAdvice(entry, occurrence, step, choice.reason, time.now);
  }
  const Resources total = Multiple(load, static_cast<std::uint32_t>(chosen.size()));
  if (!FitsTeamLimit(entry->team, total, load)) {
    rejected_sizes_.Clear();
    return RecordLimited(entry, total, total, 1);
  }
  const RunNumber run = NextRun(*entry, last);
  for (const auto& [id, runner] : chosen) {
    entry->job.FindTask(id)->checkpoint = checkpoint;
    Start(entry, id, runner, run, time);
  }
}

std::string Cell::RackOfStep(const JobEntry& entry, std::uint32_t occurrence, std::uint32_t step) {
  if (!entry.job.spec().steps[step].same_rack) return {};
  for (const TaskState& task : entry.job.occurrences()[occurrence].steps[step].tasks) {
    const Runner* runner = FindRunner(task.runner);
    if (task.phase == TaskPhase::kPlaced && runner != nullptr) return runner->listing.rack;
  }
  return {};
}

std::uint32_t Cell::RunsOfStep(const Runner& runner, const TaskId& task) const {
  return static_cast<std::uint32_t>(
      std::count_if(runner.runs.begin(), runner.runs.end(), [&](const auto& run) {
        return run.first.job == task.job && run.first.occurrence == task.occurrence &&
               run.first.step == task.step;
      }));
}

/// Returns how many other tasks of the same step have capacity reserved on the runner.
std::uint32_t Cell::ReservationsOfStep(const Runner& runner, const TaskId& task) const {
  return static_cast<std::uint32_t>(std::count_if(
      capacity_reservations_.begin(), capacity_reservations_.end(), [&](const auto& reservation) {
        return reservation.second.runner == runner.key && reservation.first != task &&
               reservation.first.job == task.job &&
               reservation.first.occurrence == task.occurrence &&
               reservation.first.step == task.step;
      }));
}

/// Whether the step's size is known to fit on no runner and no runner has opened since.
bool Cell::LacksCapacityFor(const JobEntry& entry, const StepSpec& step) const {
  return newly_open_runners_.empty() &&
         rejected_sizes_.IsRejected(entry.job.policy().service, step.required_label, step.Load());
}

/// Returns what keeps the runner from running the task, apart from its free capacity and its own
/// state; nothing if it may run the task. A runner that may never run it has no capacity for it.
std::optional<NoRunnerReason> Cell::FindObstacle(const JobEntry& entry, const Runner& runner,
                                                 const TaskId& id, Instant now) const {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const TaskState& task = entry.job.occurrences()[id.occurrence].steps[id.step].tasks[id.index];
  if (runner.runs.contains(id)) return NoRunnerReason::kNoCapacity;
  if (step.max_per_runner > 0 &&
      RunsOfStep(runner, id) + ReservationsOfStep(runner, id) >= step.max_per_runner) {
    return NoRunnerReason::kNoCapacity;
  }
  const bool advised = entry.advice.has_value();
  const StepAdmission* admission = advised ? FindAdmission(entry, id) : nullptr;
  if (admission != nullptr && !admission->MayAdmit(runner.listing.id)) {
    return NoRunnerReason::kNoCapacity;
  }
  if (task.failed_on == runner.key && FailedLately(task, now)) {
    return NoRunnerReason::kFailedLately;
  }
  const bool has_ticket = admission != nullptr && admission->TicketFor(runner.key, now) != nullptr;
  return advised && !has_ticket ? std::optional(NoRunnerReason::kNoTicket) : std::nullopt;
}

bool Cell::MayHost(const JobEntry& entry, const Runner& runner, const TaskId& id,
                   Instant now) const {
  return !FindObstacle(entry, runner, id, now);
}

/// Returns the placement cost of a task on a runner; the runner with the lowest cost is chosen.
double Cell::CostOf(const JobEntry& entry, const Runner& runner, const TaskId& id,
                    const std::string& rack, Instant now) const {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const std::uint32_t runs_of_step = step.long_running ? RunsOfStep(runner, id) : 0;
  PlacementView view;
  view.capacity = runner.listing.capacity;
  view.free = runner.Free();
  view.far_from_data = !step.preferred_rack.empty() && runner.listing.rack != step.preferred_rack;
  view.blocks_maintenance = step.long_running && runs_of_step >= std::max(step.max_unavailable, 1U);
  view.long_running = step.long_running;
  view.hosts_long_running = runner.long_running_runs > 0;
  view.off_rack = !rack.empty() && runner.listing.rack != rack;
  view.has_long_lease = runner.lease_end > now + options_.max_lease_after_renewal;
  return PlacementCost(view, step.Load());
}

Cell::RunnerChoice Cell::ChooseRunner(const JobEntry& entry, const TaskId& id,
                                      const std::string& rack, Instant now) {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const std::string& service = entry.job.policy().service;
  const Resources load = step.Load();
  if (const auto reservation = capacity_reservations_.find(id);
      reservation != capacity_reservations_.end()) {
    Runner* holder = FindRunner(reservation->second.runner);
    if (holder != nullptr && holder->IsOpen(now) && FreeForTask(*holder, id).Holds(load) &&
        MayHost(entry, *holder, id, now)) {
      return {holder};
    }
  }
  RunnerChoice choice;
  const TaskState& task = entry.job.occurrences()[id.occurrence].steps[id.step].tasks[id.index];
  const bool overdue = step.long_running && RunnerHealth::IsOverdue(task.no_runner_since, now);
  // Runners that do not admit the task come last.
  std::pair<bool, double> best_cost{true, std::numeric_limits<double>::infinity()};
  bool any_capacity = false;
  const auto consider = [&](Runner& runner) {
    if (runner.listing.service != service || !runner.Free().Holds(load)) return;
    if (!runner.AcceptsStarts(now) || !runner.HasLabel(step.required_label)) return;
    const bool admitted = runner.health.Admits(now);
    if (!admitted && !overdue) return;
    if (runner.IsEarmarkedForOther(id, now)) return;
    any_capacity = any_capacity || admitted;
    if (const auto obstacle = FindObstacle(entry, runner, id, now)) {
      choice.reason = std::max(choice.reason, *obstacle);
      return;
    }
    const std::pair cost(!admitted, CostOf(entry, runner, id, rack, now));
    if (cost < best_cost) {
      best_cost = cost;
      choice.runner = &runner;
    }
  };
  if (!overdue && rejected_sizes_.IsRejected(service, step.required_label, load)) {
    for (const RunnerKey key : newly_open_runners_) consider(runners_.at(key));
    return choice;
  }
  for (auto& [key, runner] : runners_) consider(runner);
  if (!any_capacity) rejected_sizes_.RecordRejected(service, step.required_label, load);
  return choice;
}

/// Earmarks the capacity that becomes free on one runner for a long-running task that fits nowhere.
/// Otherwise short tasks would use it piece by piece, and the task would be unavailable for as long
/// as the pool is full.
void Cell::EarmarkCapacity(const JobEntry& entry, const TaskId& id, Instant now) {
  const StepSpec& step = entry.job.spec().steps[id.step];
  const Resources load = step.Load();
  Runner* best = nullptr;
  double least_missing = std::numeric_limits<double>::infinity();
  std::size_t earmarked = 0;
  const auto may_come_free = [&](const Runner& runner) {
    return runner.listing.service == entry.job.policy().service && runner.IsOpen(now) &&
           runner.HasLabel(step.required_label) && runner.FreeWithoutShortTasks().Holds(load) &&
           MayHost(entry, runner, id, now);
  };
  for (auto& [key, runner] : runners_) {
    if (runner.earmarked_for && now < runner.earmarked_until) {
      if (*runner.earmarked_for != id) {
        ++earmarked;
        continue;
      }
      if (may_come_free(runner)) {
        runner.earmarked_until = now + kEarmarkPeriod;
        return;
      }
      runner.earmarked_for.reset();
      continue;
    }
    if (!may_come_free(runner)) continue;
    const double missing = MissingShare(runner.listing.capacity, runner.Free(), load);
    if (missing < least_missing) {
      least_missing = missing;
      best = &runner;
    }
  }
  if (best == nullptr || earmarked * kRunnersPerEarmark >= runners_.size()) return;
  best->earmarked_for = id;
  best->earmarked_until = now + kEarmarkPeriod;
  LogDecision("keep_room", {{"job", std::string(id.job.text())},
                            {"task", id.ToString()},
                            {"runner", best->listing.id},
                            {"missing_share", Concat(least_missing)},
                            {"kept", Concat(earmarked + 1)}});
}

void Cell::Start(JobEntry* entry, const TaskId& id, Runner* runner, RunNumber run, CellTime time) {
  if (runner->earmarked_for == id) runner->earmarked_for.reset();
  DropCapacityReservation(id);
  LiveRun live;
  live.run = run;
  live.load = entry->job.spec().steps[id.step].Load();
  live.long_running = entry->job.spec().steps[id.step].long_running;
  live.start_sent_at = time.now;
  AddRun(runner, id, live);
  runner->health.RecordStart(time.now);
  entry->job.Place(id, runner->key, run);
  entry->job.FindTask(id)->accounted_for = live.long_running;
  StartCommand command;
  command.runner = runner->key;
  command.task = id;
  command.run = run;
  command.deadline = std::min(runner->EstimatedClock(time.now) + options_.start_validity,
                              runner->LatestDeadline(LeaseLimit(), options_));
  command.checkpoint = entry->job.FindTask(id)->checkpoint;
  command.payload = entry->job.spec().payload;
  if (const StepAdmission* admission = FindAdmission(*entry, id)) {
    const std::string* ticket = admission->TicketFor(runner->key, time.now);
    if (ticket != nullptr) command.ticket = *ticket;
  }
  runner->GrantLease(command.deadline, options_, time.now);
  runner->next_poll_at = std::min(runner->next_poll_at, time.now + options_.min_poll_interval);
  entry->nothing_started_since = time.now;
  ++counters_.starts;
  LogDecision("start", {{"job", std::string(id.job.text())},
                        {"task", id.ToString()},
                        {"run", Concat(run)},
                        {"runner", runner->listing.id},
                        {"born", Concat(runner->listing.started_at.count())},
                        {"cell", Concat(number_)},
                        {"token", Concat(token_)},
                        {"free_cpu", Concat(runner->Free().cpu_milli)},
                        {"report_age_ms", Concat(MillisOf(time.now - runner->clock_read_at))},
                        {"listing_age_ms", Concat(MillisOf(time.now - listed_as_of_))}});
  outbox_.starts.push_back(std::move(command));
}

}  // namespace wigeonlane
