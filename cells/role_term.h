/// Decides when the holder of a role may act, and how long its successor must wait.
#ifndef WIGEONLANE_CELLS_ROLE_TERM_H_
#define WIGEONLANE_CELLS_ROLE_TERM_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/clock.h"

namespace wigeonlane {

/// What the holder of a role knows about its predecessor.
struct RolePredecessor {
  /// Whether the store holds no handover record of an earlier holder any more. If this holder
  /// became unresponsive, its successor would rely on that record and not wait for its actions.
  bool record_cleared = false;
  std::optional<Instant> actions_end = {};  ///< When its last action ends; nothing when unknown.
};

struct RoleTermOptions {
  /// A predecessor without a handover record does not act any more after this time.
  std::chrono::milliseconds takeover_wait{0};
  /// After an action, no other holder may act for this long.
  std::chrono::milliseconds act_lease{0};
};

/// Waits and leases of one holder of a role that passes between instances. Reads no clock itself.
class RoleTerm {
 public:
  explicit RoleTerm(RoleTermOptions options) : options_(options) {}

  /// This instance holds the role from `now` on. Assumes that the predecessor may act for the
  /// longest possible time, until `RecordPredecessor` says otherwise.
  void Begin(Instant now) {
    predecessors_done_at_ = now + options_.takeover_wait;
    record_cleared_ = false;
  }

  void RecordPredecessor(const RolePredecessor& predecessor) {
    record_cleared_ = predecessor.record_cleared;
    if (predecessor.actions_end) {
      predecessors_done_at_ = std::min(predecessors_done_at_, *predecessor.actions_end);
    }
  }

  /// Whether no earlier holder can act any more, and a successor will wait for this holder.
  bool MayAct(Instant now) const { return record_cleared_ && now >= predecessors_done_at_; }

  /// How long a successor must not act when this holder gives up the role at `now`. A successor
  /// that finds the record of this holder waits for no earlier one, so the result includes the rest
  /// of the wait of this holder.
  std::chrono::milliseconds RequiredSuccessorWait(Instant last_act, Instant now) const {
    const Instant actions_end = std::max(last_act + options_.act_lease, predecessors_done_at_);
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(actions_end - now);
    return std::max(wait, std::chrono::milliseconds(0));
  }

 private:
  RoleTermOptions options_;
  Instant predecessors_done_at_{};  ///< When no earlier holder can act any more.
  bool record_cleared_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_ROLE_TERM_H_
