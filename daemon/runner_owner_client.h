/// Calls from the machine coordinator to the instances that own the runners.
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

/// Sends requests to the owners of runners. The coordinator repeats a request in each round until
/// the runner may be taken down. At most one request per runner or cell is open at a time, so that
/// a slow owner does not receive more requests the slower it is.
class RunnerOwnerClient {
 public:
  RunnerOwnerClient(CallRouter* router, const CellAssignment* cell_assignment)
      : router_(router), cell_assignment_(cell_assignment) {}

  /// Requests that the runner on `machine` be drained for maintenance. `on_verdict` is called with
  /// kReady when the machine may be taken down, with kNotEvacuable when its tasks fit on no other
  /// runner, and with another verdict when the request must be repeated. A response that is read
  /// after the timeout is ignored, because the owner assumes that a command follows its response
  /// within kOrderReach.
  void Reserve(const ListedMachine& machine, std::function<void(CallVerdict)> on_verdict);

  /// Does the same for a move to another pool. A move never ends a long-running task.
  void ReserveForMove(const ListedMachine& machine, std::function<void(CallVerdict)> on_verdict);

  /// Notifies the owner that the runner on `machine` has stopped. `machine` is the entry as it was
  /// listed before the command.
  void NotifyRunnerDown(const ListedMachine& machine);

  /// Requests the loads of the services of `cell` from its owner, and notifies it of the `arrivals`
  /// of teams at all cells.
  void RequestLoads(CellNumber cell, const std::vector<TeamArrivals>& arrivals,
                    std::function<void(const CallResponse&)> on_loads);

 private:
  void RequestReservation(const ListedMachine& machine, CellVerb verb,
                          std::function<void(CallVerdict)> on_verdict);

  /// Returns a call to the owner of the runner on `machine`, or nothing when the machine has no
  /// runner or its rack is new and has no cell yet.
  std::optional<CellCall> MakeCall(const ListedMachine& machine, CellVerb verb) const;

  BootClock clock_;
  CallRouter* router_;
  const CellAssignment* cell_assignment_;
  std::set<std::string> pending_runners_;
  std::set<CellNumber> pending_cells_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_RUNNER_OWNER_CLIENT_H_
