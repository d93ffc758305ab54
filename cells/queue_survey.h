/// Which services hold jobs of a queue, according to the owners of all cells.
///
/// An id is one job, wherever the queue has led in the meantime. The owner of the cell that gets
/// the new jobs of a queue decides whether an id is new, under two conditions. The sender of the
/// call has surveyed all cells, so that it has looked for the id wherever jobs of the queue lie.
/// And the survey is not older than the version since which the queue has led to this cell without
/// a break: another cell that accepted jobs of the queue in between had a survey of its own, which
/// told this cell's owner the version.
#ifndef WIGEONLANE_CELLS_QUEUE_SURVEY_H_
#define WIGEONLANE_CELLS_QUEUE_SURVEY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cells/cell_messages.h"
#include "jobs/route_table.h"

namespace wigeonlane {

/// The newest version of the configuration that the owner of a cell goes by.
struct OwnerRoutes {
  /// The newest version when this owner took the cell over; 0 if there was none, and nothing until
  /// that has been read. Which queues led to the cell before is unknown.
  std::optional<std::uint64_t> taken_over_at;
  /// The version that every later owner of the cell will have read, too.
  std::uint64_t confirmed = 0;
};

/// Returns the oldest survey with which the owner of a cell may decide that an id is new or
/// unknown, or which jobs of a queue there are. Returns nothing if the owner or the sender of the
/// claim has an outdated configuration.
std::optional<std::uint64_t> RequiredSurvey(const RoutingClaim& claim, const RouteTable& routes,
                                            const OwnerRoutes& owner);

/// Collects the responses of all cells to one survey.
class QueueSurvey {
 public:
  /// A survey that is complete once `cells` responses have been added.
  explicit QueueSurvey(std::uint32_t cells) : cells_left_(cells) {}

  void Add(const CellQueues& queues);
  bool complete() const { return cells_left_ == 0; }

  /// The lowest version among the owners; 0 if no response has been added.
  std::uint64_t version() const { return version_; }

  /// Returns the services other than the present one that may hold jobs of the queue. Returns
  /// nothing if an owner with another version has another service for the queue.
  std::optional<std::vector<std::string>> OtherServices(const QueueService& present) const;

 private:
  std::uint32_t cells_left_;
  std::uint64_t version_ = 0;
  /// By queue. Those of an unknown address may hold jobs of any queue.
  std::map<QueueAddress, std::set<std::string>> holding_services_;
  std::map<QueueAddress, std::set<std::string>> assigned_services_;  ///< By queue.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_QUEUE_SURVEY_H_
