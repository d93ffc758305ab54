#include "standin/task_ledger.h"

#include <nlohmann/json.hpp>

namespace wigeonlane {

void TaskLedger::RecordStart(const std::string& name) {
  Task& task = tasks_[name];
  task.last_start = ++event_count_;
  ++task.starts;
  if (task.running++ > 0) concurrent_tasks_.push_back(name);
  if (task.done_acknowledged) started_after_done_.push_back(name);
}

std::uint64_t TaskLedger::RecordEnd(const std::string& name, const std::string& outcome) {
  Task& task = tasks_[name];
  --task.running;
  const bool done = outcome == "done";
  if (done) ++task.done;
  if (outcome == "failed") ++task.failed;
  results_.push_back({name, done, ++event_count_});
  return results_.size() - 1;
}

void TaskLedger::RecordLoss(const std::string& name) { --tasks_[name].running; }

void TaskLedger::RecordAcknowledgement(std::uint64_t result_index) {
  const RunResult& result = results_[result_index];
  if (!result.done) return;
  Task& task = tasks_[result.task];
  if (task.done_acknowledged || task.last_start > result.event) {
    started_after_done_.push_back(result.task);
  }
  task.done_acknowledged = true;
}

std::uint64_t TaskLedger::Failures(const std::string& name) const {
  const auto found = tasks_.find(name);
  return found == tasks_.end() ? 0 : found->second.failed;
}

std::string TaskLedger::ToJson() const {
  nlohmann::json tasks = nlohmann::json::object();
  for (const auto& [name, task] : tasks_) {
    tasks[name] = {{"starts", task.starts},
                   {"done", task.done},
                   {"failed", task.failed},
                   {"running", task.running}};
  }
  return nlohmann::json{
      {"tasks", tasks}, {"at_once", concurrent_tasks_}, {"after_done", started_after_done_}}
      .dump();
}

}  // namespace wigeonlane
