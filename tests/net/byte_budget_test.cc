/// The limit on what all connections hold together: who is evicted when a crowd exceeds it.
#include "net/byte_budget.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::seconds;

class ByteBudgetTest {
 protected:
  static constexpr std::size_t kLimit = 1'000;

  /// Opens an account that is noted in `evicted_` when it is evicted.
  std::unique_ptr<ByteBudget::Account> Open(int name) {
    return std::make_unique<ByteBudget::Account>(budget_, [this, name] { evicted_.insert(name); });
  }

  static Instant At(int second) { return Instant(seconds(second)); }

  std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kLimit);
  std::set<int> evicted_;
};

TEST_CASE_METHOD(ByteBudgetTest, "Budget_CrowdHoldsBodiesOpen_ShortCallIsNotEvicted") {
  std::vector<std::unique_ptr<ByteBudget::Account>> crowd;
  for (int name = 0; name < 9; ++name) {
    crowd.push_back(Open(name));
    crowd.back()->Set(110, true, At(name));
  }
  const auto short_call = Open(100);
  short_call->Set(20, true, At(20));
  CHECK(evicted_ == std::set<int>{0, 1});
  CHECK(budget_->evictions() == 2);
}

TEST_CASE_METHOD(ByteBudgetTest, "Budget_EvictedHolderHasNotReleasedYet_NoOtherIsEvictedForIt") {
  const auto holder = Open(1);
  const auto other = Open(2);
  holder->Set(900, true, At(0));
  other->Set(200, true, At(1));
  CHECK(evicted_ == std::set<int>{1});
  other->Set(210, true, At(2));
  CHECK(evicted_ == std::set<int>{1});
  holder->Set(0, true, At(3));
  CHECK(budget_->held() == 210);
}

TEST_CASE_METHOD(ByteBudgetTest, "Budget_RequestHasBegunToRun_IsNotEvicted") {
  const auto running = Open(1);
  const auto reading = Open(2);
  running->Set(900, false, At(0));
  reading->Set(200, true, At(1));
  CHECK(evicted_ == std::set<int>{2});
}

/// Guards against bytes that no longer count: the request began to run before it could be evicted.
TEST_CASE_METHOD(ByteBudgetTest, "Budget_EvictionCameTooLate_HolderCountsAgain") {
  const auto late = Open(1);
  const auto other = Open(2);
  late->Set(900, true, At(0));
  other->Set(200, true, At(1));
  REQUIRE(evicted_ == std::set<int>{1});
  late->Set(900, false, At(2));
  other->Set(210, true, At(3));
  CHECK(evicted_ == std::set<int>{1, 2});
}

TEST_CASE_METHOD(ByteBudgetTest, "Budget_SingleMessageAboveTheLimit_IsTaken") {
  const auto only = Open(1);
  only->Set(5 * kLimit, true, At(1));
  CHECK(evicted_.empty());
}

TEST_CASE_METHOD(ByteBudgetTest, "Budget_AccountIsClosed_ItsBytesAreFree") {
  Open(1)->Set(900, true, At(0));
  CHECK(budget_->held() == 0);
}

}  // namespace
}  // namespace wigeonlane
