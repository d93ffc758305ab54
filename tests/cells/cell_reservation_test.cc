/// Runners whose machines are to be taken down, across a change of owner: what a step may miss
/// counts what the predecessor let go.
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cells/cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kService = "press";
constexpr milliseconds kBorn{1'000};
constexpr int kRunners = 3;

/// Three runners with a lasting task each, of a step that may miss one.
class CellReservationTest {
 protected:
  CellReservationTest() {
    Begin();
    JobRecord record;
    record.spec.steps.resize(1);
    StepSpec& step = record.spec.steps[0];
    step.count = kRunners;
    step.need = {1'000, 1'000, 0};
    step.long_running = true;
    step.most_per_runner = 1;
    step.may_be_missing = 1;
    record.policy.service = kService;
    cell_->Submit(1, *JobId::Parse("00000000000000a1"), record, Time());
    Pass(milliseconds(4'000));
  }

  /// An owner takes the cell over from what is stored.
  void Begin() {
    cell_ = std::make_unique<Cell>(0, ++token_, CellOptions());
    std::vector<StoreRecord> records;
    for (const auto& [key, value] : stored_) records.push_back({key, value});
    cell_->Restore(records, Time());
    std::vector<RunnerListing> listings;
    for (int i = 0; i < kRunners; ++i) {
      RunnerListing listing;
      listing.id = Name(i);
      listing.service = kService;
      listing.capacity = {2'000, 2'000, 0};
      listing.born = kBorn;
      listings.push_back(listing);
    }
    cell_->SetRunners(listings, Time());
    Pass(milliseconds(100));
  }

  static std::string Name(int runner) { return "runner-" + std::to_string(runner); }

  CellTime Time() const {
    return {now_, UnixTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()))};
  }

  void Pass(milliseconds duration) {
    constexpr milliseconds kStep{10};
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      now_ += kStep;
      cell_->ExtendAuthority(now_ + CellOptions().authority);
      cell_->Advance(Time());
      TakeOutbox(cell_->TakeOutbox());
    }
  }

  void TakeOutbox(const Outbox& outbox) {
    for (const AppendOrder& append : outbox.appends) {
      for (const StoreRecord& record : append.records) {
        if (record.value) {
          stored_[record.key] = *record.value;
        } else {
          stored_.erase(record.key);
        }
      }
      cell_->Committed(Time());
    }
    for (const StartOrder& start : outbox.starts) {
      running_[IdOf(start.runner)].push_back({start.task, start.run, "", 100, 0});
      cell_->StartAnswered(start, {OrderAnswer::kDone, {}}, Time());
    }
    for (const LookOrder& look : outbox.looks) {
      RunnerReport report;
      report.born = kBorn;
      report.clock = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
      report.running = running_[IdOf(look.runner)];
      cell_->Looked(look, OrderAnswer::kDone, report, Time());
    }
  }

  std::string IdOf(RunnerKey key) const {
    return std::as_const(*cell_).FindRunner(key)->listing.id;
  }

  bool Release(int runner) {
    return cell_->ReserveRunner(Name(runner), Time()).verdict == CallVerdict::kReady;
  }

  Instant now_{std::chrono::hours(1)};
  TenureToken token_ = 0;
  std::unique_ptr<Cell> cell_;
  std::map<std::string, std::string> stored_;
  std::map<std::string, std::vector<ListedRun>> running_;
};

TEST_CASE_METHOD(CellReservationTest, "Release_OfARunnerBesideOneThatWasReleased_IsRefused") {
  CHECK(Release(0));
  CHECK_FALSE(Release(1));
}

TEST_CASE_METHOD(CellReservationTest, "Release_BySuccessor_WaitsUntilThePredecessorsHaveLapsed") {
  REQUIRE(Release(0));
  Begin();  // The successor does not know that a machine may go down at any time.
  CHECK_FALSE(Release(1));
  Pass(milliseconds(1'500));
  CHECK_FALSE(Release(1));
  Pass(milliseconds(500));
  CHECK(Release(1));
}

}  // namespace
}  // namespace wigeonlane
