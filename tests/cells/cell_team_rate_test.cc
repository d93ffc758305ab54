/// Jobs beyond a team's rate, and shares of a full service.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/cells/team_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cell with one runner. The team "red" may submit one job per second.
class CellRateTest : public CellTeamsTest {
 protected:
  CellRateTest() {
    BeginWith(1, {{"red", RateTerms(1)}, {"blue", RateTerms(kHighRate)}});
    AdvanceTime(seconds(2));
  }

  CallVerdict VerdictOf(CallNumber job) const {
    REQUIRE(responses_.contains(job));
    return responses_.at(job).verdict;
  }
};

// Guards against a queue of jobs for which their team has not paid, and against refusals of jobs
// for which it has.
TEST_CASE_METHOD(CellRateTest, "Submit_BeyondRateWhileWorkWaits_IsRefused") {
  SubmitAndWait("blue", Tasks(10));
  const CallNumber within = SubmitFor("red", Tasks(1));
  const CallNumber beyond = SubmitFor("red", Tasks(1));
  AdvanceTime(kReaction);
  CHECK(VerdictOf(within) == CallVerdict::kAccepted);
  CHECK(VerdictOf(beyond) == CallVerdict::kRefused);
  CHECK(responses_.at(beyond).retry_after > milliseconds(0));
  EndRuns(8);
  EndRuns(8);
  CHECK(StartsOf(within) == 1);
  CHECK(StartsOf(beyond) == 0);
  CHECK(cell_->Show(NumberedId(beyond), now_).verdict == CallVerdict::kNotFound);
}

// Guards against a refusal that comes only after the job has waited.
TEST_CASE_METHOD(CellRateTest, "Submit_BeyondRateOnFullService_IsRefusedAtOnce") {
  SubmitAndWait("blue", Tasks(8));
  SubmitFor("red", Tasks(1));
  const CallNumber beyond = SubmitFor("red", Tasks(1));
  const Outbox outbox = cell_->TakeOutbox();
  REQUIRE(outbox.responses.size() == 1);
  CHECK(outbox.responses.front().call == beyond);
  CHECK(outbox.responses.front().response.verdict == CallVerdict::kRefused);
}

// Guards against idle capacity while a team's jobs are refused.
TEST_CASE_METHOD(CellRateTest, "Submit_BeyondRateOnIdleService_IsAcceptedAndStarts") {
  std::vector<CallNumber> jobs(4);
  for (CallNumber& job : jobs) job = SubmitAndWait("red", Tasks(2));
  for (const CallNumber job : jobs) {
    CHECK(VerdictOf(job) == CallVerdict::kAccepted);
    CHECK(StartsOf(job) == 2);
  }
}

// Guards against idle capacity while the only waiting work waits for the limit of its own team: it
// does not need the capacity.
TEST_CASE_METHOD(CellRateTest, "Submit_BeyondRateAndOthersWaitForTheirLimitOnly_IsAccepted") {
  cell_->SetTeams({{"red", RateTerms(1)}, {"green", CpuTerms(2'000, 2'000)}}, now_);
  SubmitAndWait("green", Tasks(4));
  SubmitFor("red", Tasks(1));
  const CallNumber beyond = SubmitAndWait("red", Tasks(1));
  CHECK(VerdictOf(beyond) == CallVerdict::kAccepted);
  CHECK(StartsOf(beyond) == 1);
}

// Guards against jobs that are accepted because of the same free capacity and then wait: a job
// beyond the rate that cannot start in time is refused.
TEST_CASE_METHOD(CellRateTest, "Submit_SeveralBeyondRateAtOnce_OnlyThoseThatFitAreAccepted") {
  SubmitAndWait("blue", Tasks(5));
  const CallNumber within = SubmitFor("red", Tasks(1));
  std::vector<CallNumber> beyond(6);
  for (CallNumber& job : beyond) job = SubmitFor("red", Tasks(1));
  AdvanceTime(kReaction);
  CHECK(VerdictOf(within) == CallVerdict::kAccepted);
  CHECK(StartsOf(within) == 1);
  const auto accepted = std::count_if(beyond.begin(), beyond.end(), [&](CallNumber job) {
    return VerdictOf(job) == CallVerdict::kAccepted;
  });
  CHECK(accepted == 2);
}

