/// Tests of queues whose advisor decides which runners may run a step.
#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "tests/cells/scripted_cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRunners = 3;
const Resources kCapacity{8'000, 16'000, 0};
constexpr milliseconds kValid{3'000};

/// Three runners with capacity for two tasks each, and a queue with an advisor.
class CellAdmissionTest : protected ScriptedCell {
 protected:
  CellAdmissionTest() {
    Begin(kRunners, kCapacity);
    AdvanceUntilIdle();
  }

  /// Advances the time until the cell has no due actions left.
  void AdvanceUntilIdle() { AdvanceTime(milliseconds(400)); }

  void SubmitTasks(std::uint32_t tasks) {
    StepSpec step;
    step.count = tasks;
    step.need = {4'000, 1'000, 0};
    QueuePolicy policy;
    policy.name = "queue";
    policy.advice = QueueAdvice{milliseconds(20), milliseconds(1), kValid};
    Submit(step, policy);
    AdvanceUntilIdle();
  }

  /// Responds to the oldest advice request with tickets for the given runners.
  void Admit(const std::set<std::string>& ids) {
    Advice advice;
    advice.valid = kValid;
    for (const std::string& id : ids) advice.tickets[id] = "ticket-" + id;
    cell_->HandleAdvice(advice_requests_.front(), advice, Time());
    advice_requests_.erase(advice_requests_.begin());
    AdvanceUntilIdle();
  }
};

TEST_CASE_METHOD(CellAdmissionTest, "Job_OfAnAdvisedQueue_StartsOnlyWhereItIsAdmitted") {
  SubmitTasks(2);
  REQUIRE(advice_requests_.size() == 1);
  CHECK(advice_requests_[0].runners.size() == kRunners);
  CHECK(starts_.empty());
  Admit({"runner-1"});
  REQUIRE(starts_.size() == 2);
  for (const StartCommand& start : starts_) {
    CHECK(IdOf(start.runner) == "runner-1");
    CHECK(start.ticket == "ticket-runner-1");
  }
}

TEST_CASE_METHOD(CellAdmissionTest, "AdviceRequest_RunnersWereExcluded_OmitsThem") {
  SubmitTasks(4);  // Two of them fit on a runner.
  Admit({"runner-2"});
  CHECK(starts_.size() == 2);
  AdvanceTime(kValid);
  REQUIRE(advice_requests_.size() == 1);  // The ticket has expired.
  REQUIRE(advice_requests_[0].runners.size() == 1);
  CHECK(advice_requests_[0].runners[0].second == "runner-2");
}

TEST_CASE_METHOD(CellAdmissionTest, "AdviceRequest_GotNoResponse_IsRepeatedAfterADelay") {
  SubmitTasks(1);
  REQUIRE(advice_requests_.size() == 1);
  const AdviceRequest lost = advice_requests_.front();
  advice_requests_.clear();
  cell_->HandleAdvice(lost, absl::UnavailableError("busy"), Time());
  cell_->Advance(Time());
  CHECK(cell_->TakeOutbox().advice_requests.empty());
  now_ += milliseconds(400);
  ListRunners(kRunners, kCapacity);
  AdvanceUntilIdle();
  REQUIRE(advice_requests_.size() == 1);
  CHECK(advice_requests_[0].runners == lost.runners);
}

TEST_CASE_METHOD(CellAdmissionTest, "Start_TicketWasRefused_RequestsAnother") {
  SubmitTasks(1);
  Admit({"runner-0"});
  REQUIRE(starts_.size() == 1);
  running_.clear();
  cell_->HandleStartResponse(starts_[0], {CommandStatus::kNoTicket, {}}, Time());
  AdvanceUntilIdle();
  REQUIRE(advice_requests_.size() == 1);
  CHECK(advice_requests_[0].runners[0].second == "runner-0");
}

}  // namespace
}  // namespace wigeonlane
