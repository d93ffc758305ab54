/// Measures a load by its dominant resource: the one of which it uses the largest share of a
/// runner.
///
/// Load pattern: long-running tasks use a third of a runner's memory and a seventh of its cores,
/// short tasks the reverse. Demand counted in cores alone shows free capacity where there is none.
#ifndef WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_
#define WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

#include "jobs/job.h"

namespace wigeonlane {

/// Returns the share of `capacity` that `load` uses of its dominant resource.
inline double DominantShare(const Resources& capacity, const Resources& load) {
  const auto share = [](std::int64_t used, std::int64_t total) {
    return used <= 0 || total <= 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(total);
  };
  return std::max({share(load.cpu_milli, capacity.cpu_milli),
                   share(load.memory_mb, capacity.memory_mb), share(load.gpus, capacity.gpus)});
}

/// Returns the dominant share as thousandths of a core of the runner, at least `load.cpu_milli`.
inline std::int64_t DominantCpuMilli(const Resources& capacity, const Resources& load) {
  const double cpu = DominantShare(capacity, load) * static_cast<double>(capacity.cpu_milli);
  return std::max<std::int64_t>(load.cpu_milli, std::llround(cpu));
}

/// Returns how many loads of this size fit into `free`.
inline std::uint32_t FittingCount(const Resources& free, const Resources& load) {
  std::int64_t count = std::numeric_limits<std::uint32_t>::max();
  const auto limit = [&](std::int64_t available, std::int64_t per_load) {
    if (per_load > 0) count = std::min(count, std::max<std::int64_t>(available, 0) / per_load);
  };
  limit(free.cpu_milli, load.cpu_milli);
  limit(free.memory_mb, load.memory_mb);
  limit(free.gpus, load.gpus);
  return static_cast<std::uint32_t>(count);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_DOMINANT_SHARE_H_
