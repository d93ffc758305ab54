/// State of an accepted job: which tasks wait, run or are done, and its stored form.
#ifndef WIGEONLANE_JOBS_JOB_PROGRESS_H_
#define WIGEONLANE_JOBS_JOB_PROGRESS_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "jobs/begin_state.h"
#include "jobs/job.h"
#include "jobs/queue_address.h"

namespace wigeonlane {

/// State of a job as reported to callers.
enum class JobState : std::uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };

/// Returns "queued", "running", "completed", "failed" or "cancelled".
std::string_view JobStateName(JobState state);

/// Returns whether no task of a job in this state is ever started again.
inline bool IsFinal(JobState state) { return state > JobState::kRunning; }

/// Number of one run of a task; later runs of the same task have higher numbers.
using RunNumber = std::uint64_t;

/// Number that a cell assigns to one incarnation of a runner; kNoRunner means none.
using RunnerKey = std::uint32_t;
inline constexpr RunnerKey kNoRunner = 0;

/// Result of a run, as its runner lists it.
enum class RunResult : std::uint8_t {
  kDone,
  kFailed,          ///< By its own fault or the runner's.
  kStopped,         ///< By a command of the cell's owner.
  kLeaseExpired,    ///< The lease of its runner expired.
  kGangBroken,      ///< Another task of its gang ended.
  kGangIncomplete,  ///< It waited too long for the other tasks of its gang.
};

std::string_view RunResultName(RunResult result);

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

struct StoredAttempts;
struct StoredSlice;

/// A run that has ended without a result that its owner knows of.
struct LostRun {
  Instant ended_by{};
  bool on_claimed_runner = false;  ///< The runner refused earlier owners by then.
};

/// State of one task. While it is placed, `runner` and `last_run` identify its only live run.
struct TaskState {
  TaskPhase phase = TaskPhase::kWaiting;
  RunNumber last_run = 0;           ///< Highest run number known to have been used.
  RunnerKey runner = kNoRunner;     ///< The runner on which it is placed.
  RunnerKey failed_on = kNoRunner;  ///< The runner of the last failure.
  Instant failed_at{};  ///< Time of the last failure; the runner is avoided for a while.
  Instant freed_at{};   ///< When the last run of this owner's term ended or was given up.
  /// Set if a successor may know more of the last run: the task starts again only once the
  /// ownership is confirmed for its end.
  std::optional<LostRun> lost_run;
  /// Last run whose start a runner has executed. Kept for gangs of jobs that have not begun.
  RunNumber executed_run = 0;
  std::string checkpoint;    ///< Latest saved progress; empty if none.
  Instant earliest_start{};  ///< Delays the restart after consecutive failures.
  /// No runner out of reach can be running the task, which is long-running: it was reported as
  /// running elsewhere when no other owner could start it any more, or this owner has started it.
  bool accounted_for = false;
  /// Since when a long-running task that may start has found no runner; nothing if it has not
  /// tried.
  std::optional<Instant> no_runner_since;
  std::uint32_t consecutive_failures = 0;  ///< Of a long-running task, each soon after its start.
  /// Numbers of the failed runs. After a takeover, several runners report their results in any
  /// order and more than once, so that a count or the highest number would not be enough.
  std::vector<RunNumber> failed_runs;

  std::uint32_t failures() const { return static_cast<std::uint32_t>(failed_runs.size()); }
};

/// One record of a job's progress.
struct ProgressRecord {
  std::string key_suffix;            ///< Empty for the summary of the job.
  std::optional<std::string> value;  ///< Nothing if the record is to be removed.
};

/// Tasks of one step in one occurrence.
struct StepProgress {
  std::vector<TaskState> tasks;
  std::uint32_t waiting = 0;  ///< Number of waiting tasks.
  std::uint32_t done = 0;     ///< Number of completed tasks.

  bool complete() const { return done == tasks.size(); }
};

/// One execution of all steps of a job. The steps of a complete occurrence of a timed job are
/// dropped.
struct Occurrence {
  std::vector<StepProgress> steps;
  bool complete = false;
  /// Started by a former owner, but not due by the local clock: no task starts until it is due.
  bool started_early = false;
};

/// An accepted job. Does no input or output: the caller passes the time and stores the progress.
class Job {
 public:
  Job(JobId id, JobSpec spec, QueuePolicy policy, UnixTime accepted);

  const JobId& id() const { return id_; }
  const JobSpec& spec() const { return spec_; }
  const QueuePolicy& policy() const { return policy_; }
  UnixTime accepted() const { return accepted_; }
  const std::vector<Occurrence>& occurrences() const { return occurrences_; }

  /// Creates the occurrences that are due at `now`. Returns whether any were created, or
  /// whether one that was started early has become due.
  bool CreateDueOccurrences(UnixTime now);

  /// Creates all occurrences up to `occurrence`, even if they are not due by the local clock,
  /// because a former owner has started them. A number that the job does not have creates none.
  void CreateStartedOccurrences(std::uint32_t occurrence);

  /// Returns the time at which an occurrence is due; UnixTime::min() for a job without due times.
  UnixTime DueAt(std::uint32_t occurrence) const;

