/// Assignment of the runners and jobs of each service to cells.
///
/// A service has one cell, or several when it has more runners than one owner can serve well. The
/// cells of a service and the cell of a rack never change once they are recorded. Instances that
/// know different versions of the record therefore differ only in entries that the older version
/// lacks.
#ifndef WIGEONLANE_CELLS_CELL_ASSIGNMENT_H_
#define WIGEONLANE_CELLS_CELL_ASSIGNMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "cells/cell_types.h"

namespace wigeonlane {

/// Number of runners that a cell should have. A long-running step may need up to 38 distinct
/// runners (site files), and a pool lends up to two thirds of its machines.
inline constexpr std::uint32_t kTargetRunnersPerCell = 70;

/// The cells of one service, and the cell of each rack.
struct ServiceCellAssignment {
  std::vector<CellNumber> cells;               ///< At least one.
  std::map<std::string, std::uint32_t> racks;  ///< Index into `cells`; unused with one cell.

  bool operator==(const ServiceCellAssignment&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cells, racks);
  }
};

/// The record of all assignments, as stored.
struct CellAssignment {
  std::uint32_t format_version = 1;  ///< Records of other versions are rejected.
  std::map<std::string, ServiceCellAssignment> services;

  bool operator==(const CellAssignment&) const = default;

  /// All cells of a service; empty when the service has no cells yet.
  std::vector<CellNumber> CellsOf(const std::string& service) const;

  /// The cell that holds a job; nothing when the service has no cells yet.
  std::optional<CellNumber> CellOfJob(const std::string& service, const JobId& job) const;

  /// The cell that a runner belongs to; nothing when its rack has no cell yet.
  std::optional<CellNumber> CellOfRunner(const std::string& service, const std::string& rack) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(format_version, services);
  }
};

/// Adds missing services, and missing racks of services with several cells, to `present`. Racks of
/// other services are added as well, because machines move between services. Returns nothing when
/// nothing is missing.
std::optional<CellAssignment> ExtendCellAssignment(const CellAssignment& present,
                                                   const std::vector<std::string>& services,
                                                   const std::vector<RunnerListing>& runners,
                                                   std::uint32_t cells);

/// Errors: InvalidArgument when the bytes are not a cell assignment of the known format version, or
/// name a cell number of `cells` or above.
absl::StatusOr<CellAssignment> DecodeCellAssignment(std::string_view bytes, std::uint32_t cells);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_ASSIGNMENT_H_
