/// A job as its caller submits it to a queue: steps of identical tasks.
#ifndef WIGEONLANE_JOBS_JOB_H_
#define WIGEONLANE_JOBS_JOB_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "jobs/job_id.h"

namespace wigeonlane {

/// Wall-clock time in milliseconds since 1970.
using UnixTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Resources of a runner, or resources that a task needs.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const Resources&) const = default;

  /// Returns whether `need` fits into these resources.
  bool Holds(const Resources& need) const {
    return need.cpu_milli <= cpu_milli && need.memory_mb <= memory_mb && need.gpus <= gpus;
  }

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cpu_milli, memory_mb, gpus);
  }
};

/// Returns what `count` loads of this size take together.
Resources Multiple(const Resources& load, std::uint32_t count);

/// One step of a job: `count` identical tasks.
struct StepSpec {
  std::uint32_t count = 1;
  Resources need;                            ///< Of each task.
  std::chrono::milliseconds estimate{0};     ///< The caller's estimate of one task's run time.
  std::vector<std::uint32_t> after;          ///< Earlier steps that must be complete first.
  bool checkpointing = false;                ///< Tasks save their progress and can resume.
  bool gang = false;                         ///< All tasks must run at the same time.
  bool same_rack = false;                    ///< Tasks run slower if spread over racks.
  bool speculative = false;                  ///< Copies of a task may run in parallel.
  bool long_running = false;                 ///< Tasks run until the job is cancelled.
  bool best_effort = false;                  ///< Uses idle processor time; not counted as load.
  std::string required_label;                ///< Label of a suitable runner; empty if any is.
  std::string preferred_rack;                ///< The rack of the data; empty if there is none.
  std::uint32_t max_per_runner = 0;          ///< Anti-affinity; 0 means no limit.
  std::uint32_t max_unavailable = 0;         ///< Tasks that may be unavailable at once.
  std::string image;                         ///< Tasks of one image behave alike.
  std::chrono::milliseconds tail_target{0};  ///< Tail latency of serving tasks; 0 means none.

  /// Returns the resources that one task takes from a runner's capacity.
  Resources Load() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, need, estimate, after, checkpointing, gang, same_rack, speculative, long_running,
            best_effort, required_label, preferred_rack, max_per_runner, max_unavailable, image,
            tail_target);
  }
};

/// A job. If `times` is 0, the job runs once, as soon as it is accepted; otherwise it runs that
/// often at its due times.
struct JobSpec {
  std::string payload;  ///< Passed to every task unchanged.
  std::vector<StepSpec> steps;
  std::uint32_t times = 0;
  std::chrono::milliseconds start_at{0};  ///< Due time of occurrence 0, since 1970.
  std::chrono::milliseconds period{0};    ///< Between the due times of occurrences.

  std::uint32_t occurrences() const { return times == 0 ? 1 : times; }
  bool timed() const { return times > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(payload, steps, times, start_at, period);
  }
};

/// Timing of a queue's advisor, which decides which runners may run a step.
struct QueueAdvice {
  std::chrono::milliseconds decision_time{0};    ///< Duration of one response without runners.
  std::chrono::milliseconds time_per_runner{0};  ///< Added for each runner in the request.
  std::chrono::milliseconds ticket_validity{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(decision_time, time_per_runner, ticket_validity);
  }
};

/// Rules of a queue's configuration that apply to its jobs.
struct QueuePolicy {
  std::string name;
  std::string service;             ///< The service whose runners execute the jobs.
  std::uint32_t priority = 0;      ///< 0 is the highest.
  std::uint32_t max_attempts = 1;  ///< Number of failed runs of a task at which its job fails.
  /// The time objective of a job is `stretch` times the run time of its longest chain of dependent
  /// steps, plus `target_latency`.
  double stretch = 1.0;
  std::chrono::milliseconds target_latency{0};

  std::optional<QueueAdvice> advice;  ///< Set if an advisor must admit runners.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, service, priority, max_attempts, stretch, target_latency, advice);
  }
};

/// Limits of every job. The limit of the payload is part of the published interface; the others
/// keep a job's progress below the store's record size of 256 KiB.
inline constexpr std::size_t kMaxPayloadBytes = 4'000;
inline constexpr std::size_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxTasks = 5'000;  ///< Of one step, and of all steps together.
inline constexpr std::uint32_t kMaxOccurrences = 100'000;

/// Checks the limits of a job. Errors: InvalidArgument that names the field.
absl::Status ValidateJob(const JobSpec& spec);

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_JOB_H_
