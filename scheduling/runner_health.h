/// Distinguishes faulty runners, on which every task fails, from faulty tasks, which fail on every
/// runner.
///
/// Load pattern: a few runners that report themselves as healthy fail or refuse every task, while
/// other jobs can never succeed. A runner becomes suspect when tasks of several jobs in a row have
/// failed on it. A suspect runner gets one task at a time, as a probe, until one succeeds.
///
/// Long-running tasks never end `done`, and many may fail at once when something fails that all of
/// them need. What shows the health of their runner is how their runs begin: one that has been at
/// work for `kSoundRun` has succeeded, and says nothing about the runner when it fails later.
#ifndef WIGEONLANE_SCHEDULING_RUNNER_HEALTH_H_
#define WIGEONLANE_SCHEDULING_RUNNER_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "jobs/job_id.h"

namespace wigeonlane {

/// Health of one runner, judged by the results of its tasks.
class RunnerHealth {
 public:
  /// Consecutive failures, of different jobs, that make a runner suspect. Healthy runners fail
  /// about 0.2% of tasks (site files); a job whose tasks always fail counts once.
  static constexpr std::uint32_t kFailuresUntilSuspect = 2;
  /// Delay before the first probe of a suspect runner; doubles with each failed probe.
  static constexpr std::chrono::milliseconds kInitialProbeDelay{1'000};
  static constexpr std::chrono::milliseconds kMaxProbeDelay{8'000};
  /// A long-running task that has run for this long was started successfully.
  static constexpr std::chrono::seconds kSoundRun{5};
  /// A long-running task that has found no runner for this long may start on a suspect one. It may
  /// be unavailable for 9 s (the platform's rule on lost tasks), and all runners may be suspect
  /// because of something that all tasks need.
  static constexpr std::chrono::seconds kMaxLongRunningWait{2};

  /// Whether a long-running task has run for `kSoundRun`, or for a time that this owner doesn't
  /// know because a former one started it (`started` is `Instant{}`).
  static bool IsSoundRun(Instant started, Instant now) {
    return started == Instant{} || now - started >= kSoundRun;
  }

  /// Records that a task ended `done`, or that a run of a long-running task has become a sound one,
  /// which must be counted only once: old runs may go on while all new ones fail. The runner is
  /// healthy again.
  void RecordSuccess() {
    consecutive_failures_ = 0;
    probe_delay_ = kInitialProbeDelay;
    suspect_ = false;
  }

  /// Records that a task of `job` failed on the runner, or that the runner refused to start it.
  void RecordFailure(const JobId& job, Instant now) {
    if (consecutive_failures_ > 0 && job == last_failed_job_) return;
    last_failed_job_ = job;
    ++consecutive_failures_;
    if (suspect_) {
      probe_delay_ = probe_delay_ * 2 > kMaxProbeDelay ? kMaxProbeDelay : probe_delay_ * 2;
    }
    if (consecutive_failures_ < kFailuresUntilSuspect) return;
    suspect_ = true;
    next_start_at_ = now + probe_delay_;
  }

  /// Records the failure of a long-running task of `job`, which was started at `started`.
  void RecordLongRunningFailure(const JobId& job, Instant started, Instant now) {
    if (!IsSoundRun(started, now)) RecordFailure(job, now);
  }

  /// Records the failure of a task that is itself at fault. Such a probe says nothing about the
  /// runner, so another one may start at once.
  void RecordInconclusiveFailure(Instant now) {
    if (suspect_) next_start_at_ = now;
  }

  /// Records the start of a task. On a suspect runner it is the only one until the delay is over,
  /// apart from long-running tasks that have waited too long: these do not put off the next probe.
  void RecordStart(Instant now) {
    if (suspect_ && Admits(now)) next_start_at_ = now + probe_delay_;
  }

  bool suspect() const { return suspect_; }

  /// Returns whether another task may be started on the runner.
  bool Admits(Instant now) const { return !suspect_ || now >= next_start_at_; }

  /// Whether a long-running task has waited so long that it may start on a runner that does not
  /// admit it, if no other runner can take it.
  static bool IsOverdue(std::optional<Instant> no_runner_since, Instant now) {
    return no_runner_since && now >= *no_runner_since + kMaxLongRunningWait;
  }

 private:
  std::uint32_t consecutive_failures_ = 0;
  JobId last_failed_job_;
  bool suspect_ = false;
  Instant next_start_at_{};
  std::chrono::milliseconds probe_delay_ = kInitialProbeDelay;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_RUNNER_HEALTH_H_
