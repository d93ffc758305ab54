#include "cells/commit_queue.h"

#include <utility>

namespace wigeonlane {

BatchNumber CommitQueue::Put(std::string key, std::optional<std::string> value) {
  waiting_bytes_ += key.size() + (value ? value->size() : 0);
  waiting_.insert_or_assign(std::move(key), std::move(value));
  return batch_ + 1;
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
  AppendRequest order;
  order.sequence = ++batch_;
  for (auto& [key, value] : waiting_) order.records.push_back({key, std::move(value)});
  waiting_.clear();
  waiting_bytes_ = 0;
  last_handed_out_ = now;
  in_flight_since_ = now;
  return order;
}

std::optional<Instant> CommitQueue::NextTime() const {
  if (in_flight_since_ || waiting_.empty()) return {};
  return waiting_bytes_ >= early_commit_bytes_ ? last_handed_out_
                                               : last_handed_out_ + min_batch_interval_;
}

Duration CommitQueue::StallDuration(Instant now) const {
  return in_flight_since_ ? now - *in_flight_since_ : Duration::zero();
}

}  // namespace wigeonlane
