/// Learns for each queue the ratio of observed to declared run times of tasks.
///
/// Load pattern: declared run times are wrong by half and more, in the same direction for all tasks
/// of a queue. The ratio is an exponentially weighted moving average.
#ifndef WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_
#define WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_

#include <algorithm>
#include <chrono>
#include <string>
#include <unordered_map>

namespace wigeonlane {

/// Moving average of observed over declared run time, by queue.
class EstimateModel {
 public:
  /// Weight of one observation; the average spans about the last 20 tasks.
  static constexpr double kObservationWeight = 0.05;
  /// Bounds of one observed ratio, so that a single outlier hardly moves the average.
  static constexpr double kMinRatio = 0.1;
  static constexpr double kMaxRatio = 10.0;

  /// Updates the ratio of `queue` with one finished task. Ignores tasks without a declared run
  /// time.
  void Observe(const std::string& queue, std::chrono::milliseconds declared,
               std::chrono::milliseconds observed) {
    if (declared.count() <= 0) return;
    const double ratio =
        std::clamp(static_cast<double>(observed.count()) / static_cast<double>(declared.count()),
                   kMinRatio, kMaxRatio);
    const auto [average, inserted] = ratios_.try_emplace(queue, ratio);
    if (!inserted) average->second += kObservationWeight * (ratio - average->second);
  }

  /// Returns observed over declared run time; 1 for a queue without observations.
  double Ratio(const std::string& queue) const {
    const auto found = ratios_.find(queue);
    return found == ratios_.end() ? 1.0 : found->second;
  }

 private:
  std::unordered_map<std::string, double> ratios_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_ESTIMATE_MODEL_H_
