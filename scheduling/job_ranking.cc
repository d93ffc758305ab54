#include "scheduling/job_ranking.h"

#include <algorithm>
#include <vector>

#include "scheduling/dominant_share.h"

namespace wigeonlane {
namespace {

constexpr double kMilliPerUnit = 1000.0;

/// Tiers in the order in which they start.
constexpr std::uint32_t kServing = 0;
constexpr std::uint32_t kInTime = 1;
constexpr std::uint32_t kLate = 2;

std::chrono::milliseconds Scaled(std::chrono::milliseconds time, double ratio) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * ratio));
}

std::chrono::milliseconds CriticalPath(const Job& job, double estimate_ratio, bool only_open) {
  const auto& steps = job.spec().steps;
  std::vector<std::chrono::milliseconds> end_of_step(steps.size());
  std::chrono::milliseconds longest{0};
  const bool known = !job.occurrences().empty() && !job.occurrences().back().steps.empty();
  for (std::size_t step = 0; step < steps.size(); ++step) {
    std::chrono::milliseconds begin{0};
    for (const std::uint32_t earlier : steps[step].after) {
      begin = std::max(begin, end_of_step[earlier]);
    }
    const bool closed = only_open && known && job.occurrences().back().steps[step].complete();
    end_of_step[step] = begin;
    if (!closed) end_of_step[step] += Scaled(steps[step].estimate, estimate_ratio);
    longest = std::max(longest, end_of_step[step]);
  }
  return longest;
}

}  // namespace

JobRank RankJob(const JobDemand& demand, Instant now) {
  if (demand.long_running) return {kServing, 0};
  const auto left = demand.accepted + demand.objective - now;
  if (left < demand.remaining_critical_path) {
    return {kLate, std::chrono::duration<double>(demand.accepted.time_since_epoch()).count()};
  }
  return {kInTime, demand.remaining_core_seconds};
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
      const auto open = spec.count - occurrence.steps[step].done;
      total += static_cast<double>(open) *
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
