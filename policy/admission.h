/// Admission of one service at one entry instance: run now, wait, or refuse at once.
#ifndef WIGEONLANE_POLICY_ADMISSION_H_
#define WIGEONLANE_POLICY_ADMISSION_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "fleet/types.h"

namespace wigeonlane {

/// Why a request was refused.
enum class RefusalReason {
  kDeadline,   ///< It would not be answered within its deadline.
  kQueueFull,  ///< No waiting place is left and nothing less urgent waits.
  kShed,       ///< It waited and gave its place to a more urgent request.
  kNoSlots,    ///< The service has no slot at all.
};

std::string_view ToString(RefusalReason reason);

/// One request as admission sees it.
struct AdmissionRequest {
  std::uint64_t id = 0;
  Urgency urgency = Urgency::kNormal;
  Instant deadline;
};

/// A refused request and when it is worth coming back.
struct Refusal {
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kDeadline;
  std::chrono::milliseconds retry_after{0};
};

/// What this instance may use for the service at the moment.
struct AdmissionLimits {
  std::uint32_t slots = 0;
  std::uint32_t queue_places = 0;
  Urgency keep_from = Urgency::kNormal;  ///< Less urgent requests use half of the places at most.

  bool operator==(const AdmissionLimits&) const = default;
};

/// Answer to an offer: the fate of the offered request and of others that it displaced.
struct AdmissionDecision {
  enum class Outcome { kRun, kWait, kRefused };

  Outcome outcome = Outcome::kRun;
  std::vector<Refusal> refused;  ///< The offered request itself or a shed one.
};

/// Slots and waiting places of one service. Not safe for several threads: each service has one,
/// under its own lock.
template <RuntimeClock ClockT>
class Admission {
 public:
  explicit Admission(const ClockT& clock) : clock_(clock) {}

  /// Decides on a new request.
  AdmissionDecision Offer(const AdmissionRequest& request);

  /// The refusal that `Offer` would give now, without any change; it sheds nobody.
  std::optional<Refusal> WouldRefuse(const AdmissionRequest& request) const;

  /// Takes back the slot of a request that held it for `service_time`. Returns waiting requests
  /// that run now.
  std::vector<AdmissionRequest> Finish(Duration service_time);

  /// A request that runs but was not sent anywhere waits again, ahead of its equals, if more run
  /// than there are slots since the limit fell. Returns whether it does.
  bool Requeue(const AdmissionRequest& request);

  /// Changes the limits. Returns waiting requests that run now.
  std::vector<AdmissionRequest> SetLimits(const AdmissionLimits& limits);

  /// Refuses waiting requests that can no longer be answered within their deadline.
  std::vector<Refusal> RefuseUnmeetableDeadlines();

  /// Slots in use; above the limit for a while after the limit fell.
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const;
  const AdmissionLimits& limits() const { return limits_; }

  /// Smoothed time that one request holds a slot; zero before the first one finished.
  Duration mean_service_time() const { return mean_service_time_; }

 private:
  static constexpr double kServiceTimeSmoothing = 0.1;
  static constexpr std::chrono::milliseconds kMinRetryAfter{50};
  static constexpr std::chrono::milliseconds kMaxRetryAfter{30'000};
  static constexpr std::uint64_t kRetrySpreadSteps = 64;

  std::vector<AdmissionRequest> StartWaiting();
  Duration EstimateWaitBehind(std::uint32_t ahead) const;
  std::uint32_t WaitingAtLeast(Urgency urgency) const;
  std::uint32_t WaitingBelow(Urgency urgency) const;
  bool HasQueuePlaceFor(Urgency urgency) const;
  bool HasFreeSlotFor(Urgency urgency) const;
  bool CanShedBelow(Urgency urgency) const;
  void ShedOneBelow(Urgency urgency, std::vector<Refusal>* refused);
  Refusal Refuse(const AdmissionRequest& request, RefusalReason reason) const;

  const ClockT& clock_;
  AdmissionLimits limits_;
  std::uint32_t running_ = 0;
  Duration mean_service_time_{0};
  std::array<std::deque<AdmissionRequest>, kUrgencyLevels> queues_;
};

inline std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kQueueFull:
      return "queue-full";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kNoSlots:
      return "no-slots";
  }
  return "unknown";
}

template <RuntimeClock ClockT>
AdmissionDecision Admission<ClockT>::Offer(const AdmissionRequest& request) {
  using Outcome = AdmissionDecision::Outcome;
  if (const auto refusal = WouldRefuse(request)) return {Outcome::kRefused, {*refusal}};
  if (HasFreeSlotFor(request.urgency)) {
    ++running_;
    return {Outcome::kRun, {}};
  }
  AdmissionDecision decision{Outcome::kWait, {}};
  if (!HasQueuePlaceFor(request.urgency)) ShedOneBelow(request.urgency, &decision.refused);
  queues_[static_cast<std::size_t>(request.urgency)].push_back(request);
  return decision;
}

