/// Load of a cell's services, as reported to the machine coordinator.
#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "cells/cell.h"
#include "scheduling/dominant_share.h"

namespace wigeonlane {
namespace {

constexpr std::int64_t kMilliPerCore = 1'000;
/// Weight of late work in the backlog. It earns a fourteenth of its value (site files) but must be
/// served, so that other work gets machines first.
constexpr double kLateWorkWeight = 0.25;
/// A job that has started no task for this long waits for more than the end of the next short task.
/// A long-running task may be unavailable for 9 s, and a machine is in use about 3 s after it was
/// requested (a move takes 1.5 s, discovery of its runner 0.8 s).
constexpr std::chrono::milliseconds kUnplaceableAfter{500};

/// Returns the estimated work of a job's waiting tasks in steps that are ready.
std::int64_t WaitingCoreMillis(const Job& job, const Resources& capacity, double estimate_ratio) {
  std::int64_t total = 0;
  for (std::uint32_t number = 0; number < job.occurrences().size(); ++number) {
    const auto& steps = job.occurrences()[number].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const StepSpec& spec = job.spec().steps[step];
      if (steps[step].waiting == 0 || !job.StepReady(number, step)) continue;
      total += steps[step].waiting * DominantCpuMilli(capacity, spec.Load()) *
               spec.estimate.count() / kMilliPerCore;
    }
  }
  return static_cast<std::int64_t>(static_cast<double>(total) * estimate_ratio);
}

std::uint32_t DueTasks(const StepProgress& progress, Instant now) {
  return static_cast<std::uint32_t>(
      std::count_if(progress.tasks.begin(), progress.tasks.end(), [&](const TaskState& task) {
        return task.phase == TaskPhase::kWaiting && now >= task.earliest_start;
      }));
}

Resources UsedByLongRunning(const Runner& runner) {
  if (runner.long_running_runs == 0) return {};
  Resources used = runner.listing.capacity;
  used -= runner.FreeWithoutShortTasks();
  return used;
}

/// Returns how many tasks of the step fit on a runner with the given free capacity.
std::uint32_t PlacesOfStep(const Resources& free, const StepSpec& step, std::uint32_t runs_there) {
  const std::uint32_t places = FittingCount(free, step.Load());
  if (step.max_per_runner == 0) return places;
  return runs_there >= step.max_per_runner ? 0 : std::min(places, step.max_per_runner - runs_there);
}

}  // namespace

/// Returns the largest capacity of a listed runner by service. Additional machines are assumed to
/// be as large.
std::map<std::string, Resources> Cell::LargestCapacities() const {
  std::map<std::string, Resources> largest;
  for (const auto& [key, runner] : runners_) {
    if (!runner.listed) continue;
    Resources& capacity = largest[runner.listing.service];
    if (runner.listing.capacity.cpu_milli > capacity.cpu_milli) capacity = runner.listing.capacity;
  }
  return largest;
}

/// Whether the free capacity of a runner can be counted on for the step of `task`. A newly
/// discovered runner counts; otherwise a second machine would be requested until it has responded.
bool Cell::OffersCapacity(const Runner& runner, const TaskId& task, Instant now) {
  const bool earmarked_for_other = runner.earmarked_for && now < runner.earmarked_until &&
                                   !(runner.earmarked_for->job == task.job &&
                                     runner.earmarked_for->occurrence == task.occurrence &&
                                     runner.earmarked_for->step == task.step);
  return runner.listed && !runner.listing.draining && now >= runner.reserved_until &&
         runner.failed_polls == 0 && runner.health.Admits(now) && !earmarked_for_other;
}

/// Returns how many tasks of a step fit on no runner now. Labels and advice are disregarded: an
/// additional machine may lack them as well, and machines would be requested without end.
std::uint32_t Cell::UnplaceableTasks(const JobEntry& entry, std::uint32_t occurrence,
                                     std::uint32_t step, RejectedSizes* rejected,
                                     Instant now) const {
  const StepProgress& progress = entry.job.occurrences()[occurrence].steps[step];
  const StepSpec& spec = entry.job.spec().steps[step];
  const std::uint32_t due = DueTasks(progress, now);
  if (due == 0 || !entry.job.StepReady(occurrence, step)) return 0;
  if (spec.gang && due < spec.count) return 0;  // Members of an earlier run must end first.
  const std::string& service = entry.job.policy().service;
  const bool waited_long = now >= *entry.nothing_started_since + kUnplaceableAfter;
  if (!waited_long && !spec.long_running) return 0;
  if (!spec.gang && waited_long && rejected->IsRejected(service, {}, spec.Load())) return due;
  const TaskId task{entry.job.id(), occurrence, step, 0};
  std::uint64_t places = 0;
  bool any_capacity = false;
  for (const auto& [key, runner] : runners_) {
    if (runner.listing.service != service || !OffersCapacity(runner, task, now)) continue;
    any_capacity = any_capacity || runner.Free().Holds(spec.Load());
    const std::uint32_t runs = spec.max_per_runner > 0 ? RunsOfStep(runner, task) : 0;
    places += PlacesOfStep(runner.Free(), spec, runs);
    if (places >= (spec.gang ? spec.count : 1)) return 0;
    // Short tasks end soon, and the capacity that they free is earmarked for this step.
    if (!waited_long && PlacesOfStep(runner.FreeWithoutShortTasks(), spec, runs) > 0) return 0;
  }
  if (!any_capacity && waited_long) rejected->RecordRejected(service, {}, spec.Load());
  return due - static_cast<std::uint32_t>(places);
}

