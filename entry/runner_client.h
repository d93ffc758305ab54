/// Requests to runners: one connection for each, whole and verified answers or none.
#ifndef WIGEONLANE_ENTRY_RUNNER_CLIENT_H_
#define WIGEONLANE_ENTRY_RUNNER_CLIENT_H_

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/settings.h"
#include "core/verdict.h"
#include "entry/caller_request.h"

namespace wigeonlane {

/// A backend server's whole, verified answer.
struct RunnerResponse {
  int code = 0;
  std::vector<Header> headers;
  std::string body;
};

/// Outcome of one attempt.
struct AttemptResult {
  Execution execution = Execution::kNotRun;
  absl::Status status;  ///< OK exactly when `response` is present.
  std::optional<RunnerResponse> response;
  bool runner_at_fault = false;  ///< Counts towards the runner's ejection.
};

/// Sends requests to runners over kept connections. Safe for several threads; idle connections
/// are kept in shards by endpoint, each under its own lock.
class RunnerClient {
 public:
  explicit RunnerClient(const SteadyClock& clock);
  ~RunnerClient();
  RunnerClient(const RunnerClient&) = delete;
  RunnerClient& operator=(const RunnerClient&) = delete;

  /// Sends the request once and waits until `deadline` for the whole answer. A connection is
  /// reused only after an answer that was whole and echoed the request id, with no byte left.
  AttemptResult Send(const Endpoint& runner, const CallerRequest& request, Instant deadline);

 private:
  struct Connection;
  struct ConnectionShard;
  class DeadlineEnforcer;

  std::unique_ptr<Connection> TakeIdleConnection(const Endpoint& runner);
  void KeepIdleConnection(const Endpoint& runner, std::unique_ptr<Connection> connection);
  ConnectionShard& FindShard(const Endpoint& runner);

  static constexpr std::size_t kShardCount = 16;

  const SteadyClock& clock_;
  std::array<std::unique_ptr<ConnectionShard>, kShardCount> shards_;
  std::unique_ptr<DeadlineEnforcer> deadline_enforcer_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_RUNNER_CLIENT_H_
