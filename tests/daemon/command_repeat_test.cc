/// Tests how the machine coordinator repeats commands that got no response, with a platform over
/// loopback.
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "daemon/machine_coordinator.h"
#include "net/async_http_server.h"
#include "tests/daemon/coordinator_options.h"
#include "tests/support/free_endpoint.h"

namespace wigeonlane {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TermToken kToken = 8;
constexpr int kWave = 1;
constexpr int kMachines = 3;
constexpr std::string_view kIdlePool = "quotes";
constexpr std::string_view kBackloggedPool = "orders";
constexpr CellNumber kIdleCell = 0;
constexpr CellNumber kBackloggedCell = 1;
/// Rounds within which the first command is sent. A pool gives machines away once it has been
/// calm for 0.5 s.
constexpr int kRoundsToFirstCommand = 20;
/// The same after a command that found its machine busy: the machine then counts as unavailable
/// for 1.8 s.
constexpr int kRoundsToNextCommand = 40;
/// Rounds within which a command is repeated. The repeated command does not time out in as many
/// rounds.
constexpr int kRoundsToRepeat = 8;

/// Simulates a platform that responds to no command, and the owners of two pools: one with a
/// backlog and one idle.
class CommandRepeatTest {
 protected:
  CommandRepeatTest() {
    REQUIRE(server_.Listen(endpoint_).ok());
    cell_assignment_.services[std::string(kIdlePool)].cells = {kIdleCell};
    cell_assignment_.services[std::string(kBackloggedPool)].cells = {kBackloggedCell};
    coordinator_.ExtendAuthority(BootClock().Now() + hours(1));
  }

  std::string RunnerOf(const std::string& machine) const {
    return (restarted_.contains(machine) ? "next-runner-of-" : "runner-of-") + machine;
  }

