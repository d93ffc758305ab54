#include "fleet/snapshot.h"

#include <algorithm>

#include "core/codec.h"

namespace wigeonlane {
namespace {

constexpr std::size_t kMaxPartialSnapshots = 4;

}  // namespace

std::vector<SnapshotChunk> MakeSnapshotChunks(const FleetState& state) {
  const std::string bytes = Encode(state);
  const std::size_t count = (bytes.size() + kSnapshotChunkBytes - 1) / kSnapshotChunkBytes;
  std::vector<SnapshotChunk> chunks;
  for (std::size_t index = 0; index < count; ++index) {
    chunks.push_back({.covers = state.next_offset(),
                      .digest = DigestOf(bytes),
                      .index = static_cast<std::uint32_t>(index),
                      .count = static_cast<std::uint32_t>(count),
                      .bytes = bytes.substr(index * kSnapshotChunkBytes, kSnapshotChunkBytes)});
  }
  return chunks;
}

std::optional<FleetState> SnapshotAssembler::AddChunk(const SnapshotChunk& chunk) {
  if (chunk.count == 0 || chunk.count > kMaxSnapshotChunks || chunk.index >= chunk.count) {
    return std::nullopt;
  }
  const SnapshotKey key{chunk.covers, chunk.digest};
  auto& parts = partial_snapshots_[key];
  parts[chunk.index] = chunk.bytes;
  if (parts.size() < chunk.count) {
    if (partial_snapshots_.size() > kMaxPartialSnapshots)
      partial_snapshots_.erase(partial_snapshots_.begin());
    return std::nullopt;
  }
  std::string bytes;
  for (const auto& [index, part] : parts) bytes += part;
  partial_snapshots_.erase(key);
  if (DigestOf(bytes) != chunk.digest) return std::nullopt;
  absl::StatusOr<FleetState> state = Decode<FleetState>(bytes);
  if (!state.ok() || state->next_offset() != chunk.covers) return std::nullopt;
  return *std::move(state);
}

}  // namespace wigeonlane
