/// Clock of elapsed time that keeps running while the instance is suspended.
#ifndef WIGEONLANE_CORE_BOOT_CLOCK_H_
#define WIGEONLANE_CORE_BOOT_CLOCK_H_

#include <ctime>

#include "core/clock.h"

namespace wigeonlane {

/// Leases and authority are timed with this clock, because the steady clock stops while an instance
/// is suspended although time passes for the other instances. Instants of the two clocks must not
/// be mixed.
class BootClock {
 public:
  Instant Now() const {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

static_assert(RuntimeClock<BootClock>);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CORE_BOOT_CLOCK_H_
