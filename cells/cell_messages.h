/// Calls between instances: a caller's instance asks the owner of a cell.
#ifndef WIGEONLANE_CELLS_CELL_MESSAGES_H_
#define WIGEONLANE_CELLS_CELL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cells/cell_types.h"

namespace wigeonlane {

enum class CellVerb : std::uint8_t {
  kSubmit,
  kCancel,
  kShow,
  kCountPending,
  kReserveRunner,
  kRunnerMachineDown,  ///< The machine of the runner `name` was taken down.
  kReportLoads,        ///< Of all services of the cell.
  kOwnersChanged,      ///< An instance has left: renew the membership and read the owners anew.
  kReserveForMove,     ///< Of the runner `name`, whose machine is to leave for another pool.
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

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_MESSAGES_H_
