/// Chooses the tasks that are stopped so that a long-running task of a higher priority can start.
///
/// Load pattern: a service is full of tasks that run for minutes, and a long-running task has lost
/// its runner. Capacity that is earmarked for it becomes free too late, because none of the tasks
/// ends by itself in the time that it may be unavailable.
#ifndef WIGEONLANE_SCHEDULING_PREEMPTION_H_
#define WIGEONLANE_SCHEDULING_PREEMPTION_H_

#include <algorithm>
#include <chrono>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "jobs/job.h"
#include "jobs/job_progress.h"

namespace wigeonlane {

/// A long-running task that has found no runner for this long may have other tasks stopped. Short
/// tasks normally end before that. It may be unavailable for 9 s (the platform's rule on lost
/// tasks), most of which has passed when the lease of a lost runner ends.
inline constexpr std::chrono::seconds kPreemptAfter{2};

inline bool MayPreempt(std::optional<Instant> no_runner_since, Instant now) {
  return no_runner_since && now >= *no_runner_since + kPreemptAfter;
}

/// A task of a lower priority on the runner.
struct PreemptionCandidate {
  TaskId task;
  Resources load;
  bool checkpointing = false;  ///< It resumes from its last checkpoint.
  std::chrono::milliseconds run_time{0};
};

/// Returns the work that is lost at most if the task is stopped. Prices count an accelerator as
/// eight cores.
inline double CoreSecondsOf(const PreemptionCandidate& candidate) {
  const double cores = static_cast<double>(candidate.load.cpu_milli) / 1'000 +
                       8 * static_cast<double>(candidate.load.gpus);
  return cores * std::chrono::duration<double>(candidate.run_time).count();
}

/// Returns the work that is lost at most, without and with that of tasks that save checkpoints. Of
/// two choices, the lesser one loses less.
inline std::pair<double, double> PreemptionCost(
    const std::vector<PreemptionCandidate>& candidates) {
  std::pair<double, double> cost{0, 0};
  for (const PreemptionCandidate& candidate : candidates) {
    if (!candidate.checkpointing) cost.first += CoreSecondsOf(candidate);
    cost.second += CoreSecondsOf(candidate);
  }
  return cost;
}

/// Returns which candidates must be stopped for `need` to fit: tasks that save checkpoints before
/// others, and those with the least work before those with more. `free` is the capacity that is
/// free or becomes free anyway. Empty if nothing must be stopped, or if all would not be enough.
inline std::vector<PreemptionCandidate> ChoosePreempted(std::vector<PreemptionCandidate> candidates,
                                                        Resources free, const Resources& need) {
  const auto cost = [](const PreemptionCandidate& candidate) {
    return std::tuple(!candidate.checkpointing, CoreSecondsOf(candidate));
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const auto& a, const auto& b) { return cost(a) < cost(b); });
  std::vector<PreemptionCandidate> chosen;
  for (const PreemptionCandidate& candidate : candidates) {
    if (free.Holds(need)) break;
    free += candidate.load;
    chosen.push_back(candidate);
  }
  if (!free.Holds(need)) return {};
  // A larger one that came later may have made earlier ones unnecessary: the dearest go first.
  for (auto it = chosen.end(); it != chosen.begin();) {
    --it;
    Resources without = free;
    without -= it->load;
    if (!without.Holds(need)) continue;
    free = without;
    it = chosen.erase(it);
  }
  return chosen;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_PREEMPTION_H_
