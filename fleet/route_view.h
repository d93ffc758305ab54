/// Immutable view of the folded state for routing, rebuilt after configuration changes.
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

/// A serving runner and its address.
struct RunnerTarget {
  std::string instance;
  Endpoint endpoint;
};

/// A pool with its serving runners in instance name order.
struct PoolRoute {
  PoolSpec spec;
  std::vector<RunnerTarget> runners;
  std::vector<std::string> services;  ///< Services whose runners are in this pool.

  std::uint32_t slots() const {
    return static_cast<std::uint32_t>(runners.size()) * spec.runner_slots;
  }
};

/// A service with its profile.
struct ServiceRoute {
  ServiceSpec spec;
  ServiceProfile profile;
};

/// Services, pools and draining instances at `offset`.
struct RouteView {
  Offset offset = 0;  ///< `next_offset` of the state that the view was made from.
  std::map<std::string, ServiceRoute> services;
  std::map<std::string, PoolRoute> pools;
  /// Instances that must not get new requests and are rebooted when no request is in flight on
  /// them.
  std::vector<std::string> draining;
};

/// Returns the routing view of `state`.
std::shared_ptr<const RouteView> MakeRouteView(const FleetState& state);

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_ROUTE_VIEW_H_