  /// Returns the time at which the next occurrence is due; UnixTime::max() if there is none.
  UnixTime NextDueAt() const;

  /// Returns whether all steps that `step` depends on are complete in the occurrence.
  bool StepReady(std::uint32_t occurrence, std::uint32_t step) const;

  /// Returns the task; nullptr if the job has no such task yet or its occurrence is complete.
  TaskState* FindTask(const TaskId& id);

  /// Records that the start of run `run` of a waiting task was sent to `runner`, or that the runner
  /// has it.
  void Place(const TaskId& id, RunnerKey runner, RunNumber run);

  /// Returns a placed task to the waiting state, for another run.
  void Unplace(const TaskId& id);

  /// Records what a runner has said of a run.
  void RecordRun(const TaskId& id, RunNumber run, RunEvidence evidence);

  /// Records that a run succeeded. In a gang, this completes all tasks of the step.
  void MarkDone(const TaskId& id);

  /// Records that run `run` failed. A failure that was recorded before is not counted again.
  /// Returns whether the task has no attempt left; the job has then failed.
  bool MarkFailed(const TaskId& id, RunNumber run);

  /// The state in memory, which may be ahead of the stored one.
  JobState state() const { return state_; }
  void Cancel() { state_ = JobState::kCancelled; }

  /// Whether any task has begun. The tasks of a gang begin once all of them have been started.
  const BeginState& begin() const { return begin_; }

  /// No task is accounted for any more; see `TaskState::accounted_for`.
  void ForgetWhereTasksRun();

  /// Returns the number of waiting tasks in steps that are ready.
  std::uint32_t ReadyTasks() const;

  /// Returns the records of the progress that may have changed since the last call, the one without
  /// suffix first. They contain all state that the JobRecord does not. Each may be stored without
  /// the later ones: a task is done, or a run has failed, if any record says so. Checkpoints are
  /// left out of a value that would have more than `max_bytes`.
  std::vector<ProgressRecord> TakeChangedProgress(std::size_t max_bytes);

  /// Restores one record of the progress; the one without suffix must come first if it exists.
  /// Errors: InvalidArgument if it does not match this job.
  absl::Status RestoreProgress(std::string_view suffix, std::string_view bytes);

  /// Restores the progress from the single record that earlier versions stored. Must come before
  /// the records of the present form. Errors: InvalidArgument if it does not match this job.
  absl::Status RestoreUnslicedProgress(std::string_view bytes);

  /// Returns the suffixes of all records of the progress that the store may hold.
  std::vector<std::string> ProgressSuffixes() const;

 private:
  /// Consecutive tasks of an occurrence, whose progress is stored in one record.
  struct SliceId {
    std::uint32_t occurrence = 0;
    std::uint32_t number = 0;

    auto operator<=>(const SliceId&) const = default;
    std::string ToSuffix() const;
    static std::optional<SliceId> Parse(std::string_view suffix);
  };

  /// Whether the whole progress is stored in the record without suffix.
  bool HasOnlyOneSlice() const;
  void MarkChanged(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index);
  std::string EncodeSummary(bool with_checkpoints) const;
  std::string EncodeSlice(SliceId slice, bool with_checkpoints) const;
  StoredSlice ToStored(SliceId slice, bool with_checkpoints) const;
  absl::Status RestoreSummary(std::string_view bytes);
  absl::Status RestoreSlice(SliceId slice, const StoredSlice& stored);
  void RestoreTask(std::uint32_t occurrence, std::uint32_t task, bool done,
                   const StoredAttempts& attempts);
  /// Calls `visit(task, state)` for each task of the slice, counted from the start of the
  /// occurrence.
  template <typename Visit>
  void ForEachTask(SliceId slice, Visit visit) const;
  void MarkBegun();
  void ResizeOccurrences(std::size_t count);
  std::vector<StepProgress> NewSteps() const;
  StepProgress* FindStep(std::uint32_t occurrence, std::uint32_t step);
  void FinishStep(std::uint32_t occurrence);

  JobId id_;
  JobSpec spec_;
  QueuePolicy policy_;
  UnixTime accepted_;
  std::vector<Occurrence> occurrences_;
  JobState state_ = JobState::kQueued;
  BeginState begin_;
  std::vector<std::uint32_t> first_task_of_step_;  ///< Counted from the start of an occurrence.
  std::uint32_t tasks_per_occurrence_ = 0;
  std::set<SliceId> changed_slices_;
  std::map<SliceId, std::size_t> slice_digests_;  ///< Of the records that the store may hold.
};

/// Stored form of an accepted job.
struct JobRecord {
  JobSpec spec;
  QueuePolicy policy;                     ///< Of the queue when the job was accepted.
  std::chrono::milliseconds accepted{0};  ///< Since 1970.
  QueueAddress queue;
  std::string team;  ///< Name of the team that submitted the job; empty if its queue is public.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted, queue, team);
  }
};

/// Decodes a stored job of this version or an earlier one, which stored no team or no address.
/// Errors: InvalidArgument.
absl::StatusOr<JobRecord> DecodeJobRecord(std::string_view bytes);

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_JOB_PROGRESS_H_
