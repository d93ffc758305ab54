/// Checks the guarantees for jobs against what callers and runners observe.
#ifndef WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_
#define WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "cells/cell_types.h"
#include "core/text.h"

namespace wigeonlane {

class JobOracle {
 public:
  const std::string& first_violation() const { return first_violation_; }

  void Submitted(const JobId& id, const JobRecord& record) { jobs_[id].record = record; }
  /// Records that the acceptance of the job was acknowledged to a caller.
  void Accepted(const JobId& id, Instant now) {
    ObservedJob& job = jobs_[id];
    job.accepted = true;
    if (!job.accepted_at) job.accepted_at = now;
  }
  void MaybeAccepted(const JobId& id) { jobs_[id].maybe_accepted = true; }
  /// Records that every submission of the job was refused.
  void Refused(const JobId& id) { jobs_[id].maybe_accepted = false; }
  /// Records that a caller gave up a submission, which may still reach an owner.
  void SubmissionGivenUp(const JobId& id) { jobs_[id].given_up = true; }
  /// Records that a cancel was acknowledged with 2xx (kCancelled) or 410 (kNotFound). The first
  /// acknowledgement counts.
  void CancelAcknowledged(const JobId& id, CallVerdict verdict, Instant now) {
    ObservedJob& job = jobs_[id];
    if (job.cancelled) return;
    job.cancelled = now;
    job.cancel_verdict = verdict;
  }
  bool Knows(const JobId& id) const { return jobs_.contains(id); }
  bool WasAccepted(const JobId& id) const { return jobs_.at(id).accepted; }
  bool WasCancelled(const JobId& id) const { return jobs_.at(id).cancelled.has_value(); }

  /// Records that a runner starts a run. `late` says that the command was delayed on the way.
  void Started(const TaskId& task, const std::string& payload, bool late, Instant now) {
    const auto found = jobs_.find(task.job);
    if (found == jobs_.end()) return Break("UNASKED: nobody submitted ", task);
    ObservedJob& job = found->second;
    if (payload != job.record.spec.payload) Break("UNASKED: other payload for ", task);
    if (running_.contains(task)) Break("TWICE: two runs at the same time of ", task);
    if (acknowledged_done_.contains(task)) {
      Break("TWICE: a start after an acknowledged end of ", task);
    }
    for (auto& [number, result] : unacknowledged_) {
      if (result.task == task) result.started_after = true;
    }
    const StepSpec& step = job.record.spec.steps[task.step];
    for (const std::uint32_t earlier : step.after) {
      for (std::uint32_t index = 0; index < job.record.spec.steps[earlier].count; ++index) {
        if (!done_.contains({task.job, task.occurrence, earlier, index})) {
          Break("ORDER: started too early: ", task);
        }
      }
    }
    if (acknowledged_failures_[task] >= job.record.policy.max_attempts && !step.long_running) {
      Break("BUDGET: a start after all attempts of ", task);
    }
    if (!late && job.cancelled && now > *job.cancelled + kCancelTime) {
      Break(job.cancel_verdict == CallVerdict::kNotFound
                ? "UNASKED: a start long after a cancel answered 410 of "
                : "UNASKED: a start long after a cancel answered 2xx of ",
            task);
    }
    running_.insert(task);
  }

  /// Records the end of a run. Returns its number for `Acknowledged` or `Discarded`.
  std::uint64_t Ended(const TaskId& task, RunResult end) {
    running_.erase(task);
    if (end == RunResult::kDone) done_.insert(task);
    if (end == RunResult::kFailed) ++failures_[task];
    unacknowledged_[++last_end_] = {task, end, false};
    return last_end_;
  }

  /// Records that the owner acknowledged this result to the runner.
  void Acknowledged(std::uint64_t number) {
    const auto found = unacknowledged_.find(number);
    if (found == unacknowledged_.end()) return;
    const UnacknowledgedResult end = found->second;
    unacknowledged_.erase(found);
    if (end.result == RunResult::kFailed) ++acknowledged_failures_[end.task];
    if (end.result != RunResult::kDone) return;
    if (end.started_after) Break("TWICE: a start after the end of ", end.task);
    acknowledged_done_.insert(end.task);
    AcknowledgeGang(end.task);
  }

  /// Records that no owner can learn this result: the runner crashed or its lease ended.
  void Discarded(std::uint64_t number) { unacknowledged_.erase(number); }

