#include "cells/commit_queue.h"

#include <utility>

namespace wigeonlane {

BatchNumber CommitQueue::Put(std::string key, std::optional<std::string> value) {
  waiting_bytes_ += key.size() + (value ? value->size() : 0);
  waiting_.insert_or_assign(std::move(key), std::move(value));
  return last_batch_ + 1;
}

void CommitQueue::Withdraw(const std::string& key) {
  const auto found = waiting_.find(key);
  if (found == waiting_.end()) return;
  waiting_bytes_ -= key.size() + (found->second ? found->second->size() : 0);
  waiting_.erase(found);
}

std::optional<AppendRequest> CommitQueue::Next(Instant now) {
  const auto time = NextTime();
  if (!time || *time > now) return {};
  AppendRequest append;
  append.sequence = ++last_batch_;
  for (auto& [key, value] : waiting_) append.records.push_back({key, std::move(value)});
  waiting_.clear();
  waiting_bytes_ = 0;
  last_batch_at_ = now;
  in_flight_since_ = now;
  return append;
}

std::optional<Instant> CommitQueue::NextTime() const {
  if (in_flight_since_ || waiting_.empty()) return {};
  return waiting_bytes_ >= early_commit_bytes_ ? last_batch_at_
                                               : last_batch_at_ + min_batch_interval_;
}

Duration CommitQueue::StallDuration(Instant now) const {
  return in_flight_since_ ? now - *in_flight_since_ : Duration::zero();
}

}  // namespace wigeonlane
