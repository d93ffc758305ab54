/// What an instance has observed of the terms of other owners.
#ifndef WIGEONLANE_CELLS_TERM_WATCH_H_
#define WIGEONLANE_CELLS_TERM_WATCH_H_

#include <functional>
#include <optional>

#include "cells/cell_types.h"
#include "core/clock.h"

namespace wigeonlane {

/// Lets a new owner count waits for leases from the start of an earlier term instead of its own.
struct TermWatch {
  /// No renewal of an earlier owner was executed after the start of the generation of this token.
  /// It is the token of this term, unless this instance owned the cell in an earlier term of the
  /// same generation; 0 when unknown.
  TermToken no_renewals_since = 0;
  /// Difference between the tokens of consecutive generations.
  TermToken token_step = 0;
  /// A time by which the generation of a token had started; nothing when unknown.
  std::function<std::optional<Instant>(TermToken)> started_by = [](TermToken) {
    return std::optional<Instant>();
  };

  /// Whether no other instance can have owned the cell between the generation of this token, in
  /// which the writer of a record owned it, and this term. An owner that loses a cell and gets it
  /// again between two renewals continues without reading what was stored in between.
  bool ExcludesOtherOwnersSince(TermToken last_owned_token) const {
    return no_renewals_since != 0 && no_renewals_since <= last_owned_token + token_step;
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_TERM_WATCH_H_
