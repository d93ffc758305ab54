/// What a job makes of the ends of its tasks, whatever order they come in.
#include "jobs/job_progress.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class JobProgressTest {
 protected:
  static constexpr std::uint32_t kAttempts = 3;

  static Job MakeJob() {
    JobSpec spec;
    spec.steps.resize(1);
    spec.steps[0].count = 1;
    QueuePolicy policy;
    policy.max_attempts = kAttempts;
    Job job(*JobId::Parse("00000000000000a1"), spec, policy, UnixTime{});
    job.CreateDueOccurrences(UnixTime{});
    return job;
  }

  TaskId Task() const { return {job_.id(), 0, 0, 0}; }

  Job job_ = MakeJob();
};

TEST_CASE_METHOD(JobProgressTest, "Failures_ListedInAnyOrder_AreAllCounted") {
  CHECK_FALSE(job_.MarkFailed(Task(), 3));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK(job_.MarkFailed(Task(), 2));
  CHECK(job_.state() == JobState::kFailed);
}

TEST_CASE_METHOD(JobProgressTest, "Failure_ListedAgain_CountsOnce") {
  CHECK_FALSE(job_.MarkFailed(Task(), 2));
  CHECK_FALSE(job_.MarkFailed(Task(), 2));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK(job_.FindTask(Task())->failures() == 2);
}

TEST_CASE_METHOD(JobProgressTest, "Failures_AfterARestart_CountWhatWasStored") {
  job_.MarkFailed(Task(), 3);
  const std::string stored = job_.EncodeProgress();
  Job successor = MakeJob();
  REQUIRE(successor.RestoreProgress(stored).ok());
  CHECK_FALSE(successor.MarkFailed(Task(), 3));
  CHECK_FALSE(successor.MarkFailed(Task(), 2));
  CHECK(successor.MarkFailed(Task(), 1));
}

}  // namespace
}  // namespace wigeonlane
