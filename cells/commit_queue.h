/// Group commit of one cell: records wait for the append in flight and are appended together.
#ifndef WIGEONLANE_CELLS_COMMIT_QUEUE_H_
#define WIGEONLANE_CELLS_COMMIT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cells/cell_types.h"
#include "cells/store_limits.h"
#include "core/clock.h"

namespace wigeonlane {

/// Number of a batch; batches are committed in order.
using BatchNumber = std::uint64_t;

/// Collects the newest record for each key and returns one batch at a time. A batch that is larger
/// than one call to the store is returned as several appends in key order, so a successor may find
/// only the first of them: no record may rely on one with a higher key. An append whose outcome is
/// unknown stays in flight until the store has confirmed it.
class CommitQueue {
 public:
  /// Batches are at least `min_batch_interval` apart, except that a batch of `early_commit_bytes`
  /// is returned at once.
  CommitQueue(std::chrono::milliseconds min_batch_interval, std::size_t early_commit_bytes,
              StoreLimits limits)
      : min_batch_interval_(min_batch_interval),
        early_commit_bytes_(early_commit_bytes),
        limits_(limits) {}

  /// Adds a record and returns the number of the batch that will contain it.
  BatchNumber Put(std::string key, std::optional<std::string> value);

  /// Removes the records whose keys begin with `prefix` and that are in no batch yet.
  void Withdraw(const std::string& prefix);

  /// Returns the next append when none is in flight and `NextTime` has come. Leaves out records
  /// that the store cannot hold; see `TakeUnstorable`.
  std::optional<AppendRequest> Next(Instant now);

  /// The append in flight was stored. Returns whether it was the last one of its batch.
  bool Confirm();

  /// The store will never accept the append in flight, and has stored nothing of it. Its records
  /// are appended in smaller parts; a single one is unstorable. Returns whether the batch is
  /// complete without it.
  bool Reject(std::vector<StoreRecord> records);

  /// Returns the records that were left out of the batch since the last call.
  std::vector<StoreRecord> TakeUnstorable() { return std::exchange(unstorable_, {}); }

  /// When `Next` may return an append; nothing when one is in flight or no record waits.
  std::optional<Instant> NextTime() const;

  /// How long the append in flight has been waiting; zero when there is none.
  Duration StallDuration(Instant now) const;

  /// When the append in flight was sent first; nothing when there is none.
  std::optional<Instant> in_flight_since() const { return in_flight_since_; }

  bool idle() const { return waiting_.empty() && parts_.empty() && !in_flight_since_; }

  /// The number of the last batch of which `Next` returned an append.
  BatchNumber last_batch() const { return last_batch_; }

  /// The batch that contains the newest record: the next one if any record waits, else the last.
  BatchNumber newest_batch() const { return waiting_.empty() ? last_batch_ : last_batch_ + 1; }

  /// The last batch of which all appends are stored.
  BatchNumber stored_batch() const {
    return parts_.empty() && !in_flight_since_ ? last_batch_ : last_batch_ - 1;
  }

 private:
  void StartBatch(Instant now);

  const std::chrono::milliseconds min_batch_interval_;
  const std::size_t early_commit_bytes_;
  const StoreLimits limits_;
  std::map<std::string, std::optional<std::string>> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::deque<std::vector<StoreRecord>> parts_;  ///< Appends of the last batch that are not sent.
  std::vector<StoreRecord> unstorable_;
  std::uint64_t last_sequence_ = 0;
  BatchNumber last_batch_ = 0;
  Instant last_batch_at_{};
  std::optional<Instant> in_flight_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_COMMIT_QUEUE_H_
