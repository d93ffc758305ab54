/// Open-loop arrivals: the seed fixes all of them before the run, independently of the responses.
#ifndef WIGEONLANE_LOAD_ARRIVALS_H_
#define WIGEONLANE_LOAD_ARRIVALS_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "load/load_plan.h"

namespace wigeonlane {

/// One request to send.
struct Arrival {
  std::chrono::microseconds at{0};    ///< Time to send, since the start of the run.
  std::size_t stream = 0;             ///< Index into LoadPlan::streams.
  std::size_t target = 0;             ///< Index into LoadPlan::targets.
  std::uint64_t number = 0;           ///< Unique within the run.
  std::chrono::microseconds work{0};  ///< Work requested of the stand-in runner.
};

/// Returns all arrivals of the run in time order: Poisson streams with exponential work.
std::vector<Arrival> MakeArrivals(const LoadPlan& plan);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_ARRIVALS_H_
