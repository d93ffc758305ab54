/// Choice of a runner for one request, with ejection of runners that fail what they get.
#ifndef WIGEONLANE_POLICY_RUNNER_SET_H_
#define WIGEONLANE_POLICY_RUNNER_SET_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/settings.h"

namespace wigeonlane {

/// Slots of one runner that this entry instance owns for one service.
struct RunnerAllotment {
  std::string instance;
  Endpoint endpoint;
  std::uint32_t slots = 0;
  bool spare = false;  ///< Lent from the spare pool; used only when own runners are full.

  bool operator==(const RunnerAllotment&) const = default;
};

/// A chosen runner with the reason, for the decision log.
struct RunnerPick {
  std::string instance;
  Endpoint endpoint;
  std::uint32_t candidates = 0;  ///< Runners with a free owned slot.
  std::uint32_t ejected = 0;     ///< Runners passed over because they are ejected.
  std::string_view reason;
};

/// Runners of one service as one entry instance may use them. Not safe for several threads.
template <RuntimeClock ClockT>
class RunnerSet {
 public:
  static constexpr std::uint32_t kConsecutiveFailuresToEject = 5;
  static constexpr Duration kInitialEjection = std::chrono::seconds(1);
  static constexpr Duration kMaxEjection = std::chrono::seconds(30);

  explicit RunnerSet(const ClockT& clock) : clock_(clock) {}

  /// Replaces the allotments; health of known runners and requests in flight are kept.
  void Update(const std::vector<RunnerAllotment>& allotments);

  /// Picks the least loaded runner with a free owned slot that is not in `exclude`, and takes the
  /// slot. A runner after its ejection gets one request at a time until one succeeds.
  std::optional<RunnerPick> Pick(const std::vector<std::string>& exclude);

  /// Gives the slot back. A failure is an answer of the runner's own fault or none at all.
  void Finish(const std::string& instance, bool success);

  /// Sum of owned slots of runners that are not ejected; the limit for admission.
  std::uint32_t usable_slots() const;

  /// Requests in flight on an instance, also after it left the allotments.
  std::uint32_t in_flight(const std::string& instance) const;

  /// Requests in flight by instance, for those that have any.
  std::map<std::string, std::uint32_t> AllInFlight() const;

 private:
  struct Runner {
    RunnerAllotment allotment;
    std::uint32_t in_flight = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t ejections = 0;
    std::optional<Instant> ejected_until;  ///< Set while ejected or on probation.
  };

  bool IsEjected(const Runner& runner) const;
  std::uint32_t FreeSlots(const Runner& runner) const;
  bool CanEjectAnother() const;
  void Eject(Runner* runner);

