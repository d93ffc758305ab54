/// Questions of the coordinator to owners that are slow to answer.
#include "daemon/runner_owner_client.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <utility>

namespace wigeonlane {
namespace {

/// More than the time of the answer that the owner counts with (0.4 s).
constexpr std::chrono::milliseconds kSuspension{500};

/// Owns all cells itself and answers when the test says so.
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
    for (auto& answered : std::exchange(open_calls_, {})) answered({verdict});
  }

  const Endpoint self_{"127.0.0.1", 1};
  asio::io_context io_;
  CellAssignment cell_assignment_;
  int ready_verdicts_ = 0;
  std::vector<std::function<void(CallResponse)>> open_calls_;
  CallRouter router_{&io_,
                     self_,
                     {[this](CellNumber) { return self_; },
                      [this](const CellCall&, std::function<void(CallResponse)> answered) {
                        open_calls_.push_back(std::move(answered));
                      },
                      [] {}, [](const Endpoint&) {}}};
  RunnerOwnerClient client_{&router_, &cell_assignment_};
};

// Guards against questions that are repeated in each round while they are open: an owner that is
// slow was asked more the slower it was.
TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_QuestionIsOpen_IsNotAskedAgain") {
  for (int round = 0; round < 5; ++round) Reserve("r1");
  Reserve("r2");
  CHECK(open_calls_.size() == 2);
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 2);
}

// Guards against AVAIL: a coordinator that stood still reads the answer before its own timeout, and
// its order may reach the machine after the owner has ceased to count it as released.
TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_AnswerIsReadLongAfterTheQuestion_DoesNotCount") {
  Reserve("r1");
  std::this_thread::sleep_for(kSuspension);
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 0);
  Reserve("r1");
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 1);
}

TEST_CASE_METHOD(RunnerOwnerClientTest, "Reserve_OwnerIsNotReady_IsAskedInTheNextRound") {
  Reserve("r1");
  RespondToAll(CallVerdict::kNotReady);
  CHECK(ready_verdicts_ == 0);
  Reserve("r1");
  RespondToAll(CallVerdict::kReady);
  CHECK(ready_verdicts_ == 1);
}

TEST_CASE_METHOD(RunnerOwnerClientTest, "AskLoads_QuestionIsOpen_IsNotAskedAgain") {
  int told = 0;
  for (int round = 0; round < 5; ++round) client_.RequestLoads(3, [&](const auto&) { ++told; });
  CHECK(open_calls_.size() == 1);
  RespondToAll(CallVerdict::kLoads);
  client_.RequestLoads(3, [&](const auto&) { ++told; });
  RespondToAll(CallVerdict::kLoads);
  CHECK(told == 2);
}

}  // namespace
}  // namespace wigeonlane
