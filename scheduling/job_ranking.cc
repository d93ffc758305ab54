#include "scheduling/job_ranking.h"

#include <algorithm>
#include <vector>

#include "scheduling/dominant_share.h"

namespace wigeonlane {
namespace {

constexpr double kMilliPerUnit = 1000.0;

/// Tiers of jobs; a lower tier starts first.
constexpr std::uint32_t kLongRunningTier = 0;
constexpr std::uint32_t kOnTimeTier = 1;
constexpr std::uint32_t kOverShareTier = 2;
constexpr std::uint32_t kLateTier = 3;
constexpr std::uint32_t kBeyondRateTier = 4;

std::chrono::milliseconds Scaled(std::chrono::milliseconds time, double ratio) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * ratio));
}

/// Returns the estimated run time of the longest chain of dependent steps; with `only_incomplete`,
/// steps that are complete in the last occurrence count as zero.
std::chrono::milliseconds CriticalPath(const Job& job, double estimate_ratio,
                                       bool only_incomplete) {
  const auto& steps = job.spec().steps;
  std::vector<std::chrono::milliseconds> step_ends(steps.size());
  std::chrono::milliseconds longest{0};
  const bool has_progress = !job.occurrences().empty() && !job.occurrences().back().steps.empty();
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::chrono::milliseconds begin{0};
    for (const std::uint32_t earlier : steps[step].after) {
      begin = std::max(begin, step_ends[earlier]);
    }
    const bool skipped =
        only_incomplete && has_progress && job.occurrences().back().steps[step].complete();
    step_ends[step] = begin;
    if (!skipped) step_ends[step] += Scaled(steps[step].estimate, estimate_ratio);
    longest = std::max(longest, step_ends[step]);
  }
  return longest;
}

}  // namespace

JobRank RankJob(const JobDemand& demand, Instant now) {
  if (demand.long_running) return {kLongRunningTier, 0};
  if (demand.standing == TeamStanding::kBeyondRate) {
    return {kBeyondRateTier, demand.remaining_work};
  }
  const auto time_left = demand.accepted + demand.objective - now;
  if (time_left < demand.remaining_critical_path) {
    return {kLateTier, std::chrono::duration<double>(demand.accepted.time_since_epoch()).count()};
  }
  const bool over_share = demand.standing == TeamStanding::kOverShare;
  return {over_share ? kOverShareTier : kOnTimeTier, demand.remaining_work};
}

Instant RankExpiresAt(const JobDemand& demand, Instant now) {
  const Instant expires_at = demand.accepted + demand.objective - demand.remaining_critical_path;
  return demand.long_running || expires_at < now ? Instant::max() : expires_at;
}

std::chrono::milliseconds RemainingCriticalPath(const Job& job, double estimate_ratio) {
  return CriticalPath(job, estimate_ratio, true);
}

double RemainingCoreSeconds(const Job& job, double estimate_ratio) {
  return RemainingDominantCoreSeconds(job, estimate_ratio, {});
}

double RemainingDominantCoreSeconds(const Job& job, double estimate_ratio,
                                    const Resources& capacity) {
  double total = 0;
  for (const Occurrence& occurrence : job.occurrences()) {
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
      const StepSpec& spec = job.spec().steps[step];
      const auto remaining_tasks = spec.count - occurrence.steps[step].done;
      total += static_cast<double>(remaining_tasks) *
               static_cast<double>(DominantCpuMilli(capacity, spec.need)) / kMilliPerUnit *
               static_cast<double>(spec.estimate.count()) / kMilliPerUnit;
    }
  }
  return total * estimate_ratio;
}

std::chrono::milliseconds Objective(const Job& job, double estimate_ratio) {
  return Scaled(CriticalPath(job, estimate_ratio, false), job.policy().stretch) +
         job.policy().target_latency;
}

}  // namespace wigeonlane
