#include "entry/service_lane.h"

#include "core/text.h"

namespace wigeonlane {
namespace {

std::string Label(const std::string& service) { return Concat("service=\"", service, "\""); }

AdmissionRequest RequestOf(const Call& call) {
  return {call.id, call.terms.urgency, call.terms.deadline};
}

}  // namespace

ServiceLane::ServiceLane(const std::string& service, const SteadyClock& clock,
                         MetricsRegistry* metrics)
    : clock_(clock),
      latency_(metrics->Histogram("wigeonlane_request_seconds", Label(service))),
      refusals_(metrics->Counter("wigeonlane_refusals_total", Label(service))),
      admission_(clock),
      runners_(clock),
      demand_(clock) {
  for (const Execution execution : {Execution::kNotRun, Execution::kMayHaveRun, Execution::kRan}) {
    answers_[execution] =
        &metrics->Counter("wigeonlane_answers_total",
                          Concat(Label(service), ",verdict=\"", ToString(execution), "\""));
  }
}

LaneChange ServiceLane::Configure(const ServiceProfile& profile,
                                  const ServiceAllotment& allotment) {
  const std::lock_guard lock(mutex_);
  profile_ = profile;
  queue_places_ = allotment.queue_places;
  runners_.Update(allotment.runners);
  return FromAdmission(ApplyLimits(), {});
}

std::vector<AdmissionRequest> ServiceLane::ApplyLimits() {
  return admission_.SetLimits({runners_.usable_slots(), queue_places_, profile_.keep_from});
}

LaneChange ServiceLane::Offer(const CallPtr& call) {
  const std::lock_guard lock(mutex_);
  const AdmissionDecision decision = admission_.Offer(RequestOf(*call));
  LaneChange change;
  if (decision.outcome == AdmissionDecision::Outcome::kWait) waiting_[call->id] = call;
  if (decision.outcome == AdmissionDecision::Outcome::kRun) {
    call->started = clock_.Now();
    change.runnable.push_back(call);
  }
  for (const Refusal& refusal : decision.refused) {
    change.refused.push_back({refusal.id == call->id ? call : TakeWaiting(refusal.id), refusal});
  }
  return change;
}

std::optional<Refusal> ServiceLane::WouldRefuse(const Call& call) const {
  const std::lock_guard lock(mutex_);
  return admission_.WouldRefuse(RequestOf(call));
}

std::optional<RunnerPick> ServiceLane::Pick(const std::vector<std::string>& exclude) {
  const std::lock_guard lock(mutex_);
  return runners_.Pick(exclude);
}

FirstPick ServiceLane::PickFirst(const CallPtr& call) {
  const std::lock_guard lock(mutex_);
  FirstPick first{runners_.Pick({}), false};
  if (first.runner.has_value() || !admission_.Requeue(RequestOf(*call))) return first;
  waiting_[call->id] = call;
  first.waits_again = true;
  return first;
}

void ServiceLane::FinishAttempt(const std::string& instance, bool success) {
  const std::lock_guard lock(mutex_);
  runners_.Finish(instance, success);
  if (success) retries_.OnSuccess(profile_.retry_percent);
}

LaneChange ServiceLane::FinishCall(const Call& call) {
  const std::lock_guard lock(mutex_);
  std::vector<AdmissionRequest> runnable = admission_.Finish(clock_.Now() - call.started);
  const std::vector<AdmissionRequest> more = ApplyLimits();
  runnable.insert(runnable.end(), more.begin(), more.end());
  return FromAdmission(runnable, {});
}

LaneChange ServiceLane::Sweep() {
  const std::lock_guard lock(mutex_);
  const std::vector<Refusal> refused = admission_.RefuseUnmeetableDeadlines();
  return FromAdmission(ApplyLimits(), refused);
}

bool ServiceLane::TakeRetry() {
  const std::lock_guard lock(mutex_);
  return retries_.TryTake();
}

std::uint32_t ServiceLane::ReportedDemand() {
  const std::lock_guard lock(mutex_);
  return demand_.Update(admission_.running(), admission_.waiting());
}

std::map<std::string, std::uint32_t> ServiceLane::InFlight() const {
  const std::lock_guard lock(mutex_);
  return runners_.AllInFlight();
}

ServiceProfile ServiceLane::profile() const {
  const std::lock_guard lock(mutex_);
  return profile_;
}

std::uint32_t ServiceLane::running() const {
  const std::lock_guard lock(mutex_);
  return admission_.running();
}

std::uint32_t ServiceLane::waiting() const {
  const std::lock_guard lock(mutex_);
  return admission_.waiting();
}

std::uint32_t ServiceLane::slots() const {
  const std::lock_guard lock(mutex_);
  return admission_.limits().slots;
}

void ServiceLane::CountAnswer(Execution execution, bool refused) {
  ++*answers_.at(execution);
  if (refused) ++refusals_;
}

LaneChange ServiceLane::FromAdmission(const std::vector<AdmissionRequest>& runnable,
                                      const std::vector<Refusal>& refused) {
  LaneChange change;
  const Instant now = clock_.Now();
  for (const AdmissionRequest& request : runnable) {
    CallPtr call = TakeWaiting(request.id);
    call->started = now;
    change.runnable.push_back(std::move(call));
  }
  for (const Refusal& refusal : refused) {
    change.refused.push_back({TakeWaiting(refusal.id), refusal});
  }
  return change;
}

CallPtr ServiceLane::TakeWaiting(std::uint64_t id) {
  const auto found = waiting_.find(id);
  CallPtr call = std::move(found->second);
  waiting_.erase(found);
  return call;
}

}  // namespace wigeonlane
