/// Results of a run: counts, percentiles and a timeline, as table, JSON and SVG.
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

/// What became of one request in the end.
enum class LoadOutcome { kRan, kNotRun, kMayHaveRun, kError };

/// One finished request.
struct LoadSample {
  std::size_t stream = 0;
  std::chrono::microseconds scheduled{0};  ///< When it was due, since the start.
  std::chrono::microseconds latency{0};    ///< From when it was due, not from when it was sent.
  LoadOutcome outcome = LoadOutcome::kError;
  bool success = false;  ///< Ran with a 2xx answer within its deadline.
};

/// Figures of one stream.
struct StreamReport {
  std::string service;
  std::uint64_t sent = 0;
  std::uint64_t ran = 0;
  std::uint64_t not_run = 0;
  std::uint64_t may_have_run = 0;
  std::uint64_t errors = 0;
  std::uint64_t good = 0;
  std::chrono::microseconds p50{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds worst{0};
  std::chrono::microseconds refusal_p50{0};  ///< Median time to a "not-run" answer.
  std::vector<std::uint64_t> good_by_second;
  std::vector<std::uint64_t> refused_by_second;
};

struct LoadReport {
  std::vector<StreamReport> streams;
  OrderAuditResult orders;
};

std::vector<StreamReport> Summarize(const LoadPlan& plan, const std::vector<LoadSample>& samples);

std::string ToTable(const LoadReport& report);
std::string ToJson(const LoadReport& report);

/// An SVG with goodput and refusals by second of each stream.
std::string ToSvg(const LoadReport& report);

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_LOAD_REPORT_H_
