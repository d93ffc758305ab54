/// What a caller asks for: a job of steps, each of equal tasks, in a queue.
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

/// Milliseconds since 1970, by the time of day.
using UnixTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Resources of a runner, or what a task needs of them.
struct Resources {
  std::int64_t cpu_milli = 0;  ///< Thousandths of a core.
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const Resources&) const = default;

  /// Whether `need` fits into what is left here.
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

/// One step: `count` equal tasks.
struct StepSpec {
  std::uint32_t count = 1;
  Resources need;                            ///< Of each task.
  std::chrono::milliseconds estimate{0};     ///< The caller's rough figure for one task.
  std::vector<std::uint32_t> after;          ///< Earlier steps that must be done first.
  bool checkpointing = false;                ///< Tasks save their progress and can resume.
  bool gang = false;                         ///< Tasks work only all together.
  bool same_rack = false;                    ///< Tasks are slower when spread over racks.
  bool speculative = false;                  ///< Copies of a task may run in parallel.
  bool long_running = false;                 ///< Tasks run until the job is cancelled.
  bool best_effort = false;                  ///< Uses idle processor time; not counted as load.
  std::string required_label;                ///< Empty when any runner will do.
  std::string preferred_rack;                ///< Where the data is; empty when nowhere.
  std::uint32_t max_per_runner = 0;          ///< Anti-affinity; 0 means no limit.
  std::uint32_t max_unavailable = 0;         ///< Tasks that we may have unavailable at once.
  std::string image;                         ///< Tasks of one image behave alike.
  std::chrono::milliseconds tail_target{0};  ///< Response time of serving tasks; 0 means none.

  /// What the step takes from a runner's capacity.
  Resources Load() const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count, need, estimate, after, checkpointing, gang, same_rack, speculative, long_running,
            best_effort, required_label, preferred_rack, max_per_runner, max_unavailable, image,
            tail_target);
  }
};

/// A whole job. `times` of 0 means that it runs once, when it is accepted.
struct JobSpec {
  std::string payload;  ///< Passed on to every task as it is.
  std::vector<StepSpec> steps;
  std::uint32_t times = 0;
  std::chrono::milliseconds start_at{0};  ///< Since 1970; due time of occurrence 0.
  std::chrono::milliseconds period{0};    ///< Between the due times of occurrences.

  std::uint32_t occurrences() const { return times == 0 ? 1 : times; }
  bool timed() const { return times > 0; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(payload, steps, times, start_at, period);
  }
};

/// How a queue's advisor answers which runners may run a step.
struct QueueAdvice {
  std::chrono::milliseconds decision{0};  ///< Time of one answer ...
  std::chrono::milliseconds interval{0};  ///< ... and this much more for each runner named.
  std::chrono::milliseconds valid{0};     ///< How long a ticket holds.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(decision, interval, valid);
  }
};

/// What a queue's configuration says of its jobs.
struct QueuePolicy {
  std::string name;
  std::string service;             ///< Whose runners execute the jobs.
  std::uint32_t priority = 0;      ///< 0 comes first.
  std::uint32_t max_attempts = 1;  ///< Failed runs of a task after which its job fails.
  double stretch = 1.0;            ///< Objective: stretch times the longest chain of work ...
  std::chrono::milliseconds target_latency{0};  ///< ... and this much more.

  std::optional<QueueAdvice> advice;  ///< Present when an advisor must admit runners.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, service, priority, max_attempts, stretch, target_latency, advice);
  }
};

/// Bounds that hold for every job. The payload's is that of the published interface; the others
/// keep a job's progress below the store's record size of 256 KiB.
inline constexpr std::size_t kMaxPayloadBytes = 4'000;  ///< Bytes.
inline constexpr std::size_t kMaxSteps = 256;
inline constexpr std::uint32_t kMaxTasks = 5'000;  ///< Of one step and of all together.
inline constexpr std::uint32_t kMaxOccurrences = 100'000;

/// Checks bounds that hold for every job. Errors: InvalidArgument that names the field.
absl::Status ValidateJob(const JobSpec& spec);

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_JOB_H_
