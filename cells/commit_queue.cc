#include "cells/commit_queue.h"

#include <iterator>
#include <utility>

namespace wigeonlane {

BatchNumber CommitQueue::Put(std::string key, std::optional<std::string> value) {
  waiting_bytes_ += key.size() + (value ? value->size() : 0);
  waiting_.insert_or_assign(std::move(key), std::move(value));
  return newest_batch();
}

void CommitQueue::Withdraw(const std::string& prefix) {
  auto record = waiting_.lower_bound(prefix);
  while (record != waiting_.end() && record->first.starts_with(prefix)) {
    waiting_bytes_ -= record->first.size() + (record->second ? record->second->size() : 0);
    record = waiting_.erase(record);
  }
}

std::optional<AppendRequest> CommitQueue::Next(Instant now) {
  const auto time = NextTime();
  if (!time || *time > now) return {};
  if (parts_.empty()) StartBatch(now);
  AppendRequest append;
  append.sequence = ++last_sequence_;
  append.records = std::move(parts_.front());
  parts_.pop_front();
  in_flight_since_ = now;
  return append;
}

void CommitQueue::StartBatch(Instant now) {
  ++last_batch_;
  last_batch_at_ = now;
  std::size_t call_bytes = 0;
  parts_.emplace_back();
  for (auto& [key, value] : std::exchange(waiting_, {})) {
    if (!limits_.Holds(key, value)) {
      unstorable_.push_back({key, std::move(value)});
      continue;
    }
    const std::size_t bytes = StoreLimits::kRecordLengthBytes + StoreLimits::RecordSize(key, value);
    if (call_bytes + bytes > limits_.call_bytes) {
      parts_.emplace_back();
      call_bytes = 0;
    }
    call_bytes += bytes;
    parts_.back().push_back({key, std::move(value)});
  }
  waiting_bytes_ = 0;
}

bool CommitQueue::Confirm() {
  in_flight_since_.reset();
  return parts_.empty();
}

bool CommitQueue::Reject(std::vector<StoreRecord> records) {
  in_flight_since_.reset();
  // The store has not counted the append.
  --last_sequence_;
  if (records.size() <= 1) {
    for (StoreRecord& record : records) unstorable_.push_back(std::move(record));
    return parts_.empty();
  }
  const auto middle = records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
  parts_.emplace_front(std::make_move_iterator(middle), std::make_move_iterator(records.end()));
  parts_.emplace_front(std::make_move_iterator(records.begin()), std::make_move_iterator(middle));
  return false;
}

std::optional<Instant> CommitQueue::NextTime() const {
  if (in_flight_since_) return {};
  if (!parts_.empty()) return last_batch_at_;
  if (waiting_.empty()) return {};
  return waiting_bytes_ >= early_commit_bytes_ ? last_batch_at_
                                               : last_batch_at_ + min_batch_interval_;
}

Duration CommitQueue::StallDuration(Instant now) const {
  return in_flight_since_ ? now - *in_flight_since_ : Duration::zero();
}

}  // namespace wigeonlane
