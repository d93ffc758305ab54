/// Order of waiting jobs, and what is known to find no room.
#include "scheduling/waiting_jobs.h"

#include <catch2/catch.hpp>

#include "scheduling/rejected_sizes.h"

namespace wigeonlane {
namespace {

using std::chrono::seconds;

class WaitingJobsTest {
 protected:
  static JobId Id(char digit) { return *JobId::Parse(std::string(JobId::kLength, digit)); }

  std::vector<JobId> InOrder() const {
    std::vector<JobId> ids;
    for (const auto& [rank, id] : jobs_.by_rank()) ids.push_back(id);
    return ids;
  }

  Instant now_ = Instant(std::chrono::hours(1));
  WaitingJobs jobs_;
};

TEST_CASE_METHOD(WaitingJobsTest, "WaitingJobs_RankChanges_JobMovesAndStandsOnce") {
  jobs_.Set(Id('a'), {1, 5.0}, Instant::max());
  jobs_.Set(Id('b'), {1, 3.0}, Instant::max());
  jobs_.Set(Id('a'), {1, 1.0}, Instant::max());
  CHECK(InOrder() == std::vector<JobId>{Id('a'), Id('b')});
}

TEST_CASE_METHOD(WaitingJobsTest, "WaitingJobs_TimePasses_OnlyLateJobsAreOutdated") {
  jobs_.Set(Id('a'), {1, 5.0}, now_ + seconds(1));
  jobs_.Set(Id('b'), {1, 3.0}, now_ + seconds(3));
  CHECK(jobs_.WithExpiredRank(now_).empty());
  CHECK(jobs_.WithExpiredRank(now_ + seconds(2)) == std::vector<JobId>{Id('a')});
}

TEST_CASE_METHOD(WaitingJobsTest, "WaitingJobs_Removed_LeavesNothingBehind") {
  jobs_.Set(Id('a'), {1, 5.0}, now_);
  jobs_.Remove(Id('a'));
  jobs_.Remove(Id('b'));
  CHECK(jobs_.empty());
  CHECK(jobs_.WithExpiredRank(now_ + seconds(9)).empty());
}

class RejectedSizesTest {
 protected:
  RejectedSizes shapes_;
};

TEST_CASE_METHOD(RejectedSizesTest, "FullShapes_NeedsAtLeastAsMuch_IsCovered") {
  shapes_.RecordRejected("press", "", {4'000, 1'000, 0});
  CHECK(shapes_.IsRejected("press", "", {4'000, 1'000, 0}));
  CHECK(shapes_.IsRejected("press", "steam", {9'000, 2'000, 1}));
}

TEST_CASE_METHOD(RejectedSizesTest, "FullShapes_NeedsLessOrElsewhere_IsNotCovered") {
  shapes_.RecordRejected("press", "steam", {4'000, 1'000, 0});
  CHECK_FALSE(shapes_.IsRejected("press", "steam", {3'900, 9'000, 0}));
  CHECK_FALSE(shapes_.IsRejected("press", "", {4'000, 1'000, 0}));
  CHECK_FALSE(shapes_.IsRejected("fold", "steam", {4'000, 1'000, 0}));
}

TEST_CASE_METHOD(RejectedSizesTest, "FullShapes_Cleared_CoversNothing") {
  shapes_.RecordRejected("press", "", {1, 1, 0});
  shapes_.Clear();
  CHECK_FALSE(shapes_.IsRejected("press", "", {4'000, 1'000, 0}));
}

}  // namespace
}  // namespace wigeonlane
