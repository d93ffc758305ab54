/// The path of a request: claim, admit, choose a runner, send, verify, answer.
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

/// Owner of all service lanes. Requests wait without a thread; only requests that hold a slot use
/// one. `Handle` sends from the calling thread while few do, which saves a change of threads, and
/// else hands over to the pool, so that callers' threads are never all taken.
class Dispatcher {
 public:
  /// Takes an order to the desk with the folded state locked.
  using BeginOrder = std::function<OrderClaimService::Decision(
      const Digest& key, std::uint64_t body, std::uint64_t id, Instant deadline,
      OrderClaimService::DecisionCallback callback)>;
  /// Asks the author of a claim for the outcome; the callback gets none when it is not known.
  using QueryAuthor =
      std::function<void(const std::string& author, const Digest& key, Instant deadline,
                         std::function<void(std::optional<CallerResponse>)> callback)>;

  struct Dependencies {
    OrderClaimService* order_claims = nullptr;
    BeginOrder begin_order;
    QueryAuthor query_author;
    /// Catches up with the log after this process was paused; bounded in time.
    std::function<void()> resync;
  };

  Dispatcher(const SteadyClock& clock, RunnerClient* runners, ThreadPool* threads,
             std::size_t max_inline_sends, MetricsRegistry* metrics);

  /// Completes the wiring; called once before the first request.
  void SetDependencies(Dependencies dependencies) { dependencies_ = std::move(dependencies); }

  /// Serves one request; `respond` is called exactly once, on any thread.
  void Handle(CallerRequest request, Responder respond);

  /// Applies a division of the fleet's slots, computed from `view`.
  void Configure(const RouteView& view, const std::map<std::string, ServiceAllotment>& allotments);

  /// Refuses what can no longer be answered in time. Called every few milliseconds.
  void Sweep();

  /// Largest body that the service takes, or none for an unknown service.
  std::optional<std::uint32_t> BodyLimit(const std::string& service) const;

  /// Demand by service to report to the other entry instances, in hundredths of a slot.
  std::map<std::string, std::uint32_t> ReportedDemand() const;

  /// Requests in flight by instance over all services.
  std::map<std::string, std::uint32_t> InFlight() const;

  /// Requests taken in and not yet answered.
  std::uint64_t open_calls() const { return open_calls_; }

  /// ServiceDispatchers by service, for status pages.
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
  void Respond(const CallPtr& call, CallerResponse answer);

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
