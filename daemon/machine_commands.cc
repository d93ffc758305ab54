#include "daemon/machine_commands.h"

#include <utility>

namespace wigeonlane {

void MachineCommands::Request(MachineCommand command) {
  const CommandKind kind = command.kind;
  const std::string machine = command.machine;
  window_.Enqueue(kind, machine, std::move(command), clock_.Now());
  SendNext();
}

void MachineCommands::SendNext() {
  while (auto command = window_.Dequeue(clock_.Now())) {
    if (command->confirm_send()) {
      Send(*std::move(command));
    } else {
      window_.ReturnUnsent(command->machine);
    }
  }
  ScheduleNextSend();
}

void MachineCommands::Send(MachineCommand command) {
  auto handle_response = [this, machine = command.machine,
                          on_response =
                              std::move(command.on_response)](MachineCommandResult response) {
    window_.Complete(machine);
    on_response(response);
    SendNext();
  };
  if (command.kind == CommandKind::kMaintenance) {
    machines_->StartMaintenance(command.holder, command.machine, command.wave,
                                std::move(handle_response));
  } else {
    machines_->Move(command.holder, command.machine, command.pool, std::move(handle_response));
  }
}

void MachineCommands::ScheduleNextSend() {
  const auto wait = window_.DelayUntilNext(clock_.Now());
  if (!wait) return;
  timer_.expires_after(*wait);
  timer_.async_wait([this](asio::error_code error) {
    if (!error) SendNext();
  });
}

}  // namespace wigeonlane
