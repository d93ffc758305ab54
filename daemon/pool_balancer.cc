#include "daemon/pool_balancer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// A load older than this says nothing of a pool that asks for five times its mean by turns.
constexpr std::chrono::milliseconds kMaxLoadAge{1'200};
/// A machine whose tasks have not ended by then keeps its pool.
constexpr std::chrono::milliseconds kMaxPreparationTime{1'500};
/// A move takes 1.5 s (MigrateS) and is listed soon after.
constexpr std::chrono::milliseconds kMaxMoveTime{6'000};
constexpr double kMilliPerUnit = 1'000.0;

}  // namespace

void PoolBalancer::Reset() {
  moves_.clear();
  loads_.clear();
}

void PoolBalancer::RequestLoads() {
  std::set<CellNumber> asked;
  for (const PoolConfig& pool : pools_) {
    for (const CellNumber cell : cell_assignment_->CellsOf(pool.service)) asked.insert(cell);
  }
  for (const CellNumber cell : asked) {
    owners_->RequestLoads(cell, [this, cell](const std::vector<ServiceLoad>& loads) {
      loads_[cell] = {loads, clock_.Now()};
    });
  }
}

/// The load of a service in one of its cells; nothing unless that was told lately.
std::optional<ServiceLoad> PoolBalancer::LoadOf(const std::string& service, CellNumber cell) const {
  const auto reported = loads_.find(cell);
  if (reported == loads_.end() || clock_.Now() - reported->second.at >= kMaxLoadAge) return {};
  for (const ServiceLoad& load : reported->second.services) {
    if (load.service == service) return load;
  }
  return ServiceLoad();
}

void PoolBalancer::Round(const MachineList& machines, const std::set<std::string>& reserved,
                         const LeaseHolder& holder, const std::function<bool()>& may_send) {
  ResolveUnacknowledged(machines);
  RemoveFinishedMoves(machines);
  // Returns that have not been ordered are planned anew: another pool may need the machine by now.
  std::erase_if(
      moves_, [&](const auto& entry) { return !entry.second.ordered && IsSpare(entry.second.to); });
  for (const MachineMove& move : planner_.Plan(Views(machines, reserved), clock_.Now())) {
    LogDecision("move_planned", {{"machine", move.machine}, {"from", move.from}, {"to", move.to}});
    moves_[move.machine] = {move.to, machines.at(move.machine), clock_.Now()};
  }
  Continue(holder, may_send);
}

bool PoolBalancer::IsSpare(const std::string& service) const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [&](const PoolConfig& pool) { return pool.spare && pool.service == service; });
}

/// The parts of a pool without its machines. A spare pool is one part: its machines run nothing.
std::vector<PoolView> PoolBalancer::SegmentsOf(const PoolConfig& pool) const {
  std::vector<PoolView> parts;
  const std::vector<CellNumber> cells = cell_assignment_->CellsOf(pool.service);
  for (const CellNumber cell : cells) {
    PoolView part;
    part.service = pool.service;
    part.spare = pool.spare;
    part.part = cell;
    if (!pool.spare && cells.size() > 1) part.racks.emplace();
    if (const auto load = LoadOf(pool.service, cell)) {
      part.reported = true;
      part.busy_cores = static_cast<double>(load->busy_cpu_milli) / kMilliPerUnit;
      part.long_running_cores = static_cast<double>(load->long_running_cpu_milli) / kMilliPerUnit;
      part.arrival_cores = static_cast<double>(load->arriving_cpu_milli) / kMilliPerUnit;
      part.backlog_work = static_cast<double>(load->backlog_work) / kMilliPerUnit;
      part.runners = load->runners;
      part.further_machines = load->further_machines;
    }
    parts.push_back(std::move(part));
    if (pool.spare) break;
  }
  return parts;
}

