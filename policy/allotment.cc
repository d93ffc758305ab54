#include "policy/allotment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "policy/demand_meter.h"
#include "policy/shares.h"

namespace wigeonlane {
namespace {

constexpr double kMostDemand = 1e6;

/// One service's part of one pool.
struct PoolPart {
  std::string service;
  std::uint32_t slots = 0;
  bool borrowed = false;
};

/// Slots that a service needs over all members: the mean and one standard deviation of random
/// arrivals, taken once for the whole fleet.
std::uint32_t DemandOf(const std::vector<MemberDemand>& members, const std::string& service) {
  std::uint64_t total = 0;
  for (const MemberDemand& member : members) {
    const auto found = member.by_service.find(service);
    if (found != member.by_service.end()) total += found->second;
  }
  const double mean = static_cast<double>(total) / kDemandUnits;
  return static_cast<std::uint32_t>(std::min(std::ceil(mean + std::sqrt(mean)), kMostDemand));
}

/// Divides a pool among the services that live in it; what nobody demands is split evenly.
std::vector<PoolPart> DivideAmongResidents(const RouteView& view, const PoolRoute& pool,
                                           const std::vector<MemberDemand>& members,
                                           std::uint32_t capacity) {
  std::vector<ShareClaim> claims;
  for (const std::string& service : pool.services) {
    const std::uint32_t floor = view.services.at(service).profile.floor_slots;
    claims.push_back({DemandOf(members, service), floor, capacity});
  }
  const std::vector<std::uint32_t> shares = DivideByDemand(capacity, claims);
  std::uint32_t left = capacity - std::accumulate(shares.begin(), shares.end(), 0U);
  std::vector<PoolPart> parts;
  for (std::size_t i = 0; i < pool.services.size(); ++i) {
    const auto others = static_cast<std::uint32_t>(pool.services.size() - i);
    const std::uint32_t extra = left / others;
    left -= extra;
    parts.push_back({pool.services[i], shares[i] + extra, false});
  }
  return parts;
}

/// Slots of a spare pool that its own services neither need for their floors nor ask for.
std::uint32_t LendableSlots(const RouteView& view, const PoolRoute& pool,
                            const std::vector<MemberDemand>& members) {
  std::uint64_t kept = 0;
  for (const std::string& service : pool.services) {
    kept += std::max(view.services.at(service).profile.floor_slots, DemandOf(members, service));
  }
  return kept >= pool.slots() ? 0 : pool.slots() - static_cast<std::uint32_t>(kept);
}

/// Parts of all pools: residents everywhere, and borrowers in the spare pools.
class Division {
 public:
  Division(const RouteView& view, const std::vector<MemberDemand>& members)
      : view_(view), members_(members) {
    for (const auto& [name, pool] : view.pools) {
      if (!pool.spec.spare) AddResidents(name, pool, pool.slots());
    }
    for (const auto& [name, pool] : view.pools) {
      if (pool.spec.spare) AddSpare(name, pool);
    }
  }

  const std::map<std::string, std::vector<PoolPart>>& parts() const { return parts_; }

 private:
  void AddResidents(const std::string& name, const PoolRoute& pool, std::uint32_t capacity) {
    for (PoolPart& part : DivideAmongResidents(view_, pool, members_, capacity)) {
      held_[part.service] += part.slots;
      parts_[name].push_back(std::move(part));
    }
  }

  void AddSpare(const std::string& name, const PoolRoute& pool) {
    std::vector<std::string> borrowers;
    std::vector<ShareClaim> claims;
    for (const auto& [service, route] : view_.services) {
      if (route.spec.pool == name || route.profile.borrow_slots == 0) continue;
      const std::uint32_t demand = DemandOf(members_, service);
      const std::uint32_t held = held_[service];
      const std::uint32_t limit = route.profile.borrow_slots - borrowed_[service];
      borrowers.push_back(service);
      claims.push_back({demand > held ? demand - held : 0, 0, limit});
    }
    const std::vector<std::uint32_t> lent =
        DivideByDemand(LendableSlots(view_, pool, members_), claims);
    const std::uint32_t total = std::accumulate(lent.begin(), lent.end(), 0U);
    AddResidents(name, pool, pool.slots() - total);
    for (std::size_t i = 0; i < borrowers.size(); ++i) {
      if (lent[i] == 0) continue;
      held_[borrowers[i]] += lent[i];
      borrowed_[borrowers[i]] += lent[i];
      parts_[name].push_back({borrowers[i], lent[i], true});
    }
  }

