/// Decides whether a caller's call is served, by its API key and by how recent the configuration of
/// this instance is known to be.
///
/// An instance knows that its configuration was the newest at the time at which it asked the store
/// for changes and there were none beyond what it had applied. A call is sent before it is checked,
/// so a key that was valid at that time may be accepted for as long as a revocation may take,
/// counted from then. A suspension after the check changes nothing.
#ifndef WIGEONLANE_JOBS_ACCESS_CONTROL_H_
#define WIGEONLANE_JOBS_ACCESS_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "core/clock.h"
#include "jobs/route_table.h"
#include "jobs/team_directory.h"

namespace wigeonlane {

/// How long the answers to calls with a key may rely on the last proof that the configuration is
/// the newest.
struct AccessLimits {
  /// After the store acknowledged that a key was revoked, a call that is sent later than this must
  /// not succeed, on any instance; nothing if it may.
  std::optional<std::chrono::milliseconds> max_revocation_time;
  /// After the store acknowledged a new key, a call that is sent later than this must not be
  /// rejected.
  std::chrono::milliseconds max_config_apply_time{2'000};
};

enum class AccessVerdict : std::uint8_t {
  kAllowed,
  kUnknownKey,    ///< No key was sent, or none that the configuration holds.
  kUnverifiable,  ///< The configuration may be out of date, so the key may be valid or not.
};

struct AccessDecision {
  AccessVerdict verdict = AccessVerdict::kUnknownKey;
  const Team* team = nullptr;  ///< Null for a queue that needs no key.
};

class AccessControl {
 public:
  explicit AccessControl(AccessLimits limits) : limits_(limits) {}

  /// Replaces the teams; the pointers of earlier decisions become invalid.
  void Assign(TeamDirectory teams) { teams_ = std::move(teams); }

  /// The configuration was the newest at `as_of`, on the clock that counts suspended time.
  void ConfirmCurrent(Instant as_of);

  /// `key` is empty if the call has none.
  AccessDecision Decide(const QueueRoute& route, std::string_view key, Instant now) const;

  /// Whether calls with a valid key are served now.
  bool MayAcceptKeys(Instant now) const;

  /// Whether the configuration may still be the newest, as far as its limits are concerned.
  bool IsConfigRecent(Instant now) const { return IsRecent(limits_.max_config_apply_time, now); }

  const TeamDirectory& teams() const { return teams_; }

 private:
  bool IsRecent(std::chrono::milliseconds limit, Instant now) const;

  const AccessLimits limits_;
  TeamDirectory teams_;
  std::optional<Instant> current_as_of_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_JOBS_ACCESS_CONTROL_H_
