/// One runner of the stand-in platform: tasks under a lease, fencing, numbered ends.
#ifndef WIGEONLANE_STANDIN_TASK_RUNNER_H_
#define WIGEONLANE_STANDIN_TASK_RUNNER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "core/clock.h"
#include "net/http_message.h"
#include "standin/task_ledger.h"

namespace wigeonlane {

/// Answers the calls of PROTOCOL.md. A task's payload says how it fares, as JSON: `{"ms":50}` takes
/// so long, `"fails":1` lets its first run fail, whatever its number, `{"ms":-1}` runs until it is
/// stopped. Not safe for several threads.
class TaskRunner {
 public:
  explicit TaskRunner(TaskLedger* ledger) : ledger_(ledger) {}

  /// Everything that runs is gone, and nothing is known of before.
  void BeginLife(Instant now, std::chrono::milliseconds born);

  /// Answers a call to `path`, one of /run-start, /run-stop, /pace and /hold; never waits.
  HttpResponse Serve(const std::string& path, const std::string& body, Instant now);

  /// Ends what is over by now.
  void Advance(Instant now);

  bool has_ends() const { return !ends_.empty(); }
  std::chrono::milliseconds born() const { return born_; }

 private:
  using Clock = std::chrono::milliseconds;

  struct Run {
    std::uint64_t run = 0;
    Clock over{0};
    bool fails = false;
  };

  struct End {
    std::uint64_t number = 0;
    std::string task;
    std::uint64_t run = 0;
    std::string how;
    std::uint64_t in_ledger = 0;
    bool counts = true;  ///< False once the lease lapsed before the end was noted.
  };

  Clock Now(Instant now) const;
  HttpResponse Start(const nlohmann::json& order, Instant now);
  HttpResponse Stop(const nlohmann::json& order, Instant now);
  HttpResponse Look(const nlohmann::json& order, Instant now);
  HttpResponse Conflict(const char* reason, Instant now) const;
  bool Fenced(const nlohmann::json& order);
  void Extend(const nlohmann::json& order, Instant now);
  void EndRun(const std::string& task, const Run& run, const std::string& how);

  TaskLedger* ledger_;
  Instant began_{};
  std::chrono::milliseconds born_{0};
  std::uint64_t fence_ = 0;
  Clock lease_{0};
  std::map<std::string, Run> runs_;
  std::map<std::string, std::uint64_t> highest_;  ///< Run stopped or ended here, by task.
  std::deque<End> ends_;
  std::uint64_t last_end_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_TASK_RUNNER_H_
