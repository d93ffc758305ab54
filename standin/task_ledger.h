/// Ledger of the task runs on all runners of the stand-in, for audits by tests.
#ifndef WIGEONLANE_STANDIN_TASK_LEDGER_H_
#define WIGEONLANE_STANDIN_TASK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wigeonlane {

/// Counts the runs of each task and detects tasks that ran twice at the same time or again after
/// they were done. Not safe for several threads.
class TaskLedger {
 public:
  /// Records that a run of the task started.
  void RecordStart(const std::string& task);
  /// Records that a run ended with `outcome`; returns its index for `RecordAcknowledgement`.
  std::uint64_t RecordEnd(const std::string& task, const std::string& outcome);
  /// Records that a run was lost with its runner, so that no result will be reported.
  void RecordLoss(const std::string& task);
  /// Records that the owner acknowledged a result. The task must not start after a result `done`.
  void RecordAcknowledgement(std::uint64_t result_index);

  /// Returns the number of failed runs of the task.
  std::uint64_t Failures(const std::string& task) const;

  std::string ToJson() const;

 private:
  struct Task {
    int running = 0;
    std::uint64_t last_start = 0;  ///< Value of `event_count_` at the last start.
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    bool done_acknowledged = false;
  };

  struct RunResult {
    std::string task;
    bool done = false;
    std::uint64_t event = 0;  ///< Value of `event_count_` at the end of the run.
  };

  std::uint64_t event_count_ = 0;
  std::map<std::string, Task> tasks_;
  std::vector<RunResult> results_;
  std::vector<std::string> concurrent_tasks_;    ///< Tasks of which two runs overlapped.
  std::vector<std::string> started_after_done_;  ///< Tasks started again after a result `done`.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_TASK_LEDGER_H_
