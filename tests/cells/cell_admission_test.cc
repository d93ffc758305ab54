/// A queue whose advisor decides which runners may run a step.
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cells/cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kService = "press";
constexpr std::uint32_t kRunners = 3;
constexpr milliseconds kValid{3'000};

/// One cell whose runners and store answer everything at once.
class CellAdmissionTest {
 protected:
  CellAdmissionTest() : cell_(0, 1, CellOptions()) {
    cell_.Restore({}, Time());
    List();
    Turn();
  }

  void List() {
    std::vector<RunnerListing> listings;
    for (std::uint32_t i = 0; i < kRunners; ++i) {
      RunnerListing listing;
      listing.id = "runner-" + std::to_string(i);
      listing.service = kService;
      listing.capacity = {8'000, 16'000, 0};
      listing.born = milliseconds(1'000);
      listings.push_back(listing);
    }
    cell_.SetRunners(listings, Time());
  }

  CellTime Time() const {
    return {now_, UnixTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()))};
  }

  void Wait(milliseconds duration) {
    now_ += duration;
    Turn();
  }

  /// Carries out what the cell wants until it wants nothing more; starts and questions are kept.
  void Turn() {
    cell_.ExtendAuthority(now_ + CellOptions().authority);
    for (int round = 0; round < 20; ++round) {
      now_ += milliseconds(20);
      cell_.Advance(Time());
      Outbox outbox = cell_.TakeOutbox();
      if (!outbox.appends.empty()) cell_.Committed(Time());  // There is one at a time.
      for (const LookOrder& look : outbox.looks) {
        RunnerReport report;
        report.born = milliseconds(1'000);
        report.clock = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
        report.running = running_[look.runner];
        cell_.Looked(look, OrderAnswer::kDone, report, Time());
      }
      for (const StartOrder& start : outbox.starts) {
        starts_.push_back(start);
        running_[start.runner].push_back({start.task, start.run, "", 100, 0});
        cell_.StartAnswered(start, {OrderAnswer::kDone, {}}, Time());
      }
      for (const AdviseOrder& question : outbox.questions) questions_.push_back(question);
    }
  }

  void Submit(std::uint32_t tasks) {
    JobRecord record;
    record.spec.steps.resize(1);
    record.spec.steps[0].count = tasks;
    record.spec.steps[0].need = {4'000, 1'000, 0};
    record.policy.name = "queue";
    record.policy.service = kService;
    record.policy.advice = QueueAdvice{milliseconds(20), milliseconds(1), kValid};
    cell_.Submit(1, *JobId::Parse("00000000000000a1"), record, Time());
    Turn();
  }

  /// Answers the oldest open question with tickets for these runners.
  void Admit(const std::set<std::string>& ids) {
    Advice advice;
    advice.valid = kValid;
    for (const std::string& id : ids) advice.tickets[id] = "ticket-" + id;
    cell_.Advised(questions_.front(), advice, Time());
    questions_.erase(questions_.begin());
    Turn();
  }

  std::string IdOf(RunnerKey key) const { return std::as_const(cell_).FindRunner(key)->listing.id; }

  Instant now_{std::chrono::hours(1)};
  Cell cell_;
  std::map<RunnerKey, std::vector<ListedRun>> running_;
  std::vector<StartOrder> starts_;
  std::vector<AdviseOrder> questions_;
};

TEST_CASE_METHOD(CellAdmissionTest, "Job_OfAnAdvisedQueue_StartsOnlyWhereItIsAdmitted") {
  Submit(2);
  REQUIRE(questions_.size() == 1);
  CHECK(questions_[0].runners.size() == kRunners);
  CHECK(starts_.empty());
  Admit({"runner-1"});
  REQUIRE(starts_.size() == 2);
  for (const StartOrder& start : starts_) {
    CHECK(IdOf(start.runner) == "runner-1");
    CHECK(start.ticket == "ticket-runner-1");
  }
}

TEST_CASE_METHOD(CellAdmissionTest, "Question_RunnersThatWereExcluded_AreNotAskedAgain") {
  Submit(4);  // Two fit on a runner.
  Admit({"runner-2"});
  CHECK(starts_.size() == 2);
  Wait(kValid);
  REQUIRE(questions_.size() == 1);  // The ticket has expired.
  REQUIRE(questions_[0].runners.size() == 1);
  CHECK(questions_[0].runners[0].second == "runner-2");
}

TEST_CASE_METHOD(CellAdmissionTest, "Question_NotAnswered_IsAskedAgainAfterAPause") {
  Submit(1);
  REQUIRE(questions_.size() == 1);
  const AdviseOrder lost = questions_.front();
  questions_.clear();
  cell_.Advised(lost, absl::UnavailableError("busy"), Time());
  cell_.Advance(Time());
  CHECK(cell_.TakeOutbox().questions.empty());
  now_ += milliseconds(400);
  List();
  Turn();
  REQUIRE(questions_.size() == 1);
  CHECK(questions_[0].runners == lost.runners);
}

TEST_CASE_METHOD(CellAdmissionTest, "Start_TicketRefused_AsksForAnother") {
  Submit(1);
  Admit({"runner-0"});
  REQUIRE(starts_.size() == 1);
  running_.clear();
  cell_.StartAnswered(starts_[0], {OrderAnswer::kNoTicket, {}}, Time());
  Turn();
  REQUIRE(questions_.size() == 1);
  CHECK(questions_[0].runners[0].second == "runner-0");
}

}  // namespace
}  // namespace wigeonlane
