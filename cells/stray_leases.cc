#include "cells/stray_leases.h"

#include <algorithm>
#include <utility>

#include "core/codec.h"

namespace wigeonlane {
namespace {

/// Stored form of a bound.
struct StrayLeaseRecord {
  std::chrono::milliseconds addressed{0};
  std::chrono::milliseconds contacted{0};
  std::chrono::milliseconds remaining{0};  ///< From the time of writing.
  std::chrono::milliseconds first_addressed{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(addressed, contacted, remaining, first_addressed);
  }
};

/// The form of the versions before, which stored the newest incarnation only.
struct UnorderedStrayLeaseRecord {
  std::chrono::milliseconds addressed{0};
  std::chrono::milliseconds contacted{0};
  std::chrono::milliseconds remaining{0};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(addressed, contacted, remaining);
  }
};

/// A record without the first incarnation may be of one that is earlier than any.
absl::StatusOr<StrayLeaseRecord> DecodeStrayLease(std::string_view bytes) {
  auto record = Decode<StrayLeaseRecord>(bytes);
  if (record.ok()) return record;
  const auto earlier = Decode<UnorderedStrayLeaseRecord>(bytes);
  if (!earlier.ok()) return record.status();
  return StrayLeaseRecord{earlier->addressed, earlier->contacted, earlier->remaining,
                          std::chrono::milliseconds(0)};
}

}  // namespace

void StrayLeases::Add(const RunnerListing& listing, Instant end) {
  const auto [entry, inserted] = bounds_.try_emplace(listing.id);
  Bound& bound = entry->second;
  bound.first_addressed =
      inserted ? listing.started_at : std::min(bound.first_addressed, listing.started_at);
  bound.addressed = std::max(bound.addressed, listing.started_at);
  bound.contacted = std::chrono::milliseconds(0);
  bound.end = std::max(bound.end, end);
  bound.stored = true;
}

Instant StrayLeases::Limit(const RunnerListing& listing, Instant limit) {
  const auto found = bounds_.find(listing.id);
  if (found == bounds_.end() || listing.started_at <= found->second.addressed) return {};
  Bound& bound = found->second;
  bound.contacted = listing.started_at;
  bound.contacted_end = std::min(bound.end, limit);
  bound.stored = true;
  return bound.contacted_end;
}

bool StrayLeases::IsLater(const RunnerListing& listing) const {
  const auto found = bounds_.find(listing.id);
  return found != bounds_.end() && listing.started_at > found->second.first_addressed;
}

Instant StrayLeases::EndOn(const RunnerListing& listing, Instant limit) const {
  const auto found = bounds_.find(listing.id);
  if (found == bounds_.end()) return {};
  const Bound& bound = found->second;
  return bound.contacted == listing.started_at ? bound.contacted_end : std::min(bound.end, limit);
}

std::vector<std::string> StrayLeases::TakeExpired(Instant now) {
  std::vector<std::string> expired;
  for (auto& [runner_id, bound] : bounds_) {
    if (bound.StoredEnd() > now || !std::exchange(bound.stored, false)) continue;
    expired.push_back(runner_id);
  }
  std::erase_if(bounds_, [&](const auto& bound) { return bound.second.end <= now; });
  return expired;
}

std::string StrayLeases::Encoded(const std::string& runner_id, Instant now) const {
  const Bound& bound = bounds_.at(runner_id);
  return Encode(
      StrayLeaseRecord{bound.addressed, bound.contacted,
                       std::chrono::ceil<std::chrono::milliseconds>(bound.StoredEnd() - now),
                       bound.first_addressed});
}

absl::Status StrayLeases::Restore(const std::string& runner_id, std::string_view bytes,
                                  Instant now) {
  const auto record = DecodeStrayLease(bytes);
  if (!record.ok()) return record.status();
  const Instant end = now + record->remaining;
  bounds_[runner_id] = {record->first_addressed, record->addressed, end, record->contacted, end};
  return absl::OkStatus();
}

}  // namespace wigeonlane
