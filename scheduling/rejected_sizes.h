/// Remembers what found no room, so that no runner is looked at again for it until some comes.
///
/// Load pattern: a pool is full and hundreds of steps wait that need as much as one that has just
/// found no room, or more.
#ifndef WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_
#define WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"

namespace wigeonlane {

class RejectedSizes {
 public:
  /// No runner of `service` with `label` (any when empty) has room for `load`.
  void RecordRejected(const std::string& service, const std::string& label, const Resources& load) {
    auto& shapes = shapes_[service];
    std::erase_if(
        shapes, [&](const Shape& shape) { return shape.label == label && shape.load.Holds(load); });
    shapes.push_back({label, load});
  }

  /// Whether something that needs no more has found no room.
  bool IsRejected(const std::string& service, const std::string& label,
                  const Resources& load) const {
    const auto found = shapes_.find(service);
    if (found == shapes_.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](const Shape& shape) {
      return load.Holds(shape.load) && (shape.label.empty() || shape.label == label);
    });
  }

  void Clear() { shapes_.clear(); }

 private:
  struct Shape {
    std::string label;
    Resources load;
  };

  std::unordered_map<std::string, std::vector<Shape>> shapes_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_REJECTED_SIZES_H_
