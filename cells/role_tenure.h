/// When the holder of a role may act, and how long its successor must not.
#ifndef WIGEONLANE_CELLS_ROLE_TENURE_H_
#define WIGEONLANE_CELLS_ROLE_TENURE_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "core/clock.h"

namespace wigeonlane {

struct RoleTenureOptions {
  /// A former holder that said nothing has ceased to act after this.
  std::chrono::milliseconds takeover_wait{0};
  /// Nobody else may act for this long after an act.
  std::chrono::milliseconds act_lease{0};
};

/// The times of one holder of a role that goes from hand to hand. Reads no clock itself.
class RoleTenure {
 public:
  explicit RoleTenure(RoleTenureOptions options) : options_(options) {}

  /// The role is ours from `now` on; whoever had it may act for the longest time.
  void Begin(Instant now) { free_at_ = now + options_.takeover_wait; }

  /// The predecessor left in good order: what it did is over at `left`. Nothing while that is
  /// unknown.
  void NotePredecessor(std::optional<Instant> left) {
    if (left) free_at_ = std::min(free_at_, *left);
  }

  /// Whether no former holder can act any more.
  bool MayAct(Instant now) const { return now >= free_at_; }

  /// How long a successor must not act when the role is given up at `now`. A successor that finds
  /// our record waits for nobody else, so the rest of our own wait is part of it.
  std::chrono::milliseconds PauseOfSuccessor(Instant last_act, Instant now) const {
    const Instant over = std::max(last_act + options_.act_lease, free_at_);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(over - now);
    return std::max(left, std::chrono::milliseconds(0));
  }

 private:
  RoleTenureOptions options_;
  Instant free_at_{};  ///< Of former holders.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_ROLE_TENURE_H_
