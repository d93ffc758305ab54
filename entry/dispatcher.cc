#include "entry/dispatcher.h"

#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kMaxAttempts = 3;
/// An order is refused at once while the log has been failing for longer than this.
constexpr Duration kMaxLogFailureTime = std::chrono::milliseconds(500);
/// A gap between two sweeps that means that this process was paused.
constexpr Duration kMinPauseForResync = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kLogRetryAfter{2'000};
constexpr std::chrono::milliseconds kRunnerRetryAfter{500};

/// Answers with these codes are of the runner's own making and may be tried elsewhere.
bool IsServerError(int code) { return code >= 500; }

}  // namespace

Dispatcher::Dispatcher(const SteadyClock& clock, RunnerClient* runners, ThreadPool* threads,
                       std::size_t max_inline_sends, MetricsRegistry* metrics)
    : clock_(clock),
      runners_(*runners),
      threads_(*threads),
      max_inline_sends_(max_inline_sends),
      metrics_(*metrics) {}

void Dispatcher::Handle(CallerRequest request, Responder respond) {
  ++open_calls_;
  auto call = std::make_shared<Call>();
  call->id = ++next_id_;
  call->request = std::move(request);
  call->respond = std::move(respond);
  call->service_dispatcher = FindServiceDispatcher(call->request.service);
  if (call->service_dispatcher == nullptr) {
    const auto reason = Concat("service '", call->request.service, "' is not published");
    return RespondWithVerdict(call, Verdict::Refused(absl::NotFoundError(reason)));
  }
  const ServiceProfile profile = call->service_dispatcher->profile();
  const auto options = ParseRequestOptions(call->request, profile);
  if (!options.ok()) return RespondWithVerdict(call, Verdict::Refused(options.status()));
  call->options = *options;
  const bool has_key = !call->request.idempotency_key.empty();
  const bool is_order = IsOrder(call->request);
  call->may_resend = !is_order || (has_key && profile.backend_idempotent);
  if (is_order && has_key && !profile.backend_idempotent) return ClaimOrder(call);
  Admit(call);
}

void Dispatcher::ClaimOrder(const CallPtr& call) {
  // An order that would be refused is refused before it costs a claim on the log.
  if (const auto refusal = call->service_dispatcher->WouldRefuse(*call))
    return RespondRefused({call, *refusal});
  if (dependencies_.order_claims->append_failure_duration() > kMaxLogFailureTime) {
    return RespondWithVerdict(
        call, Verdict::Refused(absl::UnavailableError("the platform's log takes no order claims"),
                               kLogRetryAfter));
  }
  const Digest key = OrderKeyDigest(call->request);
  const auto on_decision = [this, call](const OrderClaimService::Decision& decision) {
    HandleOrderDecision(call, decision);
  };
  const OrderClaimService::Decision decision = dependencies_.begin_order(
      key, OrderContentDigest(call->request), call->id, call->options.deadline, on_decision);
  if (decision.action != OrderAction::kWait) HandleOrderDecision(call, decision);
}

void Dispatcher::HandleOrderDecision(const CallPtr& call,
                                     const OrderClaimService::Decision& decision) {
  const Digest key = OrderKeyDigest(call->request);
  switch (decision.action) {
    case OrderAction::kWait:
      return;
    case OrderAction::kRun:
      call->order_key = key;
      return Admit(call);
    case OrderAction::kReply:
      return Respond(call, **decision.response);
    case OrderAction::kQueryAuthor:
      return RespondWithAuthorOutcome(call, decision.author, key);
    case OrderAction::kMayHaveRun:
      return RespondWithVerdict(
          call, Verdict::Uncertain(absl::AbortedError(
                    "the order was sent before and its outcome is not known here")));
    case OrderAction::kMismatch:
      return RespondWithVerdict(
          call, Verdict::Refused(absl::AlreadyExistsError(
                    "the Idempotency-Key was used with another method, path or body")));
    case OrderAction::kOverloaded:
      return RespondWithVerdict(
          call, Verdict::Refused(absl::UnavailableError("the order could not be claimed in time"),
                                 kLogRetryAfter));
  }
}

