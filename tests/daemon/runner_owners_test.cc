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

  void AnswerAll(CallVerdict verdict) {
    for (auto& answered : std::exchange(open_, {})) answered({verdict});
  }

  const Endpoint self_{"127.0.0.1", 1};
  asio::io_context io_;
  Division division_;
  std::vector<std::function<void(CallAnswer)>> open_;
  CallRouter router_{&io_,
                     self_,
                     {[this](CellNumber) { return self_; },
                      [this](const CellCall&, std::function<void(CallAnswer)> answered) {
                        open_.push_back(std::move(answered));
                      },
                      [] {}, [](const Endpoint&) {}}};
  RunnerOwners owners_{&router_, &division_};
};

// Guards against questions that are repeated in each round while they are open: an owner that is
// slow was asked more the slower it was.
TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_QuestionIsOpen_IsNotAskedAgain") {
  int ready = 0;
  for (int round = 0; round < 5; ++round) owners_.Reserve(Machine("r1"), [&] { ++ready; });
  owners_.Reserve(Machine("r2"), [&] { ++ready; });
  CHECK(open_.size() == 2);
  AnswerAll(CallVerdict::kReady);
  CHECK(ready == 2);
}

// Guards against AVAIL: a coordinator that stood still reads the answer before its own timeout, and
// its order may reach the machine after the owner has ceased to count it as released.
TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_AnswerIsReadLongAfterTheQuestion_DoesNotCount") {
  bool ready = false;
  owners_.Reserve(Machine("r1"), [&] { ready = true; });
  std::this_thread::sleep_for(kPause);
  AnswerAll(CallVerdict::kReady);
  CHECK_FALSE(ready);
  owners_.Reserve(Machine("r1"), [&] { ready = true; });
  AnswerAll(CallVerdict::kReady);
  CHECK(ready);
}

TEST_CASE_METHOD(RunnerOwnersTest, "Reserve_OwnerIsNotReady_IsAskedInTheNextRound") {
  bool ready = false;
  owners_.Reserve(Machine("r1"), [&] { ready = true; });
  AnswerAll(CallVerdict::kNotReady);
  CHECK_FALSE(ready);
  owners_.Reserve(Machine("r1"), [&] { ready = true; });
  AnswerAll(CallVerdict::kReady);
  CHECK(ready);
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
