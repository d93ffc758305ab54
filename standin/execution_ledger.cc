#include "standin/execution_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wigeonlane {

void ExecutionLedger::RecordStart(const std::string& request_id, const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++executions_;
  ++running_;
  max_running_ = std::max(max_running_, running_);
  ++executions_by_request_[request_id];
  if (!key.empty()) ++executions_by_key_[key];
}

void ExecutionLedger::RecordEnd() {
  const std::lock_guard lock(mutex_);
  --running_;
}

void ExecutionLedger::RecordCutOff() {
  const std::lock_guard lock(mutex_);
  cut_off_executions_ += running_;
}

std::string ExecutionLedger::ToJson() const {
  const std::lock_guard lock(mutex_);
  return nlohmann::json{{"executions", executions_},    {"cut_off", cut_off_executions_},
                        {"running", running_},          {"most_running", max_running_},
                        {"by_key", executions_by_key_}, {"by_request", executions_by_request_}}
      .dump();
}

}  // namespace wigeonlane
