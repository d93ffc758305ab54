/// Failures of tasks whose results arrive in any order and more than once.
#include "jobs/job_progress.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/codec.h"

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

  /// A job with a step of many tasks and a second step, which occurs several times.
  static Job MakeLargeJob() {
    JobSpec spec;
    spec.steps.resize(2);
    spec.steps[0].count = kLargeStep;
    spec.steps[1].after = {0};
    spec.times = kOccurrences;
    Job job(*JobId::Parse("00000000000000a2"), spec, QueuePolicy(), UnixTime{});
    job.CreateDueOccurrences(UnixTime{});
    return job;
  }

  static constexpr std::uint32_t kLargeStep = 1'000;
  static constexpr std::uint32_t kOccurrences = 50;
  static constexpr std::size_t kMaxRecordBytes = 4'000;

  /// Stores the changed records of the job; those with `lost` in their suffixes do not arrive.
  void Store(Job* job, const std::string& lost = "none") {
    for (const ProgressRecord& record : job->TakeChangedProgress(kMaxRecordBytes)) {
      if (record.key_suffix.find(lost) != std::string::npos) continue;
      if (record.value) {
        stored_[record.key_suffix] = *record.value;
      } else {
        stored_.erase(record.key_suffix);
      }
    }
  }

  void Restore(Job* job) const {
    for (const auto& [suffix, value] : stored_) REQUIRE(job->RestoreProgress(suffix, value).ok());
  }

  static std::uint32_t DoneTasks(const Job& job, std::uint32_t occurrence) {
    return job.occurrences()[occurrence].steps[0].done;
  }

  static void FinishFirstStep(Job* job, std::uint32_t occurrence) {
    for (std::uint32_t index = 0; index < kLargeStep; ++index) {
      job->MarkDone({job->id(), occurrence, 0, index});
    }
  }

  std::map<std::string, std::string> stored_;  ///< By key suffix.
  TaskId Task() const { return {job_.id(), 0, 0, 0}; }

  Job job_ = MakeJob();
};

TEST_CASE_METHOD(JobProgressTest, "Failures_ReportedInAnyOrder_AreAllCounted") {
  CHECK_FALSE(job_.MarkFailed(Task(), 3));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK(job_.MarkFailed(Task(), 2));
  CHECK(job_.state() == JobState::kFailed);
}

TEST_CASE_METHOD(JobProgressTest, "Failure_ReportedAgain_CountsOnce") {
  CHECK_FALSE(job_.MarkFailed(Task(), 2));
  CHECK_FALSE(job_.MarkFailed(Task(), 2));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK_FALSE(job_.MarkFailed(Task(), 1));
  CHECK(job_.FindTask(Task())->failures() == 2);
}

TEST_CASE_METHOD(JobProgressTest, "Failures_RestoredProgress_CountsStoredFailures") {
  job_.MarkFailed(Task(), 3);
  Job successor = MakeJob();
  Store(&job_);
  Restore(&successor);
  CHECK_FALSE(successor.MarkFailed(Task(), 3));
  CHECK_FALSE(successor.MarkFailed(Task(), 2));
  CHECK(successor.MarkFailed(Task(), 1));
}

// Guards against MIXED (issue 60): a job counted as begun once a start was sent.
TEST_CASE_METHOD(JobProgressTest, "Begin_StartIsSentAndRefused_JobHasNotBegun") {
  job_.Place(Task(), 1, 1);
  CHECK_FALSE(job_.begin().begun());
  CHECK(job_.begin().may_have_begun());
  CHECK(job_.state() == JobState::kQueued);
  job_.Unplace(Task());
  CHECK_FALSE(job_.begin().may_have_begun());
}

TEST_CASE_METHOD(JobProgressTest, "Begin_RunnerExecutedTheStart_JobHasBegunWhateverFollows") {
  job_.Place(Task(), 1, 1);
  job_.RecordRun(Task(), 1, RunEvidence::kExecuted);
  job_.Unplace(Task());
  CHECK(job_.begin().begun());
  CHECK(job_.state() == JobState::kRunning);
  CHECK(job_.begin().unrecorded());
  Store(&job_);
  CHECK_FALSE(job_.begin().unrecorded());
  Job successor = MakeJob();
  Restore(&successor);
  CHECK(successor.begin().begun());
  CHECK_FALSE(successor.begin().unrecorded());
}

TEST_CASE_METHOD(JobProgressTest, "Begin_OnlyARecordOfTasksArrived_JobHasBegun") {
  Job job = MakeLargeJob();
  job.MarkDone({job.id(), 0, 0, 0});
  Store(&job);
  stored_.erase("");
  Job successor = MakeLargeJob();
  Restore(&successor);
  CHECK(successor.begin().begun());
}

TEST_CASE_METHOD(JobProgressTest, "Begin_MembersOfAGangInDifferentRuns_JobHasNotBegun") {
  JobSpec spec;
  spec.steps.resize(1);
  spec.steps[0].count = 2;
  spec.steps[0].gang = true;
  Job job(job_.id(), spec, QueuePolicy(), UnixTime{});
  const TaskId other{job.id(), 0, 0, 1};
  job.Place(Task(), 1, 1);
  job.RecordRun(Task(), 1, RunEvidence::kExecuted);
  job.Unplace(Task());
  job.Place(Task(), 1, 2);
  job.Place(other, 2, 2);
  job.RecordRun(other, 2, RunEvidence::kExecuted);
  CHECK_FALSE(job.begin().begun());
  job.RecordRun(Task(), 2, RunEvidence::kExecuted);
  CHECK(job.begin().begun());
}

