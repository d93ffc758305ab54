#include "scheduling/pool_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonlane {

/// Machines for work that fits nowhere that are still to be sent. Those on their way are not known
/// to the owner yet, so they are told by the difference of what is present and what it knows.
std::uint32_t PoolPlanner::UnsentMachines(const PoolView& pool) {
  if (pool.further_machines == 0) return 0;
  const std::uint32_t wanted = pool.runners + pool.further_machines;
  return wanted > pool.present ? wanted - pool.present : 0;
}

/// The same, and one more when those that were sent have not helped in time: their runners, or
/// others that are up, cannot be found.
std::uint32_t PoolPlanner::MissingForUnplaceableWork(const PoolView& pool, Instant now) const {
  const auto since = all_sent_since_.find(KeyOf(pool));
  const bool overdue =
      since != all_sent_since_.end() && now - since->second >= options_.max_arrival_time;
  return overdue ? 1 : UnsentMachines(pool);
}

std::uint32_t PoolPlanner::RequiredMachines(const PoolView& pool, Instant now) const {
  const std::uint32_t for_stranded =
      pool.further_machines == 0 ? 0 : pool.machines + MissingForUnplaceableWork(pool, now);
  if (pool.cores_per_machine <= 0) return std::max(pool.machines, for_stranded);
  const double clear_seconds = std::chrono::duration<double>(options_.backlog_clear_time).count();
  const double cores =
      std::max(pool.busy_cores, pool.arrival_cores) + pool.backlog_work / clear_seconds;
  const auto needed = static_cast<std::uint32_t>(std::ceil(cores / pool.cores_per_machine));
  return std::max(needed, for_stranded);
}

double PoolPlanner::CoresWithHeadroom(const PoolView& pool) const {
  return pool.long_running_cores +
         (pool.busy_cores - pool.long_running_cores) / (1 - options_.headroom_share);
}

Duration PoolPlanner::TimeSincePressure(const PoolView& pool, Instant now) const {
  const auto pressed = last_pressure_at_.find(KeyOf(pool));
  return pressed == last_pressure_at_.end() ? Duration::zero() : now - pressed->second;
}

void PoolPlanner::RecordPressure(const std::vector<PoolView>& pools, Instant now) {
  for (const PoolView& pool : pools) {
    const double all = pool.cores_per_machine * pool.machines;
    const bool pressed =
        pool.backlog_work > 0 || pool.further_machines > 0 || CoresWithHeadroom(pool) > all;
    if (pressed || !pool.reported) last_pressure_at_[KeyOf(pool)] = now;
    last_pressure_at_.try_emplace(KeyOf(pool), now);
    initial_machines_.try_emplace(KeyOf(pool), pool.machines);
    if (!pool.reported) continue;
    if (pool.further_machines == 0 || UnsentMachines(pool) > 0) {
      all_sent_since_.erase(KeyOf(pool));
    } else {
      all_sent_since_.try_emplace(KeyOf(pool), now);
    }
  }
}

bool PoolPlanner::MoveOneMachine(PoolView* giver, const PoolView& to,
                                 std::vector<MachineMove>* moves) {
  const auto chosen = std::find_if(
      giver->movable.begin(), giver->movable.end(),
      [&](const MovableMachine& machine) { return !to.racks || to.racks->contains(machine.rack); });
  if (chosen == giver->movable.end()) return false;
  moves->push_back({chosen->name, giver->service, to.service});
  giver->movable.erase(chosen);
  --giver->machines;
  return true;
}

std::vector<MachineMove> PoolPlanner::Plan(std::vector<PoolView> pools, Instant now) {
  RecordPressure(pools, now);
  double machines = 0;
  for (const PoolView& pool : pools) machines += pool.machines;
  max_moves_ = std::max<std::size_t>(options_.max_moves,
                                     static_cast<std::size_t>(machines * options_.max_moves_share));
  std::vector<MachineMove> moves;
  LendMachines(&pools, &moves, now);
  if (moves.empty()) ReturnMachines(&pools, &moves, now);
  return moves;
}

/// What pools lack, in the order in which it is served. Work that fits nowhere may be a lasting
/// task that is away, or would wait for good; a backlog only gets shorter sooner.
std::vector<PoolPlanner::Need> PoolPlanner::CollectNeeds(std::vector<PoolView>* pools,
                                                         Instant now) const {
  std::vector<Need> needs;
  for (PoolView& pool : *pools) {
    if (pool.spare || !pool.reported) continue;
    const std::uint32_t needed = RequiredMachines(pool, now);
    if (needed <= pool.machines) continue;
    const std::uint32_t missing = needed - pool.machines;
    const std::uint32_t stranded = std::min(missing, MissingForUnplaceableWork(pool, now));
    if (stranded > 0) needs.push_back({&pool, true, stranded});
    if (missing > stranded) needs.push_back({&pool, false, missing - stranded});
  }
  std::sort(needs.begin(), needs.end(), [](const Need& a, const Need& b) {
    return a.stranded != b.stranded ? a.stranded : a.missing > b.missing;
  });
  return needs;
}

void PoolPlanner::LendMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                               Instant now) {
  // Spare machines need not be drained, and no pool misses them.
  std::stable_partition(pools->begin(), pools->end(),
                        [](const PoolView& pool) { return pool.spare; });
  for (Need& need : CollectNeeds(pools, now)) {
    for (PoolView& giver : *pools) {
      const bool lends =
          giver.spare || (giver.reported && giver.service != need.pool->service &&
                          TimeSincePressure(giver, now) >= options_.pressure_free_before_lending);
      while (lends && need.missing > 0 && moves->size() < max_moves_) {
        const auto kept = static_cast<std::uint32_t>(
            std::ceil(initial_machines_.at(KeyOf(giver)) * options_.min_kept_share));
        const bool enough =
            giver.spare || std::max(RequiredMachines(giver, now), kept) < giver.machines;
        if (!enough || !MoveOneMachine(&giver, *need.pool, moves)) break;
        --need.missing;
        if (need.stranded) all_sent_since_[KeyOf(*need.pool)] = now;
      }
    }
  }
}

void PoolPlanner::ReturnMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                                 Instant now) const {
  const auto spare =
      std::find_if(pools->begin(), pools->end(), [](const PoolView& pool) { return pool.spare; });
  if (spare == pools->end()) return;
  for (PoolView& pool : *pools) {
    if (pool.spare || !pool.reported ||
        TimeSincePressure(pool, now) < options_.pressure_free_before_return)
      continue;
    if (pool.cores_per_machine <= 0) continue;
    const auto needed =
        static_cast<std::uint32_t>(std::ceil(CoresWithHeadroom(pool) / pool.cores_per_machine));
    const std::uint32_t least = std::max(needed, initial_machines_.at(KeyOf(pool)));
    while (pool.machines > least && moves->size() < max_moves_) {
      if (!MoveOneMachine(&pool, *spare, moves)) break;
    }
  }
}

}  // namespace wigeonlane