  const ClockT& clock_;
  std::map<std::string, Runner> runners_;
  std::uint64_t rotation_counter_ = 0;
};

template <RuntimeClock ClockT>
void RunnerSet<ClockT>::Update(const std::vector<RunnerAllotment>& allotments) {
  for (auto& [name, runner] : runners_) runner.allotment.slots = 0;
  for (const RunnerAllotment& allotment : allotments) {
    runners_[allotment.instance].allotment = allotment;
  }
  std::erase_if(runners_, [](const auto& item) {
    return item.second.allotment.slots == 0 && item.second.in_flight == 0 &&
           !item.second.ejected_until.has_value();
  });
}

template <RuntimeClock ClockT>
std::optional<RunnerPick> RunnerSet<ClockT>::Pick(const std::vector<std::string>& exclude) {
  Runner* best = nullptr;
  RunnerPick pick;
  std::uint64_t position = 0;
  const std::uint64_t start = runners_.empty() ? 0 : rotation_counter_++ % runners_.size();
  const auto rank = [&](const Runner& runner, std::uint64_t index) {
    const double load = static_cast<double>(runner.in_flight + 1) / runner.allotment.slots;
    const std::uint64_t turn = (index + runners_.size() - start) % runners_.size();
    return std::tuple(runner.allotment.spare, load, turn);
  };
  std::uint64_t best_position = 0;
  for (auto& [name, runner] : runners_) {
    const std::uint64_t index = position++;
    if (runner.allotment.slots == 0) continue;
    if (std::find(exclude.begin(), exclude.end(), name) != exclude.end()) continue;
    if (IsEjected(runner)) {
      ++pick.ejected;
      continue;
    }
    if (FreeSlots(runner) == 0) continue;
    ++pick.candidates;
    if (best == nullptr || rank(runner, index) < rank(*best, best_position)) {
      best = &runner;
      best_position = index;
    }
  }
  if (best == nullptr) return std::nullopt;
  ++best->in_flight;
  pick.instance = best->allotment.instance;
  pick.endpoint = best->allotment.endpoint;
  pick.reason = best->ejected_until.has_value() ? "probe"
                : best->allotment.spare         ? "borrowed"
                                                : "least-loaded";
  return pick;
}

template <RuntimeClock ClockT>
void RunnerSet<ClockT>::Finish(const std::string& instance, bool success) {
  const auto found = runners_.find(instance);
  if (found == runners_.end()) return;
  Runner& runner = found->second;
  if (runner.in_flight > 0) --runner.in_flight;
  if (success) {
    runner.consecutive_failures = 0;
    runner.ejections = 0;
    runner.ejected_until.reset();
    return;
  }
  ++runner.consecutive_failures;
  const bool failed_probe = runner.ejected_until.has_value() && !IsEjected(runner);
  if (failed_probe ||
      (runner.consecutive_failures >= kConsecutiveFailuresToEject && CanEjectAnother()))
    Eject(&runner);
}

template <RuntimeClock ClockT>
std::uint32_t RunnerSet<ClockT>::usable_slots() const {
  std::uint32_t slots = 0;
  for (const auto& [name, runner] : runners_) {
    if (runner.allotment.slots == 0 || IsEjected(runner)) continue;
    slots += runner.ejected_until.has_value() ? 1 : runner.allotment.slots;
  }
  return slots;
}

template <RuntimeClock ClockT>
std::uint32_t RunnerSet<ClockT>::in_flight(const std::string& instance) const {
  const auto found = runners_.find(instance);
  return found == runners_.end() ? 0 : found->second.in_flight;
}

template <RuntimeClock ClockT>
std::map<std::string, std::uint32_t> RunnerSet<ClockT>::AllInFlight() const {
  std::map<std::string, std::uint32_t> all;
  for (const auto& [name, runner] : runners_) {
    if (runner.in_flight > 0) all[name] = runner.in_flight;
  }
  return all;
}

template <RuntimeClock ClockT>
bool RunnerSet<ClockT>::IsEjected(const Runner& runner) const {
  return runner.ejected_until.has_value() && clock_.Now() < *runner.ejected_until;
}

template <RuntimeClock ClockT>
std::uint32_t RunnerSet<ClockT>::FreeSlots(const Runner& runner) const {
  const std::uint32_t slots = runner.ejected_until.has_value() ? 1 : runner.allotment.slots;
  return slots > runner.in_flight ? slots - runner.in_flight : 0;
}

template <RuntimeClock ClockT>
bool RunnerSet<ClockT>::CanEjectAnother() const {
  // At most half of the runners are out at once: a pool that fails as a whole is not emptied.
  std::size_t present = 0;
  std::size_t out = 0;
  for (const auto& [name, runner] : runners_) {
    if (runner.allotment.slots == 0) continue;
    ++present;
    if (runner.ejected_until.has_value()) ++out;
  }
  return 2 * (out + 1) <= present;
}

template <RuntimeClock ClockT>
void RunnerSet<ClockT>::Eject(Runner* runner) {
  const Duration period =
      std::min(kMaxEjection, kInitialEjection * (1 << std::min(runner->ejections, 5U)));
  ++runner->ejections;
  runner->consecutive_failures = 0;
  runner->ejected_until = clock_.Now() + period;
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_RUNNER_SET_H_
