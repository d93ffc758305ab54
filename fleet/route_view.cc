#include "fleet/route_view.h"

namespace wigeonlane {

std::shared_ptr<const RouteView> MakeRouteView(const FleetState& state) {
  auto view = std::make_shared<RouteView>();
  view->offset = state.next_offset();
  for (const auto& [key, published] : state.documents()) {
    if (const auto* pool = std::get_if<PoolSpec>(&published.document)) {
      view->pools[pool->name].spec = *pool;
    }
    const auto* service = std::get_if<ServiceSpec>(&published.document);
    if (service == nullptr) continue;
    view->services[service->name] = {*service, *state.Find<ServiceProfile>(service->profile)};
    view->pools[service->pool].services.push_back(service->name);
  }
  for (const auto& [name, instance] : state.instances()) {
    if (instance.lifecycle == Lifecycle::kServing) {
      view->pools[instance.pool].runners.push_back({name, instance.runner});
    }
    if (instance.lifecycle == Lifecycle::kDraining) view->draining.push_back(name);
  }
  return view;
}

}  // namespace wigeonlane
