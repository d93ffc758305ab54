/// Calls between instances: a caller's instance asks the owner of a cell.
#ifndef WIGEONLANE_CELLS_CELL_MESSAGES_H_
#define WIGEONLANE_CELLS_CELL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cells/cell_types.h"
#include "core/digest.h"

namespace wigeonlane {

enum class CellVerb : std::uint8_t {
  kSubmit,
  kCancel,
  kShow,
  kCountPending,
  kReserveRunner,
  kRunnerGone,     ///< The machine of the runner `name` was taken down.
  kReportLoads,    ///< Of all services of the cell.
  kOwnersChanged,  ///< An instance has left: renew the membership and read the owners anew.
};

/// One call. Which fields count depends on the verb.
struct CellCall {
  CellVerb verb = CellVerb::kShow;
  CellNumber cell = 0;
  JobId job;
  std::string name;                 ///< Queue to count, or runner to prepare.
  std::optional<JobRecord> record;  ///< The job to submit.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verb, cell, job, name, record);
  }
};

/// The cell of a service. It depends on nothing but the name, so that all instances agree on it
/// whatever version of the configuration they have.
inline CellNumber CellOfService(std::string_view service, std::uint32_t cells) {
  return static_cast<CellNumber>(ShortDigestOf(service) % cells);
}

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_MESSAGES_H_
