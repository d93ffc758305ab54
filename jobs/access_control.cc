#include "jobs/access_control.h"

#include <algorithm>

namespace wigeonlane {
namespace {

/// Part of each limit that is kept back: clocks of instances may run slower than the operator's.
constexpr int kMarginDivisor = 12;

}  // namespace

void AccessControl::ConfirmCurrent(Instant as_of) {
  current_as_of_ = current_as_of_ ? std::max(*current_as_of_, as_of) : as_of;
}

AccessDecision AccessControl::Decide(const QueueRoute& route, std::string_view key,
                                     Instant now) const {
  if (!teams_.requires_keys() || route.is_public) return {AccessVerdict::kAllowed, nullptr};
  const Team* team = key.empty() ? nullptr : teams_.FindByKey(key);
  if (team != nullptr) {
    return MayAcceptKeys(now) ? AccessDecision{AccessVerdict::kAllowed, team}
                              : AccessDecision{AccessVerdict::kUnverifiable, nullptr};
  }
  // No later configuration makes a call without a key valid.
  const bool certain = key.empty() || IsRecent(limits_.max_config_apply_time, now);
  return {certain ? AccessVerdict::kUnknownKey : AccessVerdict::kUnverifiable, nullptr};
}

bool AccessControl::MayAcceptKeys(Instant now) const {
  return !limits_.max_revocation_time || IsRecent(*limits_.max_revocation_time, now);
}

bool AccessControl::IsRecent(std::chrono::milliseconds limit, Instant now) const {
  return current_as_of_ && now < *current_as_of_ + limit - limit / kMarginDivisor;
}

}  // namespace wigeonlane
