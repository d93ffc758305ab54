/// What must hold of jobs, judged by what callers and runners see.
#ifndef WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_
#define WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_

#include <map>
#include <set>
#include <string>

#include "cells/cell_types.h"
#include "core/text.h"

namespace wigeonlane {

class JobOracle {
 public:
  const std::string& broken() const { return broken_; }

  void Submitted(const JobId& id, const JobRecord& record) { jobs_[id].record = record; }
  void Accepted(const JobId& id) { jobs_[id].accepted = true; }
  void MaybeAccepted(const JobId& id) { jobs_[id].maybe = true; }
  /// Every attempt to hand the job in was refused.
  void Refused(const JobId& id) { jobs_[id].maybe = false; }
  void CancelAcknowledged(const JobId& id, Instant now) { jobs_[id].cancelled.emplace(now); }
  bool Knows(const JobId& id) const { return jobs_.contains(id); }
  bool WasAccepted(const JobId& id) const { return jobs_.at(id).accepted; }
  bool WasCancelled(const JobId& id) const { return jobs_.at(id).cancelled.has_value(); }

  /// A runner begins a run. `late` tells that the order was held up on the way.
  void Started(const TaskId& task, const std::string& payload, bool late, Instant now) {
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return Break("UNASKED: nobody submitted ", task);
    Seen& job = found->second;
    if (payload != job.record.spec.payload) Break("UNASKED: other payload for ", task);
    if (running_.contains(task)) Break("TWICE: two runs at the same time of ", task);
    if (noted_done_.contains(task)) Break("TWICE: a start after a noted end of ", task);
    for (auto& [end, open] : open_ends_) {
      if (open.task == task) open.started_after = true;
    }
    const StepSpec& step = job.record.spec.steps[task.step];
    for (const std::uint32_t earlier : step.after) {
      for (std::uint32_t index = 0; index < job.record.spec.steps[earlier].count; ++index) {
        if (!done_.contains({task.job, task.occurrence, earlier, index})) {
          Break("ORDER: started too early: ", task);
        }
      }
    }
    if (noted_failures_[task] >= job.record.policy.max_attempts && !step.long_running) {
      Break("BUDGET: a start after all attempts of ", task);
    }
    if (!late && job.cancelled && now > *job.cancelled + kCancelTime) {
      Break("UNASKED: a start long after cancelling of ", task);
    }
    running_.insert(task);
  }

  /// A run ended. Returns the number under which the end is noted or forgotten later.
  std::uint64_t Ended(const TaskId& task, RunResult end) {
    running_.erase(task);
    if (end == RunResult::kDone) done_.insert(task);
    if (end == RunResult::kFailed) ++failures_[task];
    open_ends_[++last_end_] = {task, end, false};
    return last_end_;
  }

  /// The runner was told to forget this end.
  void Noted(std::uint64_t number) {
    const auto found = open_ends_.find(number);
    if (found == open_ends_.end()) return;
    const OpenEnd end = found->second;
    open_ends_.erase(found);
    if (end.how == RunResult::kFailed) ++noted_failures_[end.task];
    if (end.how != RunResult::kDone) return;
    if (end.started_after) Break("TWICE: a start after the end of ", end.task);
    noted_done_.insert(end.task);
  }

  /// The runner died with the end, or its lease lapsed: nobody will ever take note of it.
  void Forgotten(std::uint64_t number) { open_ends_.erase(number); }

  void Shown(const JobId& id, const CallResponse& answer) {
    const Seen& job = jobs_.at(id);
    if (answer.verdict == CallVerdict::kNotFound && job.accepted) Break("LOST: unknown ", {id});
    if (answer.verdict != CallVerdict::kShown) return;
    if (answer.state == JobState::kCompleted && !AllDone(id)) Break("MIXED: not done ", {id});
    if (answer.state == JobState::kFailed && !AnyExhausted(id)) Break("LOST: failed ", {id});
    if (answer.state == JobState::kCancelled && !job.cancelled && !job.cancel_sent) {
      Break("LOST: cancelled by nobody ", {id});
    }
  }

  void CancelSent(const JobId& id) { jobs_[id].cancel_sent = true; }
  bool CancelWasSent(const JobId& id) const { return jobs_.at(id).cancel_sent; }

  /// A refusal said that the job never runs; checked at the end, when no repeat was accepted.
  void CheckRefused(const JobId& id) {
    const Seen& job = jobs_.at(id);
    if (job.accepted || job.maybe) return;
    for (const auto& task : running_) {
      if (task.job == id) Break("REFUSED: runs though refused: ", task);
    }
    for (const auto& task : done_) {
      if (task.job == id) Break("REFUSED: ran though refused: ", task);
    }
  }

  void Lost(const JobId& id, const std::string& why) { Break("LOST: " + why + " ", {id}); }

  void Overfull(const std::string& runner) {
    if (broken_.empty()) broken_ = "LIMIT: over capacity: " + runner;
  }

 private:
  static constexpr std::chrono::milliseconds kCancelTime{3'000};

  struct Seen {
    JobRecord record;
    bool accepted = false;
    bool maybe = false;
    bool cancel_sent = false;
    std::optional<Instant> cancelled;
  };

  bool AllDone(const JobId& id) const {
    const JobSpec& spec = jobs_.at(id).record.spec;
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
        if (!done_.contains({id, 0, step, index})) return false;
      }
    }
    return true;
  }

  bool AnyExhausted(const JobId& id) const {
    for (const auto& [task, failures] : failures_) {
      if (task.job == id && failures >= jobs_.at(id).record.policy.max_attempts) return true;
    }
    return false;
  }

  void Break(const std::string& what, const TaskId& task) {
    if (broken_.empty()) broken_ = what + task.ToString();
  }

  struct OpenEnd {
    TaskId task;
    RunResult how = RunResult::kStopped;
    bool started_after = false;
  };

  std::string broken_;
  std::map<JobId, Seen> jobs_;
  std::set<TaskId> running_;
  std::set<TaskId> done_;
  std::set<TaskId> noted_done_;
  std::map<std::uint64_t, OpenEnd> open_ends_;
  std::uint64_t last_end_ = 0;
  std::map<TaskId, std::uint32_t> noted_failures_;
  std::map<TaskId, std::uint32_t> failures_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_
