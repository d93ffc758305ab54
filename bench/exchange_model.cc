#include "bench/exchange_model.h"

#include <algorithm>
#include <random>
#include <vector>

namespace wigeonlane {
namespace {

std::size_t PickPeer(PeerChoice choice, const std::vector<std::uint64_t>& held, std::size_t self,
                     std::mt19937_64* random) {
  if (choice == PeerChoice::kLargestDifference) {
    return static_cast<std::size_t>(std::max_element(held.begin(), held.end()) - held.begin());
  }
  std::uniform_int_distribution<std::size_t> other(0, held.size() - 2);
  const std::size_t peer = other(*random);
  return peer < self ? peer : peer + 1;
}

}  // namespace

ExchangeCost RunExchange(PeerChoice choice, std::size_t members, std::uint64_t entries,
                         std::size_t trials, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ExchangeCost total;
  for (std::size_t trial = 0; trial < trials; ++trial) {
    std::uniform_int_distribution<std::uint64_t> length(0, entries);
    std::vector<std::uint64_t> held(members);
    for (auto& offset : held) offset = length(random);
    held[0] = entries;
    double rounds = 0;
    while (*std::min_element(held.begin(), held.end()) < entries) {
      ++rounds;
      const std::vector<std::uint64_t> before = held;
      for (std::size_t self = 0; self < members; ++self) {
        if (before[self] == entries) continue;
        ++total.requests;
        const std::size_t peer = PickPeer(choice, before, self, &random);
        if (before[peer] <= before[self]) continue;
        total.entries += static_cast<double>(before[peer] - before[self]);
        held[self] = before[peer];
      }
    }
    total.rounds += rounds;
    total.worst_rounds = std::max(total.worst_rounds, rounds);
  }
  const auto count = static_cast<double>(trials);
  total.rounds /= count;
  total.requests /= count;
  total.entries /= count;
  return total;
}

}  // namespace wigeonlane
