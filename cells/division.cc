#include "cells/division.h"

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

/// How many services have a cell already.
std::vector<std::uint32_t> UsesOfCells(const Division& division, std::uint32_t cells) {
  std::vector<std::uint32_t> uses(cells, 0);
  for (const auto& [name, service] : division.services) {
    for (const CellNumber cell : service.cells) ++uses.at(cell);
  }
  return uses;
}

/// The cells that the fewest services have.
std::vector<CellNumber> LeastUsed(const Division& division, std::uint32_t cells,
                                  std::uint32_t wanted) {
  std::vector<std::uint32_t> uses = UsesOfCells(division, cells);
  std::vector<CellNumber> chosen;
  while (chosen.size() < wanted) {
    const auto least = std::min_element(uses.begin(), uses.end());
    chosen.push_back(static_cast<CellNumber>(least - uses.begin()));
    ++*least;
  }
  return chosen;
}

/// Gives each rack that has no cell yet to the cell with the fewest runners, and among equals with
/// the fewest racks; large racks first.
bool AssignRacks(const RackCounts& own, const RackCounts& all, ServiceDivision* service) {
  if (service->cells.size() < 2) return false;
  const auto own_runners = [&](const std::string& rack) {
    const auto found = own.find(rack);
    return found == own.end() ? 0U : found->second;
  };
  std::vector<std::pair<std::uint32_t, std::uint32_t>> load(service->cells.size());
  for (const auto& [rack, index] : service->racks) {
    load.at(index).first += own_runners(rack);
    ++load.at(index).second;
  }
  std::vector<std::pair<std::uint32_t, std::string>> missing;
  for (const auto& [rack, runners] : all) {
    if (!service->racks.contains(rack)) missing.emplace_back(own_runners(rack), rack);
  }
  std::sort(missing.rbegin(), missing.rend());
  for (const auto& [runners, rack] : missing) {
    const auto least = std::min_element(load.begin(), load.end());
    service->racks[rack] = static_cast<std::uint32_t>(least - load.begin());
    least->first += runners;
    ++least->second;
  }
  return !missing.empty();
}

}  // namespace

std::vector<CellNumber> Division::CellsOf(const std::string& service) const {
  const auto found = services.find(service);
  return found == services.end() ? std::vector<CellNumber>() : found->second.cells;
}

std::optional<CellNumber> Division::CellOfJob(const std::string& service, const JobId& job) const {
  const auto found = services.find(service);
  if (found == services.end()) return {};
  const auto& cells = found->second.cells;
  return cells[ShortDigestOf(job.text()) % cells.size()];
}

std::optional<CellNumber> Division::CellOfRunner(const std::string& service,
                                                 const std::string& rack) const {
  const auto found = services.find(service);
  if (found == services.end()) return {};
  const auto& cells = found->second.cells;
  if (cells.size() == 1) return cells.front();
  const auto index = found->second.racks.find(rack);
  if (index == found->second.racks.end()) return {};
  return cells[index->second];
}

std::optional<Division> ExtendDivision(const Division& present,
                                       const std::vector<std::string>& services,
                                       const std::vector<RunnerListing>& runners,
                                       std::uint32_t cells) {
  RackCounts all;
  std::map<std::string, RackCounts> by_service;
  for (const RunnerListing& runner : runners) {
    ++all[runner.rack];
    ++by_service[runner.service][runner.rack];
  }
  Division extended = present;
  bool changed = false;
  for (const std::string& name : services) {
    const RackCounts& own = by_service[name];
    if (!extended.services.contains(name)) {
      const std::uint32_t wanted = (CountRunners(own) + kRunnersOfCell / 2) / kRunnersOfCell;
      extended.services[name].cells = LeastUsed(extended, cells, std::clamp(wanted, 1U, cells));
      changed = true;
    }
    changed = AssignRacks(own, all, &extended.services.at(name)) || changed;
  }
  return changed ? std::optional(std::move(extended)) : std::nullopt;
}

absl::StatusOr<Division> DecodeDivision(std::string_view bytes, std::uint32_t cells) {
  auto division = Decode<Division>(bytes);
  if (!division.ok()) return division.status();
  if (division->form != Division().form) {
    return absl::InvalidArgumentError(Concat("division of the unknown form ", division->form));
  }
  for (const auto& [name, service] : division->services) {
    const auto beyond = [&](CellNumber cell) { return cell >= cells; };
    const auto outside = [&](const auto& rack) { return rack.second >= service.cells.size(); };
    if (service.cells.empty() || std::any_of(service.cells.begin(), service.cells.end(), beyond) ||
        std::any_of(service.racks.begin(), service.racks.end(), outside)) {
      return absl::InvalidArgumentError(Concat("division of '", name, "' names an unknown cell"));
    }
  }
  return division;
}

}  // namespace wigeonlane