  nlohmann::json MachineRow(const std::string& name, std::string_view pool) const {
    return {{"Machine", name},
            {"Pool", pool},
            {"State", down_.contains(name) ? "upkeep" : "up"},
            {"Id", RunnerOf(name)},
            {"Capacity", {{"Cpu", 32'000}}}};
  }

  void Serve(const HttpRequest& request, const HttpReply& reply) {
    if (request.target.starts_with("/machines")) return ServeList(reply);
    if (request.target.starts_with("/machine-")) {
      ++command_count_;
      commanded_machine_ = nlohmann::json::parse(request.body).at("Machine");
      lists_fail_ = lists_fail_from_third_command_ && command_count_ > 2;
      if (machine_is_busy_) {
        if (down_after_busy_) down_ = {commanded_machine_};
        return reply({409, R"({"Reason":"busy"})", {}});
      }
      return open_commands_.push_back(reply);
    }
    if (request.target.starts_with("/log-newest")) {
      return reply({200, R"({"items":[],"HasMore":false,"EndOffset":0})", {}});
    }
    reply({200, R"({"Offset":0,"EndOffset":1})", {}});
  }

  void ServeList(const HttpReply& reply) {
    ++list_count_;
    if (lists_fail_) return reply({503, "", {}});
    nlohmann::json rows = nlohmann::json::array();
    for (int i = 0; i < kMachines; ++i) rows.push_back(MachineRow(Concat("m-", i), kIdlePool));
    rows.push_back(MachineRow("m-backlogged", kBackloggedPool));
    reply({200, nlohmann::json({{"Machines", rows}}).dump(), {}});
  }

  void ServeOwner(const CellCall& call, const CallRouter::ResponseCallback& respond) {
    if (call.verb == CellVerb::kReserveRunner || call.verb == CellVerb::kReserveForMove) {
      return respond({reservation_granted_ ? CallVerdict::kReady : CallVerdict::kNotReady});
    }
    if (call.verb == CellVerb::kRunnerMachineDown) notified_runners_.insert(call.name);
    if (call.verb != CellVerb::kReportLoads) return respond({CallVerdict::kReady});
    ServiceLoad load;
    if (call.cell == kIdleCell) {
      load.service = kIdlePool;
      for (int i = 0; i < kMachines; ++i) load.movable.push_back({Concat("runner-of-m-", i), 0});
    } else {
      load.service = kBackloggedPool;
      load.backlog_work = 1'000'000;
    }
    respond({CallVerdict::kLoads, JobState::kQueued, 0, milliseconds(0), {load}});
  }

  RouterHooks Hooks() {
    RouterHooks hooks;
    hooks.owner = [](CellNumber) { return Endpoint{}; };
    hooks.serve = [this](const CellCall& call, const CallRouter::ResponseCallback& respond) {
      ServeOwner(call, respond);
    };
    hooks.on_owners_stale = [] {};
    hooks.on_owner_down = [](const Endpoint&) {};
    return hooks;
  }

  void StartWithWave() {
    MaintenanceWave wave;
    wave.number = kWave;
    wave.time_limit = milliseconds(1);
    wave.machines = {"m-0"};
    coordinator_.SetWaves({wave});
    coordinator_.Start(kToken);
  }

  void StartWithPools() {
    coordinator_.SetPools({{std::string(kIdlePool), false}, {std::string(kBackloggedPool), false}});
    coordinator_.Start(kToken);
  }

  void RunForLists(int lists) {
    const int last_list = list_count_ + lists;
    while (list_count_ < last_list) io_.run_one_for(seconds(10));
  }

  /// Runs until one more command has been sent and has timed out.
  void RunUntilCommandTimesOut(int rounds = kRoundsToFirstCommand) {
    const int previous_command_count = command_count_;
    const int last_list = list_count_ + rounds;
    while (command_count_ == previous_command_count && list_count_ < last_list) {
      io_.run_one_for(seconds(10));
    }
    REQUIRE(command_count_ == previous_command_count + 1);
    reservation_granted_ = false;
    const Instant sent_at = BootClock().Now();
    while (BootClock().Now() < sent_at + seconds(2)) io_.run_one_for(milliseconds(50));
  }

  asio::io_context io_;
  const Endpoint endpoint_ = FreeEndpoint();
  bool reservation_granted_ = true;  ///< Whether the owners permit that runners are taken down.
  std::set<std::string> down_;       ///< Machines that the list shows as not up.
  std::set<std::string> restarted_;  ///< Machines that are up again with another runner.
  /// Runners whose owners were notified that they have stopped.
  std::set<std::string> notified_runners_;
  std::string commanded_machine_;  ///< Machine of the last command.
  /// Whether the platform responds to commands that the machine is busy.
  bool machine_is_busy_ = false;
  /// Whether such a response also makes the list show the machine as not up.
  bool down_after_busy_ = false;
  bool lists_fail_ = false;
  bool lists_fail_from_third_command_ = false;  ///< Whether lists fail from the third command on.
  int command_count_ = 0;
  int list_count_ = 0;
  std::vector<HttpReply> open_commands_;
  AsyncHttpServer server_{
      &io_, [this](const HttpRequest& request, const HttpReply& reply) { Serve(request, reply); },
      [] { return HttpServerLimits(); }};
  MetricsRegistry metrics_;
  MachineClient machines_{&io_, endpoint_, &metrics_};
  StoreClient store_{&io_, endpoint_, &metrics_};
  CallRouter router_{&io_, Endpoint{}, Hooks()};
  CellAssignment cell_assignment_;
  MachineCoordinator coordinator_{&io_, &machines_, &store_, &router_,
                                  FirstHolderOptions(&cell_assignment_)};
};

// Guards against too many unavailable tasks of a step (AVAIL, issue 25): a maintenance command was
// repeated after the owner's reservation of the runner had expired, and ended a long-running task
// while others of its step were unavailable.
TEST_CASE_METHOD(CommandRepeatTest, "Maintenance_NoResponseAndReservationDenied_IsNotRepeated") {
  StartWithWave();
  RunUntilCommandTimesOut();
  CHECK(command_count_ == 1);
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
}

// Guards against the same failure with a move command.
TEST_CASE_METHOD(CommandRepeatTest, "Move_NoResponseAndReservationDenied_IsNotRepeated") {
  StartWithPools();
  RunUntilCommandTimesOut();
  CHECK(command_count_ == 1);
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
}

// Guards against a task that is unavailable for the whole lease of its runner: the machine went
// down after a command whose response was lost, and the owner was not notified.
TEST_CASE_METHOD(CommandRepeatTest, "Maintenance_NoResponseAndMachineIsDown_OwnerIsNotified") {
  StartWithWave();
  RunUntilCommandTimesOut();
  CHECK(notified_runners_.empty());
  down_ = {commanded_machine_};
  RunForLists(kRoundsToRepeat);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same failure with a move command.
TEST_CASE_METHOD(CommandRepeatTest, "Move_NoResponseAndMachineIsDown_OwnerIsNotified") {
  StartWithPools();
  RunUntilCommandTimesOut();
  CHECK(notified_runners_.empty());
  down_ = {commanded_machine_};
  RunForLists(kRoundsToRepeat);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same failure when the first command is executed so late that the repeated
// command, not a list, finds the machine down.
TEST_CASE_METHOD(CommandRepeatTest, "Maintenance_RepeatedCommandFindsMachineDown_OwnerIsNotified") {
  StartWithWave();
  RunUntilCommandTimesOut();
  machine_is_busy_ = true;
  down_after_busy_ = true;
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same failure with a second command: the record of a first command without a
// response, for an earlier runner of the machine, was mistaken for the outcome of the second one.
TEST_CASE_METHOD(CommandRepeatTest,
                 "Maintenance_NoResponseAgainAfterMachineWasBusy_OwnerIsNotified") {
  lists_fail_from_third_command_ = GENERATE(false, true);
  StartWithWave();
  RunUntilCommandTimesOut();
  machine_is_busy_ = true;
  reservation_granted_ = true;
  while (command_count_ == 1) io_.run_one_for(seconds(10));
  machine_is_busy_ = false;
  restarted_ = {commanded_machine_};
  RunUntilCommandTimesOut(kRoundsToNextCommand);
  lists_fail_ = false;
  RunForLists(kRoundsToRepeat);
  down_ = {commanded_machine_};
  RunForLists(kRoundsToRepeat);
  CHECK(notified_runners_.contains("next-runner-of-" + commanded_machine_));
}

}  // namespace
}  // namespace wigeonlane
