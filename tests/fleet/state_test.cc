#include "fleet/state.h"

#include <catch2/catch.hpp>

#include "fleet/route_view.h"

namespace wigeonlane {
namespace {

class FleetStateTest {
 protected:
  FleetStateTest() {
    Setup(PublishDocument{0, PoolSpec{.name = "quotes", .min_serving = 2, .runner_slots = 8}});
    Setup(PublishDocument{
        0, PoolSpec{.name = "spare", .min_serving = 0, .runner_slots = 8, .spare = true}});
    Setup(ClaimPlanner{"quotes", "a", 1});
    Setup(ClaimPlanner{"spare", "a", 1});
    for (const char* name : {"w1", "w2", "w3"}) {
      Setup(AddInstance{name, "quotes", "r1", "dc", {"127.0.0.1", 1}});
      Setup(AdvanceInstance{name, 1, Lifecycle::kServing, 1, 0});
    }
  }

  void Setup(const Record& record) { REQUIRE(Write(record).ok()); }

  absl::Status Write(const Record& record, std::string id = "") {
    if (id.empty()) id = "id" + std::to_string(state_.next_offset());
    return state_.Apply({state_.next_offset(), LogTime(1'000), id, EncodeRecord(record)});
  }

  absl::Status Publish(std::uint64_t replaces, const Document& document) {
    return Write(PublishDocument{replaces, document});
  }

  const Instance& At(const std::string& name) const { return state_.instances().at(name); }

  FleetState state_;
};

TEST_CASE_METHOD(FleetStateTest, "Apply_OutOfOrder_ConsumesNothing") {
  const Offset next = state_.next_offset();
  const std::string payload = EncodeRecord(ClaimPlanner{"quotes", "b", 2});
  CHECK(absl::IsOutOfRange(state_.Apply({next + 1, LogTime(1), "x", payload})));
  CHECK(absl::IsAlreadyExists(state_.Apply({next - 1, LogTime(1), "x", payload})));
  CHECK(state_.next_offset() == next);
}

TEST_CASE_METHOD(FleetStateTest, "Publish_RacingForOneVersion_OneWins") {
  PoolSpec mine{.name = "quotes", .min_serving = 1, .runner_slots = 8};
  PoolSpec theirs{.name = "quotes", .min_serving = 0, .runner_slots = 8};
  CHECK(Publish(1, mine).ok());
  CHECK(absl::IsAborted(Publish(1, theirs)));
  CHECK(state_.Find<PoolSpec>("quotes")->min_serving == 1);
}

TEST_CASE_METHOD(FleetStateTest, "Publish_SameRecordTwice_KeepsFirstOutcome") {
  const PublishDocument publish{1, PoolSpec{.name = "quotes", .min_serving = 1, .runner_slots = 8}};
  CHECK(Write(publish, "mine").ok());
  CHECK(Write(publish, "mine").ok());
  CHECK(state_.documents().at({"pool", "quotes"}).version == 2);
  CHECK(state_.OutcomeOf("mine")->accepted);
}

TEST_CASE_METHOD(FleetStateTest, "Publish_FloorAboveWhatBudgetKeeps_IsRejected") {
  REQUIRE(Publish(0, ServiceProfile{.name = "counter", .floor_slots = 17}).ok());
  CHECK_FALSE(Publish(0, ServiceSpec{"quotes", "quotes", "counter"}).ok());
  REQUIRE(Publish(1, ServiceProfile{.name = "counter", .floor_slots = 16}).ok());
  CHECK(Publish(0, ServiceSpec{"quotes", "quotes", "counter"}).ok());
  CHECK_FALSE(Publish(2, ServiceProfile{.name = "counter", .floor_slots = 17}).ok());
  CHECK_FALSE(Publish(1, PoolSpec{.name = "quotes", .min_serving = 1, .runner_slots = 8}).ok());
  CHECK_FALSE(Publish(0, ServiceSpec{"stock", "nowhere", "counter"}).ok());
}

TEST_CASE_METHOD(FleetStateTest, "Publish_History_KeepsEarlierVersions") {
  for (std::uint64_t version = 1; version <= 12; ++version) {
    REQUIRE(Publish(version, PoolSpec{.name = "quotes", .min_serving = 0, .runner_slots = 8}).ok());
  }
  const auto& earlier = state_.history().at({"pool", "quotes"});
  CHECK(earlier.size() == FleetState::kMaxKeptVersions);
  CHECK(earlier.back().version == 12);
}

TEST_CASE_METHOD(FleetStateTest, "Drain_InsideBudget_StopsRoutingAtOnce") {
  CHECK(Write(DrainInstance{"w1", 2, ""}).ok());
  CHECK(At("w1").lifecycle == Lifecycle::kDraining);
  const auto view = MakeRouteView(state_);
  CHECK(view->pools.at("quotes").runners.size() == 2);
  CHECK(view->draining == std::vector<std::string>{"w1"});
}

TEST_CASE_METHOD(FleetStateTest, "Drain_BelowBudgetOrStaleOrTwice_IsRejected") {
  CHECK(absl::IsAborted(Write(DrainInstance{"w1", 1, ""})));
  REQUIRE(Write(DrainInstance{"w1", 2, ""}).ok());
  CHECK_FALSE(Write(DrainInstance{"w1", 2, ""}).ok());
  CHECK(absl::IsFailedPrecondition(Write(DrainInstance{"w2", 2, ""})));
  CHECK(absl::IsNotFound(Write(DrainInstance{"w9", 1, ""})));
}

TEST_CASE_METHOD(FleetStateTest, "Move_RacingOperators_InstanceIsInOnePool") {
  CHECK(Write(MoveInstance{"w1", 2, "spare"}).ok());
  CHECK(absl::IsAborted(Write(MoveInstance{"w1", 2, "spare"})));
  CHECK(At("w1").pool == "spare");
  CHECK(state_.usage().at("quotes").members == 2);
  CHECK(state_.usage().at("spare").members == 1);
  CHECK_FALSE(Write(MoveInstance{"w2", 2, "spare"}).ok());
}

TEST_CASE_METHOD(FleetStateTest, "Advance_ByPlannerOfOldEpoch_IsRejected") {
  REQUIRE(Write(DrainInstance{"w1", 2, ""}).ok());
  REQUIRE(Write(ClaimPlanner{"quotes", "b", 2}).ok());
  CHECK(absl::IsAborted(Write(AdvanceInstance{"w1", 3, Lifecycle::kRebooting, 1, 4})));
  CHECK(Write(AdvanceInstance{"w1", 3, Lifecycle::kRebooting, 2, 4}).ok());
  CHECK(At("w1").boots == 4);
}

TEST_CASE_METHOD(FleetStateTest, "Advance_SkippingAStage_IsRejected") {
  CHECK_FALSE(Write(AdvanceInstance{"w1", 2, Lifecycle::kRebooting, 1, 0}).ok());
  CHECK_FALSE(Write(AdvanceInstance{"w1", 2, Lifecycle::kDraining, 1, 0}).ok());
  CHECK(Write(AdvanceInstance{"w1", 2, Lifecycle::kDown, 1, 0}).ok());
}

TEST_CASE_METHOD(FleetStateTest, "ClaimPlanner_Racing_OneEpochOneHolder") {
  CHECK(Write(ClaimPlanner{"quotes", "b", 2}).ok());
  CHECK(absl::IsAborted(Write(ClaimPlanner{"quotes", "c", 2})));
  CHECK(state_.planners().at("quotes").holder == "b");
}

TEST_CASE_METHOD(FleetStateTest, "OrderBatch_FirstInLogOrder_Wins") {
  const Digest key{1, 2};
  CHECK(Write(OrderBatch{"a", 1, {{key, 7}}, {}}).ok());
  CHECK(Write(OrderBatch{"b", 1, {{key, 7}}, {}}).ok());
  CHECK(state_.claims().Find(key)->author == "a");
  CHECK_FALSE(Write(OrderBatch{"a", 1, {}, {key}}).ok());
  CHECK(Write(OrderBatch{"b", 2, {}, {key}}).ok());
  CHECK_FALSE(state_.claims().Find(key)->released);
  CHECK(Write(OrderBatch{"a", 2, {}, {key}}).ok());
  CHECK(state_.claims().Find(key)->released);
}

TEST_CASE_METHOD(FleetStateTest, "OrderBatch_AfterRetention_ForgetsTheKey") {
  const Digest key{1, 2};
  REQUIRE(Write(OrderBatch{"a", 1, {{key, 7}}, {}}).ok());
  const LogTime later = LogTime(1'000) + ClaimTable::kRetention + LogTime(1);
  const OrderBatch other{"b", 1, {{Digest{3, 4}, 1}}, {}};
  REQUIRE(state_.Apply({state_.next_offset(), later, "late", EncodeRecord(other)}).ok());
  CHECK_FALSE(state_.claims().Find(key).has_value());
  CHECK(state_.claims().Find(Digest{3, 4}).has_value());
}

TEST_CASE_METHOD(FleetStateTest, "Apply_OfUnreadablePayload_IsConsumedAndChangesNothing") {
  const Offset next = state_.next_offset();
  CHECK_FALSE(state_.Apply({next, LogTime(1), "junk", "\x07junk"}).ok());
  CHECK(state_.next_offset() == next + 1);
  CHECK(state_.instances().size() == 3);
}

}  // namespace
}  // namespace wigeonlane
