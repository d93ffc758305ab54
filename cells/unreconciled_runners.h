/// Runners of a predecessor that have not answered since a takeover, and the services whose
/// inherited jobs they hold back.
#ifndef WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_
#define WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "jobs/job_progress.h"

namespace wigeonlane {

/// A predecessor started jobs of a service only on runners that were of that service then, so a
/// silent runner holds back no other service of the cell.
class UnreconciledRunners {
 public:
  void Add(RunnerKey key, const std::string& service) {
    if (services_.emplace(key, service).second) ++count_[service];
  }

  /// The runner's next life may carry out what was meant for the former one.
  void AddNextIncarnation(RunnerKey former, RunnerKey next) {
    if (const auto found = services_.find(former); found != services_.end()) {
      Add(next, std::string(found->second));
    }
  }

  /// The runner has answered or is lost. Returns whether it was the last of its service.
  bool Remove(RunnerKey key) {
    const auto found = services_.find(key);
    if (found == services_.end()) return false;
    const std::string service = std::move(found->second);
    services_.erase(found);
    if (--count_.at(service) > 0) return false;
    count_.erase(service);
    return true;
  }

  bool contains(RunnerKey key) const { return services_.contains(key); }
  bool Blocks(const std::string& service) const { return count_.contains(service); }
  bool empty() const { return services_.empty(); }
  std::size_t size() const { return services_.size(); }

 private:
  std::unordered_map<RunnerKey, std::string> services_;
  std::map<std::string, std::size_t> count_;  ///< By service, above 0.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_UNRECONCILED_RUNNERS_H_
