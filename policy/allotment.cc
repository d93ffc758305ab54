#include "policy/allotment.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "policy/demand_meter.h"
#include "policy/shares.h"

namespace wigeonlane {
namespace {

constexpr double kMaxDemandSlots = 1e6;

/// Slots of one pool that one service gets.
struct PoolShare {
  std::string service;
  std::uint32_t slots = 0;
  bool borrowed = false;  ///< The service is not resident in the pool.
};

/// Returns the slots that a service needs over all members: the mean plus one standard deviation of
/// random (Poisson) arrivals, computed once for the whole fleet.
std::uint32_t TotalDemandSlots(const std::vector<MemberDemand>& members,
                               const std::string& service) {
  std::uint64_t total = 0;
  for (const MemberDemand& member : members) {
    const auto found = member.by_service.find(service);
    if (found != member.by_service.end()) total += found->second;
  }
  const double mean = static_cast<double>(total) / kDemandUnitsPerSlot;
  return static_cast<std::uint32_t>(std::min(std::ceil(mean + std::sqrt(mean)), kMaxDemandSlots));
}

/// Divides a pool among its resident services; slots that no service demands are split evenly.
std::vector<PoolShare> DivideAmongResidentServices(const RouteView& view, const PoolRoute& pool,
                                                   const std::vector<MemberDemand>& members,
                                                   std::uint32_t capacity) {
  std::vector<ShareClaim> claims;
  for (const std::string& service : pool.services) {
    const std::uint32_t floor = view.services.at(service).profile.floor_slots;
    claims.push_back({TotalDemandSlots(members, service), floor, capacity});
  }
  const std::vector<std::uint32_t> shares = DivideByDemand(capacity, claims);
  std::uint32_t unallotted = capacity - std::accumulate(shares.begin(), shares.end(), 0U);
  std::vector<PoolShare> pool_shares;
  for (std::size_t i = 0; i < pool.services.size(); ++i) {
    const auto others = static_cast<std::uint32_t>(pool.services.size() - i);
    const std::uint32_t extra = unallotted / others;
    unallotted -= extra;
    pool_shares.push_back({pool.services[i], shares[i] + extra, false});
  }
  return pool_shares;
}

/// Returns the slots of a spare pool that its resident services need neither for their floors nor
/// for their demand.
std::uint32_t LendableSlots(const RouteView& view, const PoolRoute& pool,
                            const std::vector<MemberDemand>& members) {
  std::uint64_t reserved = 0;
  for (const std::string& service : pool.services) {
    reserved +=
        std::max(view.services.at(service).profile.floor_slots, TotalDemandSlots(members, service));
  }
  return reserved >= pool.slots() ? 0 : pool.slots() - static_cast<std::uint32_t>(reserved);
}

/// CellAssignment of all pools among services: resident services in every pool, borrowers in spare
/// pools.
class PoolDivision {
 public:
  PoolDivision(const RouteView& view, const std::vector<MemberDemand>& members)
      : view_(view), members_(members) {
    for (const auto& [name, pool] : view.pools) {
      if (!pool.spec.spare) AddResidentServices(name, pool, pool.slots());
    }
    for (const auto& [name, pool] : view.pools) {
      if (pool.spec.spare) AddSparePool(name, pool);
    }
  }

  const std::map<std::string, std::vector<PoolShare>>& pool_shares() const {
    return shares_by_pool_;
  }

 private:
  void AddResidentServices(const std::string& name, const PoolRoute& pool, std::uint32_t capacity) {
    for (PoolShare& pool_share : DivideAmongResidentServices(view_, pool, members_, capacity)) {
      allotted_slots_[pool_share.service] += pool_share.slots;
      shares_by_pool_[name].push_back(std::move(pool_share));
    }
  }

  void AddSparePool(const std::string& name, const PoolRoute& pool) {
    std::vector<std::string> borrowers;
    std::vector<ShareClaim> claims;
    for (const auto& [service, route] : view_.services) {
      if (route.spec.pool == name || route.profile.borrow_slots == 0) continue;
      const std::uint32_t demand = TotalDemandSlots(members_, service);
      const std::uint32_t allotted = allotted_slots_[service];
      const std::uint32_t limit = route.profile.borrow_slots - borrowed_slots_[service];
      borrowers.push_back(service);
      claims.push_back({demand > allotted ? demand - allotted : 0, 0, limit});
    }
    const std::vector<std::uint32_t> granted =
        DivideByDemand(LendableSlots(view_, pool, members_), claims);
    const std::uint32_t total = std::accumulate(granted.begin(), granted.end(), 0U);
    AddResidentServices(name, pool, pool.slots() - total);
    for (std::size_t i = 0; i < borrowers.size(); ++i) {
      if (granted[i] == 0) continue;
      allotted_slots_[borrowers[i]] += granted[i];
      borrowed_slots_[borrowers[i]] += granted[i];
      shares_by_pool_[name].push_back({borrowers[i], granted[i], true});
    }
  }

