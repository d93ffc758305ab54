/// What the coordinator of machines says to the owners of their runners.
#ifndef WIGEONLANE_DAEMON_RUNNER_OWNER_CLIENT_H_
#define WIGEONLANE_DAEMON_RUNNER_OWNER_CLIENT_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cells/call_router.h"
#include "cells/cell_assignment.h"
#include "core/boot_clock.h"
#include "scheduling/maintenance_planner.h"

namespace wigeonlane {

/// Rounds of the coordinator repeat their questions until a runner is free to go. One question a
/// subject is open at a time, so that an owner that is slow is not asked more the slower it is.
class RunnerOwnerClient {
 public:
  RunnerOwnerClient(CallRouter* router, const CellAssignment* cell_assignment)
      : router_(router), cell_assignment_(cell_assignment) {}

  /// Asks for the runner on `machine` to be emptied for upkeep. `told` is called with kReady when
  /// it may be taken down, with kNotEvacuable when its tasks have no other place, and with other
  /// verdicts when the question is to be repeated. An answer that is read later than the owner
  /// counts with (kOrderReach) does not count.
  void Reserve(const ListedMachine& machine, std::function<void(CallVerdict)> told);

  /// The same for a move, which ends no lasting task.
  void ReserveForMove(const ListedMachine& machine, std::function<void(CallVerdict)> told);

  /// Tells that the runner on `machine`, as it was listed before its order, is gone.
  void NotifyRunnerDown(const ListedMachine& machine);

  /// Asks the owner of `cell` for the loads of its services.
  void RequestLoads(CellNumber cell, std::function<void(const std::vector<ServiceLoad>&)> told);

 private:
  void Ask(const ListedMachine& machine, CellVerb verb, std::function<void(CallVerdict)> told);

  /// A call to the owner of the runner on `machine`; nothing while its cell is not recorded, as
  /// with a new rack, or while the machine has no runner.
  std::optional<CellCall> MakeCall(const ListedMachine& machine, CellVerb verb) const;

  BootClock clock_;
  CallRouter* router_;
  const CellAssignment* cell_assignment_;
  std::set<std::string> pending_runners_;
  std::set<CellNumber> pending_cells_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_RUNNER_OWNER_CLIENT_H_
