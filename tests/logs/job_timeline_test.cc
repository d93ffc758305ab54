/// The story of a job from logs recorded on a bench day: its owner was cut off from the store and
/// replaced, and the clock of the successor is 2.7 s ahead.
#include "logs/job_timeline.h"

#include <catch2/catch.hpp>
#include <fstream>

#include "logs/clock_offsets.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kJob = "cba25f8a2a6e6594";
constexpr milliseconds kAhead{2'700};

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

TEST_CASE_METHOD(JobTimelineTest, "Offsets_ClockOfOneInstanceAhead_AreFoundFromSharedJobs") {
  const auto offsets = EstimateClockOffsets(logs_);
  CHECK(offsets.at("front-uio-sur-2") == milliseconds(0));
  CHECK(std::abs(offsets.at("front-uio-norte-2").count()) < 20);
  CHECK(std::abs((offsets.at("front-uio-valle-1") + kAhead).count()) < 20);
}

TEST_CASE_METHOD(JobTimelineTest, "Story_OwnerReplaced_IsInOrderAndTellsTheWait") {
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

TEST_CASE_METHOD(JobTimelineTest, "Story_JobThatNoLogKnows_IsEmpty") {
  const JobTimeline timeline = BuildJobTimeline(logs_, "0000000000000000");
  CHECK(timeline.events.empty());
  CHECK(FormatTimeline(timeline) == "no log knows this job\n");
}

TEST_CASE("LogLine_QuotedValuesAndAPrefix_AreRead") {
  const auto line = ParseLogLine(
      R"(  3.1 front-1 time=2026-03-16T10:03:04.008 level=info event=refuse job=a1 why="a \"b\" c" n=-5)");
  REQUIRE(line);
  CHECK(line->Field("why") == "a \"b\" c");
  CHECK(line->Number("n") == -5);
  CHECK_FALSE(line->Number("why"));
  CHECK(line->time.time_since_epoch().count() % 1'000 == 8);
}

TEST_CASE("LogLine_OfAnotherForm_IsCountedAndPassedOver") {
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