template <RuntimeClock ClockT>
std::optional<Refusal> Admission<ClockT>::WouldRefuse(const AdmissionRequest& request) const {
  if (limits_.slots == 0) return Refuse(request, RefusalReason::kNoSlots);
  const bool runs_now = HasFreeSlotFor(request.urgency);
  const Duration wait =
      runs_now ? Duration(0) : EstimateWaitBehind(WaitingAtLeast(request.urgency));
  if (clock_.Now() + wait + mean_service_time_ > request.deadline) {
    return Refuse(request, RefusalReason::kDeadline);
  }
  if (!runs_now && !HasQueuePlaceFor(request.urgency) && !CanShedBelow(request.urgency)) {
    return Refuse(request, RefusalReason::kQueueFull);
  }
  return std::nullopt;
}

template <RuntimeClock ClockT>
std::vector<AdmissionRequest> Admission<ClockT>::Finish(Duration service_time) {
  --running_;
  if (mean_service_time_ == Duration(0)) {
    mean_service_time_ = service_time;
  } else {
    const auto change = static_cast<double>((service_time - mean_service_time_).count());
    mean_service_time_ += Duration(static_cast<Duration::rep>(change * kServiceTimeSmoothing));
  }
  return StartWaiting();
}

template <RuntimeClock ClockT>
bool Admission<ClockT>::Requeue(const AdmissionRequest& request) {
  if (running_ <= limits_.slots) return false;
  --running_;
  queues_[static_cast<std::size_t>(request.urgency)].push_front(request);
  return true;
}

template <RuntimeClock ClockT>
std::vector<AdmissionRequest> Admission<ClockT>::SetLimits(const AdmissionLimits& limits) {
  limits_ = limits;
  return StartWaiting();
}

template <RuntimeClock ClockT>
std::vector<Refusal> Admission<ClockT>::RefuseUnmeetableDeadlines() {
  std::vector<Refusal> refused;
  std::uint32_t ahead = 0;
  const Instant now = clock_.Now();
  for (std::size_t level = kUrgencyLevels; level-- > 0;) {
    std::deque<AdmissionRequest> kept;
    for (const AdmissionRequest& request : queues_[level]) {
      if (now + EstimateWaitBehind(ahead) + mean_service_time_ > request.deadline) {
        refused.push_back(Refuse(request, RefusalReason::kDeadline));
      } else {
        kept.push_back(request);
        ++ahead;
      }
    }
    if (kept.size() != queues_[level].size()) queues_[level] = std::move(kept);
  }
  return refused;
}

template <RuntimeClock ClockT>
std::uint32_t Admission<ClockT>::waiting() const {
  return WaitingAtLeast(Urgency::kBulk);
}

template <RuntimeClock ClockT>
std::vector<AdmissionRequest> Admission<ClockT>::StartWaiting() {
  std::vector<AdmissionRequest> runnable;
  for (std::size_t level = kUrgencyLevels; level-- > 0;) {
    auto& queue = queues_[level];
    while (running_ < limits_.slots && !queue.empty()) {
      runnable.push_back(queue.front());
      queue.pop_front();
      ++running_;
    }
  }
  return runnable;
}

template <RuntimeClock ClockT>
Duration Admission<ClockT>::EstimateWaitBehind(std::uint32_t ahead) const {
  if (limits_.slots == 0) return Duration(std::chrono::hours(1));
  return mean_service_time_ * (ahead + 1) / limits_.slots;
}

template <RuntimeClock ClockT>
std::uint32_t Admission<ClockT>::WaitingAtLeast(Urgency urgency) const {
  std::size_t count = 0;
  for (auto level = static_cast<std::size_t>(urgency); level < kUrgencyLevels; ++level) {
    count += queues_[level].size();
  }
  return static_cast<std::uint32_t>(count);
}

template <RuntimeClock ClockT>
std::uint32_t Admission<ClockT>::WaitingBelow(Urgency urgency) const {
  return WaitingAtLeast(Urgency::kBulk) - WaitingAtLeast(urgency);
}

template <RuntimeClock ClockT>
bool Admission<ClockT>::HasQueuePlaceFor(Urgency urgency) const {
  if (waiting() >= limits_.queue_places) return false;
  return urgency >= limits_.keep_from || WaitingBelow(limits_.keep_from) < limits_.queue_places / 2;
}

template <RuntimeClock ClockT>
bool Admission<ClockT>::HasFreeSlotFor(Urgency urgency) const {
  return running_ < limits_.slots && WaitingAtLeast(urgency) == 0;
}

template <RuntimeClock ClockT>
bool Admission<ClockT>::CanShedBelow(Urgency urgency) const {
  return waiting() >= limits_.queue_places && WaitingBelow(urgency) > 0;
}

template <RuntimeClock ClockT>
void Admission<ClockT>::ShedOneBelow(Urgency urgency, std::vector<Refusal>* refused) {
  for (std::size_t level = 0; level < static_cast<std::size_t>(urgency); ++level) {
    if (queues_[level].empty()) continue;
    refused->push_back(Refuse(queues_[level].back(), RefusalReason::kShed));
    queues_[level].pop_back();
    return;
  }
}

template <RuntimeClock ClockT>
Refusal Admission<ClockT>::Refuse(const AdmissionRequest& request, RefusalReason reason) const {
  // The backlog's drain time, stretched by up to one half by the request's id so that callers
  // refused together do not come back together.
  const Duration drain = EstimateWaitBehind(waiting());
  const Duration spread = drain * static_cast<Duration::rep>(request.id % kRetrySpreadSteps) /
                          static_cast<Duration::rep>(2 * kRetrySpreadSteps);
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(drain + spread);
  return {request.id, reason, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ADMISSION_H_
