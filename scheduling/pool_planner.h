/// Decides which machines change pools.
///
/// Load pattern: the queues have demand peaks of some seconds in turn. During its peak a queue
/// demands more than its pool can run, while the other pools are idle. A pool under pressure gets
/// machines from the spare pool first and then from pools without pressure. Machines that a pool
/// has not needed for a while return to the spare pool, where they cost nothing.
#ifndef WIGEONLANE_SCHEDULING_POOL_PLANNER_H_
#define WIGEONLANE_SCHEDULING_POOL_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace wigeonlane {

/// A machine without long-running tasks, which may therefore change pools.
struct MovableMachine {
  std::string name;
  std::string rack = {};
};

/// State of a service's pool, or of the segment of it that belongs to one cell, as reported by the
/// cell's owner and by the list of machines. A machine belongs to the segment that has its rack.
struct PoolView {
  std::string service;
  std::uint32_t segment = 0;
  std::optional<std::set<std::string>> racks = {};  ///< Of the segment; any rack if not set.
  bool spare = false;     ///< Whether the machines of the pool are off and free of charge.
  bool reported = false;  ///< Whether the owner has reported its load recently.
  /// Machines of the pool, up or down, including those moving to it and without those moving away.
  std::uint32_t machines = 0;
  double cores_per_machine = 0;
  double busy_cores = 0;                     ///< In use, counted by the dominant resource.
  double long_running_cores = 0;             ///< Portion of busy_cores used by long-running tasks.
  double arrival_cores = 0;                  ///< Cores needed to keep up with newly accepted jobs.
  double backlog_work = 0;                   ///< In core-seconds, of tasks that are ready and wait.
  std::vector<MovableMachine> movable = {};  ///< Idle machines first.
  std::uint32_t runners = 0;                 ///< Number of runners known to the owner.
  /// Machines needed beyond `runners`, for unplaceable work: it waits and fits on no runner.
  std::uint32_t further_machines = 0;
  /// Machines that are up in the pool or moving to it. A machine that is down does not help now,
  /// and a machine that moves away counts until the owner can have noticed that it has left.
  std::uint32_t present_machines = 0;
};

/// A move of a machine between the pools of two services.
struct MachineMove {
  std::string machine;
  std::string from;
  std::string to;
};

struct PoolPlannerOptions {
  /// A pool needs more machines if its backlog takes longer than this to clear. A job's slack is
  /// 0.6 s plus 0.6 times its own length (site files).
  std::chrono::milliseconds backlog_clear_time{2'000};
  /// A pool lends machines to a pool under pressure after this time without pressure of its own.
  std::chrono::milliseconds pressure_free_before_lending{500};
  /// Time without pressure before machines return to the spare pool. A move costs as much as 1.1 s
  /// of a machine (site files), both ways 2.3 s, and the next queue's peak starts soon after one
  /// has ended.
  std::chrono::milliseconds pressure_free_before_return{1'200};
  /// Share of its initial machines that a pool keeps when it lends, for the start of its own peak.
  double min_kept_share = 0.34;
  /// Share of a pool's cores that has to stay free when machines return from it. The cores used by
  /// long-running tasks do not vary with the load and need no such reserve.
  double headroom_share = 0.3;
  /// Time after which a machine sent to a pool is in use: 1.5 s to empty it, 1.5 s for the move,
  /// and 0.8 s for discovery of its runner (site files). A long-running task that waits for the
  /// machine may be unavailable for 9 s.
  std::chrono::milliseconds max_arrival_time{4'000};
  /// Maximum number of moves in one round, as a number or as a share of all machines, whichever is
  /// larger. The limit prevents a wrong load report from emptying a pool.
  std::uint32_t max_moves = 12;
  double max_moves_share = 0.03;
};

/// Plans moves of machines in rounds.
class PoolPlanner {
 public:
  explicit PoolPlanner(PoolPlannerOptions options = {}) : options_(options) {}

  /// Returns the moves to make in this round.
  std::vector<MachineMove> Plan(std::vector<PoolView> pools, Instant now);

 private:
  struct Need {
    PoolView* pool = nullptr;
    bool unplaceable_work = false;  ///< Whether it is for unplaceable work, which goes first.
    std::uint32_t missing_machines = 0;
  };

  static std::uint32_t UnsentMachines(const PoolView& pool);
  std::uint32_t MissingForUnplaceableWork(const PoolView& pool, Instant now) const;
  std::vector<Need> CollectNeeds(std::vector<PoolView>* pools, Instant now) const;
  double CoresWithHeadroom(const PoolView& pool) const;
  std::uint32_t RequiredMachines(const PoolView& pool, Instant now) const;
  Duration TimeSincePressure(const PoolView& pool, Instant now) const;
  void RecordPressure(const std::vector<PoolView>& pools, Instant now);
  static bool MoveOneMachine(PoolView* from, const PoolView& to, std::vector<MachineMove>* moves);
  void LendMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves, Instant now);
  void ReturnMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                      Instant now) const;

  const PoolPlannerOptions options_;
  std::size_t max_moves_ = 0;  ///< In this round.
  using SegmentKey = std::pair<std::string, std::uint32_t>;

  static SegmentKey KeyOf(const PoolView& pool) { return {pool.service, pool.segment}; }

  std::map<SegmentKey, std::uint32_t> initial_machines_;  ///< At the first round.
  std::map<SegmentKey, Instant> last_pressure_at_;        ///< Last time under pressure.
  /// Time since which a segment has had unplaceable work although enough machines were sent to it.
  /// Has no entry for other segments.
  std::map<SegmentKey, Instant> all_sent_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_POOL_PLANNER_H_
