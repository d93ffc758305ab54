#include "standin/execution_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wigeonlane {

void ExecutionLedger::Begin(const std::string& request_id, const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++executions_;
  ++running_;
  most_running_ = std::max(most_running_, running_);
  ++by_request_[request_id];
  if (!key.empty()) ++by_key_[key];
}

void ExecutionLedger::End() {
  const std::lock_guard lock(mutex_);
  --running_;
}

void ExecutionLedger::CutOff() {
  const std::lock_guard lock(mutex_);
  cut_off_ += running_;
}

std::string ExecutionLedger::ToJson() const {
  const std::lock_guard lock(mutex_);
  return nlohmann::json{{"executions", executions_}, {"cut_off", cut_off_},
                        {"running", running_},       {"most_running", most_running_},
                        {"by_key", by_key_},         {"by_request", by_request_}}
      .dump();
}

}  // namespace wigeonlane
