/// Queues whose advisor decides which runners may run a step.
#include <algorithm>
#include <utility>

#include "cells/cell.h"
#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Runners in one question. Objectives allow for one question about as many.
constexpr std::size_t kMostNamed = 30;
/// Questions of one cell at a time. The advisor turns away more than 32 of an instance, which may
/// own all eight cells.
constexpr std::uint32_t kMostQuestions = 4;
/// Pause after a question that was not answered.
constexpr std::chrono::milliseconds kAskRetry{300};

}  // namespace

const StepAdmission* Cell::FindAdmission(const JobEntry& entry, const TaskId& task) {
  const auto found = entry.admissions.find({task.occurrence, task.step});
  return found == entry.admissions.end() ? nullptr : &found->second;
}

/// Asks about runners without a ticket, those with room first.
void Cell::RequestAdvice(JobEntry* entry, std::uint32_t occurrence, std::uint32_t step,
                         Instant now) {
  const std::optional<QueueAdvice>& advice = entry->job.policy().advice;
  if (!advice || pending_advice_requests_ >= kMostQuestions) return;
  StepAdmission& admission = entry->admissions[{occurrence, step}];
  if (!admission.MayRequest(now)) return;
  const StepSpec& spec = entry->job.spec().steps[step];
  std::vector<std::pair<bool, RunnerKey>> candidates;  // Full ones last.
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
  candidates.resize(std::min(candidates.size(), kMostNamed));
  AdviceRequest order;
  order.step = {entry->job.id(), occurrence, step, 0};
  for (const auto& [full, key] : candidates) {
    order.runners.emplace_back(key, runners_.at(key).listing.id);
  }
  order.timeout =
      kMostQuestions * (advice->decision + advice->interval * static_cast<int>(kMostNamed)) +
      options_.command_timeout;
  admission.RequestSent();
  ++pending_advice_requests_;
  LogDecision("ask_advisor", {{"job", std::string(order.step.job.text())},
                              {"step", Concat(step)},
                              {"runners", Concat(order.runners.size())},
                              {"first", order.runners.front().second}});
  outbox_.questions.push_back(std::move(order));
}

void Cell::HandleAdvice(const AdviceRequest& order, const absl::StatusOr<Advice>& advice,
                        CellTime time) {
  --pending_advice_requests_;
  schedule_requested_ = true;
  JobEntry* entry = FindJob(order.step.job);
  if (entry == nullptr) return;
  StepAdmission& admission = entry->admissions[{order.step.occurrence, order.step.step}];
  if (!advice.ok()) {
    LogWarning("advisor_failed", {{"job", std::string(order.step.job.text())},
                                  {"step", Concat(order.step.step)},
                                  {"why", MessageOf(advice.status())}});
    return admission.RequestFailed(time.now + kAskRetry);
  }
  admission.ResponseReceived();
  const auto valid = advice->valid.count() > 0 || !entry->job.policy().advice
                         ? advice->valid
                         : entry->job.policy().advice->valid;
  for (const auto& [key, id] : order.runners) {
    const auto ticket = advice->tickets.find(id);
    if (ticket == advice->tickets.end()) {
      admission.Exclude(id);
    } else {
      admission.Admit(id, key, ticket->second, time.now + valid);
    }
  }
  LogDecision("advised", {{"job", std::string(order.step.job.text())},
                          {"step", Concat(order.step.step)},
                          {"asked", Concat(order.runners.size())},
                          {"admitted", Concat(advice->tickets.size())},
                          {"valid_ms", Concat(valid.count())}});
}

}  // namespace wigeonlane
