/// What one instance knows of the stored division of the teams' caps, and its own last write.
#ifndef WIGEONLANE_CELLS_QUOTA_VIEW_H_
#define WIGEONLANE_CELLS_QUOTA_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "cells/quota_ledger.h"

namespace wigeonlane {

/// A write holds only if the partition still ends where it ended when the write was planned. Until
/// a later end is known its outcome may be unknown: then the lower amount of both records holds,
/// and nothing but the same write is sent.
class QuotaView {
 public:
  /// The partition holds `record` and ends at `end`. Older news than what is known has no effect.
  void ApplyRecord(QuotaRecord record, std::uint64_t end) {
    if (known_ && end <= end_) return;
    known_ = true;
    record_ = std::move(record);
    end_ = end;
    unsettled_.reset();
  }

  /// Whether a new write may be planned.
  bool may_plan() const { return known_ && !unsettled_; }

  /// The write to send again, if its outcome is unknown.
  const QuotaRecord* write_to_repeat() const {
    return repeat_ && unsettled_ ? &*unsettled_ : nullptr;
  }

  /// A write of `next` is sent, which is conditional on `end()`.
  void StartWrite(QuotaRecord next) {
    unsettled_ = std::move(next);
    repeat_ = false;
    may_be_stored_ = false;
  }

  void WriteStored() {
    if (unsettled_) ApplyRecord(*std::move(unsettled_), end_ + 1);
  }
  /// The partition has another end by now; the next read tells whether the write was stored.
  void WriteConflicted() { repeat_ = false; }
  void WriteUnanswered() { repeat_ = may_be_stored_ = true; }
  /// Nothing was stored by this attempt.
  void WriteRefused() {
    if (may_be_stored_) {
      repeat_ = true;
    } else {
      unsettled_.reset();
    }
  }

  /// Returns what the team may use in the cell; see `QuotaLimit`.
  Resources Limit(CellNumber cell, TermToken token, const std::string& team,
                  const Resources& cap) const {
    const Resources limit = QuotaLimit(record_, cell, token, team, cap);
    if (!unsettled_) return limit;
    const Resources other = QuotaLimit(*unsettled_, cell, token, team, cap);
    return {std::min(limit.cpu_milli, other.cpu_milli), std::min(limit.memory_mb, other.memory_mb),
            std::min(limit.gpus, other.gpus)};
  }

  const QuotaRecord& record() const { return record_; }
  std::uint64_t end() const { return end_; }

 private:
  bool known_ = false;
  QuotaRecord record_;
  std::uint64_t end_ = 0;
  std::optional<QuotaRecord> unsettled_;  ///< Conditional on `end_`.
  bool repeat_ = false;
  bool may_be_stored_ = false;  ///< An attempt got no response.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_QUOTA_VIEW_H_
