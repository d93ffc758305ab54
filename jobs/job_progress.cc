#include "jobs/job_progress.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/codec.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {"queued", "running", "completed", "failed",
                                                         "cancelled"};
constexpr std::array<std::string_view, 6> kRunResultNames = {"done",   "failed", "stopped",
                                                             "lapsed", "broken", "alone"};

/// A task in the stored form; untouched tasks are left out.
struct StoredTask {
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  bool done = false;
  RunNumber last_run = 0;
  std::vector<RunNumber> failed_runs;
  std::string checkpoint;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(step, index, done, last_run, failed_runs, checkpoint);
  }
};

struct StoredOccurrence {
  bool complete = false;
  std::vector<StoredTask> tasks;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(complete, tasks);
  }
};

struct StoredProgress {
  std::uint8_t state = 0;
  bool started = false;
  std::vector<StoredOccurrence> occurrences;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(state, started, occurrences);
  }
};

bool Untouched(const TaskState& task) {
  return task.phase != TaskPhase::kDone && task.failed_runs.empty() && task.last_run == 0 &&
         task.checkpoint.empty();
}

Occurrence NewOccurrence(const JobSpec& spec) {
  Occurrence occurrence;
  for (const StepSpec& step : spec.steps) {
    StepProgress progress;
    progress.tasks.resize(step.count);
    progress.waiting = step.count;
    occurrence.steps.push_back(std::move(progress));
  }
  return occurrence;
}

StoredOccurrence Store(const Occurrence& occurrence) {
  StoredOccurrence stored;
  stored.complete = occurrence.complete;
  for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
    const auto& tasks = occurrence.steps[step].tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const TaskState& task = tasks[index];
      if (Untouched(task)) continue;
      stored.tasks.push_back({step, index, task.phase == TaskPhase::kDone, task.last_run,
                              task.failed_runs, task.checkpoint});
    }
  }
  return stored;
}

absl::Status RestoreTask(const StoredTask& stored, Occurrence* occurrence) {
  if (stored.step >= occurrence->steps.size() ||
      stored.index >= occurrence->steps[stored.step].tasks.size()) {
    return absl::InvalidArgumentError("stored progress names a task that the job does not have");
  }
  StepProgress& step = occurrence->steps[stored.step];
  TaskState& task = step.tasks[stored.index];
  task.last_run = stored.last_run;
  task.failed_runs = stored.failed_runs;
  task.checkpoint = stored.checkpoint;
  if (stored.done && task.phase != TaskPhase::kDone) {
    task.phase = TaskPhase::kDone;
    --step.waiting;
    ++step.done;
  }
  return absl::OkStatus();
}

}  // namespace

std::string_view JobStateName(JobState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string_view RunResultName(RunResult end) {
  return kRunResultNames.at(static_cast<std::size_t>(end));
}

Job::Job(JobId id, JobSpec spec, QueuePolicy policy, UnixTime accepted)
    : id_(id), spec_(std::move(spec)), policy_(std::move(policy)), accepted_(accepted) {
  if (!spec_.timed()) occurrences_.push_back(NewOccurrence(spec_));
}

bool Job::CreateDueOccurrences(UnixTime now) {
  const std::size_t before = occurrences_.size();
  while (NextDueAt() <= now) occurrences_.push_back(NewOccurrence(spec_));
  bool now_due = false;
  for (std::uint32_t number = 0; number < before; ++number) {
    if (!occurrences_[number].started_early || now < DueAt(number)) continue;
    occurrences_[number].started_early = false;
    now_due = true;
  }
  return now_due || occurrences_.size() > before;
}

void Job::CreateStartedOccurrences(std::uint32_t occurrence) {
  if (occurrence >= spec_.occurrences()) return;
  while (occurrences_.size() <= occurrence) {
    occurrences_.push_back(NewOccurrence(spec_));
    occurrences_.back().started_early = true;
  }
}

UnixTime Job::DueAt(std::uint32_t occurrence) const {
  if (!spec_.timed()) return UnixTime::min();
  return UnixTime(spec_.start_at + spec_.period * static_cast<std::int64_t>(occurrence));
}

UnixTime Job::NextDueAt() const {
  if (occurrences_.size() >= spec_.occurrences() || IsFinal(state_)) return UnixTime::max();
  return DueAt(static_cast<std::uint32_t>(occurrences_.size()));
}

bool Job::StepReady(std::uint32_t occurrence, std::uint32_t step) const {
  const auto& steps = occurrences_[occurrence].steps;
  const auto& after = spec_.steps[step].after;
  return std::all_of(after.begin(), after.end(),
                     [&](std::uint32_t earlier) { return steps[earlier].complete(); });
}

StepProgress* Job::FindStep(std::uint32_t occurrence, std::uint32_t step) {
  if (occurrence >= occurrences_.size()) return nullptr;
  auto& steps = occurrences_[occurrence].steps;
  return step < steps.size() ? &steps[step] : nullptr;
}

TaskState* Job::FindTask(const TaskId& id) {
  StepProgress* step = FindStep(id.occurrence, id.step);
  if (step == nullptr || id.index >= step->tasks.size()) return nullptr;
  return &step->tasks[id.index];
}

void Job::Place(const TaskId& id, RunnerKey runner, RunNumber run) {
  TaskState* task = FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kWaiting) return;
  task->phase = TaskPhase::kPlaced;
  task->runner = runner;
  task->last_run = std::max(task->last_run, run);
  --FindStep(id.occurrence, id.step)->waiting;
  started_ = true;
  if (state_ == JobState::kQueued) state_ = JobState::kRunning;
}