// Guards against a job beyond the rate that starts before others because it is shorter or because
// its queue has a higher priority.
TEST_CASE_METHOD(CellRateTest, "Job_BeyondRate_StartsBehindOtherWork") {
  SubmitAndWait("red", Tasks(1));
  EndRuns(1);
  const CallNumber beyond = SubmitFor("red", Tasks(1), 0);
  const CallNumber blue = SubmitFor("blue", Tasks(12), 9);
  AdvanceTime(kReaction);
  REQUIRE(VerdictOf(beyond) == CallVerdict::kAccepted);
  CHECK(StartsOf(blue) == 8);
  CHECK(StartsOf(beyond) == 0);
  EndRuns(4);
  CHECK(StartsOf(blue) == 12);
  CHECK(StartsOf(beyond) == 0);
  EndRuns(1);
  CHECK(StartsOf(beyond) == 1);
}

// Guards against refusals of jobs that have no team or whose team is not in the configuration.
TEST_CASE_METHOD(CellRateTest, "Submit_TeamWithoutTerms_IsNotLimited") {
  SubmitAndWait("blue", Tasks(10));
  std::vector<CallNumber> jobs;
  for (int i = 0; i < 20; ++i) {
    jobs.push_back(SubmitFor("", Tasks(1)));
    jobs.push_back(SubmitFor("not in the configuration", Tasks(1)));
  }
  AdvanceTime(kReaction);
  for (const CallNumber job : jobs) CHECK(VerdictOf(job) == CallVerdict::kAccepted);
}

// Guards against a team that gets its whole rate in each of several cells.
TEST_CASE_METHOD(CellRateTest, "SetTotalArrivals_OtherCellsGetMost_CellAllowsItsPart") {
  constexpr double kRate = 8;
  constexpr int kSeconds = 10;
  // The other cells get three times as many of the team's jobs.
  const bool known = GENERATE(true, false);
  cell_->SetTeams({{"red", RateTerms(kRate)}, {"blue", RateTerms(kHighRate)}}, now_);
  SubmitAndWait("blue", Tasks(9));
  std::vector<CallNumber> jobs;
  for (int i = 0; i < kSeconds * static_cast<int>(kRate); ++i) {
    if (known) cell_->SetTotalArrivals({{"red", 4 * kRate}}, now_);
    jobs.push_back(SubmitFor("red", Tasks(1)));
    AdvanceTime(milliseconds(1'000) / static_cast<int>(kRate));
  }
  AdvanceTime(kReaction);
  const auto accepted = std::count_if(jobs.begin(), jobs.end(), [&](CallNumber job) {
    return VerdictOf(job) == CallVerdict::kAccepted;
  });
  if (known) {
    // One second's part may come at once. Arrivals are counted over the first second.
    CHECK(accepted <= kRate / 4 * (kSeconds + 1) + 1);
    CHECK(accepted >= kRate / 4 * (kSeconds - 1) - 1);
  } else {
    CHECK(accepted == kSeconds * static_cast<int>(kRate));
  }
}

// Guards against totals that lack what this cell has received.
TEST_CASE_METHOD(CellRateTest, "ReportLoads_TeamSubmits_ReportsItsArrivals") {
  for (int i = 0; i < 5; ++i) SubmitFor("red", Tasks(1));
  AdvanceTime(kReaction);
  const CallResponse response = cell_->ReportLoads(Time());
  REQUIRE(response.arrivals.size() == 1);
  CHECK(response.arrivals.front().team == "red");
  CHECK(response.arrivals.front().per_second == Approx(5));  // Refused ones count as well.
  AdvanceTime(seconds(2));
  CHECK(cell_->ReportLoads(Time()).arrivals.empty());
}

// Guards against a team whose queued work keeps others out of a full service: tasks that start
// once the service is full go to the team that uses less than its share.
TEST_CASE_METHOD(CellTeamsTest, "FullService_OneTeamHasItAll_OtherGetsItsWeightedShare") {
  BeginWith(2, {{"red", RateTerms(100)}, {"blue", RateTerms(300)}});
  for (int i = 0; i < 100; ++i) SubmitFor("red", Tasks(1));
  AdvanceTime(kReaction);
  REQUIRE(starts_.size() == 16);
  // The jobs of the other team have more work, so they would go behind without shares.
  std::vector<CallNumber> blue(5);
  for (CallNumber& job : blue) job = SubmitFor("blue", Tasks(12));
  AdvanceTime(kReaction);
  EndRuns(12);
  std::int64_t blue_starts = 0;
  for (const CallNumber job : blue) blue_starts += StartsOf(job);
  CHECK(blue_starts == 12);
}

}  // namespace
}  // namespace wigeonlane
