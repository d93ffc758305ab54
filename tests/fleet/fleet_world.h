/// Several folds of one log in one thread, for fuzzing of the shared state, with an oracle that
/// recounts pools and budgets from scratch.
#ifndef WIGEONLANE_TESTS_FLEET_FLEET_WORLD_H_
#define WIGEONLANE_TESTS_FLEET_FLEET_WORLD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/digest.h"
#include "fleet/snapshot.h"
#include "fleet/state.h"

namespace wigeonlane {

/// Numbers of any size are wrapped, so that each command is always valid. Records are written with
/// preconditions that are often stale, as racing and paused writers do.
class FleetWorld {
 public:
  static constexpr std::size_t kFolds = 4;
  static constexpr std::size_t kPools = 3;
  static constexpr std::size_t kWorkers = 10;

  FleetWorld();

  void Publish(std::size_t pool, std::uint64_t replaces_back, std::uint32_t min_serving);
  void Add(std::size_t worker, std::size_t pool);
  void Drain(std::size_t worker, std::uint64_t generations_back);
  void Move(std::size_t worker, std::size_t pool, std::uint64_t generations_back);
  void Advance(std::size_t worker, std::size_t stage, std::uint64_t epochs_back);
  void Claim(std::size_t pool, std::size_t holder, std::uint64_t epochs_back);
  void Order(std::size_t author, std::uint64_t sequence, std::uint64_t key);
  /// A whole rack goes down, as its pools' planners report it.
  void FailRack(std::size_t rack);
  /// An earlier record comes again, with its own id or a new one.
  void Redeliver(std::size_t record, bool same_id);
  void Fold(std::size_t fold, std::size_t entries);
  /// Entries come from a peer in any order; only the next one may be taken.
  void FoldShuffled(std::size_t fold, std::size_t from);
  void Snapshot(std::size_t fold);
  void Trim(std::size_t retained_entries);
  /// A new instance starts from what is left on the log, or from a peer's state.
  void Restart(std::size_t fold, std::size_t peer);

  /// Lets every fold catch up.
  void Settle();

  const std::string& broken() const { return broken_; }

 private:
  FleetState& At(std::size_t fold) { return folds_[fold % kFolds]; }
  void Write(const Record& record);
  void Append(const std::string& id, const std::string& payload);
  void ApplyNext(FleetState* fold);
  void CheckTransition(const FleetState& before, const Record& record, const absl::Status& outcome);
  void CheckRepeatedRecord(const FleetState& before);
  void CheckUsage();
  void CheckDigest(const FleetState& fold);
  void RecordViolation(const std::string& what);

  std::vector<LogEntry> log_;
  Offset first_retained_ = 0;
  FleetState reference_;  ///< Folds every record as it is appended.
  std::vector<FleetState> folds_;
  std::map<Offset, Digest> digests_;  ///< Oracle: of the reference, by offset.
  std::uint64_t last_id_ = 0;
  std::string broken_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_FLEET_FLEET_WORLD_H_
