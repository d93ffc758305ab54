/// Weighted max-min fairness: what each of several demands gets of a capacity that is too small for
/// all.
///
/// Load pattern: one team submits many times its usual while others go on as before. What the
/// others need stays theirs up to their weighted share; what they leave unused goes to the rest.
#ifndef WIGEONLANE_SCHEDULING_FAIR_SHARE_H_
#define WIGEONLANE_SCHEDULING_FAIR_SHARE_H_

#include <vector>

namespace wigeonlane {

struct ShareDemand {
  double demand = 0;
  double weight = 0;  ///< A demand without weight gets what the others leave.
};

/// Returns the share of each demand, in their order; no share exceeds its demand and their sum does
/// not exceed `capacity`.
std::vector<double> MaxMinShares(const std::vector<ShareDemand>& demands, double capacity);

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_FAIR_SHARE_H_
