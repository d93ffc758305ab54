/// Timings of a cell's ownership, leases and looks, and the inequality that ties them together.
#ifndef WIGEONLANE_CELLS_CELL_OPTIONS_H_
#define WIGEONLANE_CELLS_CELL_OPTIONS_H_

#include <chrono>

namespace wigeonlane {

/// All periods of one cell. An owner starts work only while it has authority, which ends
/// `authority` after the last renewal that the store confirmed was sent, and grants no lease that
/// lasts longer than `max_lease_after_renewal` after that renewal. Renewals are not confirmed once
/// the cell is another's. So a successor may assume that nothing of its predecessor runs on a
/// runner it cannot reach `max_lease_after_renewal` after it was dealt the cell.
struct CellOptions {
  /// Leases survive a takeover (about 1.5 s) and bound how long a lost runner blocks its tasks.
  std::chrono::milliseconds lease{5'000};
  /// Longest lease that a runner grants, whatever it is asked for.
  std::chrono::milliseconds max_lease{10'000};
  /// The longest that the platform holds an order up before it is carried out (12 s), and more.
  std::chrono::milliseconds max_command_delay{13'000};
  /// Longest outage of the store through which an owner goes on starting work.
  std::chrono::milliseconds authority{3'000};
  /// Nothing that an owner granted lasts longer after its last renewal. Bounded from below by the
  /// platform's outages of the store (about 4.5 s), which runs should outlive, and from above by
  /// the time that a lasting task may be away (9 s) less a takeover (about 1.6 s).
  std::chrono::milliseconds max_lease_after_renewal{5'800};
  /// Share of true time that the slowest runner's clock counts (platform: 2% slow).
  double min_clock_rate = 0.98;
  /// An idle runner's clock is read again after this. Within a minute a slow one falls behind by up
  /// to 1.2 s, by which deadlines on it are uncertain.
  std::chrono::milliseconds clock_refresh_interval{60'000};
  /// Covers the round trip and the rounding of clocks to milliseconds.
  std::chrono::milliseconds clock_slack{200};

  /// A start that arrives later than this on the runner's clock is refused by it, which settles
  /// starts that were held up on the way (the platform carries some out 2 s late or more).
  std::chrono::milliseconds start_validity{1'500};
  /// The longest answer to an order on a busy quarter core, and then some.
  std::chrono::milliseconds command_timeout{600};
  /// Pause before a stop that was not answered is sent again.
  std::chrono::milliseconds stop_retry_interval{300};
  /// Longest wait of a look; renews the lease several times over.
  std::chrono::milliseconds poll_wait{1'500};
  /// Longest wait of a look that cannot extend the lease; about a renewal's period.
  std::chrono::milliseconds unleased_poll_wait{200};
  /// Wait of a look on a runner whose serving tasks must be watched.
  std::chrono::milliseconds watched_poll_wait{500};
  /// Least time between two looks at one runner, so that ends are noted in batches.
  std::chrono::milliseconds min_poll_interval{30};
  /// Pause before a runner whose ends the store has not taken yet is asked again; a look cannot
  /// wait for news there. A lease is 25 times as long.
  std::chrono::milliseconds unstored_poll_interval{200};
  /// Pause after a look that failed.
  std::chrono::milliseconds poll_retry_delay{200};
  /// Least time between two appends, so that one call to the store carries many records.
  std::chrono::milliseconds min_commit_interval{15};
  /// An append outstanding for longer means that the store is in trouble: callers are refused.
  std::chrono::milliseconds commit_stall_timeout{400};
  /// Least time between tries to place waiting tasks while nothing happens.
  std::chrono::milliseconds schedule_retry_interval{200};
  /// How long the state of a finished job is kept for callers (platform: status_s).
  std::chrono::milliseconds finished_job_retention{130'000};
  /// A runner that has not answered for this long after a takeover is noted for the successor.
  /// Sound ones answer in some milliseconds, and would have to wait for that record to be replaced.
  std::chrono::milliseconds unreconciled_record_delay{200};
  /// Between records of silent runners: a successor that cannot tell how old the record is waits
  /// for that much too long.
  std::chrono::milliseconds lease_limit_record_interval{500};
  /// Longest time that a stopped task takes to go, a bound of the platform's.
  std::chrono::milliseconds stop_grace{900};

  /// How long a lease on a new life may last when orders to its former life may reach it: their
  /// deadlines are on the former clock and mean nothing there.
  std::chrono::milliseconds MaxStrayLease() const {
    return max_command_delay + MaxStrayLeaseAfterContact();
  }

  /// The same once the new life has been called and refuses such orders.
  std::chrono::milliseconds MaxStrayLeaseAfterContact() const { return MaxRealTime(max_lease); }

 private:
  /// The longest that a period on a runner's clock takes.
  std::chrono::milliseconds MaxRealTime(std::chrono::milliseconds period) const {
    const auto longest = std::chrono::duration<double, std::milli>(period) / min_clock_rate;
    return std::chrono::duration_cast<std::chrono::milliseconds>(longest) + clock_slack;
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_OPTIONS_H_
