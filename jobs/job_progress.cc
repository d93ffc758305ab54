#include "jobs/job_progress.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::array<std::string_view, 5> kStateNames = {"queued", "running", "completed", "failed",
                                                         "cancelled"};
constexpr std::array<std::string_view, 6> kRunResultNames = {"done",   "failed", "stopped",
                                                             "lapsed", "broken", "alone"};

}  // namespace

std::string_view JobStateName(JobState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

std::string_view RunResultName(RunResult result) {
  return kRunResultNames.at(static_cast<std::size_t>(result));
}

Job::Job(JobId id, JobSpec spec, QueuePolicy policy, UnixTime accepted)
    : id_(id), spec_(std::move(spec)), policy_(std::move(policy)), accepted_(accepted) {
  for (const StepSpec& step : spec_.steps) {
    first_task_of_step_.push_back(tasks_per_occurrence_);
    tasks_per_occurrence_ += step.count;
  }
  if (!spec_.timed()) occurrences_.push_back({NewSteps()});
}

std::vector<StepProgress> Job::NewSteps() const {
  std::vector<StepProgress> steps;
  for (const StepSpec& step : spec_.steps) {
    StepProgress progress;
    progress.tasks.resize(step.count);
    progress.waiting = step.count;
    steps.push_back(std::move(progress));
  }
  return steps;
}

bool Job::CreateDueOccurrences(UnixTime now) {
  const std::size_t old_count = occurrences_.size();
  while (NextDueAt() <= now) occurrences_.push_back({NewSteps()});
  bool became_due = false;
  for (std::uint32_t number = 0; number < old_count; ++number) {
    if (!occurrences_[number].started_early || now < DueAt(number)) continue;
    occurrences_[number].started_early = false;
    became_due = true;
  }
  return became_due || occurrences_.size() > old_count;
}

void Job::CreateStartedOccurrences(std::uint32_t occurrence) {
  if (occurrence >= spec_.occurrences()) return;
  while (occurrences_.size() <= occurrence) {
    occurrences_.push_back({NewSteps()});
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
  MarkChanged(id.occurrence, id.step, id.index);
  return &step->tasks[id.index];
}

void Job::Place(const TaskId& id, RunnerKey runner, RunNumber run) {
  TaskState* task = FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kWaiting) return;
  task->phase = TaskPhase::kPlaced;
  task->no_runner_since.reset();
  task->lost_run.reset();
  task->runner = runner;
  task->last_run = std::max(task->last_run, run);
  --FindStep(id.occurrence, id.step)->waiting;
  begin_.AddPlacedTask();
}

void Job::Unplace(const TaskId& id) {
  TaskState* task = FindTask(id);
  if (task == nullptr || task->phase != TaskPhase::kPlaced) return;
  task->phase = TaskPhase::kWaiting;
  task->runner = kNoRunner;
  ++FindStep(id.occurrence, id.step)->waiting;
  begin_.RemovePlacedTask();
}

void Job::RecordRun(const TaskId& id, RunNumber run, RunEvidence evidence) {
  if (begin_.begun() || id.step >= spec_.steps.size()) return;
  if (!spec_.steps[id.step].gang || evidence == RunEvidence::kAtWork) return MarkBegun();
  TaskState* task = FindTask(id);
  if (task == nullptr) return;
  task->executed_run = run;
  const auto& gang = FindStep(id.occurrence, id.step)->tasks;
  const bool complete = std::all_of(gang.begin(), gang.end(), [&](const TaskState& member) {
    return member.phase == TaskPhase::kPlaced && member.last_run == run &&
           member.executed_run == run;
  });
  if (complete) MarkBegun();
}

void Job::MarkBegun() {
  begin_.MarkBegun();
  if (state_ == JobState::kQueued) state_ = JobState::kRunning;
}

void Job::ForgetWhereTasksRun() {
  for (Occurrence& occurrence : occurrences_) {
    for (StepProgress& step : occurrence.steps) {
      for (TaskState& task : step.tasks) task.accounted_for = false;
    }
  }
}

void Job::MarkDone(const TaskId& id) {
  StepProgress* step = FindStep(id.occurrence, id.step);
  if (step == nullptr || id.index >= step->tasks.size()) return;
  MarkBegun();
  const bool whole_gang = spec_.steps[id.step].gang;
  for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
    TaskState& task = step->tasks[index];
    if ((!whole_gang && index != id.index) || task.phase == TaskPhase::kDone) continue;
    MarkChanged(id.occurrence, id.step, index);
    if (task.phase == TaskPhase::kWaiting) --step->waiting;
    if (task.phase == TaskPhase::kPlaced) begin_.RemovePlacedTask();
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
  if (spec_.timed()) {
    occurrence.steps.clear();
    for (const auto& [slice, digest] : slice_digests_) {
      if (slice.occurrence == number) changed_slices_.insert(slice);
    }
  }
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

}  // namespace wigeonlane
