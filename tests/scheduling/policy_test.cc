/// Ranking of jobs, health of runners, pace of best-effort tasks, learned estimates, placement
/// cost.
#include <catch2/catch.hpp>

#include "scheduling/estimate_model.h"
#include "scheduling/job_ranking.h"
#include "scheduling/pace_control.h"
#include "scheduling/placement.h"
#include "scheduling/runner_health.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SchedulingTest {
 protected:
  JobDemand Demand(milliseconds age, double core_seconds) const {
    JobDemand demand;
    demand.accepted = now_ - age;
    demand.objective = milliseconds(2'000);
    demand.remaining_critical_path = milliseconds(700);
    demand.remaining_work = core_seconds;
    return demand;
  }

  static JobId Id(char digit) { return *JobId::Parse(std::string(JobId::kLength, digit)); }

  Instant now_ = Instant(std::chrono::hours(1));
};

TEST_CASE_METHOD(SchedulingTest, "JobRanking_Overload_SmallOnTimeJobsGoBeforeLargeAndLateOnes") {
  const JobRank small = RankJob(Demand(milliseconds(500), 2), now_);
  const JobRank large = RankJob(Demand(milliseconds(900), 40), now_);
  const JobRank late = RankJob(Demand(milliseconds(1'500), 1), now_);
  CHECK(small < large);
  CHECK(large < late);
}

TEST_CASE_METHOD(SchedulingTest, "JobRanking_LateJobs_OldestFirst") {
  CHECK(RankJob(Demand(seconds(9), 5), now_) < RankJob(Demand(seconds(3), 1), now_));
}

TEST_CASE_METHOD(SchedulingTest, "JobRanking_LongRunningTasks_GoFirst") {
  JobDemand long_running = Demand(seconds(9), 500);
  long_running.long_running = true;
  CHECK(RankJob(long_running, now_) < RankJob(Demand(milliseconds(1), 1), now_));
}

TEST_CASE_METHOD(SchedulingTest, "RunnerHealth_TwoJobsFailInARow_OneProbeAtATime") {
  RunnerHealth health;
  health.RecordFailure(Id('1'), now_);
  CHECK(health.Admits(now_));
  health.RecordFailure(Id('2'), now_);
  CHECK_FALSE(health.Admits(now_));
  now_ += RunnerHealth::kInitialProbeDelay;
  CHECK(health.Admits(now_));
  health.RecordStart(now_);
  CHECK_FALSE(health.Admits(now_));
  health.RecordSuccess();
  CHECK(health.Admits(now_));
}

TEST_CASE_METHOD(SchedulingTest, "RunnerHealth_OneJobFailsAgainAndAgain_RunnerIsNotSuspect") {
  RunnerHealth health;
  for (int i = 0; i < 5; ++i) health.RecordFailure(Id('1'), now_);
  CHECK_FALSE(health.suspect());
}

// Guards against a runner that is taken for faulty because long-running tasks that it has run well
// fail, at any time or together (LOST).
TEST_CASE_METHOD(SchedulingTest, "RunnerHealth_LongRunningTasksFailAfterSoundRuns_NotSuspect") {
  RunnerHealth health;
  const Instant started = now_;
  now_ += RunnerHealth::kSoundRun;
  for (const char digit : {'1', '2', '3', '4'}) {
    health.RecordLongRunningFailure(Id(digit), started, now_);
  }
  CHECK_FALSE(health.suspect());
}

// Guards against a faulty runner that long-running tasks are started on again and again.
TEST_CASE_METHOD(SchedulingTest, "RunnerHealth_LongRunningTasksFailSoonAfterStart_IsSuspect") {
  RunnerHealth health;
  const Instant started = now_;
  now_ += RunnerHealth::kSoundRun - milliseconds(1);
  health.RecordLongRunningFailure(Id('1'), started, now_);
  CHECK_FALSE(health.suspect());
  health.RecordLongRunningFailure(Id('2'), started, now_);
  CHECK(health.suspect());
}

// Guards against probes that are put off again and again: long-running tasks that have waited too
// long start on a suspect runner between its probes.
TEST_CASE_METHOD(SchedulingTest, "RunnerHealth_StartBetweenProbes_DoesNotPutOffTheNextProbe") {
  RunnerHealth health;
  health.RecordFailure(Id('1'), now_);
  health.RecordFailure(Id('2'), now_);
  const Instant next_probe = now_ + RunnerHealth::kInitialProbeDelay;
  now_ = next_probe - milliseconds(1);
  REQUIRE_FALSE(health.Admits(now_));
  health.RecordStart(now_);
  CHECK(health.Admits(next_probe));
}

TEST_CASE_METHOD(SchedulingTest, "PaceControl_TailNearsTarget_PaceFallsAtOnceAndRisesSlowly") {
  PaceControl pace;
  CHECK(pace.Update(0.5) == 100);
  CHECK(pace.Update(0.9) == 50);
  CHECK(pace.Update(1.2) == 0);
  CHECK(pace.Update(0.7) == 0);
  CHECK(pace.Update(0.3) == PaceControl::kStepUpPercent);
}

TEST_CASE_METHOD(SchedulingTest, "EstimateModel_TasksTakeTwiceAsLong_LearnsTheRatio") {
  EstimateModel model;
  CHECK(model.Ratio("queue") == 1.0);
  for (int i = 0; i < 100; ++i) model.Observe("queue", milliseconds(300), milliseconds(600));
  CHECK(model.Ratio("queue") == Approx(2.0).epsilon(0.01));
  model.Observe("queue", milliseconds(0), milliseconds(600));
  CHECK(model.Ratio("queue") == Approx(2.0).epsilon(0.01));
}

TEST_CASE_METHOD(SchedulingTest, "Placement_NearDataOrMoreFreeCapacity_CostsLess") {
  PlacementView near{{32'000, 64'000, 0}, {8'000, 32'000, 0}};
  PlacementView far{{32'000, 64'000, 0}, {32'000, 64'000, 0}};
  far.far_from_data = true;
  const Resources load{2'000, 1'000, 0};
  CHECK(PlacementCost(near, load) < PlacementCost(far, load));
  PlacementView empty = far;
  empty.far_from_data = false;
  CHECK(PlacementCost(empty, load) < PlacementCost(near, load));
}

// Guards against capacity reserved on a runner where more accelerators must become free than on
// other runners.
TEST_CASE_METHOD(SchedulingTest, "MissingShare_AcceleratorsInUse_IsTheirShare") {
  const Resources capacity{32'000, 64'000, 4};
  const Resources load{4'000, 4'000, 2};
  CHECK(MissingShare(capacity, {32'000, 64'000, 0}, load) == Approx(0.5));
  CHECK(MissingShare(capacity, {0, 64'000, 4}, load) == Approx(0.125));
}

// Guards against tasks with accelerators that are all placed on one runner.
TEST_CASE_METHOD(SchedulingTest, "Placement_MoreAcceleratorsFree_CostsLessForTasksThatNeedThem") {
  PlacementView taken{{32'000, 64'000, 4}, {32'000, 64'000, 1}};
  PlacementView free{{32'000, 64'000, 4}, {28'000, 60'000, 4}};
  CHECK(PlacementCost(free, {1'000, 1'000, 1}) < PlacementCost(taken, {1'000, 1'000, 1}));
  CHECK(PlacementCost(taken, {1'000, 1'000, 0}) < PlacementCost(free, {1'000, 1'000, 0}));
}

TEST_CASE_METHOD(SchedulingTest, "Placement_StepAllowsNoMoreUnavailableTasks_AvoidsTheRunner") {
  PlacementView host{{32'000, 64'000, 0}, {8'000, 32'000, 0}};
  PlacementView empty{{32'000, 64'000, 0}, {32'000, 64'000, 0}};
  host.long_running = empty.long_running = host.hosts_long_running = true;
  const Resources load{2'000, 1'000, 0};
  CHECK(PlacementCost(host, load) < PlacementCost(empty, load));
  host.blocks_maintenance = true;
  CHECK(PlacementCost(empty, load) < PlacementCost(host, load));
}

}  // namespace
}  // namespace wigeonlane
