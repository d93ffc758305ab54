/// Verdicts: whether a request may have run on a backend server, told to every caller.
#ifndef WIGEONLANE_CORE_VERDICT_H_
#define WIGEONLANE_CORE_VERDICT_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "absl/status/status.h"

namespace wigeonlane {

/// What is known of a request's execution. Ordered: knowledge only ever moves to the right.
enum class Execution { kNotRun, kMayHaveRun, kRan };

/// Value of the `Wigeonlane-Verdict` header: "not-run", "may-have-run" or "ran".
std::string_view ToString(Execution execution);

/// Accumulates what is known of one request over all its attempts. It cannot be reset, lowered
/// or assigned, so a request that may have run can never be reported as not run.
class ExecutionTrace {
 public:
  ExecutionTrace() = default;
  ExecutionTrace(const ExecutionTrace&) = default;
  ExecutionTrace& operator=(const ExecutionTrace&) = delete;

  /// Records new knowledge; a lower value than the present one changes nothing.
  void Raise(Execution execution);

  Execution execution() const { return execution_; }

 private:
  Execution execution_ = Execution::kNotRun;
};

/// Final outcome of a request: its execution, the reason, and for refusals when to come back.
class Verdict {
 public:
  /// A request that ran and whose whole answer was read.
  static Verdict Ran();

  /// A request without a whole answer. `trace` decides between not-run and may-have-run;
  /// `why` must not be OK. `retry_after` is told to the caller when it is worth asking again.
  static Verdict Failed(const ExecutionTrace& trace, absl::Status why,
                        std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

  /// A request refused before any attempt was made.
  static Verdict Refused(absl::Status why,
                         std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

  /// A request whose execution was decided elsewhere and whose outcome is not known here.
  static Verdict Uncertain(absl::Status why);

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
