/// How services are divided among cells, and that a division only ever grows.
#include "cells/cell_assignment.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "core/codec.h"
#include "core/text.h"

namespace wigeonlane {
namespace {

class CellAssignmentTest {
 protected:
  static constexpr std::uint32_t kCells = 16;

  void List(const std::string& service, std::uint32_t count, std::uint32_t rack_size) {
    for (std::uint32_t i = 0; i < count; ++i) {
      RunnerListing runner;
      runner.id = Concat(service, "-", i);
      runner.service = service;
      runner.rack = Concat(service, "-r", i / rack_size);
      runners_.push_back(runner);
    }
  }

  CellAssignment Extend(const CellAssignment& present,
                        const std::vector<std::string>& services) const {
    return ExtendCellAssignment(present, services, runners_, kCells).value_or(present);
  }

  std::map<CellNumber, std::uint32_t> RunnersByCell(const CellAssignment& division,
                                                    const std::string& service) const {
    std::map<CellNumber, std::uint32_t> count;
    for (const RunnerListing& runner : runners_) {
      if (runner.service != service) continue;
      const auto cell = division.CellOfRunner(service, runner.rack);
      REQUIRE(cell);
      ++count[*cell];
    }
    return count;
  }

  std::vector<RunnerListing> runners_;
};

TEST_CASE_METHOD(CellAssignmentTest, "ExtendDivision_SmallServices_OneCellEachAndNoneShared") {
  List("quotes", 9, 4);
  List("orders", 85, 8);
  List("spare", 8, 4);
  const CellAssignment division = Extend({}, {"quotes", "orders", "spare"});
  std::set<CellNumber> cells;
  for (const char* service : {"quotes", "orders", "spare"}) {
    REQUIRE(division.CellsOf(service).size() == 1);
    cells.insert(division.CellsOf(service).front());
  }
  CHECK(cells.size() == 3);
  CHECK_FALSE(cells.contains(kCoordinatorCell));  // Its owner has the machines to order.
}

TEST_CASE_METHOD(CellAssignmentTest,
                 "ExtendDivision_LargeService_CellsHaveWholeRacksAndLikeNumbers") {
  List("quotes", 266, 12);
  const CellAssignment division = Extend({}, {"quotes"});
  REQUIRE(division.CellsOf("quotes").size() == 4);
  for (const auto& [cell, runners] : RunnersByCell(division, "quotes")) {
    CHECK(runners >= 50);
    CHECK(runners <= 85);
  }
}

TEST_CASE_METHOD(CellAssignmentTest,
                 "ExtendDivision_RackOfAnotherService_HasItsCellBeforeAMachineMoves") {
  List("quotes", 200, 12);
  List("spare", 100, 12);
  const CellAssignment division = Extend({}, {"quotes", "spare"});
  std::map<CellNumber, int> spare_racks;
  for (int rack = 0; rack < 8; ++rack) {
    const auto cell = division.CellOfRunner("quotes", Concat("spare-r", rack));
    REQUIRE(cell);
    ++spare_racks[*cell];
  }
  CHECK(spare_racks.size() == division.CellsOf("quotes").size());
}

TEST_CASE_METHOD(CellAssignmentTest, "ExtendDivision_AllIsThere_GivesNothing") {
  List("quotes", 200, 12);
  const CellAssignment division = Extend({}, {"quotes"});
  CHECK_FALSE(ExtendCellAssignment(division, {"quotes"}, runners_, kCells));
}

TEST_CASE_METHOD(CellAssignmentTest, "CellOf_UnknownServiceOrRack_IsNothing") {
  List("quotes", 200, 12);
  const CellAssignment division = Extend({}, {"quotes"});
  CHECK_FALSE(division.CellOfJob("orders", JobId()));
  CHECK_FALSE(division.CellOfRunner("orders", "quotes-r1"));
  CHECK_FALSE(division.CellOfRunner("quotes", "new-rack"));
}

/// Instances act on different versions of the record: what one version says must hold in all later
/// ones, whatever runners come, leave or move meanwhile.
TEST_CASE("ExtendDivision_AnyHistory_NothingThatWasSaidChanges") {
  rc::check([] {
    const std::vector<std::string> names{"a", "b", "c"};
    CellAssignment division;
    for (int step = *rc::gen::inRange(1, 6); step > 0; --step) {
      std::vector<RunnerListing> runners;
      for (int i = *rc::gen::inRange(0, 400); i > 0; --i) {
        RunnerListing runner;
        runner.service = names[*rc::gen::inRange<std::size_t>(0, names.size())];
        runner.rack = Concat("r", *rc::gen::inRange(0, 30));
        runners.push_back(runner);
      }
      const std::vector<std::string> services(names.begin(),
                                              names.begin() + *rc::gen::inRange(0, 4));
      const CellAssignment before = division;
      if (auto extended = ExtendCellAssignment(before, services, runners, 8)) division = *extended;
      for (const auto& [name, service] : before.services) {
        RC_ASSERT(division.services.at(name).cells == service.cells);
        for (const auto& [rack, index] : service.racks) {
          RC_ASSERT(division.services.at(name).racks.at(rack) == index);
        }
      }
      RC_ASSERT(DecodeCellAssignment(Encode(division), 8).value() == division);
    }
  });
}

TEST_CASE_METHOD(CellAssignmentTest, "DecodeDivision_DamagedOrOfANewerForm_IsRefused") {
  List("quotes", 200, 12);
  CellAssignment division = Extend({}, {"quotes"});
  const std::string bytes = Encode(division);
  CHECK(DecodeCellAssignment(bytes, kCells).ok());
  CHECK_FALSE(DecodeCellAssignment(bytes, 2).ok());  // Names cells beyond those there are.
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeCellAssignment(bytes.substr(0, size), kCells).ok());
  }
  division.form = 2;
  CHECK_FALSE(DecodeCellAssignment(Encode(division), kCells).ok());
}

}  // namespace
}  // namespace wigeonlane
