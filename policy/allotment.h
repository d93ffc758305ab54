/// Computes which slots of which runners one entry instance may use, from the demand that all entry
/// instances report.
#ifndef WIGEONLANE_POLICY_ALLOTMENT_H_
#define WIGEONLANE_POLICY_ALLOTMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/route_view.h"
#include "policy/runner_set.h"

namespace wigeonlane {

/// Demand reported by one entry instance: running and waiting requests by service, in hundredths of
/// a slot (`kDemandUnitsPerSlot`).
struct MemberDemand {
  std::string member;
  std::map<std::string, std::uint32_t> by_service;
};

/// Slots and queue places that one entry instance may use for one service.
struct ServiceAllotment {
  std::vector<RunnerAllotment> runners;
  std::uint32_t slots = 0;         ///< Sum over `runners`.
  std::uint32_t fleet_slots = 0;   ///< Slots of the service at all entry instances together.
  std::uint32_t borrowed = 0;      ///< Part of `fleet_slots` that is borrowed from spare pools.
  std::uint32_t queue_places = 0;  ///< Maximum number of waiting requests at this instance.
};

/// Returns the allotments of the entry instance `self`, by service. `members` are the live entry
/// instances in name order, including `self`. Every instance with the same view and reports
/// computes the same division, in which no slot has two owners and every service gets at least its
/// floor.
std::map<std::string, ServiceAllotment> ComputeAllotments(const RouteView& view,
                                                          const std::vector<MemberDemand>& members,
                                                          const std::string& self);

}  // namespace wigeonlane

#endif  // WIGEONLANE_POLICY_ALLOTMENT_H_
