/// Keeps the stored assignment of services and racks to cells up to date on this instance.
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

/// Watches the stored cell assignment and adds the services and racks that have no cell yet.
class CellAssignmentKeeper {
 public:
  CellAssignmentKeeper(asio::io_context* io, StoreClient* store, std::uint32_t cells,
                       std::function<void()> on_changed);

  void Start() { watch_.Start(); }

  const CellAssignment& cell_assignment() const { return cell_assignment_; }
  bool known() const { return !cell_assignment_.services.empty(); }

  /// Stores an assignment that also covers `services` and the racks of `runners`. Any instance may
  /// call this: the write is conditional on the offset of the record that was extended. The first
  /// assignment is not written before the list of runners has stopped growing, because it fixes the
  /// number of cells of each service for good.
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
  bool record_readable_ = true;  ///< A record that cannot be decoded is never overwritten.
  bool writing_ = false;
  std::size_t runner_count_ = 0;  ///< Runners in the latest list.
  Instant runner_count_since_{};  ///< Since when the list has had this many runners.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_CELL_ASSIGNMENT_KEEPER_H_
