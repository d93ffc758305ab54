/// Single-threaded simulation of several folds of one log for fuzzing of the shared state. Its
/// oracle recounts the instances of each pool after every record.
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

/// Numbers of any size are wrapped, so that every command is valid. Records are often written with
/// stale preconditions, as concurrent and paused writers do.
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
  /// Records that all instances of a rack are down, as the planners of their pools do.
  void FailRack(std::size_t rack);
  /// Appends a copy of an earlier record, with the same id or a new id.
  void Redeliver(std::size_t record, bool same_id);
  void Fold(std::size_t fold, std::size_t entries);
  /// Delivers entries from a peer out of order; only the next entry may be applied.
  void FoldShuffled(std::size_t fold, std::size_t from);
  void Snapshot(std::size_t fold);
  void Trim(std::size_t retained_entries);
  /// Replaces a fold by a new one that starts from the retained log, or from a peer's state.
  void Restart(std::size_t fold, std::size_t peer);

  /// Folds all appended entries in every fold.
  void Settle();

  /// Description of the first violated invariant, or an empty string.
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
  void RecordViolation(const std::string& violation);

  std::vector<LogEntry> log_;
  Offset first_retained_ = 0;
  FleetState reference_;  ///< Folds every record as it is appended.
  std::vector<FleetState> folds_;
  std::map<Offset, Digest> digests_;  ///< Oracle: digests of the reference, by offset.
  std::uint64_t last_id_ = 0;
  std::string broken_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_TESTS_FLEET_FLEET_WORLD_H_
