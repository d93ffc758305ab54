/// Upkeep and moves of machines, ordered by the owner of one cell.
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

/// Holds the role while this instance owns the coordinator's cell. Machines that a former holder
/// took down are read from the store, so that a takeover repeats nothing.
class MachineCoordinator {
 public:
  struct Options {
    std::string holder;                               ///< Name under which machines are ordered.
    const CellAssignment* cell_assignment = nullptr;  ///< To find the cell of a machine's runner.
    /// A former holder's orders are over after this: its authority and the platform's lease.
    std::chrono::milliseconds takeover_wait{6'000};
    /// How long the platform takes orders of one holder only (Bounds.LeaseMs).
    std::chrono::milliseconds machine_lease{3'000};
    /// What the platform takes (CloudApi.DutyPerS).
    double commands_per_second = 64;
    /// The same of pages of the list (CloudApi.RatePerS).
    double list_pages_per_second = 64;
    /// What is known of the former holder by now.
    std::function<RolePredecessor()> predecessor = [] { return RolePredecessor(); };
  };

  MachineCoordinator(asio::io_context* io, MachineClient* machines, StoreClient* store,
                     CallRouter* router, Options options);

  /// Takes the role over under `token`, after the wait.
  void Start(TermToken token);
  /// Gives the role up. Returns how long another holder must order nothing.
  std::chrono::milliseconds Stop();
  void ExtendAuthority(Instant until) { authority_until_ = std::max(authority_until_, until); }

  void SetPools(std::vector<PoolConfig> pools) { balancer_.SetPools(std::move(pools)); }
  /// All waves that operators have asked for.
  void SetWaves(const std::vector<MaintenanceWave>& waves);

 private:
  /// Machines whose order was answered, as they were listed before it.
  using AcknowledgedMachines = std::map<std::string, ListedMachine>;

  bool HasAuthority(std::uint64_t tenure) const;
  void AwaitPredecessor(std::uint64_t tenure);
  void ReadStartedMachines(std::uint64_t tenure);
  void Round(std::uint64_t tenure);
  void ScheduleRound(std::uint64_t tenure);
  Duration MinListInterval() const;
  void HandleListResponse(absl::StatusOr<MachineList> machines, Instant asked,
                          const AcknowledgedMachines& answered, std::uint64_t tenure);
  void ApplyList(const MachineList& machines, Instant asked, std::uint64_t tenure);
  void AdvancePlan(WavePlan* plan, const MachineList& machines, Instant asked,
                   std::uint64_t tenure);
  void Prepare(std::uint64_t wave, const ListedMachine& machine, std::uint64_t tenure);
  void Order(std::uint64_t wave, const ListedMachine& machine, std::uint64_t tenure);
  bool BeginOrder(std::uint64_t wave, const std::string& machine, std::uint64_t tenure);
  void Ordered(std::uint64_t wave, const ListedMachine& machine, MachineCommandResult answer,
               std::uint64_t tenure);
  void NotifyStoppedRunners(const AcknowledgedMachines& answered, const MachineList& machines);
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
  Instant next_list_at_{};  ///< The platform's rate allows no list before.
  asio::steady_timer timer_;
  TermToken token_ = 0;
  std::uint64_t activation_ = 0;  ///< Counts starts and stops, so that late answers are told apart.
  bool active_ = false;
  Instant authority_until_{};
  std::map<std::uint64_t, MaintenanceWave> waves_;
  std::map<std::uint64_t, std::set<std::string>> started_by_predecessors_;
  std::map<std::uint64_t, WavePlan> plans_;
  std::set<std::uint64_t> completed_waves_;
  std::map<std::uint64_t, std::set<std::string>> unstored_started_machines_;  ///< By wave.
  bool storing_started_machines_ = false;
  std::map<std::uint64_t, bool> unstored_statuses_;  ///< Whether it is completed, by wave.
  bool storing_statuses_ = false;
  /// The answer is the same when the upkeep was over already, and machines that are busy may be up
  /// and leaving, so the first list that is read after it tells whether the runner is gone.
  AcknowledgedMachines acknowledged_;
  /// Machines whose order was not answered, likewise.
  std::map<std::string, ListedMachine> unacknowledged_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_MACHINE_COORDINATOR_H_
