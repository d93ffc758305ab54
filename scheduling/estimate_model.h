/// Learns by queue how long tasks really take compared with what callers declare.
///
/// Load pattern: declared run times are off by half and more, all in the same direction for a
/// queue. The ratio of observed to declared time is averaged with weight on the recent past.
#ifndef WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_
#define WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_map>

namespace wigeonlane {

class EstimateModel {
 public:
  /// Weight of one observation: the last 20 or so tasks decide.
  static constexpr double kObservationWeight = 0.05;
  /// One odd task does not move the average further than this.
  static constexpr double kMinRatio = 0.1;
  static constexpr double kMaxRatio = 10.0;

  void Observe(const std::string& queue, std::chrono::milliseconds declared,
               std::chrono::milliseconds observed) {
    if (declared.count() <= 0) return;
    const double ratio =
        std::clamp(static_cast<double>(observed.count()) / static_cast<double>(declared.count()),
                   kMinRatio, kMaxRatio);
    const auto [found, fresh] = ratios_.try_emplace(queue, ratio);
    if (!fresh) found->second += kObservationWeight * (ratio - found->second);
  }

  /// Observed over declared time; 1 while nothing is known.
  double Ratio(const std::string& queue) const {
    const auto found = ratios_.find(queue);
    return found == ratios_.end() ? 1.0 : found->second;
  }

 private:
  std::unordered_map<std::string, double> ratios_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_
