/// Assigns services to cells, and checks that extending an assignment never changes its entries.
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

  void AddRunners(const std::string& service, std::uint32_t count, std::uint32_t rack_size) {
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

  std::map<CellNumber, std::uint32_t> RunnersByCell(const CellAssignment& assignment,
                                                    const std::string& service) const {
    std::map<CellNumber, std::uint32_t> count;
    for (const RunnerListing& runner : runners_) {
      if (runner.service != service) continue;
      const auto cell = assignment.CellOfRunner(service, runner.rack);
      REQUIRE(cell);
      ++count[*cell];
    }
    return count;
  }

  std::vector<RunnerListing> runners_;
};

TEST_CASE_METHOD(CellAssignmentTest,
                 "ExtendCellAssignment_SmallServices_OneCellEachAndNoneShared") {
  AddRunners("quotes", 9, 4);
  AddRunners("orders", 85, 8);
  AddRunners("spare", 8, 4);
  const CellAssignment assignment = Extend({}, {"quotes", "orders", "spare"});
  std::set<CellNumber> cells;
  for (const char* service : {"quotes", "orders", "spare"}) {
    REQUIRE(assignment.CellsOf(service).size() == 1);
    cells.insert(assignment.CellsOf(service).front());
  }
  CHECK(cells.size() == 3);
  CHECK_FALSE(cells.contains(kCoordinatorCell));  // Its owner commands the machines.
}

TEST_CASE_METHOD(CellAssignmentTest,
                 "ExtendCellAssignment_LargeService_CellsHaveWholeRacksAndSimilarSizes") {
  AddRunners("quotes", 266, 12);
  const CellAssignment assignment = Extend({}, {"quotes"});
  REQUIRE(assignment.CellsOf("quotes").size() == 4);
  for (const auto& [cell, runners] : RunnersByCell(assignment, "quotes")) {
    CHECK(runners >= 50);
    CHECK(runners <= 85);
  }
}

TEST_CASE_METHOD(CellAssignmentTest,
                 "ExtendCellAssignment_RackOfAnotherService_HasACellBeforeAMachineMoves") {
  AddRunners("quotes", 200, 12);
  AddRunners("spare", 100, 12);
  const CellAssignment assignment = Extend({}, {"quotes", "spare"});
  std::map<CellNumber, int> spare_racks;
  for (int rack = 0; rack < 8; ++rack) {
    const auto cell = assignment.CellOfRunner("quotes", Concat("spare-r", rack));
    REQUIRE(cell);
    ++spare_racks[*cell];
  }
  CHECK(spare_racks.size() == assignment.CellsOf("quotes").size());
}

TEST_CASE_METHOD(CellAssignmentTest, "ExtendCellAssignment_NothingMissing_ReturnsNothing") {
  AddRunners("quotes", 200, 12);
  const CellAssignment assignment = Extend({}, {"quotes"});
  CHECK_FALSE(ExtendCellAssignment(assignment, {"quotes"}, runners_, kCells));
}

TEST_CASE_METHOD(CellAssignmentTest, "CellOf_UnknownServiceOrRack_ReturnsNothing") {
  AddRunners("quotes", 200, 12);
  const CellAssignment assignment = Extend({}, {"quotes"});
  CHECK_FALSE(assignment.CellOfJob("orders", JobId()));
  CHECK_FALSE(assignment.CellOfRunner("orders", "quotes-r1"));
  CHECK_FALSE(assignment.CellOfRunner("quotes", "new-rack"));
}

/// Instances act on different versions of the record, so an entry of one version must be the same
/// in all later versions, whichever runners join, leave or move in the meantime.
TEST_CASE("ExtendCellAssignment_AnyHistory_RecordedEntriesNeverChange") {
  rc::check([] {
    const std::vector<std::string> names{"a", "b", "c"};
    CellAssignment assignment;
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
      const CellAssignment previous = assignment;
      if (auto extended = ExtendCellAssignment(previous, services, runners, 8)) {
        assignment = *extended;
      }
      for (const auto& [name, service] : previous.services) {
        RC_ASSERT(assignment.services.at(name).cells == service.cells);
        for (const auto& [rack, index] : service.racks) {
          RC_ASSERT(assignment.services.at(name).racks.at(rack) == index);
        }
      }
      RC_ASSERT(DecodeCellAssignment(Encode(assignment), 8).value() == assignment);
    }
  });
}

TEST_CASE_METHOD(CellAssignmentTest,
                 "DecodeCellAssignment_DamagedOrNewerFormatVersion_IsRejected") {
  AddRunners("quotes", 200, 12);
  CellAssignment assignment = Extend({}, {"quotes"});
  const std::string bytes = Encode(assignment);
  CHECK(DecodeCellAssignment(bytes, kCells).ok());
  CHECK_FALSE(DecodeCellAssignment(bytes, 2).ok());  // The record names cells that do not exist.
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_FALSE(DecodeCellAssignment(bytes.substr(0, size), kCells).ok());
  }
  assignment.format_version = 2;
  CHECK_FALSE(DecodeCellAssignment(Encode(assignment), kCells).ok());
}

}  // namespace
}  // namespace wigeonlane
