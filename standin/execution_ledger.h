/// Ledger of the requests that a stand-in runner executed, for checks that no order was lost or
/// executed twice.
#ifndef WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_
#define WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace wigeonlane {

/// Counts executions by request id and idempotency key. Keeps its counts when the runner reboots.
/// Safe for several threads.
class ExecutionLedger {
 public:
  /// Records that the execution of a request started.
  void RecordStart(const std::string& request_id, const std::string& key);

  /// Records that an execution ended.
  void RecordEnd();

  /// Records that a reboot interrupts all running executions.
  void RecordCutOff();

  /// Returns the object {"executions", "cut_off", "running", "most_running", "by_key": {...},
  /// "by_request": {...}}.
  std::string ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> executions_by_key_;
  std::map<std::string, std::uint64_t> executions_by_request_;
  std::uint64_t executions_ = 0;
  std::uint64_t running_ = 0;
  std::uint64_t max_running_ = 0;
  std::uint64_t cut_off_executions_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_
