/// The store does not answer an append while the runners can be reached: their work goes on.
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "cells/cell.h"

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kService = "press";
constexpr milliseconds kBorn{1'000};

/// One runner with room for two tasks, and a job of six. The store stops answering on demand.
class CellStallTest {
 protected:
  CellStallTest() : cell_(0, 1, CellOptions()) {
    cell_.Restore({}, Time());
    RunnerListing listing;
    listing.id = "runner";
    listing.service = kService;
    listing.capacity = {2'000, 2'000, 0};
    listing.born = kBorn;
    cell_.SetRunners({listing}, Time());
    Pass(milliseconds(200));
    JobRecord record;
    record.spec.steps.resize(1);
    record.spec.steps[0].count = 6;
    record.spec.steps[0].need = {1'000, 1'000, 0};
    record.policy.service = kService;
    cell_.Submit(1, *JobId::Parse("00000000000000a1"), record, Time());
    Pass(milliseconds(200));
  }

  CellTime Time() const {
    return {now_, UnixTime(std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()))};
  }

  void Pass(milliseconds duration) {
    constexpr milliseconds kStep{5};
    for (milliseconds passed{0}; passed < duration; passed += kStep) {
      now_ += kStep;
      cell_.ExtendAuthority(now_ + CellOptions().authority);
      cell_.Advance(Time());
      TakeOutbox(cell_.TakeOutbox());
    }
  }

  void TakeOutbox(const Outbox& outbox) {
    if (!outbox.appends.empty() && store_answers_) cell_.Committed(Time());
    for (const StartOrder& start : outbox.starts) {
      running_.push_back({start.task, start.run, "", 100, 0});
      ++starts_;
      cell_.StartAnswered(start, {OrderAnswer::kDone, {}}, Time());
    }
    for (const LookOrder& look : outbox.looks) {
      ++looks_;
      if (look.lease) lease_ = *look.lease;
      std::erase_if(ended_, [&](const ListedEnd& end) { return end.number <= look.forget_up_to; });
      RunnerReport report;
      report.born = kBorn;
      report.clock = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
      report.running = running_;
      report.ended = ended_;
      cell_.Looked(look, OrderAnswer::kDone, report, Time());
    }
  }

  /// All that runs ends well.
  void EndAll() {
    for (const ListedRun& run : running_) {
      ended_.push_back({++last_end_, run.task, run.run, RunEnd::kDone, ""});
    }
    running_.clear();
  }

  Instant now_{std::chrono::hours(1)};
  Cell cell_;
  bool store_answers_ = true;
  std::vector<ListedRun> running_;
  std::vector<ListedEnd> ended_;
  std::uint64_t last_end_ = 0;
  std::size_t starts_ = 0;
  std::size_t looks_ = 0;
  RunnerClock lease_{0};
};

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_EndsAreSeenAndOtherTasksStart") {
  REQUIRE(starts_ == 2);
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  REQUIRE(starts_ == 4);
  EndAll();
  Pass(milliseconds(500));
  CHECK(starts_ == 6);
  // Nothing is forgotten that is not stored.
  CHECK(ended_.size() == 4);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_LeasesAreExtended") {
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  REQUIRE(running_.size() == 2);
  Pass(std::chrono::seconds(6));
  const RunnerClock clock = std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
  CHECK(lease_ > clock + CellOptions().lease / 2);
}

TEST_CASE_METHOD(CellStallTest, "Store_DoesNotAnswer_RunnersAreAskedAndTheCellWakesSeldom") {
  store_answers_ = false;
  EndAll();
  Pass(milliseconds(500));
  looks_ = 0;
  Pass(std::chrono::seconds(2));
  CHECK(looks_ <= 2 * 1'000 / 100);
  CHECK(cell_.NextWake(now_) >= now_ + milliseconds(1));
}

}  // namespace
}  // namespace wigeonlane
