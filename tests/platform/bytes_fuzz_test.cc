/// Feeds random and mutated bytes to every parser of input from outside the process. Guards against
/// crashes on malformed input.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>

#include "fleet/document.h"
#include "fleet/record.h"
#include "fleet/state.h"
#include "load/load_plan.h"
#include "peer/messages.h"
#include "platform/http_instance_list.h"
#include "platform/http_log_service.h"
#include "tests/support/property.h"

namespace wigeonlane {
namespace {

constexpr int kRuns = 20'000;

class BytesFuzzTest {
 protected:
  /// Changes or inserts some bytes of a valid text, or cuts it.
  static std::string Mutate(std::string text) {
    const auto mutations = *rc::gen::inRange(0, 6);
    for (int i = 0; i < mutations && !text.empty(); ++i) {
      const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto byte = static_cast<char>(*rc::gen::inRange(0, 256));
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          text[position] = byte;
          break;
        case 1:
          text.resize(position);
          break;
        default:
          text.insert(position, 1, byte);
      }
    }
    return text;
  }

  /// Returns a mutation of one of the valid texts, or sometimes random bytes.
  static std::string MutatedOrRandom(const std::vector<std::string>& valid) {
    if (*rc::gen::inRange(0, 4) == 0) return *rc::gen::arbitrary<std::string>();
    return Mutate(*rc::gen::elementOf(valid));
  }
};

TEST_CASE_METHOD(BytesFuzzTest,
                 "FleetState_AppliesArbitraryRecordBytes_AdvancesOffsetWithoutCrash") {
  const std::vector<std::string> valid = {
      EncodeRecord(PublishDocument{
          0, PoolSpec{.name = "p", .min_serving = 1, .runner_slots = 8, .runner_connections = 64}}),
      EncodeRecord(PublishDocument{0, MaintenancePlan{.name = "m", .pools = {"p"}}}),
      EncodeRecord(AddInstance{"w", "p", "r", "d", {"127.0.0.1", 1}}),
      EncodeRecord(DrainInstance{"w", 1, ""}),
      EncodeRecord(MoveInstance{"w", 1, "q"}),
      EncodeRecord(AdvanceInstance{"w", 1, Lifecycle::kServing, 1, 0}),
      EncodeRecord(ClaimPlanner{"p", "h", 1}),
      EncodeRecord(OrderBatch{"a", 1, {{Digest{1, 2}, 3}}, {Digest{4, 5}}}),
      EncodeRecord(SnapshotChunk{1, Digest{1, 2}, 0, 1, "bytes"})};
  FleetState state;
  RequireProperty(71, kRuns, [&] {
    const auto offset = state.next_offset();
    state.Apply({offset, LogTime(1), std::to_string(offset), MutatedOrRandom(valid)}).IgnoreError();
    RC_ASSERT(state.next_offset() == offset + 1);
    for (const auto& [key, published] : state.documents()) ToJson(published.document);
  });
}

TEST_CASE_METHOD(BytesFuzzTest, "PeerMessages_ArbitraryBytes_AreDecodedOrRejected") {
  Heartbeat heartbeat;
  heartbeat.incarnation = "a";
  heartbeat.demand = {{"quotes", 1}};
  const std::vector<std::string> datagrams = EncodeHeartbeat(heartbeat);
  const std::vector<std::string> frames = {
      EncodeRequest(SuffixRequest{1}), EncodeRequest(OutcomeRequest{{1, 2}}),
      EncodeResponse(StateResponse{{1, 2}, "bytes"}),
      EncodeResponse(SuffixResponse{{{1, LogTime(1), "i", "p"}}})};
  RequireProperty(72, kRuns, [&] {
    DecodeHeartbeat(MutatedOrRandom(datagrams)).status().IgnoreError();
    const std::string frame = MutatedOrRandom(frames);
    DecodeRequest(frame).status().IgnoreError();
    DecodeResponse(frame).status().IgnoreError();
    Decode<FleetState>(frame).status().IgnoreError();
  });
}

TEST_CASE_METHOD(BytesFuzzTest, "Documents_ArbitraryText_AreParsedOrRejected") {
  const std::vector<std::string> valid = {
      R"({"name": "counter", "floor_slots": 48, "queue_places": 400, "default_deadline": "2s"})",
      R"({"name": "quotes", "pool": "quotes", "profile": "counter"})",
      R"({"name": "quotes", "min_serving": 7, "spare": true})",
      R"({"name": "spring", "pools": ["quotes"], "most_out": 2})"};
  RequireProperty(73, kRuns, [&] {
    const std::string text = MutatedOrRandom(valid);
    for (const char* kind : {"profile", "service", "pool", "plan"}) {
      const auto document = ParseDocument(kind, text);
      if (document.ok()) RC_ASSERT(*ParseDocument(kind, ToJson(*document)) == *document);
    }
  });
}

TEST_CASE_METHOD(BytesFuzzTest, "PlatformResponses_ArbitraryText_AreParsedOrRejected") {
  const std::vector<std::string> valid = {
      R"({"first": 0, "end": 1, "records": [{"offset": 0, "stamp_ms": 5, "id": "a", "payload": "YQ=="}]})",
      R"({"instances": [{"name": "w", "role": "worker", "state": "live", "address": "127.0.0.1:1"}]})",
      R"({"targets": ["127.0.0.1:1"], "streams": [{"service": "a", "per_second": 1}]})"};
  RequireProperty(74, kRuns, [&] {
    const std::string text = MutatedOrRandom(valid);
    ParseLogPage(text).status().IgnoreError();
    ParseInstanceList(text).status().IgnoreError();
    ParseLoadPlan(text).status().IgnoreError();
  });
}

}  // namespace
}  // namespace wigeonlane
