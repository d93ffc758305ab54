#include "bench/exchange_model.h"

#include <algorithm>
#include <random>
#include <vector>

namespace wigeonlane {
namespace {

std::size_t PickPeer(PeerChoice choice, const std::vector<std::uint64_t>& log_lengths,
                     std::size_t self, std::mt19937_64* random) {
  if (choice == PeerChoice::kLargestDifference) {
    return static_cast<std::size_t>(std::max_element(log_lengths.begin(), log_lengths.end()) -
                                    log_lengths.begin());
  }
  std::uniform_int_distribution<std::size_t> random_peer(0, log_lengths.size() - 2);
  const std::size_t peer = random_peer(*random);
  return peer < self ? peer : peer + 1;
}

}  // namespace

ExchangeCost RunExchange(PeerChoice choice, std::size_t members, std::uint64_t entries,
                         std::size_t trials, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ExchangeCost total;
  for (std::size_t trial = 0; trial < trials; ++trial) {
    std::uniform_int_distribution<std::uint64_t> length(0, entries);
    std::vector<std::uint64_t> log_lengths(members);
    for (auto& offset : log_lengths) offset = length(random);
    log_lengths[0] = entries;
    double rounds = 0;
    while (*std::min_element(log_lengths.begin(), log_lengths.end()) < entries) {
      ++rounds;
      const std::vector<std::uint64_t> lengths_at_start = log_lengths;
      for (std::size_t self = 0; self < members; ++self) {
        if (lengths_at_start[self] == entries) continue;
        ++total.requests;
        const std::size_t peer = PickPeer(choice, lengths_at_start, self, &random);
        if (lengths_at_start[peer] <= lengths_at_start[self]) continue;
        total.entries += static_cast<double>(lengths_at_start[peer] - lengths_at_start[self]);
        log_lengths[self] = lengths_at_start[peer];
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
