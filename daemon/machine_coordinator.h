/// Coordinates maintenance and pool moves of all machines, as a role of the owner of one cell.
#ifndef WIGEONLANE_DAEMON_MACHINE_COORDINATOR_H_
#define WIGEONLANE_DAEMON_MACHINE_COORDINATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cells/call_router.h"
#include "cells/cell_assignment.h"
#include "cells/role_term.h"
#include "core/boot_clock.h"
#include "daemon/machine_commands.h"
#include "daemon/pool_balancer.h"
#include "daemon/runner_owner_client.h"
#include "platform/machine_client.h"
#include "platform/store_client.h"
#include "scheduling/maintenance_planner.h"
#include "scheduling/round_schedule.h"

namespace wigeonlane {

/// Runs maintenance waves and pool moves while this instance owns the coordinator's cell. On a
/// takeover, it reads from the store which machines a former holder has taken down, so that
/// no machine is maintained twice in a wave.
class MachineCoordinator {
 public:
  struct Options {
    std::string holder;                               ///< Holder name in commands to machines.
    const CellAssignment* cell_assignment = nullptr;  ///< Gives the cell of a machine's runner.
    /// Time after which no command of a former holder can take effect: its authority plus the
    /// platform's lease.
    std::chrono::milliseconds takeover_wait{6'000};
    /// Time for which the platform accepts commands from the last holder only (Bounds.LeaseMs).
    std::chrono::milliseconds machine_lease{3'000};
    /// Commands per second that the platform accepts (CloudApi.DutyPerS).
    double commands_per_second = 64;
    /// Pages of the machine list per second that the platform serves (CloudApi.RatePerS).
    double list_pages_per_second = 64;
    /// Returns what is currently known about the former holder of the role.
    std::function<RolePredecessor()> predecessor = [] { return RolePredecessor(); };
  };

  MachineCoordinator(asio::io_context* io, MachineClient* machines, StoreClient* store,
                     CallRouter* router, Options options);

  /// Takes the role over under `token`. Sends no command until the former holder can no longer act.
  void Start(TermToken token);
  /// Gives the role up. Returns how long the next holder must not send commands.
  std::chrono::milliseconds Stop();
  void ExtendAuthority(Instant until) { authority_until_ = std::max(authority_until_, until); }

  void SetPools(std::vector<PoolConfig> pools) { balancer_.SetPools(std::move(pools)); }
  /// Adds the waves of `waves` that are not known yet. `waves` are all that operators have
  /// requested.
  void SetWaves(const std::vector<MaintenanceWave>& waves);

 private:
  /// Machines whose command was acknowledged, as they were listed before the command.
  using AcknowledgedMachines = std::map<std::string, ListedMachine>;

  bool HasAuthority(std::uint64_t activation) const;
  void AwaitPredecessor(std::uint64_t activation);
  void ReadStartedMachines(std::uint64_t activation);
  void RunRound(std::uint64_t activation);
  void ScheduleRound(std::uint64_t activation);
  Duration MinListInterval() const;
  void HandleListResponse(absl::StatusOr<MachineList> machines, Instant requested_at,
                          const AcknowledgedMachines& acknowledged, std::uint64_t activation);
  void ApplyList(const MachineList& machines, Instant requested_at, std::uint64_t activation);
  void AdvancePlan(WavePlan* plan, const MachineList& machines, Instant requested_at,
                   std::uint64_t activation);
  void PrepareMachine(std::uint64_t wave, const ListedMachine& machine, std::uint64_t activation);
  void RequestMaintenance(std::uint64_t wave, const ListedMachine& machine,
                          std::uint64_t activation);
  bool BeginMaintenance(std::uint64_t wave, const std::string& machine, std::uint64_t activation);
  void HandleMaintenanceResponse(std::uint64_t wave, const ListedMachine& machine,
                                 MachineCommandResult response, std::uint64_t activation);
  void NotifyStoppedRunners(const AcknowledgedMachines& acknowledged, const MachineList& machines);
  void ResolveUnacknowledged(WavePlan* plan, const MachineList& machines);
  void StoreStartedMachines();
  void StoreWaveStatus(std::uint64_t wave, bool completed);
  void StorePendingStatuses();

  BootClock clock_;
  MachineClient* machines_;
  MachineCommands commands_;
  StoreClient* store_;
  const Options options_;
  RunnerOwnerClient owners_;
  PoolBalancer balancer_;
  RoleTerm role_;
  RoundSchedule rounds_;
  /// The platform's rate limit permits no list request before this time.
  Instant next_list_at_{};
  asio::steady_timer timer_;
  TermToken token_ = 0;
  /// Incremented by Start and Stop, so that callbacks of an earlier activation can be recognized
  /// and ignored.
  std::uint64_t activation_ = 0;
  bool active_ = false;
  Instant authority_until_{};
  std::map<std::uint64_t, MaintenanceWave> waves_;
  std::map<std::uint64_t, std::set<std::string>> started_by_predecessors_;
  std::map<std::uint64_t, WavePlan> plans_;
  std::set<std::uint64_t> completed_waves_;
  /// Started machines that are not stored yet, by wave.
  std::map<std::uint64_t, std::set<std::string>> unstored_started_machines_;
  bool storing_started_machines_ = false;
  /// Statuses that are not stored yet: whether the wave is complete, by wave.
  std::map<std::uint64_t, bool> unstored_statuses_;
  bool storing_statuses_ = false;
  /// Machines whose command was acknowledged and which no list has shown since. The platform gives
  /// the same response when the maintenance is already over, and a busy machine may still be up, so
  /// only the next list shows whether the runner has stopped.
  AcknowledgedMachines acknowledged_;
  /// Machines whose command got no response, as they were listed before the command.
  std::map<std::string, ListedMachine> unacknowledged_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_MACHINE_COORDINATOR_H_
