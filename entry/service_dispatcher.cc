#include "entry/service_dispatcher.h"

#include "core/text.h"

namespace wigeonlane {
namespace {

std::string ServiceLabel(const std::string& service) { return Concat("service=\"", service, "\""); }

AdmissionRequest ToAdmissionRequest(const Call& call) {
  return {call.id, call.options.urgency, call.options.deadline};
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(const std::string& service, const SteadyClock& clock,
                                     MetricsRegistry* metrics)
    : clock_(clock),
      latency_(metrics->Histogram("wigeonlane_request_seconds", ServiceLabel(service))),
      refusals_(metrics->Counter("wigeonlane_refusals_total", ServiceLabel(service))),
      admission_(clock),
      runners_(clock),
      demand_meter_(clock) {
  for (const Execution execution : {Execution::kNotRun, Execution::kMayHaveRun, Execution::kRan}) {
    responses_[execution] =
        &metrics->Counter("wigeonlane_answers_total",
                          Concat(ServiceLabel(service), ",verdict=\"", ToString(execution), "\""));
  }
}

CallUpdates ServiceDispatcher::Configure(const ServiceProfile& profile,
                                         const ServiceAllotment& allotment) {
  const std::lock_guard lock(mutex_);
  profile_ = profile;
  queue_places_ = allotment.queue_places;
  runners_.Update(allotment.runners);
  return CollectUpdates(UpdateLimits(), {});
}

std::vector<AdmissionRequest> ServiceDispatcher::UpdateLimits() {
  return admission_.SetLimits({runners_.usable_slots(), queue_places_, profile_.keep_from});
}

CallUpdates ServiceDispatcher::Offer(const CallPtr& call) {
  const std::lock_guard lock(mutex_);
  const AdmissionDecision decision = admission_.Offer(ToAdmissionRequest(*call));
  CallUpdates updates;
  if (decision.outcome == AdmissionDecision::Outcome::kWait) waiting_[call->id] = call;
  if (decision.outcome == AdmissionDecision::Outcome::kRun) {
    call->slot_taken_at = clock_.Now();
    updates.runnable.push_back(call);
  }
  for (const Refusal& refusal : decision.refused) {
    updates.refused.push_back({refusal.id == call->id ? call : RemoveWaiting(refusal.id), refusal});
  }
  return updates;
}

std::optional<Refusal> ServiceDispatcher::WouldRefuse(const Call& call) const {
  const std::lock_guard lock(mutex_);
  return admission_.WouldRefuse(ToAdmissionRequest(call));
}

std::optional<RunnerPick> ServiceDispatcher::PickRunner(const std::vector<std::string>& exclude) {
  const std::lock_guard lock(mutex_);
  return runners_.PickRunner(exclude);
}

FirstRunnerPick ServiceDispatcher::PickFirstRunner(const CallPtr& call) {
  const std::lock_guard lock(mutex_);
  FirstRunnerPick first{runners_.PickRunner({}), false};
  if (first.runner.has_value() || !admission_.Requeue(ToAdmissionRequest(*call))) return first;
  waiting_[call->id] = call;
  first.requeued = true;
  return first;
}

void ServiceDispatcher::FinishAttempt(const std::string& instance, bool success) {
  const std::lock_guard lock(mutex_);
  runners_.Finish(instance, success);
  if (success) retry_budget_.OnSuccess(profile_.retry_percent);
}

CallUpdates ServiceDispatcher::FinishCall(const Call& call) {
  const std::lock_guard lock(mutex_);
  std::vector<AdmissionRequest> runnable = admission_.Finish(clock_.Now() - call.slot_taken_at);
  const std::vector<AdmissionRequest> newly_runnable = UpdateLimits();
  runnable.insert(runnable.end(), newly_runnable.begin(), newly_runnable.end());
  return CollectUpdates(runnable, {});
}

CallUpdates ServiceDispatcher::Sweep() {
  const std::lock_guard lock(mutex_);
  const std::vector<Refusal> refused = admission_.RefuseUnmeetableDeadlines();
  return CollectUpdates(UpdateLimits(), refused);
}

bool ServiceDispatcher::TryTakeRetry() {
  const std::lock_guard lock(mutex_);
  return retry_budget_.TryTake();
}

std::uint32_t ServiceDispatcher::ReportedDemand() {
  const std::lock_guard lock(mutex_);
  return demand_meter_.Update(admission_.running(), admission_.waiting());
}

std::map<std::string, std::uint32_t> ServiceDispatcher::InFlight() const {
  const std::lock_guard lock(mutex_);
  return runners_.AllInFlight();
}

ServiceProfile ServiceDispatcher::profile() const {
  const std::lock_guard lock(mutex_);
  return profile_;
}

std::uint32_t ServiceDispatcher::running() const {
  const std::lock_guard lock(mutex_);
  return admission_.running();
}

std::uint32_t ServiceDispatcher::waiting() const {
  const std::lock_guard lock(mutex_);
  return admission_.waiting();
}

std::uint32_t ServiceDispatcher::slots() const {
  const std::lock_guard lock(mutex_);
  return admission_.limits().slots;
}

void ServiceDispatcher::CountResponse(Execution execution, bool refused) {
  ++*responses_.at(execution);
  if (refused) ++refusals_;
}

CallUpdates ServiceDispatcher::CollectUpdates(const std::vector<AdmissionRequest>& runnable,
                                              const std::vector<Refusal>& refused) {
  CallUpdates updates;
  const Instant now = clock_.Now();
  for (const AdmissionRequest& request : runnable) {
    CallPtr call = RemoveWaiting(request.id);
    call->slot_taken_at = now;
    updates.runnable.push_back(std::move(call));
  }
  for (const Refusal& refusal : refused) {
    updates.refused.push_back({RemoveWaiting(refusal.id), refusal});
  }
  return updates;
}

CallPtr ServiceDispatcher::RemoveWaiting(std::uint64_t id) {
  const auto entry = waiting_.find(id);
  CallPtr call = std::move(entry->second);
  waiting_.erase(entry);
  return call;
}

}  // namespace wigeonlane
