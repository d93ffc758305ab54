/// Calls between instances: an instance that received a caller's request calls the owner of a cell.
#ifndef WIGEONLANE_CELLS_CELL_MESSAGES_H_
#define WIGEONLANE_CELLS_CELL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cells/cell_types.h"
#include "jobs/route_table.h"

namespace wigeonlane {

enum class CellVerb : std::uint8_t {
  kSubmit,
  kCancel,
  kShow,
  kCountPending,
  kReserveRunner,
  kRunnerMachineDown,  ///< The machine of the runner `name` was taken down.
  kReportLoads,        ///< Reports the load of all services of the cell.
  kOwnersChanged,      ///< An instance has left: renew the membership and read the list of owners
                       ///< again.
  kReserveForMove,     ///< Reserves the runner `name`, whose machine is to move to another pool.
  kListQueues,         ///< Lists the queues whose jobs the cell holds; see `QueueSurvey`.
};

/// What an instance knows when it calls the cell that gets the new jobs of a queue.
struct RoutingClaim {
  QueueService assignment;           ///< The queue, and the service that the cell belongs to.
  std::uint64_t config_version = 0;  ///< Version of the instance's configuration.
  std::uint64_t survey_version = 0;  ///< Version of its last complete `QueueSurvey`.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(assignment, config_version, survey_version);
  }
};

/// One call. The verb decides which fields are used.
struct CellCall {
  CellVerb verb = CellVerb::kShow;
  CellNumber cell = 0;
  JobId job;
  QueueAddress queue;               ///< The queue of the job, or whose jobs are counted.
  std::string name;                 ///< Name of that queue, or the runner concerned.
  std::optional<JobRecord> record;  ///< The job to submit.
  /// Set when the response decides whether the job is new, unknown or counted. Not set in a call to
  /// a cell that only holds earlier jobs of the queue.
  std::optional<RoutingClaim> routing;
  std::vector<TeamArrivals> arrivals;  ///< At all cells, with kReportLoads.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(verb, cell, job, queue, name, record, routing, arrivals);
  }
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_MESSAGES_H_
