/// Planner of pools: decides which records to write next and which workers to reboot.
#ifndef WIGEONLANE_POLICY_FLEET_PLANNER_H_
#define WIGEONLANE_POLICY_FLEET_PLANNER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "fleet/listed_instance.h"
#include "fleet/record.h"
#include "fleet/state.h"

namespace wigeonlane {

/// Progress that one live entry instance reports to the planner.
struct MemberProgress {
  std::string member;
  Offset next_offset = 0;  ///< All records below this offset are applied there.
  std::map<std::string, std::uint32_t> in_flight;  ///< Requests in flight by draining instance.
};

/// One record to write, with the reason for the decision log.
struct PlannedRecord {
  Record record;
  std::string subject;  ///< Pool or instance that the record changes.
  std::string reason;
};

/// Result of one planning round.
struct FleetPlan {
  std::vector<PlannedRecord> records;
  std::vector<std::string> reboots;  ///< Workers for which to request a reboot from the platform.
};

/// Runs in every entry instance and plans only for pools whose planner lease `self` holds in the
/// folded state. The fold rejects the records of an outdated planner. Performs no I/O; the only
/// state kept between calls is `drain_first_seen_`.
class FleetPlanner {
 public:
  /// Maximum wait for requests in flight on a draining instance before it is rebooted.
  static constexpr Duration kMaxDrainTime = std::chrono::minutes(10);

  /// Limits the records of one plan, so that control records do not starve order claims.
  static constexpr std::size_t kMaxRecordsPerPlan = 64;

  explicit FleetPlanner(std::string self) : self_(std::move(self)) {}

  /// Makes a plan from the folded state, the platform's instance list and the reports of the live
  /// members, including `self`. `now` is used only to limit the duration of drains.
  FleetPlan Plan(const FleetState& state, const std::vector<ListedInstance>& listed,
                 const std::vector<MemberProgress>& members, Instant now);

 private:
  using Listed = std::map<std::string, ListedInstance>;

  struct Context {
    const FleetState& state;
    const Listed& listed;
    const std::vector<MemberProgress>& members;
    Instant now;
    FleetPlan* plan;
  };

  void ClaimLeases(const Context& context) const;
  bool HoldsLease(const FleetState& state, const std::string& pool) const;
  void AddNewInstances(const Context& context) const;
  void AdvanceInstances(const Context& context);
  void AdvanceLifecycle(const Context& context, const Instance& instance, std::uint64_t epoch);
  void AdvanceDraining(const Context& context, const Instance& instance, std::uint64_t epoch);
  void RunMaintenance(const Context& context) const;

  const std::string self_;
  /// Time at which the drain of an instance was first seen, by instance.
  std::map<std::string, Instant> drain_first_seen_;
};

/// Returns the live member that should claim the lease of a pool without a live planner, chosen by
/// rendezvous hashing.
std::string PreferredPlanner(const std::string& pool, const std::vector<MemberProgress>& members);

/// Returns the tag of a plan and its version that is stored in `Instance::maintained`.
std::string PlanTag(const MaintenancePlan& plan, std::uint64_t version);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_FLEET_PLANNER_H_
