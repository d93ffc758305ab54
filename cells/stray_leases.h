/// Leases on a runner that commands to its earlier incarnations may grant.
///
/// The platform may execute a command seconds after it was sent, also on an incarnation that
/// started in between. The deadline of the command refers to the clock of the earlier incarnation,
/// so the lease may be as long as the runner allows. An incarnation refuses such commands from the
/// first call on that was meant for it, since that call carries a higher fencing token.
#ifndef WIGEONLANE_CELLS_STRAY_LEASES_H_
#define WIGEONLANE_CELLS_STRAY_LEASES_H_

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"
#include "core/clock.h"

namespace wigeonlane {

/// Keeps a bound of these leases for each runner id, in the store as well: a successor does not
/// know which commands its predecessors sent.
class StrayLeases {
 public:
  /// Records that commands with a deadline were sent to this incarnation of a runner, which has
  /// ended or is given up. Leases that they grant on later incarnations end by `end`.
  void Add(const RunnerListing& listing, Instant end);

  /// Records that an incarnation was called, so that such leases on it end by `limit`; those on
  /// later incarnations may end later. Returns when they end; `Instant{}` if no earlier incarnation
  /// was sent commands.
  Instant Limit(const RunnerListing& listing, Instant limit);

  /// Whether this incarnation is later than one that commands were meant for, so that these may
  /// have granted such a lease on it.
  bool IsLater(const RunnerListing& listing) const;

  /// Returns when such leases end on a runner that former owners have sent commands to;
  /// `Instant{}` if there are none. `limit` is the end of those by commands that were executed
  /// before the takeover.
  Instant EndOn(const RunnerListing& listing, Instant limit) const;

  /// Removes the bounds that have passed. Returns the ids of runners whose stored bound has passed.
  std::vector<std::string> TakeExpired(Instant now);

  /// Encodes the bound of a runner that the collection contains.
  std::string Encoded(const std::string& runner_id, Instant now) const;

  /// Adds a stored bound, which is counted from now because the time of writing is unknown. Errors:
  /// InvalidArgument.
  absl::Status Restore(const std::string& runner_id, std::string_view bytes, Instant now);

 private:
  struct Bound {
    /// Start of the first incarnation that commands were meant for.
    std::chrono::milliseconds first_addressed{0};
    /// Start of the newest incarnation that commands were meant for.
    std::chrono::milliseconds addressed{0};
    Instant end{};
    /// Start of the newest incarnation that refuses these commands; 0 if none has been called.
    std::chrono::milliseconds contacted{0};
    Instant contacted_end{};  ///< On that incarnation.
    bool stored = true;       ///< The store has a record of it.

    /// The end that a successor has to know.
    Instant StoredEnd() const {
      return contacted == std::chrono::milliseconds(0) ? end : contacted_end;
    }
  };

  std::map<std::string, Bound> bounds_;  ///< By runner id.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_STRAY_LEASES_H_
