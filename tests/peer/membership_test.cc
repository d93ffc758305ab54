/// Tests which members count as live. Guards against members that are dropped although they send
/// heartbeats, or kept after they stopped or left.
#include "peer/membership.h"

#include <catch2/catch.hpp>

namespace wigeonlane {
namespace {

class MembershipTest {
 protected:
  static Heartbeat MakeHeartbeat(const std::string& incarnation, std::uint64_t sequence) {
    Heartbeat heartbeat;
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.peer = {"127.0.0.1", 7};
    heartbeat.interval = std::chrono::milliseconds(200);
    return heartbeat;
  }

  /// Advances the clock and calls `Expire` every 100 ms, as a running process does.
  void AdvanceTime(std::chrono::milliseconds period) {
    const auto step = std::chrono::milliseconds(100);
    for (auto elapsed = std::chrono::milliseconds(0); elapsed < period; elapsed += step) {
      clock_.Advance(step);
      members_.Expire();
    }
  }

  ManualClock clock_;
  Membership<ManualClock> members_{"self", clock_};
};

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_FromOthers_MakesThemLiveUntilLeaseExpires") {
  members_.OnHeartbeat(MakeHeartbeat("a", 1));
  members_.OnHeartbeat(MakeHeartbeat("self", 1));
  CHECK(members_.live().size() == 1);
  AdvanceTime(std::chrono::milliseconds(1'900));
  CHECK(members_.live().size() == 1);
  AdvanceTime(std::chrono::milliseconds(300));
  CHECK(members_.live().empty());
  CHECK(members_.AddressOf("a")->port == 7);
}

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_LateOrDuplicate_ChangesNothing") {
  auto late = MakeHeartbeat("a", 1);
  late.next_offset = 5;
  auto newer = MakeHeartbeat("a", 2);
  newer.next_offset = 9;
  members_.OnHeartbeat(newer);
  members_.OnHeartbeat(late);
  members_.OnHeartbeat(newer);
  CHECK(members_.live().at("a").latest.next_offset == 9);
}

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_InParts_CountsOnlyWhenComplete") {
  auto first = MakeHeartbeat("a", 1);
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

TEST_CASE_METHOD(MembershipTest, "OnHeartbeat_Leaving_RemovesMemberForGood") {
  members_.OnHeartbeat(MakeHeartbeat("a", 1));
  auto leaving = MakeHeartbeat("a", 3);
  leaving.leaving = true;
  members_.OnHeartbeat(leaving);
  members_.OnHeartbeat(MakeHeartbeat("a", 2));
  CHECK(members_.live().empty());
}

TEST_CASE_METHOD(MembershipTest, "Expire_AfterPauseOfThisProcess_KeepsOtherMembers") {
  members_.OnHeartbeat(MakeHeartbeat("a", 1));
  AdvanceTime(std::chrono::milliseconds(500));
  clock_.Advance(std::chrono::minutes(5));
  members_.Expire();
  CHECK(members_.live().size() == 1);
  AdvanceTime(std::chrono::milliseconds(2'500));
  CHECK(members_.live().empty());
}

}  // namespace
}  // namespace wigeonlane
