/// Numbers of decisions of a cell's owner, for metrics.
#ifndef WIGEONLANE_CELLS_CELL_COUNTERS_H_
#define WIGEONLANE_CELLS_CELL_COUNTERS_H_

#include <cstdint>

namespace wigeonlane {

/// Numbers of decisions since the takeover of the cell, for metrics.
struct CellCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t starts = 0;
  std::uint64_t starts_without_response = 0;
  std::uint64_t starts_refused = 0;
  std::uint64_t polls = 0;
  std::uint64_t runs_done = 0;
  std::uint64_t runs_failed = 0;
  std::uint64_t runs_ended_otherwise = 0;
  std::uint64_t runners_lost = 0;
  std::uint64_t starts_passed_on = 0;  ///< To the entry of a later incarnation.
  std::uint64_t completed = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_COUNTERS_H_
