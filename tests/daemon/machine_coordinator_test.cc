/// Tests how long the machine coordinator makes its successor wait. No call is sent, because the
/// io_context never runs.
#include "daemon/machine_coordinator.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>

namespace wigeonlane {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

/// So long that the duration of a test is negligible.
constexpr hours kTakeoverWait{3};
/// Zero, because the tests send no commands.
constexpr milliseconds kMachineLease{0};
constexpr minutes kMaxTestTime{10};
constexpr TermToken kToken = 8;

class MachineCoordinatorTest {
 protected:
  MachineCoordinator::Options Options() {
    MachineCoordinator::Options options;
    options.cell_assignment = &cell_assignment_;
    options.takeover_wait = kTakeoverWait;
    options.machine_lease = kMachineLease;
    options.predecessor = [this] { return predecessor_; };
    return options;
  }

  /// Returns whether `remaining` is what is left of `wait`, which started less than kMaxTestTime
  /// ago.
  static bool IsRestOf(milliseconds remaining, milliseconds wait) {
    return remaining <= wait && remaining > wait - kMaxTestTime;
  }

  asio::io_context io_;
  MetricsRegistry metrics_;
  MachineClient machines_{&io_, Endpoint{}, &metrics_};
  StoreClient store_{&io_, Endpoint{}, &metrics_};
  CallRouter router_{&io_, Endpoint{}, RouterHooks{}};
  CellAssignment cell_assignment_;
  RolePredecessor predecessor_;
  MachineCoordinator coordinator_{&io_, &machines_, &store_, &router_, Options()};
};

// Guards against too many machines down at once (LIMIT, issue 16): a coordinator that was stopped
// while it waited for its predecessor did not make its successor wait.
TEST_CASE_METHOD(MachineCoordinatorTest,
                 "Stop_NoReportFromPredecessor_SuccessorWaitsForRestOfTakeoverWait") {
  coordinator_.Start(kToken);
  CHECK(IsRestOf(coordinator_.Stop(), kTakeoverWait));
}

TEST_CASE_METHOD(MachineCoordinatorTest,
                 "Stop_PredecessorReportedAfterStart_SuccessorWaitsForRestOfItsTime") {
  coordinator_.Start(kToken);
  predecessor_.actions_end = BootClock().Now() + hours(1);
  CHECK(IsRestOf(coordinator_.Stop(), hours(1)));
}

TEST_CASE_METHOD(MachineCoordinatorTest, "Stop_CalledTwice_SuccessorWaitsForTheSameRest") {
  coordinator_.Start(kToken);
  coordinator_.Stop();
  CHECK(IsRestOf(coordinator_.Stop(), kTakeoverWait));
}

}  // namespace
}  // namespace wigeonlane
