/// What the coordinator leaves to its successor. No call is made: its loop never runs.
#include "daemon/machine_coordinator.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>

namespace wigeonlane {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

/// So long that the time a test takes does not matter.
constexpr hours kTakeoverWait{3};
/// Nothing is ordered here.
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

  /// Whether the pause is what was left of `wait` a moment ago.
  static bool IsRestOf(milliseconds pause, milliseconds wait) {
    return pause <= wait && pause > wait - kMaxTestTime;
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

// Guards against LIMIT (issue 16): stopped while it waited, the coordinator left no pause.
TEST_CASE_METHOD(MachineCoordinatorTest, "Stop_PredecessorIsSilent_LeavesTheRestOfTheWait") {
  coordinator_.Start(kToken);
  CHECK(IsRestOf(coordinator_.Stop(), kTakeoverWait));
}

TEST_CASE_METHOD(MachineCoordinatorTest,
                 "Stop_PredecessorIsHeardOfSinceTheLastLook_LeavesItsRest") {
  coordinator_.Start(kToken);
  predecessor_.left = BootClock().Now() + hours(1);
  CHECK(IsRestOf(coordinator_.Stop(), hours(1)));
}

TEST_CASE_METHOD(MachineCoordinatorTest, "Stop_SecondTime_LeavesTheSameRest") {
  coordinator_.Start(kToken);
  coordinator_.Stop();
  CHECK(IsRestOf(coordinator_.Stop(), kTakeoverWait));
}

}  // namespace
}  // namespace wigeonlane
