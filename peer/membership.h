/// Live entry instances, from their heartbeats.
#ifndef WIGEONLANE_PEER_MEMBERSHIP_H_
#define WIGEONLANE_PEER_MEMBERSHIP_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"
#include "peer/messages.h"

namespace wigeonlane {

/// One other entry instance, as of its latest whole heartbeat.
struct Member {
  Heartbeat latest;  ///< With the demand of all parts.
  Instant last_heartbeat_at;
};

/// The others' heartbeats. A member is live until its lease of several intervals lapses without a
/// whole heartbeat; one that says that it is leaving is dropped at once. Not safe for several
/// threads.
template <RuntimeClock ClockT>
class Membership {
 public:
  static constexpr std::chrono::milliseconds kMinLease{2'000};
  static constexpr int kLeaseIntervals = 5;
  /// A gap between two looks at the clock that means that this process itself was paused.
  static constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

  Membership(std::string self, const ClockT& clock)
      : self_(std::move(self)), clock_(clock), last_expire_at_(clock.Now()) {}

  /// Takes one part of a heartbeat. Late, doubled and own ones change nothing.
  void OnHeartbeat(Heartbeat part);

  /// Drops members whose lease lapsed. Called often. After a pause of this process the others get
  /// the paused time added to their leases, since they could not be heard meanwhile.
  void Expire();

  /// Live members by incarnation, without the own one.
  const std::map<std::string, Member>& live() const { return live_; }

  /// Peer address of a live member or of one that lapsed lately.
  std::optional<Endpoint> AddressOf(const std::string& incarnation) const;

 private:
  static constexpr std::size_t kMaxRememberedMembers = 1024;

  struct PartialHeartbeat {
    std::uint64_t sequence = 0;
    std::map<std::uint16_t, Heartbeat> parts;
  };

  Duration LeaseOf(const Heartbeat& heartbeat) const {
    return std::max<Duration>(kMinLease, heartbeat.interval * kLeaseIntervals);
  }
  void ApplyWholeHeartbeat(const std::map<std::uint16_t, Heartbeat>& parts);

  const std::string self_;
  const ClockT& clock_;
  Instant last_expire_at_;
  std::map<std::string, Member> live_;
  std::map<std::string, PartialHeartbeat> partial_;
  std::map<std::string, Endpoint> addresses_;
  std::map<std::string, std::uint64_t> last_sequence_;
};

template <RuntimeClock ClockT>
void Membership<ClockT>::OnHeartbeat(Heartbeat part) {
  if (part.incarnation == self_) return;
  const auto last = last_sequence_.find(part.incarnation);
  if (last != last_sequence_.end() && part.sequence <= last->second) return;
  PartialHeartbeat& partial = partial_[part.incarnation];
  if (part.sequence < partial.sequence) return;
  if (part.sequence > partial.sequence) partial = {part.sequence, {}};
  const std::size_t parts = part.parts;
  const std::string incarnation = part.incarnation;
  partial.parts[part.part] = std::move(part);
  if (partial.parts.size() < parts) return;
  ApplyWholeHeartbeat(partial.parts);
  partial_.erase(incarnation);
}

template <RuntimeClock ClockT>
void Membership<ClockT>::ApplyWholeHeartbeat(const std::map<std::uint16_t, Heartbeat>& parts) {
  Heartbeat whole = parts.begin()->second;
  for (const auto& [index, part] : parts) {
    whole.demand.insert(part.demand.begin(), part.demand.end());
  }
  if (addresses_.size() >= kMaxRememberedMembers) addresses_.erase(addresses_.begin());
  if (last_sequence_.size() >= kMaxRememberedMembers) last_sequence_.erase(last_sequence_.begin());
  addresses_[whole.incarnation] = whole.peer;
  last_sequence_[whole.incarnation] = whole.sequence;
  if (whole.leaving) {
    live_.erase(whole.incarnation);
    return;
  }
  const std::string incarnation = whole.incarnation;
  live_[incarnation] = {std::move(whole), clock_.Now()};
}

template <RuntimeClock ClockT>
void Membership<ClockT>::Expire() {
  const Instant now = clock_.Now();
  const Duration gap = now - last_expire_at_;
  last_expire_at_ = now;
  if (gap > kPauseThreshold) {
    for (auto& [incarnation, member] : live_) member.last_heartbeat_at += gap;
  }
  std::erase_if(live_, [&](const auto& item) {
    return item.second.last_heartbeat_at + LeaseOf(item.second.latest) < now;
  });
  std::erase_if(partial_, [&](const auto& item) { return !live_.contains(item.first); });
}

template <RuntimeClock ClockT>
std::optional<Endpoint> Membership<ClockT>::AddressOf(const std::string& incarnation) const {
  const auto found = addresses_.find(incarnation);
  if (found == addresses_.end()) return std::nullopt;
  return found->second;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_PEER_MEMBERSHIP_H_
