/// Decisions of the planner of a pool: which records to write next, and which workers to reboot.
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

/// What the planner knows of one live entry instance.
struct MemberProgress {
  std::string member;
  Offset next_offset = 0;                          ///< Everything below it is in force there.
  std::map<std::string, std::uint32_t> in_flight;  ///< Requests by draining instance.
};

/// One record to write, with the reason for the decision log.
struct PlannedRecord {
  Record record;
  std::string subject;  ///< Pool or instance that it is about.
  std::string reason;
};

/// What to do now.
struct FleetPlan {
  std::vector<PlannedRecord> records;
  std::vector<std::string> reboots;  ///< Workers that the platform is asked to reboot.
};

/// The planning half of every entry instance. It acts only for pools whose lease `self` holds in
/// the folded state; the fold rejects whatever an outdated planner writes. Pure: equal input gives
/// equal plans, and nothing but `drain_first_seen_` is remembered between calls.
class FleetPlanner {
 public:
  /// Longest wait for requests in flight on an instance that is to be stopped.
  static constexpr Duration kMaxDrainTime = std::chrono::minutes(10);

  /// Most records planned at once, so that control never starves order claims.
  static constexpr std::size_t kMaxRecordsPerPlan = 64;

  explicit FleetPlanner(std::string self) : self_(std::move(self)) {}

  /// Plans from the folded state, the platform's list and what the live members report, `self`
  /// among them. `now` only bounds the wait of drains.
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
  std::map<std::string, Instant>
      drain_first_seen_;  ///< By instance, when its drain was first seen.
};

/// The live member that should plan for a pool while nobody does, by rendezvous hashing.
std::string PreferredPlanner(const std::string& pool, const std::vector<MemberProgress>& members);

/// Tag of a plan's version, as kept in `Instance::maintained`.
std::string PlanTag(const MaintenancePlan& plan, std::uint64_t version);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_FLEET_PLANNER_H_