void Job::Unplace(const TaskId& id) {
  TaskState* task = FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kPlaced) return;
  task->phase = TaskPhase::kWaiting;
  task->runner = kNoRunner;
  ++FindStep(id.occurrence, id.step)->waiting;
}

void Job::MarkDone(const TaskId& id) {
  StepProgress* step = FindStep(id.occurrence, id.step);
  if (step == nullptr || id.index >= step->tasks.size()) return;
  const bool whole_gang = spec_.steps[id.step].gang;
  for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
    TaskState& task = step->tasks[index];
    if ((!whole_gang && index != id.index) || task.phase == TaskPhase::kDone) continue;
    if (task.phase == TaskPhase::kWaiting) --step->waiting;
    task.phase = TaskPhase::kDone;
    task.runner = kNoRunner;
    task.checkpoint.clear();
    ++step->done;
  }
  if (step->complete()) FinishStep(id.occurrence);
}

void Job::FinishStep(std::uint32_t number) {
  Occurrence& occurrence = occurrences_[number];
  occurrence.complete = std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                                    [](const StepProgress& step) { return step.complete(); });
  if (!occurrence.complete) return;
  if (spec_.timed()) occurrence.steps.clear();
  const bool all = occurrences_.size() == spec_.occurrences() &&
                   std::all_of(occurrences_.begin(), occurrences_.end(),
                               [](const Occurrence& each) { return each.complete; });
  if (all && !IsFinal(state_)) state_ = JobState::kCompleted;
}

bool Job::MarkFailed(const TaskId& id, RunNumber run) {
  TaskState* task = FindTask(id);
  if (task == nullptr || spec_.steps[id.step].long_running) return false;
  auto& failed = task->failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return false;
  failed.push_back(run);
  if (task->failures() < policy_.max_attempts) return false;
  if (!IsFinal(state_)) state_ = JobState::kFailed;
  return true;
}

std::uint32_t Job::ReadyTasks() const {
  std::uint32_t ready = 0;
  for (std::uint32_t occurrence = 0; occurrence < occurrences_.size(); ++occurrence) {
    const auto& steps = occurrences_[occurrence].steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      if (steps[step].waiting > 0 && StepReady(occurrence, step)) ready += steps[step].waiting;
    }
  }
  return ready;
}

std::string Job::EncodeProgress() const {
  StoredProgress stored;
  stored.state = static_cast<std::uint8_t>(state_);
  stored.started = started_;
  for (const Occurrence& occurrence : occurrences_) stored.occurrences.push_back(Store(occurrence));
  return Encode(stored);
}

absl::Status Job::RestoreProgress(std::string_view bytes) {
  auto stored = Decode<StoredProgress>(bytes);
  if (!stored.ok()) return stored.status();
  if (stored->state >= kStateNames.size() || stored->occurrences.size() > spec_.occurrences()) {
    return absl::InvalidArgumentError("stored progress does not fit the job");
  }
  state_ = static_cast<JobState>(stored->state);
  started_ = stored->started;
  occurrences_.resize(stored->occurrences.size());
  for (std::size_t number = 0; number < occurrences_.size(); ++number) {
    const StoredOccurrence& from = stored->occurrences[number];
    occurrences_[number].complete = from.complete;
    if (from.complete && spec_.timed()) continue;
    occurrences_[number].steps = NewOccurrence(spec_).steps;
    for (const StoredTask& task : from.tasks) {
      if (absl::Status status = RestoreTask(task, &occurrences_[number]); !status.ok()) {
        return status;
      }
    }
  }
  return absl::OkStatus();
}

}  // namespace wigeonlane
