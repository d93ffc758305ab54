/// Snapshots on the log: the state is split into records, from which a new reader assembles it.
#ifndef WIGEONLANE_FLEET_SNAPSHOT_H_
#define WIGEONLANE_FLEET_SNAPSHOT_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "fleet/record.h"
#include "fleet/state.h"

namespace wigeonlane {

/// Bytes of state in one snapshot record.
inline constexpr std::size_t kSnapshotChunkBytes = 256 * 1024;

/// Maximum chunks of one snapshot; a reader drops chunks whose count is larger.
inline constexpr std::uint32_t kMaxSnapshotChunks = 1024;

/// Returns the records of a snapshot of `state`.
std::vector<SnapshotChunk> MakeSnapshotChunks(const FleetState& state);

/// Collects chunks in log order until one snapshot is complete and its digest matches.
class SnapshotAssembler {
 public:
  /// Adds one chunk. Returns the state when the snapshot of the chunk is complete. Drops invalid
  /// chunks and complete snapshots whose digest does not match.
  std::optional<FleetState> AddChunk(const SnapshotChunk& chunk);

 private:
  using SnapshotKey = std::pair<Offset, Digest>;

  std::map<SnapshotKey, std::map<std::uint32_t, std::string>> partial_snapshots_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_SNAPSHOT_H_
