/// Loads told as cores of the runner they take, by the resource that binds.
///
/// Load pattern: lasting tasks take a third of a runner's memory and a seventh of its cores, short
/// ones the reverse. CollectNeeds of machines that are counted in cores alone see room where there
/// is none.
#ifndef WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_
#define WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "jobs/job.h"

namespace wigeonlane {

/// The share of a runner that `load` takes, by the resource of which it takes most.
inline double DominantShare(const Resources& capacity, const Resources& load) {
  const auto share = [](std::int64_t used, std::int64_t all) {
    return used <= 0 || all <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(all);
  };
  return std::max({share(load.cpu_milli, capacity.cpu_milli),
                   share(load.memory_mb, capacity.memory_mb), share(load.gpus, capacity.gpus)});
}

/// That share in thousandths of a core.
inline std::int64_t DominantCpuMilli(const Resources& capacity, const Resources& load) {
  const double cpu = DominantShare(capacity, load) * static_cast<double>(capacity.cpu_milli);
  return std::max<std::int64_t>(load.cpu_milli, std::llround(cpu));
}

/// How many loads of that size fit into what is free.
inline std::uint32_t FittingCount(const Resources& free, const Resources& load) {
  std::int64_t places = std::numeric_limits<std::uint32_t>::max();
  const auto limit = [&](std::int64_t left, std::int64_t each) {
    if (each > 0) places = std::min(places, std::max<std::int64_t>(left, 0) / each);
  };
  limit(free.cpu_milli, load.cpu_milli);
  limit(free.memory_mb, load.memory_mb);
  limit(free.gpus, load.gpus);
  return static_cast<std::uint32_t>(places);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_
