/// Runners of a predecessor that have not responded since a takeover, and the services whose
/// inherited jobs they block.
#ifndef WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_
#define WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "jobs/job_progress.h"

namespace wigeonlane {

/// A predecessor started jobs of a service only on runners that belonged to that service then, so
/// an unresponsive runner blocks no other service of the cell.
class UnreconciledRunners {
 public:
  void Add(RunnerKey key, const std::string& service) {
    if (service_by_runner_.emplace(key, service).second) ++runner_count_[service];
  }

  /// Adds the next incarnation of an unreconciled runner, which may execute commands that were
  /// meant for the previous one.
  void AddNextIncarnation(RunnerKey previous, RunnerKey next) {
    if (const auto found = service_by_runner_.find(previous); found != service_by_runner_.end()) {
      Add(next, std::string(found->second));
    }
  }

  /// Removes a runner that has responded or is lost. Returns whether it was the last of its
  /// service.
  bool Remove(RunnerKey key) {
    const auto found = service_by_runner_.find(key);
    if (found == service_by_runner_.end()) return false;
    const std::string service = std::move(found->second);
    service_by_runner_.erase(found);
    if (--runner_count_.at(service) > 0) return false;
    runner_count_.erase(service);
    return true;
  }

  bool contains(RunnerKey key) const { return service_by_runner_.contains(key); }
  bool Blocks(const std::string& service) const { return runner_count_.contains(service); }
  bool empty() const { return service_by_runner_.empty(); }
  std::size_t size() const { return service_by_runner_.size(); }

 private:
  std::unordered_map<RunnerKey, std::string> service_by_runner_;
  std::map<std::string, std::size_t>
      runner_count_;  ///< Runners by service, without services that have none.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_
