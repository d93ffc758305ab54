#include "load/order_audit.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/http_client.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kLedgerTimeout{5'000};

}  // namespace

void OrderAudit::RecordResponse(const std::string& key, Execution execution) {
  const std::lock_guard lock(mutex_);
  Order& order = orders_[key];
  if (execution == Execution::kRan) order.reported_ran = true;
  if (execution != Execution::kNotRun) order.only_not_run = false;
}

void OrderAudit::RecordWrongResponse() {
  const std::lock_guard lock(mutex_);
  ++wrong_responses_;
}

OrderAuditResult OrderAudit::Compare(const std::vector<Endpoint>& ledgers) const {
  const std::lock_guard lock(mutex_);
  OrderAuditResult result;
  result.audited = !ledgers.empty();
  std::map<std::string, std::uint64_t> executions;
  for (const Endpoint& ledger : ledgers) {
    HttpClient client(ledger, kLedgerTimeout);
    const HttpExchange exchange = client.Fetch("/ledger");
    const auto json = exchange.answer.ok()
                          ? nlohmann::json::parse(exchange.answer->body, nullptr, false)
                          : nlohmann::json();
    if (!json.is_object()) {
      result.audited = false;
      continue;
    }
    for (const auto& [key, count] : json.at("by_key").items()) {
      executions[key] += count.get<std::uint64_t>();
    }
    result.cut_off += json.value("cut_off", std::uint64_t{0});
    result.max_running = std::max(result.max_running, json.value("most_running", std::uint64_t{0}));
  }
  result.orders = orders_.size();
  result.wrong_responses = wrong_responses_;
  for (const auto& [key, order] : orders_) {
    const auto found = executions.find(key);
    const std::uint64_t count = found == executions.end() ? 0 : found->second;
    if (count > 0) ++result.executed;
    if (count > 1) ++result.duplicated;
    if (count == 0 && order.reported_ran) ++result.lost;
    if (count > 0 && order.only_not_run) ++result.executed_despite_not_run;
  }
  return result;
}

}  // namespace wigeonlane
