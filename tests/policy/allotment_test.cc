#include "policy/allotment.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "tests/support/property.h"

namespace wigeonlane {
namespace {

class AllotmentTest {
 protected:
  /// Two services with a pool each, and a spare pool that has a service of its own.
  static RouteView TwoPoolsAndSparePool() {
    RouteView view;
    for (const char* name : {"quotes", "stock", "tools"}) {
      ServiceRoute service;
      service.spec = {name, name, name};
      service.profile.name = name;
      service.profile.floor_slots = 16;
      service.profile.borrow_slots = std::string(name) == "tools" ? 0 : 24;
      service.profile.queue_places = 90;
      view.services[name] = service;
      PoolRoute& pool = view.pools[name];
      pool.spec.name = name;
      pool.spec.runner_slots = 8;
      pool.spec.spare = std::string(name) == "tools";
      pool.services = {name};
      for (int i = 0; i < 4; ++i) {
        pool.runners.push_back({name + std::to_string(i), {"127.0.0.1", 1}});
      }
    }
    return view;
  }

  static std::vector<MemberDemand> Members(const std::vector<std::uint32_t>& quotes) {
    std::vector<MemberDemand> members;
    for (std::size_t i = 0; i < quotes.size(); ++i) {
      members.push_back({"m" + std::to_string(i), {{"quotes", quotes[i] * 100}}});
    }
    return members;
  }
};

TEST_CASE_METHOD(AllotmentTest, "Compute_WithoutDemand_GivesOwnPoolOnly") {
  const auto allotments = ComputeAllotments(TwoPoolsAndSparePool(), Members({0, 0}), "m0");
  CHECK(allotments.at("quotes").fleet_slots == 32);
  CHECK(allotments.at("quotes").borrowed == 0);
  CHECK(allotments.at("quotes").slots == 16);
  CHECK(allotments.at("quotes").queue_places == 45);
}

TEST_CASE_METHOD(AllotmentTest, "Compute_InAPeak_BorrowsAboveTheSparesFloor") {
  const auto allotments = ComputeAllotments(TwoPoolsAndSparePool(), Members({100, 60}), "m0");
  CHECK(allotments.at("quotes").borrowed == 16);
  CHECK(allotments.at("tools").fleet_slots == 16);
  CHECK(allotments.at("stock").fleet_slots == 32);
}

TEST_CASE_METHOD(AllotmentTest,
                 "Compute_WithASkewedBalancer_FollowsDemandOverOwnAndBorrowedSlots") {
  const auto members = Members({50, 3, 3, 3});
  CHECK(ComputeAllotments(TwoPoolsAndSparePool(), members, "m0").at("quotes").slots == 39);
  CHECK(ComputeAllotments(TwoPoolsAndSparePool(), members, "m1").at("quotes").slots == 3);
}

TEST_CASE_METHOD(AllotmentTest, "Compute_ForAStranger_GivesNoSlots") {
  const auto allotments = ComputeAllotments(TwoPoolsAndSparePool(), Members({1, 1}), "unknown");
  CHECK(allotments.at("quotes").slots == 0);
  CHECK(allotments.at("quotes").runners.empty());
}

TEST_CASE_METHOD(AllotmentTest, "Compute_AnyDemand_NoSlotHasTwoOwnersAndFloorsHold") {
  RequireProperty(64, 3'000, [] {
    const RouteView view = TwoPoolsAndSparePool();
    std::vector<MemberDemand> members;
    const auto count = *rc::gen::inRange(1, 9);
    for (int i = 0; i < count; ++i) {
      MemberDemand member{"m" + std::to_string(i), {}};
      for (const char* service : {"quotes", "stock", "tools"}) {
        member.by_service[service] = *rc::gen::inRange(0U, 8'000U);
      }
      members.push_back(member);
    }
    std::map<std::string, std::uint32_t> by_runner;
    std::map<std::string, std::uint32_t> by_service;
    for (const auto& member : members) {
      for (const auto& [service, allotment] : ComputeAllotments(view, members, member.member)) {
        by_service[service] += allotment.slots;
        for (const auto& runner : allotment.runners) by_runner[runner.instance] += runner.slots;
      }
    }
    for (const auto& [runner, slots] : by_runner) RC_ASSERT(slots <= 8U);
    for (const auto& [service, slots] : by_service) RC_ASSERT(slots >= 16U);
    const auto mine = ComputeAllotments(view, members, "m0");
    for (const auto& [service, slots] : by_service) {
      RC_ASSERT(mine.at(service).fleet_slots == slots);
    }
  });
}

}  // namespace
}  // namespace wigeonlane