  const RouteView& view_;
  const std::vector<MemberDemand>& members_;
  std::map<std::string, std::vector<PoolShare>> shares_by_pool_;
  std::map<std::string, std::uint32_t> allotted_slots_;
  std::map<std::string, std::uint32_t> borrowed_slots_;
};

std::vector<std::uint32_t> DemandsByMember(const std::vector<MemberDemand>& members,
                                           const std::string& service) {
  std::vector<std::uint32_t> demands;
  for (const MemberDemand& member : members) {
    const auto found = member.by_service.find(service);
    const std::uint32_t units = found == member.by_service.end() ? 0 : found->second;
    demands.push_back((units + kDemandUnitsPerSlot - 1) / kDemandUnitsPerSlot);
  }
  return demands;
}

/// Splits the slots of one service among the members. The service's shares of all pools are
/// concatenated, and each member owns one consecutive range of them.
class MemberRanges {
 public:
  MemberRanges(std::uint32_t slots, const std::vector<std::uint32_t>& demands)
      : shares_(DivideAmongMembers(slots, demands)) {}

  /// Returns how many of the next `slots` slots each member owns.
  std::vector<std::uint32_t> TakeNext(std::uint32_t slots) {
    std::vector<std::uint32_t> assigned(shares_.size(), 0);
    for (std::size_t member = 0; member < shares_.size() && slots > 0; ++member) {
      assigned[member] = std::min(shares_[member], slots);
      shares_[member] -= assigned[member];
      slots -= assigned[member];
    }
    return assigned;
  }

 private:
  std::vector<std::uint32_t> shares_;
};

std::map<std::string, MemberRanges> RangesByService(const PoolDivision& pool_division,
                                                    const std::vector<MemberDemand>& members) {
  std::map<std::string, std::uint32_t> slots;
  for (const auto& [pool, pool_shares] : pool_division.pool_shares()) {
    for (const PoolShare& pool_share : pool_shares) slots[pool_share.service] += pool_share.slots;
  }
  std::map<std::string, MemberRanges> ranges;
  for (const auto& [service, count] : slots) {
    ranges.emplace(service, MemberRanges(count, DemandsByMember(members, service)));
  }
  return ranges;
}

std::uint32_t QueuePlacesPerMember(const ServiceProfile& profile, std::size_t members) {
  const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(members, 1));
  return (profile.queue_places + count - 1) / count;
}

}  // namespace

std::map<std::string, ServiceAllotment> ComputeAllotments(const RouteView& view,
                                                          const std::vector<MemberDemand>& members,
                                                          const std::string& self) {
  std::map<std::string, ServiceAllotment> allotments;
  for (const auto& [name, service] : view.services) {
    allotments[name].queue_places = QueuePlacesPerMember(service.profile, members.size());
  }
  const auto found = std::find_if(members.begin(), members.end(), [&](const MemberDemand& member) {
    return member.member == self;
  });
  const auto self_index = static_cast<std::size_t>(found - members.begin());
  const PoolDivision pool_division(view, members);
  auto ranges = RangesByService(pool_division, members);
  for (const auto& [pool_name, pool_shares] : pool_division.pool_shares()) {
    const PoolRoute& pool = view.pools.at(pool_name);
    std::vector<std::uint32_t> shares;
    for (const PoolShare& pool_share : pool_shares) {
      const auto by_member = ranges.at(pool_share.service).TakeNext(pool_share.slots);
      shares.insert(shares.end(), by_member.begin(), by_member.end());
    }
    const auto runners = static_cast<std::uint32_t>(pool.runners.size());
    const auto owned = DistributeSlots(pool.spec.runner_slots, runners, shares);
    for (std::size_t i = 0; i < pool_shares.size(); ++i) {
      ServiceAllotment& allotment = allotments[pool_shares[i].service];
      allotment.fleet_slots += pool_shares[i].slots;
      if (pool_shares[i].borrowed) allotment.borrowed += pool_shares[i].slots;
      if (self_index == members.size()) continue;
      const auto& own_slots = owned[i * members.size() + self_index];
      for (std::uint32_t runner = 0; runner < runners; ++runner) {
        if (own_slots[runner] == 0) continue;
        allotment.slots += own_slots[runner];
        allotment.runners.push_back({pool.runners[runner].instance, pool.runners[runner].endpoint,
                                     own_slots[runner], pool_shares[i].borrowed});
      }
    }
  }
  return allotments;
}

}  // namespace wigeonlane
