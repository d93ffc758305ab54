/// Group commit of one cell: records wait for the append under way and go out together.
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

/// Collects records by key, of which the newest wins, and hands out one batch at a time. A batch
/// whose outcome is unknown stays the one under way until the store has confirmed it.
class CommitQueue {
 public:
  CommitQueue(std::chrono::milliseconds gap, std::size_t most_bytes)
      : min_batch_interval_(gap), early_commit_bytes_(most_bytes) {}

  /// Adds a record and returns the batch that will carry it.
  BatchNumber Put(std::string key, std::optional<std::string> value);

  /// Takes a record back that no batch has carried yet.
  void Withdraw(const std::string& key);

  /// The next batch, when none is under way and the gap since the last has passed.
  std::optional<AppendRequest> Next(Instant now);

  /// The batch under way was stored.
  void Confirm() { in_flight_since_.reset(); }

  /// When `Next` may have a batch; nothing when a batch is under way or nothing waits.
  std::optional<Instant> NextTime() const;

  /// How long the batch under way has been waiting; zero when there is none.
  Duration StallDuration(Instant now) const;

  bool idle() const { return waiting_.empty() && !in_flight_since_; }

  /// The batch that was handed out last.
  BatchNumber last_batch() const { return batch_; }

 private:
  const std::chrono::milliseconds min_batch_interval_;
  const std::size_t early_commit_bytes_;
  std::map<std::string, std::optional<std::string>> waiting_;
  std::size_t waiting_bytes_ = 0;
  BatchNumber batch_ = 0;
  Instant last_handed_out_{};
  std::optional<Instant> in_flight_since_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_COMMIT_QUEUE_H_
