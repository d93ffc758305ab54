#include "jobs/route_table.h"

#include <utility>

namespace wigeonlane {

void RouteTable::Assign(std::uint64_t version, std::vector<QueueRoute> routes) {
  version_ = version;
  routes_ = std::move(routes);
  std::map<QueueService, std::uint64_t> assigned_since;
  for (QueueRoute& route : routes_) {
    route.address.host = CanonicalHost(route.address.host);
    const QueueService assignment{route.address, route.policy.service};
    assigned_since[assignment] = AssignedSince(assignment).value_or(version);
  }
  assigned_since_ = std::move(assigned_since);
}

std::optional<RouteMatch> RouteTable::Match(std::string_view host, std::string_view path) const {
  const std::string name = CanonicalHost(host);
  const QueueRoute* best = nullptr;
  for (const QueueRoute& route : routes_) {
    const std::string& prefix = route.address.path_prefix;
    if (route.address.host != name || !path.starts_with(prefix)) continue;
    if (best == nullptr || prefix.size() > best->address.path_prefix.size()) best = &route;
  }
  if (best == nullptr) return {};
  return RouteMatch{best, path.substr(best->address.path_prefix.size())};
}

std::optional<std::uint64_t> RouteTable::AssignedSince(const QueueService& assignment) const {
  const auto found = assigned_since_.find(assignment);
  return found == assigned_since_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<QueueService> RouteTable::Assignments() const {
  std::vector<QueueService> assignments;
  for (const auto& [assignment, version] : assigned_since_) assignments.push_back(assignment);
  return assignments;
}

}  // namespace wigeonlane
