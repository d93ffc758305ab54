#include "entry/dispatcher.h"

#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kMostAttempts = 3;
/// An order is refused at once while the log has been failing for longer than this.
constexpr Duration kLogFailureTolerated = std::chrono::milliseconds(500);
/// A gap between two sweeps that means that this process was paused.
constexpr Duration kPauseNoticed = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kLogRetryAfter{2'000};
constexpr std::chrono::milliseconds kRunnerRetryAfter{500};

/// Answers with these codes are of the runner's own making and may be tried elsewhere.
bool IsServerError(int code) { return code >= 500; }

}  // namespace

Dispatcher::Dispatcher(const SteadyClock& clock, RunnerClient* runners, ThreadPool* threads,
                       std::size_t most_inline, MetricsRegistry* metrics)
    : clock_(clock),
      runners_(*runners),
      threads_(*threads),
      most_inline_(most_inline),
      metrics_(*metrics) {}

void Dispatcher::Handle(CallerRequest request, Responder respond) {
  ++open_calls_;
  auto call = std::make_shared<Call>();
  call->id = ++next_id_;
  call->request = std::move(request);
  call->respond = std::move(respond);
  call->lane = LaneOf(call->request.service);
  if (call->lane == nullptr) {
    const auto why = Concat("service '", call->request.service, "' is not published");
    return Fail(call, Verdict::Refused(absl::NotFoundError(why)));
  }
  const ServiceProfile profile = call->lane->profile();
  const auto terms = ParseTerms(call->request, profile);
  if (!terms.ok()) return Fail(call, Verdict::Refused(terms.status()));
  call->terms = *terms;
  const bool has_key = !call->request.idempotency_key.empty();
  const bool order = IsOrder(call->request);
  call->may_repeat = !order || (has_key && profile.backend_idempotent);
  if (order && has_key && !profile.backend_idempotent) return StartOrder(call);
  Admit(call);
}

void Dispatcher::StartOrder(const CallPtr& call) {
  // An order that would be refused is refused before it costs a claim on the log.
  if (const auto refusal = call->lane->WouldRefuse(*call)) return Refuse({call, *refusal});
  if (wiring_.desk->log_failing_for() > kLogFailureTolerated) {
    return Fail(call,
                Verdict::Refused(absl::UnavailableError("the platform's log takes no order claims"),
                                 kLogRetryAfter));
  }
  const Digest key = OrderKeyOf(call->request);
  const auto on_step = [this, call](const OrderDesk::Step& step) { OnOrderStep(call, step); };
  const OrderDesk::Step step =
      wiring_.begin_order(key, OrderBodyOf(call->request), call->id, call->terms.deadline, on_step);
  if (step.action != OrderAction::kWait) OnOrderStep(call, step);
}

void Dispatcher::OnOrderStep(const CallPtr& call, const OrderDesk::Step& step) {
  const Digest key = OrderKeyOf(call->request);
  switch (step.action) {
    case OrderAction::kWait:
      return;
    case OrderAction::kRun:
      call->order_key = key;
      return Admit(call);
    case OrderAction::kReply:
      return Answer(call, **step.answer);
    case OrderAction::kQueryAuthor:
      return TellAuthorsOutcome(call, step.author, key);
    case OrderAction::kMayHaveRun:
      return Fail(call, Verdict::Uncertain(absl::AbortedError(
                            "the order was sent before and its outcome is not known here")));
    case OrderAction::kMismatch:
      return Fail(call, Verdict::Refused(absl::AlreadyExistsError(
                            "the Idempotency-Key was used with another method, path or body")));
    case OrderAction::kOverloaded:
      return Fail(call,
                  Verdict::Refused(absl::UnavailableError("the order could not be claimed in time"),
                                   kLogRetryAfter));
  }
}

void Dispatcher::TellAuthorsOutcome(const CallPtr& call, const std::string& author,
                                    const Digest& key) {
  wiring_.ask_author(author, key, call->terms.deadline,
                     [this, call](std::optional<CallerAnswer> answer) {
                       if (answer.has_value()) return Answer(call, *std::move(answer));
                       Fail(call, Verdict::Uncertain(absl::AbortedError(
                                      "another entry instance claimed the order and its outcome "
                                      "is not known")));
                     });
}

void Dispatcher::Admit(const CallPtr& call) {
  const LaneChange change = call->lane->Offer(call);
  if (change.runnable.empty() || ++inline_now_ > most_inline_) {
    if (!change.runnable.empty()) --inline_now_;
    return Carry(change);
  }
  RunHere(change);
  --inline_now_;
}

void Dispatcher::RunHere(const LaneChange& change) {
  // The first runnable call goes on in this thread, and what its end makes runnable after it is
  // left to the pool, so that a caller's thread is held for one request only.
  for (std::size_t i = 1; i < change.runnable.size(); ++i) {
    threads_.Post([this, call = change.runnable[i]] { Carry(Run(call)); });
  }
  for (const RefusedCall& refused : change.refused) Refuse(refused);
  Carry(Run(change.runnable.front()));
}

void Dispatcher::Carry(const LaneChange& change) {
  for (const CallPtr& call : change.runnable) {
    threads_.Post([this, call] { Carry(Run(call)); });
  }
  for (const RefusedCall& refused : change.refused) Refuse(refused);
}

void Dispatcher::CatchUpAfterPause() {
  // Sweeps come every few milliseconds: a long gap means that the process itself stood still, and
  // that instances may have begun to leave meanwhile.
  const Instant swept = swept_;
  if (swept == Instant::max() || clock_.Now() - swept < kPauseNoticed) return;
  wiring_.resync();
}

