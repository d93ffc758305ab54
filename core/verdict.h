/// Verdicts report to the caller whether a request may have run on a backend server.
#ifndef WIGEONLANE_CORE_VERDICT_H_
#define WIGEONLANE_CORE_VERDICT_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace wigeonlane {

/// What is known about the execution of a request. The values are ordered: the state of a request
/// only ever moves to a later value.
enum class Execution { kNotRun, kMayHaveRun, kRan };

/// Returns the value of the `Wigeonlane-Verdict` header: "not-run", "may-have-run" or "ran".
std::string_view ToString(Execution execution);

/// Accumulates what is known about the execution of one request over all its attempts. The value
/// cannot be reset, lowered or assigned, so that a request that may have run can never be reported
/// as not run.
class ExecutionTrace {
 public:
  ExecutionTrace() = default;
  ExecutionTrace(const ExecutionTrace&) = default;
  ExecutionTrace& operator=(const ExecutionTrace&) = delete;

  /// Raises the recorded execution to `execution`. A lower value has no effect.
  void Raise(Execution execution);

  Execution execution() const { return execution_; }

 private:
  Execution execution_ = Execution::kNotRun;
};

/// Final outcome of a request: its execution, the error if any, and for refusals the time after
/// which the caller may retry.
class Verdict {
 public:
  /// A request that ran and whose response was read completely.
  static Verdict Ran();

  /// A request without a complete response. `trace` holds whether it may have run. `reason` must
  /// not be OK. `retry_after` is sent to the caller if a retry can succeed.
  static Verdict Failed(const ExecutionTrace& trace, absl::Status reason,
                        std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

  /// A request that was refused before any attempt.
  static Verdict Refused(absl::Status reason,
                         std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

  /// A request that was or may have been sent earlier, by this or another instance, and whose
  /// outcome is not known here.
  static Verdict Uncertain(absl::Status reason);

  Verdict(const Verdict&) = default;
  Verdict(Verdict&&) = default;
  Verdict& operator=(const Verdict&) = delete;
  Verdict& operator=(Verdict&&) = delete;

  Execution execution() const { return trace_.execution(); }
  const absl::Status& status() const { return status_; }
  std::optional<std::chrono::milliseconds> retry_after() const { return retry_after_; }

 private:
  Verdict(const ExecutionTrace& trace, absl::Status status,
          std::optional<std::chrono::milliseconds> retry_after);

  ExecutionTrace trace_;
  absl::Status status_;
  std::optional<std::chrono::milliseconds> retry_after_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_VERDICT_H_
