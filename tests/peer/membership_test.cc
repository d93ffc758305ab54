#include "peer/membership.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class MembershipTest {
 protected:
  static Heartbeat Beat(const std::string& incarnation, std::uint64_t sequence) {
    Heartbeat heartbeat;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.peer = {"127.0.0.1", 7};
    heartbeat.interval = std::chrono::milliseconds(200);
    return heartbeat;
  }

  /// Lets time pass as a running process sees it.
  void Pass(std::chrono::milliseconds period) {
    const auto step = std::chrono::milliseconds(100);
    for (auto passed = std::chrono::milliseconds(0); passed < period; passed += step) {
      clock_.Advance(step);
      members_.Expire();
    }
  }

  ManualClock clock_;
  Membership<ManualClock> members_{"self", clock_};
};

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_OfOthers_MakesThemLiveUntilTheLeaseLapses") {
  members_.OnHeartbeat(Beat("a", 1));
  members_.OnHeartbeat(Beat("self", 1));
  CHECK(members_.live().size() == 1);
  Pass(std::chrono::milliseconds(1'900));
  CHECK(members_.live().size() == 1);
  Pass(std::chrono::milliseconds(300));
  CHECK(members_.live().empty());
  CHECK(members_.AddressOf("a")->port == 7);
}

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_LateOrDoubled_ChangesNothing") {
  auto late = Beat("a", 1);
  late.next_offset = 5;
  auto newer = Beat("a", 2);
  newer.next_offset = 9;
  members_.OnHeartbeat(newer);
  members_.OnHeartbeat(late);
  members_.OnHeartbeat(newer);
  CHECK(members_.live().at("a").latest.next_offset == 9);
}

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_InParts_CountsOnlyWhenWhole") {
  auto first = Beat("a", 1);
  first.parts = 2;
  first.demand = {{"x", 1}};
  auto second = first;
  second.part = 1;
  second.demand = {{"y", 2}};
  members_.OnHeartbeat(second);
  CHECK(members_.live().empty());
  members_.OnHeartbeat(first);
  CHECK(members_.live().at("a").latest.demand.size() == 2);
}

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_ThatLeaves_DropsTheMemberForGood") {
  members_.OnHeartbeat(Beat("a", 1));
  auto leaving = Beat("a", 3);
  leaving.leaving = true;
  members_.OnHeartbeat(leaving);
  members_.OnHeartbeat(Beat("a", 2));
  CHECK(members_.live().empty());
}

TEST_CASE_METHOD(MembershipTest, "Expire_AfterAPauseOfThisProcess_KeepsTheOthers") {
  members_.OnHeartbeat(Beat("a", 1));
  Pass(std::chrono::milliseconds(500));
  clock_.Advance(std::chrono::minutes(5));
  members_.Expire();
  CHECK(members_.live().size() == 1);
  Pass(std::chrono::milliseconds(2'500));
  CHECK(members_.live().empty());
}

}  // namespace
}  // namespace wigeonlane
