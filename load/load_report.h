/// Results of a load run: counts, percentiles and figures by second, as table, JSON and SVG.
#ifndef WIGEONLANE_LOAD_LOAD_REPORT_H_
#define WIGEONLANE_LOAD_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/load_plan.h"
#include "load/order_audit.h"

namespace wigeonlane {

/// Final outcome of one request, after its repeats.
enum class LoadOutcome { kRan, kNotRun, kMayHaveRun, kError };

/// One finished request.
struct LoadSample {
  std::size_t stream = 0;
  std::chrono::microseconds scheduled{0};  ///< Scheduled time, since the start of the run.
  std::chrono::microseconds latency{0};    ///< Measured from the scheduled time, not from sending.
  LoadOutcome outcome = LoadOutcome::kError;
  /// The request ran with a 2xx response and, in a stream without repeats, within its deadline.
  bool success = false;
};

/// Figures of one stream.
struct StreamReport {
  std::string service;
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t errors = 0;
  std::uint64_t good = 0;  ///< Requests with LoadSample::success.
  std::chrono::microseconds p50{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds worst{0};
  std::chrono::microseconds refusal_p50{0};  ///< Median time to a "not-run" response.
  std::vector<std::uint64_t> good_by_second;
  std::vector<std::uint64_t> refused_by_second;
};

/// Results of a whole run.
struct LoadReport {
  std::vector<StreamReport> streams;
  OrderAuditResult orders;
};

/// Returns the figures of each stream of the plan, in its sequence.
std::vector<StreamReport> Summarize(const LoadPlan& plan, const std::vector<LoadSample>& samples);

std::string ToTable(const LoadReport& report);
std::string ToJson(const LoadReport& report);

/// Returns an SVG plot of the goodput and refusals by second of each stream.
std::string ToSvg(const LoadReport& report);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_REPORT_H_
