#include "daemon/runner_owners.h"

#include <chrono>
#include <utility>

namespace wigeonlane {
namespace {

/// A question is repeated in the next round, so it waits for no owner that is yet to be found.
constexpr std::chrono::milliseconds kNoHandover{0};
/// Bounds of one question: a load is of use for about a second, a round takes 100 ms.
constexpr std::chrono::milliseconds kAskTimeout{400};
/// The owner must hear that a runner is gone, or it waits for the end of its lease.
constexpr std::chrono::milliseconds kGoneHandover{1'000};
constexpr std::chrono::milliseconds kGoneTimeout{500};

}  // namespace

void RunnerOwners::Reserve(const ListedMachine& machine, std::function<void(CallVerdict)> told) {
  Ask(machine, CellVerb::kReserveRunner, std::move(told));
}

void RunnerOwners::ReserveForMove(const ListedMachine& machine,
                                  std::function<void(CallVerdict)> told) {
  Ask(machine, CellVerb::kReserveForMove, std::move(told));
}

void RunnerOwners::Ask(const ListedMachine& machine, CellVerb verb,
                       std::function<void(CallVerdict)> told) {
  auto call = CallOn(machine, verb);
  if (!call || !asked_runners_.insert(machine.runner).second) return;
  router_->Call(*std::move(call), kNoHandover, kAskTimeout,
                [this, runner = machine.runner, asked = clock_.Now(),
                 told = std::move(told)](const CallResponse& answer) {
                  asked_runners_.erase(runner);
                  // After a pause, answers are read before their timers are.
                  if (clock_.Now() - asked > kAskTimeout) return;
                  told(answer.verdict);
                });
}

void RunnerOwners::TellGone(const ListedMachine& machine) {
  auto call = CallOn(machine, CellVerb::kRunnerGone);
  if (!call) return;
  router_->Call(*std::move(call), kGoneHandover, kGoneTimeout, [](const CallResponse&) {});
}

void RunnerOwners::AskLoads(CellNumber cell,
                            std::function<void(const std::vector<ServiceLoad>&)> told) {
  if (!asked_cells_.insert(cell).second) return;
  CellCall call;
  call.verb = CellVerb::kReportLoads;
  call.cell = cell;
  router_->Call(std::move(call), kNoHandover, kAskTimeout,
                [this, cell, told = std::move(told)](const CallResponse& answer) {
                  asked_cells_.erase(cell);
                  if (answer.verdict == CallVerdict::kLoads) told(answer.loads);
                });
}

std::optional<CellCall> RunnerOwners::CallOn(const ListedMachine& machine, CellVerb verb) const {
  const auto cell = division_->CellOfRunner(machine.pool, machine.rack);
  if (!cell || machine.runner.empty()) return {};
  CellCall call;
  call.verb = verb;
  call.cell = *cell;
  call.name = machine.runner;
  return call;
}

}  // namespace wigeonlane
