/// Serves calls on the cells that this instance owns.
#ifndef WIGEONLANE_CELLS_CELL_DISPATCHER_H_
#define WIGEONLANE_CELLS_CELL_DISPATCHER_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "cells/cell_messages.h"
#include "cells/cell_table.h"
#include "cells/queue_survey.h"
#include "jobs/route_table.h"

namespace wigeonlane {

/// Passes each call to the host of its cell, unless it would decide something that depends on a
/// configuration that this instance or the sender has not read.
template <typename Host>
class CellDispatcher {
 public:
  using Respond = std::function<void(CallResponse)>;

  CellDispatcher(const CellTable<Host>* cells, const RouteTable* routes)
      : cells_(cells), routes_(routes) {}

  /// The store confirmed the ownership of all hosted cells after this instance had read `version`.
  /// A later owner reads the configuration after that, so it has this version or a newer one.
  void ConfirmRoutes(std::uint64_t version) { confirmed_version_ = version; }

  void Serve(CellCall call, Respond respond) const {
    Host* host = cells_->Find(call.cell);
    if (host == nullptr || !host->active()) return respond({CallVerdict::kNotOwner});
    if (call.verb == CellVerb::kListQueues) return respond(ListQueues(call, *host));
    if (call.routing && !host->cell()->Holds(call.job, call.queue)) {
      const auto required = RequiredSurvey(*call.routing, *routes_, RoutesOf(*host));
      if (!required || call.routing->survey_version < *required) {
        CallResponse response{CallVerdict::kOutdated};
        response.required_survey = required.value_or(0);
        return respond(std::move(response));
      }
    }
    Pass(std::move(call), host, std::move(respond));
  }

 private:
  OwnerRoutes RoutesOf(const Host& host) const {
    const auto taken_over_at = host.routes_at_takeover();
    return {taken_over_at, taken_over_at ? std::max(*taken_over_at, confirmed_version_) : 0};
  }

  /// A list for a survey must hold for later owners, too, so it waits until they will have read the
  /// configuration by which this owner refuses jobs.
  CallResponse ListQueues(const CellCall& call, const Host& host) const {
    if (RoutesOf(host).confirmed != routes_->version() || routes_->version() == 0) {
      return {CallVerdict::kOutdated};
    }
    CallResponse response{CallVerdict::kQueues};
    response.queues.config_version = routes_->version();
    response.queues.held = host.cell()->HeldQueues();
    const bool same_version = call.routing && call.routing->config_version == routes_->version();
    if (!same_version) response.queues.assigned = routes_->Assignments();
    return response;
  }

  static void Pass(CellCall call, Host* host, Respond respond) {
    switch (call.verb) {
      case CellVerb::kSubmit:
        if (!call.record) return respond({CallVerdict::kNotOwner});
        return host->Submit(call.job, *std::move(call.record), std::move(respond));
      case CellVerb::kCancel:
        return host->Cancel(call.job, call.queue,
                            call.routing ? std::optional(call.routing->assignment) : std::nullopt,
                            std::move(respond));
      case CellVerb::kShow:
        return respond(host->Show(call.job, call.queue));
      case CellVerb::kCountPending:
        return respond(host->CountPending(call.queue, call.name));
      case CellVerb::kReserveRunner:
        return respond(host->ReserveRunner(call.name));
      case CellVerb::kReserveForMove:
        return respond(host->ReserveForMove(call.name));
      case CellVerb::kReportLoads:
        return respond(host->ReportLoads(call.arrivals));
      case CellVerb::kRunnerMachineDown:
        return respond(host->HandleMachineDown(call.name));
      case CellVerb::kListQueues:
      case CellVerb::kOwnersChanged:
        return respond({CallVerdict::kNotOwner});
    }
  }

  const CellTable<Host>* cells_;
  const RouteTable* routes_;
  std::uint64_t confirmed_version_ = 0;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_CELLS_CELL_DISPATCHER_H_
