#include "daemon/runner_owner_client.h"

#include <chrono>
#include <utility>

namespace wigeonlane {
namespace {

/// Requests don't wait while a cell has no known owner, because the next round repeats them.
constexpr std::chrono::milliseconds kNoHandoverWait{0};
/// Timeout of one request. A load report is useful for about one second, and a round takes 100 ms.
constexpr std::chrono::milliseconds kRequestTimeout{400};
/// A notification waits until the cell has an owner, up to this time: without the notification, the
/// owner does not restart the runner's tasks before the runner's lease ends.
constexpr std::chrono::milliseconds kNotifyHandoverWait{1'000};
constexpr std::chrono::milliseconds kNotifyTimeout{500};

}  // namespace

void RunnerOwnerClient::Reserve(const ListedMachine& machine,
                                std::function<void(CallVerdict)> on_verdict) {
  RequestReservation(machine, CellVerb::kReserveRunner, std::move(on_verdict));
}

void RunnerOwnerClient::ReserveForMove(const ListedMachine& machine,
                                       std::function<void(CallVerdict)> on_verdict) {
  RequestReservation(machine, CellVerb::kReserveForMove, std::move(on_verdict));
}

void RunnerOwnerClient::RequestReservation(const ListedMachine& machine, CellVerb verb,
                                           std::function<void(CallVerdict)> on_verdict) {
  auto call = MakeCall(machine, verb);
  if (!call || !pending_runners_.insert(machine.runner).second) return;
  router_->Call(*std::move(call), kNoHandoverWait, kRequestTimeout,
                [this, runner = machine.runner, requested_at = clock_.Now(),
                 on_verdict = std::move(on_verdict)](const CallResponse& response) {
                  pending_runners_.erase(runner);
                  // After this process was suspended, responses are handled before expired timers,
                  // so the time is checked here.
                  if (clock_.Now() - requested_at > kRequestTimeout) return;
                  on_verdict(response.verdict);
                });
}

void RunnerOwnerClient::NotifyRunnerDown(const ListedMachine& machine) {
  auto call = MakeCall(machine, CellVerb::kRunnerMachineDown);
  if (!call) return;
  router_->Call(*std::move(call), kNotifyHandoverWait, kNotifyTimeout, [](const CallResponse&) {});
}

void RunnerOwnerClient::RequestLoads(CellNumber cell, const std::vector<TeamArrivals>& arrivals,
                                     std::function<void(const CallResponse&)> on_loads) {
  if (!pending_cells_.insert(cell).second) return;
  CellCall call;
  call.verb = CellVerb::kReportLoads;
  call.cell = cell;
  call.arrivals = arrivals;
  router_->Call(std::move(call), kNoHandoverWait, kRequestTimeout,
                [this, cell, on_loads = std::move(on_loads)](const CallResponse& response) {
                  pending_cells_.erase(cell);
                  if (response.verdict == CallVerdict::kLoads) on_loads(response);
                });
}

std::optional<CellCall> RunnerOwnerClient::MakeCall(const ListedMachine& machine,
                                                    CellVerb verb) const {
  const auto cell = cell_assignment_->CellOfRunner(machine.pool, machine.rack);
  if (!cell || machine.runner.empty()) return {};
  CellCall call;
  call.verb = verb;
  call.cell = *cell;
  call.name = machine.runner;
  return call;
}

}  // namespace wigeonlane
