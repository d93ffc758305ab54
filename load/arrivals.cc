#include "load/arrivals.h"

#include <algorithm>
#include <random>

namespace wigeonlane {
namespace {

using std::chrono::microseconds;

/// Returns the arrivals per second of a stream at a time, which a flood multiplies.
double RateAt(const LoadStream& stream, microseconds at) {
  const bool flood = stream.flood_for.count() > 0 && at >= stream.flood_at &&
                     at < stream.flood_at + stream.flood_for;
  return stream.per_second * (flood ? stream.flood_times : 1.0);
}

void AddStream(const LoadPlan& plan, std::size_t index, std::vector<Arrival>* arrivals) {
  const LoadStream& stream = plan.streams[index];
  if (stream.per_second <= 0) return;
  std::mt19937_64 random(plan.seed * 1'000'003 + index);
  std::discrete_distribution<std::size_t> target(plan.weights.begin(), plan.weights.end());
  std::exponential_distribution<double> exponential(1.0);
  // Thinning: candidates arrive at the maximum rate and are kept in proportion to the current one.
  const double max_rate = stream.per_second * std::max(1.0, stream.flood_times);
  std::uniform_real_distribution<double> acceptance(0.0, max_rate);
  double seconds = 0;
  while (true) {
    seconds += exponential(random) / max_rate;
    const microseconds at(static_cast<std::int64_t>(seconds * 1e6));
    if (at >= plan.duration) return;
    const double work = exponential(random) * static_cast<double>(stream.work.count());
    const std::size_t target_index = target(random);
    if (acceptance(random) >= RateAt(stream, at)) continue;
    arrivals->push_back(
        {at, index, target_index, 0, microseconds(static_cast<std::int64_t>(work))});
  }
}

}  // namespace

std::vector<Arrival> MakeArrivals(const LoadPlan& plan) {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < plan.streams.size(); ++i) AddStream(plan, i, &arrivals);
  std::stable_sort(arrivals.begin(), arrivals.end(),
                   [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < arrivals.size(); ++i) arrivals[i].number = i;
  return arrivals;
}

}  // namespace wigeonlane
