/// Decides which machines of a maintenance wave are taken down next, within the wave's limits of
/// machines and time.
///
/// Load pattern: a wave takes down up to half of all machines within half a minute while one pool
/// after another has its demand peak. No more machines are unavailable at once than the remaining
/// time requires, so that the other machines can serve.
#ifndef WIGEONLANE_SCHEDULING_MAINTENANCE_PLANNER_H_
#define WIGEONLANE_SCHEDULING_MAINTENANCE_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"

namespace wigeonlane {

/// An operator's request for maintenance of some machines.
struct MaintenanceWave {
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  std::chrono::milliseconds time_limit{0};  ///< For all machines of the wave.
  std::uint32_t max_machines_down = 1;      ///< At the same time.
};

/// A machine as the platform lists it.
struct ListedMachine {
  std::string machine;
  std::string pool;    ///< The service that its runner belongs to.
  std::string runner;  ///< Id of its runner; empty if it has none.
  bool up = false;
  double cores = 0;
  std::string rack = {};
};

/// Returns whether the runner that a machine had in the list row `before` has stopped, according to
/// the later row `listed`.
inline bool RunnerStopped(const ListedMachine& before, const ListedMachine& listed) {
  return !listed.up || listed.runner != before.runner;
}

enum class MaintenancePhase : std::uint8_t {
  kWaiting,
  kPreparing,         ///< No new task starts on it; its running tasks have to end or move.
  kCommandSent,       ///< The command has no response yet: the machine may be down.
  kUnexpectedlyDown,  ///< Down for an unknown reason, such as a command whose response was lost.
  kDown,
  kDone,
};

/// Plan and progress of one wave.
class WavePlan {
 public:
  WavePlan(MaintenanceWave wave, Instant first_seen);

  /// Marks machines whose maintenance a previous holder of the role has started.
  void MarkDone(const std::set<std::string>& machines);

  /// Updates the plan with a list of machines requested at `requested_at`; its rows may be as old
  /// as that. Machines that are no longer listed count as done. Machines that are down in the first
  /// list may have been taken down by a previous holder of the role: they count as unavailable
  /// until they are up, or for a few seconds, because lost machines must not block the wave.
  void HandleMachineList(const std::map<std::string, ListedMachine>& machines,
                         Instant requested_at);

  /// Returns the machines to prepare now: those already in preparation, and as many more as the
  /// remaining time requires.
  std::vector<std::string> MachinesToPrepare(const std::map<std::string, ListedMachine>& machines,
                                             Instant now);

  /// Handles that the tasks of a machine in preparation fit on no other machine now. Other machines
  /// are prepared before this one is tried again.
  void DeferMachine(const std::string& machine, Instant now);

  /// Returns whether one more machine may be taken down.
  bool MaySendCommand() const { return CountUnavailable() < wave_.max_machines_down; }
  /// Counts the machine as unavailable from now on.
  void RecordCommandSent(const std::string& machine) {
    phases_[machine] = MaintenancePhase::kCommandSent;
  }
  /// Records the command to a prepared machine as sent if one more machine may be taken down.
  /// Returns whether to send the command; also true if it repeats a command without a response.
  bool TryBeginCommand(const std::string& machine);
  /// Handles a refused command, which had no effect. If an earlier command had no response, it may
  /// still be executed, or a list may have shown that it was: the machine then counts as
  /// unavailable until the outcome is known.
  void HandleRefused(const std::string& machine);
  /// Handles a command without a response: it may be executed now or later, whatever a list has
  /// shown in the meantime.
  void HandleNoResponse(const std::string& machine);
  /// Handles that the machine was already down when the command arrived, or by a list.
  void HandleUnexpectedlyDown(const std::string& machine, Instant now);
  /// Handles that the maintenance of the machine has started.
  void HandleStarted(const std::string& machine, Instant now);

  /// Returns the machines to which a command has been sent that has no response; the command has to
  /// be repeated.
  std::vector<std::string> MachinesWithoutResponse() const;

  /// Returns the machines that are being prepared or are unavailable.
  std::set<std::string> MachinesInProgress() const;

  bool complete() const;
  /// Returns the machines whose maintenance has started, including those that are done.
  std::set<std::string> MachinesStarted() const;
  const MaintenanceWave& wave() const { return wave_; }

 private:
  void AdoptDownMachines(const std::map<std::string, ListedMachine>& machines,
                         Instant requested_at);
  std::uint32_t Count(MaintenancePhase phase) const;
  std::uint32_t CountUnavailable() const {
    return Count(MaintenancePhase::kCommandSent) + Count(MaintenancePhase::kUnexpectedlyDown) +
           Count(MaintenancePhase::kDown);
  }
  std::uint32_t WantedUnavailable(Instant now) const;

  MaintenanceWave wave_;
  Instant deadline_;
  std::map<std::string, MaintenancePhase> phases_;
  std::map<std::string, Instant> down_since_;
  std::set<std::string> unacknowledged_;           ///< Machines with a command without a response.
  std::map<std::string, Instant> deferred_until_;  ///< Machines whose tasks fitted nowhere.
  bool has_machine_list_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_MAINTENANCE_PLANNER_H_
