/// One service at one entry instance: its slots, queue, runners and retries under one lock.
#ifndef WIGEONLANE_ENTRY_SERVICE_DISPATCHER_H_
#define WIGEONLANE_ENTRY_SERVICE_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "entry/caller_request.h"
#include "fleet/document.h"
#include "policy/admission.h"
#include "policy/allotment.h"
#include "policy/demand_meter.h"
#include "policy/retry_budget.h"
#include "policy/runner_set.h"

namespace wigeonlane {

class ServiceDispatcher;

/// A request on its way through an entry instance.
struct Call {
  std::uint64_t id = 0;
  CallerRequest request;
  Responder respond;
  RequestOptions options;
  std::shared_ptr<ServiceDispatcher> service_dispatcher;
  bool may_resend = false;          ///< May be sent again although it may have run.
  std::optional<Digest> order_key;  ///< Set while this call owns the order's claim.
  Instant slot_taken_at;            ///< When it got its slot.
};

using CallPtr = std::shared_ptr<Call>;

/// A refused call with the reason.
struct RefusedCall {
  CallPtr call;
  Refusal refusal;
};

/// Calls that changed their fate with one step of the lane.
struct CallUpdates {
  std::vector<CallPtr> runnable;
  std::vector<RefusedCall> refused;
};

/// Where an admitted call goes first.
struct FirstRunnerPick {
  std::optional<RunnerPick> runner;  ///< Nothing when no runner has a free slot.
  bool requeued = false;             ///< The call is in the queue again.
};

/// Safe for several threads. Work for one service never takes another service's lock or places.
class ServiceDispatcher {
 public:
  ServiceDispatcher(const std::string& service, const SteadyClock& clock, MetricsRegistry* metrics);

  /// Applies a new profile and allotment.
  CallUpdates Configure(const ServiceProfile& profile, const ServiceAllotment& allotment);

  /// Offers a call: it runs, waits here, or is refused.
  CallUpdates Offer(const CallPtr& call);

  /// Whether an offer would be refused now; used before an order is claimed.
  std::optional<Refusal> WouldRefuse(const Call& call) const;

  /// Picks a runner and takes one of its slots.
  std::optional<RunnerPick> PickRunner(const std::vector<std::string>& exclude);

  /// Gives the runner's slot back.
  /// Picks the first runner of an admitted call. If slots were withdrawn since it was admitted and
  /// none is free for it, the call waits again and runs as others finish.
  FirstRunnerPick PickFirstRunner(const CallPtr& call);
  void FinishAttempt(const std::string& instance, bool success);

  /// Gives the lane's slot back.
  CallUpdates FinishCall(const Call& call);

  /// Refuses what can no longer be answered in time and lets probes of ejected runners through.
  CallUpdates Sweep();

  /// Takes one retry from the budget.
  bool TryTakeRetry();

  /// Demand to report to the other entry instances; in hundredths of a slot;
  /// see `DemandMeter`.
  std::uint32_t ReportedDemand();

  /// Requests in flight by instance.
  std::map<std::string, std::uint32_t> InFlight() const;

  ServiceProfile profile() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;
  std::uint32_t slots() const;

  LatencyHistogram& latency() { return latency_; }

  /// Counts an answer by verdict.
  void CountResponse(Execution execution, bool refused);

 private:
  CallUpdates CollectUpdates(const std::vector<AdmissionRequest>& runnable,
                             const std::vector<Refusal>& refused);
  CallPtr RemoveWaiting(std::uint64_t id);
  std::vector<AdmissionRequest> UpdateLimits();

  const SteadyClock& clock_;
  LatencyHistogram& latency_;
  std::map<Execution, std::atomic<std::uint64_t>*> responses_;
  std::atomic<std::uint64_t>& refusals_;
  mutable std::mutex mutex_;
  ServiceProfile profile_;
  std::uint32_t queue_places_ = 0;
  Admission<SteadyClock> admission_;
  RunnerSet<SteadyClock> runners_;
  RetryBudget retry_budget_;
  std::map<std::uint64_t, CallPtr> waiting_;
  DemandMeter<SteadyClock> demand_meter_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_ENTRY_SERVICE_DISPATCHER_H_
