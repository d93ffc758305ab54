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
#include "cells/division.h"
#include "cells/role_tenure.h"
#include "core/boot_clock.h"
#include "daemon/machine_orders.h"
#include "daemon/pool_balancer.h"
#include "daemon/runner_owners.h"
#include "platform/machine_client.h"
#include "platform/store_client.h"
#include "scheduling/round_schedule.h"
#include "scheduling/upkeep_planner.h"

namespace wigeonlane {

/// Holds the role while this instance owns the coordinator's cell. Machines that a former holder
/// took down are read from the store, so that a takeover repeats nothing.
class MachineCoordinator {
 public:
  struct Options {
    std::string holder;                  ///< Name under which machines are ordered.
    const Division* division = nullptr;  ///< To find the cell of a machine's runner.
    /// A former holder's orders are over after this: its authority and the platform's lease.
    std::chrono::milliseconds takeover_wait{6'000};
    /// How long the platform takes orders of one holder only (Bounds.LeaseMs).
    std::chrono::milliseconds machine_lease{3'000};
    /// What the platform takes (CloudApi.DutyPerS).
    double orders_per_second = 64;
    /// The same of pages of the list (CloudApi.RatePerS).
    double reads_per_second = 64;
    /// What is known of the former holder by now.
    std::function<RolePredecessor()> predecessor = [] { return RolePredecessor(); };
  };

  MachineCoordinator(asio::io_context* io, MachineClient* machines, StoreClient* store,
                     CallRouter* router, Options options);

  /// Takes the role over under `token`, after the wait.
  void Start(TenureToken token);
  /// Gives the role up. Returns how long another holder must order nothing.
  std::chrono::milliseconds Stop();
  void ExtendAuthority(Instant until) { authority_until_ = std::max(authority_until_, until); }

  void SetPools(std::vector<PoolConfig> pools) { balancer_.SetPools(std::move(pools)); }
  /// All waves that operators have asked for.
  void SetWaves(const std::vector<UpkeepWave>& waves);

 private:
  /// Machines whose order was answered, as they were listed before it.
  using AnsweredMachines = std::map<std::string, ListedMachine>;

  bool HasAuthority(std::uint64_t tenure) const;
  void AwaitPredecessor(std::uint64_t tenure);
  void ReadBegun(std::uint64_t tenure);
  void Round(std::uint64_t tenure);
  void RoundLater(std::uint64_t tenure);
  Duration ReadTime() const;
  void TakeAnsweredList(absl::StatusOr<MachineList> machines, Instant asked,
                        const AnsweredMachines& answered, std::uint64_t tenure);
  void TakeList(const MachineList& machines, Instant asked, std::uint64_t tenure);
  void AdvancePlan(WavePlan* plan, const MachineList& machines, Instant asked,
                   std::uint64_t tenure);
  void Prepare(std::uint64_t wave, const ListedMachine& machine, std::uint64_t tenure);
  void Order(std::uint64_t wave, const ListedMachine& machine, std::uint64_t tenure);
  bool BeginOrder(std::uint64_t wave, const std::string& machine, std::uint64_t tenure);
  void Ordered(std::uint64_t wave, const ListedMachine& machine, MachineCommandResult answer,
               std::uint64_t tenure);
  void ReportGone(const AnsweredMachines& answered, const MachineList& machines);
  void SettleUnanswered(WavePlan* plan, const MachineList& machines);
  void StoreBegun();
  void StoreStatus(std::uint64_t wave, bool completed);
  void StoreStatuses();

  BootClock clock_;
  MachineClient* machines_;
  MachineOrders orders_;
  StoreClient* store_;
  const Options options_;
  RunnerOwners owners_;
  PoolBalancer balancer_;
  RoleTenure role_;
  RoundSchedule rounds_;
  Instant next_list_{};  ///< The platform's rate allows no list before.
  asio::steady_timer timer_;
  TenureToken token_ = 0;
  std::uint64_t tenure_ = 0;  ///< Counts starts and stops, so that late answers are told apart.
  bool active_ = false;
  Instant authority_until_{};
  std::map<std::uint64_t, UpkeepWave> waves_;
  std::map<std::uint64_t, std::set<std::string>> begun_before_;
  std::map<std::uint64_t, WavePlan> plans_;
  std::set<std::uint64_t> completed_;
  std::map<std::uint64_t, std::set<std::string>> begun_unstored_;  ///< By wave.
  bool storing_begun_ = false;
  std::map<std::uint64_t, bool> status_unstored_;  ///< Whether it is completed, by wave.
  bool storing_status_ = false;
  /// The answer is the same when the upkeep was over already, and machines that are busy may be up
  /// and leaving, so the first list that is read after it tells whether the runner is gone.
  AnsweredMachines answered_;
  /// Machines whose order was not answered, likewise.
  std::map<std::string, ListedMachine> unanswered_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_MACHINE_COORDINATOR_H_
