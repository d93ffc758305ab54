/// Jobs with tasks that wait, kept in the order in which they start.
///
/// Load pattern: thousands of jobs wait while hundreds of tasks end each second. An event changes
/// the rank of one job, so only that one is ranked again; a job that cannot meet its objective any
/// more is found by its time.
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

class WaitingJobs {
 public:
  using Order = std::set<std::pair<JobRank, JobId>>;

  /// Adds a job or changes its rank, which holds until `expires_at`.
  void Set(const JobId& id, const JobRank& rank, Instant expires_at) {
    Remove(id);
    places_.emplace(id, Place{rank, expires_at});
    order_.emplace(rank, id);
    if (expires_at != Instant::max()) late_.emplace(expires_at, id);
  }

  void Remove(const JobId& id) {
    const auto found = places_.find(id);
    if (found == places_.end()) return;
    order_.erase({found->second.rank, id});
    late_.erase({found->second.expires_at, id});
    places_.erase(found);
  }

  /// Jobs whose rank held until `now` at most; they are to be ranked again.
  std::vector<JobId> WithExpiredRank(Instant now) const {
    std::vector<JobId> ids;
    for (const auto& [expires_at, id] : late_) {
      if (expires_at >= now) break;
      ids.push_back(id);
    }
    return ids;
  }

  bool empty() const { return order_.empty(); }
  const Order& by_rank() const { return order_; }

 private:
  struct Place {
    JobRank rank;
    Instant expires_at{};
  };

  std::unordered_map<JobId, Place> places_;
  Order order_;
  std::set<std::pair<Instant, JobId>> late_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_WAITING_JOBS_H_
