#include "cells/cell_assignment.h"

#include <algorithm>
#include <utility>

#include "core/codec.h"
#include "core/digest.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

using RackCounts = std::map<std::string, std::uint32_t>;

std::uint32_t CountRunners(const RackCounts& racks) {
  std::uint32_t count = 0;
  for (const auto& [rack, runners] : racks) count += runners;
  return count;
}

/// How many services have a cell already. The owner of the coordinator's cell orders all machines,
/// which counts like a service.
std::vector<std::uint32_t> CountServicesByCell(const CellAssignment& division,
                                               std::uint32_t cells) {
  std::vector<std::uint32_t> uses(cells, 0);
  uses.at(kCoordinatorCell) = 1;
  for (const auto& [name, service] : division.services) {
    for (const CellNumber cell : service.cells) ++uses.at(cell);
  }
  return uses;
}

/// The cells that the fewest services have.
std::vector<CellNumber> LeastUsedCells(const CellAssignment& division, std::uint32_t cells,
                                       std::uint32_t wanted) {
  std::vector<std::uint32_t> uses = CountServicesByCell(division, cells);
  std::vector<CellNumber> chosen;
  while (chosen.size() < wanted) {
    const auto least = std::min_element(uses.begin(), uses.end());
    chosen.push_back(static_cast<CellNumber>(least - uses.begin()));
    ++*least;
  }
  return chosen;
}

/// What a cell of a service has, or may get when machines move.
struct CellLoad {
  std::uint32_t runners = 0;
  std::uint32_t foreign_racks = 0;  ///< Racks without runners of the service.
};

/// The cell to which a rack goes that has so many runners of the service.
std::uint32_t ChooseCellForRack(const std::vector<CellLoad>& loads, std::uint32_t runners) {
  const auto less = [&](const CellLoad& a, const CellLoad& b) {
    return runners > 0 ? a.runners < b.runners : a.foreign_racks < b.foreign_racks;
  };
  return static_cast<std::uint32_t>(std::min_element(loads.begin(), loads.end(), less) -
                                    loads.begin());
}

void AddRack(std::uint32_t runners, CellLoad* load) {
  load->runners += runners;
  if (runners == 0) ++load->foreign_racks;
}

/// Gives each rack that has no cell yet to the one with the fewest runners, large racks first;
/// racks of other services are dealt out evenly. Returns whether there were any.
bool AssignRacks(const RackCounts& own, const RackCounts& all, ServiceCellAssignment* service) {
  if (service->cells.size() < 2) return false;
  const auto own_runners = [&](const std::string& rack) {
    const auto found = own.find(rack);
    return found == own.end() ? 0U : found->second;
  };
  std::vector<CellLoad> loads(service->cells.size());
  for (const auto& [rack, index] : service->racks) AddRack(own_runners(rack), &loads.at(index));
  std::vector<std::pair<std::uint32_t, std::string>> missing;
  for (const auto& [rack, runners] : all) {
    if (!service->racks.contains(rack)) missing.emplace_back(own_runners(rack), rack);
  }
  std::sort(missing.rbegin(), missing.rend());
  for (const auto& [runners, rack] : missing) {
    const std::uint32_t index = ChooseCellForRack(loads, runners);
    service->racks[rack] = index;
    AddRack(runners, &loads[index]);
  }
  return !missing.empty();
}

bool HasOnlyKnownCells(const ServiceCellAssignment& service, std::uint32_t cells) {
  return !service.cells.empty() &&
         std::all_of(service.cells.begin(), service.cells.end(),
                     [&](CellNumber cell) { return cell < cells; }) &&
         std::all_of(service.racks.begin(), service.racks.end(),
                     [&](const auto& rack) { return rack.second < service.cells.size(); });
}

}  // namespace

std::vector<CellNumber> CellAssignment::CellsOf(const std::string& service) const {
  const auto found = services.find(service);
  return found == services.end() ? std::vector<CellNumber>() : found->second.cells;
}

std::optional<CellNumber> CellAssignment::CellOfJob(const std::string& service,
                                                    const JobId& job) const {
  const auto found = services.find(service);
  if (found == services.end()) return {};
  const auto& cells = found->second.cells;
  return cells[ShortDigestOf(job.text()) % cells.size()];
}

std::optional<CellNumber> CellAssignment::CellOfRunner(const std::string& service,
                                                       const std::string& rack) const {
  const auto found = services.find(service);
  if (found == services.end()) return {};
  const auto& cells = found->second.cells;
  if (cells.size() == 1) return cells.front();
  const auto index = found->second.racks.find(rack);
  if (index == found->second.racks.end()) return {};
  return cells[index->second];
}

std::optional<CellAssignment> ExtendCellAssignment(const CellAssignment& present,
                                                   const std::vector<std::string>& services,
                                                   const std::vector<RunnerListing>& runners,
                                                   std::uint32_t cells) {
  RackCounts all;
  std::map<std::string, RackCounts> by_service;
  for (const RunnerListing& runner : runners) {
    ++all[runner.rack];
    ++by_service[runner.service][runner.rack];
  }
  CellAssignment extended = present;
  bool changed = false;
  for (const std::string& name : services) {
    const RackCounts& own = by_service[name];
    if (!extended.services.contains(name)) {
      const std::uint32_t wanted =
          (CountRunners(own) + kTargetRunnersPerCell / 2) / kTargetRunnersPerCell;
      extended.services[name].cells =
          LeastUsedCells(extended, cells, std::clamp(wanted, 1U, cells));
      changed = true;
    }
    changed = AssignRacks(own, all, &extended.services.at(name)) || changed;
  }
  return changed ? std::optional(std::move(extended)) : std::nullopt;
}

absl::StatusOr<CellAssignment> DecodeCellAssignment(std::string_view bytes, std::uint32_t cells) {
  auto division = Decode<CellAssignment>(bytes);
  if (!division.ok()) return division.status();
  if (division->form != CellAssignment().form) {
    return absl::InvalidArgumentError(Concat("division of the unknown form ", division->form));
  }
  for (const auto& [name, service] : division->services) {
    if (!HasOnlyKnownCells(service, cells)) {
      return absl::InvalidArgumentError(Concat("division of '", name, "' names an unknown cell"));
    }
  }
  return division;
}

}  // namespace wigeonlane