  const RouteView& view_;
  const std::vector<MemberDemand>& members_;
  std::map<std::string, std::vector<PoolPart>> parts_;
  std::map<std::string, std::uint32_t> held_;
  std::map<std::string, std::uint32_t> borrowed_;
};

std::vector<std::uint32_t> DemandsByMember(const std::vector<MemberDemand>& members,
                                           const std::string& service) {
  std::vector<std::uint32_t> demands;
  for (const MemberDemand& member : members) {
    const auto found = member.by_service.find(service);
    const std::uint32_t units = found == member.by_service.end() ? 0 : found->second;
    demands.push_back((units + kDemandUnits - 1) / kDemandUnits);
  }
  return demands;
}

/// How the slots of one service are split among the members: each owns one range of a line on
/// which the service's parts of all pools follow each other.
class MemberRanges {
 public:
  MemberRanges(std::uint32_t slots, const std::vector<std::uint32_t>& demands)
      : shares_(DivideAmongMembers(slots, demands)) {}

  /// Shares of the members in the next `slots` of the line.
  std::vector<std::uint32_t> Next(std::uint32_t slots) {
    std::vector<std::uint32_t> taken(shares_.size(), 0);
    for (std::size_t member = 0; member < shares_.size() && slots > 0; ++member) {
      taken[member] = std::min(shares_[member], slots);
      shares_[member] -= taken[member];
      slots -= taken[member];
    }
    return taken;
  }

 private:
  std::vector<std::uint32_t> shares_;
};

std::map<std::string, MemberRanges> RangesByService(const Division& division,
                                                    const std::vector<MemberDemand>& members) {
  std::map<std::string, std::uint32_t> slots;
  for (const auto& [pool, parts] : division.parts()) {
    for (const PoolPart& part : parts) slots[part.service] += part.slots;
  }
  std::map<std::string, MemberRanges> ranges;
  for (const auto& [service, count] : slots) {
    ranges.emplace(service, MemberRanges(count, DemandsByMember(members, service)));
  }
  return ranges;
}

std::uint32_t QueuePlaces(const ServiceProfile& profile, std::size_t members) {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(members, 1));
  return (profile.queue_places + count - 1) / count;
}

}  // namespace

std::map<std::string, ServiceAllotment> ComputeAllotments(const RouteView& view,
                                                          const std::vector<MemberDemand>& members,
                                                          const std::string& self) {
  std::map<std::string, ServiceAllotment> allotments;
  for (const auto& [name, service] : view.services) {
    allotments[name].queue_places = QueuePlaces(service.profile, members.size());
  }
  const auto found = std::find_if(members.begin(), members.end(), [&](const MemberDemand& member) {
    return member.member == self;
  });
  const auto self_index = static_cast<std::size_t>(found - members.begin());
  const Division division(view, members);
  auto ranges = RangesByService(division, members);
  for (const auto& [pool_name, parts] : division.parts()) {
    const PoolRoute& pool = view.pools.at(pool_name);
    std::vector<std::uint32_t> shares;
    for (const PoolPart& part : parts) {
      const auto by_member = ranges.at(part.service).Next(part.slots);
      shares.insert(shares.end(), by_member.begin(), by_member.end());
    }
    const auto runners = static_cast<std::uint32_t>(pool.runners.size());
    const auto owned = DealSlots(pool.spec.runner_slots, runners, shares);
    for (std::size_t i = 0; i < parts.size(); ++i) {
      ServiceAllotment& allotment = allotments[parts[i].service];
      allotment.fleet_slots += parts[i].slots;
      if (parts[i].borrowed) allotment.borrowed += parts[i].slots;
      if (self_index == members.size()) continue;
      const auto& mine = owned[i * members.size() + self_index];
      for (std::uint32_t runner = 0; runner < runners; ++runner) {
        if (mine[runner] == 0) continue;
        allotment.slots += mine[runner];
        allotment.runners.push_back({pool.runners[runner].instance, pool.runners[runner].endpoint,
                                     mine[runner], parts[i].borrowed});
      }
    }
  }
  return allotments;
}

}  // namespace wigeonlane
