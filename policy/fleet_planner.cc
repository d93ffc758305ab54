#include "policy/fleet_planner.h"

#include <algorithm>
#include <set>

#include "core/digest.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Whether every live member has the change in force and nothing in flight on the instance.
bool IsDrained(const std::vector<MemberProgress>& members, const Instance& instance) {
  return std::all_of(members.begin(), members.end(), [&](const MemberProgress& member) {
    return member.next_offset > instance.changed && !member.in_flight.contains(instance.name);
  });
}

std::uint32_t RequestsInFlight(const std::vector<MemberProgress>& members,
                               const std::string& instance) {
  std::uint32_t total = 0;
  for (const MemberProgress& member : members) {
    const auto found = member.in_flight.find(instance);
    if (found != member.in_flight.end()) total += found->second;
  }
  return total;
}

PlannedRecord Advance(const Instance& instance, Lifecycle to, std::uint64_t epoch,
                      std::uint64_t boots, std::string reason) {
  return {AdvanceInstance{instance.name, instance.generation, to, epoch, boots}, instance.name,
          std::move(reason)};
}

/// The next instance of a pool for a plan: one of the rack that is already out, or else of the
/// first rack that still has any.
const Instance* NextForMaintenance(const FleetState& state, const std::string& pool,
                                   const PoolUsage& usage, const std::string& tag) {
  const Instance* best = nullptr;
  for (const auto& [name, instance] : state.instances()) {
    const bool waits = instance.pool == pool && instance.lifecycle == Lifecycle::kServing &&
                       instance.maintained != tag;
    if (!waits) continue;
    if (usage.planned_out.contains(instance.rack)) return &instance;
    if (best == nullptr || instance.rack < best->rack) best = &instance;
  }
  return usage.planned_out.empty() ? best : nullptr;
}

}  // namespace

std::string PlanTag(const MaintenancePlan& plan, std::uint64_t version) {
  return Concat(plan.name, "@", version);
}

std::string PreferredPlanner(const std::string& pool, const std::vector<MemberProgress>& members) {
  std::string best;
  std::uint64_t best_rank = 0;
  for (const MemberProgress& member : members) {
    const std::uint64_t rank = ShortDigestOf(Concat(pool, "\n", member.member));
    if (best.empty() || rank > best_rank) {
      best = member.member;
      best_rank = rank;
    }
  }
  return best;
}

FleetPlan FleetPlanner::Plan(const FleetState& state, const std::vector<ListedInstance>& listed,
                             const std::vector<MemberProgress>& members, Instant now) {
  FleetPlan plan;
  Listed workers;
  for (const ListedInstance& row : listed) {
    if (row.role == ListedRole::kWorker) workers[row.name] = row;
  }
  const Context context{state, workers, members, now, &plan};
  ClaimLeases(context);
  AddNewInstances(context);
  AdvanceInstances(context);
  RunMaintenance(context);
  if (plan.records.size() > kMaxRecordsPerPlan) plan.records.resize(kMaxRecordsPerPlan);
  return plan;
}

bool FleetPlanner::HoldsLease(const FleetState& state, const std::string& pool) const {
  const auto lease = state.planners().find(pool);
  return lease != state.planners().end() && lease->second.holder == self_;
}

void FleetPlanner::ClaimLeases(const Context& context) const {
  std::set<std::string> live;
  for (const MemberProgress& member : context.members) live.insert(member.member);
  for (const auto& [key, published] : context.state.documents()) {
    if (!std::holds_alternative<PoolSpec>(published.document)) continue;
    const std::string& pool = key.second;
    const auto lease = context.state.planners().find(pool);
    const bool held = lease != context.state.planners().end();
    if (held && live.contains(lease->second.holder)) continue;
    if (PreferredPlanner(pool, context.members) != self_) continue;
    const std::uint64_t epoch = held ? lease->second.epoch + 1 : 1;
    context.plan->records.push_back(
        {ClaimPlanner{pool, self_, epoch}, pool,
         held ? Concat("holder ", lease->second.holder, " is silent") : "pool has no planner"});
  }
}

