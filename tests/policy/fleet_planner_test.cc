#include "policy/fleet_planner.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace wigeonlane {
namespace {

/// A state, the platform's list and planners; a round folds what all planners write.
class FleetPlannerTest {
 protected:
  FleetPlannerTest() {
    Write(PublishDocument{
              0,
              PoolSpec{
                  .name = "quotes", .min_serving = 7, .runner_slots = 8, .runner_connections = 64}})
        .IgnoreError();
    for (int i = 0; i < 10; ++i) {
      ListedInstance row;
      row.name = "w" + std::to_string(i);
      row.pool = "quotes";
      row.rack = "r" + std::to_string(i / 4);
      row.boots = 1;
      listed_.push_back(row);
    }
    members_ = {{"a", 0, {}}, {"b", 0, {}}};
    RunRounds(4);
  }

  absl::Status Write(const Record& record) {
    return state_.Apply({state_.next_offset(), LogTime(1), "id" + std::to_string(++last_record_id_),
                         EncodeRecord(record)});
  }

  /// Every live member plans once; their records are folded and reboots take one round.
  void RunRound() {
    for (auto& row : listed_) {
      if (row.state != ListedState::kRebooting) continue;
      row.state = ListedState::kLive;
      ++row.boots;
    }
    for (auto& member : members_) member.next_offset = state_.next_offset();
    std::vector<FleetPlan> plans;
    for (auto& member : members_) {
      auto planner = planners_.try_emplace(member.member, member.member).first;
      plans.push_back(planner->second.Plan(state_, listed_, members_, clock_.Now()));
    }
    for (const FleetPlan& plan : plans) {
      for (const auto& planned : plan.records) Write(planned.record).IgnoreError();
      for (const auto& name : plan.reboots) {
        FindRow(name).state = ListedState::kRebooting;
        ++reboots_[name];
      }
    }
    CheckBudget();
  }

  void RunRounds(int count) {
    for (int i = 0; i < count; ++i) RunRound();
  }

  void CheckBudget() {
    const auto found = state_.usage().find("quotes");
    if (found == state_.usage().end()) return;
    const PoolUsage& usage = found->second;
    if (usage.planned_out_total() > 0 && usage.down == 0) CHECK(usage.serving >= 7);
    CHECK(usage.planned_out.size() <= 1);
  }

  ListedInstance& FindRow(const std::string& name) {
    for (auto& row : listed_) {
      if (row.name == name) return row;
    }
    throw std::out_of_range(name);
  }

  Lifecycle LifecycleOf(const std::string& name) const {
    return state_.instances().at(name).lifecycle;
  }

  std::string LeaseHolder() const { return state_.planners().at("quotes").holder; }

  void PublishPlan(std::uint64_t replaces, PlanAction action, std::uint32_t most_out = 2) {
    REQUIRE(Write(PublishDocument{replaces, MaintenancePlan{.name = "spring",
                                                            .pools = {"quotes"},
                                                            .action = action,
                                                            .most_out = most_out,
                                                            .halt_after = 1}})
                .ok());
  }

  std::size_t CountMaintained() const {
    std::size_t count = 0;
    for (const auto& [name, instance] : state_.instances()) {
      if (!instance.maintained.empty() && instance.lifecycle == Lifecycle::kServing) ++count;
    }
    return count;
  }

