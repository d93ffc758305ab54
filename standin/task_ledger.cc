#include "standin/task_ledger.h"

#include <nlohmann/json.hpp>

namespace wigeonlane {

void TaskLedger::Started(const std::string& name) {
  Task& task = tasks_[name];
  task.last_start = ++events_;
  ++task.starts;
  if (task.running++ > 0) at_once_.push_back(name);
  if (task.done_noted) after_done_.push_back(name);
}

std::uint64_t TaskLedger::Ended(const std::string& name, const std::string& how) {
  Task& task = tasks_[name];
  --task.running;
  const bool done = how == "done";
  if (done) ++task.done;
  if (how == "failed") ++task.failed;
  ends_.push_back({name, done, ++events_});
  return ends_.size() - 1;
}

void TaskLedger::Vanished(const std::string& name) { --tasks_[name].running; }

void TaskLedger::Noted(std::uint64_t end) {
  const End& noted = ends_[end];
  if (!noted.done) return;
  Task& task = tasks_[noted.task];
  if (task.done_noted || task.last_start > noted.at) after_done_.push_back(noted.task);
  task.done_noted = true;
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
  return nlohmann::json{{"tasks", tasks}, {"at_once", at_once_}, {"after_done", after_done_}}
      .dump();
}

}  // namespace wigeonlane
