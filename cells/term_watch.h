/// What an instance has seen of the tenures of others.
#ifndef WIGEONLANE_CELLS_TERM_WATCH_H_
#define WIGEONLANE_CELLS_TERM_WATCH_H_

#include <functional>
#include <optional>

#include "cells/cell_types.h"
#include "core/clock.h"

namespace wigeonlane {

/// Lets a new owner count from the beginning of an earlier tenure in place of its own.
struct TermWatch {
  /// No renewal of an owner before us was carried out later than the beginning of the generation of
  /// this token. It is our own, unless we held the cell in that generation before; 0 when unknown.
  TermToken no_renewals_since = 0;
  /// From the token of a generation to that of the next.
  TermToken step = 0;
  /// A time by which the generation of a token had begun.
  std::function<std::optional<Instant>(TermToken)> started_by = [](TermToken) {
    return std::optional<Instant>();
  };

  /// Whether nobody else can have owned the cell since its owner saw that it did so in the
  /// generation of this token. An owner that loses a cell and is dealt it again between two
  /// renewals goes on without reading what was stored in between.
  bool Follows(TermToken last_owned_token) const {
    return no_renewals_since != 0 && no_renewals_since <= last_owned_token + step;
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_TERM_WATCH_H_