  /// Records what an owner answered to a caller at any time.
  void Shown(const JobId& id, const CallResponse& response, Instant now) {
    const ObservedJob& job = jobs_.at(id);
    if (IsUnknown(response) && job.accepted_at && now > *job.accepted_at + kVisibleTime) {
      Break("LOST: unknown long after its acceptance ", {id});
    }
    CheckState(id, response);
  }

  /// Records what the owner answers once all faults have ended.
  void ShownAtEnd(const JobId& id, const CallResponse& response) {
    if (IsUnknown(response) && jobs_.at(id).accepted) Break("LOST: unknown ", {id});
    CheckState(id, response);
  }

  void CancelSent(const JobId& id) { jobs_[id].cancel_sent = true; }
  bool CancelWasSent(const JobId& id) const { return jobs_.at(id).cancel_sent; }

  /// Checks at the end that a refused job never ran, unless a repeated submission was accepted.
  void CheckRefused(const JobId& id) {
    const ObservedJob& job = jobs_.at(id);
    if (job.accepted || job.maybe_accepted || job.given_up) return;
    for (const auto& task : running_) {
      if (task.job == id) Break("REFUSED: runs though refused: ", task);
    }
    for (const auto& task : done_) {
      if (task.job == id) Break("REFUSED: ran though refused: ", task);
    }
  }

  /// Checks at the end that nothing is running of a job whose cancel was acknowledged.
  void CheckCancelled(const JobId& id) {
    if (!WasCancelled(id)) return;
    for (const auto& task : running_) {
      if (task.job == id) Break("UNASKED: still running after a cancel: ", task);
    }
  }

  /// Records that a long-running task is without a run for longer than allowed.
  void Unavailable(const TaskId& task) { Break("LOST: without a run ", task); }

  void Lost(const JobId& id, const std::string& reason) { Break("LOST: " + reason + " ", {id}); }

  void Overfull(const std::string& runner) {
    if (first_violation_.empty()) first_violation_ = "LIMIT: over capacity: " + runner;
  }

 private:
  static constexpr std::chrono::milliseconds kCancelTime{3'000};
  /// How long after its acceptance an owner may not know a job yet (platform: visible_ms).
  static constexpr std::chrono::milliseconds kVisibleTime{3'000};

  struct ObservedJob {
    JobRecord record;
    bool accepted = false;
    bool maybe_accepted = false;
    bool given_up = false;  ///< A caller did not wait for the response to a submission.
    bool cancel_sent = false;
    std::optional<Instant> accepted_at;
    std::optional<Instant> cancelled;
    CallVerdict cancel_verdict = CallVerdict::kCancelled;
  };

  /// One successful result represents all members of a gang.
  void AcknowledgeGang(const TaskId& member) {
    const auto job = jobs_.find(member.job);
    if (job == jobs_.end()) return;
    const StepSpec& step = job->second.record.spec.steps[member.step];
    for (std::uint32_t index = 0; step.gang && index < step.count; ++index) {
      acknowledged_done_.insert({member.job, member.occurrence, member.step, index});
    }
  }

  static bool IsUnknown(const CallResponse& response) {
    return response.verdict == CallVerdict::kNotFound ||
           response.verdict == CallVerdict::kCancelledBeforeSubmit;
  }

  /// Checks the state in an answer against the runs that were observed.
  void CheckState(const JobId& id, const CallResponse& response) {
    const ObservedJob& job = jobs_.at(id);
    if (response.verdict != CallVerdict::kShown) return;
    if (response.state == JobState::kCompleted && !AllDone(id)) Break("MIXED: not done ", {id});
    if (response.state == JobState::kFailed && !AnyExhausted(id)) Break("LOST: failed ", {id});
    if (response.state == JobState::kCancelled && !job.cancelled && !job.cancel_sent) {
      Break("LOST: cancelled by nobody ", {id});
    }
  }

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
    if (first_violation_.empty()) first_violation_ = what + task.ToString();
  }

  struct UnacknowledgedResult {
    TaskId task;
    RunResult result = RunResult::kStopped;
    bool started_after = false;
  };

  std::string first_violation_;
  std::map<JobId, ObservedJob> jobs_;
  std::set<TaskId> running_;
  std::set<TaskId> done_;
  std::set<TaskId> acknowledged_done_;
  std::map<std::uint64_t, UnacknowledgedResult> unacknowledged_;
  std::uint64_t last_end_ = 0;
  std::map<TaskId, std::uint32_t> acknowledged_failures_;
  std::map<TaskId, std::uint32_t> failures_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_CELLS_JOB_ORACLE_H_
