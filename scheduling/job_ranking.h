/// Which job's tasks start next when there is not room for all.
///
/// Load pattern: a queue asks for five times its mean for some seconds, more than its pool holds.
/// A job pays almost all of its worth within its objective and next to nothing later, so jobs that
/// can still meet it go first, the least remaining work before the rest; what cannot meet it any
/// more fills the time that is left, oldest first.
#ifndef WIGEONLANE_SCHEDULING_JOB_RANKING_H_
#define WIGEONLANE_SCHEDULING_JOB_RANKING_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

/// What the order looks at.
struct JobDemand {
  std::uint32_t priority = 0;  ///< 0 comes first.
  bool long_running = false;
  Instant accepted{};
  std::chrono::milliseconds objective{0};                ///< From acceptance.
  std::chrono::milliseconds remaining_critical_path{0};  ///< Longest chain of work that is left.
  double remaining_core_seconds = 0;                     ///< In core-seconds.
};

/// Jobs with lower ranks go first.
struct JobRank {
  std::uint32_t tier = 0;
  double key = 0;

  auto operator<=>(const JobRank&) const = default;
};

JobRank RankJob(const JobDemand& demand, Instant now);

/// Until when the rank holds if the demand stays as it is; the far future when for good.
Instant RankExpiresAt(const JobDemand& demand, Instant now);

/// Longest chain of estimated work in the steps that are not complete.
std::chrono::milliseconds RemainingCriticalPath(const Job& job, double estimate_ratio);

/// Estimated work that is left, in core-seconds.
double RemainingCoreSeconds(const Job& job, double estimate_ratio);

/// The same by the resource that binds on a runner of that capacity.
double RemainingDominantCoreSeconds(const Job& job, double estimate_ratio,
                                    const Resources& capacity);

/// The time in which the job earns in full, from its acceptance.
std::chrono::milliseconds Objective(const Job& job, double estimate_ratio);

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_JOB_RANKING_H_
