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

/// Counts the services of each cell. The owner of the coordinator's cell commands all machines,
/// which counts like one service.
std::vector<std::uint32_t> CountServicesByCell(const CellAssignment& assignment,
                                               std::uint32_t cells) {
  std::vector<std::uint32_t> service_counts(cells, 0);
  service_counts.at(kCoordinatorCell) = 1;
  for (const auto& [name, service] : assignment.services) {
    for (const CellNumber cell : service.cells) ++service_counts.at(cell);
  }
  return service_counts;
}

/// Returns the `wanted` cells that have the fewest services.
std::vector<CellNumber> LeastUsedCells(const CellAssignment& assignment, std::uint32_t cells,
                                       std::uint32_t wanted) {
  std::vector<std::uint32_t> service_counts = CountServicesByCell(assignment, cells);
  std::vector<CellNumber> chosen;
  while (chosen.size() < wanted) {
    const auto least = std::min_element(service_counts.begin(), service_counts.end());
    chosen.push_back(static_cast<CellNumber>(least - service_counts.begin()));
    ++*least;
  }
  return chosen;
}

/// The runners that a cell has of one service, and the racks from which it may get more when
/// machines move.
struct CellLoad {
  std::uint32_t runners = 0;
  std::uint32_t foreign_racks = 0;  ///< Racks without runners of the service.
};

/// Returns the index of the cell for a rack that has `runners` runners of the service.
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

/// Assigns each rack without a cell to the cell with the fewest runners, large racks first, and
/// distributes racks without runners of the service evenly. Returns whether any rack was assigned.
bool AssignRacks(const RackCounts& own_racks, const RackCounts& all_racks,
                 ServiceCellAssignment* service) {
  if (service->cells.size() < 2) return false;
  const auto own_runners = [&](const std::string& rack) {
    const auto found = own_racks.find(rack);
    return found == own_racks.end() ? 0U : found->second;
  };
  std::vector<CellLoad> loads(service->cells.size());
  for (const auto& [rack, index] : service->racks) AddRack(own_runners(rack), &loads.at(index));
  std::vector<std::pair<std::uint32_t, std::string>> unassigned;
  for (const auto& [rack, runners] : all_racks) {
    if (!service->racks.contains(rack)) unassigned.emplace_back(own_runners(rack), rack);
  }
  std::sort(unassigned.rbegin(), unassigned.rend());
  for (const auto& [runners, rack] : unassigned) {
    const std::uint32_t index = ChooseCellForRack(loads, runners);
    service->racks[rack] = index;
    AddRack(runners, &loads[index]);
  }
  return !unassigned.empty();
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
  RackCounts all_racks;
  std::map<std::string, RackCounts> by_service;
  for (const RunnerListing& runner : runners) {
    ++all_racks[runner.rack];
    ++by_service[runner.service][runner.rack];
  }
  CellAssignment extended_assignment = present;
  bool changed = false;
  for (const std::string& name : services) {
    const RackCounts& own_racks = by_service[name];
    if (!extended_assignment.services.contains(name)) {
      const std::uint32_t wanted =
          (CountRunners(own_racks) + kTargetRunnersPerCell / 2) / kTargetRunnersPerCell;
      extended_assignment.services[name].cells =
          LeastUsedCells(extended_assignment, cells, std::clamp(wanted, 1U, cells));
      changed = true;
    }
    changed = AssignRacks(own_racks, all_racks, &extended_assignment.services.at(name)) || changed;
  }
  return changed ? std::optional(std::move(extended_assignment)) : std::nullopt;
}

absl::StatusOr<CellAssignment> DecodeCellAssignment(std::string_view bytes, std::uint32_t cells) {
  auto assignment = Decode<CellAssignment>(bytes);
  if (!assignment.ok()) return assignment.status();
  if (assignment->format_version != CellAssignment().format_version) {
    return absl::InvalidArgumentError(
        Concat("cell assignment of unknown format version ", assignment->format_version));
  }
  for (const auto& [name, service] : assignment->services) {
    if (!HasOnlyKnownCells(service, cells)) {
      return absl::InvalidArgumentError(
          Concat("cell assignment of '", name, "' names an unknown cell"));
    }
  }
  return assignment;
}

}  // namespace wigeonlane
