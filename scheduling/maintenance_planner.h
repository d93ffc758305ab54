/// Which machines of a maintenance wave are taken next, within the wave's cap and time.
///
/// Load pattern: a wave takes up to half of all machines within half a minute while pools peak in
/// turn. No more machines are away at once than the time left asks for, so that the rest serve.
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

/// A request for upkeep of some machines.
struct MaintenanceWave {
  std::uint64_t number = 0;
  std::vector<std::string> machines;
  std::chrono::milliseconds within{0};
  std::uint32_t max_machines_down = 1;
};

/// A machine as the platform lists it.
struct ListedMachine {
  std::string machine;
  std::string pool;    ///< The service that its runner belongs to.
  std::string runner;  ///< Id of its runner; empty when it has none.
  bool up = false;
  double cores = 0;
  std::string rack = {};
};

/// Whether the runner that a machine had is gone, by a later list.
inline bool RunnerStopped(const ListedMachine& before, const ListedMachine& listed) {
  return !listed.up || listed.runner != before.runner;
}

enum class MaintenancePhase : std::uint8_t {
  kWaiting,
  kPreparing,         ///< Nothing new is started there; its tasks are waited for.
  kCommandSent,       ///< The order is under way or was not answered: it may be down.
  kUnexpectedlyDown,  ///< Found not up: perhaps down by an order that was not answered or recorded.
  kDown,
  kDone,
};

/// Progress of one wave.
class WavePlan {
 public:
  WavePlan(MaintenanceWave wave, Instant first_seen);

  /// Takes over machines whose upkeep is known to have begun earlier.
  void MarkDone(const std::set<std::string>& machines);

  /// Takes the list of machines that was asked for at `asked` into account: its rows may be as old.
  /// Machines that are not listed any more need nothing. Those that the first list shows as not up
  /// may be down by a former holder's orders: they count as away until they are up, or for a few
  /// seconds, as lost machines must not hold the wave up.
  void HandleMachineList(const std::map<std::string, ListedMachine>& machines, Instant asked);

  /// Machines to prepare now: those being prepared and as many more as should be.
  std::vector<std::string> MachinesToPrepare(const std::map<std::string, ListedMachine>& machines,
                                             Instant now);

  /// The tasks of a machine that is being prepared have no other place now. Others are prepared
  /// before it is tried again.
  void DeferMachine(const std::string& machine, Instant now);

  /// Whether one more machine may be ordered down.
  bool MaySendCommand() const { return CountUnavailable() < wave_.max_machines_down; }
  void RecordCommandSent(const std::string& machine) {
    phases_[machine] = MaintenancePhase::kCommandSent;
  }
  /// Marks a machine that has been prepared as ordered, if one more may be taken down. Returns
  /// whether to send the order, also when it repeats one without an answer.
  bool BeginOrder(const std::string& machine);
  /// The order was refused and nothing was done. An earlier one without an answer may still be
  /// carried out, or a list may have shown the machine down by it meanwhile: the machine counts as
  /// away until that outcome is known.
  void HandleRefused(const std::string& machine);
  /// There was no answer: the order may be carried out, now or later, whatever a list has shown
  /// meanwhile.
  void HandleNoResponse(const std::string& machine);
  /// The machine was not up when the order came.
  void HandleUnexpectedlyDown(const std::string& machine, Instant now);
  void HandleStarted(const std::string& machine, Instant now);

  /// Orders whose outcome is unknown and which are to be repeated.
  std::vector<std::string> MachinesWithoutResponse() const;

  /// Machines that are being prepared or are away.
  std::set<std::string> MachinesInProgress() const;

  bool complete() const;
  std::set<std::string> MachinesStarted() const;
  const MaintenanceWave& wave() const { return wave_; }

 private:
  void AdoptDownMachines(const std::map<std::string, ListedMachine>& machines, Instant asked);
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
  std::set<std::string> unacknowledged_;           ///< An order to them was sent and not answered.
  std::map<std::string, Instant> deferred_until_;  ///< By machine; has had no place.
  bool has_machine_list_ = false;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_SCHEDULING_MAINTENANCE_PLANNER_H_
