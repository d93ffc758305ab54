/// When the holder of a role may act, and how long its successor must not.
#ifndef WIGEONLANE_CELLS_ROLE_TERM_H_
#define WIGEONLANE_CELLS_ROLE_TERM_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/clock.h"

namespace wigeonlane {

/// What the holder of a role knows of the one before.
struct RolePredecessor {
  /// Whether the store holds no record of a former handover any more. Should we fall silent, our
  /// successor would rely on it and not wait for what we do.
  bool record_cleared = false;
  std::optional<Instant> left = {};  ///< When what it did is over; nothing when it did not say.
};

struct RoleTermOptions {
  /// A former holder that said nothing has ceased to act after this.
  std::chrono::milliseconds takeover_wait{0};
  /// Nobody else may act for this long after an act.
  std::chrono::milliseconds act_lease{0};
};

/// The times of one holder of a role that goes from hand to hand. Reads no clock itself.
class RoleTerm {
 public:
  explicit RoleTerm(RoleTermOptions options) : options_(options) {}

  /// The role is ours from `now` on; whoever had it may act for the longest time.
  void Begin(Instant now) {
    predecessors_done_at_ = now + options_.takeover_wait;
    record_gone_ = false;
  }

  void RecordPredecessor(const RolePredecessor& known) {
    record_gone_ = known.record_cleared;
    if (known.left) predecessors_done_at_ = std::min(predecessors_done_at_, *known.left);
  }

  /// Whether no former holder can act any more, and our successor will wait for us.
  bool MayAct(Instant now) const { return record_gone_ && now >= predecessors_done_at_; }

  /// How long a successor must not act when the role is given up at `now`. A successor that finds
  /// our record waits for nobody else, so the rest of our own wait is part of it.
  std::chrono::milliseconds RequiredSuccessorWait(Instant last_act, Instant now) const {
    const Instant over = std::max(last_act + options_.act_lease, predecessors_done_at_);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(over - now);
    return std::max(left, std::chrono::milliseconds(0));
  }

 private:
  RoleTermOptions options_;
  Instant predecessors_done_at_{};  ///< Of former holders.
  bool record_gone_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_ROLE_TERM_H_
