/// What routing needs of the folded state: an immutable view, rebuilt after configuration changes.
#ifndef WIGEONLANE_FLEET_ROUTE_VIEW_H_
#define WIGEONLANE_FLEET_ROUTE_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/settings.h"
#include "fleet/document.h"
#include "fleet/state.h"
#include "fleet/types.h"

namespace wigeonlane {

/// One serving runner.
struct RunnerTarget {
  std::string instance;
  Endpoint endpoint;
};

/// A pool with its serving runners in instance name order.
struct PoolRoute {
  PoolSpec spec;
  std::vector<RunnerTarget> runners;
  std::vector<std::string> services;  ///< Services whose runners live here.

  std::uint32_t slots() const {
    return static_cast<std::uint32_t>(runners.size()) * spec.runner_slots;
  }
};

/// A service with the profile it picked.
struct ServiceRoute {
  ServiceSpec spec;
  ServiceProfile profile;
};

/// Everything that routing reads, as of `offset`.
struct RouteView {
  Offset offset = 0;  ///< Next offset of the state that the view was made from.
  std::map<std::string, ServiceRoute> services;
  std::map<std::string, PoolRoute> pools;
  /// Instances that must not get new work and whose stop waits for work in flight.
  std::vector<std::string> draining;
};

/// The view of `state`.
std::shared_ptr<const RouteView> MakeRouteView(const FleetState& state);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_ROUTE_VIEW_H_
