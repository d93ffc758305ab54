/// Keeps a survey of all cells, so that a queue's jobs are found wherever an earlier configuration
/// placed them.
#ifndef WIGEONLANE_CELLS_QUEUE_LOCATOR_H_
#define WIGEONLANE_CELLS_QUEUE_LOCATOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cells/call_router.h"
#include "cells/queue_survey.h"
#include "jobs/route_table.h"

namespace wigeonlane {

/// Surveys the cells when a request needs it: after the start of the instance, and when an owner
/// says that the last survey is outdated. One survey runs at a time.
class QueueLocator {
 public:
  QueueLocator(asio::io_context* io, CallRouter* router, const RouteTable* routes,
               std::uint32_t cells);

  /// Returns the other services that may hold jobs of the queue; nothing while that is unknown.
  std::optional<std::vector<std::string>> OtherServices(const QueueService& present) const;

  /// Version of the last complete survey; 0 if there is none.
  std::uint64_t survey_version() const { return survey_ ? survey_->version() : 0; }

  /// What this instance claims when it calls a cell of the queue's present service.
  RoutingClaim ClaimFor(const QueueService& present) const;

  /// Makes a new survey, and then calls `done` whether it is complete or not.
  void Refresh(std::function<void()> done);

  /// Makes a new survey if other services held jobs of a queue in the last one and it is old, so
  /// that they are forgotten once they hold none.
  void ForgetExpired(Instant now);

 private:
  void Start();
  void HandleResponse(CellNumber cell, const CallResponse& response);
  void Finish();

  CallRouter* router_;
  const RouteTable* routes_;
  const std::uint32_t cells_;
  asio::steady_timer timer_;
  std::optional<QueueSurvey> survey_;          ///< The last complete survey.
  std::optional<QueueSurvey> running_survey_;  ///< Has the responses that have arrived.
  std::uint32_t responses_left_ = 0;
  std::string missing_cells_;  ///< Cells of the running survey without a list, for the log.
  Instant surveyed_at_{};
  std::vector<std::function<void()>> waiting_;  ///< Called when the running survey ends.
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_QUEUE_LOCATOR_H_
