/// Options of a coordinator that need not wait for a former holder.
#ifndef WIGEONLANE_TESTS_DAEMON_COORDINATOR_OPTIONS_H_
#define WIGEONLANE_TESTS_DAEMON_COORDINATOR_OPTIONS_H_

#include "daemon/machine_coordinator.h"

namespace wigeonlane {

inline MachineCoordinator::Options FirstHolderOptions(const CellAssignment* cell_assignment) {
  MachineCoordinator::Options options;
  options.holder = "i-1";
  options.cell_assignment = cell_assignment;
  options.predecessor = [] { return RolePredecessor{true, Instant{}}; };
  return options;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_DAEMON_COORDINATOR_OPTIONS_H_
