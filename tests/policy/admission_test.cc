#include "policy/admission.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "tests/support/property.h"

namespace wigeonlane {
namespace {

using Outcome = AdmissionDecision::Outcome;
using std::chrono::milliseconds;

class AdmissionTest {
 protected:
  AdmissionTest() { admission_.SetLimits({2, 4, Urgency::kNormal}); }

  AdmissionDecision Offer(std::uint64_t id, Urgency urgency = Urgency::kNormal,
                          milliseconds deadline = milliseconds(1'000)) {
    return admission_.Offer({id, urgency, clock_.Now() + deadline});
  }

  /// Makes the mean service time known.
  void Serve(milliseconds service_time) {
    Offer(999);
    admission_.Finish(service_time);
  }

  ManualClock clock_;
  Admission<ManualClock> admission_{clock_};
};

TEST_CASE_METHOD(AdmissionTest, "Offer_WithFreeSlots_Runs") {
  CHECK(Offer(1).outcome == Outcome::kRun);
  CHECK(Offer(2).outcome == Outcome::kRun);
  CHECK(Offer(3).outcome == Outcome::kWait);
  CHECK(admission_.running() == 2);
}

TEST_CASE_METHOD(AdmissionTest, "Finish_WithWaiting_RunsTheMostUrgentFirst") {
  Offer(1), Offer(2), Offer(3, Urgency::kBulk), Offer(4, Urgency::kUrgent);
  const auto runnable = admission_.Finish(milliseconds(1));
  REQUIRE(runnable.size() == 1);
  CHECK(runnable[0].id == 4);
}

TEST_CASE_METHOD(AdmissionTest, "WaitAgain_MoreRunThanTheLoweredLimit_GoesAheadOfItsEquals") {
  Offer(1), Offer(2), Offer(3);
  admission_.SetLimits({1, 4, Urgency::kNormal});
  REQUIRE(admission_.Requeue({2, Urgency::kNormal, clock_.Now() + milliseconds(1'000)}));
  CHECK(admission_.running() == 1);
  const auto runnable = admission_.Finish(milliseconds(1));
  REQUIRE(runnable.size() == 1);
  CHECK(runnable[0].id == 2);
}

TEST_CASE_METHOD(AdmissionTest, "WaitAgain_WithinTheLimit_IsDeclined") {
  Offer(1), Offer(2);
  CHECK_FALSE(admission_.Requeue({2, Urgency::kNormal, clock_.Now() + milliseconds(1'000)}));
  CHECK(admission_.running() == 2);
}

TEST_CASE_METHOD(AdmissionTest, "Offer_ThatCannotMakeItsDeadline_IsRefusedAtOnce") {
  Serve(milliseconds(100));
  Offer(1), Offer(2);
  const auto decision = Offer(3, Urgency::kNormal, milliseconds(120));
  REQUIRE(decision.outcome == Outcome::kRefused);
  CHECK(decision.refused[0].reason == RefusalReason::kDeadline);
  CHECK(decision.refused[0].retry_after >= milliseconds(50));
}

TEST_CASE_METHOD(AdmissionTest, "Offer_ToFullQueue_ShedsTheLeastUrgent") {
  Offer(1), Offer(2), Offer(3, Urgency::kBulk), Offer(4), Offer(5), Offer(6);
  const auto decision = Offer(7, Urgency::kUrgent);
  CHECK(decision.outcome == Outcome::kWait);
  REQUIRE(decision.refused.size() == 1);
  CHECK(decision.refused[0].id == 3);
  CHECK(decision.refused[0].reason == RefusalReason::kShed);
  CHECK(Offer(8).refused[0].reason == RefusalReason::kQueueFull);
}

TEST_CASE_METHOD(AdmissionTest, "Offer_OfLessUrgent_MayTakeHalfOfTheQueueOnly") {
  Offer(1), Offer(2), Offer(3, Urgency::kBulk), Offer(4, Urgency::kBulk);
  CHECK(Offer(5, Urgency::kBulk).outcome == Outcome::kRefused);
  CHECK(Offer(6, Urgency::kNormal).outcome == Outcome::kWait);
}

TEST_CASE_METHOD(AdmissionTest, "RefuseHopeless_AfterTheClockMoved_RefusesBeforeTheDeadline") {
  Serve(milliseconds(100));
  Offer(1), Offer(2), Offer(3, Urgency::kNormal, milliseconds(300));
  clock_.Advance(milliseconds(100));
  CHECK(admission_.RefuseUnmeetableDeadlines().empty());
  clock_.Advance(milliseconds(60));
  const auto refused = admission_.RefuseUnmeetableDeadlines();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].id == 3);
}

TEST_CASE_METHOD(AdmissionTest, "SetLimits_ToFewerSlots_LetsRunningFinishFirst") {
  Offer(1), Offer(2), Offer(3);
  admission_.SetLimits({1, 4, Urgency::kNormal});
  CHECK(admission_.Finish(milliseconds(1)).empty());
  CHECK(admission_.Finish(milliseconds(1)).size() == 1);
}

TEST_CASE_METHOD(AdmissionTest, "Offer_WithoutSlots_IsRefused") {
  admission_.SetLimits({0, 4, Urgency::kNormal});
  CHECK(Offer(1).refused[0].reason == RefusalReason::kNoSlots);
}

/// Drives one admission with random steps and checks what must hold after each.
void FuzzAdmission() {
  ManualClock clock;
  Admission<ManualClock> admission(clock);
  std::uint32_t slots = 4;
  admission.SetLimits({slots, 8, Urgency::kNormal});
  std::set<std::uint64_t> running;
  std::set<std::uint64_t> waiting;
  std::uint64_t next = 0;
  std::uint32_t allowed = slots;  // Oracle: slots, or what already ran when the limit fell.
  const auto start = [&](const std::vector<AdmissionRequest>& runnable) {
    for (const auto& request : runnable) {
      RC_ASSERT(waiting.erase(request.id) == 1U);
      running.insert(request.id);
    }
  };
  const auto refuse = [&](const std::vector<Refusal>& refused, std::uint64_t offered) {
    for (const Refusal& refusal : refused) {
      RC_ASSERT(refusal.id == offered || waiting.erase(refusal.id) == 1U);
      RC_ASSERT(refusal.retry_after > milliseconds(0));
    }
  };
  const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
      rc::gen::inRange<std::uint32_t>(0, 1'000'000));
  for (const std::uint32_t step : steps) {
    switch (step % 6) {
      case 0:
      case 1:
      case 2: {
        const AdmissionRequest request{++next, static_cast<Urgency>(step / 6 % 3),
                                       clock.Now() + milliseconds(1 + step % 900)};
        const bool idle = running.size() < slots && waiting.empty();
        const auto decision = admission.Offer(request);
        refuse(decision.refused, request.id);
        if (decision.outcome == Outcome::kRun) running.insert(request.id);
        if (decision.outcome == Outcome::kWait) waiting.insert(request.id);
        // A free slot of the floor is never refused to a request that can make its deadline.
        const bool in_time = clock.Now() + admission.mean_service_time() <= request.deadline;
        RC_ASSERT(!idle || !in_time || decision.outcome == Outcome::kRun);
        break;
      }
      case 3:
        if (running.empty()) break;
        running.erase(running.begin());
        allowed = std::max<std::uint32_t>(slots, static_cast<std::uint32_t>(running.size()));
        start(admission.Finish(milliseconds(step % 50)));
        break;
      case 4:
        slots = step / 6 % 9;
        allowed = std::max<std::uint32_t>(slots, static_cast<std::uint32_t>(running.size()));
        start(admission.SetLimits({slots, 8, Urgency::kNormal}));
        break;
      default:
        clock.Advance(milliseconds(step % 100));
        refuse(admission.RefuseUnmeetableDeadlines(), 0);
    }
    RC_ASSERT(admission.running() == running.size());
    RC_ASSERT(admission.waiting() == waiting.size());
    RC_ASSERT(running.size() <= allowed);
    RC_ASSERT(waiting.size() <= 8U);
    RC_ASSERT(running.size() >= slots || waiting.empty());
  }
}

TEST_CASE_METHOD(AdmissionTest, "Admission_UnderRandomSteps_KeepsSlotsAndPlaces") {
  RequireProperty(6, 4'000, [] { FuzzAdmission(); });
}

}  // namespace
}  // namespace wigeonlane
