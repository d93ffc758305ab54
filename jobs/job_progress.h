/// A job under way: which tasks wait, run or are done, and the record of it that is stored.
#ifndef WIGEONLANE_JOBS_JOB_PROGRESS_H_
#define WIGEONLANE_JOBS_JOB_PROGRESS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "jobs/job.h"

namespace wigeonlane {

/// What callers are told of a job.
enum class JobState : std::uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// "queued", "running", "completed", "failed" or "cancelled".
std::string_view JobStateName(JobState state);

/// Whether a job in that state never runs anything again.
inline bool IsFinal(JobState state) { return state > JobState::kRunning; }

/// Number of one start of a task; a task's later starts have higher ones.
using RunNumber = std::uint64_t;

/// A runner's life as its cell numbers it; kNoRunner where there is none.
using RunnerKey = std::uint32_t;
inline constexpr RunnerKey kNoRunner = 0;

/// How a run ended, as its runner lists it.
enum class RunResult : std::uint8_t {
  kDone,
  kFailed,          ///< Through its own fault or the runner's.
  kStopped,         ///< On our order.
  kLeaseExpired,    ///< Its lease ran out.
  kGangBroken,      ///< Another member of its gang ended.
  kGangIncomplete,  ///< It waited too long for the rest of its gang.
};

std::string_view RunResultName(RunResult end);

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

/// One task. `runner` and `run` name its only live run while it is placed.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  RunNumber last_run = 0;                  ///< Highest run number known to have been used.
  RunnerKey runner = kNoRunner;            ///< Where it is placed.
  RunnerKey failed_on = kNoRunner;         ///< Where it failed last ...
  Instant failed_at{};                     ///< ... and when; avoided at the next start for a while.
  std::string checkpoint;                  ///< Latest saved progress; empty when none.
  Instant earliest_start{};                ///< No start before this: it failed again and again.
  std::uint32_t consecutive_failures = 0;  ///< Of a task that lasts, each soon after its start.
  /// Runs that failed. After a takeover their ends come from several runners, in any order and
  /// more than once, so that a count or a highest number would not do.
  std::vector<RunNumber> failed_runs;

  std::uint32_t failures() const { return static_cast<std::uint32_t>(failed_runs.size()); }
};

/// All tasks of one step of one occurrence.
struct StepProgress {
  std::vector<TaskState> tasks;
  std::uint32_t waiting = 0;
  std::uint32_t done = 0;

  bool complete() const { return done == tasks.size(); }
};

/// One run of all steps. Finished occurrences drop their tasks.
struct Occurrence {
  std::vector<StepProgress> steps;
  bool complete = false;
  bool started_early =
      false;  ///< Started by a former owner and not due by the clock here: starts wait.
};

/// A job that was accepted. Pure state: the caller passes times and makes it durable.
class Job {
 public:
  Job(JobId id, JobSpec spec, QueuePolicy policy, UnixTime accepted);

  const JobId& id() const { return id_; }
  const JobSpec& spec() const { return spec_; }
  const QueuePolicy& policy() const { return policy_; }
  UnixTime accepted() const { return accepted_; }
  const std::vector<Occurrence>& occurrences() const { return occurrences_; }

  /// Creates the occurrences that are due at `now`. Returns whether there are new ones.
  bool CreateDueOccurrences(UnixTime now);

  /// Creates the occurrences up to that number, though the clock here says that they are not due: a
  /// former owner has started them. Numbers beyond those of the job create none.
  void CreateStartedOccurrences(std::uint32_t occurrence);

  /// The time at which an occurrence is due; the distant past for a job without due times.
  UnixTime DueAt(std::uint32_t occurrence) const;

  /// The time at which the next occurrence is due; the far future when there is none.
  UnixTime NextDueAt() const;

  /// Whether all steps before `step` are done in that occurrence.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step) const;

  /// The task, or nullptr when the job has no such task yet or its occurrence is over.
  TaskState* FindTask(const TaskId& id);

  void Place(const TaskId& id, RunnerKey runner, RunNumber run);

  /// Takes a placed task back to waiting, for another run.
  void Unplace(const TaskId& id);

  /// A run ended well. In a gang that ends all its tasks.
  void MarkDone(const TaskId& id);

  /// Run `run` failed; a failure that was counted before is not counted again. Returns whether
  /// the task has no attempt left; the job has then failed.
  bool MarkFailed(const TaskId& id, RunNumber run);

  /// The state as known here, which may be ahead of what is stored.
  JobState state() const { return state_; }
  void Cancel() { state_ = JobState::kCancelled; }

  /// Whether any task has ever been started.
  bool started() const { return started_; }

  /// Tasks that wait in steps whose turn has come.
  std::uint32_t ReadyTasks() const;

  /// The stored form of everything but the spec.
  std::string EncodeProgress() const;

  /// Takes over a stored form. Errors: InvalidArgument when it does not fit this job.
  absl::Status RestoreProgress(std::string_view bytes);

 private:
  StepProgress* FindStep(std::uint32_t occurrence, std::uint32_t step);
  void FinishStep(std::uint32_t occurrence);

  JobId id_;
  JobSpec spec_;
  QueuePolicy policy_;
  UnixTime accepted_;
  std::vector<Occurrence> occurrences_;
  JobState state_ = JobState::kQueued;
  bool started_ = false;
};

/// The stored form of an accepted job.
struct JobRecord {
  JobSpec spec;
  QueuePolicy policy;
  std::chrono::milliseconds accepted{0};  ///< Since 1970.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted);
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_JOB_PROGRESS_H_
