#include "scheduling/fair_share.h"

#include <algorithm>
#include <numeric>

namespace wigeonlane {
namespace {

/// Demand for each unit of weight: those that need least for their weight are satisfied first.
double Need(const ShareDemand& demand) { return demand.demand / demand.weight; }

}  // namespace

std::vector<double> MaxMinShares(const std::vector<ShareDemand>& demands, double capacity) {
  std::vector<double> shares(demands.size(), 0);
  std::vector<std::size_t> order;
  double weight_left = 0;
  for (std::size_t index = 0; index < demands.size(); ++index) {
    if (demands[index].weight <= 0) continue;
    order.push_back(index);
    weight_left += demands[index].weight;
  }
  std::sort(order.begin(), order.end(),
            [&](std::size_t a, std::size_t b) { return Need(demands[a]) < Need(demands[b]); });
  double left = std::max(capacity, 0.0);
  for (const std::size_t index : order) {
    const ShareDemand& demand = demands[index];
    shares[index] = std::min(demand.demand, left * demand.weight / weight_left);
    left -= shares[index];
    weight_left -= demand.weight;
  }
  for (std::size_t index = 0; index < demands.size(); ++index) {
    if (demands[index].weight > 0) continue;
    shares[index] = std::min(demands[index].demand, std::max(left, 0.0));
    left -= shares[index];
  }
  return shares;
}

}  // namespace wigeonlane
