#include "cells/queue_survey.h"

#include <algorithm>

namespace wigeonlane {

std::optional<std::uint64_t> RequiredSurvey(const RoutingClaim& claim, const RouteTable& routes,
                                            const OwnerRoutes& owner) {
  if (!owner.taken_over_at || routes.version() < claim.config_version) return {};
  const auto assigned_since = routes.AssignedSince(claim.assignment);
  if (!assigned_since) return {};
  return std::max(*assigned_since, *owner.taken_over_at);
}

void QueueSurvey::Add(const CellQueues& queues) {
  version_ = version_ == 0 ? queues.config_version : std::min(version_, queues.config_version);
  for (const QueueService& held : queues.held) holding_services_[held.queue].insert(held.service);
  for (const QueueService& assigned : queues.assigned) {
    assigned_services_[assigned.queue].insert(assigned.service);
  }
  --cells_left_;
}

std::optional<std::vector<std::string>> QueueSurvey::OtherServices(
    const QueueService& present) const {
  if (const auto assigned = assigned_services_.find(present.queue);
      assigned != assigned_services_.end()) {
    for (const std::string& service : assigned->second) {
      if (service != present.service) return {};
    }
  }
  std::set<std::string> holding;
  for (const QueueAddress& queue : {present.queue, QueueAddress{}}) {
    const auto found = holding_services_.find(queue);
    if (found == holding_services_.end()) continue;
    holding.insert(found->second.begin(), found->second.end());
  }
  holding.erase(present.service);
  return std::vector<std::string>(holding.begin(), holding.end());
}

}  // namespace wigeonlane
