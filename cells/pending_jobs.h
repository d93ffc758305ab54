/// Counts the jobs of each queue of which no task has begun.
#ifndef WIGEONLANE_CELLS_PENDING_JOBS_H_
#define WIGEONLANE_CELLS_PENDING_JOBS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "jobs/job_id.h"
#include "jobs/queue_address.h"

namespace wigeonlane {

/// The cost of a count does not depend on the number of jobs.
class PendingJobs {
 public:
  /// Adds a job. One of unknown address is counted by the name that its queue had.
  void Add(const JobId& id, const QueueAddress& queue, const std::string& name) {
    const Queue key(queue, queue.known() ? std::string() : name);
    if (jobs_.emplace(id, key).second) ++counts_[key];
  }

  void Remove(const JobId& id) {
    const auto job = jobs_.find(id);
    if (job == jobs_.end()) return;
    const auto count = counts_.find(job->second);
    if (--count->second == 0) counts_.erase(count);
    jobs_.erase(job);
  }

  /// Returns the number of jobs at the address, and of those of unknown address under the name.
  std::uint32_t CountOf(const QueueAddress& queue, const std::string& name) const {
    const std::uint32_t addressed = queue.known() ? CountAt({queue, std::string()}) : 0;
    return addressed + CountAt({QueueAddress(), name});
  }

  std::size_t size() const { return jobs_.size(); }

 private:
  /// Address of a queue, and its name if the address is unknown.
  using Queue = std::pair<QueueAddress, std::string>;

  std::uint32_t CountAt(const Queue& queue) const {
    const auto count = counts_.find(queue);
    return count == counts_.end() ? 0 : count->second;
  }

  std::unordered_map<JobId, Queue> jobs_;
  std::map<Queue, std::uint32_t> counts_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_PENDING_JOBS_H_
