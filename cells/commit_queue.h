/// Group commit of one cell: records wait for the append in flight and are appended together.
#ifndef WIGEONLANE_CELLS_COMMIT_QUEUE_H_
#define WIGEONLANE_CELLS_COMMIT_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "cells/cell_types.h"
#include "core/clock.h"

namespace wigeonlane {

/// Number of a batch; batches are committed in order.
using BatchNumber = std::uint64_t;

/// Collects the newest record for each key and returns one batch at a time. A batch whose outcome
/// is unknown stays in flight until the store has confirmed it.
class CommitQueue {
 public:
  /// Batches are at least `min_batch_interval` apart, except that a batch of `early_commit_bytes`
  /// is returned at once.
  CommitQueue(std::chrono::milliseconds min_batch_interval, std::size_t early_commit_bytes)
      : min_batch_interval_(min_batch_interval), early_commit_bytes_(early_commit_bytes) {}

  /// Adds a record and returns the number of the batch that will contain it.
  BatchNumber Put(std::string key, std::optional<std::string> value);

  /// Removes a record that is in no batch yet.
  void Withdraw(const std::string& key);

  /// Returns the next batch when none is in flight and `NextTime` has come.
  std::optional<AppendRequest> Next(Instant now);

  /// The batch in flight was stored.
  void Confirm() { in_flight_since_.reset(); }

  /// When `Next` may return a batch; nothing when a batch is in flight or no record waits.
  std::optional<Instant> NextTime() const;

  /// How long the batch in flight has been waiting; zero when there is none.
  Duration StallDuration(Instant now) const;

  bool idle() const { return waiting_.empty() && !in_flight_since_; }

  /// The number of the last batch that `Next` returned.
  BatchNumber last_batch() const { return last_batch_; }

 private:
  const std::chrono::milliseconds min_batch_interval_;
  const std::size_t early_commit_bytes_;
  std::map<std::string, std::optional<std::string>> waiting_;
  std::size_t waiting_bytes_ = 0;
  BatchNumber last_batch_ = 0;
  Instant last_batch_at_{};
  std::optional<Instant> in_flight_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_COMMIT_QUEUE_H_
