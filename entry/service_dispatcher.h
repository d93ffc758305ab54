/// Admission, queue, runner selection and retry budget of one service on one entry instance.
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

/// A request that an entry instance is processing.
struct Call {
  std::uint64_t id = 0;
  CallerRequest request;
  Responder respond;
  RequestOptions options;
  std::shared_ptr<ServiceDispatcher> service_dispatcher;
  bool may_resend = false;          ///< Whether it may be sent again although it may have run.
  std::optional<Digest> order_key;  ///< Set while this call owns the order's claim.
  Instant slot_taken_at;            ///< When the call got its slot.
};

using CallPtr = std::shared_ptr<Call>;

/// A refused call and the reason.
struct RefusedCall {
  CallPtr call;
  Refusal refusal;
};

/// Calls that became runnable or were refused by one operation of a `ServiceDispatcher`.
struct CallUpdates {
  std::vector<CallPtr> runnable;
  std::vector<RefusedCall> refused;
};

/// Result of picking the first runner of an admitted call.
struct FirstRunnerPick {
  std::optional<RunnerPick> runner;  ///< Empty if no runner has a free slot.
  bool requeued = false;             ///< Whether the call is back in the queue.
};

/// Admits calls of one service and picks their runners. Thread-safe. Each service has a lock and
/// queue places of its own, so services don't block each other.
class ServiceDispatcher {
 public:
  ServiceDispatcher(const std::string& service, const SteadyClock& clock, MetricsRegistry* metrics);

  /// Applies a new profile and allotment of slots.
  CallUpdates Configure(const ServiceProfile& profile, const ServiceAllotment& allotment);

  /// Offers a call for admission: it becomes runnable, waits in the queue, or is refused.
  CallUpdates Offer(const CallPtr& call);

  /// Returns the refusal that `Offer` would give now, if any. Called before an order is claimed.
  std::optional<Refusal> WouldRefuse(const Call& call) const;

  /// Picks a runner that is not in `exclude` and takes one of its slots.
  std::optional<RunnerPick> PickRunner(const std::vector<std::string>& exclude);

  /// Picks the first runner of an admitted call. If slots were withdrawn after the admission and
  /// none is free, the call is put back into the queue and becomes runnable when other calls
  /// finish.
  FirstRunnerPick PickFirstRunner(const CallPtr& call);

  /// Releases the runner's slot.
  void FinishAttempt(const std::string& instance, bool success);

  /// Releases the slot that the call got on admission.
  CallUpdates FinishCall(const Call& call);

  /// Refuses waiting calls that cannot meet their deadlines any more. Also updates the limits, so
  /// that ejected runners that are due for a probe get calls again.
  CallUpdates Sweep();

  /// Takes one retry from the budget. Returns whether there was one.
  bool TryTakeRetry();

  /// Returns the demand to report to the other entry instances, in hundredths of a slot; see
  /// `DemandMeter`.
  std::uint32_t ReportedDemand();

  /// Returns the number of requests in flight by backend server.
  std::map<std::string, std::uint32_t> InFlight() const;

  ServiceProfile profile() const;
  std::uint32_t running() const;
  std::uint32_t waiting() const;
  std::uint32_t slots() const;

  LatencyHistogram& latency() { return latency_; }

  /// Counts a response by its verdict.
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