/// Adds the tasks of a job that fit on no runner.
void Cell::AddUnplaceable(const JobEntry& entry, const Resources& capacity, RejectedSizes* rejected,
                          UnplaceableWork* unplaceable, Instant now) const {
  const Job& job = entry.job;
  for (std::uint32_t number = 0; number < job.occurrences().size(); ++number) {
    if (!entry.nothing_started_since || job.occurrences()[number].started_early) continue;
    const auto steps = static_cast<std::uint32_t>(job.occurrences()[number].steps.size());
    for (std::uint32_t step = 0; step < steps; ++step) {
      const StepSpec& spec = job.spec().steps[step];
      const std::uint32_t places = PlacesOfStep(capacity, spec, 0);
      if (places == 0) continue;  // Fits on no machine of the service.
      const std::uint32_t tasks = UnplaceableTasks(entry, number, step, rejected, now);
      if (tasks == 0) continue;
      unplaceable->any = true;
      if (spec.long_running || spec.gang) {
        unplaceable->machines += static_cast<double>(tasks) / places;
      }
    }
  }
}

/// Adds the free cores to the busy ones, because no waiting task can use them.
void Cell::ReportFreeCoresAsBusy(const std::string& service, ServiceLoad* load, Instant now) const {
  for (const auto& [key, runner] : runners_) {
    if (!runner.listed || runner.listing.service != service || !runner.AcceptsStarts(now)) continue;
    const Resources& capacity = runner.listing.capacity;
    load->busy_cpu_milli +=
        std::max<std::int64_t>(capacity.cpu_milli - DominantCpuMilli(capacity, runner.used), 0);
  }
}

CallResponse Cell::ReportLoads(CellTime time) const {
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [key, runner] : runners_) {
    if (!runner.listed) continue;
    ServiceLoad& load = loads[runner.listing.service];
    ++load.runners;
    load.busy_cpu_milli += DominantCpuMilli(runner.listing.capacity, runner.used);
    load.long_running_cpu_milli +=
        DominantCpuMilli(runner.listing.capacity, UsedByLongRunning(runner));
    if (!runner.AcceptsStarts(time.now)) continue;
    load.capacity_cpu_milli += runner.listing.capacity.cpu_milli;
    if (runner.long_running_runs > 0 ||
        (runner.earmarked_for && time.now < runner.earmarked_until)) {
      continue;
    }
    load.movable.push_back({runner.listing.id, static_cast<std::uint32_t>(runner.runs.size())});
  }
  const std::map<std::string, Resources> capacities = LargestCapacities();
  std::map<std::string, UnplaceableWork> unplaceable;
  RejectedSizes rejected;
  for (const JobId& id : open_jobs_) {
    const JobEntry& entry = *jobs_.at(id);
    if (!entry.accepted || IsFinal(entry.job.state()) || entry.limited_by_team) continue;
    const std::string& service = entry.job.policy().service;
    const auto listed = capacities.find(service);
    const Resources capacity = listed == capacities.end() ? Resources{} : listed->second;
    const double ratio = estimates_.Ratio(entry.estimate_key);
    const bool late = entry.accepted_at + Objective(entry.job, ratio) <
                      time.now + RemainingCriticalPath(entry.job, ratio);
    const auto waiting = static_cast<double>(WaitingCoreMillis(entry.job, capacity, ratio));
    loads[service].backlog_work +=
        static_cast<std::int64_t>(late ? waiting * kLateWorkWeight : waiting);
    AddUnplaceable(entry, capacity, &rejected, &unplaceable[service], time.now);
  }
  for (const auto& [service, work] : unplaceable) {
    if (!work.any) continue;
    loads[service].further_machines =
        std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(work.machines)));
    ReportFreeCoresAsBusy(service, &loads[service], time.now);
  }
  for (const auto& [service, meter] : arrivals_) {
    loads[service].arriving_cpu_milli =
        static_cast<std::int64_t>(meter.ExpectedCores(time.now) * kMilliPerCore);
  }
  CallResponse response{CallVerdict::kLoads};
  response.arrivals = ReportArrivals(time.now);
  for (auto& [service, load] : loads) {
    load.service = service;
    std::sort(load.movable.begin(), load.movable.end(),
              [](const MovableRunner& a, const MovableRunner& b) { return a.runs < b.runs; });
    response.loads.push_back(std::move(load));
  }
  return response;
}

}  // namespace wigeonlane