void FleetPlanner::AddNewInstances(const Context& context) const {
  for (const auto& [name, row] : context.listed) {
    if (row.state != ListedState::kLive || context.state.instances().contains(name)) continue;
    if (!HoldsLease(context.state, row.pool)) continue;
    context.plan->records.push_back(
        {AddInstance{name, row.pool, row.rack, row.data_centre, row.address}, name,
         "the platform lists a new worker"});
  }
}

void FleetPlanner::AdvanceInstances(const Context& context) {
  std::erase_if(drain_first_seen_, [&](const auto& item) {
    const auto found = context.state.instances().find(item.first);
    return found == context.state.instances().end() ||
           found->second.lifecycle != Lifecycle::kDraining;
  });
  for (const auto& [name, instance] : context.state.instances()) {
    if (!HoldsLease(context.state, instance.pool)) continue;
    AdvanceLifecycle(context, instance, context.state.planners().at(instance.pool).epoch);
  }
}

void FleetPlanner::AdvanceLifecycle(const Context& context, const Instance& instance,
                                    std::uint64_t epoch) {
  const auto found = context.listed.find(instance.name);
  const bool live = found != context.listed.end() && found->second.state == ListedState::kLive;
  const std::uint64_t boots = found == context.listed.end() ? 0 : found->second.boots;
  auto& records = context.plan->records;
  switch (instance.lifecycle) {
    case Lifecycle::kJoining:
      if (live) {
        records.push_back(Advance(instance, Lifecycle::kServing, epoch, boots, "it is live"));
      }
      return;
    case Lifecycle::kServing:
      if (!live && !context.listed.empty()) {
        records.push_back(Advance(instance, Lifecycle::kDown, epoch, boots,
                                  "the platform lists it as leaving or gone"));
      }
      return;
    case Lifecycle::kDraining:
      return AdvanceDraining(context, instance, epoch);
    case Lifecycle::kRebooting:
      if (boots > instance.boots) {
        records.push_back(
            Advance(instance, Lifecycle::kJoining, epoch, boots, "its reboot is done"));
      } else {
        context.plan->reboots.push_back(instance.name);
      }
      return;
    case Lifecycle::kDown:
      if (live) {
        records.push_back(Advance(instance, Lifecycle::kJoining, epoch, boots, "it is back"));
      }
      return;
  }
}

void FleetPlanner::AdvanceDraining(const Context& context, const Instance& instance,
                                   std::uint64_t epoch) {
  const Instant since = drain_first_seen_.try_emplace(instance.name, context.now).first->second;
  const bool drained = IsDrained(context.members, instance);
  const bool overdue = context.now - since > kMaxDrainTime;
  if (!drained && !overdue) return;
  const auto listed = context.listed.find(instance.name);
  // Without a list row the boots are unknown and a finished reboot could not be told.
  if (listed == context.listed.end()) return;
  context.plan->records.push_back(
      Advance(instance, Lifecycle::kRebooting, epoch, listed->second.boots,
              drained ? "no entry instance has a request in flight on it"
                      : Concat("the longest drain passed with ",
                               RequestsInFlight(context.members, instance.name), " in flight")));
}

void FleetPlanner::RunMaintenance(const Context& context) const {
  std::set<std::string> planned_pools;
  for (const auto& [key, published] : context.state.documents()) {
    const auto* plan = std::get_if<MaintenancePlan>(&published.document);
    if (plan == nullptr || plan->action != PlanAction::kRun) continue;
    const std::string tag = PlanTag(*plan, published.version);
    for (const std::string& pool : plan->pools) {
      if (!HoldsLease(context.state, pool) || planned_pools.contains(pool)) continue;
      const auto usage = context.state.usage().find(pool);
      if (usage == context.state.usage().end()) continue;
      const auto* spec = context.state.Find<PoolSpec>(pool);
      const bool halted = usage->second.down >= plan->halt_after;
      const bool full = usage->second.planned_out_total() >= plan->most_out;
      const Instance* next = NextForMaintenance(context.state, pool, usage->second, tag);
      if (halted || full || next == nullptr) continue;
      if (!CheckPlannedStop(*spec, usage->second, next->rack).ok()) continue;
      planned_pools.insert(pool);
      context.plan->records.push_back({DrainInstance{next->name, next->generation, tag}, next->name,
                                       Concat("maintenance by ", tag)});
    }
  }
}

}  // namespace wigeonlane
