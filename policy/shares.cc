#include "policy/shares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace wigeonlane {
namespace {

/// Max-min fair division of `capacity` among `wants`. What does not divide evenly goes to the
/// first claimants that still want more.
std::vector<std::uint32_t> MaxMin(std::uint32_t capacity, const std::vector<std::uint32_t>& wants) {
  std::vector<std::size_t> order(wants.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return wants[a] < wants[b]; });
  std::vector<std::uint32_t> grants(wants.size(), 0);
  std::uint32_t remaining = capacity;
  std::size_t claimants = wants.size();
  for (const std::size_t index : order) {
    const auto fair = static_cast<std::uint32_t>(remaining / claimants);
    const auto round_up = static_cast<std::uint32_t>(remaining % claimants != 0 ? 1 : 0);
    grants[index] = std::min(wants[index], fair + round_up);
    remaining -= grants[index];
    --claimants;
  }
  return grants;
}

}  // namespace

std::vector<std::uint32_t> DivideByDemand(std::uint32_t capacity,
                                          const std::vector<ShareClaim>& claims) {
  std::vector<std::uint32_t> wants;
  wants.reserve(claims.size());
  for (const ShareClaim& claim : claims) wants.push_back(std::min(claim.guaranteed, claim.limit));
  std::vector<std::uint32_t> shares = MaxMin(capacity, wants);
  const std::uint32_t used = std::accumulate(shares.begin(), shares.end(), 0U);
  for (std::size_t i = 0; i < claims.size(); ++i) {
    const std::uint32_t wanted = std::min(claims[i].demand, claims[i].limit);
    wants[i] = wanted > shares[i] ? wanted - shares[i] : 0;
  }
  const std::vector<std::uint32_t> demand_grants = MaxMin(capacity - used, wants);
  for (std::size_t i = 0; i < claims.size(); ++i) shares[i] += demand_grants[i];
  return shares;
}

std::vector<std::uint32_t> DivideAmongMembers(std::uint32_t capacity,
                                              const std::vector<std::uint32_t>& demands) {
  if (demands.empty()) return {};
  std::vector<ShareClaim> claims;
  claims.reserve(demands.size());
  for (const std::uint32_t demand : demands) claims.push_back({demand, 1, capacity});
  std::vector<std::uint32_t> shares = DivideByDemand(capacity, claims);
  const std::uint32_t remaining = capacity - std::accumulate(shares.begin(), shares.end(), 0U);
  const auto members = static_cast<std::uint32_t>(demands.size());
  for (std::uint32_t i = 0; i < members; ++i) {
    shares[i] += remaining / members + (i < remaining % members ? 1 : 0);
  }
  return shares;
}

std::vector<std::vector<std::uint32_t>> DistributeSlots(std::uint32_t slots_per_runner,
                                                        std::uint32_t runners,
                                                        const std::vector<std::uint32_t>& shares) {
  std::vector<std::vector<std::uint32_t>> owned(shares.size(),
                                                std::vector<std::uint32_t>(runners, 0));
  if (runners == 0) return owned;
  const std::uint64_t total = std::uint64_t{slots_per_runner} * runners;
  std::uint64_t slot = 0;
  for (std::size_t claimant = 0; claimant < shares.size(); ++claimant) {
    for (std::uint32_t taken = 0; taken < shares[claimant] && slot < total; ++taken, ++slot) {
      ++owned[claimant][slot % runners];
    }
  }
  return owned;
}

}  // namespace wigeonlane