// Guards against LOST (review/3): the progress of a job outgrows what the store accepts.
TEST_CASE_METHOD(JobProgressTest, "Progress_ManyUnfinishedOccurrences_EachRecordStaysSmall") {
  Job job = MakeLargeJob();
  std::size_t bytes = 0;
  for (std::uint32_t number = 0; number < kOccurrences; ++number) FinishFirstStep(&job, number);
  Store(&job);
  for (const auto& [suffix, value] : stored_) {
    CHECK(value.size() < 100);
    bytes += value.size();
  }
  CHECK(bytes < kOccurrences * kLargeStep);
  Job successor = MakeLargeJob();
  Restore(&successor);
  for (std::uint32_t number = 0; number < kOccurrences; ++number) {
    CHECK(DoneTasks(successor, number) == kLargeStep);
  }
}

TEST_CASE_METHOD(JobProgressTest, "Progress_OneTaskEnds_OnlyItsRecordIsStoredAgain") {
  Job job = MakeLargeJob();
  for (std::uint32_t number = 0; number < kOccurrences; ++number) FinishFirstStep(&job, number);
  Store(&job);
  job.MarkDone({job.id(), 7, 1, 0});
  const std::size_t records = stored_.size();
  CHECK(job.TakeChangedProgress(kMaxRecordBytes).size() < 6);
  CHECK(records > kOccurrences);
}

// A successor may find the records of one batch in part.
TEST_CASE_METHOD(JobProgressTest, "Progress_LaterRecordsWereNotStored_TheirTasksAreNotDone") {
  Job job = MakeLargeJob();
  FinishFirstStep(&job, 0);
  Store(&job, ".2");
  Job successor = MakeLargeJob();
  Restore(&successor);
  CHECK(DoneTasks(successor, 0) < kLargeStep);
  CHECK(DoneTasks(successor, 0) > 0);
  CHECK_FALSE(successor.occurrences()[0].complete);
}

TEST_CASE_METHOD(JobProgressTest, "Progress_OccurrenceIsComplete_OnlyTheSummaryIsLeft") {
  Job job = MakeLargeJob();
  FinishFirstStep(&job, 0);
  Store(&job);
  CHECK(stored_.size() > 1);
  job.MarkDone({job.id(), 0, 1, 0});
  Store(&job);
  CHECK(stored_.size() == 1);
  Job successor = MakeLargeJob();
  Restore(&successor);
  CHECK(successor.occurrences()[0].complete);
}

TEST_CASE_METHOD(JobProgressTest, "Progress_CheckpointsExceedTheRecord_AreLeftOut") {
  Job job = MakeLargeJob();
  for (std::uint32_t index = 0; index < kLargeStep; ++index) {
    TaskState* task = job.FindTask({job.id(), 0, 0, index});
    task->checkpoint = std::string(500, 'c');
  }
  job.MarkFailed({job.id(), 0, 0, 3}, 9);
  Store(&job);
  for (const auto& [suffix, value] : stored_) CHECK(value.size() <= 12'000);
}

TEST_CASE_METHOD(JobProgressTest, "Progress_FormOfAnEarlierVersion_IsRestored") {
  // One task of step 0, which is done, and one with a failed run, in one occurrence.
  std::string bytes;
  const auto put = [&](std::uint64_t value, std::size_t size) {
    bytes.append(reinterpret_cast<const char*>(&value), size);
  };
  const auto begin = Encode(std::vector<std::string>());
  const std::size_t length_size = begin.size();
  put(1, 1);            // State: running.
  put(1, 1);            // Started.
  put(1, length_size);  // Occurrences.
  put(0, 1);            // Not complete.
  put(2, length_size);  // Tasks.
  for (std::uint64_t index : {5, 6}) {
    put(0, 4);
    put(index, 4);
    put(index == 5 ? 1 : 0, 1);
    put(2, 8);
    put(index == 5 ? 0 : 1, length_size);
    if (index == 6) put(2, 8);
    put(0, length_size);
  }
  Job successor = MakeLargeJob();
  REQUIRE(successor.RestoreUnslicedProgress(bytes).ok());
  CHECK(DoneTasks(successor, 0) == 1);
  CHECK(successor.FindTask({successor.id(), 0, 0, 6})->failures() == 1);
  Store(&successor);
  Job next = MakeLargeJob();
  Restore(&next);
  CHECK(DoneTasks(next, 0) == 1);
}

/// The form that versions before teams stored.
struct TeamlessRecord {
  JobSpec spec;
  QueuePolicy policy;
  std::chrono::milliseconds accepted{0};
  QueueAddress queue;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(spec, policy, accepted, queue);
  }
};

TEST_CASE("JobRecord_StoredWithAndWithoutTeam_IsRead") {
  JobRecord record;
  record.queue = {"h", "/q/"};
  record.team = "red";
  const auto decoded = DecodeJobRecord(Encode(record));
  REQUIRE(decoded.ok());
  CHECK(decoded->team == "red");
  const auto former = DecodeJobRecord(Encode(TeamlessRecord{{}, {}, {}, record.queue}));
  REQUIRE(former.ok());
  CHECK(former->team.empty());
  CHECK(former->queue == record.queue);
}

}  // namespace
}  // namespace wigeonlane
