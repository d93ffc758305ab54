/// Orders to machines that were not answered, from the coordinator to a platform over loopback.
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
/// Rounds in which the first order is sent; a pool lends when it has been calm for 0.5 s.
constexpr int kRoundsToFirstCommand = 20;
/// The same after an order that found its machine busy: it counts as away for 1.8 s.
constexpr int kRoundsToNextCommand = 40;
/// Rounds in which an order is repeated, and fewer than pass until that is given up.
constexpr int kRoundsToRepeat = 8;

/// A platform that answers no order, and owners of which one is pressed and the other idle.
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

  nlohmann::json Row(const std::string& name, std::string_view pool) const {
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
      return unanswered_commands_.push_back(reply);
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
    for (int i = 0; i < kMachines; ++i) rows.push_back(Row(Concat("m-", i), kIdlePool));
    rows.push_back(Row("m-pressed", kBackloggedPool));
    reply({200, nlohmann::json({{"Machines", rows}}).dump(), {}});
  }

  void ServeOwner(const CellCall& call, const CallRouter::Answered& answered) {
    if (call.verb == CellVerb::kReserveRunner || call.verb == CellVerb::kReserveForMove) {
      return answered({reservation_granted_ ? CallVerdict::kReady : CallVerdict::kNotReady});
    }
    if (call.verb == CellVerb::kRunnerMachineDown) notified_runners_.insert(call.name);
    if (call.verb != CellVerb::kReportLoads) return answered({CallVerdict::kReady});
    ServiceLoad load;
    if (call.cell == kIdleCell) {
      load.service = kIdlePool;
      for (int i = 0; i < kMachines; ++i) load.movable.push_back({Concat("runner-of-m-", i), 0});
    } else {
      load.service = kBackloggedPool;
      load.backlog_work = 1'000'000;
    }
    answered({CallVerdict::kLoads, JobState::kQueued, 0, milliseconds(0), {load}});
  }

  RouterHooks Hooks() {
    RouterHooks hooks;
    hooks.owner = [](CellNumber) { return Endpoint{}; };
    hooks.serve = [this](const CellCall& call, const CallRouter::Answered& answered) {
      ServeOwner(call, answered);
    };
    hooks.on_owners_stale = [] {};
    hooks.on_owner_down = [](const Endpoint&) {};
    return hooks;
  }

  void StartWithWave() {
    MaintenanceWave wave;
    wave.number = kWave;
    wave.within = milliseconds(1);
    wave.machines = {"m-0"};
    coordinator_.SetWaves({wave});
    coordinator_.Start(kToken);
  }

  void StartWithPools() {
    coordinator_.SetPools({{std::string(kIdlePool), false}, {std::string(kBackloggedPool), false}});
    coordinator_.Start(kToken);
  }

  void RunForLists(int lists) {
    const int last = list_count_ + lists;
    while (list_count_ < last) io_.run_one_for(seconds(10));
  }

  /// Runs until one more order was sent and given up.
  void RunUntilCommandTimesOut(int rounds = kRoundsToFirstCommand) {
    const int before = command_count_;
    const int last = list_count_ + rounds;
    while (command_count_ == before && list_count_ < last) io_.run_one_for(seconds(10));
    REQUIRE(command_count_ == before + 1);
    reservation_granted_ = false;
    const Instant sent = BootClock().Now();
    while (BootClock().Now() < sent + seconds(2)) io_.run_one_for(milliseconds(50));
  }

  asio::io_context io_;
  const Endpoint endpoint_ = FreeEndpoint();
  bool reservation_granted_ = true;         ///< What the owner of a runner says.
  std::set<std::string> down_;              ///< Machines that are listed as not up.
  std::set<std::string> restarted_;         ///< Machines that are back with another runner.
  std::set<std::string> notified_runners_;  ///< Runners that their owners were told to be gone.
  std::string commanded_machine_;           ///< Machine of the last order.
  bool machine_is_busy_ = false;            ///< Orders find their machines down.
  bool down_after_busy_ = false;            ///< Lists show so only after such an answer.
  bool lists_fail_ = false;
  bool lists_fail_from_third_command_ = false;  ///< From the third order on.
  int command_count_ = 0;
  int list_count_ = 0;
  std::vector<HttpReply> unanswered_commands_;
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

// Guards against AVAIL (issue 25): an upkeep order is repeated after the owner's release of the
// runner has lapsed, and ends a lasting task while others of its step are away.
TEST_CASE_METHOD(CommandRepeatTest, "Upkeep_NotAnsweredAndRunnerNotReleasedAgain_IsNotRepeated") {
  StartWithWave();
  RunUntilCommandTimesOut();
  CHECK(command_count_ == 1);
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
}

// Guards against the same with an order to move a machine.
TEST_CASE_METHOD(CommandRepeatTest, "Move_NotAnsweredAndRunnerNotReleasedAgain_IsNotRepeated") {
  StartWithPools();
  RunUntilCommandTimesOut();
  CHECK(command_count_ == 1);
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
}

// Guards against a task that is away for the whole lease of its runner: the machine went down by an
// order whose answer was lost, and the owner was not told.
TEST_CASE_METHOD(CommandRepeatTest, "Upkeep_NotAnsweredAndMachineIsDown_OwnerIsTold") {
  StartWithWave();
  RunUntilCommandTimesOut();
  CHECK(notified_runners_.empty());
  down_ = {commanded_machine_};
  RunForLists(kRoundsToRepeat);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same with an order to move a machine.
TEST_CASE_METHOD(CommandRepeatTest, "Move_NotAnsweredAndMachineIsDown_OwnerIsTold") {
  StartWithPools();
  RunUntilCommandTimesOut();
  CHECK(notified_runners_.empty());
  down_ = {commanded_machine_};
  RunForLists(kRoundsToRepeat);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same when the first order is carried out so late that its repeat, and no list,
// is what finds the machine down.
TEST_CASE_METHOD(CommandRepeatTest, "Upkeep_RepeatFindsMachineDown_OwnerIsTold") {
  StartWithWave();
  RunUntilCommandTimesOut();
  machine_is_busy_ = true;
  down_after_busy_ = true;
  reservation_granted_ = true;
  RunForLists(kRoundsToRepeat);
  CHECK(command_count_ == 2);
  CHECK(notified_runners_ == std::set<std::string>{"runner-of-" + commanded_machine_});
}

// Guards against the same at the second time: what was kept of a first order without an answer, to
// an earlier runner of the machine, was taken for the outcome of the next order.
TEST_CASE_METHOD(CommandRepeatTest, "Upkeep_NotAnsweredAgainAfterMachineWasBusy_OwnerIsTold") {
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
