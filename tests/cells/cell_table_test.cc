/// Terms on one instance, and the role that is tied to a cell.
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

/// A host whose callbacks are called by the test.
class ScriptedHost {
 public:
  explicit ScriptedHost(TermToken token) : token_(token) {}

  ~ScriptedHost() {
    if (destroyed) destroyed();
  }

  void Start(std::function<void()> done) { on_deposed = std::move(done); }
  void Release(milliseconds role, std::function<void()> done) {
    role_wait = role;
    released = std::move(done);
  }
  TermToken token() const { return token_; }

  std::function<void()> on_deposed;
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
            {kRoleCell, [this](TermToken token) { role_token_ = token; },
             [this] {
               role_token_.reset();
               return kRoleWait;
             }}) {}

  asio::io_context io_;
  std::optional<TermToken> role_token_;
  std::vector<TermToken> deposed_;
  CellTable<ScriptedHost> table_;
};

TEST_CASE_METHOD(CellTableTest, "Role_ItsCellIsDeposed_StopsAtOnce") {
  table_.Gain(kRoleCell, 8);
  REQUIRE(role_token_ == 8);
  table_.Find(kRoleCell)->on_deposed();
  CHECK_FALSE(role_token_);
  io_.run();
  CHECK(table_.Find(kRoleCell) == nullptr);
  CHECK(deposed_ == std::vector<TermToken>{8});
}

TEST_CASE_METHOD(CellTableTest, "Role_ItsCellIsLost_StopsBeforeTheCellIsReleased") {
  table_.Gain(kRoleCell, 8);
  bool released = false;
  table_.Lose(kRoleCell, [&] { released = true; });
  CHECK_FALSE(role_token_);
  CHECK_FALSE(released);
  CHECK(table_.Find(kRoleCell)->role_wait == kRoleWait);
  table_.Find(kRoleCell)->released();
  io_.run();
  CHECK(released);
  CHECK(table_.Find(kRoleCell) == nullptr);
}

TEST_CASE_METHOD(CellTableTest, "Loss_CellWithoutATerm_IsReleased") {
  table_.Gain(kRoleCell, 8);
  table_.Find(kRoleCell)->on_deposed();
  io_.run();
  io_.restart();
  role_token_ = 8;  // The role was started again by mistake; the loss of the cell must stop it.
  bool released = false;
  table_.Lose(kRoleCell, [&] { released = true; });
  CHECK_FALSE(role_token_);
  io_.run();
  CHECK(released);
}

TEST_CASE_METHOD(CellTableTest, "Role_AnotherCellIsLost_Continues") {
  table_.Gain(kRoleCell, 8);
  table_.Gain(kOtherCell, 11);
  table_.Lose(kOtherCell, [] {});
  CHECK(role_token_ == 8);
}

TEST_CASE_METHOD(CellTableTest, "Host_EndsAfterALaterTermStarted_LaterTermContinues") {
  table_.Gain(kOtherCell, 11);
  const auto on_deposed = table_.Find(kOtherCell)->on_deposed;
  on_deposed();
  table_.Gain(kOtherCell, 19);
  io_.run();
  REQUIRE(table_.Find(kOtherCell) != nullptr);
  CHECK(table_.Find(kOtherCell)->token() == 19);
}

TEST_CASE_METHOD(CellTableTest, "Clear_HostLooksUpACellInItsDestructor_FindsNone") {
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
