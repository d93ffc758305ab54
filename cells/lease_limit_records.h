/// Lease limit records: which runners the store may list as receiving no leases.
#ifndef WIGEONLANE_CELLS_LEASE_LIMIT_RECORDS_H_
#define WIGEONLANE_CELLS_LEASE_LIMIT_RECORDS_H_

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "cells/commit_queue.h"

namespace wigeonlane {

/// Runners in the lease limit records that a successor may find. A successor waits only as long as
/// the record says, so no lease may be granted on a runner from the time it is put into a record
/// until a record without it is stored. The outcome of an append may be unknown, so the successor
/// may find the last confirmed record or any later one.
class LeaseLimitRecords {
 public:
  using RunnerIds = std::set<std::string>;

  /// Sets the record found at the takeover.
  void Restore(RunnerIds ids) { by_batch_[0] = std::move(ids); }

  /// Adds the record that the given batch carries, replacing an earlier one of that batch.
  void Put(BatchNumber batch, RunnerIds ids) { by_batch_[batch] = std::move(ids); }

  /// Drops records that are superseded now that all batches up to the given one are stored.
  void Confirm(BatchNumber batch) {
    const auto newer = by_batch_.upper_bound(batch);
    if (newer != by_batch_.begin()) by_batch_.erase(by_batch_.begin(), std::prev(newer));
  }

  /// Whether any record that a successor may find lists the runner.
  bool Contains(const std::string& id) const {
    return std::any_of(by_batch_.begin(), by_batch_.end(),
                       [&](const auto& record) { return record.second.contains(id); });
  }

  /// Runners in the newest record, stored or not.
  const RunnerIds& newest() const { return by_batch_.rbegin()->second; }

 private:
  std::map<BatchNumber, RunnerIds> by_batch_{{0, {}}};
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_LEASE_LIMIT_RECORDS_H_
