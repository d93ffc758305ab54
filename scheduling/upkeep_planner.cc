#include "scheduling/upkeep_planner.h"

#include <algorithm>
#include <utility>

namespace wigeonlane {
namespace {

/// A machine is down for 2 s (MaintenanceS); a list that shows it up before is out of date.
constexpr std::chrono::milliseconds kLeastDown{1'800};
/// Three times MaintenanceS: a machine that is away for longer is lost, or away for another cause.
constexpr std::chrono::milliseconds kLongestDown{6'000};
/// From preparing a machine to its return: tasks of 0.6 to 1.6 s, a wait for other machines that
/// hold tasks of the same step, 2 s of upkeep, lists and joins.
constexpr std::chrono::milliseconds kRound{7'000};
/// Time in which room for a machine's tasks may come free: a short task or two (0.6 to 1.6 s).
constexpr std::chrono::milliseconds kPassedOver{1'000};
/// Share of the wave's time that the plan means to use; the rest covers trouble on the way.
constexpr double kPlannedShare = 0.65;

}  // namespace

WavePlan::WavePlan(UpkeepWave wave, Instant first_seen)
    : wave_(std::move(wave)),
      deadline_(first_seen +
                std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(wave_.within) * kPlannedShare)) {
  for (const std::string& machine : wave_.machines) phases_[machine] = UpkeepPhase::kWaiting;
}

void WavePlan::MarkDone(const std::set<std::string>& machines) {
  for (auto& [machine, phase] : phases_) {
    if (machines.contains(machine)) phase = UpkeepPhase::kDone;
  }
}

void WavePlan::TakeMachines(const std::map<std::string, ListedMachine>& machines, Instant asked) {
  if (!std::exchange(listed_before_, true)) TakeOverAway(machines, asked);
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) {
      phase = UpkeepPhase::kDone;
      continue;
    }
    const Duration down = asked - down_since_[machine];
    if (down < (listed->second.up ? kLeastDown : kLongestDown)) continue;
    if (phase == UpkeepPhase::kDown) phase = UpkeepPhase::kDone;
    if (phase == UpkeepPhase::kBusy) phase = UpkeepPhase::kWaiting;
  }
}

void WavePlan::TakeOverAway(const std::map<std::string, ListedMachine>& machines, Instant asked) {
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end() || listed->second.up) continue;
    if (phase != UpkeepPhase::kDone && phase != UpkeepPhase::kWaiting) continue;
    phase = phase == UpkeepPhase::kDone ? UpkeepPhase::kDown : UpkeepPhase::kBusy;
    // They went down before this list, so the first that shows them up again is not out of date.
    down_since_[machine] = asked - kLeastDown;
  }
}

std::vector<std::string> WavePlan::ToPrepare(const std::map<std::string, ListedMachine>& machines,
                                             Instant now) {
  std::vector<std::string> chosen;
  std::map<std::string, std::uint32_t> taken;  // Machines of each pool that are being taken.
  for (const auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) continue;
    if (phase == UpkeepPhase::kPreparing) chosen.push_back(machine);
    if (phase != UpkeepPhase::kWaiting && phase != UpkeepPhase::kDone) {
      ++taken[listed->second.pool];
    }
  }
  const std::uint32_t wanted = WantedAtOnce(now);
  while (Away() + chosen.size() < wanted) {
    // The pool that gives least now gives the next, so that no pool loses many at once.
    const std::string* next = nullptr;
    std::uint32_t least = 0;
    for (const auto& [machine, phase] : phases_) {
      const auto listed = machines.find(machine);
      if (phase != UpkeepPhase::kWaiting || listed == machines.end() || !listed->second.up) {
        continue;
      }
      const auto passed_over = passed_over_until_.find(machine);
      if (passed_over != passed_over_until_.end() && now < passed_over->second) continue;
      const std::uint32_t count = taken[listed->second.pool];
      if (next != nullptr && count >= least) continue;
      next = &machine;
      least = count;
    }
    if (next == nullptr) break;
    phases_[*next] = UpkeepPhase::kPreparing;
    ++taken[machines.at(*next).pool];
    chosen.push_back(*next);
  }
  return chosen;
}

bool WavePlan::BeginOrder(const std::string& machine) {
  const UpkeepPhase phase = phases_[machine];
  if (phase == UpkeepPhase::kOrdered) return true;
  if (phase != UpkeepPhase::kPreparing || !MayOrder()) return false;
  Ordered(machine);
  return true;
}

void WavePlan::Refused(const std::string& machine) {
  const bool open = phases_[machine] == UpkeepPhase::kOrdered;
  if (open && !uncertain_.contains(machine)) phases_[machine] = UpkeepPhase::kPreparing;
}

void WavePlan::Unknown(const std::string& machine) {
  uncertain_.insert(machine);
  phases_[machine] = UpkeepPhase::kOrdered;
}

void WavePlan::NoPlace(const std::string& machine, Instant now) {
  UpkeepPhase& phase = phases_[machine];
  if (phase != UpkeepPhase::kPreparing) return;
  phase = UpkeepPhase::kWaiting;
  passed_over_until_[machine] = now + kPassedOver;
}

void WavePlan::FoundBusy(const std::string& machine, Instant now) {
  uncertain_.erase(machine);
  phases_[machine] = UpkeepPhase::kBusy;
  down_since_[machine] = now;
}

void WavePlan::Began(const std::string& machine, Instant now) {
  uncertain_.erase(machine);
  phases_[machine] = UpkeepPhase::kDown;
  down_since_[machine] = now;
}

std::vector<std::string> WavePlan::Unanswered() const {
  std::vector<std::string> machines;
  for (const auto& [machine, phase] : phases_) {
    if (phase == UpkeepPhase::kOrdered) machines.push_back(machine);
  }
  return machines;
}

std::set<std::string> WavePlan::Taken() const {
  std::set<std::string> taken;
  for (const auto& [machine, phase] : phases_) {
    if (phase != UpkeepPhase::kWaiting && phase != UpkeepPhase::kDone) taken.insert(machine);
  }
  return taken;
}

bool WavePlan::complete() const {
  return std::all_of(phases_.begin(), phases_.end(),
                     [](const auto& entry) { return entry.second == UpkeepPhase::kDone; });
}

std::set<std::string> WavePlan::Begun() const {
  std::set<std::string> begun;
  for (const auto& [machine, phase] : phases_) {
    if (phase == UpkeepPhase::kDown || phase == UpkeepPhase::kDone) begun.insert(machine);
  }
  return begun;
}

std::uint32_t WavePlan::Count(UpkeepPhase phase) const {
  return static_cast<std::uint32_t>(std::count_if(
      phases_.begin(), phases_.end(), [&](const auto& entry) { return entry.second == phase; }));
}

std::uint32_t WavePlan::WantedAtOnce(Instant now) const {
  const auto left = static_cast<std::uint32_t>(phases_.size()) - Count(UpkeepPhase::kDone);
  const auto rounds = std::max<std::int64_t>((deadline_ - now) / kRound, 1);
  const auto needed = static_cast<std::uint32_t>((left + rounds - 1) / rounds);
  return std::min(needed, wave_.most_at_once);
}

}  // namespace wigeonlane
