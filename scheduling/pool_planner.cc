#include "scheduling/pool_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wigeonlane {

/// Machines for work that fits nowhere that are still to be sent. Those on their way are not known
/// to the owner yet, so they are told by the difference of what is present and what it knows.
std::uint32_t PoolPlanner::NotYetSent(const PoolView& pool) {
  if (pool.further_machines == 0) return 0;
  const std::uint32_t wanted = pool.runners + pool.further_machines;
  return wanted > pool.present ? wanted - pool.present : 0;
}

/// The same, and one more when those that were sent have not helped in time: their runners, or
/// others that are up, cannot be found.
std::uint32_t PoolPlanner::MissingForStranded(const PoolView& pool, Instant now) const {
  const auto since = sent_since_.find(KeyOf(pool));
  const bool overdue = since != sent_since_.end() && now - since->second >= options_.arrival;
  return overdue ? 1 : NotYetSent(pool);
}

std::uint32_t PoolPlanner::NeededMachines(const PoolView& pool, Instant now) const {
  const std::uint32_t for_stranded =
      pool.further_machines == 0 ? 0 : pool.machines + MissingForStranded(pool, now);
  if (pool.cores_each <= 0) return std::max(pool.machines, for_stranded);
  const double clear_seconds = std::chrono::duration<double>(options_.clear_time).count();
  const double cores =
      std::max(pool.busy_cores, pool.arriving_cores) + pool.backlog_work / clear_seconds;
  const auto needed = static_cast<std::uint32_t>(std::ceil(cores / pool.cores_each));
  return std::max(needed, for_stranded);
}

double PoolPlanner::CoresWithHeadroom(const PoolView& pool) const {
  return pool.lasting_cores + (pool.busy_cores - pool.lasting_cores) / (1 - options_.headroom);
}

Duration PoolPlanner::CalmFor(const PoolView& pool, Instant now) const {
  const auto pressed = pressed_at_.find(KeyOf(pool));
  return pressed == pressed_at_.end() ? Duration::zero() : now - pressed->second;
}

void PoolPlanner::NotePressure(const std::vector<PoolView>& pools, Instant now) {
  for (const PoolView& pool : pools) {
    const double all = pool.cores_each * pool.machines;
    const bool pressed =
        pool.backlog_work > 0 || pool.further_machines > 0 || CoresWithHeadroom(pool) > all;
    if (pressed || !pool.reported) pressed_at_[KeyOf(pool)] = now;
    pressed_at_.try_emplace(KeyOf(pool), now);
    home_.try_emplace(KeyOf(pool), pool.machines);
    if (!pool.reported) continue;
    if (pool.further_machines == 0 || NotYetSent(pool) > 0) {
      sent_since_.erase(KeyOf(pool));
    } else {
      sent_since_.try_emplace(KeyOf(pool), now);
    }
  }
}

bool PoolPlanner::TakeFrom(PoolView* giver, const PoolView& to, std::vector<MachineMove>* moves) {
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
  NotePressure(pools, now);
  double machines = 0;
  for (const PoolView& pool : pools) machines += pool.machines;
  most_moves_ = std::max<std::size_t>(
      options_.most_moves, static_cast<std::size_t>(machines * options_.most_moves_share));
  std::vector<MachineMove> moves;
  Lend(&pools, &moves, now);
  if (moves.empty()) Return(&pools, &moves, now);
  return moves;
}

/// What pools lack, in the order in which it is served. Work that fits nowhere may be a lasting
/// task that is away, or would wait for good; a backlog only gets shorter sooner.
std::vector<PoolPlanner::Need> PoolPlanner::Needs(std::vector<PoolView>* pools, Instant now) const {
  std::vector<Need> needs;
  for (PoolView& pool : *pools) {
    if (pool.spare || !pool.reported) continue;
    const std::uint32_t needed = NeededMachines(pool, now);
    if (needed <= pool.machines) continue;
    const std::uint32_t missing = needed - pool.machines;
    const std::uint32_t stranded = std::min(missing, MissingForStranded(pool, now));
    if (stranded > 0) needs.push_back({&pool, true, stranded});
    if (missing > stranded) needs.push_back({&pool, false, missing - stranded});
  }
  std::sort(needs.begin(), needs.end(), [](const Need& a, const Need& b) {
    return a.stranded != b.stranded ? a.stranded : a.missing > b.missing;
  });
  return needs;
}

void PoolPlanner::Lend(std::vector<PoolView>* pools, std::vector<MachineMove>* moves, Instant now) {
  // Spare machines need not be drained, and no pool misses them.
  std::stable_partition(pools->begin(), pools->end(),
                        [](const PoolView& pool) { return pool.spare; });
  for (Need& need : Needs(pools, now)) {
    for (PoolView& giver : *pools) {
      const bool lends = giver.spare || (giver.reported && giver.service != need.pool->service &&
                                         CalmFor(giver, now) >= options_.calm_before_lending);
      while (lends && need.missing > 0 && moves->size() < most_moves_) {
        const auto kept =
            static_cast<std::uint32_t>(std::ceil(home_.at(KeyOf(giver)) * options_.kept_share));
        const bool enough =
            giver.spare || std::max(NeededMachines(giver, now), kept) < giver.machines;
        if (!enough || !TakeFrom(&giver, *need.pool, moves)) break;
        --need.missing;
        if (need.stranded) sent_since_[KeyOf(*need.pool)] = now;
      }
    }
  }
}

void PoolPlanner::Return(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                         Instant now) const {
  const auto spare =
      std::find_if(pools->begin(), pools->end(), [](const PoolView& pool) { return pool.spare; });
  if (spare == pools->end()) return;
  for (PoolView& pool : *pools) {
    if (pool.spare || !pool.reported || CalmFor(pool, now) < options_.calm_before_return) continue;
    if (pool.cores_each <= 0) continue;
    const auto needed =
        static_cast<std::uint32_t>(std::ceil(CoresWithHeadroom(pool) / pool.cores_each));
    const std::uint32_t least = std::max(needed, home_.at(KeyOf(pool)));
    while (pool.machines > least && moves->size() < most_moves_) {
      if (!TakeFrom(&pool, *spare, moves)) break;
    }
  }
}

}  // namespace wigeonlane
