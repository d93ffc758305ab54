/// Tests requests of the machine coordinator to owners of runners that respond slowly.
#include "daemon/runner_owner_client.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <utility>

namespace wigeonlane {
namespace {

/// Longer than the timeout of a request (0.4 s).
constexpr std::chrono::milliseconds kSuspension{500};

/// Simulates the owner of all cells, which responds when a test calls RespondToAll.
class RunnerOwnerClientTest {
 protected:
  RunnerOwnerClientTest() { cell_assignment_.services["quotes"].cells = {3}; }

  static ListedMachine Machine(const std::string& runner) {
    ListedMachine machine;
    machine.machine = "m-" + runner;
    machine.pool = "quotes";
    machine.runner = runner;
    machine.up = true;
    return machine;
  }

  void Reserve(const std::string& runner) {
    client_.Reserve(Machine(runner), [this](CallVerdict verdict) {
      ready_verdicts_ += verdict == CallVerdict::kReady;
    });
  }

  void RespondToAll(CallVerdict verdict) {
    for (auto& respond : std::exchange(open_calls_, {})) respond({verdict});
  }

  const Endpoint self_{"127.0.0.1", 1};
  asio::io_context io_;
  CellAssignment cell_assignment_;
  int ready_verdicts_ = 0;
  std::vector<std::function<void(CallResponse)>> open_calls_;
  CallRouter router_{&io_,
                     self_,
                     {[this](CellNumber) { return self_; },
                      [this](const CellCall&, std::function<void(CallResponse)> respond) {
                        open_calls_.push_back(std::move(respond));
                      },
                      [] {}, [](const Endpoint&) {}}};
  RunnerOwnerClient client_{&router_, &cell_assignment_};
};

// Guards against requests that are repeated in each round while they are open: a slow owner
// received more requests the slower it was.
TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_RequestIsOpen_IsNotSentAgain") {
  for (int round = 0; round < 5; ++round) Reserve("r1");
  Reserve("r2");
  CHECK(open_calls_.size() == 2);
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 2);
}

// Guards against too many unavailable tasks of a step (AVAIL): a coordinator that was suspended
// handles the response before its own timer, and its command may reach the machine after the
// reservation of the owner has expired.
TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_ResponseIsReadAfterTimeout_IsIgnored") {
  Reserve("r1");
  std::this_thread::sleep_for(kSuspension);
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 0);
  Reserve("r1");
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 1);
}

TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_OwnerIsNotReady_IsSentAgainInTheNextRound") {
  Reserve("r1");
  RespondToAll(CallVerdict::kNotReady);
  CHECK(ready_verdicts_ == 0);
  Reserve("r1");
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 1);
}

TEST_CASE_METHOD(RunnerOwnerClientTest, "RequestLoads_RequestIsOpen_IsNotSentAgain") {
  int load_reports = 0;
  for (int round = 0; round < 5; ++round) {
    client_.RequestLoads(3, {}, [&](const auto&) { ++load_reports; });
  }
  CHECK(open_calls_.size() == 1);
  RespondToAll(CallVerdict::kLoads);
  client_.RequestLoads(3, {}, [&](const auto&) { ++load_reports; });
  RespondToAll(CallVerdict::kLoads);
  CHECK(load_reports == 2);
}

}  // namespace
}  // namespace wigeonlane