void Dispatcher::RespondWithAuthorOutcome(const CallPtr& call, const std::string& author,
                                          const Digest& key) {
  dependencies_.query_author(
      author, key, call->options.deadline, [this, call](std::optional<CallerResponse> response) {
        if (response.has_value()) return Respond(call, *std::move(response));
        RespondWithVerdict(call, Verdict::Uncertain(absl::AbortedError(
                                     "another entry instance claimed the order and its outcome "
                                     "is not known")));
      });
}

void Dispatcher::Admit(const CallPtr& call) {
  const CallUpdates updates = call->service_dispatcher->Offer(call);
  if (updates.runnable.empty() || ++inline_sends_ > max_inline_sends_) {
    if (!updates.runnable.empty()) --inline_sends_;
    return ApplyUpdates(updates);
  }
  RunInline(updates);
  --inline_sends_;
}

void Dispatcher::RunInline(const CallUpdates& updates) {
  // The first runnable call goes on in this thread, and what its end makes runnable after it is
  // left to the pool, so that a caller's thread is held for one request only.
  for (std::size_t i = 1; i < updates.runnable.size(); ++i) {
    threads_.Post([this, call = updates.runnable[i]] { ApplyUpdates(Run(call)); });
  }
  for (const RefusedCall& refused : updates.refused) RespondRefused(refused);
  ApplyUpdates(Run(updates.runnable.front()));
}

void Dispatcher::ApplyUpdates(const CallUpdates& updates) {
  for (const CallPtr& call : updates.runnable) {
    threads_.Post([this, call] { ApplyUpdates(Run(call)); });
  }
  for (const RefusedCall& refused : updates.refused) RespondRefused(refused);
}

void Dispatcher::ResyncAfterPause() {
  // Sweeps come every few milliseconds: a long gap means that the process itself stood still, and
  // that instances may have begun to leave meanwhile.
  const Instant last_sweep_at = last_sweep_at_;
  if (last_sweep_at == Instant::max() || clock_.Now() - last_sweep_at < kMinPauseForResync) return;
  dependencies_.resync();
}

CallUpdates Dispatcher::Run(const CallPtr& call) {
  ResyncAfterPause();
  FirstRunnerPick first_pick = call->service_dispatcher->PickFirstRunner(call);
  if (first_pick.requeued) return {};
  CallerResponse response = SendWithRetries(*call, std::move(first_pick.runner));
  CallUpdates updates = call->service_dispatcher->FinishCall(*call);
  Respond(call, std::move(response));
  return updates;
}

CallerResponse Dispatcher::SendWithRetries(const Call& call, std::optional<RunnerPick> pick) {
  ExecutionTrace trace;
  std::vector<std::string> tried;
  while (true) {
    if (!pick.has_value()) {
      return MakeResponse(
          Verdict::Failed(trace, absl::UnavailableError("no runner has a free slot"),
                          kRunnerRetryAfter),
          call.request.request_id);
    }
    if (DecisionLogEnabled()) {
      LogDecision("route", {{"request", call.request.request_id},
                            {"service", call.request.service},
                            {"runner", pick->instance},
                            {"attempt", std::to_string(tried.size() + 1)},
                            {"candidates", std::to_string(pick->candidates)},
                            {"ejected", std::to_string(pick->ejected)},
                            {"why", std::string(pick->reason)}});
    }
    AttemptResult result = runners_.Send(pick->endpoint, call.request, call.options.deadline);
    call.service_dispatcher->FinishAttempt(pick->instance, !result.runner_at_fault);
    trace.Raise(result.execution);
    tried.push_back(pick->instance);
    if (ShouldRetry(call, result, trace, tried.size())) {
      pick = call.service_dispatcher->PickRunner(tried);
      continue;
    }
    if (!result.response.has_value()) {
      return MakeResponse(Verdict::Failed(trace, result.status, kRunnerRetryAfter),
                          call.request.request_id);
    }
    return {result.response->code, Execution::kRan, std::move(result.response->headers),
            std::move(result.response->body)};
  }
}

bool Dispatcher::ShouldRetry(const Call& call, const AttemptResult& result,
                             const ExecutionTrace& trace, std::size_t attempts) const {
  const bool failed = !result.response.has_value() || IsServerError(result.response->code);
  if (!failed || attempts >= kMaxAttempts || clock_.Now() >= call.options.deadline) return false;
  if (!call.may_resend && trace.execution() != Execution::kNotRun) return false;
  return call.service_dispatcher->TryTakeRetry();
}

