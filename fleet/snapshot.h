/// Snapshots on the log: the state cut into records, and put together again by a new reader.
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

/// Most chunks that one snapshot may have; a reader drops what claims more.
inline constexpr std::uint32_t kMaxSnapshotChunks = 1024;

/// The records of a snapshot of `state`.
std::vector<SnapshotChunk> MakeSnapshotChunks(const FleetState& state);

/// Collects chunks in log order until one snapshot is whole and its digest matches.
class SnapshotAssembler {
 public:
  /// Takes one chunk. Returns the state once its snapshot is whole; chunks that do not fit, and
  /// wholes whose digest does not match, are dropped.
  std::optional<FleetState> AddChunk(const SnapshotChunk& chunk);

 private:
  using SnapshotKey = std::pair<Offset, Digest>;

  std::map<SnapshotKey, std::map<std::uint32_t, std::string>> partial_snapshots_;
};

}  // namespace wigeonlane

#endif  // WIGEONLANE_FLEET_SNAPSHOT_H_
