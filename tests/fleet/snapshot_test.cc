#include "fleet/snapshot.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class SnapshotTest {
 protected:
  SnapshotTest() {
    Write(PublishDocument{0, PoolSpec{.name = "quotes", .min_serving = 1, .runner_slots = 8}});
    for (int i = 0; i < 6'000; ++i) {
      Write(AddInstance{"worker" + std::to_string(i), "quotes", "r1", "dc", {"127.0.0.1", 1}});
    }
    Write(OrderBatch{"a", 1, {{Digest{1, 2}, 3}}, {}});
  }

  void Write(const Record& record) {
    state_
        .Apply({state_.next_offset(), LogTime(5), std::to_string(state_.next_offset()),
                EncodeRecord(record)})
        .IgnoreError();
  }

  FleetState state_;
  SnapshotAssembler assembler_;
};

TEST_CASE_METHOD(SnapshotTest, "Take_OfAllChunks_GivesEqualState") {
  const auto chunks = MakeSnapshotChunks(state_);
  REQUIRE(chunks.size() > 1);
  std::optional<FleetState> state;
  for (const auto& chunk : chunks) {
    CHECK_FALSE(state.has_value());
    CHECK(EncodeRecord(Record(chunk)).size() <= kMaxRecordBytes);
    state = assembler_.AddChunk(chunk);
  }
  REQUIRE(state.has_value());
  CHECK(state->StateDigest() == state_.StateDigest());
  CHECK(state->usage() == state_.usage());
  CHECK(state->claims().Find(Digest{1, 2})->author == "a");
}

TEST_CASE_METHOD(SnapshotTest, "Take_OfChangedOrForeignChunks_GivesNothing") {
  auto chunks = MakeSnapshotChunks(state_);
  chunks[0].bytes[10] ^= 1;
  std::optional<FleetState> state;
  for (const auto& chunk : chunks) state = assembler_.AddChunk(chunk);
  CHECK_FALSE(state.has_value());
  CHECK_FALSE(assembler_.AddChunk({.covers = 1, .digest = {}, .index = 5, .count = 2, .bytes = ""})
                  .has_value());
}

TEST_CASE_METHOD(SnapshotTest, "Take_OfInterleavedAndDoubledChunks_GivesTheWholeOne") {
  const auto first = MakeSnapshotChunks(state_);
  Write(ClaimPlanner{"quotes", "a", 1});
  const auto second = MakeSnapshotChunks(state_);
  std::optional<FleetState> state;
  for (std::size_t i = 0; i < second.size(); ++i) {
    if (i + 1 < first.size()) assembler_.AddChunk(first[i]);
    if (i + 1 < second.size()) assembler_.AddChunk(second[i]);
    state = assembler_.AddChunk(second[i]);
  }
  REQUIRE(state.has_value());
  CHECK(state->next_offset() == state_.next_offset());
}

}  // namespace
}  // namespace wigeonlane
