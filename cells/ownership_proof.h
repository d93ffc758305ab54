/// Decides when an owner may conclude from the time that leases are over.
///
/// An owner knows how long the leases last that it granted itself. That no other owner has
/// prolonged them holds only as long as it owned the cell, and it may lose the cell without
/// noticing: the membership ends while the store is out of reach or the process is suspended, and
/// the store may reassign a cell at any time. So an inference from time needs a confirmation of
/// ownership that covers that time: a renewal or an append that was sent at or after it and has
/// succeeded. Once there is one, the inference stays valid.
#ifndef WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_
#define WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_

#include <algorithm>

#include "core/clock.h"

namespace wigeonlane {

class OwnershipProof {
 public:
  /// The store confirmed a renewal that was sent at `sent`. When the response was read does not
  /// matter: the cell may have been lost since the store decided.
  void ConfirmRenewal(Instant sent) { renewed_until_ = std::max(renewed_until_, sent); }

  /// The store accepted an append that was sent at `sent`, so until then no owner with a higher
  /// token had fenced the partition. Each does so before it calls a runner.
  void ConfirmAppend(Instant sent) { unfenced_until_ = std::max(unfenced_until_, sent); }

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
    return LeaseEnd(own_end) <= std::min(renewed_until_, now);
  }

  /// The same for a runner that has responded to this owner. It refuses owners with lower tokens,
  /// so an append shows as well that nobody else has called it.
  bool IsOverOnClaimed(Instant own_end, Instant now) const {
    return own_end <= std::min(unfenced_until_, now) || IsOver(own_end, now);
  }

  /// An inference that needs `IsOver` waits for a confirmation.
  void Await(Instant own_end, Instant now) {
    const Instant end = LeaseEnd(own_end);
    if (end <= now) awaited_ = std::max(awaited_, end);
  }

  /// Whether the confirmation of a renewal that is sent now would end such a wait.
  bool awaits_renewal() const { return std::max(renewed_until_, unfenced_until_) < awaited_; }

 private:
  Instant renewed_until_{};   ///< When the newest confirmed renewal was sent.
  Instant unfenced_until_{};  ///< When the newest append that the store accepted was sent.
  Instant other_owners_leases_end_{};
  Instant awaited_{};  ///< Until when inferences need a confirmation.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_OWNERSHIP_PROOF_H_
