/// Moves machines between pools as the planner decides, on behalf of the coordinator of machines.
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

/// A service of the configuration as far as its machines go.
struct PoolConfig {
  std::string service;
  bool spare = false;  ///< Its machines are off until they are moved.
};

class PoolBalancer {
 public:
  PoolBalancer(MachineCommands* orders, RunnerOwnerClient* owners,
               const CellAssignment* cell_assignment)
      : commands_(orders), owners_(owners), cell_assignment_(cell_assignment) {}

  void SetPools(std::vector<PoolConfig> pools) { pools_ = std::move(pools); }

  /// Forgets moves under way: another tenure begins.
  void Reset();

  /// Asks the owners for their loads; the answers count in the next round.
  void RequestLoads();

  /// Plans and carries out moves. `reserved` are machines that a wave has taken. `may_send` is
  /// asked before each order.
  void Round(const MachineList& machines, const std::set<std::string>& reserved,
             const LeaseHolder& holder, const std::function<bool()>& may_send);

 private:
  struct Move {
    std::string to;
    ListedMachine before;
    Instant since{};
    bool ordered = false;
    bool unanswered = false;  ///< An order was sent and not answered: it may be carried out.
    bool confirmed = false;
  };

  /// What one cell said last.
  struct ReportedLoads {
    std::vector<ServiceLoad> services;
    Instant at{};
  };

  std::optional<ServiceLoad> LoadOf(const std::string& service, CellNumber cell) const;
  std::vector<PoolView> SegmentsOf(const PoolConfig& pool) const;
  bool IsSpare(const std::string& service) const;
  std::vector<PoolView> Views(const MachineList& machines,
                              const std::set<std::string>& reserved) const;
  void ResolveUnacknowledged(const MachineList& machines);
  void RemoveFinishedMoves(const MachineList& machines);
  void Continue(const LeaseHolder& holder, const std::function<bool()>& may_send);
  void Prepare(const std::string& machine, const LeaseHolder& holder,
               const std::function<bool()>& may_send);
  void Order(const std::string& machine, const LeaseHolder& holder,
             const std::function<bool()>& may_send);
  void Ordered(const std::string& machine, MachineCommandResult answer);

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
