#include "standin/task_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "core/http_status.h"
#include "core/logging.h"
#include "core/text.h"
#include "standin/json_response.h"

namespace wigeonlane {
namespace {

/// `MaxHoldMs` of the example configuration in DEPLOY.md.
constexpr std::chrono::milliseconds kMaxLease{10'000};
constexpr std::int64_t kDefaultTaskMillis = 20;
constexpr std::chrono::milliseconds kUnlimitedDuration = std::chrono::hours(24);
constexpr std::size_t kMaxResultsPerResponse = 500;

}  // namespace

void TaskRunner::LoseRuns() {
  for (const auto& [task, run] : std::exchange(runs_, {})) {
    ledger_->RecordLoss(task);
    LogRun("run_over", task, run.run, "lost");
  }
}

void TaskRunner::StartIncarnation(Instant now, std::chrono::milliseconds started_at) {
  LoseRuns();
  *this = TaskRunner(ledger_, id_);
  incarnation_start_ = now;
  started_at_ = started_at;
}

TaskRunner::RunnerTime TaskRunner::ToRunnerTime(Instant now) const {
  return std::chrono::duration_cast<RunnerTime>(now - incarnation_start_);
}

HttpResponse TaskRunner::Serve(const std::string& path, const std::string& body, Instant now) {
  Advance(now);
  const nlohmann::json command = nlohmann::json::parse(body, nullptr, false);
  if (!command.is_object()) {
    return JsonResponse(http_status::kBadRequest, {{"Reason", "not an object"}});
  }
  try {
    if (path == "/run-start") return HandleStart(command, now);
    if (path == "/run-stop") return HandleStop(command, now);
    if (path == "/hold") return HandlePoll(command, now);
    if (path != "/pace") return JsonResponse(http_status::kNotFound, {});
    return IsFenced(command)
               ? Conflict("fence", now)
               : JsonResponse(http_status::kOk, {{"ClockMs", ToRunnerTime(now).count()}});
  } catch (const nlohmann::json::exception& error) {
    return JsonResponse(http_status::kBadRequest, {{"Reason", error.what()}});
  }
}

HttpResponse TaskRunner::HandleStart(const nlohmann::json& command, Instant now) {
  const auto task = command.at("Task").get<std::string>();
  const auto run = command.at("RunId").get<std::uint64_t>();
  if (IsFenced(command)) return Conflict("fence", now);
  if (RunnerTime(command.at("DeadlineMs").get<std::int64_t>()) < ToRunnerTime(now)) {
    return Conflict("late", now);
  }
  ExtendLease(command, now);
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.run == run) {
    return JsonResponse(http_status::kOk, {{"ClockMs", ToRunnerTime(now).count()}});
  }
  if (running != runs_.end() || run <= highest_finished_runs_[task]) return Conflict("old", now);
  const nlohmann::json behaviour = nlohmann::json::parse(command.value("Spec", ""), nullptr, false);
  const auto millis =
      behaviour.is_object() ? behaviour.value("ms", kDefaultTaskMillis) : kDefaultTaskMillis;
  const auto failing_runs = behaviour.is_object() ? behaviour.value("fails", std::uint64_t{0}) : 0;
  const RunnerTime duration = millis < 0 ? RunnerTime(kUnlimitedDuration) : RunnerTime(millis);
  runs_[task] = {run, ToRunnerTime(now) + duration, ledger_->Failures(task) < failing_runs};
  ledger_->RecordStart(task);
  LogRun("executed", task, run, "");
  return JsonResponse(http_status::kOk, {{"ClockMs", ToRunnerTime(now).count()}});
}

HttpResponse TaskRunner::HandleStop(const nlohmann::json& command, Instant now) {
  const auto task = command.at("Task").get<std::string>();
  const auto run = command.at("RunId").get<std::uint64_t>();
  if (IsFenced(command)) return Conflict("fence", now);
  highest_finished_runs_[task] = std::max(highest_finished_runs_[task], run);
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.run <= run) {
    FinishRun(task, running->second, "stopped");
    runs_.erase(running);
  }
  return JsonResponse(http_status::kOk, {{"ClockMs", ToRunnerTime(now).count()}});
}

HttpResponse TaskRunner::HandlePoll(const nlohmann::json& command, Instant now) {
  if (IsFenced(command)) return Conflict("fence", now);
  if (command.contains("DeadlineMs")) ExtendLease(command, now);
  const auto last_seen = command.value("LastSeen", std::uint64_t{0});
  while (!results_.empty() && results_.front().number <= last_seen) {
    if (results_.front().recordable) ledger_->RecordAcknowledgement(results_.front().ledger_index);
    results_.pop_front();
  }
  nlohmann::json running = nlohmann::json::array();
  for (const auto& [task, run] : runs_) running.push_back({task, run.run, "", 100, 0});
  nlohmann::json finished = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(results_.size(), kMaxResultsPerResponse); ++i) {
    const RunResult& result = results_[i];
    finished.push_back({result.number, result.task, result.run, result.outcome, ""});
  }
  return JsonResponse(http_status::kOk, {{"ClockMs", ToRunnerTime(now).count()},
                                         {"born", started_at_.count()},
                                         {"Running", running},
                                         {"Finished", finished}});
}

HttpResponse TaskRunner::Conflict(const char* reason, Instant now) const {
  return JsonResponse(http_status::kConflict,
                      {{"ClockMs", ToRunnerTime(now).count()}, {"Reason", reason}});
}

bool TaskRunner::IsFenced(const nlohmann::json& command) {
  const auto token = command.value("FencingToken", std::uint64_t{0});
  if (token < fence_) return true;
  fence_ = token;
  return false;
}

void TaskRunner::ExtendLease(const nlohmann::json& command, Instant now) {
  const RunnerTime requested(command.at("DeadlineMs").get<std::int64_t>());
  lease_deadline_ =
      std::max(lease_deadline_, std::min(requested, ToRunnerTime(now) + RunnerTime(kMaxLease)));
}

void TaskRunner::Advance(Instant now) {
  const RunnerTime runner_now = ToRunnerTime(now);
  if (runner_now > lease_deadline_) {
    for (RunResult& result : results_) result.recordable = false;
  }
  std::erase_if(runs_, [&](const auto& entry) {
    const auto& [task, run] = entry;
    if (runner_now < run.ends_at && runner_now <= lease_deadline_) return false;
    FinishRun(task, run, runner_now > lease_deadline_ ? "lapsed" : run.fails ? "failed" : "done");
    return true;
  });
}

void TaskRunner::CompleteRuns(Instant now) {
  Advance(now);
  for (const auto& [task, run] : std::exchange(runs_, {})) FinishRun(task, run, "done");
}

void TaskRunner::FinishRun(const std::string& task, const Run& run, const std::string& outcome) {
  highest_finished_runs_[task] = std::max(highest_finished_runs_[task], run.run);
  results_.push_back(
      {++last_result_number_, task, run.run, outcome, ledger_->RecordEnd(task, outcome)});
  LogRun("run_over", task, run.run, outcome);
}

void TaskRunner::LogRun(std::string_view event, const std::string& task, std::uint64_t run,
                        const std::string& outcome) const {
  LogDecision(event, {{"task", task},
                      {"run", Concat(run)},
                      {"runner", id_},
                      {"born", Concat(started_at_.count())},
                      {"how", outcome}});
}

}  // namespace wigeonlane
