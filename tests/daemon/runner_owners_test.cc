/// Questions of the coordinator to owners that are slow to answer.
#include "daemon/runner_owners.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <utility>

namespace wigeonlane {
namespace {

/// More than the time of the answer that the owner counts with (0.4 s).
constexpr std::chrono::milliseconds kPause{500};

/// Owns all cells itself and answers when the test says so.
class RunnerOwnersTest {
 protected:
  RunnerOwnersTest() { division_.services["quotes"].cells = {3}; }

  static ListedMachine Machine(const std::string& runner) {
    ListedMachine machine;
    machine.machine = "m-" + runner;
    machine.pool = "quotes";
    machine.runner = runner;
    machine.up = true;
    return machine;
  }

  void Reserve(const std::string& runner) {
    owners_.Reserve(Machine(runner),
                    [this](CallVerdict verdict) { ready_ += verdict == CallVerdict::kReady; });
  }

  void AnswerAll(CallVerdict verdict) {
    for (auto& answered : std::exchange(open_, {})) answered({verdict});
  }

  const Endpoint self_{"127.0.0.1", 1};
  asio::io_context io_;
  Division division_;
  int ready_ = 0;
  std::vector<std::function<void(CallResponse)>> open_;
  CallRouter router_{&io_,
                     self_,
                     {[this](CellNumber) { return self_; },
                      [this](const CellCall&, std::function<void(CallResponse)> answered) {
                        open_.push_back(std::move(answered));
                      },
                      [] {}, [](const Endpoint&) {}}};
  RunnerOwners owners_{&router_, &division_};
};

// Guards against questions that are repeated in each round while they are open: an owner that is
// slow was asked more the slower it was.
TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_QuestionIsOpen_IsNotAskedAgain") {
  for (int round = 0; round < 5; ++round) Reserve("r1");
  Reserve("r2");
  CHECK(open_.size() == 2);
  AnswerAll(CallVerdict::kReady);
  CHECK(ready_ == 2);
}

// Guards against AVAIL: a coordinator that stood still reads the answer before its own timeout, and
// its order may reach the machine after the owner has ceased to count it as released.
TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_AnswerIsReadLongAfterTheQuestion_DoesNotCount") {
  Reserve("r1");
  std::this_thread::sleep_for(kPause);
  AnswerAll(CallVerdict::kReady);
  CHECK(ready_ == 0);
  Reserve("r1");
  AnswerAll(CallVerdict::kReady);
  CHECK(ready_ == 1);
}

TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_OwnerIsNotReady_IsAskedInTheNextRound") {
  Reserve("r1");
  AnswerAll(CallVerdict::kNotReady);
  CHECK(ready_ == 0);
  Reserve("r1");
  AnswerAll(CallVerdict::kReady);
  CHECK(ready_ == 1);
}

TEST_CASE_METHOD(RunnerOwnersTest, "AskLoads_QuestionIsOpen_IsNotAskedAgain") {
  int told = 0;
  for (int round = 0; round < 5; ++round) owners_.AskLoads(3, [&](const auto&) { ++told; });
  CHECK(open_.size() == 1);
  AnswerAll(CallVerdict::kLoads);
  owners_.AskLoads(3, [&](const auto&) { ++told; });
  AnswerAll(CallVerdict::kLoads);
  CHECK(told == 2);
}

}  // namespace
}  // namespace wigeonlane
