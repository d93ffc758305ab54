/// The HTTP face of one stand-in runner, with faults in between, and its entry in the store.
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

/// What the platform knows of a runner.
struct RunnerEntry {
  std::string id;
  std::string service;
  std::string rack;
  Endpoint address;
};

/// Not safe for several threads. Faults: `silent` does nothing and answers nothing, `refuse` and
/// `lose_answers` count calls, `late_starts` counts starts that are carried out late, unanswered.
class RunnerServer {
 public:
  RunnerServer(asio::io_context* io, RunnerEntry entry, StoreTopics* store, TaskLedger* ledger);

  absl::Status Listen() { return server_.Listen(entry_.address); }

  /// A new life under the same id; a draining runner is ready again.
  void BeginLife();
  void Drain();
  /// Ends tasks that are over and answers looks that have waited long enough.
  void Advance(Instant now);

  const std::string& id() const { return entry_.id; }
  FaultSwitches& faults() { return faults_; }

 private:
  struct OpenLook {
    std::string body;
    Instant until{};
    HttpReply reply;
  };

  void Serve(const HttpRequest& request, const HttpReply& reply);
  void StartLate(const HttpRequest& request);
  void Publish(const std::string& state);

  asio::io_context* io_;
  const RunnerEntry entry_;
  StoreTopics* store_;
  SteadyClock clock_;
  TaskRunner runner_;
  std::vector<OpenLook> looks_;
  std::uint64_t published_ = 0;
  FaultSwitches faults_;
  AsyncHttpServer server_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_STANDIN_RUNNER_SERVER_H_
