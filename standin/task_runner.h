/// One runner of the stand-in platform: tasks under a lease, fencing, numbered results.
#ifndef WIGEONLANE_STANDIN_TASK_RUNNER_H_
#define WIGEONLANE_STANDIN_TASK_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "core/clock.h"
#include "net/http_message.h"
#include "standin/task_ledger.h"

namespace wigeonlane {

/// Responds to the runner's calls of PROTOCOL.md. A task's payload controls its runs, as JSON:
/// `{"ms":50}` makes a run last 50 ms, `{"ms":-1}` makes it last until it is stopped, and
/// `"fails":1` makes the first run fail, whatever its run number. Not safe for several threads.
class TaskRunner {
 public:
  /// `id` names the runner in the log.
  explicit TaskRunner(TaskLedger* ledger, std::string id = {})
      : ledger_(ledger), id_(std::move(id)) {}

  /// Ends all runs without a result.
  void LoseRuns();

  /// Starts a new incarnation: all runs, results, the lease and the fencing token are lost.
  void StartIncarnation(Instant now, std::chrono::milliseconds started_at);

  /// Responds to a call of `path`: /run-start, /run-stop, /pace or /hold. Never waits.
  HttpResponse Serve(const std::string& path, const std::string& body, Instant now);

  /// Ends the runs whose time is over, and all runs when the lease has lapsed.
  void Advance(Instant now);

  /// Ends all runs with the outcome `done`.
  void CompleteRuns(Instant now);

  bool has_results() const { return !results_.empty(); }
  std::chrono::milliseconds started_at() const { return started_at_; }

 private:
  /// Time since the start of the incarnation, as in `ClockMs` on the wire.
  using RunnerTime = std::chrono::milliseconds;

  struct Run {
    std::uint64_t run = 0;  ///< `RunId` of the start command.
    RunnerTime ends_at{0};
    bool fails = false;
  };

  struct RunResult {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string outcome;
    std::uint64_t ledger_index = 0;  ///< Index returned by `TaskLedger::RecordEnd`.
    /// False if the lease lapsed before the acknowledgement, which the ledger then ignores.
    bool recordable = true;
  };

  RunnerTime ToRunnerTime(Instant now) const;
  HttpResponse HandleStart(const nlohmann::json& command, Instant now);
  HttpResponse HandleStop(const nlohmann::json& command, Instant now);
  HttpResponse HandlePoll(const nlohmann::json& command, Instant now);
  HttpResponse Conflict(const char* reason, Instant now) const;

  /// Returns true if the command's fencing token is outdated; otherwise adopts the token.
  bool IsFenced(const nlohmann::json& command);
  void ExtendLease(const nlohmann::json& command, Instant now);
  void FinishRun(const std::string& task, const Run& run, const std::string& outcome);
  /// Logs the start or the end of a run, from which a test tells which incarnation executed it.
  void LogRun(std::string_view event, const std::string& task, std::uint64_t run,
              const std::string& outcome) const;

  TaskLedger* ledger_;
  std::string id_;
  Instant incarnation_start_{};
  std::chrono::milliseconds started_at_{0};
  std::uint64_t fence_ = 0;
  RunnerTime lease_deadline_{0};
  std::map<std::string, Run> runs_;
  /// Highest run that was stopped or ended, by task.
  std::map<std::string, std::uint64_t> highest_finished_runs_;
  std::deque<RunResult> results_;
  std::uint64_t last_result_number_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_TASK_RUNNER_H_
