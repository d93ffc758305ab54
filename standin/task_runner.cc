#include "standin/task_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/http_status.h"
#include "standin/json_response.h"

namespace wigeonlane {
namespace {

/// `MaxHoldMs` of the example in DEPLOY.md.
constexpr std::chrono::milliseconds kLongestLease{10'000};
constexpr std::int64_t kDefaultTaskMillis = 20;
constexpr std::chrono::milliseconds kForever = std::chrono::hours(24);
constexpr std::size_t kEndsPerAnswer = 500;

}  // namespace

void TaskRunner::BeginLife(Instant now, std::chrono::milliseconds born) {
  for (const auto& [task, run] : runs_) ledger_->Vanished(task);
  *this = TaskRunner(ledger_);
  began_ = now;
  born_ = born;
}

TaskRunner::Clock TaskRunner::Now(Instant now) const {
  return std::chrono::duration_cast<Clock>(now - began_);
}

HttpResponse TaskRunner::Serve(const std::string& path, const std::string& body, Instant now) {
  Advance(now);
  const nlohmann::json order = nlohmann::json::parse(body, nullptr, false);
  if (!order.is_object()) {
    return JsonResponse(http_status::kBadRequest, {{"Reason", "not an object"}});
  }
  try {
    if (path == "/run-start") return Start(order, now);
    if (path == "/run-stop") return Stop(order, now);
    if (path == "/hold") return Look(order, now);
    if (path != "/pace") return JsonResponse(http_status::kNotFound, {});
    return Fenced(order) ? Conflict("fence", now)
                         : JsonResponse(http_status::kOk, {{"ClockMs", Now(now).count()}});
  } catch (const nlohmann::json::exception& error) {
    return JsonResponse(http_status::kBadRequest, {{"Reason", error.what()}});
  }
}

HttpResponse TaskRunner::Start(const nlohmann::json& order, Instant now) {
  const auto task = order.at("Task").get<std::string>();
  const auto run = order.at("RunId").get<std::uint64_t>();
  if (Fenced(order)) return Conflict("fence", now);
  if (Clock(order.at("DeadlineMs").get<std::int64_t>()) < Now(now)) return Conflict("late", now);
  Extend(order, now);
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.run == run) {
    return JsonResponse(http_status::kOk, {{"ClockMs", Now(now).count()}});
  }
  if (running != runs_.end() || run <= highest_[task]) return Conflict("old", now);
  const nlohmann::json fate = nlohmann::json::parse(order.value("Spec", ""), nullptr, false);
  const auto millis = fate.is_object() ? fate.value("ms", kDefaultTaskMillis) : kDefaultTaskMillis;
  const auto fails = fate.is_object() ? fate.value("fails", std::uint64_t{0}) : 0;
  const Clock takes = millis < 0 ? Clock(kForever) : Clock(millis);
  runs_[task] = {run, Now(now) + takes, ledger_->Failures(task) < fails};
  ledger_->Started(task);
  return JsonResponse(http_status::kOk, {{"ClockMs", Now(now).count()}});
}

HttpResponse TaskRunner::Stop(const nlohmann::json& order, Instant now) {
  const auto task = order.at("Task").get<std::string>();
  const auto run = order.at("RunId").get<std::uint64_t>();
  if (Fenced(order)) return Conflict("fence", now);
  highest_[task] = std::max(highest_[task], run);
  const auto running = runs_.find(task);
  if (running != runs_.end() && running->second.run <= run) {
    EndRun(task, running->second, "stopped");
    runs_.erase(running);
  }
  return JsonResponse(http_status::kOk, {{"ClockMs", Now(now).count()}});
}

HttpResponse TaskRunner::Look(const nlohmann::json& order, Instant now) {
  if (Fenced(order)) return Conflict("fence", now);
  if (order.contains("DeadlineMs")) Extend(order, now);
  const auto seen = order.value("LastSeen", std::uint64_t{0});
  while (!ends_.empty() && ends_.front().number <= seen) {
    if (ends_.front().counts) ledger_->Noted(ends_.front().in_ledger);
    ends_.pop_front();
  }
  nlohmann::json running = nlohmann::json::array();
  for (const auto& [task, run] : runs_) running.push_back({task, run.run, "", 100, 0});
  nlohmann::json ended = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(ends_.size(), kEndsPerAnswer); ++i) {
    const End& end = ends_[i];
    ended.push_back({end.number, end.task, end.run, end.how, ""});
  }
  return JsonResponse(http_status::kOk, {{"ClockMs", Now(now).count()},
                                         {"born", born_.count()},
                                         {"Running", running},
                                         {"Finished", ended}});
}

HttpResponse TaskRunner::Conflict(const char* reason, Instant now) const {
  return JsonResponse(http_status::kConflict, {{"ClockMs", Now(now).count()}, {"Reason", reason}});
}

bool TaskRunner::Fenced(const nlohmann::json& order) {
  const auto token = order.value("FencingToken", std::uint64_t{0});
  if (token < fence_) return true;
  fence_ = token;
  return false;
}

void TaskRunner::Extend(const nlohmann::json& order, Instant now) {
  const Clock asked(order.at("DeadlineMs").get<std::int64_t>());
  lease_ = std::max(lease_, std::min(asked, Now(now) + Clock(kLongestLease)));
}

void TaskRunner::Advance(Instant now) {
  const Clock clock = Now(now);
  if (clock > lease_) {
    for (End& end : ends_) end.counts = false;
  }
  std::erase_if(runs_, [&](const auto& entry) {
    const auto& [task, run] = entry;
    if (clock < run.over && clock <= lease_) return false;
    EndRun(task, run, clock > lease_ ? "lapsed" : run.fails ? "failed" : "done");
    return true;
  });
}

void TaskRunner::EndRun(const std::string& task, const Run& run, const std::string& how) {
  highest_[task] = std::max(highest_[task], run.run);
  ends_.push_back({++last_end_, task, run.run, how, ledger_->Ended(task, how)});
}

}  // namespace wigeonlane
