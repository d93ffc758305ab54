/// Open-loop arrivals: fixed before the run by the seed, whatever the answers.
#ifndef WIGEONLANE_LOAD_ARRIVALS_H_
#define WIGEONLANE_LOAD_ARRIVALS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "load/load_plan.h"

namespace wigeonlane {

/// One request to send.
struct Arrival {
  std::chrono::microseconds at{0};  ///< Since the start of the run.
  std::size_t stream = 0;
  std::size_t target = 0;
  std::uint64_t number = 0;  ///< Unique in the run.
  std::chrono::microseconds work{0};
};

/// All arrivals of the run in time order: Poisson streams with exponential work.
std::vector<Arrival> MakeArrivals(const LoadPlan& plan);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_ARRIVALS_H_
