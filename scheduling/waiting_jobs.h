/// Jobs with waiting tasks, sorted by rank.
///
/// Load pattern: thousands of jobs wait while hundreds of tasks end each second. An event changes
/// the rank of one job, so only that job is ranked again. Jobs that can no longer meet their
/// objective are found by the expiry time of their rank.
#ifndef WIGEONLANE_SCHEDULING_WAITING_JOBS_H_
#define WIGEONLANE_SCHEDULING_WAITING_JOBS_H_

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/job_id.h"
#include "scheduling/job_ranking.h"

namespace wigeonlane {

/// Ranked set of jobs.
class WaitingJobs {
 public:
  using RankedJobs = std::set<std::pair<JobRank, JobId>>;

  /// Adds a job or changes its rank, which is valid until `expires_at`.
  void Set(const JobId& id, const JobRank& rank, Instant expires_at) {
    Remove(id);
    entries_.emplace(id, Entry{rank, expires_at});
    by_rank_.emplace(rank, id);
    if (expires_at != Instant::max()) by_expiry_.emplace(expires_at, id);
  }

  void Remove(const JobId& id) {
    const auto entry = entries_.find(id);
    if (entry == entries_.end()) return;
    by_rank_.erase({entry->second.rank, id});
    by_expiry_.erase({entry->second.expires_at, id});
    entries_.erase(entry);
  }

  /// Returns the jobs whose rank has expired and has to be computed again.
  std::vector<JobId> WithExpiredRank(Instant now) const {
    std::vector<JobId> ids;
    for (const auto& [expires_at, id] : by_expiry_) {
      if (expires_at >= now) break;
      ids.push_back(id);
    }
    return ids;
  }

  bool empty() const { return by_rank_.empty(); }
  const RankedJobs& by_rank() const { return by_rank_; }

 private:
  struct Entry {
    JobRank rank;
    Instant expires_at{};
  };

  std::unordered_map<JobId, Entry> entries_;
  RankedJobs by_rank_;
  std::set<std::pair<Instant, JobId>> by_expiry_;  ///< Without ranks that never expire.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_WAITING_JOBS_H_
