/// Tenures on one instance and the duty that goes with a cell.
#include "cells/cell_table.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr CellNumber kDutyCell = 0;
constexpr CellNumber kOtherCell = 3;
constexpr milliseconds kDutyLeft{700};

/// A host that ends or is released when the test says so.
class ScriptedHost {
 public:
  explicit ScriptedHost(TenureToken token) : token_(token) {}

  ~ScriptedHost() {
    if (destroyed) destroyed();
  }

  void Start(std::function<void()> done) { ended = std::move(done); }
  void Release(milliseconds duty, std::function<void()> done) {
    duty_left = duty;
    released = std::move(done);
  }
  TenureToken token() const { return token_; }

  std::function<void()> ended;
  std::function<void()> released;
  milliseconds duty_left{-1};
  std::function<void()> destroyed;

 private:
  TenureToken token_;
};

class CellTableTest {
 protected:
  CellTableTest()
      : table_(
            &io_,
            [](CellNumber, TenureToken token) { return std::make_unique<ScriptedHost>(token); },
            [this](CellNumber, TenureToken token) { deposed_.push_back(token); },
            {kDutyCell, [this](TenureToken token) { duty_ = token; },
             [this] {
               duty_.reset();
               return kDutyLeft;
             }}) {}

  asio::io_context io_;
  std::optional<TenureToken> duty_;
  std::vector<TenureToken> deposed_;
  CellTable<ScriptedHost> table_;
};

TEST_CASE_METHOD(CellTableTest, "Duty_ItsCellIsDeposed_EndsAtOnce") {
  table_.Gain(kDutyCell, 8);
  REQUIRE(duty_ == 8);
  table_.Find(kDutyCell)->ended();
  CHECK_FALSE(duty_);
  io_.run();
  CHECK(table_.Find(kDutyCell) == nullptr);
  CHECK(deposed_ == std::vector<TenureToken>{8});
}

TEST_CASE_METHOD(CellTableTest, "Duty_ItsCellIsLost_EndsBeforeTheCellIsReleased") {
  table_.Gain(kDutyCell, 8);
  bool released = false;
  table_.Lose(kDutyCell, [&] { released = true; });
  CHECK_FALSE(duty_);
  CHECK_FALSE(released);
  CHECK(table_.Find(kDutyCell)->duty_left == kDutyLeft);
  table_.Find(kDutyCell)->released();
  io_.run();
  CHECK(released);
  CHECK(table_.Find(kDutyCell) == nullptr);
}

TEST_CASE_METHOD(CellTableTest, "Loss_OfACellWhoseTenureHadEnded_IsReleasedAllTheSame") {
  table_.Gain(kDutyCell, 8);
  table_.Find(kDutyCell)->ended();
  io_.run();
  io_.restart();
  duty_ = 8;  // Begun again by mistake: the loss must end it.
  bool released = false;
  table_.Lose(kDutyCell, [&] { released = true; });
  CHECK_FALSE(duty_);
  io_.run();
  CHECK(released);
}

TEST_CASE_METHOD(CellTableTest, "Duty_AnotherCellIsLost_GoesOn") {
  table_.Gain(kDutyCell, 8);
  table_.Gain(kOtherCell, 11);
  table_.Lose(kOtherCell, [] {});
  CHECK(duty_ == 8);
}

TEST_CASE_METHOD(CellTableTest, "Host_EndedAfterALaterTenureBegan_LeavesThatOneAlone") {
  table_.Gain(kOtherCell, 11);
  const auto ended = table_.Find(kOtherCell)->ended;
  ended();
  table_.Gain(kOtherCell, 19);
  io_.run();
  REQUIRE(table_.Find(kOtherCell) != nullptr);
  CHECK(table_.Find(kOtherCell)->token() == 19);
}

TEST_CASE_METHOD(CellTableTest, "Clear_HostAsksForACellAsItIsDestroyed_FindsNone") {
  table_.Gain(kDutyCell, 8);
  table_.Gain(kOtherCell, 11);
  std::size_t found = 0;
  for (const CellNumber cell : {kDutyCell, kOtherCell}) {
    table_.Find(cell)->destroyed = [&] {
      for (const CellNumber other : {kDutyCell, kOtherCell}) found += table_.Find(other) != nullptr;
    };
  }
  table_.Clear();
  CHECK(found == 0);
}

}  // namespace
}  // namespace wigeonlane
