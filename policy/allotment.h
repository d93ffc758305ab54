/// Which slots of which runners one entry instance may use, from what all instances report.
#ifndef WIGEONLANE_POLICY_ALLOTMENT_H_
#define WIGEONLANE_POLICY_ALLOTMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/route_view.h"
#include "policy/runner_set.h"

namespace wigeonlane {

/// What one entry instance reported: requests running and waiting, by service, in hundredths of a
/// slot (`kDemandUnitsPerSlot`).
struct MemberDemand {
  std::string member;
  std::map<std::string, std::uint32_t> by_service;
};

/// What one entry instance may use for one service.
struct ServiceAllotment {
  std::vector<RunnerAllotment> runners;
  std::uint32_t slots = 0;         ///< Sum over `runners`.
  std::uint32_t fleet_slots = 0;   ///< Slots of the service over all entry instances.
  std::uint32_t borrowed = 0;      ///< Of `fleet_slots`, those lent from spare pools.
  std::uint32_t queue_places = 0;  ///< Waiting places of this instance.
};

/// The allotments of `self`, by service. `members` are the live entry instances in name order,
/// `self` among them. Every instance with the same view and reports computes the same division,
/// in which no slot has two owners and every floor is kept.
std::map<std::string, ServiceAllotment> ComputeAllotments(const RouteView& view,
                                                          const std::vector<MemberDemand>& members,
                                                          const std::string& self);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ALLOTMENT_H_
