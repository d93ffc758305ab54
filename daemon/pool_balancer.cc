#include "daemon/pool_balancer.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

/// Older loads are ignored, because the demand of a pool rises to five times its mean within
/// seconds.
constexpr std::chrono::milliseconds kMaxLoadAge{1'200};
/// A machine whose tasks have not ended after this time stays in its pool.
constexpr std::chrono::milliseconds kMaxPreparationTime{1'500};
/// Time after which a move that was sent is dropped. A move takes 1.5 s (MigrateS) and appears in
/// the list soon after.
constexpr std::chrono::milliseconds kMaxMoveTime{6'000};
constexpr double kMilliPerUnit = 1'000.0;

}  // namespace

void PoolBalancer::Reset() {
  moves_.clear();
  loads_.clear();
}

void PoolBalancer::RequestLoads() {
  std::set<CellNumber> cells;
  for (const PoolConfig& pool : pools_) {
    for (const CellNumber cell : cell_assignment_->CellsOf(pool.service)) cells.insert(cell);
  }
  const std::vector<TeamArrivals> arrivals = TotalArrivals();
  for (const CellNumber cell : cells) {
    owners_->RequestLoads(cell, arrivals, [this, cell](const CallResponse& response) {
      loads_[cell] = {response.loads, response.arrivals, clock_.Now()};
    });
  }
}

/// Adds up what the teams submit at all cells, by the recent reports.
std::vector<TeamArrivals> PoolBalancer::TotalArrivals() const {
  std::map<std::string, double> totals;
  for (const auto& [cell, reported] : loads_) {
    if (clock_.Now() - reported.reported_at >= kMaxLoadAge) continue;
    for (const TeamArrivals& arrivals : reported.arrivals) {
      totals[arrivals.team] += arrivals.per_second;
    }
  }
  std::vector<TeamArrivals> arrivals;
  arrivals.reserve(totals.size());
  for (const auto& [team, per_second] : totals) arrivals.push_back({team, per_second});
  return arrivals;
}

/// Returns the load of a service in one of its cells, or nothing without a recent report of that
/// cell.
std::optional<ServiceLoad> PoolBalancer::LoadOf(const std::string& service, CellNumber cell) const {
  const auto reported = loads_.find(cell);
  if (reported == loads_.end() || clock_.Now() - reported->second.reported_at >= kMaxLoadAge) {
    return {};
  }
  for (const ServiceLoad& load : reported->second.services) {
    if (load.service == service) return load;
  }
  return ServiceLoad();
}

void PoolBalancer::RunRound(const MachineList& machines, const std::set<std::string>& reserved,
                            const LeaseHolder& holder, const std::function<bool()>& may_send) {
  ResolveUnacknowledged(machines);
  RemoveFinishedMoves(machines);
  // Moves back to a spare pool that have not been sent are planned again, because another pool may
  // need the machine by now.
  std::erase_if(moves_, [&](const auto& entry) {
    return !entry.second.command_sent && IsSpare(entry.second.to);
  });
  for (const MachineMove& move : planner_.Plan(PoolViews(machines, reserved), clock_.Now())) {
    LogDecision("move_planned", {{"machine", move.machine}, {"from", move.from}, {"to", move.to}});
    moves_[move.machine] = {move.to, machines.at(move.machine), clock_.Now()};
  }
  AdvanceMoves(holder, may_send);
}

bool PoolBalancer::IsSpare(const std::string& service) const {
  return std::any_of(pools_.begin(), pools_.end(),
                     [&](const PoolConfig& pool) { return pool.spare && pool.service == service; });
}

/// Returns the segments of a pool, without their machines. A spare pool has a single segment,
/// because its machines run no tasks.
std::vector<PoolView> PoolBalancer::SegmentsOf(const PoolConfig& pool) const {
  std::vector<PoolView> segments;
  const std::vector<CellNumber> cells = cell_assignment_->CellsOf(pool.service);
  for (const CellNumber cell : cells) {
    PoolView segment;
    segment.service = pool.service;
    segment.spare = pool.spare;
    segment.segment = cell;
    if (!pool.spare && cells.size() > 1) segment.racks.emplace();
    if (const auto load = LoadOf(pool.service, cell)) {
      segment.reported = true;
      segment.busy_cores = static_cast<double>(load->busy_cpu_milli) / kMilliPerUnit;
      segment.long_running_cores =
          static_cast<double>(load->long_running_cpu_milli) / kMilliPerUnit;
      segment.arrival_cores = static_cast<double>(load->arriving_cpu_milli) / kMilliPerUnit;
      segment.backlog_work = static_cast<double>(load->backlog_work) / kMilliPerUnit;
      segment.runners = load->runners;
      segment.further_machines = load->further_machines;
    }
    segments.push_back(std::move(segment));
    if (pool.spare) break;
  }
  return segments;
}

std::vector<PoolView> PoolBalancer::PoolViews(const MachineList& machines,
                                              const std::set<std::string>& reserved) const {
  std::vector<PoolView> views;
  for (const PoolConfig& pool : pools_) {
    for (PoolView& segment : SegmentsOf(pool)) views.push_back(std::move(segment));
  }
  const auto view_of = [&](const std::string& service, const std::string& rack) -> PoolView* {
    const auto cell = cell_assignment_->CellOfRunner(service, rack);
    for (PoolView& view : views) {
      if (view.service == service && (view.spare || view.segment == cell)) return &view;
    }
    return nullptr;
  };
  std::map<const PoolView*, double> total_cores;
  std::map<const PoolView*, std::uint32_t> machine_count;
  std::map<std::string, const ListedMachine*> machine_of_runner;
  std::set<std::string> racks;
  for (const auto& [name, machine] : machines) {
    racks.insert(machine.rack);
    const auto move = moves_.find(name);
    PoolView* target_view =
        view_of(move == moves_.end() ? machine.pool : move->second.to, machine.rack);
    if (target_view != nullptr) ++target_view->machines;
    PoolView* view = view_of(machine.pool, machine.rack);
    if (target_view != nullptr && target_view != view) ++target_view->present_machines;
    if (view == nullptr) continue;
    const bool arriving = move != moves_.end() && target_view == view;
    if (machine.up || arriving) ++view->present_machines;
    total_cores[view] += machine.cores;
    ++machine_count[view];
    if (!machine.up || move != moves_.end() || reserved.contains(name)) continue;
    if (view->spare) view->movable.push_back({name, machine.rack});
    if (!machine.runner.empty()) machine_of_runner[machine.runner] = &machine;
  }
  for (PoolView& view : views) {
    view.cores_per_machine =
        machine_count[&view] == 0 ? 0 : total_cores[&view] / machine_count[&view];
    if (view.racks) {
      for (const std::string& rack : racks) {
        if (cell_assignment_->CellOfRunner(view.service, rack) == view.segment) {
          view.racks->insert(rack);
        }
      }
    }
    const auto load = LoadOf(view.service, view.segment);
    if (view.spare || !load) continue;
    for (const MovableRunner& runner : load->movable) {
      const auto machine = machine_of_runner.find(runner.id);
      if (machine == machine_of_runner.end()) continue;
      view.movable.push_back({machine->second->machine, machine->second->rack});
    }
  }
  return views;
}

/// Confirms moves that were executed although their commands got no response.
void PoolBalancer::ResolveUnacknowledged(const MachineList& machines) {
  for (auto& [machine, move] : moves_) {
    const auto listed = machines.find(machine);
    if (!move.unacknowledged || move.confirmed || listed == machines.end()) continue;
    if (!RunnerStopped(move.listed_before, listed->second)) continue;
    LogDecision("move_unanswered", {{"machine", machine}, {"runner", move.listed_before.runner}});
    move.confirmed = true;
    owners_->NotifyRunnerDown(move.listed_before);
  }
}

void PoolBalancer::RemoveFinishedMoves(const MachineList& machines) {
  std::erase_if(moves_, [&](const auto& entry) {
    const auto listed = machines.find(entry.first);
    if (listed == machines.end()) return true;
    const Move& move = entry.second;
    if (move.command_sent && listed->second.pool == move.to && listed->second.up) return true;
    return clock_.Now() - move.started_at >
           (move.command_sent ? kMaxMoveTime : kMaxPreparationTime);
  });
}

void PoolBalancer::AdvanceMoves(const LeaseHolder& holder, const std::function<bool()>& may_send) {
  std::vector<std::string> unconfirmed;
  for (const auto& [machine, move] : moves_) {
    if (!move.confirmed) unconfirmed.push_back(machine);
  }
  for (const std::string& machine : unconfirmed) {
    if (!may_send()) return;
    const Move& move = moves_.at(machine);
    if (move.listed_before.runner.empty()) {
      RequestMove(machine, holder, may_send);
    } else {
      // Also needed before a command is repeated, because the reservation for the first one
      // may have expired.
      PrepareMove(machine, holder, may_send);
    }
  }
}

void PoolBalancer::PrepareMove(const std::string& machine, const LeaseHolder& holder,
                               const std::function<bool()>& may_send) {
  owners_->ReserveForMove(moves_.at(machine).listed_before,
                          [this, machine, holder, may_send](CallVerdict verdict) {
                            const auto move = moves_.find(machine);
                            if (verdict != CallVerdict::kReady || move == moves_.end()) return;
                            if (!move->second.confirmed) RequestMove(machine, holder, may_send);
                          });
}

void PoolBalancer::RequestMove(const std::string& machine, const LeaseHolder& holder,
                               const std::function<bool()>& may_send) {
  MachineCommand command;
  command.kind = CommandKind::kMove;
  command.holder = holder;
  command.machine = machine;
  command.pool = moves_.at(machine).to;
  command.confirm_send = [this, machine, may_send] {
    const auto move = moves_.find(machine);
    if (move == moves_.end() || move->second.confirmed || !may_send()) return false;
    move->second.command_sent = true;
    return true;
  };
  command.on_response = [this, machine](MachineCommandResult response) {
    HandleMoveResponse(machine, response);
  };
  commands_->Request(std::move(command));
}

void PoolBalancer::HandleMoveResponse(const std::string& machine, MachineCommandResult response) {
  const auto move_entry = moves_.find(machine);
  if (move_entry == moves_.end() || !move_entry->second.command_sent) return;
  Move& move = move_entry->second;
  LogDecision("move_order", {{"machine", machine},
                             {"from", move.listed_before.pool},
                             {"to", move.to},
                             {"answer", Concat(static_cast<int>(response))}});
  // The next round sends the command again.
  if (response == MachineCommandResult::kUnknown) move.unacknowledged = true;
  if (response != MachineCommandResult::kDone) {
    // After a command without a response, a later list shows the outcome, even if the repeated
    // command is refused.
    if (!move.unacknowledged) moves_.erase(move_entry);
    return;
  }
  move.confirmed = true;
  owners_->NotifyRunnerDown(move.listed_before);
}

}  // namespace wigeonlane
