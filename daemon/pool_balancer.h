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

#include "cells/division.h"
#include "core/boot_clock.h"
#include "daemon/machine_orders.h"
#include "daemon/runner_owners.h"
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
  PoolBalancer(MachineOrders* orders, RunnerOwners* owners, const Division* division)
      : orders_(orders), owners_(owners), division_(division) {}

  void SetPools(std::vector<PoolConfig> pools) { pools_ = std::move(pools); }

  /// Forgets moves under way: another tenure begins.
  void Reset();

  /// Asks the owners for their loads; the answers count in the next round.
  void AskLoads();

  /// Plans and carries out moves. `reserved` are machines that a wave has taken. `may_order` is
  /// asked before each order.
  void Round(const MachineList& machines, const std::set<std::string>& reserved,
             const LeaseHolder& holder, const std::function<bool()>& may_order);

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
  std::vector<PoolView> PartsOf(const PoolConfig& pool) const;
  bool IsSpare(const std::string& service) const;
  std::vector<PoolView> Views(const MachineList& machines,
                              const std::set<std::string>& reserved) const;
  void SettleUnanswered(const MachineList& machines);
  void DropFinished(const MachineList& machines);
  void Continue(const LeaseHolder& holder, const std::function<bool()>& may_order);
  void Prepare(const std::string& machine, const LeaseHolder& holder,
               const std::function<bool()>& may_order);
  void Order(const std::string& machine, const LeaseHolder& holder,
             const std::function<bool()>& may_order);
  void Ordered(const std::string& machine, MachineCommandResult answer);

  BootClock clock_;
  MachineOrders* orders_;
  RunnerOwners* owners_;
  const Division* division_;
  std::vector<PoolConfig> pools_;
  PoolPlanner planner_;
  std::map<CellNumber, ReportedLoads> loads_;
  std::map<std::string, Move> moves_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_POOL_BALANCER_H_
