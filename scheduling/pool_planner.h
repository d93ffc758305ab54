/// Which machines change their pool.
///
/// Load pattern: the queues' demand goes by turns of some seconds; each in its time asks for more
/// than its pool holds while the other pools are idle. A pool under pressure gets machines from the
/// spare pool first and then from pools that have been idle; machines that a pool has not needed
/// for a while go back to the spare pool, where they cost nothing.
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

/// A machine that holds no lasting task.
struct MovableMachine {
  std::string name;
  std::string rack = {};
};

/// The pool of a service, or the part of it that one owner has, as the owner and the list of
/// machines describe it. A machine belongs to the part that has its rack.
struct PoolView {
  std::string service;
  std::uint32_t part = 0;
  std::optional<std::set<std::string>> racks = {};  ///< Of the part; any when it is the whole pool.
  bool spare = false;                               ///< Its machines are off and free of charge.
  bool reported = false;                            ///< Its owner has told its load.
  std::uint32_t machines = 0;                       ///< Up or on their way here.
  double cores_per_machine = 0;
  double busy_cores = 0;          ///< By the resource that binds.
  double long_running_cores = 0;  ///< Of these, by tasks that last.
  double arrival_cores = 0;       ///< What keeps up with the jobs that come in.
  double backlog_work = 0;        ///< In core-seconds, of tasks whose turn has come and that wait.
  std::vector<MovableMachine> movable = {};  ///< Idle ones first.
  std::uint32_t runners = 0;                 ///< That its owner knows.
  /// Beyond these, for work that waits and fits on none of them.
  std::uint32_t further_machines = 0;
  /// Machines that are up in the pool or on their way here. One that is down helps nobody now, and
  /// one that leaves counts until its owner can know that it has left.
  std::uint32_t present = 0;
};

struct MachineMove {
  std::string machine;
  std::string from;
  std::string to;
};

struct PoolPlannerOptions {
  /// A backlog that takes longer to clear brings machines in: a job's slack is 0.6 s and 0.6 times
  /// its own length (site files).
  std::chrono::milliseconds backlog_clear_time{2'000};
  /// A pool gives machines to a pool under pressure once it has been calm for this long.
  std::chrono::milliseconds pressure_free_before_lending{500};
  /// A move costs as much as 1.1 s of a machine (site files), there and back 2.3 s; and the next
  /// queue's turn begins soon after one has passed.
  std::chrono::milliseconds pressure_free_before_return{1'200};
  /// Share of its first machines that a pool keeps when it lends, for the start of its own turn.
  double min_kept_share = 0.34;
  /// Share of a pool's cores that stays free when machines are taken from it. What lasting tasks
  /// hold does not change with the load and needs no such reserve.
  double headroom_share = 0.3;
  /// A machine that was sent is at work by then: 1.5 s to empty it, 1.5 s for the move, and 0.8 s
  /// for discovery of its runner (site files). A lasting task that waits for it may be away for 9
  /// s.
  std::chrono::milliseconds max_arrival_time{4'000};
  /// Moves in one round, so that a wrong reading does not empty a pool: so many, or this share of
  /// all machines where that is more.
  std::uint32_t max_moves = 12;
  double max_moves_share = 0.03;
};

class PoolPlanner {
 public:
  explicit PoolPlanner(PoolPlannerOptions options = {}) : options_(options) {}

  std::vector<MachineMove> Plan(std::vector<PoolView> pools, Instant now);

 private:
  struct Need {
    PoolView* pool = nullptr;
    bool stranded = false;  ///< For work that fits nowhere; served first.
    std::uint32_t missing = 0;
  };

  static std::uint32_t UnsentMachines(const PoolView& pool);
  std::uint32_t MissingForUnplaceableWork(const PoolView& pool, Instant now) const;
  std::vector<Need> CollectNeeds(std::vector<PoolView>* pools, Instant now) const;
  double CoresWithHeadroom(const PoolView& pool) const;
  std::uint32_t RequiredMachines(const PoolView& pool, Instant now) const;
  Duration TimeSincePressure(const PoolView& pool, Instant now) const;
  void RecordPressure(const std::vector<PoolView>& pools, Instant now);
  static bool MoveOneMachine(PoolView* giver, const PoolView& to, std::vector<MachineMove>* moves);
  void LendMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves, Instant now);
  void ReturnMachines(std::vector<PoolView>* pools, std::vector<MachineMove>* moves,
                      Instant now) const;

  const PoolPlannerOptions options_;
  std::size_t max_moves_ = 0;  ///< In this round.
  using SegmentKey = std::pair<std::string, std::uint32_t>;

  static SegmentKey KeyOf(const PoolView& pool) { return {pool.service, pool.part}; }

  std::map<SegmentKey, std::uint32_t> initial_machines_;  ///< Machines that a part had at first.
  std::map<SegmentKey, Instant> last_pressure_at_;        ///< When a part last needed all it had.
  /// Since when work has fitted nowhere though enough machines were sent; only for such parts.
  std::map<SegmentKey, Instant> all_sent_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_POOL_PLANNER_H_