std::vector<PoolView> PoolBalancer::Views(const MachineList& machines,
                                          const std::set<std::string>& reserved) const {
  std::vector<PoolView> views;
  for (const PoolConfig& pool : pools_) {
    for (PoolView& part : SegmentsOf(pool)) views.push_back(std::move(part));
  }
  const auto view_of = [&](const std::string& service, const std::string& rack) -> PoolView* {
    const auto cell = cell_assignment_->CellOfRunner(service, rack);
    for (PoolView& view : views) {
      if (view.service == service && (view.spare || view.part == cell)) return &view;
    }
    return nullptr;
  };
  std::map<const PoolView*, double> cores;
  std::map<const PoolView*, std::uint32_t> listed;
  std::map<std::string, const ListedMachine*> machine_of_runner;
  std::set<std::string> racks;
  for (const auto& [name, machine] : machines) {
    racks.insert(machine.rack);
    const auto move = moves_.find(name);
    PoolView* counted =
        view_of(move == moves_.end() ? machine.pool : move->second.to, machine.rack);
    if (counted != nullptr) ++counted->machines;
    PoolView* view = view_of(machine.pool, machine.rack);
    if (counted != nullptr && counted != view) ++counted->present;
    if (view == nullptr) continue;
    const bool arriving = move != moves_.end() && counted == view;
    if (machine.up || arriving) ++view->present;
    cores[view] += machine.cores;
    ++listed[view];
    if (!machine.up || move != moves_.end() || reserved.contains(name)) continue;
    if (view->spare) view->movable.push_back({name, machine.rack});
    if (!machine.runner.empty()) machine_of_runner[machine.runner] = &machine;
  }
  for (PoolView& view : views) {
    view.cores_per_machine = listed[&view] == 0 ? 0 : cores[&view] / listed[&view];
    if (view.racks) {
      for (const std::string& rack : racks) {
        if (cell_assignment_->CellOfRunner(view.service, rack) == view.part)
          view.racks->insert(rack);
      }
    }
    const auto load = LoadOf(view.service, view.part);
    if (view.spare || !load) continue;
    for (const MovableRunner& runner : load->movable) {
      const auto machine = machine_of_runner.find(runner.id);
      if (machine == machine_of_runner.end()) continue;
      view.movable.push_back({machine->second->machine, machine->second->rack});
    }
  }
  return views;
}

/// Moves that were carried out though no order was answered.
void PoolBalancer::ResolveUnacknowledged(const MachineList& machines) {
  for (auto& [machine, move] : moves_) {
    const auto listed = machines.find(machine);
    if (!move.unanswered || move.confirmed || listed == machines.end()) continue;
    if (!RunnerStopped(move.before, listed->second)) continue;
    LogDecision("move_unanswered", {{"machine", machine}, {"runner", move.before.runner}});
    move.confirmed = true;
    owners_->NotifyRunnerDown(move.before);
  }
}

void PoolBalancer::RemoveFinishedMoves(const MachineList& machines) {
  std::erase_if(moves_, [&](const auto& entry) {
    const auto listed = machines.find(entry.first);
    if (listed == machines.end()) return true;
    const Move& move = entry.second;
    if (move.ordered && listed->second.pool == move.to && listed->second.up) return true;
    return clock_.Now() - move.since > (move.ordered ? kMaxMoveTime : kMaxPreparationTime);
  });
}

void PoolBalancer::Continue(const LeaseHolder& holder, const std::function<bool()>& may_send) {
  std::vector<std::string> open;
  for (const auto& [machine, move] : moves_) {
    if (!move.confirmed) open.push_back(machine);
  }
  for (const std::string& machine : open) {
    if (!may_send()) return;
    const Move& move = moves_.at(machine);
    if (move.before.runner.empty()) {
      Order(machine, holder, may_send);
    } else {
      // Also before an order is repeated: the release that the first relied on may have lapsed.
      Prepare(machine, holder, may_send);
    }
  }
}

void PoolBalancer::Prepare(const std::string& machine, const LeaseHolder& holder,
                           const std::function<bool()>& may_send) {
  owners_->ReserveForMove(moves_.at(machine).before,
                          [this, machine, holder, may_send](CallVerdict verdict) {
                            const auto move = moves_.find(machine);
                            if (verdict != CallVerdict::kReady || move == moves_.end()) return;
                            if (!move->second.confirmed) Order(machine, holder, may_send);
                          });
}

void PoolBalancer::Order(const std::string& machine, const LeaseHolder& holder,
                         const std::function<bool()>& may_send) {
  MachineCommand order;
  order.kind = CommandKind::kMove;
  order.holder = holder;
  order.machine = machine;
  order.pool = moves_.at(machine).to;
  order.begin = [this, machine, may_send] {
    const auto move = moves_.find(machine);
    if (move == moves_.end() || move->second.confirmed || !may_send()) return false;
    move->second.ordered = true;
    return true;
  };
  order.done = [this, machine](MachineCommandResult answer) { Ordered(machine, answer); };
  commands_->Request(std::move(order));
}

void PoolBalancer::Ordered(const std::string& machine, MachineCommandResult answer) {
  const auto found = moves_.find(machine);
  if (found == moves_.end() || !found->second.ordered) return;
  Move& move = found->second;
  LogDecision("move_order", {{"machine", machine},
                             {"from", move.before.pool},
                             {"to", move.to},
                             {"answer", Concat(static_cast<int>(answer))}});
  if (answer == MachineCommandResult::kUnknown)
    move.unanswered = true;  // Repeated in the next round.
  if (answer != MachineCommandResult::kDone) {
    // A later list tells what became of an order without an answer, also if its repeat is refused.
    if (!move.unanswered) moves_.erase(found);
    return;
  }
  move.confirmed = true;
  owners_->NotifyRunnerDown(move.before);
}

}  // namespace wigeonlane
