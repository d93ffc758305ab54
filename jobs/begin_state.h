/// What an owner knows of whether any task of a job has begun.
#ifndef WIGEONLANE_JOBS_BEGIN_STATE_H_
#define WIGEONLANE_JOBS_BEGIN_STATE_H_

#include <cstdint>

namespace wigeonlane {

/// What a runner has said of a run: in its response to the start, or by listing the run or its end.
enum class RunEvidence : std::uint8_t {
  kExecuted,  ///< It has executed the start. A task of a gang may still wait for the others.
  kAtWork,    ///< The run has made progress, or has ended by itself.
};

/// Tells a start that was sent from one that a runner has executed: a start may be refused or lost.
class BeginState {
 public:
  /// The start of a task was sent, or its run was found on a runner.
  void AddPlacedTask() { ++placed_tasks_; }
  /// The run of a task has ended, or was refused or not executed.
  void RemovePlacedTask() { --placed_tasks_; }
  /// A runner has said that a task has begun.
  void MarkBegun() { begun_ = true; }
  /// A record of the job's progress says what is known now.
  void MarkRecorded() { recorded_ = begun_; }

  /// Whether a task has begun, whatever became of its run.
  bool begun() const { return begun_; }
  /// Whether a task has begun or may have.
  bool may_have_begun() const { return begun_ || placed_tasks_ > 0; }
  /// Whether a task has begun and no record says so.
  bool unrecorded() const { return begun_ && !recorded_; }

 private:
  std::uint32_t placed_tasks_ = 0;
  bool begun_ = false;
  bool recorded_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_BEGIN_STATE_H_
