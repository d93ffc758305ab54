/// HTTP server of one stand-in runner, with fault injection, and the runner's entry in the store.
#ifndef WIGEONLANE_STANDIN_RUNNER_SERVER_H_
#define WIGEONLANE_STANDIN_RUNNER_SERVER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "net/async_http_server.h"
#include "standin/fault_switches.h"
#include "standin/store_topics.h"
#include "standin/task_runner.h"

namespace wigeonlane {

/// A runner as the platform publishes it.
struct RunnerEntry {
  std::string id;
  std::string service;
  std::string rack;
  Endpoint address;
  Endpoint published;  ///< Address in the store's entry: `address`, or that of a relay to it.
};

/// Serves one runner. Not safe for several threads. Faults: `silent` ignores all calls without a
/// response; `refuse` refuses the next N calls; `lose_answers` executes the next N calls without a
/// response; `late_starts` executes the next N start commands late and without a response;
/// `unlisted` withholds the entry of an incarnation that starts while it is on.
class RunnerServer {
 public:
  RunnerServer(asio::io_context* io, RunnerEntry entry, StoreTopics* store, TaskLedger* ledger);

  absl::Status Listen() { return server_.Listen(entry_.address); }

  /// Starts a new incarnation under the same id, which is ready even if the last one was draining.
  void StartIncarnation();

  /// Ends all runs silently: no call is served and nothing is published until `StartIncarnation`.
  void Crash();

  /// Publishes that the runner is draining.
  void Drain();

  /// Ends all runs successfully. Open polls are answered with the next call of `Advance`.
  void CompleteRuns() { runner_.CompleteRuns(clock_.Now()); }

  /// Ends tasks whose time is over and responds to polls that have a result or reached their
  /// deadline.
  void Advance(Instant now);

  const std::string& id() const { return entry_.id; }
  FaultSwitches& faults() { return faults_; }

 private:
  struct OpenPoll {
    std::string body;
    Instant deadline{};
    HttpReply reply;
  };

  void Serve(const HttpRequest& request, const HttpReply& reply);
  void StartAfterDelay(const HttpRequest& request);
  /// Publishes the entry of this incarnation unless that was done or is withheld.
  void ListIncarnation();
  void PublishState(const std::string& state);

  asio::io_context* io_;
  const RunnerEntry entry_;
  StoreTopics* store_;
  SteadyClock clock_;
  TaskRunner runner_;
  std::vector<OpenPoll> open_polls_;
  bool crashed_ = false;
  bool listed_ = false;  ///< The entry of this incarnation was published.
  std::uint64_t last_sequence_ = 0;
  FaultSwitches faults_;
  AsyncHttpServer server_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_RUNNER_SERVER_H_
