#include "scheduling/maintenance_planner.h"

#include <algorithm>
#include <utility>

namespace wigeonlane {
namespace {

/// A machine is down for 2 s (MaintenanceS); a list that shows it up before is out of date.
constexpr std::chrono::milliseconds kMinDownTime{1'800};
/// Three times MaintenanceS: a machine that is away for longer is lost, or away for another cause.
constexpr std::chrono::milliseconds kMaxDownTime{6'000};
/// From preparing a machine to its return: tasks of 0.6 to 1.6 s, a wait for other machines that
/// hold tasks of the same step, 2 s of upkeep, lists and joins.
constexpr std::chrono::milliseconds kMachineTurnaround{7'000};
/// Time in which room for a machine's tasks may come free: a short task or two (0.6 to 1.6 s).
constexpr std::chrono::milliseconds kDeferTime{1'000};
/// Share of the wave's time that the plan means to use; the rest covers trouble on the way.
constexpr double kPlannedTimeShare = 0.65;

}  // namespace

WavePlan::WavePlan(MaintenanceWave wave, Instant first_seen)
    : wave_(std::move(wave)),
      deadline_(first_seen +
                std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(wave_.within) * kPlannedTimeShare)) {
  for (const std::string& machine : wave_.machines) phases_[machine] = MaintenancePhase::kWaiting;
}

void WavePlan::MarkDone(const std::set<std::string>& machines) {
  for (auto& [machine, phase] : phases_) {
    if (machines.contains(machine)) phase = MaintenancePhase::kDone;
  }
}

void WavePlan::HandleMachineList(const std::map<std::string, ListedMachine>& machines,
                                 Instant asked) {
  if (!std::exchange(has_machine_list_, true)) AdoptDownMachines(machines, asked);
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) {
      phase = MaintenancePhase::kDone;
      continue;
    }
    const Duration down = asked - down_since_[machine];
    if (down < (listed->second.up ? kMinDownTime : kMaxDownTime)) continue;
    if (phase == MaintenancePhase::kDown) phase = MaintenancePhase::kDone;
    if (phase == MaintenancePhase::kUnexpectedlyDown) phase = MaintenancePhase::kWaiting;
  }
}

void WavePlan::AdoptDownMachines(const std::map<std::string, ListedMachine>& machines,
                                 Instant asked) {
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end() || listed->second.up) continue;
    if (phase != MaintenancePhase::kDone && phase != MaintenancePhase::kWaiting) continue;
    phase = phase == MaintenancePhase::kDone ? MaintenancePhase::kDown
                                             : MaintenancePhase::kUnexpectedlyDown;
    // They went down before this list, so the first that shows them up again is not out of date.
    down_since_[machine] = asked - kMinDownTime;
  }
}

std::vector<std::string> WavePlan::MachinesToPrepare(
    const std::map<std::string, ListedMachine>& machines, Instant now) {
  std::vector<std::string> chosen;
  std::map<std::string, std::uint32_t> taken;  // Machines of each pool that are being taken.
  for (const auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) continue;
    if (phase == MaintenancePhase::kPreparing) chosen.push_back(machine);
    if (phase != MaintenancePhase::kWaiting && phase != MaintenancePhase::kDone) {
      ++taken[listed->second.pool];
    }
  }
  const std::uint32_t wanted = WantedUnavailable(now);
  while (CountUnavailable() + chosen.size() < wanted) {
    // The pool that gives least now gives the next, so that no pool loses many at once.
    const std::string* next = nullptr;
    std::uint32_t least = 0;
    for (const auto& [machine, phase] : phases_) {
      const auto listed = machines.find(machine);
      if (phase != MaintenancePhase::kWaiting || listed == machines.end() || !listed->second.up) {
        continue;
      }
      const auto passed_over = deferred_until_.find(machine);
      if (passed_over != deferred_until_.end() && now < passed_over->second) continue;
      const std::uint32_t count = taken[listed->second.pool];
      if (next != nullptr && count >= least) continue;
      next = &machine;
      least = count;
    }
    if (next == nullptr) break;
    phases_[*next] = MaintenancePhase::kPreparing;
    ++taken[machines.at(*next).pool];
    chosen.push_back(*next);
  }
  return chosen;
}

bool WavePlan::BeginOrder(const std::string& machine) {
  const MaintenancePhase phase = phases_[machine];
  if (phase == MaintenancePhase::kCommandSent) return true;
  if (phase != MaintenancePhase::kPreparing || !MaySendCommand()) return false;
  RecordCommandSent(machine);
  return true;
}

void WavePlan::HandleRefused(const std::string& machine) {
  const bool open = phases_[machine] == MaintenancePhase::kCommandSent;
  if (open && !unacknowledged_.contains(machine)) phases_[machine] = MaintenancePhase::kPreparing;
}

void WavePlan::HandleNoResponse(const std::string& machine) {
  unacknowledged_.insert(machine);
  phases_[machine] = MaintenancePhase::kCommandSent;
}

void WavePlan::DeferMachine(const std::string& machine, Instant now) {
  MaintenancePhase& phase = phases_[machine];
  if (phase != MaintenancePhase::kPreparing) return;
  phase = MaintenancePhase::kWaiting;
  deferred_until_[machine] = now + kDeferTime;
}

void WavePlan::HandleUnexpectedlyDown(const std::string& machine, Instant now) {
  unacknowledged_.erase(machine);
  phases_[machine] = MaintenancePhase::kUnexpectedlyDown;
  down_since_[machine] = now;
}

void WavePlan::HandleStarted(const std::string& machine, Instant now) {
  unacknowledged_.erase(machine);
  phases_[machine] = MaintenancePhase::kDown;
  down_since_[machine] = now;
}

std::vector<std::string> WavePlan::MachinesWithoutResponse() const {
  std::vector<std::string> machines;
  for (const auto& [machine, phase] : phases_) {
    if (phase == MaintenancePhase::kCommandSent) machines.push_back(machine);
  }
  return machines;
}

std::set<std::string> WavePlan::MachinesInProgress() const {
  std::set<std::string> taken;
  for (const auto& [machine, phase] : phases_) {
    if (phase != MaintenancePhase::kWaiting && phase != MaintenancePhase::kDone)
      taken.insert(machine);
  }
  return taken;
}

bool WavePlan::complete() const {
  return std::all_of(phases_.begin(), phases_.end(),
                     [](const auto& entry) { return entry.second == MaintenancePhase::kDone; });
}

std::set<std::string> WavePlan::MachinesStarted() const {
  std::set<std::string> begun;
  for (const auto& [machine, phase] : phases_) {
    if (phase == MaintenancePhase::kDown || phase == MaintenancePhase::kDone) begun.insert(machine);
  }
  return begun;
}

std::uint32_t WavePlan::Count(MaintenancePhase phase) const {
  return static_cast<std::uint32_t>(std::count_if(
      phases_.begin(), phases_.end(), [&](const auto& entry) { return entry.second == phase; }));
}

std::uint32_t WavePlan::WantedUnavailable(Instant now) const {
  const auto left = static_cast<std::uint32_t>(phases_.size()) - Count(MaintenancePhase::kDone);
  const auto rounds = std::max<std::int64_t>((deadline_ - now) / kMachineTurnaround, 1);
  const auto needed = static_cast<std::uint32_t>((left + rounds - 1) / rounds);
  return std::min(needed, wave_.max_machines_down);
}

}  // namespace wigeonlane
