/// A window of orders under more orders than the platform takes.
#include "scheduling/command_window.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace wigeonlane {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr CommandKind kMaintenance = CommandKind::kMaintenance;
constexpr CommandKind kMove = CommandKind::kMove;

class CommandWindowTest {
 protected:
  using Window = CommandWindow<std::string>;

  static CommandWindowOptions Options(std::size_t max_in_flight, double commands_per_second) {
    CommandWindowOptions options;
    options.max_in_flight = max_in_flight;
    options.commands_per_second = commands_per_second;
    return options;
  }

  void Ask(Window* window, CommandKind kind, const std::string& machine) {
    window->Ask(kind, machine, machine, now_);
  }

  std::vector<std::string> TakeAll(Window* window) {
    std::vector<std::string> taken;
    while (auto next = window->Dequeue(now_)) taken.push_back(*next);
    return taken;
  }

  Instant now_ = Instant(std::chrono::hours(1));
};

// Guards against orders that are sent again while they are open.
TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_OrderIsOpen_MachineIsNotTakenAgain") {
  Window window(Options(8, 1'000));
  Ask(&window, kMaintenance, "m1");
  CHECK(TakeAll(&window) == std::vector<std::string>{"m1"});
  Ask(&window, kMaintenance, "m1");
  Ask(&window, kMove, "m1");
  CHECK(window.waiting() == 0);
  window.Close("m1");
  Ask(&window, kMaintenance, "m1");
  CHECK(TakeAll(&window) == std::vector<std::string>{"m1"});
}

// Guards against a wave that keeps machines from the pool whose turn it is, and the other way.
TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_BothKindsWait_TheyTakeTurns") {
  Window window(Options(4, 1'000));
  for (const char* name : {"u1", "u2", "u3", "u4"}) Ask(&window, kMaintenance, name);
  for (const char* name : {"v1", "v2"}) Ask(&window, kMove, name);
  CHECK(TakeAll(&window) == std::vector<std::string>{"u1", "v1", "u2", "v2"});
}

TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_AskedForAgainAsTheOtherKind_WaitsOnce") {
  Window window(Options(4, 1'000));
  Ask(&window, kMaintenance, "m1");
  Ask(&window, kMove, "m1");
  CHECK(window.waiting() == 1);
  CHECK(TakeAll(&window).size() == 1);
}

// Guards against orders that outlive the plan that asked for them.
TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_NoRoundAsksAgain_OrderIsDropped") {
  Window window(Options(1, 1'000));
  Ask(&window, kMaintenance, "m1");
  Ask(&window, kMaintenance, "m2");
  TakeAll(&window);
  now_ += seconds(1);
  window.Close("m1");
  CHECK(TakeAll(&window).empty());
  CHECK(window.waiting() == 0);
}

// Guards against orders that the platform refuses for their number.
TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_MoreThanThePlatformTakes_NoSecondSeesMore") {
  constexpr int kPerSecond = 64;
  Window window(Options(1'000, kPerSecond));
  std::deque<Instant> sent;
  int most = 0;
  int all = 0;
  for (int step = 0; step < 1'000; ++step) {
    for (int i = 0; i < 4; ++i) Ask(&window, kMove, std::to_string(step * 4 + i));
    for (const std::string& machine : TakeAll(&window)) {
      sent.push_back(now_);
      window.Close(machine);
      ++all;
    }
    while (!sent.empty() && now_ - sent.front() > seconds(1)) sent.pop_front();
    most = std::max(most, static_cast<int>(sent.size()));
    now_ += milliseconds(10);
  }
  CHECK(most <= kPerSecond);
  CHECK(all >= 10 * kPerSecond / 2);
}

TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_RateIsUsedUp_TellsWhenToTakeTheNext") {
  Window window(Options(10, 10));
  Ask(&window, kMove, "m1");
  Ask(&window, kMove, "m2");
  REQUIRE(TakeAll(&window).size() == 1);
  const auto wait = window.DelayUntilNext(now_);
  REQUIRE(wait.has_value());
  CHECK(*wait > Duration::zero());
  now_ += *wait;
  CHECK(TakeAll(&window).size() == 1);
  CHECK_FALSE(window.DelayUntilNext(now_).has_value());
}

TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_OrderIsTakenBack_RateIsNotUsed") {
  Window window(Options(10, 10));
  Ask(&window, kMove, "m1");
  REQUIRE(TakeAll(&window).size() == 1);
  window.ReturnUnsent("m1");
  Ask(&window, kMove, "m2");
  CHECK(TakeAll(&window).size() == 1);
}

// Guards against a queue that outlives the load which filled it: a platform that answers one order
// every 4 ms, a burst of 3,000 machines, then a light load of fresh ones.
TEST_CASE_METHOD(CommandWindowTest, "OrderWindow_BurstIsOver_FreshOrdersAreAnsweredSoon") {
  constexpr milliseconds kAnswer{4};
  constexpr milliseconds kSoon{500};
  Window window(Options(8, 1'000));
  std::deque<std::string> open;
  std::map<std::string, Instant> asked;
  Duration longest = Duration::zero();
  const auto turn = [&](int first, int count) {
    for (int i = first; i < first + count; ++i) {
      asked.try_emplace(std::to_string(i), now_);
      Ask(&window, kMove, std::to_string(i));
    }
    for (int answers = 0; answers < 25; ++answers) {
      for (const std::string& machine : TakeAll(&window)) open.push_back(machine);
      now_ += kAnswer;
      if (open.empty()) continue;
      if (std::stoi(open.front()) >= 100'000) {
        longest = std::max(longest, now_ - asked.at(open.front()));
      }
      window.Close(open.front());
      open.pop_front();
    }
  };
  for (int round = 0; round < 20; ++round) turn(0, 3'000);
  for (int round = 0; round < 20; ++round) turn(100'000 + round * 10, 10);
  CHECK(longest > Duration::zero());
  CHECK(longest <= kSoon);
}

}  // namespace
}  // namespace wigeonlane
