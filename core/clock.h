/// Runtime clocks, the only source of elapsed time for policies, leases and deadlines.
#ifndef WIGEONLANE_CORE_CLOCK_H_
#define WIGEONLANE_CORE_CLOCK_H_

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>

namespace wigeonlane {

/// A point in time on the monotonic clock of one process. It has no meaning in another process.
using Instant = std::chrono::steady_clock::time_point;

/// Elapsed time on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// Returns `duration` in whole milliseconds, for log lines.
inline std::int64_t MillisOf(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// A clock that can be read. Tests pass `ManualClock`, programs pass `SteadyClock`.
template <typename C>
concept RuntimeClock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

/// Monotonic clock of the operating system.
class SteadyClock {
 public:
  Instant Now() const { return std::chrono::steady_clock::now(); }
};

/// Clock that changes only when a test advances it. Thread-safe.
class ManualClock {
 public:
  Instant Now() const { return Instant(Duration(ticks_.load())); }

  /// Moves the clock forward by `step`, which must not be negative.
  void Advance(Duration step) { ticks_.fetch_add(step.count()); }

 private:
  std::atomic<Duration::rep> ticks_{Duration(std::chrono::hours(1)).count()};
};

static_assert(RuntimeClock<SteadyClock> && RuntimeClock<ManualClock>);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_CLOCK_H_
