/// CommandWindow under a load of more commands than the platform accepts.
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

  void Enqueue(Window* window, CommandKind kind, const std::string& machine) {
    window->Enqueue(kind, machine, machine, now_);
  }

  std::vector<std::string> DequeueAll(Window* window) {
    std::vector<std::string> dequeued;
    while (auto machine = window->Dequeue(now_)) dequeued.push_back(*machine);
    return dequeued;
  }

  Instant now_ = Instant(std::chrono::hours(1));
};

// Guards against a second command to a machine while the first has no response.
TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_CommandInFlight_NoSecondForTheMachine") {
  Window window(Options(8, 1'000));
  Enqueue(&window, kMaintenance, "m1");
  CHECK(DequeueAll(&window) == std::vector<std::string>{"m1"});
  Enqueue(&window, kMaintenance, "m1");
  Enqueue(&window, kMove, "m1");
  CHECK(window.queued() == 0);
  window.Complete("m1");
  Enqueue(&window, kMaintenance, "m1");
  CHECK(DequeueAll(&window) == std::vector<std::string>{"m1"});
}

// Guards against a maintenance wave that delays the moves for a demand peak, and the reverse.
TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_BothKindsQueued_AreSentAlternately") {
  Window window(Options(4, 1'000));
  for (const char* name : {"u1", "u2", "u3", "u4"}) Enqueue(&window, kMaintenance, name);
  for (const char* name : {"v1", "v2"}) Enqueue(&window, kMove, name);
  CHECK(DequeueAll(&window) == std::vector<std::string>{"u1", "v1", "u2", "v2"});
}

TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_RequestedAgainAsOtherKind_IsQueuedOnce") {
  Window window(Options(4, 1'000));
  Enqueue(&window, kMaintenance, "m1");
  Enqueue(&window, kMove, "m1");
  CHECK(window.queued() == 1);
  CHECK(DequeueAll(&window).size() == 1);
}

// Guards against commands that are sent although no plan requests them any more.
TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_NotRequestedAgain_CommandExpires") {
  Window window(Options(1, 1'000));
  Enqueue(&window, kMaintenance, "m1");
  Enqueue(&window, kMaintenance, "m2");
  DequeueAll(&window);
  now_ += seconds(1);
  window.Complete("m1");
  CHECK(DequeueAll(&window).empty());
  CHECK(window.queued() == 0);
}

// Guards against commands that the platform refuses because they exceed its rate.
TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_Overload_NoSecondExceedsThePlatformsRate") {
  constexpr int kPerSecond = 64;
  Window window(Options(1'000, kPerSecond));
  std::deque<Instant> sent;
  int max_in_a_second = 0;
  int total = 0;
  for (int step = 0; step < 1'000; ++step) {
    for (int i = 0; i < 4; ++i) Enqueue(&window, kMove, std::to_string(step * 4 + i));
    for (const std::string& machine : DequeueAll(&window)) {
      sent.push_back(now_);
      window.Complete(machine);
      ++total;
    }
    while (!sent.empty() && now_ - sent.front() > seconds(1)) sent.pop_front();
    max_in_a_second = std::max(max_in_a_second, static_cast<int>(sent.size()));
    now_ += milliseconds(10);
  }
  CHECK(max_in_a_second <= kPerSecond);
  CHECK(total >= 10 * kPerSecond / 2);
}

TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_RateUsedUp_ReturnsDelayUntilNext") {
  Window window(Options(10, 10));
  Enqueue(&window, kMove, "m1");
  Enqueue(&window, kMove, "m2");
  REQUIRE(DequeueAll(&window).size() == 1);
  const auto delay = window.DelayUntilNext(now_);
  REQUIRE(delay.has_value());
  CHECK(*delay > Duration::zero());
  now_ += *delay;
  CHECK(DequeueAll(&window).size() == 1);
  CHECK_FALSE(window.DelayUntilNext(now_).has_value());
}

TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_CommandReturnedUnsent_RateIsNotUsed") {
  Window window(Options(10, 10));
  Enqueue(&window, kMove, "m1");
  REQUIRE(DequeueAll(&window).size() == 1);
  window.ReturnUnsent("m1");
  Enqueue(&window, kMove, "m2");
  CHECK(DequeueAll(&window).size() == 1);
}

// Guards against a queue that stays full after the load that filled it: the platform answers one
// command every 4 ms, and a burst of 3,000 machines precedes a light load of new machines.
TEST_CASE_METHOD(CommandWindowTest, "CommandWindow_BurstOver_NewCommandsAreAnsweredInTime") {
  constexpr milliseconds kResponseTime{4};
  constexpr milliseconds kMaxLatency{500};
  Window window(Options(8, 1'000));
  std::deque<std::string> in_flight;
  std::map<std::string, Instant> requested_at;
  Duration max_latency = Duration::zero();
  const auto run_round = [&](int first, int count) {
    for (int i = first; i < first + count; ++i) {
      requested_at.try_emplace(std::to_string(i), now_);
      Enqueue(&window, kMove, std::to_string(i));
    }
    for (int responses = 0; responses < 25; ++responses) {
      for (const std::string& machine : DequeueAll(&window)) in_flight.push_back(machine);
      now_ += kResponseTime;
      if (in_flight.empty()) continue;
      if (std::stoi(in_flight.front()) >= 100'000) {
        max_latency = std::max(max_latency, now_ - requested_at.at(in_flight.front()));
      }
      window.Complete(in_flight.front());
      in_flight.pop_front();
    }
  };
  for (int round = 0; round < 20; ++round) run_round(0, 3'000);
  for (int round = 0; round < 20; ++round) run_round(100'000 + round * 10, 10);
  CHECK(max_latency > Duration::zero());
  CHECK(max_latency <= kMaxLatency);
}

}  // namespace
}  // namespace wigeonlane
