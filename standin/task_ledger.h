/// What all runners of the stand-in saw of each task, to be audited by a test.
#ifndef WIGEONLANE_STANDIN_TASK_LEDGER_H_
#define WIGEONLANE_STANDIN_TASK_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wigeonlane {

/// Counts runs and finds tasks that ran twice. Not safe for several threads.
class TaskLedger {
 public:
  void Started(const std::string& task);
  /// A run is over; returns a number for `Noted`.
  std::uint64_t Ended(const std::string& task, const std::string& how);
  /// A run died with its runner, and nobody will list its end.
  void Vanished(const std::string& task);
  /// The end was taken note of: an end `done` then stands for good.
  void Noted(std::uint64_t end);

  /// Runs of the task that have failed.
  std::uint64_t Failures(const std::string& task) const;

  std::string ToJson() const;

 private:
  struct Task {
    int running = 0;
    std::uint64_t last_start = 0;  ///< On the ledger's own count of events.
    std::uint64_t starts = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    bool done_noted = false;
  };

  struct End {
    std::string task;
    bool done = false;
    std::uint64_t at = 0;
  };

  std::uint64_t events_ = 0;
  std::map<std::string, Task> tasks_;
  std::vector<End> ends_;
  std::vector<std::string> at_once_;     ///< Tasks of which two runs went on at the same time.
  std::vector<std::string> after_done_;  ///< Tasks started after an end `done` that was noted.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_TASK_LEDGER_H_
