/// Ids that were cancelled before a submission of them arrived.
///
/// A submission may reach the owner after the cancellation: it was repeated, or an instance that
/// was frozen read it late. The owner remembers such an id, in the store as well, so that neither
/// it nor a successor runs a job that the caller knows to be cancelled.
#ifndef WIGEONLANE_CELLS_CANCELLED_IDS_H_
#define WIGEONLANE_CELLS_CANCELLED_IDS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"
#include "cells/commit_queue.h"
#include "core/clock.h"
#include "jobs/job_id.h"
#include "jobs/route_table.h"

namespace wigeonlane {

/// Stored form of a cancelled id.
struct CancelledId {
  QueueService queue;
  /// A submission has arrived since the cancellation, so callers are shown a cancelled job.
  bool submitted = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(queue, submitted);
  }
};

/// Decodes a record of this version or an earlier one, which stored no address. Errors:
/// InvalidArgument.
absl::StatusOr<CancelledId> DecodeCancelledId(std::string_view bytes);

/// Keeps cancelled ids until they expire, and the calls that wait until one is stored.
class CancelledIds {
 public:
  struct Entry {
    CancelledId id;
    bool stored = false;             ///< The store holds a record of the id.
    bool submission_stored = false;  ///< That record says that the id was submitted.
    BatchNumber cancel_batch = 0;    ///< The batch that contains the first record.
    BatchNumber submit_batch = 0;    ///< The batch that contains the record of the submission.
    Instant expires_at{};
    std::vector<CallNumber> cancel_calls;
    std::vector<CallNumber> submit_calls;

    bool complete() const { return stored && submission_stored == id.submitted; }
  };

  Entry* Find(const JobId& id) {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
  }
  const Entry* Find(const JobId& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
  }

  /// Adds an id that the collection does not contain.
  Entry* Add(const JobId& id, CancelledId cancelled, Instant expires_at) {
    Entry& entry = entries_[id];
    ++by_queue_[cancelled.queue];
    entry.id = std::move(cancelled);
    Extend(id, &entry, expires_at);
    return &entry;
  }

  /// Keeps the entry until `expires_at`, which must not be earlier than in any call before.
  void Extend(const JobId& id, Entry* entry, Instant expires_at) {
    entry->expires_at = expires_at;
    by_expiry_.emplace_back(expires_at, id);
  }

  void Erase(const JobId& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) return;
    const auto count = by_queue_.find(found->second.id.queue);
    if (--count->second == 0) by_queue_.erase(count);
    entries_.erase(found);
  }

  /// Returns the ids that have expired since the last call.
  std::vector<JobId> TakeExpired(Instant now) {
    std::vector<JobId> expired;
    while (!by_expiry_.empty() && by_expiry_.front().first <= now) {
      const auto [expires_at, id] = by_expiry_.front();
      by_expiry_.pop_front();
      const Entry* entry = Find(id);
      if (entry == nullptr || entry->expires_at != expires_at) continue;
      expired.push_back(id);
    }
    return expired;
  }

  /// Adds the queues of all ids to `queues`.
  void AddQueues(std::set<QueueService>* queues) const {
    for (const auto& [queue, ids] : by_queue_) queues->insert(queue);
  }

  std::size_t size() const { return entries_.size(); }

 private:
  std::unordered_map<JobId, Entry> entries_;
  std::map<QueueService, std::size_t> by_queue_;  ///< Number of ids of each queue.
  std::deque<std::pair<Instant, JobId>> by_expiry_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CANCELLED_IDS_H_
