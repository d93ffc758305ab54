/// Load of a cell's services, as the coordinator of machines asks for it.
#include <algorithm>
#include <map>
#include <utility>

#include "cells/cell.h"

namespace wigeonlane {
namespace {

constexpr std::int64_t kMilliPerCore = 1'000;
/// What is late earns a fourteenth (site files), but must be served; machines for it wait until
/// the others have theirs.
constexpr double kLateShare = 0.25;

/// Estimated work of the tasks of a job that wait and whose turn has come.
std::int64_t WaitingCoreMillis(const Job& job, double estimate_ratio) {
  std::int64_t total = 0;
  for (std::uint32_t number = 0; number < job.occurrences().size(); ++number) {
    const auto& steps = job.occurrences()[number].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      const StepSpec& spec = job.spec().steps[step];
      if (steps[step].waiting == 0 || !job.StepReady(number, step)) continue;
      total += steps[step].waiting * spec.Load().cpu_milli * spec.estimate.count() / kMilliPerCore;
    }
  }
  return static_cast<std::int64_t>(static_cast<double>(total) * estimate_ratio);
}

}  // namespace

CallAnswer Cell::ReportLoads(CellTime time) const {
  std::map<std::string, ServiceLoad> loads;
  for (const auto& [key, runner] : runners_) {
    if (!runner.listed) continue;
    ServiceLoad& load = loads[runner.listing.service];
    load.busy_cpu_milli += runner.used.cpu_milli;
    if (!runner.AcceptsStarts(time.now)) continue;
    load.capacity_cpu_milli += runner.listing.capacity.cpu_milli;
    if (runner.lasting_runs > 0) continue;
    load.movable.push_back({runner.listing.id, static_cast<std::uint32_t>(runner.runs.size())});
  }
  for (const JobId& id : open_) {
    const JobEntry& entry = *jobs_.at(id);
    if (!entry.accepted || IsFinal(entry.job.state())) continue;
    const double ratio = estimates_.Ratio(entry.job.policy().name);
    const bool late = entry.accepted_at + Objective(entry.job, ratio) <
                      time.now + RemainingChain(entry.job, ratio);
    const auto waiting = static_cast<double>(WaitingCoreMillis(entry.job, ratio));
    loads[entry.job.policy().service].backlog_work +=
        static_cast<std::int64_t>(late ? waiting * kLateShare : waiting);
  }
  for (const auto& [service, meter] : arrivals_) {
    loads[service].arriving_cpu_milli =
        static_cast<std::int64_t>(meter.ExpectedCores(time.now) * kMilliPerCore);
  }
  CallAnswer answer{CallVerdict::kLoads};
  for (auto& [service, load] : loads) {
    load.service = service;
    std::sort(load.movable.begin(), load.movable.end(),
              [](const MovableRunner& a, const MovableRunner& b) { return a.runs < b.runs; });
    answer.loads.push_back(std::move(load));
  }
  return answer;
}

}  // namespace wigeonlane
