/// Admission control for one service at one entry instance: a request runs, waits or is refused.
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

/// Reason for the refusal of a request.
enum class RefusalReason {
  kDeadline,   ///< The request would not finish within its deadline.
  kQueueFull,  ///< The queue is full and holds no less urgent request.
  kShed,       ///< A more urgent request took the queue place of this one.
  kNoSlots,    ///< This instance has no slot for the service.
};

std::string_view ToString(RefusalReason reason);

/// The properties of a request that admission uses.
struct AdmissionRequest {
  std::uint64_t id = 0;
  Urgency urgency = Urgency::kNormal;
  Instant deadline;
};

/// A refused request with the delay after which the caller may retry.
struct Refusal {
  std::uint64_t id = 0;
  RefusalReason reason = RefusalReason::kDeadline;
  std::chrono::milliseconds retry_after{0};
};

/// Slots and queue places that this instance may use for the service.
struct AdmissionLimits {
  std::uint32_t slots = 0;
  std::uint32_t queue_places = 0;
  Urgency keep_from = Urgency::kNormal;  ///< Less urgent requests use at most half of the places.

  bool operator==(const AdmissionLimits&) const = default;
};

/// Result of `Offer`: the outcome of the offered request, and the requests refused because of it.
struct AdmissionDecision {
  enum class Outcome { kRun, kWait, kRefused };

  Outcome outcome = Outcome::kRun;
  std::vector<Refusal> refused;  ///< The offered request itself or a shed request.
};

/// Manages slots and queue places of one service. Not thread-safe: each service has its own
/// instance under its own lock.
template <RuntimeClock ClockT>
class Admission {
 public:
  explicit Admission(const ClockT& clock) : clock_(clock) {}

  /// Runs, queues or refuses a new request. May shed a less urgent request.
  AdmissionDecision Offer(const AdmissionRequest& request);

  /// Returns the refusal that `Offer` would give now. Changes nothing and sheds no request.
  std::optional<Refusal> WouldRefuse(const AdmissionRequest& request) const;

  /// Frees the slot of a request that held it for `service_time`. Returns the waiting requests that
  /// start now.
  std::vector<AdmissionRequest> Finish(Duration service_time);

  /// Puts an admitted request that was not sent yet back at the front of the queue of its urgency,
  /// if more requests run than there are slots because the limit was lowered. Returns whether it
  /// did.
  bool Requeue(const AdmissionRequest& request);

  /// Changes the limits. Returns the waiting requests that start now.
  std::vector<AdmissionRequest> SetLimits(const AdmissionLimits& limits);

  /// Refuses waiting requests that can no longer finish within their deadline.
  std::vector<Refusal> RefuseUnmeetableDeadlines();

  /// Slots in use. Exceeds the limit after the limit was lowered, until enough requests finish.
  std::uint32_t running() const { return running_; }
  std::uint32_t waiting() const;
  const AdmissionLimits& limits() const { return limits_; }

  /// Smoothed time that a request holds a slot; zero until the first request has finished.
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
  // The retry delay is the time to drain the queue, extended by up to one half depending on the
  // request's id, so that callers refused together do not retry together.
  const Duration drain_time = EstimateWaitBehind(waiting());
  const Duration spread = drain_time * static_cast<Duration::rep>(request.id % kRetrySpreadSteps) /
                          static_cast<Duration::rep>(2 * kRetrySpreadSteps);
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(drain_time + spread);
  return {request.id, reason, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter)};
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ADMISSION_H_
