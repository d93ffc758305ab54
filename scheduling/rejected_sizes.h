/// Remembers task sizes that fit on no runner, so that the search over all runners is not repeated
/// for them until capacity becomes free.
///
/// Load pattern: a pool is full, and hundreds of waiting steps need at least as much per task as a
/// step for which the search has just failed.
#ifndef WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_
#define WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace wigeonlane {

/// Task sizes without a fitting runner, by service and required label.
class RejectedSizes {
 public:
  /// Records that no runner of `service` with `label` (any runner if empty) has capacity for
  /// `load`.
  void RecordRejected(const std::string& service, const std::string& label, const Resources& load) {
    auto& sizes = sizes_[service];
    std::erase_if(sizes,
                  [&](const Size& size) { return size.label == label && size.load.Holds(load); });
    sizes.push_back({label, load});
  }

  /// Returns whether a load that needs no more than `load` of any resource has been rejected.
  bool IsRejected(const std::string& service, const std::string& label,
                  const Resources& load) const {
    const auto sizes = sizes_.find(service);
    if (sizes == sizes_.end()) return false;
    return std::any_of(sizes->second.begin(), sizes->second.end(), [&](const Size& size) {
      return load.Holds(size.load) && (size.label.empty() || size.label == label);
    });
  }

  void Clear() { sizes_.clear(); }

 private:
  struct Size {
    std::string label;
    Resources load;
  };

  std::unordered_map<std::string, std::vector<Size>> sizes_;  ///< By service.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_
