/// What load to make: a checked run file.
#ifndef WIGEONLANE_LOAD_LOAD_PLAN_H_
#define WIGEONLANE_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/settings.h"

namespace wigeonlane {

/// One stream of requests that arrive at random, whatever becomes of earlier ones.
struct LoadStream {
  std::string service;
  std::string method;
  std::string urgency;
  double per_second = 0;              ///< Mean arrivals.
  std::chrono::microseconds work{0};  ///< Mean work asked of the stand-in runner.
  std::chrono::milliseconds deadline{0};
  bool keys = false;                       ///< Every request carries an Idempotency-Key of its own.
  std::uint32_t repeats = 0;               ///< Most repeats after "not-run" or an uncertain answer.
  std::chrono::milliseconds flood_at{0};   ///< When the flood begins.
  std::chrono::milliseconds flood_for{0};  ///< How long it lasts; 0 means none.
  double flood_times = 1;  ///< Arrivals during the flood, as a multiple of the mean.
};

struct LoadPlan {
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{0};
  std::size_t threads = 0;         ///< Most requests in flight.
  std::vector<Endpoint> targets;   ///< Entry instances, or runners for a direct baseline.
  std::vector<double> weights;     ///< Share of each target, as a skewed balancer gives.
  std::size_t closed_callers = 0;  ///< Callers that send one request after another; 0: open.
  bool direct = false;             ///< Targets are runners: no service in the path.
  std::vector<Endpoint> ledgers;   ///< Control addresses of stand-in runners.
  std::vector<LoadStream> streams;
};

/// Parses the JSON text of a run file. Errors: InvalidArgument, one line with the path.
absl::StatusOr<LoadPlan> ParseLoadPlan(std::string_view json_text);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_PLAN_H_
