/// Builds the timeline of a job from recorded logs, in which the owner of the job loses its
/// connection to the store and is replaced by an instance whose clock is 2.7 s ahead. Guards
/// against events that are out of order because of the clock difference. The timelines of cancelled
/// jobs guard against a cancel of which the log does not say who decided it, on what, and whether
/// lines are missing.
#include "logs/job_timeline.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "core/text.h"
#include "logs/clock_offsets.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJob = "cba25f8a2a6e6594";
constexpr milliseconds kClockLead{2'700};

class JobTimelineTest {
 protected:
  static InstanceLog Read(const std::string& name) {
    std::ifstream file(std::string(WIGEONLANE_TEST_DATA) + "/" + name + ".log");
    REQUIRE(file.good());
    return ReadInstanceLog(&file, "unnamed");
  }

  std::vector<InstanceLog> logs_{Read("front-uio-sur-2"), Read("front-uio-norte-2"),
                                 Read("front-uio-valle-1")};
};

TEST_CASE_METHOD(JobTimelineTest,
                 "ClockOffsets_ClockOfOneInstanceAhead_AreEstimatedFromSharedJobs") {
  const auto offsets = EstimateClockOffsets(logs_);
  CHECK(offsets.at("front-uio-sur-2") == milliseconds(0));
  CHECK(std::abs(offsets.at("front-uio-norte-2").count()) < 20);
  CHECK(std::abs((offsets.at("front-uio-valle-1") + kClockLead).count()) < 20);
}

TEST_CASE_METHOD(JobTimelineTest, "JobTimeline_OwnerReplaced_EventsAreInOrder") {
  const JobTimeline timeline = BuildJobTimeline(logs_, kJob);
  REQUIRE_FALSE(timeline.events.empty());
  std::size_t accepted = 0;
  std::size_t gained = 0;
  std::size_t final = 0;
  for (std::size_t i = 0; i < timeline.events.size(); ++i) {
    const TimelineEvent& event = timeline.events[i];
    if (event.text.starts_with("accepted")) accepted = i;
    if (event.text.starts_with("cell_gained") && event.instance == "front-uio-valle-1") gained = i;
    if (event.text.starts_with("completed")) final = i;
  }
  CHECK(accepted < gained);
  CHECK(gained < final);
  CHECK(timeline.outcome.find("completed") == 0);
}

TEST_CASE_METHOD(JobTimelineTest, "JobTimeline_JobInNoLog_IsEmpty") {
  const JobTimeline timeline = BuildJobTimeline(logs_, "0000000000000000");
  CHECK(timeline.events.empty());
  CHECK(FormatTimeline(timeline) == "no log mentions this job\n");
}

/// A job whose submission arrives after its cancel: norte-1 takes both requests, sur-1 owns the
/// cell.
class CancelledJobTimelineTest {
 protected:
  static constexpr std::string_view kEntryLog =
      "time=2026-03-16T10:03:00.000 level=info event=started instance=norte-1 peers=10.1.0.1:7700\n"
      "time=2026-03-16T10:03:10.012 level=info event=call job=a1 method=DELETE queue=q code=410 "
      "verdict=not_found cell=4 owner=10.2.0.1:7700 config=3 survey=2 took_ms=12\n"
      "time=2026-03-16T10:03:14.030 level=info event=call job=a1 method=POST queue=q code=200 "
      "verdict=accepted cell=4 owner=10.2.0.1:7700 config=3 survey=2 took_ms=15\n";
  static constexpr std::string_view kOwnerLog =
      "time=2026-03-16T10:03:00.000 level=info event=started instance=sur-1 peers=10.2.0.1:7700\n"
      "time=2026-03-16T10:03:10.005 level=info event=cancel job=a1 cell=4 token=20 state=unknown "
      "renewed_ms=180\n"
      "time=2026-03-16T10:03:14.025 level=info event=accept_cancelled job=a1 cell=4 token=20\n";
  static constexpr std::string_view kDropReport =
      "time=2026-03-16T10:03:11.000 level=warning event=log_lines_dropped count=7 of_runs=2 "
      "period_ms=400\n";

  static InstanceLog Read(std::string_view text) {
    std::istringstream input{std::string(text)};
    return ReadInstanceLog(&input, "unnamed");
  }

  static JobTimeline TimelineOf(std::string_view entry_log, const std::string& owner_log) {
    return BuildJobTimeline({Read(entry_log), Read(owner_log)}, "a1");
  }

  static bool HasEvent(const JobTimeline& timeline, std::string_view instance,
                       std::string_view text) {
    return std::any_of(timeline.events.begin(), timeline.events.end(),
                       [&](const TimelineEvent& event) {
                         return event.instance == instance && event.text == text;
                       });
  }
};

TEST_CASE_METHOD(CancelledJobTimelineTest,
                 "JobTimeline_CancelledBeforeSubmit_NamesWhoDecidedOnWhat") {
  const JobTimeline timeline = TimelineOf(kEntryLog, std::string(kOwnerLog));
  CHECK(HasEvent(timeline, "norte-1",
                 "DELETE: response 410 (not_found) after 12 ms, decided by sur-1 for cell 4, "
                 "configuration 3, survey 2"));
  CHECK(HasEvent(
      timeline, "sur-1",
      "cancel reached its owner, job was unknown, cell 4, token 20, renewed 180 ms before"));
  CHECK(HasEvent(timeline, "sur-1",
                 "submitted after its cancel: stored as cancelled, cell 4, token 20"));
  CHECK(timeline.outcome == "cancelled before it was submitted");
}

TEST_CASE_METHOD(CancelledJobTimelineTest, "JobTimeline_NameOfRequest_FindsItsJob") {
  const std::string entry_log = Concat(
      kEntryLog,
      "time=2026-03-16T10:03:16.000 level=info event=call job=a1 request=f0 method=DELETE queue=q "
      "code=200 verdict=cancelled config=3 took_ms=2\n");
  const JobTimeline timeline =
      BuildJobTimeline({Read(entry_log), Read(std::string(kOwnerLog))}, "f0");
  CHECK(HasEvent(timeline, "norte-1",
                 "DELETE: response 200 (cancelled) after 2 ms, configuration 3, request f0"));
  CHECK(timeline.outcome == "cancelled before it was submitted");
  CHECK(BuildJobTimeline({Read(entry_log)}, "f1").events.empty());
}

TEST_CASE_METHOD(CancelledJobTimelineTest, "JobTimeline_StartAfterTheCancel_NamesItsTerm") {
  const std::string owner_log = Concat(
      kOwnerLog,
      "time=2026-03-16T10:03:15.000 level=info event=accept job=a1 cell=4 token=20 queue=q "
      "renewed_ms=90 commit_ms=14\n"
      "time=2026-03-16T10:03:15.001 level=info event=start job=a1 task=a1.0.0.0 run=1 runner=i-1 "
      "cell=4 token=20 free_cpu=500 report_age_ms=3\n");
  const JobTimeline timeline = TimelineOf(kEntryLog, owner_log);
  CHECK(HasEvent(
      timeline, "sur-1",
      "accepted into cell 4, queue q; stored after 14 ms, token 20, renewed 90 ms before"));
  CHECK(HasEvent(timeline, "sur-1",
                 "start of a1.0.0.0 run 1 on i-1, free cpu 500, list 3 ms old, cell 4, token 20"));
  CHECK(timeline.outcome == "accepted, not final in these logs");
}

TEST_CASE_METHOD(CancelledJobTimelineTest, "JobTimeline_InstancePausedOrDroppedLines_IsShown") {
  const std::string owner_log =
      Concat(kOwnerLog, kDropReport,
             "time=2026-03-16T10:03:12.000 level=info event=process_paused late_ms=900\n",
             "time=2026-03-16T10:04:40.000 level=info event=process_paused late_ms=700\n");
  const JobTimeline timeline = TimelineOf(kEntryLog, owner_log);
  CHECK(HasEvent(timeline, "sur-1", "log_lines_dropped count=7 of_runs=2 period_ms=400"));
  CHECK(HasEvent(timeline, "sur-1", "process_paused late_ms=900"));
  CHECK_FALSE(HasEvent(timeline, "sur-1", "process_paused late_ms=700"));
  CHECK(timeline.outcome ==
        "cancelled before it was submitted; 7 lines of these instances were dropped and may be on "
        "this job");
}

TEST_CASE_METHOD(CancelledJobTimelineTest,
                 "JobTimeline_OwnerDroppedAllLinesOfTheJob_IsStillInvolved") {
  const std::string owner_log = Concat(kOwnerLog.substr(0, kOwnerLog.find('\n') + 1), kDropReport);
  const JobTimeline timeline = TimelineOf(kEntryLog, owner_log);
  CHECK(HasEvent(timeline, "sur-1", "log_lines_dropped count=7 of_runs=2 period_ms=400"));
}

TEST_CASE_METHOD(CancelledJobTimelineTest,
                 "JobTimeline_UninvolvedInstanceDroppedLines_IsNotShown") {
  const std::string other_log = Concat(
      "time=2026-03-16T10:03:00.000 level=info event=started instance=valle-1\n", kDropReport);
  const JobTimeline timeline =
      BuildJobTimeline({Read(kEntryLog), Read(kOwnerLog), Read(other_log)}, "a1");
  CHECK(timeline.outcome == "cancelled before it was submitted");
}

TEST_CASE("LogLine_QuotedValuesAndPrefix_AreParsed") {
  const auto line = ParseLogLine(
      R"(  3.1 front-1 time=2026-03-16T10:03:04.008 level=info event=refuse job=a1 why="a \"b\" c" n=-5)");
  REQUIRE(line);
  CHECK(line->Field("why") == "a \"b\" c");
  CHECK(line->Number("n") == -5);
  CHECK_FALSE(line->Number("why"));
  CHECK(line->time.time_since_epoch().count() % 1'000 == 8);
}

TEST_CASE("LogLine_InAnotherFormat_IsCountedAndSkipped") {
  std::istringstream text(
      "garbage\ntime=now event=x\ntime=2026-03-16T10:03:04.008 level=info\n"
      "time=2026-03-16T10:03:04.008 level=info event=started instance=front-9\n");
  const InstanceLog log = ReadInstanceLog(&text, "file");
  CHECK(log.unparsed_lines == 3);
  REQUIRE(log.lines.size() == 1);
  CHECK(log.instance == "front-9");
}

}  // namespace
}  // namespace wigeonlane
