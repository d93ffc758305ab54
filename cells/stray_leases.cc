#include "cells/stray_leases.h"

#include <algorithm>

#include "core/codec.h"

namespace wigeonlane {
namespace {

/// Stored form of a bound.
struct StrayLeaseRecord {
  std::chrono::milliseconds addressed{0};
  std::chrono::milliseconds contacted{0};
  std::chrono::milliseconds remaining{0};  ///< From the time of writing.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(addressed, contacted, remaining);
  }
};

}  // namespace

void StrayLeases::Add(const RunnerListing& listing, Instant end) {
  Bound& bound = bounds_[listing.id];
  bound.addressed = std::max(bound.addressed, listing.started_at);
  bound.contacted = std::chrono::milliseconds(0);
  bound.end = std::max(bound.end, end);
}

Instant StrayLeases::Limit(const RunnerListing& listing, Instant limit) {
  const auto found = bounds_.find(listing.id);
  if (found == bounds_.end() || listing.started_at <= found->second.addressed) return {};
  found->second.contacted = listing.started_at;
  found->second.end = std::min(found->second.end, limit);
  return found->second.end;
}

Instant StrayLeases::EndOn(const RunnerListing& listing) const {
  const auto found = bounds_.find(listing.id);
  const bool contacted = found != bounds_.end() && found->second.contacted == listing.started_at;
  return contacted ? found->second.end : Instant{};
}

std::vector<std::string> StrayLeases::TakeExpired(Instant now) {
  std::vector<std::string> expired;
  std::erase_if(bounds_, [&](const auto& bound) {
    if (bound.second.end > now) return false;
    expired.push_back(bound.first);
    return true;
  });
  return expired;
}

std::string StrayLeases::Encoded(const std::string& runner_id, Instant now) const {
  const Bound& bound = bounds_.at(runner_id);
  return Encode(StrayLeaseRecord{bound.addressed, bound.contacted,
                                 std::chrono::ceil<std::chrono::milliseconds>(bound.end - now)});
}

absl::Status StrayLeases::Restore(const std::string& runner_id, std::string_view bytes,
                                  Instant now) {
  const auto record = Decode<StrayLeaseRecord>(bytes);
  if (!record.ok()) return record.status();
  bounds_[runner_id] = {record->addressed, record->contacted, now + record->remaining};
  return absl::OkStatus();
}

}  // namespace wigeonlane
