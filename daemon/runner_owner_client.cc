#include "daemon/runner_owner_client.h"

#include <chrono>
#include <utility>

namespace wigeonlane {
namespace {

/// A question is repeated in the next round, so it waits for no owner that is yet to be found.
constexpr std::chrono::milliseconds kNoHandoverWait{0};
/// Bounds of one question: a load is of use for about a second, a round takes 100 ms.
constexpr std::chrono::milliseconds kRequestTimeout{400};
/// The owner must hear that a runner is gone, or it waits for the end of its lease.
constexpr std::chrono::milliseconds kNotifyHandoverWait{1'000};
constexpr std::chrono::milliseconds kNotifyTimeout{500};

}  // namespace

void RunnerOwnerClient::Reserve(const ListedMachine& machine,
                                std::function<void(CallVerdict)> told) {
  Ask(machine, CellVerb::kReserveRunner, std::move(told));
}

void RunnerOwnerClient::ReserveForMove(const ListedMachine& machine,
                                       std::function<void(CallVerdict)> told) {
  Ask(machine, CellVerb::kReserveForMove, std::move(told));
}

void RunnerOwnerClient::Ask(const ListedMachine& machine, CellVerb verb,
                            std::function<void(CallVerdict)> told) {
  auto call = MakeCall(machine, verb);
  if (!call || !pending_runners_.insert(machine.runner).second) return;
  router_->Call(*std::move(call), kNoHandoverWait, kRequestTimeout,
                [this, runner = machine.runner, asked = clock_.Now(),
                 told = std::move(told)](const CallResponse& answer) {
                  pending_runners_.erase(runner);
                  // After a pause, answers are read before their timers are.
                  if (clock_.Now() - asked > kRequestTimeout) return;
                  told(answer.verdict);
                });
}

void RunnerOwnerClient::NotifyRunnerDown(const ListedMachine& machine) {
  auto call = MakeCall(machine, CellVerb::kRunnerMachineDown);
  if (!call) return;
  router_->Call(*std::move(call), kNotifyHandoverWait, kNotifyTimeout, [](const CallResponse&) {});
}

void RunnerOwnerClient::RequestLoads(CellNumber cell,
                                     std::function<void(const std::vector<ServiceLoad>&)> told) {
  if (!pending_cells_.insert(cell).second) return;
  CellCall call;
  call.verb = CellVerb::kReportLoads;
  call.cell = cell;
  router_->Call(std::move(call), kNoHandoverWait, kRequestTimeout,
                [this, cell, told = std::move(told)](const CallResponse& answer) {
                  pending_cells_.erase(cell);
                  if (answer.verdict == CallVerdict::kLoads) told(answer.loads);
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
