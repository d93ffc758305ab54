/// Compares the outcomes that callers received for their orders with the runners' execution
/// ledgers.
#ifndef WIGEONLANE_LOAD_ORDER_AUDIT_H_
#define WIGEONLANE_LOAD_ORDER_AUDIT_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/settings.h"
#include "core/verdict.h"

namespace wigeonlane {

/// Counts of an audit. `duplicated`, `lost`, `executed_despite_not_run`, `wrong_responses` and
/// `cut_off` count violations and must be 0.
struct OrderAuditResult {
  bool audited = false;                        ///< Every ledger was read.
  std::uint64_t orders = 0;                    ///< Orders with a key that were sent.
  std::uint64_t executed = 0;                  ///< Orders executed at least once.
  std::uint64_t duplicated = 0;                ///< Executed more than once.
  std::uint64_t lost = 0;                      ///< Reported as "ran" but never executed.
  std::uint64_t executed_despite_not_run = 0;  ///< Reported only as "not-run" but executed.
  std::uint64_t wrong_responses = 0;           ///< Responses with the content of another request.
  std::uint64_t cut_off = 0;                   ///< Requests interrupted by a runner's reboot.
  std::uint64_t max_running = 0;               ///< Maximum concurrent requests on one runner.
};

/// Records the outcomes that callers received during one run. Thread-safe.
class OrderAudit {
 public:
  /// Records the outcome of one request for the order with this key.
  void RecordResponse(const std::string& key, Execution execution);

  /// Records a response whose content belongs to another request or is incomplete.
  void RecordWrongResponse();

  /// Reads the ledgers at these control addresses and compares them with the recorded outcomes.
  OrderAuditResult Compare(const std::vector<Endpoint>& ledgers) const;

 private:
  struct Order {
    bool reported_ran = false;
    /// Every response was "not-run", so the order must not have been executed.
    bool only_not_run = true;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Order> orders_;
  std::uint64_t wrong_responses_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_ORDER_AUDIT_H_
