/// Tenures on one instance and the role that goes with a cell.
#include "cells/cell_table.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;

constexpr CellNumber kRoleCell = 0;
constexpr CellNumber kOtherCell = 3;
constexpr milliseconds kRoleWait{700};

/// A host that ends or is released when the test says so.
class ScriptedHost {
 public:
  explicit ScriptedHost(TermToken token) : token_(token) {}

  ~ScriptedHost() {
    if (destroyed) destroyed();
  }

  void Start(std::function<void()> done) { ended = std::move(done); }
  void Release(milliseconds role, std::function<void()> done) {
    role_wait = role;
    released = std::move(done);
  }
  TermToken token() const { return token_; }

  std::function<void()> ended;
  std::function<void()> released;
  milliseconds role_wait{-1};
  std::function<void()> destroyed;

 private:
  TermToken token_;
};

class CellTableTest {
 protected:
  CellTableTest()
      : table_(
            &io_, [](CellNumber, TermToken token) { return std::make_unique<ScriptedHost>(token); },
            [this](CellNumber, TermToken token) { deposed_.push_back(token); },
            {kRoleCell, [this](TermToken token) { role_ = token; },
             [this] {
               role_.reset();
               return kRoleWait;
             }}) {}

  asio::io_context io_;
  std::optional<TermToken> role_;
  std::vector<TermToken> deposed_;
  CellTable<ScriptedHost> table_;
};

TEST_CASE_METHOD(CellTableTest, "Role_ItsCellIsDeposed_EndsAtOnce") {
  table_.Gain(kRoleCell, 8);
  REQUIRE(role_ == 8);
  table_.Find(kRoleCell)->ended();
  CHECK_FALSE(role_);
  io_.run();
  CHECK(table_.Find(kRoleCell) == nullptr);
  CHECK(deposed_ == std::vector<TermToken>{8});
}

TEST_CASE_METHOD(CellTableTest, "Role_ItsCellIsLost_EndsBeforeTheCellIsReleased") {
  table_.Gain(kRoleCell, 8);
  bool released = false;
  table_.Lose(kRoleCell, [&] { released = true; });
  CHECK_FALSE(role_);
  CHECK_FALSE(released);
  CHECK(table_.Find(kRoleCell)->role_wait == kRoleWait);
  table_.Find(kRoleCell)->released();
  io_.run();
  CHECK(released);
  CHECK(table_.Find(kRoleCell) == nullptr);
}

TEST_CASE_METHOD(CellTableTest, "Loss_OfACellWhoseTenureHadEnded_IsReleasedAllTheSame") {
  table_.Gain(kRoleCell, 8);
  table_.Find(kRoleCell)->ended();
  io_.run();
  io_.restart();
  role_ = 8;  // Begun again by mistake: the loss must end it.
  bool released = false;
  table_.Lose(kRoleCell, [&] { released = true; });
  CHECK_FALSE(role_);
  io_.run();
  CHECK(released);
}

TEST_CASE_METHOD(CellTableTest, "Role_AnotherCellIsLost_GoesOn") {
  table_.Gain(kRoleCell, 8);
  table_.Gain(kOtherCell, 11);
  table_.Lose(kOtherCell, [] {});
  CHECK(role_ == 8);
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
  table_.Gain(kRoleCell, 8);
  table_.Gain(kOtherCell, 11);
  std::size_t found = 0;
  for (const CellNumber cell : {kRoleCell, kOtherCell}) {
    table_.Find(cell)->destroyed = [&] {
      for (const CellNumber other : {kRoleCell, kOtherCell}) found += table_.Find(other) != nullptr;
    };
  }
  table_.Clear();
  CHECK(found == 0);
}

}  // namespace
}  // namespace wigeonlane
