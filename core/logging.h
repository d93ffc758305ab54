/// Structured logging of events and of routing and placement decisions, written asynchronously.
#ifndef WIGEONLANE_CORE_LOGGING_H_
#define WIGEONLANE_CORE_LOGGING_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "absl/status/status.h"

namespace wigeonlane {

enum class LogFormat { kKeyValue, kJson };

/// Level, format and destination of the log.
struct LogOptions {
  std::string level = "info";  ///< trace, debug, info, warn, error or off.
  LogFormat format = LogFormat::kKeyValue;
  bool decisions = true;            ///< Whether `LogDecision` writes lines.
  bool to_standard_output = false;  ///< False: the log goes to standard error.
};

/// One `name=value` field of a line.
struct LogField {
  std::string_view name;
  std::string value;
};

/// Starts the asynchronous logger. Its buffer is bounded, so that logging never blocks: when the
/// buffer is full, the oldest buffered line is dropped. New decisions on runs of tasks ("start",
/// "run_end", "free") are dropped before it is full, so that they push out no other line. The log
/// reports dropped lines: `event=log_lines_dropped count=N of_runs=R period_ms=M` says that N lines
/// of the last M ms are missing, R of them such decisions. Errors: InvalidArgument for an unknown
/// level.
absl::Status StartLogging(const LogOptions& options);

/// Flushes and stops the logger.
void StopLogging();

/// Returns how many lines were dropped since the start because the buffer was full.
std::uint64_t DroppedLogLines();

/// Whether `LogDecision` writes lines. Callers may skip building the fields when it does not.
bool DecisionLogEnabled();

/// Writes one decision line. `kind` names the decision, for example "route" or "admit".
void LogDecision(std::string_view kind, std::initializer_list<LogField> fields);

/// Writes one event line at info, warn or error level, respectively.
void LogInfo(std::string_view event, std::initializer_list<LogField> fields = {});
void LogWarning(std::string_view event, std::initializer_list<LogField> fields = {});
void LogError(std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_LOGGING_H_
