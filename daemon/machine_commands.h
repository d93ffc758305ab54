/// Sends orders to machines as the platform takes them.
#ifndef WIGEONLANE_DAEMON_MACHINE_COMMANDS_H_
#define WIGEONLANE_DAEMON_MACHINE_COMMANDS_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "core/boot_clock.h"
#include "platform/machine_client.h"
#include "scheduling/command_window.h"

namespace wigeonlane {

/// An order that is wanted now.
struct MachineCommand {
  CommandKind kind = CommandKind::kMaintenance;
  LeaseHolder holder;
  std::string machine;
  std::uint64_t wave = 0;  ///< Of an upkeep.
  std::string pool;        ///< Where a move goes.
  /// Asked just before the order is sent: whether it is still wanted. It counts as sent from then.
  std::function<bool()> begin;
  std::function<void(MachineCommandResult)> done;
};

/// At most one order a machine is open; the others are dropped, as whoever wants them asks again.
/// Not safe for several threads; callbacks run on the io_context.
class MachineCommands {
 public:
  MachineCommands(asio::io_context* io, MachineClient* machines, CommandWindowOptions options)
      : machines_(machines), window_(options), timer_(*io) {}

  /// Sends `order` when there is a place for it. Neither callback is called when it is dropped.
  void Request(MachineCommand order);

  /// Drops the orders that have not been sent.
  void ClearQueue() { window_.ClearQueue(); }

 private:
  void SendNext();
  void Send(MachineCommand order);
  void ScheduleNextSend();

  BootClock clock_;
  MachineClient* machines_;
  CommandWindow<MachineCommand> window_;
  asio::steady_timer timer_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_MACHINE_COMMANDS_H_
