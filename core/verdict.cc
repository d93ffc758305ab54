#include "core/verdict.h"

#include <algorithm>
#include <utility>

namespace wigeonlane {

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not-run";
    case Execution::kMayHaveRun:
      return "may-have-run";
    case Execution::kRan:
      return "ran";
  }
  return "may-have-run";
}

void ExecutionTrace::Raise(Execution execution) { execution_ = std::max(execution_, execution); }

Verdict::Verdict(const ExecutionTrace& trace, absl::Status status,
                 std::optional<std::chrono::milliseconds> retry_after)
    : trace_(trace), status_(std::move(status)), retry_after_(retry_after) {}

Verdict Verdict::Ran() {
  ExecutionTrace trace;
  trace.Raise(Execution::kRan);
  return {trace, absl::OkStatus(), std::nullopt};
}

Verdict Verdict::Failed(const ExecutionTrace& trace, absl::Status reason,
                        std::optional<std::chrono::milliseconds> retry_after) {
  return {trace, std::move(reason), retry_after};
}

Verdict Verdict::Refused(absl::Status reason,
                         std::optional<std::chrono::milliseconds> retry_after) {
  return {ExecutionTrace(), std::move(reason), retry_after};
}

Verdict Verdict::Uncertain(absl::Status reason) {
  ExecutionTrace trace;
  trace.Raise(Execution::kMayHaveRun);
  return {trace, std::move(reason), std::nullopt};
}

}  // namespace wigeonlane
