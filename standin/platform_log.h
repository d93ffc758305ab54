/// In-memory append-only log of the stand-in platform.
#ifndef WIGEONLANE_STANDIN_PLATFORM_LOG_H_
#define WIGEONLANE_STANDIN_PLATFORM_LOG_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "platform/log_service.h"

namespace wigeonlane {

/// A log with offsets, limited retention and a limited append rate. Payloads are opaque text. Safe
/// for several threads.
class PlatformLog {
 public:
  /// `appends_per_second` limits appends, not records; `max_records` limits the retained records.
  PlatformLog(double appends_per_second, std::size_t max_records);

  /// Appends records as one batch and returns the offset of the first one. Errors:
  /// ResourceExhausted above the append rate.
  absl::StatusOr<Offset> Append(const std::vector<NewRecord>& records);

  /// Waits up to `wait` for records at or after offset `from`. Errors: OutOfRange when the record
  /// at `from` was trimmed.
  absl::StatusOr<LogPage> Read(Offset from, std::size_t max_entries,
                               std::chrono::milliseconds wait);

  /// Trims every record below `first`.
  void TrimTo(Offset first);

  /// Returns the number of accepted appends.
  std::size_t appends() const;

 private:
  /// Takes one token from the bucket that limits the append rate; returns false if none is left.
  bool TakeAppendToken();
  Offset EndOffset() const { return first_offset_ + entries_.size(); }

  const double appends_per_second_;
  const std::size_t max_records_;
  mutable std::mutex mutex_;
  std::condition_variable records_appended_;
  std::deque<LogEntry> entries_;
  Offset first_offset_ = 0;
  std::size_t appends_ = 0;
  double tokens_;
  SteadyClock clock_;
  Instant refilled_at_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_PLATFORM_LOG_H_
