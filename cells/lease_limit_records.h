/// Runners of which the record in the store may say that nothing is granted on them.
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

/// A successor waits for no more than the record says, so nothing may be granted on a runner from
/// the time it is put into a record until one without it is stored. The outcome of an append may
/// not be known: all records from the last one confirmed on may be the one that is found.
class LeaseLimitRecords {
 public:
  using RunnerIds = std::set<std::string>;

  /// The record found at the takeover.
  void Restore(RunnerIds ids) { by_batch_[0] = std::move(ids); }

  /// The batch will carry a record with these runners, in place of any that was to go with it.
  void Put(BatchNumber batch, RunnerIds ids) { by_batch_[batch] = std::move(ids); }

  /// All batches up to this one are stored.
  void Confirm(BatchNumber batch) {
    const auto newer = by_batch_.upper_bound(batch);
    if (newer != by_batch_.begin()) by_batch_.erase(by_batch_.begin(), std::prev(newer));
  }

  bool Contains(const std::string& id) const {
    return std::any_of(by_batch_.begin(), by_batch_.end(),
                       [&](const auto& record) { return record.second.contains(id); });
  }

  /// What the newest record says, stored or not.
  const RunnerIds& newest() const { return by_batch_.rbegin()->second; }

 private:
  std::map<BatchNumber, RunnerIds> by_batch_{{0, {}}};
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_LEASE_LIMIT_RECORDS_H_
