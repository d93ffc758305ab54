/// Load plan: the parsed and validated content of a run file.
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

/// One stream of requests that arrive at random times, independently of earlier responses.
struct LoadStream {
  std::string service;
  std::string method;
  std::string urgency;
  double per_second = 0;              ///< Mean arrivals per second.
  std::chrono::microseconds work{0};  ///< Mean work requested of the stand-in runner.
  std::chrono::milliseconds deadline{0};
  bool keys = false;          ///< Each request carries a unique Idempotency-Key.
  std::uint32_t repeats = 0;  ///< Maximum repeats after "not-run" or an uncertain response.
  std::chrono::milliseconds flood_at{0};   ///< Start of the flood, since the start of the run.
  std::chrono::milliseconds flood_for{0};  ///< Duration of the flood; 0 means none.
  double flood_times = 1;  ///< Arrivals during the flood, as a multiple of the mean.
};

/// Settings of a whole run: streams, targets, callers and the ledgers for the audit.
struct LoadPlan {
  std::uint64_t seed = 1;  ///< Seed of the arrivals; part of every key and body.
  std::chrono::milliseconds duration{0};
  std::size_t threads = 0;        ///< Maximum requests in flight.
  std::vector<Endpoint> targets;  ///< Entry instances, or runners for a direct baseline.
  std::vector<double> weights;  ///< Relative share of each target, to model a skewed load balancer.
  std::size_t closed_callers = 0;  ///< Number of closed-loop callers; 0 means open loop.
  bool direct = false;             ///< Targets are runners; paths lack the prefix /v1/services.
  std::vector<Endpoint> ledgers;   ///< Control addresses of the stand-in runners, for the audit.
  std::vector<LoadStream> streams;
};

/// Parses the JSON text of a run file. Errors: InvalidArgument with one line that names
/// the path of the invalid field.
absl::StatusOr<LoadPlan> ParseLoadPlan(std::string_view json_text);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_PLAN_H_