LaneChange Dispatcher::Run(const CallPtr& call) {
  CatchUpAfterPause();
  FirstPick first = call->lane->PickFirst(call);
  if (first.waits_again) return {};
  CallerAnswer answer = SendWithRetries(*call, std::move(first.runner));
  LaneChange change = call->lane->FinishCall(*call);
  Answer(call, std::move(answer));
  return change;
}

CallerAnswer Dispatcher::SendWithRetries(const Call& call, std::optional<RunnerPick> pick) {
  ExecutionTrace trace;
  std::vector<std::string> tried;
  while (true) {
    if (!pick.has_value()) {
      return AnswerFor(Verdict::Failed(trace, absl::UnavailableError("no runner has a free slot"),
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
    AttemptResult result = runners_.Send(pick->endpoint, call.request, call.terms.deadline);
    call.lane->FinishAttempt(pick->instance, !result.runner_at_fault);
    trace.Raise(result.execution);
    tried.push_back(pick->instance);
    if (MayRetry(call, result, trace, tried.size())) {
      pick = call.lane->Pick(tried);
      continue;
    }
    if (!result.answer.has_value()) {
      return AnswerFor(Verdict::Failed(trace, result.status, kRunnerRetryAfter),
                       call.request.request_id);
    }
    return {result.answer->code, Execution::kRan, std::move(result.answer->headers),
            std::move(result.answer->body)};
  }
}

bool Dispatcher::MayRetry(const Call& call, const AttemptResult& result,
                          const ExecutionTrace& trace, std::size_t attempts) const {
  const bool failed = !result.answer.has_value() || IsServerError(result.answer->code);
  if (!failed || attempts >= kMostAttempts || clock_.Now() >= call.terms.deadline) return false;
  if (!call.may_repeat && trace.execution() != Execution::kNotRun) return false;
  return call.lane->TakeRetry();
}

void Dispatcher::Refuse(const RefusedCall& refused) {
  const CallPtr& call = refused.call;
  const std::string_view reason = ToString(refused.refusal.reason);
  if (DecisionLogEnabled()) {
    LogDecision("refuse",
                {{"request", call->request.request_id},
                 {"service", call->request.service},
                 {"urgency", std::string(ToString(call->terms.urgency))},
                 {"why", std::string(reason)},
                 {"retry_after_ms", std::to_string(refused.refusal.retry_after.count())}});
  }
  call->lane->CountAnswer(Execution::kNotRun, /*refused=*/true);
  Fail(call, Verdict::Refused(absl::ResourceExhaustedError(Concat("refused: ", reason)),
                              refused.refusal.retry_after));
}

void Dispatcher::Fail(const CallPtr& call, const Verdict& verdict) {
  Answer(call, AnswerFor(verdict, call->request.request_id));
}

void Dispatcher::Answer(const CallPtr& call, CallerAnswer answer) {
  if (call->order_key.has_value()) {
    wiring_.desk->Finish(*call->order_key, answer.execution == Execution::kNotRun,
                         std::make_shared<const CallerAnswer>(answer));
  }
  if (call->lane != nullptr) {
    call->lane->CountAnswer(answer.execution, /*refused=*/false);
    call->lane->latency().Record(clock_.Now() - call->request.received);
  }
  call->respond(std::move(answer));
  --open_calls_;
}

void Dispatcher::Configure(const RouteView& view,
                           const std::map<std::string, ServiceAllotment>& allotments) {
  std::vector<LaneChange> changes;
  {
    const std::unique_lock lock(lanes_mutex_);
    for (const auto& [name, route] : view.services) {
      auto& lane = lanes_[name];
      if (lane == nullptr) lane = std::make_shared<ServiceLane>(name, clock_, &metrics_);
      const auto found = allotments.find(name);
      const ServiceAllotment none;
      changes.push_back(
          lane->Configure(route.profile, found == allotments.end() ? none : found->second));
    }
  }
  for (const LaneChange& change : changes) Carry(change);
}

void Dispatcher::Sweep() {
  CatchUpAfterPause();
  swept_ = clock_.Now();
  for (const auto& [name, lane] : Lanes()) Carry(lane->Sweep());
  if (wiring_.desk != nullptr) wiring_.desk->GiveUpLate();
}

std::optional<std::uint32_t> Dispatcher::BodyLimit(const std::string& service) const {
  const auto lane = LaneOf(service);
  if (lane == nullptr) return std::nullopt;
  return lane->profile().body_bytes;
}

std::map<std::string, std::uint32_t> Dispatcher::ReportedDemand() const {
  std::map<std::string, std::uint32_t> demand;
  for (const auto& [name, lane] : Lanes()) {
    const std::uint32_t reported = lane->ReportedDemand();
    if (reported > 0) demand[name] = reported;
  }
  return demand;
}

std::map<std::string, std::uint32_t> Dispatcher::InFlight() const {
  std::map<std::string, std::uint32_t> total;
  for (const auto& [name, lane] : Lanes()) {
    for (const auto& [instance, count] : lane->InFlight()) total[instance] += count;
  }
  return total;
}

std::map<std::string, std::shared_ptr<ServiceLane>> Dispatcher::Lanes() const {
  const std::shared_lock lock(lanes_mutex_);
  return lanes_;
}

std::shared_ptr<ServiceLane> Dispatcher::LaneOf(const std::string& service) const {
  const std::shared_lock lock(lanes_mutex_);
  const auto found = lanes_.find(service);
  return found == lanes_.end() ? nullptr : found->second;
}

}  // namespace wigeonlane
