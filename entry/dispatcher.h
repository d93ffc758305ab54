/// Processes callers' requests: claims orders, admits, picks a runner, sends, retries and responds.
#ifndef WIGEONLANE_ENTRY_DISPATCHER_H_
#define WIGEONLANE_ENTRY_DISPATCHER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/thread_pool.h"
#include "entry/caller_request.h"
#include "entry/order_claim_service.h"
#include "entry/runner_client.h"
#include "entry/service_dispatcher.h"
#include "fleet/route_view.h"
#include "policy/allotment.h"

namespace wigeonlane {

/// Owner of all service dispatchers. Waiting requests occupy no thread; only requests that hold a
/// slot do. `Handle` sends from the calling thread, which saves a thread switch, while fewer than
/// `max_inline_sends` calls do so. Otherwise the thread pool sends, so that the threads that read
/// callers' requests are never all blocked.
class Dispatcher {
 public:
  /// Calls `OrderClaimService::BeginOrder` with the follower's state locked.
  using BeginOrder = std::function<OrderClaimService::Decision(
      const Digest& key, std::uint64_t content_digest, std::uint64_t call_id, Instant deadline,
      OrderClaimService::DecisionCallback callback)>;
  /// Queries the entry instance that claimed an order for its response. The callback gets nothing
  /// if the response is not known.
  using QueryAuthor =
      std::function<void(const std::string& author, const Digest& key, Instant deadline,
                         std::function<void(std::optional<CallerResponse>)> callback)>;

  struct Dependencies {
    OrderClaimService* order_claims = nullptr;
    BeginOrder begin_order;
    QueryAuthor query_author;
    /// Catches up with the log after this process was paused; takes a bounded time.
    std::function<void()> resync;
  };

  Dispatcher(const SteadyClock& clock, RunnerClient* runners, ThreadPool* threads,
             std::size_t max_inline_sends, MetricsRegistry* metrics);

  /// Sets the dependencies; called once before the first request.
  void SetDependencies(Dependencies dependencies) { dependencies_ = std::move(dependencies); }

  /// Serves one request; `respond` is called exactly once, on any thread.
  void Handle(CallerRequest request, Responder respond);

  /// Applies the allotments of slots by service that were computed from `view`.
  void Configure(const RouteView& view, const std::map<std::string, ServiceAllotment>& allotments);

  /// Refuses waiting requests that cannot meet their deadlines any more. Called every few
  /// milliseconds.
  void Sweep();

  /// Returns the service's maximum body size in bytes, or nothing for an unknown service.
  std::optional<std::uint32_t> BodyLimit(const std::string& service) const;

  /// Returns the demand by service to report to the other entry instances, in hundredths of a slot.
  std::map<std::string, std::uint32_t> ReportedDemand() const;

  /// Returns the number of requests in flight of all services by backend server.
  std::map<std::string, std::uint32_t> InFlight() const;

  /// Returns the number of requests that have no response yet.
  std::uint64_t open_calls() const { return open_calls_; }

  /// Returns the service dispatchers by service, for status pages.
  std::map<std::string, std::shared_ptr<ServiceDispatcher>> ServiceDispatchers() const;

 private:
  std::shared_ptr<ServiceDispatcher> FindServiceDispatcher(const std::string& service) const;
  void ClaimOrder(const CallPtr& call);
  void HandleOrderDecision(const CallPtr& call, const OrderClaimService::Decision& decision);
  void RespondWithAuthorOutcome(const CallPtr& call, const std::string& author, const Digest& key);
  void Admit(const CallPtr& call);
  void ApplyUpdates(const CallUpdates& updates);
  void RunInline(const CallUpdates& updates);
  CallUpdates Run(const CallPtr& call);
  void ResyncAfterPause();
  CallerResponse SendWithRetries(const Call& call, std::optional<RunnerPick> pick);
  bool ShouldRetry(const Call& call, const AttemptResult& result, const ExecutionTrace& trace,
                   std::size_t attempts) const;
  void RespondRefused(const RefusedCall& refused);
  void RespondWithVerdict(const CallPtr& call, const Verdict& verdict);
  void Respond(const CallPtr& call, CallerResponse response);

  const SteadyClock& clock_;
  RunnerClient& runners_;
  ThreadPool& threads_;
  const std::size_t max_inline_sends_;
  std::atomic<std::size_t> inline_sends_{0};
  MetricsRegistry& metrics_;
  Dependencies dependencies_;
  std::atomic<std::uint64_t> next_id_{0};
  std::atomic<std::uint64_t> open_calls_{0};
  std::atomic<Instant> last_sweep_at_{Instant::max()};
  mutable std::shared_mutex service_dispatchers_mutex_;
  std::map<std::string, std::shared_ptr<ServiceDispatcher>> service_dispatchers_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_DISPATCHER_H_
