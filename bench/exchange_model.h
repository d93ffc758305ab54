/// Model of the exchange of log suffixes: cost of each peer selection in rounds and entries sent.
#ifndef WIGEONLANE_BENCH_EXCHANGE_MODEL_H_
#define WIGEONLANE_BENCH_EXCHANGE_MODEL_H_

#include <cstddef>
#include <cstdint>

namespace wigeonlane {

/// Peer from which a member that lacks entries requests them: the one with the longest log, or any.
enum class PeerChoice { kLargestDifference, kRandom };

/// Cost of one exchange until every member has the whole log.
struct ExchangeCost {
  double rounds = 0;        ///< Rounds until every member has the whole log, mean over trials.
  double worst_rounds = 0;  ///< Maximum rounds of any trial.
  double requests = 0;      ///< Requests of all members, mean over trials.
  double entries = 0;       ///< Entries sent to all members, mean over trials.
};

/// Simulates members that start with prefixes of random length of a log of `entries` records; one
/// member has the whole log. In each round every other member requests the missing suffix from one
/// peer, which sends the entries that it had at the start of the round.
ExchangeCost RunExchange(PeerChoice choice, std::size_t members, std::uint64_t entries,
                         std::size_t trials, std::uint64_t seed);

}  // namespace wigeonlane

#endif  // WIGEONLANE_BENCH_EXCHANGE_MODEL_H_
