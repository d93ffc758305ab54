/// The stand-in platform's append-only log, in memory.
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

/// A log with offsets, bounded retention and a bounded rate of appends. Payloads are opaque text.
class PlatformLog {
 public:
  /// `appends_per_second` bounds appends (not records); `keep_records` bounds retention.
  PlatformLog(double appends_per_second, std::size_t keep_records);

  /// Appends records together. Errors: ResourceExhausted above the rate.
  absl::StatusOr<Offset> Append(const std::vector<NewRecord>& records);

  /// Waits up to `wait` for records from `from` on. Errors: OutOfRange when they were trimmed.
  absl::StatusOr<LogPage> Read(Offset from, std::size_t most, std::chrono::milliseconds wait);

  /// Trims every record below `first`.
  void TrimTo(Offset first);

  std::size_t appends() const;

 private:
  bool TakeToken();
  Offset End() const { return first_ + entries_.size(); }

  const double appends_per_second_;
  const std::size_t keep_records_;
  mutable std::mutex mutex_;
  std::condition_variable grown_;
  std::deque<LogEntry> entries_;
  Offset first_ = 0;
  std::size_t appends_ = 0;
  double tokens_;
  SteadyClock clock_;
  Instant refilled_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_PLATFORM_LOG_H_
