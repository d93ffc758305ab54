/// Model of the exchange of log suffixes: which peer to ask first, in rounds and entries sent.
#ifndef WIGEONLANE_BENCH_EXCHANGE_MODEL_H_
#define WIGEONLANE_BENCH_EXCHANGE_MODEL_H_

#include <cstddef>
#include <cstdint>

namespace wigeonlane {

/// Which member one that is behind asks.
enum class PeerChoice { kLargestDifference, kRandom };

/// Totals of one exchange until every member has the whole log.
struct ExchangeCost {
  double rounds = 0;        ///< Until the last member is up to date, mean over trials.
  double worst_rounds = 0;  ///< The most rounds of any trial.
  double requests = 0;      ///< Questions asked by all members, mean.
  double entries = 0;       ///< Entries sent to all members, mean.
};

/// Members hold prefixes of a log of `entries` records of random length, and one holds it all; in
/// a round every member asks one other for its suffix, of what all held at the round's start.
ExchangeCost RunExchange(PeerChoice choice, std::size_t members, std::uint64_t entries,
                         std::size_t trials, std::uint64_t seed);

}  // namespace wigeonlane

#endif  // WIGEONLANE_BENCH_EXCHANGE_MODEL_H_
