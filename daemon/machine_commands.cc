#include "daemon/machine_commands.h"

#include <utility>

namespace wigeonlane {

void MachineCommands::Request(MachineCommand order) {
  const CommandKind kind = order.kind;
  const std::string machine = order.machine;
  window_.Ask(kind, machine, std::move(order), clock_.Now());
  SendNext();
}

void MachineCommands::SendNext() {
  while (auto order = window_.Dequeue(clock_.Now())) {
    if (order->begin()) {
      Send(*std::move(order));
    } else {
      window_.ReturnUnsent(order->machine);
    }
  }
  ScheduleNextSend();
}

void MachineCommands::Send(MachineCommand order) {
  auto answered = [this, machine = order.machine,
                   done = std::move(order.done)](MachineCommandResult answer) {
    window_.Close(machine);
    done(answer);
    SendNext();
  };
  if (order.kind == CommandKind::kMaintenance) {
    machines_->Upkeep(order.holder, order.machine, order.wave, std::move(answered));
  } else {
    machines_->Move(order.holder, order.machine, order.pool, std::move(answered));
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
