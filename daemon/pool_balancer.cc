#include "daemon/pool_balancer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

constexpr std::chrono::milliseconds kAskTimeout{400};
constexpr std::chrono::milliseconds kGoneHandover{1'000};
/// A load older than this says nothing of a pool that asks for five times its mean by turns.
constexpr std::chrono::milliseconds kLoadAge{1'200};
/// A machine whose tasks have not ended by then keeps its pool.
constexpr std::chrono::milliseconds kPrepareTime{1'500};
/// A move takes 1.5 s (MigrateS) and is listed soon after.
constexpr std::chrono::milliseconds kMoveTime{6'000};
constexpr double kMilliPerUnit = 1'000.0;

}  // namespace

std::optional<CellCall> CallOnRunner(const Division& division, CellVerb verb,
                                     const ListedMachine& machine) {
  const auto cell = division.CellOfRunner(machine.pool, machine.rack);
  if (!cell) return {};
  CellCall call;
  call.verb = verb;
  call.cell = *cell;
  call.name = machine.runner;
  return call;
}

void PoolBalancer::Reset() {
  moves_.clear();
  loads_.clear();
}

void PoolBalancer::AskLoads() {
  std::set<CellNumber> asked;
  for (const PoolConfig& pool : pools_) {
    for (const CellNumber cell : division_->CellsOf(pool.service)) asked.insert(cell);
  }
  for (const CellNumber cell : asked) {
    CellCall call;
    call.verb = CellVerb::kReportLoads;
    call.cell = cell;
    router_->Call(std::move(call), std::chrono::milliseconds(0), kAskTimeout,
                  [this, cell](const CallAnswer& answer) {
                    if (answer.verdict != CallVerdict::kLoads) return;
                    loads_[cell] = {answer.loads, clock_.Now()};
                  });
  }
}

/// The load of a service over all its cells; nothing unless each has told its own lately.
std::optional<ServiceLoad> PoolBalancer::LoadOf(const std::string& service) const {
  const std::vector<CellNumber> cells = division_->CellsOf(service);
  ServiceLoad total;
  total.service = service;
  for (const CellNumber cell : cells) {
    const auto reported = loads_.find(cell);
    if (reported == loads_.end() || clock_.Now() - reported->second.at >= kLoadAge) return {};
    for (const ServiceLoad& load : reported->second.services) {
      if (load.service == service) total += load;
    }
  }
  std::sort(total.movable.begin(), total.movable.end(),
            [](const MovableRunner& a, const MovableRunner& b) { return a.runs < b.runs; });
  return cells.empty() ? std::nullopt : std::optional(std::move(total));
}

void PoolBalancer::Round(const MachineList& machines, const std::set<std::string>& reserved,
                         const OrderHolder& holder, const std::function<bool()>& may_order) {
  DropFinished(machines);
  // Returns that have not been ordered are planned anew: another pool may need the machine by now.
  std::erase_if(
      moves_, [&](const auto& entry) { return !entry.second.ordered && IsSpare(entry.second.to); });
  for (const MachineMove& move : planner_.Plan(Views(machines, reserved), clock_.Now())) {
    LogDecision("move_planned", {{"machine", move.machine}, {"from", move.from}, {"to", move.to}});
    moves_[move.machine] = {move.to, machines.at(move.machine), clock_.Now()};
  }
  Continue(holder, may_order);
}

bool PoolBalancer::IsSpare(const std::string& service) const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [&](const PoolConfig& pool) { return pool.spare && pool.service == service; });
}

std::vector<PoolView> PoolBalancer::Views(const MachineList& machines,
                                          const std::set<std::string>& reserved) const {
  std::vector<PoolView> views;
  for (const PoolConfig& pool : pools_) {
    PoolView view;
    view.service = pool.service;
    view.spare = pool.spare;
    const auto load = LoadOf(pool.service);
    view.reported = load.has_value();
    std::map<std::string, std::string> machine_of_runner;
    double cores = 0;
    std::uint32_t listed = 0;
    for (const auto& [name, machine] : machines) {
      const auto move = moves_.find(name);
      const std::string& counts_for = move == moves_.end() ? machine.pool : move->second.to;
      if (counts_for == pool.service) ++view.machines;
      if (machine.pool != pool.service) continue;
      cores += machine.cores;
      ++listed;
      if (!machine.up || move != moves_.end() || reserved.contains(name)) continue;
      if (pool.spare) view.movable.push_back(name);
      if (!machine.runner.empty()) machine_of_runner[machine.runner] = name;
    }
    view.cores_each = listed == 0 ? 0 : cores / listed;
    if (view.reported) {
      view.busy_cores = static_cast<double>(load->busy_cpu_milli) / kMilliPerUnit;
      view.arriving_cores = static_cast<double>(load->arriving_cpu_milli) / kMilliPerUnit;
      view.backlog_work = static_cast<double>(load->backlog_work) / kMilliPerUnit;
      for (const MovableRunner& runner : load->movable) {
        const auto machine = machine_of_runner.find(runner.id);
        if (machine != machine_of_runner.end() && !pool.spare) {
          view.movable.push_back(machine->second);
        }
      }
    }
    views.push_back(std::move(view));
  }
  return views;
}

void PoolBalancer::DropFinished(const MachineList& machines) {
  std::erase_if(moves_, [&](const auto& entry) {
    const auto listed = machines.find(entry.first);
    if (listed == machines.end()) return true;
    const Move& move = entry.second;
    if (move.ordered && listed->second.pool == move.to && listed->second.up) return true;
    return clock_.Now() - move.since > (move.ordered ? kMoveTime : kPrepareTime);
  });
}

void PoolBalancer::Continue(const OrderHolder& holder, const std::function<bool()>& may_order) {
  std::vector<std::string> open;
  for (const auto& [machine, move] : moves_) {
    if (!move.confirmed) open.push_back(machine);
  }
  for (const std::string& machine : open) {
    if (!may_order()) return;
    const Move& move = moves_.at(machine);
    if (move.ordered || move.before.runner.empty()) {
      Order(machine, holder);
    } else {
      Prepare(machine, holder, may_order);
    }
  }
}

void PoolBalancer::Prepare(const std::string& machine, const OrderHolder& holder,
                           const std::function<bool()>& may_order) {
  auto call = CallOnRunner(*division_, CellVerb::kReserveRunner, moves_.at(machine).before);
  if (!call) return;
  router_->Call(*std::move(call), std::chrono::milliseconds(0), kAskTimeout,
                [this, machine, holder, may_order](const CallAnswer& answer) {
                  const auto move = moves_.find(machine);
                  if (move == moves_.end() || move->second.ordered) return;
                  if (answer.verdict == CallVerdict::kReady && may_order()) Order(machine, holder);
                });
}

void PoolBalancer::Order(const std::string& machine, const OrderHolder& holder) {
  moves_.at(machine).ordered = true;
  machines_->Move(holder, machine, moves_.at(machine).to,
                  [this, machine](MachineAnswer answer) { Ordered(machine, answer); });
}

void PoolBalancer::Ordered(const std::string& machine, MachineAnswer answer) {
  const auto found = moves_.find(machine);
  if (found == moves_.end()) return;
  Move& move = found->second;
  LogDecision("move_order", {{"machine", machine},
                             {"from", move.before.pool},
                             {"to", move.to},
                             {"answer", Concat(static_cast<int>(answer))}});
  if (answer == MachineAnswer::kUnknown) return;  // Repeated in the next round.
  if (answer != MachineAnswer::kDone) {
    moves_.erase(found);
    return;
  }
  move.confirmed = true;
  if (move.before.runner.empty()) return;
  auto call = CallOnRunner(*division_, CellVerb::kRunnerGone, move.before);
  if (!call) return;
  router_->Call(*std::move(call), kGoneHandover, kAskTimeout, [](const CallAnswer&) {});
}

}  // namespace wigeonlane
