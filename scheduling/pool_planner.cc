#include "scheduling/pool_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonlane {

/// Returns the number of machines for unplaceable work that have not been sent yet. The owner does
/// not know the machines that are moving to the pool; they are the difference between the machines
/// present and the runners known to the owner.
std::uint32_t PoolPlanner::UnsentMachines(const PoolView& pool) {
  if (pool.further_machines == 0) return 0;
  const std::uint32_t required = pool.runners + pool.further_machines;
  return required > pool.present_machines ? required - pool.present_machines : 0;
}

/// Returns the number of machines to send for unplaceable work: those not sent yet, or one more if
/// all were sent and the work still fits nowhere after the maximum arrival time. In that case the
/// runners of some machines that are up cannot be found.
std::uint32_t PoolPlanner::MissingForUnplaceableWork(const PoolView& pool, Instant now) const {
  const auto since = all_sent_since_.find(KeyOf(pool));
  const bool overdue =
      since != all_sent_since_.end() && now - since->second >= options_.max_arrival_time;
  return overdue ? 1 : UnsentMachines(pool);
}

std::uint32_t PoolPlanner::RequiredMachines(const PoolView& pool, Instant now) const {
  const std::uint32_t for_unplaceable_work =
      pool.further_machines == 0 ? 0 : pool.machines + MissingForUnplaceableWork(pool, now);
  if (pool.cores_per_machine <= 0) return std::max(pool.machines, for_unplaceable_work);
  const double clear_seconds = std::chrono::duration<double>(options_.backlog_clear_time).count();
  const double cores =
      std::max(pool.busy_cores, pool.arrival_cores) + pool.backlog_work / clear_seconds;
  const auto required = static_cast<std::uint32_t>(std::ceil(cores / pool.cores_per_machine));
  return std::max(required, for_unplaceable_work);
}

double PoolPlanner::CoresWithHeadroom(const PoolView& pool) const {
  return pool.long_running_cores +
         (pool.busy_cores - pool.long_running_cores) / (1 - options_.headroom_share);
}

Duration PoolPlanner::TimeSincePressure(const PoolView& pool, Instant now) const {
  const auto last = last_pressure_at_.find(KeyOf(pool));
  return last == last_pressure_at_.end() ? Duration::zero() : now - last->second;
}

void PoolPlanner::RecordPressure(const std::vector<PoolView>& pools, Instant now) {
  for (const PoolView& pool : pools) {
    const double total_cores = pool.cores_per_machine * pool.machines;
    const bool under_pressure =
        pool.backlog_work > 0 || pool.further_machines > 0 || CoresWithHeadroom(pool) > total_cores;
    if (under_pressure || !pool.reported) last_pressure_at_[KeyOf(pool)] = now;
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

/// Adds a move of one machine that `to` can use; returns false if `from` has none.
bool PoolPlanner::MoveOneMachine(PoolView* from, const PoolView& to,
                                 std::vector<MachineMove>* moves) {
  const auto chosen = std::find_if(
      from->movable.begin(), from->movable.end(),
      [&](const MovableMachine& machine) { return !to.racks || to.racks->contains(machine.rack); });
  if (chosen == from->movable.end()) return false;
  moves->push_back({chosen->name, from->service, to.service});
  from->movable.erase(chosen);
  --from->machines;
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

/// Returns the machines that pools lack, in the order in which they are assigned. Unplaceable work
/// goes first: it may be a long-running task that is unavailable, and it would wait forever without
/// another machine. A backlog would only take longer to clear.
std::vector<PoolPlanner::Need> PoolPlanner::CollectNeeds(std::vector<PoolView>* pools,
                                                         Instant now) const {
  std::vector<Need> needs;
  for (PoolView& pool : *pools) {
    if (pool.spare || !pool.reported) continue;
    const std::uint32_t required = RequiredMachines(pool, now);
    if (required <= pool.machines) continue;
    const std::uint32_t missing = required - pool.machines;
    const std::uint32_t for_unplaceable_work =
        std::min(missing, MissingForUnplaceableWork(pool, now));
    if (for_unplaceable_work > 0) needs.push_back({&pool, true, for_unplaceable_work});
    if (missing > for_unplaceable_work) {
      needs.push_back({&pool, false, missing - for_unplaceable_work});
    }
  }
  std::sort(needs.begin(), needs.end(), [](const Need& a, const Need& b) {
    return a.unplaceable_work != b.unplaceable_work ? a.unplaceable_work
                                                    : a.missing_machines > b.missing_machines;
  });
  return needs;
}

void PoolPlanner::LendMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                               Instant now) {
  // Spare machines come first: they need not be drained, and no pool needs them.
  std::stable_partition(pools->begin(), pools->end(),
                        [](const PoolView& pool) { return pool.spare; });
  for (Need& need : CollectNeeds(pools, now)) {
    for (PoolView& lender : *pools) {
      const bool may_lend =
          lender.spare || (lender.reported && lender.service != need.pool->service &&
                           TimeSincePressure(lender, now) >= options_.pressure_free_before_lending);
      while (may_lend && need.missing_machines > 0 && moves->size() < max_moves_) {
        const auto kept = static_cast<std::uint32_t>(
            std::ceil(initial_machines_.at(KeyOf(lender)) * options_.min_kept_share));
        const bool has_surplus =
            lender.spare || std::max(RequiredMachines(lender, now), kept) < lender.machines;
        if (!has_surplus || !MoveOneMachine(&lender, *need.pool, moves)) break;
        --need.missing_machines;
        if (need.unplaceable_work) all_sent_since_[KeyOf(*need.pool)] = now;
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
        TimeSincePressure(pool, now) < options_.pressure_free_before_return) {
      continue;
    }
    if (pool.cores_per_machine <= 0) continue;
    const auto required =
        static_cast<std::uint32_t>(std::ceil(CoresWithHeadroom(pool) / pool.cores_per_machine));
    const std::uint32_t min_machines = std::max(required, initial_machines_.at(KeyOf(pool)));
    while (pool.machines > min_machines && moves->size() < max_moves_) {
      if (!MoveOneMachine(&pool, *spare, moves)) break;
    }
  }
}

}  // namespace wigeonlane