  ManualClock clock_;
  FleetState state_;
  std::vector<ListedInstance> listed_;
  std::vector<MemberProgress> members_;
  std::map<std::string, FleetPlanner> planners_;
  std::map<std::string, int> reboots_;
  std::uint64_t last_record_id_ = 0;
};

TEST_CASE_METHOD(FleetPlannerTest, "Plan_FromNothing_OneHolderAndAllServe") {
  CHECK(state_.planners().at("quotes").epoch == 1);
  CHECK(state_.usage().at("quotes").serving == 10);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfDrain_WaitsForEveryMembersWord") {
  const auto generation = state_.instances().at("w1").generation;
  members_[1].in_flight["w1"] = 1;
  REQUIRE(Write(DrainInstance{"w1", generation, ""}).ok());
  RunRounds(5);
  CHECK(LifecycleOf("w1") == Lifecycle::kDraining);
  members_[1].in_flight.clear();
  RunRounds(6);
  CHECK(LifecycleOf("w1") == Lifecycle::kServing);
  CHECK(reboots_["w1"] == 1);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfDrainThatNeverClears_GoesOnAfterTheLongestDrain") {
  members_[1].in_flight["w1"] = 1;
  REQUIRE(Write(DrainInstance{"w1", state_.instances().at("w1").generation, ""}).ok());
  RunRounds(2);
  clock_.Advance(FleetPlanner::kMaxDrainTime + std::chrono::seconds(1));
  RunRounds(1);
  CHECK(LifecycleOf("w1") == Lifecycle::kRebooting);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_AfterTheHolderDied_AnotherTakesOverAndFinishes") {
  const std::string dead = LeaseHolder();
  REQUIRE(Write(DrainInstance{"w1", state_.instances().at("w1").generation, ""}).ok());
  std::erase_if(members_, [&](const auto& member) { return member.member == dead; });
  RunRounds(8);
  CHECK(LeaseHolder() != dead);
  CHECK(state_.planners().at("quotes").epoch == 2);
  CHECK(LifecycleOf("w1") == Lifecycle::kServing);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_ByAPausedHolder_ChangesNothingAfterTheTakeOver") {
  FleetPlanner paused(LeaseHolder());
  const FleetState old = state_;
  REQUIRE(Write(ClaimPlanner{"quotes", "c", 2}).ok());
  FindRow("w3").state = ListedState::kGone;
  const FleetPlan late = paused.Plan(old, listed_, members_, clock_.Now());
  REQUIRE(late.records.size() == 1);
  CHECK(absl::IsAborted(Write(late.records[0].record)));
  CHECK(LifecycleOf("w3") == Lifecycle::kServing);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfMaintenance_RebootsEachInstanceOnceByRack") {
  PublishPlan(0, PlanAction::kRun);
  RunRounds(80);
  CHECK(CountMaintained() == 10);
  for (const auto& row : listed_) CHECK(reboots_[row.name] == 1);
  RunRounds(20);
  CHECK(reboots_.size() == 10);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfMaintenance_HaltsOnFailureAndGoesOnAfter") {
  PublishPlan(0, PlanAction::kRun);
  RunRounds(3);
  FindRow("w9").state = ListedState::kGone;
  RunRounds(30);
  const std::size_t halted = CountMaintained();
  CHECK(halted < 10);
  RunRounds(10);
  CHECK(CountMaintained() == halted);
  FindRow("w9").state = ListedState::kLive;
  RunRounds(80);
  CHECK(CountMaintained() == 10);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfMaintenance_PausesAndResumes") {
  PublishPlan(0, PlanAction::kRun);
  RunRounds(3);
  PublishPlan(1, PlanAction::kPause);
  RunRounds(20);
  CHECK(state_.usage().at("quotes").planned_out_total() == 0);
  const std::size_t paused = CountMaintained();
  CHECK(paused < 10);
  PublishPlan(2, PlanAction::kRun);
  RunRounds(100);
  for (const auto& [name, instance] : state_.instances()) CHECK(instance.maintained == "spring@3");
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_OfMove_DrainsRebootsAndServesInTheOtherPool") {
  REQUIRE(Write(PublishDocument{0, PoolSpec{.name = "spare",
                                            .min_serving = 0,
                                            .runner_slots = 8,
                                            .runner_connections = 64}})
              .ok());
  RunRounds(1);
  REQUIRE(Write(MoveInstance{"w2", state_.instances().at("w2").generation, "spare"}).ok());
  RunRounds(8);
  CHECK(LifecycleOf("w2") == Lifecycle::kServing);
  CHECK(state_.usage().at("spare").serving == 1);
  CHECK(state_.usage().at("quotes").serving == 9);
}

TEST_CASE_METHOD(FleetPlannerTest, "Plan_WithEmptyList_TakesNobodyDown") {
  listed_.clear();
  RunRounds(3);
  CHECK(state_.usage().at("quotes").serving == 10);
}

}  // namespace
}  // namespace wigeonlane
