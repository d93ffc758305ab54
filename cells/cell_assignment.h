/// How the runners and jobs of each service are divided among cells.
///
/// A service has one cell, or several when it has more runners than one owner serves well. The
/// cells of a service and the cell of a rack never change once they are recorded, so that instances
/// that know different versions of the record disagree only about what the older one does not know
/// yet.
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

/// Runners that one cell should have. A lasting step may want up to 38 distinct runners (site
/// files), and a pool lends up to two thirds of its machines.
inline constexpr std::uint32_t kTargetRunnersPerCell = 70;

/// One service's part.
struct ServiceCellAssignment {
  std::vector<CellNumber> cells;               ///< At least one.
  std::map<std::string, std::uint32_t> racks;  ///< Index into `cells`; unused when there is one.

  bool operator==(const ServiceCellAssignment&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(cells, racks);
  }
};

/// The record as the store holds it.
struct CellAssignment {
  std::uint32_t form = 1;  ///< Of the record; others are refused.
  std::map<std::string, ServiceCellAssignment> services;

  bool operator==(const CellAssignment&) const = default;

  /// All cells of a service; empty when it is not divided yet.
  std::vector<CellNumber> CellsOf(const std::string& service) const;

  /// The cell that holds a job; nothing when the service is not divided yet.
  std::optional<CellNumber> CellOfJob(const std::string& service, const JobId& job) const;

  /// The cell whose owner a runner belongs to; nothing when its rack is not known yet.
  std::optional<CellNumber> CellOfRunner(const std::string& service, const std::string& rack) const;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(form, services);
  }
};

/// Adds what `present` lacks: services, and racks of divided services. Racks of other services
/// count too, since machines move. Nothing when all is there.
std::optional<CellAssignment> ExtendCellAssignment(const CellAssignment& present,
                                                   const std::vector<std::string>& services,
                                                   const std::vector<RunnerListing>& runners,
                                                   std::uint32_t cells);

/// Errors: InvalidArgument when the bytes are no division of a known form or name a cell beyond
/// `cells`.
absl::StatusOr<CellAssignment> DecodeCellAssignment(std::string_view bytes, std::uint32_t cells);

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_ASSIGNMENT_H_
