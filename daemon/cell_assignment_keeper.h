/// Follows the record that divides services among cells, and extends it where it lacks something.
#ifndef WIGEONLANE_DAEMON_CELL_ASSIGNMENT_KEEPER_H_
#define WIGEONLANE_DAEMON_CELL_ASSIGNMENT_KEEPER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cells/cell_assignment.h"
#include "core/boot_clock.h"
#include "platform/keyed_watch.h"
#include "platform/store_client.h"

namespace wigeonlane {

class CellAssignmentKeeper {
 public:
  CellAssignmentKeeper(asio::io_context* io, StoreClient* store, std::uint32_t cells,
                       std::function<void()> changed);

  void Start() { watch_.Start(); }

  const CellAssignment& cell_assignment() const { return cell_assignment_; }
  bool known() const { return !cell_assignment_.services.empty(); }

  /// Records what the division lacks for these services and runners. Any instance may call it: the
  /// record changes only if it is still the one that was extended. The first division waits until
  /// the list of runners has stopped growing, because it decides the number of cells for good.
  void Extend(const std::vector<std::string>& services, const std::vector<RunnerListing>& runners);

 private:
  void ApplyRecord();
  bool RunnerListIsStable(std::size_t runners);

  StoreClient* store_;
  const std::uint32_t cells_;
  const std::function<void()> on_changed_;
  BootClock clock_;
  KeyedWatch watch_;
  CellAssignment cell_assignment_;
  bool record_readable_ = true;  ///< Nothing is written over a record that cannot be read.
  bool writing_ = false;
  std::size_t runner_count_ = 0;  ///< Runners at the last look ...
  Instant runner_count_since_{};  ///< ... and since when there are as many.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_CELL_ASSIGNMENT_KEEPER_H_
