/// Timing options of a cell's ownership, leases and polls, and the constraint that relates them.
#ifndef WIGEONLANE_CELLS_CELL_OPTIONS_H_
#define WIGEONLANE_CELLS_CELL_OPTIONS_H_

#include <chrono>
#include <cstddef>

#include "cells/store_limits.h"

namespace wigeonlane {

/// Timing options of one cell. An owner starts work only while it has authority, which ends
/// `authority` after it sent the last renewal that the store confirmed. It grants no lease that
/// ends later than `max_lease_after_renewal` after that renewal. The store confirms no renewals
/// once the cell is assigned to another owner. A successor may therefore assume that, once
/// `max_lease_after_renewal` has passed since the cell was assigned to it, no run of its
/// predecessor is left on a runner that it cannot reach.
struct CellOptions {
  StoreLimits store_limits;
  /// Length of a lease. It outlasts a takeover (about 1.5 s) and bounds how long a lost runner
  /// blocks its tasks.
  std::chrono::milliseconds lease{5'000};
  /// Longest lease that a runner accepts; it shortens longer ones.
  std::chrono::milliseconds max_lease{10'000};
  /// Longest delay before the platform executes a command (12 s), plus a margin.
  std::chrono::milliseconds max_command_delay{13'000};
  /// Longest store outage during which an owner keeps starting work.
  std::chrono::milliseconds authority{3'000};
  /// No lease of an owner ends later than this after its last renewal. Runs should outlive the
  /// platform's store outages (about 4.5 s), and this plus a takeover (about 1.6 s) must not exceed
  /// the 9 s for which a long-running task may be unavailable.
  std::chrono::milliseconds max_lease_after_renewal{5'800};
  /// Rate of the slowest runner clock relative to real time (platform: 2% slow).
  double min_clock_rate = 0.98;
  /// Interval between readings of an idle runner's clock. Within a minute a slow clock falls behind
  /// by up to 1.2 s, which makes deadlines on it uncertain by as much.
  std::chrono::milliseconds clock_refresh_interval{60'000};
  /// Margin for the round trip and for the rounding of clocks to milliseconds.
  std::chrono::milliseconds clock_slack{200};

  /// A runner refuses a start that arrives later than this on its clock. This rules out delayed
  /// starts, some of which the platform delivers 2 s late or more.
  std::chrono::milliseconds start_validity{1'500};
  /// Oldest list of runners by which tasks are started, since an older one may show runners that
  /// have said they leave. The same as `authority`: an outage of the store ends both.
  std::chrono::milliseconds max_listing_age{3'000};
  /// Longest response time to a command with a quarter of a core under load, plus a margin.
  std::chrono::milliseconds command_timeout{600};
  /// Delay before an unacknowledged stop is sent again.
  std::chrono::milliseconds stop_retry_interval{300};
  /// Longest wait of a poll; short enough to renew the lease several times before it ends.
  std::chrono::milliseconds poll_wait{1'500};
  /// Longest wait of a poll that does not extend the lease; about the interval between renewals.
  std::chrono::milliseconds unleased_poll_wait{200};
  /// Longest wait of a poll of a runner whose serving or starting tasks must be watched.
  std::chrono::milliseconds watched_poll_wait{500};
  /// Shortest time between two polls of one runner, so that results are handled in batches.
  std::chrono::milliseconds min_poll_interval{30};
  /// Interval between polls of a runner that has results which are not stored yet: it responds to
  /// such polls without waiting. A lease is 25 times as long.
  std::chrono::milliseconds unstored_poll_interval{200};
  /// Delay after a failed poll.
  std::chrono::milliseconds poll_retry_delay{200};
  /// Shortest time between two appends, so that one call to the store carries many records.
  std::chrono::milliseconds min_commit_interval{15};
  /// Callers are refused while an append has been outstanding for longer than this.
  std::chrono::milliseconds commit_stall_timeout{400};
  /// Interval between attempts to place waiting tasks while no event occurs.
  std::chrono::milliseconds schedule_retry_interval{200};
  /// How long callers can request the state of a finished job (platform: status_s).
  std::chrono::milliseconds finished_job_retention{130'000};
  /// Ids of a cell that are remembered as cancelled although no submission of them has arrived.
  std::size_t max_cancelled_ids = 10'000;
  /// Shortest time from a membership's last renewal until it ends and the cell is assigned to a
  /// successor: the time to live of a member.
  std::chrono::milliseconds min_membership{1'000};
  /// A runner that has not responded for this long after a takeover is recorded for the successor.
  /// Healthy runners respond within milliseconds; recording them would delay their leases until the
  /// record is replaced.
  std::chrono::milliseconds unreconciled_record_delay{200};
  /// Interval between records of unresponsive runners. A successor that does not know the age of a
  /// record waits up to this much longer than necessary.
  std::chrono::milliseconds lease_limit_record_interval{500};
  /// Longest time that a stopped task takes to end (a bound of the platform).
  std::chrono::milliseconds stop_grace{900};

  /// Longest time until the end of a lease on a new incarnation that commands to an earlier
  /// incarnation may still reach: their deadlines refer to the earlier incarnation's clock.
  std::chrono::milliseconds MaxStrayLease() const {
    return max_command_delay + MaxStrayLeaseAfterContact();
  }

  /// The same bound once the new incarnation has been called and refuses such commands.
  std::chrono::milliseconds MaxStrayLeaseAfterContact() const { return MaxRealTime(max_lease); }

 private:
  /// Longest real time that a period on a runner's clock takes.
  std::chrono::milliseconds MaxRealTime(std::chrono::milliseconds period) const {
    const auto longest = std::chrono::duration<double, std::milli>(period) / min_clock_rate;
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest) + clock_slack;
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_OPTIONS_H_
