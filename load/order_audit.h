/// Compares what callers were told of their orders with what the runners executed.
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

/// Counts of broken promises; all but the first two, and `max_running`, must be 0.
struct OrderAuditResult {
  bool audited = false;  ///< Whether every ledger was read.
  std::uint64_t orders = 0;
  std::uint64_t executed = 0;
  std::uint64_t duplicated = 0;                ///< Executed more than once.
  std::uint64_t lost = 0;                      ///< RecordResponse "ran" but never executed.
  std::uint64_t executed_despite_not_run = 0;  ///< Last told "not-run" but executed.
  std::uint64_t wrong_responses = 0;           ///< Answers that were not the order's own.
  std::uint64_t cut_off = 0;                   ///< Requests that a runner's reboot cut off.
  std::uint64_t max_running = 0;               ///< Most requests at once on one runner.
};

/// What one run told its callers. Safe for several threads.
class OrderAudit {
 public:
  /// Records an answer for an order.
  void RecordResponse(const std::string& key, Execution execution);

  /// Records an answer whose content belongs to another request or is not whole.
  void RecordWrongResponse();

  /// Reads the ledgers and compares.
  OrderAuditResult Compare(const std::vector<Endpoint>& ledgers) const;

 private:
  struct Order {
    bool reported_ran = false;
    /// No answer but "not-run" was given: then nothing may have executed.
    bool only_not_run = true;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Order> orders_;
  std::uint64_t wrong_responses_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_LOAD_ORDER_AUDIT_H_
