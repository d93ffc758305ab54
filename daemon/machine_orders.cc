#include "daemon/machine_orders.h"

#include <utility>

namespace wigeonlane {

void MachineOrders::Request(MachineOrder order) {
  const OrderKind kind = order.kind;
  const std::string machine = order.machine;
  window_.Ask(kind, machine, std::move(order), clock_.Now());
  SendNext();
}

void MachineOrders::SendNext() {
  while (auto order = window_.TakeNext(clock_.Now())) {
    if (order->begin()) {
      Send(*std::move(order));
    } else {
      window_.TakeBack(order->machine);
    }
  }
  SendLater();
}

void MachineOrders::Send(MachineOrder order) {
  auto answered = [this, machine = order.machine,
                   done = std::move(order.done)](MachineCommandResult answer) {
    window_.Close(machine);
    done(answer);
    SendNext();
  };
  if (order.kind == OrderKind::kUpkeep) {
    machines_->StartMaintenance(order.holder, order.machine, order.wave, std::move(answered));
  } else {
    machines_->Move(order.holder, order.machine, order.pool, std::move(answered));
  }
}

void MachineOrders::SendLater() {
  const auto wait = window_.TimeToNext(clock_.Now());
  if (!wait) return;
  timer_.expires_after(*wait);
  timer_.async_wait([this](asio::error_code error) {
    if (!error) SendNext();
  });
}

}  // namespace wigeonlane
