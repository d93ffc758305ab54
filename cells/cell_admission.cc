/// Admission: for some queues an external advisor decides which runners may run a step.
#include <algorithm>
#include <map>
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Runners in one request. The latency objectives allow for one request about this many runners.
constexpr std::size_t kMaxRunnersPerRequest = 30;
/// Pending advice requests of one cell. The advisor rejects more than 32 of one instance, which may
/// own all eight cells.
constexpr std::uint32_t kMaxPendingRequests = 4;
/// Of these, requests for long-running steps. Such a step may wait for minutes, and short steps
/// must not wait behind its requests.
constexpr std::uint32_t kMaxPendingLongRunningRequests = 1;
constexpr std::uint32_t kMaxPendingShortRequests =
    kMaxPendingRequests - kMaxPendingLongRunningRequests;
/// Assumed of an advisor whose timing no known route gives.
constexpr QueueAdvice kUnknownAdvice{std::chrono::milliseconds(50), std::chrono::milliseconds(5),
                                     std::chrono::milliseconds(1'000)};
/// Delay after an advice request without a response.
constexpr std::chrono::milliseconds kRetryDelay{300};

}  // namespace

const StepAdmission* Cell::FindAdmission(const JobEntry& entry, const TaskId& task) {
  const auto found = entry.admissions.find({task.occurrence, task.step});
  return found == entry.admissions.end() ? nullptr : &found->second;
}

/// Whether a request to the advisor about the task's step has no response yet.
bool Cell::AwaitsAdvice(const JobEntry& entry, const TaskId& task) {
  const StepAdmission* admission = FindAdmission(entry, task);
  return admission != nullptr && admission->request_pending();
}

/// Requests tickets for runners that have none, if that may help a task of the step which found no
/// runner for `reason`. Runners with free capacity come first.
void Cell::RequestAdvice(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step,
                         NoRunnerReason reason, Instant now) {
  const std::optional<QueueAdvice>& advice = entry->advice;
  if (!advice || !NeedsTicket(reason)) return;
  const StepSpec& spec = entry->job.spec().steps[step];
  std::uint32_t& pending = PendingAdviceRequests(spec.long_running);
  if (pending >= (spec.long_running ? kMaxPendingLongRunningRequests : kMaxPendingShortRequests)) {
    return;
  }
  StepAdmission& admission = entry->admissions[{occurrence, step}];
  if (!admission.MayRequest(now)) return;
  std::vector<std::pair<bool, RunnerKey>> candidates;  // First: lacks free capacity.
  for (const auto& [key, runner] : runners_) {
    if (runner.listing.service != entry->job.policy().service || !runner.AcceptsStarts(now) ||
        !runner.HasLabel(spec.required_label) || !runner.listing.capacity.Holds(spec.Load()) ||
        !admission.MayAdmit(runner.listing.id) || admission.TicketFor(key, now) != nullptr) {
      continue;
    }
    candidates.emplace_back(!runner.Free().Holds(spec.Load()), key);
  }
  if (candidates.empty()) return;
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), kMaxRunnersPerRequest));
  AdviceRequest request;
  request.step = {entry->job.id(), occurrence, step, 0};
  request.long_running = spec.long_running;
  for (const auto& [lacks_capacity, key] : candidates) {
    request.runners.emplace_back(key, runners_.at(key).listing.id);
  }
  request.timeout =
      kMaxPendingRequests * (advice->decision_time +
                             advice->time_per_runner * static_cast<int>(kMaxRunnersPerRequest)) +
      options_.command_timeout;
  admission.RequestSent();
  ++pending;
  LogDecision("request_advice", {{"job", std::string(request.step.job.text())},
                                 {"step", Concat(step)},
                                 {"runners", Concat(request.runners.size())},
                                 {"first", request.runners.front().second}});
  outbox_.advice_requests.push_back(std::move(request));
}

void Cell::HandleAdvice(const AdviceRequest& request, const absl::StatusOr<Advice>& advice,
                        CellTime time) {
  --PendingAdviceRequests(request.long_running);
  schedule_requested_ = true;
  JobEntry* entry = FindJob(request.step.job);
  if (entry == nullptr) return;
  StepAdmission& admission = entry->admissions[{request.step.occurrence, request.step.step}];
  if (!advice.ok()) {
    LogWarning("advisor_failed", {{"job", std::string(request.step.job.text())},
                                  {"step", Concat(request.step.step)},
                                  {"why", MessageOf(advice.status())}});
    return admission.RequestFailed(time.now + kRetryDelay);
  }
  admission.ResponseReceived();
  const QueueAdvice timing = entry->advice.value_or(QueueAdvice{});
  const auto valid = advice->valid.count() > 0 ? advice->valid : timing.ticket_validity;
  for (const auto& [key, id] : request.runners) {
    const auto ticket = advice->tickets.find(id);
    if (ticket == advice->tickets.end()) {
      admission.Exclude(id);
    } else {
      admission.Admit(id, key, ticket->second, time.now + valid);
    }
  }
  LogDecision("advice_received", {{"job", std::string(request.step.job.text())},
                                  {"step", Concat(request.step.step)},
                                  {"asked", Concat(request.runners.size())},
                                  {"admitted", Concat(advice->tickets.size())},
                                  {"valid_ms", Concat(valid.count())}});
}

void Cell::ApplyRoutes(const std::vector<QueueRoute>& routes, Instant now) {
  std::map<QueueAddress, std::optional<QueueAdvice>> advice_of;
  for (const QueueRoute& route : routes) advice_of[route.address] = route.policy.advice;
  for (const JobId& id : open_jobs_) {
    JobEntry* entry = FindJob(id);
    const auto advice = advice_of.find(entry->queue);
    if (advice != advice_of.end()) entry->advice = advice->second;
  }
  schedule_requested_ = true;
  reschedule_at_ = std::min(reschedule_at_, now);
}

/// A runner refused a start because it lacks a valid ticket. If the queue has no advisor as far as
/// this owner knows, the runner goes by another version of its route.
void Cell::HandleRefusedTicket(const StartCommand& command) {
  JobEntry* entry = FindJob(command.task.job);
  if (entry == nullptr) return;
  if (!entry->advice) entry->advice = entry->job.policy().advice.value_or(kUnknownAdvice);
  entry->admissions[{command.task.occurrence, command.task.step}].DropTicket(command.runner);
}

}  // namespace wigeonlane
