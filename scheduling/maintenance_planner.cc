#include "scheduling/maintenance_planner.h"

#include <algorithm>
#include <utility>

namespace wigeonlane {
namespace {

/// A machine is down for 2 s (MaintenanceS); a list that shows it up earlier is out of date.
constexpr std::chrono::milliseconds kMinDownTime{1'800};
/// Three times MaintenanceS: a machine that is down for longer is lost or down for another reason.
constexpr std::chrono::milliseconds kMaxDownTime{6'000};
/// Time from the start of a machine's preparation to its return: running tasks of 0.6 to 1.6 s, a
/// wait for other machines with tasks of the same step, 2 s of maintenance, and the delays until
/// the machine is listed and its runner has joined.
constexpr std::chrono::milliseconds kMachineTurnaround{7'000};
/// Time in which capacity for a machine's tasks may become free: one or two short tasks (0.6 to
/// 1.6 s).
constexpr std::chrono::milliseconds kDeferTime{1'000};
/// Share of the wave's time limit in which the plan completes the wave; the rest covers delays.
constexpr double kPlannedTimeShare = 0.65;

}  // namespace

WavePlan::WavePlan(MaintenanceWave wave, Instant first_seen)
    : wave_(std::move(wave)),
      deadline_(first_seen + std::chrono::duration_cast<Duration>(
                                 std::chrono::duration<double, std::milli>(wave_.time_limit) *
                                 kPlannedTimeShare)) {
  for (const std::string& machine : wave_.machines) phases_[machine] = MaintenancePhase::kWaiting;
}

void WavePlan::MarkDone(const std::set<std::string>& machines) {
  for (auto& [machine, phase] : phases_) {
    if (machines.contains(machine)) phase = MaintenancePhase::kDone;
  }
}

void WavePlan::HandleMachineList(const std::map<std::string, ListedMachine>& machines,
                                 Instant requested_at) {
  if (!std::exchange(has_machine_list_, true)) AdoptDownMachines(machines, requested_at);
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) {
      phase = MaintenancePhase::kDone;
      continue;
    }
    const Duration down_time = requested_at - down_since_[machine];
    if (down_time < (listed->second.up ? kMinDownTime : kMaxDownTime)) continue;
    if (phase == MaintenancePhase::kDown) phase = MaintenancePhase::kDone;
    if (phase == MaintenancePhase::kUnexpectedlyDown) phase = MaintenancePhase::kWaiting;
  }
}

void WavePlan::AdoptDownMachines(const std::map<std::string, ListedMachine>& machines,
                                 Instant requested_at) {
  for (auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end() || listed->second.up) continue;
    if (phase != MaintenancePhase::kDone && phase != MaintenancePhase::kWaiting) continue;
    phase = phase == MaintenancePhase::kDone ? MaintenancePhase::kDown
                                             : MaintenancePhase::kUnexpectedlyDown;
    // The machine went down before this list, so the next list that shows it up is not out of date.
    down_since_[machine] = requested_at - kMinDownTime;
  }
}

std::vector<std::string> WavePlan::MachinesToPrepare(
    const std::map<std::string, ListedMachine>& machines, Instant now) {
  std::vector<std::string> chosen;
  std::map<std::string, std::uint32_t> in_progress;  // Number of machines by pool.
  for (const auto& [machine, phase] : phases_) {
    const auto listed = machines.find(machine);
    if (listed == machines.end()) continue;
    if (phase == MaintenancePhase::kPreparing) chosen.push_back(machine);
    if (phase != MaintenancePhase::kWaiting && phase != MaintenancePhase::kDone) {
      ++in_progress[listed->second.pool];
    }
  }
  const std::uint32_t wanted = WantedUnavailable(now);
  while (CountUnavailable() + chosen.size() < wanted) {
    // The next machine comes from the pool with the fewest in progress, so that no pool loses many
    // machines at once.
    const std::string* next = nullptr;
    std::uint32_t lowest_count = 0;
    for (const auto& [machine, phase] : phases_) {
      const auto listed = machines.find(machine);
      if (phase != MaintenancePhase::kWaiting || listed == machines.end() || !listed->second.up) {
        continue;
      }
      const auto deferred = deferred_until_.find(machine);
      if (deferred != deferred_until_.end() && now < deferred->second) continue;
      const std::uint32_t count = in_progress[listed->second.pool];
      if (next != nullptr && count >= lowest_count) continue;
      next = &machine;
      lowest_count = count;
    }
    if (next == nullptr) break;
    phases_[*next] = MaintenancePhase::kPreparing;
    ++in_progress[machines.at(*next).pool];
    chosen.push_back(*next);
  }
  return chosen;
}

bool WavePlan::TryBeginCommand(const std::string& machine) {
  const MaintenancePhase phase = phases_[machine];
  if (phase == MaintenancePhase::kCommandSent) return true;
  if (phase != MaintenancePhase::kPreparing || !MaySendCommand()) return false;
  RecordCommandSent(machine);
  return true;
}

void WavePlan::HandleRefused(const std::string& machine) {
  const bool command_sent = phases_[machine] == MaintenancePhase::kCommandSent;
  if (command_sent && !unacknowledged_.contains(machine)) {
    phases_[machine] = MaintenancePhase::kPreparing;
  }
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
  std::set<std::string> in_progress;
  for (const auto& [machine, phase] : phases_) {
    if (phase != MaintenancePhase::kWaiting && phase != MaintenancePhase::kDone) {
      in_progress.insert(machine);
    }
  }
  return in_progress;
}

bool WavePlan::complete() const {
  return std::all_of(phases_.begin(), phases_.end(),
                     [](const auto& entry) { return entry.second == MaintenancePhase::kDone; });
}

std::set<std::string> WavePlan::MachinesStarted() const {
  std::set<std::string> started;
  for (const auto& [machine, phase] : phases_) {
    if (phase == MaintenancePhase::kDown || phase == MaintenancePhase::kDone) {
      started.insert(machine);
    }
  }
  return started;
}

std::uint32_t WavePlan::Count(MaintenancePhase phase) const {
  return static_cast<std::uint32_t>(std::count_if(
      phases_.begin(), phases_.end(), [&](const auto& entry) { return entry.second == phase; }));
}

std::uint32_t WavePlan::WantedUnavailable(Instant now) const {
  const auto remaining =
      static_cast<std::uint32_t>(phases_.size()) - Count(MaintenancePhase::kDone);
  const auto rounds = std::max<std::int64_t>((deadline_ - now) / kMachineTurnaround, 1);
  const auto needed = static_cast<std::uint32_t>((remaining + rounds - 1) / rounds);
  return std::min(needed, wave_.max_machines_down);
}

}  // namespace wigeonlane
