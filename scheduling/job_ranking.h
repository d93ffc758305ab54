/// Ranks jobs: decides whose tasks start first when there is not capacity for all.
///
/// Load pattern: for some seconds a queue's demand is five times its mean, more than its pool can
/// run. A job earns almost all of its value within its objective and next to nothing later. Jobs
/// that can still meet their objective therefore go first, those with the least remaining work
/// before others; late jobs use the remaining capacity, oldest first. Where teams share a service,
/// jobs of a team that uses more than its share go behind those of others, and jobs beyond a team's
/// rate behind all.
#ifndef WIGEONLANE_SCHEDULING_JOB_RANKING_H_
#define WIGEONLANE_SCHEDULING_JOB_RANKING_H_

#include <chrono>
#include <compare>
#include <cstdint>

#include "core/clock.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

/// What a job's team is entitled to. Jobs without a team are within their share.
enum class TeamStanding : std::uint8_t {
  kWithinShare,
  kOverShare,   ///< The team uses more than its share of a service that cannot serve all.
  kBeyondRate,  ///< The job was submitted beyond the team's rate.
};

/// Properties of a job that determine its rank.
struct JobDemand {
  std::uint32_t priority = 0;  ///< 0 is the highest.
  bool long_running = false;
  TeamStanding standing = TeamStanding::kWithinShare;
  Instant accepted{};
  std::chrono::milliseconds objective{0};  ///< Time limit for completion, from acceptance.
  /// Estimated run time of the longest chain of dependent steps that are not complete.
  std::chrono::milliseconds remaining_critical_path{0};
  double remaining_work = 0;  ///< Estimated, in core-seconds.
};

/// Rank of a job. Jobs with lower ranks go first.
struct JobRank {
  std::uint32_t tier = 0;  ///< Decides first.
  double key = 0;          ///< Decides within a tier.

  auto operator<=>(const JobRank&) const = default;
};

/// Computes the rank of a job at `now`.
JobRank RankJob(const JobDemand& demand, Instant now);

/// Returns the time after which the rank must be computed again if the demand does not change;
/// Instant::max() if the rank does not depend on time any more.
Instant RankExpiresAt(const JobDemand& demand, Instant now);

/// Returns the estimated run time of the longest chain of dependent steps that are not complete.
std::chrono::milliseconds RemainingCriticalPath(const Job& job, double estimate_ratio);

/// Returns the estimated remaining work in core-seconds.
double RemainingCoreSeconds(const Job& job, double estimate_ratio);

/// Returns the estimated remaining work in core-seconds, with each task counted by its dominant
/// resource on a runner of `capacity`.
double RemainingDominantCoreSeconds(const Job& job, double estimate_ratio,
                                    const Resources& capacity);

/// Returns the time from acceptance within which the job must complete to earn its full value.
std::chrono::milliseconds Objective(const Job& job, double estimate_ratio);

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_JOB_RANKING_H_
