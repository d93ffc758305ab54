/// Sends maintenance and move commands to machines at the rate that the platform accepts.
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

/// A command to one machine, with its callbacks.
struct MachineCommand {
  CommandKind kind = CommandKind::kMaintenance;
  LeaseHolder holder;
  std::string machine;
  std::uint64_t wave = 0;  ///< Maintenance wave; unused for a move.
  std::string pool;        ///< Destination of a move; unused for maintenance.
  /// Called just before the command is sent. Returns whether to send it; if so, the callee must
  /// treat it as sent from then on.
  std::function<bool()> confirm_send;
  std::function<void(MachineCommandResult)>
      on_response;  ///< Called with the response of the platform.
};

/// Keeps at most one command open per machine. Further commands to that machine are dropped,
/// because the planners request them again in their next round. Not safe for several threads;
/// callbacks run on the io_context.
class MachineCommands {
 public:
  MachineCommands(asio::io_context* io, MachineClient* machines, CommandWindowOptions options)
      : machines_(machines), window_(options), timer_(*io) {}

  /// Queues `command` and sends it when the command window permits. If the command is dropped,
  /// neither of its callbacks is called.
  void Request(MachineCommand command);

  /// Drops the commands that have not been sent.
  void ClearQueue() { window_.ClearQueue(); }

 private:
  void SendNext();
  void Send(MachineCommand command);
  void ScheduleNextSend();

  BootClock clock_;
  MachineClient* machines_;
  CommandWindow<MachineCommand> window_;
  asio::steady_timer timer_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_DAEMON_MACHINE_COMMANDS_H_