void Dispatcher::RespondRefused(const RefusedCall& refused) {
  const CallPtr& call = refused.call;
  const std::string_view reason = ToString(refused.refusal.reason);
  if (DecisionLogEnabled()) {
    LogDecision("refuse",
                {{"request", call->request.request_id},
                 {"service", call->request.service},
                 {"urgency", std::string(ToString(call->options.urgency))},
                 {"why", std::string(reason)},
                 {"retry_after_ms", std::to_string(refused.refusal.retry_after.count())}});
  }
  call->service_dispatcher->CountResponse(Execution::kNotRun, /*refused=*/true);
  RespondWithVerdict(call,
                     Verdict::Refused(absl::ResourceExhaustedError(Concat("refused: ", reason)),
                                      refused.refusal.retry_after));
}

void Dispatcher::RespondWithVerdict(const CallPtr& call, const Verdict& verdict) {
  Respond(call, MakeResponse(verdict, call->request.request_id));
}

void Dispatcher::Respond(const CallPtr& call, CallerResponse response) {
  if (call->order_key.has_value()) {
    dependencies_.order_claims->Finish(*call->order_key, response.execution == Execution::kNotRun,
                                       std::make_shared<const CallerResponse>(response));
  }
  if (call->service_dispatcher != nullptr) {
    call->service_dispatcher->CountResponse(response.execution, /*refused=*/false);
    call->service_dispatcher->latency().Record(clock_.Now() - call->request.received);
  }
  call->respond(std::move(response));
  --open_calls_;
}

void Dispatcher::Configure(const RouteView& view,
                           const std::map<std::string, ServiceAllotment>& allotments) {
  std::vector<CallUpdates> updates_by_service;
  {
    const std::unique_lock lock(service_dispatchers_mutex_);
    for (const auto& [name, route] : view.services) {
      auto& service_dispatcher = service_dispatchers_[name];
      if (service_dispatcher == nullptr)
        service_dispatcher = std::make_shared<ServiceDispatcher>(name, clock_, &metrics_);
      const auto entry = allotments.find(name);
      const ServiceAllotment no_allotment;
      updates_by_service.push_back(service_dispatcher->Configure(
          route.profile, entry == allotments.end() ? no_allotment : entry->second));
    }
  }
  for (const CallUpdates& updates : updates_by_service) ApplyUpdates(updates);
}

void Dispatcher::Sweep() {
  ResyncAfterPause();
  last_sweep_at_ = clock_.Now();
  for (const auto& [name, service_dispatcher] : ServiceDispatchers())
    ApplyUpdates(service_dispatcher->Sweep());
  if (dependencies_.order_claims != nullptr) dependencies_.order_claims->ExpireWaitingOrders();
}

std::optional<std::uint32_t> Dispatcher::BodyLimit(const std::string& service) const {
  const auto service_dispatcher = FindServiceDispatcher(service);
  if (service_dispatcher == nullptr) return std::nullopt;
  return service_dispatcher->profile().body_bytes;
}

std::map<std::string, std::uint32_t> Dispatcher::ReportedDemand() const {
  std::map<std::string, std::uint32_t> demand;
  for (const auto& [name, service_dispatcher] : ServiceDispatchers()) {
    const std::uint32_t reported = service_dispatcher->ReportedDemand();
    if (reported > 0) demand[name] = reported;
  }
  return demand;
}

std::map<std::string, std::uint32_t> Dispatcher::InFlight() const {
  std::map<std::string, std::uint32_t> total;
  for (const auto& [name, service_dispatcher] : ServiceDispatchers()) {
    for (const auto& [instance, count] : service_dispatcher->InFlight()) total[instance] += count;
  }
  return total;
}

std::map<std::string, std::shared_ptr<ServiceDispatcher>> Dispatcher::ServiceDispatchers() const {
  const std::shared_lock lock(service_dispatchers_mutex_);
  return service_dispatchers_;
}

std::shared_ptr<ServiceDispatcher> Dispatcher::FindServiceDispatcher(
    const std::string& service) const {
  const std::shared_lock lock(service_dispatchers_mutex_);
  const auto entry = service_dispatchers_.find(service);
  return entry == service_dispatchers_.end() ? nullptr : entry->second;
}

}  // namespace wigeonlane
