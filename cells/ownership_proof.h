/// Decides when an owner may conclude from the time that leases are over.
///
/// An owner knows how long the leases last that it granted itself. That no other owner has
/// prolonged them holds only as long as it owned the cell, and it may lose the cell without
/// noticing: the membership ends while the store is out of reach or the process is suspended, and
/// the store may reassign a cell at any time. So an inference from time needs a confirmation of
/// ownership that covers that time. Once there is one, the inference stays valid.
#ifndef WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_
#define WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_

#include <algorithm>

#include "core/clock.h"

namespace wigeonlane {

class OwnershipProof {
 public:
  /// The store confirmed a renewal that was sent at `sent`. When the response was read does not
  /// matter: the cell may have been lost since the store decided.
  void Confirm(Instant sent) { confirmed_until_ = std::max(confirmed_until_, sent); }

  /// Other instances may have owned the cell between two confirmed renewals. Their leases end by
  /// `end`.
  void RecordOtherOwners(Instant end) {
    other_owners_leases_end_ = std::max(other_owners_leases_end_, end);
  }

  /// Returns when all leases on a runner end, given the end of those that this owner and its
  /// predecessors granted.
  Instant LeaseEnd(Instant own_end) const { return std::max(own_end, other_owners_leases_end_); }

  /// Whether all leases on a runner are over, given the end of those that this owner and its
  /// predecessors granted.
  bool IsOver(Instant own_end, Instant now) const {
    return LeaseEnd(own_end) <= std::min(confirmed_until_, now);
  }

  /// An inference that needs `IsOver` waits for the next confirmation, unless the leases last on.
  void Await(Instant own_end, Instant now) {
    const Instant end = LeaseEnd(own_end);
    if (end <= now) awaited_ = std::max(awaited_, end);
  }

  /// Whether the confirmation of a renewal that is sent now will end such a wait.
  bool awaits_confirmation() const { return confirmed_until_ < awaited_; }

 private:
  Instant confirmed_until_{};  ///< When the newest confirmed renewal was sent.
  Instant other_owners_leases_end_{};
  Instant awaited_{};  ///< Until when inferences need a confirmation.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_
