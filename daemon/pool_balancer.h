/// Moves machines between pools as planned by PoolPlanner.
#ifndef WIGEONLANE_DAEMON_POOL_BALANCER_H_
#define WIGEONLANE_DAEMON_POOL_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cells/cell_assignment.h"
#include "core/boot_clock.h"
#include "daemon/machine_commands.h"
#include "daemon/runner_owner_client.h"
#include "platform/machine_client.h"
#include "scheduling/pool_planner.h"

namespace wigeonlane {

/// The pool of machines of one configured service.
struct PoolConfig {
  std::string service;
  bool spare = false;  ///< The pool's machines are off until they are moved to another pool.
};

/// Plans moves of machines between pools and executes them. Belongs to the MachineCoordinator,
/// which calls `RunRound` for each list of machines.
class PoolBalancer {
 public:
  PoolBalancer(MachineCommands* commands, RunnerOwnerClient* runner_owners,
               const CellAssignment* cell_assignment)
      : commands_(commands), owners_(runner_owners), cell_assignment_(cell_assignment) {}

  void SetPools(std::vector<PoolConfig> pools) { pools_ = std::move(pools); }

  /// Drops all moves and reported loads when a new activation of the coordinator starts.
  void Reset();

  /// Requests the loads of all configured services from the owners of their cells.
  void RequestLoads();

  /// Plans moves and advances those in progress. `reserved` are machines that a maintenance wave is
  /// using. `may_send` is called before each command and returns whether it may be sent.
  void RunRound(const MachineList& machines, const std::set<std::string>& reserved,
                const LeaseHolder& holder, const std::function<bool()>& may_send);

 private:
  struct Move {
    std::string to;
    ListedMachine listed_before;
    Instant started_at{};
    bool command_sent = false;
    bool unacknowledged = false;  ///< A command got no response and may still be executed.
    bool confirmed = false;       ///< A response or a list has shown that the command was executed.
  };

  /// The latest loads that the owner of one cell reported.
  struct ReportedLoads {
    std::vector<ServiceLoad> services;
    std::vector<TeamArrivals> arrivals;
    Instant reported_at{};
  };

  std::vector<TeamArrivals> TotalArrivals() const;
  std::optional<ServiceLoad> LoadOf(const std::string& service, CellNumber cell) const;
  std::vector<PoolView> SegmentsOf(const PoolConfig& pool) const;
  bool IsSpare(const std::string& service) const;
  std::vector<PoolView> PoolViews(const MachineList& machines,
                                  const std::set<std::string>& reserved) const;
  void ResolveUnacknowledged(const MachineList& machines);
  void RemoveFinishedMoves(const MachineList& machines);
  void AdvanceMoves(const LeaseHolder& holder, const std::function<bool()>& may_send);
  void PrepareMove(const std::string& machine, const LeaseHolder& holder,
                   const std::function<bool()>& may_send);
  void RequestMove(const std::string& machine, const LeaseHolder& holder,
                   const std::function<bool()>& may_send);
  void HandleMoveResponse(const std::string& machine, MachineCommandResult response);

  BootClock clock_;
  MachineCommands* commands_;
  RunnerOwnerClient* owners_;
  const CellAssignment* cell_assignment_;
  std::vector<PoolConfig> pools_;
  PoolPlanner planner_;
  std::map<CellNumber, ReportedLoads> loads_;
  std::map<std::string, Move> moves_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_POOL_BALANCER_H_
