/// What a stand-in runner executed, for proofs that no order was lost or doubled.
#ifndef WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_
#define WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace wigeonlane {

/// Executions by request id and key. Survives reboots of its runner. Safe for several threads.
class ExecutionLedger {
 public:
  /// Records that the work of one request begins.
  void Begin(const std::string& request_id, const std::string& key);

  /// Records that it ended.
  void End();

  /// Records that a reboot cuts off whatever runs now.
  void CutOff();

  /// {"executions", "cut_off", "running", "most_running", "by_key": {...}, "by_request": {...}}.
  std::string ToJson() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> by_key_;
  std::map<std::string, std::uint64_t> by_request_;
  std::uint64_t executions_ = 0;
  std::uint64_t running_ = 0;
  std::uint64_t most_running_ = 0;
  std::uint64_t cut_off_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_EXECUTION_LEDGER_H_
